//! Incoming datagrams: the checks before one is accepted, and the handling of its parts.
use super::{Membership, Output};
use crate::member::{MemberState, MemberUpdate};
use crate::wire::{self, Datagram, Header, MAX_NAME_LENGTH, Part, RejectReason};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of introductions sent in a second. It bounds the answers to replayed datagrams that do not
/// name this member's instance.
const MAX_INTRODUCTIONS_PER_SECOND: u32 = 512;

/// Limits the rate of introductions.
#[derive(Default)]
pub(super) struct IntroductionRateLimiter {
    /// The current second, counted by the caller's clock.
    second: u64,
    /// Number of introductions sent in that second.
    sent: u32,
}

impl IntroductionRateLimiter {
    fn begin_second(&mut self, second: u64) {
        if self.second != second {
            self.second = second;
            self.sent = 0;
        }
    }

    fn is_exhausted(&self) -> bool {
        self.sent >= MAX_INTRODUCTIONS_PER_SECOND
    }
}

impl Membership {
    /// Handles a received datagram; a rejected one is reported as [`Output::DatagramRejected`].
    pub fn receive(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) {
        self.advance_clock(now);
        if let Err(reason) = self.process_datagram(from, bytes) {
            self.outputs.push(Output::DatagramRejected { from, reason });
        }
    }

    fn process_datagram(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<(), RejectReason> {
        if bytes.len() > self.settings.max_datagram_size {
            return Err(RejectReason::Malformed);
        }
        let Datagram { header, parts } = wire::decode(bytes, self.cluster, &self.settings.keys)?;
        if header.sender == self.settings.name {
            return Err(self.reject_own_name(from, &header));
        }
        if header.recipient_instance != self.instance {
            return self.send_introduction(from, &header, &parts);
        }
        let name: Rc<str> = Rc::from(header.sender.as_str());
        let header_is_newer = self.check_sender(&name, from, &header)?;
        if header_is_newer && !parts.iter().any(|part| announces_leaving(part, &header)) {
            self.apply_update(alive_update(from, &header));
        }
        for part in parts {
            self.handle_part(&name, from, part);
        }
        Ok(())
    }

    /// Rejects a datagram whose sender has this member's name: it is of another member, or a replayed one of
    /// this member.
    fn reject_own_name(&mut self, from: SocketAddr, header: &Header) -> RejectReason {
        if header.instance == self.instance {
            return RejectReason::Replayed;
        }
        self.report_name_conflict(from, header.instance);
        RejectReason::NameConflict
    }

    /// Checks the sender's name, instance and sequence number. Returns whether the header is newer than the
    /// record of the sender. If the record is newer, the next datagram to the sender carries it, so that the
    /// sender refutes it.
    fn check_sender(
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
        if !peer.replay_window.accept(header.instance, header.sequence) {
            return Err(RejectReason::Replayed);
        }
        let recorded_incarnation = peer.member.incarnation;
        let has_restarted = is_reachable && is_other_instance && header.incarnation == recorded_incarnation;
        self.address_record(from).instance = header.instance;
        Ok(header.incarnation > recorded_incarnation || has_restarted)
    }

    /// Answers a datagram that does not name this member's instance, so that the sender can repeat it with
    /// the instance in the answer's header. The datagram may be a replayed one: the answer names the sender's
    /// instance, and everything else in the datagram is ignored.
    fn send_introduction(
        &mut self,
        from: SocketAddr,
        header: &Header,
        parts: &[Part],
    ) -> Result<(), RejectReason> {
        self.introduction_limiter.begin_second(self.now.as_secs());
        let is_introduction = |part: &Part| matches!(part, Part::Introduction { .. });
        if parts.iter().any(is_introduction) || self.introduction_limiter.is_exhausted() {
            return Err(RejectReason::Replayed);
        }
        self.introduction_limiter.sent += 1;
        let record = self.address_record(from);
        let recorded_instance = std::mem::replace(&mut record.instance, header.instance);
        let mut answer = vec![Part::Introduction {
            answered_sequence: header.sequence,
        }];
        // The record of the sender may be outdated, so that the sender has to refute it.
        let recorded = self.peers.get(header.sender.as_str());
        answer.extend(recorded.map(|peer| Part::Update(peer.member.to_update(0))));
        self.send(from, &answer);
        // Only a datagram that names this member's instance proves that another instance now uses the
        // address, so the recorded instance is restored.
        if recorded_instance != 0 {
            self.address_record(from).instance = recorded_instance;
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

    /// Handles an update about this member: reports a name conflict, or refutes a wrong state or instance.
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
        let last_reported = std::mem::replace(&mut self.conflicting_instance, instance);
        if last_reported != instance {
            self.outputs.push(Output::NameConflict { address });
        }
    }
}

/// The update that a header implies: its sender is alive with this instance and incarnation.
fn alive_update(from: SocketAddr, header: &Header) -> MemberUpdate {
    MemberUpdate {
        name: header.sender.clone(),
        address: from,
        instance: header.instance,
        incarnation: header.incarnation,
        state: MemberState::Alive,
        suspecting_instance: 0,
    }
}

fn announces_leaving(part: &Part, header: &Header) -> bool {
    match part {
        Part::Update(update) => update.name == header.sender && update.state == MemberState::Left,
        _ => false,
    }
}
