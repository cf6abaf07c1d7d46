//! What passed at the sockets of fakes and clients, with the time: the auditor's only source. One JSON object
//! a line.
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Times are microseconds since the record began, on one clock for all of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Seen {
    /// A client's call left; `key` is the same for its repeats. `limit_us` is its time limit.
    Asked {
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
    Answered {
        call: u64,
        status: u16,
        killed: bool,
        function_error: bool,
    },
    /// The client hung up.
    Left {
        call: u64,
    },
    /// The connection ended without an answer.
    Cut {
        call: u64,
    },
    /// A call reached a worker; `incarnation` counts its starts, `request` is the gateway's name for the request.
    Came {
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
    Began {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
        warm: bool,
    },
    /// A worker asked the store for a function.
    Fetch {
        worker: String,
    },
    /// The store turned it away.
    FetchRefused {
        worker: String,
    },
    /// Nothing more is under way between gateway and worker: answered or closed.
    Over {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
    },
    /// A worker answered that it did not take the call.
    Refused {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        call: u64,
    },
    /// A load order for more than nothing reached a worker.
    Ordered {
        worker: String,
        gateway: u64,
    },
    /// The roster sent a gateway the news that a worker drains or is gone.
    ToldAway {
        gateway: u64,
        worker: String,
    },
    /// And that it is up again.
    ToldUp {
        gateway: u64,
        worker: String,
    },
    /// A worker started, with so much capacity, cold for so long.
    Started {
        worker: String,
        #[serde(rename = "life")]
        incarnation: u64,
        cores: f64,
        cold_from: f64,
        cold_us: u64,
    },
    Fell {
        worker: String,
    },
    /// What a gateway kept on disk is gone, or older than what it did.
    DiskLost {
        gateway: u64,
    },
    /// Workers lost power: what they remembered is gone.
    WorkersLost,
    /// A gateway process runs from here on, and is killed outright there.
    GatewayUp {
        gateway: u64,
    },
    GatewayKilled {
        gateway: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at_us: u64,
    #[serde(flatten)]
    pub seen: Seen,
}

/// Shared by all threads of a day.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
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
    pub fn see(&self, seen: Seen) {
        let at_us = self.start.elapsed().as_micros() as u64;
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Line { at_us, seen });
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn lines(&self) -> Vec<Line> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone();
        lines.sort_by_key(|line| line.at_us);
        lines
    }
}
