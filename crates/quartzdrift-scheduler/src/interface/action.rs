//! Actions: what the scheduler wants done, in the order in which it returns them.
use super::RequestId;
use std::rc::Rc;
use std::time::Duration;

/// Why a request is rejected, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its class is not configured.
    UnknownClass,
    /// The endpoint list names no worker.
    NoWorkers,
    /// Workers are listed, and none of them may be sent it or has room for it.
    NoCapacity,
    /// Several workers have answered that they are at capacity.
    FleetAtCapacity,
    /// It has had all its attempts.
    NoAttemptsLeft,
    /// The endpoint list is out of date, and no worker has proven lately that it takes work.
    NoProvenWorker,
    /// Its deadline is too near for an attempt.
    NoTimeLeft,
    /// An attempt may have executed, and a further one would not be recognized as its repeat.
    NotRepeatable,
    /// The process shuts down. The request lifecycle gives this reason, the scheduler never does.
    ShuttingDown,
}

/// What a worker may be taken to do where the endpoint list is out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerStanding {
    /// It is sent work by the list's word.
    #[default]
    Listed,
    /// It is sent work as it took some lately.
    Proven,
    /// It turned an attempt away, and is used only where no other is left.
    Suspected,
    /// It may have been draining for longer than the grace, and is sent nothing.
    Unproven,
}

/// A change of what the scheduler goes by, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The endpoint list no longer holds by itself.
    LeaseLapsed {
        /// Time since it was last known to be current; `None`: it was not since the start.
        age: Option<Duration>,
    },
    /// The list is current again.
    LeaseRenewed {
        /// How old it had become; `None`: it had not been current since the start.
        age: Option<Duration>,
    },
    /// While the list does not hold, a worker's standing has changed.
    WorkerStanding {
        /// Name of the worker.
        worker: Rc<str>,
        /// Its standing from now on.
        standing: WorkerStanding,
    },
    /// While the list does not hold, the last worker that may be sent work is lost, or there is one again.
    UsableWorkers {
        /// Workers that the list names as up.
        listed: usize,
        /// Those of them that may be sent work.
        usable: usize,
    },
}

/// Something that the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker. Attempts of a request are numbered from 0 in the order of these actions.
    StartAttempt {
        /// The request to send.
        request: RequestId,
        /// Name of the worker.
        worker: Rc<str>,
        /// Time after which the attempt is to end as timed out; `None`: it is not limited.
        timeout: Option<Duration>,
        /// The last time at which its first byte may leave; `None`: any time. An attempt that has not left by then is to
        /// end as never sent.
        send_by: Option<Duration>,
    },
    /// Final answer: the request was not executed, or may safely be sent again by its client.
    Reject {
        /// The request that is answered.
        request: RequestId,
        /// Time after which the client may try again, where the settings allow to name one.
        retry_after: Option<Duration>,
        /// Why it is rejected.
        reason: RejectReason,
    },
    /// Final answer: the request may have been executed, and must not be sent again.
    Fail {
        /// The request that is answered.
        request: RequestId,
    },
    /// Cancel an attempt in flight; its end is still to be reported.
    CancelAttempt {
        /// The attempt's request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Pass an event [`Timer`](super::Event::Timer) once.
    SetTimer {
        /// Time from now to the event.
        delay: Duration,
        /// Name that the event is to carry.
        name: &'static str,
    },
    /// Check a worker's health.
    CheckHealth {
        /// Name of the worker.
        worker: Rc<str>,
    },
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// Name of the worker.
        worker: Rc<str>,
    },
    /// Send a message to other schedulers.
    SendToPeer {
        /// Number of the scheduler; `None`: all of them.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Load a function at a worker ahead of need.
    Load {
        /// Name of the worker.
        worker: Rc<str>,
        /// Name of the function.
        function: Rc<str>,
        /// Number of copies to load.
        copies: u32,
    },
    /// Evict a function's copies at a worker.
    Unload {
        /// Name of the worker.
        worker: Rc<str>,
        /// Name of the function.
        function: Rc<str>,
    },
    /// Watch the endpoint list, or end the watch.
    WatchEndpoints {
        /// Whether changes of the list are wanted.
        enabled: bool,
    },
    /// Fetch the endpoint list once.
    PollEndpoints,
    /// Something to be logged and counted.
    Notice(Notice),
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
