//! The list of workers: one long poll that is always out, and what its answers change.
use super::Node;
use quartzdrift_http::{CallId, Failure, Headers, Outgoing, Response};
use quartzdrift_platform::coordinator::{
    EndpointChange, EndpointUpdate, EndpointWatch, WatchError, WatchResponse,
};
use quartzdrift_scheduler::interface::{EndpointListKind, EndpointState};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a poll may wait: short, so that a silence is found well before its an update counts as told.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// Past the wait, before a poll counts as lost.
const POLL_GRACE: Duration = Duration::from_millis(400);
/// Before the next poll after one that failed, doubled up to the most.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(640);
/// Between two polls of a coordinator that has nothing to tell and does not wait.
const MIN_EMPTY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Gaps in a row after which the whole list is asked for.
const MAX_GAPS: u32 = 2;

pub(super) struct Coordinator {
    address: SocketAddr,
    watch: EndpointWatch,
    call: Option<(CallId, Duration)>,
    at: Duration,
    failures: u32,
    gaps: u32,
}

impl Coordinator {
    pub fn new(address: SocketAddr) -> Coordinator {
        let watch = EndpointWatch::default();
        Coordinator {
            address,
            watch,
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
                self.coordinator.watch.last(),
                POLL_WAIT.as_millis()
            ),
            headers: Headers::new(),
            body: Rc::from([]),
            connect_timeout: POLL_GRACE,
            streams: false,
        };
        let call = self.http.call(self.coordinator.address, request);
        self.coordinator.call = Some((call, self.now() + POLL_WAIT + POLL_GRACE));
    }

    fn poll_failed(&mut self, why: &str) {
        let failures = self.coordinator.failures;
        self.coordinator.call = None;
        self.coordinator.at = self.now()
            + RETRY_DELAY
                .saturating_mul(2_u32.saturating_pow(failures))
                .min(MAX_RETRY_DELAY);
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
        let known = self.coordinator.watch.last();
        match self.coordinator.watch.read(&answer.body, zones, kinds) {
            Ok(changes) => {
                let asked = self
                    .coordinator
                    .call
                    .take()
                    .map(|(_, until)| until - POLL_WAIT - POLL_GRACE);
                let empty = self.coordinator.watch.last() == known;
                let pause = if empty {
                    MIN_EMPTY_POLL_INTERVAL
                } else {
                    Duration::ZERO
                };
                self.coordinator.at = asked.map_or(self.now(), |at| (at + pause).max(self.now()));
                (self.coordinator.failures, self.coordinator.gaps) = (0, 0);
                self.changes(changes);
            }
            Err(error) => self.update_rejected(&error),
        }
    }

    pub(super) fn poll_error(&mut self, call: CallId, how: Failure) {
        if self.is_poll(call) {
            self.poll_failed(&format!("{how:?}"));
        }
    }

    fn update_rejected(&mut self, error: &WatchError) {
        if let WatchError::Gap { .. } = error {
            self.coordinator.gaps += 1;
            if self.coordinator.gaps >= MAX_GAPS {
                self.coordinator.gaps = 0;
                self.coordinator.watch.restart();
            }
        }
        tracing::warn!(?error, "news of workers is not believed; the list stands");
        self.poll_failed("its news is not believed");
    }

    /// Events that a configuration holds.
    pub(super) fn news(&mut self, news: WatchResponse) {
        let (zones, kinds) = (&self.config.settings.zones, &self.config.settings.kinds);
        match self.coordinator.watch.take(news, zones, kinds) {
            Ok(changes) => self.changes(changes),
            Err(error) => tracing::warn!(?error, "the workers that a configuration knows are not believed"),
        }
    }

    /// Follows another coordinator from now on; numbers go on.
    pub(super) fn switch_coordinator(&mut self, address: SocketAddr, known: WatchResponse) {
        tracing::info!(%address, "a new configuration");
        self.news(known);
        if let Some((call, _)) = self.coordinator.call.take() {
            self.http.cancel(call);
        }
        self.coordinator.address = address;
        self.coordinator.at = self.now();
        (self.coordinator.failures, self.coordinator.gaps) = (0, 0);
    }

    fn changes(&mut self, changes: Vec<EndpointChange>) {
        for EndpointChange { all, mut workers } in changes {
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
            for EndpointUpdate { listed, address } in &workers {
                match (listed.state, address) {
                    (EndpointState::Up | EndpointState::Draining, Some(address)) => {
                        before.extend(self.worker_listed(&listed.worker, *address, listed.started));
                    }
                    (EndpointState::Gone, _) => before.extend(self.worker_gone(&listed.worker)),
                    (EndpointState::Up | EndpointState::Draining, None) => {}
                }
            }
            let entries = workers.iter().map(|told| told.listed.entry()).collect();
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
                .for_each(|(request, attempt)| self.recall_attempt(request, attempt));
            self.carry_out();
        }
    }
}
