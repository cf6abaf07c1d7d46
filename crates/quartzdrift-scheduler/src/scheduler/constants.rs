//! Constants of the scheduler's decisions: the meaning of each, and the reason for its value.
use std::time::Duration;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

// Measurements.

/// Upper edge of the first bin of duration histograms. No attempt is shorter.
pub(super) const FIRST_BIN_EDGE: Duration = millis(4);
/// Ratio of a bin's upper edge to that of the previous bin. The durations of request classes differ by a
/// larger factor.
pub(super) const BIN_EDGE_RATIO: f64 = 1.4;
/// Number of bins. The last one starts above 4 minutes, which is longer than any timeout.
pub(super) const BIN_COUNT: usize = 34;
/// Number of samples at which a histogram is halved: a few seconds of traffic.
pub(super) const MAX_SAMPLES: u32 = 200;
/// Minimum number of samples in a histogram from which a quantile is used.
pub(super) const MIN_SAMPLES: u32 = 8;
/// Half-life of the measured throughput, which covers many attempts.
pub(super) const THROUGHPUT_HALF_LIFE: Duration = millis(4000);
/// Half-life of the peak throughput, which is longer than an overload.
pub(super) const PEAK_HALF_LIFE: Duration = millis(60_000);
/// Half-life of the requested work by function.
pub(super) const POPULARITY_HALF_LIFE: Duration = millis(15_000);

// Overload bounds, in estimated requests at a worker.

/// Minimum overload bound of a worker. This many requests occupy a few cores.
pub(super) const MIN_OVERLOAD_BOUND: f64 = 7.0;
/// Ratio of a worker's overload bound to the mean load. Chance alone does not double a worker's load.
pub(super) const OVERLOAD_BOUND_RATIO: f64 = 2.0;
/// Overload bound of the mean load. This many requests occupy a few cores at each worker.
pub(super) const FLEET_OVERLOAD_BOUND: f64 = 6.5;
/// Maximum factor on the fleet's overload bound by priority and quota, and reciprocal of the minimum one. The
/// limits keep requests from starving.
pub(super) const MAX_FLEET_BOUND_FACTOR: f64 = 2.0;
/// Number of copies that fit into the memory of a worker with a few cores, which the overload bounds assume.
pub(super) const SMALL_WORKER_COPIES: f64 = 20.0;
/// Mean share of busy cores from which the fleet counts as busy. Below it, some worker is free.
pub(super) const BUSY_FLEET_UTILIZATION: f64 = 0.9;
/// Minimum number of local requests. Fewer do not show the share of requests that wait for loads.
pub(super) const MIN_LOCAL_REQUESTS: usize = 4;
/// Maximum age of a load report that is used: several report intervals.
pub(super) const MAX_REPORT_AGE: Duration = millis(6000);

// Attempts and final responses.

/// Ratio of a timeout to the timeout quantile. Attempts that take longer are stuck.
pub(super) const TIMEOUT_RATIO: f64 = 2.0;
/// Quantile that is taken as the typical duration.
pub(super) const MEDIAN: f64 = 0.5;
/// Quantile of the durations that timeouts are derived from.
pub(super) const TIMEOUT_QUANTILE: f64 = 0.95;
/// Timeout of an attempt without samples. It covers a long load.
pub(super) const DEFAULT_ATTEMPT_TIMEOUT: Duration = millis(1500);
/// Minimum time to the deadline for another attempt. Few attempts take less time.
pub(super) const MIN_TIME_LEFT: Duration = millis(30);
/// Number of rejections of one request for lack of capacity after which the fleet counts as full.
pub(super) const MAX_AT_CAPACITY_RESPONSES: u32 = 2;
/// Retry delay without samples: the duration of an attempt.
pub(super) const DEFAULT_RETRY_AFTER: Duration = millis(200);
/// Ratio of the retry delay to the median duration. Among many attempts, one ends well before the median.
pub(super) const RETRY_AFTER_RATIO: f64 = 0.3;

// Outlier ejection.

