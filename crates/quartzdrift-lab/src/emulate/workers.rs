//! Workers and the store that they fetch from: the fakes' models.
use super::*;

impl Sim<'_> {
    pub(super) fn came(&mut self, w: usize, from: (usize, u64, u64, u32), call: u64, client: usize) {
        let (scheduler, incarnation, request, attempt) = from;
        if self.cancelled.remove(&call) {
            return;
        }
        let back = |outcome| Ev::Back {
            scheduler,
            incarnation,
            request,
            attempt,
            ended: AttemptResult::without_response(outcome),
        };
        if !self.workers[w].up {
            return self.later(back(Outcome::ConnectFailed));
        }
        let worker = &mut self.workers[w];
        worker.calls.insert(call, from);
        if worker.faults.silent || worker.faults.hang {
            return;
        }
        if worker.faults.error_share > 0.0 && self.chance.random_range(0.0..1.0) < worker.faults.error_share {
            worker.calls.remove(&call);
            return self.later(back(Outcome::Error));
        }
        let arrival = &self.arrivals[self.clients[client].arrival];
        worker.model.call(
            self.now,
            call,
            &arrival.function,
            Duration::from_micros(arrival.work_us),
        );
        self.act(w);
    }

    pub(super) fn cancel(&mut self, w: usize, call: u64) {
        if self.workers[w].calls.remove(&call).is_some() {
            if !self.workers[w].faults.hang {
                self.workers[w].model.cancel(self.now, call);
            }
            self.act(w);
        } else {
            self.cancelled.insert(call);
        }
    }

    pub(super) fn report(&mut self, w: usize) -> Vec<Option<f64>> {
        let (now, worker) = (self.now, &mut self.workers[w]);
        if worker
            .reports
            .last()
            .is_none_or(|(at, _)| *at + REPORT_EVERY <= now)
        {
            let load = worker.model.load();
            worker
                .reports
                .push((now, vec![Some(load.held as f64), Some(load.memory_taken)]));
            let oldest = now.saturating_sub(worker.faults.report_delay + REPORT_EVERY * 4);
            worker.reports.retain(|(at, _)| *at >= oldest);
        }
        let told = now.saturating_sub(worker.faults.report_delay);
        let of = worker
            .reports
            .iter()
            .rev()
            .find(|(at, _)| *at <= told)
            .or(worker.reports.first());
        of.map(|(_, report)| report.clone()).unwrap_or_default()
    }

    pub(super) fn act(&mut self, w: usize) {
        for say in self.workers[w].model.says() {
            match say {
                Say::Ran {
                    call,
                    found,
                    crowd,
                    wanted,
                } => self.say(w, call, Outcome::Succeeded, found, crowd, wanted),
                Say::Full { call } => self.say(w, call, Outcome::AtCapacity, Found::Warm, 0, true),
                Say::Missed { call } => self.say(w, call, Outcome::CacheMiss, Found::LoadFailed, 0, true),
                Say::Fetch {
                    load,
                    takes,
                    function,
                } => {
                    self.drawn += 1;
                    let (fetch, incarnation) = (self.drawn, self.workers[w].incarnation);
                    self.fetches.insert(fetch, (w, incarnation, load));
                    let taken = self.store.begin(self.now, fetch, takes);
                    self.power.fetch(function, takes, taken);
                    if !taken {
                        self.fetched(fetch, false);
                    }
                    self.plan_store();
                }
                Say::Stands {
                    order,
                    copies,
                    enough,
                } => {
                    if let Some((scheduler, incarnation, order)) = self.workers[w].orders.remove(&order) {
                        let outcome = if enough {
                            Outcome::Succeeded
                        } else {
                            Outcome::AtCapacity
                        };
                        self.later(Ev::OrderBack {
                            scheduler,
                            incarnation,
                            order,
                            outcome,
                            copies: copies as u32,
                        });
                    }
                }
                Say::Fell => {
                    self.figures.fell_over += 1;
                    return self.crash(w);
                }
            }
        }
        let worker = &self.workers[w];
        if !worker.up || worker.faults.hang {
            return;
        }
        if let Some(next) = worker.model.next_due()
            && worker.planned.is_none_or(|at| next < at)
        {
            self.workers[w].planned = Some(next);
            self.put(next, Ev::WorkerDue(w));
        }
    }

    pub(super) fn say(
        &mut self,
        w: usize,
        call: u64,
        outcome: Outcome,
        found: Found,
        crowd: usize,
        wanted: bool,
    ) {
        let Some((scheduler, incarnation, request, attempt)) = self.workers[w].calls.remove(&call) else {
            return;
        };
        if !wanted {
            return;
        }
        let faults = self.workers[w].faults.clone();
        if faults.silent {
            self.workers[w]
                .calls
                .insert(call, (scheduler, incarnation, request, attempt));
            return;
        }
        let lost = faults.lost_response_share > 0.0
            && self.chance.random_range(0.0..1.0) < faults.lost_response_share;
        let told = match found {
            Found::Warm => CacheResult::Warm,
            Found::StartedLoad => CacheResult::StartedLoad,
            Found::AwaitedLoad => CacheResult::AwaitedLoad,
            Found::LoadFailed => CacheResult::LoadFailed,
        };
        let ended = match lost {
            true => AttemptResult::without_response(Outcome::Reset),
            false => AttemptResult {
                outcome,
                cache_result: told,
                concurrency: Some(crowd as u32),
                report: self.report(w),
            },
        };
        let at = self.now
            + faults.response_delay
            + Duration::from_secs_f64(self.chance.random_range(0.0002..0.0006));
        self.put(
            at,
            Ev::Back {
                scheduler,
                incarnation,
                request,
                attempt,
                ended,
            },
        );
    }

    pub(super) fn order(
        &mut self,
        w: usize,
        scheduler: usize,
        incarnation: u64,
        order: u64,
        function: &str,
        copies: u32,
    ) {
        let worker = &mut self.workers[w];
        if !worker.up {
            let outcome = Outcome::ConnectFailed;
            return self.later(Ev::OrderBack {
                scheduler,
                incarnation,
                order,
                outcome,
                copies: 0,
            });
        }
        if worker.faults.silent || worker.faults.hang {
            return;
        }
        self.drawn += 1;
        worker.orders.insert(self.drawn, (scheduler, incarnation, order));
        worker
            .model
            .order(self.now, self.drawn, function, copies as usize);
        self.act(w);
    }

    pub(super) fn fetched(&mut self, fetch: u64, good: bool) {
        if let Some((w, incarnation, load)) = self.fetches.remove(&fetch)
            && self.workers[w].incarnation == incarnation
        {
            self.workers[w].model.fetched(self.now, load, good);
            self.act(w);
        }
    }

    pub(super) fn plan_store(&mut self) {
        if let Some(next) = self.store.next_due()
            && self.store_planned.is_none_or(|at| next < at)
        {
            self.store_planned = Some(next);
            self.put(next, Ev::StoreDue);
        }
    }

    pub(super) fn crash(&mut self, w: usize) {
        let worker = &mut self.workers[w];
        worker.up = false;
        worker.incarnation += 1;
        let calls = std::mem::take(&mut worker.calls);
        let orders = std::mem::take(&mut worker.orders);
        (worker.reports, worker.planned) = Default::default();
        for (scheduler, incarnation, request, attempt) in calls.into_values() {
            self.later(Ev::Back {
                scheduler,
                incarnation,
                request,
                attempt,
                ended: AttemptResult::without_response(Outcome::Reset),
            });
        }
        for (scheduler, incarnation, order) in orders.into_values() {
            self.later(Ev::OrderBack {
                scheduler,
                incarnation,
                order,
                outcome: Outcome::Reset,
                copies: 0,
            });
        }
    }
}
