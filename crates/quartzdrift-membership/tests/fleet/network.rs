//! A fleet of members on a simulated network and a simulated clock.
use quartzdrift_membership::{MemberState, Membership, Output, RejectReason, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (member / 250) as u8, (member % 250) as u8], 7000))
}

pub(crate) fn settings(member: usize) -> Settings {
    Settings {
        name: format!("m{member}"),
        address: address(member),
        cluster: "test".to_owned(),
        seeds: vec![address(0), address(1)],
        keys: vec![b"first".to_vec()],
        ..Settings::default()
    }
}

/// A change of a member's state in the table of another member, the observer.
#[derive(Debug)]
pub(crate) struct StateChange {
    pub(crate) at: Duration,
    pub(crate) observer: usize,
    pub(crate) name: String,
    pub(crate) state: MemberState,
}

/// A sent datagram that has not been received yet.
#[derive(Clone)]
pub(crate) struct InFlight {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

/// A network that delivers each datagram after 0.5 to 3 ms, loses a share of them, and blocks some links.
pub(crate) struct Network {
    pub(crate) now: Duration,
    pub(crate) members: Vec<Option<Membership>>,
    /// Until when each member is paused; datagrams that arrive during the pause are received at its end.
    pub(crate) paused_until: Vec<Duration>,
    /// Datagrams in flight by arrival time; a unique number orders those that arrive at the same time.
    pub(crate) in_flight: BTreeMap<(Duration, u64), InFlight>,
    /// The last unique number given to a datagram or used as the random seed of a member.
    last_number: u64,
    random: StdRng,
    /// Share of the datagrams that are lost, from 0 to 1.
    pub(crate) loss_rate: f64,
    /// Pairs of sender and recipient between which no datagram is delivered.
    pub(crate) blocked_links: BTreeSet<(usize, usize)>,
    /// Rejected datagrams: the recipient and the reason.
    pub(crate) rejections: Vec<(usize, RejectReason)>,
    pub(crate) changes: Vec<StateChange>,
    /// Received messages: the recipient and the payload.
    pub(crate) messages: Vec<(usize, Vec<u8>)>,
    /// Members that reported a name conflict.
    pub(crate) name_conflicts: Vec<usize>,
    pub(crate) sent_bytes: u64,
}

impl Network {
    pub(crate) fn new(size: usize, seed: u64) -> Network {
        let mut network = Network {
            now: Duration::ZERO,
            members: Vec::new(),
            paused_until: vec![Duration::ZERO; size],
            in_flight: BTreeMap::new(),
            last_number: seed << 32,
            random: StdRng::seed_from_u64(seed),
            loss_rate: 0.0,
            blocked_links: BTreeSet::new(),
            rejections: Vec::new(),
            changes: Vec::new(),
            messages: Vec::new(),
            name_conflicts: Vec::new(),
            sent_bytes: 0,
        };
        for member in 0..size {
            network.members.push(None);
            network.start(member);
        }
        network
    }

    pub(crate) fn start(&mut self, member: usize) {
        self.start_with(member, settings(member));
    }

    pub(crate) fn start_with(&mut self, member: usize, settings: Settings) {
        self.last_number += 1;
        let instance = self.random.random_range(1..u64::MAX);
        self.members[member] = Some(Membership::new(
            settings,
            instance,
            &[],
            self.last_number,
            self.now,
        ));
    }

    /// The member that has an address.
    fn member_at(address: SocketAddr) -> usize {
        let SocketAddr::V4(address) = address else {
            unreachable!("the simulated network has only IPv4 addresses")
        };
        let octets = address.ip().octets();
        usize::from(octets[2]) * 250 + usize::from(octets[3])
    }

