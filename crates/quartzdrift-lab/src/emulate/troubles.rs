//! Troubles of a script, and the list of workers that tells of some.
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

    pub(super) fn trouble(&mut self, trouble: &Trouble, machine: &Machine, seed: u64) {
        match *trouble {
            Trouble::Crash(w) => {
                self.crash(w);
                self.list(w, EndpointState::Gone);
            }
            Trouble::Start(w) => {
                if self.workers[w].up {
                    self.crash(w);
                }
                self.cold_most = self.cold_most.max(self.workers[w].model.cold_most);
                let worker = &mut self.workers[w];
                worker.model = Worker::new(machine.clone(), badday::specs(self.script), self.now);
                (worker.up, worker.faults) = (true, Faults::default());
                self.list(w, EndpointState::Up);
            }
            Trouble::Drain(w) => {
                self.workers[w].model.draining = true;
                self.list(w, EndpointState::Draining);
            }
            Trouble::Silent(w) => self.workers[w].faults.silent = true,
            Trouble::Hang(w) => self.workers[w].faults.hang = true,
            Trouble::Well(w) => {
                self.workers[w].faults = Faults::default();
                if self.workers[w].up {
                    self.workers[w].model.due(self.now);
                }
                self.act(w);
            }
            Trouble::Errors(w, share) => self.workers[w].faults.errors = share,
            Trouble::Lose(w, share) => self.workers[w].faults.lost = share,
            Trouble::Slow(w, by) => self.workers[w].faults.slow = by,
            Trouble::Late(w, by) => self.workers[w].faults.late_reports = by,
            Trouble::DiscoveryLag(lag) => self.lag = lag,
            Trouble::DiscoveryStop(on) => {
                self.discovery_stopped = on;
                if !on {
                    for scheduler in 0..self.schedulers.len() {
                        let life = self.schedulers[scheduler].life;
                        self.later(Ev::FullList { scheduler, life });
                    }
                }
            }
            Trouble::PauseGateway(s, length) => self.schedulers[s].paused = self.now + length,
            Trouble::Apart { first, last, one_way } => self.apart = Some((first..last + 1, one_way)),
            Trouble::Together => {
                (self.apart, self.loss, self.doubled, self.late) = (None, 0.0, 0.0, Duration::ZERO);
            }
            Trouble::LoseDatagrams(share) => self.loss = share,
            Trouble::PowerOff { gateways } => {
                self.power.off.get_or_insert(self.now);
                let (first, last) = gateways.unwrap_or((0, self.schedulers.len().saturating_sub(1)));
                (first..=last).for_each(|s| self.trouble(&Trouble::KillGateway(s), machine, seed));
                if gateways.is_none() {
                    (0..self.workers.len()).for_each(|w| self.trouble(&Trouble::Crash(w), machine, seed));
                    self.trouble(&Trouble::DiscoveryStop(true), machine, seed);
                }
            }
            Trouble::StopGateways(first, last) => {
                (first..=last).for_each(|s| self.trouble(&Trouble::KillGateway(s), machine, seed));
            }
            Trouble::PowerOnGateway(s) => self.trouble(&Trouble::StartGateway(s), machine, seed),
            Trouble::DoubleDatagrams(share) => self.doubled = share,
            Trouble::LateDatagrams(late) => self.late = late,
            Trouble::Clock(s, by, ahead) => self.schedulers[s].returning.clock = (by, ahead),
            Trouble::CopyState(s) => self.return_copied(s),
            Trouble::Spoil(s, how) => self.return_spoilt(s, how),
            // Connections are not modelled byte by byte.
            Trouble::Link(..) | Trouble::DiscoveryStall(..) => {}
            // Empty lists are doubted by the daemon's reading of lists, which is not part of this model.
            Trouble::DiscoveryEmpty(_) => {}
            Trouble::StoreSlow(times) => {
                self.store.advance(self.now);
                self.store.slow = times;
                self.plan_store();
            }
            Trouble::StoreRefuse(on) => self.store.refuses = on,
            Trouble::KillGateway(s) => {
                if self.schedulers[s].request_table.is_some() {
                    self.fleet_killed(s);
                }
                let scheduler = &mut self.schedulers[s];
                scheduler.request_table = None;
                scheduler.life += 1;
                if let Some(ahead) = scheduler.ahead.take() {
                    let sums = ahead.ledger.sums();
                    self.sums.used += sums.used;
                    self.sums.unused += sums.unused;
                    self.standing.join(ahead.forecasts.standing);
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
            Trouble::StartGateway(s) => {
                if self.schedulers[s].request_table.is_none() && !self.schedulers[s].returning.full {
                    self.fleet_restarted(s);
                    self.start_scheduler(s, seed);
                }
            }
        }
    }
}
