//! Transitions between phases: after a time limit, as synchronous service recovers, or by an operator.
use super::{Recovery, RecoveryOutput};
use crate::admission_ramp::AdmissionRamp;
use crate::backlog_drain::BacklogDrain;
use crate::messages::RecoveryMessage;
use crate::phase::RecoveryPhase;
use std::time::Duration;

/// Duration of the schedules phase: requests of missed schedules precede prefetches by this time.
const SCHEDULES_PHASE_DURATION: Duration = Duration::from_secs(1);

impl Recovery {
    /// The time at which to call [`Recovery::due`] next; `None`: no call is needed.
    pub fn next_due(&self) -> Option<Duration> {
        let phase = match self.phase {
            RecoveryPhase::Classifying => self.next_classifying_due(),
            RecoveryPhase::Synchronous | RecoveryPhase::Backlog => Some(self.backlog.next_due()),
            RecoveryPhase::Schedules => Some(self.phase_check_at),
            RecoveryPhase::FullService => None,
        };
        let ramp = self.ramp.as_ref().filter(|_| !self.seen_members.is_empty());
        let gossip = ramp.and_then(AdmissionRamp::next_due);
        phase
            .into_iter()
            .chain(self.restore_measurements_at)
            .chain(gossip)
            .min()
    }

    fn next_classifying_due(&self) -> Option<Duration> {
        let min_wait_end = self.started_at + self.settings.classification_timeout / 2;
        let min_wait = Some(min_wait_end).filter(|at| *at > self.phase_check_at);
        let timeout = self.started_at + self.settings.classification_timeout;
        self.next_status_requests().chain(min_wait).chain([timeout]).min()
    }

    /// Advances the recovery to `now`: sends requests and gossip that are due, and enters the next phase if
    /// the current one is over.
    pub fn due(&mut self, now: Duration) {
        let restores = self.restore_measurements_at.take_if(|at| *at <= now);
        if restores.is_some() {
            self.outputs.push(RecoveryOutput::RestoreMeasurements);
        }
        self.send_gossip(now);
        let is_overdue = now >= self.started_at + self.settings.max_duration;
        match self.phase {
            RecoveryPhase::Classifying => {
                self.phase_check_at = self.phase_check_at.max(now);
                self.request_missing_statuses(now);
                self.classify_if_ready(now);
            }
            RecoveryPhase::Synchronous => {
                self.backlog.due(now);
                if is_overdue || self.backlog.is_stable() {
                    self.enter_phase(now, RecoveryPhase::Backlog);
                }
            }
            RecoveryPhase::Backlog => {
                self.backlog.due(now);
                if is_overdue || self.backlog.is_unlimited() {
                    self.enter_phase(now, RecoveryPhase::Schedules);
                }
            }
            RecoveryPhase::Schedules if now >= self.phase_check_at => {
                self.enter_phase(now, RecoveryPhase::FullService);
            }
            RecoveryPhase::Schedules | RecoveryPhase::FullService => {}
        }
    }

    fn send_gossip(&mut self, now: Duration) {
        let Some(ramp) = &mut self.ramp else { return };
        let members: Vec<&String> = self.seen_members.iter().collect();
        let Some(message) = ramp.next_message(now, &members) else {
            return;
        };
        let updates = message.updates;
        let bytes = RecoveryMessage::CacheUpdates { updates }.encode();
        for to in message.recipients {
            let bytes = bytes.clone();
            self.outputs.push(RecoveryOutput::Send { to, bytes });
        }
    }

    pub(super) fn enter_phase(&mut self, now: Duration, phase: RecoveryPhase) {
        self.phase = phase;
        self.phase_since = now;
        self.phase_check_at = now + SCHEDULES_PHASE_DURATION;
        if phase > RecoveryPhase::Synchronous {
            self.ramp = None;
        }
        match phase {
            RecoveryPhase::Synchronous => {
                self.backlog = BacklogDrain::new(now, self.settings.max_async_in_flight);
            }
            RecoveryPhase::Backlog => self.backlog.begin(),
            RecoveryPhase::Classifying | RecoveryPhase::Schedules | RecoveryPhase::FullService => {}
        }
        self.outputs.push(RecoveryOutput::PhaseEntered(phase));
    }

    /// Reports that no asynchronous request is due: the backlog has drained and its phase ends, whatever its
    /// limit.
    pub fn backlog_drained(&mut self, now: Duration) {
        if self.phase == RecoveryPhase::Backlog {
            self.enter_phase(now, RecoveryPhase::Schedules);
        }
    }

    /// Enters full service at once, by an operator's command. The restart keeps its classification, and
    /// requests that may have executed are still not executed again.
    pub fn force_full_service(&mut self, now: Duration) {
        if self.classification.is_none() {
            self.classify(now);
        }
        if self.phase != RecoveryPhase::FullService {
            self.enter_phase(now, RecoveryPhase::FullService);
        }
    }
}
