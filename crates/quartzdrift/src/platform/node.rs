//! The state of the event loop. Events of the sockets go to the request table, and what it says is carried out.
use super::client_connection::Client;
use super::coordinator::Coordinator;
use super::counts::Counts;
use super::notices::NoticeLimit;
use super::shutdown::{Shutdown, Step};
use super::worker_connection::{Command, WorkerConnection};
use super::workers::Worker;
use super::{commands, run};
use crate::attempts::{AttemptCarriers, CarryOut};
use crate::clock::Clock;
use crate::loop_delay::{LoopDelay, Wait};
use calloop::LoopHandle;
use quartzdrift_http::sockets::{SocketId, Sockets};
use quartzdrift_http::{HasHttp, Http, HttpEvent, Limits};
use quartzdrift_lifecycle::{Output, RequestTable};
use quartzdrift_platform::budget::Budget;
use quartzdrift_platform::config::Config;
use quartzdrift_scheduler::interface::{EndpointListKind, Outcome, RequestId};
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Between two debug lines on what the tables hold.
const HELD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Whoever has not looked at its clients for longer does so before anything more is sent: one that has left meanwhile is owed
/// that nothing is begun for it, and the time of the others has run on.
const MAX_UNSEEN_TIME: Duration = Duration::from_millis(40);

/// Who is at the other end of a socket.
pub(crate) enum Peer {
    /// A client over FastCGI.
    Client(Client),
    /// A worker.
    WorkerConnection(WorkerConnection),
}

/// What is sent to workers for a request, and who waits for its answer; the payload of the request table.
#[derive(Debug)]
pub struct RequestContext {
    /// Id that the client gave.
    pub(super) id: u64,
    /// The client's connection, and the FastCGI request id on it.
    pub(super) client: SocketId,
    pub(super) request_id: u16,
    /// Index of the request class in the settings.
    pub(super) request_class: u32,
    /// Key by which workers recognize a repeat.
    pub(super) idempotency_key: Option<String>,
    pub(super) body: Vec<u8>,
}

/// One scheduler on one event loop.
pub struct Node {
    pub(super) config: Config,
    /// Where a new configuration is read from.
    path: PathBuf,
    pub(super) clock: Clock,
    pub(super) loop_delay: LoopDelay,
    pub(super) sockets: Sockets<Node, Peer>,
    /// Calls to the coordinator.
    pub(super) http: Http<Node>,
    pub(super) request_table: RequestTable<Rc<RequestContext>>,
    pub(super) budget: Budget,
    /// Connections of clients that are open.
    pub(super) clients: usize,
    /// When a connection may have come that was left waiting to be accepted.
    pub(super) unaccepted_since: Option<Instant>,
    /// Clients whose connections are closed once their last bytes have left.
    pub(super) closing: Vec<SocketId>,
    /// Connections to workers that are open.
    pub(super) connections: usize,
    pub(super) workers: HashMap<Rc<str>, Worker>,
    /// The connection of each attempt in flight.
    pub(super) attempts: AttemptCarriers<SocketId>,
    /// Open requests by the id that their client gave.
    pub(super) open: HashMap<u64, RequestId>,
    /// The answer's body of the attempt that is being ended, and its request.
    pub(super) pending_response: Option<(RequestId, Vec<u8>)>,
    pub(super) coordinator: Coordinator,
    pub(super) started_at: Duration,
    pub(super) notices: NoticeLimit,
    pub(super) shutdown: Option<Shutdown>,
    /// When what the tables hold was last logged.
    held_logged_at: Duration,
    /// Counts since the start.
    pub counts: Counts,
}

impl HasHttp for Node {
    fn http(&mut self) -> &mut Http<Node> {
        &mut self.http
    }
}

impl CarryOut<Rc<RequestContext>> for Node {
    fn request_table(&mut self) -> &mut RequestTable<Rc<RequestContext>> {
        &mut self.request_table
    }

