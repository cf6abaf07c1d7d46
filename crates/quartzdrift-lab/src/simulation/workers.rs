//! Workers and the store that they fetch functions from.
use super::*;

impl Simulation<'_> {
    /// Delivers an attempt to its worker.
    pub(super) fn attempt_arrived(&mut self, w: usize, key: AttemptKey, call: u64, client: usize) {
        if self.cancelled_calls.remove(&call) {
            return;
        }
        if !self.workers[w].up {
            return self.end_attempt_without_response(key, Outcome::ConnectFailed);
        }
        let worker = &mut self.workers[w];
        worker.calls.insert(call, key);
        if worker.faults.silent || worker.faults.hang {
            return;
        }
        if worker.faults.error_share > 0.0 && self.rng.random_range(0.0..1.0) < worker.faults.error_share {
            worker.calls.remove(&call);
            return self.end_attempt_without_response(key, Outcome::Error);
        }
        let arrival = &self.arrivals[self.clients[client].arrival];
        worker.model.submit_call(
            self.now,
            call,
            &arrival.function,
            Duration::from_micros(arrival.work_us),
        );
        self.process_worker_outputs(w);
    }

    fn end_attempt_without_response(&mut self, key: AttemptKey, outcome: Outcome) {
        let (scheduler, incarnation, request, attempt) = key;
        self.schedule_message(Event::AttemptEnded {
            scheduler,
            incarnation,
            request,
            attempt,
            result: AttemptResult::without_response(outcome),
        });
    }

    /// Delivers the cancellation of a call. It is kept for a call that has not reached the worker yet.
    pub(super) fn attempt_cancelled(&mut self, w: usize, call: u64) {
        if self.workers[w].calls.remove(&call).is_some() {
            if !self.workers[w].faults.hang {
                self.workers[w].model.cancel_call(self.now, call);
            }
            self.process_worker_outputs(w);
        } else {
            self.cancelled_calls.insert(call);
        }
    }

    /// Fields of the load report that a response carries now, delayed by the worker's fault.
    fn load_report(&mut self, w: usize) -> Vec<Option<f64>> {
        let (now, worker) = (self.now, &mut self.workers[w]);
        let is_due = worker
            .load_reports
            .last()
            .is_none_or(|(at, _)| *at + REPORT_INTERVAL <= now);
        if is_due {
            let load = worker.model.current_load();
            let fields = vec![Some(load.calls as f64), Some(load.unreclaimable_memory)];
            worker.load_reports.push((now, fields));
            let oldest = now.saturating_sub(worker.faults.report_delay + REPORT_INTERVAL * 4);
            worker.load_reports.retain(|(at, _)| *at >= oldest);
        }
        let reported_at = now.saturating_sub(worker.faults.report_delay);
        let report = worker
            .load_reports
            .iter()
            .rev()
            .find(|(at, _)| *at <= reported_at)
            .or(worker.load_reports.first());
        report.map(|(_, fields)| fields.clone()).unwrap_or_default()
    }

    /// Carries out the outputs of a worker's model and schedules its next wakeup.
    pub(super) fn process_worker_outputs(&mut self, w: usize) {
        for output in self.workers[w].model.take_outputs() {
            match output {
                WorkerOutput::CallCompleted {
                    call,
                    cache_outcome,
                    concurrency,
                    awaited,
                } => {
                    if awaited {
                        self.respond(w, call, Outcome::Succeeded, cache_outcome, concurrency);
                    } else {
                        self.workers[w].calls.remove(&call);
                    }
                }
                WorkerOutput::CallRejected { call } => {
                    self.respond(w, call, Outcome::AtCapacity, CacheOutcome::Warm, 0);
                }
                WorkerOutput::CacheMiss { call } => {
                    self.respond(w, call, Outcome::CacheMiss, CacheOutcome::LoadFailed, 0);
                }
                WorkerOutput::FetchFunction {
                    load,
                    function,
                    fetch_time,
                } => self.start_fetch(w, load, function, fetch_time),
                WorkerOutput::LoadCommandEnded {
                    command,
                    copies,
                    succeeded,
                } => {
                    if let Some((scheduler, incarnation, command)) =
                        self.workers[w].load_commands.remove(&command)
                    {
                        let outcome = if succeeded {
                            Outcome::Succeeded
                        } else {
                            Outcome::AtCapacity
                        };
                        self.schedule_message(Event::LoadCommandEnded {
                            scheduler,
                            incarnation,
                            command,
                            outcome,
                            copies: copies as u32,
                        });
                    }
                }
                WorkerOutput::CrashedByOverload => {
                    self.figures.overload_crashes += 1;
                    return self.crash_worker(w);
                }
            }
        }
        let worker = &self.workers[w];
        if !worker.up || worker.faults.hang {
            return;
        }
        if let Some(next) = worker.model.next_due()
            && worker.next_wakeup.is_none_or(|at| next < at)
        {
            self.workers[w].next_wakeup = Some(next);
            self.schedule(next, Event::WorkerDue(w));
        }
    }

    fn start_fetch(&mut self, w: usize, load: u64, function: String, fetch_time: Duration) {
        self.last_id += 1;
        let fetch = self.last_id;
        self.fetches.insert(fetch, (w, self.workers[w].incarnation, load));
        let accepted = self.store.start_fetch(self.now, fetch, fetch_time);
        self.power_loss.record_fetch(function, accepted);
        if !accepted {
            self.fetch_ended(fetch, false);
        }
        self.schedule_store_wakeup();
    }

    /// Sends the response to a call, unless a fault of the worker prevents it.
    fn respond(
        &mut self,
        w: usize,
        call: u64,
        outcome: Outcome,
        cache_outcome: CacheOutcome,
        concurrency: usize,
    ) {
        let Some(key) = self.workers[w].calls.remove(&call) else {
            return;
        };
        let (scheduler, incarnation, request, attempt) = key;
        let faults = self.workers[w].faults.clone();
        if faults.silent {
            self.workers[w].calls.insert(call, key);
            return;
        }
        let lost =
            faults.lost_response_share > 0.0 && self.rng.random_range(0.0..1.0) < faults.lost_response_share;
        let cache_result = match cache_outcome {
            CacheOutcome::Warm => CacheResult::Warm,
            CacheOutcome::StartedLoad => CacheResult::StartedLoad,
            CacheOutcome::AwaitedLoad => CacheResult::AwaitedLoad,
            CacheOutcome::LoadFailed => CacheResult::LoadFailed,
        };
        let result = if lost {
            AttemptResult::without_response(Outcome::Reset)
        } else {
            AttemptResult {
                outcome,
                cache_result,
                concurrency: Some(concurrency as u32),
                report: self.load_report(w),
            }
        };
        let latency = Duration::from_secs_f64(self.rng.random_range(0.0002..0.0006));
        self.schedule(
            self.now + faults.response_delay + latency,
            Event::AttemptEnded {
                scheduler,
                incarnation,
                request,
                attempt,
                result,
            },
        );
    }

    /// Delivers a load command, given by its scheduler, incarnation and number, to a worker.
    pub(super) fn load_command_arrived(
        &mut self,
        w: usize,
        key: (usize, u64, u64),
        function: &str,
        copies: u32,
    ) {
        let (scheduler, incarnation, command) = key;
        let worker = &mut self.workers[w];
        if !worker.up {
            return self.schedule_message(Event::LoadCommandEnded {
                scheduler,
                incarnation,
                command,
                outcome: Outcome::ConnectFailed,
                copies: 0,
            });
        }
        if worker.faults.silent || worker.faults.hang {
            return;
        }
        self.last_id += 1;
        worker.load_commands.insert(self.last_id, key);
        worker
            .model
            .submit_load_command(self.now, self.last_id, function, copies as usize);
        self.process_worker_outputs(w);
    }

    /// Reports the end of a fetch to its worker, unless the worker has restarted since.
    pub(super) fn fetch_ended(&mut self, fetch: u64, succeeded: bool) {
        if let Some((w, incarnation, load)) = self.fetches.remove(&fetch)
            && self.workers[w].incarnation == incarnation
        {
            self.workers[w].model.fetch_ended(self.now, load, succeeded);
            self.process_worker_outputs(w);
        }
    }

    pub(super) fn schedule_store_wakeup(&mut self) {
        if let Some(next) = self.store.next_due()
            && self.store_wakeup.is_none_or(|at| next < at)
        {
            self.store_wakeup = Some(next);
            self.schedule(next, Event::StoreDue);
        }
    }

    /// Ends the worker process; its open calls and load commands end with a connection reset.
    pub(super) fn crash_worker(&mut self, w: usize) {
        let worker = &mut self.workers[w];
        worker.up = false;
        worker.incarnation += 1;
        let calls = std::mem::take(&mut worker.calls);
        let load_commands = std::mem::take(&mut worker.load_commands);
        (worker.load_reports, worker.next_wakeup) = Default::default();
        for key in calls.into_values() {
            self.end_attempt_without_response(key, Outcome::Reset);
        }
        for (scheduler, incarnation, command) in load_commands.into_values() {
            self.schedule_message(Event::LoadCommandEnded {
                scheduler,
                incarnation,
                command,
                outcome: Outcome::Reset,
                copies: 0,
            });
        }
    }
}
