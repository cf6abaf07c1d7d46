//! What a fake worker does with calls, without sockets or clock: copies that load, hold memory and slots,
//! stand idle and are unloaded; queues; a cold start; falling over; work that goes on after a cancel. Give it
//! what comes ([`WorkerModel::submit_call`], ...) with the time, run [`WorkerModel::due`] when [`WorkerModel::next_due`] has come, and do
//! what [`WorkerModel::take_outputs`].
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// While a worker is cold its speed is looked at anew this often.
const COLD_STEP: Duration = Duration::from_millis(20);
/// Work left that counts as none: below what a clock tells.
const NOTHING: f64 = 1e-7;

/// A function as workers know it.
#[derive(Clone, Debug)]
pub struct FunctionSpec {
    pub memory_mb: f64,
    /// Requests at a time in one copy.
    pub slots: usize,
    pub load_time: Duration,
    /// Share of the load that is the fetch from the store.
    pub fetch_share: f64,
    /// Work of a call that tells none.
    pub default_work: Duration,
}

impl Default for FunctionSpec {
    fn default() -> FunctionSpec {
        let (load, work) = (Duration::from_millis(300), Duration::from_millis(2));
        FunctionSpec {
            memory_mb: 200.0,
            slots: 8,
            load_time: load,
            fetch_share: 0.5,
            default_work: work,
        }
    }
}

#[derive(Clone, Debug)]
pub struct WorkerSpec {
    pub cores: f64,
    pub memory_mb: f64,
    pub max_concurrent_loads: usize,
    pub max_queue_length: usize,
    /// Until an idle copy is unloaded.
    pub keep_alive: Duration,
    pub slow_start_min_capacity: f64,
    pub slow_start_duration: Duration,
    /// Falls over when sent more than this multiple of what it can do in the window; 0: never.
    pub overload_multiple: f64,
    pub overload_window: Duration,
    /// Running work goes on when its call is cancelled.
    pub runs_after_cancel: bool,
}

