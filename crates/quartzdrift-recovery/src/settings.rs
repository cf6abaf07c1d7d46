//! Configuration of the recovery of one scheduler.
use std::time::Duration;

/// How a scheduler recovers.
#[derive(Clone, Debug)]
pub struct RecoverySettings {
    /// Its name in the fleet; empty without one.
    pub name: String,
    /// Whether there may be other members to ask.
    pub has_fleet: bool,
    /// How long other members are asked at most.
    pub classification_timeout: Duration,
    /// How long after the start phases may last at most.
    pub max_duration: Duration,
    /// Whether the idempotency keys that workers remember survive a loss of power.
    pub idempotency_keys_on_disk: bool,
    /// The window of the load quota: prefetches begin no sooner after the start.
    pub load_quota_window: Duration,
    /// The window of the slow-start budget: measurements from before a mass failure are not restored within it.
    pub slow_start_window: Duration,
    /// Asynchronous requests in flight at most, once recovered.
    pub max_async_in_flight: usize,
    /// Whether an admission ramp limits first loads of functions after a mass failure.
    pub admission_ramp: bool,
    /// The start that last opened the store of asynchronous requests, as recorded there; `None`: an earlier release wrote
    /// the store, or there is none.
    pub store_start: Option<u64>,
    /// A number drawn at this start.
    pub instance: u64,
}
