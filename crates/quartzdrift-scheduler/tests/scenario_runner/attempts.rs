//! Lines on requests: their arrival, and how their attempts end.
use super::words::{duration, number};
use super::{Result, Runner, Words};
use quartzdrift_scheduler::interface::{CacheResult, Event, Outcome, Request, RequestId};
use std::time::Duration;

/// How an attempt ended, as a line tells it.
struct End {
    concluded: bool,
    cache_result: CacheResult,
    duration: Duration,
    report: Vec<Option<f64>>,
}

impl Runner {
    pub(crate) fn request(&mut self, request: RequestId, function: &str, words: &Words) -> Result {
        self.functions.insert(request, function.to_owned());
        self.event(Event::Request(Request {
            id: request,
            function,
            time_left: words.duration_of("left")?.unwrap_or(Duration::from_secs(3)),
            request_class: words.number_of("workload")?.unwrap_or(0),
            tenant: words.number_of("customer")?.unwrap_or(0),
            memory_mb: words.number_of("mb")?,
            ..Request::default()
        }))
    }

    /// Requests of several functions in turn; with `every=` one after the other.
    pub(crate) fn requests(&mut self, words: &Words) -> Result {
        let functions = words.from(3).iter().filter(|word| !word.contains('='));
        let functions: Vec<&str> = functions.copied().collect();
        if functions.is_empty() {
            return Err("no functions".to_owned());
        }
        let every = words.duration_of("every")?;
        for request in words.number(1)?..words.number(2)? {
            let function = functions[request as usize % functions.len()];
            self.now += every.unwrap_or_default();
            self.request(request, function, words)?;
            if every.is_some() {
                self.end_at_once(request, words.value("slow"))?;
            }
        }
        Ok(())
    }

    fn end_at_once(&mut self, request: RequestId, slow_kind: Option<&str>) -> Result {
        let Some(attempt) = self.in_flight.get(&request) else { return Ok(()) };
        let kind = self.kinds.get(&attempt.worker).map(String::as_str);
        let is_slow = kind == slow_kind;
        self.end(request, if is_slow { &["finished", "took=300ms"] } else { &["finished"] })
    }

    pub(crate) fn end_all(&mut self, words: &[&str]) -> Result {
        let requests: Vec<RequestId> = self.in_flight.keys().copied().collect();
        requests.into_iter().try_for_each(|request| self.end(request, words))
    }

    pub(crate) fn end(&mut self, request: RequestId, words: &[&str]) -> Result {
        let in_flight = self.in_flight.remove(&request);
        let in_flight = in_flight.ok_or(format!("job {request} has no execution out"))?;
        let outcome = outcome(words[0])?;
        let end = End::read(outcome, &words[1..])?;
        self.event(Event::AttemptEnded {
            request,
            attempt: in_flight.attempt,
            worker: &in_flight.worker,
            outcome,
            duration: end.duration,
            concluded: end.concluded,
            cache_result: end.cache_result,
            concurrency: None,
            report: end.report,
        })
    }
}

impl End {
    fn read(outcome: Outcome, words: &[&str]) -> Result<End> {
        let mut end = End {
            concluded: outcome == Outcome::Succeeded,
            cache_result: CacheResult::Unknown,
            duration: Duration::from_millis(100),
            report: Vec::new(),
        };
        for word in words {
            match word.split_once('=') {
                None if *word == "over" => end.concluded = true,
                None if *word == "open" => end.concluded = false,
                None if *word == "warm" => end.cache_result = CacheResult::Warm,
                None if *word == "began" => end.cache_result = CacheResult::StartedLoad,
                None if *word == "unloadable" => end.cache_result = CacheResult::LoadFailed,
                Some(("took", value)) => end.duration = duration(value)?,
                Some(("held", value)) => end.report = vec![Some(number(value)?)],
                _ => return Err(format!("no detail of an end: {word}")),
            }
        }
        Ok(end)
    }
}

fn outcome(text: &str) -> Result<Outcome> {
    Ok(match text {
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
    })
}
