//! Evaluates a run by the operators' rules for requests and attempts.
use super::client::{FLOOD_ID, RequestOutcome, RequestRecord};
use super::stalls::StallMeter;
use super::worker::AttemptRecord;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// A connection that is closed at most this long after a request was sent counts as a race with the close,
/// after which the client sends the request again.
const MAX_CLOSE_RACE: Duration = Duration::from_millis(50);
/// No attempt may begin this long after the client aborted the request or closed its connection.
const MAX_ATTEMPT_DELAY_AFTER_ABORT: Duration = Duration::from_millis(100);
/// Longest time by which a worker's time limit may exceed the remaining time of the client.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(150);
/// A request whose response comes this long after its timeout counts as lost.
const LATE_RESPONSE: Duration = Duration::from_millis(500);
/// Tolerance for the order of events that different worker threads record, such as the end of one attempt and
/// the start of the next.
const THREAD_ORDER_SLACK: Duration = Duration::from_millis(30);

/// The recorded data of a run, on one monotonic clock.
pub struct Observations<'a> {
    pub requests: &'a [RequestRecord],
    pub attempts: &'a [AttemptRecord],
    pub stalls: &'a StallMeter,
    /// Start and end of each time for which the scheduler was stopped by SIGSTOP.
    pub pauses: &'a [(Instant, Instant)],
}

/// Returns a sentence for each rule that the run broke.
pub fn violations(observed: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for request in observed.requests {
        violations.extend(request_violation(observed, request));
    }
    let by_id: HashMap<u64, &RequestRecord> = observed
        .requests
        .iter()
        .map(|request| (request.id, request))
        .collect();
    let mut stale_attempts = Vec::new();
    let recorded = |attempt: &&AttemptRecord| attempt.id < FLOOD_ID;
    for attempt in observed.attempts.iter().filter(recorded) {
        match by_id.get(&attempt.id) {
            Some(request) => stale_attempts
                .extend(attempt_violation(observed, request, attempt).map(|violation| (attempt, violation))),
            None => violations.push(format!(
                "{:016x}: an attempt for an id that no client sent",
                attempt.id
            )),
        }
    }
    violations.extend(without_last_writes(observed, stale_attempts));
    violations.extend(attempt_overlaps(observed));
    violations
}

/// Removes the violations that a pause of the scheduler explains. A process that is stopped just before a
/// write sends it unchanged when it continues. So one stale attempt per pause is allowed, if it arrived as
/// the pause ended.
fn without_last_writes(
    observed: &Observations,
    mut stale_attempts: Vec<(&AttemptRecord, String)>,
) -> Vec<String> {
    for (_, end) in observed.pauses {
        let arrived_after_pause = |(attempt, _): &(&AttemptRecord, String)| {
            let stalled = observed.stalls.between(*end, attempt.received_at);
            attempt.received_at >= *end && attempt.received_at <= *end + THREAD_ORDER_SLACK + stalled
        };
        if stale_attempts
            .iter()
            .filter(|stale| arrived_after_pause(stale))
            .count()
            == 1
        {
            stale_attempts.retain(|stale| !arrived_after_pause(stale));
        }
    }
    stale_attempts
        .into_iter()
        .map(|(_, violation)| violation)
        .collect()
}

fn request_violation(observed: &Observations, request: &RequestRecord) -> Option<String> {
    let took = request.ended_at - request.sent_at;
    let stalled = observed.stalls.between(request.sent_at, request.ended_at);
    let id = request.id;
    match request.outcome {
        RequestOutcome::Answered {
            body_matches: false, ..
        } => Some(format!("{id:016x}: wrong response body")),
        RequestOutcome::Answered { .. } if took > request.timeout + LATE_RESPONSE + stalled => Some(format!(
            "{id:016x}: answered after {took:?}, with a timeout of {:?}",
            request.timeout
        )),
        RequestOutcome::ConnectionLost { raced_close: false } => Some(format!(
            "{id:016x}: its connection was closed after other requests of its batch were answered"
        )),
        RequestOutcome::ConnectionLost { .. } if request.follows_raced_close => {
            Some(format!("{id:016x}: raced a second close in a row"))
        }
        RequestOutcome::ConnectionLost { .. } if took > MAX_CLOSE_RACE + stalled => {
            Some(format!("{id:016x}: its connection was closed after {took:?}"))
        }
        RequestOutcome::Answered { .. }
        | RequestOutcome::ConnectionLost { .. }
        | RequestOutcome::Aborted
        | RequestOutcome::ClientClosed
        | RequestOutcome::NotSent => None,
    }
}

