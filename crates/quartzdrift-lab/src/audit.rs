//! Judges a day from its record alone: the five rules, and never two attempts of a request at once.
use crate::record::{Observation, RecordLine};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How much later one fake may see something than another saw its cause, in microseconds: they are threads
/// that share a few cores with the gateways, and a closed connection is seen when its thread is next run.
pub const OBSERVATION_LAG_US: u64 = 75_000;

/// What is promised to whom.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Guarantees {
    /// Request classes that must never run twice, and those that may within a window (microseconds).
    #[serde(rename = "run_once")]
    pub non_idempotent: BTreeSet<String>,
    #[serde(rename = "windows_us")]
    pub deduplication_windows_us: BTreeMap<String, u64>,
    pub drain_grace_us: u64,
    pub fall_multiple: f64,
    pub fall_window_us: u64,
    #[serde(rename = "load_free")]
    pub load_quota_burst: f64,
    #[serde(rename = "load_share")]
    pub load_quota_share: f64,
    /// 0: load orders are not rationed.
    pub load_window_us: u64,
    /// Asynchronous requests are over by the end of the record.
    #[serde(rename = "deferred_over")]
    pub asynchronous_completes: bool,
    /// And those too that a gateway held when it was killed, unless it never came back.
    #[serde(default)]
    pub durable: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    RequestLost,
    DuplicateEffect,
    DrainGrace,
    ColdWorkerOverload,
    LoadQuota,
    ConcurrentAttempts,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub at_us: u64,
    pub description: String,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::RequestLost => "no job lost",
            Rule::DuplicateEffect => "no effect twice",
            Rule::DrainGrace => "drains kept",
            Rule::ColdWorkerOverload => "no cold worker pushed over",
            Rule::LoadQuota => "loads rationed",
            Rule::ConcurrentAttempts => "never two executions at once",
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

struct Asked<'a> {
    at: u64,
    gateway: u64,
    key: &'a str,
    request_class: &'a str,
    asynchronous: bool,
    limit: u64,
}

struct Attempt<'a> {
    worker: &'a str,
    incarnation: u64,
    request: &'a str,
    key: &'a str,
    from: u64,
    to: Option<u64>,
    refused: bool,
    work: u64,
    began: bool,
}

/// Everything joined by what it is about.
#[derive(Default)]
struct Day<'a> {
    asked: BTreeMap<u64, Asked<'a>>,
    answers: BTreeMap<u64, Vec<(u64, u16)>>,
    left: BTreeMap<u64, u64>,
    cut: BTreeMap<u64, u64>,
    attempts: Vec<Attempt<'a>>,
    /// When each gateway was down: from its kill to its next start, or on to the end.
    down: BTreeMap<u64, Vec<(u64, u64)>>,
    /// When workers lost what they remembered.
    forgot: Vec<u64>,
    /// When gateways lost what they had kept.
    disks: Vec<(u64, u64)>,
    end: u64,
}

