//! Audits the record of a scenario run: checks each [`Rule`] against the recorded lines, and against nothing
//! else.
use crate::record::{Observation, RecordLine};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Longest delay, in microseconds, between an event at one fake and its observation at another. Fakes are
/// threads that share a few cores with the gateways, and a closed connection is noticed only when its thread
/// runs next.
pub const OBSERVATION_LAG_US: u64 = 75_000;

/// The guarantees and limits that a record is checked against.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Guarantees {
    /// Request classes whose requests must never run twice.
    #[serde(rename = "run_once")]
    pub non_idempotent: BTreeSet<String>,
    /// Deduplication windows in microseconds, by request class: requests of these classes may be sent again
    /// within the window.
    #[serde(rename = "windows_us")]
    pub deduplication_windows_us: BTreeMap<String, u64>,
    /// Longest time, in microseconds, that a gateway may keep using a worker after discovery reported to it
    /// that the worker drains.
    pub drain_grace_us: u64,
    /// Overload bound of a cold worker: the work sent to it within `overload_window_us`, as a multiple of its
    /// capacity over that window. With 0 the bound is not checked.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall_window_us")]
    pub overload_window_us: u64,
    /// Load commands that a gateway may send within `load_window_us` without any request.
    #[serde(rename = "load_free")]
    pub load_quota_burst: f64,
    /// Further load commands allowed for each request within `load_window_us`.
    #[serde(rename = "load_share")]
    pub load_quota_share: f64,
    /// Window of the load quota in microseconds. With 0 the quota is not checked.
    pub load_window_us: u64,
    /// Whether accepted asynchronous requests must have completed by the end of the record.
    #[serde(rename = "deferred_over")]
    pub asynchronous_completes: bool,
    /// Whether asynchronous requests survive the kill of their gateway, provided that it is started again.
    #[serde(default)]
    pub durable: bool,
}

/// A rule that [`audit`] checks. Violations at the same time are sorted in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted request gets exactly one response within its time limit.
    RequestLost,
    /// No request has its effect more often than its idempotency allows.
    DuplicateEffect,
    /// A gateway stops using a draining worker within the drain grace.
    DrainGrace,
    /// No cold worker is sent more work than its overload bound.
    ColdWorkerOverload,
    /// A gateway sends no more load commands than its quota allows.
    LoadQuota,
    /// No two attempts of a request run at the same time.
    ConcurrentAttempts,
}

/// A broken rule, with the time in microseconds since the start of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub at_us: u64,
    pub description: String,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::RequestLost => "no request lost",
            Rule::DuplicateEffect => "no duplicate effect",
            Rule::DrainGrace => "drain grace kept",
            Rule::ColdWorkerOverload => "no cold worker overloaded",
            Rule::LoadQuota => "load quota kept",
            Rule::ConcurrentAttempts => "no concurrent attempts",
        })
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{:.3} s: {}: {}",
            self.at_us as f64 / 1e6,
            self.rule,
            self.description
        )
    }
}

/// A call that a client sent to a gateway; times are in microseconds.
struct ClientCall<'a> {
    sent_us: u64,
    gateway: u64,
    key: &'a str,
    request_class: &'a str,
    asynchronous: bool,
    limit_us: u64,
}

/// An attempt that reached a worker; times are in microseconds.
struct Attempt<'a> {
    worker: &'a str,
    incarnation: u64,
    /// The gateway's id of the request.
    request: &'a str,
    /// The client's key of the request.
    key: &'a str,
    started_us: u64,
    ended_us: Option<u64>,
    /// Whether the worker rejected the call without executing it.
    rejected: bool,
    work_us: u64,
    /// Whether the worker executed the call.
    executed: bool,
}

