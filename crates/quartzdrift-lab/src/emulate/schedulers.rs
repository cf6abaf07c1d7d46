//! Schedulers: the real desk, decision module and forecasts, and what they say.
use super::*;

impl Sim<'_> {
    pub(super) fn start_scheduler(&mut self, s: usize, seed: u64) {
        let mut settings = self.settings.clone();
        settings.scheduler_number = Some(s as u32);
        let incarnation = self.schedulers[s].incarnation + 1;
        let mut request_table = RequestTable::new(
            &settings,
            seed.wrapping_mul(1_000_003) ^ (s as u64) << 8 ^ incarnation,
        );
        request_table.update_endpoints(
            self.now,
            EndpointListKind::Snapshot,
            entries(&self.names, &self.discovery),
        );
        let ahead = (self.variant.forecasting == Forecasting::On).then(|| {
            let span = |s: &f64| Duration::from_secs_f64(*s);
            let settings = quartzdrift_forecast::ForecastSettings {
                keep_alive: self.script.keep_loaded,
                seasons: self.variant.seasons_s.iter().map(span).collect(),
                ..quartzdrift_forecast::ForecastSettings::default()
            };
            let mut ahead = PrefetchPlanner::new(settings.clone());
            let saved = self.schedulers[s].saved.as_ref();
            if let Some(Ok(saved)) = saved.map(|(_, bytes)| Forecasts::restore(settings, bytes, self.now)) {
                ahead.forecasts = saved;
            }
            ahead
        });
        let scheduler = &mut self.schedulers[s];
        (
            scheduler.request_table,
            scheduler.ahead,
            scheduler.incarnation,
            scheduler.planned,
        ) = (Some(request_table), ahead, incarnation, None);
        self.begin_return(s);
        self.outputs(s);
        self.join(s);
    }

    pub(super) fn request_table_due(&mut self, s: usize, incarnation: u64) {
        if self.schedulers[s].incarnation != incarnation {
            return;
        }
        self.schedulers[s].planned = None;
        if self.variant.recovery {
            self.return_due(s);
            self.fleet_changed(s);
        }
        let (now, scheduler) = (self.now, &mut self.schedulers[s]);
        if let Some(request_table) = &mut scheduler.request_table {
            request_table.fire_timers(now, |_, _| true);
            let expected = scheduler
                .ahead
                .as_mut()
                .map(|ahead| ahead.due(now))
                .unwrap_or_default();
            for of in expected {
                let Some((n, request_class)) = self.script.request_class_of(&of.function) else {
                    continue;
                };
                request_table.forecast(
                    now,
                    expectation(
                        &of.function,
                        n,
                        request_class,
                        of.within,
                        of.probability,
                        of.requests_per_second,
                    ),
                );
            }
        }
        self.outputs(s);
    }

    pub(super) fn foresee(&mut self, n: usize) {
        // All are told equally early, so that one event can follow the other.
        let loads = self
            .script
            .request_classes
            .iter()
            .map(|request_class| request_class.load_time);
        let early = loads.max().unwrap_or_default().mul_f64(1.5);
        if let Some(next) = self.arrivals.get(n + 1) {
            self.put(
                (START + traffic::at(next)).saturating_sub(early),
                Ev::Foresee(n + 1),
            );
        }
        let arrival = &self.arrivals[n];
        let s = arrival.gateway_of(self.schedulers.len());
        let request_class = &self.script.request_classes[arrival.request_class];
        let within = early.max(self.script.keep_loaded / 2);
        if let Some(request_table) = &mut self.schedulers[s].request_table {
            request_table.forecast(
                self.now,
                expectation(
                    &arrival.function,
                    arrival.request_class,
                    request_class,
                    within,
                    1.0,
                    None,
                ),
            );
        }
        self.outputs(s);
    }

    /// Carries out what a scheduler says, and plans its next turn.
    pub(super) fn outputs(&mut self, s: usize) {
        loop {
            let Some(request_table) = &mut self.schedulers[s].request_table else {
                return;
            };
            let outputs = request_table.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.output(s, output);
            }
        }
        let scheduler = &self.schedulers[s];
        let Some(request_table) = &scheduler.request_table else {
            return;
        };
        let ahead = scheduler.ahead.as_ref().and_then(PrefetchPlanner::next_due);
        let returns = scheduler
            .returning
            .machine
            .as_ref()
            .and_then(quartzdrift_recovery::Recovery::next_due);
        let Some(next) = [request_table.next_deadline(), ahead, returns]
            .into_iter()
            .flatten()
            .min()
        else {
            return;
        };
        if scheduler.planned.is_none_or(|at| next < at) {
            let incarnation = scheduler.incarnation;
            self.schedulers[s].planned = Some(next);
            self.put(next, Ev::RequestTableDue(s, incarnation));
        }
    }

    pub(super) fn output(&mut self, s: usize, output: Output<usize>) {
        let incarnation = self.schedulers[s].incarnation;
        match output {
            Output::StartAttempt {
                request,
                attempt,
                worker,
                payload,
                ..
            } => {
                let worker = self.by_name[&*worker];
                self.figures.attempts += 1;
                self.drawn += 1;
                let call = self.drawn;
                self.schedulers[s].sent.insert((request, attempt), (worker, call));
                self.later(Ev::Came {
                    worker,
                    scheduler: s,
                    incarnation,
                    request,
                    attempt,
                    call,
                    client: payload,
                });
            }
            Output::CancelAttempt { request, attempt } => {
                if let Some((worker, call)) = self.schedulers[s].sent.remove(&(request, attempt)) {
                    self.later(Ev::Cancel { worker, call });
                }
            }
            Output::Respond {
                payload, response, ..
            } => self.answered(payload, response),
            Output::Load {
                command: order,
                worker,
                function,
                copies,
            } => {
                self.figures.orders += 1;
                let worker = self.by_name[&*worker];
                let memory = self
                    .script
                    .request_class_of(&function)
                    .map_or(0.0, |(_, w)| w.memory_mb);
                let now = self.now;
                let scheduler = &mut self.schedulers[s];
                scheduler.orders.insert(order, (now, function.clone()));
                scheduler.given.push(now);
                if let Some(ahead) = &mut scheduler.ahead {
                    ahead.record_load_command(now, &function, memory);
                }
                if self.variant.load_window_s > 0.0 {
                    let since = now.saturating_sub(Duration::from_secs_f64(self.variant.load_window_s));
                    let count =
                        |times: &[Duration]| times.iter().rev().take_while(|at| **at >= since).count() as f64;
                    let most = self.variant.load_quota_burst
                        + self.variant.load_quota_share * count(&scheduler.taken);
                    let share = count(&scheduler.given) / most.max(1e-9);
                    self.figures.ration_most = self.figures.ration_most.max(share);
                }
                self.later(Ev::Order {
                    worker,
                    scheduler: s,
                    incarnation,
                    order,
                    function,
                    copies,
                });
            }
            // Messages leave at once here: nothing waits unsent. Probes, lists and messages are not asked for.
            Output::RecallAttempt { .. }
            | Output::RecallCommand { .. }
            | Output::AbandonCommand { .. }
            | Output::CheckHealth { .. }
            | Output::Unload { .. }
            | Output::CloseIdleConnections { .. }
            | Output::SendToPeer { .. }
            | Output::WatchEndpoints { .. }
            | Output::PollEndpoints
            | Output::Notice(_)
            | Output::Log { .. } => {}
        }
    }

    pub(super) fn back(
        &mut self,
        s: usize,
        incarnation: u64,
        request: u64,
        attempt: u32,
        ended: AttemptResult,
    ) {
        let scheduler = &mut self.schedulers[s];
        if scheduler.incarnation != incarnation || scheduler.sent.remove(&(request, attempt)).is_none() {
            return;
        }
        if ended.outcome == Outcome::Succeeded && ended.cache_result != CacheResult::Warm {
            self.figures.waited_for_load += 1;
        }
        if let Some(request_table) = &mut scheduler.request_table {
            self.load_failed = ended.cache_result == CacheResult::LoadFailed;
            request_table.attempt_ended(self.now, request, attempt, ended);
        }
        self.outputs(s);
        self.load_failed = false;
    }

    pub(super) fn order_back(
        &mut self,
        s: usize,
        incarnation: u64,
        order: u64,
        outcome: Outcome,
        copies: u32,
    ) {
        let (now, scheduler) = (self.now, &mut self.schedulers[s]);
        if scheduler.incarnation != incarnation {
            return;
        }
        if let Some((at, function)) = scheduler.orders.remove(&order)
            && let Some(ahead) = &mut scheduler.ahead
        {
            ahead.record_load_end(now, &function, outcome == Outcome::Succeeded, now - at);
        }
        if let Some(request_table) = &mut scheduler.request_table {
            request_table.command_ended(now, order, outcome, copies, Vec::new());
        }
        self.outputs(s);
    }
}

/// The whole list as a roster tells it.
pub(super) fn entries<'a>(
    names: &'a [String],
    discovery: &[(EndpointState, Option<Duration>)],
) -> Vec<Endpoint<'a>> {
    let there = names
        .iter()
        .zip(discovery)
        .filter(|(_, (state, _))| *state != EndpointState::Gone);
    let entry = |(worker, &(state, started)): (&'a String, &(EndpointState, Option<Duration>))| Endpoint {
        worker,
        state,
        started_at: started,
        ..Endpoint::default()
    };
    there.map(entry).collect()
}

fn expectation<'a>(
    function: &'a str,
    request_class: usize,
    of: &crate::scenario::RequestClass,
    within: Duration,
    probability: f64,
    requests_per_second: Option<f64>,
) -> UsageForecast<'a> {
    UsageForecast {
        function,
        request_class: request_class as u32,
        horizon: within,
        probability,
        requests_per_second,
        memory_mb: Some(of.memory_mb),
        concurrency_slots: Some(of.slots as f64),
        load_hint: Some(of.load_time),
    }
}
