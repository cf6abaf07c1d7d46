//! TCP connections on a calloop event loop, independent of the protocol: accepting, connecting, buffers,
//! flushing and deadlines. Reads are bounded per socket and iteration, so that one busy peer does not starve
//! the others.
//!
//! The callbacks of the event loop only mark sockets as ready. After each iteration of the loop the owner
//! accepts connections ([`Sockets::begin_accepting`]), processes the ready sockets ([`Sockets::take_ready`]), handles
//! the sockets whose deadline has passed ([`Sockets::take_overdue`]) and sends the output
//! ([`Sockets::flush`]).
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

mod accept;
mod eviction;
#[cfg(test)]
mod tests;

pub use accept::AcceptRound;
pub use eviction::Survey;

/// Identifies a socket. Ids are never reused, even if their slot in the slab is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SocketId {
    key: usize,
    serial: u64,
}

/// Function that returns the [`Sockets`] in the state of the event loop; the loop's callbacks use it.
type SocketsAccessor<S, T> = fn(&mut S) -> &mut Sockets<S, T>;

/// The sockets and listeners of one owner on an event loop whose state is `S`. The owner attaches a `T` to
/// each socket.
pub struct Sockets<S: 'static, T: 'static> {
    handle: LoopHandle<'static, S>,
    accessor: SocketsAccessor<S, T>,
    sockets: Slab<Socket<T>>,
    listeners: Vec<(Rc<TcpListener>, RegistrationToken)>,
    ready_queue: VecDeque<SocketId>,
    flush_queue: VecDeque<SocketId>,
    deadlines: BTreeSet<(Instant, SocketId)>,
    /// Whether the next turn accepts: a listener was reported as readable, or a pause has ended.
    are_listeners_ready: bool,
    /// Whether the last round of accepting emptied the queues of all listeners.
    accepted_all: bool,
    /// End of a pause in accepting; `None` if accepting is not paused.
    resume_accept_at: Option<Instant>,
    read_buffer: Vec<u8>,
    /// Number of sockets created so far; the latest one's serial number.
    opened_count: u64,
}

