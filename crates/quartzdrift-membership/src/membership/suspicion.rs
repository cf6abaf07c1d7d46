//! What is believed of each member: which updates override it, how suspicions end, and how they are refuted.
use super::{Membership, Output, Peer};
use crate::member::{Member, MemberState, MemberUpdate};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The shortest suspicion, in protocol periods for each factor of ten in the fleet's size.
const MIN_SUSPICION_PERIODS: f64 = 4.0;
/// The longest suspicion as a multiple of the shortest.
const MAX_SUSPICION_RATIO: f64 = 6.0;
/// Independent accusers beyond the first that bring a suspicion down to its shortest time.
const CONFIRMATIONS: usize = 3;
/// Members that, on average, notify a suspect as soon as they hear of the suspicion.
const SUSPECT_NOTIFIERS: f64 = 6.0;
/// Members that are sent a refutation at once; gossip brings it to the others.
const REFUTATION_FANOUT: usize = 3;
/// Lifeguard's local health multiplier at its worst.
const MAX_HEALTH: u32 = 8;

impl Membership {
    /// Applies an update about another member if it overrides what is believed, and passes it on.
    pub(super) fn apply_update(&mut self, update: MemberUpdate) {
        let name: Rc<str> = Rc::from(update.name.as_str());
        let is_applied = match self.peers.get(&name) {
            None => self.insert_peer(&name, &update),
            Some(peer) if overrides(peer, &update) => self.change_peer(&name, &update),
            Some(_) => return self.confirm_suspicion(name, update),
        };
        if is_applied {
            self.follow_change(name, update);
        }
    }

    /// `false`: the member table is full.
    fn insert_peer(&mut self, name: &Rc<str>, update: &MemberUpdate) -> bool {
        if self.peers.len() >= self.settings.max_members {
            return false;
        }
        let member = Member::from_update(update, self.now);
        self.peers.insert(name.clone(), Peer::new(member));
        self.reachable_peers += usize::from(update.state.is_reachable());
        true
    }

    fn change_peer(&mut self, name: &Rc<str>, update: &MemberUpdate) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        self.reachable_peers += usize::from(update.state.is_reachable());
        self.reachable_peers -= usize::from(peer.is_reachable());
        peer.member.apply(update, self.now);
        true
    }

    /// One more independent accuser shortens a suspicion.
    fn confirm_suspicion(&mut self, name: Rc<str>, update: MemberUpdate) {
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        let is_suspected = peer.member.state == MemberState::Suspect;
        let is_accusation = update.state == MemberState::Suspect && update.accuser != 0;
        let is_same = peer.member.incarnation == update.incarnation;
        if !is_suspected || !is_accusation || !is_same {
            return;
        }
        if peer.accusers.len() <= CONFIRMATIONS && peer.accusers.insert(update.accuser) {
            let accusers = peer.accusers.len();
            let since = peer.member.state_since;
            let end = since + self.suspicion_timeout(accusers);
            self.suspicion_ends.insert(name, end);
            self.gossip.push(update);
        }
    }

    /// What follows from a new or changed member.
    fn follow_change(&mut self, name: Rc<str>, update: MemberUpdate) {
        let is_suspect = update.state == MemberState::Suspect;
        let suspicion_end = self.now + self.suspicion_timeout(1);
        self.suspicion_ends.remove(&name);
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        peer.accusers.clear();
        if is_suspect {
            peer.accusers.insert(update.accuser);
            self.suspicion_ends.insert(name.clone(), suspicion_end);
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

    /// The update tells the instance: the first datagram there needs no introduction.
    fn record_address(&mut self, name: Rc<str>, update: &MemberUpdate) {
        let record = self.address_record(update.address);
        record.member = Some(name);
        if update.state.is_reachable() {
            record.instance = update.instance;
        }
    }

    /// Some of those that hear of a suspicion notify the suspect at once: under packet loss gossip may be too slow for it
    /// to refute in time.
    fn notify_suspect(&mut self, address: SocketAddr) {
        let probability = SUSPECT_NOTIFIERS / self.fleet_size() as f64;
        if self.random.random_range(0.0..1.0) < probability {
            self.send(address, &[]);
        }
    }

    /// Lifeguard's suspicion timeout: from the longest with one accuser down to the shortest, logarithmically.
    fn suspicion_timeout(&self, accusers: usize) -> Duration {
        let scale = (self.fleet_size() as f64).log10().max(1.0);
        let shortest = self
            .settings
            .protocol_period
            .mul_f64(MIN_SUSPICION_PERIODS * scale);
        let longest = shortest.mul_f64(MAX_SUSPICION_RATIO);
        let confirmed = (accusers as f64).ln_1p() - std::f64::consts::LN_2;
        let required = ((CONFIRMATIONS + 1) as f64).ln_1p() - std::f64::consts::LN_2;
        let progress = (confirmed / required).clamp(0.0, 1.0);
        (longest - (longest - shortest).mul_f64(progress)).max(shortest)
    }

    pub(super) fn expire_suspicions(&mut self) {
        let now = self.now;
        let expired: Vec<Rc<str>> = self
            .suspicion_ends
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.declare(&name, MemberState::Dead);
        }
    }

    /// Declares a member suspect or dead by this member's own evidence.
    pub(super) fn declare(&mut self, name: &Rc<str>, state: MemberState) {
        let Some(peer) = self.peers.get(name) else { return };
        let mut update = peer.member.to_update(self.instance);
        update.state = state;
        self.apply_update(update);
    }

    /// Refutes an update about this member by a higher incarnation.
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

    /// Lifeguard: evidence that this member itself is slow.
    pub(super) fn degrade_health(&mut self) {
        self.health = (self.health + 1).min(MAX_HEALTH);
    }

    /// Lifeguard: evidence that this member itself is well.
    pub(super) fn improve_health(&mut self) {
        self.health = self.health.saturating_sub(1);
    }
}

/// Whether an update overrides what is believed of a member: by SWIM's order, or because the member has restarted.
fn overrides(peer: &Peer, update: &MemberUpdate) -> bool {
    peer.member.is_overridden_by(update) || has_restarted(peer, update)
}

/// Another instance at the same incarnation, from which a datagram was accepted already, is a restart that gossip has not
/// brought yet.
fn has_restarted(peer: &Peer, update: &MemberUpdate) -> bool {
    let member = &peer.member;
    let are_alive = member.is_alive() && update.state == MemberState::Alive;
    let is_confirmed = peer.window.instance == update.instance;
    are_alive
        && is_confirmed
        && member.incarnation == update.incarnation
        && member.instance != update.instance
}
