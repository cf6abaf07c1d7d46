//! Prefetch: forecasts of use go to the request table, and results of load commands to the ledger. Whether anything is loaded,
//! and where, is up to the scheduler.
use super::Gateway;
use crate::settings::Function;
use crate::snapshots;
use quartzdrift_forecast::{ExpectedUse, Forecasts, PrefetchPlanner};
use quartzdrift_scheduler::interface::{Outcome, UsageForecast};
use std::collections::HashMap;
use std::time::Duration;

/// A load command without an answer yet.
struct SentCommand {
    at: Duration,
    function: String,
}

/// Forecasts, the ledger, and the load commands under way.
pub(super) struct Prefetch {
    ahead: PrefetchPlanner,
    /// By the number of the command.
    commands: HashMap<u64, SentCommand>,
    /// When the forecasts are saved next.
    save_at: Duration,
}

impl Prefetch {
    /// When [`Gateway::prefetch_due`] has something to do.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.ahead.next_due().into_iter().chain([self.save_at]).min()
    }
}

impl Gateway {
    /// Starts the forecasts, from what an earlier process saved if that can be used.
    pub(super) fn start_prefetch(&mut self) {
        let Some(settings) = self.settings.forecasts.clone() else {
            return;
        };
        let now = self.now();
        let mut ahead = PrefetchPlanner::new(settings.settings.clone());
        let otherwise = "the saved forecasts cannot be read; they begin anew";
        let snapshot = snapshots::read_or_warn(
            self.settings.state_folder.as_deref(),
            snapshots::FORECASTS,
            otherwise,
        );
        match snapshot.map(|bytes| Forecasts::restore(settings.settings, &bytes, now)) {
            Some(Ok(forecasts)) => {
                tracing::info!(functions = forecasts.len(), "forecasts go on from what was saved");
                ahead.forecasts = forecasts;
            }
            Some(Err(error)) => {
                tracing::warn!(why = %error, "the saved forecasts are set aside; they begin anew");
            }
            None => {}
        }
        self.prefetch = Some(Prefetch {
            ahead,
            commands: HashMap::new(),
            save_at: now + settings.snapshot_interval,
        });
    }

    /// Records the use of a function by a request that was accepted, for forecasts and the trace.
    pub(super) fn record_use(&mut self, name: &str, function: &Function, tenant: u32, left: Duration) {
        let now = self.now();
        if let Some(prefetch) = &mut self.prefetch {
            prefetch.ahead.record_use(now, name, function.expected_load_time);
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.record_request(now, name, function.request_class, tenant, left);
        }
    }

    /// A load command was sent.
    pub(super) fn load_sent(&mut self, command: u64, function: &str) {
        let now = self.now();
        let memory_mb = self
            .settings
            .function(function)
            .and_then(|settings| settings.memory_mb)
            .unwrap_or(0.0);
        if let Some(prefetch) = &mut self.prefetch {
            prefetch.ahead.record_load_command(now, function, memory_mb);
            let sent = SentCommand {
                at: now,
                function: function.to_owned(),
            };
            prefetch.commands.insert(command, sent);
            tracing::debug!(function, "load ahead ordered");
        }
    }

    /// A load command has ended; other commands are ignored.
    pub(super) fn load_ended(&mut self, command: u64, outcome: Outcome) {
        let now = self.now();
        if let Some(prefetch) = &mut self.prefetch
            && let Some(sent) = prefetch.commands.remove(&command)
        {
            let succeeded = outcome == Outcome::Succeeded;
            let duration = now.saturating_sub(sent.at);
            prefetch
                .ahead
                .record_load_end(now, &sent.function, succeeded, duration);
        }
    }

    /// Hands forecasts that are due to the request table, unless recovery holds prefetches back, and saves them at times.
    pub(super) fn prefetch_due(&mut self, now: Duration) {
        let Some(prefetch) = &mut self.prefetch else {
            return;
        };
        let save = prefetch.save_at <= now;
        let due = prefetch.next_due().is_some_and(|due_at| due_at <= now);
        let expected = if due { prefetch.ahead.due(now) } else { Vec::new() };
        let allowed = self
            .recovery
            .as_ref()
            .is_none_or(|recovery| recovery.machine.allows_prefetch(now));
        if allowed {
            expected
                .iter()
                .for_each(|expected| self.submit_forecast(now, expected));
        }
        if save {
            self.save_forecasts();
        }
    }

    /// Saves the forecasts, and logs what prefetches have cost and spared so far.
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
        prefetch.save_at = now + interval;
        log_account(&prefetch.ahead);
        if let Some(writer) = &self.snapshot_writer {
            writer.enqueue(snapshots::FORECASTS, prefetch.ahead.forecasts.save(now));
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

fn log_account(ahead: &PrefetchPlanner) {
    let totals = ahead.tracker.totals();
    let scores = ahead.forecasts.scores;
    tracing::info!(
        functions = ahead.forecasts.len(),
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
        "account of loads ahead"
    );
}
