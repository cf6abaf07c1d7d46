//! How schedulers return to service after they were killed: the real state machine, told what the emulator's members say.
//! On disk here is what a scheduler noted when it was killed, and what a script makes of it.
use super::{START, Sim};
use crate::scenario::StateDamage;
use quartzdrift_recovery::{
    Checkpoint, ClockSample, DiskState, LoadResult, Recovery, RecoveryOutput, RecoverySettings, RestartKind,
    StartupEvidence,
};
use quartzdrift_scheduler::measure::Measurements;
use std::time::Duration;

/// As the daemon's settings have it where nothing is told.
const ASK: Duration = Duration::from_secs(2);
/// From power to the start of a scheduler.
const BOOT: Duration = Duration::from_secs(2);
const LONGEST: Duration = Duration::from_secs(300);

/// What the emulator keeps of a scheduler that returns.
#[derive(Default)]
pub(super) struct Returning {
    pub machine: Option<Recovery>,
    /// What it noted, and which members it counted then.
    noted: Option<(Checkpoint, Vec<String>)>,
    /// What it would have noted at another moment, for a script to put back.
    copy: Option<(Checkpoint, Vec<String>)>,
    /// The mark cannot be read; nothing can be written.
    spoilt: bool,
    pub full: bool,
    /// How far its next starts' wall clock is off, and whether ahead.
    pub clock: (Duration, bool),
    /// How long it took to judge its last start after a kill, and what for.
    pub judged: Option<(Duration, RestartKind)>,
    since: Duration,
    starts: u32,
    /// What its desk had measured when it was killed.
    measured: Option<Measurements>,
}

impl Sim<'_> {
    /// All machines run on the same clock, and one that was killed has started anew.
    fn moment(&self, s: usize) -> ClockSample {
        let boot_id = format!("{s}-{}", self.schedulers[s].returning.starts);
        let (by, ahead) = self.schedulers[s].returning.clock;
        let wall = if ahead {
            self.now + by
        } else {
            self.now.saturating_sub(by)
        };
        ClockSample {
            wall,
            boot_id,
            since_boot: BOOT,
        }
    }

    pub(super) fn begin_return(&mut self, s: usize) {
        if !self.variant.recovery {
            return;
        }
        self.schedulers[s].returning.starts += 1;
        (
            self.schedulers[s].returning.since,
            self.schedulers[s].returning.judged,
        ) = (self.now, None);
        let (now, moment) = (self.now, self.moment(s));
        let name = format!("s{s}");
        let found = match self.schedulers[s].returning.noted.take() {
            Some((mark, known)) => StartupEvidence::from_checkpoint(mark, &name, known, moment),
            None => {
                let spoilt = std::mem::take(&mut self.schedulers[s].returning.spoilt);
                let disk = if spoilt {
                    DiskState::Damaged
                } else {
                    DiskState::Empty
                };
                StartupEvidence::without_checkpoint(disk, Vec::new(), moment)
            }
        };
        let settings = RecoverySettings {
            name,
            has_fleet: self.variant.members && now > START,
            classification_timeout: ASK,
            max_duration: LONGEST,
            idempotency_keys_on_disk: false,
            load_quota_window: Duration::from_secs_f64(self.variant.load_window_s.max(0.0)),
            slow_start_window: self.script.fall_window,
            max_async_in_flight: 64,
            admission_ramp: self.variant.pace,
            store_start: None,
            instance: self.drawn,
        };
        self.schedulers[s].returning.machine = Some(Recovery::new(settings, found, now));
    }

    /// What a scheduler noted last is there at its next start.
    pub(super) fn return_killed(&mut self, s: usize, known: Vec<String>) {
        let moment = self.moment(s);
        let measured = self.schedulers[s]
            .request_table
            .as_ref()
            .map(|request_table| request_table.measurements().clone());
        let returning = &mut self.schedulers[s].returning;
        if let Some(machine) = returning.machine.take() {
            returning.measured = measured;
            returning.noted = Some((machine.checkpoint(moment), known));
        }
    }

    /// What a scheduler that runs would have noted now.
    pub(super) fn return_copied(&mut self, s: usize) {
        let moment = self.moment(s);
        let scheduler = &mut self.schedulers[s];
        let known = scheduler
            .fleet
            .as_ref()
            .map(|fleet| fleet.members.reachable_members().map(|m| m.name.to_string()));
        let known: Vec<String> = known.into_iter().flatten().collect();
        scheduler.returning.copy = scheduler
            .returning
            .machine
            .as_ref()
            .map(|machine| (machine.checkpoint(moment), known));
    }

    pub(super) fn return_spoilt(&mut self, s: usize, how: StateDamage) {
        let returning = &mut self.schedulers[s].returning;
        match how {
            StateDamage::Cut | StateDamage::Flip | StateDamage::Unreadable => {
                (returning.noted, returning.spoilt) = (None, true)
            }
            StateDamage::Empty => returning.noted = None,
            StateDamage::Older => returning.noted = returning.copy.clone(),
            StateDamage::Other => {
                if let Some((mark, _)) = &mut returning.noted {
                    mark.name = "another".to_owned();
                }
            }
            StateDamage::Full => returning.full = true,
        }
    }

    pub(super) fn return_due(&mut self, s: usize) {
        let now = self.now;
        if let Some(machine) = &mut self.schedulers[s].returning.machine {
            if machine.next_due().is_some_and(|at| at <= now) {
                machine.due(now);
            }
            // Asynchronous requests are not modelled: there is no backlog.
            machine.backlog_drained(now);
        }
        self.return_says(s);
    }

    /// A call had its final answer: what its try came to, and whether synchronous work keeps its targets.
    pub(super) fn return_answered(&mut self, client: usize, finished: bool, kept: bool) {
        let (now, of) = (self.now, &mut self.clients[client]);
        let scheduler = &mut self.schedulers[of.gateway];
        let Some(machine) = &mut scheduler.returning.machine else {
            return;
        };
        machine.request_answered(kept);
        if let Some((incarnation, number)) = of.tries.take()
            && incarnation == scheduler.incarnation
        {
            let came = match (finished, self.load_failed) {
                (true, _) => LoadResult::Cached,
                (false, true) => LoadResult::Rejected,
                (false, false) => LoadResult::Inconclusive,
            };
            machine.load_finished(now, number, came);
        }
    }

    /// Sends what the machine asks and answers; the rest is its own.
    pub(super) fn return_says(&mut self, s: usize) {
        let scheduler = &mut self.schedulers[s];
        let Some(machine) = &mut scheduler.returning.machine else {
            return;
        };
        let outputs = machine.take_outputs();
        for output in outputs {
            match (output, &mut scheduler.fleet) {
                (RecoveryOutput::Send { to, bytes }, Some(fleet)) => {
                    fleet
                        .members
                        .send_message(&to, quartzdrift_recovery::RECOVERY_TOPIC, bytes);
                }
                (RecoveryOutput::Classified(restart), _) => {
                    scheduler.returning.judged = Some((self.now - scheduler.returning.since, restart.kind));
                }
                (RecoveryOutput::RestoreMeasurements, _) => {
                    if let (Some(before), Some(request_table)) =
                        (scheduler.returning.measured.take(), &mut scheduler.request_table)
                    {
                        request_table.restore_measurements(self.now, before);
                    }
                }
                (RecoveryOutput::Send { .. } | RecoveryOutput::PhaseEntered(_), _) => {}
            }
        }
    }
}
