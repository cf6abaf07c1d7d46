//! Incoming datagrams: which are accepted, and what their parts cause.
use super::{Membership, Output};
use crate::member::{MemberState, MemberUpdate};
use crate::wire::{self, Datagram, Header, MAX_NAME_LENGTH, Part, RejectReason};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Introductions a second at most: a replayed datagram that does not name our instance draws no more answers than that.
const MAX_INTRODUCTIONS_PER_SECOND: u32 = 512;

/// How many introductions were sent in the current second.
#[derive(Default)]
pub(super) struct IntroductionBudget {
    second: u64,
    used: u32,
}

impl IntroductionBudget {
    fn begin_second(&mut self, second: u64) {
        if self.second != second {
            self.second = second;
            self.used = 0;
        }
    }

    fn is_spent(&self) -> bool {
        self.used >= MAX_INTRODUCTIONS_PER_SECOND
    }
}

impl Membership {
    /// Handles a received datagram.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) {
        self.advance_clock(now);
        if let Err(reason) = self.accept(from, bytes) {
            self.outputs.push(Output::DatagramRejected { from, reason });
        }
    }

    fn accept(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<(), RejectReason> {
        if bytes.len() > self.settings.max_datagram_size {
            return Err(RejectReason::Malformed);
        }
        let Datagram { header, parts } = wire::decode(bytes, self.cluster, &self.settings.keys)?;
        if header.sender == self.settings.name {
            return Err(self.reject_own_name(from, &header));
        }
        if header.recipient_instance != self.instance {
            return self.introduce(from, &header, &parts);
        }
        let name: Rc<str> = Rc::from(header.sender.as_str());
        let is_newer = self.accept_sender(&name, from, &header)?;
        if is_newer && !parts.iter().any(|part| announces_leaving(part, &header)) {
            self.apply_update(alive_update(from, &header));
        }
        for part in parts {
            self.handle_part(&name, from, part);
        }
        Ok(())
    }

    /// A datagram by our own name is another member's, or ours replayed.
    fn reject_own_name(&mut self, from: SocketAddr, header: &Header) -> RejectReason {
        if header.instance == self.instance {
            return RejectReason::Replayed;
        }
        self.report_name_conflict(from, header.instance);
        RejectReason::NameConflict
    }

    /// Checks the sender's name, instance and sequence number. Returns whether its header says something newer of it than
    /// what is believed; if it says something older, the next datagram to it makes it refute.
    fn accept_sender(
        &mut self,
        name: &Rc<str>,
        from: SocketAddr,
        header: &Header,
    ) -> Result<bool, RejectReason> {
        if !self.peers.contains_key(name) {
            self.apply_update(alive_update(from, header));
        }
        let Some(peer) = self.peers.get_mut(name) else {
            return Err(RejectReason::TooManyMembers);
        };
        let is_reachable = peer.is_reachable();
        let is_other_instance = peer.member.instance != header.instance;
        if is_reachable && peer.member.address != from && is_other_instance {
            return Err(RejectReason::NameConflict);
        }
        if !peer.window.accept(header.instance, header.sequence) {
            return Err(RejectReason::Replayed);
        }
        let believed = peer.member.incarnation;
        let has_restarted = is_reachable && is_other_instance && header.incarnation == believed;
        self.address_record(from).instance = header.instance;
        Ok(header.incarnation > believed || has_restarted)
    }

    /// Answers a datagram that does not name our instance. Nothing of it is taken but the sender's instance, so that it
    /// can try again with ours.
    fn introduce(&mut self, from: SocketAddr, header: &Header, parts: &[Part]) -> Result<(), RejectReason> {
        self.introductions.begin_second(self.now.as_secs());
        let is_introduction = |part: &Part| matches!(part, Part::Introduction { .. });
        if parts.iter().any(is_introduction) || self.introductions.is_spent() {
            return Err(RejectReason::Replayed);
        }
        self.introductions.used += 1;
        let record = self.address_record(from);
        let proven_instance = std::mem::replace(&mut record.instance, header.instance);
        let mut answer = vec![Part::Introduction {
            answered_sequence: header.sequence,
        }];
        // The sender may have to refute what is believed of it.
        let believed = self.peers.get(header.sender.as_str());
        answer.extend(believed.map(|peer| Part::Update(peer.member.to_update(0))));
        self.send(from, &answer);
        // Only a datagram that names our instance proves that another one is reached there.
        if proven_instance != 0 {
            self.address_record(from).instance = proven_instance;
        }
        Ok(())
    }

    fn handle_part(&mut self, sender: &Rc<str>, from: SocketAddr, part: Part) {
        match part {
            Part::Ping { probe } => self.send(from, &[Part::Ack { probe }]),
            Part::Ack { probe } => self.handle_ack(probe),
            Part::PingRequest { probe, target } => self.relay_probe(from, probe, &target),
            Part::Nack { probe } => self.handle_nack(probe),
            Part::Update(update) => self.handle_update(update),
            Part::Introduction { answered_sequence } => self.handle_introduction(from, answered_sequence),
            Part::ExchangeRequest { after } => self.send_exchange_page(from, &after),
            Part::ExchangePage { last, more } => self.handle_exchange_page(from, last, more),
            Part::Message { topic, bytes } => self.outputs.push(Output::MessageReceived {
                from: sender.clone(),
                topic,
                bytes,
            }),
        }
    }

    fn handle_update(&mut self, update: MemberUpdate) {
        if update.name == self.settings.name {
            return self.handle_own_update(&update);
        }
        if update.name.is_empty() || update.name.len() > MAX_NAME_LENGTH {
            return;
        }
        self.apply_update(update);
    }

    /// An update about this member: a wrong one is refuted by a higher incarnation.
    fn handle_own_update(&mut self, update: &MemberUpdate) {
        let is_other_member = update.instance != self.instance && update.address != self.settings.address;
        if is_other_member && update.state.is_reachable() {
            return self.report_name_conflict(update.address, update.instance);
        }
        let is_wrong = update.state != MemberState::Alive || update.instance != self.instance;
        if !self.is_leaving && is_wrong && update.incarnation >= self.incarnation {
            self.refute(update);
        }
    }

    fn report_name_conflict(&mut self, address: SocketAddr, instance: u64) {
        let reported = std::mem::replace(&mut self.conflicting_instance, instance);
        if reported != instance {
            self.outputs.push(Output::NameConflict { address });
        }
    }
}

/// What a header says of its sender.
fn alive_update(from: SocketAddr, header: &Header) -> MemberUpdate {
    MemberUpdate {
        name: header.sender.clone(),
        address: from,
        instance: header.instance,
        incarnation: header.incarnation,
        state: MemberState::Alive,
        accuser: 0,
    }
}

fn announces_leaving(part: &Part, header: &Header) -> bool {
    match part {
        Part::Update(update) => update.name == header.sender && update.state == MemberState::Left,
        _ => false,
    }
}
