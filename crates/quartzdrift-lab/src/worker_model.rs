//! What a fake worker does with calls, without sockets or clock: copies that load, hold memory and slots,
//! stand idle and are unloaded; queues; a cold start; falling over; work that goes on after a cancel. Give it
//! what comes ([`Worker::call`], ...) with the time, run [`Worker::due`] when [`Worker::next_due`] has come, and do
//! what [`Worker::says`].
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// While a worker is cold its speed is looked at anew this often.
const COLD_STEP: Duration = Duration::from_millis(20);
/// Work left that counts as none: below what a clock tells.
const NOTHING: f64 = 1e-7;

/// A function as workers know it.
#[derive(Clone, Debug)]
pub struct Spec {
    pub memory_mb: f64,
    /// Requests at a time in one copy.
    pub slots: usize,
    pub load: Duration,
    /// Share of the load that is the fetch from the store.
    pub fetch: f64,
    /// Work of a call that tells none.
    pub work: Duration,
}

impl Default for Spec {
    fn default() -> Spec {
        let (load, work) = (Duration::from_millis(300), Duration::from_millis(2));
        Spec {
            memory_mb: 200.0,
            slots: 8,
            load,
            fetch: 0.5,
            work,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub cores: f64,
    pub memory_mb: f64,
    pub loads_most: usize,
    pub queue_most: usize,
    /// Until an idle copy is unloaded.
    pub keep: Duration,
    pub cold_from: f64,
    pub cold_for: Duration,
    /// Falls over when sent more than this multiple of what it can do in the window; 0: never.
    pub fall_multiple: f64,
    pub fall_window: Duration,
    /// Running work goes on when its call is cancelled.
    pub goes_on: bool,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine {
            cores: 4.0,
            memory_mb: 4000.0,
            loads_most: 4,
            queue_most: 200,
            keep: Duration::from_secs(10),
            cold_from: 1.0,
            cold_for: Duration::ZERO,
            fall_multiple: 0.0,
            fall_window: Duration::from_secs(2),
            goes_on: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Warm = 1,
    StartedLoad = 2,
    AwaitedLoad = 3,
    LoadFailed = 4,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Say {
    /// The call ran to its end, whether or not anybody still waits for it.
    Ran {
        call: u64,
        found: Found,
        crowd: usize,
        wanted: bool,
    },
    /// Turned away unseen.
    Full { call: u64 },
    /// The load that it waited for failed; it never ran.
    Missed { call: u64 },
    /// Fetch a function from the store, which takes so long undisturbed; then [`Worker::fetched`].
    Fetch {
        load: u64,
        function: String,
        takes: Duration,
    },
    /// An order is done, or cannot be.
    Stands { order: u64, copies: usize, enough: bool },
    /// Pushed over: it takes nothing any more.
    Fell,
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
    found: Found,
    crowd: usize,
    copy: Option<u64>,
    wanted: bool,
}

/// What a worker reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub held: usize,
    pub queued: usize,
    pub busy: f64,
    pub memory_taken: f64,
    pub loads: usize,
}

#[derive(Debug)]
pub struct Worker {
    machine: Machine,
    specs: BTreeMap<String, Spec>,
    started: Duration,
    now: Duration,
    copies: Vec<Copy>,
    calls: BTreeMap<u64, Call>,
    waiting: VecDeque<u64>,
    orders: Vec<(u64, String, usize)>,
    arrived: VecDeque<(Duration, f64)>,
    /// Largest share of what it could be sent in a window while cold that it was sent.
    pub cold_most: f64,
    says: Vec<Say>,
    drawn: u64,
    pub draining: bool,
    pub fallen: bool,
}

impl Worker {
    pub fn new(machine: Machine, specs: BTreeMap<String, Spec>, now: Duration) -> Worker {
        Worker {
            machine,
            specs,
            started: now,
            now,
            copies: Vec::new(),
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            orders: Vec::new(),
            arrived: VecDeque::new(),
            cold_most: 0.0,
            says: Vec::new(),
            drawn: 0,
            draining: false,
            fallen: false,
        }
    }

    pub fn says(&mut self) -> Vec<Say> {
        std::mem::take(&mut self.says)
    }

    pub fn spec(&self, function: &str) -> Spec {
        let plain = function.split(':').next().unwrap_or(function);
        self.specs
            .get(function)
            .or_else(|| self.specs.get(plain))
            .cloned()
            .unwrap_or_default()
    }

    /// Share of its full speed that the worker has now.
    pub fn warmth(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.started);
        if age >= self.machine.cold_for {
            return 1.0;
        }
        let part = age.as_secs_f64() / self.machine.cold_for.as_secs_f64();
        self.machine.cold_from + (1.0 - self.machine.cold_from) * part
    }

    pub fn load(&self) -> Load {
        let running = self.calls.len() - self.waiting.len();
        let memory = self.memory(Copy::stays);
        let loads = self
            .copies
            .iter()
            .filter(|c| !matches!(c.stage, Stage::Ready { .. }))
            .count();
        Load {
            held: self.calls.len(),
            queued: self.waiting.len(),
            busy: (running as f64 / (self.machine.cores * self.warmth(self.now))).min(1.0),
            memory_taken: memory / self.machine.memory_mb,
            loads,
        }
    }

    /// Memory of some copies, in MB.
    fn memory(&self, of: impl Fn(&Copy) -> bool) -> f64 {
        self.copies
            .iter()
            .filter(|c| of(c))
            .map(|c| self.spec(&c.function).memory_mb)
            .sum()
    }

    /// Memory of copies that stand and run nothing, in MB.
    pub fn idle_mb(&self) -> f64 {
        self.memory(Copy::idle)
    }

    pub fn copies(&self, function: &str) -> usize {
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
        let cores = self.machine.cores * self.warmth(self.now);
        if running == 0 {
            0.0
        } else {
            (cores / running as f64).min(1.0)
        }
    }

    /// A call came, with so much work.
    pub fn call(&mut self, now: Duration, call: u64, function: &str, work: Duration) {
        self.advance(now);
        if self.fallen || self.pushed_over(work.as_secs_f64()) {
            return;
        }
        if self.draining || self.waiting.len() >= self.machine.queue_most {
            self.says.push(Say::Full { call });
            return;
        }
        let crowd = self
            .calls
            .values()
            .filter(|other| other.function == function)
            .count();
        let mut stages = self
            .copies
            .iter()
            .filter(|c| c.function == function)
            .map(|c| c.stage);
        let found = match stages.any(|stage| matches!(stage, Stage::Ready { .. })) {
            true => Found::Warm,
            false if self.copies.iter().any(|c| c.function == function) => Found::AwaitedLoad,
            false => Found::StartedLoad,
        };
        let left = work.as_secs_f64();
        let of = Call {
            function: function.to_owned(),
            left,
            found,
            crowd,
            copy: None,
            wanted: true,
        };
        self.calls.insert(call, of);
        self.waiting.push_back(call);
        self.place();
        if self.calls.get(&call).is_some_and(|c| c.copy.is_none()) && !self.begin_load_for(function) {
            let any = self.copies.iter().any(|c| c.function == function);
            if !any {
                self.calls.remove(&call);
                self.waiting.retain(|&other| other != call);
                self.says.push(Say::Full { call });
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
            .is_some_and(|(at, _)| *at + machine.fall_window < now)
        {
            self.arrived.pop_front();
        }
        if machine.fall_multiple <= 0.0 || now.saturating_sub(self.started) >= machine.cold_for {
            return false;
        }
        let sum: f64 = self.arrived.iter().map(|(_, work)| work).sum();
        let can = machine.cores * self.warmth(now) * machine.fall_window.as_secs_f64();
        self.cold_most = self.cold_most.max(sum / (machine.fall_multiple * can));
        if sum > machine.fall_multiple * can {
            self.fallen = true;
            self.says.push(Say::Fell);
        }
        self.fallen
    }

    /// Starts another copy where waiting calls are more than the loads under way will take.
    fn begin_load_for(&mut self, function: &str) -> bool {
        let spec = self.spec(function);
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
        let need = self.spec(function).memory_mb;
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
        let need = self.spec(function).memory_mb;
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
                .div_ceil(self.spec(function).slots.max(1));
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
            let slots = self.spec(function).slots;
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
        let mut free = self.machine.loads_most.saturating_sub(loading);
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
            let spec = self.spec(&function);
            self.says.push(Say::Fetch {
                load,
                function,
                takes: spec.load.mul_f64(spec.fetch),
            });
        }
    }

    /// A fetch ended.
    pub fn fetched(&mut self, now: Duration, load: u64, good: bool) {
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
            let spec = self.spec(&function);
            let until = self.now + spec.load.mul_f64(1.0 - spec.fetch);
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
                    self.says.push(Say::Missed { call });
                }
            }
            self.orders_done(&function, false);
        }
        self.work_on();
    }

