//! Connections to workers and the attempts on them. What each end proves is the table in
//! `quartzdrift_platform::attempt_outcome`; which connection carries an attempt is chosen in `quartzdrift_platform::connections`.
use super::{Attempts, Node, Peer, RequestContext};
use quartzdrift_http::links::{Link, LinkId, Links};
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_platform::attempt_outcome::{self, ConnectionLoss};
use quartzdrift_platform::connection_choice::{self, ConnectionChoice};
use quartzdrift_platform::frame::{self, Code};
use quartzdrift_platform::report;
use quartzdrift_scheduler::interface::{CacheResult, RequestId};
use rustix::io::Errno;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Attempts that a connection carries where the settings tell nothing.
const DEFAULT_STREAMS: usize = 32;
const DEFAULT_CONNECT: Duration = Duration::from_millis(250);
const DEFAULT_KEEPALIVE: Duration = Duration::from_secs(10);
/// Part of the workers' own idle time after which we close a connection ourselves: theirs never crosses a command.
const KEEPALIVE_FRACTION: f64 = 0.8;
/// Connections that a command may be lost on without having left; then the worker counts as unreachable.
const MAX_LOST_CONNECTIONS: u32 = 3;

/// Ids that a connection remembers to have carried; a second answer comes milliseconds after the first.
const MAX_RECENT_IDS: usize = 32;

pub(super) struct Worker {
    address: SocketAddr,
    /// Its most recent start, as told.
    started: Option<Duration>,
    connections: Vec<LinkId>,
}

/// An attempt on a connection, with what is needed to send it again where it never left.
struct Command {
    request: RequestId,
    attempt: u32,
    function: Rc<str>,
    until: Duration,
    context: Rc<RequestContext>,
    /// Connections that were lost under it.
    lost_connections: u32,
    /// Where its frame lies in all that the connection sends; nothing while the connection is not up.
    frame_span: Option<(u64, u64)>,
}

pub(crate) struct WorkerConnection {
    worker: Rc<str>,
    phase: ConnectionPhase,
    /// Since when nothing is open on it.
    idle_since: Duration,
    commands: Vec<Command>,
    /// The last ids that it carried: an answer that comes late or twice under one of them could not be told from
    /// that of the next command under it.
    recent_ids: VecDeque<u64>,
}

impl WorkerConnection {
    /// Where among its commands an attempt stands.
    fn position_of(&self, request: RequestId, attempt: u32) -> Option<usize> {
        self.commands
            .iter()
            .position(|c| (c.request, c.attempt) == (request, attempt))
    }
}

/// Whether commands are written to a connection at once, or wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    Connecting,
    /// It has lain idle and is asked whether it still works.
    Verifying,
    Up,
}

fn connection(links: &mut Links<Node, Peer>, id: LinkId) -> Option<&mut WorkerConnection> {
    match &mut links.get_mut(id)?.state {
        Peer::WorkerConnection(connection) => Some(connection),
        Peer::Client(_) => None,
    }
}

/// Whether any byte of an attempt has left.
pub(super) fn has_left(
    attempts: &Attempts,
    links: &Links<Node, Peer>,
    request: RequestId,
    attempt: u32,
) -> bool {
    let link = attempts.get(&(request, attempt)).and_then(|&id| links.get(id));
    let Some((link, Peer::WorkerConnection(connection))) = link.map(|link| (link, &link.state)) else {
        return true;
    };
    let Some(at) = connection.position_of(request, attempt) else {
        return true;
    };
    connection.commands[at]
        .frame_span
        .is_some_and(|(from, _)| from < link.left())
}

impl Node {
    /// Returns what [`Node::worker_gone`] does, where the worker has moved or was started again.
    pub(super) fn worker_listed(
        &mut self,
        uid: &str,
        address: SocketAddr,
        started: Option<Duration>,
    ) -> Vec<(RequestId, u32)> {
        let other = |of: &Worker| (of.address, of.started) != (address, started);
        let before = if self.workers.get(uid).is_some_and(other) {
            self.worker_gone(uid)
        } else {
            Vec::new()
        };
        self.workers.entry(uid.into()).or_insert(Worker {
            address,
            started,
            connections: Vec::new(),
        });
        before
    }

    /// Returns the attempts on connections to the worker: what of them has left goes on to its end, the rest must be
    /// placed anew once the an update is known.
    pub(super) fn worker_gone(&mut self, uid: &str) -> Vec<(RequestId, u32)> {
        let Some(worker) = self.workers.remove(uid) else {
            return Vec::new();
        };
        let mut out = Vec::new();
        for id in worker.connections {
            self.close_if_idle(id);
            let of = connection(&mut self.links, id)
                .into_iter()
                .flat_map(|connection| &connection.commands);
            out.extend(of.map(|command| (command.request, command.attempt)));
        }
        out
    }

