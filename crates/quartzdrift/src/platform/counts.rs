//! Counts of what a scheduler did since its start.

/// Counts since the start, for the last line of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Whole requests that were read from clients, checks and invalid ones included.
    pub received: u64,
    /// Bytes that were read from clients whose connections were about to be closed, and not looked at.
    pub discarded_bytes: u64,
    /// Requests that were admitted.
    pub taken: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that were rejected: nothing ran, or running again is harmless.
    pub rejected: u64,
    /// Requests that failed and may have run.
    pub failed: u64,
    /// Requests whose client left.
    pub cancelled: u64,
    /// Requests that were refused for their fields.
    pub invalid: u64,
    /// Client connections that were closed here: out of step, too slow, or to make room.
    pub dropped: u64,
    /// Attempts that were started.
    pub attempts: u64,
    /// Connections to workers that were opened.
    pub connections: u64,
    /// Connections to workers that were lost with something open on them.
    pub connections_lost: u64,
    /// Answers of workers that could not be read.
    pub unreadable: u64,
    /// Answers of workers that no attempt waited for.
    pub unmatched: u64,
}
