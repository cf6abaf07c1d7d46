use crate::timers::{TimerId, Timers};
use quartzdrift_scheduler::interface::*;
use quartzdrift_scheduler::measure::Measurements;
use quartzdrift_scheduler::scheduler::Scheduler;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Orders and probes out at a time; more end as full at once.
const MAX_COMMANDS: usize = 1024;
/// How long an order or a probe is waited for where the settings tell nothing.
const DEFAULT_COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests open at a time where the settings tell nothing.
const MAX_OPEN: usize = 20_000;
/// Bytes of the module's log lines kept for one call.
const MAX_LOG: usize = 512;

/// A request as a front hands it over; `payload` is the front's and the shell's own.
#[derive(Clone, Debug)]
pub struct NewRequest<P> {
    pub request_class: u32,
    pub tenant: u32,
    pub function: Rc<str>,
    /// What remains until the client gives up.
    pub left: Duration,
    pub work_hint: Option<Duration>,
    pub memory_mb: Option<f64>,
    pub concurrency_slots: Option<f64>,
    pub load_hint: Option<Duration>,
    pub is_retry: bool,
    pub writes: bool,
    pub payload: P,
}

/// Why a request was killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    DeadlineExceeded,
    OutcomeUnknown,
    ShuttingDown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer is the one of the attempt that has just ended.
    Succeeded,
    /// `may_have_executed`: when the first attempt that may have run was sent; a request with an idempotency key may be tried again only
    /// for its window from then on.
    Rejected {
        retry_after: Option<Duration>,
        may_have_executed: Option<Duration>,
    },
    Failed {
        why: FailureReason,
    },
    /// The client left; no answer is owed.
    Cancelled,
}

/// How an attempt ended, as seen on its socket.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub cache_result: CacheResult,
    pub concurrency: Option<u32>,
    pub report: Vec<Option<f64>>,
}

impl AttemptResult {
    /// Without an answer that tells more.
    pub fn silent(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            cache_result: CacheResult::Unknown,
            concurrency: None,
            report: Vec::new(),
        }
    }
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<P> {
    StartAttempt {
        request: RequestId,
        attempt: u32,
        worker: Rc<str>,
        function: Rc<str>,
        /// How long its answer is waited for.
        wait: Duration,
        payload: P,
    },
    /// Close the attempt's connection. Nothing more of it is to be told.
    CancelAttempt {
        request: RequestId,
        attempt: u32,
    },
    /// Tell [`RequestTable::attempt_recalled`] if not a byte of it has left, and then close its connection.
    RecallAttempt {
        request: RequestId,
        attempt: u32,
    },
    Respond {
        request: RequestId,
        payload: P,
        answer: FinalAnswer,
    },
    CheckHealth {
        command: u64,
        worker: Rc<str>,
    },
    Load {
        command: u64,
        worker: Rc<str>,
        function: Rc<str>,
        copies: u32,
    },
    /// As `RecallAttempt`, for a load order: then tell [`RequestTable::command_ended`] that it is moot.
    RecallCommand {
        command: u64,
    },
    /// Close the connection of an order or a probe that took too long.
    AbandonCommand {
        command: u64,
    },
    Unload {
        worker: Rc<str>,
        function: Rc<str>,
    },
    CloseIdle {
        worker: Rc<str>,
    },
    SendToPeer {
        to: Option<u32>,
        bytes: Vec<u8>,
    },
    Watch {
        on: bool,
    },
    PollEndpoints,
    Log {
        text: String,
    },
}

