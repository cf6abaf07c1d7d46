//! Figures of a power loss: the recovery time, the fetches after it, and the lower bound that the store
//! sets.
use super::membership::{BASELINE_WINDOW, MAX_RECOVERY_TIME, RECOVERED_SHARE, SHARE_STEP, SHARE_WINDOW};
use super::{START, Simulation};
use crate::scenario_runner;
use crate::traffic::{self, Arrival};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub(super) struct PowerLoss {
    /// Time of the first power loss.
    pub first_at: Option<Duration>,
    /// Fetches that the store accepted since then, by function.
    accepted_fetches: BTreeMap<String, u64>,
    /// Fetches that the store rejected since then.
    rejected_fetches: u64,
}

impl PowerLoss {
    /// Counts a fetch if power was lost before.
    pub fn record_fetch(&mut self, function: String, accepted: bool) {
        if self.first_at.is_none() {
            return;
        }
        if accepted {
            *self.accepted_fetches.entry(function).or_default() += 1;
        } else {
            self.rejected_fetches += 1;
        }
    }
}

impl Simulation<'_> {
    pub(super) fn compute_power_loss_figures(&mut self) {
        let Some(first_loss) = self.power_loss.first_at else {
            return;
        };
        let restarts = &self.membership_stats.restarts;
        let last_loss = restarts
            .iter()
            .map(|restart| restart.killed_at)
            .max()
            .unwrap_or(first_loss);
        let first_restart = restarts
            .iter()
            .filter(|restart| restart.killed_at == last_loss)
            .map(|restart| restart.started_at)
            .min();
        let recovery_time = first_restart.map_or(MAX_RECOVERY_TIME, |restart| {
            self.power_recovery_time(first_loss, restart)
        });
        let bound = self.power_recovery_bound(first_loss);
        let fetches = &self.power_loss.accepted_fetches;
        self.figures.power_recovery_s = recovery_time.as_secs_f64();
        self.figures.power_recovery_bound_s = bound.as_secs_f64();
        self.figures.power_fetches = fetches.values().sum();
        self.figures.power_fetched_functions = fetches.len() as u64;
        self.figures.power_rejected_fetches = self.power_loss.rejected_fetches;
        let end = START + self.scenario.length;
        self.figures.power_goodput_before =
            self.goodput(first_loss.saturating_sub(BASELINE_WINDOW), first_loss);
        self.figures.power_goodput_after = self.goodput(end.saturating_sub(BASELINE_WINDOW), end);
        let (mut from, mut best) = (first_restart.unwrap_or(first_loss), 0.0f64);
        while from + SHARE_WINDOW <= end {
            let share = self
                .on_time_share(None, from, from + SHARE_WINDOW)
                .unwrap_or(best);
            self.figures.power_max_regression = self.figures.power_max_regression.max(best - share);
            from += SHARE_STEP;
            best = best.max(share);
        }
    }

    /// On-time requests per second among the arrivals of a time range.
    fn goodput(&self, from: Duration, to: Duration) -> f64 {
        let in_range = |arrival: &Arrival| (from..to).contains(&(START + traffic::arrival_time(arrival)));
        let on_time = self
            .on_time_arrivals
            .iter()
            .filter(|n| in_range(&self.arrivals[**n]))
            .count();
        on_time as f64 / to.saturating_sub(from).as_secs_f64().max(1.0)
    }

    /// Time from the first restart after the last power loss until the on-time share of all requests stays at
    /// `RECOVERED_SHARE` of the share before the first loss.
    fn power_recovery_time(&self, first_loss: Duration, first_restart: Duration) -> Duration {
        let baseline = self
            .on_time_share(None, first_loss.saturating_sub(BASELINE_WINDOW), first_loss)
            .unwrap_or(1.0);
        let end = (START + self.scenario.length).saturating_sub(SHARE_WINDOW);
        let (mut from, mut recovered_at) = (first_restart, first_restart);
        while from < end {
            if self
                .on_time_share(None, from, from + SHARE_WINDOW)
                .is_some_and(|share| share < baseline * RECOVERED_SHARE)
            {
                recovered_at = from + SHARE_STEP;
            }
            from += SHARE_STEP;
        }
        recovered_at - first_restart
    }

    /// Time that the store alone needs to serve one copy of each function, most requested first, until the
    /// functions cover `RECOVERED_SHARE` of the requests, plus the longest load without its fetch.
    fn power_recovery_bound(&self, first_loss: Duration) -> Duration {
        let from = first_loss.saturating_sub(BASELINE_WINDOW);
        // Number of requests and request class of each function.
        let mut requests: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        let before_loss =
            |arrival: &&Arrival| (from..first_loss).contains(&(START + traffic::arrival_time(arrival)));
        for arrival in self.arrivals.iter().filter(before_loss) {
            requests
                .entry(&arrival.function)
                .or_insert((0, arrival.request_class))
                .0 += 1;
        }
        let total: usize = requests.values().map(|(count, _)| count).sum();
        let mut by_count: Vec<(usize, usize)> = requests.into_values().collect();
        by_count.sort_by_key(|(count, _)| Reverse(*count));
        let specs = scenario_runner::function_specs(self.scenario);
        let (mut covered, mut fetch_time, mut start_time) = (0, Duration::ZERO, Duration::ZERO);
        for (count, request_class) in by_count {
            if covered as f64 >= RECOVERED_SHARE * total as f64 {
                break;
            }
            covered += count;
            // All functions of a request class have the same spec.
            let function = format!("{}-0", self.scenario.request_classes[request_class].name);
            if let Some(spec) = specs.get(&function) {
                fetch_time += spec.load_time.mul_f64(spec.fetch_share);
                start_time = start_time.max(spec.load_time.mul_f64(1.0 - spec.fetch_share));
            }
        }
        fetch_time.div_f64(self.scenario.store_capacity.max(1.0)) + start_time
    }
}
