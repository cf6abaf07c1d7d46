//! Byte streams on a calloop event loop: what every protocol's connections share. Accepting, buffers, flushing,
//! deadlines, and reading a bounded share of each connection in a turn.
//!
//! Nothing is worked inside the loop's callbacks: they only mark links as ready. After each turn of the loop the
//! owner accepts ([`Links::accept`]), takes the ready ones ([`Links::take_ready`]), closes what is overdue
//! ([`Links::take_overdue`]) and flushes ([`Links::flush`]). `T` is the owner's state of one link.
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes read at once from one link; then the others have their turn.
pub const READ_STEP: usize = 64 << 10;
/// A buffer that grew past this is given back once it is empty.
const MAX_KEEP: usize = 4 << 10;
/// Connections taken in one turn of the loop, so that a flood of them leaves room for the work.
const MAX_ACCEPT: usize = 64;
/// After the process ran out of descriptors: one may be free again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Names a link; a name is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId {
    key: usize,
    serial: u64,
}

/// One connection.
#[derive(Debug)]
pub struct Link<T> {
    stream: Rc<TcpStream>,
    token: Option<RegistrationToken>,
    serial: u64,
    readable: bool,
    queued: bool,
    dirty: bool,
    ended: bool,
    broken: bool,
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// Bytes handed to the system since the link began.
    left: u64,
    /// Since when something waits that the system would not take.
    stuck: Option<Instant>,
    deadline: Option<Instant>,
    /// When the peer last said something, or came.
    heard: Instant,
    pub state: T,
}

impl<T> Link<T> {
    /// Position in all that was ever to be sent, at which the next byte goes.
    pub fn end(&self) -> u64 {
        self.left + self.waiting() as u64
    }

    /// Position up to which the system has taken what was to be sent.
    pub fn left(&self) -> u64 {
        self.left
    }

    /// Bytes not yet taken by the system.
    pub fn waiting(&self) -> usize {
        self.output.len() - self.written
    }

    /// Since when some of what is to be sent has waited for the peer without a break; none where all has left, or
    /// has not been tried yet.
    pub fn stuck_since(&self) -> Option<Instant> {
        self.stuck
    }

    /// The peer has closed, or the connection broke.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Nothing more can be sent; what the peer said before may still be read.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Tells the peer that nothing more is sent.
    pub fn finish(&self) {
        // Of a connection that is broken its end is found out by reading.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    pub fn peer(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    pub fn local(&self) -> Option<SocketAddr> {
        self.stream.local_addr().ok()
    }

    /// Takes back what lies between two positions, unless some of it has left already.
    pub fn take_back(&mut self, from: u64, to: u64) -> bool {
        if from < self.left {
            return false;
        }
        if self.broken {
            // What waited was dropped when the link broke; its owner may not have heard of that yet.
            return true;
        }
        let at = |position: u64| (position - self.left) as usize + self.written;
        let (from, to) = (at(from), at(to));
        self.output.drain(from..to);
        true
    }

