//! State of a scenario, and the dispatch of its lines.
use super::{Result, Words};
use quartzdrift_scheduler::interface::{Action, Event, RequestId, Settings};
use quartzdrift_scheduler::scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Seed of every scenario's scheduler.
const SEED: u64 = 11;

/// The attempt of a request that is in flight.
pub(crate) struct InFlightAttempt {
    pub(crate) worker: String,
    /// Number of the attempt within its request, from 0.
    pub(crate) number: u32,
}

/// Runs a scenario. The first event creates the scheduler.
#[derive(Default)]
pub(crate) struct Runner {
    pub(crate) settings: Settings,
    pub(crate) scheduler: Option<Scheduler>,
    pub(crate) now: Duration,
    /// Actions that no expectation has consumed yet.
    pub(crate) pending_actions: Vec<Action>,
    pub(crate) in_flight: BTreeMap<RequestId, InFlightAttempt>,
    /// Number of attempts so far, by request.
    pub(crate) attempt_counts: BTreeMap<RequestId, u32>,
    /// Number of attempts since the last `recount` or `restart`, by worker.
    pub(crate) worker_attempt_counts: BTreeMap<String, u32>,
    /// Function of each request.
    pub(crate) functions: BTreeMap<RequestId, String>,
    /// Functions and workers with an attempt since the last `recount`.
    pub(crate) attempted_pairs: BTreeSet<(String, String)>,
    /// Kind of machine of each worker.
    pub(crate) machine_kinds: BTreeMap<String, String>,
    /// Worker of the last load command that an expectation consumed.
    pub(crate) last_load_worker: String,
}

impl Runner {
    /// Runs a line with at least one word.
    pub(crate) fn run_line(&mut self, words: &Words) -> Result {
        match words.get(0).unwrap_or("") {
            "set" if words.len() > 1 => self.apply_setting(words),
            "at" => words.duration(1).map(|now| self.now = now),
            "list" => self.send_endpoint_list(words),
            "confirmed" => {
                let as_of = if words.len() > 1 { words.duration(1)? } else { self.now };
                self.handle_event(Event::EndpointsConfirmed { as_of })
            }
            "disconnected" => {
                self.handle_event(Event::WorkerDisconnected { worker: words.get(1).unwrap_or("") })
            }
            "replace" => self.replace_workers(words),
            "job" => self.send_request(words.number(1)?, words.get(2).unwrap_or("f"), words),
            "jobs" => self.send_requests(words),
            "end" if words.len() > 2 => self.end_attempt(words.number(1)?, words.from(2)),
            "end-all" if words.len() > 1 => self.end_all_attempts(words.from(1)),
            "tick" => self.handle_event(Event::Timer { name: "tick" }),
            "expire" => self.handle_event(Event::RequestCancelled { request: words.number(1)? }),
            "expect" => self.send_forecast(words),
            "loaded" => self.end_load_command(words),
            "schedulers" => self.handle_event(Event::SchedulerCount(words.number(1)?)),
            "restart" => self.restart_scheduler(words),
            "forget" => {
                self.pending_actions.clear();
                Ok(())
            }
            "recount" => {
                self.worker_attempt_counts.clear();
                self.attempted_pairs.clear();
                Ok(())
            }
            _ => self.check_expectation(words),
        }
    }

    /// Passes an event to the scheduler, and stores the resulting actions.
    pub(crate) fn handle_event(&mut self, event: Event) -> Result {
        let scheduler = self.scheduler.get_or_insert_with(|| Scheduler::new(&self.settings, SEED));
        for action in scheduler.handle(self.now, event) {
            if let Action::StartAttempt { request, worker, .. } = &action {
                let count = self.attempt_counts.entry(*request).or_default();
                let attempt = InFlightAttempt { worker: worker.to_string(), number: *count };
                let previous = self.in_flight.insert(*request, attempt);
                assert!(previous.is_none(), "request {request} has two attempts in flight");
                *count += 1;
                *self.worker_attempt_counts.entry(worker.to_string()).or_default() += 1;
                let function = self.functions.get(request);
                self.attempted_pairs.extend(function.map(|function| (function.clone(), worker.to_string())));
            }
            self.pending_actions.push(action);
        }
        Ok(())
    }

    fn restart_scheduler(&mut self, words: &Words) -> Result {
        let measurements = self.scheduler.take().map(|scheduler| scheduler.measurements);
        self.worker_attempt_counts.clear();
        match measurements {
            Some(measurements) if words.get(1) == Some("knowing") => {
                self.handle_event(Event::RestoredMeasurements(measurements))
            }
            _ => Ok(()),
        }
    }
}
