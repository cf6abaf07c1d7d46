//! The record of a scenario run: each event at the sockets of clients and fakes, with its time. It is the
//! only input of the auditor, and is stored as one JSON object a line.
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An event at the socket of a client or a fake, or a fault that the scenario injected.
///
/// [`Observation::GatewayKilled`] is recorded when a gateway process ends without a shutdown, by SIGKILL or
/// by a power loss.
///
/// `call` is an id that the recording client or worker assigns, `gateway` the index of a gateway process, and
/// `worker` the address of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Observation {
    /// A client sent a call. Retries of the call have the same `key`; `limit_us` is its time limit, in
    /// microseconds.
    #[serde(rename = "asked")]
    CallSent {
        call: u64,
        gateway: u64,
        key: String,
        #[serde(rename = "workload")]
        request_class: String,
        #[serde(rename = "deferred")]
        asynchronous: bool,
        limit_us: u64,
    },
    /// The client received the response to a call.
    #[serde(rename = "answered")]
    ResponseReceived {
        call: u64,
        status: u16,
        killed: bool,
        function_error: bool,
    },
    /// The client closed the connection before the response.
    #[serde(rename = "left")]
    ClientDisconnected {
        call: u64,
    },
    /// The connection of a call ended without a response, and the client had not closed it.
    #[serde(rename = "cut")]
    ConnectionLost {
        call: u64,
    },
    /// A worker received an attempt. `incarnation` counts the starts of the worker, `request` is the id that
    /// the gateway gave the request, and `work_us` the work that the attempt takes, in microseconds.
    #[serde(rename = "came")]
    AttemptReceived {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
        gateway: u64,
        #[serde(rename = "job")]
        request: String,
        #[serde(rename = "execution")]
        attempt: u32,
        key: String,
        work_us: u64,
    },
    /// A worker executed an attempt. `warm`: the function was loaded when the attempt arrived.
    #[serde(rename = "began")]
    AttemptExecuted {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
        warm: bool,
    },
    /// A worker sent a request for a function to the store.
    #[serde(rename = "fetch")]
    FetchRequested {
        worker: String,
    },
    /// The store rejected a worker's request for a function.
    FetchRefused {
        worker: String,
    },
    /// An attempt ended for its worker: the worker responded, or the connection was closed.
    #[serde(rename = "over")]
    AttemptEnded {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
    },
    /// A worker rejected an attempt without executing it.
    #[serde(rename = "refused")]
    AttemptRejected {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
    },
    /// A worker received a load command for at least one copy.
    #[serde(rename = "ordered")]
    LoadCommandReceived {
        worker: String,
        gateway: u64,
    },
    /// Service discovery sent a gateway an endpoint list in which a worker now drains or is missing.
    #[serde(rename = "told_away")]
    EndpointDownSent {
        gateway: u64,
        worker: String,
    },
    /// Service discovery sent a gateway an endpoint list in which a worker is up again.
    #[serde(rename = "told_up")]
    EndpointUpSent {
        gateway: u64,
        worker: String,
    },
    /// A worker started with `cores` cores. For `cold_us` microseconds it warms up, at first at the share
    /// `cold_from` of its full speed.
    #[serde(rename = "started")]
    WorkerStarted {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        cores: f64,
        cold_from: f64,
        cold_us: u64,
    },
    /// A worker got more load than its overload bound and crashed.
    #[serde(rename = "fell")]
    WorkerOverloaded {
        worker: String,
    },
    /// The stored data of a gateway was lost, or replaced by an older state.
    #[serde(rename = "disk_lost")]
    GatewayDiskLost {
        gateway: u64,
    },
    /// All workers lost power, and with it the idempotency keys that they remembered.
    #[serde(rename = "workers_lost")]
    WorkersLostPower,
    /// A gateway process started.
    #[serde(rename = "gateway_up")]
    GatewayStarted {
        gateway: u64,
    },
    GatewayKilled {
        gateway: u64,
    },
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordLine {
    /// Time since the start of the record, in microseconds, on one clock for all clients and fakes.
    pub at_us: u64,
    #[serde(flatten)]
    pub seen: Observation,
}

/// Collects the observations of all threads of a scenario run. Clones share the collected lines.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    lines: Arc<Mutex<Vec<RecordLine>>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Recorder {
    /// Adds an observation with the current time.
    pub fn record(&self, observation: Observation) {
        let at_us = self.start.elapsed().as_micros() as u64;
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(RecordLine {
                at_us,
                seen: observation,
            });
    }

    /// Time since the start of the record.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The lines so far, sorted by time.
    pub fn lines(&self) -> Vec<RecordLine> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone();
        lines.sort_by_key(|line| line.at_us);
        lines
    }
}