fn join(lines: &[RecordLine]) -> Day<'_> {
    let mut day = Day::default();
    let mut open: BTreeMap<(&str, u64, u64), usize> = BTreeMap::new();
    for RecordLine { at_us, seen } in lines {
        let at = *at_us;
        day.end = day.end.max(at);
        match seen {
            Observation::CallSent {
                call,
                gateway,
                key,
                request_class,
                asynchronous,
                limit_us,
            } => {
                let (gateway, asynchronous, limit) = (*gateway, *asynchronous, *limit_us);
                day.asked.insert(
                    *call,
                    Asked {
                        at,
                        gateway,
                        key,
                        request_class,
                        asynchronous,
                        limit,
                    },
                );
            }
            Observation::ResponseReceived { call, status, .. } => {
                day.answers.entry(*call).or_default().push((at, *status))
            }
            Observation::ClientDisconnected { call } => drop(day.left.insert(*call, at)),
            Observation::ConnectionLost { call } => drop(day.cut.insert(*call, at)),
            Observation::AttemptReceived {
                worker,
                incarnation,
                call,
                request,
                key,
                work_us,
                ..
            } => {
                open.insert((worker, *incarnation, *call), day.attempts.len());
                day.attempts.push(Attempt {
                    worker,
                    incarnation: *incarnation,
                    request,
                    key,
                    from: at,
                    to: None,
                    refused: false,
                    work: *work_us,
                    began: false,
                });
            }
            Observation::AttemptExecuted {
                worker,
                incarnation,
                call,
                ..
            } => {
                if let Some(&of) = open.get(&(worker.as_str(), *incarnation, *call)) {
                    day.attempts[of].began = true;
                }
            }
            Observation::AttemptRejected {
                worker,
                incarnation,
                call,
            } => {
                if let Some(&of) = open.get(&(worker.as_str(), *incarnation, *call)) {
                    day.attempts[of].refused = true;
                }
            }
            Observation::AttemptEnded {
                worker,
                incarnation,
                call,
            } => {
                if let Some(&of) = open.get(&(worker.as_str(), *incarnation, *call)) {
                    day.attempts[of].to.get_or_insert(at);
                }
            }
            Observation::GatewayKilled { gateway } => {
                day.down.entry(*gateway).or_default().push((at, u64::MAX))
            }
            Observation::GatewayStarted { gateway } => {
                if let Some(last) = day.down.get_mut(gateway).and_then(|times| times.last_mut()) {
                    last.1 = last.1.min(at);
                }
            }
            Observation::WorkersLostPower => day.forgot.push(at),
            Observation::GatewayDiskLost { gateway } => day.disks.push((*gateway, at)),
            Observation::LoadCommandReceived { .. }
            | Observation::EndpointDownSent { .. }
            | Observation::EndpointUpSent { .. }
            | Observation::WorkerStarted { .. }
            | Observation::WorkerOverloaded { .. }
            | Observation::FetchRequested { .. }
            | Observation::FetchRefused { .. } => {}
        }
    }
    day
}

/// All that is broken, in the order of time.
pub fn audit(lines: &[RecordLine], terms: &Guarantees) -> Vec<Violation> {
    let day = join(lines);
    let mut broken = Vec::new();
    lost(&day, terms, &mut broken);
    twice(&day, terms, &mut broken);
    at_once(&day, &mut broken);
    drains(lines, terms, &mut broken);
    cold(lines, &day, terms, &mut broken);
    loads(lines, terms, &mut broken);
    broken.sort_by_key(|b| (b.at_us, b.rule));
    broken
}

/// Each request that a running gateway took gets one final answer, within its limit; what it held when it was killed
/// is no longer its duty, nor is an answer to a client that left.
fn lost(day: &Day, terms: &Guarantees, broken: &mut Vec<Violation>) {
    let handled: BTreeSet<&str> = day.attempts.iter().filter(|e| e.began).map(|e| e.key).collect();
    for (call, asked) in &day.asked {
        let until = asked.at + asked.limit + OBSERVATION_LAG_US;
        let killed = |by: u64| {
            let times = day.down.get(&asked.gateway);
            times.is_some_and(|times| times.iter().any(|(from, to)| *from <= by && asked.at <= *to))
        };
        let mut add = |at_us: u64, description: String| {
            broken.push(Violation {
                rule: Rule::RequestLost,
                at_us,
                description,
            })
        };
        let answers = day.answers.get(call).map_or(&[][..], Vec::as_slice);
        match answers {
            [] => {
                let left = day.left.get(call).is_some_and(|at| *at < until);
                if !left && !killed(until) && until < day.end {
                    let how = if day.cut.contains_key(call) {
                        "was cut off"
                    } else {
                        "got no answer"
                    };
                    add(
                        until,
                        format!("call {call} to gateway {} {how} within its limit", asked.gateway),
                    );
                }
            }
            [(at, _)] if *at > until => {
                add(
                    *at,
                    format!(
                        "call {call} was answered {} ms past its limit",
                        (at - until + OBSERVATION_LAG_US) / 1000
                    ),
                );
            }
            [_] => {}
            [_, (at, _), ..] => add(*at, format!("call {call} was answered twice")),
        }
        if let (true, true, [(at, 202)]) = (asked.asynchronous, terms.asynchronous_completes, answers) {
            let dead = format!("dead:{}", asked.key);
            let seen = handled.contains(asked.key) || day.attempts.iter().any(|e| e.key == dead);
            let never_back = day
                .down
                .get(&asked.gateway)
                .is_some_and(|times| times.iter().any(|(_, to)| *to == u64::MAX));
            let gone = day
                .disks
                .iter()
                .any(|(of, at)| *of == asked.gateway && asked.at < *at);
            let excused = gone
                || if terms.durable {
                    never_back
                } else {
                    killed(day.end)
                };
            if !seen && !excused {
                add(
                    *at,
                    format!("deferred job {} was taken and never run or given up", asked.key),
                );
            }
        }
    }
}

