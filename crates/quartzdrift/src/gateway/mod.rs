//! The state of the event loop: what comes from the sockets goes to the request table, and what the request table says is done.
//!
//! * `clients`: calls become requests, final answers go back.
//! * `workers`: attempts, orders and probes.
//! * `discovery`: where the list of workers comes from.
//! * `prefetch`: forecasts of use, and loads ahead of need.
//! * `fleet`: other schedulers.
//! * `store`: asynchronous requests on disk.
//! * `asynchronous`: attempts of asynchronous invocations.
//! * `schedules`: invocations that schedules trigger.
//! * `destinations`: events of completed asynchronous invocations.
//! * `recovery`: from the start to full service.
mod asynchronous;
mod clients;
mod destinations;
mod discovery;
pub mod fleet;
mod prefetch;
mod recovery;
mod schedules;
mod store;
mod workers;

use crate::clock::Clock;
use crate::record::Recorder;
use crate::saved::{self, Saver};
use crate::settings::Settings;
use calloop::LoopHandle;
use quartzdrift_async_queue::{ChangeBuffer, InvocationId, InvocationQueue};
use quartzdrift_discovery::{AcceptedEndpoints, list};
use quartzdrift_http::{CallId, Exchange, HasHttp, Http, HttpEvent, Response};
use quartzdrift_lifecycle::{FinalAnswer, Output, RequestTable};
use quartzdrift_scheduler::interface::{EndpointListKind, Outcome, RequestId};
use quartzdrift_schedules::Schedules;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Which front a request came from, and where its final answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Client(Exchange),
    Asynchronous(InvocationId),
}

/// What is sent to workers for a request; the request table carries it without looking.
#[derive(Debug)]
pub struct Work {
    pub id: Uuid,
    pub origin: Origin,
    pub payload: Rc<[u8]>,
    pub context: Option<String>,
    pub mark: Option<String>,
    pub tenant: Option<String>,
    pub streams: bool,
    pub request_class: u32,
    pub taken: Duration,
    /// Its function's number, where it tries whether the store bears the load after a loss.
    pub tries: Option<u32>,
}

/// What a call of ours is for.
enum Use {
    Attempt {
        request: RequestId,
        attempt: u32,
        work: Rc<Work>,
        worker: Rc<str>,
        began: bool,
    },
    Probe {
        command: u64,
    },
    Load {
        command: u64,
    },
    /// No news of it is wanted.
    Unload,
    List,
    Stream,
    Destination(destinations::DestinationEvent),
}

/// Counts since the start, for the last word and for whoever asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    pub cancelled: u64,
    pub refused: u64,
    pub attempts: u64,
    pub asynchronous: u64,
    pub fired: u64,
}

pub struct Gateway {
    settings: Rc<Settings>,
    clock: Clock,
    /// Drawn anew at each start, whatever the seed: names of requests are never used twice.
    identity: u64,
    drawn: u64,
    http: Http<Gateway>,
    request_table: RequestTable<Rc<Work>>,
    calls: HashMap<CallId, Use>,
    attempts: HashMap<(RequestId, u32), CallId>,
    commands: HashMap<u64, CallId>,
    exchanges: HashMap<Exchange, RequestId>,
    /// The answer of the attempt that is being ended.
    in_hand: Option<Response>,
    /// The attempt whose end is being taken failed with its load.
    load_failed: bool,
    asynchronous: InvocationQueue<ChangeBuffer>,
    store: Option<store::Store>,
    schedules: Schedules,
    accepted: AcceptedEndpoints,
    discovery: discovery::Source,
    prefetch: Option<prefetch::Prefetch>,
    fleet: Option<fleet::Fleet>,
    returning: Option<recovery::Returning>,
    recorder: Option<Recorder>,
    saver: Option<Saver>,
    stopping: Option<Duration>,
    pub counts: Counts,
}

impl HasHttp for Gateway {
    fn http(&mut self) -> &mut Http<Gateway> {
        &mut self.http
    }
}

/// Whether anything of an attempt may have left.
fn has_left(
    attempts: &HashMap<(RequestId, u32), CallId>,
    http: &Http<Gateway>,
    request: RequestId,
    attempt: u32,
) -> bool {
    attempts
        .get(&(request, attempt))
        .is_none_or(|call| !http.unsent_call(*call))
}

