//! Counts of what a scheduler did since its start.
use quartzdrift_scheduler::interface::RejectReason;

/// Polls of the coordinator, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollCounts {
    /// Answered with events or with nothing new.
    pub answered: u64,
    /// Answered with what cannot be used: unreadable, with a gap, or older than what was applied.
    pub refused: u64,
    /// Answered with a status other than 200.
    pub wrong_status: u64,
    /// No connection, or it ended before the answer did.
    pub disconnected: u64,
    /// Given up without an answer.
    pub timed_out: u64,
}

/// Rejected requests, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// [`RejectReason::UnknownClass`].
    pub unknown_class: u64,
    /// [`RejectReason::NoWorkers`].
    pub no_workers: u64,
    /// [`RejectReason::NoCapacity`].
    pub no_capacity: u64,
    /// [`RejectReason::FleetAtCapacity`].
    pub fleet_at_capacity: u64,
    /// [`RejectReason::NoAttemptsLeft`].
    pub no_attempts_left: u64,
    /// [`RejectReason::NoTimeLeft`].
    pub no_time_left: u64,
    /// [`RejectReason::NotRepeatable`].
    pub not_repeatable: u64,
    /// [`RejectReason::ShuttingDown`].
    pub shutting_down: u64,
}

impl RejectionCounts {
    /// Counts a rejection.
    pub fn add(&mut self, reason: RejectReason) {
        let count = match reason {
            RejectReason::UnknownClass => &mut self.unknown_class,
            RejectReason::NoWorkers => &mut self.no_workers,
            RejectReason::NoCapacity => &mut self.no_capacity,
            RejectReason::FleetAtCapacity => &mut self.fleet_at_capacity,
            RejectReason::NoAttemptsLeft => &mut self.no_attempts_left,
            RejectReason::NoTimeLeft => &mut self.no_time_left,
            RejectReason::NotRepeatable => &mut self.not_repeatable,
            RejectReason::ShuttingDown => &mut self.shutting_down,
        };
        *count += 1;
    }
}

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
    /// The same, by reason.
    pub rejections: RejectionCounts,
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
    /// Attempts that their workers turned away: they never ran.
    pub turned_away: u64,
    /// Polls of the coordinator.
    pub polls: PollCounts,
    /// Connections to workers that were opened.
    pub connections: u64,
    /// Connections to workers that were lost with something open on them.
    pub connections_lost: u64,
    /// Answers of workers that could not be read.
    pub unreadable: u64,
    /// Answers of workers that no attempt waited for.
    pub unmatched: u64,
}
