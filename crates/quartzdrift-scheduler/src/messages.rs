//! What desk and workers tell each other. Types only.
use crate::interface::*;
use std::time::Duration;

/// Cache status of a worker for a function, the better first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    Known,
    Assumed,
    NotWarm,
}

impl Endpoint<'_> {
    /// Whether it is of the same group of workers as another.
    pub fn shares(&self, deduplication_scope: DeduplicationScope, other: &Listing) -> bool {
        deduplication_scope == DeduplicationScope::All
            || self.zone == other.zone
                && (deduplication_scope == DeduplicationScope::Zone || self.cell == other.cell)
    }
}

/// What desk and workers tell each other.
pub enum Note {
    Listed(Listing),
    Call(Call),
    /// `None`: the worker declines.
    Offer(Option<Offer>),
    Execute(Attempt),
    Ended(Ending),
    Place(RequestId),
    Tick,
    /// This attempt is out at a worker that answers nothing.
    Silent(RequestId, u32),
}

/// What the list says of a worker; its name is kept apart.
pub type Listing = Endpoint<'static>;

/// A call for offers for one request.
#[derive(Clone, Copy)]
pub struct Call {
    pub request_class: usize,
    pub tenant: u32,
    pub function: usize,
    /// Where attempts that may have run confine further ones.
    pub confined: Option<(DeduplicationScope, Listing)>,
    /// Idempotent with attempts left: may be risked on a worker of doubtful health.
    pub risks: bool,
    pub weight: f64,
    /// Our own finished work a second for each worker: the part of a worker's capacity that is surely there.
    /// For a cold one no more than those of its kind take.
    pub fair_rate: f64,
}

#[derive(Clone, Copy)]
pub struct Offer {
    pub worker: usize,
    pub status: Status,
    pub others: Option<f64>,
    pub own: usize,
    /// Those of our own that wait for no load.
    pub working: usize,
    pub ghosts: usize,
    pub stands: bool,
    pub ill: bool,
    pub turned: bool,
    /// Just started, and whether it had its part of what a cold worker may be sent.
    pub cold: bool,
    pub spent: bool,
}

#[derive(Clone, Copy)]
pub struct Attempt {
    pub request: RequestId,
    pub attempt: u32,
    pub call: Call,
    pub patience: Duration,
    pub sent: Duration,
}

pub struct Ending {
    pub request: RequestId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub cache_result: CacheResult,
    /// Requests that the worker reported to hold.
    pub held: Option<f64>,
    /// Full for this tenant alone: the worker holds few requests.
    pub room: bool,
}
