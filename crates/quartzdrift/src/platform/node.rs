//! The state of the event loop: passes socket events to the request table, and carries out the table's
//! outputs.
use super::client_connection::Client;
use super::coordinator::Coordinator;
use super::counts::Counts;
use super::memory::{MemoryLog, RequestCharge};
use super::notices::NoticeRateLimit;
use super::shutdown::{Shutdown, ShutdownStep};
use super::worker_connection::{Command, WorkerConnection};
use super::workers::Worker;
use super::{commands, run};
use crate::attempts::{AttemptCarriers, OutputHandler};
use crate::clock::Clock;
use crate::loop_delay::{EventWait, LoopDelay};
use calloop::LoopHandle;
use quartzdrift_http::sockets::{SocketId, Sockets};
use quartzdrift_http::{HasHttp, Http, HttpEvent, Limits};
use quartzdrift_lifecycle::{Output, RequestTable};
use quartzdrift_platform::budget::ConnectionBudget;
use quartzdrift_platform::config::Config;
use quartzdrift_platform::memory_budget::MemoryBudget;
use quartzdrift_scheduler::interface::{EndpointListKind, Outcome, RequestId};
use std::cell::Cell;
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two debug lines with the sizes of the tables.
const TABLE_SIZES_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time since the last socket check with which data is still sent. After a longer time, the loop
/// reads its clients first: no attempt may start for a client that has disconnected since, and the remaining
/// time of the other clients' requests has become shorter.
const MAX_SOCKET_CHECK_AGE: Duration = Duration::from_millis(40);

/// State of a socket, by the kind of its peer.
pub(crate) enum Peer {
    /// A client over FastCGI.
    Client(Client),
    /// A worker over binary frames.
    WorkerConnection(WorkerConnection),
}

/// The data that is sent to workers for a request, and the client that waits for its answer. It is the
/// payload of the request table.
#[derive(Debug)]
pub struct RequestContext {
    /// Id that the client chose for the request.
    pub(super) client_request_id: u64,
    /// The client's connection, and the FastCGI request id on it.
    pub(super) client: SocketId,
    pub(super) request_id: u16,
    /// Index of the request class in the settings.
    pub(super) request_class: u32,
    /// Key by which workers recognize a repeat of the request.
    pub(super) idempotency_key: Option<String>,
    pub(super) body: Vec<u8>,
    /// Counts the request in the memory budget as long as the body is kept.
    pub(super) _charge: RequestCharge,
}

/// One scheduler on one event loop.
pub struct Node {
    pub(super) config: Config,
    /// File from which [`Node::reload`] reads a new configuration.
    config_path: PathBuf,
    pub(super) clock: Clock,
    pub(super) loop_delay: LoopDelay,
    pub(super) sockets: Sockets<Node, Peer>,
    /// HTTP calls, all of them to the coordinator.
    pub(super) http: Http<Node>,
    pub(super) request_table: RequestTable<Rc<RequestContext>>,
    pub(super) budget: ConnectionBudget,
    pub(super) memory: MemoryBudget,
    pub(super) memory_log: MemoryLog,
    /// Bytes of requests in flight whose clients have disconnected.
    pub(super) unowned_bytes: Rc<Cell<usize>>,
    /// Open connections of clients.
    pub(super) client_count: usize,
    /// Earliest time at which a connection that still waits to be accepted may have arrived.
    pub(super) unaccepted_since: Option<Instant>,
    /// Clients whose connections are closed once their output is flushed.
    pub(super) flushing_clients: Vec<SocketId>,
    /// Open connections to workers.
    pub(super) worker_connection_count: usize,
    /// Listed workers by uid.
    pub(super) workers: HashMap<Rc<str>, Worker>,
    /// The connection of each attempt in flight.
    pub(super) attempts: AttemptCarriers<SocketId>,
    /// Open requests by the id that their client chose.
    pub(super) open_by_client_id: HashMap<u64, RequestId>,
    /// The request of the attempt that is being ended, and the body of the worker's answer.
    pub(super) pending_response: Option<(RequestId, Vec<u8>)>,
    pub(super) coordinator: Coordinator,
    pub(super) started_at: Duration,
    pub(super) notice_limit: NoticeRateLimit,
    /// Present once a shutdown has started.
    pub(super) shutdown: Option<Shutdown>,
    /// When the sizes of the tables were last logged.
    table_sizes_logged_at: Duration,
    /// Counts since the start.
    pub counts: Counts,
}

