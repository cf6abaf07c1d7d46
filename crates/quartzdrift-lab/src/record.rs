//! What passed at the sockets of fakes and clients, with the time: the auditor's only source. One JSON object
//! a line.
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Times are microseconds since the record began, on one clock for all of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Observation {
    /// A client's call left; `key` is the same for its repeats. `limit_us` is its time limit.
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
    /// The client has its answer.
    #[serde(rename = "answered")]
    ResponseReceived {
        call: u64,
        status: u16,
        killed: bool,
        function_error: bool,
    },
    /// The client hung up.
    #[serde(rename = "left")]
    ClientDisconnected {
        call: u64,
    },
    /// The connection ended without an answer.
    #[serde(rename = "cut")]
    ConnectionLost {
        call: u64,
    },
    /// A call reached a worker; `incarnation` counts its starts, `request` is the gateway's name for the request.
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
    /// Its work had its effect; `warm`: it found its copy loaded.
    #[serde(rename = "began")]
    AttemptExecuted {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
        warm: bool,
    },
    /// A worker asked the store for a function.
    #[serde(rename = "fetch")]
    FetchRequested {
        worker: String,
    },
    /// The store turned it away.
    FetchRefused {
        worker: String,
    },
    /// Nothing more is under way between gateway and worker: answered or closed.
    #[serde(rename = "over")]
    AttemptEnded {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
    },
    /// A worker answered that it did not take the call.
    #[serde(rename = "refused")]
    AttemptRejected {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
    },
    /// A load order for more than nothing reached a worker.
    #[serde(rename = "ordered")]
    LoadCommandReceived {
        worker: String,
        gateway: u64,
    },
    /// The roster sent a gateway the news that a worker drains or is gone.
    #[serde(rename = "told_away")]
    EndpointDownSent {
        gateway: u64,
        worker: String,
    },
    /// And that it is up again.
    #[serde(rename = "told_up")]
    EndpointUpSent {
        gateway: u64,
        worker: String,
    },
    /// A worker started, with so much capacity, cold for so long.
    #[serde(rename = "started")]
    WorkerStarted {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        cores: f64,
        cold_from: f64,
        cold_us: u64,
    },
    #[serde(rename = "fell")]
    WorkerOverloaded {
        worker: String,
    },
    /// What a gateway kept on disk is gone, or older than what it did.
    #[serde(rename = "disk_lost")]
    GatewayDiskLost {
        gateway: u64,
    },
    /// Workers lost power: what they remembered is gone.
    #[serde(rename = "workers_lost")]
    WorkersLostPower,
    /// A gateway process runs from here on, and is killed outright there.
    #[serde(rename = "gateway_up")]
    GatewayStarted {
        gateway: u64,
    },
    GatewayKilled {
        gateway: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordLine {
    pub at_us: u64,
    #[serde(flatten)]
    pub seen: Observation,
}

/// Shared by all threads of a day.
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

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn lines(&self) -> Vec<RecordLine> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone();
        lines.sort_by_key(|line| line.at_us);
        lines
    }
}
