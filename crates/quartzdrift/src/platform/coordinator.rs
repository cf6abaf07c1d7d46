//! Follows the list of workers with consecutive long polls of the coordinator, whose responses update the
//! list.
use super::Node;
use quartzdrift_http::{CallFailure, CallId, Headers, OutgoingRequest, Response};
use quartzdrift_platform::coordinator::{AppliedResponse, EndpointWatch, WatchError, WatchResponse};
use quartzdrift_scheduler::interface::EndpointListKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the coordinator may hold a poll open. A response proves only that the list was current when the
/// poll was sent, so the last confirmation may be twice this time old. That must be well below the list's
/// lease.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Fraction of [`POLL_WAIT`] after which a response without an event confirms the list. If it comes sooner,
/// the coordinator has not waited for events.
const MIN_WAIT_FRACTION: f64 = 0.95;
/// Time beyond its wait after which a poll times out. It doubles with each consecutive timeout, up to
/// [`MAX_POLL_GRACE`], since an overloaded coordinator responds late.
const POLL_GRACE: Duration = Duration::from_millis(400);
/// Upper limit of the doubled [`POLL_GRACE`]. If the coordinator never responds, the next poll is delayed by
/// this time.
const MAX_POLL_GRACE: Duration = Duration::from_millis(1600);
/// If the list was last confirmed longer ago than this, the coordinator counts as unreachable: two
/// consecutive polls have taken their maximum time.
const MAX_CONFIRMATION_AGE: Duration = POLL_WAIT.saturating_add(POLL_GRACE).saturating_mul(2);
/// Delay before the next poll after one that failed. It doubles with each consecutive failure, up to
/// [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Upper limit of the doubled [`RETRY_DELAY`].
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);
/// Minimum interval between two polls of a coordinator that responds at once without new events.
const MIN_EMPTY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two log lines while the coordinator is unreachable.
const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of workers named in a log line.
const MAX_WORKERS_LOGGED: usize = 16;
/// Number of consecutive gaps in the event indexes after which the whole list is requested.
const MAX_GAPS: u32 = 2;

/// A poll that waits for its response.
struct Poll {
    call: CallId,
    sent_at: Duration,
    /// Index of the event after which the poll requests events.
    follow_from: u64,
    /// When the poll times out.
    deadline: Duration,
}

impl Poll {
    /// Whether a response that arrived at `now` shows that the list is current once its changes are applied.
    fn is_confirmed_by(&self, reading: &AppliedResponse, now: Duration) -> bool {
        let waited = now.saturating_sub(self.sent_at) >= POLL_WAIT.mul_f64(MIN_WAIT_FRACTION);
        reading.is_current && (waited || !reading.is_empty)
    }
}

/// State of the polls of the coordinator.
pub(super) struct Coordinator {
    address: SocketAddr,
    watch: EndpointWatch,
    /// The current poll, if one waits for its response.
    poll: Option<Poll>,
    /// When the next poll is sent, if there is no current one.
    next_poll_at: Duration,
    /// Number of consecutive polls that failed.
    failures: u32,
    /// Number of consecutive polls that timed out.
    timeouts: u32,
    /// Number of consecutive responses with a gap in the event indexes.
    gaps: u32,
    /// The last time at which the list is known to have been current: when the poll that confirmed it was
    /// sent.
    confirmed_at: Option<Duration>,
    /// When an outage of the coordinator was last logged.
    outage_logged_at: Duration,
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum PollFailure {
    #[error("unusable response")]
    Refused,
    #[error("the response does not confirm that the list is current")]
    Unconfirmed,
    #[error("unexpected status {0}, expected 200")]
    Status(u16),
    #[error("connection failed or ended before the response was complete: {0:?}")]
    Disconnected(CallFailure),
    #[error("timed out without a response")]
    TimedOut,
}

impl Coordinator {
    /// Follows the coordinator at `address`, starting with its first event.
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

    /// When the loop must wake up to time out a poll or to send one.
    pub(super) fn next_deadline(&self) -> Duration {
        self.poll.as_ref().map_or(self.next_poll_at, |poll| poll.deadline)
    }

