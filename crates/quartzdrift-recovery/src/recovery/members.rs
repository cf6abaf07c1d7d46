//! Asking other members, answering them, and classifying the restart by their answers.
use super::{Recovery, RecoveryOutput};
use crate::admission_ramp::AdmissionRamp;
use crate::checkpoint::CheckpointNumber;
use crate::classification::{self, MemberAnswer, RestartKind};
use crate::evidence::{DiskState, StartupEvidence};
use crate::messages::{MemberStatus, MessageError, RecoveryMessage};
use crate::phase::RecoveryPhase;
use std::collections::BTreeMap;
use std::time::Duration;

/// Members asked at most: what one of them does not know, another does.
const MAX_ASKED: usize = 32;
/// Time between requests to a member that has not answered: datagrams get lost.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Members of which starts and checkpoints are remembered at most.
const MAX_SEEN: usize = 4096;
/// Members that are notified of a checkpoint.
const NOTICE_FANOUT: usize = 3;
/// The age of a checkpoint that members are notified of: it is written in the background and is on disk by then.
const NOTICE_DELAY: Duration = Duration::from_millis(1500);

/// A member that is asked.
#[derive(Debug, Default)]
pub(super) struct AskedMember {
    next_request: Duration,
    answer: Option<MemberAnswer>,
}

impl AskedMember {
    fn is_silent(&self) -> bool {
        self.answer.is_none()
    }
}

/// The present start of another member.
#[derive(Debug)]
pub(super) struct PresentStart {
    instance: u64,
    /// The highest start that it had reported before.
    start_before: u64,
}

/// The checkpoint that members are notified of next.
#[derive(Debug)]
pub(super) struct CheckpointNotice {
    taken_at: Duration,
    checkpoint: u64,
}

impl CheckpointNotice {
    pub(super) fn new(now: Duration) -> CheckpointNotice {
        CheckpointNotice {
            taken_at: now,
            checkpoint: 0,
        }
    }
}

/// The members known before the start.
pub(super) fn members_to_ask(evidence: &StartupEvidence) -> BTreeMap<String, AskedMember> {
    let known = evidence.known_members.iter().take(MAX_ASKED).cloned();
    known.map(|name| (name, AskedMember::default())).collect()
}

impl Recovery {
    /// A member of the fleet is alive: it is asked while the restart is not classified.
    pub fn member_seen(&mut self, now: Duration, name: &str) {
        if self.met.len() < MAX_SEEN {
            self.met.insert(name.to_owned());
        }
        let has_room = self.asked.len() < MAX_ASKED || self.asked.contains_key(name);
        if self.classification.is_some() || !has_room {
            return;
        }
        self.asked.entry(name.to_owned()).or_default();
        self.request_status(now, name);
    }

    /// Handles a message of another member.
    ///
    /// # Errors
    ///
    /// The bytes are not a message of this release; nothing has changed.
    pub fn receive(&mut self, now: Duration, from: &str, bytes: &[u8]) -> Result<(), MessageError> {
        match RecoveryMessage::decode(bytes)? {
            RecoveryMessage::StatusRequest { status } => self.answer(now, from, &status),
            RecoveryMessage::StatusResponse {
                status,
                known_start,
                known_checkpoint,
            } => {
                let answer = MemberAnswer {
                    status,
                    known_start,
                    known_checkpoint,
                };
                self.handle_answer(now, from, answer);
            }
            RecoveryMessage::CheckpointWritten { start, checkpoint } => {
                self.remember_checkpoint(from, CheckpointNumber { start, checkpoint });
            }
            RecoveryMessage::CacheUpdates { updates } => {
                if let Some(ramp) = &mut self.ramp {
                    ramp.learn_all(now, &updates);
                }
            }
        }
        Ok(())
    }

