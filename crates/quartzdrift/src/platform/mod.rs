//! A scheduler on the operators' platform: the same the request table and the scheduler, with FastCGI in front, frames to workers, and
//! the coordinator's events for a list. State of the event loop; [`run`] is how it is started.
//!
//! * `clients`: requests become requests, final answers go back.
//! * `workers`: connections to workers, and the attempts on them.
//! * `coordinator`: one long poll that is always out.
mod clients;
mod coordinator;
pub mod run;
mod shutdown;
mod workers;

use crate::clock::Clock;
use calloop::LoopHandle;
use clients::Client;
use coordinator::Coordinator;
use quartzdrift_http::links::{LinkId, Links};
use quartzdrift_http::{HasHttp, Http, HttpEvent, Limits};
use quartzdrift_lifecycle::{Output, RequestTable};
use quartzdrift_platform::budget::Budget;
use quartzdrift_platform::config::Config;
use quartzdrift_scheduler::interface::{EndpointListKind, Outcome, RequestId};
use shutdown::{Shutdown, Step};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use workers::{Worker, WorkerConnection};

/// Between two looks at whether beliefs and sockets agree.
const CONSISTENCY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The connections of the attempts that are out.
type Attempts = HashMap<(RequestId, u32), LinkId>;

/// What a link is.
pub(crate) enum Peer {
    Client(Client),
    WorkerConnection(WorkerConnection),
}

/// What is sent to workers for a request, and who waits for it; the request table carries it without looking.
#[derive(Debug)]
pub struct RequestContext {
    id: u64,
    client: LinkId,
    number: u16,
    request_class: u32,
    /// By which workers know a repeat.
    idempotency_key: Option<String>,
    body: Vec<u8>,
}

/// What the scheduler did since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    pub cancelled: u64,
    /// Turned away at the door.
    pub invalid: u64,
    /// Client connections closed by us: out of step, too slow, or no room.
    pub dropped: u64,
    pub attempts: u64,
    /// Connections opened, and connections lost with something open on them.
    pub connections: u64,
    pub connections_lost: u64,
    /// Answers that could not be read, and those that nobody waited for.
    pub unreadable: u64,
    pub unmatched: u64,
}

/// One scheduler on one event loop.
pub struct Node {
    config: Config,
    path: std::path::PathBuf,
    clock: Clock,
    links: Links<Node, Peer>,
    http: Http<Node>,
    request_table: RequestTable<Rc<RequestContext>>,
    budget: Budget,
    clients: usize,
    /// Clients to be closed once their last words have left.
    closing: Vec<LinkId>,
    connections: usize,
    workers: HashMap<Rc<str>, Worker>,
    attempts: Attempts,
    /// Open requests by the id that their client gave.
    open: HashMap<u64, RequestId>,
    /// The answer of the attempt that is being ended, and its request.
    pending_response: Option<(RequestId, Vec<u8>)>,
    coordinator: Coordinator,
    shutdown: Option<Shutdown>,
    /// When beliefs were last held against the sockets.
    held_state_logged_at: Duration,
    pub counts: Counts,
}

impl HasHttp for Node {
    fn http(&mut self) -> &mut Http<Node> {
        &mut self.http
    }
}

impl Node {
    /// A scheduler with the list of workers that its configuration knows. `path`: where a new one is read from.
    pub fn new(config: Config, path: std::path::PathBuf, handle: LoopHandle<'static, Node>) -> Node {
        let limits = Limits {
            connections: 0,
            connections_each: 4,
            ..Limits::default()
        };
        let mut node = Node {
            path,
            clock: Clock::start(),
            links: Links::new(handle.clone(), |node| &mut node.links),
            http: Http::new(handle, limits),
            request_table: RequestTable::new(&config.settings, config.seed),
            budget: Budget::of(config.sockets),
            clients: 0,
            closing: Vec::new(),
            connections: 0,
            workers: HashMap::new(),
            attempts: HashMap::new(),
            open: HashMap::new(),
            pending_response: None,
            coordinator: Coordinator::new(config.coordinator),
            shutdown: None,
            held_state_logged_at: Duration::ZERO,
            counts: Counts::default(),
            config,
        };
        let known = node.config.known.clone();
        node.request_table
            .update_endpoints(node.now(), EndpointListKind::Snapshot, Vec::new());
        node.news(known);
        node.carry_out();
        node
    }