    fn is_poll(&self, call: CallId) -> bool {
        self.poll.as_ref().is_some_and(|poll| poll.call == call)
    }

    /// Index of the last applied event.
    pub(super) fn index(&self) -> u64 {
        self.watch.last_index()
    }

    /// Whether a poll has confirmed the list since the start.
    pub(super) fn was_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Index of the event after which the next poll requests events. If the list was not confirmed recently,
    /// this is the event before the last applied one: the coordinator then responds at once, and its response
    /// must contain the last one.
    fn next_follow_index(&self, now: Duration) -> u64 {
        let is_recently_confirmed = self.list_age(now).is_some_and(|age| age <= MAX_CONFIRMATION_AGE);
        if self.failures > 0 || !is_recently_confirmed {
            self.watch.index_before_last()
        } else {
            self.watch.last_index()
        }
    }

    fn poll_grace(&self) -> Duration {
        POLL_GRACE
            .saturating_mul(2_u32.saturating_pow(self.timeouts))
            .min(MAX_POLL_GRACE)
    }

    /// Records that a poll sent at `sent_at` confirmed the list. `is_empty` says that its response had no
    /// event.
    fn record_confirmation(&mut self, now: Duration, sent_at: Duration, is_empty: bool) {
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

    /// Time since the list was last known to be current; `None` if it never was.
    fn list_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Records a failed poll, and returns the number of consecutive failures before it.
    fn record_failure(&mut self, now: Duration, failure: PollFailure) -> u32 {
        let before = self.failures;
        let delay = RETRY_DELAY.saturating_mul(2_u32.saturating_pow(before));
        self.poll = None;
        let delay = match failure {
            PollFailure::Unconfirmed => delay.max(MIN_EMPTY_POLL_INTERVAL),
            _ => delay,
        };
        self.next_poll_at = now + delay.min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.timeouts = match failure {
            PollFailure::TimedOut => self.timeouts + 1,
            _ => 0,
        };
        before
    }

    /// Records an unusable response. After [`MAX_GAPS`] consecutive gaps the next poll requests the whole
    /// list.
    fn record_refusal(&mut self, error: &WatchError) {
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
    /// Times out the current poll if it is overdue, and sends the next one if it is due.
    pub(super) fn maintain_poll(&mut self, now: Duration) {
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
        let follow_from = self.coordinator.next_follow_index(self.now());
        let request = OutgoingRequest {
            method: "GET",
            target: format!(
                "/v2/stream?follow={}&wait_ms={}",
                follow_from,
                POLL_WAIT.as_millis()
            ),
            headers: Headers::new(),
            body: Rc::from([]),
            connect_timeout: POLL_GRACE,
            streams_response: false,
        };
        let call = self.http.call(self.coordinator.address, request);
        let sent_at = self.now();
        let repeats_last_event = follow_from < self.coordinator.watch.last_index();
        let wait = if repeats_last_event {
            Duration::ZERO
        } else {
            POLL_WAIT
        };
        let deadline = sent_at + wait + self.coordinator.poll_grace();
        self.coordinator.poll = Some(Poll {
            call,
            sent_at,
            follow_from,
            deadline,
        });
    }

    fn poll_failed(&mut self, failure: PollFailure) {
        let now = self.now();
        let failures = self.coordinator.record_failure(now, failure);
        self.count_poll_failure(failure);
        self.request_table
            .update_endpoints(now, EndpointListKind::Failed, Vec::new());
        self.carry_out();
        tracing::debug!(
            why = %failure,
            failures,
            "poll of the coordinator failed, the list of workers is unchanged"
        );
        let index = self.coordinator.watch.last_index();
        let age = self.coordinator.list_age(now);
        if failures == 0 {
            self.coordinator.outage_logged_at = now;
            tracing::info!(
                why = %failure,
                index,
                ?age,
                "poll of the coordinator failed, retrying"
            );
        } else if now >= self.coordinator.outage_logged_at + OUTAGE_LOG_INTERVAL {
            self.coordinator.outage_logged_at = now;
            let rejected_attempts = self.rejected_attempts_by_worker();
            tracing::info!(
                why = %failure,
                index,
                ?age,
                failures,
                turned_away = ?rejected_attempts,
                "the coordinator is still unreachable"
            );
        }
    }

    fn count_poll_failure(&mut self, failure: PollFailure) {
        let polls = &mut self.counts.polls;
        let count = match failure {
            PollFailure::Refused => &mut polls.refused,
            PollFailure::Unconfirmed => &mut polls.unconfirmed,
            PollFailure::Status(_) => &mut polls.wrong_status,
            PollFailure::Disconnected(_) => &mut polls.disconnected,
            PollFailure::TimedOut => &mut polls.timed_out,
        };
        *count += 1;
    }

    /// Workers that rejected attempts since the list was last confirmed, with the number of rejections, the
    /// largest first.
    fn rejected_attempts_by_worker(&self) -> Vec<(Rc<str>, u64)> {
        let rejecting = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.rejected_attempts > 0);
        let mut counts: Vec<_> = rejecting
            .map(|(uid, worker)| (uid.clone(), worker.rejected_attempts))
            .collect();
        counts.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        counts.truncate(MAX_WORKERS_LOGGED);
        counts
    }

    /// Confirms the list in the request table as of when the poll was sent, and logs the end of an outage.
    fn poll_succeeded(&mut self, sent_at: Duration, is_empty: bool) {
        let now = self.now();
        self.counts.polls.answered += 1;
        if self.coordinator.failures > 0 {
            let (index, failures) = (self.coordinator.watch.last_index(), self.coordinator.failures);
            let age = self.coordinator.list_age(now);
            let rejected_attempts = self.rejected_attempts_by_worker();
            tracing::info!(
                index,
                failures,
                ?age,
                turned_away = ?rejected_attempts,
                "the coordinator is reachable again"
            );
        }
        self.workers
            .values_mut()
            .for_each(|worker| worker.rejected_attempts = 0);
        self.coordinator.record_confirmation(now, sent_at, is_empty);
        self.request_table.confirm_endpoints(now, sent_at);
        self.carry_out();
    }

    /// Handles the response to an HTTP call. Only polls make HTTP calls.
    pub(super) fn poll_answered(&mut self, call: CallId, answer: &Response) {
        let Some(poll) = self.coordinator.poll.take_if(|poll| poll.call == call) else {
            return;
        };
        if answer.status != 200 {
            return self.poll_failed(PollFailure::Status(answer.status));
        }
        let settings = &self.config.settings;
        let result = self.coordinator.watch.apply_response(
            &answer.body,
            poll.follow_from,
            &settings.zones,
            &settings.machine_kinds,
        );
        match result {
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
                self.coordinator.record_refusal(&error);
                tracing::warn!(
                    ?error,
                    "unusable response of the coordinator, the list of workers is unchanged"
                );
                self.poll_failed(PollFailure::Refused);
            }
        }
    }

    /// Handles the failure of an HTTP call. Only polls make HTTP calls.
    pub(super) fn poll_error(&mut self, call: CallId, failure: CallFailure) {
        if self.coordinator.is_poll(call) {
            self.poll_failed(PollFailure::Disconnected(failure));
        }
    }

    /// Applies the coordinator's events that a configuration contains.
    pub(super) fn apply_configured_list(&mut self, known: WatchResponse) {
        let settings = &self.config.settings;
        let applied = self
            .coordinator
            .watch
            .apply(known, &settings.zones, &settings.machine_kinds);
        match applied {
            Ok(changes) => self.apply_changes(changes),
            Err(error) => tracing::warn!(?error, "cannot apply the list of workers in the configuration"),
        }
    }

    /// Switches to the coordinator of a new configuration, which continues the sequence of event indexes.
    pub(super) fn switch_coordinator(&mut self, address: SocketAddr, known: WatchResponse) {
        tracing::info!(%address, "configuration reloaded, switching to its coordinator");
        self.apply_configured_list(known);
        if let Some(poll) = self.coordinator.poll.take() {
            self.http.cancel(poll.call);
        }
        self.coordinator.address = address;
        self.coordinator.next_poll_at = self.now();
        self.coordinator.gaps = 0;
    }
}
