//! What a loss of power cost: until service was back, what was fetched for it, and what the store's pace alone would take.
use super::fleet::{BEFORE, LOOK_FOR, RECOVERED, STEP, WINDOW};
use super::{START, Sim};
use crate::scenario_runner;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub(super) struct Power {
    /// When it first went.
    pub off: Option<Duration>,
    /// Since then, by function: fetches begun with the time that each takes undisturbed; and fetches turned away.
    pub begun: BTreeMap<String, (u64, Duration)>,
    pub refused: u64,
}

impl Power {
    pub fn fetch(&mut self, function: String, takes: Duration, taken: bool) {
        if self.off.is_none() {
            return;
        }
        match taken {
            true => {
                let begun = self.begun.entry(function).or_default();
                *begun = (begun.0 + 1, takes);
            }
            false => self.refused += 1,
        }
    }
}

impl Sim<'_> {
    pub(super) fn power_figures(&mut self) {
        let Some(off) = self.power.off else { return };
        let restarts = &self.deaths.restarted;
        let last = restarts.iter().map(|(_, killed, _)| *killed).max().unwrap_or(off);
        let back = restarts
            .iter()
            .filter(|(_, killed, _)| *killed == last)
            .map(|(.., at)| *at)
            .min();
        let back_s = back
            .map_or(LOOK_FOR, |back| self.power_back(off, back))
            .as_secs_f64();
        let bound_s = self.power_bound(off).as_secs_f64();
        let fetched = self.power.begun.values();
        self.figures.power_back_s = back_s;
        self.figures.power_bound_s = bound_s;
        self.figures.power_fetches = fetched.clone().map(|of| of.0).sum();
        self.figures.power_functions = fetched.count() as u64;
        self.figures.power_refused = self.power.refused;
        let end = START + self.script.length;
        self.figures.power_goodput_before = self.goodput(off.saturating_sub(BEFORE), off);
        self.figures.power_goodput_after = self.goodput(end.saturating_sub(BEFORE), end);
        let (mut from, mut best) = (back.unwrap_or(off), 0.0f64);
        while from + WINDOW <= end {
            let share = self.share(None, from, from + WINDOW).unwrap_or(best);
            self.figures.power_fall_back = self.figures.power_fall_back.max(best - share);
            (from, best) = (from + STEP, best.max(share));
        }
    }

    /// Calls a second of this time that were in time.
    fn goodput(&self, from: Duration, to: Duration) -> f64 {
        let of = |a: &crate::traffic::Arrival| (from..to).contains(&(START + crate::traffic::at(a)));
        let good = self.in_time.iter().filter(|n| of(&self.arrivals[**n])).count();
        good as f64 / to.saturating_sub(from).as_secs_f64().max(1.0)
    }

    /// From the first start after the last loss of power until calls to all were in time as often as before it, for good.
    fn power_back(&self, off: Duration, back: Duration) -> Duration {
        let before = self.share(None, off.saturating_sub(BEFORE), off).unwrap_or(1.0);
        let end = (START + self.script.length).saturating_sub(WINDOW);
        let (mut from, mut since) = (back, back);
        while from < end {
            if self
                .share(None, from, from + WINDOW)
                .is_some_and(|share| share < before * RECOVERED)
            {
                since = from + STEP;
            }
            from += STEP;
        }
        since - back
    }

    /// What the store alone takes for one copy of each function that is needed for so many of the calls, those most asked for
    /// first, and for the rest of one load.
    fn power_bound(&self, off: Duration) -> Duration {
        let from = off.saturating_sub(BEFORE);
        let mut asked: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        let of = |a: &&crate::traffic::Arrival| (from..off).contains(&(START + crate::traffic::at(a)));
        for arrival in self.arrivals.iter().filter(of) {
            asked
                .entry(&arrival.function)
                .or_insert((0, arrival.request_class))
                .0 += 1;
        }
        let all: usize = asked.values().map(|of| of.0).sum();
        let mut most: Vec<(usize, usize)> = asked.into_values().collect();
        most.sort_by_key(|of| std::cmp::Reverse(of.0));
        let specs = scenario_runner::function_specs(self.script);
        let (mut covered, mut fetch, mut rest) = (0, Duration::ZERO, Duration::ZERO);
        for (calls, request_class) in most {
            if covered as f64 >= RECOVERED * all as f64 {
                break;
            }
            covered += calls;
            if let Some(spec) = specs.get(&format!("{}-0", self.script.request_classes[request_class].name)) {
                fetch += spec.load.mul_f64(spec.fetch);
                rest = rest.max(spec.load.mul_f64(1.0 - spec.fetch));
            }
        }
        fetch.div_f64(self.script.store_capacity.max(1.0)) + rest
    }
}
