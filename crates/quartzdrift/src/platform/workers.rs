//! Lanes to workers and the attempts on them. What each end proves is the table in
//! `quartzdrift_platform::proof`; which lane carries an attempt is chosen in `quartzdrift_platform::lanes`.
use super::{Attempts, Node, Peer, Work};
use quartzdrift_http::links::{Link, LinkId, Links};
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_platform::frame::{self, Code};
use quartzdrift_platform::lanes::{self, Choice};
use quartzdrift_platform::proof::{self, Cut};
use quartzdrift_platform::report;
use quartzdrift_scheduler::interface::{CacheResult, RequestId};
use rustix::io::Errno;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Attempts that a lane carries where the settings tell nothing.
const DEFAULT_STREAMS: usize = 32;
const DEFAULT_CONNECT: Duration = Duration::from_millis(250);
const DEFAULT_KEEPALIVE: Duration = Duration::from_secs(10);
/// Part of the workers' own idle time after which we close a lane ourselves: theirs never crosses a command.
const KEEPALIVE_PART: f64 = 0.8;
/// Lanes that a command may be lost on without having left; then the worker counts as unreachable.
const MAX_LANES: u32 = 3;

/// Ids that a lane remembers to have carried; a second answer comes milliseconds after the first.
const MAX_CARRIED: usize = 32;

pub(super) struct Worker {
    address: SocketAddr,
    /// Its most recent start, as told.
    started: Option<Duration>,
    lanes: Vec<LinkId>,
}

/// An attempt on a lane, with what is needed to send it again where it never left.
struct Command {
    request: RequestId,
    attempt: u32,
    function: Rc<str>,
    until: Duration,
    work: Rc<Work>,
    /// Lanes that were lost under it.
    lost: u32,
    /// Where its frame lies in all that the lane sends; nothing while the lane is not up.
    span: Option<(u64, u64)>,
}

pub(crate) struct Lane {
    worker: Rc<str>,
    stage: Stage,
    /// Since when nothing is open on it.
    rests: Duration,
    commands: Vec<Command>,
    /// The last ids that it carried: an answer that comes late or twice under one of them could not be told from
    /// that of the next command under it.
    carried: VecDeque<u64>,
}

impl Lane {
    /// Where among its commands an attempt stands.
    fn place(&self, request: RequestId, attempt: u32) -> Option<usize> {
        self.commands
            .iter()
            .position(|c| (c.request, c.attempt) == (request, attempt))
    }
}

/// Whether commands are written to a lane at once, or wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    /// It has lain idle and is asked whether it still works.
    Proving,
    Up,
}

