//! Forecasts of use, and loads ahead of need: what is expected goes to the request table, and what came of an order to the
//! ledger. Whether anything is loaded, and where, is the decision module's.
use super::Gateway;
use crate::saved;
use crate::settings::Function;
use quartzdrift_forecast::{Ahead, Forecasts};
use quartzdrift_scheduler::interface::{Outcome, UsageForecast};
use std::collections::HashMap;
use std::time::Duration;

pub(super) struct Loads {
    ahead: Ahead,
    /// Load orders that are out: when each left, and for which function.
    commands: HashMap<u64, (Duration, String)>,
    save_at: Duration,
}

impl Loads {
    pub fn next_due(&self) -> Option<Duration> {
        self.ahead.next_due().into_iter().chain([self.save_at]).min()
    }
}

impl Gateway {
    pub(super) fn start_ahead(&mut self) {
        let Some(told) = self.settings.forecasts.clone() else {
            return;
        };
        let now = self.now();
        let mut ahead = Ahead::new(told.settings.clone());
        let otherwise = "the saved forecasts cannot be read; they begin anew";
        let saved = saved::found(self.settings.state.as_deref(), saved::FORECASTS, otherwise);
        match saved.map(|bytes| Forecasts::restore(told.settings, &bytes, now)) {
            Some(Ok(forecasts)) => {
                tracing::info!(functions = forecasts.len(), "forecasts go on from what was saved");
                ahead.forecasts = forecasts;
            }
            Some(Err(why)) => tracing::warn!(%why, "the saved forecasts are set aside; they begin anew"),
            None => {}
        }
        self.ahead = Some(Loads {
            ahead,
            commands: HashMap::new(),
            save_at: now + told.every,
        });
    }

    /// Every request that is taken is a use of its function.
    pub(super) fn record_use(&mut self, name: &str, function: &Function, tenant: u32, left: Duration) {
        let now = self.now();
        if let Some(loads) = &mut self.ahead {
            loads.ahead.used(now, name, function.load);
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.request(now, name, function.request_class, tenant, left);
        }
    }

    pub(super) fn ahead_ordered(&mut self, command: u64, function: &str) {
        let now = self.now();
        let memory = self
            .settings
            .function(function)
            .and_then(|f| f.memory_mb)
            .unwrap_or(0.0);
        if let Some(loads) = &mut self.ahead {
            loads.ahead.ordered(now, function, memory);
            loads.commands.insert(command, (now, function.to_owned()));
            tracing::debug!(function, "load ahead ordered");
        }
    }

    pub(super) fn ahead_loaded(&mut self, command: u64, outcome: Outcome) {
        let now = self.now();
        if let Some(loads) = &mut self.ahead
            && let Some((at, function)) = loads.commands.remove(&command)
        {
            loads.ahead.loaded(
                now,
                &function,
                outcome == Outcome::Succeeded,
                now.saturating_sub(at),
            );
        }
    }

    pub(super) fn ahead_due(&mut self, now: Duration) {
        let Some(loads) = &mut self.ahead else { return };
        let expected = if loads.next_due().is_some_and(|at| at <= now) {
            loads.ahead.due(now)
        } else {
            Vec::new()
        };
        let saves = loads.save_at <= now;
        let let_in = self
            .returning
            .as_ref()
            .is_none_or(|returning| returning.machine.loads_ahead(now));
        for of in expected.into_iter().filter(|_| let_in) {
            let Some(function) = self.settings.function(&of.function) else {
                continue;
            };
            let expectation = UsageForecast {
                function: &of.function,
                request_class: function.request_class,
                within: of.within,
                probability: of.probability,
                requests_per_second: of.requests_per_second,
                memory_mb: function.memory_mb,
                concurrency_slots: function.concurrency_slots,
                load_hint: function.load,
            };
            self.request_table.forecast(now, expectation);
            self.carry_out();
        }
        if saves {
            self.save_ahead();
        }
    }

    /// Saves what was learnt, and says in the log what loads ahead have cost and saved so far.
    pub(super) fn save_ahead(&mut self) {
        let now = self.now();
        let Some(every) = self.settings.forecasts.as_ref().map(|told| told.every) else {
            return;
        };
        let Some(loads) = &mut self.ahead else { return };
        loads.save_at = now + every;
        let (sums, functions) = (loads.ahead.ledger.sums(), loads.ahead.forecasts.len());
        let standing = loads.ahead.forecasts.standing;
        tracing::info!(
            functions,
            commands = sums.commands,
            fetches = sums.fetches,
            failed = sums.failed,
            used = sums.used,
            unused = sums.unused,
            saved_seconds = sums.avoided_wait_seconds,
            mb_seconds = sums.mb_seconds,
            scored = standing.gaps,
            score = standing.chosen,
            score_as_last_time = standing.last,
            score_always_near = standing.always,
            "account of loads ahead"
        );
        if let Some(saver) = &self.saver {
            saver.save(saved::FORECASTS, loads.ahead.forecasts.save(now));
        }
    }
}