impl Gateway {
    /// A gateway with the list of workers that it last saved, or the one of the settings.
    pub fn new(settings: Settings, handle: LoopHandle<'static, Gateway>) -> std::io::Result<Gateway> {
        let moment = crate::clock::moment();
        let found = recovery::found(&settings, moment.clone());
        let before = found
            .as_ref()
            .and_then(|found| found.mark.as_ref())
            .map(|mark| mark.at.clone());
        let clock = Clock::resume(&moment, before.as_ref());
        let seed = settings.seed.unwrap_or_else(rand::random);
        let saver = settings.state.clone().map(Saver::start).transpose()?;
        // What this instance did not look at while it was away was missed.
        let looked = before.map_or(clock.now(), |before| before.wall);
        let schedules = settings
            .timers
            .iter()
            .map(|(schedule, _)| schedule.clone())
            .collect();
        let settings = Rc::new(settings);
        let mut gateway = Gateway {
            identity: rand::random(),
            drawn: 0,
            http: Http::new(handle.clone(), settings.limits.clone()),
            request_table: RequestTable::new(&settings.scheduler, seed),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            commands: HashMap::new(),
            exchanges: HashMap::new(),
            in_hand: None,
            load_failed: false,
            asynchronous: InvocationQueue::new(
                settings.asynchronous.clone(),
                ChangeBuffer::new(settings.store.is_some()),
                seed,
            ),
            store: None,
            schedules: Schedules::new(schedules, seed, looked),
            clock,
            accepted: AcceptedEndpoints::default(),
            discovery: discovery::Source::new(&settings),
            prefetch: None,
            fleet: None,
            returning: None,
            recorder: settings.record.as_ref().map(Recorder::start).transpose()?,
            saver,
            stopping: None,
            counts: Counts::default(),
            settings,
        };
        gateway.start_recovery(found)?;
        gateway.first_list();
        gateway.start_prefetch();
        gateway.start_store(&handle)?;
        gateway.start_fleet(&handle)?;
        gateway.returned();
        Ok(gateway)
    }

    fn first_list(&mut self) {
        let otherwise = "the saved list of workers cannot be read";
        let saved = saved::found(self.settings.state.as_deref(), saved::WORKERS, otherwise);
        let workers = match saved.map(|bytes| list::read(&bytes, &self.settings.known)) {
            Some(Ok(saved)) if !saved.workers.is_empty() => saved.workers,
            Some(Err(error)) => {
                let why = error.to_string();
                tracing::warn!(why, "the saved list of workers is set aside");
                self.settings.workers.clone()
            }
            Some(Ok(_)) | None => self.settings.workers.clone(),
        };
        self.accepted.apply_changes(&workers);
        self.accepted.set_from_unclean_stop(
            self.returning
                .as_ref()
                .is_some_and(|of| !of.machine.found().was_clean()),
        );
        self.update_endpoints(EndpointListKind::Snapshot, &workers);
    }

