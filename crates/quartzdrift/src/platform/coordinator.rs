//! Follows the list of workers: one long poll to the coordinator is always out, and its answers change the list.
use super::Node;
use quartzdrift_http::{CallId, Failure, Headers, Outgoing, Response};
use quartzdrift_platform::coordinator::{
    EndpointChange, EndpointUpdate, EndpointWatch, Reading, WatchError, WatchResponse,
};
use quartzdrift_scheduler::interface::{EndpointListKind, EndpointState, RequestId};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a poll may wait. An answer proves what the coordinator had when it was asked, so the list is known to be current
/// up to two waits ago: that has to be well within the list's lease.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Share of its wait before which an answer without an event comes too soon to be one: the coordinator has not waited for
/// events, whatever it says.
const MIN_WAITED_SHARE: f64 = 0.95;
/// How much longer than its wait a poll may take before it counts as lost; doubled with each further one that is lost, up to
/// [`MAX_POLL_GRACE`], as a coordinator that is crowded answers late.
const POLL_GRACE: Duration = Duration::from_millis(400);
/// Longest such time. A call that a silent coordinator never answers delays the next one by it.
const MAX_POLL_GRACE: Duration = Duration::from_millis(1600);
/// Age of the list from which on the coordinator was not heard lately: each of two polls has taken as long as it may.
const MAX_HEARD_AGE: Duration = POLL_WAIT.saturating_add(POLL_GRACE).saturating_mul(2);
/// Before the next poll after one that failed; doubled with each further failure, up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest wait before the next poll.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);
/// Between two polls of a coordinator that answers at once with nothing new.
const MIN_EMPTY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Between two log lines on a coordinator that stays out of reach.
const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Most workers that such a line names.
const MAX_WORKERS_LOGGED: usize = 16;
/// Gaps in a row after which the whole list is asked for.
const MAX_GAPS: u32 = 2;

/// A poll that is out.
struct Poll {
    call: CallId,
    sent_at: Duration,
    /// Index of the event that it follows from.
    asked: u64,
    /// When it counts as lost.
    deadline: Duration,
}

impl Poll {
    /// Whether an answer that came now shows that the list is current with its changes.
    fn is_confirmed_by(&self, reading: &Reading, now: Duration) -> bool {
        let waited = now.saturating_sub(self.sent_at) >= POLL_WAIT.mul_f64(MIN_WAITED_SHARE);
        reading.is_current && (waited || !reading.is_empty)
    }
}

/// How the coordinator is followed.
pub(super) struct Coordinator {
    address: SocketAddr,
    watch: EndpointWatch,
    poll: Option<Poll>,
    /// When the next poll is sent, if none is out.
    next_poll_at: Duration,
    /// Polls in a row that failed.
    failures: u32,
    /// Polls in a row that got no answer in time.
    timeouts: u32,
    /// Gaps in a row in the events' indexes.
    gaps: u32,
    /// The list is known to have been current then: when the last poll whose answer showed that was sent.
    confirmed_at: Option<Duration>,
    /// When the log last said that the coordinator is out of reach.
    outage_logged_at: Duration,
}

/// How a poll failed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum PollFailure {
    #[error("its answer cannot be used")]
    Refused,
    #[error("its answer does not show that the list is current")]
    Unconfirmed,
    #[error("status {0}")]
    Status(u16),
    #[error("no connection, or it ended before the answer did: {0:?}")]
    Disconnected(Failure),
    #[error("no answer in time")]
    TimedOut,
}

impl Coordinator {
    /// Follows the coordinator at this address from its first event on.
    pub(super) fn new(address: SocketAddr) -> Coordinator {
        Coordinator {
            address,
            watch: EndpointWatch::default(),
            poll: None,
            next_poll_at: Duration::ZERO,
            failures: 0,
            timeouts: 0,
            gaps: 0,
            confirmed_at: None,
            outage_logged_at: Duration::ZERO,
        }
    }

    /// When the loop must wake for it.
    pub(super) fn next_deadline(&self) -> Duration {
        self.poll.as_ref().map_or(self.next_poll_at, |poll| poll.deadline)
    }

    fn is_poll(&self, call: CallId) -> bool {
        self.poll.as_ref().is_some_and(|poll| poll.call == call)
    }

    /// Index of the last event that was applied.
    pub(super) fn index(&self) -> u64 {
        self.watch.last()
    }

    /// Whether the list was current at some time since the start.
    pub(super) fn was_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// The event to follow from. Where the coordinator was not heard lately it is the one before the last: the answer comes at
    /// once then, and has to bring an event that is known.
    fn next_asked(&self, now: Duration) -> u64 {
        let is_heard = self.list_age(now).is_some_and(|age| age <= MAX_HEARD_AGE);
        if self.failures > 0 || !is_heard {
            self.watch.before_last()
        } else {
            self.watch.last()
        }
    }

    fn poll_grace(&self) -> Duration {
        POLL_GRACE
            .saturating_mul(2_u32.saturating_pow(self.timeouts))
            .min(MAX_POLL_GRACE)
    }

