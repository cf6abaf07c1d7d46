//! Model of a fake worker as a state machine without sockets or a clock.
//!
//! The model covers loading, memory, concurrency slots and idle unloading of function copies, the call queue,
//! slow start, the crash by overload, and work that continues after its call was cancelled. The caller passes
//! the time with each input ([`WorkerModel::submit_call`], ...), calls [`WorkerModel::due`] at
//! [`WorkerModel::next_due`], and carries out [`WorkerModel::take_outputs`].
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Interval at which the completion time of running calls is recomputed during slow start.
const SLOW_START_STEP: Duration = Duration::from_millis(20);
/// Remaining work, in seconds, that counts as completed: less than the resolution of the clock.
const WORK_EPSILON_S: f64 = 1e-7;

/// Resources and durations of a function on a worker.
#[derive(Clone, Debug)]
pub struct FunctionSpec {
    pub memory_mb: f64,
    /// Calls that one copy executes concurrently.
    pub slots: usize,
    /// Time from the start of the fetch until the copy is ready, on an uncontended store.
    pub load_time: Duration,
    /// Share of the load time spent on the fetch from the store.
    pub fetch_share: f64,
    /// CPU time of a call whose payload does not set one.
    pub default_work: Duration,
}

impl Default for FunctionSpec {
    fn default() -> FunctionSpec {
        FunctionSpec {
            memory_mb: 200.0,
            slots: 8,
            load_time: Duration::from_millis(300),
            fetch_share: 0.5,
            default_work: Duration::from_millis(2),
        }
    }
}

/// Resources, limits and slow start of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    pub cores: f64,
    pub memory_mb: f64,
    pub max_concurrent_loads: usize,
    /// Calls waiting for a copy at which further calls are rejected.
    pub max_queue_length: usize,
    /// Time after which an idle copy is unloaded.
    pub keep_alive: Duration,
    /// Share of the full capacity right after the start.
    pub slow_start_min_capacity: f64,
    /// Time from the start until the worker reaches its full capacity.
    pub slow_start_duration: Duration,
    /// Overload bound during slow start: a worker that receives more than this multiple of its capacity within
    /// `overload_window` crashes; 0 disables the bound.
    pub overload_multiple: f64,
    pub overload_window: Duration,
    /// Whether running work continues after its call was cancelled.
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

/// Cache status that a call met on arrival. The discriminants are the values of `named_metrics.found` in load
/// reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheOutcome {
    Warm = 1,
    StartedLoad = 2,
    AwaitedLoad = 3,
    LoadFailed = 4,
}

/// An action that the model asks its driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerOutput {
    /// The call executed to completion.
    CallCompleted {
        call: u64,
        cache_outcome: CacheOutcome,
        /// Calls of the same function that the worker held when this call arrived.
        concurrency: usize,
        /// Whether the caller still waits, that is, did not cancel the call.
        awaited: bool,
    },
    /// The call was rejected before execution: the worker is draining, or its queue or memory is full.
    CallRejected { call: u64 },
    /// The load that the call waited for failed; the call was not executed.
    CacheMiss { call: u64 },
    /// Fetch the function from the store, then report the result to [`WorkerModel::fetch_ended`].
    FetchFunction {
        load: u64,
        function: String,
        /// Duration of the fetch on an uncontended store.
        fetch_time: Duration,
    },
    /// A load command ended with this number of ready copies.
    LoadCommandEnded {
        command: u64,
        copies: usize,
        succeeded: bool,
    },
    /// The worker exceeded its overload bound and crashed; it accepts no further calls.
    CrashedByOverload,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CopyState {
    /// Waits for one of the concurrent loads to end.
    Queued,
    Fetching,
    Starting {
        until: Duration,
    },
    Ready {
        idle_since: Duration,
    },
}

/// A copy of a function in the worker's memory, or its load.
#[derive(Debug)]
struct FunctionCopy {
    id: u64,
    function: String,
    state: CopyState,
    slots_in_use: usize,
}

impl FunctionCopy {
    fn is_ready(&self) -> bool {
        matches!(self.state, CopyState::Ready { .. })
    }

    /// Whether the load has left the queue and is not complete.
    fn is_loading(&self) -> bool {
        matches!(self.state, CopyState::Fetching | CopyState::Starting { .. })
    }