/// The lines of a record, grouped by the call, gateway or attempt that they are about.
#[derive(Default)]
struct JoinedRecord<'a> {
    calls: BTreeMap<u64, ClientCall<'a>>,
    /// Time and status of each response, by call.
    responses: BTreeMap<u64, Vec<(u64, u16)>>,
    /// Time at which the client disconnected, by call.
    disconnected: BTreeMap<u64, u64>,
    /// Time at which the connection was closed without a response, by call.
    closed: BTreeMap<u64, u64>,
    attempts: Vec<Attempt<'a>>,
    /// Intervals in which a gateway was down: from its kill to its next start, or to [`u64::MAX`] without
    /// one.
    downtimes: BTreeMap<u64, Vec<(u64, u64)>>,
    /// Times at which the workers lost power, and their deduplication state with it.
    worker_power_losses: Vec<u64>,
    /// Gateways that lost their stored state, with the time.
    disk_losses: Vec<(u64, u64)>,
    end_us: u64,
}

fn join(lines: &[RecordLine]) -> JoinedRecord<'_> {
    let mut record = JoinedRecord::default();
    let mut attempt_index: BTreeMap<(&str, u64, u64), usize> = BTreeMap::new();
    for RecordLine { at_us, seen } in lines {
        let at = *at_us;
        record.end_us = record.end_us.max(at);
        match seen {
            Observation::CallSent {
                call,
                gateway,
                key,
                request_class,
                asynchronous,
                limit_us,
            } => {
                let client_call = ClientCall {
                    sent_us: at,
                    gateway: *gateway,
                    key,
                    request_class,
                    asynchronous: *asynchronous,
                    limit_us: *limit_us,
                };
                record.calls.insert(*call, client_call);
            }
            Observation::ResponseReceived { call, status, .. } => {
                record.responses.entry(*call).or_default().push((at, *status));
            }
            Observation::ClientDisconnected { call } => drop(record.disconnected.insert(*call, at)),
            Observation::ConnectionLost { call } => drop(record.closed.insert(*call, at)),
            Observation::AttemptReceived {
                worker,
                incarnation,
                call,
                request,
                key,
                work_us,
                ..
            } => {
                attempt_index.insert((worker, *incarnation, *call), record.attempts.len());
                record.attempts.push(Attempt {
                    worker,
                    incarnation: *incarnation,
                    request,
                    key,
                    started_us: at,
                    ended_us: None,
                    rejected: false,
                    work_us: *work_us,
                    executed: false,
                });
            }
            Observation::AttemptExecuted {
                worker,
                incarnation,
                call,
                ..
            } => {
                if let Some(&index) = attempt_index.get(&(worker.as_str(), *incarnation, *call)) {
                    record.attempts[index].executed = true;
                }
            }
            Observation::AttemptRejected {
                worker,
                incarnation,
                call,
            } => {
                if let Some(&index) = attempt_index.get(&(worker.as_str(), *incarnation, *call)) {
                    record.attempts[index].rejected = true;
                }
            }
            Observation::AttemptEnded {
                worker,
                incarnation,
                call,
            } => {
                if let Some(&index) = attempt_index.get(&(worker.as_str(), *incarnation, *call)) {
                    record.attempts[index].ended_us.get_or_insert(at);
                }
            }
            Observation::GatewayKilled { gateway } => {
                record.downtimes.entry(*gateway).or_default().push((at, u64::MAX));
            }
            Observation::GatewayStarted { gateway } => {
                let downtimes = record.downtimes.get_mut(gateway);
                if let Some(last) = downtimes.and_then(|times| times.last_mut()) {
                    last.1 = last.1.min(at);
                }
            }
            Observation::WorkersLostPower => record.worker_power_losses.push(at),
            Observation::GatewayDiskLost { gateway } => record.disk_losses.push((*gateway, at)),
            Observation::LoadCommandReceived { .. }
            | Observation::EndpointDownSent { .. }
            | Observation::EndpointUpSent { .. }
            | Observation::WorkerStarted { .. }
            | Observation::WorkerOverloaded { .. }
            | Observation::FetchRequested { .. }
            | Observation::FetchRefused { .. } => {}
        }
    }
    record
}