    /// The caller gave up. Whether the work was dropped with it.
    pub fn cancel(&mut self, now: Duration, call: u64) -> bool {
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
                of.wanted = false;
                if !self.machine.goes_on {
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
    pub fn order(&mut self, now: Duration, order: u64, function: &str, copies: usize) {
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
        let room = !self.draining && !self.fallen && (there..copies).all(|_| self.begin_load(function));
        if !room || self.copies(function) >= copies {
            let enough = copies == 0 || self.copies(function) >= copies;
            self.says.push(Say::Stands {
                order,
                copies: self.copies(function),
                enough,
            });
        } else {
            self.orders.push((order, function.to_owned(), copies));
        }
        self.work_on();
    }

    pub fn unload(&mut self, now: Duration, function: &str) {
        self.advance(now);
        self.copies.retain(|c| c.function != function || !c.idle());
    }

    fn orders_done(&mut self, function: &str, good: bool) {
        let standing = self.copies(function);
        let done = |(_, of, copies): &(u64, String, usize)| of == function && (!good || standing >= *copies);
        let over: Vec<u64> = self.orders.iter().filter(|o| done(o)).map(|o| o.0).collect();
        self.orders.retain(|o| !done(o));
        let says = over.into_iter().map(|order| Say::Stands {
            order,
            copies: standing,
            enough: good,
        });
        self.says.extend(says);
    }

    pub fn next_due(&self) -> Option<Duration> {
        let speed = self.speed();
        let running = self.calls.values().filter(|call| call.copy.is_some());
        let soonest = running.map(|call| call.left.max(0.0)).min_by(f64::total_cmp);
        let work = soonest.filter(|_| speed > 0.0).map(|left| {
            let at = self.now + Duration::from_secs_f64(left / speed) + Duration::from_micros(1);
            if self.warmth(self.now) < 1.0 {
                at.min(self.now + COLD_STEP)
            } else {
                at
            }
        });
        let copies = self.copies.iter().filter_map(|copy| match copy.stage {
            Stage::Starting { until } => Some(until),
            Stage::Ready { idle_since } if copy.used == 0 => Some(idle_since + self.machine.keep),
            Stage::Ready { .. } | Stage::Queued | Stage::Fetching => None,
        });
        copies.chain(work).min()
    }

    pub fn due(&mut self, now: Duration) {
        self.advance(now);
        if self.fallen {
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
                found,
                crowd,
                copy,
                wanted,
                ..
            }) = self.calls.remove(&id)
            else {
                continue;
            };
            self.says.push(Say::Ran {
                call: id,
                found,
                crowd,
                wanted,
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
        let (now, keep) = (self.now, self.machine.keep);
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

    fn run(worker: &mut Worker, until: Duration) -> Vec<(Duration, Say)> {
        let mut said = Vec::new();
        loop {
            for say in worker.says() {
                if let Say::Fetch { load, takes, .. } = &say {
                    let at = worker.now + *takes;
                    worker.due(at.min(until));
                    worker.fetched(at.min(until), *load, true);
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
        let mut worker = Worker::new(Machine::default(), BTreeMap::new(), Duration::ZERO);
        worker.call(Duration::ZERO, 1, "f", 10 * MS);
        let first = run(&mut worker, 1000 * MS);
        let may_have_executed = first
            .iter()
            .find(|(_, say)| matches!(say, Say::Ran { .. }))
            .unwrap();
        assert!(
            may_have_executed.0 >= 310 * MS && may_have_executed.0 < 315 * MS,
            "{may_have_executed:?}"
        );
        assert!(matches!(
            may_have_executed.1,
            Say::Ran {
                found: Found::StartedLoad,
                ..
            }
        ));
        worker.call(1000 * MS, 2, "f", 10 * MS);
        let second = run(&mut worker, 2000 * MS);
        assert!(matches!(
            second[0].1,
            Say::Ran {
                found: Found::Warm,
                crowd: 0,
                ..
            }
        ));
        assert!(run(&mut worker, Duration::from_secs(30)).is_empty());
        assert_eq!(worker.copies("f"), 0);
    }

    #[test]
    fn memory_bounds_copies_and_idle_ones_give_way() {
        let machine = Machine {
            memory_mb: 400.0,
            ..Machine::default()
        };
        let mut worker = Worker::new(machine, BTreeMap::new(), Duration::ZERO);
        for (call, function) in [(1, "a"), (2, "b"), (3, "c")] {
            worker.call(Duration::ZERO, call, function, MS);
        }
        assert!(worker.says().contains(&Say::Full { call: 3 }));
    }

    #[test]
    fn a_load_waits_without_room_and_is_dropped_with_its_last_call() {
        let machine = Machine {
            memory_mb: 400.0,
            loads_most: 1,
            ..Machine::default()
        };
        let mut worker = Worker::new(machine, BTreeMap::new(), Duration::ZERO);
        worker.call(Duration::ZERO, 1, "x", MS);
        run(&mut worker, 2000 * MS);
        assert_eq!(worker.copies("x"), 1);
        for (call, function) in [(2, "a"), (3, "b"), (4, "c")] {
            worker.call(2000 * MS, call, function, MS);
        }
        let fetched = |says: Vec<Say>| {
            let fetch = |say: Say| {
                if let Say::Fetch { load, function, .. } = say {
                    Some((load, function))
                } else {
                    None
                }
            };
            says.into_iter().find_map(fetch).unwrap()
        };
        let (load, function) = fetched(worker.says());
        // What stands idle stays while the others only wait for their turn.
        assert_eq!((function.as_str(), worker.copies("x")), ("a", 1));
        worker.cancel(2100 * MS, 3);
        worker.fetched(2200 * MS, load, true);
        let at = worker.next_due().unwrap();
        worker.due(at);
        assert_eq!(fetched(worker.says()).1, "c");
        assert_eq!(worker.copies("x"), 0);
    }

    #[test]
    fn a_cold_worker_falls_over_past_the_multiple() {
        let machine = Machine {
            cores: 1.0,
            cold_from: 0.2,
            cold_for: Duration::from_secs(10),
            fall_multiple: 3.0,
            ..Machine::default()
        };
        let mut worker = Worker::new(machine, BTreeMap::new(), Duration::ZERO);
        // 0.2 cores for 2 s, three times: 1.2 s of work may come.
        for call in 0..12 {
            worker.call(Duration::ZERO, call, "f", 100 * MS);
            assert!(!worker.fallen);
        }
        worker.call(Duration::ZERO, 12, "f", 100 * MS);
        assert!(worker.fallen && worker.says().contains(&Say::Fell));
    }

    #[test]
    fn cancelled_work_that_runs_goes_on_and_tells_nobody() {
        let mut worker = Worker::new(Machine::default(), BTreeMap::new(), Duration::ZERO);
        worker.call(Duration::ZERO, 1, "f", 100 * MS);
        run(&mut worker, 310 * MS);
        worker.cancel(320 * MS, 1);
        let said = run(&mut worker, 1000 * MS);
        assert!(matches!(
            said[..],
            [(
                _,
                Say::Ran {
                    call: 1,
                    wanted: false,
                    ..
                }
            )]
        ));
    }

    #[test]
    fn a_failed_load_misses_its_calls() {
        let mut worker = Worker::new(Machine::default(), BTreeMap::new(), Duration::ZERO);
        worker.call(Duration::ZERO, 1, "f", MS);
        let Say::Fetch { load, .. } = worker.says().remove(0) else {
            panic!()
        };
        worker.fetched(MS, load, false);
        assert_eq!(worker.says(), [Say::Missed { call: 1 }]);
        assert_eq!(worker.load(), Load::default());
    }
}