/// Interval of the responsiveness checks, shorter than any timeout.
pub(super) const TICK_INTERVAL: Duration = millis(100);
/// Number of timeouts of one attempt that prove a worker unresponsive.
pub(super) const UNRESPONSIVE_TIMEOUTS: u32 = 2;
/// Ejection time after the first failure: the duration of a few attempts.
pub(super) const FIRST_EJECTION: Duration = millis(500);
/// Maximum number of doublings of the first ejection time, which then reaches the duration of a restart.
pub(super) const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Number of requests that an unresponsive worker misses per ejection, so that few serve as health checks.
pub(super) const MISSED_REQUESTS_PER_EJECTION: f64 = 2.0;
/// Maximum ejection time of an unresponsive worker: the duration of a machine's restart.
pub(super) const MAX_UNRESPONSIVE_EJECTION: Duration = millis(15_000);
/// Pause after a rejection for lack of capacity. Some of the worker's requests end during the pause.
pub(super) const AT_CAPACITY_PAUSE: Duration = millis(150);
/// Maximum error rate of recent attempts. Errors by chance are far less frequent.
pub(super) const MAX_ERROR_RATE: f64 = 0.3;
/// Number of attempts that the moving average of errors covers.
pub(super) const ERROR_RATE_ATTEMPTS: f64 = 8.0;
/// Maximum share of ejected candidates for which ejections apply. If more are ejected, the workers are not
/// the cause of the failures.
pub(super) const MAX_EJECTED_SHARE: f64 = 0.4;

// Slow start.

/// Window of the slow-start budget if none is configured. It limits short bursts.
pub(super) const DEFAULT_SLOW_START_WINDOW: Duration = millis(1000);
/// Share of the slow-start budget that is used, because a window overlaps three half windows.
pub(super) const SLOW_START_SAFETY: f64 = 0.7;

// Cache affinity.

/// Keep-alive of a cached copy if none is configured, which is short.
pub(super) const DEFAULT_KEEP_ALIVE: Duration = millis(8000);
/// Number of preferred workers per worker's worth of requests.
pub(super) const PREFERRED_PER_SHARE: f64 = 3.0;
/// Share of the concurrency slots that are expected to be in use. Half of them stay free.
pub(super) const PREFERRED_SLOT_USE: f64 = 0.5;
/// Maximum number of concurrency slots of a copy that count. More slots only share the cores.
pub(super) const MAX_CONCURRENCY_SLOTS: f64 = 2.0;

// Prefetch.

/// Minimum probability of a use for a load. One load in two may remain unused.
pub(super) const MIN_LOAD_PROBABILITY: f64 = 0.5;
/// Minimum probability of a use for the renewal of a cached copy, which needs no fetch.
pub(super) const MIN_RENEWAL_PROBABILITY: f64 = 0.2;
/// Maximum share of unreclaimable memory for a load. Above it, a load evicts copies in use.
pub(super) const MAX_UNRECLAIMABLE_SHARE: f64 = 0.85;
/// Ratio to the median duration from which a load counts as slow. Chance alone does not cause such a
/// duration.
pub(super) const SLOW_LOAD_RATIO: f64 = 4.0;
/// Pause of the prefetch after a failed or slow load, in which the origin store recovers.
pub(super) const PREFETCH_PAUSE: Duration = millis(5000);

// Endpoint list and housekeeping.

/// Share of the endpoint lease without a confirmation after which the confirmation is overdue.
pub(super) const CONFIRMATION_OVERDUE_SHARE: f64 = 0.65;
/// Minimum number of preferred workers of a function while the endpoint list is unconfirmed. One or two of
/// them may be draining.
pub(super) const MIN_PREFERRED_UNCONFIRMED: usize = 6;
/// Share of the drain grace after which a proof is renewed. This leaves time for two renewals.
pub(super) const PROOF_RENEWAL_SHARE: f64 = 0.5;
/// Delay before a failed watch is started again, because discovery may be overloaded.
pub(super) const WATCH_RETRY_DELAY: Duration = millis(1000);
/// Interval between two sweeps of expired entries and names: many keep-alives.
pub(super) const SWEEP_INTERVAL: Duration = millis(60_000);
/// Time for which a removed worker is kept. After that, no endpoint list is expected to name it.
pub(super) const GONE_WORKER_RETENTION: Duration = millis(600_000);

// Maximum sizes of tables.

/// Number of functions in the name table above which the least requested ones are forgotten. A scheduler with
/// 950 requests per second and a keep-alive of 15 s has at most 14,250 functions with cached copies.
pub(super) const MAX_FUNCTIONS: usize = 16_384;
/// Number of cache entries at all workers above which expired ones are removed before the next sweep, and
/// then those that expire first. A scheduler with 4,000 requests per second and a keep-alive of 15 s has at
/// most 60,000.
pub(super) const MAX_CACHE_ENTRIES: usize = 65_536;
/// Reciprocal of the share of a full table that is free after entries were forgotten, so that few events
/// need to forget any.
pub(super) const FREED_SHARE_DIVISOR: usize = 4;
/// Number of requests and of load commands that count towards the load quota. Further requests would raise
/// the quota above any use of it.
pub(super) const MAX_QUOTA_EVENTS: usize = 65_536;
