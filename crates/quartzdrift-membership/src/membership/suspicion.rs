//! The recorded state of each member: which updates override it, when suspicions expire, and how this member
//! refutes updates about itself.
use super::{Membership, Output, Peer};
use crate::member::{Member, MemberState, MemberUpdate};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Shortest suspicion timeout, in protocol periods for each factor of ten in the size of the fleet.
const MIN_SUSPICION_PERIODS: f64 = 4.0;
/// Longest suspicion timeout, as a multiple of the shortest.
const MAX_SUSPICION_RATIO: f64 = 6.0;
/// Number of independent confirmations of a suspicion that reduce its timeout to the shortest one.
const REQUIRED_CONFIRMATIONS: usize = 3;
/// Average number of members that notify a suspect directly when an update informs them of the suspicion.
const SUSPECT_NOTIFIERS: f64 = 6.0;
/// Number of members that are sent a refutation directly; gossip informs the others.
const REFUTATION_FANOUT: usize = 3;
/// Highest value of Lifeguard's local health multiplier.
const MAX_HEALTH_MULTIPLIER: u32 = 8;

impl Membership {
    /// Applies and gossips an update about another member if it overrides the record of that member.
    /// Otherwise the update may still confirm a suspicion.
    pub(super) fn apply_update(&mut self, update: MemberUpdate) {
        let name: Rc<str> = Rc::from(update.name.as_str());
        let is_applied = match self.peers.get(&name) {
            None => self.insert_peer(&name, &update),
            Some(peer) if overrides(peer, &update) => self.update_peer(&name, &update),
            Some(_) => return self.confirm_suspicion(name, update),
        };
        if is_applied {
            self.handle_member_change(name, update);
        }
    }

    /// Adds a member to the table. Returns `false` if the table is full.
    fn insert_peer(&mut self, name: &Rc<str>, update: &MemberUpdate) -> bool {
        if self.peers.len() >= self.settings.max_members {
            return false;
        }
        let member = Member::from_update(update, self.now);
        self.peers.insert(name.clone(), Peer::new(member));
        self.reachable_peers += usize::from(update.state.is_reachable());
        true
    }

