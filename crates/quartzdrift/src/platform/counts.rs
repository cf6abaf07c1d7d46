//! Counts of what a scheduler did since its start.
use quartzdrift_scheduler::interface::{RejectReason, WorkerStanding};

/// Polls of the coordinator, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollCounts {
    /// Answered so that the list is known to be current.
    pub answered: u64,
    /// Answered with what can be read and does not show that: too soon, or without events that there are.
    pub unconfirmed: u64,
    /// Answered with what cannot be used: unreadable, with a gap, or older than what was applied.
    pub refused: u64,
    /// Answered with a status other than 200.
    pub wrong_status: u64,
    /// No connection, or it ended before the answer did.
    pub disconnected: u64,
    /// Given up without an answer.
    pub timed_out: u64,
}

/// What the scheduler noticed while the endpoint list was out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeCounts {
    /// Times that the list went out of date.
    pub lease_lapses: u64,
    /// Times that no worker was left that could be used.
    pub times_without_worker: u64,
    /// Workers that were suspected of draining, each time.
    pub suspected: u64,
    /// Workers that proved themselves, each time.
    pub proven: u64,
    /// Workers whose proof ran out, each time.
    pub unproven: u64,
}

impl NoticeCounts {
    /// Counts a worker that has this standing from now on.
    pub fn count_standing(&mut self, standing: WorkerStanding) {
        match standing {
            WorkerStanding::Listed => {}
            WorkerStanding::Proven => self.proven += 1,
            WorkerStanding::Suspected => self.suspected += 1,
            WorkerStanding::Unproven => self.unproven += 1,
        }
    }
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
    /// [`RejectReason::NoProvenWorker`].
    pub no_proven_worker: u64,
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
            RejectReason::NoProvenWorker => &mut self.no_proven_worker,
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
    /// What was noticed while the endpoint list was out of date.
    pub notices: NoticeCounts,
    /// Connections to workers that were opened.
    pub connections: u64,
    /// Connections to workers that were lost with something open on them.
    pub connections_lost: u64,
    /// Answers of workers that could not be read.
    pub unreadable: u64,
    /// Answers of workers that no attempt waited for.
    pub unmatched: u64,
}