fn lane(links: &mut Links<Node, Peer>, id: LinkId) -> Option<&mut Lane> {
    match &mut links.get_mut(id)?.state {
        Peer::Lane(lane) => Some(lane),
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
    let Some((link, Peer::Lane(lane))) = link.map(|link| (link, &link.state)) else {
        return true;
    };
    let Some(at) = lane.place(request, attempt) else {
        return true;
    };
    lane.commands[at].span.is_some_and(|(from, _)| from < link.left())
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
            lanes: Vec::new(),
        });
        before
    }

    /// Returns the attempts on lanes to the worker: what of them has left goes on to its end, the rest must be
    /// placed anew once the news is known.
    pub(super) fn worker_gone(&mut self, uid: &str) -> Vec<(RequestId, u32)> {
        let Some(worker) = self.workers.remove(uid) else {
            return Vec::new();
        };
        let mut out = Vec::new();
        for id in worker.lanes {
            self.close_if_idle(id);
            let of = lane(&mut self.links, id)
                .into_iter()
                .flat_map(|lane| &lane.commands);
            out.extend(of.map(|command| (command.request, command.attempt)));
        }
        out
    }

    pub(super) fn close_idle(&mut self, worker: &str) {
        let lanes = self
            .workers
            .get(worker)
            .map(|worker| worker.lanes.clone())
            .unwrap_or_default();
        lanes.into_iter().for_each(|id| self.close_if_idle(id));
    }

    fn close_if_idle(&mut self, id: LinkId) {
        if lane(&mut self.links, id).is_some_and(|lane| lane.commands.is_empty()) {
            self.close_lane(id);
        }
    }

    /// Takes a lane out of all tables; what was on it is the caller's.
    fn close_lane(&mut self, id: LinkId) -> Vec<Command> {
        let Some(Peer::Lane(lane)) = self.links.close(id) else {
            return Vec::new();
        };
        self.lanes -= 1;
        if let Some(worker) = self.workers.get_mut(&lane.worker) {
            worker.lanes.retain(|of| *of != id);
        }
        for command in &lane.commands {
            self.attempts.remove(&(command.request, command.attempt));
        }
        lane.commands
    }

    pub(super) fn execute(
        &mut self,
        request: RequestId,
        attempt: u32,
        worker: &Rc<str>,
        function: Rc<str>,
        wait: Duration,
        work: Rc<Work>,
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
            work,
            lost: 0,
            span: None,
        };
        self.send(worker, command);
    }

    /// Puts a command on a lane of its worker.
    fn send(&mut self, worker: &Rc<str>, mut command: Command) {
        let id = match self.lane_for(worker, command.work.id) {
            Ok(id) => id,
            Err(why) => {
                let (request, attempt) = (command.request, command.attempt);
                // Whoever carries out the request table's words hears of it next.
                return self.request_table.attempt_ended(
                    self.now(),
                    request,
                    attempt,
                    AttemptResult::silent(proof::cut(why)),
                );
            }
        };
        self.attempts.insert((command.request, command.attempt), id);
        let now = self.now();
        let name = &self.config.settings.request_classes[command.work.request_class as usize].name;
        let of = lane(&mut self.links, id).map(|lane| (lane.stage, lane.commands.is_empty(), lane.rests));
        match of {
            Some((Stage::Up, true, rests)) if lanes::must_prove(now.saturating_sub(rests)) => {
                self.prove_lane(id, command.work.id);
            }
            Some((Stage::Up, ..)) => {
                write_command(&mut self.links, id, name, &mut command, now);
                self.links.set_deadline(id, None);
            }
            Some((Stage::Connecting | Stage::Proving, ..)) | None => {}
        }
        if let Some(lane) = lane(&mut self.links, id) {
            lane.commands.push(command);
        }
    }

    /// Asks a lane whether it works: until it says so nothing is written to it that might run.
    fn prove_lane(&mut self, id: LinkId, ask: u64) {
        let Some(of) = lane(&mut self.links, id) else {
            return;
        };
        of.stage = Stage::Proving;
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

    /// A lane to a worker for a command under the id `wanted`, or what it proves that there is none.
    fn lane_for(&mut self, worker: &Rc<str>, wanted: u64) -> Result<LinkId, Cut> {
        let streams = self
            .config
            .settings
            .allowed
            .streams_per_connection
            .map_or(DEFAULT_STREAMS, |n| n.max(1) as usize);
        loop {
            let of = self.workers.get(worker).ok_or(Cut::NotConnected)?;
            let (address, ids) = (of.address, of.lanes.clone());
            let seen = |id: &LinkId| match self.links.get(*id).map(|link| &link.state) {
                Some(Peer::Lane(lane)) if !lane.carried.contains(&wanted) => lanes::Lane {
                    open: lane.commands.len(),
                    up: lane.stage == Stage::Up,
                },
                Some(Peer::Lane(_) | Peer::Client(_)) | None => lanes::Lane {
                    open: usize::MAX,
                    up: false,
                },
            };
            let seen: Vec<lanes::Lane> = ids.iter().map(seen).collect();
            let room = || self.lanes < self.budget.workers || self.spare_lane(worker);
            match lanes::choose(&seen, streams, room) {
                Choice::Use(at) => {
                    // One that the worker has closed meanwhile looks writable: what is sent there would be in doubt.
                    if seen[at].open == 0 && seen[at].up {
                        self.links.look(ids[at]);
                        if self
                            .links
                            .get(ids[at])
                            .is_none_or(|link| link.ended() || !link.input.is_empty())
                        {
                            self.close_lane(ids[at]);
                            continue;
                        }
                    }
                    return Ok(ids[at]);
                }
                Choice::Connect => {
                    let (worker, stage, rests) = (worker.clone(), Stage::Connecting, Duration::ZERO);
                    let (commands, carried) = (Vec::new(), VecDeque::new());
                    let lane = Lane {
                        worker: worker.clone(),
                        stage,
                        rests,
                        commands,
                        carried,
                    };
                    let id = self
                        .links
                        .connect(address, Peer::Lane(lane))
                        .map_err(|e| not_begun(&e))?;
                    self.lanes += 1;
                    self.counts.lanes += 1;
                    self.links.set_deadline(id, Some(self.connect_timeout()));
                    if let Some(of) = self.workers.get_mut(&worker) {
                        of.lanes.push(id);
                    }
                    return Ok(id);
                }
                Choice::Full => return Err(Cut::NoLane),
            }
        }
    }

    /// With all descriptors of the workers' side in use: closes the lane of another worker that has rested longest.
    fn spare_lane(&mut self, but: &Rc<str>) -> bool {
        let rests = |(id, link): (LinkId, &Link<Peer>)| match &link.state {
            Peer::Lane(lane) => {
                let idle = lane.stage == Stage::Up && lane.commands.is_empty() && lane.worker != *but;
                idle.then_some((lane.rests, id))
            }
            Peer::Client(_) => None,
        };
        let Some((_, id)) = self.links.iter().filter_map(rests).min() else {
            return false;
        };
        self.close_lane(id);
        true
    }

    /// Tells the worker that nobody waits for an attempt any more, or takes it back where it has not left.
    pub(super) fn give_up(&mut self, request: RequestId, attempt: u32) {
        if self.take_back(request, attempt) {
            return;
        }
        let Some(id) = self.attempts.remove(&(request, attempt)) else {
            return;
        };
        let Some(lane) = lane(&mut self.links, id) else {
            return;
        };
        let Some(command) = lane
            .place(request, attempt)
            .map(|at| lane.commands.swap_remove(at))
        else {
            return;
        };
        if let Some(output) = self.links.output(id) {
            frame::write(
                output,
                frame::FROM_SCHEDULER,
                frame::GIVE_UP,
                command.work.id,
                b"",
                b"",
            );
        }
        self.rest_lane(id);
    }

    /// Takes an attempt off its lane if it cannot have reached its worker: nothing of it has left, or a part, and
    /// its lane, which then is of no further use, carries nothing else.
    pub(super) fn take_back(&mut self, request: RequestId, attempt: u32) -> bool {
        let Some(&id) = self.attempts.get(&(request, attempt)) else {
            return false;
        };
        let Some(link) = self.links.get_mut(id) else {
            return false;
        };
        let Peer::Lane(lane) = &link.state else {
            return false;
        };
        let Some(at) = lane.place(request, attempt) else {
            return false;
        };
        let (span, alone) = (lane.commands[at].span, lane.commands.len() == 1);
        if span.is_some_and(|(from, to)| !link.take_back(from, to)) {
            let partly = span.is_some_and(|(_, to)| link.left() < to);
            if partly && alone {
                self.close_lane(id);
            }
            return partly && alone;
        }
        let broken = link.is_broken();
        if let Peer::Lane(lane) = &mut link.state {
            lane.commands.swap_remove(at);
            // On a link that broke nothing moves up: all that waited was dropped.
            let span = span.filter(|_| !broken);
            for (from, to) in lane
                .commands
                .iter_mut()
                .filter_map(|command| command.span.as_mut())
            {
                let taken = span
                    .filter(|span| span.0 < *from)
                    .map_or(0, |span| span.1 - span.0);
                (*from, *to) = (*from - taken, *to - taken);
            }
        }
        self.attempts.remove(&(request, attempt));
        self.rest_lane(id);
        true
    }

    pub(super) fn recall(&mut self, request: RequestId, attempt: u32) {
        if self.take_back(request, attempt) {
            self.request_table.attempt_recalled(self.now(), request, attempt);
        }
    }

    /// A lane with nothing open on it is kept for a while, unless its worker has gone.
    fn rest_lane(&mut self, id: LinkId) {
        let now = self.now();
        let rests = |lane: &&mut Lane| lane.stage == Stage::Up && lane.commands.is_empty();
        let Some(of) = lane(&mut self.links, id).filter(rests) else {
            return;
        };
        of.rests = now;
        let listed = self
            .workers
            .get(&of.worker)
            .is_some_and(|worker| worker.lanes.contains(&id));
        if !listed {
            self.links.flush_one(id);
            self.close_lane(id);
            return;
        }
        let keep = self
            .config
            .settings
            .allowed
            .keepalive
            .unwrap_or(DEFAULT_KEEPALIVE);
        self.links.set_deadline(id, Some(keep.mul_f64(KEEPALIVE_PART)));
    }

    pub(super) fn lane_overdue(&mut self, id: LinkId) {
        if self.links.deadline(id).is_some() {
            // It has a new one: something was put on it since it was found overdue, in the same turn.
            return;
        }
        match lane(&mut self.links, id).map(|lane| lane.stage) {
            Some(Stage::Up) => self.close_if_idle(id),
            Some(Stage::Proving) => {
                // Its other idle lanes are as silent: whether the worker is there, a new connection tells.
                let worker = lane(&mut self.links, id).map(|lane| lane.worker.clone());
                worker.into_iter().for_each(|worker| self.close_idle(&worker));
                self.lose_lane(id, Cut::Unsent);
            }
            Some(Stage::Connecting) => self.lose_lane(id, Cut::NotConnected),
            None => {}
        }
    }

    /// A lane is of no further use: each attempt on it ends by what that proves. `unsent`: what it proves of a
    /// command that has not left whole.
    fn lose_lane(&mut self, id: LinkId, unsent: Cut) {
        let Some(link) = self.links.get(id) else { return };
        let left = link.left();
        let Peer::Lane(lane) = &link.state else { return };
        let worker = lane.worker.clone();
        // Not to a worker that drains, has gone or was started again since.
        let there = self.request_table.is_up(&worker)
            && self.workers.get(&worker).is_some_and(|w| w.lanes.contains(&id));
        let commands = self.close_lane(id);
        self.counts.lanes_lost += u64::from(!commands.is_empty());
        for mut command in commands {
            let how = match command.span {
                Some((_, to)) if to <= left => Cut::Sent,
                Some(_) | None => unsent,
            };
            command.lost += 1;
            let wanted = self.request_table.is_open(command.request) && command.until > self.now();
            if how == Cut::Unsent && command.lost < MAX_LANES && there && wanted {
                command.span = None;
                self.send(&worker, command);
                continue;
            }
            tracing::debug!(request = command.request, %worker, ?how, "lane lost under an execution");
            let ended = AttemptResult::silent(proof::cut(how));
            self.request_table
                .attempt_ended(self.now(), command.request, command.attempt, ended);
        }
        self.carry_out();
    }

    pub(super) fn drive_lane(&mut self, id: LinkId) {
        let Some(of) = lane(&mut self.links, id) else {
            return;
        };
        if of.stage == Stage::Connecting {
            match self.links.connected(id) {
                Some(Ok(())) => self.lane_up(id),
                Some(Err(e)) => {
                    return match e.kind() {
                        // Something is there and took the connection; it is not down.
                        io::ErrorKind::ConnectionReset => self.lose_lane(id, Cut::Unsent),
                        _ => self.lose_lane(id, Cut::NotConnected),
                    };
                }
                None => return,
            }
        }
        self.links.flush_one(id);
        self.links.read(id);
        self.answers(id);
    }

    fn lane_up(&mut self, id: LinkId) {
        self.links.set_deadline(id, None);
        let now = self.now();
        let Some(of) = lane(&mut self.links, id) else {
            return;
        };
        of.stage = Stage::Up;
        let mut commands = std::mem::take(&mut of.commands);
        for command in &mut commands {
            let name = &self.config.settings.request_classes[command.work.request_class as usize].name;
            write_command(&mut self.links, id, name, command, now);
        }
        if let Some(of) = lane(&mut self.links, id) {
            of.commands = commands;
        }
        self.rest_lane(id);
    }

    /// Reads all answers that are whole.
    fn answers(&mut self, id: LinkId) {
        let mut ended = Vec::new();
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let left = link.left();
        let Peer::Lane(of) = &mut link.state else { return };
        let (mut used, mut proved) = (0, false);
        let unreadable = loop {
            let answer = match frame::read(&link.input[used..]) {
                Ok(Some(answer)) => answer,
                Ok(None) => break None,
                Err(why) => break Some(why),
            };
            used += answer.length;
            let Some(outcome) = proof::answered(answer.code) else {
                proved |= of.stage == Stage::Proving;
                continue;
            };
            let asked = |c: &Command| c.work.id == answer.id && c.span.is_some_and(|(_, to)| to <= left);
            let Some(at) = of.commands.iter().position(asked) else {
                // A second copy, one under an unknown id, or one that was given up, or has not left yet.
                self.counts.unasked += 1;
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
                self.rest_lane(id);
            }
            self.in_hand = body.map(|body| (command.request, body));
            self.request_table
                .attempt_ended(self.now(), command.request, command.attempt, end);
            self.carry_out();
            self.in_hand = None;
        }
        if let Some(why) = unreadable {
            self.counts.unreadable += 1;
            tracing::debug!(?why, "an answer cannot be read");
        }
        match () {
            () if over => self.lose_lane(id, Cut::Unsent),
            () if proved => self.lane_up(id),
            () => {}
        }
    }
}

/// What it proves that a connection could not even be begun: the system may have no descriptor or port for us.
fn not_begun(error: &io::Error) -> Cut {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::ADDRNOTAVAIL | Errno::NOBUFS | Errno::NOMEM) => Cut::NoLane,
        Some(_) | None => Cut::NotConnected,
    }
}

/// Writes a command, and notes where its frame lies in all that the lane sends.
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
    let (code, work) = (frame::EXECUTE, &command.work);
    let replay = work
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
        work.id,
        fields.as_bytes(),
        &work.body,
    );
    command.span = links.get(id).map(|link| (from, link.end()));
    if let Some(lane) = lane(links, id) {
        lane.carried.truncate(MAX_CARRIED - 1);
        lane.carried.push_front(work.id);
    }
}
