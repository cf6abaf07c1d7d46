//! The protocol's state machine. Datagrams and the time go in, [`Output`]s come out; `probing` detects failures,
//! `suspicion` decides what is believed of members, `joining` finds the fleet and exchanges full member tables, `sending`
//! and `receiving` handle datagrams.
mod joining;
mod probing;
mod receiving;
mod sending;
mod suspicion;

use crate::gossip::GossipQueue;
use crate::member::Member;
use crate::replay::ReplayWindow;
use crate::settings::Settings;
use crate::wire::{self, RejectReason};
use joining::JoinSchedule;
use probing::{Probe, RelayedProbe};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use receiving::IntroductionBudget;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A datagram is to be sent.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// A member is new or its state has changed.
    MemberChanged(Member),
    /// A datagram was rejected.
    DatagramRejected {
        /// Where it came from.
        from: SocketAddr,
        /// Why.
        reason: RejectReason,
    },
    /// Another member uses this member's name. Reported once for each instance of it.
    NameConflict {
        /// Where it is.
        address: SocketAddr,
    },
    /// Another member has sent a message with [`Membership::send_message`].
    MessageReceived {
        /// The sender's name.
        from: Rc<str>,
        /// Whom among the membership's users it is for.
        topic: u8,
        /// Its payload.
        bytes: Vec<u8>,
    },
}

/// How many entries the state holds, for bounds on memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryCounts {
    /// Other members, including dead ones.
    pub members: usize,
    /// Addresses of members, seeds and senders.
    pub addresses: usize,
    /// Updates in the gossip queue.
    pub queued_updates: usize,
    /// Probes that are relayed for others.
    pub relayed_probes: usize,
}

/// Another member, and what the protocol remembers of it.
struct Peer {
    member: Member,
    window: ReplayWindow,
    /// The instances of those that suspect it.
    accusers: BTreeSet<u64>,
}

impl Peer {
    fn new(member: Member) -> Peer {
        Peer {
            member,
            window: ReplayWindow::default(),
            accusers: BTreeSet::new(),
        }
    }

    fn is_reachable(&self) -> bool {
        self.member.state.is_reachable()
    }
}

/// What is known of an address.
#[derive(Default)]
struct AddressRecord {
    /// The instance that is reached there; 0 where unknown.
    instance: u64,
    /// Sequence numbers of the last datagrams sent there.
    sent: VecDeque<u64>,
    /// The member that was last reached there.
    member: Option<Rc<str>>,
}

/// One member's view of its fleet, and the protocol that keeps it current.
pub struct Membership {
    settings: Settings,
    /// [`wire::cluster_id`] of the settings' cluster.
    cluster: u64,
    instance: u64,
    incarnation: u32,
    is_leaving: bool,
    now: Duration,
    random: StdRng,
    /// The sequence number of the last datagram.
    sequence: u64,
    peers: BTreeMap<Rc<str>, Peer>,
    /// How many of the peers are reachable.
    reachable_peers: usize,
    /// When each suspicion ends in a declaration of death.
    suspicion_ends: BTreeMap<Rc<str>, Duration>,
    addresses: BTreeMap<SocketAddr, AddressRecord>,
    gossip: GossipQueue,
    /// Members left to probe in this round, the next one last.
    probe_order: Vec<Rc<str>>,
    /// The number of the last probe, own or relayed.
    last_probe: u32,
    probe: Option<Probe>,
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    /// Lifeguard's local health multiplier; 0 is healthy.
    health: u32,
    next_period: Duration,
    /// Protocol periods since the start.
    periods: u32,
    join: JoinSchedule,
    introductions: IntroductionBudget,
    /// The last instance that a name conflict was reported for.
    conflicting_instance: u64,
    outputs: Vec<Output>,
}

impl Membership {
    /// A member that starts at `now`. `instance` must never be used again by a member of this name; `known_addresses` are
    /// those of members met before a restart, which are contacted beside the seeds; `random_seed` drives all random choices.
    pub fn new(
        mut settings: Settings,
        instance: u64,
        known_addresses: &[SocketAddr],
        random_seed: u64,
        now: Duration,
    ) -> Membership {
        let contacts = known_addresses.iter().take(settings.max_members);
        settings.seeds.extend(contacts);
        Membership {
            cluster: wire::cluster_id(&settings.cluster),
            settings,
            instance: instance.max(1),
            incarnation: 0,
            is_leaving: false,
            now,
            random: StdRng::seed_from_u64(random_seed),
            sequence: 0,
            peers: BTreeMap::new(),
            reachable_peers: 0,
            suspicion_ends: BTreeMap::new(),
            addresses: BTreeMap::new(),
            gossip: GossipQueue::default(),
            probe_order: Vec::new(),
            last_probe: 0,
            probe: None,
            relayed_probes: BTreeMap::new(),
            health: 0,
            next_period: now,
            periods: 0,
            join: JoinSchedule::new(now),
            introductions: IntroductionBudget::default(),
            conflicting_instance: 0,
            outputs: Vec::new(),
        }
    }

