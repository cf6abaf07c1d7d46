//! The protocol's state machine, which turns received datagrams and the time into [`Output`]s.
//!
//! `probing` detects failures, `suspicion` decides the state of each member, `joining` contacts the fleet and
//! exchanges full member tables, `sending` and `receiving` handle datagrams.
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
use receiving::IntroductionRateLimiter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An action or a notification for the caller of [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The caller has to send a datagram.
    SendDatagram {
        /// Destination address.
        to: SocketAddr,
        /// The encoded and signed datagram.
        bytes: Vec<u8>,
    },
    /// A member was added to the table, or an update has changed its record.
    MemberChanged(Member),
    /// A received datagram was rejected.
    DatagramRejected {
        /// Address that the datagram came from.
        from: SocketAddr,
        /// The failed check.
        reason: RejectReason,
    },
    /// Another member uses this member's name. Consecutive conflicts with the same instance are reported
    /// once.
    NameConflict {
        /// Address of the other member.
        address: SocketAddr,
    },
    /// Another member has sent a message with [`Membership::send_message`].
    MessageReceived {
        /// Name of the sending member.
        from: Rc<str>,
        /// Selects the component of the application that handles the message.
        topic: u8,
        /// Payload of the message.
        bytes: Vec<u8>,
    },
}

/// Numbers of entries in the state of a [`Membership`], which determine its memory use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryCounts {
    /// Other members, including those that are dead or have left.
    pub members: usize,
    /// Addresses of members, seeds and senders of datagrams.
    pub addresses: usize,
    /// Updates in the gossip queue.
    pub queued_updates: usize,
    /// Probes that this member relays for others.
    pub relayed_probes: usize,
}

/// Another member, its replay window and the suspicions against it.
struct Peer {
    member: Member,
    replay_window: ReplayWindow,
    /// Instances of the members that suspect it.
    suspecting_instances: BTreeSet<u64>,
}

impl Peer {
    fn new(member: Member) -> Peer {
        Peer {
            member,
            replay_window: ReplayWindow::default(),
            suspecting_instances: BTreeSet::new(),
        }
    }

    fn is_reachable(&self) -> bool {
        self.member.state.is_reachable()
    }
}

/// The process at an address and the last datagrams sent to it.
#[derive(Default)]
struct AddressRecord {
    /// Instance of the process at the address; 0 if unknown.
    instance: u64,
    /// Sequence numbers of the last datagrams sent to the address.
    sent_sequences: VecDeque<u64>,
    /// Name of the member that was last recorded with this address.
    member_name: Option<Rc<str>>,
}

/// One member's table of its fleet, and the SWIM protocol that keeps the table current.
pub struct Membership {
    settings: Settings,
    /// The [`wire::cluster_id`] of the cluster named in the settings.
    cluster: u64,
    instance: u64,
    incarnation: u32,
    is_leaving: bool,
    now: Duration,
    random: StdRng,
    /// Sequence number of the last datagram sent.
    sequence: u64,
    peers: BTreeMap<Rc<str>, Peer>,
    /// Number of peers that are alive or suspected.
    reachable_peers: usize,
    /// When each suspect is declared dead, by its name.
    suspicion_deadlines: BTreeMap<Rc<str>, Duration>,
    addresses: BTreeMap<SocketAddr, AddressRecord>,
    gossip: GossipQueue,
    /// Names of the members still to be probed in this round; the last entry is probed next.
    probe_order: Vec<Rc<str>>,
    /// Number of the last probe that this member sent for itself or relayed for another.
    last_probe_number: u32,
    /// The probe whose answer is awaited.
    current_probe: Option<Probe>,
    /// Probes relayed for other members, by the probe number in the ping to the target.
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    /// Lifeguard's local health multiplier; 0 is healthy.
    health_multiplier: u32,
    next_period_at: Duration,
    /// Protocol periods since the start.
    period_count: u32,
    join_schedule: JoinSchedule,
    introduction_limiter: IntroductionRateLimiter,
    /// Instance of the other member in the last name conflict.
    conflicting_instance: u64,
    outputs: Vec<Output>,
}