/// Returns all violations of the rules, sorted by time.
pub fn audit(lines: &[RecordLine], guarantees: &Guarantees) -> Vec<Violation> {
    let record = join(lines);
    let mut violations = Vec::new();
    check_lost_requests(&record, guarantees, &mut violations);
    check_duplicate_effects(&record, guarantees, &mut violations);
    check_concurrent_attempts(&record, &mut violations);
    check_drain_grace(lines, guarantees, &mut violations);
    check_cold_workers(lines, &record, guarantees, &mut violations);
    check_load_quota(lines, guarantees, &mut violations);
    violations.sort_by_key(|violation| (violation.at_us, violation.rule));
    violations
}

/// Checks that a request gets one final response within its time limit. A gateway that was killed need not
/// answer the requests that it held, and no gateway need answer a client that disconnected.
fn check_lost_requests(record: &JoinedRecord, guarantees: &Guarantees, violations: &mut Vec<Violation>) {
    let executed = record.attempts.iter().filter(|attempt| attempt.executed);
    let executed_keys: BTreeSet<&str> = executed.map(|attempt| attempt.key).collect();
    for (call, client_call) in &record.calls {
        let gateway = client_call.gateway;
        let limit_ms = client_call.limit_us / 1000;
        let deadline = client_call.sent_us + client_call.limit_us + OBSERVATION_LAG_US;
        let downtimes = record.downtimes.get(&gateway).map_or(&[][..], Vec::as_slice);
        let was_down_before = |time: u64| {
            let overlaps = |(from, to): &(u64, u64)| *from <= time && client_call.sent_us <= *to;
            downtimes.iter().any(overlaps)
        };
        let mut report = |at_us: u64, description: String| {
            violations.push(Violation {
                rule: Rule::RequestLost,
                at_us,
                description,
            })
        };
        let responses = record.responses.get(call).map_or(&[][..], Vec::as_slice);
        match responses {
            [] => {
                let disconnected = record.disconnected.get(call).is_some_and(|at| *at < deadline);
                if !disconnected && !was_down_before(deadline) && deadline < record.end_us {
                    let outcome = if record.closed.contains_key(call) {
                        "the connection was closed without a response"
                    } else {
                        "no response"
                    };
                    let description = format!(
                        "call {call} to gateway {gateway}: {outcome} within its limit of {limit_ms} ms"
                    );
                    report(deadline, description);
                }
            }
            [(at, _)] if *at > deadline => {
                let late_ms = (at - deadline + OBSERVATION_LAG_US) / 1000;
                let description = format!(
                    "call {call} to gateway {gateway} was answered {late_ms} ms after its {limit_ms} ms limit"
                );
                report(*at, description);
            }
            [_] => {}
            [_, (at, _), ..] => {
                let description = format!("call {call} to gateway {gateway} was answered twice");
                report(*at, description);
            }
        }
        if let (true, true, [(at, 202)]) = (
            client_call.asynchronous,
            guarantees.asynchronous_completes,
            responses,
        ) {
            let key = client_call.key;
            let failure_key = format!("dead:{key}");
            let reported_as_failed = || record.attempts.iter().any(|attempt| attempt.key == failure_key);
            let completed = executed_keys.contains(key) || reported_as_failed();
            let never_restarted = downtimes.iter().any(|(_, to)| *to == u64::MAX);
            let state_lost = record
                .disk_losses
                .iter()
                .any(|(lost_by, at)| *lost_by == gateway && client_call.sent_us < *at);
            let loss_is_permitted = state_lost
                || if guarantees.durable {
                    never_restarted
                } else {
                    was_down_before(record.end_us)
                };
            if !completed && !loss_is_permitted {
                let description = format!(
                    "asynchronous request {key} was accepted by gateway {gateway}, but neither executed nor \
                     reported as failed"
                );
                report(*at, description);
            }
        }
    }
}

