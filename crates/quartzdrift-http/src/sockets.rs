//! TCP connections on a calloop event loop: what the connections of every protocol share. Accepting, buffers, flushing,
//! deadlines, and reading a bounded share of each connection in a turn.
//!
//! Nothing is processed inside the loop's callbacks: they only mark sockets as ready. After each turn of the loop the owner
//! accepts connections ([`Sockets::accept`]), takes the ready sockets ([`Sockets::take_ready`]), closes what is overdue
//! ([`Sockets::take_overdue`]) and flushes ([`Sockets::flush`]).
use crate::socket::MAX_READ_BYTES;
pub use crate::socket::Socket;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Maximum tries to accept a connection in one turn of the loop, so that a flood of them leaves time for the others.
const MAX_ACCEPTED_PER_TURN: usize = 64;
/// How long accepting pauses where it fails as a whole.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Identifies a socket; an id is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SocketId {
    key: usize,
    serial: u64,
}

/// Finds the sockets in the state of the loop.
type SocketsAccessor<S, T> = fn(&mut S) -> &mut Sockets<S, T>;

/// All sockets of one owner on one event loop, whose state is `S`. `T` is the owner's state of one socket.
pub struct Sockets<S: 'static, T: 'static> {
    handle: LoopHandle<'static, S>,
    find: SocketsAccessor<S, T>,
    sockets: Slab<Socket<T>>,
    listeners: Vec<(Rc<TcpListener>, RegistrationToken)>,
    ready_queue: VecDeque<SocketId>,
    flush_queue: VecDeque<SocketId>,
    deadlines: BTreeSet<(Instant, SocketId)>,
    /// Whether connections may wait to be accepted.
    are_listeners_ready: bool,
    /// Whether the last look at the listeners left no connection waiting.
    accepted_all: bool,
    /// When a pause in accepting ends.
    resume_accept_at: Option<Instant>,
    read_buffer: Vec<u8>,
    /// Sockets there have been so far.
    opened_count: u64,
}

impl<S: 'static, T: 'static> Sockets<S, T> {
    /// No sockets yet. `find` finds these sockets in the state of the loop.
    pub fn new(handle: LoopHandle<'static, S>, find: SocketsAccessor<S, T>) -> Sockets<S, T> {
        Sockets {
            handle,
            find,
            sockets: Slab::new(),
            listeners: Vec::new(),
            ready_queue: VecDeque::new(),
            flush_queue: VecDeque::new(),
            deadlines: BTreeSet::new(),
            are_listeners_ready: false,
            accepted_all: true,
            resume_accept_at: None,
            read_buffer: vec![0; MAX_READ_BYTES],
            opened_count: 0,
        }
    }

    /// Sockets there have been so far.
    pub fn opened_count(&self) -> u64 {
        self.opened_count
    }

    /// The socket of an id, unless it is closed.
    pub fn get(&self, id: SocketId) -> Option<&Socket<T>> {
        self.sockets
            .get(id.key)
            .filter(|socket| socket.serial == id.serial)
    }

    /// The socket of an id, unless it is closed.
    pub fn get_mut(&mut self, id: SocketId) -> Option<&mut Socket<T>> {
        find_socket(&mut self.sockets, id)
    }

    /// All open sockets.
    pub fn iter(&self) -> impl Iterator<Item = (SocketId, &Socket<T>)> {
        self.sockets.iter().map(|(key, socket)| {
            let serial = socket.serial;
            (SocketId { key, serial }, socket)
        })
    }

    /// Accepts connections from `listener` from now on.
    ///
    /// # Errors
    /// The system or the event loop does not accept the listener.
    pub fn listen(&mut self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let find = self.find;
        let accept = move |_: Readiness, _: &mut _, state: &mut S| {
            find(state).are_listeners_ready = true;
            Ok(PostAction::Continue)
        };
        let token = self
            .handle
            .insert_source(source, accept)
            .map_err(|e| io::Error::other(e.to_string()))?;
        self.listeners.push((listener, token));
        Ok(())
    }

    /// Accepts no more connections; existing ones go on.
    pub fn stop_listening(&mut self) {
        for (_, token) in self.listeners.drain(..) {
            self.handle.remove(token);
        }
    }