impl Membership {
    /// Creates a member that starts at `now`. `instance` must be unique among all starts of members of this
    /// name. `known_addresses` are addresses of members known before a restart, which are contacted in
    /// addition to the seeds. `random_seed` determines all random choices.
    pub fn new(
        mut settings: Settings,
        instance: u64,
        known_addresses: &[SocketAddr],
        random_seed: u64,
        now: Duration,
    ) -> Membership {
        let additional_seeds = known_addresses.iter().take(settings.max_members);
        settings.seeds.extend(additional_seeds);
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
            suspicion_deadlines: BTreeMap::new(),
            addresses: BTreeMap::new(),
            gossip: GossipQueue::default(),
            probe_order: Vec::new(),
            last_probe_number: 0,
            current_probe: None,
            relayed_probes: BTreeMap::new(),
            health_multiplier: 0,
            next_period_at: now,
            period_count: 0,
            join_schedule: JoinSchedule::new(now),
            introduction_limiter: IntroductionRateLimiter::default(),
            conflicting_instance: 0,
            outputs: Vec::new(),
        }
    }

    /// The settings, with the addresses known before a restart added to the seeds.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// This member's current SWIM incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Lifeguard's local health multiplier: 0 is healthy, and probe timeouts grow with it.
    pub fn health_multiplier(&self) -> u32 {
        self.health_multiplier
    }

    /// All other members, in any state.
    pub fn other_members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// The other members that are alive or suspected.
    pub fn reachable_members(&self) -> impl Iterator<Item = &Member> {
        self.other_members().filter(|member| member.state.is_reachable())
    }

    /// Counts the entries of the state.
    pub fn entry_counts(&self) -> EntryCounts {
        EntryCounts {
            members: self.peers.len(),
            addresses: self.addresses.len(),
            queued_updates: self.gossip.len(),
            relayed_probes: self.relayed_probes.len(),
        }
    }

    /// When [`Membership::due`] has to be called next.
    pub fn next_due(&self) -> Duration {
        let probe = self.current_probe.iter().map(Probe::next_due);
        let relays = self.relayed_probes.values().map(RelayedProbe::next_due);
        let suspicions = self.suspicion_deadlines.values().copied();
        let join = self.join_schedule.next_due().filter(|_| !self.is_leaving);
        probe
            .chain(relays)
            .chain(suspicions)
            .chain(join)
            .fold(self.next_period_at, Duration::min)
    }

    /// Removes and returns the outputs that have accumulated since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Advances the protocol to `now`: handles expired probes and suspicions, joins, and starts the next
    /// period.
    pub fn due(&mut self, now: Duration) {
        let lateness = now.saturating_sub(self.next_due());
        self.advance_clock(now);
        if lateness > self.settings.protocol_period {
            self.compensate_for_pause(lateness);
        }
        self.expire_relayed_probes();
        self.check_probe();
        self.expire_suspicions();
        if !self.is_leaving && self.join_schedule.is_due(self.now) {
            self.contact_seeds();
        }
        if self.next_period_at <= self.now {
            self.begin_period();
        }
    }

    /// Announces to a few members that this one leaves; gossip informs the others.
    pub fn leave(&mut self, now: Duration) {
        self.advance_clock(now);
        self.is_leaving = true;
        self.incarnation += 1;
        self.announce_leaving();
    }

    /// Sets the current time, which never decreases.
    fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn begin_period(&mut self) {
        // After a late call, missed periods are skipped instead of caught up.
        self.next_period_at = self.now + self.settings.protocol_period;
        self.period_count = self.period_count.wrapping_add(1);
        if self.is_leaving {
            return;
        }
        self.remove_expired_members();
        if joining::is_exchange_period(self.period_count) {
            self.request_exchanges();
        }
        if self.current_probe.is_none() {
            self.probe_next_member();
        }
    }

    /// Drops pending probes and extends suspicions after a pause of this process: it could not receive
    /// answers and refutations during the pause, so their absence is no evidence of a failure.
    fn compensate_for_pause(&mut self, pause: Duration) {
        self.current_probe = None;
        self.relayed_probes.clear();
        for deadline in self.suspicion_deadlines.values_mut() {
            *deadline += pause;
        }
        self.degrade_health();
    }

    /// Number of members that are alive or suspected, including this one.
    fn fleet_size(&self) -> usize {
        1 + self.reachable_peers
    }

    /// Chooses at random up to `count` reachable members that satisfy `filter`, and returns their addresses.
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

    /// Removes members that have been dead or have left for longer than the retention time.
    fn remove_expired_members(&mut self) {
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

    /// Removes the records of addresses that belong to no member or seed.
    fn remove_unused_addresses(&mut self) {
        let mut used: BTreeSet<SocketAddr> = self.other_members().map(|member| member.address).collect();
        used.extend(&self.settings.seeds);
        self.addresses.retain(|address, _| used.contains(address));
    }
}