    /// Time since 1970, steady.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    pub fn listen(&mut self, listener: std::net::TcpListener) -> std::io::Result<()> {
        self.links.listen(listener)
    }

    /// How long the loop may sleep.
    pub fn until_next(&self) -> Duration {
        if self.http.has_events() {
            return Duration::ZERO;
        }
        let shutdown = self
            .shutdown
            .as_ref()
            .and_then(|shutdown| shutdown.next_deadline(self.now()));
        let own = [
            self.request_table.next_deadline(),
            self.coordinator.next_due(),
            shutdown,
        ];
        self.clock
            .until(own, [self.links.next_due(), self.http.next_deadline()])
    }

    /// Works what the last wait of the loop brought, and all that is due.
    pub fn turn(&mut self) {
        self.http.expire(Instant::now());
        for event in self.http.take_events() {
            match event {
                HttpEvent::Answer { call, answer } => self.told(call, &answer),
                HttpEvent::Failed { call, how } => self.poll_error(call, how),
                // Nobody calls us over HTTP, and no answer is streamed.
                HttpEvent::Request { .. }
                | HttpEvent::Gone { .. }
                | HttpEvent::Part { .. }
                | HttpEvent::End { .. } => {}
            }
        }
        self.accept();
        for id in self.links.take_ready() {
            match self.links.get(id).map(|link| &link.state) {
                Some(Peer::Client(_)) => self.drive_client(id),
                Some(Peer::WorkerConnection(_)) => self.drive_connection(id),
                None => {}
            }
        }
        for id in self.links.take_overdue(Instant::now()) {
            match self.links.get(id).map(|link| &link.state) {
                Some(Peer::Client(_)) => self.client_overdue(id),
                Some(Peer::WorkerConnection(_)) => self.connection_overdue(id),
                None => {}
            }
        }
        let now = self.now();
        // Before the limits on time, since that of whoever came during a stop is the same moment: what never left is
        // rejected then.
        self.end_for_shutdown(now);
        if self.request_table.next_deadline().is_some_and(|at| at <= now) {
            let (attempts, links) = (&self.attempts, &self.links);
            self.request_table.due(now, |request, attempt| {
                workers::has_left(attempts, links, request, attempt)
            });
            self.carry_out();
        }
        self.coordinator_due(now);
        self.log_held_state(now);
        self.links.flush();
        self.close_flushed_clients();
    }

    /// Where the log is to hear of it: what the request table and the scheduler believe is out and open, against what the sockets hold.
    fn log_held_state(&mut self, now: Duration) {
        if now < self.held_state_logged_at + CONSISTENCY_CHECK_INTERVAL
            || !tracing::enabled!(tracing::Level::DEBUG)
        {
            return;
        }
        self.held_state_logged_at = now;
        let [clients, workers, connections, on_sockets, open] = self.held_counts();
        let (at_request_table, request_table_open) = (
            self.request_table.attempts_in_flight(),
            self.request_table.open_requests(),
        );
        let (names, functions, module_open) = self.request_table.sizes();
        let up = self.request_table.workers_up();
        tracing::debug!(
            clients,
            workers,
            up,
            connections,
            on_sockets,
            at_request_table,
            open,
            request_table_open,
            module_open,
            "held"
        );
        tracing::debug!(names, functions, "module's places");
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

    fn output(&mut self, output: Output<Rc<RequestContext>>) {
        match output {
            Output::StartAttempt {
                request,
                attempt,
                worker,
                function,
                wait,
                payload,
            } => self.start_attempt(request, attempt, &worker, function, wait, payload),
            Output::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Output::RecallAttempt { request, attempt } => self.recall_attempt(request, attempt),
            Output::Respond {
                request,
                payload,
                answer,
            } => self.final_answer(request, &payload, answer),
            Output::CloseIdle { worker } => self.close_idle(&worker),
            Output::Log { text } => tracing::info!(text, "decision"),
            // The platform's list comes on its own, and its settings allow neither orders nor probes.
            Output::CheckHealth { command, .. } | Output::Load { command, .. } => {
                self.request_table
                    .command_ended(self.now(), command, Outcome::NeverSent, 0, Vec::new());
            }
            Output::RecallCommand { .. }
            | Output::AbandonCommand { .. }
            | Output::Unload { .. }
            | Output::SendToPeer { .. }
            | Output::Watch { .. }
            | Output::PollEndpoints => {}
        }
    }

    /// What its tables hold: clients, workers, connections, attempts out, and requests open by their clients' ids.
    pub fn held_counts(&self) -> [usize; 5] {
        [
            self.clients,
            self.workers.len(),
            self.connections,
            self.attempts.len(),
            self.open.len(),
        ]
    }

    /// Begins a graceful shutdown (SIGTERM): clients that still come are served, and the process ends once everything is
    /// answered, before SIGKILL is due.
    pub fn stop(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let timeouts = self
            .config
            .settings
            .request_classes
            .iter()
            .map(|class| class.timeout);
        let shutdown = Shutdown::new(self.now(), timeouts);
        self.request_table.set_shutdown_deadline(shutdown.answer_by());
        self.shutdown = Some(shutdown);
        tracing::info!(
            open = self.request_table.open_requests(),
            "stopping: serving those that still come"
        );
    }

    /// Gives what is open its final answer once the shutdown leaves no more time for it.
    fn end_for_shutdown(&mut self, now: Duration) {
        let due = self
            .shutdown
            .as_ref()
            .is_some_and(|shutdown| now >= shutdown.answer_by());
        if !due || self.request_table.open_requests() == 0 {
            return;
        }
        tracing::info!(
            open = self.request_table.open_requests(),
            "no more time to stop: what is open ends"
        );
        let (attempts, links) = (&self.attempts, &self.links);
        self.request_table.shut_down(now, |request, attempt| {
            workers::has_left(attempts, links, request, attempt)
        });
        self.carry_out();
    }

    /// Whether a shutdown is complete; to be asked after every turn.
    ///
    /// What has arrived by the moment in which nothing is open any more is served too. Then clients are told that their
    /// connections end, and what they still send is read: closing a connection with unread bytes destroys the answers that
    /// are on their way.
    pub fn stopped(&mut self) -> bool {
        let now = self.now();
        let Some(shutdown) = &self.shutdown else {
            return false;
        };
        let answered = || self.request_table.open_requests() == 0 && !self.has_unsent_answers();
        match shutdown.next_step(now, self.clients, answered) {
            Step::Exit => true,
            Step::Wait => false,
            Step::CloseIfQuiet => self.is_quiet() && self.close_all_clients(now),
        }
    }

    /// Tells all clients that their connections end; returns whether there are none.
    fn close_all_clients(&mut self, now: Duration) -> bool {
        self.send_close_notice();
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.begin_closing(now);
        }
        self.clients == 0
    }

    /// SIGHUP: the new configuration's coordinator from the next poll on; all else goes on as it was.
    pub fn reload(&mut self) {
        // Reading anything but a file could take for ever.
        let file = std::fs::metadata(&self.path)
            .map(|of| of.is_file())
            .unwrap_or(true);
        let read = match file {
            true => run::load(&self.path),
            false => Err("it is no regular file".to_owned()),
        };
        match read.and_then(|bytes| quartzdrift_platform::config::read(&bytes)) {
            Ok(config) => self.switch_coordinator(config.coordinator, config.known),
            Err(why) => tracing::warn!(why, "the new configuration cannot be read; the old one stands"),
        }
    }
}
