//! One TCP connection with its input and output buffers.
use calloop::RegistrationToken;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Maximum bytes read from one socket at a time, so that one busy peer does not delay the other sockets.
pub(crate) const MAX_READ_BYTES: usize = 64 << 10;
/// Maximum capacity, in bytes, that an empty buffer keeps.
const MAX_EMPTY_CAPACITY: usize = 4 << 10;
/// Ratio of a buffer's capacity to its content from which the capacity is reduced.
const MAX_CAPACITY_RATIO: usize = 4;

/// Calls poll(2) without waiting. Returns the number of descriptors that are ready.
pub(crate) fn poll_now(polled: &mut [PollFd]) -> rustix::io::Result<usize> {
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(polled, Some(&no_wait))
}

/// One TCP connection with the state `T` that its owner attaches to it.
#[derive(Debug)]
pub struct Socket<T> {
    pub(crate) stream: Rc<TcpStream>,
    pub(crate) token: Option<RegistrationToken>,
    pub(crate) serial: u64,
    /// Whether the system may have input to read: set by the event loop, cleared by a read that would block.
    pub(crate) is_readable: bool,
    /// Whether the socket is in the queue of ready sockets.
    pub(crate) is_ready_queued: bool,
    /// Whether the socket is in the queue of sockets to flush.
    pub(crate) is_flush_queued: bool,
    is_read_closed: bool,
    is_broken: bool,
    /// Bytes received and not yet consumed.
    pub input: Vec<u8>,
    pub(crate) output: Vec<u8>,
    /// Bytes at the front of `output` that the system has accepted.
    written: usize,
    /// Bytes that the system has accepted since the connection was opened.
    sent_total: u64,
    /// When a write first blocked since the output was last empty.
    write_blocked_since: Option<Instant>,
    pub(crate) deadline: Option<Instant>,
    /// When bytes were last received, initially when the socket was created.
    pub(crate) last_received: Instant,
    /// State attached by the owner.
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
            sent_total: 0,
            write_blocked_since: None,
            deadline: None,
            last_received: Instant::now(),
            state,
        }
    }

    /// Stream position of the next byte to be written: all bytes written since the connection was opened,
    /// sent or not.
    pub fn write_position(&self) -> u64 {
        self.sent_total + self.unsent_bytes() as u64
    }

    /// Stream position up to which the system has accepted the written bytes.
    pub fn sent_position(&self) -> u64 {
        self.sent_total
    }

    /// Written bytes that the system has not accepted yet.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Bytes of memory that the output buffer uses.
    pub fn output_capacity(&self) -> usize {
        self.output.capacity()
    }

    /// When a write first blocked since the output was last empty; `None` if no write has blocked since then.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since
    }

    /// Whether no more input will arrive: the peer has closed its sending side, or a read failed.
    pub fn is_read_closed(&self) -> bool {
        self.is_read_closed
    }

    /// Whether the system may hold input that was not read yet.
    pub fn may_have_unread(&self) -> bool {
        self.is_readable && !self.is_read_closed
    }

    /// Whether a write failed. No more output can be sent, but input that the peer sent before can still be
    /// read.
    pub fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// Closes the sending side of the connection; the receiving side stays open.
    pub fn shutdown_write(&self) {
        // An error means that the connection is closed already; the next read reports that.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Whether the system has transmitted all written bytes, so that none waits for space in the peer's
    /// receive buffer.
    ///
    /// Closing a connection with unread input sends a reset, which discards bytes that were not transmitted.
    pub fn is_all_sent(&self) -> bool {
        let socket = SockRef::from(&*self.stream);
        // If the system lacks TCP_NOTSENT_LOWAT, bytes that it has accepted count as transmitted.
        if self.unsent_bytes() > 0 || socket.set_tcp_notsent_lowat(1).is_err() {
            return self.unsent_bytes() == 0;
        }
        let mut polled = [PollFd::new(&*self.stream, PollFlags::OUT)];
        poll_now(&mut polled).map_or(true, |ready| ready > 0)
    }

    /// Remote address, unless the connection is closed.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// Local address, unless the connection is closed.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.stream.local_addr().ok()
    }

    /// Removes the output between two stream positions, unless the system has accepted some of it. Returns
    /// whether it was removed.
    pub fn remove_unsent(&mut self, from: u64, to: u64) -> bool {
        if from < self.sent_total {
            return false;
        }
        if self.is_broken {
            // The failed write has discarded all unsent output, perhaps before the owner was notified.
            return true;
        }
        let index = |position: u64| (position - self.sent_total) as usize + self.written;
        let range = index(from)..index(to);
        self.output.drain(range);
        true
    }

    /// Removes bytes from the front of the input after the owner has processed them.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes);
        if self.input.len() <= self.input.capacity() / MAX_CAPACITY_RATIO {
            self.input.shrink_to(MAX_EMPTY_CAPACITY.max(self.input.len()));
        }
    }

    /// Reads the available input, at most as many bytes as `buffer` holds. Also detects the end of the
    /// stream.
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
        // The system may hold more than the buffer, even if the event loop has not reported it.
        self.is_readable = true;
    }

    /// Sends output until the system accepts no more or `deadline` passes. Returns `false` if the deadline
    /// passed with output left.
    pub(crate) fn flush(&mut self, deadline: Option<Instant>) -> bool {
        while self.written < self.output.len() {
            if deadline.is_some_and(|deadline| Instant::now() > deadline) {
                return false;
            }
            match (&*self.stream).write(&self.output[self.written..]) {
                Ok(bytes) if bytes > 0 => {
                    self.written += bytes;
                    self.sent_total += bytes as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.write_blocked_since.get_or_insert_with(Instant::now);
                    self.discard_written();
                    return true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => {
                    self.fail_write();
                    return true;
                }
            }
        }
        self.output.clear();
        self.output.shrink_to(MAX_EMPTY_CAPACITY);
        self.written = 0;
        self.write_blocked_since = None;
        true
    }

    /// Removes the bytes that the system has accepted from the buffer, once they are at least half of it. A
    /// peer that never reads everything would otherwise make the buffer grow without end.
    fn discard_written(&mut self) {
        if self.written >= self.unsent_bytes() {
            self.output.drain(..self.written);
            self.written = 0;
            self.output.shrink_to(MAX_EMPTY_CAPACITY.max(self.output.len()));
        }
    }

    /// Discards the output after a failed write and marks the socket readable: the peer may have sent input
    /// before the failure.
    fn fail_write(&mut self) {
        self.output.clear();
        self.written = 0;
        self.is_broken = true;
        self.is_readable = true;
    }
}
