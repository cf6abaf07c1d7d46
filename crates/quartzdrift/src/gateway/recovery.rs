//! From the start to full service: what was found on disk goes to `quartzdrift-recovery`, which says what is believed and what
//! is let in; here it is carried out. Off without `gateway.state`: then every start is taken as it was before.
use super::{Gateway, Origin, Work};
use crate::saved::{self, ASIDE, FORCE, MARK, MEASURED, MEMBERS, STAGES, WORKERS};
use crate::settings::Settings;
use quartzdrift_async_queue::RestoreContext;
use quartzdrift_lifecycle::FinalAnswer;
use quartzdrift_recovery::{
    Came, Disk, Found, Kind, Mark, Moment, Output, Recovery, Settings as Told, Stage,
};
use quartzdrift_scheduler::interface::{EndpointListKind, EndpointState, Idempotency};
use quartzdrift_wal::{DirectoryStorage, InvocationRecord};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;
use std::time::Duration;

/// How often the mark for the next start is noted.
const NOTE_EVERY: Duration = Duration::from_secs(2);
/// How often an operator's word is looked for while service returns.
const FORCE_EVERY: Duration = Duration::from_millis(500);
/// How late a request may start where no latency objective is told, beside its own work.
const DEFAULT_TARGET: Duration = Duration::from_secs(1);

pub(super) struct Returning {
    pub machine: Recovery,
    note_at: Duration,
    force_at: Duration,
    /// Asynchronous requests of before, until it is known what they may do.
    pub held: Vec<InvocationRecord>,
    /// Held by the process that this state is of; one that takes over gets it once the other has ended.
    lock: Option<DirectoryStorage>,
    /// The number of this start as it is noted.
    noted: u64,
}

