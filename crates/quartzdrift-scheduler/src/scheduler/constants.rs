//! Every tuned value of the scheduler, each with its meaning and the reason for its size.
use std::time::Duration;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) const FIRST_BIN_EDGE: Duration = millis(4); // edge of a histogram's first bin: no attempt is shorter
pub(super) const BIN_EDGE_RATIO: f64 = 1.4; // of a bin's edge to the one before: finer than classes differ
pub(super) const BIN_COUNT: usize = 34; // the last begins past 4 minutes, longer than any timeout
pub(super) const MAX_SAMPLES: u32 = 200; // in a histogram, then halved: some seconds of a scheduler's traffic
pub(super) const MIN_SAMPLES: u32 = 8; // in a histogram, below which it tells nothing
pub(super) const THROUGHPUT_HALF_LIFE: Duration = millis(4000); // of the mean rate: many attempts
pub(super) const PEAK_HALF_LIFE: Duration = millis(60_000); // of the highest rate: it outlasts a jam
pub(super) const POPULARITY_HALF_LIFE: Duration = millis(15_000); // of the work requested by function

pub(super) const MIN_OVERLOAD_BOUND: f64 = 7.0; // estimated requests, the least overload bound: a few cores' worth
pub(super) const OVERLOAD_BOUND_RATIO: f64 = 2.0; // of the bound to the mean of all: twice the mean is beyond chance
pub(super) const FLEET_OVERLOAD_BOUND: f64 = 6.5; // mean of estimated requests: a few cores' worth at every worker
pub(super) const MAX_FLEET_BOUND_FACTOR: f64 = 2.0; // most by which a claim moves the fleet's bound: none is shut out
pub(super) const SMALL_WORKER_COPIES: f64 = 20.0; // that fit a few cores, the size that bounds are given for
pub(super) const BUSY_FLEET_UTILIZATION: f64 = 0.9; // mean reported share of busy cores: below it some worker has room
pub(super) const MIN_LOCAL_REQUESTS: usize = 4; // below which they do not tell how many wait for loads
pub(super) const MAX_REPORT_AGE: Duration = millis(6000); // of a load report in use: several refreshes

pub(super) const TIMEOUT_RATIO: f64 = 2.0; // of a timeout to what nearly all attempts take: others straggle
pub(super) const MEDIAN: f64 = 0.5; // share of attempts that the usual duration is measured on
pub(super) const TIMEOUT_QUANTILE: f64 = 0.95; // share of attempts that timeouts are measured on
pub(super) const DEFAULT_ATTEMPT_TIMEOUT: Duration = millis(1500); // before anything was measured: a long load
pub(super) const MIN_TIME_LEFT: Duration = millis(30); // until a deadline, of use: below almost any work
pub(super) const MAX_AT_CAPACITY_RESPONSES: u32 = 2; // at-capacity answers to one request: then the fleet is full
pub(super) const DEFAULT_RETRY_AFTER: Duration = millis(200); // before anything was measured: an attempt
pub(super) const RETRY_AFTER_RATIO: f64 = 0.3; // of a usual attempt: of many that run one ends well before

pub(super) const TICK_INTERVAL: Duration = millis(100); // between checks of responsiveness: short beside any timeout
pub(super) const UNRESPONSIVE_TIMEOUTS: u32 = 2; // of a single attempt that proves its worker unresponsive
pub(super) const FIRST_EJECTION: Duration = millis(500); // after a first failure: a few attempts
pub(super) const MAX_EJECTION_DOUBLINGS: u32 = 3; // of it: then it is as long as a restart takes
pub(super) const MISSED_REQUESTS_PER_EJECTION: f64 = 2.0; // while ejected as unresponsive: few requests check its health
pub(super) const MAX_UNRESPONSIVE_EJECTION: Duration = millis(15_000); // that time at most: a machine's restart
pub(super) const AT_CAPACITY_PAUSE: Duration = millis(150); // after an answer: a few requests end meanwhile
pub(super) const MAX_ERROR_RATE: f64 = 0.3; // of recent attempts: chance errors are far rarer
pub(super) const ERROR_RATE_ATTEMPTS: f64 = 8.0; // recent attempts that the error rate is taken over
pub(super) const MAX_EJECTED_SHARE: f64 = 0.4; // of the candidates: more are not at fault themselves

pub(super) const DEFAULT_SLOW_START_WINDOW: Duration = millis(1000); // if not configured: short, for bursts
pub(super) const SLOW_START_SAFETY: f64 = 0.7; // of the budget is used: three half windows make one whole

pub(super) const DEFAULT_KEEP_ALIVE: Duration = millis(8000); // of a copy, if not configured: a short one
pub(super) const PREFERRED_PER_SHARE: f64 = 3.0; // preferred workers for each worker's worth of requests
pub(super) const PREFERRED_SLOT_USE: f64 = 0.5; // share of their copies' concurrency slots: half are free
pub(super) const MAX_CONCURRENCY_SLOTS: f64 = 2.0; // concurrency slots of a copy that count: more share the cores

pub(super) const MIN_LOAD_PROBABILITY: f64 = 0.5; // of a use: each load that is used pays for one that is not
pub(super) const MIN_RENEWAL_PROBABILITY: f64 = 0.2; // the same to keep a cached copy, which costs no fetch
pub(super) const MAX_UNRECLAIMABLE_SHARE: f64 = 0.85; // in use, past which a prefetch evicts what is needed
pub(super) const SLOW_LOAD_RATIO: f64 = 4.0; // of a slow load to the usual one: far beyond chance
pub(super) const PREFETCH_PAUSE: Duration = millis(5000); // after a failed or slow load: the store's recovery

pub(super) const CONFIRMATION_OVERDUE_SHARE: f64 = 0.65; // of the list's lease: a confirmation is overdue by then
pub(super) const MIN_PREFERRED_UNCONFIRMED: usize = 6; // workers of a function: one or two may be draining
pub(super) const PROOF_RENEWAL_SHARE: f64 = 0.5; // of the drain grace, after which a proof is renewed: two tries in it
pub(super) const WATCH_RETRY_DELAY: Duration = millis(1000); // after a watch failed: its server is crowded
pub(super) const SWEEP_INTERVAL: Duration = millis(60_000); // of expired entries and names: many keep-alives
pub(super) const GONE_WORKER_RETENTION: Duration = millis(600_000); // a worker left: no list brings it back later