    /// Whether connections are accepted.
    pub fn is_listening(&self) -> bool {
        !self.listeners.is_empty()
    }

    /// Whether no connection was left waiting when connections were last accepted.
    pub fn accepted_all(&self) -> bool {
        self.accepted_all
    }

    /// Lets the next [`Sockets::accept`] look for connections, whatever the loop has reported.
    pub fn mark_listeners_ready(&mut self) {
        self.are_listeners_ready = true;
    }

    /// Accepts the connections that wait, with `MAX_ACCEPTED_PER_TURN` tries. Of `limit` connections `open` are in use, and
    /// idle sockets may make room; those that find no room wait on. Where the process has run out of descriptors, the idle
    /// socket that has been silent longest is overdue at once.
    pub fn accept(
        &mut self,
        limit: usize,
        open: usize,
        is_idle: impl Fn(&Socket<T>) -> bool,
    ) -> Vec<TcpStream> {
        let mut accepted = Vec::new();
        if !std::mem::take(&mut self.are_listeners_ready) {
            return accepted;
        }
        self.accepted_all = false;
        let idle = self.iter().filter(|(_, socket)| is_idle(socket)).count();
        let most = (limit + idle).saturating_sub(open);
        let (mut tries, mut drained) = (0, 0);
        for at in 0..self.listeners.len() {
            while tries < MAX_ACCEPTED_PER_TURN && accepted.len() < most {
                tries += 1;
                match self.listeners[at].0.accept() {
                    Ok((stream, _)) => accepted.push(stream),
                    Err(e) => match AcceptError::classify(&e) {
                        AcceptError::WouldBlock => {
                            drained += 1;
                            break;
                        }
                        AcceptError::ConnectionFailed => {}
                        AcceptError::DescriptorLimit => {
                            self.expire_longest_idle(&is_idle);
                            self.pause_accepting();
                            return accepted;
                        }
                        AcceptError::Other => {
                            self.pause_accepting();
                            return accepted;
                        }
                    },
                }
            }
        }
        self.accepted_all = drained == self.listeners.len();
        if !self.accepted_all && accepted.is_empty() {
            self.pause_accepting();
        }
        accepted
    }

    /// Has the idle socket whose peer has been silent longest overdue at once.
    fn expire_longest_idle(&mut self, is_idle: impl Fn(&Socket<T>) -> bool) {
        if let Some(id) = self.longest_idle(is_idle) {
            self.set_deadline(id, Some(Duration::ZERO));
        }
    }

    /// Accepting fails as a whole: a level-triggered listener would make the loop spin.
    fn pause_accepting(&mut self) {
        for (_, token) in &self.listeners {
            // An error here means that the loop itself is broken; the next turn will show it.
            let _ = self.handle.disable(token);
        }
        self.resume_accept_at = Some(Instant::now() + ACCEPT_PAUSE);
    }

    /// Of the idle sockets, the one whose peer has sent nothing for longest.
    pub fn longest_idle(&self, is_idle: impl Fn(&Socket<T>) -> bool) -> Option<SocketId> {
        self.iter()
            .filter(|(_, socket)| is_idle(socket))
            .min_by_key(|(_, socket)| socket.last_received)
            .map(|(id, _)| id)
    }