    /// Drops read bytes from the front.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes);
        if self.input.is_empty() {
            self.input.shrink_to(MAX_KEEP);
        }
    }

    /// Reads what is there, as much as `scratch` holds at most: an end behind the last bytes is seen with them.
    fn read_piece(&mut self, scratch: &mut [u8]) {
        let mut room = scratch.len();
        while room > 0 {
            match (&*self.stream).read(&mut scratch[..room]) {
                Ok(0) => self.ended = true,
                Ok(n) => {
                    self.heard = Instant::now();
                    self.input.extend_from_slice(&scratch[..n]);
                    room -= n;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.ended = true,
            }
            self.readable = false;
            return;
        }
    }

    fn flush(&mut self) {
        while self.written < self.output.len() {
            match (&*self.stream).write(&self.output[self.written..]) {
                Ok(0) => return self.break_off(),
                Ok(n) => {
                    self.written += n;
                    self.left += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.stuck.get_or_insert_with(Instant::now);
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.break_off(),
            }
        }
        self.output.clear();
        self.output.shrink_to(MAX_KEEP);
        (self.written, self.stuck) = (0, None);
    }

    /// Nothing more can be sent. What the peer said before is still worth reading.
    fn break_off(&mut self) {
        self.output.clear();
        (self.written, self.broken, self.readable) = (0, true, true);
    }
}

/// All links of one owner on one event loop, whose state is `S`.
pub struct Links<S: 'static, T: 'static> {
    handle: LoopHandle<'static, S>,
    of: fn(&mut S) -> &mut Links<S, T>,
    links: Slab<Link<T>>,
    listeners: Vec<(Rc<TcpListener>, RegistrationToken)>,
    ready: VecDeque<LinkId>,
    dirty: Vec<LinkId>,
    deadlines: BTreeSet<(Instant, LinkId)>,
    acceptable: bool,
    accept_again: Option<Instant>,
    scratch: Vec<u8>,
    serial: u64,
}

impl<S: 'static, T: 'static> Links<S, T> {
    /// `of` finds these links in the state of the loop.
    pub fn new(handle: LoopHandle<'static, S>, of: fn(&mut S) -> &mut Links<S, T>) -> Links<S, T> {
        Links {
            handle,
            of,
            links: Slab::new(),
            listeners: Vec::new(),
            ready: VecDeque::new(),
            dirty: Vec::new(),
            deadlines: BTreeSet::new(),
            acceptable: false,
            accept_again: None,
            scratch: vec![0; READ_STEP],
            serial: 0,
        }
    }

    /// Links there have been so far.
    pub fn opened(&self) -> u64 {
        self.serial
    }

    pub fn get(&self, id: LinkId) -> Option<&Link<T>> {
        self.links.get(id.key).filter(|link| link.serial == id.serial)
    }

    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link<T>> {
        find(&mut self.links, id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (LinkId, &Link<T>)> {
        self.links.iter().map(|(key, link)| {
            (
                LinkId {
                    key,
                    serial: link.serial,
                },
                link,
            )
        })
    }

    /// Takes connections from `listener` from now on.
    pub fn listen(&mut self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let of = self.of;
        let accept = move |_: Readiness, _: &mut _, state: &mut S| {
            of(state).acceptable = true;
            Ok(PostAction::Continue)
        };
        let token = self
            .handle
            .insert_source(source, accept)
            .map_err(|e| io::Error::other(e.to_string()))?;
        self.listeners.push((listener, token));
        Ok(())
    }

    /// Takes no more connections; those that are there go on.
    pub fn stop_listening(&mut self) {
        for (_, token) in self.listeners.drain(..) {
            self.handle.remove(token);
        }
    }

    /// Has the next [`Links::accept`] look for connections, whatever the loop has told.
    pub fn look_for_connections(&mut self) {
        self.acceptable = true;
    }

    /// Connections that wait to be taken, at most `MAX_ACCEPT` in a turn. Where the process has run out of
    /// descriptors, the `idle` link that has been silent longest is overdue at once.
    pub fn accept(&mut self, idle: impl Fn(&Link<T>) -> bool) -> Vec<TcpStream> {
        let mut taken = Vec::new();
        if !std::mem::take(&mut self.acceptable) {
            return taken;
        }
        for at in 0..self.listeners.len() {
            while taken.len() < MAX_ACCEPT {
                match self.listeners[at].0.accept() {
                    Ok((stream, _)) => taken.push(stream),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => {
                        // Out of descriptors or memory: a level-triggered listener would spin.
                        if let Some(id) = self.longest_silent(&idle) {
                            self.set_deadline(id, Some(Duration::ZERO));
                        }
                        for (_, token) in &self.listeners {
                            // An error here means that the loop itself is broken; the next turn will show it.
                            let _ = self.handle.disable(token);
                        }
                        self.accept_again = Some(Instant::now() + ACCEPT_PAUSE);
                        return taken;
                    }
                }
            }
        }
        taken
    }

    /// Of the links that `idle` names, the one whose peer has said nothing for longest: it makes room for others.
    pub fn longest_silent(&self, idle: impl Fn(&Link<T>) -> bool) -> Option<LinkId> {
        let idle = self.iter().filter(|(_, link)| idle(link));
        idle.min_by_key(|(_, link)| link.heard).map(|(id, _)| id)
    }

    /// Takes a connected stream as a link.
    pub fn insert(&mut self, stream: TcpStream, state: T) -> io::Result<LinkId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        self.serial += 1;
        let serial = self.serial;
        let key = self.links.insert(Link {
            stream: stream.clone(),
            token: None,
            serial,
            readable: false,
            queued: false,
            dirty: false,
            ended: false,
            broken: false,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            left: 0,
            stuck: None,
            deadline: None,
            heard: Instant::now(),
            state,
        });
        let id = LinkId { key, serial };
        let of = self.of;
        let ready = move |ready: Readiness, _: &mut _, state: &mut S| {
            let links = of(state);
            if let Some(link) = links.get_mut(id) {
                link.readable |= ready.readable || ready.error;
                links.queue(id);
            }
            Ok(PostAction::Continue)
        };
        let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
        match self.handle.insert_source(source, ready) {
            Ok(token) => {
                self.links[key].token = Some(token);
                Ok(id)
            }
            Err(e) => {
                self.links.remove(key);
                Err(io::Error::other(e.to_string()))
            }
        }
    }

    /// Begins a connection; [`Links::connected`] tells whether it is there once it is ready.
    pub fn connect(&mut self, to: SocketAddr, state: T) -> io::Result<LinkId> {
        let stream = connect(to)?;
        self.insert(stream, state)
    }

    /// Whether a begun connection is there: `None` while it is under way, an error where it never will be.
    pub fn connected(&self, id: LinkId) -> Option<io::Result<()>> {
        let link = self.get(id)?;
        match link.stream.take_error() {
            Ok(None) => link.stream.peer_addr().is_ok().then_some(Ok(())),
            Ok(Some(e)) | Err(e) => Some(Err(e)),
        }
    }

    fn queue(&mut self, id: LinkId) {
        if let Some(link) = find(&mut self.links, id).filter(|link| !link.queued) {
            link.queued = true;
            self.ready.push_back(id);
        }
    }

    /// Links that something happened on since they were last taken. Each is taken once a turn.
    pub fn take_ready(&mut self) -> VecDeque<LinkId> {
        let ready = std::mem::take(&mut self.ready);
        for id in &ready {
            if let Some(link) = self.get_mut(*id) {
                link.queued = false;
            }
        }
        ready
    }

    /// Whether a link or a listener is ready.
    pub fn is_ready(&self) -> bool {
        !self.ready.is_empty() || self.acceptable
    }

    /// Reads a bounded piece into the link's input; what is left keeps the link ready.
    pub fn read(&mut self, id: LinkId) {
        let Some(link) = find(&mut self.links, id) else {
            return;
        };
        if link.readable && !link.ended {
            link.read_piece(&mut self.scratch);
        }
        if link.readable && !link.ended {
            self.queue(id);
        }
    }

    /// Looks whether an idle link has been closed, or said something, that the loop has not yet told of.
    pub fn look(&mut self, id: LinkId) {
        if let Some(link) = find(&mut self.links, id) {
            link.read_piece(&mut self.scratch);
            if link.ended || !link.input.is_empty() {
                self.queue(id);
            }
        }
    }

    /// Where to write what is to be sent; it leaves with the next [`Links::flush`].
    pub fn output(&mut self, id: LinkId) -> Option<&mut Vec<u8>> {
        let link = find(&mut self.links, id)?;
        if !link.dirty {
            link.dirty = true;
            self.dirty.push(id);
        }
        Some(&mut link.output)
    }

    /// Writes what waits, gathered for each link.
    pub fn flush(&mut self) {
        for id in std::mem::take(&mut self.dirty) {
            self.flush_one(id);
        }
    }

    /// Writes what waits on one link.
    pub fn flush_one(&mut self, id: LinkId) {
        let Some(link) = find(&mut self.links, id) else {
            return;
        };
        if std::mem::take(&mut link.dirty) {
            self.dirty.retain(|of| *of != id);
        }
        let read_before = link.readable;
        link.flush();
        if link.readable && !read_before {
            self.queue(id);
        }
    }

    /// Whether bytes wait on any link.
    pub fn unsent(&self) -> bool {
        self.links.iter().any(|(_, link)| link.waiting() > 0)
    }

    pub fn set_deadline(&mut self, id: LinkId, after: Option<Duration>) {
        let Some(link) = find(&mut self.links, id) else {
            return;
        };
        if let Some(at) = link.deadline.take() {
            self.deadlines.remove(&(at, id));
        }
        if let Some(after) = after {
            let at = Instant::now() + after;
            link.deadline = Some(at);
            self.deadlines.insert((at, id));
        }
    }

    pub fn deadline(&self, id: LinkId) -> Option<Instant> {
        self.get(id).and_then(|link| link.deadline)
    }

    /// Links whose deadline has passed; it counts no more.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<LinkId> {
        if self.accept_again.take_if(|at| *at <= now).is_some() {
            for (_, token) in &self.listeners {
                // An error here means that the loop itself is broken; the next turn will show it.
                let _ = self.handle.enable(token);
            }
            self.acceptable = true;
        }
        let mut overdue = Vec::new();
        while let Some(&(at, id)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, id));
            if let Some(link) = self.get_mut(id) {
                link.deadline = None;
                overdue.push(id);
            }
        }
        overdue
    }

    /// When there is something to do without news; now where a link is still ready.
    pub fn next_due(&self) -> Option<Instant> {
        if self.is_ready() || !self.dirty.is_empty() {
            return Some(Instant::now());
        }
        let first = self.deadlines.first().map(|(at, _)| *at);
        [first, self.accept_again].into_iter().flatten().min()
    }

    /// Closes a link and gives its state back.
    pub fn close(&mut self, id: LinkId) -> Option<T> {
        self.get(id)?;
        self.set_deadline(id, None);
        let link = self.links.remove(id.key);
        if let Some(token) = link.token {
            self.handle.remove(token);
        }
        // The socket closes with the last reference, which `remove` and this drop.
        let _ = link.stream.shutdown(Shutdown::Both);
        Some(link.state)
    }
}

