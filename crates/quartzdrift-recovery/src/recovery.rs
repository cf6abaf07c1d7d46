//! The state machine from a start to full service: `members` asks other members and classifies the restart, `phases` moves
//! on as service recovers, `admission` says what is admitted in the current phase.
mod admission;
mod members;
mod phases;

use crate::admission_ramp::AdmissionRamp;
use crate::backlog_drain::BacklogDrain;
use crate::checkpoint::{Checkpoint, CheckpointNumber};
use crate::classification::RestartClassification;
use crate::clock::ClockSample;
use crate::evidence::{DiskState, StartupEvidence};
use crate::phase::RecoveryPhase;
use crate::restore_policy::{self, RestoreRow};
use crate::settings::RecoverySettings;
use crate::view::RecoveryView;
use members::{AskedMember, CheckpointNotice, PresentStart};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RecoveryOutput {
    /// A message is to be sent to a member, under [`RECOVERY_TOPIC`](crate::RECOVERY_TOPIC).
    Send {
        /// The member's name.
        to: String,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The restart is classified; reported once.
    Classified(RestartClassification),
    /// A phase begins.
    PhaseEntered(RecoveryPhase),
    /// The scheduler's measurements from before the mass failure may be restored.
    RestoreMeasurements,
}

/// The recovery of one scheduler.
#[derive(Debug)]
pub struct Recovery {
    settings: RecoverySettings,
    evidence: StartupEvidence,
    started_at: Duration,
    /// The number of this start.
    starts: u64,
    classification: Option<RestartClassification>,
    phase: RecoveryPhase,
    phase_since: Duration,
    /// When the phase may end, as far as it ends by time.
    phase_check_at: Duration,
    /// When the last mass failure ended.
    mass_failure_ended_at: Option<Duration>,
    /// No prefetch before then: the last run may have spent the load quota.
    prefetch_from: Duration,
    /// When measurements from before a mass failure may be restored: what the last run spent of the slow-start budget is
    /// not spent again.
    restore_measurements_at: Option<Duration>,
    /// The time for that was determined.
    measurements_scheduled: bool,
    stopped_cleanly: bool,
    /// Checkpoints written by this start.
    checkpoint_count: u64,
    /// The checkpoint that members are notified of next.
    notice: CheckpointNotice,
    /// The highest start that each member reported.
    reported_starts: BTreeMap<String, u64>,
    /// The present start of each member that reported one to this start.
    present_starts: BTreeMap<String, PresentStart>,
    /// The latest checkpoint that each member reported; stored for them.
    reported_checkpoints: BTreeMap<String, CheckpointNumber>,
    /// Members that are asked: those known before the start and those met since.
    asked: BTreeMap<String, AskedMember>,
    /// Members met since the start.
    met: BTreeSet<String>,
    /// Limits loads of functions after a mass failure.
    ramp: Option<AdmissionRamp>,
    backlog: BacklogDrain,
    outputs: Vec<RecoveryOutput>,
}

impl Recovery {
    /// The recovery of a scheduler that starts at `now`, by the steady clock ([`ClockSample::steady_time`]).
    pub fn new(settings: RecoverySettings, evidence: StartupEvidence, now: Duration) -> Recovery {
        let checkpoint = evidence.checkpoint.clone().unwrap_or_default();
        let last_store_start = settings.store_start.unwrap_or(0);
        let mut recovery = Recovery {
            starts: checkpoint.starts.max(last_store_start) + 1,
            backlog: BacklogDrain::new(now, settings.max_async_in_flight),
            prefetch_from: prefetch_from(&settings, &evidence, now),
            asked: members::members_to_ask(&evidence),
            settings,
            evidence,
            started_at: now,
            classification: None,
            phase: RecoveryPhase::Classifying,
            phase_since: now,
            phase_check_at: now,
            // In the future it cannot be: the clock was not known then.
            mass_failure_ended_at: checkpoint.mass_failure_ended_at.map(|at| at.min(now)),
            restore_measurements_at: None,
            measurements_scheduled: false,
            stopped_cleanly: false,
            checkpoint_count: 0,
            notice: CheckpointNotice::new(now),
            reported_starts: checkpoint.reported_starts,
            present_starts: BTreeMap::new(),
            reported_checkpoints: checkpoint.reported_checkpoints,
            met: BTreeSet::new(),
            ramp: None,
            outputs: Vec::new(),
        };
        // A successor cannot be reached before its predecessor has left, and was never away.
        if !recovery.settings.has_fleet || recovery.evidence.predecessor_running {
            recovery.classify(now);
        }
        recovery
    }

    /// The current phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// What the restart was classified as, once it is.
    pub fn classification(&self) -> Option<&RestartClassification> {
        self.classification.as_ref()
    }

    /// What was found at the start.
    pub fn evidence(&self) -> &StartupEvidence {
        &self.evidence
    }

    /// The number of this start.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// The checkpoint to write for the next start; `taken_at`: the clocks now.
    pub fn checkpoint(&self, taken_at: ClockSample) -> Checkpoint {
        Checkpoint {
            name: self.settings.name.clone(),
            starts: self.starts,
            stopped_cleanly: self.stopped_cleanly,
            classified: self.classification.is_some(),
            taken_at,
            mass_failure_ended_at: self.mass_failure_ended_at,
            reported_starts: self.reported_starts.clone(),
            checkpoint_count: self.checkpoint_count,
            reported_checkpoints: self.reported_checkpoints.clone(),
        }
    }

    /// What operators see.
    pub fn view(&self, now: Duration) -> RecoveryView {
        let is_draining = self.phase == RecoveryPhase::Backlog;
        RecoveryView {
            starts: self.starts,
            phase: self.phase,
            phase_seconds: now.saturating_sub(self.phase_since).as_secs(),
            up_seconds: self.up(now).as_secs(),
            classification: self.classification.clone(),
            restore_decisions: self.restore_decisions(),
            waits_for: self.awaited_members(),
            async_limit: is_draining.then(|| self.backlog.limit()),
            ramp: self.ramp.as_ref().map(AdmissionRamp::view),
        }
    }

    fn restore_decisions(&self) -> Vec<RestoreRow> {
        let keys_on_disk = self.settings.idempotency_keys_on_disk;
        let store_start = self.settings.store_start;
        self.classification
            .as_ref()
            .map_or_else(Vec::new, |classification| {
                restore_policy::restore_decisions(classification, keys_on_disk, store_start)
            })
    }

    /// Time since the start.
    fn up(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    /// Takes what is to be carried out.
    pub fn take_outputs(&mut self) -> Vec<RecoveryOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// A planned stop: all open requests have their final answer.
    pub fn stop_cleanly(&mut self) {
        self.stopped_cleanly = true;
    }
}

/// The last run may have gone on after its last checkpoint, but not into this one: its load quota's window is over by then.
fn prefetch_from(settings: &RecoverySettings, evidence: &StartupEvidence, now: Duration) -> Duration {
    match evidence.disk {
        DiskState::Empty => now,
        _ => now + settings.load_quota_window,
    }
}

#[cfg(test)]
mod tests;