/// By request class: non-idempotent requests are not sent again unless every earlier attempt is known not to have run, and
/// fingerprinted ones only within the window of the first.
fn twice(day: &Day, terms: &Guarantees, broken: &mut Vec<Violation>) {
    let request_class: BTreeMap<&str, &str> = day.asked.values().map(|a| (a.key, a.request_class)).collect();
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    for attempt in day.attempts.iter().filter(|e| !e.refused && !e.key.is_empty()) {
        let Some(request_class) = request_class.get(attempt.key) else {
            continue;
        };
        let Some(&began) = first.get(attempt.key) else {
            first.insert(attempt.key, attempt.from);
            continue;
        };
        let (at_us, key) = (attempt.from, attempt.key);
        if terms.non_idempotent.contains(*request_class) {
            let description = format!(
                "run-once job {key} came to {} after it may have run",
                attempt.worker
            );
            broken.push(Violation {
                rule: Rule::DuplicateEffect,
                at_us,
                description,
            });
        }
        let window = terms.deduplication_windows_us.get(*request_class);
        let forgot = day.forgot.iter().any(|at| began < *at && *at < at_us);
        if window.is_some() && forgot {
            let description = format!(
                "fingerprinted job {key} came to {} after workers forgot it",
                attempt.worker
            );
            broken.push(Violation {
                rule: Rule::DuplicateEffect,
                at_us,
                description,
            });
        }
        if window.is_some_and(|window| at_us > began + window + OBSERVATION_LAG_US) {
            let description = format!(
                "fingerprinted job {key} came to {} past its window",
                attempt.worker
            );
            broken.push(Violation {
                rule: Rule::DuplicateEffect,
                at_us,
                description,
            });
        }
    }
}

fn at_once(day: &Day, broken: &mut Vec<Violation>) {
    let mut of: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    day.attempts
        .iter()
        .filter(|e| !e.request.is_empty())
        .for_each(|e| of.entry(e.request).or_default().push(e));
    for (request, mut all) in of {
        all.sort_by_key(|e| e.from);
        for pair in all.windows(2) {
            if pair[0].to.is_none_or(|to| to > pair[1].from + OBSERVATION_LAG_US) {
                let (first, second) = (pair[0].worker, pair[1].worker);
                let description = format!("job {request} came to {second} while it was out at {first}");
                broken.push(Violation {
                    rule: Rule::ConcurrentAttempts,
                    at_us: pair[1].from,
                    description,
                });
            }
        }
    }
}