#[derive(Debug)]
enum Due {
    Limit(RequestId),
    Attempt(RequestId, u32),
    Command(u64),
    Module(&'static str),
}

#[derive(Debug)]
struct Open<P> {
    payload: P,
    idempotent: bool,
    function: Rc<str>,
    until: Duration,
    limit: TimerId,
    attempts: u32,
    out: u32,
    /// When the first attempt that may have run was sent.
    may_have_executed: Option<Duration>,
    /// Its answer has begun to reach the client.
    streaming: bool,
}

#[derive(Debug)]
struct Out {
    worker: Rc<str>,
    sent: Duration,
    timer: Option<TimerId>,
}

#[derive(Debug)]
enum Command {
    Probe {
        worker: Rc<str>,
        sent: Duration,
        timer: TimerId,
    },
    Load {
        worker: Rc<str>,
        function: Rc<str>,
        sent: Duration,
        timer: TimerId,
    },
}

/// Something for the module that came of its own action.
enum Later {
    AttemptResult(RequestId, u32, AttemptResult),
    CommandEnded(u64, Outcome),
}

pub struct RequestTable<P> {
    scheduler: Scheduler,
    slack: Duration,
    load_command_timeout: Duration,
    open_most: usize,
    attempts_most: u32,
    hedging: bool,
    cancel: bool,
    /// By request class: its requests may run again whatever came of an attempt.
    idempotent: Vec<bool>,
    /// When all that is open ends, of a process that has been told to stop.
    stops: Option<Duration>,
    requests: BTreeMap<RequestId, Open<P>>,
    out: BTreeMap<(RequestId, u32), Out>,
    commands: BTreeMap<u64, Command>,
    /// Workers on the list, with their state.
    workers: BTreeMap<Rc<str>, EndpointState>,
    timers: Timers<Due>,
    later: VecDeque<Later>,
    outputs: Vec<Output<P>>,
    drawn: u64,
    now: Duration,
}

impl<P: Clone> RequestTable<P> {
    pub fn new(settings: &Settings, seed: u64) -> RequestTable<P> {
        RequestTable {
            scheduler: Scheduler::new(settings, seed),
            slack: settings.rules.answer_slack.unwrap_or_default(),
            load_command_timeout: settings
                .copies
                .load_command_timeout
                .unwrap_or(DEFAULT_COMMAND_TIMEOUT),
            open_most: settings.allowed.max_open.map_or(MAX_OPEN, |n| n as usize),
            attempts_most: settings.allowed.max_attempts.unwrap_or(1),
            hedging: settings.allowed.hedging,
            cancel: settings.allowed.cancel,
            idempotent: settings
                .request_classes
                .iter()
                .map(|w| w.idempotency == Idempotency::Idempotent)
                .collect(),
            stops: None,
            requests: BTreeMap::new(),
            out: BTreeMap::new(),
            commands: BTreeMap::new(),
            workers: BTreeMap::new(),
            timers: Timers::default(),
            later: VecDeque::new(),
            outputs: Vec::new(),
            drawn: 0,
            now: Duration::ZERO,
        }
    }

    /// What is to be done, in this order.
    pub fn outputs(&mut self) -> Vec<Output<P>> {
        std::mem::take(&mut self.outputs)
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.next()
    }

    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    pub fn attempts_in_flight(&self) -> usize {
        self.out.len()
    }

    /// Attempts of a request that are out.
    pub fn attempts_of(&self, request: RequestId) -> impl Iterator<Item = u32> {
        self.out
            .range((request, 0)..=(request, u32::MAX))
            .map(|((_, attempt), _)| *attempt)
    }

    /// Places that the module keeps for workers and functions, and requests that it holds open.
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

    pub fn workers_up(&self) -> usize {
        self.workers
            .values()
            .filter(|state| **state == EndpointState::Up)
            .count()
    }

    pub fn workers(&self) -> impl Iterator<Item = (&str, EndpointState)> {
        self.workers.iter().map(|(worker, state)| (&**worker, *state))
    }

    /// Takes a request. `Err` where as many are open as the settings allow, or all has ended for a stop: nothing ran,
    /// trying again is harmless.
    pub fn submit(&mut self, now: Duration, new: NewRequest<P>) -> Result<RequestId, P> {
        self.turn(now);
        let until_stop = self.stops.map(|at| at.saturating_sub(self.now));
        if self.requests.len() >= self.open_most || until_stop.is_some_and(|left| left.is_zero()) {
            return Err(new.payload);
        }
        self.drawn += 1;
        let request = self.drawn;
        let left = new
            .left
            .saturating_sub(self.slack)
            .min(until_stop.unwrap_or(Duration::MAX));
        let until = self.now + left;
        let limit = self.timers.set(until, Due::Limit(request));
        let (function, payload) = (new.function.clone(), new.payload);
        let idempotent = self
            .idempotent
            .get(new.request_class as usize)
            .copied()
            .unwrap_or(false);
        let (attempts, out, may_have_executed, streaming) = (0, 0, None, false);
        let open = Open {
            payload,
            idempotent,
            function,
            until,
            limit,
            attempts,
            out,
            may_have_executed,
            streaming,
        };
        self.requests.insert(request, open);
        self.feed(Event::Request(Request {
            request,
            request_class: new.request_class,
            tenant: new.tenant,
            function: &new.function,
            left,
            work_hint: new.work_hint,
            memory_mb: new.memory_mb,
            concurrency_slots: new.concurrency_slots,
            load_hint: new.load_hint,
            is_retry: new.is_retry,
            writes: new.writes,
        }));
        self.settle();
        Ok(request)
    }