    /// Time since 1970, steady.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    pub fn listen(&mut self, listener: std::net::TcpListener) -> std::io::Result<()> {
        self.http.listen(listener)
    }

    /// How long the loop may sleep.
    pub fn until_next(&self) -> Duration {
        if self.http.has_events() {
            return Duration::ZERO;
        }
        let own = [
            self.request_table.next_deadline(),
            self.next_attempt_due(),
            self.next_trigger_due(),
            self.recovery_next(),
            self.discovery.next_due(),
            self.prefetch.as_ref().and_then(prefetch::Prefetch::next_due),
            self.fleet.as_ref().map(fleet::Fleet::next_due),
            self.stopping,
        ];
        self.clock.until(own, [self.http.next_deadline()])
    }

    /// Works what the last wait of the loop brought, and all that is due.
    pub fn turn(&mut self) {
        self.http.expire(Instant::now());
        for event in self.http.take_events() {
            self.http_event(event);
        }
        let now = self.now();
        if self.request_table.next_deadline().is_some_and(|at| at <= now) {
            let (attempts, http) = (&self.attempts, &self.http);
            self.request_table
                .due(now, |request, attempt| has_left(attempts, http, request, attempt));
            self.carry_out();
        }
        self.discovery_due(now);
        self.prefetch_due(now);
        self.fleet_due(now);
        self.recovery_due(now);
        self.start_due_triggers(now);
        self.start_due_attempts(now);
        self.submit_changes();
    }

    fn http_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Request { exchange, request } => self.request(exchange, request),
            HttpEvent::Gone { exchange } => self.client_gone(exchange),
            HttpEvent::Answer { call, answer } => self.answered(call, answer),
            HttpEvent::Part { call, bytes } => self.part(call, bytes),
            HttpEvent::End { call } => self.stream_ended(call),
            HttpEvent::Failed { call, how } => self.call_failed(call, how),
        }
    }

    /// Does what the request table says, until it says no more.
    fn carry_out(&mut self) {
        loop {
            let outputs = self.request_table.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.output(output);
            }
        }
    }

    fn output(&mut self, output: Output<Rc<Work>>) {
        match output {
            Output::StartAttempt {
                request,
                attempt,
                worker,
                function,
                payload,
                wait: _,
            } => self.execute(request, attempt, worker, function, payload),
            Output::CancelAttempt { request, attempt } => self.drop_attempt(request, attempt),
            Output::RecallAttempt { request, attempt } => {
                if !has_left(&self.attempts, &self.http, request, attempt) {
                    self.drop_attempt(request, attempt);
                    self.request_table.attempt_recalled(self.now(), request, attempt);
                }
            }
            Output::Respond {
                request,
                payload,
                answer,
            } => self.final_answer(request, &payload, answer),
            Output::CheckHealth { command, worker } => self.probe(command, &worker),
            Output::Load {
                command,
                worker,
                function,
                copies,
            } => self.load(command, &worker, &function, copies),
            Output::RecallCommand { command } => {
                let call = self.commands.get(&command).copied();
                if let Some(call) = call.filter(|call| self.http.unsent_call(*call)) {
                    self.commands.remove(&command);
                    self.load_ended(command, Outcome::NeverSent);
                    self.calls.remove(&call);
                    self.http.cancel(call);
                    self.request_table
                        .command_ended(self.now(), command, Outcome::NeverSent, 0, Vec::new());
                }
            }
            Output::AbandonCommand { command } => {
                self.load_ended(command, Outcome::TimedOut);
                if let Some(call) = self.commands.remove(&command) {
                    self.calls.remove(&call);
                    self.http.cancel(call);
                }
            }
            Output::Unload { worker, function } => self.unload(&worker, &function),
            Output::CloseIdle { worker } => {
                if let Ok(address) = list::address(&worker) {
                    self.http.close_idle(address);
                }
            }
            // The module sends nothing to other schedulers today.
            Output::SendToPeer { to, bytes } => {
                tracing::warn!(?to, bytes = bytes.len(), "there is nobody to tell")
            }
            Output::Watch { on } => self.watch(on),
            Output::PollEndpoints => self.poll_endpoints(),
            Output::Log { text } => tracing::info!(text, "decision"),
        }
    }

    fn final_answer(&mut self, request: RequestId, work: &Work, answer: FinalAnswer) {
        let count = match answer {
            FinalAnswer::Succeeded => &mut self.counts.succeeded,
            FinalAnswer::Rejected { .. } => &mut self.counts.rejected,
            FinalAnswer::Failed { .. } => &mut self.counts.failed,
            FinalAnswer::Cancelled => &mut self.counts.cancelled,
        };
        *count += 1;
        tracing::debug!(request, id = %work.id, ?answer, "final answer");
        let said = self.in_hand.take();
        self.request_answered(work, answer);
        match work.origin {
            Origin::Client(exchange) => self.answer_client(exchange, work, answer, said),
            Origin::Asynchronous(id) => self.attempt_answered(id, answer, said),
        }
    }

    /// A new identity, unlike that of any other request of this or another instance.
    fn draw_id(&mut self) -> Uuid {
        self.drawn += 1;
        Uuid::from_u64_pair(self.identity, self.drawn)
    }

    /// Takes no more and ends what is open by the end of the drain.
    pub fn stop(&mut self) {
        if self.stopping.is_none() {
            let until = self.now() + self.settings.drain;
            self.stopping = Some(until);
            self.http.stop_listening();
            let (open, asynchronous) = (self.request_table.open_requests(), self.asynchronous.len());
            tracing::info!(open, asynchronous, drain = ?self.settings.drain, "stopping: nothing new is taken");
        }
    }

    /// Whether a stop is complete.
    pub fn stopped(&self) -> bool {
        let Some(until) = self.stopping else { return false };
        let now = self.now();
        // Beside a successor at the same address, connections that are there get their last answers here.
        let clients = self.settings.share_port && self.http.clients() > 0;
        let due = self.next_attempt_due().is_some_and(|at| at <= now);
        let kept = self.store.as_ref().is_none_or(store::Store::idle);
        let idle = self.request_table.open_requests() == 0 && !clients && kept && !due;
        now >= until || idle && !self.http.unsent()
    }

    /// Final answers for all that is still open, and the last word on what is lost.
    pub fn finish(&mut self) {
        let (now, attempts, http) = (self.now(), &self.attempts, &self.http);
        self.request_table
            .shut_down(now, |request, attempt| has_left(attempts, http, request, attempt));
        self.carry_out();
        self.log_open_invocations();
        self.close_store();
        self.save_forecasts();
        self.leave_fleet();
        self.note_stop();
        tracing::info!(counts = ?self.counts, "stopped");
    }

    /// Writes on what the last answers still wait to say; whoever comes now is not heard.
    pub fn last_words(&mut self) {
        self.http.take_events();
    }

    pub fn unsent(&self) -> bool {
        self.http.unsent()
    }

    pub fn open(&self) -> usize {
        self.request_table.open_requests()
    }
}

/// What an order that never left came to.
const NOT_SENT: Outcome = Outcome::ConnectFailed;
