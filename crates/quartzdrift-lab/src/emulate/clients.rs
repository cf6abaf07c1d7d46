//! Clients: each call, its time-out, its final answer, and when it comes again.
use super::*;
use quartzdrift_scheduler::interface::RejectReason;

impl Sim<'_> {
    pub(super) fn arrive(&mut self, n: usize) {
        if let Some(next) = self.arrivals.get(n + 1) {
            self.put(START + traffic::at(next), Ev::Arrive(n + 1));
        }
        let gateway = self.arrivals[n].gateway_of(self.schedulers.len());
        let client = Client {
            arrival: n,
            repeats: 0,
            gateway,
            first: self.now,
            turn: 0,
            open: false,
            request: None,
            tries: None,
        };
        self.clients.push(client);
        self.ask(self.clients.len() - 1);
    }

    /// A try of a client reaches its gateway.
    pub(super) fn ask(&mut self, client: usize) {
        let (n, s) = (self.clients[client].arrival, self.clients[client].gateway);
        let arrival = &self.arrivals[n];
        let request_class = &self.script.request_classes[arrival.request_class];
        if self.schedulers[s].paused > self.now {
            return self.put(self.schedulers[s].paused, Ev::Again(client));
        }
        self.figures.calls += 1;
        self.clients[client].open = true;
        self.clients[client].turn += 1;
        let turn = self.clients[client].turn;
        if self.schedulers[s].request_table.is_none() {
            self.clients[client].open = false;
            self.figures.no_answer += 1;
            return self.again(client, Duration::from_millis(50));
        }
        self.put(
            self.now + request_class.time_limit + Duration::from_millis(500),
            Ev::ClientTimeout(client, turn),
        );
        let (now, incarnation) = (self.now, self.schedulers[s].incarnation);
        if let Some(machine) = &mut self.schedulers[s].returning.machine {
            match machine.admit(now, &arrival.function) {
                Ok(tries) => self.clients[client].tries = tries.map(|number| (incarnation, number)),
                Err(wait) => {
                    let retry_after = Some(wait);
                    return self.answered(
                        client,
                        FinalResponse::Rejected {
                            retry_after,
                            may_have_executed: None,
                            reason: RejectReason::NoCapacity,
                        },
                    );
                }
            }
        }
        let scheduler = &mut self.schedulers[s];
        scheduler.taken.push(self.now);
        if let Some(ahead) = &mut scheduler.ahead {
            ahead.record_use(self.now, &arrival.function, Some(request_class.load_time));
        }
        let new = NewRequest {
            request_class: arrival.request_class as u32,
            tenant: 0,
            function: Rc::from(arrival.function.as_str()),
            time_left: request_class.time_limit,
            work_hint: None,
            memory_mb: Some(request_class.memory_mb),
            concurrency_slots: Some(request_class.slots as f64),
            load_hint: Some(request_class.load_time),
            is_retry: turn > 1,
            has_side_effects: false,
            payload: client,
        };
        if let Some(request_table) = &mut scheduler.request_table
            && let Ok(request) = request_table.submit(self.now, new)
            && self.clients[client].open
        {
            self.clients[client].request = Some((s, request));
        }
        self.outputs(s);
    }

    pub(super) fn again(&mut self, client: usize, after: Duration) {
        let of = &mut self.clients[client];
        let request_class = &self.script.request_classes[self.arrivals[of.arrival].request_class];
        let over = self.now + after + request_class.time_limit;
        let knows = request_class.idempotency != Idempotency::IdempotentWithKey
            || over < of.first + request_class.deduplication_window;
        if of.repeats < self.script.max_retries && knows {
            of.repeats += 1;
            of.gateway = (of.gateway + 1) % self.schedulers.len();
            let at = self.now + after;
            let Client {
                arrival,
                repeats,
                gateway,
                first,
                turn,
                ..
            } = *of;
            let (open, request, tries) = (false, None, None);
            self.clients.push(Client {
                arrival,
                repeats,
                gateway,
                first,
                turn,
                open,
                request,
                tries,
            });
            let again = self.clients.len() - 1;
            self.put(at, Ev::Again(again));
        }
    }

    pub(super) fn client_timeout(&mut self, client: usize, turn: u32) {
        let of = &mut self.clients[client];
        if of.open && of.turn == turn {
            of.open = false;
            self.figures.no_answer += 1;
            if let Some((s, request)) = of.request {
                if let Some(request_table) = &mut self.schedulers[s].request_table {
                    request_table.client_disconnected(self.now, request);
                }
                self.outputs(s);
            }
        }
    }

    pub(super) fn answered(&mut self, client: usize, answer: FinalResponse) {
        if !std::mem::take(&mut self.clients[client].open) {
            return;
        }
        let finished = answer == FinalResponse::Succeeded;
        let (took, of) = (
            self.now - self.clients[client].first,
            self.clients[client].arrival,
        );
        let target = self.script.request_classes[self.arrivals[of].request_class].latency_objective;
        self.return_answered(client, finished, finished && took <= target);
        let of = &self.clients[client];
        let arrival = &self.arrivals[of.arrival];
        match answer {
            FinalResponse::Succeeded => {
                self.figures.finished += 1;
                self.waits
                    .push((took.as_secs_f64() * 1000.0 - arrival.work_us as f64 / 1000.0).max(0.0));
                if took <= target {
                    self.in_time.insert(of.arrival);
                }
            }
            FinalResponse::Rejected { retry_after, .. } => {
                self.figures.rejected += 1;
                self.figures.power_rejected += u64::from(self.power.off.is_some());
                let told = retry_after.unwrap_or(Duration::from_millis(100));
                let wait = told.mul_f64(self.script.retry_wait_factor * self.chance.random_range(1.0..2.0));
                self.again(client, wait);
            }
            FinalResponse::Failed { .. } => self.figures.killed += 1,
            FinalResponse::Cancelled => {}
        }
    }
}