    /// Takes the outputs of a member, sends its datagrams and records the rest.
    pub(crate) fn carry_out(&mut self, member: usize) {
        let outputs = self.members[member]
            .as_mut()
            .map(Membership::take_outputs)
            .unwrap_or_default();
        for output in outputs {
            match output {
                Output::SendDatagram { to, bytes } => {
                    assert!(bytes.len() <= 1200);
                    self.sent_bytes += bytes.len() as u64;
                    self.send_datagram(member, Network::member_at(to), bytes);
                }
                Output::MemberChanged(changed) => {
                    let name = changed.name.to_string();
                    self.changes.push(StateChange {
                        at: self.now,
                        observer: member,
                        name,
                        state: changed.state,
                    });
                }
                Output::DatagramRejected { reason, .. } => self.rejections.push((member, reason)),
                Output::NameConflict { .. } => self.name_conflicts.push(member),
                Output::MessageReceived { bytes, .. } => self.messages.push((member, bytes)),
            }
        }
    }

    /// Sends a datagram, unless its link is blocked or the datagram is lost.
    pub(crate) fn send_datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if to >= self.members.len()
            || self.blocked_links.contains(&(from, to))
            || self.random.random_range(0.0..1.0) < self.loss_rate
        {
            return;
        }
        self.last_number += 1;
        let arrival = self.now + Duration::from_micros(self.random.random_range(500..3000));
        let position = (arrival.max(self.paused_until[to]), self.last_number);
        self.in_flight.insert(position, InFlight { from, to, bytes });
    }

    /// Advances the clock by `duration`. Delivers the datagrams and fires the timers that are due by then.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let timer = self.next_timer();
            let due = timer.map(|(at, _)| at);
            let arrival = self.in_flight.first_key_value().map(|(key, _)| key.0);
            let Some(at) = due.into_iter().chain(arrival).min().filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if arrival == Some(at) && due.is_none_or(|due| at <= due) {
                self.receive_next();
            } else if let Some((_, member)) = timer {
                self.run_timer(member);
            }
        }
        self.now = end;
    }

    /// The earliest timer of all members: its time and its member.
    fn next_timer(&self) -> Option<(Duration, usize)> {
        let due = |member: usize| {
            Some(
                self.members[member]
                    .as_ref()?
                    .next_due()
                    .max(self.paused_until[member]),
            )
        };
        (0..self.members.len())
            .filter_map(|member| Some((due(member)?, member)))
            .min()
    }

    fn receive_next(&mut self) {
        let Some((_, datagram)) = self.in_flight.pop_first() else {
            return;
        };
        if let Some(member) = &mut self.members[datagram.to] {
            member.receive(self.now, address(datagram.from), &datagram.bytes);
        }
        self.carry_out(datagram.to);
    }

    fn run_timer(&mut self, member: usize) {
        if let Some(membership) = &mut self.members[member] {
            membership.due(self.now);
        }
        self.carry_out(member);
    }

    /// The state of a member in the table of another one; `None` if it is not in the table.
    pub(crate) fn state(&self, observer: usize, member: usize) -> Option<MemberState> {
        let name = format!("m{member}");
        self.members[observer]
            .as_ref()?
            .other_members()
            .find(|other| *other.name == *name)
            .map(|other| other.state)
    }

    /// Whether each of these members has all the others in its table as alive.
    pub(crate) fn are_all_alive(&self, members: impl Iterator<Item = usize> + Clone) -> bool {
        let sees_alive =
            |observer, member| observer == member || self.state(observer, member) == Some(MemberState::Alive);
        members
            .clone()
            .all(|observer| members.clone().all(|member| sees_alive(observer, member)))
    }

    /// When the first other member recorded a member in this state.
    pub(crate) fn first_observed(&self, member: usize, state: MemberState) -> Option<Duration> {
        let name = format!("m{member}");
        self.changes
            .iter()
            .find(|change| change.name == name && change.state == state)
            .map(|change| change.at)
    }

    pub(crate) fn was_any_declared_dead(&self) -> bool {
        self.changes
            .iter()
            .any(|change| change.state == MemberState::Dead)
    }
}