    /// Adds a connected stream.
    ///
    /// # Errors
    /// The system or the event loop does not accept the stream.
    pub fn insert(&mut self, stream: TcpStream, state: T) -> io::Result<SocketId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        self.opened_count += 1;
        let serial = self.opened_count;
        let key = self.sockets.insert(Socket::new(stream.clone(), serial, state));
        let id = SocketId { key, serial };
        let find = self.find;
        let on_ready = move |ready: Readiness, _: &mut _, state: &mut S| {
            let sockets = find(state);
            if let Some(socket) = sockets.get_mut(id) {
                socket.is_readable |= ready.readable || ready.error;
                sockets.queue_ready(id);
            }
            Ok(PostAction::Continue)
        };
        let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
        match self.handle.insert_source(source, on_ready) {
            Ok(token) => {
                self.sockets[key].token = Some(token);
                Ok(id)
            }
            Err(e) => {
                self.sockets.remove(key);
                Err(io::Error::other(e.to_string()))
            }
        }
    }

    /// Starts to connect; once the socket is ready, [`Sockets::connect_result`] says whether the connection is established.
    ///
    /// # Errors
    /// The system refuses at once, or the event loop does not accept the stream.
    pub fn connect(&mut self, to: SocketAddr, state: T) -> io::Result<SocketId> {
        let stream = connect(to)?;
        self.insert(stream, state)
    }

    /// Whether a connection is established: `None` while it is not yet, an error where it never will be.
    pub fn connect_result(&self, id: SocketId) -> Option<io::Result<()>> {
        let socket = self.get(id)?;
        match socket.stream.take_error() {
            Ok(None) => socket.stream.peer_addr().is_ok().then_some(Ok(())),
            Ok(Some(e)) | Err(e) => Some(Err(e)),
        }
    }

    fn queue_ready(&mut self, id: SocketId) {
        if let Some(socket) = find_socket(&mut self.sockets, id).filter(|socket| !socket.is_ready_queued) {
            socket.is_ready_queued = true;
            self.ready_queue.push_back(id);
        }
    }

    /// The sockets on which something has happened since they were last taken, each once.
    pub fn take_ready(&mut self) -> VecDeque<SocketId> {
        let ready = std::mem::take(&mut self.ready_queue);
        for id in &ready {
            if let Some(socket) = self.get_mut(*id) {
                socket.is_ready_queued = false;
            }
        }
        ready
    }

    /// Whether a socket or a listener is ready.
    pub fn is_ready(&self) -> bool {
        !self.ready_queue.is_empty() || self.are_listeners_ready
    }

    /// Reads a bounded share into the socket's input; what is left keeps the socket ready.
    pub fn read(&mut self, id: SocketId) {
        let Some(socket) = find_socket(&mut self.sockets, id) else {
            return;
        };
        if socket.is_readable && !socket.is_read_closed() {
            socket.read_available(&mut self.read_buffer);
        }
        if socket.is_readable && !socket.is_read_closed() {
            self.queue_ready(id);
        }
    }

    /// Checks whether the peer of an idle socket has closed it or sent something, even if the loop has not reported it yet.
    pub fn try_read(&mut self, id: SocketId) {
        if let Some(socket) = find_socket(&mut self.sockets, id) {
            socket.read_available(&mut self.read_buffer);
            if socket.is_read_closed() || !socket.input.is_empty() {
                self.queue_ready(id);
            }
        }
    }

    /// The buffer of what is to be sent with the next [`Sockets::flush`].
    pub fn output(&mut self, id: SocketId) -> Option<&mut Vec<u8>> {
        self.flush_later(id);
        self.get_mut(id).map(|socket| &mut socket.output)
    }

    /// Has the next [`Sockets::flush`] send what was written on a socket.
    fn flush_later(&mut self, id: SocketId) {
        if let Some(socket) = find_socket(&mut self.sockets, id).filter(|socket| !socket.is_flush_queued) {
            socket.is_flush_queued = true;
            self.flush_queue.push_back(id);
        }
    }

    /// Sends what was written on all sockets.
    pub fn flush(&mut self) {
        while let Some(id) = self.next_to_flush() {
            self.flush_socket(id);
        }
    }

    /// The socket that was written to first of those that [`Sockets::flush`] would send on.
    pub fn next_to_flush(&self) -> Option<SocketId> {
        self.flush_queue.front().copied()
    }

    /// Sends what was written on one socket.
    pub fn flush_socket(&mut self, id: SocketId) {
        self.flush_socket_until(id, None);
    }

    /// Sends what was written on one socket, unless `limit` has passed; returns whether it was in time. What was not sent stays
    /// to be flushed.
    pub fn flush_socket_until(&mut self, id: SocketId, limit: Option<Instant>) -> bool {
        let Some(socket) = find_socket(&mut self.sockets, id) else {
            self.flush_queue.retain(|other| *other != id);
            return true;
        };
        let was_readable = socket.is_readable;
        if !socket.flush(limit) {
            self.flush_later(id);
            return false;
        }
        let is_newly_readable = socket.is_readable && !was_readable;
        if std::mem::take(&mut socket.is_flush_queued) {
            self.flush_queue.retain(|other| *other != id);
        }
        if is_newly_readable {
            self.queue_ready(id);
        }
        true
    }

    /// Whether bytes wait to be sent on any socket.
    pub fn has_unsent(&self) -> bool {
        self.sockets.iter().any(|(_, socket)| socket.unsent_bytes() > 0)
    }

    /// Sets the deadline of a socket, from now; `None` removes it.
    pub fn set_deadline(&mut self, id: SocketId, after: Option<Duration>) {
        let Some(socket) = find_socket(&mut self.sockets, id) else {
            return;
        };
        if let Some(at) = socket.deadline.take() {
            self.deadlines.remove(&(at, id));
        }
        if let Some(after) = after {
            let at = Instant::now() + after;
            socket.deadline = Some(at);
            self.deadlines.insert((at, id));
        }
    }

    /// The deadline of a socket.
    pub fn deadline(&self, id: SocketId) -> Option<Instant> {
        self.get(id).and_then(|socket| socket.deadline)
    }

    /// The sockets whose deadline has passed; they have none from now on.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<SocketId> {
        if self.resume_accept_at.take_if(|at| *at <= now).is_some() {
            for (_, token) in &self.listeners {
                // An error here means that the loop itself is broken; the next turn will show it.
                let _ = self.handle.enable(token);
            }
            self.are_listeners_ready = true;
        }
        let mut overdue = Vec::new();
        while let Some(&(at, id)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, id));
            if let Some(socket) = self.get_mut(id) {
                socket.deadline = None;
                overdue.push(id);
            }
        }
        overdue
    }

    /// When there is something to do without an event of the loop; now where a socket is still ready.
    pub fn next_due(&self) -> Option<Instant> {
        if self.is_ready() || !self.flush_queue.is_empty() {
            return Some(Instant::now());
        }
        let first = self.deadlines.first().map(|(at, _)| *at);
        [first, self.resume_accept_at].into_iter().flatten().min()
    }

    /// Closes a socket and returns its state.
    pub fn close(&mut self, id: SocketId) -> Option<T> {
        self.get(id)?;
        self.set_deadline(id, None);
        let socket = self.sockets.remove(id.key);
        if let Some(token) = socket.token {
            self.handle.remove(token);
        }
        // The socket closes with the last reference, which `remove` and the end of this function drop.
        let _ = socket.stream.shutdown(Shutdown::Both);
        Some(socket.state)
    }
}