    /// The client left before its answer.
    pub fn client_gone(&mut self, now: Duration, request: RequestId) {
        self.turn(now);
        if self.conclude(request, FinalAnswer::Cancelled) {
            self.feed(Event::RequestCancelled { request });
            self.settle();
        }
    }

    /// An attempt ended, seen on its socket.
    pub fn attempt_ended(&mut self, now: Duration, request: RequestId, attempt: u32, ended: AttemptResult) {
        self.turn(now);
        self.end(request, attempt, ended);
        self.settle();
    }

    /// An attempt that [`Output::RecallAttempt`] named has been taken back unsent.
    pub fn attempt_recalled(&mut self, now: Duration, request: RequestId, attempt: u32) {
        self.attempt_ended(now, request, attempt, AttemptResult::silent(Outcome::NeverSent));
    }

    /// The answer has begun to reach the client: from now on neither time limit nor further attempts count.
    pub fn streaming_started(&mut self, now: Duration, request: RequestId, attempt: u32) {
        self.turn(now);
        let Some(out) = self.out.get_mut(&(request, attempt)) else {
            return;
        };
        let (worker, duration) = (out.worker.clone(), self.now.saturating_sub(out.sent));
        let own = out.timer.take();
        let limit = self.requests.get_mut(&request).map(|open| {
            open.streaming = true;
            open.limit
        });
        for timer in own.into_iter().chain(limit) {
            self.timers.cancel(timer);
        }
        self.feed(Event::StreamingStarted {
            request,
            attempt,
            worker: &worker,
            duration,
        });
        self.settle();
    }

    /// News of the list of workers. Times are on the same clock as `now`.
    pub fn update_endpoints(&mut self, now: Duration, form: EndpointListKind, entries: Vec<Endpoint>) {
        self.turn(now);
        if matches!(form, EndpointListKind::Full | EndpointListKind::Snapshot) {
            self.workers.clear();
        }
        for entry in &entries {
            match entry.state {
                EndpointState::Gone => {
                    self.workers.remove(entry.worker);
                }
                EndpointState::Up | EndpointState::Draining => {
                    self.workers.insert(entry.worker.into(), entry.state);
                }
            }
        }
        self.feed(Event::EndpointList { form, entries });
        // What was chosen before the news and has not left yet would be new work to a worker that drains.
        let unsent = self
            .out
            .iter()
            .filter(|(_, out)| !self.is_up(&out.worker))
            .map(|(id, _)| *id);
        let recall: Vec<_> = unsent
            .map(|(request, attempt)| Output::RecallAttempt { request, attempt })
            .collect();
        self.outputs.extend(recall);
        let commands = self.commands.iter().filter_map(|(command, of)| match of {
            Command::Load { worker, .. } if !self.is_up(worker) => {
                Some(Output::RecallCommand { command: *command })
            }
            Command::Load { .. } | Command::Probe { .. } => None,
        });
        let recall: Vec<_> = commands.collect();
        self.outputs.extend(recall);
        self.settle();
    }

    /// A forecast of a function's use: what may be loaded ahead for it is the module's to say.
    pub fn forecast(&mut self, now: Duration, expectation: UsageForecast) {
        self.turn(now);
        self.feed(Event::UsageForecast(expectation));
        self.settle();
    }

    /// What the module has measured of workers, for a later start.
    pub fn measurements(&self) -> &Measurements {
        &self.scheduler.measured
    }

    /// What an earlier start had measured, where workers may be taken for those of then.
    pub fn restore_measurements(&mut self, now: Duration, before: Measurements) {
        self.turn(now);
        self.feed(Event::RestoredMeasurements(before));
        self.settle();
    }

    /// There are so many schedulers from now on.
    pub fn set_scheduler_count(&mut self, now: Duration, count: u32) {
        self.turn(now);
        self.feed(Event::SchedulerCount(count));
        self.settle();
    }