/// Checks that the scheduler's private memory, in megabytes, stayed within its limit.
pub fn memory_excess(peak_mb: f64, limit_mb: f64) -> Option<String> {
    (peak_mb > limit_mb)
        .then(|| format!("killed with {peak_mb:.1} MB of private memory, above {limit_mb} MB"))
}

/// Checks that the scheduler held no more descriptors than its configuration states.
pub fn descriptor_excess(peak: usize, limit: usize) -> Option<String> {
    (peak > limit).then(|| format!("{peak} descriptors, above {limit}"))
}

/// Checks that the scheduler answered each request that it read; returns the violation, if any. It may have
/// read any number of the requests whose connections the clients closed. `received`: number of complete
/// requests that the scheduler read, as it logs at its exit.
pub fn unanswered(requests: &[RequestRecord], received: Option<u64>) -> Option<String> {
    let Some(received) = received else {
        return Some("the scheduler logged no count of received requests".to_owned());
    };
    let count =
        |wanted: fn(&RequestOutcome) -> bool| requests.iter().filter(|r| wanted(&r.outcome)).count() as u64;
    let answered =
        count(|outcome| matches!(outcome, RequestOutcome::Answered { .. } | RequestOutcome::Aborted));
    let closed_by_client = count(|outcome| matches!(outcome, RequestOutcome::ClientClosed));
    let is_expected = (answered..=answered + closed_by_client).contains(&received);
    (!is_expected).then(|| {
        format!(
            "{received} requests were read, {answered} answered, {closed_by_client} closed by their clients"
        )
    })
}

/// Checks that the scheduler discarded no bytes that it had read from clients; returns the violation, if any.
pub fn discarded(bytes: Option<u64>) -> Option<String> {
    bytes
        .filter(|bytes| *bytes > 0)
        .map(|bytes| format!("{bytes} bytes were read and discarded"))
}

fn attempt_violation(
    observed: &Observations,
    request: &RequestRecord,
    attempt: &AttemptRecord,
) -> Option<String> {
    let id = attempt.id;
    let stalled = observed.stalls.between(request.sent_at, attempt.received_at);
    let is_aborted = matches!(
        request.outcome,
        RequestOutcome::ClientClosed | RequestOutcome::Aborted
    );
    if is_aborted && attempt.received_at > request.ended_at + MAX_ATTEMPT_DELAY_AFTER_ABORT + stalled {
        let delay = attempt.received_at - request.ended_at;
        return Some(format!(
            "{id:016x}: an attempt {delay:?} after its client aborted it or closed the connection"
        ));
    }
    let remaining = (request.sent_at + request.timeout).saturating_duration_since(attempt.received_at);
    let time_limit = Duration::from_millis(attempt.time_limit_ms);
    (time_limit > remaining + TIME_LIMIT_SLACK + stalled).then(|| {
        format!("{id:016x}: a worker received a time limit of {time_limit:?} with {remaining:?} remaining")
    })
}

/// Returns a sentence for each pair of attempts of one request that ran at the same time, and for each
/// non-idempotent request with more than one attempt.
fn attempt_overlaps(observed: &Observations) -> Vec<String> {
    let mut by_id: BTreeMap<u64, Vec<&AttemptRecord>> = BTreeMap::new();
    for attempt in observed.attempts {
        by_id.entry(attempt.id).or_default().push(attempt);
    }
    let mut violations = Vec::new();
    for (id, mut attempts) in by_id {
        attempts.sort_by_key(|attempt| attempt.received_at);
        if attempts.len() > 1 && id.is_multiple_of(3) {
            violations.push(format!(
                "{id:016x}: {} attempts of a request that may run only once",
                attempts.len()
            ));
        }
        for pair in attempts.windows(2) {
            let ended_at = pair[0].ended_at.unwrap_or_else(Instant::now);
            let stalled = observed.stalls.between(pair[0].received_at, ended_at);
            if ended_at > pair[1].received_at + THREAD_ORDER_SLACK + stalled {
                violations.push(format!(
                    "{id:016x}: two attempts at the same time, for {:?}",
                    ended_at - pair[1].received_at
                ));
            }
        }
    }
    violations
}
