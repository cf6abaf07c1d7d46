//! Prefetching: passes forecasts of use to the request table, and results of load commands to the prefetch
//! tracker. The scheduler decides whether and where a function is loaded.
use super::Gateway;
use crate::settings::Function;
use crate::snapshots;
use quartzdrift_forecast::{ExpectedUse, Forecasts, PrefetchPlanner};
use quartzdrift_scheduler::interface::{Outcome, UsageForecast};
use std::collections::HashMap;
use std::time::Duration;

/// A load command whose result has not arrived yet.
struct SentLoadCommand {
    sent_at: Duration,
    function: String,
}

/// Forecasts of use, the prefetch tracker, and the load commands in progress.
pub(super) struct Prefetch {
    planner: PrefetchPlanner,
    /// Load commands in progress, by command number.
    pending_commands: HashMap<u64, SentLoadCommand>,
    /// Time at which the forecasts are saved next.
    next_save_at: Duration,
}

impl Prefetch {
    /// Time at which [`Gateway::fire_prefetch_timers`] has to be called next.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.planner
            .next_due()
            .into_iter()
            .chain([self.next_save_at])
            .min()
    }
}

impl Gateway {
    /// Starts forecasting, with the forecasts saved by an earlier run if they can be restored.
    pub(super) fn start_prefetch(&mut self) {
        let Some(settings) = self.settings.forecasts.clone() else {
            return;
        };
        let now = self.now();
        let mut planner = PrefetchPlanner::new(settings.settings.clone());
        let warning = "cannot read the saved forecasts, starting without history";
        let snapshot = snapshots::read_or_warn(
            self.settings.state_folder.as_deref(),
            snapshots::FORECASTS,
            warning,
        );
        match snapshot.map(|bytes| Forecasts::restore(settings.settings, &bytes, now)) {
            Some(Ok(forecasts)) => {
                tracing::info!(functions = forecasts.len(), "saved forecasts restored");
                planner.forecasts = forecasts;
            }
            Some(Err(error)) => {
                tracing::warn!(why = %error, "cannot restore the saved forecasts, starting without history");
            }
            None => {}
        }
        self.prefetch = Some(Prefetch {
            planner,
            pending_commands: HashMap::new(),
            next_save_at: now + settings.snapshot_interval,
        });
    }

    /// Records an accepted request of a function in the forecasts and in the trace.
    pub(super) fn record_use(&mut self, name: &str, function: &Function, tenant: u32, time_left: Duration) {
        let now = self.now();
        if let Some(prefetch) = &mut self.prefetch {
            prefetch
                .planner
                .record_use(now, name, function.expected_load_time);
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.record_request(now, name, function.request_class, tenant, time_left);
        }
    }

    /// Records that a load command was sent.
    pub(super) fn load_command_sent(&mut self, command: u64, function: &str) {
        let now = self.now();
        let memory_mb = self
            .settings
            .function(function)
            .and_then(|settings| settings.memory_mb)
            .unwrap_or(0.0);
        if let Some(prefetch) = &mut self.prefetch {
            prefetch.planner.record_load_command(now, function, memory_mb);
            let sent = SentLoadCommand {
                sent_at: now,
                function: function.to_owned(),
            };
            prefetch.pending_commands.insert(command, sent);
            tracing::debug!(function, "load command sent");
        }
    }

    /// Records the end of a load command. Other commands are ignored.
    pub(super) fn load_command_ended(&mut self, command: u64, outcome: Outcome) {
        let now = self.now();
        if let Some(prefetch) = &mut self.prefetch
            && let Some(sent) = prefetch.pending_commands.remove(&command)
        {
            let succeeded = outcome == Outcome::Succeeded;
            let duration = now.saturating_sub(sent.sent_at);
            prefetch
                .planner
                .record_load_end(now, &sent.function, succeeded, duration);
        }
    }

    /// Passes the forecasts that are due to the request table, unless the recovery forbids prefetches. Saves
    /// the forecasts if that is due.
    pub(super) fn fire_prefetch_timers(&mut self, now: Duration) {
        let Some(prefetch) = &mut self.prefetch else {
            return;
        };
        let is_save_due = prefetch.next_save_at <= now;
        let are_forecasts_due = prefetch.next_due().is_some_and(|due_at| due_at <= now);
        let expected_uses = if are_forecasts_due {
            prefetch.planner.due(now)
        } else {
            Vec::new()
        };
        let is_allowed = self
            .recovery
            .as_ref()
            .is_none_or(|recovery| recovery.state_machine.allows_prefetch(now));
        if is_allowed {
            expected_uses
                .iter()
                .for_each(|expected| self.submit_forecast(now, expected));
        }
        if is_save_due {
            self.save_forecasts();
        }
    }

    /// Saves the forecasts, and logs the costs and savings of prefetches so far.
    pub(super) fn save_forecasts(&mut self) {
        let now = self.now();
        let Some(interval) = self
            .settings
            .forecasts
            .as_ref()
            .map(|settings| settings.snapshot_interval)
        else {
            return;
        };
        let Some(prefetch) = &mut self.prefetch else {
            return;
        };
        prefetch.next_save_at = now + interval;
        log_prefetch_totals(&prefetch.planner);
        if let Some(writer) = &self.snapshot_writer {
            writer.enqueue(snapshots::FORECASTS, prefetch.planner.forecasts.save(now));
        }
    }

    fn submit_forecast(&mut self, now: Duration, expected: &ExpectedUse) {
        let Some(function) = self.settings.function(&expected.function) else {
            return;
        };
        let forecast = UsageForecast {
            function: &expected.function,
            request_class: function.request_class,
            horizon: expected.within,
            probability: expected.probability,
            requests_per_second: expected.requests_per_second,
            memory_mb: function.memory_mb,
            concurrency_slots: function.concurrency_slots,
            load_hint: function.expected_load_time,
        };
        self.request_table.forecast(now, forecast);
        self.carry_out();
    }
}

fn log_prefetch_totals(planner: &PrefetchPlanner) {
    let totals = planner.tracker.totals();
    let scores = planner.forecasts.scores;
    tracing::info!(
        functions = planner.forecasts.len(),
        commands = totals.commands,
        fetches = totals.fetches,
        failed = totals.failed,
        used = totals.used,
        unused = totals.unused,
        saved_seconds = totals.avoided_wait_seconds,
        mb_seconds = totals.mb_seconds,
        scored = scores.scored_gaps,
        score = scores.chosen,
        score_as_last_time = scores.last_gap_baseline,
        score_always_near = scores.always_near_baseline,
        "prefetch totals"
    );
}
