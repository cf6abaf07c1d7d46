//! Actions that the scheduler requests from its host, which carries them out in the order of the returned
//! list.
use super::RequestId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Reason for the rejection of a request, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The request names a class that is not configured.
    UnknownClass,
    /// The endpoint list is empty.
    NoWorkers,
    /// Workers are listed, but none of them is eligible for the request and has free capacity.
    NoCapacity,
    /// Several workers responded to the request that they are at capacity, or its function could not be
    /// loaded.
    FleetAtCapacity,
    /// The request has used up its attempts.
    NoAttemptsLeft,
    /// The lease of the endpoint list has lapsed, and no worker has accepted a command recently enough.
    NoProvenWorker,
    /// The time until the deadline is too short for an attempt.
    NoTimeLeft,
    /// An earlier attempt may have executed, and a retry could execute the request a second time.
    NotRepeatable,
    /// The process is shutting down. Only the request lifecycle uses this reason, never the scheduler.
    ShuttingDown,
}

/// Eligibility of a worker for new work while the endpoint list cannot be confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerStanding {
    /// The worker receives work because the endpoint list names it as up, within the lease and the drain
    /// grace.
    #[default]
    Listed,
    /// The worker receives work because it accepted a command recently, although the lease has lapsed.
    Proven,
    /// The worker rejected an attempt for lack of capacity. It receives work only if there is no other
    /// candidate.
    Suspected,
    /// The worker receives no work because it may have been draining for longer than the drain grace.
    Unproven,
}

/// A change in the scheduler's knowledge of the endpoint list or of a worker, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The lease of the endpoint list has lapsed: an entry alone no longer makes a worker eligible.
    LeaseLapsed {
        /// Time since the list was last confirmed; `None`: never since the scheduler's start.
        age: Option<Duration>,
    },
    /// The endpoint list has been confirmed after its lease had lapsed.
    LeaseRenewed {
        /// Age of the list before this confirmation; `None`: the first one since the scheduler's start.
        age: Option<Duration>,
    },
    /// The standing of a worker has changed while the endpoint list cannot be confirmed.
    WorkerStanding {
        /// Name of the worker.
        worker: Rc<str>,
        /// The worker's new standing.
        standing: WorkerStanding,
    },
    /// A worker is no longer used, because another one was listed at its address.
    WorkerReplaced {
        /// Name of the worker.
        worker: Rc<str>,
        /// The address of both.
        address: SocketAddr,
    },
    /// While the endpoint list cannot be confirmed, the number of usable workers fell to zero or rose from
    /// it.
    UsableWorkers {
        /// Number of workers that the endpoint list names as up.
        listed: usize,
        /// Number of listed workers that may receive work.
        usable: usize,
    },
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker. Attempts of a request are numbered from 0 in the order of these actions.
    StartAttempt {
        /// The request to send.
        request: RequestId,
        /// Name of the worker.
        worker: Rc<str>,
        /// Time after which the attempt ends as timed out; `None`: no limit.
        timeout: Option<Duration>,
        /// Latest time at which the first byte may be sent; `None`: no limit. An attempt that has not been
        /// sent by then ends as [`Outcome::NeverSent`](super::Outcome::NeverSent).
        send_by: Option<Duration>,
    },
    /// Send the final response: the request was not executed, or the client may safely retry it.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time after which the client may retry; `None`: the settings do not allow one to be sent.
        retry_after: Option<Duration>,
        /// Reason for the rejection.
        reason: RejectReason,
    },
    /// Send the final response: the request may have been executed, and the client must not retry it.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Cancel an attempt in flight. The host still reports the attempt's end.
    CancelAttempt {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Set a timer that delivers one event [`Timer`](super::Event::Timer).
    SetTimer {
        /// Time from now until the event.
        delay: Duration,
        /// Name that the event carries.
        name: &'static str,
    },
    /// Send a health check to a worker.
    CheckHealth {
        /// Name of the worker.
        worker: Rc<str>,
    },
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// Name of the worker.
        worker: Rc<str>,
    },
    /// Send a message to one other scheduler or to all.
    SendToPeer {
        /// Number of the receiving scheduler; `None`: all other schedulers.
        to: Option<u32>,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// Send a load command for a function that is expected to be requested.
    Load {
        /// Name of the worker.
        worker: Rc<str>,
        /// Name of the function.
        function: Rc<str>,
        /// Number of copies to load into the worker's cache.
        copies: u32,
    },
    /// Evict all copies of a function from a worker's cache.
    Unload {
        /// Name of the worker.
        worker: Rc<str>,
        /// Name of the function.
        function: Rc<str>,
    },
    /// Start or end the watch on the endpoint list.
    WatchEndpoints {
        /// True: start the watch. False: end it.
        enabled: bool,
    },
    /// Fetch the whole endpoint list once.
    PollEndpoints,
    /// Log and count a change in the scheduler's knowledge.
    Notice(Notice),
    /// Write a line to the log.
    Log {
        /// Text of the line.
        text: String,
    },
}
