//! Evaluates an outage by the operators' rule: a drain counts as announced a fixed time after the outage
//! began, or at its own start if that is later. The drain grace runs from then on.
use super::clients::RequestRecord;
use super::fleet::Scenario;
use super::stalls::StallMeter;
use super::worker::ReceivedRequest;
use std::fmt;
use std::time::{Duration, Instant};

/// Time added to each limit for the delays of sockets and processes.
const LIMIT_SLACK: Duration = Duration::from_millis(50);
/// A drain counts as announced at most this long after the outage began.
pub const ANNOUNCEMENT_LIMIT: Duration = Duration::from_secs(7);
/// The shorter limit, for outages that begin with discovery closing its connections.
pub const ANNOUNCEMENT_LIMIT_AFTER_DISCONNECT: Duration = Duration::from_secs(2);
/// Time after the end of an outage by which a scheduler that still polls has received a response.
const RECOVERY_TIME: Duration = Duration::from_millis(1_000);
/// A request whose response comes this long after its timeout counts as lost.
const LATE_RESPONSE: Duration = Duration::from_millis(500);
/// Text that a scheduler logs when it has no usable worker, see `src/platform/notices.rs` of `quartzdrift`.
const NO_USABLE_WORKER: &str =
    "no listed worker is usable: requests are rejected until the endpoint list is confirmed";

/// A drain of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub worker: usize,
    pub started_at: Instant,
    /// Start of the discovery outage in which the drain began; `None`: discovery announced the drain.
    pub outage_since: Option<Instant>,
    /// Time at which the worker was replaced by a new process.
    pub replaced_at: Option<Instant>,
}

impl Drain {
    /// Returns the time after which the worker may receive no new request. A drain during an outage counts as
    /// announced `announcement_limit` after the start of the outage.
    fn send_deadline(&self, announcement_limit: Duration, drain_grace: Duration) -> Instant {
        let announced_at = self.outage_since.map(|since| since + announcement_limit);
        announced_at.map_or(self.started_at, |at| at.max(self.started_at)) + drain_grace + LIMIT_SLACK
    }
}

/// The recorded data of a run, on one monotonic clock.
pub struct Observations<'a> {
    pub scenario: &'a Scenario,
    pub requests: Vec<RequestRecord>,
    /// Requests that reached each worker, by worker index.
    pub received: Vec<Vec<ReceivedRequest>>,
    pub drains: Vec<Drain>,
    pub logs: Vec<String>,
    pub outage_started_at: Instant,
    pub outage_ended_at: Instant,
    pub stalls: &'a StallMeter,
}

/// The measured results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that reached a draining worker after the limit by [`ANNOUNCEMENT_LIMIT`].
    pub sends_past_limit: usize,
    /// Requests that reached a draining worker after the limit by [`ANNOUNCEMENT_LIMIT_AFTER_DISCONNECT`].
    pub sends_past_short_limit: usize,
    /// Longest time by which a request was past the shorter limit.
    pub max_lateness: Duration,
    /// Requests that workers rejected.
    pub rejected_by_workers: usize,
    pub requests: usize,
    /// Requests without a response in time.
    pub lost: usize,
    /// Share of the requests sent between [`ANNOUNCEMENT_LIMIT`] and the end of the outage that were served.
    pub served_share: f64,
    /// Share of the requests served in the last third of that period.
    pub served_share_last_third: f64,
    /// Share of the requests served after the outage, from [`RECOVERY_TIME`] on.
    pub served_share_after: f64,
    /// Number of schedulers whose log reports a time without a usable worker.
    pub schedulers_without_usable_worker: usize,
    /// Mean number of log lines of a scheduler.
    pub log_lines: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} sends after the limit ({} after the shorter limit, by up to {:?}); {} rejected by workers; served \
             {:.3} (last third {:.3}, after the outage {:.3}) of {} requests, {} lost; {} schedulers without a \
             usable worker; {} log lines per scheduler",
            self.sends_past_limit,
            self.sends_past_short_limit,
            self.max_lateness,
            self.rejected_by_workers,
            self.served_share,
            self.served_share_last_third,
            self.served_share_after,
            self.requests,
            self.lost,
            self.schedulers_without_usable_worker,
            self.log_lines,
        )
    }
}

/// Returns for each late request how long after the limit it reached a draining worker. Requests that are
/// late only by stalls of the test process do not count.
fn lateness(observed: &Observations, announcement_limit: Duration) -> Vec<Duration> {
    let mut late = Vec::new();
    for drain in &observed.drains {
        let limit = drain.send_deadline(announcement_limit, observed.scenario.drain_grace);
        let end = drain.replaced_at.unwrap_or(observed.outage_ended_at);
        let arrivals = observed.received[drain.worker]
            .iter()
            .map(|request| request.received_at);
        for received_at in arrivals.filter(|at| *at > limit && *at < end) {
            let stalled = observed.stalls.between(received_at - LIMIT_SLACK, received_at);
            if received_at > limit + stalled {
                late.push(received_at - limit);
            }
        }
    }
    late
}

/// Returns the share of the requests sent from `from` until `to` that were answered with status 200.
fn served_share(requests: &[RequestRecord], from: Instant, to: Instant) -> f64 {
    let within = |request: &&RequestRecord| request.sent_at >= from && request.sent_at < to;
    let all = requests.iter().filter(within).count();
    let served = requests
        .iter()
        .filter(within)
        .filter(|request| request.status == 200);
    served.count() as f64 / all.max(1) as f64
}

/// Computes the report of a run from its recorded data.
pub fn evaluate(observed: &Observations) -> Report {
    let from = (observed.outage_started_at + ANNOUNCEMENT_LIMIT).min(observed.outage_ended_at);
    let last_third = from + (observed.outage_ended_at - from) * 2 / 3;
    let timeout = Duration::from_millis(
        super::clients::TIMEOUT_MS
            .parse()
            .expect("TIMEOUT_MS must be a number"),
    );
    let is_late = |request: &&RequestRecord| {
        let stalled = observed.stalls.between(request.sent_at, request.ended_at);
        request.ended_at - request.sent_at > timeout + LATE_RESPONSE + stalled
    };
    let unanswered = |request: &&RequestRecord| request.status == 0;
    let past_short_limit = lateness(observed, ANNOUNCEMENT_LIMIT_AFTER_DISCONNECT);
    let had_no_usable_worker = |log: &&String| log.contains(NO_USABLE_WORKER);
    Report {
        sends_past_limit: lateness(observed, ANNOUNCEMENT_LIMIT).len(),
        sends_past_short_limit: past_short_limit.len(),
        max_lateness: past_short_limit.iter().max().copied().unwrap_or_default(),
        rejected_by_workers: observed
            .received
            .iter()
            .flatten()
            .filter(|request| !request.accepted)
            .count(),
        requests: observed.requests.len(),
        lost: observed.requests.iter().filter(unanswered).count()
            + observed.requests.iter().filter(is_late).count(),
        served_share: served_share(&observed.requests, from, observed.outage_ended_at),
        served_share_last_third: served_share(&observed.requests, last_third, observed.outage_ended_at),
        served_share_after: served_share(
            &observed.requests,
            observed.outage_ended_at + RECOVERY_TIME,
            observed.outage_ended_at + Duration::from_secs(60),
        ),
        schedulers_without_usable_worker: observed.logs.iter().filter(had_no_usable_worker).count(),
        log_lines: observed.logs.iter().map(|log| log.lines().count()).sum::<usize>()
            / observed.logs.len().max(1),
    }
}
