//! Lines about requests: their arrival and the ends of their attempts.
use super::words::{parse_duration, parse_number};
use super::{Result, Runner, Words};
use quartzdrift_scheduler::interface::{CacheResult, Event, Outcome, Request, RequestId};
use std::time::Duration;

/// Details of an attempt's end besides its outcome.
struct EndDetails {
    concluded: bool,
    cache_result: CacheResult,
    duration: Duration,
    report: Vec<Option<f64>>,
}

impl Runner {
    pub(crate) fn send_request(&mut self, request: RequestId, function: &str, words: &Words) -> Result {
        self.functions.insert(request, function.to_owned());
        self.handle_event(Event::Request(Request {
            id: request,
            function,
            time_left: words.duration_value("left")?.unwrap_or(Duration::from_secs(3)),
            request_class: words.number_value("workload")?.unwrap_or(0),
            tenant: words.number_value("customer")?.unwrap_or(0),
            memory_mb: words.number_value("mb")?,
            ..Request::default()
        }))
    }

    /// Sends requests for several functions in turn. With `every=`, sends them at this interval, and ends
    /// each successfully before the next.
    pub(crate) fn send_requests(&mut self, words: &Words) -> Result {
        let functions = words.from(3).iter().filter(|word| !word.contains('='));
        let functions: Vec<&str> = functions.copied().collect();
        if functions.is_empty() {
            return Err(format!("no function in {:?}", words.joined()));
        }
        let interval = words.duration_value("every")?;
        for request in words.number(1)?..words.number(2)? {
            let function = functions[request as usize % functions.len()];
            self.now += interval.unwrap_or_default();
            self.send_request(request, function, words)?;
            if interval.is_some() {
                self.finish_request(request, words.value("slow"))?;
            }
        }
        Ok(())
    }

    /// Ends the request's attempt successfully, if one is in flight.
    fn finish_request(&mut self, request: RequestId, slow_kind: Option<&str>) -> Result {
        let Some(attempt) = self.in_flight.get(&request) else { return Ok(()) };
        let kind = self.machine_kinds.get(&attempt.worker).map(String::as_str);
        let is_slow = kind == slow_kind;
        self.end_attempt(request, if is_slow { &["finished", "took=300ms"] } else { &["finished"] })
    }

    pub(crate) fn end_all_attempts(&mut self, words: &[&str]) -> Result {
        let requests: Vec<RequestId> = self.in_flight.keys().copied().collect();
        requests.into_iter().try_for_each(|request| self.end_attempt(request, words))
    }

    pub(crate) fn end_attempt(&mut self, request: RequestId, words: &[&str]) -> Result {
        let attempt = self.in_flight.remove(&request);
        let attempt = attempt.ok_or(format!("request {request} has no attempt in flight"))?;
        let outcome = parse_outcome(words[0])?;
        let details = EndDetails::parse(outcome, &words[1..])?;
        self.handle_event(Event::AttemptEnded {
            request,
            attempt: attempt.number,
            worker: &attempt.worker,
            outcome,
            duration: details.duration,
            concluded: details.concluded,
            cache_result: details.cache_result,
            concurrency: None,
            report: details.report,
        })
    }
}

impl EndDetails {
    fn parse(outcome: Outcome, words: &[&str]) -> Result<EndDetails> {
        let mut details = EndDetails {
            concluded: outcome == Outcome::Succeeded,
            cache_result: CacheResult::Unknown,
            duration: Duration::from_millis(100),
            report: Vec::new(),
        };
        for word in words {
            match word.split_once('=') {
                None if *word == "over" => details.concluded = true,
                None if *word == "open" => details.concluded = false,
                None if *word == "warm" => details.cache_result = CacheResult::Warm,
                None if *word == "began" => details.cache_result = CacheResult::StartedLoad,
                None if *word == "unloadable" => details.cache_result = CacheResult::LoadFailed,
                Some(("took", value)) => details.duration = parse_duration(value)?,
                Some(("held", value)) => details.report = vec![Some(parse_number(value)?)],
                _ => return Err(format!("unknown detail {word:?} of an attempt's end")),
            }
        }
        Ok(details)
    }
}

fn parse_outcome(text: &str) -> Result<Outcome> {
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
        other => return Err(format!("unknown outcome {other:?}")),
    })
}