    fn carry_out_one(&mut self, output: Output<Rc<RequestContext>>) {
        match output {
            Output::StartAttempt {
                request,
                attempt,
                worker,
                function,
                timeout,
                send_by,
                payload,
            } => {
                let command = Command {
                    request,
                    attempt,
                    function,
                    // The process may have had no processor since the request table decided.
                    until: self.request_table.now() + timeout,
                    context: payload,
                    send_by,
                    lost_connections: 0,
                    frame_span: None,
                };
                self.start_attempt(&worker, command);
            }
            Output::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Output::RecallAttempt { request, attempt } => self.recall_attempt(request, attempt),
            Output::Respond {
                request,
                payload,
                response,
            } => self.final_answer(request, &payload, response),
            Output::CloseIdleConnections { worker } => self.close_idle(&worker),
            Output::Notice(notice) => self.log_notice(notice),
            Output::Log { text } => tracing::info!(text, "decision"),
            // The platform's list comes without being asked for, and its settings allow neither load commands nor health
            // checks.
            Output::CheckHealth { command, .. } | Output::Load { command, .. } => {
                self.request_table
                    .command_ended(self.now(), command, Outcome::NeverSent, 0, Vec::new());
            }
            Output::RecallCommand { .. }
            | Output::AbandonCommand { .. }
            | Output::Unload { .. }
            | Output::SendToPeer { .. }
            | Output::WatchEndpoints { .. }
            | Output::PollEndpoints => {}
        }
    }
}

impl Node {
    /// A scheduler with the list of workers that its configuration holds. `path`: where a new configuration is read from.
    pub fn new(config: Config, path: PathBuf, handle: LoopHandle<'static, Node>) -> Node {
        let limits = Limits {
            connections: 0,
            connections_per_server: 4,
            ..Limits::default()
        };
        let mut node = Node {
            path,
            clock: Clock::start(),
            loop_delay: LoopDelay::start(Instant::now()),
            sockets: Sockets::new(handle.clone(), |node| &mut node.sockets),
            http: Http::new(handle, limits),
            request_table: RequestTable::new(&config.settings, config.seed),
            budget: Budget::of(config.sockets),
            clients: 0,
            unaccepted_since: None,
            closing: Vec::new(),
            connections: 0,
            workers: HashMap::new(),
            attempts: AttemptCarriers::default(),
            open: HashMap::new(),
            pending_response: None,
            coordinator: Coordinator::new(config.coordinator),
            started_at: Duration::ZERO,
            notices: NoticeLimit::default(),
            shutdown: None,
            held_logged_at: Duration::ZERO,
            counts: Counts::default(),
            config,
        };
        node.started_at = node.now();
        let known = node.config.known.clone();
        node.request_table
            .update_endpoints(node.now(), EndpointListKind::Snapshot, Vec::new());
        node.apply_known(known);
        node.carry_out();
        node
    }

    /// Time since 1970, steady.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Accepts clients at a listener.
    ///
    /// # Errors
    /// The listener cannot be watched.
    pub fn listen(&mut self, listener: std::net::TcpListener) -> std::io::Result<()> {
        self.sockets.listen(listener)
    }

    /// The wait for events before the next [`Node::turn`]; it begins now.
    pub fn next_wait(&self) -> Wait {
        Wait::begin(Instant::now(), self.until_next())
    }

    /// How long the loop may sleep.
    fn until_next(&self) -> Duration {
        if self.http.has_events() {
            return Duration::ZERO;
        }
        let shutdown = self
            .shutdown
            .as_ref()
            .and_then(|shutdown| shutdown.next_deadline(self.now()));
        let own = [
            self.request_table.next_deadline(),
            Some(self.coordinator.next_deadline()),
            self.accepts_from().filter(|at| *at > self.now()),
            shutdown,
        ];
        self.clock
            .until(own, [self.sockets.next_due(), self.http.next_deadline()])
    }

    /// Works what a wait of the loop brought, and all that is due.
    pub fn turn(&mut self, wait: Wait) {
        self.loop_delay.woke(Instant::now(), wait);
        self.work_polls();
        self.accept();
        self.process_ready_sockets();
        self.process_overdue_sockets();
        let now = self.now();
        // Before the request table's own deadlines: that of a request which came during the shutdown is the same moment, and
        // what never left is rejected then.
        self.end_for_shutdown(now);
        self.work_request_deadlines(now);
        self.coordinator_due(now);
        self.log_held_state(now);
        self.flush();
        self.close_flushed_clients();
    }

    /// Sends what was written. A turn that has taken long catches up first: the process may have had no processor in it.
    pub(super) fn flush(&mut self) {
        while let Some(id) = self.sockets.next_to_flush() {
            if !self.flush_in_time(id) {
                self.catch_up();
            }
        }
    }

    /// Sends what was written on a socket, unless the loop has not looked at its sockets for long; returns whether it was in
    /// time. What was not sent is sent with the next [`Node::flush`].
    pub(super) fn flush_in_time(&mut self, id: SocketId) -> bool {
        self.recall_overdue(id, self.now());
        let limit = self.loop_delay.looked() + MAX_UNSEEN_TIME;
        self.sockets.flush_one_by(id, Some(limit))
    }

