//! Plays every file in `scenarios/`. A line is a setting, an event or an expectation; `#` begins a remark.
//!
//!     set effect run-once        effect, group, window, executions, schedulers, workloads, importance,
//!                                customers, keep, fall (`-`: untold), told, cancel, report held, discovery
//!                                ask, target (start target), ask-within, retry-after (push-backs must then
//!                                name a time within it)
//!     at 100ms                   time of what follows
//!     list full a b:draining c^2s d@1*2  form, then workers: state, start, zone, kind of machine
//!     set memory 1000            of a worker, in MB
//!     job 7 f left=1s            a job of function f; `workload=`, `customer=` and `mb=` may follow
//!     jobs 10 40 f g workload=1  jobs 10 to 39, of the functions in turn; with `every=` one after the
//!                                other, each finished at once, in 300 ms on the kind named by `slow=`
//!     end 7 finished warm        how its execution ended; `over`, `open` (it is not), `unloadable` (its load failed),
//!                                `took=`, `held=` may follow
//!     end-all finished           the same for every execution that is out
//!     tick, expire 7             the module's timer; the client left
//!     sent 7 to a                expected among the actions since: also `not a`, or neither
//!     set orders free=2 share=0 window=5s fetch=0.1 memory=1   load orders, their ration and prices
//!     expect f sure=0.9 within=8s mb=100     a forecast; then `ordered f`, `loaded f` (or error, full),
//!                                and `sent-there 7`: to the worker where it was loaded
//!     replace 10000 30 every=1s  a list of 30 workers, of which one is replaced every second, 10000 times
//!     places-most workers 630    kept, of workers, functions or jobs; also places-least
//!     pushed-back 7, killed 7, cancelled 7, watched, quiet, sent-most a 5, sent-least a 5,
//!     loads-most 4               pairs of a function and a worker that was sent it, since `recount`
//!     schedulers 40              so many from now on
//!     restart knowing            a new start that is told what the old one had measured; `restart`: it is not; what
//!                                was sent counts anew
//!     forget                     drops the actions since
use quartzdrift_scheduler::interface::*;
use quartzdrift_scheduler::scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

type Line<'a> = Result<(), String>;

#[derive(Default)]
struct Play {
    settings: Settings,
    scheduler: Option<Scheduler>,
    now: Duration,
    pending: Vec<Action>,
    /// Request to worker and number of the attempt that is out.
    out: BTreeMap<RequestId, (String, u32)>,
    attempts: BTreeMap<RequestId, u32>,
    sends: BTreeMap<String, u32>,
    functions: BTreeMap<RequestId, String>,
    pairs: BTreeSet<(String, String)>,
    kinds: BTreeMap<String, String>,
    /// Where the last load order found went.
    ordered: String,
}

fn span(text: &str) -> Result<Duration, String> {
    let (number, unit) = text.split_at(text.find(|c: char| c.is_alphabetic()).unwrap_or(text.len()));
    let number: f64 = number.parse().map_err(|_| format!("no time: {text}"))?;
    match unit {
        "s" => Ok(Duration::from_secs_f64(number)),
        "ms" => Ok(Duration::from_secs_f64(number / 1000.0)),
        _ => Err(format!("no unit of time: {text}")),
    }
}

fn number<T: std::str::FromStr>(text: Option<&&str>) -> Result<T, String> {
    text.and_then(|t| t.parse().ok()).ok_or(format!("no number: {text:?}"))
}

fn entry(text: &str) -> Result<Endpoint<'_>, String> {
    let mut entry = Endpoint { state: EndpointState::Up, ..Endpoint::default() };
    let end = text.find([':', '^', '@', '*']).unwrap_or(text.len());
    entry.worker = &text[..end];
    let mut rest = &text[end..];
    while let Some(sign) = rest.chars().next() {
        let end = rest[1..].find([':', '^', '@', '*']).map_or(rest.len(), |at| at + 1);
        let value = &rest[1..end];
        match (sign, value) {
            (':', "draining") => entry.state = EndpointState::Draining,
            (':', "gone") => entry.state = EndpointState::Gone,
            ('^', _) => entry.started = Some(span(value)?),
            ('*', _) => entry.kind = number(Some(&value))?,
            ('@', _) => entry.zone = number(Some(&value))?,
            _ => return Err(format!("no worker: {text}")),
        }
        rest = &rest[end..];
    }
    Ok(entry)
}

