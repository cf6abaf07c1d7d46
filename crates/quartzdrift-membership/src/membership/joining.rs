//! Joining the fleet and exchanging full member tables, page by page in the order of names.
use super::Membership;
use crate::member::MemberState;
use crate::wire::{DatagramWriter, MAX_NAME_LENGTH, Part};
use rand::RngExt;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

/// Protocol periods between full exchanges with a reachable member, and with an unreachable one: what looks like its death
/// may be a network partition.
const EXCHANGE_PERIODS: u32 = 20;
/// Early exchanges, in periods since the start: in a fleet that starts at once, the first to answer knows only a part.
const EARLY_EXCHANGES: [u32; 2] = [3, 7];
/// Periods between attempts to join, which double up to this.
const MAX_JOIN_BACKOFF: u32 = 32;
/// The attempts are spread by this share of the backoff, so that a fleet that starts at once does not ask at once.
const JOIN_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Bytes reserved for the end of an exchange page: a name and its encoding.
const PAGE_END_RESERVE: usize = MAX_NAME_LENGTH + 8;

/// When to contact the seeds.
pub(super) struct JoinSchedule {
    next_attempt: Duration,
    /// Periods until the attempt after it.
    backoff: u32,
    has_joined: bool,
}

impl JoinSchedule {
    pub(super) fn new(now: Duration) -> JoinSchedule {
        JoinSchedule {
            next_attempt: now,
            backoff: 1,
            has_joined: false,
        }
    }

    pub(super) fn next_due(&self) -> Option<Duration> {
        (!self.has_joined).then_some(self.next_attempt)
    }

    pub(super) fn is_due(&self, now: Duration) -> bool {
        !self.has_joined && self.next_attempt <= now
    }
}

/// Whether full exchanges are requested in this protocol period.
pub(super) fn exchanges_in_period(period: u32) -> bool {
    period.is_multiple_of(EXCHANGE_PERIODS) || EARLY_EXCHANGES.contains(&period)
}

impl Membership {
    /// Asks all seeds for their members.
    pub(super) fn try_join(&mut self) {
        for seed in self.settings.seeds.clone() {
            self.request_exchange(seed);
        }
        let backoff = self.settings.protocol_period * self.join.backoff;
        let jitter = self.random.random_range(JOIN_JITTER);
        self.join.next_attempt = self.now + backoff.mul_f64(jitter);
        self.join.backoff = (self.join.backoff * 2).min(MAX_JOIN_BACKOFF);
    }

    fn request_exchange(&mut self, from: SocketAddr) {
        let after = String::new();
        self.send(from, &[Part::ExchangeRequest { after }]);
    }

    /// Requests a full exchange with a random reachable member, and one with a random dead member or lost seed.
    pub(super) fn request_exchanges(&mut self) {
        let reachable: Vec<SocketAddr> = self.reachable_members().map(|member| member.address).collect();
        let unreachable = self.unreachable_addresses(&reachable);
        for candidates in [reachable, unreachable] {
            if !candidates.is_empty() {
                let chosen = self.random.random_range(0..candidates.len());
                self.request_exchange(candidates[chosen]);
            }
        }
        self.forget_unused_addresses();
    }

    fn unreachable_addresses(&self, reachable: &[SocketAddr]) -> Vec<SocketAddr> {
        let dead = self
            .other_members()
            .filter(|member| member.state == MemberState::Dead)
            .map(|member| member.address);
        let seeds = self.settings.seeds.iter().copied();
        let lost_seeds = seeds.filter(|seed| !reachable.contains(seed));
        dead.chain(lost_seeds).collect()
    }

    /// Our instance was unknown to a member and now is known: joining goes on there, if we have sent the datagram that it
    /// answers.
    pub(super) fn handle_introduction(&mut self, from: SocketAddr, answered_sequence: u64) {
        let record = self.addresses.get(&from);
        let is_answer = record.is_some_and(|record| record.sent.contains(&answered_sequence));
        if is_answer {
            self.request_exchange(from);
        }
    }

    /// Sends as many members after this name as fit into a datagram.
    pub(super) fn send_exchange_page(&mut self, to: SocketAddr, after: &str) {
        let header = self.next_header(to);
        let reserved_size = self.settings.max_datagram_size.saturating_sub(PAGE_END_RESERVE);
        let mut writer = DatagramWriter::new(&header, reserved_size);
        let page_end = self.write_members(&mut writer, after);
        writer.release_reserved(PAGE_END_RESERVE);
        writer.push(&page_end);
        self.sign_and_send(to, writer);
    }

    fn write_members(&self, writer: &mut DatagramWriter, after: &str) -> Part {
        let mut last = after.to_owned();
        let range = (Bound::Excluded(after), Bound::Unbounded);
        for (name, peer) in self.peers.range::<str, _>(range) {
            if !writer.push(&Part::Update(peer.member.to_update(0))) {
                return Part::ExchangePage { last, more: true };
            }
            last = name.to_string();
        }
        Part::ExchangePage { last, more: false }
    }

    /// The page's updates precede this part; the first page completes joining.
    pub(super) fn handle_exchange_page(&mut self, from: SocketAddr, last: String, more: bool) {
        self.join.has_joined = true;
        if more {
            self.send(from, &[Part::ExchangeRequest { after: last }]);
        }
    }
}