    pub(super) fn close_idle(&mut self, worker: &str) {
        let connections = self
            .workers
            .get(worker)
            .map(|worker| worker.connections.clone())
            .unwrap_or_default();
        connections.into_iter().for_each(|id| self.close_if_idle(id));
    }

    fn close_if_idle(&mut self, id: LinkId) {
        if connection(&mut self.links, id).is_some_and(|connection| connection.commands.is_empty()) {
            self.close_connection(id);
        }
    }

    /// Takes a connection out of all tables; what was on it is the caller's.
    fn close_connection(&mut self, id: LinkId) -> Vec<Command> {
        let Some(Peer::WorkerConnection(connection)) = self.links.close(id) else {
            return Vec::new();
        };
        self.connections -= 1;
        if let Some(worker) = self.workers.get_mut(&connection.worker) {
            worker.connections.retain(|of| *of != id);
        }
        for command in &connection.commands {
            self.attempts.remove(&(command.request, command.attempt));
        }
        connection.commands
    }

    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        worker: &Rc<str>,
        function: Rc<str>,
        wait: Duration,
        context: Rc<RequestContext>,
    ) {
        let now = self.now();
        if !self.request_table.is_open(request) {
            // Its client has left since the request table said so, in the same turn.
            return self.request_table.attempt_recalled(now, request, attempt);
        }
        self.counts.attempts += 1;
        tracing::trace!(request, attempt, %worker, %function, "execution sent");
        let until = now + wait;
        let command = Command {
            request,
            attempt,
            function,
            until,
            context,
            lost_connections: 0,
            frame_span: None,
        };
        self.send(worker, command);
    }

    /// Puts a command on a connection of its worker.
    fn send(&mut self, worker: &Rc<str>, mut command: Command) {
        let id = match self.connection_for(worker, command.context.id) {
            Ok(id) => id,
            Err(why) => {
                let (request, attempt) = (command.request, command.attempt);
                // Whoever carries out the request table's words hears of it next.
                return self.request_table.attempt_ended(
                    self.now(),
                    request,
                    attempt,
                    AttemptResult::silent(attempt_outcome::from_loss(why)),
                );
            }
        };
        self.attempts.insert((command.request, command.attempt), id);
        let now = self.now();
        let name = &self.config.settings.request_classes[command.context.request_class as usize].name;
        let of = connection(&mut self.links, id).map(|connection| {
            (
                connection.phase,
                connection.commands.is_empty(),
                connection.idle_since,
            )
        });
        match of {
            Some((ConnectionPhase::Up, true, idle_since))
                if connection_choice::needs_verification(now.saturating_sub(idle_since)) =>
            {
                self.verify_connection(id, command.context.id);
            }
            Some((ConnectionPhase::Up, ..)) => {
                write_command(&mut self.links, id, name, &mut command, now);
                self.links.set_deadline(id, None);
            }
            Some((ConnectionPhase::Connecting | ConnectionPhase::Verifying, ..)) | None => {}
        }
        if let Some(connection) = connection(&mut self.links, id) {
            connection.commands.push(command);
        }
    }

    /// Asks a connection whether it works: until it says so nothing is written to it that might run.
    fn verify_connection(&mut self, id: LinkId, ask: u64) {
        let Some(of) = connection(&mut self.links, id) else {
            return;
        };
        of.phase = ConnectionPhase::Verifying;
        if let Some(output) = self.links.output(id) {
            frame::write(output, frame::FROM_SCHEDULER, frame::ASK_ALIVE, ask, b"", b"");
        }
        self.links.set_deadline(id, Some(self.connect_timeout()));
    }

    fn connect_timeout(&self) -> Duration {
        let told = self.config.settings.allowed.connect_timeout;
        // No connection is there in no time at all.
        told.filter(|told| !told.is_zero()).unwrap_or(DEFAULT_CONNECT)
    }

    /// A connection to a worker for a command under the id `wanted`, or what it proves that there is none.
    fn connection_for(&mut self, worker: &Rc<str>, wanted: u64) -> Result<LinkId, ConnectionLoss> {
        let streams = self
            .config
            .settings
            .allowed
            .streams_per_connection
            .map_or(DEFAULT_STREAMS, |n| n.max(1) as usize);
        loop {
            let of = self.workers.get(worker).ok_or(ConnectionLoss::NotConnected)?;
            let (address, ids) = (of.address, of.connections.clone());
            let seen = |id: &LinkId| match self.links.get(*id).map(|link| &link.state) {
                Some(Peer::WorkerConnection(connection)) if !connection.recent_ids.contains(&wanted) => {
                    connection_choice::ConnectionState {
                        open: connection.commands.len(),
                        up: connection.phase == ConnectionPhase::Up,
                    }
                }
                Some(Peer::WorkerConnection(_) | Peer::Client(_)) | None => {
                    connection_choice::ConnectionState {
                        open: usize::MAX,
                        up: false,
                    }
                }
            };
            let seen: Vec<connection_choice::ConnectionState> = ids.iter().map(seen).collect();
            let room = || self.connections < self.budget.workers || self.close_longest_idle(worker);
            match connection_choice::choose(&seen, streams, room) {
                ConnectionChoice::Use(at) => {
                    // One that the worker has closed meanwhile looks writable: what is sent there would be in doubt.
                    if seen[at].open == 0 && seen[at].up {
                        self.links.look(ids[at]);
                        if self
                            .links
                            .get(ids[at])
                            .is_none_or(|link| link.ended() || !link.input.is_empty())
                        {
                            self.close_connection(ids[at]);
                            continue;
                        }
                    }
                    return Ok(ids[at]);
                }
                ConnectionChoice::Connect => {
                    let (worker, phase, idle_since) =
                        (worker.clone(), ConnectionPhase::Connecting, Duration::ZERO);
                    let (commands, recent_ids) = (Vec::new(), VecDeque::new());
                    let connection = WorkerConnection {
                        worker: worker.clone(),
                        phase,
                        idle_since,
                        commands,
                        recent_ids,
                    };
                    let id = self
                        .links
                        .connect(address, Peer::WorkerConnection(connection))
                        .map_err(|e| loss_of_connect_error(&e))?;
                    self.connections += 1;
                    self.counts.connections += 1;
                    self.links.set_deadline(id, Some(self.connect_timeout()));
                    if let Some(of) = self.workers.get_mut(&worker) {
                        of.connections.push(id);
                    }
                    return Ok(id);
                }
                ConnectionChoice::Full => return Err(ConnectionLoss::NoConnectionLeft),
            }
        }
    }

    /// With all descriptors of the workers' side in use: closes the connection of another worker that has rested longest.
    fn close_longest_idle(&mut self, but: &Rc<str>) -> bool {
        let idle_since = |(id, link): (LinkId, &Link<Peer>)| match &link.state {
            Peer::WorkerConnection(connection) => {
                let idle = connection.phase == ConnectionPhase::Up
                    && connection.commands.is_empty()
                    && connection.worker != *but;
                idle.then_some((connection.idle_since, id))
            }
            Peer::Client(_) => None,
        };
        let Some((_, id)) = self.links.iter().filter_map(idle_since).min() else {
            return false;
        };
        self.close_connection(id);
        true
    }

    /// Tells the worker that nobody waits for an attempt any more, or takes it back where it has not left.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        if self.recall_unsent(request, attempt) {
            return;
        }
        let Some(id) = self.attempts.remove(&(request, attempt)) else {
            return;
        };
        let Some(connection) = connection(&mut self.links, id) else {
            return;
        };
        let Some(command) = connection
            .position_of(request, attempt)
            .map(|at| connection.commands.swap_remove(at))
        else {
            return;
        };
        if let Some(output) = self.links.output(id) {
            frame::write(
                output,
                frame::FROM_SCHEDULER,
                frame::GIVE_UP,
                command.context.id,
                b"",
                b"",
            );
        }
        self.mark_idle(id);
    }

    /// Takes an attempt off its connection if it cannot have reached its worker: nothing of it has left, or a part, and
    /// its connection, which then is of no further use, carries nothing else.
    pub(super) fn recall_unsent(&mut self, request: RequestId, attempt: u32) -> bool {
        let Some(&id) = self.attempts.get(&(request, attempt)) else {
            return false;
        };
        let Some(link) = self.links.get_mut(id) else {
            return false;
        };
        let Peer::WorkerConnection(connection) = &link.state else {
            return false;
        };
        let Some(at) = connection.position_of(request, attempt) else {
            return false;
        };
        let (frame_span, alone) = (connection.commands[at].frame_span, connection.commands.len() == 1);
        if frame_span.is_some_and(|(from, to)| !link.take_back(from, to)) {
            let partly = frame_span.is_some_and(|(_, to)| link.left() < to);
            if partly && alone {
                self.close_connection(id);
            }
            return partly && alone;
        }
        let broken = link.is_broken();
        if let Peer::WorkerConnection(connection) = &mut link.state {
            connection.commands.swap_remove(at);
            // On a link that broke nothing moves up: all that waited was dropped.
            let frame_span = frame_span.filter(|_| !broken);
            for (from, to) in connection
                .commands
                .iter_mut()
                .filter_map(|command| command.frame_span.as_mut())
            {
                let taken = frame_span
                    .filter(|frame_span| frame_span.0 < *from)
                    .map_or(0, |frame_span| frame_span.1 - frame_span.0);
                (*from, *to) = (*from - taken, *to - taken);
            }
        }
        self.attempts.remove(&(request, attempt));
        self.mark_idle(id);
        true
    }

    pub(super) fn recall_attempt(&mut self, request: RequestId, attempt: u32) {
        if self.recall_unsent(request, attempt) {
            self.request_table.attempt_recalled(self.now(), request, attempt);
        }
    }

    /// A connection with nothing open on it is kept for a while, unless its worker has gone.
    fn mark_idle(&mut self, id: LinkId) {
        let now = self.now();
        let idle_since = |connection: &&mut WorkerConnection| {
            connection.phase == ConnectionPhase::Up && connection.commands.is_empty()
        };
        let Some(of) = connection(&mut self.links, id).filter(idle_since) else {
            return;
        };
        of.idle_since = now;
        let listed = self
            .workers
            .get(&of.worker)
            .is_some_and(|worker| worker.connections.contains(&id));
        if !listed {
            self.links.flush_one(id);
            self.close_connection(id);
            return;
        }
        let keep = self
            .config
            .settings
            .allowed
            .keepalive
            .unwrap_or(DEFAULT_KEEPALIVE);
        self.links
            .set_deadline(id, Some(keep.mul_f64(KEEPALIVE_FRACTION)));
    }

    pub(super) fn connection_overdue(&mut self, id: LinkId) {
        if self.links.deadline(id).is_some() {
            // It has a new one: something was put on it since it was found overdue, in the same turn.
            return;
        }
        match connection(&mut self.links, id).map(|connection| connection.phase) {
            Some(ConnectionPhase::Up) => self.close_if_idle(id),
            Some(ConnectionPhase::Verifying) => {
                // Its other idle connections are as silent: whether the worker is there, a new connection tells.
                let worker = connection(&mut self.links, id).map(|connection| connection.worker.clone());
                worker.into_iter().for_each(|worker| self.close_idle(&worker));
                self.connection_lost(id, ConnectionLoss::NotSent);
            }
            Some(ConnectionPhase::Connecting) => self.connection_lost(id, ConnectionLoss::NotConnected),
            None => {}
        }
    }

    /// A connection is of no further use: each attempt on it ends by what that proves. `unsent`: what it proves of a
    /// command that has not left whole.
    fn connection_lost(&mut self, id: LinkId, unsent: ConnectionLoss) {
        let Some(link) = self.links.get(id) else { return };
        let left = link.left();
        let Peer::WorkerConnection(connection) = &link.state else {
            return;
        };
        let worker = connection.worker.clone();
        // Not to a worker that drains, has gone or was started again since.
        let there = self.request_table.is_up(&worker)
            && self
                .workers
                .get(&worker)
                .is_some_and(|w| w.connections.contains(&id));
        let commands = self.close_connection(id);
        self.counts.connections_lost += u64::from(!commands.is_empty());
        for mut command in commands {
            let how = match command.frame_span {
                Some((_, to)) if to <= left => ConnectionLoss::Sent,
                Some(_) | None => unsent,
            };
            command.lost_connections += 1;
            let wanted = self.request_table.is_open(command.request) && command.until > self.now();
            if how == ConnectionLoss::NotSent
                && command.lost_connections < MAX_LOST_CONNECTIONS
                && there
                && wanted
            {
                command.frame_span = None;
                self.send(&worker, command);
                continue;
            }
            tracing::debug!(request = command.request, %worker, ?how, "lane lost under an execution");
            let ended = AttemptResult::silent(attempt_outcome::from_loss(how));
            self.request_table
                .attempt_ended(self.now(), command.request, command.attempt, ended);
        }
        self.carry_out();
    }

    pub(super) fn drive_connection(&mut self, id: LinkId) {
        let Some(of) = connection(&mut self.links, id) else {
            return;
        };
        if of.phase == ConnectionPhase::Connecting {
            match self.links.connected(id) {
                Some(Ok(())) => self.connection_established(id),
                Some(Err(e)) => {
                    return match e.kind() {
                        // Something is there and took the connection; it is not down.
                        io::ErrorKind::ConnectionReset => self.connection_lost(id, ConnectionLoss::NotSent),
                        _ => self.connection_lost(id, ConnectionLoss::NotConnected),
                    };
                }
                None => return,
            }
        }
        self.links.flush_one(id);
        self.links.read(id);
        self.read_answers(id);
    }

    fn connection_established(&mut self, id: LinkId) {
        self.links.set_deadline(id, None);
        let now = self.now();
        let Some(of) = connection(&mut self.links, id) else {
            return;
        };
        of.phase = ConnectionPhase::Up;
        let mut commands = std::mem::take(&mut of.commands);
        for command in &mut commands {
            let name = &self.config.settings.request_classes[command.context.request_class as usize].name;
            write_command(&mut self.links, id, name, command, now);
        }
        if let Some(of) = connection(&mut self.links, id) {
            of.commands = commands;
        }
        self.mark_idle(id);
    }

    /// Reads all answers that are whole.
    fn read_answers(&mut self, id: LinkId) {
        let mut ended = Vec::new();
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let left = link.left();
        let Peer::WorkerConnection(of) = &mut link.state else {
            return;
        };
        let (mut used, mut proved) = (0, false);
        let unreadable = loop {
            let answer = match frame::read(&link.input[used..]) {
                Ok(Some(answer)) => answer,
                Ok(None) => break None,
                Err(why) => break Some(why),
            };
            used += answer.length;
            let Some(outcome) = attempt_outcome::from_answer(answer.code) else {
                proved |= of.phase == ConnectionPhase::Verifying;
                continue;
            };
            let asked =
                |c: &Command| c.context.id == answer.id && c.frame_span.is_some_and(|(_, to)| to <= left);
            let Some(at) = of.commands.iter().position(asked) else {
                // A second copy, one under an unknown id, or one that was given up, or has not left yet.
                self.counts.unmatched += 1;
                continue;
            };
            let command = of.commands.swap_remove(at);
            let report = report::read(answer.fields, &self.config.settings.report_fields);
            let body = (answer.code == Code::Done).then(|| answer.body.to_vec());
            ended.push((
                command,
                AttemptResult {
                    outcome,
                    cache_result: CacheResult::Unknown,
                    concurrency: None,
                    report,
                },
                body,
            ));
        };
        link.consume(used);
        let over = link.ended() || unreadable.is_some();
        for (command, end, body) in ended {
            self.attempts.remove(&(command.request, command.attempt));
            tracing::trace!(request = command.request, attempt = command.attempt, outcome = ?end.outcome, "ended");
            if !over {
                self.mark_idle(id);
            }
            self.pending_response = body.map(|body| (command.request, body));
            self.request_table
                .attempt_ended(self.now(), command.request, command.attempt, end);
            self.carry_out();
            self.pending_response = None;
        }
        if let Some(why) = unreadable {
            self.counts.unreadable += 1;
            tracing::debug!(?why, "an answer cannot be read");
        }
        match () {
            () if over => self.connection_lost(id, ConnectionLoss::NotSent),
            () if proved => self.connection_established(id),
            () => {}
        }
    }
}

