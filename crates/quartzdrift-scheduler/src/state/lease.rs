//! State of the endpoint list's lease, and of the workers' proofs that they accept commands.
use std::time::Duration;

/// Confirmation state of the endpoint list.
#[derive(Clone, Copy, Default)]
pub(crate) struct EndpointLease {
    /// Latest time at which the list is known to have been current; `None`: not confirmed since the start.
    pub(crate) confirmed_at: Option<Duration>,
    /// The last attempt to fetch the list failed.
    pub(crate) fetch_failed: bool,
    /// The lease had lapsed at the last check.
    pub(crate) has_lapsed: bool,
    /// No worker was usable at the last check.
    pub(crate) has_no_usable_worker: bool,
}

/// The lease as the decisions on a single worker use it.
#[derive(Clone, Copy, Default)]
pub(crate) struct LeaseView {
    /// Latest time at which the list is known to have been current; `None`: not confirmed since the start.
    pub(crate) confirmed_at: Option<Duration>,
    /// End of the lease; `None`: the lease does not end.
    pub(crate) holds_until: Option<Duration>,
    /// The last fetch of the list failed, or the next confirmation is overdue.
    pub(crate) is_unconfirmed: bool,
}

impl LeaseView {
    /// Whether the lease has ended, so that an entry alone no longer makes a worker eligible.
    pub(crate) fn has_lapsed(&self, now: Duration) -> bool {
        self.holds_until.is_some_and(|until| now > until)
    }
}

/// A sequence of commands that a worker accepted, with gaps no longer than the drain grace. The worker's
/// process did not change during the sequence, and was not draining when the last command was sent.
#[derive(Clone, Copy)]
pub(crate) struct ActivityProof {
    /// Time at which the first command of the sequence was sent.
    pub(crate) first_sent_at: Duration,
    /// Time at which the last command of the sequence was sent.
    pub(crate) last_sent_at: Duration,
}
