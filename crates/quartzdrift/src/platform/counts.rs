//! Counts of requests, attempts, polls and connections since the scheduler's start.
use quartzdrift_scheduler::interface::{RejectReason, WorkerStanding};

/// Polls of the coordinator, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollCounts {
    /// Polls whose response showed that the list is current.
    pub answered: u64,
    /// Polls with a readable response that did not show that the list is current: it came before the end of
    /// the poll's wait without an event, or lacked events.
    pub unconfirmed: u64,
    /// Polls with an unusable response: malformed, with a gap in the event indexes, or older than the applied
    /// events.
    pub refused: u64,
    /// Polls whose response had a status other than 200.
    pub wrong_status: u64,
    /// Polls whose connection failed, or ended before the response was complete.
    pub disconnected: u64,
    /// Polls that were cancelled because no response came in time.
    pub timed_out: u64,
}

/// Notices of the scheduler on the endpoint list and its workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeCounts {
    /// Lapses of the endpoint list's lease.
    pub lease_lapses: u64,
    /// Times that the last usable worker was lost.
    pub times_without_worker: u64,
    /// Changes of a worker's standing to [`WorkerStanding::Suspected`].
    pub suspected: u64,
    /// Changes of a worker's standing to [`WorkerStanding::Proven`].
    pub proven: u64,
    /// Changes of a worker's standing to [`WorkerStanding::Unproven`].
    pub unproven: u64,
    /// Workers that were replaced by another one at their address.
    pub replaced: u64,
}

impl NoticeCounts {
    /// Counts a change of a worker's standing to `standing`.
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
    /// Counts one rejection with `reason`.
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

/// Clients that were closed to make room for others, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionCounts {
    /// Clients that had disconnected, possibly with unread input.
    pub disconnected: u64,
    /// Idle clients that never received the response of a worker.
    pub never_served: u64,
    /// Idle clients that did.
    pub served: u64,
}

impl EvictionCounts {
    /// Counts an idle client.
    pub(super) fn count_idle(&mut self, was_served: bool) {
        let count = if was_served {
            &mut self.served
        } else {
            &mut self.never_served
        };
        *count += 1;
    }
}

/// Counts since the start, logged when the scheduler stops.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Complete requests that were read from clients, including readiness checks and invalid requests.
    pub received: u64,
    /// Bytes that were read from clients whose connections were about to be closed, and discarded.
    pub discarded_bytes: u64,
    /// Admitted requests.
    pub taken: u64,
    /// Admitted requests that succeeded.
    pub succeeded: u64,
    /// Admitted requests that were rejected: they never ran, or may safely run again.
    pub rejected: u64,
    /// Rejected requests by reason.
    pub rejections: RejectionCounts,
    /// Admitted requests that failed and may have run.
    pub failed: u64,
    /// Admitted requests whose client disconnected or aborted them.
    pub cancelled: u64,
    /// Requests that were refused because of an invalid field or a request id in use.
    pub invalid: u64,
    /// Client connections that were closed because of a protocol error, a timeout or the client limit.
    pub dropped: u64,
    /// Clients that were closed to make room for others, by reason.
    pub evictions: EvictionCounts,
    /// Largest number of clients at the same time.
    pub max_clients: usize,
    /// Largest number of connections to workers at the same time.
    pub max_worker_connections: usize,
    /// Requests that were refused because the memory for clients was full.
    pub refused_without_memory: u64,
    /// Client connections that were closed because their unread responses filled the memory for clients.
    pub closed_without_memory: u64,
    /// Attempts that were started.
    pub attempts: u64,
    /// Reads of a client's connection just before one of its commands was sent.
    pub client_checks: u64,
    /// Times that a command was withheld because its client had unread input.
    pub withheld_commands: u64,
    /// Attempts that a worker rejected because it was at capacity; they never ran.
    pub turned_away: u64,
    /// Polls of the coordinator, by result.
    pub polls: PollCounts,
    /// Notices of the scheduler while the endpoint list was out of date.
    pub notices: NoticeCounts,
    /// Connections to workers that were opened.
    pub connections: u64,
    /// Connections to workers that were lost with open commands.
    pub connections_lost: u64,
    /// Malformed answers of workers.
    pub unreadable: u64,
    /// Answers of workers that matched no open attempt.
    pub unmatched: u64,
}
