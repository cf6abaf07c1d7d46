//! The gateway's recovery: reads what the last run left in the state folder, carries out what `quartzdrift-recovery`
//! decides, and writes checkpoints for the next start. Off without `gateway.state`.
use super::{Gateway, Origin, RequestContext};
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

/// How often a checkpoint is written.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);
/// How often the file is looked for by which an operator forces full service.
const FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The latency objective of request classes that have none.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// The recovery of a gateway, and when its files are due.
pub(super) struct RecoveryDriver {
    pub(super) machine: Recovery,
    checkpoint_at: Duration,
    force_check_at: Duration,
    /// Asynchronous requests of the last run, until it is known what they may do.
    pub(super) held_requests: Vec<InvocationRecord>,
    /// The state folder's lock; a successor gets it once its predecessor has ended.
    lock: Option<DirectoryStorage>,
    /// The number of this start as it was last recorded on disk.
    recorded_start: u64,
}

/// Locks the state folder; `None`: another process holds the lock.
fn lock(folder: &Path) -> io::Result<Option<DirectoryStorage>> {
    match DirectoryStorage::open(folder) {
        Ok(lock) => Ok(Some(lock)),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Whom a store of asynchronous requests belongs to, written into its folder.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoreOwner {
    name: String,
    /// Its start that last opened the store.
    starts: u64,
}

/// The scheduler's name in its fleet; empty without one.
fn scheduler_name(settings: &Settings) -> String {
    let fleet = settings.fleet.as_ref();
    fleet.map_or_else(String::new, |fleet| fleet.members.name.clone())
}

/// What the last run left in the state folder; `None` without one.
pub(super) fn read_evidence(settings: &Settings, now: ClockSample) -> Option<StartupEvidence> {
    let folder = settings.state_folder.as_deref()?;
    let known_members = super::fleet::known_members(Some(folder));
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
        set_damaged_checkpoint_aside(folder);
    }
    Some(StartupEvidence::without_checkpoint(disk, known_members, now))
}

fn has_other_snapshots(folder: &Path) -> bool {
    [snapshots::MEMBERS, snapshots::WORKERS]
        .iter()
        .any(|file| folder.join(file).exists())
}

/// Moves a damaged checkpoint out of the way of the next one, for whoever looks into it.
fn set_damaged_checkpoint_aside(folder: &Path) {
    let aside = folder.join(DAMAGED_CHECKPOINT);
    drop(std::fs::remove_file(&aside).or_else(|_| std::fs::remove_dir_all(&aside)));
    let moved = std::fs::rename(folder.join(CHECKPOINT), &aside).is_ok();
    tracing::error!(
        moved,
        folder = %folder.display(),
        "the mark of the last start is damaged: as little as can be is believed"
    );
}

/// The start that last opened a store of asynchronous requests, as recorded there. `Err`: the store is another scheduler's,
/// whose requests must not be executed here as well.
fn read_store_start(store: &Path, settings: &Settings) -> io::Result<Option<u64>> {
    let Some(bytes) = snapshots::read(store, CHECKPOINT)? else {
        return Ok(None);
    };
    let owner: StoreOwner = serde_json::from_slice(&bytes).map_err(io::Error::other)?;
    if owner.name != scheduler_name(settings) {
        return Err(io::Error::other(format!(
            "it is the store of the scheduler '{}'; give this one a folder of its own, or remove {CHECKPOINT} from it if that \
             scheduler will not come back",
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
        .map_err(|e| cannot_record_start(store, &e))
}

fn cannot_record_start(folder: &Path, error: &io::Error) -> io::Error {
    let message = format!("the start cannot be noted in {}: {error}", folder.display());
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
    tracing::info!(%disk, %age, was_clean, "found of before");
}

impl Gateway {
    /// Begins the recovery, where there is a state folder, and records the start before anything is sent.
    pub(super) fn start_recovery(&mut self, evidence: Option<StartupEvidence>) -> io::Result<()> {
        let (Some(mut evidence), Some(folder)) = (evidence, self.settings.state_folder.clone()) else {
            return Ok(());
        };
        let lock = lock(&folder).map_err(|e| {
            let message = format!("the state in {} cannot be locked: {e}", folder.display());
            io::Error::new(e.kind(), message)
        })?;
        evidence.predecessor_running = lock.is_none();
        let store_start = match &self.settings.store_folder {
            Some(store) => read_store_start(store, &self.settings)
                .map_err(|e| io::Error::other(format!("deferred jobs: {e}")))?,
            None => None,
        };
        let settings = recovery_settings(&self.settings, store_start, self.identity);
        let now = self.now();
        log_evidence(&evidence);
        self.recovery = Some(RecoveryDriver {
            machine: Recovery::new(settings, evidence, now),
            checkpoint_at: now,
            force_check_at: now,
            held_requests: Vec::new(),
            lock,
            recorded_start: 0,
        });
        self.record_start()
    }

    /// Records this start's number in both folders, the store's first, and returns once it is on disk.
    fn record_start(&mut self) -> io::Result<()> {
        let (Some(recovery), Some(folder)) = (&mut self.recovery, &self.settings.state_folder) else {
            return Ok(());
        };
        let starts = recovery.machine.starts();
        if recovery.recorded_start == starts {
            return Ok(());
        }
        if let Some(store) = &self.settings.store_folder {
            let name = scheduler_name(&self.settings);
            write_store_owner(store, &StoreOwner { name, starts })?;
        }
        let checkpoint = recovery.machine.checkpoint(self.clock.sample());
        let bytes = serde_json::to_vec(&checkpoint).map_err(io::Error::other)?;
        snapshots::write(folder, CHECKPOINT, &bytes).map_err(|e| cannot_record_start(folder, &e))?;
        recovery.recorded_start = starts;
        Ok(())
    }

    /// Has a checkpoint, the view for operators and the measurements written soon.
    pub(super) fn write_checkpoint(&mut self) {
        let now = self.now();
        let taken_at = self.clock.sample();
        let (Some(recovery), Some(writer)) = (&mut self.recovery, &self.snapshot_writer) else {
            return;
        };
        recovery.checkpoint_at = now + CHECKPOINT_INTERVAL;
        recovery.machine.checkpoint_begun(now);
        // Measurements of the last run are not replaced before they are restored.
        if !recovery.machine.needs_stored_measurements()
            && let Ok(bytes) = postcard::to_stdvec(self.request_table.measurements())
        {
            writer.enqueue(MEASUREMENTS, bytes);
        }
        if let (None, Some(folder)) = (&recovery.lock, &self.settings.state_folder) {
            recovery.lock = lock(folder).ok().flatten();
        }
        if let Ok(bytes) = serde_json::to_vec(&recovery.machine.checkpoint(taken_at)) {
            writer.enqueue(CHECKPOINT, bytes);
        }
        if let Ok(bytes) = serde_json::to_vec_pretty(&recovery.machine.view(now)) {
            writer.enqueue(RECOVERY_VIEW, bytes);
        }
    }

    pub(super) fn recovery_next_due(&self) -> Option<Duration> {
        let recovery = self.recovery.as_ref()?;
        let is_full = recovery.machine.phase() == RecoveryPhase::FullService;
        let force_check = (!is_full).then_some(recovery.force_check_at);
        [
            Some(recovery.checkpoint_at),
            recovery.machine.next_due(),
            force_check,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    pub(super) fn recovery_due(&mut self, now: Duration) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if recovery.machine.next_due().is_some_and(|at| at <= now) {
            recovery.machine.due(now);
        }
        let is_full = recovery.machine.phase() == RecoveryPhase::FullService;
        if !is_full && recovery.force_check_at <= now {
            recovery.force_check_at = now + FORCE_CHECK_INTERVAL;
            if take_force_file(self.settings.state_folder.as_deref()) {
                tracing::warn!("service is forced by an operator");
                recovery.machine.force_full_service(now);
            }
        }
        if recovery.machine.phase() == RecoveryPhase::Backlog && !self.asynchronous.is_busy(now) {
            recovery.machine.backlog_drained(now);
        }
        let is_checkpoint_due = recovery.checkpoint_at <= now;
        self.carry_out_recovery();
        if is_checkpoint_due {
            self.write_checkpoint();
        }
    }

    /// Carries out what the recovery has decided.
    pub(super) fn carry_out_recovery(&mut self) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        for output in recovery.machine.take_outputs() {
            match output {
                RecoveryOutput::Send { to, bytes } => self.send_to_member(&to, RECOVERY_TOPIC, bytes),
                RecoveryOutput::Classified(classification) => self.restart_classified(&classification),
                RecoveryOutput::PhaseEntered(phase) => {
                    tracing::info!(stage = %phase, "service returns");
                    self.write_checkpoint();
                }
                RecoveryOutput::RestoreMeasurements => self.restore_measurements(),
            }
        }
        self.limit_asynchronous();
    }

    fn restart_classified(&mut self, classification: &RestartClassification) {
        let &RestartClassification {
            kind,
            disk,
            answered,
            lost,
            silent,
            ..
        } = classification;
        tracing::info!(%kind, %disk, answered, lost, silent, "start judged");
        if let Err(e) = self.record_start() {
            tracing::error!(error = %e, "the next start may not know of this one");
        }
        match kind {
            RestartKind::MassFailure => self.mark_workers_restarted(),
            RestartKind::FirstStart | RestartKind::Planned | RestartKind::SingleCrash => {
                self.accepted.set_from_unclean_stop(false);
            }
        }
        self.restore_held_requests();
    }

    /// Restores what the scheduler had measured of warm workers; its slow-start budget depends on it.
    fn restore_measurements(&mut self) {
        let warning = "what was measured before cannot be read; it begins anew";
        let bytes = snapshots::read_or_warn(self.settings.state_folder.as_deref(), MEASUREMENTS, warning);
        match bytes.map(|bytes| postcard::from_bytes(&bytes)) {
            Some(Ok(measurements)) => {
                self.request_table.restore_measurements(self.now(), measurements);
                self.carry_out();
            }
            Some(Err(e)) => tracing::warn!(error = %e, "what was measured before is set aside"),
            None => {}
        }
    }

    /// Workers that no endpoint list has named since are taken as just started: they lost power too.
    fn mark_workers_restarted(&mut self) {
        if self.discovery.has_received_list() {
            return;
        }
        let now = self.now();
        let mut workers = self.accepted.workers();
        for worker in &mut workers {
            if worker.state == EndpointState::Up {
                worker.started = Some(now);
            }
        }
        self.update_endpoints(EndpointListKind::Changes, &workers);
    }

    /// Restores the asynchronous requests of the last run, now that it is known what they may do.
    fn restore_held_requests(&mut self) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let requests = std::mem::take(&mut recovery.held_requests);
        let machine = &recovery.machine;
        let context = RestoreContext {
            keys_retained: machine.repeats_are_detected(),
            store_is_outdated: machine.waiting_requests_may_have_run(),
        };
        let unproven_downtime = machine.unproven_downtime();
        self.restore(requests, context, unproven_downtime);
    }

    fn limit_asynchronous(&mut self) {
        let recovery = self.recovery.as_ref();
        let limit = recovery.and_then(|recovery| recovery.machine.async_limit());
        self.asynchronous
            .set_attempt_limit(limit.unwrap_or(self.settings.asynchronous.max_concurrent_attempts));
    }

    /// Whether a call that may repeat a request of the last run is admitted; `Err`: when to retry. `has_key`: its client
    /// has given it an idempotency key.
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
        match recovery.machine.repeat_retry_after(self.now(), window) {
            Some(retry_after) => Err(retry_after),
            None => Ok(()),
        }
    }

    /// Whether a call for this function is admitted while caches are cold, and the number of the load if it is one; `Err`:
    /// when to retry.
    pub(super) fn admit_function(&mut self, function: &str) -> Result<Option<u32>, Duration> {
        let now = self.now();
        match &mut self.recovery {
            Some(recovery) => recovery.machine.admit(now, function),
            None => Ok(None),
        }
    }

    /// A request had its final answer.
    pub(super) fn request_answered(&mut self, context: &RequestContext, answer: FinalResponse) {
        let now = self.now();
        let load_failed = self.load_failed;
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if let Some(function) = context.ramp_probe {
            let result = load_result(answer, load_failed);
            recovery.machine.load_finished(now, function, result);
        }
        let is_synchronous = matches!(context.origin, Origin::Client(_));
        let is_full = recovery.machine.phase() == RecoveryPhase::FullService;
        if is_full || !is_synchronous || answer == FinalResponse::Cancelled {
            return;
        }
        let class = &self.settings.scheduler.request_classes[context.request_class as usize];
        let objective = class.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let is_in_time = now.saturating_sub(context.accepted_at) <= objective;
        let on_time = answer == FinalResponse::Succeeded && is_in_time;
        recovery.machine.request_answered(on_time);
    }

    /// A planned stop, once all requests have their final answer: writes the last checkpoint, unless a successor has
    /// written its own.
    pub(super) fn record_stop(&mut self) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let starts = recovery.machine.starts();
        let recorded = read_recorded_start(self.settings.state_folder.as_deref());
        if recorded.is_some_and(|recorded| recorded > starts) {
            return;
        }
        recovery.machine.stop_cleanly();
        self.write_checkpoint();
    }
}

/// Whether an operator has forced full service; the file is removed.
fn take_force_file(folder: Option<&Path>) -> bool {
    let Some(folder) = folder else { return false };
    let file = folder.join(FORCE_FULL_SERVICE);
    file.exists() && std::fs::remove_file(file).is_ok()
}

/// The start of the checkpoint on disk.
fn read_recorded_start(folder: Option<&Path>) -> Option<u64> {
    let bytes = snapshots::read(folder?, CHECKPOINT).ok()??;
    let checkpoint: Checkpoint = serde_json::from_slice(&bytes).ok()?;
    Some(checkpoint.starts)
}

fn load_result(answer: FinalResponse, load_failed: bool) -> LoadResult {
    match answer {
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