    /// The settings that this member runs with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// This member's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Lifeguard's local health multiplier: 0 is healthy, and timeouts grow with it.
    pub fn health_multiplier(&self) -> u32 {
        self.health
    }

    /// All other members, in whatever state.
    pub fn other_members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// The other members that are alive or suspected.
    pub fn reachable_members(&self) -> impl Iterator<Item = &Member> {
        self.other_members().filter(|member| member.state.is_reachable())
    }

    /// How much the state holds.
    pub fn entry_counts(&self) -> EntryCounts {
        EntryCounts {
            members: self.peers.len(),
            addresses: self.addresses.len(),
            queued_updates: self.gossip.len(),
            relayed_probes: self.relayed_probes.len(),
        }
    }

    /// When [`Membership::due`] is to be called next.
    pub fn next_due(&self) -> Duration {
        let probe = self.probe.iter().map(Probe::next_due);
        let relays = self.relayed_probes.values().map(RelayedProbe::next_due);
        let suspicions = self.suspicion_ends.values().copied();
        let join = self.join.next_due().filter(|_| !self.is_leaving);
        probe
            .chain(relays)
            .chain(suspicions)
            .chain(join)
            .fold(self.next_period, Duration::min)
    }

    /// Takes what is to be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Advances the protocol to `now`: timeouts, suspicions, joining and the periodic probe.
    pub fn due(&mut self, now: Duration) {
        let lateness = now.saturating_sub(self.next_due());
        self.advance_clock(now);
        if lateness > self.settings.protocol_period {
            self.recover_from_pause(lateness);
        }
        self.expire_relayed_probes();
        self.check_probe();
        self.expire_suspicions();
        if !self.is_leaving && self.join.is_due(self.now) {
            self.try_join();
        }
        if self.next_period <= self.now {
            self.begin_period();
        }
    }

    /// Announces to a few members that this one leaves; they pass it on.
    pub fn leave(&mut self, now: Duration) {
        self.advance_clock(now);
        self.is_leaving = true;
        self.incarnation += 1;
        self.announce_leaving();
    }

    /// Time does not run backwards.
    fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn begin_period(&mut self) {
        // Missed periods are not made up for.
        self.next_period = self.now + self.settings.protocol_period;
        self.periods = self.periods.wrapping_add(1);
        if self.is_leaving {
            return;
        }
        self.forget_dead_members();
        if joining::exchanges_in_period(self.periods) {
            self.request_exchanges();
        }
        if self.probe.is_none() {
            self.probe_next_member();
        }
    }

    /// After a pause of this process, members that did not answer meanwhile are not to blame.
    fn recover_from_pause(&mut self, lateness: Duration) {
        self.probe = None;
        self.relayed_probes.clear();
        for end in self.suspicion_ends.values_mut() {
            *end += lateness;
        }
        self.degrade_health();
    }

    /// Members of the fleet as far as they are reachable, this one included.
    fn fleet_size(&self) -> usize {
        1 + self.reachable_peers
    }

    /// Addresses of at most `count` reachable members that satisfy `filter`, chosen at random.
    fn random_members(&mut self, count: usize, filter: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let candidates = self.reachable_members().filter(|member| filter(member));
        let mut addresses: Vec<SocketAddr> = candidates.map(|member| member.address).collect();
        addresses.shuffle(&mut self.random);
        addresses.truncate(count);
        addresses
    }

    fn address_record(&mut self, address: SocketAddr) -> &mut AddressRecord {
        self.addresses.entry(address).or_default()
    }

    fn forget_dead_members(&mut self) {
        let retention = self.settings.dead_retention;
        let now = self.now;
        let is_expired = |peer: &Peer| !peer.is_reachable() && peer.member.state_since + retention < now;
        let expired: Vec<Rc<str>> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_expired(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.gossip.remove(&name);
            self.peers.remove(&name);
        }
    }

    /// Drops the records of addresses that no member or seed has.
    fn forget_unused_addresses(&mut self) {
        let mut used: BTreeSet<SocketAddr> = self.other_members().map(|member| member.address).collect();
        used.extend(&self.settings.seeds);
        self.addresses.retain(|address, _| used.contains(address));
    }
}