/// Checks attempts after the first by request class: a non-idempotent request is sent again only if every
/// earlier attempt is known not to have run, and a request with an idempotency key only within the
/// deduplication window of its first attempt and while workers still remember that attempt.
fn check_duplicate_effects(record: &JoinedRecord, guarantees: &Guarantees, violations: &mut Vec<Violation>) {
    let request_classes: BTreeMap<&str, &str> = record
        .calls
        .values()
        .map(|call| (call.key, call.request_class))
        .collect();
    let mut first_attempts: BTreeMap<&str, u64> = BTreeMap::new();
    let may_have_run = |attempt: &&Attempt| !attempt.rejected && !attempt.key.is_empty();
    for attempt in record.attempts.iter().filter(may_have_run) {
        let Some(request_class) = request_classes.get(attempt.key) else {
            continue;
        };
        let Some(&first_us) = first_attempts.get(attempt.key) else {
            first_attempts.insert(attempt.key, attempt.started_us);
            continue;
        };
        let (at_us, key, worker) = (attempt.started_us, attempt.key, attempt.worker);
        let mut report = |description: String| {
            violations.push(Violation {
                rule: Rule::DuplicateEffect,
                at_us,
                description,
            })
        };
        if guarantees.non_idempotent.contains(*request_class) {
            report(format!(
                "non-idempotent request {key} was sent to {worker} after an earlier attempt may have run"
            ));
        }
        let Some(window_us) = guarantees.deduplication_windows_us.get(*request_class) else {
            continue;
        };
        let mut power_losses = record.worker_power_losses.iter();
        if power_losses.any(|at| first_us < *at && *at < at_us) {
            report(format!(
                "request {key} with an idempotency key was sent to {worker} after a power loss erased the \
                 workers' deduplication state"
            ));
        }
        if at_us > first_us + window_us + OBSERVATION_LAG_US {
            let (age_ms, window_ms) = ((at_us - first_us) / 1000, window_us / 1000);
            report(format!(
                "request {key} with an idempotency key was sent to {worker} {age_ms} ms after its first \
                 attempt; the deduplication window is {window_ms} ms"
            ));
        }
    }
}

fn check_concurrent_attempts(record: &JoinedRecord, violations: &mut Vec<Violation>) {
    let mut attempts_by_request: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    let identified = record
        .attempts
        .iter()
        .filter(|attempt| !attempt.request.is_empty());
    for attempt in identified {
        attempts_by_request
            .entry(attempt.request)
            .or_default()
            .push(attempt);
    }
    for (request, mut attempts) in attempts_by_request {
        attempts.sort_by_key(|attempt| attempt.started_us);
        for pair in attempts.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            let overlaps = |ended_us: u64| ended_us > second.started_us + OBSERVATION_LAG_US;
            if first.ended_us.is_none_or(overlaps) {
                let description = format!(
                    "request {request} was sent to {} while an attempt at {} was running",
                    second.worker, first.worker
                );
                violations.push(Violation {
                    rule: Rule::ConcurrentAttempts,
                    at_us: second.started_us,
                    description,
                });
            }
        }
    }
}

/// Checks that a gateway sends no call and no load command to a worker once the drain grace has passed since
/// the gateway received the report that the worker drains or is gone. A restarted gateway has received no
/// report yet.
fn check_drain_grace(lines: &[RecordLine], guarantees: &Guarantees, violations: &mut Vec<Violation>) {
    let mut unavailable_since: BTreeMap<(u64, &str), u64> = BTreeMap::new();
    for RecordLine { at_us, seen } in lines {
        match seen {
            Observation::EndpointDownSent { gateway, worker } => {
                unavailable_since.entry((*gateway, worker)).or_insert(*at_us);
            }
            Observation::EndpointUpSent { gateway, worker } => {
                unavailable_since.remove(&(*gateway, worker.as_str()));
            }
            Observation::GatewayStarted { gateway } => {
                unavailable_since.retain(|(informed_gateway, _), _| informed_gateway != gateway)
            }
            Observation::AttemptReceived { worker, gateway, .. }
            | Observation::LoadCommandReceived { worker, gateway } => {
                let Some(since) = unavailable_since.get(&(*gateway, worker.as_str())) else {
                    continue;
                };
                if *at_us > since + guarantees.drain_grace_us + OBSERVATION_LAG_US {
                    let elapsed_ms = (at_us - since) / 1000;
                    let grace_ms = guarantees.drain_grace_us / 1000;
                    let description = format!(
                        "gateway {gateway} used {worker} {elapsed_ms} ms after discovery reported that the \
                         worker is not available; the drain grace is {grace_ms} ms"
                    );
                    violations.push(Violation {
                        rule: Rule::DrainGrace,
                        at_us: *at_us,
                        description,
                    });
                }
            }
            _ => {}
        }
    }
}