    pub fn peer_message(&mut self, now: Duration, from: u32, bytes: Vec<u8>) {
        self.turn(now);
        self.feed(Event::PeerMessage { from, bytes });
        self.settle();
    }

    /// A probe or a load order ended; `copies` stand.
    pub fn command_ended(
        &mut self,
        now: Duration,
        command: u64,
        outcome: Outcome,
        copies: u32,
        report: Vec<Option<f64>>,
    ) {
        self.turn(now);
        self.end_command(command, outcome, copies, report);
        self.settle();
    }

    /// Does all that is due. `left`: whether anything of an attempt has left; what has not cannot have run, and is no
    /// attempt that timed out.
    pub fn due(&mut self, now: Duration, left: impl Fn(RequestId, u32) -> bool) {
        self.turn(now);
        while let Some(due) = self.timers.pop(self.now) {
            match due {
                Due::Module(name) => self.feed(Event::Timer { name }),
                Due::Attempt(request, attempt) => self.time_out(request, attempt, &left),
                Due::Command(command) => {
                    self.outputs.push(Output::AbandonCommand { command });
                    self.end_command(command, Outcome::TimedOut, 0, Vec::new());
                }
                Due::Limit(request) => self.limit(request, &left),
            }
            self.settle();
        }
    }

    /// The process calls [`RequestTable::stop`] at `at`: whoever comes from now on has no more time than that.
    pub fn set_shutdown_deadline(&mut self, at: Duration) {
        self.stops = Some(at);
    }

    /// Ends all that is open, each as its kind demands. What never ran, and what may run again once its attempts
    /// are given up, is rejected; what may have run otherwise is killed. `left`: whether anything of an attempt
    /// has left; what has not is cancelled. For the end of a drain only.
    pub fn shut_down(&mut self, now: Duration, left: impl Fn(RequestId, u32) -> bool) {
        self.turn(now);
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for request in open {
            let Some(of) = self.requests.get(&request) else {
                continue;
            };
            let (may_have_executed, again) = (of.may_have_executed, of.idempotent && !of.streaming);
            let (gone, waits): (Vec<u32>, Vec<u32>) = self
                .attempts_of(request)
                .partition(|&attempt| left(request, attempt));
            let doubt = !gone.is_empty() || may_have_executed.is_some();
            let harmless = !doubt || again && (gone.is_empty() || self.cancel);
            let given_up = if harmless { gone } else { Vec::new() };
            for &attempt in waits.iter().chain(&given_up) {
                self.outputs.push(Output::CancelAttempt { request, attempt });
            }
            self.conclude(
                request,
                match harmless {
                    true => FinalAnswer::Rejected {
                        retry_after: None,
                        may_have_executed,
                    },
                    false => FinalAnswer::Failed {
                        why: FailureReason::ShuttingDown,
                    },
                },
            );
            for (attempts, outcome) in [(waits, Outcome::NeverSent), (given_up, Outcome::Cancelled)] {
                attempts
                    .into_iter()
                    .for_each(|attempt| self.end(request, attempt, AttemptResult::silent(outcome)));
            }
        }
        self.settle();
    }