impl HasHttp for Node {
    fn http(&mut self) -> &mut Http<Node> {
        &mut self.http
    }
}

impl OutputHandler<Rc<RequestContext>> for Node {
    fn request_table(&mut self) -> &mut RequestTable<Rc<RequestContext>> {
        &mut self.request_table
    }

    fn handle_output(&mut self, output: Output<Rc<RequestContext>>) {
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
                    // Counted from the time of the table's decision: the system may not have scheduled the
                    // process since then.
                    deadline: self.request_table.now() + timeout,
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
            } => self.send_final_answer(request, &payload, response),
            Output::CloseIdleConnections { worker } => self.close_idle_connections(&worker),
            Output::Notice(notice) => self.log_notice(notice),
            Output::Log { text } => tracing::info!(text, "decision"),
            // The platform's settings allow neither load commands nor health checks.
            Output::CheckHealth { command, .. } | Output::Load { command, .. } => {
                self.request_table
                    .command_ended(self.now(), command, Outcome::NeverSent, 0, Vec::new());
            }
            // There are no commands to recall, abandon or unload, and no peers; a poll of the coordinator is
            // always open.
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
    /// Creates a scheduler with the list of workers in its configuration. A new configuration is read from
    /// `path`.
    pub fn new(config: Config, path: PathBuf, handle: LoopHandle<'static, Node>) -> Node {
        let limits = Limits {
            connections: 0,
            connections_per_server: 4,
            ..Limits::default()
        };
        let budget = ConnectionBudget::divide(config.max_descriptors);
        let mut node = Node {
            config_path: path,
            clock: Clock::start(),
            loop_delay: LoopDelay::start(Instant::now()),
            sockets: Sockets::new(handle.clone(), |node| &mut node.sockets),
            http: Http::new(handle, limits),
            request_table: RequestTable::new(&config.settings, config.seed),
            budget,
            memory: MemoryBudget::divide(config.memory_mb, budget.clients),
            memory_log: MemoryLog::default(),
            unowned_bytes: Rc::default(),
            client_count: 0,
            unaccepted_since: None,
            flushing_clients: Vec::new(),
            worker_connection_count: 0,
            workers: HashMap::new(),
            attempts: AttemptCarriers::default(),
            open_by_client_id: HashMap::new(),
            pending_response: None,
            coordinator: Coordinator::new(config.coordinator),
            started_at: Duration::ZERO,
            notice_limit: NoticeRateLimit::default(),
            shutdown: None,
            table_sizes_logged_at: Duration::ZERO,
            counts: Counts::default(),
            config,
        };
        node.started_at = node.now();
        let known = node.config.known_events.clone();
        node.request_table
            .update_endpoints(node.now(), EndpointListKind::Snapshot, Vec::new());
        node.apply_configured_list(known);
        node.carry_out();
        node
    }

    /// Time since 1970, by a monotonic clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Accepts clients from a listener.
    ///
    /// # Errors
    /// The system or the event loop does not accept the listener.
    pub fn listen(&mut self, listener: std::net::TcpListener) -> std::io::Result<()> {
        self.sockets.listen(listener)
    }

    /// Starts the wait for events before the next [`Node::turn`].
    pub fn next_wait(&self) -> EventWait {
        EventWait::begin(Instant::now(), self.poll_timeout())
    }