fn find<T>(links: &mut Slab<Link<T>>, id: LinkId) -> Option<&mut Link<T>> {
    links.get_mut(id.key).filter(|link| link.serial == id.serial)
}

fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => {}
        // Under way: the socket turns writable once it is there.
        Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use calloop::EventLoop;

    struct Owner {
        links: Links<Owner, ()>,
    }

    #[test]
    fn what_waits_on_a_link_that_broke_can_be_taken_back_before_the_owner_hears_of_it() {
        let event_loop = EventLoop::<Owner>::try_new().unwrap();
        let mut owner = Owner {
            links: Links::new(event_loop.handle(), |owner| &mut owner.links),
        };
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (peer, _) = listener.accept().unwrap();
        let id = owner.links.insert(stream, ()).unwrap();
        owner.links.output(id).unwrap().extend_from_slice(b"left");
        owner.links.flush_one(id);
        let (from, to) = (4, 9);
        owner.links.output(id).unwrap().extend_from_slice(b"frame");
        // A reset, which the next write meets before the loop has told of it.
        socket2::SockRef::from(&peer)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(peer);
        owner.links.flush();
        let link = owner.links.get_mut(id).unwrap();
        assert!(link.is_broken() && link.left() == from);
        assert!(
            link.take_back(from, to),
            "nothing of it has left, and nothing will"
        );
        assert!(!link.take_back(0, 4), "this has left");
    }
}