    fn update_peer(&mut self, name: &Rc<str>, update: &MemberUpdate) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        self.reachable_peers += usize::from(update.state.is_reachable());
        self.reachable_peers -= usize::from(peer.is_reachable());
        peer.member.apply(update, self.now);
        true
    }

    /// Shortens a suspicion if the update shows that one more member suspects the member independently.
    fn confirm_suspicion(&mut self, name: Rc<str>, update: MemberUpdate) {
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        let is_suspected = peer.member.state == MemberState::Suspect;
        let is_suspicion = update.state == MemberState::Suspect && update.suspecting_instance != 0;
        let has_same_incarnation = peer.member.incarnation == update.incarnation;
        if !is_suspected || !is_suspicion || !has_same_incarnation {
            return;
        }
        let suspecting = &mut peer.suspecting_instances;
        if suspecting.len() <= REQUIRED_CONFIRMATIONS && suspecting.insert(update.suspecting_instance) {
            let suspecting_count = suspecting.len();
            let suspected_since = peer.member.state_since;
            let deadline = suspected_since + self.suspicion_timeout(suspecting_count);
            self.suspicion_deadlines.insert(name, deadline);
            self.gossip.push(update);
        }
    }

    /// Reports and gossips a new or changed member, and starts or ends the suspicion against it.
    fn handle_member_change(&mut self, name: Rc<str>, update: MemberUpdate) {
        let is_suspect = update.state == MemberState::Suspect;
        let suspicion_deadline = self.now + self.suspicion_timeout(1);
        self.suspicion_deadlines.remove(&name);
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        peer.suspecting_instances.clear();
        if is_suspect {
            peer.suspecting_instances.insert(update.suspecting_instance);
            self.suspicion_deadlines.insert(name.clone(), suspicion_deadline);
        }
        let member = peer.member.clone();
        let address = member.address;
        self.record_address(name, &update);
        self.outputs.push(Output::MemberChanged(member));
        self.gossip.push(update);
        if is_suspect {
            self.notify_suspect(address);
        }
    }

    /// Records the member and the instance at the address of an update, so that the first datagram to the
    /// address names the instance and needs no introduction.
    fn record_address(&mut self, name: Rc<str>, update: &MemberUpdate) {
        let record = self.address_record(update.address);
        record.member_name = Some(name);
        if update.state.is_reachable() {
            record.instance = update.instance;
        }
    }

    /// Notifies a suspect directly. Each member that learns of the suspicion does so with a probability of
    /// [`SUSPECT_NOTIFIERS`] divided by the fleet size, because under packet loss gossip may be too slow for
    /// the suspect to refute in time.
    fn notify_suspect(&mut self, address: SocketAddr) {
        let probability = SUSPECT_NOTIFIERS / self.fleet_size() as f64;
        if self.random.random_range(0.0..1.0) < probability {
            self.send(address, &[]);
        }
    }

    /// Lifeguard's suspicion timeout. It falls logarithmically from the longest timeout, with one suspecting
    /// member, to the shortest, with [`REQUIRED_CONFIRMATIONS`] further ones.
    fn suspicion_timeout(&self, suspecting_count: usize) -> Duration {
        let scale = (self.fleet_size() as f64).log10().max(1.0);
        let shortest = self
            .settings
            .protocol_period
            .mul_f64(MIN_SUSPICION_PERIODS * scale);
        let longest = shortest.mul_f64(MAX_SUSPICION_RATIO);
        let confirmed = (suspecting_count as f64).ln_1p() - std::f64::consts::LN_2;
        let required = ((REQUIRED_CONFIRMATIONS + 1) as f64).ln_1p() - std::f64::consts::LN_2;
        let progress = (confirmed / required).clamp(0.0, 1.0);
        (longest - (longest - shortest).mul_f64(progress)).max(shortest)
    }

    /// Declares the suspects dead whose suspicion timeout has passed.
    pub(super) fn expire_suspicions(&mut self) {
        let now = self.now;
        let expired: Vec<Rc<str>> = self
            .suspicion_deadlines
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.declare_state(&name, MemberState::Dead);
        }
    }

    /// Declares another member suspect after a failed probe, or dead after an expired suspicion.
    pub(super) fn declare_state(&mut self, name: &Rc<str>, state: MemberState) {
        let Some(peer) = self.peers.get(name) else { return };
        let mut update = peer.member.to_update(self.instance);
        update.state = state;
        self.apply_update(update);
    }

    /// Refutes an update about this member by raising the incarnation above that of the update.
    pub(super) fn refute(&mut self, update: &MemberUpdate) {
        self.incarnation = update.incarnation.saturating_add(1);
        if update.instance == self.instance {
            self.degrade_health();
        }
        // Each datagram's header carries the new incarnation.
        for address in self.random_members(REFUTATION_FANOUT, |_| true) {
            self.send(address, &[]);
        }
    }

    /// Raises Lifeguard's local health multiplier, on evidence that this member itself is slow.
    pub(super) fn degrade_health(&mut self) {
        self.health_multiplier = (self.health_multiplier + 1).min(MAX_HEALTH_MULTIPLIER);
    }

    /// Lowers Lifeguard's local health multiplier, on evidence that this member answers and receives in time.
    pub(super) fn improve_health(&mut self) {
        self.health_multiplier = self.health_multiplier.saturating_sub(1);
    }
}

/// Whether an update overrides the record of a member: by SWIM's order, or because the member has restarted.
fn overrides(peer: &Peer, update: &MemberUpdate) -> bool {
    peer.member.is_overridden_by(update) || has_restarted(peer, update)
}

/// Whether an update describes a restart of the member that the record lacks. The update then names another
/// instance at the same incarnation, and a datagram of that instance was already accepted.
fn has_restarted(peer: &Peer, update: &MemberUpdate) -> bool {
    let member = &peer.member;
    let are_alive = member.is_alive() && update.state == MemberState::Alive;
    let is_confirmed = peer.replay_window.instance == update.instance;
    are_alive
        && is_confirmed
        && member.incarnation == update.incarnation
        && member.instance != update.instance
}
