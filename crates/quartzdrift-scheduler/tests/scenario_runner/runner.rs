//! The state of a scenario, and which line is played where.
use super::{Result, Words};
use quartzdrift_scheduler::interface::{Action, Event, RequestId, Settings};
use quartzdrift_scheduler::scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Seed of every scenario's scheduler.
const SEED: u64 = 11;

/// The attempt of a request that is in flight.
pub(crate) struct InFlight {
    pub(crate) worker: String,
    pub(crate) attempt: u32,
}

/// A scenario that is played, with a scheduler that the first event makes.
#[derive(Default)]
pub(crate) struct Runner {
    pub(crate) settings: Settings,
    pub(crate) scheduler: Option<Scheduler>,
    pub(crate) now: Duration,
    /// Actions that no line has expected yet.
    pub(crate) pending: Vec<Action>,
    pub(crate) in_flight: BTreeMap<RequestId, InFlight>,
    /// Attempts of each request so far.
    pub(crate) attempts: BTreeMap<RequestId, u32>,
    /// Attempts at each worker so far.
    pub(crate) sends: BTreeMap<String, u32>,
    pub(crate) functions: BTreeMap<RequestId, String>,
    /// Functions and workers that were sent them.
    pub(crate) pairs: BTreeSet<(String, String)>,
    pub(crate) kinds: BTreeMap<String, String>,
    /// Worker of the last load command that was expected.
    pub(crate) load_worker: String,
}

impl Runner {
    /// Plays a line that has words.
    pub(crate) fn line(&mut self, words: &Words) -> Result {
        match words.get(0).unwrap_or("") {
            "set" if words.len() > 1 => self.set(words),
            "at" => words.duration(1).map(|now| self.now = now),
            "list" => self.list(words),
            "confirmed" => {
                let as_of = if words.len() > 1 { words.duration(1)? } else { self.now };
                self.event(Event::EndpointsConfirmed { as_of })
            }
            "disconnected" => self.event(Event::WorkerDisconnected { worker: words.get(1).unwrap_or("") }),
            "replace" => self.replace(words),
            "job" => self.request(words.number(1)?, words.get(2).unwrap_or("f"), words),
            "jobs" => self.requests(words),
            "end" if words.len() > 2 => self.end(words.number(1)?, words.from(2)),
            "end-all" if words.len() > 1 => self.end_all(words.from(1)),
            "tick" => self.event(Event::Timer { name: "tick" }),
            "expire" => self.event(Event::RequestCancelled { request: words.number(1)? }),
            "expect" => self.forecast(words),
            "loaded" => self.loaded(words),
            "schedulers" => self.event(Event::SchedulerCount(words.number(1)?)),
            "restart" => self.restart(words),
            "forget" => {
                self.pending.clear();
                Ok(())
            }
            "recount" => {
                self.sends.clear();
                self.pairs.clear();
                Ok(())
            }
            _ => self.expectation(words),
        }
    }

    /// Passes an event to the scheduler, and stores its actions.
    pub(crate) fn event(&mut self, event: Event) -> Result {
        let scheduler = self.scheduler.get_or_insert_with(|| Scheduler::new(&self.settings, SEED));
        for action in scheduler.handle(self.now, event) {
            if let Action::StartAttempt { request, worker, .. } = &action {
                let attempts = self.attempts.entry(*request).or_default();
                let attempt = InFlight { worker: worker.to_string(), attempt: *attempts };
                let before = self.in_flight.insert(*request, attempt);
                assert!(before.is_none(), "job {request} has two executions out");
                *attempts += 1;
                *self.sends.entry(worker.to_string()).or_default() += 1;
                let function = self.functions.get(request);
                self.pairs.extend(function.map(|function| (function.clone(), worker.to_string())));
            }
            self.pending.push(action);
        }
        Ok(())
    }

    fn restart(&mut self, words: &Words) -> Result {
        let measured = self.scheduler.take().map(|scheduler| scheduler.measurements);
        self.sends.clear();
        match measured {
            Some(measured) if words.get(1) == Some("knowing") => {
                self.event(Event::RestoredMeasurements(measured))
            }
            _ => Ok(()),
        }
    }
}
