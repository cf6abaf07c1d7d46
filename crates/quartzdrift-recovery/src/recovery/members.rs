//! Status requests to other members, responses to theirs, and the classification of the restart by the
//! responses received.
use super::{Recovery, RecoveryOutput};
use crate::admission_ramp::AdmissionRamp;
use crate::checkpoint::CheckpointNumber;
use crate::classification::{self, MemberAnswer, RestartKind};
use crate::evidence::{DiskState, StartupEvidence};
use crate::messages::{MemberStatus, MessageError, RecoveryMessage};
use crate::phase::RecoveryPhase;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of members that are asked for their status. A subset of a large fleet is enough,
/// because the members' records of starts and checkpoints overlap.
const MAX_ASKED_MEMBERS: usize = 32;
/// Time between status requests to a member that has not answered; datagrams may get lost.
const STATUS_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of members whose starts and checkpoints are remembered.
const MAX_REMEMBERED_MEMBERS: usize = 4096;
/// The number of members that are notified of a checkpoint.
const NOTICE_FANOUT: usize = 3;
/// The minimum age of a checkpoint that members are notified of: it is written in the background and is on
/// disk by then.
const NOTICE_DELAY: Duration = Duration::from_millis(1500);

/// A member that is asked for its status.
#[derive(Debug, Default)]
pub(super) struct AskedMember {
    next_request_at: Duration,
    answer: Option<MemberAnswer>,
}

impl AskedMember {
    fn is_silent(&self) -> bool {
        self.answer.is_none()
    }
}

/// The current start of another member.
#[derive(Debug)]
pub(super) struct CurrentStart {
    instance: u64,
    /// The highest number of starts that the member had reported before this start; 0: none.
    previous_start: u64,
}

/// The checkpoint of which members are notified next.
#[derive(Debug)]
pub(super) struct CheckpointNotice {
    taken_at: Duration,
    /// The checkpoint's number within this start; 0: none.
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

/// The members known before the start, up to [`MAX_ASKED_MEMBERS`].
pub(super) fn members_to_ask(evidence: &StartupEvidence) -> BTreeMap<String, AskedMember> {
    let known = evidence.known_members.iter().take(MAX_ASKED_MEMBERS).cloned();
    known.map(|name| (name, AskedMember::default())).collect()
}

impl Recovery {
    /// Reports that a member of the fleet is alive. It is asked for its status until the restart is
    /// classified.
    pub fn member_seen(&mut self, now: Duration, name: &str) {
        if self.seen_members.len() < MAX_REMEMBERED_MEMBERS {
            self.seen_members.insert(name.to_owned());
        }
        let may_ask = self.asked_members.len() < MAX_ASKED_MEMBERS || self.asked_members.contains_key(name);
        if self.classification.is_some() || !may_ask {
            return;
        }
        self.asked_members.entry(name.to_owned()).or_default();
        self.request_status(now, name);
    }

    /// Handles a message from another member.
    ///
    /// # Errors
    ///
    /// The bytes are too long or not a message of this release; the message is dropped.
    pub fn receive(&mut self, now: Duration, from: &str, bytes: &[u8]) -> Result<(), MessageError> {
        match RecoveryMessage::decode(bytes)? {
            RecoveryMessage::StatusRequest { status } => self.answer_status_request(now, from, &status),
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
                self.handle_status_response(now, from, answer);
            }
            RecoveryMessage::CheckpointWritten { start, checkpoint } => {
                self.remember_checkpoint(from, CheckpointNumber { start, checkpoint });
            }
            RecoveryMessage::CacheUpdates { updates } => {
                if let Some(ramp) = &mut self.ramp {
                    ramp.apply_updates(now, &updates);
                }
            }
        }
        Ok(())
    }

    /// Reports that a checkpoint is being written. A few members are notified of an earlier checkpoint that
    /// is on disk by now. They remember it, which allows a later start to detect that its folder was restored
    /// from an older copy.
    pub fn checkpoint_begun(&mut self, now: Duration) {
        self.checkpoint_count += 1;
        if now < self.pending_notice.taken_at + NOTICE_DELAY {
            return;
        }
        let next = CheckpointNotice {
            taken_at: now,
            checkpoint: self.checkpoint_count,
        };
        let due = std::mem::replace(&mut self.pending_notice, next);
        if due.checkpoint > 0 && !self.seen_members.is_empty() {
            self.notify_checkpoint(due.checkpoint);
        }
    }

    fn notify_checkpoint(&mut self, checkpoint: u64) {
        let message = RecoveryMessage::CheckpointWritten {
            start: self.starts,
            checkpoint,
        };
        let bytes = message.encode();
        // Members are notified in rotation, so that each of them knows a recent checkpoint.
        let first = (checkpoint as usize * NOTICE_FANOUT) % self.seen_members.len();
        let count = NOTICE_FANOUT.min(self.seen_members.len());
        for member in self.seen_members.iter().cycle().skip(first).take(count) {
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
            up_ms: self.uptime(now).as_millis() as u64,
            ended_cleanly: self.evidence.ended_cleanly(),
            at_full_service: self.phase == RecoveryPhase::FullService,
        }
    }

    fn request_status(&mut self, now: Duration, name: &str) {
        let status = self.status(now);
        let Some(asked) = self.asked_members.get_mut(name) else {
            return;
        };
        if asked.is_silent() && asked.next_request_at <= now {
            asked.next_request_at = now + STATUS_REQUEST_INTERVAL;
            self.send(name, &RecoveryMessage::StatusRequest { status });
        }
    }

    /// Asks the members that were seen alive and have not answered for their status.
    pub(super) fn request_missing_statuses(&mut self, now: Duration) {
        let names: Vec<String> = self.seen_members.iter().cloned().collect();
        for name in names {
            self.request_status(now, &name);
        }
    }

