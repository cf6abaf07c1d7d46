//! Faults of a script, and the list of workers that tells of some.
use super::*;

impl Sim<'_> {
    pub(super) fn list(&mut self, worker: usize, state: EndpointState) {
        let started = (state == EndpointState::Up).then_some(self.now);
        self.discovery[worker] = (state, started);
        if self.discovery_stopped {
            return;
        }
        for scheduler in 0..self.schedulers.len() {
            let at = self.now + self.lag + Duration::from_secs_f64(self.chance.random_range(0.0005..0.02));
            self.put(
                at,
                Ev::List {
                    scheduler,
                    worker,
                    state,
                    started,
                },
            );
        }
    }

    pub(super) fn fault(&mut self, fault: &Fault, machine: &Machine, seed: u64) {
        match *fault {
            Fault::Crash(w) => {
                self.crash(w);
                self.list(w, EndpointState::Gone);
            }
            Fault::Start(w) => {
                if self.workers[w].up {
                    self.crash(w);
                }
                self.cold_most = self.cold_most.max(self.workers[w].model.cold_most);
                let worker = &mut self.workers[w];
                worker.model = Worker::new(
                    machine.clone(),
                    scenario_runner::function_specs(self.script),
                    self.now,
                );
                (worker.up, worker.faults) = (true, Faults::default());
                self.list(w, EndpointState::Up);
            }
            Fault::Drain(w) => {
                self.workers[w].model.draining = true;
                self.list(w, EndpointState::Draining);
            }
            Fault::Silent(w) => self.workers[w].faults.silent = true,
            Fault::Hang(w) => self.workers[w].faults.hang = true,
            Fault::Well(w) => {
                self.workers[w].faults = Faults::default();
                if self.workers[w].up {
                    self.workers[w].model.due(self.now);
                }
                self.act(w);
            }
            Fault::Errors(w, share) => self.workers[w].faults.errors = share,
            Fault::Lose(w, share) => self.workers[w].faults.lost = share,
            Fault::Slow(w, by) => self.workers[w].faults.slow = by,
            Fault::Late(w, by) => self.workers[w].faults.late_reports = by,
            Fault::DiscoveryLag(lag) => self.lag = lag,
            Fault::DiscoveryStop(on) => {
                self.discovery_stopped = on;
                if !on {
                    for scheduler in 0..self.schedulers.len() {
                        let incarnation = self.schedulers[scheduler].incarnation;
                        self.later(Ev::FullList {
                            scheduler,
                            incarnation,
                        });
                    }
                }
            }
            Fault::PauseGateway(s, length) => self.schedulers[s].paused = self.now + length,
            Fault::Apart { first, last, one_way } => self.apart = Some((first..last + 1, one_way)),
            Fault::Together => {
                (self.apart, self.loss, self.doubled, self.late) = (None, 0.0, 0.0, Duration::ZERO);
            }
            Fault::LoseDatagrams(share) => self.loss = share,
            Fault::PowerOff { gateways } => {
                self.power.off.get_or_insert(self.now);
                let (first, last) = gateways.unwrap_or((0, self.schedulers.len().saturating_sub(1)));
                (first..=last).for_each(|s| self.fault(&Fault::KillGateway(s), machine, seed));
                if gateways.is_none() {
                    (0..self.workers.len()).for_each(|w| self.fault(&Fault::Crash(w), machine, seed));
                    self.fault(&Fault::DiscoveryStop(true), machine, seed);
                }
            }
            Fault::StopGateways(first, last) => {
                (first..=last).for_each(|s| self.fault(&Fault::KillGateway(s), machine, seed));
            }
            Fault::PowerOnGateway(s) => self.fault(&Fault::StartGateway(s), machine, seed),
            Fault::DoubleDatagrams(share) => self.doubled = share,
            Fault::LateDatagrams(late) => self.late = late,
            Fault::Clock(s, by, ahead) => self.schedulers[s].returning.clock = (by, ahead),
            Fault::CopyState(s) => self.return_copied(s),
            Fault::Spoil(s, how) => self.return_spoilt(s, how),
            // Connections are not modelled byte by byte.
            Fault::Link(..) | Fault::DiscoveryStall(..) => {}
            // Empty lists are doubted by the daemon's reading of lists, which is not part of this model.
            Fault::DiscoveryEmpty(_) => {}
            Fault::StoreSlow(times) => {
                self.store.advance(self.now);
                self.store.slow = times;
                self.plan_store();
            }
            Fault::StoreRefuse(on) => self.store.refuses = on,
            Fault::KillGateway(s) => {
                if self.schedulers[s].request_table.is_some() {
                    self.fleet_killed(s);
                }
                let scheduler = &mut self.schedulers[s];
                scheduler.request_table = None;
                scheduler.incarnation += 1;
                if let Some(ahead) = scheduler.ahead.take() {
                    let totals = ahead.tracker.totals();
                    self.sums.used += totals.used;
                    self.sums.unused += totals.unused;
                    self.standing.merge(ahead.forecasts.scores);
                }
                scheduler.orders.clear();
                for (worker, call) in std::mem::take(&mut scheduler.sent).into_values() {
                    self.later(Ev::Cancel { worker, call });
                }
                let lost = self.clients.iter_mut().filter(|c| c.open && c.gateway == s);
                for client in lost {
                    client.open = false;
                    self.figures.no_answer += 1;
                }
            }
            Fault::StartGateway(s) => {
                if self.schedulers[s].request_table.is_none() && !self.schedulers[s].returning.full {
                    self.fleet_restarted(s);
                    self.start_scheduler(s, seed);
                }
            }
        }
    }
}
