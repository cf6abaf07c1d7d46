//! A fleet over a simulated network, driven by simulated time.
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

/// A member was seen to enter a state.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) at: Duration,
    pub(crate) observer: usize,
    pub(crate) name: String,
    pub(crate) state: MemberState,
}

/// A datagram on its way.
#[derive(Clone)]
pub(crate) struct InFlight {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

/// A network that delivers datagrams within half a millisecond to three, loses some, and is cut between some pairs.
pub(crate) struct Network {
    pub(crate) now: Duration,
    pub(crate) members: Vec<Option<Membership>>,
    /// Until when each member does nothing; it then receives what arrived meanwhile.
    pub(crate) paused: Vec<Duration>,
    pub(crate) in_flight: BTreeMap<(Duration, u64), InFlight>,
    last_number: u64,
    random: StdRng,
    pub(crate) loss: f64,
    /// Pairs of sender and recipient between which nothing is delivered.
    pub(crate) cut: BTreeSet<(usize, usize)>,
    pub(crate) rejected: Vec<(usize, RejectReason)>,
    pub(crate) changes: Vec<Change>,
    pub(crate) messages: Vec<(usize, Vec<u8>)>,
    /// Members that reported a name conflict.
    pub(crate) name_conflicts: Vec<usize>,
    pub(crate) bytes: u64,
}

impl Network {
    pub(crate) fn new(size: usize, seed: u64) -> Network {
        let mut network = Network {
            now: Duration::ZERO,
            members: Vec::new(),
            paused: vec![Duration::ZERO; size],
            in_flight: BTreeMap::new(),
            last_number: seed << 32,
            random: StdRng::seed_from_u64(seed),
            loss: 0.0,
            cut: BTreeSet::new(),
            rejected: Vec::new(),
            changes: Vec::new(),
            messages: Vec::new(),
            name_conflicts: Vec::new(),
            bytes: 0,
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

    fn index(address: SocketAddr) -> usize {
        let SocketAddr::V4(address) = address else {
            unreachable!("all addresses are of IPv4")
        };
        let octets = address.ip().octets();
        usize::from(octets[2]) * 250 + usize::from(octets[3])
    }

    pub(crate) fn carry_out(&mut self, member: usize) {
        let outputs = self.members[member]
            .as_mut()
            .map(Membership::take_outputs)
            .unwrap_or_default();
        for output in outputs {
            match output {
                Output::SendDatagram { to, bytes } => {
                    assert!(bytes.len() <= 1200);
                    self.bytes += bytes.len() as u64;
                    self.deliver(member, Network::index(to), bytes);
                }
                Output::MemberChanged(changed) => {
                    let name = changed.name.to_string();
                    self.changes.push(Change {
                        at: self.now,
                        observer: member,
                        name,
                        state: changed.state,
                    });
                }
                Output::DatagramRejected { reason, .. } => self.rejected.push((member, reason)),
                Output::NameConflict { .. } => self.name_conflicts.push(member),
                Output::MessageReceived { bytes, .. } => self.messages.push((member, bytes)),
            }
        }
    }

    pub(crate) fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if to >= self.members.len()
            || self.cut.contains(&(from, to))
            || self.random.random_range(0.0..1.0) < self.loss
        {
            return;
        }
        self.last_number += 1;
        let arrival = self.now + Duration::from_micros(self.random.random_range(500..3000));
        let position = (arrival.max(self.paused[to]), self.last_number);
        self.in_flight.insert(position, InFlight { from, to, bytes });
    }

    pub(crate) fn run(&mut self, length: Duration) {
        let end = self.now + length;
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

    /// When the next member is due, and which.
    fn next_timer(&self) -> Option<(Duration, usize)> {
        let due = |member: usize| Some(self.members[member].as_ref()?.next_due().max(self.paused[member]));
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

    /// The state of a member as another one sees it.
    pub(crate) fn state(&self, observer: usize, member: usize) -> Option<MemberState> {
        let name = format!("m{member}");
        self.members[observer]
            .as_ref()?
            .other_members()
            .find(|other| *other.name == *name)
            .map(|other| other.state)
    }

    /// Whether each of these sees all of them alive.
    pub(crate) fn is_whole(&self, members: impl Iterator<Item = usize> + Clone) -> bool {
        let sees_alive =
            |observer, member| observer == member || self.state(observer, member) == Some(MemberState::Alive);
        members
            .clone()
            .all(|observer| members.clone().all(|member| sees_alive(observer, member)))
    }

    /// When a member was first seen in a state.
    pub(crate) fn first_seen(&self, member: usize, state: MemberState) -> Option<Duration> {
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
