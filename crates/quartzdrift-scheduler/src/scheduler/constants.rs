//! Tuned values of the scheduler: the meaning of each value, and the reason for its size.
use std::time::Duration;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

// Measurements.
pub(super) const FIRST_BIN_EDGE: Duration = millis(4); // of duration histograms: no attempt is shorter
pub(super) const BIN_EDGE_RATIO: f64 = 1.4; // of a bin's edge to the previous: request classes differ by more
pub(super) const BIN_COUNT: usize = 34; // the last bin starts above 4 minutes, longer than any timeout
pub(super) const MAX_SAMPLES: u32 = 200; // per histogram before it is halved: a few seconds of traffic
pub(super) const MIN_SAMPLES: u32 = 8; // per histogram: quantiles of fewer samples are not used
pub(super) const THROUGHPUT_HALF_LIFE: Duration = millis(4000); // of the throughput: covers many attempts
pub(super) const PEAK_HALF_LIFE: Duration = millis(60_000); // of the peak throughput: outlasts an overload
pub(super) const POPULARITY_HALF_LIFE: Duration = millis(15_000); // of the requested work by function

// Overload bounds, in estimated requests at a worker.
pub(super) const MIN_OVERLOAD_BOUND: f64 = 7.0; // lowest bound of a worker: occupies a few cores
pub(super) const OVERLOAD_BOUND_RATIO: f64 = 2.0; // bound to mean: chance alone does not double the load
pub(super) const FLEET_OVERLOAD_BOUND: f64 = 6.5; // bound of the mean: occupies a few cores at each worker
pub(super) const MAX_FLEET_BOUND_FACTOR: f64 = 2.0; // by priority and quota: no request is starved
pub(super) const SMALL_WORKER_COPIES: f64 = 20.0; // in the memory of a few-core worker, which bounds assume
pub(super) const BUSY_FLEET_UTILIZATION: f64 = 0.9; // mean share of busy cores: below it some worker is free
pub(super) const MIN_LOCAL_REQUESTS: usize = 4; // fewer do not show what share of requests waits for loads
pub(super) const MAX_REPORT_AGE: Duration = millis(6000); // of a load report in use: several report intervals

// Attempts and final responses.
pub(super) const TIMEOUT_RATIO: f64 = 2.0; // of a timeout to the timeout quantile: later attempts are stuck
pub(super) const MEDIAN: f64 = 0.5; // quantile that is taken as the typical duration
pub(super) const TIMEOUT_QUANTILE: f64 = 0.95; // quantile of durations that timeouts are derived from
pub(super) const DEFAULT_ATTEMPT_TIMEOUT: Duration = millis(1500); // without samples: covers a long load
pub(super) const MIN_TIME_LEFT: Duration = millis(30); // to the deadline for an attempt: few take less time
pub(super) const MAX_AT_CAPACITY_RESPONSES: u32 = 2; // to one request: after these the fleet counts as full
pub(super) const DEFAULT_RETRY_AFTER: Duration = millis(200); // without samples: the duration of an attempt
pub(super) const RETRY_AFTER_RATIO: f64 = 0.3; // of the median: of many attempts one ends well before

// Outlier ejection.
pub(super) const TICK_INTERVAL: Duration = millis(100); // of responsiveness checks: shorter than any timeout
pub(super) const UNRESPONSIVE_TIMEOUTS: u32 = 2; // of one attempt that prove a worker unresponsive
pub(super) const FIRST_EJECTION: Duration = millis(500); // after the first failure: a few attempts' duration
pub(super) const MAX_EJECTION_DOUBLINGS: u32 = 3; // of the first ejection: reaches the duration of a restart
pub(super) const MISSED_REQUESTS_PER_EJECTION: f64 = 2.0; // if unresponsive: few serve as health checks
pub(super) const MAX_UNRESPONSIVE_EJECTION: Duration = millis(15_000); // the duration of a machine's restart
pub(super) const AT_CAPACITY_PAUSE: Duration = millis(150); // after the response: some requests end meanwhile
pub(super) const MAX_ERROR_RATE: f64 = 0.3; // of recent attempts: errors by chance are far less frequent
pub(super) const ERROR_RATE_ATTEMPTS: f64 = 8.0; // attempts that the moving average of errors covers
pub(super) const MAX_EJECTED_SHARE: f64 = 0.4; // of candidates: more than that are not faulty themselves

// Slow start.
pub(super) const DEFAULT_SLOW_START_WINDOW: Duration = millis(1000); // if not configured: limits short bursts
pub(super) const SLOW_START_SAFETY: f64 = 0.7; // of the budget: a window overlaps three half windows

// Cache affinity.
pub(super) const DEFAULT_KEEP_ALIVE: Duration = millis(8000); // of a cached copy, if not configured: short
pub(super) const PREFERRED_PER_SHARE: f64 = 3.0; // preferred workers per worker's worth of requests
pub(super) const PREFERRED_SLOT_USE: f64 = 0.5; // share of concurrency slots in use: half stay free
pub(super) const MAX_CONCURRENCY_SLOTS: f64 = 2.0; // of a copy that count: more slots only share the cores

// Prefetch.
pub(super) const MIN_LOAD_PROBABILITY: f64 = 0.5; // of a use: one load in two may remain unused
pub(super) const MIN_RENEWAL_PROBABILITY: f64 = 0.2; // of a use, to renew a cached copy: needs no fetch
pub(super) const MAX_UNRECLAIMABLE_SHARE: f64 = 0.85; // of memory: above it a load evicts copies in use
pub(super) const SLOW_LOAD_RATIO: f64 = 4.0; // of a slow load to the median: far more than chance
pub(super) const PREFETCH_PAUSE: Duration = millis(5000); // after a failed or slow load: the store recovers

// Endpoint list and housekeeping.
pub(super) const CONFIRMATION_OVERDUE_SHARE: f64 = 0.65; // of the endpoint lease without a confirmation
pub(super) const MIN_PREFERRED_UNCONFIRMED: usize = 6; // workers per function: one or two may be draining
pub(super) const PROOF_RENEWAL_SHARE: f64 = 0.5; // of the drain grace: leaves time for two renewals
pub(super) const WATCH_RETRY_DELAY: Duration = millis(1000); // after a failed watch: discovery is overloaded
pub(super) const SWEEP_INTERVAL: Duration = millis(60_000); // of expired entries and names: many keep-alives
pub(super) const GONE_WORKER_RETENTION: Duration = millis(600_000); // no list names it again after that
