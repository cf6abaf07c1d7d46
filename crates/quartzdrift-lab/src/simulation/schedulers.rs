//! Schedulers: the real request table, scheduler and forecasts, and the effects of their outputs.
use super::*;
use quartzdrift_forecast::ForecastSettings;

/// Time by which a perfect forecast precedes the use, as a multiple of the longest load time.
const PERFECT_FORECAST_LOAD_TIMES: f64 = 1.5;

impl Simulation<'_> {
    /// Starts a scheduler with the current endpoint list and the state that it saved before its last kill.
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
            endpoint_list(&self.worker_names, &self.endpoints),
        );
        let prefetch_planner =
            (self.variant.forecasting == Forecasting::On).then(|| self.new_prefetch_planner(s));
        let scheduler = &mut self.schedulers[s];
        scheduler.request_table = Some(request_table);
        scheduler.prefetch_planner = prefetch_planner;
        scheduler.incarnation = incarnation;
        scheduler.next_wakeup = None;
        self.start_recovery(s);
        self.process_scheduler_outputs(s);
        self.join_cluster(s);
    }

    /// Creates a prefetch planner with the scheduler's last forecast snapshot, if there is one.
    fn new_prefetch_planner(&self, s: usize) -> PrefetchPlanner {
        let seasons = self.variant.seasons_s.iter();
        let settings = ForecastSettings {
            keep_alive: self.scenario.keep_alive,
            seasons: seasons.map(|seconds| Duration::from_secs_f64(*seconds)).collect(),
            ..ForecastSettings::default()
        };
        let mut planner = PrefetchPlanner::new(settings.clone());
        if let Some((_, snapshot)) = &self.schedulers[s].forecast_snapshot
            && let Ok(forecasts) = Forecasts::restore(settings, snapshot, self.now)
        {
            planner.forecasts = forecasts;
        }
        planner
    }

    pub(super) fn request_table_due(&mut self, s: usize, incarnation: u64) {
        if self.schedulers[s].incarnation != incarnation {
            return;
        }
        self.schedulers[s].next_wakeup = None;
        if self.variant.recovery {
            self.recovery_due(s);
            self.process_membership_outputs(s);
        }
        let (now, scheduler) = (self.now, &mut self.schedulers[s]);
        if let Some(request_table) = &mut scheduler.request_table {
            request_table.fire_timers(now, |_, _| true);
            let forecasts = scheduler
                .prefetch_planner
                .as_mut()
                .map(|planner| planner.due(now))
                .unwrap_or_default();
            for forecast in forecasts {
                let Some((n, request_class)) = self.scenario.request_class_of(&forecast.function) else {
                    continue;
                };
                let usage_forecast = UsageForecast {
                    horizon: forecast.within,
                    probability: forecast.probability,
                    requests_per_second: forecast.requests_per_second,
                    ..certain_use(&forecast.function, n, request_class)
                };
                request_table.forecast(now, usage_forecast);
            }
        }
        self.process_scheduler_outputs(s);
    }

    /// Forecasts the use of one arrival and schedules the forecast of the next one.
    pub(super) fn send_perfect_forecast(&mut self, n: usize) {
        // The lead time is the same for all arrivals, so that their forecasts keep the order of the arrivals.
        let load_times = self.scenario.request_classes.iter().map(|class| class.load_time);
        let longest_load = load_times.max().unwrap_or_default();
        let lead_time = longest_load.mul_f64(PERFECT_FORECAST_LOAD_TIMES);
        if let Some(next) = self.arrivals.get(n + 1) {
            self.schedule(
                (START + traffic::arrival_time(next)).saturating_sub(lead_time),
                Event::PerfectForecast(n + 1),
            );
        }
        let arrival = &self.arrivals[n];
        let s = arrival.gateway_index(self.schedulers.len());
        let request_class = &self.scenario.request_classes[arrival.request_class];
        if let Some(request_table) = &mut self.schedulers[s].request_table {
            let usage_forecast = UsageForecast {
                horizon: lead_time.max(self.scenario.keep_alive / 2),
                ..certain_use(&arrival.function, arrival.request_class, request_class)
            };
            request_table.forecast(self.now, usage_forecast);
        }
        self.process_scheduler_outputs(s);
    }

    /// Carries out the outputs of a scheduler and schedules its next wakeup.
    pub(super) fn process_scheduler_outputs(&mut self, s: usize) {
        loop {
            let Some(request_table) = &mut self.schedulers[s].request_table else {
                return;
            };
            let outputs = request_table.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.process_scheduler_output(s, output);
            }
        }
        let scheduler = &self.schedulers[s];
        let Some(request_table) = &scheduler.request_table else {
            return;
        };
        let prefetch_due = scheduler
            .prefetch_planner
            .as_ref()
            .and_then(PrefetchPlanner::next_due);
        let recovery_due = scheduler
            .recovery
            .machine
            .as_ref()
            .and_then(quartzdrift_recovery::Recovery::next_due);
        let deadlines = [request_table.next_deadline(), prefetch_due, recovery_due];
        let Some(next) = deadlines.into_iter().flatten().min() else {
            return;
        };
        if scheduler.next_wakeup.is_none_or(|at| next < at) {
            let incarnation = scheduler.incarnation;
            self.schedulers[s].next_wakeup = Some(next);
            self.schedule(next, Event::RequestTableDue(s, incarnation));
        }
    }

    fn process_scheduler_output(&mut self, s: usize, output: Output<usize>) {
        let incarnation = self.schedulers[s].incarnation;
        match output {
            Output::StartAttempt {
                request,
                attempt,
                worker,
                payload,
                ..
            } => {
                let worker = self.workers_by_name[&*worker];
                self.figures.attempts += 1;
                self.last_id += 1;
                let call = self.last_id;
                self.schedulers[s]
                    .attempts_in_flight
                    .insert((request, attempt), (worker, call));
                self.schedule_message(Event::AttemptArrived {
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
                let in_flight = &mut self.schedulers[s].attempts_in_flight;
                if let Some((worker, call)) = in_flight.remove(&(request, attempt)) {
                    self.schedule_message(Event::AttemptCancelled { worker, call });
                }
            }
            Output::Respond {
                payload, response, ..
            } => self.response_received(payload, response),
            Output::Load {
                command,
                worker,
                function,
                copies,
            } => {
                let worker = self.workers_by_name[&*worker];
                self.record_load_command(s, command, &function);
                self.schedule_message(Event::LoadCommandArrived {
                    worker,
                    scheduler: s,
                    incarnation,
                    command,
                    function,
                    copies,
                });
            }
            // Attempts and load commands leave at once, so that none can be recalled. The settings ask for no
            // health checks, endpoint requests or scheduler messages.
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

    /// Records a sent load command and the share of the load quota in use.
    fn record_load_command(&mut self, s: usize, command: u64, function: &Rc<str>) {
        self.figures.load_commands += 1;
        let memory_mb = self
            .scenario
            .request_class_of(function)
            .map_or(0.0, |(_, class)| class.memory_mb);
        let now = self.now;
        let scheduler = &mut self.schedulers[s];
        scheduler.load_commands.insert(command, (now, function.clone()));
        scheduler.load_command_times.push(now);
        if let Some(planner) = &mut scheduler.prefetch_planner {
            planner.record_load_command(now, function, memory_mb);
        }
        if self.variant.load_quota_window_s > 0.0 {
            let window = Duration::from_secs_f64(self.variant.load_quota_window_s);
            let since = now.saturating_sub(window);
            let count_since =
                |times: &[Duration]| times.iter().rev().take_while(|at| **at >= since).count() as f64;
            let quota = self.variant.load_quota_burst
                + self.variant.load_quota_share * count_since(&scheduler.request_times);
            let share = count_since(&scheduler.load_command_times) / quota.max(1e-9);
            self.figures.max_load_quota_share = self.figures.max_load_quota_share.max(share);
        }
    }

    /// Delivers the end of an attempt to its scheduler, unless the scheduler has restarted or cancelled the
    /// attempt.
    pub(super) fn attempt_ended(
        &mut self,
        s: usize,
        incarnation: u64,
        request: u64,
        attempt: u32,
        result: AttemptResult,
    ) {
        let scheduler = &mut self.schedulers[s];
        if scheduler.incarnation != incarnation
            || scheduler.attempts_in_flight.remove(&(request, attempt)).is_none()
        {
            return;
        }
        if result.outcome == Outcome::Succeeded && result.cache_result != CacheResult::Warm {
            self.figures.waited_for_load += 1;
        }
        if let Some(request_table) = &mut scheduler.request_table {
            self.attempt_load_failed = result.cache_result == CacheResult::LoadFailed;
            request_table.attempt_ended(self.now, request, attempt, result);
        }
        self.process_scheduler_outputs(s);
        self.attempt_load_failed = false;
    }

    /// Delivers the end of a load command to its scheduler, unless the scheduler has restarted.
    pub(super) fn load_command_ended(
        &mut self,
        s: usize,
        incarnation: u64,
        command: u64,
        outcome: Outcome,
        copies: u32,
    ) {
        let (now, scheduler) = (self.now, &mut self.schedulers[s]);
        if scheduler.incarnation != incarnation {
            return;
        }
        if let Some((sent_at, function)) = scheduler.load_commands.remove(&command)
            && let Some(planner) = &mut scheduler.prefetch_planner
        {
            planner.record_load_end(now, &function, outcome == Outcome::Succeeded, now - sent_at);
        }
        if let Some(request_table) = &mut scheduler.request_table {
            request_table.command_ended(now, command, outcome, copies, Vec::new());
        }
        self.process_scheduler_outputs(s);
    }
}

/// Full endpoint list, as the discovery service reports it.
pub(super) fn endpoint_list<'a>(
    worker_names: &'a [String],
    endpoints: &[(EndpointState, Option<Duration>)],
) -> Vec<Endpoint<'a>> {
    worker_names
        .iter()
        .zip(endpoints)
        .filter(|(_, (state, _))| *state != EndpointState::Gone)
        .map(|(worker, &(state, started_at))| Endpoint {
            worker,
            state,
            started_at,
            ..Endpoint::default()
        })
        .collect()
}

/// Forecast of one use of a function, with probability 1 and without a horizon.
fn certain_use<'a>(
    function: &'a str,
    n: usize,
    request_class: &crate::scenario::RequestClass,
) -> UsageForecast<'a> {
    UsageForecast {
        function,
        request_class: n as u32,
        horizon: Duration::ZERO,
        probability: 1.0,
        requests_per_second: None,
        memory_mb: Some(request_class.memory_mb),
        concurrency_slots: Some(request_class.slots as f64),
        load_hint: Some(request_class.load_time),
    }
}
