//! Joining the fleet, and the exchange of full member tables in pages that are ordered by name.
use super::Membership;
use crate::member::MemberState;
use crate::wire::{DatagramWriter, MAX_NAME_LENGTH, Part};
use rand::RngExt;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

/// Protocol periods between full exchanges. Each time, this member exchanges with a reachable member and with
/// an unreachable one, which may be alive behind a network partition.
const EXCHANGE_INTERVAL_PERIODS: u32 = 20;
/// Additional exchanges, in periods since the start. If all members start at the same time, the first one to
/// answer knows only some of them.
const EARLY_EXCHANGE_PERIODS: [u32; 2] = [3, 7];
/// Maximum number of protocol periods between attempts to join; the backoff doubles up to it.
const MAX_JOIN_BACKOFF_PERIODS: u32 = 32;
/// Random factor on the backoff, so that members that start at the same time spread their attempts.
const JOIN_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Bytes reserved for the part that ends an exchange page: a name and its encoding.
const PAGE_END_RESERVED_BYTES: usize = MAX_NAME_LENGTH + 8;

/// Schedules the attempts to contact the seeds, with exponential backoff, until a member has answered.
pub(super) struct JoinSchedule {
    next_attempt_at: Duration,
    /// Protocol periods between the next attempt and the one after it.
    backoff_periods: u32,
    has_joined: bool,
}

impl JoinSchedule {
    pub(super) fn new(now: Duration) -> JoinSchedule {
        JoinSchedule {
            next_attempt_at: now,
            backoff_periods: 1,
            has_joined: false,
        }
    }

    pub(super) fn next_due(&self) -> Option<Duration> {
        (!self.has_joined).then_some(self.next_attempt_at)
    }

    pub(super) fn is_due(&self, now: Duration) -> bool {
        !self.has_joined && self.next_attempt_at <= now
    }
}

/// Whether full exchanges are requested in this protocol period, counted from the start.
pub(super) fn is_exchange_period(period: u32) -> bool {
    period.is_multiple_of(EXCHANGE_INTERVAL_PERIODS) || EARLY_EXCHANGE_PERIODS.contains(&period)
}

impl Membership {
    /// Requests the member tables of all seeds and schedules the next attempt.
    pub(super) fn contact_seeds(&mut self) {
        for seed in self.settings.seeds.clone() {
            self.request_exchange(seed);
        }
        let backoff = self.settings.protocol_period * self.join_schedule.backoff_periods;
        let jitter = self.random.random_range(JOIN_JITTER);
        self.join_schedule.next_attempt_at = self.now + backoff.mul_f64(jitter);
        let doubled = self.join_schedule.backoff_periods * 2;
        self.join_schedule.backoff_periods = doubled.min(MAX_JOIN_BACKOFF_PERIODS);
    }

    fn request_exchange(&mut self, from: SocketAddr) {
        let after = String::new();
        self.send(from, &[Part::ExchangeRequest { after }]);
    }

    /// Requests a full exchange with a random reachable member, and with a random dead member or unreachable
    /// seed.
    pub(super) fn request_exchanges(&mut self) {
        let reachable: Vec<SocketAddr> = self.reachable_members().map(|member| member.address).collect();
        let unreachable = self.unreachable_addresses(&reachable);
        for candidates in [reachable, unreachable] {
            if !candidates.is_empty() {
                let chosen = self.random.random_range(0..candidates.len());
                self.request_exchange(candidates[chosen]);
            }
        }
        self.remove_unused_addresses();
    }

    fn unreachable_addresses(&self, reachable: &[SocketAddr]) -> Vec<SocketAddr> {
        let dead = self
            .other_members()
            .filter(|member| member.state == MemberState::Dead)
            .map(|member| member.address);
        let seeds = self.settings.seeds.iter().copied();
        let unreachable_seeds = seeds.filter(|seed| !reachable.contains(seed));
        dead.chain(unreachable_seeds).collect()
    }

    /// Handles the answer of a member that did not know this member's instance, and repeats the exchange
    /// request now that it does. The answer is ignored unless it names one of the last datagrams sent to that
    /// address.
    pub(super) fn handle_introduction(&mut self, from: SocketAddr, answered_sequence: u64) {
        let record = self.addresses.get(&from);
        let has_sent_it = record.is_some_and(|record| record.sent_sequences.contains(&answered_sequence));
        if has_sent_it {
            self.request_exchange(from);
        }
    }

    /// Sends a page of the member table: as many members with names after `after` as fit into a datagram.
    pub(super) fn send_exchange_page(&mut self, to: SocketAddr, after: &str) {
        let header = self.next_header(to);
        let size_without_page_end = self
            .settings
            .max_datagram_size
            .saturating_sub(PAGE_END_RESERVED_BYTES);
        let mut writer = DatagramWriter::new(&header, size_without_page_end);
        let page_end = self.write_members(&mut writer, after);
        writer.release_reserved_bytes(PAGE_END_RESERVED_BYTES);
        writer.push(&page_end);
        self.sign_and_send(to, writer);
    }

    /// Appends members with names after `after` while they fit. Returns the part that ends the page.
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

    /// Handles the end of a page, whose updates precede it in the datagram. The first page completes joining;
    /// if more pages follow, requests the next one.
    pub(super) fn handle_exchange_page(&mut self, from: SocketAddr, last: String, more: bool) {
        self.join_schedule.has_joined = true;
        if more {
            self.send(from, &[Part::ExchangeRequest { after: last }]);
        }
    }
}
