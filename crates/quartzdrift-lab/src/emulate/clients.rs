//! Clients: each call, its time-out, its final answer, and when it comes again.
use super::*;

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
            job: None,
            tries: None,
        };
        self.clients.push(client);
        self.ask(self.clients.len() - 1);
    }

    /// A try of a client reaches its gateway.
    pub(super) fn ask(&mut self, client: usize) {
        let (n, s) = (self.clients[client].arrival, self.clients[client].gateway);
        let arrival = &self.arrivals[n];
        let workload = &self.script.workloads[arrival.workload];
        if self.schedulers[s].paused > self.now {
            return self.put(self.schedulers[s].paused, Ev::Again(client));
        }
        self.figures.calls += 1;
        self.clients[client].open = true;
        self.clients[client].turn += 1;
        let turn = self.clients[client].turn;
        if self.schedulers[s].desk.is_none() {
            self.clients[client].open = false;
            self.figures.no_answer += 1;
            return self.again(client, Duration::from_millis(50));
        }
        self.put(self.now + workload.limit + Duration::from_millis(500), Ev::ClientTimeout(client, turn));
        let (now, life) = (self.now, self.schedulers[s].life);
        if let Some(machine) = &mut self.schedulers[s].returning.machine {
            match machine.let_in(now, &arrival.function) {
                Ok(tries) => self.clients[client].tries = tries.map(|number| (life, number)),
                Err(wait) => {
                    let come_back = Some(wait);
                    return self.answered(client, FinalAnswer::PushedBack { come_back, ran: None });
                }
            }
        }
        let scheduler = &mut self.schedulers[s];
        scheduler.taken.push(self.now);
        if let Some(ahead) = &mut scheduler.ahead {
            ahead.used(self.now, &arrival.function, Some(workload.load));
        }
        let new = NewJob {
            workload: arrival.workload as u32,
            customer: 0,
            function: Rc::from(arrival.function.as_str()),
            left: workload.limit,
            work_hint: None,
            memory_mb: Some(workload.memory_mb),
            lanes: Some(workload.lanes as f64),
            load_hint: Some(workload.load),
            is_retry: turn > 1,
            writes: false,
            payload: client,
        };
        if let Some(desk) = &mut scheduler.desk
            && let Ok(job) = desk.job(self.now, new)
            && self.clients[client].open
        {
            self.clients[client].job = Some((s, job));
        }
        self.outputs(s);
    }

    pub(super) fn again(&mut self, client: usize, after: Duration) {
        let of = &mut self.clients[client];
        let workload = &self.script.workloads[self.arrivals[of.arrival].workload];
        let over = self.now + after + workload.limit;
        let knows = workload.effect != Effect::Fingerprinted || over < of.first + workload.window;
        if of.repeats < self.script.repeats && knows {
            of.repeats += 1;
            of.gateway = (of.gateway + 1) % self.schedulers.len();
            let at = self.now + after;
            let Client { arrival, repeats, gateway, first, turn, .. } = *of;
            let (open, job, tries) = (false, None, None);
            self.clients.push(Client { arrival, repeats, gateway, first, turn, open, job, tries });
            let again = self.clients.len() - 1;
            self.put(at, Ev::Again(again));
        }
    }

    pub(super) fn client_timeout(&mut self, client: usize, turn: u32) {
        let of = &mut self.clients[client];
        if of.open && of.turn == turn {
            of.open = false;
            self.figures.no_answer += 1;
            if let Some((s, job)) = of.job {
                if let Some(desk) = &mut self.schedulers[s].desk {
                    desk.client_gone(self.now, job);
                }
                self.outputs(s);
            }
        }
    }

    pub(super) fn answered(&mut self, client: usize, answer: FinalAnswer) {
        if !std::mem::take(&mut self.clients[client].open) {
            return;
        }
        let finished = answer == FinalAnswer::Finished;
        let (took, of) = (self.now - self.clients[client].first, self.clients[client].arrival);
        let target = self.script.workloads[self.arrivals[of].workload].start_target;
        self.return_answered(client, finished, finished && took <= target);
        let of = &self.clients[client];
        let arrival = &self.arrivals[of.arrival];
        match answer {
            FinalAnswer::Finished => {
                self.figures.finished += 1;
                self.waits.push((took.as_secs_f64() * 1000.0 - arrival.work_us as f64 / 1000.0).max(0.0));
                if took <= target {
                    self.in_time.insert(of.arrival);
                }
            }
            FinalAnswer::PushedBack { come_back, .. } => {
                self.figures.pushed_back += 1;
                self.figures.power_pushed_back += u64::from(self.power.off.is_some());
                let told = come_back.unwrap_or(Duration::from_millis(100));
                let wait = told.mul_f64(self.script.haste * self.chance.random_range(1.0..2.0));
                self.again(client, wait);
            }
            FinalAnswer::Killed { .. } => self.figures.killed += 1,
            FinalAnswer::Expired => {}
        }
    }
}