    /// Whether the copy executes calls or is loading, so that its memory cannot be reclaimed.
    fn is_unreclaimable(&self) -> bool {
        self.slots_in_use > 0 || self.is_loading()
    }

    /// Whether the copy is ready and executes no call.
    fn is_idle(&self) -> bool {
        self.slots_in_use == 0 && self.is_ready()
    }
}

#[derive(Debug)]
struct Call {
    function: String,
    /// Remaining CPU time in seconds.
    remaining_work: f64,
    cache_outcome: CacheOutcome,
    concurrency: usize,
    /// Copy that executes the call; `None` while the call waits.
    copy: Option<u64>,
    awaited: bool,
}

/// A command to hold a number of ready copies, still unfulfilled.
#[derive(Debug)]
struct LoadCommand {
    id: u64,
    function: String,
    copies: usize,
}

/// Current load of a worker, as its load reports state it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerLoad {
    /// Calls that execute or wait.
    pub calls: usize,
    /// Calls that wait for a copy.
    pub queued: usize,
    /// Share of the cores in use, from 0 to 1.
    pub cpu_utilization: f64,
    /// Share of the memory that cannot be reclaimed, from 0 to 1.
    pub unreclaimable_memory: f64,
    /// Loads that are queued or in progress.
    pub pending_loads: usize,
}

/// State machine of one worker process.
#[derive(Debug)]
pub struct WorkerModel {
    spec: WorkerSpec,
    function_specs: BTreeMap<String, FunctionSpec>,
    started_at: Duration,
    now: Duration,
    copies: Vec<FunctionCopy>,
    calls: BTreeMap<u64, Call>,
    waiting: VecDeque<u64>,
    load_commands: Vec<LoadCommand>,
    /// Arrival time and work, in seconds, of the calls within the overload window.
    recent_arrivals: VecDeque<(Duration, f64)>,
    /// Largest share of the overload bound reached in any window during slow start.
    pub max_overload_share: f64,
    outputs: Vec<WorkerOutput>,
    last_copy_id: u64,
    pub draining: bool,
    pub crashed: bool,
}

impl WorkerModel {
    /// Creates a worker that starts at `now`, with no copies loaded.
    pub fn new(
        spec: WorkerSpec,
        function_specs: BTreeMap<String, FunctionSpec>,
        now: Duration,
    ) -> WorkerModel {
        WorkerModel {
            spec,
            function_specs,
            started_at: now,
            now,
            copies: Vec::new(),
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            load_commands: Vec::new(),
            recent_arrivals: VecDeque::new(),
            max_overload_share: 0.0,
            outputs: Vec::new(),
            last_copy_id: 0,
            draining: false,
            crashed: false,
        }
    }

    /// Removes and returns the pending outputs in order.
    pub fn take_outputs(&mut self) -> Vec<WorkerOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the spec of a function; a qualified name falls back to the spec of the unqualified one.
    pub fn function_spec(&self, function: &str) -> FunctionSpec {
        let unqualified = function.split(':').next().unwrap_or(function);
        self.function_specs
            .get(function)
            .or_else(|| self.function_specs.get(unqualified))
            .cloned()
            .unwrap_or_default()
    }