    /// Time until the next deadline, for which the loop may wait for events.
    fn poll_timeout(&self) -> Duration {
        if self.http.has_events() {
            return Duration::ZERO;
        }
        let shutdown = self
            .shutdown
            .as_ref()
            .and_then(|shutdown| shutdown.next_deadline(self.now()));
        let deadlines = [
            self.request_table.next_deadline(),
            Some(self.coordinator.next_deadline()),
            self.accept_start().filter(|at| *at > self.now()),
            shutdown,
        ];
        self.clock
            .time_until_next(deadlines, [self.sockets.next_due(), self.http.next_deadline()])
    }

    /// Processes the events of a wait, and every deadline that has passed.
    pub fn turn(&mut self, wait: EventWait) {
        self.loop_delay.wait_ended(Instant::now(), wait);
        self.process_poll_results();
        self.accept_clients();
        self.process_ready_sockets();
        self.process_overdue_sockets();
        let now = self.now();
        // This runs before the deadlines of the request table. A request that arrived during the shutdown has
        // the same deadline in the table, and must be rejected instead of timing out if no byte of it was
        // sent.
        self.conclude_open_requests(now);
        self.process_request_deadlines(now);
        self.maintain_poll(now);
        self.log_table_sizes(now);
        self.log_memory_state(now);
        self.flush();
        self.close_flushed_clients();
    }

    /// Sends all buffered output. If the last socket check is older than [`MAX_SOCKET_CHECK_AGE`], because
    /// the turn was long or the system did not schedule the process, calls [`Node::catch_up`] first.
    pub(super) fn flush(&mut self) {
        while let Some(id) = self.sockets.next_to_flush() {
            if !self.flush_in_time(id) {
                self.catch_up();
            }
        }
    }

    /// Sends the buffered output of a socket while the last socket check is recent; returns whether it was
    /// recent enough. Output that was not sent remains for the next [`Node::flush`].
    pub(super) fn flush_in_time(&mut self, id: SocketId) -> bool {
        self.recall_overdue_commands(id, self.now());
        let limit = self.loop_delay.last_socket_check() + MAX_SOCKET_CHECK_AGE;
        self.sockets.flush_socket_until(id, Some(limit))
    }

    /// Processes changes since the turn began: clients that have disconnected, deadlines that have passed,
    /// and the shorter remaining time of commands that have not been sent yet.
    fn catch_up(&mut self) {
        self.loop_delay.sockets_checked(Instant::now());
        self.read_all_clients();
        self.process_request_deadlines(self.now());
        self.rewrite_unsent_commands();
    }

    fn process_poll_results(&mut self) {
        self.http.expire_connections(Instant::now());
        for event in self.http.take_events() {
            match event {
                HttpEvent::Response { call, response } => self.poll_answered(call, &response),
                HttpEvent::CallFailed { call, failure } => self.poll_error(call, failure),
                // The scheduler serves no HTTP, and no response is streamed.
                HttpEvent::Request { .. }
                | HttpEvent::ClientDisconnected { .. }
                | HttpEvent::ResponsePart { .. }
                | HttpEvent::ResponseEnd { .. } => {}
            }
        }
    }