    /// Heeds what has happened since the turn began: clients that have left, deadlines that have passed, and the time that is
    /// left for what has not been sent yet.
    fn catch_up(&mut self) {
        self.loop_delay.looked_again(Instant::now());
        self.read_all_clients();
        self.work_request_deadlines(self.now());
        self.rewrite_unsent_commands();
    }

    fn work_polls(&mut self) {
        self.http.expire(Instant::now());
        for event in self.http.take_events() {
            match event {
                HttpEvent::Response { call, response } => self.poll_answered(call, &response),
                HttpEvent::Failed { call, failure } => self.poll_error(call, failure),
                // Nobody calls here over HTTP, and no answer is streamed.
                HttpEvent::Request { .. }
                | HttpEvent::Gone { .. }
                | HttpEvent::Part { .. }
                | HttpEvent::End { .. } => {}
            }
        }
    }

    /// Clients come first: for one that has left nothing is sent to a worker whose connection is ready in the same turn.
    fn process_ready_sockets(&mut self) {
        let ready = self.sockets.take_ready();
        let is_client = |id: &SocketId| {
            let socket = self.sockets.get(*id);
            socket.is_some_and(|socket| matches!(socket.state, Peer::Client(_)))
        };
        let (clients, connections): (Vec<SocketId>, Vec<SocketId>) = ready.into_iter().partition(is_client);
        for id in clients {
            self.drive_client(id);
        }
        for id in connections {
            self.drive_connection(id);
        }
    }

    fn process_overdue_sockets(&mut self) {
        for id in self.sockets.take_overdue(Instant::now()) {
            match self.sockets.get(id).map(|socket| &socket.state) {
                Some(Peer::Client(_)) => self.client_overdue(id),
                Some(Peer::WorkerConnection(_)) => self.connection_overdue(id),
                None => {}
            }
        }
    }

    fn work_request_deadlines(&mut self, now: Duration) {
        let is_due = self.request_table.next_deadline().is_some_and(|at| at <= now);
        if !is_due {
            return;
        }
        let (attempts, sockets) = (&self.attempts, &self.sockets);
        self.request_table.fire_timers(now, |request, attempt| {
            attempts.has_left(request, attempt, |id| {
                commands::is_unsent(sockets, id, request, attempt)
            })
        });
        self.carry_out();
    }

    /// Logs what the tables hold, at the debug level: the request table's view beside that of the sockets, which must agree.
    fn log_held_state(&mut self, now: Duration) {
        let is_due = now >= self.held_logged_at + HELD_LOG_INTERVAL;
        if !is_due || !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        self.held_logged_at = now;
        let [clients, workers, connections, attempts_on_sockets, open_ids] = self.held_counts();
        let (worker_names, function_names, scheduler_requests) = self.request_table.scheduler_table_sizes();
        tracing::debug!(
            clients,
            workers,
            workers_up = self.request_table.workers_up(),
            connections,
            attempts_on_sockets,
            attempts_in_flight = self.request_table.attempts_in_flight(),
            open_ids,
            open_requests = self.request_table.open_requests(),
            scheduler_requests,
            "held"
        );
        tracing::debug!(worker_names, function_names, "names held by the scheduler");
    }

    /// Carries out what the request table says, until it says no more.
    pub(super) fn carry_out(&mut self) {
        self.carry_out_all();
    }

    /// What the tables hold: clients, workers, connections to them, attempts in flight, and requests open by their clients'
    /// ids.
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
        let (attempts, sockets) = (&self.attempts, &self.sockets);
        self.request_table.shut_down(now, |request, attempt| {
            attempts.has_left(request, attempt, |id| {
                commands::is_unsent(sockets, id, request, attempt)
            })
        });
        self.carry_out();
    }

    /// Whether a shutdown is complete; to be asked after every turn.
    pub fn stopped(&mut self) -> bool {
        let now = self.now();
        let Some(shutdown) = &self.shutdown else {
            return false;
        };
        match shutdown.next_step(now) {
            Step::Wait => false,
            Step::CloseIdle => {
                self.close_idle_clients();
                self.clients == 0 && !self.sockets.is_listening()
            }
            Step::Exit => {
                self.answer_last_requests();
                true
            }
        }
    }

    /// Takes up a new configuration (SIGHUP): its coordinator is followed from the next poll on; all else goes on as it was.
    pub fn reload(&mut self) {
        // Reading anything but a regular file could block for ever.
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
