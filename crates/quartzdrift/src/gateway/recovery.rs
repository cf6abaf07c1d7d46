//! Recovery of the gateway after a start: reads the state that the last run left in the state folder, carries
//! out the outputs of `quartzdrift-recovery`, and writes checkpoints for the next start. Without
//! `gateway.state` there is no recovery.
use super::{Gateway, RequestContext, RequestOrigin};
use crate::settings::Settings;
use crate::snapshots::{
    self, CHECKPOINT, DAMAGED_CHECKPOINT, FORCE_FULL_SERVICE, MEASUREMENTS, RECOVERY_VIEW,
};
use quartzdrift_async_queue::RestoreContext;
use quartzdrift_lifecycle::FinalResponse;
use quartzdrift_recovery::{
    Checkpoint, ClockSample, DiskState, LoadResult, RECOVERY_TOPIC, Recovery, RecoveryOutput, RecoveryPhase,
    RecoverySettings, RestartClassification, RestartKind, StartupEvidence,
};
use quartzdrift_scheduler::interface::{EndpointListKind, EndpointState, Idempotency};
use quartzdrift_wal::{DirectoryStorage, InvocationRecord};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;
use std::time::Duration;

/// Interval at which checkpoints are written.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the gateway checks for the file by which an operator forces full service.
const FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Latency objective of request classes without a configured one.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// The recovery of a gateway, and the times at which its files are written or checked.
pub(super) struct RecoveryDriver {
    pub(super) state_machine: Recovery,
    next_checkpoint_at: Duration,
    next_force_check_at: Duration,
    /// Asynchronous invocations of the last run, kept until the restart is classified.
    pub(super) held_invocations: Vec<InvocationRecord>,
    /// Lock on the state folder; `None`: a predecessor that is still running holds it.
    lock: Option<DirectoryStorage>,
    /// Number of this start as last recorded on disk; 0: not recorded yet.
    recorded_start: u64,
}