impl<S: 'static, T: 'static> Sockets<S, T> {
    /// Creates an empty set of sockets. `accessor` must return this set from the state of the event loop.
    pub fn new(handle: LoopHandle<'static, S>, accessor: SocketsAccessor<S, T>) -> Sockets<S, T> {
        Sockets {
            handle,
            accessor,
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

    /// Sets the maximum number of bytes that one [`Sockets::read`] reads.
    #[must_use]
    pub fn with_max_read(mut self, bytes: usize) -> Sockets<S, T> {
        self.read_buffer = vec![0; bytes];
        self
    }

    /// Number of sockets created so far.
    pub fn opened_count(&self) -> u64 {
        self.opened_count
    }

    /// Returns a socket unless it is closed.
    pub fn get(&self, id: SocketId) -> Option<&Socket<T>> {
        self.sockets
            .get(id.key)
            .filter(|socket| socket.serial == id.serial)
    }

    /// Returns a socket mutably unless it is closed.
    pub fn get_mut(&mut self, id: SocketId) -> Option<&mut Socket<T>> {
        find_socket(&mut self.sockets, id)
    }

    /// Iterates over all open sockets.
    pub fn iter(&self) -> impl Iterator<Item = (SocketId, &Socket<T>)> {
        self.sockets.iter().map(|(key, socket)| {
            let serial = socket.serial;
            (SocketId { key, serial }, socket)
        })
    }

    /// Starts to accept connections from `listener`.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be made non-blocking or registered with the event loop.
    pub fn listen(&mut self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let accessor = self.accessor;
        let on_readable = move |_: Readiness, _: &mut _, state: &mut S| {
            accessor(state).are_listeners_ready = true;
            Ok(PostAction::Continue)
        };
        let token = self
            .handle
            .insert_source(source, on_readable)
            .map_err(|e| io::Error::other(e.to_string()))?;
        self.listeners.push((listener, token));
        Ok(())
    }

    /// Closes the listeners. Existing connections stay open.
    pub fn stop_listening(&mut self) {
        for (_, token) in self.listeners.drain(..) {
            self.handle.remove(token);
        }
    }

    /// Whether there is a listener.
    pub fn is_listening(&self) -> bool {
        !self.listeners.is_empty()
    }

    /// Adds a stream that is connected or connecting, and registers it with the event loop.
    ///
    /// # Errors
    /// Returns an error if the stream's options cannot be set or the event loop does not accept it.
    pub fn insert(&mut self, stream: TcpStream, state: T) -> io::Result<SocketId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        self.opened_count += 1;
        let serial = self.opened_count;
        let key = self.sockets.insert(Socket::new(stream.clone(), serial, state));
        let id = SocketId { key, serial };
        let accessor = self.accessor;
        let on_ready = move |ready: Readiness, _: &mut _, state: &mut S| {
            let sockets = accessor(state);
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

    /// Starts to connect to an address. Once the socket is ready, [`Sockets::connect_result`] returns the
    /// result.
    ///
    /// # Errors
    /// Returns an error if the system refuses at once or the event loop does not accept the stream.
    pub fn connect(&mut self, address: SocketAddr, state: T) -> io::Result<SocketId> {
        let stream = start_connect(address)?;
        self.insert(stream, state)
    }

    /// Returns the result of [`Sockets::connect`]: `Some(Ok(()))` if the connection is established, an error
    /// if connecting failed, and `None` while it is in progress or if the socket is closed.
    pub fn connect_result(&self, id: SocketId) -> Option<io::Result<()>> {
        let socket = self.get(id)?;
        match socket.stream.take_error() {
            Ok(None) => socket.stream.peer_addr().is_ok().then_some(Ok(())),
            Ok(Some(e)) | Err(e) => Some(Err(e)),
        }
    }

    /// Adds a socket to the ready queue unless it is there already.
    fn queue_ready(&mut self, id: SocketId) {
        if let Some(socket) = find_socket(&mut self.sockets, id).filter(|socket| !socket.is_ready_queued) {
            socket.is_ready_queued = true;
            self.ready_queue.push_back(id);
        }
    }

    /// Takes the ready queue: the sockets with new readiness or unread input since the last call, each once.
    pub fn take_ready(&mut self) -> VecDeque<SocketId> {
        let ready = std::mem::take(&mut self.ready_queue);
        for id in &ready {
            if let Some(socket) = self.get_mut(*id) {
                socket.is_ready_queued = false;
            }
        }
        ready
    }

    /// Puts sockets at the front of the ready queue, in their order, unless they are in it already.
    pub fn queue_ready_first(&mut self, ids: VecDeque<SocketId>) {
        for id in ids.into_iter().rev() {
            if let Some(socket) = find_socket(&mut self.sockets, id).filter(|socket| !socket.is_ready_queued)
            {
                socket.is_ready_queued = true;
                self.ready_queue.push_front(id);
            }
        }
    }

    /// Whether a socket is in the ready queue or a round of accepting is due.
    pub fn is_ready(&self) -> bool {
        !self.ready_queue.is_empty() || self.are_listeners_ready
    }

    /// Reads at most `MAX_READ_BYTES`, or as many as were set, into the socket's input. If more input may wait, the socket stays in
    /// the ready queue.
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

    /// Reads from a socket even if the event loop has not reported it as readable. This detects that the peer
    /// of an idle socket has sent something or closed the connection.
    pub fn try_read(&mut self, id: SocketId) {
        if let Some(socket) = find_socket(&mut self.sockets, id) {
            socket.read_available(&mut self.read_buffer);
            if socket.is_read_closed() || !socket.input.is_empty() {
                self.queue_ready(id);
            }
        }
    }

    /// Returns the output buffer, to append to; the next [`Sockets::flush`] sends it. `None` if the socket is
    /// closed.
    pub fn output(&mut self, id: SocketId) -> Option<&mut Vec<u8>> {
        self.queue_flush(id);
        self.get_mut(id).map(|socket| &mut socket.output)
    }

    /// Adds a socket to the flush queue unless it is there already.
    fn queue_flush(&mut self, id: SocketId) {
        if let Some(socket) = find_socket(&mut self.sockets, id).filter(|socket| !socket.is_flush_queued) {
            socket.is_flush_queued = true;
            self.flush_queue.push_back(id);
        }
    }

    /// Sends the output of all sockets in the flush queue, as far as the system accepts it.
    pub fn flush(&mut self) {
        while let Some(&id) = self.flush_queue.front() {
            self.flush_socket(id);
        }
    }

    /// Returns the sockets in the flush queue, those first whose output has waited longest for a flush.
    pub fn queued_for_flush(&self) -> Vec<SocketId> {
        self.flush_queue.iter().copied().collect()
    }

    /// Sends the output of one socket as far as the system accepts it.
    pub fn flush_socket(&mut self, id: SocketId) {
        self.flush_socket_until(id, None);
    }

    /// Sends the output of one socket until the system accepts no more or `deadline` passes. If the deadline
    /// passes first, the socket stays in the flush queue.
    pub fn flush_socket_until(&mut self, id: SocketId, deadline: Option<Instant>) {
        let Some(socket) = find_socket(&mut self.sockets, id) else {
            self.flush_queue.retain(|other| *other != id);
            return;
        };
        let was_readable = socket.is_readable;
        if !socket.flush(deadline) {
            self.queue_flush(id);
            return;
        }
        let is_newly_readable = socket.is_readable && !was_readable;
        if std::mem::take(&mut socket.is_flush_queued) {
            self.flush_queue.retain(|other| *other != id);
        }
        if is_newly_readable {
            self.queue_ready(id);
        }
    }

    /// Whether any socket has unsent output.
    pub fn has_unsent(&self) -> bool {
        self.sockets.iter().any(|(_, socket)| socket.unsent_bytes() > 0)
    }

    /// Sets the deadline of a socket to `after` from now; `None` removes the deadline.
    pub fn set_deadline(&mut self, id: SocketId, after: Option<Duration>) {
        let Some(socket) = find_socket(&mut self.sockets, id) else {
            return;
        };
        if let Some(previous) = socket.deadline.take() {
            self.deadlines.remove(&(previous, id));
        }
        if let Some(after) = after {
            let deadline = Instant::now() + after;
            socket.deadline = Some(deadline);
            self.deadlines.insert((deadline, id));
        }
    }

    /// Returns the deadline of a socket, if it has one.
    pub fn deadline(&self, id: SocketId) -> Option<Instant> {
        self.get(id).and_then(|socket| socket.deadline)
    }

    /// Takes the sockets whose deadline has passed and removes their deadlines. Also ends a pause in
    /// accepting.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<SocketId> {
        if self.resume_accept_at.is_some_and(|at| at <= now) {
            self.resume_accepting();
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

    /// Returns when the owner must act even if the event loop reports nothing: now if a socket is ready or
    /// has output to flush, else the next deadline or end of a pause in accepting.
    pub fn next_due(&self) -> Option<Instant> {
        if self.is_ready() || !self.flush_queue.is_empty() {
            return Some(Instant::now());
        }
        let first_deadline = self.deadlines.first().map(|(at, _)| *at);
        [first_deadline, self.resume_accept_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Closes a socket and returns the state attached to it; `None` if it was closed before.
    pub fn close(&mut self, id: SocketId) -> Option<T> {
        self.get(id)?;
        self.set_deadline(id, None);
        let socket = self.sockets.remove(id.key);
        if let Some(token) = socket.token {
            self.handle.remove(token);
        }
        // The descriptor closes when the last `Rc` is dropped: the event loop's in `remove`, and this one on
        // return.
        let _ = socket.stream.shutdown(Shutdown::Both);
        Some(socket.state)
    }
}

/// Returns a socket unless it is closed. Unlike [`Sockets::get_mut`], borrows only the slab.
fn find_socket<T>(sockets: &mut Slab<Socket<T>>, id: SocketId) -> Option<&mut Socket<T>> {
    sockets
        .get_mut(id.key)
        .filter(|socket| socket.serial == id.serial)
}

/// Starts a non-blocking connection attempt.
fn start_connect(address: SocketAddr) -> io::Result<TcpStream> {
    use socket2::{Domain, Protocol, Type};
    let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        // The attempt is in progress; the socket becomes writable once the connection is established.
        Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}
