//! Faults of the scenario, and the endpoint list that reports some of them.
use super::*;

impl Simulation<'_> {
    /// Changes the state of a worker in the endpoint list and sends the change to all schedulers.
    fn set_endpoint_state(&mut self, worker: usize, state: EndpointState) {
        let started_at = (state == EndpointState::Up).then_some(self.now);
        self.endpoints[worker] = (state, started_at);
        if self.discovery_stopped {
            return;
        }
        for scheduler in 0..self.schedulers.len() {
            let latency = Duration::from_secs_f64(self.rng.random_range(0.0005..0.02));
            self.schedule(
                self.now + self.discovery_lag + latency,
                Event::EndpointChanged {
                    scheduler,
                    worker,
                    state,
                    started_at,
                },
            );
        }
    }

    /// Applies a fault; `worker_spec` is used to start a worker, `seed` to start a scheduler.
    pub(super) fn apply_fault(&mut self, fault: &Fault, worker_spec: &WorkerSpec, seed: u64) {
        match *fault {
            Fault::CrashWorker(w) => {
                self.crash_worker(w);
                self.set_endpoint_state(w, EndpointState::Gone);
            }
            Fault::StartWorker(w) => {
                if self.workers[w].up {
                    self.crash_worker(w);
                }
                self.max_overload_share = self
                    .max_overload_share
                    .max(self.workers[w].model.max_overload_share);
                let worker = &mut self.workers[w];
                worker.model = WorkerModel::new(
                    worker_spec.clone(),
                    scenario_runner::function_specs(self.scenario),
                    self.now,
                );
                (worker.up, worker.faults) = (true, Faults::default());
                self.set_endpoint_state(w, EndpointState::Up);
            }
            Fault::DrainWorker(w) => {
                self.workers[w].model.draining = true;
                self.set_endpoint_state(w, EndpointState::Draining);
            }
            Fault::SilenceWorker(w) => self.workers[w].faults.silent = true,
            Fault::HangWorker(w) => self.workers[w].faults.hang = true,
            Fault::ClearWorkerFaults(w) => {
                self.workers[w].faults = Faults::default();
                if self.workers[w].up {
                    self.workers[w].model.due(self.now);
                }
                self.process_worker_outputs(w);
            }
            Fault::FailCalls(w, share) => self.workers[w].faults.error_share = share,
            Fault::LoseResponses(w, share) => self.workers[w].faults.lost_response_share = share,
            Fault::DelayResponses(w, delay) => self.workers[w].faults.response_delay = delay,
            Fault::DelayReports(w, delay) => self.workers[w].faults.report_delay = delay,
            Fault::SetDiscoveryLag(lag) => self.discovery_lag = lag,
            Fault::StopDiscovery(on) => {
                self.discovery_stopped = on;
                if !on {
                    for scheduler in 0..self.schedulers.len() {
                        let incarnation = self.schedulers[scheduler].incarnation;
                        self.schedule_message(Event::FullEndpointList {
                            scheduler,
                            incarnation,
                        });
                    }
                }
            }
            Fault::PauseGateway(s, length) => self.schedulers[s].paused_until = self.now + length,
            Fault::Partition { first, last, one_way } => self.partition = Some((first..last + 1, one_way)),
            Fault::ClearDatagramFaults => {
                self.partition = None;
                (self.datagram_loss, self.datagram_duplication) = (0.0, 0.0);
                self.max_datagram_delay = Duration::ZERO;
            }
            Fault::LoseDatagrams(share) => self.datagram_loss = share,
            Fault::PowerOff { gateways } => {
                self.power_loss.first_at.get_or_insert(self.now);
                let (first, last) = gateways.unwrap_or((0, self.schedulers.len().saturating_sub(1)));
                (first..=last).for_each(|s| self.apply_fault(&Fault::KillGateway(s), worker_spec, seed));
                if gateways.is_none() {
                    (0..self.workers.len())
                        .for_each(|w| self.apply_fault(&Fault::CrashWorker(w), worker_spec, seed));
                    self.apply_fault(&Fault::StopDiscovery(true), worker_spec, seed);
                }
            }
            Fault::StopGateways(first, last) => {
                (first..=last).for_each(|s| self.apply_fault(&Fault::KillGateway(s), worker_spec, seed));
            }
            Fault::PowerOnGateway(s) => self.apply_fault(&Fault::StartGateway(s), worker_spec, seed),
            Fault::DuplicateDatagrams(share) => self.datagram_duplication = share,
            Fault::DelayDatagrams(delay) => self.max_datagram_delay = delay,
            Fault::ShiftClock(s, offset, ahead) => self.schedulers[s].recovery.clock_offset = (offset, ahead),
            Fault::CopyState(s) => self.back_up_checkpoint(s),
            Fault::DamageState(s, damage) => self.damage_disk(s, damage),
            // The network model has no connections that could stall.
            Fault::SetLinkState(..) | Fault::StallDiscovery(..) => {}
            // The discovery client, which rejects an empty list, is not part of the simulation.
            Fault::EmptyDiscovery(_) => {}
            Fault::SlowStore(slowdown) => {
                self.store.advance(self.now);
                self.store.slowdown = slowdown;
                self.schedule_store_wakeup();
            }
            Fault::RejectFetches(on) => self.store.rejecting = on,
            Fault::KillGateway(s) => {
                if self.schedulers[s].request_table.is_some() {
                    self.scheduler_killed(s);
                }
                let scheduler = &mut self.schedulers[s];
                scheduler.request_table = None;
                scheduler.incarnation += 1;
                if let Some(planner) = scheduler.prefetch_planner.take() {
                    let totals = planner.tracker.totals();
                    self.killed_prefetch_totals.used += totals.used;
                    self.killed_prefetch_totals.unused += totals.unused;
                    self.killed_forecast_scores.merge(planner.forecasts.scores);
                }
                scheduler.load_commands.clear();
                for (worker, call) in std::mem::take(&mut scheduler.attempts_in_flight).into_values() {
                    self.schedule_message(Event::AttemptCancelled { worker, call });
                }
                let waiting = self
                    .clients
                    .iter_mut()
                    .filter(|client| client.awaits_response && client.gateway == s);
                for client in waiting {
                    client.awaits_response = false;
                    self.figures.unanswered += 1;
                }
            }
            Fault::StartGateway(s) => {
                if self.schedulers[s].request_table.is_none() && !self.schedulers[s].recovery.disk_full {
                    self.scheduler_restarted(s);
                    self.start_scheduler(s, seed);
                }
            }
        }
    }
}