/// Locks the state folder. Returns `None` if another process holds the lock.
fn lock_state_folder(folder: &Path) -> io::Result<Option<DirectoryStorage>> {
    match DirectoryStorage::open(folder) {
        Ok(lock) => Ok(Some(lock)),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// The scheduler that owns a store of asynchronous invocations, recorded in the folder of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoreOwner {
    name: String,
    /// Number of the start of that scheduler that last opened the store.
    starts: u64,
}

/// Name of the scheduler in its fleet; empty without a fleet.
fn scheduler_name(settings: &Settings) -> String {
    let fleet = settings.fleet.as_ref();
    fleet.map_or_else(String::new, |fleet| fleet.members.name.clone())
}

/// Reads the evidence that the last run left in the state folder. Returns `None` without a state folder.
pub(super) fn read_evidence(settings: &Settings, now: ClockSample) -> Option<StartupEvidence> {
    let folder = settings.state_folder.as_deref()?;
    let known_members = super::fleet::reachable_members_of_last_run(Some(folder));
    let disk = match snapshots::read(folder, CHECKPOINT) {
        Ok(Some(bytes)) => match serde_json::from_slice::<Checkpoint>(&bytes) {
            Ok(checkpoint) => {
                let name = scheduler_name(settings);
                let evidence = StartupEvidence::from_checkpoint(checkpoint, &name, known_members, now);
                return Some(evidence);
            }
            Err(_) => DiskState::Damaged,
        },
        Ok(None) if has_other_snapshots(folder) => DiskState::WithoutCheckpoint,
        Ok(None) => DiskState::Empty,
        Err(_) => DiskState::Damaged,
    };
    if disk == DiskState::Damaged {
        move_damaged_checkpoint(folder);
    }
    Some(StartupEvidence::without_checkpoint(disk, known_members, now))
}

fn has_other_snapshots(folder: &Path) -> bool {
    [snapshots::MEMBERS, snapshots::WORKERS]
        .iter()
        .any(|file| folder.join(file).exists())
}

/// Renames a damaged checkpoint, so that it can be inspected and the next checkpoint does not overwrite it.
fn move_damaged_checkpoint(folder: &Path) {
    let target = folder.join(DAMAGED_CHECKPOINT);
    drop(std::fs::remove_file(&target).or_else(|_| std::fs::remove_dir_all(&target)));
    let moved = std::fs::rename(folder.join(CHECKPOINT), &target).is_ok();
    tracing::error!(
        moved,
        folder = %folder.display(),
        "the checkpoint is damaged: recovery assumes as little as possible about the last run"
    );
}

/// Reads the number of the start that last opened a store of asynchronous invocations. Fails if the store
/// belongs to another scheduler, because both schedulers would execute its invocations.
fn read_store_start(store: &Path, settings: &Settings) -> io::Result<Option<u64>> {
    let Some(bytes) = snapshots::read(store, CHECKPOINT)? else {
        return Ok(None);
    };
    let owner: StoreOwner = serde_json::from_slice(&bytes).map_err(io::Error::other)?;
    if owner.name != scheduler_name(settings) {
        return Err(io::Error::other(format!(
            "the folder is the store of the scheduler '{}'; configure another folder, or remove {CHECKPOINT} \
             from this one if that scheduler will not run again",
            owner.name
        )));
    }
    Ok(Some(owner.starts))
}

/// Records this start as the one that last opened the store.
fn write_store_owner(store: &Path, owner: &StoreOwner) -> io::Result<()> {
    let bytes = serde_json::to_vec(owner).map_err(io::Error::other)?;
    std::fs::create_dir_all(store)
        .and_then(|()| snapshots::write(store, CHECKPOINT, &bytes))
        .map_err(|e| record_start_error(store, &e))
}

fn record_start_error(folder: &Path, error: &io::Error) -> io::Error {
    let message = format!("cannot record this start in {}: {error}", folder.display());
    io::Error::new(error.kind(), message)
}

fn recovery_settings(settings: &Settings, store_start: Option<u64>, instance: u64) -> RecoverySettings {
    let scheduler = &settings.scheduler;
    RecoverySettings {
        name: scheduler_name(settings),
        has_fleet: settings.fleet.is_some(),
        classification_timeout: settings.recovery.classification_timeout,
        max_duration: settings.recovery.max_duration,
        idempotency_keys_on_disk: settings.recovery.idempotency_keys_on_disk,
        load_quota_window: scheduler.cache.load_quota_window.unwrap_or_default(),
        slow_start_window: scheduler.rules.overload_window.unwrap_or_default(),
        max_async_in_flight: settings.asynchronous.max_concurrent_attempts,
        admission_ramp: settings.recovery.admission_ramp,
        store_start,
        instance,
    }
}

fn log_evidence(evidence: &StartupEvidence) {
    let disk = evidence.disk;
    let was_clean = evidence.ended_cleanly();
    let age = match evidence.checkpoint_age() {
        Some(age) => format!("Some({age})"),
        None => "None".to_owned(),
    };
    tracing::info!(%disk, %age, was_clean, "evidence of the last run");
}

impl Gateway {
    /// Starts the recovery if there is a state folder, and records this start before anything is sent.
    pub(super) fn start_recovery(&mut self, evidence: Option<StartupEvidence>) -> io::Result<()> {
        let (Some(mut evidence), Some(folder)) = (evidence, self.settings.state_folder.clone()) else {
            return Ok(());
        };
        let lock = lock_state_folder(&folder).map_err(|e| {
            let message = format!("cannot lock the state folder {}: {e}", folder.display());
            io::Error::new(e.kind(), message)
        })?;
        evidence.predecessor_running = lock.is_none();
        let store_start = match &self.settings.store_folder {
            Some(store) => read_store_start(store, &self.settings).map_err(|e| {
                io::Error::other(format!(
                    "cannot use the store of asynchronous invocations in {}: {e}",
                    store.display()
                ))
            })?,
            None => None,
        };
        let settings = recovery_settings(&self.settings, store_start, self.instance_id);
        let now = self.now();
        log_evidence(&evidence);
        self.recovery = Some(RecoveryDriver {
            state_machine: Recovery::new(settings, evidence, now),
            next_checkpoint_at: now,
            next_force_check_at: now,
            held_invocations: Vec::new(),
            lock,
            recorded_start: 0,
        });
        self.record_start()
    }

    /// Records the number of this start in the folder of the store, then in the state folder. Returns when
    /// both are on disk.
    fn record_start(&mut self) -> io::Result<()> {
        let (Some(recovery), Some(folder)) = (&mut self.recovery, &self.settings.state_folder) else {
            return Ok(());
        };
        let starts = recovery.state_machine.starts();
        if recovery.recorded_start == starts {
            return Ok(());
        }
        if let Some(store) = &self.settings.store_folder {
            let name = scheduler_name(&self.settings);
            write_store_owner(store, &StoreOwner { name, starts })?;
        }
        let checkpoint = recovery.state_machine.checkpoint(self.clock.sample());
        let bytes = serde_json::to_vec(&checkpoint).map_err(io::Error::other)?;
        snapshots::write(folder, CHECKPOINT, &bytes).map_err(|e| record_start_error(folder, &e))?;
        recovery.recorded_start = starts;
        Ok(())
    }

    /// Submits a checkpoint, the recovery view and the measurements to be written soon.
    pub(super) fn write_checkpoint(&mut self) {
        let now = self.now();
        let taken_at = self.clock.sample();
        let (Some(recovery), Some(writer)) = (&mut self.recovery, &self.snapshot_writer) else {
            return;
        };
        recovery.next_checkpoint_at = now + CHECKPOINT_INTERVAL;
        recovery.state_machine.checkpoint_begun(now);
        // Stored measurements of the last run must not be overwritten before they are restored.
        if !recovery.state_machine.needs_stored_measurements()
            && let Ok(bytes) = postcard::to_stdvec(self.request_table.measurements())
        {
            writer.enqueue(MEASUREMENTS, bytes);
        }
        if let (None, Some(folder)) = (&recovery.lock, &self.settings.state_folder) {
            recovery.lock = lock_state_folder(folder).ok().flatten();
        }
        if let Ok(bytes) = serde_json::to_vec(&recovery.state_machine.checkpoint(taken_at)) {
            writer.enqueue(CHECKPOINT, bytes);
        }
        if let Ok(bytes) = serde_json::to_vec_pretty(&recovery.state_machine.view(now)) {
            writer.enqueue(RECOVERY_VIEW, bytes);
        }
    }

    /// Time at which [`Gateway::fire_recovery_timers`] has to be called next.
    pub(super) fn next_recovery_due(&self) -> Option<Duration> {
        let recovery = self.recovery.as_ref()?;
        let at_full_service = recovery.state_machine.phase() == RecoveryPhase::FullService;
        let force_check = (!at_full_service).then_some(recovery.next_force_check_at);
        [
            Some(recovery.next_checkpoint_at),
            recovery.state_machine.next_due(),
            force_check,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Runs the timers of the recovery that are due, checks whether an operator has forced full service, and
    /// writes a checkpoint if that is due.
    pub(super) fn fire_recovery_timers(&mut self, now: Duration) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if recovery.state_machine.next_due().is_some_and(|at| at <= now) {
            recovery.state_machine.due(now);
        }
        let at_full_service = recovery.state_machine.phase() == RecoveryPhase::FullService;
        if !at_full_service && recovery.next_force_check_at <= now {
            recovery.next_force_check_at = now + FORCE_CHECK_INTERVAL;
            if take_force_file(self.settings.state_folder.as_deref()) {
                tracing::warn!("full service forced by an operator");
                recovery.state_machine.force_full_service(now);
            }
        }
        if recovery.state_machine.phase() == RecoveryPhase::Backlog && !self.invocation_queue.is_busy(now) {
            recovery.state_machine.backlog_drained(now);
        }
        let is_checkpoint_due = recovery.next_checkpoint_at <= now;
        self.carry_out_recovery();
        if is_checkpoint_due {
            self.write_checkpoint();
        }
    }

    /// Carries out the outputs of the recovery.
    pub(super) fn carry_out_recovery(&mut self) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        for output in recovery.state_machine.take_outputs() {
            match output {
                RecoveryOutput::Send { to, bytes } => self.send_to_member(&to, RECOVERY_TOPIC, bytes),
                RecoveryOutput::Classified(classification) => self.restart_classified(&classification),
                RecoveryOutput::PhaseEntered(phase) => {
                    tracing::info!(stage = %phase, "recovery phase entered");
                    self.write_checkpoint();
                }
                RecoveryOutput::RestoreMeasurements => self.restore_measurements(),
            }
        }
        self.update_attempt_limit();
    }

    /// Restores the state of the last run in accordance with the classification of the restart.
    fn restart_classified(&mut self, classification: &RestartClassification) {
        let &RestartClassification {
            kind,
            disk,
            answered,
            lost,
            silent,
            ..
        } = classification;
        tracing::info!(%kind, %disk, answered, lost, silent, "restart classified");
        if let Err(e) = self.record_start() {
            tracing::error!(error = %e, "cannot record this start on disk: the next start may not detect it");
        }
        match kind {
            RestartKind::MassFailure => self.mark_workers_restarted(),
            RestartKind::FirstStart | RestartKind::Planned | RestartKind::SingleCrash => {
                self.accepted_endpoints.set_from_unclean_stop(false);
            }
        }
        self.restore_held_invocations();
    }

    /// Restores the measurements of warm workers, on which the slow-start budget of the scheduler depends.
    fn restore_measurements(&mut self) {
        let warning = "cannot read the saved measurements, measuring starts anew";
        let bytes = snapshots::read_or_warn(self.settings.state_folder.as_deref(), MEASUREMENTS, warning);
        match bytes.map(|bytes| postcard::from_bytes(&bytes)) {
            Some(Ok(measurements)) => {
                self.request_table.restore_measurements(self.now(), measurements);
                self.carry_out();
            }
            Some(Err(e)) => {
                tracing::warn!(error = %e, "saved measurements are invalid, measuring starts anew")
            }
            None => {}
        }
    }

    /// After a mass failure, marks the accepted workers as just started, because they have lost power too. If
    /// an endpoint list has been received since the start, it is more recent, and nothing is changed.
    fn mark_workers_restarted(&mut self) {
        if self.discovery.has_received_list() {
            return;
        }
        let now = self.now();
        let mut workers = self.accepted_endpoints.workers();
        for worker in &mut workers {
            if worker.state == EndpointState::Up {
                worker.started = Some(now);
            }
        }
        self.update_endpoints(EndpointListKind::Changes, &workers);
    }

    /// Restores the asynchronous invocations of the last run, in accordance with the classified restart.
    fn restore_held_invocations(&mut self) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let requests = std::mem::take(&mut recovery.held_invocations);
        let state_machine = &recovery.state_machine;
        let context = RestoreContext {
            keys_remembered: state_machine.repeats_are_detected(),
            earlier_copy: state_machine.waiting_requests_may_have_run(),
        };
        let unproven_downtime = state_machine.unproven_downtime();
        self.restore_invocations(requests, context, unproven_downtime);
    }

    /// Limits asynchronous attempts in flight as the recovery requires, otherwise as configured.
    fn update_attempt_limit(&mut self) {
        let recovery = self.recovery.as_ref();
        let limit = recovery.and_then(|recovery| recovery.state_machine.async_limit());
        self.invocation_queue
            .set_attempt_limit(limit.unwrap_or(self.settings.asynchronous.max_concurrent_attempts));
    }

    /// Admits a call, or returns the time after which to retry if the call may repeat a request of the last
    /// run. `has_key` says whether the client sent an idempotency key.
    pub(super) fn admit_repeat(
        &self,
        request_class: u32,
        has_key: bool,
        is_retry: bool,
    ) -> Result<(), Duration> {
        let scheduler = &self.settings.scheduler;
        let class = &scheduler.request_classes[request_class as usize];
        let may_be_retry = is_retry || !scheduler.clients_mark_retries;
        let may_repeat = class.idempotency == Idempotency::IdempotentWithKey && has_key && may_be_retry;
        let Some(recovery) = self.recovery.as_ref().filter(|_| may_repeat) else {
            return Ok(());
        };
        let window = class.deduplication_window.unwrap_or_default();
        match recovery.state_machine.repeat_retry_after(self.now(), window) {
            Some(retry_after) => Err(retry_after),
            None => Ok(()),
        }
    }

    /// Admits a call of a function while caches are cold, or returns the time after which to retry. If the
    /// call is expected to load the function, returns the number of the function at the admission ramp.
    pub(super) fn admit_function(&mut self, function: &str) -> Result<Option<u32>, Duration> {
        let now = self.now();
        match &mut self.recovery {
            Some(recovery) => recovery.state_machine.admit(now, function),
            None => Ok(None),
        }
    }

    /// Reports the final response of a request to the recovery.
    pub(super) fn record_final_response(&mut self, context: &RequestContext, final_response: FinalResponse) {
        let now = self.now();
        let load_failed = self.load_failed;
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if let Some(function) = context.ramp_function {
            let result = load_result(final_response, load_failed);
            recovery.state_machine.load_finished(now, function, result);
        }
        let is_synchronous = matches!(context.origin, RequestOrigin::Client(_));
        let at_full_service = recovery.state_machine.phase() == RecoveryPhase::FullService;
        if at_full_service || !is_synchronous || final_response == FinalResponse::Cancelled {
            return;
        }
        let class = &self.settings.scheduler.request_classes[context.request_class as usize];
        let objective = class.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let is_in_time = now.saturating_sub(context.accepted_at) <= objective;
        let on_time = final_response == FinalResponse::Succeeded && is_in_time;
        recovery.state_machine.request_answered(on_time);
    }

    /// Records a planned stop in the last checkpoint, unless a successor has already written a later one.
    /// Called when all requests have their final response.
    pub(super) fn record_stop(&mut self) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let starts = recovery.state_machine.starts();
        let recorded = read_recorded_start(self.settings.state_folder.as_deref());
        if recorded.is_some_and(|recorded| recorded > starts) {
            return;
        }
        recovery.state_machine.stop_cleanly();
        self.write_checkpoint();
    }
}

/// Whether an operator has forced full service by creating [`FORCE_FULL_SERVICE`] in the state folder. The
/// file is removed.
fn take_force_file(folder: Option<&Path>) -> bool {
    let Some(folder) = folder else { return false };
    let file = folder.join(FORCE_FULL_SERVICE);
    file.exists() && std::fs::remove_file(file).is_ok()
}

/// Number of the start that the checkpoint on disk records.
fn read_recorded_start(folder: Option<&Path>) -> Option<u64> {
    let bytes = snapshots::read(folder?, CHECKPOINT).ok()??;
    let checkpoint: Checkpoint = serde_json::from_slice(&bytes).ok()?;
    Some(checkpoint.starts)
}

fn load_result(final_response: FinalResponse, load_failed: bool) -> LoadResult {
    match final_response {
        FinalResponse::Succeeded => LoadResult::Cached,
        FinalResponse::Rejected { .. } | FinalResponse::Failed { .. } | FinalResponse::Cancelled => {
            if load_failed {
                LoadResult::Rejected
            } else {
                LoadResult::Inconclusive
            }
        }
    }
}
