//! State of the endpoint list's lease, and of what workers have proven themselves.
use std::time::Duration;

/// What is known of the endpoint list's age.
#[derive(Clone, Copy, Default)]
pub(crate) struct EndpointLease {
    /// As of when the list was last known to be current; `None`: not since the start.
    pub(crate) confirmed_at: Option<Duration>,
    /// The last attempt to fetch the list failed.
    pub(crate) fetch_failed: bool,
    /// It had lapsed when that was last looked at.
    pub(crate) has_lapsed: bool,
    /// No worker could be used when that was last looked at.
    pub(crate) has_no_usable_worker: bool,
}

/// The part of the lease that a worker's decisions rest on.
#[derive(Clone, Copy, Default)]
pub(crate) struct LeaseView {
    pub(crate) confirmed_at: Option<Duration>,
    /// Until when the list's word for a worker holds; `None`: without end.
    pub(crate) holds_until: Option<Duration>,
    /// A confirmation is overdue.
    pub(crate) is_unconfirmed: bool,
}

impl LeaseView {
    /// Whether the list's word no longer holds.
    pub(crate) fn has_lapsed(&self, now: Duration) -> bool {
        self.holds_until.is_some_and(|until| now > until)
    }
}

/// A run of commands that a worker took, with less than the drain grace between them.
#[derive(Clone, Copy)]
pub(crate) struct ActivityProof {
    /// When the first of them was sent.
    pub(crate) first_sent_at: Duration,
    /// When the last of them was sent.
    pub(crate) last_sent_at: Duration,
}
