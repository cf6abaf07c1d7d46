//! The state machine that takes a scheduler from its start to full service: `members` exchanges statuses with
//! other members and classifies the restart, `phases` advances the phase as service recovers, `admission`
//! decides what is admitted in the current phase.
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
use members::{AskedMember, CheckpointNotice, CurrentStart};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RecoveryOutput {
    /// Send a message to a member, under [`RECOVERY_TOPIC`](crate::RECOVERY_TOPIC).
    Send {
        /// The recipient's name.
        to: String,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The restart has been classified; emitted once.
    Classified(RestartClassification),
    /// The recovery has entered this phase.
    PhaseEntered(RecoveryPhase),
    /// Restore the scheduler's measurements from before the mass failure.
    RestoreMeasurements,
}

/// The recovery of one scheduler.
#[derive(Debug)]
pub struct Recovery {
    settings: RecoverySettings,
    evidence: StartupEvidence,
    started_at: Duration,
    /// The number of starts of this scheduler so far, this one included.
    starts: u64,
    classification: Option<RestartClassification>,
    phase: RecoveryPhase,
    phase_since: Duration,
    /// [`RecoveryPhase::Classifying`]: the time of the last check whether the restart can be classified.
    /// [`RecoveryPhase::Schedules`]: the time when the phase ends.
    phase_check_at: Duration,
    /// The end of the last mass failure.
    mass_failure_ended_at: Option<Duration>,
    /// The earliest time of a prefetch: the last run may have spent the load quota.
    earliest_prefetch: Duration,
    /// When measurements from before a mass failure may be restored. Earlier, this run could spend a part of
    /// the slow-start budget that the last run has already spent.
    restore_measurements_at: Option<Duration>,
    /// Whether `restore_measurements_at` has been set before: measurements are restored once.
    measurement_restore_scheduled: bool,
    stopped_cleanly: bool,
    /// The number of checkpoints that this start has begun to write.
    checkpoint_count: u64,
    /// The checkpoint that members are notified of once it is certain to be on disk.
    pending_notice: CheckpointNotice,
    /// The highest number of starts that each member has reported, by the member's name.
    reported_starts: BTreeMap<String, u64>,
    /// The current start of each member that has sent its status since this start, by the member's name.
    current_starts: BTreeMap<String, CurrentStart>,
    /// The latest checkpoint that each member has reported, by the member's name. A member whose folder was
    /// restored from a copy learns from it that its disk is stale.
    reported_checkpoints: BTreeMap<String, CheckpointNumber>,
    /// Members that are asked for their status: those known before the start and those seen alive since.
    asked_members: BTreeMap<String, AskedMember>,
    /// Members that were seen alive since the start.
    seen_members: BTreeSet<String>,
    /// Limits loads of functions after a mass failure; `None`: they are not limited.
    ramp: Option<AdmissionRamp>,
    backlog: BacklogDrain,
    outputs: Vec<RecoveryOutput>,
}

impl Recovery {
    /// Creates the recovery of a scheduler that starts at `now`, by the steady clock
    /// ([`ClockSample::steady_time`]).
    pub fn new(settings: RecoverySettings, evidence: StartupEvidence, now: Duration) -> Recovery {
        let checkpoint = evidence.checkpoint.clone().unwrap_or_default();
        let last_store_start = settings.store_start.unwrap_or(0);
        let mut recovery = Recovery {
            starts: checkpoint.starts.max(last_store_start) + 1,
            backlog: BacklogDrain::new(now, settings.max_async_in_flight),
            earliest_prefetch: earliest_prefetch(&settings, &evidence, now),
            asked_members: members::members_to_ask(&evidence),
            settings,
            evidence,
            started_at: now,
            classification: None,
            phase: RecoveryPhase::Classifying,
            phase_since: now,
            phase_check_at: now,
            // A mass failure cannot end in the future: the clock of an earlier run was wrong.
            mass_failure_ended_at: checkpoint.mass_failure_ended_at.map(|at| at.min(now)),
            restore_measurements_at: None,
            measurement_restore_scheduled: false,
            stopped_cleanly: false,
            checkpoint_count: 0,
            pending_notice: CheckpointNotice::new(now),
            reported_starts: checkpoint.reported_starts,
            current_starts: BTreeMap::new(),
            reported_checkpoints: checkpoint.reported_checkpoints,
            seen_members: BTreeSet::new(),
            ramp: None,
            outputs: Vec::new(),
        };
        // A start without a fleet and a handover are classified immediately. A handover does not interrupt
        // service, and other members cannot reach the successor before its predecessor has left.
        if !recovery.settings.has_fleet || recovery.evidence.predecessor_running {
            recovery.classify(now);
        }
        recovery
    }

    /// The current phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// The classification of the restart; `None` until it is classified.
    pub fn classification(&self) -> Option<&RestartClassification> {
        self.classification.as_ref()
    }

    /// The evidence that this start found on disk.
    pub fn evidence(&self) -> &StartupEvidence {
        &self.evidence
    }

    /// The number of starts of this scheduler so far, this one included.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// The checkpoint to write for the next start; `taken_at` is a sample of the clocks now.
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

    /// The state of the recovery as operators see it.
    pub fn view(&self, now: Duration) -> RecoveryView {
        let is_draining = self.phase == RecoveryPhase::Backlog;
        RecoveryView {
            starts: self.starts,
            phase: self.phase,
            phase_seconds: now.saturating_sub(self.phase_since).as_secs(),
            up_seconds: self.uptime(now).as_secs(),
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

    /// Time since this start.
    fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    /// Takes the actions to carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<RecoveryOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Records that this run stops as planned: all open requests have received their final response.
    pub fn stop_cleanly(&mut self) {
        self.stopped_cleanly = true;
    }
}

/// The earliest time of a prefetch. The last run may have spent its load quota up to this start, also after
/// its last checkpoint; the quota's window has passed by the returned time. A first start has no earlier run.
fn earliest_prefetch(settings: &RecoverySettings, evidence: &StartupEvidence, now: Duration) -> Duration {
    match evidence.disk {
        DiskState::Empty => now,
        _ => now + settings.load_quota_window,
    }
}

#[cfg(test)]
mod tests;