fn drains(lines: &[RecordLine], terms: &Guarantees, broken: &mut Vec<Violation>) {
    let mut away: BTreeMap<(u64, &str), u64> = BTreeMap::new();
    for RecordLine { at_us, seen } in lines {
        match seen {
            Observation::EndpointDownSent { gateway, worker } => {
                away.entry((*gateway, worker)).or_insert(*at_us);
            }
            Observation::EndpointUpSent { gateway, worker } => {
                away.remove(&(*gateway, worker.as_str()));
            }
            Observation::GatewayStarted { gateway } => away.retain(|(of, _), _| of != gateway),
            Observation::AttemptReceived { worker, gateway, .. }
            | Observation::LoadCommandReceived { worker, gateway } => {
                let told = away.get(&(*gateway, worker.as_str()));
                if let Some(told) =
                    told.filter(|told| *at_us > **told + terms.drain_grace_us + OBSERVATION_LAG_US)
                {
                    let late = (at_us - told) / 1000;
                    let description =
                        format!("gateway {gateway} sent {worker} work {late} ms after it was told");
                    broken.push(Violation {
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

fn cold(lines: &[RecordLine], day: &Day, terms: &Guarantees, broken: &mut Vec<Violation>) {
    let mut starts: BTreeMap<(&str, u64), (u64, f64, f64, u64)> = BTreeMap::new();
    for RecordLine { at_us, seen } in lines {
        match seen {
            Observation::WorkerStarted {
                worker,
                incarnation,
                cores,
                cold_from,
                cold_us,
            } => {
                starts.insert((worker, *incarnation), (*at_us, *cores, *cold_from, *cold_us));
            }
            Observation::WorkerOverloaded { worker } => {
                let description = format!("{worker} fell over");
                broken.push(Violation {
                    rule: Rule::ColdWorkerOverload,
                    at_us: *at_us,
                    description,
                });
            }
            _ => {}
        }
    }
    if terms.fall_multiple <= 0.0 {
        return;
    }
    for ((worker, incarnation), (start, cores, cold_from, cold_us)) in starts {
        let came = day
            .attempts
            .iter()
            .filter(|e| e.worker == worker && e.incarnation == incarnation);
        let came: Vec<(u64, u64)> = came.map(|e| (e.from, e.work)).collect();
        let mut from = 0;
        for (n, (at, _)) in came.iter().enumerate() {
            if at.saturating_sub(start) >= cold_us {
                break;
            }
            while came[from].0 + terms.fall_window_us < *at {
                from += 1;
            }
            let sum: u64 = came[from..=n].iter().map(|(_, work)| work).sum();
            let warmth = cold_from + (1.0 - cold_from) * (at - start) as f64 / cold_us as f64;
            if sum as f64 > terms.fall_multiple * cores * warmth * terms.fall_window_us as f64 {
                let description = format!(
                    "{worker} was sent {} ms of work in a window while cold",
                    sum / 1000
                );
                broken.push(Violation {
                    rule: Rule::ColdWorkerOverload,
                    at_us: *at,
                    description,
                });
                break;
            }
        }
    }
}

fn loads(lines: &[RecordLine], terms: &Guarantees, broken: &mut Vec<Violation>) {
    if terms.load_window_us == 0 {
        return;
    }
    let mut of: BTreeMap<u64, (Vec<u64>, Vec<u64>)> = BTreeMap::new();
    for RecordLine { at_us, seen } in lines {
        match seen {
            Observation::CallSent { gateway, .. } => of.entry(*gateway).or_default().0.push(*at_us),
            Observation::LoadCommandReceived { gateway, .. } => {
                let (requests, orders) = of.entry(*gateway).or_default();
                orders.push(*at_us);
                let since = at_us.saturating_sub(terms.load_window_us);
                let count =
                    |times: &[u64], since: u64| times.iter().filter(|at| **at >= since).count() as f64;
                // Requests that came a moment before the window count for the doubt that clocks leave.
                let most = terms.load_quota_burst
                    + terms.load_quota_share * count(requests, since.saturating_sub(OBSERVATION_LAG_US));
                let ordered = count(orders, since);
                if ordered > most {
                    let description = format!(
                        "gateway {gateway} gave {ordered} orders to load where {most:.1} are allowed"
                    );
                    broken.push(Violation {
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

    fn terms() -> Guarantees {
        Guarantees {
            non_idempotent: BTreeSet::from(["once".to_owned()]),
            deduplication_windows_us: BTreeMap::from([("marked".to_owned(), 1_000_000)]),
            drain_grace_us: 250_000,
            fall_multiple: 3.0,
            fall_window_us: 1_000_000,
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

    fn asked(call: u64, request_class: &str, asynchronous: bool) -> Observation {
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

    fn came(worker: &str, call: u64, key: &str) -> Observation {
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

    fn over(worker: &str, call: u64) -> Observation {
        Observation::AttemptEnded {
            worker: worker.to_owned(),
            incarnation: 1,
            call,
        }
    }

    fn began(worker: &str, call: u64) -> Observation {
        Observation::AttemptExecuted {
            worker: worker.to_owned(),
            incarnation: 1,
            call,
            warm: true,
        }
    }

    /// A day on which all is kept.
    fn good() -> Vec<RecordLine> {
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
            line(10, asked(1, "once", false)),
            line(11, came("a", 1, "k1")),
            line(15, began("a", 1)),
            line(15, over("a", 1)),
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

    fn rules(extra: Vec<RecordLine>) -> Vec<Rule> {
        let mut lines = good();
        lines.extend(extra);
        lines.sort_by_key(|line| line.at_us);
        audit(&lines, &terms())
            .into_iter()
            .map(|broken| broken.rule)
            .collect()
    }

    #[test]
    fn a_good_day_is_good() {
        assert_eq!(rules(Vec::new()), []);
    }

    #[test]
    fn each_doctored_day_breaks_its_rule() {
        let lost = vec![line(100, asked(2, "any", false))];
        assert_eq!(rules(lost), [Rule::RequestLost]);
        let late = vec![line(100, asked(2, "any", false)), line(3300, answered(2, 429))];
        assert_eq!(rules(late), [Rule::RequestLost]);
        let again = vec![line(17, answered(1, 200))];
        assert_eq!(rules(again), [Rule::RequestLost]);
        let forgotten = vec![line(100, asked(2, "any", true)), line(101, answered(2, 202))];
        assert_eq!(rules(forgotten), [Rule::RequestLost]);
        let twice = vec![line(500, came("b", 2, "k1")), line(501, over("b", 2))];
        assert_eq!(rules(twice), [Rule::DuplicateEffect]);
        let window = vec![
            line(100, asked(2, "marked", false)),
            line(101, came("b", 2, "k2")),
            line(102, over("b", 2)),
            line(2000, came("c", 3, "k2")),
            line(2001, over("c", 3)),
            line(2002, answered(2, 200)),
        ];
        assert_eq!(rules(window), [Rule::DuplicateEffect]);
        let at_once = vec![
            line(100, asked(2, "any", false)),
            line(101, came("b", 2, "k2")),
            line(102, came("c", 3, "k2")),
            line(900, over("b", 2)),
            line(901, over("c", 3)),
            line(902, answered(2, 200)),
        ];
        assert_eq!(rules(at_once), [Rule::ConcurrentAttempts]);
        let drain = vec![line(400, came("a", 2, "")), line(401, over("a", 2))];
        assert_eq!(rules(drain), [Rule::DrainGrace]);
        let fell = vec![line(400, Observation::WorkerOverloaded { worker: "a".into() })];
        assert_eq!(rules(fell), [Rule::ColdWorkerOverload]);
        let loads = vec![line(
            400,
            Observation::LoadCommandReceived {
                worker: "b".into(),
                gateway: 0,
            },
        )];
        assert_eq!(rules(loads), [Rule::LoadQuota]);
    }

    #[test]
    fn too_much_work_for_a_cold_worker_is_seen_without_its_fall() {
        let push = |n: u64| {
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
        assert_eq!(rules((0..5).map(push).collect()), [Rule::ColdWorkerOverload]);
        assert_eq!(rules((0..4).map(push).collect()), []);
    }

    #[test]
    fn a_killed_gateway_owes_nothing_and_its_successor_was_told_nothing() {
        let killed = vec![
            line(100, asked(2, "any", false)),
            line(150, Observation::ConnectionLost { call: 2 }),
            line(149, Observation::GatewayKilled { gateway: 0 }),
            line(300, Observation::GatewayStarted { gateway: 0 }),
            line(400, came("a", 2, "")),
            line(401, over("a", 2)),
        ];
        assert_eq!(rules(killed), []);
    }
}