    /// A checkpoint is being written. A few members are notified of an earlier one that is on disk by now, and remember
    /// it: a folder that is restored from a copy is detected by that.
    pub fn checkpoint_begun(&mut self, now: Duration) {
        self.checkpoint_count += 1;
        if now < self.notice.taken_at + NOTICE_DELAY {
            return;
        }
        let next = CheckpointNotice {
            taken_at: now,
            checkpoint: self.checkpoint_count,
        };
        let due = std::mem::replace(&mut self.notice, next);
        if due.checkpoint > 0 && !self.met.is_empty() {
            self.notify_checkpoint(due.checkpoint);
        }
    }

    fn notify_checkpoint(&mut self, checkpoint: u64) {
        let message = RecoveryMessage::CheckpointWritten {
            start: self.starts,
            checkpoint,
        };
        let bytes = message.encode();
        // Members take turns, so that all of them know a checkpoint that is not far behind.
        let first = (checkpoint as usize * NOTICE_FANOUT) % self.met.len();
        let count = NOTICE_FANOUT.min(self.met.len());
        for member in self.met.iter().cycle().skip(first).take(count) {
            self.outputs.push(RecoveryOutput::Send {
                to: member.clone(),
                bytes: bytes.clone(),
            });
        }
    }

    fn status(&self, now: Duration) -> MemberStatus {
        MemberStatus {
            starts: self.starts,
            instance: self.settings.instance,
            up_ms: self.up(now).as_millis() as u64,
            ended_cleanly: self.evidence.ended_cleanly(),
            at_full_service: self.phase == RecoveryPhase::FullService,
        }
    }

    fn request_status(&mut self, now: Duration, name: &str) {
        let status = self.status(now);
        let Some(asked) = self.asked.get_mut(name) else {
            return;
        };
        if asked.is_silent() && asked.next_request <= now {
            asked.next_request = now + ASK_INTERVAL;
            self.send(name, &RecoveryMessage::StatusRequest { status });
        }
    }

    /// Asks those that were met and have not answered.
    pub(super) fn request_missing_answers(&mut self, now: Duration) {
        let names: Vec<String> = self.met.iter().cloned().collect();
        for name in names {
            self.request_status(now, &name);
        }
    }

    /// When a member is asked again.
    pub(super) fn next_requests(&self) -> impl Iterator<Item = Duration> {
        self.asked
            .iter()
            .filter(|(name, asked)| asked.is_silent() && self.met.contains(*name))
            .map(|(_, asked)| asked.next_request)
    }

    fn answer(&mut self, now: Duration, from: &str, status: &MemberStatus) {
        let known_start = self.remember_start(from, status);
        let seen = self.reported_checkpoints.get(from);
        let known_checkpoint = seen
            .filter(|seen| seen.start == known_start)
            .map_or(0, |seen| seen.checkpoint);
        let response = RecoveryMessage::StatusResponse {
            status: self.status(now),
            known_start,
            known_checkpoint,
        };
        self.send(from, &response);
    }

    fn handle_answer(&mut self, now: Duration, from: &str, answer: MemberAnswer) {
        self.remember_start(from, &answer.status);
        if let Some(asked) = self.asked.get_mut(from).filter(|asked| asked.is_silent()) {
            asked.answer = Some(answer);
        }
        self.classify_if_ready(now);
        self.begin_ramp_if_certain(now);
    }

    fn send(&mut self, to: &str, message: &RecoveryMessage) {
        self.outputs.push(RecoveryOutput::Send {
            to: to.to_owned(),
            bytes: message.encode(),
        });
    }

    /// Remembers a member's present start. Returns the highest start that it had reported before that one; 0: none.
    fn remember_start(&mut self, name: &str, status: &MemberStatus) -> u64 {
        if !self.reported_starts.contains_key(name) && self.reported_starts.len() >= MAX_SEEN {
            return 0;
        }
        let seen = self.reported_starts.entry(name.to_owned()).or_default();
        let highest = status.starts.max(*seen);
        // The instance identifies a start however often it asks; its number may be used twice, after a restored copy.
        let present = self.present_starts.get(name);
        let start_before = match present.filter(|present| present.instance == status.instance) {
            Some(present) => present.start_before,
            None => *seen,
        };
        *seen = highest;
        let present = PresentStart {
            instance: status.instance,
            start_before,
        };
        self.present_starts.insert(name.to_owned(), present);
        start_before
    }

