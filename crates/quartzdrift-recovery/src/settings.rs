//! Configuration of a scheduler's recovery.
use std::time::Duration;

/// Settings of the recovery of one scheduler.
#[derive(Clone, Debug)]
pub struct RecoverySettings {
    /// The scheduler's name in the fleet; empty without a fleet.
    pub name: String,
    /// Whether the scheduler belongs to a fleet, with other members to ask for their status.
    pub has_fleet: bool,
    /// Maximum time to wait for other members' status responses before the restart is classified without
    /// them.
    pub classification_timeout: Duration,
    /// Time after the start from which the synchronous phase and the backlog phase end, even if service has
    /// not recovered.
    pub max_duration: Duration,
    /// Whether workers store the idempotency keys that they remember on disk, so that the keys survive a loss
    /// of power.
    pub idempotency_keys_on_disk: bool,
    /// The window of the load quota: prefetches begin this long after the start at the earliest.
    pub load_quota_window: Duration,
    /// The window of the slow-start budget: measurements from before a mass failure are not restored until it
    /// has passed since the last run.
    pub slow_start_window: Duration,
    /// The limit of asynchronous requests in flight at full service.
    pub max_async_in_flight: usize,
    /// Whether an admission ramp limits first loads of functions after a mass failure.
    pub admission_ramp: bool,
    /// The number of the start that last opened the store of asynchronous requests, as recorded in the store;
    /// `None`: an earlier release wrote the store, or there is no store.
    pub store_start: Option<u64>,
    /// A random number that identifies this start.
    pub instance: u64,
}