    fn turn(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn feed(&mut self, event: Event) {
        for action in self.scheduler.handle(self.now, event) {
            self.act(action);
        }
    }

    /// Tells the module what came of its own actions, until nothing more does. Each turn of this loop uses up an
    /// attempt or an order, and both are bounded.
    fn settle(&mut self) {
        while let Some(later) = self.later.pop_front() {
            match later {
                Later::AttemptResult(request, attempt, ended) => self.end(request, attempt, ended),
                Later::CommandEnded(command, outcome) => self.end_command(command, outcome, 0, Vec::new()),
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                worker,
                timeout,
            } => self.execute(request, worker, timeout),
            Action::Reject { request, retry_after } => {
                let may_have_executed = self
                    .requests
                    .get(&request)
                    .and_then(|open| open.may_have_executed);
                self.conclude(
                    request,
                    FinalAnswer::Rejected {
                        retry_after,
                        may_have_executed,
                    },
                );
            }
            Action::Fail { request } => {
                let late = self
                    .requests
                    .get(&request)
                    .is_some_and(|open| open.until <= self.now);
                let why = if late {
                    FailureReason::DeadlineExceeded
                } else {
                    FailureReason::OutcomeUnknown
                };
                self.conclude(request, FinalAnswer::Failed { why });
            }
            Action::CancelAttempt { request, attempt } => {
                // An answer that has begun is the client's, however long it takes.
                let streaming = self.requests.get(&request).is_some_and(|open| open.streaming);
                if self.out.contains_key(&(request, attempt)) && !streaming {
                    self.outputs.push(Output::CancelAttempt { request, attempt });
                    self.later.push_back(Later::AttemptResult(
                        request,
                        attempt,
                        AttemptResult::silent(Outcome::Cancelled),
                    ));
                }
            }
            Action::SetTimer { delay, name } => drop(self.timers.set(self.now + delay, Due::Module(name))),
            Action::CheckHealth { worker } => self.command(
                worker,
                |worker, sent, timer| Command::Probe { worker, sent, timer },
                |command, worker| Output::CheckHealth { command, worker },
            ),
            Action::Load {
                worker,
                function,
                copies,
            } => {
                let of = function.clone();
                self.command(
                    worker,
                    |worker, sent, timer| Command::Load {
                        worker,
                        function: of,
                        sent,
                        timer,
                    },
                    |command, worker| Output::Load {
                        command,
                        worker,
                        function,
                        copies,
                    },
                )
            }
            Action::Unload { worker, function } => self.outputs.push(Output::Unload { worker, function }),
            Action::CloseIdle { worker } => self.outputs.push(Output::CloseIdle { worker }),
            Action::SendToPeer { to, bytes } => self.outputs.push(Output::SendToPeer { to, bytes }),
            Action::Watch { on } => self.outputs.push(Output::Watch { on }),
            Action::PollEndpoints => self.outputs.push(Output::PollEndpoints),
            Action::Log { mut text } => {
                let end = (0..=MAX_LOG.min(text.len()))
                    .rev()
                    .find(|&at| text.is_char_boundary(at));
                text.truncate(end.unwrap_or(0));
                self.outputs.push(Output::Log { text });
            }
        }
    }

    fn execute(&mut self, request: RequestId, worker: Rc<str>, timeout: Option<Duration>) {
        let Some(open) = self.requests.get_mut(&request) else {
            self.outputs.push(Output::Log {
                text: format!("an execution of job {request}, which is over, is not sent"),
            });
            return;
        };
        let attempt = open.attempts;
        open.attempts += 1;
        let left = open.until.saturating_sub(self.now);
        let refused = open.out > 0 && !self.hedging
            || attempt >= self.attempts_most
            || left.is_zero()
            || !self.workers.contains_key(&worker);
        if refused {
            // The module learns that it never ran; on the ordinary path none of these comes up.
            let out = Out {
                worker,
                sent: self.now,
                timer: None,
            };
            open.out += 1;
            self.out.insert((request, attempt), out);
            self.later.push_back(Later::AttemptResult(
                request,
                attempt,
                AttemptResult::silent(Outcome::NeverSent),
            ));
            return;
        }
        open.out += 1;
        let (function, payload) = (open.function.clone(), open.payload.clone());
        let limit = timeout.filter(|limit| *limit < left);
        let timer = limit.map(|limit| self.timers.set(self.now + limit, Due::Attempt(request, attempt)));
        self.out.insert(
            (request, attempt),
            Out {
                worker: worker.clone(),
                sent: self.now,
                timer,
            },
        );
        let wait = limit.unwrap_or(left);
        self.outputs.push(Output::StartAttempt {
            request,
            attempt,
            worker,
            function,
            wait,
            payload,
        });
    }

    fn command(
        &mut self,
        worker: Rc<str>,
        command: impl FnOnce(Rc<str>, Duration, TimerId) -> Command,
        output: impl FnOnce(u64, Rc<str>) -> Output<P>,
    ) {
        self.drawn += 1;
        let id = self.drawn;
        let timer = self
            .timers
            .set(self.now + self.load_command_timeout, Due::Command(id));
        let known = self.workers.contains_key(&worker);
        let full = self.commands.len() >= MAX_COMMANDS;
        self.commands.insert(id, command(worker.clone(), self.now, timer));
        if full || !known {
            let outcome = if known {
                Outcome::AtCapacity
            } else {
                Outcome::ConnectFailed
            };
            self.later.push_back(Later::CommandEnded(id, outcome));
        } else {
            self.outputs.push(output(id, worker));
        }
    }

    fn end_command(&mut self, command: u64, outcome: Outcome, copies: u32, report: Vec<Option<f64>>) {
        let now = self.now;
        let duration = |sent: Duration| now.saturating_sub(sent);
        match self.commands.remove(&command) {
            Some(Command::Probe { worker, sent, timer }) => {
                self.timers.cancel(timer);
                self.feed(Event::HealthChecked {
                    worker: &worker,
                    outcome,
                    duration: duration(sent),
                    report,
                });
            }
            Some(Command::Load {
                worker,
                function,
                sent,
                timer,
            }) => {
                self.timers.cancel(timer);
                let (worker, function) = (&*worker, &*function);
                self.feed(Event::LoadEnded {
                    worker,
                    function,
                    outcome,
                    duration: duration(sent),
                    copies,
                });
            }
            None => {}
        }
    }

    fn end(&mut self, request: RequestId, attempt: u32, ended: AttemptResult) {
        let Some(out) = self.out.remove(&(request, attempt)) else {
            return;
        };
        if let Some(timer) = out.timer {
            self.timers.cancel(timer);
        }
        let duration = self.now.saturating_sub(out.sent);
        if let Some(open) = self.requests.get_mut(&request) {
            open.out -= 1;
            match ended.outcome {
                Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                    open.may_have_executed = Some(
                        open.may_have_executed
                            .map_or(out.sent, |first| first.min(out.sent)),
                    );
                }
                Outcome::Succeeded
                | Outcome::AtCapacity
                | Outcome::ConnectFailed
                | Outcome::NeverSent
                | Outcome::CacheMiss => {}
            }
        }
        // A begun answer that breaks off is the client's all the same.
        let streaming = self.requests.get(&request).is_some_and(|open| open.streaming);
        if ended.outcome == Outcome::Succeeded || streaming {
            self.conclude(request, FinalAnswer::Succeeded);
        }
        let concluded = !self.requests.contains_key(&request);
        let AttemptResult {
            outcome,
            cache_result,
            concurrency,
            report,
        } = ended;
        let worker = &*out.worker;
        self.feed(Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            duration,
            concluded,
            cache_result,
            concurrency,
            report,
        });
    }