    fn remember_checkpoint(&mut self, name: &str, reported: CheckpointNumber) {
        let is_known = self.reported_checkpoints.contains_key(name);
        if is_known || self.reported_checkpoints.len() < MAX_SEEN {
            let seen = self.reported_checkpoints.entry(name.to_owned()).or_default();
            *seen = (*seen).max(reported);
        }
    }

    /// Members whose answers the classification waits for.
    pub(super) fn awaited_members(&self) -> Vec<String> {
        if self.classification.is_some() {
            return Vec::new();
        }
        self.asked
            .iter()
            .filter(|(_, asked)| asked.is_silent())
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn answers(&self) -> Vec<MemberAnswer> {
        let answers = self.asked.values().map(|asked| asked.answer.clone());
        answers.flatten().collect()
    }

    /// Classifies the restart once all have answered or the time for it is over.
    pub(super) fn classify_if_ready(&mut self, now: Duration) {
        if self.classification.is_some() {
            return;
        }
        let has_all_answers = !self.asked.is_empty() && self.asked.values().all(|asked| !asked.is_silent());
        // Where no member was known, those that have answered may not be all.
        let min_wait = if self.evidence.known_members.is_empty() {
            self.settings.classification_timeout / 2
        } else {
            Duration::ZERO
        };
        let is_timed_out = now >= self.started_at + self.settings.classification_timeout;
        if is_timed_out || has_all_answers && now >= self.started_at + min_wait {
            self.classify(now);
        }
    }

    /// Where the answers so far prove a mass failure, the ramp begins before all have answered.
    fn begin_ramp_if_certain(&mut self, now: Duration) {
        if self.classification.is_some() || self.ramp.is_some() {
            return;
        }
        let answers = self.answers();
        let asked = self.asked.len();
        if classification::proves_mass_failure(&self.evidence, &answers, asked, self.up(now)) {
            self.begin_mass_recovery(now);
        }
    }

    /// Begins the ramp, and schedules measurements to be restored once the slow-start window has passed since the last run:
    /// that ended before this start, and before the machine's boot if it was rebooted.
    fn begin_mass_recovery(&mut self, now: Duration) {
        if self.settings.admission_ramp && self.ramp.is_none() {
            self.ramp = Some(AdmissionRamp::new(now, self.settings.instance));
        }
        if self.measurements_scheduled {
            return;
        }
        self.measurements_scheduled = true;
        let down_before_start = if self.evidence.machine_stayed_up() {
            Duration::ZERO
        } else {
            self.evidence.clock_at_start.since_boot
        };
        let window = self.settings.slow_start_window;
        let window_end = self.started_at + window.saturating_sub(down_before_start);
        self.restore_measurements_at = Some(now.max(window_end));
    }

    pub(super) fn classify(&mut self, now: Duration) {
        let answers = self.answers();
        let silent = self.asked.len() - answers.len();
        let classification = classification::classify(&self.evidence, &answers, silent, self.up(now));
        // The number of a start that other members know of is not used again.
        self.starts = self.starts.max(classification.latest_start + 1);
        let is_mass_failure = classification.kind == RestartKind::MassFailure;
        if is_mass_failure {
            self.mass_failure_ended_at = Some(self.started_at);
            self.begin_mass_recovery(now);
        }
        if !is_mass_failure || classification.disk != DiskState::Intact {
            self.restore_measurements_at = None;
        }
        let phase = if is_mass_failure && !classification.others_at_full_service {
            RecoveryPhase::Synchronous
        } else {
            RecoveryPhase::FullService
        };
        self.outputs
            .push(RecoveryOutput::Classified(classification.clone()));
        self.classification = Some(classification);
        self.enter(now, phase);
    }
}