/// The state folder's lock, unless another process holds it.
fn lock(folder: &Path) -> io::Result<Option<DirectoryStorage>> {
    match DirectoryStorage::open(folder) {
        Ok(held) => Ok(Some(held)),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Whose a store of asynchronous requests is, beside it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Owner {
    pub name: String,
    /// Its start that opened the store last.
    pub starts: u64,
}

fn name(settings: &Settings) -> String {
    settings
        .fleet
        .as_ref()
        .map(|fleet| fleet.members.name.clone())
        .unwrap_or_default()
}

/// What an earlier start left in its folder; for the clock as well.
pub(super) fn found(settings: &Settings, now: Moment) -> Option<Found> {
    let folder = settings.state.as_deref()?;
    let known = super::fleet::known(Some(folder));
    let without = |disk| Found {
        mark: None,
        disk,
        known: known.clone(),
        now: now.clone(),
        beside: false,
    };
    let read =
        saved::last(folder, MARK).map(|bytes| bytes.map(|bytes| serde_json::from_slice::<Mark>(&bytes)));
    Some(match read {
        Ok(Some(Ok(mark))) => Found::marked(mark, &name(settings), known, now),
        Ok(None) => {
            let any = [MEMBERS, WORKERS].iter().any(|file| folder.join(file).exists());
            without(if any { Disk::Unmarked } else { Disk::Empty })
        }
        Ok(Some(Err(_))) | Err(_) => {
            // For whoever looks into it, and out of the way of the next mark.
            let (file, aside) = (folder.join(MARK), folder.join(ASIDE));
            drop(std::fs::remove_file(&aside).or_else(|_| std::fs::remove_dir_all(&aside)));
            let moved = std::fs::rename(&file, &aside).is_ok();
            tracing::error!(moved, folder = %folder.display(), "the mark of the last start is damaged: as little as can be is believed");
            without(Disk::Spoilt)
        }
    })
}

/// The store's owner, as noted there; `Err`: another scheduler's, whose requests must not run here as well.
pub(super) fn owner(path: &Path, settings: &Settings) -> io::Result<Option<u64>> {
    let Some(bytes) = saved::last(path, MARK)? else {
        return Ok(None);
    };
    let owner: Owner = serde_json::from_slice(&bytes).map_err(io::Error::other)?;
    match owner.name == name(settings) {
        true => Ok(Some(owner.starts)),
        false => Err(io::Error::other(format!(
            "it is the store of the scheduler '{}'; give this one a folder of its own, or remove {MARK} from it if that \
             scheduler will not come back",
            owner.name
        ))),
    }
}

impl Gateway {
    pub(super) fn start_recovery(&mut self, found: Option<Found>) -> io::Result<()> {
        let (Some(found), Some(folder)) = (found, self.settings.state.clone()) else {
            return Ok(());
        };
        let lock = lock(&folder).map_err(|e| {
            io::Error::new(
                e.kind(),
                format!("the state in {} cannot be locked: {e}", folder.display()),
            )
        })?;
        let found = Found {
            beside: lock.is_none(),
            ..found
        };
        let settings = self.settings.clone();
        let store = settings
            .store
            .as_deref()
            .map(|path| owner(path, &settings))
            .transpose();
        let store = store
            .map_err(|e| io::Error::other(format!("deferred jobs: {e}")))?
            .flatten();
        let told = Told {
            name: name(&settings),
            fleet: settings.fleet.is_some(),
            ask: settings.recovery.ask,
            longest: settings.recovery.longest,
            idempotency_keys_on_disk: settings.recovery.idempotency_keys_on_disk,
            load_quota_window: settings.scheduler.copies.load_quota_window.unwrap_or_default(),
            fall_window: settings.scheduler.rules.fall_window.unwrap_or_default(),
            out: settings.asynchronous.max_concurrent_attempts,
            pace: settings.recovery.pace,
            store,
            life: self.identity,
        };
        let (now, was_clean) = (self.now(), found.was_clean());
        tracing::info!(disk = ?found.disk, age = ?found.age(), was_clean, "found of before");
        let machine = Recovery::new(told, found, now);
        self.returning = Some(Returning {
            machine,
            note_at: now,
            force_at: now,
            held: Vec::new(),
            lock,
            noted: 0,
        });
        // Noted before anything leaves: whoever starts next knows that this start was.
        self.note_start()
    }

    /// Notes this start's number in both folders, the store's first, and waits until it lasts; where it is noted it stays.
    fn note_start(&mut self) -> io::Result<()> {
        let (Some(returning), Some(folder)) = (&mut self.returning, &self.settings.state) else {
            return Ok(());
        };
        let starts = returning.machine.starts();
        if returning.noted == starts {
            return Ok(());
        }
        let unusable = |folder: &Path, e: io::Error| {
            io::Error::new(
                e.kind(),
                format!("the start cannot be noted in {}: {e}", folder.display()),
            )
        };
        if let Some(path) = &self.settings.store {
            let owner = serde_json::to_vec(&Owner {
                name: name(&self.settings),
                starts,
            })
            .map_err(io::Error::other)?;
            std::fs::create_dir_all(path)
                .and_then(|()| saved::write(path, MARK, &owner))
                .map_err(|e| unusable(path, e))?;
        }
        let mark =
            serde_json::to_vec(&returning.machine.mark(self.clock.note())).map_err(io::Error::other)?;
        saved::write(folder, MARK, &mark).map_err(|e| unusable(folder, e))?;
        returning.noted = starts;
        Ok(())
    }

    /// Has the mark for the next start written soon.
    pub(super) fn note_mark(&mut self) {
        let (now, at) = (self.now(), self.clock.note());
        let (Some(returning), Some(saver)) = (&mut self.returning, &self.saver) else {
            return;
        };
        returning.note_at = now + NOTE_EVERY;
        returning.machine.note(now);
        // Until the module has been told of it, what an earlier start measured stays.
        if !returning.machine.keeps_measured()
            && let Ok(bytes) = postcard::to_stdvec(self.request_table.measurements())
        {
            saver.save(MEASURED, bytes);
        }
        if let (None, Some(folder)) = (&returning.lock, &self.settings.state) {
            returning.lock = lock(folder).ok().flatten();
        }
        for (name, bytes) in [
            (MARK, serde_json::to_vec(&returning.machine.mark(at))),
            (STAGES, serde_json::to_vec_pretty(&returning.machine.view(now))),
        ] {
            if let Ok(bytes) = bytes {
                saver.save(name, bytes);
            }
        }
    }

    pub(super) fn recovery_next(&self) -> Option<Duration> {
        let returning = self.returning.as_ref()?;
        let force = (returning.machine.stage() != Stage::Full).then_some(returning.force_at);
        [Some(returning.note_at), returning.machine.next_due(), force]
            .into_iter()
            .flatten()
            .min()
    }

    pub(super) fn recovery_due(&mut self, now: Duration) {
        let Some(returning) = &mut self.returning else {
            return;
        };
        if returning.machine.next_due().is_some_and(|at| at <= now) {
            returning.machine.due(now);
        }
        if returning.machine.stage() != Stage::Full && returning.force_at <= now {
            returning.force_at = now + FORCE_EVERY;
            let file = self.settings.state.as_ref().map(|folder| folder.join(FORCE));
            if file.is_some_and(|file| file.exists() && std::fs::remove_file(file).is_ok()) {
                tracing::warn!("service is forced by an operator");
                returning.machine.force(now);
            }
        }
        if returning.machine.stage() == Stage::Backlog && !self.asynchronous.is_busy(now) {
            returning.machine.backlog_through(now);
        }
        let notes = returning.note_at <= now;
        self.returned();
        if notes {
            self.note_mark();
        }
    }

    /// Carries out what the machine says.
    pub(super) fn returned(&mut self) {
        let Some(returning) = &mut self.returning else {
            return;
        };
        let outputs = returning.machine.outputs();
        for output in outputs {
            match output {
                Output::Tell { to, bytes } => self.tell_member(&to, quartzdrift_recovery::RECOVERY, bytes),
                Output::Judged(verdict) => {
                    let (kind, disk) = (verdict.kind, verdict.disk);
                    let (answered, lost, silent) = (verdict.answered, verdict.lost, verdict.silent);
                    tracing::info!(%kind, ?disk, answered, lost, silent, "start judged");
                    if let Err(e) = self.note_start() {
                        tracing::error!(error = %e, "the next start may not know of this one");
                    }
                    if kind != Kind::LossOfMany {
                        self.accepted.set_from_unclean_stop(false);
                    } else {
                        self.doubt_workers();
                    }
                    self.restore_held();
                }
                Output::Stage(stage) => {
                    tracing::info!(%stage, "service returns");
                    self.note_mark();
                }
                Output::TellMeasured => self.tell_measured(),
            }
        }
        self.allow_asynchronous();
    }

    /// The decision module's budget for cold workers is what it measured of warm ones: before the loss they did so much.
    fn tell_measured(&mut self) {
        let otherwise = "what was measured before cannot be read; it begins anew";
        let saved = saved::found(self.settings.state.as_deref(), MEASURED, otherwise);
        match saved.map(|bytes| postcard::from_bytes(&bytes)) {
            Some(Ok(before)) => {
                self.request_table.restore_measurements(self.now(), before);
                self.carry_out();
            }
            Some(Err(e)) => tracing::warn!(error = %e, "what was measured before is set aside"),
            None => {}
        }
    }

    /// Workers that no list has told of since are cold: they lost power too.
    fn doubt_workers(&mut self) {
        if self.discovery.has_received_list() {
            return;
        }
        let now = self.now();
        let mut workers = self.accepted.workers();
        workers
            .iter_mut()
            .filter(|w| w.state == EndpointState::Up)
            .for_each(|w| w.started = Some(now));
        self.update_endpoints(EndpointListKind::Changes, &workers);
    }

    /// Asynchronous requests of before, once it is known what they may do.
    fn restore_held(&mut self) {
        let Some(returning) = &mut self.returning else {
            return;
        };
        let held = std::mem::take(&mut returning.held);
        let machine = &returning.machine;
        let after = RestoreContext {
            keys_remembered: machine.repeats_known(),
            earlier_copy: machine.waiting_in_doubt(),
        };
        let unproven = machine.away_unproven();
        self.restore(held, after, unproven);
    }

    fn allow_asynchronous(&mut self) {
        let most = self.settings.asynchronous.max_concurrent_attempts;
        let allowed = self
            .returning
            .as_ref()
            .and_then(|returning| returning.machine.backlog());
        self.asynchronous.allow_attempts(allowed.unwrap_or(most));
    }

    /// Whether a call may become a request now; else when to come back. `mark`: its client's own.
    pub(super) fn let_in(&self, request_class: u32, mark: bool, is_retry: bool) -> Result<(), Duration> {
        let of = &self.settings.scheduler.request_classes[request_class as usize];
        let marks_retries = self.settings.scheduler.clients_mark_retries;
        let may_repeat =
            of.idempotency == Idempotency::IdempotentWithKey && mark && (is_retry || !marks_retries);
        let Some(returning) = self.returning.as_ref().filter(|_| may_repeat) else {
            return Ok(());
        };
        let wait = returning
            .machine
            .repeats_wait(self.now(), of.window.unwrap_or_default());
        wait.map_or(Ok(()), Err)
    }

    /// Whether a call for this function may become a request while copies return, and the number it tries; else when to come back.
    pub(super) fn paced(&mut self, function: &str) -> Result<Option<u32>, Duration> {
        let now = self.now();
        self.returning
            .as_mut()
            .map_or(Ok(None), |returning| returning.machine.let_in(now, function))
    }

    /// A request had its final answer.
    pub(super) fn request_answered(&mut self, work: &Work, answer: FinalAnswer) {
        let now = self.now();
        if let (Some(number), Some(returning)) = (work.tries, &mut self.returning) {
            let came = match answer {
                FinalAnswer::Succeeded => Came::Stands,
                _ if self.load_failed => Came::Refused,
                FinalAnswer::Rejected { .. } | FinalAnswer::Failed { .. } | FinalAnswer::Cancelled => {
                    Came::Nothing
                }
            };
            returning.machine.tried(now, number, came);
        }
        let Some(returning) = self
            .returning
            .as_mut()
            .filter(|of| of.machine.stage() != Stage::Full)
        else {
            return;
        };
        let of = &self.settings.scheduler.request_classes[work.request_class as usize];
        let target = of.latency_objective.unwrap_or(DEFAULT_TARGET);
        let succeeded = answer == FinalAnswer::Succeeded;
        if matches!(work.origin, Origin::Client(_)) && answer != FinalAnswer::Cancelled {
            returning
                .machine
                .answered(succeeded && now.saturating_sub(work.taken) <= target);
        }
    }

    /// A planned stop, once all has its final answer: the last note.
    pub(super) fn note_stop(&mut self) {
        let later = |starts: u64| {
            let folder = self.settings.state.as_deref()?;
            let mark: Mark = serde_json::from_slice(&saved::last(folder, MARK).ok()??).ok()?;
            Some(mark.starts > starts)
        };
        let Some(starts) = self
            .returning
            .as_ref()
            .map(|returning| returning.machine.starts())
        else {
            return;
        };
        // A successor beside us has noted its own start.
        if later(starts) == Some(true) {
            return;
        }
        if let Some(returning) = &mut self.returning {
            returning.machine.stopped();
        }
        self.note_mark();
    }
}
