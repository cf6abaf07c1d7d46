//! Recovery of schedulers after a kill: the real state machine over the simulated membership.
//!
//! A scheduler's disk is modelled as the checkpoint saved at its kill, which faults of the scenario may
//! damage.
use super::{START, Simulation};
use crate::scenario::StateDamage;
use quartzdrift_recovery::{
    Checkpoint, ClockSample, DiskState, LoadResult, Recovery, RecoveryOutput, RecoverySettings, RestartKind,
    StartupEvidence,
};
use quartzdrift_scheduler::measure::Measurements;
use std::time::Duration;

/// Classification timeout and maximum duration of a recovery, as in the gateway's default settings.
const CLASSIFICATION_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RECOVERY_DURATION: Duration = Duration::from_secs(300);
/// Time from the boot of a machine until its scheduler starts.
const BOOT_TIME: Duration = Duration::from_secs(2);

/// A checkpoint and the names of the members that were reachable when it was saved.
type SavedCheckpoint = (Checkpoint, Vec<String>);

/// Recovery of a scheduler, with the state of its disk and its clock for the next start.
#[derive(Default)]
pub(super) struct RecoveryState {
    pub machine: Option<Recovery>,
    /// Checkpoint on disk.
    saved: Option<SavedCheckpoint>,
    /// Earlier checkpoint, which a fault of the scenario can restore.
    backup: Option<SavedCheckpoint>,
    /// Whether the checkpoint on disk is unreadable.
    checkpoint_damaged: bool,
    /// Whether the disk is full; a scheduler does not start then.
    pub disk_full: bool,
    /// Offset of the wall clock at the next starts, and whether the clock is ahead.
    pub clock_offset: (Duration, bool),
    /// Time that the classification of the last start took, and its result.
    pub classified: Option<(Duration, RestartKind)>,
    started_at: Duration,
    starts: u32,
    /// Measurements of the scheduler when it was killed.
    measurements: Option<Measurements>,
}

