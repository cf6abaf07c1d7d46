//! State of the request table, its queries, and the exchange of events and actions with the scheduler.
use super::deadlines::TimerEvent;
use crate::attempt::{Attempt, AttemptId, AttemptResult};
use crate::command::PendingCommand;
use crate::limits::Limits;
use crate::output::Output;
use crate::request::OpenRequest;
use crate::timers::Timers;
use quartzdrift_scheduler::interface::{EndpointState, Event, Outcome, RequestId, Settings};
use quartzdrift_scheduler::measure::Measurements;
use quartzdrift_scheduler::scheduler::{Scheduler, TableSizes};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The end of an attempt or command that was caused by the scheduler's own action. The scheduler is notified
/// of it after it has handled the current event.
pub(super) enum PendingEnd {
    Attempt(AttemptId, AttemptResult),
    Command(u64, Outcome),
}

/// All open requests, their attempts and the pending commands, together with the scheduler that decides on
/// them.
///
/// `P` is the payload that a frontend submits with a request. The table clones it for each attempt, so use a
/// type that is cheap to clone. Times are durations since the start of the caller's clock. The table's clock
/// never goes back: a time earlier than the latest one is replaced by the latest one.
pub struct RequestTable<P> {
    pub(super) scheduler: Scheduler,
    pub(super) limits: Limits,
    /// Time at which all open requests end; `None` unless the process is shutting down.
    pub(super) shutdown_deadline: Option<Duration>,
    pub(super) requests: BTreeMap<RequestId, OpenRequest<P>>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) commands: BTreeMap<u64, PendingCommand>,
    /// Workers on the endpoint list.
    pub(super) workers: BTreeMap<Rc<str>, EndpointState>,
    pub(super) timers: Timers<TimerEvent>,
    pub(super) pending_ends: VecDeque<PendingEnd>,
    pub(super) outputs: Vec<Output<P>>,
    pub(super) now: Duration,
    /// Id of the latest request or command, which share one sequence.
    last_id: u64,
}

impl<P: Clone> RequestTable<P> {
    /// Creates an empty table with a new scheduler. `seed` seeds the scheduler's random number generator.
    pub fn new(settings: &Settings, seed: u64) -> RequestTable<P> {
        RequestTable {
            scheduler: Scheduler::new(settings, seed),
            limits: Limits::new(settings),
            shutdown_deadline: None,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            commands: BTreeMap::new(),
            workers: BTreeMap::new(),
            timers: Timers::default(),
            pending_ends: VecDeque::new(),
            outputs: Vec::new(),
            now: Duration::ZERO,
            last_id: 0,
        }
    }

    /// Removes and returns the outputs that are to be carried out, in order.
    pub fn take_outputs(&mut self) -> Vec<Output<P>> {
        std::mem::take(&mut self.outputs)
    }

    /// The latest time that was passed to the table. Durations in outputs start at this time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Time at which [`RequestTable::fire_timers`] is to be called next; `None` if no timer is set.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.next_deadline()
    }

    /// Number of requests that have not had their final response.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of attempts that have not ended, including those of concluded requests.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Numbers of the attempts of a request that have not ended.
    pub fn attempts_of(&self, request: RequestId) -> impl Iterator<Item = u32> {
        self.attempts
            .range(AttemptId::range_of(request))
            .map(|(id, _)| id.attempt)
    }

    /// Sizes of the scheduler's tables.
    pub fn scheduler_table_sizes(&self) -> TableSizes {
        self.scheduler.table_sizes()
    }

    /// Whether a request has not had its final response.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Whether the endpoint list names a worker as up, so that it may be sent new work.
    pub fn is_up(&self, worker: &str) -> bool {
        self.workers.get(worker) == Some(&EndpointState::Up)
    }

    /// Number of workers that the endpoint list names as up.
    pub fn workers_up(&self) -> usize {
        self.workers
            .values()
            .filter(|state| **state == EndpointState::Up)
            .count()
    }

    /// Workers on the endpoint list with their states, ordered by name.
    pub fn workers(&self) -> impl Iterator<Item = (&str, EndpointState)> {
        self.workers.iter().map(|(worker, state)| (&**worker, *state))
    }

    /// The scheduler's measurements of workers, to be saved and restored after a restart.
    pub fn measurements(&self) -> &Measurements {
        &self.scheduler.measurements
    }

    /// Sets the table's clock to `now`, unless that is earlier than the clock's current time.
    pub(super) fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Returns a new id, unique among requests and commands.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Passes an event to the scheduler and applies the actions that it returns.
    pub(super) fn notify_scheduler(&mut self, event: Event) {
        for action in self.scheduler.handle(self.now, event) {
            self.apply_action(action);
        }
    }

    /// Notifies the scheduler of pending ends until there are none left.
    ///
    /// The loop terminates: each iteration uses up an attempt or a command, and the number of both is
    /// bounded.
    pub(super) fn process_pending_ends(&mut self) {
        while let Some(end) = self.pending_ends.pop_front() {
            match end {
                PendingEnd::Attempt(id, result) => self.end_attempt(id, result),
                PendingEnd::Command(command, outcome) => self.end_command(command, outcome, 0, Vec::new()),
            }
        }
    }
}