    /// Share of the full capacity at `now`: below 1 during slow start.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if age >= self.spec.slow_start_duration {
            return 1.0;
        }
        let progress = age.as_secs_f64() / self.spec.slow_start_duration.as_secs_f64();
        self.spec.slow_start_min_capacity + (1.0 - self.spec.slow_start_min_capacity) * progress
    }

    pub fn current_load(&self) -> WorkerLoad {
        let running = self.calls.len() - self.waiting.len();
        let unreclaimable_mb = self.memory_mb(FunctionCopy::is_unreclaimable);
        let cores = self.spec.cores * self.capacity_share(self.now);
        WorkerLoad {
            calls: self.calls.len(),
            queued: self.waiting.len(),
            cpu_utilization: (running as f64 / cores).min(1.0),
            unreclaimable_memory: unreclaimable_mb / self.spec.memory_mb,
            pending_loads: self.copies.iter().filter(|copy| !copy.is_ready()).count(),
        }
    }

    /// Memory, in MB, of the copies that match.
    fn memory_mb(&self, matches: impl Fn(&FunctionCopy) -> bool) -> f64 {
        self.copies
            .iter()
            .filter(|copy| matches(copy))
            .map(|copy| self.function_spec(&copy.function).memory_mb)
            .sum()
    }

    /// Memory of idle copies, in MB.
    pub fn idle_memory_mb(&self) -> f64 {
        self.memory_mb(FunctionCopy::is_idle)
    }

    /// Number of ready copies of a function.
    pub fn ready_copies(&self, function: &str) -> usize {
        self.copies
            .iter()
            .filter(|copy| copy.function == function && copy.is_ready())
            .count()
    }

    /// Advances running calls to `now`; all running calls share the cores evenly.
    fn advance(&mut self, now: Duration) {
        let now = now.max(self.now);
        let done = (now - self.now).as_secs_f64() * self.speed();
        self.now = now;
        for call in self.calls.values_mut().filter(|call| call.copy.is_some()) {
            call.remaining_work -= done;
        }
    }

    /// CPU seconds per second that each running call gets, at most 1.
    fn speed(&self) -> f64 {
        let running = self.calls.values().filter(|call| call.copy.is_some()).count();
        let cores = self.spec.cores * self.capacity_share(self.now);
        if running == 0 {
            0.0
        } else {
            (cores / running as f64).min(1.0)
        }
    }

    /// Accepts a call that needs `work` of CPU time, or rejects it.
    pub fn submit_call(&mut self, now: Duration, call: u64, function: &str, work: Duration) {
        self.advance(now);
        if self.crashed || self.exceeds_overload_bound(work.as_secs_f64()) {
            return;
        }
        if self.draining || self.waiting.len() >= self.spec.max_queue_length {
            self.outputs.push(WorkerOutput::CallRejected { call });
            return;
        }
        let concurrency = self
            .calls
            .values()
            .filter(|other| other.function == function)
            .count();
        let cache_outcome = if self.ready_copies(function) > 0 {
            CacheOutcome::Warm
        } else if self.copies.iter().any(|copy| copy.function == function) {
            CacheOutcome::AwaitedLoad
        } else {
            CacheOutcome::StartedLoad
        };
        let accepted = Call {
            function: function.to_owned(),
            remaining_work: work.as_secs_f64(),
            cache_outcome,
            concurrency,
            copy: None,
            awaited: true,
        };
        self.calls.insert(call, accepted);
        self.waiting.push_back(call);
        self.assign_waiting_calls();
        if self.calls.get(&call).is_some_and(|call| call.copy.is_none())
            && !self.queue_load_if_needed(function)
        {
            let has_copy = self.copies.iter().any(|copy| copy.function == function);
            if !has_copy {
                self.calls.remove(&call);
                self.waiting.retain(|&other| other != call);
                self.outputs.push(WorkerOutput::CallRejected { call });
            }
        }
        self.start_queued_loads();
    }

    /// Adds the work of an arriving call, in seconds, to the overload window; the worker crashes when the sum
    /// exceeds the overload bound. Returns whether the worker has crashed.
    fn exceeds_overload_bound(&mut self, work: f64) -> bool {
        let (spec, now) = (&self.spec, self.now);
        self.recent_arrivals.push_back((now, work));
        while self
            .recent_arrivals
            .front()
            .is_some_and(|(at, _)| *at + spec.overload_window < now)
        {
            self.recent_arrivals.pop_front();
        }
        let in_slow_start = now.saturating_sub(self.started_at) < spec.slow_start_duration;
        if spec.overload_multiple <= 0.0 || !in_slow_start {
            return false;
        }
        let received: f64 = self.recent_arrivals.iter().map(|(_, work)| work).sum();
        let capacity = spec.cores * self.capacity_share(now) * spec.overload_window.as_secs_f64();
        let bound = spec.overload_multiple * capacity;
        self.max_overload_share = self.max_overload_share.max(received / bound);
        if received > bound {
            self.crashed = true;
            self.outputs.push(WorkerOutput::CrashedByOverload);
        }
        self.crashed
    }

    /// Queues another load when more calls wait than the pending loads will have slots for. Returns `false`
    /// when a load was needed and memory did not allow it.
    fn queue_load_if_needed(&mut self, function: &str) -> bool {
        let slots = self.function_spec(function).slots;
        let waiting = self
            .waiting
            .iter()
            .filter(|id| self.calls[id].function == function)
            .count();
        let pending = |copy: &&FunctionCopy| copy.function == function && !copy.is_ready();
        let pending_loads = self.copies.iter().filter(pending).count();
        if pending_loads * slots >= waiting {
            return true;
        }
        self.queue_load(function)
    }

    /// Queues a load; returns `false` when unreclaimable copies leave too little memory for it.
    fn queue_load(&mut self, function: &str) -> bool {
        let needed_mb = self.function_spec(function).memory_mb;
        if self.memory_mb(FunctionCopy::is_unreclaimable) + needed_mb > self.spec.memory_mb {
            return false;
        }
        self.last_copy_id += 1;
        let copy = FunctionCopy {
            id: self.last_copy_id,
            function: function.to_owned(),
            state: CopyState::Queued,
            slots_in_use: 0,
        };
        self.copies.push(copy);
        true
    }

    /// Unloads idle copies of other functions, longest idle first, until a load fits into memory. Returns
    /// `false` when there are not enough of them.
    fn free_memory_for(&mut self, function: &str) -> bool {
        let needed_mb = self.function_spec(function).memory_mb;
        loop {
            if self.memory_mb(|copy| copy.state != CopyState::Queued) + needed_mb <= self.spec.memory_mb {
                return true;
            }
            let idle_copies = self
                .copies
                .iter()
                .enumerate()
                .filter_map(|(index, copy)| match copy.state {
                    CopyState::Ready { idle_since }
                        if copy.slots_in_use == 0 && copy.function != function =>
                    {
                        Some((idle_since, index))
                    }
                    _ => None,
                });
            let Some((_, longest_idle)) = idle_copies.min() else {
                return false;
            };
            self.copies.remove(longest_idle);
        }
    }

    /// Removes queued loads that neither a waiting call nor a load command needs any more.
    fn drop_unneeded_loads(&mut self) {
        let mut waiting_calls: BTreeMap<&str, usize> = BTreeMap::new();
        for id in &self.waiting {
            *waiting_calls.entry(&self.calls[id].function).or_default() += 1;
        }
        // Number of queued loads to keep, by function; functions with a load command keep all of theirs.
        let mut loads_to_keep: BTreeMap<String, usize> = BTreeMap::new();
        for copy in self.copies.iter().filter(|copy| copy.state == CopyState::Queued) {
            let function = copy.function.as_str();
            let commanded = self
                .load_commands
                .iter()
                .any(|command| command.function == function);
            if loads_to_keep.contains_key(function) || commanded {
                continue;
            }
            let needed = waiting_calls
                .get(function)
                .copied()
                .unwrap_or(0)
                .div_ceil(self.function_spec(function).slots.max(1));
            let loading = |copy: &&FunctionCopy| copy.function == function && copy.is_loading();
            loads_to_keep.insert(
                function.to_owned(),
                needed.saturating_sub(self.copies.iter().filter(loading).count()),
            );
        }
        self.copies
            .retain(|copy| match loads_to_keep.get_mut(&copy.function) {
                Some(remaining) if copy.state == CopyState::Queued => {
                    let keep = *remaining > 0;
                    *remaining = remaining.saturating_sub(1);
                    keep
                }
                Some(_) | None => true,
            });
    }

    /// Assigns waiting calls, in order of arrival, to ready copies with free slots.
    fn assign_waiting_calls(&mut self) {
        let waiting: Vec<u64> = self.waiting.iter().copied().collect();
        for id in waiting {
            let function = &self.calls[&id].function;
            let slots = self.function_spec(function).slots;
            let has_free_slot = |copy: &&mut FunctionCopy| {
                copy.function == *function && copy.is_ready() && copy.slots_in_use < slots
            };
            let Some(copy) = self.copies.iter_mut().find(has_free_slot) else {
                continue;
            };
            copy.slots_in_use += 1;
            let copy_id = copy.id;
            if let Some(call) = self.calls.get_mut(&id) {
                call.copy = Some(copy_id);
            }
            self.waiting.retain(|&other| other != id);
        }
    }

    /// Starts queued loads, in order, up to the limit of concurrent loads.
    fn start_queued_loads(&mut self) {
        let loading = self.copies.iter().filter(|copy| copy.is_loading()).count();
        let mut available = self.spec.max_concurrent_loads.saturating_sub(loading);
        if available == 0 || !self.copies.iter().any(|copy| copy.state == CopyState::Queued) {
            return;
        }
        self.drop_unneeded_loads();
        let queued = self.copies.iter().filter(|copy| copy.state == CopyState::Queued);
        let queued: Vec<(u64, String)> = queued.map(|copy| (copy.id, copy.function.clone())).collect();
        for (load, function) in queued {
            if available == 0 {
                break;
            }
            // A load that does not fit stays queued until running calls end and free memory.
            if !self.free_memory_for(&function) {
                continue;
            }
            if let Some(copy) = self.copies.iter_mut().find(|copy| copy.id == load) {
                copy.state = CopyState::Fetching;
                available -= 1;
            }
            let spec = self.function_spec(&function);
            self.outputs.push(WorkerOutput::FetchFunction {
                load,
                function,
                fetch_time: spec.load_time.mul_f64(spec.fetch_share),
            });
        }
    }

    /// Records the end of a fetch; a failed one ends the calls and load commands that depend on it.
    pub fn fetch_ended(&mut self, now: Duration, load: u64, succeeded: bool) {
        self.advance(now);
        let Some(index) = self
            .copies
            .iter()
            .position(|copy| copy.id == load && copy.state == CopyState::Fetching)
        else {
            return;
        };
        let function = self.copies[index].function.clone();
        if succeeded {
            let spec = self.function_spec(&function);
            let until = self.now + spec.load_time.mul_f64(1.0 - spec.fetch_share);
            self.copies[index].state = CopyState::Starting { until };
        } else {
            self.copies.remove(index);
            if !self.copies.iter().any(|copy| copy.function == function) {
                let missed: Vec<u64> = self
                    .waiting
                    .iter()
                    .copied()
                    .filter(|id| self.calls[id].function == function)
                    .collect();
                for call in missed {
                    self.calls.remove(&call);
                    self.waiting.retain(|&other| other != call);
                    self.outputs.push(WorkerOutput::CacheMiss { call });
                }
            }
            self.end_load_commands(&function, false);
        }
        self.start_queued_loads();
    }

    /// Cancels a call: a waiting one is dropped, a running one continues if `runs_after_cancel` is set.
    /// Returns whether the call was dropped.
    pub fn cancel_call(&mut self, now: Duration, call: u64) -> bool {
        self.advance(now);
        let Some(cancelled) = self.calls.get_mut(&call) else {
            return false;
        };
        match cancelled.copy {
            None => {
                self.calls.remove(&call);
                self.waiting.retain(|&other| other != call);
            }
            Some(copy) => {
                cancelled.awaited = false;
                if !self.spec.runs_after_cancel {
                    self.calls.remove(&call);
                    self.release_slot(copy);
                    self.assign_waiting_calls();
                }
            }
        }
        !self.calls.contains_key(&call)
    }

    fn release_slot(&mut self, copy: u64) {
        let now = self.now;
        if let Some(copy) = self.copies.iter_mut().find(|other| other.id == copy) {
            copy.slots_in_use -= 1;
            copy.state = CopyState::Ready { idle_since: now };
        }
    }

    /// Accepts a command to hold `copies` ready copies and restarts the keep-alive of idle ones; 0 copies
    /// only asks for the current number.
    pub fn submit_load_command(&mut self, now: Duration, command: u64, function: &str, copies: usize) {
        self.advance(now);
        let existing = self
            .copies
            .iter()
            .filter(|copy| copy.function == function)
            .count();
        for copy in self
            .copies
            .iter_mut()
            .filter(|copy| copy.function == function && copy.slots_in_use == 0)
        {
            if let CopyState::Ready { idle_since } = &mut copy.state {
                *idle_since = self.now;
            }
        }
        let accepted =
            !self.draining && !self.crashed && (existing..copies).all(|_| self.queue_load(function));
        if !accepted || self.ready_copies(function) >= copies {
            let succeeded = copies == 0 || self.ready_copies(function) >= copies;
            self.outputs.push(WorkerOutput::LoadCommandEnded {
                command,
                copies: self.ready_copies(function),
                succeeded,
            });
        } else {
            self.load_commands.push(LoadCommand {
                id: command,
                function: function.to_owned(),
                copies,
            });
        }
        self.start_queued_loads();
    }

    /// Unloads the idle copies of a function.
    pub fn unload_idle_copies(&mut self, now: Duration, function: &str) {
        self.advance(now);
        self.copies
            .retain(|copy| copy.function != function || !copy.is_idle());
    }

    /// Ends the load commands of a function that are fulfilled, or all of them after a failed load.
    fn end_load_commands(&mut self, function: &str, succeeded: bool) {
        let ready_copies = self.ready_copies(function);
        let has_ended = |command: &LoadCommand| {
            command.function == function && (!succeeded || ready_copies >= command.copies)
        };
        let (ended, pending): (Vec<LoadCommand>, Vec<LoadCommand>) = std::mem::take(&mut self.load_commands)
            .into_iter()
            .partition(has_ended);
        self.load_commands = pending;
        let outputs = ended.into_iter().map(|command| WorkerOutput::LoadCommandEnded {
            command: command.id,
            copies: ready_copies,
            succeeded,
        });
        self.outputs.extend(outputs);
    }

    /// Time at which [`WorkerModel::due`] has to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        let speed = self.speed();
        let running = self.calls.values().filter(|call| call.copy.is_some());
        let least_work = running
            .map(|call| call.remaining_work.max(0.0))
            .min_by(f64::total_cmp);
        let next_completion = least_work.filter(|_| speed > 0.0).map(|work| {
            let at = self.now + Duration::from_secs_f64(work / speed) + Duration::from_micros(1);
            if self.capacity_share(self.now) < 1.0 {
                at.min(self.now + SLOW_START_STEP)
            } else {
                at
            }
        });
        let state_changes = self.copies.iter().filter_map(|copy| match copy.state {
            CopyState::Starting { until } => Some(until),
            CopyState::Ready { idle_since } if copy.slots_in_use == 0 => {
                Some(idle_since + self.spec.keep_alive)
            }
            CopyState::Ready { .. } | CopyState::Queued | CopyState::Fetching => None,
        });
        state_changes.chain(next_completion).min()
    }

    /// Completes calls and loads that have ended by `now`, and unloads copies whose keep-alive has expired.
    pub fn due(&mut self, now: Duration) {
        self.advance(now);
        if self.crashed {
            return;
        }
        let is_complete = |call: &Call| call.copy.is_some() && call.remaining_work <= WORK_EPSILON_S;
        let completed: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| is_complete(call))
            .map(|(id, _)| *id)
            .collect();
        for id in completed {
            let Some(call) = self.calls.remove(&id) else {
                continue;
            };
            self.outputs.push(WorkerOutput::CallCompleted {
                call: id,
                cache_outcome: call.cache_outcome,
                concurrency: call.concurrency,
                awaited: call.awaited,
            });
            call.copy.into_iter().for_each(|copy| self.release_slot(copy));
        }
        let mut loaded = Vec::new();
        for copy in &mut self.copies {
            if matches!(copy.state, CopyState::Starting { until } if until <= self.now) {
                copy.state = CopyState::Ready { idle_since: self.now };
                loaded.push(copy.function.clone());
            }
        }
        loaded
            .iter()
            .for_each(|function| self.end_load_commands(function, true));
        self.assign_waiting_calls();
        let (now, keep_alive) = (self.now, self.spec.keep_alive);
        self.copies.retain(|copy| match copy.state {
            CopyState::Ready { idle_since } => copy.slots_in_use > 0 || now < idle_since + keep_alive,
            CopyState::Queued | CopyState::Fetching | CopyState::Starting { .. } => true,
        });
        self.start_queued_loads();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Runs the worker until `until` with an uncontended store; returns its outputs with their times.
    fn run(worker: &mut WorkerModel, until: Duration) -> Vec<(Duration, WorkerOutput)> {
        let mut outputs = Vec::new();
        loop {
            for output in worker.take_outputs() {
                if let WorkerOutput::FetchFunction { load, fetch_time, .. } = &output {
                    let at = worker.now + *fetch_time;
                    worker.due(at.min(until));
                    worker.fetch_ended(at.min(until), *load, true);
                }
                outputs.push((worker.now, output));
            }
            match worker.next_due().filter(|at| *at <= until) {
                Some(at) => worker.due(at),
                None => return outputs,
            }
        }
    }

    #[test]
    fn a_cold_call_waits_for_the_load_and_a_second_call_is_warm() {
        let mut worker = WorkerModel::new(WorkerSpec::default(), BTreeMap::new(), Duration::ZERO);
        worker.submit_call(Duration::ZERO, 1, "f", 10 * MS);
        let first = run(&mut worker, 1000 * MS);
        let completed = first
            .iter()
            .find(|(_, output)| matches!(output, WorkerOutput::CallCompleted { .. }))
            .unwrap();
        assert!(completed.0 >= 310 * MS && completed.0 < 315 * MS, "{completed:?}");
        assert!(matches!(
            completed.1,
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
    fn a_call_is_rejected_when_loading_copies_fill_the_memory() {
        let spec = WorkerSpec {
            memory_mb: 400.0,
            ..WorkerSpec::default()
        };
        let mut worker = WorkerModel::new(spec, BTreeMap::new(), Duration::ZERO);
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
    fn a_load_without_free_memory_waits_and_is_dropped_with_its_last_call() {
        let spec = WorkerSpec {
            memory_mb: 400.0,
            max_concurrent_loads: 1,
            ..WorkerSpec::default()
        };
        let mut worker = WorkerModel::new(spec, BTreeMap::new(), Duration::ZERO);
        worker.submit_call(Duration::ZERO, 1, "x", MS);
        run(&mut worker, 2000 * MS);
        assert_eq!(worker.ready_copies("x"), 1);
        for (call, function) in [(2, "a"), (3, "b"), (4, "c")] {
            worker.submit_call(2000 * MS, call, function, MS);
        }
        let started_fetch = |outputs: Vec<WorkerOutput>| {
            let fetch = |output: WorkerOutput| {
                if let WorkerOutput::FetchFunction { load, function, .. } = output {
                    Some((load, function))
                } else {
                    None
                }
            };
            outputs.into_iter().find_map(fetch).unwrap()
        };
        let (load, function) = started_fetch(worker.take_outputs());
        // Queued loads alone do not unload the idle copy of x.
        assert_eq!((function.as_str(), worker.ready_copies("x")), ("a", 1));
        worker.cancel_call(2100 * MS, 3);
        worker.fetch_ended(2200 * MS, load, true);
        let at = worker.next_due().unwrap();
        worker.due(at);
        assert_eq!(started_fetch(worker.take_outputs()).1, "c");
        assert_eq!(worker.ready_copies("x"), 0);
    }

    #[test]
    fn a_worker_in_slow_start_crashes_past_the_overload_bound() {
        let spec = WorkerSpec {
            cores: 1.0,
            slow_start_min_capacity: 0.2,
            slow_start_duration: Duration::from_secs(10),
            overload_multiple: 3.0,
            ..WorkerSpec::default()
        };
        let mut worker = WorkerModel::new(spec, BTreeMap::new(), Duration::ZERO);
        // Overload bound: 0.2 cores * 2 s window * multiple 3 = 1.2 s of work.
        for call in 0..12 {
            worker.submit_call(Duration::ZERO, call, "f", 100 * MS);
            assert!(!worker.crashed);
        }
        worker.submit_call(Duration::ZERO, 12, "f", 100 * MS);
        assert!(worker.crashed && worker.take_outputs().contains(&WorkerOutput::CrashedByOverload));
    }

    #[test]
    fn cancelled_running_work_continues_without_a_caller() {
        let mut worker = WorkerModel::new(WorkerSpec::default(), BTreeMap::new(), Duration::ZERO);
        worker.submit_call(Duration::ZERO, 1, "f", 100 * MS);
        run(&mut worker, 310 * MS);
        worker.cancel_call(320 * MS, 1);
        let outputs = run(&mut worker, 1000 * MS);
        assert!(matches!(
            outputs[..],
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
    fn a_failed_load_ends_its_calls_with_a_cache_miss() {
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