impl Simulation<'_> {
    /// Clocks of a scheduler's machine; each start of the scheduler is on a newly booted machine.
    fn clock_sample(&self, s: usize) -> ClockSample {
        let recovery = &self.schedulers[s].recovery;
        let (offset, ahead) = recovery.clock_offset;
        let wall = if ahead {
            self.now + offset
        } else {
            self.now.saturating_sub(offset)
        };
        ClockSample {
            wall,
            boot_id: format!("{s}-{}", recovery.starts),
            since_boot: BOOT_TIME,
        }
    }

    pub(super) fn start_recovery(&mut self, s: usize) {
        if !self.variant.recovery {
            return;
        }
        let now = self.now;
        let recovery = &mut self.schedulers[s].recovery;
        recovery.starts += 1;
        recovery.started_at = now;
        recovery.classified = None;
        let clock_sample = self.clock_sample(s);
        let recovery = &mut self.schedulers[s].recovery;
        let name = format!("s{s}");
        let evidence = match recovery.saved.take() {
            Some((checkpoint, known_members)) => {
                StartupEvidence::from_checkpoint(checkpoint, &name, known_members, clock_sample)
            }
            None => {
                let disk = if std::mem::take(&mut recovery.checkpoint_damaged) {
                    DiskState::Damaged
                } else {
                    DiskState::Empty
                };
                StartupEvidence::without_checkpoint(disk, Vec::new(), clock_sample)
            }
        };
        let settings = RecoverySettings {
            name,
            has_fleet: self.variant.membership && now > START,
            classification_timeout: CLASSIFICATION_TIMEOUT,
            max_duration: MAX_RECOVERY_DURATION,
            idempotency_keys_on_disk: false,
            load_quota_window: Duration::from_secs_f64(self.variant.load_quota_window_s.max(0.0)),
            slow_start_window: self.scenario.overload_window,
            max_async_in_flight: 64,
            admission_ramp: self.variant.admission_ramp,
            store_start: None,
            instance: self.last_id,
        };
        recovery.machine = Some(Recovery::new(settings, evidence, now));
    }

    /// Saves the checkpoint and the measurements of a killed scheduler for its next start.
    pub(super) fn save_checkpoint(&mut self, s: usize, reachable_members: Vec<String>) {
        let clock_sample = self.clock_sample(s);
        let scheduler = &mut self.schedulers[s];
        let Some(machine) = scheduler.recovery.machine.take() else {
            return;
        };
        scheduler.recovery.measurements = scheduler
            .request_table
            .as_ref()
            .map(|request_table| request_table.measurements().clone());
        scheduler.recovery.saved = Some((machine.checkpoint(clock_sample), reachable_members));
    }

    /// Backs up the checkpoint that a running scheduler would save now.
    pub(super) fn back_up_checkpoint(&mut self, s: usize) {
        let clock_sample = self.clock_sample(s);
        let scheduler = &mut self.schedulers[s];
        let reachable_members: Vec<String> = scheduler
            .membership
            .iter()
            .flat_map(|membership| membership.members.reachable_members())
            .map(|member| member.name.to_string())
            .collect();
        scheduler.recovery.backup = scheduler
            .recovery
            .machine
            .as_ref()
            .map(|machine| (machine.checkpoint(clock_sample), reachable_members));
    }

    /// Applies a disk fault to the saved checkpoint of a scheduler that is down.
    pub(super) fn damage_disk(&mut self, s: usize, damage: StateDamage) {
        let recovery = &mut self.schedulers[s].recovery;
        match damage {
            StateDamage::Truncated | StateDamage::BitFlipped | StateDamage::Unreadable => {
                recovery.saved = None;
                recovery.checkpoint_damaged = true;
            }
            StateDamage::Deleted => recovery.saved = None,
            StateDamage::OlderCopy => recovery.saved = recovery.backup.clone(),
            StateDamage::OtherGateway => {
                if let Some((checkpoint, _)) = &mut recovery.saved {
                    checkpoint.name = "another".to_owned();
                }
            }
            StateDamage::DiskFull => recovery.disk_full = true,
        }
    }

    pub(super) fn recovery_due(&mut self, s: usize) {
        let now = self.now;
        if let Some(recovery) = &mut self.schedulers[s].recovery.machine {
            if recovery.next_due().is_some_and(|at| at <= now) {
                recovery.due(now);
            }
            // Asynchronous requests are not simulated, so the backlog is always drained.
            recovery.backlog_drained(now);
        }
        self.process_recovery_outputs(s);
    }

    /// Reports the final response to a request to the scheduler's recovery, with the result of the load that
    /// the request was admitted for.
    pub(super) fn record_recovery_response(&mut self, client: usize, succeeded: bool, on_time: bool) {
        let (now, client) = (self.now, &mut self.clients[client]);
        let scheduler = &mut self.schedulers[client.gateway];
        let Some(recovery) = &mut scheduler.recovery.machine else {
            return;
        };
        recovery.request_answered(on_time);
        if let Some((incarnation, load)) = client.recovery_load.take()
            && incarnation == scheduler.incarnation
        {
            let result = match (succeeded, self.attempt_load_failed) {
                (true, _) => LoadResult::Cached,
                (false, true) => LoadResult::Rejected,
                (false, false) => LoadResult::Inconclusive,
            };
            recovery.load_finished(now, load, result);
        }
    }

    /// Sends the messages of a scheduler's recovery, records its classification and restores its
    /// measurements.
    pub(super) fn process_recovery_outputs(&mut self, s: usize) {
        let scheduler = &mut self.schedulers[s];
        let Some(recovery) = &mut scheduler.recovery.machine else {
            return;
        };
        let outputs = recovery.take_outputs();
        for output in outputs {
            match (output, &mut scheduler.membership) {
                (RecoveryOutput::Send { to, bytes }, Some(membership)) => {
                    membership
                        .members
                        .send_message(&to, quartzdrift_recovery::RECOVERY_TOPIC, bytes);
                }
                (RecoveryOutput::Classified(restart), _) => {
                    let duration = self.now - scheduler.recovery.started_at;
                    scheduler.recovery.classified = Some((duration, restart.kind));
                }
                (RecoveryOutput::RestoreMeasurements, _) => {
                    if let (Some(measurements), Some(request_table)) = (
                        scheduler.recovery.measurements.take(),
                        &mut scheduler.request_table,
                    ) {
                        request_table.restore_measurements(self.now, measurements);
                    }
                }
                (RecoveryOutput::Send { .. } | RecoveryOutput::PhaseEntered(_), _) => {}
            }
        }
    }
}