/// What an error of accept(2) says.
enum AcceptError {
    /// No connection waits.
    WouldBlock,
    /// The connection that was next has failed, or the call was interrupted: others may wait behind it.
    ConnectionFailed,
    /// The process has no descriptor left.
    DescriptorLimit,
    /// The system has no room for the moment, or something else is wrong with accepting.
    Other,
}

impl AcceptError {
    fn classify(error: &io::Error) -> AcceptError {
        match error.raw_os_error().unwrap_or_default() {
            libc::EAGAIN => AcceptError::WouldBlock,
            libc::EMFILE => AcceptError::DescriptorLimit,
            // Linux passes pending network errors of the new connection on.
            libc::EINTR
            | libc::ECONNABORTED
            | libc::EPROTO
            | libc::ENOPROTOOPT
            | libc::EOPNOTSUPP
            | libc::ENETDOWN
            | libc::ENETUNREACH
            | libc::EHOSTDOWN
            | libc::EHOSTUNREACH
            | libc::ENONET
            | libc::ETIMEDOUT
            | libc::ECONNRESET
            | libc::EPERM => AcceptError::ConnectionFailed,
            _ => AcceptError::Other,
        }
    }
}

fn find_socket<T>(sockets: &mut Slab<Socket<T>>, id: SocketId) -> Option<&mut Socket<T>> {
    sockets
        .get_mut(id.key)
        .filter(|socket| socket.serial == id.serial)
}

fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    use socket2::{Domain, Protocol, Type};
    let socket = socket2::Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => {}
        // In progress: the socket becomes writable once the connection is established.
        Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}