    /// A poll that was sent at `sent_at` has shown that the list is current; `is_empty`: it brought no event.
    fn confirmed(&mut self, now: Duration, sent_at: Duration, is_empty: bool) {
        let pause = if is_empty {
            MIN_EMPTY_POLL_INTERVAL
        } else {
            Duration::ZERO
        };
        self.poll = None;
        self.next_poll_at = (sent_at + pause).max(now);
        self.failures = 0;
        self.timeouts = 0;
        self.gaps = 0;
        self.confirmed_at = Some(sent_at);
    }

    /// How long ago the list was last known to be current.
    fn list_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// A poll failed; returns how many had failed before it in a row.
    fn failed(&mut self, now: Duration, why: PollFailure) -> u32 {
        let before = self.failures;
        let delay = RETRY_DELAY.saturating_mul(2_u32.saturating_pow(before));
        self.poll = None;
        let delay = match why {
            PollFailure::Unconfirmed => delay.max(MIN_EMPTY_POLL_INTERVAL),
            _ => delay,
        };
        self.next_poll_at = now + delay.min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.timeouts = match why {
            PollFailure::TimedOut => self.timeouts + 1,
            _ => 0,
        };
        before
    }

    /// An answer was refused; after several gaps in a row the whole list is asked for.
    fn refused(&mut self, error: &WatchError) {
        if let WatchError::Gap { .. } = error {
            self.gaps += 1;
        }
        if self.gaps >= MAX_GAPS {
            self.gaps = 0;
            self.watch.restart();
        }
    }
}

impl Node {
    /// Sends a poll where none is out, and gives up one that is overdue.
    pub(super) fn coordinator_due(&mut self, now: Duration) {
        let overdue = self.coordinator.poll.take_if(|poll| poll.deadline <= now);
        if let Some(poll) = overdue {
            self.http.cancel(poll.call);
            self.poll_failed(PollFailure::TimedOut);
        }
        if self.coordinator.poll.is_none() && self.coordinator.next_poll_at <= now {
            self.poll();
        }
    }

    fn poll(&mut self) {
        let asked = self.coordinator.next_asked(self.now());
        let request = Outgoing {
            method: "GET",
            target: format!("/v2/stream?follow={}&wait_ms={}", asked, POLL_WAIT.as_millis()),
            headers: Headers::new(),
            body: Rc::from([]),
            connect_timeout: POLL_GRACE,
            streams: false,
        };
        let call = self.http.call(self.coordinator.address, request);
        let sent_at = self.now();
        let asks_again = asked < self.coordinator.watch.last();
        let wait = if asks_again { Duration::ZERO } else { POLL_WAIT };
        let deadline = sent_at + wait + self.coordinator.poll_grace();
        self.coordinator.poll = Some(Poll {
            call,
            sent_at,
            asked,
            deadline,
        });
    }

    fn poll_failed(&mut self, why: PollFailure) {
        let now = self.now();
        let failures = self.coordinator.failed(now, why);
        self.count_poll_failure(why);
        self.request_table
            .update_endpoints(now, EndpointListKind::Failed, Vec::new());
        self.carry_out();
        tracing::debug!(
            %why,
            failures,
            "a poll of the coordinator failed; the list stands"
        );
        let index = self.coordinator.watch.last();
        let age = self.coordinator.list_age(now);
        if failures == 0 {
            self.coordinator.outage_logged_at = now;
            tracing::info!(
                %why,
                index,
                ?age,
                "the coordinator cannot be followed; asking again"
            );
        } else if now >= self.coordinator.outage_logged_at + OUTAGE_LOG_INTERVAL {
            self.coordinator.outage_logged_at = now;
            let turned_away = self.turned_away_by_worker();
            tracing::info!(
                %why,
                index,
                ?age,
                failures,
                ?turned_away,
                "the coordinator is still out of reach"
            );
        }
    }

    fn count_poll_failure(&mut self, why: PollFailure) {
        let polls = &mut self.counts.polls;
        let count = match why {
            PollFailure::Refused => &mut polls.refused,
            PollFailure::Unconfirmed => &mut polls.unconfirmed,
            PollFailure::Status(_) => &mut polls.wrong_status,
            PollFailure::Disconnected(_) => &mut polls.disconnected,
            PollFailure::TimedOut => &mut polls.timed_out,
        };
        *count += 1;
    }

    /// Workers that have turned attempts away since the coordinator was last heard, the most first, with how many.
    fn turned_away_by_worker(&self) -> Vec<(Rc<str>, u64)> {
        let turned_away = self.workers.iter().filter(|(_, worker)| worker.turned_away > 0);
        let mut counts: Vec<_> = turned_away
            .map(|(uid, worker)| (uid.clone(), worker.turned_away))
            .collect();
        counts.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        counts.truncate(MAX_WORKERS_LOGGED);
        counts
    }

