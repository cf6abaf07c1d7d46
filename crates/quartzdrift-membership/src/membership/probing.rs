//! Failure detection: in each protocol period one member is pinged directly, then, if it does not answer,
//! through other members.
use super::Membership;
use crate::member::{Member, MemberState, MemberUpdate};
use crate::wire::Part;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Number of members that are asked to relay a probe: SWIM's k.
const RELAY_COUNT: usize = 3;
/// Maximum number of probes relayed for others at a time; further requests are ignored.
const MAX_RELAYED_PROBES: usize = 256;
/// Share of the probe timeout after which a relaying member sends a nack.
const NACK_SHARE: f64 = 0.8;

/// A probe that this member sent for itself and that has not been answered yet.
pub(super) struct Probe {
    /// Name of the probed member.
    target: Rc<str>,
    number: u32,
    /// When other members are asked to relay the probe.
    relay_at: Duration,
    /// When the probe fails.
    deadline: Duration,
    /// Number of members that were asked to relay the probe.
    relay_count: u32,
    /// Number of nacks that those members have sent.
    nack_count: u32,
}

impl Probe {
    pub(super) fn next_due(&self) -> Duration {
        match self.relay_count {
            0 => self.relay_at.min(self.deadline),
            _ => self.deadline,
        }
    }
}

/// A probe that this member relays for another one.
pub(super) struct RelayedProbe {
    requester: SocketAddr,
    /// Number of the probe in the requester's ping-req.
    requester_number: u32,
    nack_at: Duration,
    nack_sent: bool,
    /// When the target's answer is no longer relayed.
    deadline: Duration,
}

impl RelayedProbe {
    pub(super) fn next_due(&self) -> Duration {
        if self.nack_sent {
            self.deadline
        } else {
            self.nack_at
        }
    }

    fn is_nack_due(&self, now: Duration) -> bool {
        !self.nack_sent && self.nack_at <= now
    }
}

impl Membership {
    /// Probes the next member of the round. A round visits each reachable member once, in random order.
    pub(super) fn probe_next_member(&mut self) {
        while let Some(target) = self.probe_order.pop() {
            let peer = self.peers.get(&target).filter(|peer| peer.is_reachable());
            if let Some(address) = peer.map(|peer| peer.member.address) {
                return self.send_probe(target, address);
            }
        }
        self.probe_order = self
            .reachable_members()
            .map(|member| member.name.clone())
            .collect();
        self.probe_order.shuffle(&mut self.random);
        if let Some(target) = self.probe_order.pop()
            && let Some(peer) = self.peers.get(&target)
        {
            let address = peer.member.address;
            self.send_probe(target, address);
        }
    }

    fn send_probe(&mut self, target: Rc<str>, address: SocketAddr) {
        let number = self.next_probe_number();
        self.current_probe = Some(Probe {
            target,
            number,
            relay_at: self.now + self.scale_by_health(self.settings.probe_timeout),
            deadline: self.now + self.scale_by_health(self.settings.protocol_period),
            relay_count: 0,
            nack_count: 0,
        });
        self.send(address, &[Part::Ping { probe: number }]);
    }

    fn next_probe_number(&mut self) -> u32 {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        self.last_probe_number
    }

    /// Lengthens a timeout while this member itself is slow (Lifeguard).
    fn scale_by_health(&self, timeout: Duration) -> Duration {
        timeout * (self.health_multiplier + 1)
    }

    /// Requests relays for the current probe or ends it as failed, when either is due.
    pub(super) fn check_probe(&mut self) {
        let Some(probe) = &self.current_probe else {
            return;
        };
        if probe.deadline <= self.now {
            self.fail_probe();
        } else if probe.relay_count == 0 && probe.relay_at <= self.now {
            self.request_relays();
        }
    }

    fn fail_probe(&mut self) {
        let Some(probe) = self.current_probe.take() else {
            return;
        };
        let missing_nacks = probe.relay_count.saturating_sub(probe.nack_count);
        // If relaying members are silent as well, or none exists, this member itself may be slow or cut off.
        if missing_nacks > 0 || probe.relay_count == 0 {
            self.degrade_health();
        }
        self.declare_state(&probe.target, MemberState::Suspect);
    }

    fn request_relays(&mut self) {
        let Some(probe) = &self.current_probe else {
            return;
        };
        let number = probe.number;
        let Some(peer) = self.peers.get(&probe.target) else {
            return;
        };
        let target = peer.member.to_update(0);
        let can_relay = |member: &Member| *member.name != *target.name && member.is_alive();
        let relays = self.random_members(RELAY_COUNT, can_relay);
        if let Some(probe) = &mut self.current_probe {
            probe.relay_count = relays.len() as u32;
            if relays.is_empty() {
                probe.relay_at = probe.deadline;
            }
        }
        for address in relays {
            let request = Part::PingRequest {
                probe: number,
                target: target.clone(),
            };
            self.send(address, &[request]);
        }
    }

    /// Relays the ack of a relayed probe to its requester, or ends the current probe as answered.
    pub(super) fn handle_ack(&mut self, probe_number: u32) {
        if let Some(relayed) = self.relayed_probes.remove(&probe_number) {
            let ack = Part::Ack {
                probe: relayed.requester_number,
            };
            return self.send(relayed.requester, &[ack]);
        }
        let answered = self.current_probe.take_if(|probe| probe.number == probe_number);
        if answered.is_some() {
            self.improve_health();
        }
    }

    pub(super) fn handle_nack(&mut self, probe_number: u32) {
        let current = self.current_probe.as_mut();
        if let Some(probe) = current.filter(|probe| probe.number == probe_number) {
            probe.nack_count += 1;
        }
    }

    /// Handles a ping-req: pings the target on behalf of the requester.
    pub(super) fn relay_probe(
        &mut self,
        requester: SocketAddr,
        requester_number: u32,
        target: &MemberUpdate,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let relayed = RelayedProbe {
            requester,
            requester_number,
            nack_at: self.now + self.settings.probe_timeout.mul_f64(NACK_SHARE),
            nack_sent: false,
            deadline: self.now + self.settings.protocol_period,
        };
        let probe = self.next_probe_number();
        self.relayed_probes.insert(probe, relayed);
        self.send(target.address, &[Part::Ping { probe }]);
    }

    /// Sends the nacks that are due and drops the relayed probes whose deadline has passed.
    pub(super) fn expire_relayed_probes(&mut self) {
        let now = self.now;
        let due: Vec<u32> = self
            .relayed_probes
            .iter()
            .filter(|(_, relayed)| relayed.is_nack_due(now))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.send_nack(number);
        }
        self.relayed_probes.retain(|_, relayed| relayed.deadline > now);
    }

    fn send_nack(&mut self, relayed_number: u32) {
        let Some(relayed) = self.relayed_probes.get_mut(&relayed_number) else {
            return;
        };
        relayed.nack_sent = true;
        let requester = relayed.requester;
        let nack = Part::Nack {
            probe: relayed.requester_number,
        };
        self.send(requester, &[nack]);
    }
}