/// The start of a worker, with the course of its capacity during the slow start.
struct WorkerStart {
    at_us: u64,
    cores: f64,
    /// Share of its capacity at the start, growing linearly to 1 within `cold_us`.
    cold_from: f64,
    cold_us: u64,
}

/// Checks that no worker was overloaded while it was cold: neither did a worker crash under its load, nor was
/// it sent more work within a window than the overload bound allows for its capacity at that time.
fn check_cold_workers(
    lines: &[RecordLine],
    record: &JoinedRecord,
    guarantees: &Guarantees,
    violations: &mut Vec<Violation>,
) {
    let mut starts: BTreeMap<(&str, u64), WorkerStart> = BTreeMap::new();
    for RecordLine { at_us, seen } in lines {
        match seen {
            Observation::WorkerStarted {
                worker,
                incarnation,
                cores,
                cold_from,
                cold_us,
            } => {
                let start = WorkerStart {
                    at_us: *at_us,
                    cores: *cores,
                    cold_from: *cold_from,
                    cold_us: *cold_us,
                };
                starts.insert((worker, *incarnation), start);
            }
            Observation::WorkerOverloaded { worker } => {
                let description = format!("{worker} crashed under its load while cold");
                violations.push(Violation {
                    rule: Rule::ColdWorkerOverload,
                    at_us: *at_us,
                    description,
                });
            }
            _ => {}
        }
    }
    if guarantees.overload_multiple <= 0.0 {
        return;
    }
    let window_us = guarantees.overload_window_us;
    for ((worker, incarnation), start) in starts {
        let attempts: Vec<&Attempt> = record
            .attempts
            .iter()
            .filter(|attempt| attempt.worker == worker && attempt.incarnation == incarnation)
            .collect();
        let mut window_start = 0;
        for (n, attempt) in attempts.iter().enumerate() {
            let at_us = attempt.started_us;
            if at_us.saturating_sub(start.at_us) >= start.cold_us {
                break;
            }
            while attempts[window_start].started_us + window_us < at_us {
                window_start += 1;
            }
            let work_us: u64 = attempts[window_start..=n].iter().map(|a| a.work_us).sum();
            let age_us = (at_us - start.at_us) as f64;
            let capacity_share = start.cold_from + (1.0 - start.cold_from) * age_us / start.cold_us as f64;
            let bound_us = guarantees.overload_multiple * start.cores * capacity_share * window_us as f64;
            if work_us as f64 > bound_us {
                let description = format!(
                    "{worker} was sent {} ms of work within {} ms while cold; the overload bound is {:.0} ms",
                    work_us / 1000,
                    window_us / 1000,
                    bound_us / 1000.0
                );
                violations.push(Violation {
                    rule: Rule::ColdWorkerOverload,
                    at_us,
                    description,
                });
                break;
            }
        }
    }
}

/// Times, in microseconds, of the requests to a gateway and of the load commands that it sent.
#[derive(Default)]
struct GatewayTraffic {
    requests: Vec<u64>,
    load_commands: Vec<u64>,
}