    /// The list is current as of when a poll was sent: the request table is told, and an outage that there was is over.
    fn poll_succeeded(&mut self, sent_at: Duration, is_empty: bool) {
        let now = self.now();
        self.counts.polls.answered += 1;
        if self.coordinator.failures > 0 {
            let (index, failures) = (self.coordinator.watch.last(), self.coordinator.failures);
            let age = self.coordinator.list_age(now);
            let turned_away = self.turned_away_by_worker();
            tracing::info!(
                index,
                failures,
                ?age,
                ?turned_away,
                "the coordinator is followed again"
            );
        }
        self.workers
            .values_mut()
            .for_each(|worker| worker.turned_away = 0);
        self.coordinator.confirmed(now, sent_at, is_empty);
        self.request_table.confirm_endpoints(now, sent_at);
        self.carry_out();
    }

    /// A call over HTTP was answered; all of them are polls.
    pub(super) fn poll_answered(&mut self, call: CallId, answer: &Response) {
        let Some(poll) = self.coordinator.poll.take_if(|poll| poll.call == call) else {
            return;
        };
        if answer.status != 200 {
            return self.poll_failed(PollFailure::Status(answer.status));
        }
        let settings = &self.config.settings;
        let read =
            self.coordinator
                .watch
                .read(&answer.body, poll.asked, &settings.zones, &settings.machine_kinds);
        match read {
            Ok(reading) => {
                let is_confirmed = poll.is_confirmed_by(&reading, self.now());
                self.apply_changes(reading.changes);
                if is_confirmed {
                    self.poll_succeeded(poll.sent_at, reading.is_empty);
                } else {
                    self.poll_failed(PollFailure::Unconfirmed);
                }
            }
            Err(error) => {
                self.coordinator.refused(&error);
                tracing::warn!(?error, "an update of the workers is refused; the list stands");
                self.poll_failed(PollFailure::Refused);
            }
        }
    }

    /// A call over HTTP failed; all of them are polls.
    pub(super) fn poll_error(&mut self, call: CallId, how: Failure) {
        if self.coordinator.is_poll(call) {
            self.poll_failed(PollFailure::Disconnected(how));
        }
    }

    /// Applies the events that a configuration holds.
    pub(super) fn apply_known(&mut self, known: WatchResponse) {
        let settings = &self.config.settings;
        let applied = self
            .coordinator
            .watch
            .take(known, &settings.zones, &settings.machine_kinds);
        match applied {
            Ok(changes) => self.apply_changes(changes),
            Err(error) => tracing::warn!(?error, "the workers that a configuration holds are refused"),
        }
    }

    /// Follows the coordinator of a new configuration from now on; the events' indexes go on.
    pub(super) fn switch_coordinator(&mut self, address: SocketAddr, known: WatchResponse) {
        tracing::info!(%address, "a new configuration");
        self.apply_known(known);
        if let Some(poll) = self.coordinator.poll.take() {
            self.http.cancel(poll.call);
        }
        self.coordinator.address = address;
        self.coordinator.next_poll_at = self.now();
        self.coordinator.gaps = 0;
    }

    fn apply_changes(&mut self, changes: Vec<EndpointChange>) {
        for change in changes {
            self.apply_change(change);
        }
    }

    fn apply_change(&mut self, change: EndpointChange) {
        let EndpointChange { all, mut workers } = change;
        if all {
            keep_last_of_each(&mut workers);
            self.remove_unnamed(&workers);
        }
        let displaced = self.update_workers(&workers);
        let kind = if all {
            EndpointListKind::Full
        } else {
            EndpointListKind::Changes
        };
        let endpoints = workers.iter().map(|update| update.listed.as_endpoint()).collect();
        self.request_table.update_endpoints(self.now(), kind, endpoints);
        // Also where the worker is up again by the end of the event: what waits is not for the one that is there now.
        for (request, attempt) in displaced {
            self.recall_attempt(request, attempt);
        }
        self.carry_out();
    }

    /// Removes the workers that a whole list does not name.
    fn remove_unnamed(&mut self, listed: &[EndpointUpdate]) {
        let named: HashSet<&str> = listed
            .iter()
            .map(|update| update.listed.worker.as_str())
            .collect();
        let gone: Vec<Rc<str>> = self
            .workers
            .keys()
            .filter(|uid| !named.contains(&***uid))
            .cloned()
            .collect();
        for uid in gone {
            self.worker_gone(&uid);
        }
    }

    /// Enters the workers of an event into the table, and returns the attempts that must be placed anew where they have not
    /// left.
    fn update_workers(&mut self, workers: &[EndpointUpdate]) -> Vec<(RequestId, u32)> {
        let mut displaced = Vec::new();
        for EndpointUpdate { listed, address } in workers {
            match (listed.state, address) {
                (EndpointState::Up | EndpointState::Draining, Some(address)) => {
                    displaced.extend(self.worker_listed(&listed.worker, *address, listed.started));
                }
                (EndpointState::Gone, _) => displaced.extend(self.worker_gone(&listed.worker)),
                (EndpointState::Up | EndpointState::Draining, None) => {}
            }
        }
        displaced
    }
}

/// Of a worker that a whole list names twice, the last entry counts. The order is reversed.
fn keep_last_of_each(workers: &mut Vec<EndpointUpdate>) {
    let mut named = HashSet::new();
    workers.reverse();
    workers.retain(|update| named.insert(update.listed.worker.clone()));
}