    fn time_out(&mut self, request: RequestId, attempt: u32, left: &impl Fn(RequestId, u32) -> bool) {
        if let Some(out) = self.out.get_mut(&(request, attempt)) {
            out.timer = None;
            self.outputs.push(Output::CancelAttempt { request, attempt });
            let outcome = if left(request, attempt) {
                Outcome::TimedOut
            } else {
                Outcome::NeverSent
            };
            self.end(request, attempt, AttemptResult::silent(outcome));
        }
    }

    /// A request's time is up: whatever is out has timed out, and the module says what becomes of the request.
    fn limit(&mut self, request: RequestId, left: &impl Fn(RequestId, u32) -> bool) {
        let out: Vec<u32> = self
            .out
            .range((request, 0)..=(request, u32::MAX))
            .map(|((_, n), _)| *n)
            .collect();
        out.into_iter()
            .for_each(|attempt| self.time_out(request, attempt, left));
        self.settle();
        if self.requests.contains_key(&request) {
            // The module holds on to it: the rule stands above that.
            self.conclude(
                request,
                FinalAnswer::Failed {
                    why: FailureReason::DeadlineExceeded,
                },
            );
            self.feed(Event::RequestCancelled { request });
        }
    }

    /// The final answer, unless it has had one. An attempt still out goes on to its end: nobody may be told
    /// that it does not count, and a limit on its time stands.
    fn conclude(&mut self, request: RequestId, answer: FinalAnswer) -> bool {
        let Some(open) = self.requests.remove(&request) else {
            return false;
        };
        self.timers.cancel(open.limit);
        if open.out > 0 && !open.streaming {
            let left = self
                .out
                .range_mut((request, 0)..=(request, u32::MAX))
                .filter(|(_, out)| out.timer.is_none());
            for ((_, attempt), out) in left {
                out.timer = Some(self.timers.set(open.until, Due::Attempt(request, *attempt)));
            }
        }
        self.outputs.push(Output::Respond {
            request,
            payload: open.payload,
            answer,
        });
        true
    }
}