    /// The times at which members that have not answered are asked again.
    pub(super) fn next_status_requests(&self) -> impl Iterator<Item = Duration> {
        self.asked_members
            .iter()
            .filter(|(name, asked)| asked.is_silent() && self.seen_members.contains(*name))
            .map(|(_, asked)| asked.next_request_at)
    }

    fn answer_status_request(&mut self, now: Duration, from: &str, status: &MemberStatus) {
        let known_start = self.remember_start(from, status);
        let reported = self.reported_checkpoints.get(from);
        let known_checkpoint = reported
            .filter(|reported| reported.start == known_start)
            .map_or(0, |reported| reported.checkpoint);
        let response = RecoveryMessage::StatusResponse {
            status: self.status(now),
            known_start,
            known_checkpoint,
        };
        self.send(from, &response);
    }

    fn handle_status_response(&mut self, now: Duration, from: &str, answer: MemberAnswer) {
        self.remember_start(from, &answer.status);
        if let Some(asked) = self.asked_members.get_mut(from).filter(|asked| asked.is_silent()) {
            asked.answer = Some(answer);
        }
        self.classify_if_ready(now);
        self.begin_ramp_if_mass_failure_proven(now);
    }

    fn send(&mut self, to: &str, message: &RecoveryMessage) {
        self.outputs.push(RecoveryOutput::Send {
            to: to.to_owned(),
            bytes: message.encode(),
        });
    }

    /// Remembers a member's current start. Returns the highest number of starts that the member had reported
    /// before it; 0: none.
    fn remember_start(&mut self, name: &str, status: &MemberStatus) -> u64 {
        if !self.reported_starts.contains_key(name) && self.reported_starts.len() >= MAX_REMEMBERED_MEMBERS {
            return 0;
        }
        let reported = self.reported_starts.entry(name.to_owned()).or_default();
        let highest = status.starts.max(*reported);
        // A start sends several requests, and its number may be used again after the folder was restored from
        // a copy: only the instance identifies it.
        let current = self.current_starts.get(name);
        let previous_start = match current.filter(|current| current.instance == status.instance) {
            Some(current) => current.previous_start,
            None => *reported,
        };
        *reported = highest;
        let current = CurrentStart {
            instance: status.instance,
            previous_start,
        };
        self.current_starts.insert(name.to_owned(), current);
        previous_start
    }

    fn remember_checkpoint(&mut self, name: &str, checkpoint: CheckpointNumber) {
        let is_known = self.reported_checkpoints.contains_key(name);
        if is_known || self.reported_checkpoints.len() < MAX_REMEMBERED_MEMBERS {
            let latest = self.reported_checkpoints.entry(name.to_owned()).or_default();
            *latest = (*latest).max(checkpoint);
        }
    }

    /// Members whose status responses the classification waits for.
    pub(super) fn awaited_members(&self) -> Vec<String> {
        if self.classification.is_some() {
            return Vec::new();
        }
        self.asked_members
            .iter()
            .filter(|(_, asked)| asked.is_silent())
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn answers(&self) -> Vec<MemberAnswer> {
        let answers = self.asked_members.values().map(|asked| asked.answer.clone());
        answers.flatten().collect()
    }

    /// Classifies the restart if all asked members have answered or the classification timeout has passed.
    pub(super) fn classify_if_ready(&mut self, now: Duration) {
        if self.classification.is_some() {
            return;
        }
        let has_all_answers =
            !self.asked_members.is_empty() && self.asked_members.values().all(|asked| !asked.is_silent());
        // Where no member was known before the start, further members may still be seen.
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

    /// Begins the admission ramp before all members have answered, if the answers so far prove a mass
    /// failure.
    fn begin_ramp_if_mass_failure_proven(&mut self, now: Duration) {
        if self.classification.is_some() || self.ramp.is_some() {
            return;
        }
        let answers = self.answers();
        let asked = self.asked_members.len();
        if classification::proves_mass_failure(&self.evidence, &answers, asked, self.uptime(now)) {
            self.begin_mass_failure_recovery(now);
        }
    }

    /// Begins the admission ramp, and schedules the restore of measurements for when the slow-start window
    /// has passed since the last run. The last run ended before this start, and before the machine's boot if
    /// it was rebooted.
    fn begin_mass_failure_recovery(&mut self, now: Duration) {
        if self.settings.admission_ramp && self.ramp.is_none() {
            self.ramp = Some(AdmissionRamp::new(now, self.settings.instance));
        }
        if self.measurement_restore_scheduled {
            return;
        }
        self.measurement_restore_scheduled = true;
        let downtime_before_start = if self.evidence.machine_stayed_up() {
            Duration::ZERO
        } else {
            self.evidence.clock_at_start.since_boot
        };
        let window = self.settings.slow_start_window;
        let window_end = self.started_at + window.saturating_sub(downtime_before_start);
        self.restore_measurements_at = Some(now.max(window_end));
    }

    /// Classifies the restart by the answers so far and enters the phase that follows.
    pub(super) fn classify(&mut self, now: Duration) {
        let answers = self.answers();
        let silent = self.asked_members.len() - answers.len();
        let classification = classification::classify(&self.evidence, &answers, silent, self.uptime(now));
        // A start number that another member knows of must not be used again.
        self.starts = self.starts.max(classification.latest_start + 1);
        let is_mass_failure = classification.kind == RestartKind::MassFailure;
        if is_mass_failure {
            self.mass_failure_ended_at = Some(self.started_at);
            self.begin_mass_failure_recovery(now);
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
        self.enter_phase(now, phase);
    }
}