/// What it proves that a connection could not even be begun: the system may have no descriptor or port for us.
fn loss_of_connect_error(error: &io::Error) -> ConnectionLoss {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::ADDRNOTAVAIL | Errno::NOBUFS | Errno::NOMEM) => {
            ConnectionLoss::NoConnectionLeft
        }
        Some(_) | None => ConnectionLoss::NotConnected,
    }
}

/// Writes a command, and notes where its frame lies in all that the connection sends.
fn write_command(
    links: &mut Links<Node, Peer>,
    id: LinkId,
    request_class: &str,
    command: &mut Command,
    now: Duration,
) {
    let Some(from) = links.get(id).map(Link::end) else {
        return;
    };
    let left = command.until.saturating_sub(now).as_millis().max(1);
    let (code, context) = (frame::EXECUTE, &command.context);
    let replay = context
        .idempotency_key
        .as_ref()
        .map(|of| format!(",replay={of}"))
        .unwrap_or_default();
    let fields = format!(
        "profile={request_class},thing={}{replay},max={left}",
        command.function
    );
    let Some(output) = links.output(id) else { return };
    frame::write(
        output,
        frame::FROM_SCHEDULER,
        code,
        context.id,
        fields.as_bytes(),
        &context.body,
    );
    command.frame_span = links.get(id).map(|link| (from, link.end()));
    if let Some(connection) = connection(links, id) {
        connection.recent_ids.truncate(MAX_RECENT_IDS - 1);
        connection.recent_ids.push_front(context.id);
    }
}
