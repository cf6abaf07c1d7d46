//! One TCP connection: its buffers, and how far it was read and sent.
use calloop::RegistrationToken;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Maximum bytes read from one socket at a time; then the others have their turn.
pub(crate) const MAX_READ_BYTES: usize = 64 << 10;
/// An empty buffer is shrunk to this many bytes.
const MAX_IDLE_BUFFER: usize = 4 << 10;

/// One connection, with its owner's state `T`.
#[derive(Debug)]
pub struct Socket<T> {
    pub(crate) stream: Rc<TcpStream>,
    pub(crate) token: Option<RegistrationToken>,
    pub(crate) serial: u64,
    /// Whether the loop has reported that there is something to read.
    pub(crate) is_readable: bool,
    /// Whether it is in the queue of ready sockets.
    pub(crate) is_ready_queued: bool,
    /// Whether it is in the list of sockets to flush.
    pub(crate) is_flush_queued: bool,
    is_read_closed: bool,
    is_broken: bool,
    /// Bytes received and not yet consumed.
    pub input: Vec<u8>,
    pub(crate) output: Vec<u8>,
    /// Bytes of `output` that the system has taken.
    written: usize,
    /// Bytes that the system has taken since the connection began.
    sent: u64,
    /// Since when something waits that the system does not take.
    write_blocked_since: Option<Instant>,
    pub(crate) deadline: Option<Instant>,
    /// When the peer last sent something, or connected.
    pub(crate) last_received: Instant,
    /// The owner's state.
    pub state: T,
}

impl<T> Socket<T> {
    pub(crate) fn new(stream: Rc<TcpStream>, serial: u64, state: T) -> Socket<T> {
        Socket {
            stream,
            token: None,
            serial,
            is_readable: false,
            is_ready_queued: false,
            is_flush_queued: false,
            is_read_closed: false,
            is_broken: false,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            sent: 0,
            write_blocked_since: None,
            deadline: None,
            last_received: Instant::now(),
            state,
        }
    }

    /// The position of the next byte to be written, in all that the connection sends.
    pub fn write_position(&self) -> u64 {
        self.sent + self.unsent_bytes() as u64
    }

    /// The position up to which the system has taken what was written.
    pub fn sent_position(&self) -> u64 {
        self.sent
    }

    /// Bytes that the system has not taken yet.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Since when something waits for the peer without interruption; `None` where everything was sent, or nothing was tried
    /// yet.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since
    }

    /// Whether the peer has closed the connection, or it broke.
    pub fn is_read_closed(&self) -> bool {
        self.is_read_closed
    }

    /// Whether the system may hold more that was not read yet.
    pub fn may_have_unread(&self) -> bool {
        self.is_readable && !self.is_read_closed
    }

    /// Whether nothing more can be sent; what the peer sent before may still be read.
    pub fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// Tells the peer that nothing more is sent.
    pub fn shutdown_write(&self) {
        // The end of a broken connection is noticed by reading.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Whether all that was written has been sent to the peer, as far as the system can tell: nothing waits for room in the
    /// peer's buffer. Closing a connection while the peer sends destroys what has not been sent.
    pub fn is_all_sent(&self) -> bool {
        let socket = SockRef::from(&*self.stream);
        // Where the system does not know the option, what it has taken counts as sent.
        if self.unsent_bytes() > 0 || socket.set_tcp_notsent_lowat(1).is_err() {
            return self.unsent_bytes() == 0;
        }
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let mut polled = [PollFd::new(&*self.stream, PollFlags::OUT)];
        poll(&mut polled, Some(&no_wait)).map_or(true, |ready| ready > 0)
    }

    /// The peer's address.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// The address on this side.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.stream.local_addr().ok()
    }

    /// Removes what was written between two positions, unless some of it was sent already; returns whether it was removed.
    pub fn remove_unsent(&mut self, from: u64, to: u64) -> bool {
        if from < self.sent {
            return false;
        }
        if self.is_broken {
            // What waited was dropped when the connection broke; its owner may not have been notified yet.
            return true;
        }
        let index = |position: u64| (position - self.sent) as usize + self.written;
        let range = index(from)..index(to);
        self.output.drain(range);
        true
    }

    /// Drops bytes from the front of the input.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes);
        if self.input.is_empty() {
            self.input.shrink_to(MAX_IDLE_BUFFER);
        }
    }

    /// Reads what is there, at most as much as `buffer` holds. The end of the connection is noticed with the last bytes.
    pub(crate) fn read_available(&mut self, buffer: &mut [u8]) {
        let mut capacity = buffer.len();
        while capacity > 0 {
            match (&*self.stream).read(&mut buffer[..capacity]) {
                Ok(0) => self.is_read_closed = true,
                Ok(bytes) => {
                    self.last_received = Instant::now();
                    self.input.extend_from_slice(&buffer[..bytes]);
                    capacity -= bytes;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.is_read_closed = true,
            }
            self.is_readable = false;
            return;
        }
    }

    /// Sends as much of the output as the system takes. Nothing more is sent after `limit`; returns whether that was in time.
    pub(crate) fn flush(&mut self, limit: Option<Instant>) -> bool {
        while self.written < self.output.len() {
            if limit.is_some_and(|limit| Instant::now() > limit) {
                return false;
            }
            match (&*self.stream).write(&self.output[self.written..]) {
                Ok(bytes) if bytes > 0 => {
                    self.written += bytes;
                    self.sent += bytes as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.write_blocked_since.get_or_insert_with(Instant::now);
                    return true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => {
                    self.discard_output();
                    return true;
                }
            }
        }
        self.output.clear();
        self.output.shrink_to(MAX_IDLE_BUFFER);
        self.written = 0;
        self.write_blocked_since = None;
        true
    }

    /// Nothing more can be sent. What the peer sent before is still worth reading.
    fn discard_output(&mut self) {
        self.output.clear();
        self.written = 0;
        self.is_broken = true;
        self.is_readable = true;
    }
}
