//! The state of the table, its queries, and the step from an event to the scheduler and back.
use super::deadlines::Expiry;
use crate::attempt::{Attempt, AttemptId, AttemptResult};
use crate::command::PendingCommand;
use crate::limits::Limits;
use crate::output::Output;
use crate::request::OpenRequest;
use crate::timers::Timers;
use quartzdrift_scheduler::interface::{EndpointState, Event, Outcome, RequestId, Settings};
use quartzdrift_scheduler::measure::Measurements;
use quartzdrift_scheduler::scheduler::Scheduler;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The end of something that the scheduler started, of which it is notified once it has handled its present event.
pub(super) enum PendingEnd {
    Attempt(AttemptId, AttemptResult),
    Command(u64, Outcome),
}

/// All open requests, their attempts and the pending commands, with the scheduler that decides on them.
///
/// `P` is the frontend's payload; it is cloned for each attempt, so make it cheap to clone. Times are durations since
/// the caller's clock began; a time earlier than that of a previous call is taken as that of the previous call.
pub struct RequestTable<P> {
    pub(super) scheduler: Scheduler,
    pub(super) limits: Limits,
    /// When everything open ends, once the process has been told to shut down.
    pub(super) shutdown_deadline: Option<Duration>,
    pub(super) requests: BTreeMap<RequestId, OpenRequest<P>>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) commands: BTreeMap<u64, PendingCommand>,
    /// Workers on the endpoint list.
    pub(super) workers: BTreeMap<Rc<str>, EndpointState>,
    pub(super) timers: Timers<Expiry>,
    pub(super) pending_ends: VecDeque<PendingEnd>,
    pub(super) outputs: Vec<Output<P>>,
    pub(super) now: Duration,
    /// Requests and commands share one sequence.
    last_id: u64,
}

impl<P: Clone> RequestTable<P> {
    /// An empty table with a new scheduler, whose random choices follow from `seed`.
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

    /// Takes what is to be carried out, in this order.
    pub fn outputs(&mut self) -> Vec<Output<P>> {
        std::mem::take(&mut self.outputs)
    }

    /// The time of the last call, from which spans in outputs count.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// When [`RequestTable::due`] is to be called next.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.next_deadline()
    }

    /// How many requests wait for their final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// How many attempts have not ended, those of concluded requests included.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Attempts of a request that have not ended.
    pub fn attempts_of(&self, request: RequestId) -> impl Iterator<Item = u32> {
        self.attempts
            .range(AttemptId::range_of(request))
            .map(|(id, _)| id.attempt)
    }

    /// Entries that the scheduler holds: workers, functions and open requests.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let sizes = self.scheduler.table_sizes();
        (sizes.workers, sizes.functions, sizes.open_requests)
    }

    /// Whether a request still waits for its final answer.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Whether a worker may be given new work.
    pub fn is_up(&self, worker: &str) -> bool {
        self.workers.get(worker) == Some(&EndpointState::Up)
    }

    /// How many workers may be given new work.
    pub fn workers_up(&self) -> usize {
        self.workers
            .values()
            .filter(|state| **state == EndpointState::Up)
            .count()
    }

    /// Workers on the endpoint list, in the order of their names.
    pub fn workers(&self) -> impl Iterator<Item = (&str, EndpointState)> {
        self.workers.iter().map(|(worker, state)| (&**worker, *state))
    }

    /// What the scheduler has measured of workers, to be restored after a restart.
    pub fn measurements(&self) -> &Measurements {
        &self.scheduler.measurements
    }

    /// Moves the clock on, never back.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// An id that no request and no command has had.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Has the scheduler handle an event, and applies what it decides.
    pub(super) fn feed(&mut self, event: Event) {
        for action in self.scheduler.handle(self.now, event) {
            self.apply(action);
        }
    }

    /// Notifies the scheduler of what came of its own actions, until nothing more does. Each turn of this loop uses up
    /// an attempt or a command, and both are bounded.
    pub(super) fn settle(&mut self) {
        while let Some(end) = self.pending_ends.pop_front() {
            match end {
                PendingEnd::Attempt(id, result) => self.end_attempt(id, result),
                PendingEnd::Command(command, outcome) => self.end_command(command, outcome, 0, Vec::new()),
            }
        }
    }
}
