//! Which connections may be closed to make room for others.
use super::accept::NO_WAIT;
use super::{SocketId, Sockets};
use crate::socket::Socket;
use rustix::event::{PollFd, PollFlags, poll};
use std::collections::VecDeque;

/// What the system knows of a peer, without a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerActivity {
    /// The peer has sent nothing that was not read.
    Silent,
    /// There is unread input, or the system does not tell.
    HasSent,
    /// The peer has closed its sending side. Input that it sent before may be unread.
    Disconnected,
}

/// Connections that may be closed, at one moment.
#[derive(Debug, Default)]
pub struct Survey {
    /// Connections whose peers have disconnected.
    pub disconnected: VecDeque<SocketId>,
    /// Silent connections without unsent output, in the order in which they are to be closed.
    pub silent: VecDeque<SocketId>,
}

/// Interprets the result of poll(2). Input and the peer's end are told apart although the input is unread.
fn activity(ready: PollFlags) -> PeerActivity {
    if ready.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR) {
        PeerActivity::Disconnected
    } else if ready.is_empty() {
        PeerActivity::Silent
    } else {
        PeerActivity::HasSent
    }
}

impl<S: 'static, T: 'static> Sockets<S, T> {
    /// Finds the connections of peers that have disconnected, and the silent ones, with one system call. Only
    /// connections with a rank count. Silent ones are in the order of their ranks; of those with equal ranks, the
    /// one comes first that has received nothing for the longest time.
    pub fn survey<R: Ord>(&self, rank: impl Fn(&Socket<T>) -> Option<R>) -> Survey {
        let ranked = |(id, socket)| Some((rank(socket)?, id, socket));
        let mut candidates: Vec<(R, SocketId, &Socket<T>)> = self.iter().filter_map(ranked).collect();
        candidates.sort_by(|(rank, _, socket), (other_rank, _, other)| {
            rank.cmp(other_rank)
                .then(socket.last_received.cmp(&other.last_received))
        });
        let poll_flags = PollFlags::IN | PollFlags::RDHUP;
        let mut polled: Vec<PollFd> = candidates
            .iter()
            .map(|(_, _, socket)| PollFd::new(&*socket.stream, poll_flags))
            .collect();
        if poll(&mut polled, Some(&NO_WAIT)).is_err() {
            return Survey::default();
        }
        let mut survey = Survey::default();
        for ((_, id, socket), polled) in candidates.iter().zip(&polled) {
            match activity(polled.revents()) {
                PeerActivity::Disconnected => survey.disconnected.push_back(*id),
                PeerActivity::Silent if socket.unsent_bytes() == 0 => survey.silent.push_back(*id),
                PeerActivity::Silent | PeerActivity::HasSent => {}
            }
        }
        survey
    }

    /// Returns what the system knows of a socket's peer; `None` if the socket is closed.
    pub fn peer_activity(&self, id: SocketId) -> Option<PeerActivity> {
        let socket = self.get(id)?;
        let mut polled = [PollFd::new(&*socket.stream, PollFlags::IN | PollFlags::RDHUP)];
        let is_polled = poll(&mut polled, Some(&NO_WAIT)).is_ok();
        Some(if is_polled {
            activity(polled[0].revents())
        } else {
            PeerActivity::HasSent
        })
    }
}
