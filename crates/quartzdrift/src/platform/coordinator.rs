//! The list of workers: one long poll that is always out, and what its answers change.
use super::Node;
use quartzdrift_http::{CallId, Failure, Headers, Outgoing, Response};
use quartzdrift_platform::coordinator::{Change, Doubt, Follower, News, Told};
use quartzdrift_scheduler::interface::{EndpointListKind, EndpointState};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a poll may wait: short, so that a silence is found well before its news counts as told.
const WAIT: Duration = Duration::from_millis(1000);
/// Past the wait, before a poll counts as lost.
const OVERDUE: Duration = Duration::from_millis(400);
/// Before the next poll after one that failed, doubled up to the most.
const AGAIN: Duration = Duration::from_millis(20);
const MAX_AGAIN: Duration = Duration::from_millis(640);
/// Between two polls of a coordinator that has nothing to tell and does not wait.
const MIN_EMPTY: Duration = Duration::from_millis(100);
/// Gaps in a row after which the whole list is asked for.
const MAX_GAPS: u32 = 2;

pub(super) struct Coordinator {
    address: SocketAddr,
    follower: Follower,
    call: Option<(CallId, Duration)>,
    at: Duration,
    failures: u32,
    gaps: u32,
}

impl Coordinator {
    pub fn new(address: SocketAddr) -> Coordinator {
        let follower = Follower::default();
        Coordinator {
            address,
            follower,
            call: None,
            at: Duration::ZERO,
            failures: 0,
            gaps: 0,
        }
    }

    pub fn next_due(&self) -> Option<Duration> {
        Some(self.call.map_or(self.at, |(_, until)| until))
    }
}

impl Node {
    pub(super) fn coordinator_due(&mut self, now: Duration) {
        if let Some((call, _)) = self.coordinator.call.take_if(|(_, until)| *until <= now) {
            self.http.cancel(call);
            self.poll_failed("no answer in time");
        }
        if self.coordinator.call.is_none() && self.coordinator.at <= now {
            self.poll();
        }
    }

    fn poll(&mut self) {
        let request = Outgoing {
            method: "GET",
            target: format!(
                "/v2/stream?follow={}&wait_ms={}",
                self.coordinator.follower.last(),
                WAIT.as_millis()
            ),
            headers: Headers::new(),
            body: Rc::from([]),
            connect_timeout: OVERDUE,
            streams: false,
        };
        let call = self.http.call(self.coordinator.address, request);
        self.coordinator.call = Some((call, self.now() + WAIT + OVERDUE));
    }

    fn poll_failed(&mut self, why: &str) {
        let failures = self.coordinator.failures;
        self.coordinator.call = None;
        self.coordinator.at = self.now()
            + AGAIN
                .saturating_mul(2_u32.saturating_pow(failures))
                .min(MAX_AGAIN);
        self.coordinator.failures += 1;
        tracing::debug!(why, failures, "a poll of the coordinator failed; the list stands");
        if failures == 0 {
            tracing::info!(why, "the coordinator cannot be followed; asking again");
        }
    }

    fn is_poll(&self, call: CallId) -> bool {
        self.coordinator.call.is_some_and(|(of, _)| of == call)
    }

    pub(super) fn told(&mut self, call: CallId, answer: &Response) {
        if !self.is_poll(call) {
            return;
        }
        if answer.status != 200 {
            return self.poll_failed(&format!("status {}", answer.status));
        }
        let (zones, kinds) = (&self.config.settings.zones, &self.config.settings.kinds);
        let known = self.coordinator.follower.last();
        match self.coordinator.follower.read(&answer.body, zones, kinds) {
            Ok(changes) => {
                let asked = self
                    .coordinator
                    .call
                    .take()
                    .map(|(_, until)| until - WAIT - OVERDUE);
                let empty = self.coordinator.follower.last() == known;
                let pause = if empty { MIN_EMPTY } else { Duration::ZERO };
                self.coordinator.at = asked.map_or(self.now(), |at| (at + pause).max(self.now()));
                (self.coordinator.failures, self.coordinator.gaps) = (0, 0);
                self.changes(changes);
            }
            Err(doubt) => self.doubted(&doubt),
        }
    }

    pub(super) fn untold(&mut self, call: CallId, how: Failure) {
        if self.is_poll(call) {
            self.poll_failed(&format!("{how:?}"));
        }
    }

    fn doubted(&mut self, doubt: &Doubt) {
        if let Doubt::Gap { .. } = doubt {
            self.coordinator.gaps += 1;
            if self.coordinator.gaps >= MAX_GAPS {
                self.coordinator.gaps = 0;
                self.coordinator.follower.restart();
            }
        }
        tracing::warn!(?doubt, "news of workers is not believed; the list stands");
        self.poll_failed("its news is not believed");
    }

    /// Events that a configuration holds.
    pub(super) fn news(&mut self, news: News) {
        let (zones, kinds) = (&self.config.settings.zones, &self.config.settings.kinds);
        match self.coordinator.follower.take(news, zones, kinds) {
            Ok(changes) => self.changes(changes),
            Err(doubt) => tracing::warn!(?doubt, "the workers that a configuration knows are not believed"),
        }
    }

    /// Follows another coordinator from now on; numbers go on.
    pub(super) fn follow(&mut self, address: SocketAddr, known: News) {
        tracing::info!(%address, "a new configuration");
        self.news(known);
        if let Some((call, _)) = self.coordinator.call.take() {
            self.http.cancel(call);
        }
        self.coordinator.address = address;
        self.coordinator.at = self.now();
        (self.coordinator.failures, self.coordinator.gaps) = (0, 0);
    }

    fn changes(&mut self, changes: Vec<Change>) {
        for Change { all, mut workers } in changes {
            if all {
                // Of a worker that a whole list names twice the last word counts.
                let mut named = HashSet::new();
                workers.reverse();
                workers.retain(|told| named.insert(told.listed.worker.clone()));
                let left: Vec<Rc<str>> = self
                    .workers
                    .keys()
                    .filter(|uid| !named.contains(&***uid))
                    .cloned()
                    .collect();
                left.iter().for_each(|uid| drop(self.worker_gone(uid)));
            }
            let mut before = Vec::new();
            for Told { listed, address } in &workers {
                match (listed.state, address) {
                    (EndpointState::Up | EndpointState::Draining, Some(address)) => {
                        before.extend(self.worker_listed(&listed.worker, *address, listed.started));
                    }
                    (EndpointState::Gone, _) => before.extend(self.worker_gone(&listed.worker)),
                    (EndpointState::Up | EndpointState::Draining, None) => {}
                }
            }
            let entries = workers.iter().map(|told| told.listed.as_endpoint()).collect();
            self.request_table.update_endpoints(
                self.now(),
                if all {
                    EndpointListKind::Full
                } else {
                    EndpointListKind::Changes
                },
                entries,
            );
            // Also where the worker is up again by the end of the event: what waits is not for the one there now.
            before
                .into_iter()
                .for_each(|(request, attempt)| self.recall(request, attempt));
            self.carry_out();
        }
    }
}
