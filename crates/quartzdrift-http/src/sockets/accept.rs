//! Accepting connections, one at a time, so that the owner can make room for each before it is accepted.
use super::Sockets;
use crate::socket::{Socket, poll_now};
use rustix::event::{PollFd, PollFlags};
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum calls of accept(2) in one iteration of the loop, so that a burst of connections does not delay the
/// existing ones.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Pause after an error or a limit that prevents all listeners from accepting.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A round of accepting in one iteration of the loop, see [`Sockets::begin_accepting`].
#[derive(Debug, Default)]
pub struct AcceptRound {
    /// Calls of accept(2) so far.
    calls: usize,
    /// Index of the first listener whose queue was not emptied.
    listener: usize,
    accepted: usize,
    is_out_of_descriptors: bool,
    has_failed: bool,
    is_out_of_time: bool,
}

impl<S: 'static, T: 'static> Sockets<S, T> {
    /// Whether the last round of accepting left no connection waiting.
    pub fn accepted_all(&self) -> bool {
        self.accepted_all
    }

    /// Makes the next round call accept(2) even if the event loop has not reported a connection.
    pub fn mark_listeners_ready(&mut self) {
        self.are_listeners_ready = true;
    }

    /// Starts a round of accepting; `None` if no connection was reported. Each round must be ended with
    /// [`Sockets::end_accepting`].
    pub fn begin_accepting(&mut self) -> Option<AcceptRound> {
        std::mem::take(&mut self.are_listeners_ready).then(AcceptRound::default)
    }

    /// Accepts a waiting connection. Returns `None` if none waits, accepting has failed, or the round has reached its
    /// maximum of calls.
    pub fn accept_next(&mut self, round: &mut AcceptRound) -> Option<TcpStream> {
        while !round.has_failed && round.calls < MAX_ACCEPTS_PER_ITERATION {
            let (listener, _) = self.listeners.get(round.listener)?;
            round.calls += 1;
            match listener.accept() {
                Ok((stream, _)) => {
                    round.accepted += 1;
                    return Some(stream);
                }
                Err(error) => round.record_error(&error),
            }
        }
        None
    }

    /// Whether a connection waits to be accepted in this round, as far as the system tells.
    pub fn has_waiting_connection(&self, round: &mut AcceptRound) -> bool {
        while let Some((listener, _)) = self.listeners.get(round.listener) {
            let mut polled = [PollFd::new(&**listener, PollFlags::IN)];
            // Without an answer of the system a connection is taken to wait.
            if poll_now(&mut polled).map_or(true, |ready| ready > 0) {
                return true;
            }
            round.listener += 1;
        }
        false
    }

    /// Ends a round. If connections wait that could not be accepted, pauses accepting. If the process has no file
    /// descriptors left, the deadline of the longest idle socket is set to now.
    pub fn end_accepting(&mut self, round: &AcceptRound, is_idle: impl Fn(&Socket<T>) -> bool) {
        self.accepted_all = !round.has_failed && round.listener >= self.listeners.len();
        if round.is_out_of_descriptors {
            self.expire_longest_idle(is_idle);
        }
        let has_no_room = !self.accepted_all && round.accepted == 0 && !round.is_out_of_time;
        if round.has_failed || has_no_room {
            self.pause_accepting();
        }
    }

    /// Sets the deadline of the longest idle socket to now, so that the owner closes it.
    fn expire_longest_idle(&mut self, is_idle: impl Fn(&Socket<T>) -> bool) {
        let idle = self.iter().filter(|(_, socket)| is_idle(socket));
        let longest = idle.min_by_key(|(_, socket)| socket.last_received);
        if let Some(id) = longest.map(|(id, _)| id) {
            self.set_deadline(id, Some(Duration::ZERO));
        }
    }

    /// Disables the listeners for a while. Waiting connections that cannot be accepted keep a level-triggered
    /// listener ready, and the event loop would spin.
    fn pause_accepting(&mut self) {
        for (_, token) in &self.listeners {
            // An error means that the event loop is broken; its next dispatch reports that.
            let _ = self.handle.disable(token);
        }
        self.resume_accept_at = Some(Instant::now() + ACCEPT_PAUSE);
    }

    /// Ends a pause in accepting, as when a connection was closed.
    pub fn resume_accepting(&mut self) {
        if self.resume_accept_at.take().is_none() {
            return;
        }
        for (_, token) in &self.listeners {
            // An error means that the event loop is broken; its next dispatch reports that.
            let _ = self.handle.enable(token);
        }
        self.are_listeners_ready = true;
    }
}

impl AcceptRound {
    /// Records that the owner's time for the round is over, so that the next one follows without a pause.
    pub fn mark_out_of_time(&mut self) {
        self.is_out_of_time = true;
    }

    fn record_error(&mut self, error: &io::Error) {
        match AcceptError::classify(error) {
            AcceptError::WouldBlock => self.listener += 1,
            AcceptError::ConnectionFailed => {}
            AcceptError::DescriptorLimit => {
                self.is_out_of_descriptors = true;
                self.has_failed = true;
            }
            AcceptError::Other => self.has_failed = true,
        }
    }
}

/// Classes of accept(2) errors, by the way they are handled.
enum AcceptError {
    /// No connection waits to be accepted.
    WouldBlock,
    /// The connection failed before it was accepted, or the call was interrupted. Other connections may wait.
    ConnectionFailed,
    /// The process has reached its limit of file descriptors (EMFILE).
    DescriptorLimit,
    /// The system lacks resources, or another error prevents accepting.
    Other,
}

impl AcceptError {
    fn classify(error: &io::Error) -> AcceptError {
        match error.raw_os_error().unwrap_or_default() {
            libc::EAGAIN => AcceptError::WouldBlock,
            libc::EMFILE => AcceptError::DescriptorLimit,
            // Linux returns pending network errors of the new connection from accept(2).
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