/// The value of a word such as `customer=1`.
fn value_of<'a>(words: &[&'a str], key: &str) -> Option<&'a str> {
    words.iter().find_map(|w| w.strip_prefix(key)?.strip_prefix('='))
}

impl Play {
    fn set(&mut self, words: &[&str]) -> Line<'_> {
        let s = &mut self.settings;
        if s.request_classes.is_empty() {
            s.request_classes
                .push(RequestClass { timeout: Some(Duration::from_secs(3)), ..RequestClass::default() });
        }
        let request_class = &mut s.request_classes[0];
        let value = words.get(1).copied().unwrap_or("");
        match words[0] {
            "effect" => {
                request_class.idempotency = match value {
                    "restartable" => Idempotency::Idempotent,
                    "fingerprinted" => Idempotency::IdempotentWithKey,
                    "run-once" => Idempotency::NonIdempotent,
                    _ => return Err(format!("no effect: {value}")),
                }
            }
            "group" if value == "zone" => request_class.deduplication_scope = DeduplicationScope::Zone,
            "window" => request_class.window = Some(span(value)?),
            "executions" => s.allowed.max_attempts = Some(number(words.get(1))?),
            "schedulers" => s.schedulers = Some(number(words.get(1))?),
            "customers" => {
                let tenant = Tenant { requests_per_second: Some(10.0), ..Tenant::default() };
                s.tenants.resize(number(words.get(1))?, tenant);
            }
            "importance" => {
                for (request_class, word) in s.request_classes.iter_mut().zip(&words[1..]) {
                    request_class.priority_weight = Some(number(Some(word))?);
                }
            }
            "workloads" => s.request_classes.resize(number(words.get(1))?, s.request_classes[0].clone()),
            "keep" => s.copies.keep = Some(span(value)?),
            "fall" => {
                let told = |at| words.get(at).copied().filter(|word: &&str| *word != "-");
                s.rules.cold_from = told(1).map(|w| number(Some(&w))).transpose()?;
                s.rules.cold_for = told(2).map(span).transpose()?;
                s.rules.fall_multiple = told(3).map(|w| number(Some(&w))).transpose()?;
                s.rules.fall_window = told(4).map(span).transpose()?;
            }
            "memory" => s.copies.memory_mb_by_kind = vec![number(Some(&value))?],
            "told" => s.copies.reports_cache_status = true,
            "cancel" => s.allowed.cancel = true,
            "orders" => {
                s.copies.load_commands = true;
                s.copies.load_quota_burst = value_of(words, "free").map(|w| number(Some(&w))).transpose()?;
                s.copies.load_quota_share = value_of(words, "share").map(|w| number(Some(&w))).transpose()?;
                s.copies.load_quota_window = value_of(words, "window").map(span).transpose()?;
                s.prices.origin = value_of(words, "fetch").map_or(Ok(0.0), |w| number(Some(&w)))?;
                s.copies.idle_memory_price =
                    value_of(words, "memory").map(|w| number(Some(&w))).transpose()?;
                s.copies.memory_mb_by_kind = vec![1000.0];
            }
            "report" if value == "memory" => s.report_fields = vec![ReportField::MemoryTaken],
            "report" if value == "held" => s.report_fields = vec![ReportField::Held],
            "discovery" if value == "ask" => s.discovery = DiscoveryMode::Poll,
            "target" => request_class.latency_objective = Some(span(value)?),
            "ask-within" => s.rules.ask_within = Some(span(value)?),
            "retry-after" => {
                s.allowed.retry_after = true;
                s.allowed.max_retry_after = Some(span(value)?);
            }
            _ => return Err(format!("no setting: {words:?}")),
        }
        Ok(())
    }

    fn give(&mut self, event: Event) {
        let scheduler = self.scheduler.get_or_insert_with(|| Scheduler::new(&self.settings, 11));
        for action in scheduler.handle(self.now, event) {
            if let Action::StartAttempt { request, worker, .. } = &action {
                let attempts = self.attempts.entry(*request).or_default();
                let before = self.out.insert(*request, (worker.to_string(), *attempts));
                assert!(before.is_none(), "job {request} has two executions out");
                *attempts += 1;
                *self.sends.entry(worker.to_string()).or_default() += 1;
                self.pairs.extend(self.functions.get(request).map(|of| (of.clone(), worker.to_string())));
            }
            self.pending.push(action);
        }
    }

    fn request(&mut self, request: RequestId, function: &str, words: &[&str]) -> Line<'_> {
        let count = |key| value_of(words, key).map_or(Ok(0), |w| number(Some(&w)));
        let (request_class, tenant) = (count("workload")?, count("customer")?);
        let left = span(value_of(words, "left").unwrap_or("3s"))?;
        let memory_mb = value_of(words, "mb").map(|w| number(Some(&w))).transpose()?;
        let asked =
            Request { request, function, left, request_class, tenant, memory_mb, ..Request::default() };
        self.functions.insert(request, function.to_owned());
        self.give(Event::Request(asked));
        Ok(())
    }

    fn end(&mut self, request: RequestId, words: &[&str]) -> Line<'_> {
        let (worker, attempt) =
            self.out.remove(&request).ok_or(format!("job {request} has no execution out"))?;
        let outcome = match words[0] {
            "finished" => Outcome::Succeeded,
            "error" => Outcome::Error,
            "full" => Outcome::AtCapacity,
            "timed-out" => Outcome::TimedOut,
            "connect-failed" => Outcome::ConnectFailed,
            "reset" => Outcome::Reset,
            "cancelled" => Outcome::Cancelled,
            "moot" => Outcome::NeverSent,
            "miss" => Outcome::CacheMiss,
            other => return Err(format!("no outcome: {other}")),
        };
        let (mut concluded, mut cache_result) = (outcome == Outcome::Succeeded, CacheResult::Unknown);
        let (mut duration, mut report) = (Duration::from_millis(100), Vec::new());
        for word in &words[1..] {
            match word.split_once('=') {
                None if *word == "over" => concluded = true,
                None if *word == "open" => concluded = false,
                None if *word == "warm" => cache_result = CacheResult::Warm,
                None if *word == "began" => cache_result = CacheResult::StartedLoad,
                None if *word == "unloadable" => cache_result = CacheResult::LoadFailed,
                Some(("took", value)) => duration = span(value)?,
                Some(("held", value)) => report = vec![Some(number(Some(&value))?)],
                _ => return Err(format!("no detail of an end: {word}")),
            }
        }
        let worker = worker.as_str();
        self.give(Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            duration,
            concluded,
            cache_result,
            concurrency: None,
            report,
        });
        Ok(())
    }

    fn expect(&mut self, what: &str, is: impl Fn(&Action) -> bool) -> Line<'_> {
        let at = self.pending.iter().position(is);
        at.map(|at| self.pending.remove(at)).ok_or(format!("no {what} in {:?}", self.pending))?;
        Ok(())
    }

    fn line(&mut self, words: &[&str]) -> Line<'_> {
        let request = || number::<RequestId>(words.get(1));
        match words[0] {
            "set" if words.len() > 1 => self.set(&words[1..])?,
            "at" => self.now = span(words.get(1).unwrap_or(&""))?,
            "list" => {
                let form = match words.get(1) {
                    Some(&"full") => EndpointListKind::Full,
                    Some(&"saved") => EndpointListKind::Snapshot,
                    Some(&"changes") => EndpointListKind::Changes,
                    Some(&"failed") => EndpointListKind::Failed,
                    other => return Err(format!("no form of list: {other:?}")),
                };
                let entries = words[2..].iter().map(|w| entry(w)).collect::<Result<Vec<_>, _>>()?;
                self.kinds.extend(entries.iter().map(|e| (e.worker.to_owned(), e.kind.to_string())));
                self.give(Event::EndpointList { form, entries });
            }
            "job" => {
                self.request(request()?, words.get(2).unwrap_or(&"f"), words)?;
            }
            "jobs" => {
                let functions = words.get(3..).filter(|f| !f.is_empty()).ok_or("no functions")?;
                let functions: Vec<_> = functions.iter().filter(|f| !f.contains('=')).collect();
                let every = value_of(words, "every").map(span).transpose()?;
                for request in request()?..number(words.get(2))? {
                    let function = functions[request as usize % functions.len()];
                    self.now += every.unwrap_or_default();
                    self.request(request, function, words)?;
                    if every.is_some() && self.out.contains_key(&request) {
                        let slow = self.kinds.get(&self.out[&request].0)
                            == value_of(words, "slow").map(String::from).as_ref();
                        self.end(request, if slow { &["finished", "took=300ms"] } else { &["finished"] })?;
                    }
                }
            }
            "end" if words.len() > 2 => self.end(request()?, &words[2..])?,
            "end-all" if words.len() > 1 => {
                for request in self.out.keys().copied().collect::<Vec<_>>() {
                    self.end(request, &words[1..])?;
                }
            }
            "tick" => self.give(Event::Timer { name: "tick" }),
            "expire" => self.give(Event::RequestCancelled { request: request()? }),
            "sent" => {
                let wanted = request()?;
                let fits = |worker: &str| match (words.get(2), words.get(3)) {
                    (Some(&"to"), Some(name)) => worker == *name,
                    (Some(&"not"), Some(name)) => worker != *name,
                    _ => true,
                };
                let sent = |a: &Action| match a {
                    Action::StartAttempt { request, worker, .. } => *request == wanted && fits(worker),
                    _ => false,
                };
                self.expect(&words.join(" "), sent)?;
            }
            "pushed-back" => {
                let wanted = request()?;
                let Allowed { retry_after, max_retry_after: most, .. } = self.settings.allowed;
                let allowed = |back: Duration| !back.is_zero() && most.is_none_or(|most| back <= most);
                let named = |back: Option<Duration>| back.map_or(!retry_after, |b| retry_after && allowed(b));
                self.expect(
                    "push-back, with a time to come back where settings allow",
                    |a| matches!(a, Action::Reject { request, retry_after } if *request == wanted && named(*retry_after)),
                )?;
            }
            "killed" => {
                let wanted = request()?;
                self.expect("kill", |a| *a == Action::Fail { request: wanted })?;
            }
            "cancelled" => {
                let wanted = request()?;
                self.expect(
                    "cancel",
                    |a| matches!(a, Action::CancelAttempt { request, .. } if *request == wanted),
                )?;
            }
            "watched" => self.expect("watch", |a| *a == Action::Watch { on: true })?,
            "replace" => {
                let (count, up): (usize, usize) = (number(words.get(1))?, number(words.get(2))?);
                let every = span(value_of(words, "every").unwrap_or("1s"))?;
                for n in 0..count {
                    self.now += every;
                    let (new, old) = (format!("r{n}"), format!("r{}", n.wrapping_sub(up)));
                    let entry = |worker, state| Endpoint { worker, state, ..Endpoint::default() };
                    let entries = vec![entry(&new, EndpointState::Up), entry(&old, EndpointState::Gone)];
                    self.give(Event::EndpointList { form: EndpointListKind::Changes, entries });
                    self.request(1_000_000 + n as RequestId, "f", &[])?;
                    self.end(1_000_000 + n as RequestId, &["finished"])?;
                }
            }
            "places-most" | "places-least" => {
                let sizes = self.scheduler.as_ref().map(|s| s.table_sizes()).unwrap_or_default();
                let kept = match words.get(1) {
                    Some(&"workers") => sizes.workers,
                    Some(&"functions") => sizes.functions,
                    _ => sizes.open_requests,
                };
                let bound: usize = number(words.get(2))?;
                if if words[0] == "places-most" { kept > bound } else { kept < bound } {
                    return Err(format!("{kept} places are kept"));
                }
            }
            "expect" => {
                let within = span(value_of(words, "within").unwrap_or("8s"))?;
                let probability = value_of(words, "sure").map_or(Ok(1.0), |w| number(Some(&w)))?;
                let memory_mb = value_of(words, "mb").map(|w| number(Some(&w))).transpose()?;
                let function = words.get(1).copied().unwrap_or("f");
                let of =
                    UsageForecast { function, within, probability, memory_mb, ..UsageForecast::default() };
                self.give(Event::UsageForecast(of));
            }
            "ordered" => {
                let function = words.get(1).copied().unwrap_or("f");
                let at = self.pending.iter().position(
                    |a| matches!(a, Action::Load { function: of, copies: 1, .. } if &**of == function),
                );
                let at = at.ok_or(format!("no order to load {function} in {:?}", self.pending))?;
                if let Action::Load { worker, .. } = self.pending.remove(at) {
                    self.ordered = worker.to_string();
                }
            }
            "loaded" => {
                let (worker, function) = (self.ordered.clone(), words.get(1).copied().unwrap_or("f"));
                let (outcome, copies) = match words.get(2) {
                    Some(&"error") => (Outcome::Error, 0),
                    Some(&"full") => (Outcome::AtCapacity, 0),
                    _ => (Outcome::Succeeded, 1),
                };
                let duration = Duration::from_millis(500);
                self.give(Event::LoadEnded { worker: &worker, function, outcome, duration, copies });
            }
            "sent-there" => {
                let (request, worker) = (request()?, self.ordered.clone());
                self.expect("send to where it was loaded", |a| {
                    matches!(a, Action::StartAttempt { request: of, worker: to, .. } if *of == request && **to == *worker)
                })?;
            }
            "schedulers" => self.give(Event::SchedulerCount(number(words.get(1))?)),
            "restart" => {
                let before = self.scheduler.take().map(|old| old.measured);
                self.sends.clear();
                if let (Some(before), Some(&"knowing")) = (before, words.get(1)) {
                    self.give(Event::RestoredMeasurements(before));
                }
            }
            "forget" => self.pending.clear(),
            "recount" => {
                self.sends.clear();
                self.pairs.clear();
            }
            "loads-most" => {
                if self.pairs.len() > number(words.get(1))? {
                    return Err(format!("{} pairs: {:?}", self.pairs.len(), self.pairs));
                }
            }
            "quiet" => {
                self.pending.retain(|a| !matches!(a, Action::SetTimer { .. }));
                if !self.pending.is_empty() {
                    return Err(format!("not quiet: {:?}", self.pending));
                }
            }
            "sent-most" => {
                let (sent, most): (u32, u32) =
                    (*self.sends.get(words[1]).unwrap_or(&0), number(words.get(2))?);
                if sent > most {
                    return Err(format!("{} was sent {sent}", words[1]));
                }
            }
            "sent-least" => {
                let (sent, least): (u32, u32) =
                    (*self.sends.get(words[1]).unwrap_or(&0), number(words.get(2))?);
                if sent < least {
                    return Err(format!("{} was sent {sent}", words[1]));
                }
            }
            other => return Err(format!("cannot read '{other}'")),
        }
        Ok(())
    }
}

#[test]
fn all_scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    assert!(!files.is_empty(), "no scenario in {folder}");
    let mut failed = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        let mut play = Play::default();
        for (n, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
            if !words.is_empty()
                && let Err(why) = play.line(&words)
            {
                failed.push(format!("{}:{}: {why}", file.display(), n + 1));
                break;
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
