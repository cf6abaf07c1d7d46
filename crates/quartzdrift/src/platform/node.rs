//! The state of the event loop: passes socket events to the request table, and carries out the table's
//! outputs.
use super::client_connection::Client;
use super::coordinator::Coordinator;
use super::counts::Counts;
use super::memory::{MemoryLog, RequestCharge};
use super::notices::NoticeRateLimit;
use super::shutdown::{Shutdown, ShutdownStep};
use super::turn_times::{TurnTimer, TurnTimes};
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
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two debug lines with the sizes of the tables.
const TABLE_SIZES_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time in a turn after which no further ready client is read. The others are read in the next turns, before
/// those that were read in this one.
const MAX_CLIENTS_TIME: Duration = Duration::from_millis(5);
/// The same for clients that send without a pause. A short time keeps the turns of all others short.
const MAX_BACKLOG_TIME: Duration = Duration::from_millis(1);
/// Time in a turn after which no further ready connection to a worker is processed.
const MAX_WORKERS_TIME: Duration = Duration::from_millis(10);
/// Maximum bytes that are read from one socket at a time: several requests of a usual size.
const MAX_READ_BYTES: usize = 8 << 10;

/// The ready sockets of a turn, each queue in the order in which they became ready.
#[derive(Default)]
struct ReadySockets {
    clients: VecDeque<SocketId>,
    backlogged_clients: VecDeque<SocketId>,
    connections: VecDeque<SocketId>,
}

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
    /// Time until which a flush reads clients with unread input before it sends their commands.
    pub(super) verify_until: Instant,
    /// The client whose connection was looked at last to close it in a shutdown.
    pub(super) last_closing_client: Option<SocketId>,
    /// Connections to workers with commands whose clients have unread input.
    pub(super) withheld_connections: BTreeSet<SocketId>,
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
    turn_times: TurnTimes,
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
                    written_at: Duration::ZERO,
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
            sockets: Sockets::new(handle.clone(), |node| &mut node.sockets).with_max_read(MAX_READ_BYTES),
            http: Http::new(handle, limits),
            request_table: RequestTable::new(&config.settings, config.seed),
            budget,
            memory: MemoryBudget::divide(config.memory_mb, budget.clients),
            memory_log: MemoryLog::default(),
            unowned_bytes: Rc::default(),
            client_count: 0,
            unaccepted_since: None,
            flushing_clients: Vec::new(),
            verify_until: Instant::now(),
            last_closing_client: None,
            withheld_connections: BTreeSet::new(),
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
            turn_times: TurnTimes::default(),
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

    /// Processes the events of a wait, and every deadline that has passed. Each part takes a bounded time,
    /// whatever the peers send: what is left is processed in the next turns, in rotation.
    pub fn turn(&mut self, wait: EventWait) {
        self.loop_delay.wait_ended(Instant::now(), wait);
        let mut timer = TurnTimer::start();
        self.process_poll_results();
        self.accept_clients();
        timer.end_part(&mut self.turn_times.accept);
        self.process_ready_sockets();
        timer.end_part(&mut self.turn_times.sockets);
        self.process_overdue_sockets();
        let now = self.now();
        // This runs before the deadlines of the request table. A request that arrived during the shutdown has
        // the same deadline in the table, and must be rejected instead of timing out if no byte of it was
        // sent.
        self.conclude_open_requests(now);
        self.process_request_deadlines(now);
        self.maintain_poll(now);
        timer.end_part(&mut self.turn_times.deadlines);
        self.flush();
        self.close_flushed_clients();
        timer.end_part(&mut self.turn_times.flush);
        timer.end(&mut self.turn_times.turn);
        self.log_table_sizes(now);
        self.log_memory_state(now);
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

    /// Processes clients before connections to workers. Clients that had more input than was read in an
    /// earlier turn come after all others, so that a client that sends without a pause delays only itself.
    fn process_ready_sockets(&mut self) {
        let mut ready = ReadySockets::default();
        for id in self.sockets.take_ready() {
            match self.sockets.get(id).map(|socket| &socket.state) {
                Some(Peer::Client(client)) if client.is_backlogged => ready.backlogged_clients.push_back(id),
                Some(Peer::Client(_)) => ready.clients.push_back(id),
                Some(Peer::WorkerConnection(_)) => ready.connections.push_back(id),
                None => {}
            }
        }
        self.process_within(MAX_CLIENTS_TIME, &mut ready.clients, Node::drive_client);
        self.process_within(
            MAX_BACKLOG_TIME,
            &mut ready.backlogged_clients,
            Node::drive_client,
        );
        self.process_within(MAX_WORKERS_TIME, &mut ready.connections, Node::drive_connection);
        self.mark_unread_clients(ready.clients.iter().chain(&ready.backlogged_clients));
        for unprocessed in [ready.connections, ready.backlogged_clients, ready.clients] {
            self.sockets.queue_ready_first(unprocessed);
        }
    }

    /// Processes sockets in their order for a time, at least one, and removes them from the queue.
    fn process_within(
        &mut self,
        time: Duration,
        sockets: &mut VecDeque<SocketId>,
        process: fn(&mut Node, SocketId),
    ) {
        let end = Instant::now() + time;
        while let Some(id) = sockets.pop_front() {
            process(self, id);
            if Instant::now() >= end {
                return;
            }
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
            warming_workers = scheduler.warming_workers,
            "scheduler table sizes"
        );
        self.log_held_bytes();
        let longest = std::mem::take(&mut self.turn_times);
        tracing::debug!(
            turn = ?longest.turn,
            accept = ?longest.accept,
            sockets = ?longest.sockets,
            deadlines = ?longest.deadlines,
            flush = ?longest.flush,
            max_clients = self.counts.max_clients,
            max_worker_connections = self.counts.max_worker_connections,
            evictions = ?self.counts.evictions,
            client_checks = self.counts.client_checks,
            withheld_commands = self.counts.withheld_commands,
            "longest turn and its parts"
        );
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