    /// Processes clients before connections to workers: no command is sent for a client that has disconnected
    /// in the same turn.
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
                Some(Peer::Client(_)) => self.client_timed_out(id),
                Some(Peer::WorkerConnection(_)) => self.connection_timed_out(id),
                None => {}
            }
        }
    }

    fn process_request_deadlines(&mut self, now: Duration) {
        let is_due = self.request_table.next_deadline().is_some_and(|at| at <= now);
        if !is_due {
            return;
        }
        let (attempts, sockets) = (&self.attempts, &self.sockets);
        self.request_table.fire_timers(now, |request, attempt| {
            attempts.may_have_been_sent(request, attempt, |id| {
                commands::is_unsent(sockets, id, request, attempt)
            })
        });
        self.carry_out();
    }

    /// Logs the sizes of the tables at the debug level: those of the request table beside those of the
    /// sockets, which must agree.
    fn log_table_sizes(&mut self, now: Duration) {
        let is_due = now >= self.table_sizes_logged_at + TABLE_SIZES_LOG_INTERVAL;
        if !is_due || !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        self.table_sizes_logged_at = now;
        let [clients, workers, connections, attempts_on_sockets, open_ids] = self.table_sizes();
        let scheduler = self.request_table.scheduler_table_sizes();
        tracing::debug!(
            clients,
            workers,
            workers_up = self.request_table.workers_up(),
            connections,
            attempts_on_sockets,
            attempts_in_flight = self.request_table.attempts_in_flight(),
            open_ids,
            open_requests = self.request_table.open_requests(),
            scheduler_requests = scheduler.open_requests,
            "table sizes"
        );
        tracing::debug!(
            worker_names = scheduler.workers,
            function_names = scheduler.functions,
            forgotten_functions = scheduler.forgotten_functions,
            cache_entries = scheduler.cache_entries,
            "scheduler table sizes"
        );
        self.log_held_bytes();
    }

    /// Carries out the outputs of the request table until none are left.
    pub(super) fn carry_out(&mut self) {
        self.handle_outputs();
    }

    /// Numbers of clients, workers, connections to workers, attempts in flight, and open client request ids.
    pub fn table_sizes(&self) -> [usize; 5] {
        [
            self.client_count,
            self.workers.len(),
            self.worker_connection_count,
            self.attempts.len(),
            self.open_by_client_id.len(),
        ]
    }

    /// Starts a graceful shutdown (SIGTERM): new clients are still served for a while, and the process ends
    /// once every request is answered, before SIGKILL is due.
    pub fn start_shutdown(&mut self) {
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
            "shutdown started: new clients are served until the drain window ends"
        );
    }

    /// Gives every open request its final answer once the shutdown's answer deadline has passed.
    fn conclude_open_requests(&mut self, now: Duration) {
        let is_due = self
            .shutdown
            .as_ref()
            .is_some_and(|shutdown| now >= shutdown.answer_by());
        if !is_due || self.request_table.open_requests() == 0 {
            return;
        }
        tracing::info!(
            open = self.request_table.open_requests(),
            "shutdown: answer deadline reached, open requests are rejected or failed"
        );
        let (attempts, sockets) = (&self.attempts, &self.sockets);
        self.request_table.shut_down(now, |request, attempt| {
            attempts.may_have_been_sent(request, attempt, |id| {
                commands::is_unsent(sockets, id, request, attempt)
            })
        });
        self.carry_out();
    }

    /// Carries out the current step of a shutdown, and returns whether the shutdown is complete. Call it
    /// after every turn.
    pub fn advance_shutdown(&mut self) -> bool {
        let now = self.now();
        let Some(shutdown) = &self.shutdown else {
            return false;
        };
        match shutdown.next_step(now) {
            ShutdownStep::Wait => false,
            ShutdownStep::CloseIdle => {
                self.close_idle_clients();
                self.client_count == 0 && !self.sockets.is_listening()
            }
            ShutdownStep::Exit => {
                self.answer_last_requests();
                true
            }
        }
    }

    /// Reloads the configuration (SIGHUP). The next poll goes to its coordinator; all other settings stay
    /// unchanged.
    pub fn reload(&mut self) {
        // Reading anything but a regular file, such as a FIFO, could block the event loop forever.
        let is_regular_file = std::fs::metadata(&self.config_path)
            .map(|metadata| metadata.is_file())
            .unwrap_or(true);
        let loaded = match is_regular_file {
            true => run::load(&self.config_path),
            false => Err(format!("{} is not a regular file", self.config_path.display())),
        };
        match loaded.and_then(|bytes| quartzdrift_platform::config::parse(&bytes)) {
            Ok(config) => self.switch_coordinator(config.coordinator, config.known_events),
            Err(error) => tracing::warn!(
                why = error,
                "cannot reload the configuration, the current one stays in use"
            ),
        }
    }
}