fn check_load_quota(lines: &[RecordLine], guarantees: &Guarantees, violations: &mut Vec<Violation>) {
    if guarantees.load_window_us == 0 {
        return;
    }
    let mut traffic: BTreeMap<u64, GatewayTraffic> = BTreeMap::new();
    for RecordLine { at_us, seen } in lines {
        match seen {
            Observation::CallSent { gateway, .. } => {
                traffic.entry(*gateway).or_default().requests.push(*at_us)
            }
            Observation::LoadCommandReceived { gateway, .. } => {
                let GatewayTraffic {
                    requests,
                    load_commands,
                } = traffic.entry(*gateway).or_default();
                load_commands.push(*at_us);
                let window_start = at_us.saturating_sub(guarantees.load_window_us);
                let count_since =
                    |times: &[u64], since: u64| times.iter().filter(|at| **at >= since).count() as f64;
                // Requests shortly before the window count too: the gateway may have received them within it.
                let requests = count_since(requests, window_start.saturating_sub(OBSERVATION_LAG_US));
                let quota = guarantees.load_quota_burst + guarantees.load_quota_share * requests;
                let sent = count_since(load_commands, window_start);
                if sent > quota {
                    let description = format!(
                        "gateway {gateway} sent {sent} load commands within {} ms; its quota is {quota:.1}",
                        guarantees.load_window_us / 1000
                    );
                    violations.push(Violation {
                        rule: Rule::LoadQuota,
                        at_us: *at_us,
                        description,
                    });
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn guarantees() -> Guarantees {
        Guarantees {
            non_idempotent: BTreeSet::from(["once".to_owned()]),
            deduplication_windows_us: BTreeMap::from([("marked".to_owned(), 1_000_000)]),
            drain_grace_us: 250_000,
            overload_multiple: 3.0,
            overload_window_us: 1_000_000,
            load_quota_burst: 1.0,
            load_quota_share: 0.0,
            load_window_us: 1_000_000,
            asynchronous_completes: true,
            durable: false,
        }
    }

    fn line(ms: u64, seen: Observation) -> RecordLine {
        RecordLine {
            at_us: ms * 1000,
            seen,
        }
    }

    fn sent(call: u64, request_class: &str, asynchronous: bool) -> Observation {
        let (key, request_class) = (format!("k{call}"), request_class.to_owned());
        Observation::CallSent {
            call,
            gateway: 0,
            key,
            request_class,
            asynchronous,
            limit_us: 3_000_000,
        }
    }

    fn answered(call: u64, status: u16) -> Observation {
        Observation::ResponseReceived {
            call,
            status,
            killed: false,
            function_error: false,
        }
    }

    fn arrived(worker: &str, call: u64, key: &str) -> Observation {
        let (worker, key, request) = (worker.to_owned(), key.to_owned(), "j".to_owned());
        Observation::AttemptReceived {
            worker,
            incarnation: 1,
            call,
            gateway: 0,
            request,
            attempt: 0,
            key,
            work_us: 1000,
        }
    }

    fn ended(worker: &str, call: u64) -> Observation {
        Observation::AttemptEnded {
            worker: worker.to_owned(),
            incarnation: 1,
            call,
        }
    }

    fn executed(worker: &str, call: u64) -> Observation {
        Observation::AttemptExecuted {
            worker: worker.to_owned(),
            incarnation: 1,
            call,
            warm: true,
        }
    }

    /// A record that keeps all rules.
    fn record_without_violations() -> Vec<RecordLine> {
        vec![
            line(0, Observation::GatewayStarted { gateway: 0 }),
            line(
                0,
                Observation::WorkerStarted {
                    worker: "a".into(),
                    incarnation: 1,
                    cores: 1.0,
                    cold_from: 0.2,
                    cold_us: 5_000_000,
                },
            ),
            line(10, sent(1, "once", false)),
            line(11, arrived("a", 1, "k1")),
            line(15, executed("a", 1)),
            line(15, ended("a", 1)),
            line(16, answered(1, 200)),
            line(
                20,
                Observation::EndpointDownSent {
                    gateway: 0,
                    worker: "a".into(),
                },
            ),
            line(
                30,
                Observation::LoadCommandReceived {
                    worker: "b".into(),
                    gateway: 0,
                },
            ),
            line(
                9000,
                Observation::EndpointUpSent {
                    gateway: 0,
                    worker: "a".into(),
                },
            ),
        ]
    }

    /// The rules that the record without violations breaks when the lines `extra` are added.
    fn violated_rules(extra: Vec<RecordLine>) -> Vec<Rule> {
        let mut lines = record_without_violations();
        lines.extend(extra);
        lines.sort_by_key(|line| line.at_us);
        audit(&lines, &guarantees())
            .into_iter()
            .map(|violation| violation.rule)
            .collect()
    }

    #[test]
    fn a_record_that_keeps_all_rules_has_no_violations() {
        assert_eq!(violated_rules(Vec::new()), []);
    }

    #[test]
    fn each_altered_record_violates_the_matching_rule() {
        let lost = vec![line(100, sent(2, "any", false))];
        assert_eq!(violated_rules(lost), [Rule::RequestLost]);
        let late = vec![line(100, sent(2, "any", false)), line(3300, answered(2, 429))];
        assert_eq!(violated_rules(late), [Rule::RequestLost]);
        let answered_twice = vec![line(17, answered(1, 200))];
        assert_eq!(violated_rules(answered_twice), [Rule::RequestLost]);
        let not_executed = vec![line(100, sent(2, "any", true)), line(101, answered(2, 202))];
        assert_eq!(violated_rules(not_executed), [Rule::RequestLost]);
        let sent_again = vec![line(500, arrived("b", 2, "k1")), line(501, ended("b", 2))];
        assert_eq!(violated_rules(sent_again), [Rule::DuplicateEffect]);
        let past_window = vec![
            line(100, sent(2, "marked", false)),
            line(101, arrived("b", 2, "k2")),
            line(102, ended("b", 2)),
            line(2000, arrived("c", 3, "k2")),
            line(2001, ended("c", 3)),
            line(2002, answered(2, 200)),
        ];
        assert_eq!(violated_rules(past_window), [Rule::DuplicateEffect]);
        let concurrent = vec![
            line(100, sent(2, "any", false)),
            line(101, arrived("b", 2, "k2")),
            line(102, arrived("c", 3, "k2")),
            line(900, ended("b", 2)),
            line(901, ended("c", 3)),
            line(902, answered(2, 200)),
        ];
        assert_eq!(violated_rules(concurrent), [Rule::ConcurrentAttempts]);
        let drain = vec![line(400, arrived("a", 2, "")), line(401, ended("a", 2))];
        assert_eq!(violated_rules(drain), [Rule::DrainGrace]);
        let crashed = vec![line(400, Observation::WorkerOverloaded { worker: "a".into() })];
        assert_eq!(violated_rules(crashed), [Rule::ColdWorkerOverload]);
        let loads = vec![line(
            400,
            Observation::LoadCommandReceived {
                worker: "b".into(),
                gateway: 0,
            },
        )];
        assert_eq!(violated_rules(loads), [Rule::LoadQuota]);
    }

    #[test]
    fn overload_of_a_cold_worker_is_found_without_its_crash() {
        let call = |n: u64| {
            let (worker, key, request) = ("a".to_owned(), String::new(), String::new());
            let seen = Observation::AttemptReceived {
                worker,
                incarnation: 1,
                call: 100 + n,
                gateway: 1,
                request,
                attempt: 0,
                key,
                work_us: 200_000,
            };
            line(500 + n, seen)
        };
        assert_eq!(
            violated_rules((0..5).map(call).collect()),
            [Rule::ColdWorkerOverload]
        );
        assert_eq!(violated_rules((0..4).map(call).collect()), []);
    }

    #[test]
    fn a_killed_gateway_need_not_answer_and_its_successor_knows_no_drains() {
        let killed = vec![
            line(100, sent(2, "any", false)),
            line(150, Observation::ConnectionLost { call: 2 }),
            line(149, Observation::GatewayKilled { gateway: 0 }),
            line(300, Observation::GatewayStarted { gateway: 0 }),
            line(400, arrived("a", 2, "")),
            line(401, ended("a", 2)),
        ];
        assert_eq!(violated_rules(killed), []);
    }
}