impl Default for WorkerSpec {
    fn default() -> WorkerSpec {
        WorkerSpec {
            cores: 4.0,
            memory_mb: 4000.0,
            max_concurrent_loads: 4,
            max_queue_length: 200,
            keep_alive: Duration::from_secs(10),
            slow_start_min_capacity: 1.0,
            slow_start_duration: Duration::ZERO,
            overload_multiple: 0.0,
            overload_window: Duration::from_secs(2),
            runs_after_cancel: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheOutcome {
    Warm = 1,
    StartedLoad = 2,
    AwaitedLoad = 3,
    LoadFailed = 4,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WorkerOutput {
    /// The call ran to its end, whether or not anybody still waits for it.
    CallCompleted {
        call: u64,
        cache_outcome: CacheOutcome,
        concurrency: usize,
        awaited: bool,
    },
    /// Turned away unseen.
    CallRejected { call: u64 },
    /// The load that it waited for failed; it never ran.
    CacheMiss { call: u64 },
    /// Fetch a function from the store, which takes so long undisturbed; then [`WorkerModel::fetch_ended`].
    FetchFunction {
        load: u64,
        function: String,
        fetch_time: Duration,
    },
    /// An order is done, or cannot be.
    LoadCommandEnded {
        command: u64,
        copies: usize,
        succeeded: bool,
    },
    /// Pushed over: it takes nothing any more.
    CrashedByOverload,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits for its turn to load.
    Queued,
    Fetching,
    Starting {
        until: Duration,
    },
    Ready {
        idle_since: Duration,
    },
}

#[derive(Debug)]
struct Copy {
    id: u64,
    function: String,
    stage: Stage,
    used: usize,
}

impl Copy {
    /// It is being loaded, no longer queued.
    fn loads(&self) -> bool {
        matches!(self.stage, Stage::Fetching | Stage::Starting { .. })
    }

    /// It is in use or under way, and no room can be made of it.
    fn stays(&self) -> bool {
        self.used > 0 || self.loads()
    }

    /// It stands and runs nothing.
    fn idle(&self) -> bool {
        self.used == 0 && matches!(self.stage, Stage::Ready { .. })
    }
}

#[derive(Debug)]
struct Call {
    function: String,
    left: f64,
    cache_outcome: CacheOutcome,
    concurrency: usize,
    copy: Option<u64>,
    awaited: bool,
}

/// What a worker reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerLoad {
    pub calls: usize,
    pub queued: usize,
    pub cpu_utilization: f64,
    pub unreclaimable_memory: f64,
    pub pending_loads: usize,
}

#[derive(Debug)]
pub struct WorkerModel {
    machine: WorkerSpec,
    specs: BTreeMap<String, FunctionSpec>,
    started: Duration,
    now: Duration,
    copies: Vec<Copy>,
    calls: BTreeMap<u64, Call>,
    waiting: VecDeque<u64>,
    orders: Vec<(u64, String, usize)>,
    arrived: VecDeque<(Duration, f64)>,
    /// Largest share of what it could be sent in a window while cold that it was sent.
    pub max_overload_share: f64,
    says: Vec<WorkerOutput>,
    drawn: u64,
    pub draining: bool,
    pub crashed: bool,
}

impl WorkerModel {
    pub fn new(machine: WorkerSpec, specs: BTreeMap<String, FunctionSpec>, now: Duration) -> WorkerModel {
        WorkerModel {
            machine,
            specs,
            started: now,
            now,
            copies: Vec::new(),
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            orders: Vec::new(),
            arrived: VecDeque::new(),
            max_overload_share: 0.0,
            says: Vec::new(),
            drawn: 0,
            draining: false,
            crashed: false,
        }
    }

    pub fn take_outputs(&mut self) -> Vec<WorkerOutput> {
        std::mem::take(&mut self.says)
    }

    pub fn function_spec(&self, function: &str) -> FunctionSpec {
        let plain = function.split(':').next().unwrap_or(function);
        self.specs
            .get(function)
            .or_else(|| self.specs.get(plain))
            .cloned()
            .unwrap_or_default()
    }

    /// Share of its full speed that the worker has now.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.started);
        if age >= self.machine.slow_start_duration {
            return 1.0;
        }
        let part = age.as_secs_f64() / self.machine.slow_start_duration.as_secs_f64();
        self.machine.slow_start_min_capacity + (1.0 - self.machine.slow_start_min_capacity) * part
    }

    pub fn current_load(&self) -> WorkerLoad {
        let running = self.calls.len() - self.waiting.len();
        let memory = self.memory(Copy::stays);
        let loads = self
            .copies
            .iter()
            .filter(|c| !matches!(c.stage, Stage::Ready { .. }))
            .count();
        WorkerLoad {
            calls: self.calls.len(),
            queued: self.waiting.len(),
            cpu_utilization: (running as f64 / (self.machine.cores * self.capacity_share(self.now))).min(1.0),
            unreclaimable_memory: memory / self.machine.memory_mb,
            pending_loads: loads,
        }
    }

    /// Memory of some copies, in MB.
    fn memory(&self, of: impl Fn(&Copy) -> bool) -> f64 {
        self.copies
            .iter()
            .filter(|c| of(c))
            .map(|c| self.function_spec(&c.function).memory_mb)
            .sum()
    }

    /// Memory of copies that stand and run nothing, in MB.
    pub fn idle_memory_mb(&self) -> f64 {
        self.memory(Copy::idle)
    }

    pub fn ready_copies(&self, function: &str) -> usize {
        let ready = |c: &&Copy| c.function == function && matches!(c.stage, Stage::Ready { .. });
        self.copies.iter().filter(ready).count()
    }

    /// Moves running work on to `now`: all running calls share the cores evenly.
    fn advance(&mut self, now: Duration) {
        let now = now.max(self.now);
        let spent = (now - self.now).as_secs_f64() * self.speed();
        self.now = now;
        for call in self.calls.values_mut().filter(|call| call.copy.is_some()) {
            call.left -= spent;
        }
    }

    /// Work a second that each running call gets.
    fn speed(&self) -> f64 {
        let running = self.calls.values().filter(|call| call.copy.is_some()).count();
        let cores = self.machine.cores * self.capacity_share(self.now);
        if running == 0 {
            0.0
        } else {
            (cores / running as f64).min(1.0)
        }
    }

    /// A call came, with so much work.
    pub fn submit_call(&mut self, now: Duration, call: u64, function: &str, work: Duration) {
        self.advance(now);
        if self.crashed || self.pushed_over(work.as_secs_f64()) {
            return;
        }
        if self.draining || self.waiting.len() >= self.machine.max_queue_length {
            self.says.push(WorkerOutput::CallRejected { call });
            return;
        }
        let concurrency = self
            .calls
            .values()
            .filter(|other| other.function == function)
            .count();
        let mut stages = self
            .copies
            .iter()
            .filter(|c| c.function == function)
            .map(|c| c.stage);
        let cache_outcome = match stages.any(|stage| matches!(stage, Stage::Ready { .. })) {
            true => CacheOutcome::Warm,
            false if self.copies.iter().any(|c| c.function == function) => CacheOutcome::AwaitedLoad,
            false => CacheOutcome::StartedLoad,
        };
        let left = work.as_secs_f64();
        let of = Call {
            function: function.to_owned(),
            left,
            cache_outcome,
            concurrency,
            copy: None,
            awaited: true,
        };
        self.calls.insert(call, of);
        self.waiting.push_back(call);
        self.place();
        if self.calls.get(&call).is_some_and(|c| c.copy.is_none()) && !self.begin_load_for(function) {
            let any = self.copies.iter().any(|c| c.function == function);
            if !any {
                self.calls.remove(&call);
                self.waiting.retain(|&other| other != call);
                self.says.push(WorkerOutput::CallRejected { call });
            }
        }
        self.work_on();
    }

    /// Counts what arrives against what the worker can do; past the multiple it falls over.
    fn pushed_over(&mut self, work: f64) -> bool {
        let (machine, now) = (&self.machine, self.now);
        self.arrived.push_back((now, work));
        while self
            .arrived
            .front()
            .is_some_and(|(at, _)| *at + machine.overload_window < now)
        {
            self.arrived.pop_front();
        }
        if machine.overload_multiple <= 0.0 || now.saturating_sub(self.started) >= machine.slow_start_duration
        {
            return false;
        }
        let sum: f64 = self.arrived.iter().map(|(_, work)| work).sum();
        let can = machine.cores * self.capacity_share(now) * machine.overload_window.as_secs_f64();
        self.max_overload_share = self
            .max_overload_share
            .max(sum / (machine.overload_multiple * can));
        if sum > machine.overload_multiple * can {
            self.crashed = true;
            self.says.push(WorkerOutput::CrashedByOverload);
        }
        self.crashed
    }

    /// Starts another copy where waiting calls are more than the loads under way will take.
    fn begin_load_for(&mut self, function: &str) -> bool {
        let spec = self.function_spec(function);
        let waiting = self
            .waiting
            .iter()
            .filter(|id| self.calls[id].function == function)
            .count();
        let coming = |c: &&Copy| c.function == function && !matches!(c.stage, Stage::Ready { .. });
        let loading = self.copies.iter().filter(coming).count();
        if loading * spec.slots >= waiting {
            return true;
        }
        self.begin_load(function)
    }

    /// Puts a load into the queue; `false` where copies that are in use or under way leave no room for it.
    fn begin_load(&mut self, function: &str) -> bool {
        let need = self.function_spec(function).memory_mb;
        if self.memory(Copy::stays) + need > self.machine.memory_mb {
            return false;
        }
        self.drawn += 1;
        let copy = Copy {
            id: self.drawn,
            function: function.to_owned(),
            stage: Stage::Queued,
            used: 0,
        };
        self.copies.push(copy);
        true
    }

    /// Makes room for a load whose turn it is by unloading idle copies, those that stood longest first; `false` where there
    /// is none.
    fn make_room(&mut self, function: &str) -> bool {
        let need = self.function_spec(function).memory_mb;
        loop {
            if self.memory(|c| c.stage != Stage::Queued) + need <= self.machine.memory_mb {
                return true;
            }
            let idle = self
                .copies
                .iter()
                .enumerate()
                .filter_map(|(at, c)| match c.stage {
                    Stage::Ready { idle_since } if c.used == 0 && c.function != function => {
                        Some((idle_since, at))
                    }
                    _ => None,
                });
            let Some((_, at)) = idle.min() else { return false };
            self.copies.remove(at);
        }
    }

    /// Forgets queued loads that no call waits for any more, and no order.
    fn drop_needless(&mut self) {
        let mut needs: BTreeMap<&str, usize> = BTreeMap::new();
        for id in &self.waiting {
            *needs.entry(&self.calls[id].function).or_default() += 1;
        }
        let mut room: BTreeMap<String, usize> = BTreeMap::new();
        for copy in self.copies.iter().filter(|c| c.stage == Stage::Queued) {
            let function = copy.function.as_str();
            if room.contains_key(function) || self.orders.iter().any(|(_, of, _)| of == function) {
                continue;
            }
            let wanted = needs
                .get(function)
                .copied()
                .unwrap_or(0)
                .div_ceil(self.function_spec(function).slots.max(1));
            let loads = |c: &&Copy| c.function == function && c.loads();
            room.insert(
                function.to_owned(),
                wanted.saturating_sub(self.copies.iter().filter(loads).count()),
            );
        }
        self.copies.retain(|copy| match room.get_mut(&copy.function) {
            Some(left) if copy.stage == Stage::Queued => {
                let stays = *left > 0;
                *left = left.saturating_sub(1);
                stays
            }
            Some(_) | None => true,
        });
    }

    /// Gives waiting calls to copies with free slots, in the order they came.
    fn place(&mut self) {
        let waiting: Vec<u64> = self.waiting.iter().copied().collect();
        for id in waiting {
            let function = &self.calls[&id].function;
            let slots = self.function_spec(function).slots;
            let free = |c: &&mut Copy| {
                c.function == *function && matches!(c.stage, Stage::Ready { .. }) && c.used < slots
            };
            let Some(copy) = self.copies.iter_mut().find(free) else {
                continue;
            };
            copy.used += 1;
            let copy = copy.id;
            if let Some(call) = self.calls.get_mut(&id) {
                call.copy = Some(copy);
            }
            self.waiting.retain(|&other| other != id);
        }
    }

    /// Starts loads whose turn it is.
    fn work_on(&mut self) {
        let loading = self.copies.iter().filter(|c| c.loads()).count();
        let mut free = self.machine.max_concurrent_loads.saturating_sub(loading);
        if free == 0 || !self.copies.iter().any(|c| c.stage == Stage::Queued) {
            return;
        }
        self.drop_needless();
        let queued = self.copies.iter().filter(|c| c.stage == Stage::Queued);
        let queued: Vec<(u64, String)> = queued.map(|c| (c.id, c.function.clone())).collect();
        for (load, function) in queued {
            if free == 0 {
                break;
            }
            // Where there is no room it waits on, for what runs to end.
            if !self.make_room(&function) {
                continue;
            }
            if let Some(copy) = self.copies.iter_mut().find(|c| c.id == load) {
                copy.stage = Stage::Fetching;
                free -= 1;
            }
            let spec = self.function_spec(&function);
            self.says.push(WorkerOutput::FetchFunction {
                load,
                function,
                fetch_time: spec.load_time.mul_f64(spec.fetch_share),
            });
        }
    }

    /// A fetch ended.
    pub fn fetch_ended(&mut self, now: Duration, load: u64, good: bool) {
        self.advance(now);
        let Some(at) = self
            .copies
            .iter()
            .position(|c| c.id == load && c.stage == Stage::Fetching)
        else {
            return;
        };
        let function = self.copies[at].function.clone();
        if good {
            let spec = self.function_spec(&function);
            let until = self.now + spec.load_time.mul_f64(1.0 - spec.fetch_share);
            self.copies[at].stage = Stage::Starting { until };
        } else {
            self.copies.remove(at);
            if !self.copies.iter().any(|c| c.function == function) {
                let lost: Vec<u64> = self
                    .waiting
                    .iter()
                    .copied()
                    .filter(|id| self.calls[id].function == function)
                    .collect();
                for call in lost {
                    self.calls.remove(&call);
                    self.waiting.retain(|&other| other != call);
                    self.says.push(WorkerOutput::CacheMiss { call });
                }
            }
            self.orders_done(&function, false);
        }
        self.work_on();
    }

    /// The caller gave up. Whether the work was dropped with it.
    pub fn cancel_call(&mut self, now: Duration, call: u64) -> bool {
        self.advance(now);
        let Some(of) = self.calls.get_mut(&call) else {
            return false;
        };
        match of.copy {
            // Work that waits is dropped; work that runs may go on.
            None => {
                self.calls.remove(&call);
                self.waiting.retain(|&other| other != call);
            }
            Some(copy) => {
                of.awaited = false;
                if !self.machine.runs_after_cancel {
                    self.calls.remove(&call);
                    self.release(copy);
                    self.place();
                }
            }
        }
        !self.calls.contains_key(&call)
    }

    fn release(&mut self, copy: u64) {
        let now = self.now;
        if let Some(copy) = self.copies.iter_mut().find(|c| c.id == copy) {
            copy.used -= 1;
            copy.stage = Stage::Ready { idle_since: now };
        }
    }

    /// An order to hold so many copies; 0 only asks.
    pub fn submit_load_command(&mut self, now: Duration, order: u64, function: &str, copies: usize) {
        self.advance(now);
        let there = self.copies.iter().filter(|c| c.function == function).count();
        for copy in self
            .copies
            .iter_mut()
            .filter(|c| c.function == function && c.used == 0)
        {
            if let Stage::Ready { idle_since } = &mut copy.stage {
                *idle_since = self.now;
            }
        }
        let room = !self.draining && !self.crashed && (there..copies).all(|_| self.begin_load(function));
        if !room || self.ready_copies(function) >= copies {
            let succeeded = copies == 0 || self.ready_copies(function) >= copies;
            self.says.push(WorkerOutput::LoadCommandEnded {
                command: order,
                copies: self.ready_copies(function),
                succeeded,
            });
        } else {
            self.orders.push((order, function.to_owned(), copies));
        }
        self.work_on();
    }

    pub fn unload_idle_copies(&mut self, now: Duration, function: &str) {
        self.advance(now);
        self.copies.retain(|c| c.function != function || !c.idle());
    }

    fn orders_done(&mut self, function: &str, good: bool) {
        let standing = self.ready_copies(function);
        let done = |(_, of, copies): &(u64, String, usize)| of == function && (!good || standing >= *copies);
        let over: Vec<u64> = self.orders.iter().filter(|o| done(o)).map(|o| o.0).collect();
        self.orders.retain(|o| !done(o));
        let says = over.into_iter().map(|order| WorkerOutput::LoadCommandEnded {
            command: order,
            copies: standing,
            succeeded: good,
        });
        self.says.extend(says);
    }

    pub fn next_due(&self) -> Option<Duration> {
        let speed = self.speed();
        let running = self.calls.values().filter(|call| call.copy.is_some());
        let soonest = running.map(|call| call.left.max(0.0)).min_by(f64::total_cmp);
        let work = soonest.filter(|_| speed > 0.0).map(|left| {
            let at = self.now + Duration::from_secs_f64(left / speed) + Duration::from_micros(1);
            if self.capacity_share(self.now) < 1.0 {
                at.min(self.now + COLD_STEP)
            } else {
                at
            }
        });
        let copies = self.copies.iter().filter_map(|copy| match copy.stage {
            Stage::Starting { until } => Some(until),
            Stage::Ready { idle_since } if copy.used == 0 => Some(idle_since + self.machine.keep_alive),
            Stage::Ready { .. } | Stage::Queued | Stage::Fetching => None,
        });
        copies.chain(work).min()
    }

    pub fn due(&mut self, now: Duration) {
        self.advance(now);
        if self.crashed {
            return;
        }
        let done = |call: &Call| call.copy.is_some() && call.left <= NOTHING;
        let over: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| done(call))
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let Some(Call {
                cache_outcome,
                concurrency,
                copy,
                awaited,
                ..
            }) = self.calls.remove(&id)
            else {
                continue;
            };
            self.says.push(WorkerOutput::CallCompleted {
                call: id,
                cache_outcome,
                concurrency,
                awaited,
            });
            copy.into_iter().for_each(|copy| self.release(copy));
        }
        let mut ready = Vec::new();
        for copy in &mut self.copies {
            if matches!(copy.stage, Stage::Starting { until } if until <= self.now) {
                copy.stage = Stage::Ready { idle_since: self.now };
                ready.push(copy.function.clone());
            }
        }
        ready.iter().for_each(|function| self.orders_done(function, true));
        self.place();
        let (now, keep) = (self.now, self.machine.keep_alive);
        self.copies.retain(|copy| match copy.stage {
            Stage::Ready { idle_since } => copy.used > 0 || now < idle_since + keep,
            Stage::Queued | Stage::Fetching | Stage::Starting { .. } => true,
        });
        self.work_on();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn run(worker: &mut WorkerModel, until: Duration) -> Vec<(Duration, WorkerOutput)> {
        let mut said = Vec::new();
        loop {
            for say in worker.take_outputs() {
                if let WorkerOutput::FetchFunction { load, fetch_time, .. } = &say {
                    let at = worker.now + *fetch_time;
                    worker.due(at.min(until));
                    worker.fetch_ended(at.min(until), *load, true);
                }
                said.push((worker.now, say));
            }
            match worker.next_due().filter(|at| *at <= until) {
                Some(at) => worker.due(at),
                None => return said,
            }
        }
    }

    #[test]
    fn a_cold_call_waits_for_its_load_and_a_second_finds_the_copy() {
        let mut worker = WorkerModel::new(WorkerSpec::default(), BTreeMap::new(), Duration::ZERO);
        worker.submit_call(Duration::ZERO, 1, "f", 10 * MS);
        let first = run(&mut worker, 1000 * MS);
        let may_have_executed = first
            .iter()
            .find(|(_, say)| matches!(say, WorkerOutput::CallCompleted { .. }))
            .unwrap();
        assert!(
            may_have_executed.0 >= 310 * MS && may_have_executed.0 < 315 * MS,
            "{may_have_executed:?}"
        );
        assert!(matches!(
            may_have_executed.1,
            WorkerOutput::CallCompleted {
                cache_outcome: CacheOutcome::StartedLoad,
                ..
            }
        ));
        worker.submit_call(1000 * MS, 2, "f", 10 * MS);
        let second = run(&mut worker, 2000 * MS);
        assert!(matches!(
            second[0].1,
            WorkerOutput::CallCompleted {
                cache_outcome: CacheOutcome::Warm,
                concurrency: 0,
                ..
            }
        ));
        assert!(run(&mut worker, Duration::from_secs(30)).is_empty());
        assert_eq!(worker.ready_copies("f"), 0);
    }

    #[test]
    fn memory_bounds_copies_and_idle_ones_give_way() {
        let machine = WorkerSpec {
            memory_mb: 400.0,
            ..WorkerSpec::default()
        };
        let mut worker = WorkerModel::new(machine, BTreeMap::new(), Duration::ZERO);
        for (call, function) in [(1, "a"), (2, "b"), (3, "c")] {
            worker.submit_call(Duration::ZERO, call, function, MS);
        }
        assert!(
            worker
                .take_outputs()
                .contains(&WorkerOutput::CallRejected { call: 3 })
        );
    }

    #[test]
    fn a_load_waits_without_room_and_is_dropped_with_its_last_call() {
        let machine = WorkerSpec {
            memory_mb: 400.0,
            max_concurrent_loads: 1,
            ..WorkerSpec::default()
        };
        let mut worker = WorkerModel::new(machine, BTreeMap::new(), Duration::ZERO);
        worker.submit_call(Duration::ZERO, 1, "x", MS);
        run(&mut worker, 2000 * MS);
        assert_eq!(worker.ready_copies("x"), 1);
        for (call, function) in [(2, "a"), (3, "b"), (4, "c")] {
            worker.submit_call(2000 * MS, call, function, MS);
        }
        let fetched = |says: Vec<WorkerOutput>| {
            let fetch = |say: WorkerOutput| {
                if let WorkerOutput::FetchFunction { load, function, .. } = say {
                    Some((load, function))
                } else {
                    None
                }
            };
            says.into_iter().find_map(fetch).unwrap()
        };
        let (load, function) = fetched(worker.take_outputs());
        // What stands idle stays while the others only wait for their turn.
        assert_eq!((function.as_str(), worker.ready_copies("x")), ("a", 1));
        worker.cancel_call(2100 * MS, 3);
        worker.fetch_ended(2200 * MS, load, true);
        let at = worker.next_due().unwrap();
        worker.due(at);
        assert_eq!(fetched(worker.take_outputs()).1, "c");
        assert_eq!(worker.ready_copies("x"), 0);
    }

    #[test]
    fn a_cold_worker_falls_over_past_the_multiple() {
        let machine = WorkerSpec {
            cores: 1.0,
            slow_start_min_capacity: 0.2,
            slow_start_duration: Duration::from_secs(10),
            overload_multiple: 3.0,
            ..WorkerSpec::default()
        };
        let mut worker = WorkerModel::new(machine, BTreeMap::new(), Duration::ZERO);
        // 0.2 cores for 2 s, three times: 1.2 s of work may come.
        for call in 0..12 {
            worker.submit_call(Duration::ZERO, call, "f", 100 * MS);
            assert!(!worker.crashed);
        }
        worker.submit_call(Duration::ZERO, 12, "f", 100 * MS);
        assert!(worker.crashed && worker.take_outputs().contains(&WorkerOutput::CrashedByOverload));
    }

    #[test]
    fn cancelled_work_that_runs_goes_on_and_tells_nobody() {
        let mut worker = WorkerModel::new(WorkerSpec::default(), BTreeMap::new(), Duration::ZERO);
        worker.submit_call(Duration::ZERO, 1, "f", 100 * MS);
        run(&mut worker, 310 * MS);
        worker.cancel_call(320 * MS, 1);
        let said = run(&mut worker, 1000 * MS);
        assert!(matches!(
            said[..],
            [(
                _,
                WorkerOutput::CallCompleted {
                    call: 1,
                    awaited: false,
                    ..
                }
            )]
        ));
    }

    #[test]
    fn a_failed_load_misses_its_calls() {
        let mut worker = WorkerModel::new(WorkerSpec::default(), BTreeMap::new(), Duration::ZERO);
        worker.submit_call(Duration::ZERO, 1, "f", MS);
        let WorkerOutput::FetchFunction { load, .. } = worker.take_outputs().remove(0) else {
            panic!()
        };
        worker.fetch_ended(MS, load, false);
        assert_eq!(worker.take_outputs(), [WorkerOutput::CacheMiss { call: 1 }]);
        assert_eq!(worker.current_load(), WorkerLoad::default());
    }
}
