//! Failure detection: one member is pinged each protocol period, directly and, if it does not answer, by way of others.
use super::Membership;
use crate::member::{MemberState, MemberUpdate};
use crate::wire::Part;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Members asked to relay a probe: SWIM's k.
const RELAYS: usize = 3;
/// Probes that are relayed for others at a time; further requests are ignored.
const MAX_RELAYED_PROBES: usize = 256;
/// The share of the probe timeout after which a relaying member sends a nack.
const NACK_SHARE: f64 = 0.8;

/// The probe of this period.
pub(super) struct Probe {
    target: Rc<str>,
    number: u32,
    /// When others are asked to relay the probe.
    relay_at: Duration,
    /// When it has failed.
    end: Duration,
    /// Members that were asked to relay it.
    relays: u32,
    /// How many of those have sent a nack.
    nacks: u32,
}

impl Probe {
    pub(super) fn next_due(&self) -> Duration {
        match self.relays {
            0 => self.relay_at.min(self.end),
            _ => self.end,
        }
    }
}

/// A probe that is relayed for another member.
pub(super) struct RelayedProbe {
    requester: SocketAddr,
    /// The requester's number of the probe.
    number: u32,
    nack_at: Duration,
    nack_sent: bool,
    end: Duration,
}

impl RelayedProbe {
    pub(super) fn next_due(&self) -> Duration {
        if self.nack_sent { self.end } else { self.nack_at }
    }

    fn is_nack_due(&self, now: Duration) -> bool {
        !self.nack_sent && self.nack_at <= now
    }
}

impl Membership {
    /// Probes the next member of the round; a round visits each member once, in an order of its own.
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
        self.probe = Some(Probe {
            target,
            number,
            relay_at: self.now + self.scale_by_health(self.settings.probe_timeout),
            end: self.now + self.scale_by_health(self.settings.protocol_period),
            relays: 0,
            nacks: 0,
        });
        self.send(address, &[Part::Ping { probe: number }]);
    }

    fn next_probe_number(&mut self) -> u32 {
        self.last_probe = self.last_probe.wrapping_add(1);
        self.last_probe
    }

    /// Lifeguard: timeouts grow while this member itself is slow.
    fn scale_by_health(&self, timeout: Duration) -> Duration {
        timeout * (self.health + 1)
    }

    pub(super) fn check_probe(&mut self) {
        let Some(probe) = &self.probe else { return };
        if probe.end <= self.now {
            self.fail_probe();
        } else if probe.relays == 0 && probe.relay_at <= self.now {
            self.request_relays();
        }
    }

    fn fail_probe(&mut self) {
        let Some(probe) = self.probe.take() else { return };
        let missing_nacks = probe.relays.saturating_sub(probe.nacks);
        // Where those that relay are silent as well, the fault may be ours.
        if missing_nacks > 0 || probe.relays == 0 {
            self.degrade_health();
        }
        self.declare(&probe.target, MemberState::Suspect);
    }

    fn request_relays(&mut self) {
        let Some(probe) = &self.probe else { return };
        let number = probe.number;
        let Some(peer) = self.peers.get(&probe.target) else {
            return;
        };
        let target = peer.member.to_update(0);
        let relays = self.random_members(RELAYS, |member| *member.name != *target.name && member.is_alive());
        if let Some(probe) = &mut self.probe {
            probe.relays = relays.len() as u32;
            if relays.is_empty() {
                probe.relay_at = probe.end;
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

    pub(super) fn handle_ack(&mut self, probe: u32) {
        if let Some(relayed) = self.relayed_probes.remove(&probe) {
            let ack = Part::Ack {
                probe: relayed.number,
            };
            return self.send(relayed.requester, &[ack]);
        }
        let answered = self.probe.take_if(|own| own.number == probe);
        if answered.is_some() {
            self.improve_health();
        }
    }

    pub(super) fn handle_nack(&mut self, probe: u32) {
        if let Some(own) = self.probe.as_mut().filter(|own| own.number == probe) {
            own.nacks += 1;
        }
    }

    /// Pings a member for another one.
    pub(super) fn relay_probe(&mut self, requester: SocketAddr, number: u32, target: &MemberUpdate) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let relayed = RelayedProbe {
            requester,
            number,
            nack_at: self.now + self.settings.probe_timeout.mul_f64(NACK_SHARE),
            nack_sent: false,
            end: self.now + self.settings.protocol_period,
        };
        let probe = self.next_probe_number();
        self.relayed_probes.insert(probe, relayed);
        self.send(target.address, &[Part::Ping { probe }]);
    }

    /// Sends the nacks that are due and drops the relayed probes that are over.
    pub(super) fn expire_relayed_probes(&mut self) {
        let now = self.now;
        let due: Vec<u32> = self
            .relayed_probes
            .iter()
            .filter(|(_, relayed)| relayed.is_nack_due(now))
            .map(|(probe, _)| *probe)
            .collect();
        for probe in due {
            self.send_nack(probe);
        }
        self.relayed_probes.retain(|_, relayed| relayed.end > now);
    }

    fn send_nack(&mut self, probe: u32) {
        let Some(relayed) = self.relayed_probes.get_mut(&probe) else {
            return;
        };
        relayed.nack_sent = true;
        let requester = relayed.requester;
        let nack = Part::Nack {
            probe: relayed.number,
        };
        self.send(requester, &[nack]);
    }
}
