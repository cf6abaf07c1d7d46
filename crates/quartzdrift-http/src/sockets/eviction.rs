//! Which connections may be closed to make room for others.
use super::{SocketId, Sockets};
use crate::socket::{Socket, poll_now};
use rustix::event::{PollFd, PollFlags};
use std::collections::VecDeque;

/// What the system knows of a peer, without a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerActivity {
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

/// Asks poll(2) for unread input and for the end of the peer's.
fn input_poll<T>(socket: &Socket<T>) -> PollFd<'_> {
    PollFd::new(&*socket.stream, PollFlags::IN | PollFlags::RDHUP)
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
        let mut polled: Vec<PollFd> = candidates
            .iter()
            .map(|(_, _, socket)| input_poll(socket))
            .collect();
        if poll_now(&mut polled).is_err() {
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

    /// Takes the first of a survey's silent connections that is still silent and idle, and returns it.
    pub fn take_idle(&self, survey: &mut Survey, is_idle: impl Fn(&Socket<T>) -> bool) -> Option<SocketId> {
        let is_still_idle = |id: SocketId| {
            self.get(id).is_some_and(&is_idle) && self.peer_activity(id) == Some(PeerActivity::Silent)
        };
        std::iter::from_fn(|| survey.silent.pop_front()).find(|id| is_still_idle(*id))
    }

    /// Returns what the system knows of a socket's peer; `None` if the socket is closed.
    pub(super) fn peer_activity(&self, id: SocketId) -> Option<PeerActivity> {
        let mut polled = [input_poll(self.get(id)?)];
        let is_polled = poll_now(&mut polled).is_ok();
        Some(if is_polled {
            activity(polled[0].revents())
        } else {
            PeerActivity::HasSent
        })
    }
}
