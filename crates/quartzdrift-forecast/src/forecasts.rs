use crate::predict::{History, Judged, Predictor, Season};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Least chance that is worth saying; what is done with it is decided elsewhere.
const MIN_SAY: f64 = 0.15;
/// Of the keep-alive: when a copy that stands is looked at again, with time left to renew it.
const LOOK_AGAIN: f64 = 0.75;
/// Of a load: how much earlier than the use it is to begin.
const LEAD: f64 = 1.5;
/// Uses from which on a function's seasons are kept: they take some hundred bytes each.
const SEASON_USES: u32 = 12;
/// Share of the functions kept that may be new ones, met once: a scan of functions used once drives out only others.
const NEW_SHARE: f64 = 0.25;
/// Of the greatest chance there will be: what is near enough to it to act on.
const MAX_NEAR: f64 = 0.6;
/// Of the keep-alive: a gap in which no copy is unloaded, nor looked at.
const SHORT: f64 = 0.5;
/// Times a function is looked at between two uses: the chance of a use long awaited fades anyway.
const MAX_LOOKS: u32 = 64;

#[derive(Clone, Debug)]
pub struct Settings {
    /// Functions kept at most.
    pub functions: usize,
    /// Least keep-alive of an idle copy.
    pub keep: Duration,
    /// Loads take so long where a function's are not known.
    pub load: Duration,
    /// Lengths of the seasons, like a day and a week.
    pub seasons: Vec<Duration>,
}

impl Default for Settings {
    fn default() -> Settings {
        let day = Duration::from_secs(86_400);
        Settings {
            functions: 100_000,
            keep: Duration::from_secs(8),
            load: Duration::from_secs(1),
            seasons: vec![day, day * 7],
        }
    }
}

/// A use that is expected.
#[derive(Clone, Debug, PartialEq)]
pub struct Expected {
    pub function: String,
    /// The span from now on that it speaks of.
    pub within: Duration,
    pub probability: f64,
    pub requests_per_second: Option<f64>,
    pub by: Predictor,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Track {
    pub history: History,
    /// Microseconds of a load, 0 where none is known.
    pub load_us: u64,
    /// When it is looked at next, and how often it was since its last use.
    #[serde(skip)]
    look: Option<Duration>,
    #[serde(skip)]
    looks: u32,
    /// Not forecast until then.
    #[serde(skip)]
    quiet_until: Duration,
}

/// How what was said of gaps compares with baselines, each gap scored before it was learnt: means, 0 is best.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    pub gaps: u64,
    pub chosen: f64,
    pub last: f64,
    pub always: f64,
}

impl Standing {
    fn add(&mut self, told: Judged) {
        self.join(Standing {
            gaps: 1,
            chosen: told.chosen,
            last: told.last,
            always: told.always,
        });
    }

    /// The means over both.
    pub fn join(&mut self, other: Standing) {
        self.gaps += other.gaps;
        let part = other.gaps as f64 / self.gaps.max(1) as f64;
        self.chosen += (other.chosen - self.chosen) * part;
        self.last += (other.last - self.last) * part;
        self.always += (other.always - self.always) * part;
    }
}

pub struct Forecasts {
    settings: Settings,
    /// Since the start; not part of a snapshot.
    pub standing: Standing,
    pub(crate) tracks: BTreeMap<String, Track>,
    looks: BTreeSet<(Duration, String)>,
    /// By the last use: first those met once, then the others.
    new: BTreeSet<(u64, String)>,
    old: BTreeSet<(u64, String)>,
}

impl Forecasts {
    pub fn new(settings: Settings) -> Forecasts {
        Forecasts {
            settings,
            standing: Standing::default(),
            tracks: BTreeMap::new(),
            looks: BTreeSet::new(),
            new: BTreeSet::new(),
            old: BTreeSet::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.tracks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tracks.is_empty()
    }

    fn age(track: &Track) -> u64 {
        (track.history.last * 1e6) as u64
    }

    /// Takes a track out of the order by age.
    fn unlist(&mut self, function: &str) {
        if let Some(track) = self.tracks.get(function) {
            let key = (Self::age(track), function.to_owned());
            self.new.remove(&key);
            self.old.remove(&key);
            if let Some(look) = track.look {
                self.looks.remove(&(look, key.1));
            }
        }
    }

    pub(crate) fn list(&mut self, function: &str) {
        let Some(track) = self.tracks.get(function) else {
            return;
        };
        let key = (Self::age(track), function.to_owned());
        if track.history.uses > 1 {
            self.old.insert(key)
        } else {
            self.new.insert(key)
        };
        let room_new = ((self.settings.functions as f64 * NEW_SHARE) as usize).max(1);
        while self.new.len() + self.old.len() > self.settings.functions.max(1) {
            // New ones may use what room there is, and give way first once they have more than their share.
            let oldest = match self.new.len() > room_new || self.old.is_empty() {
                true => self.new.pop_first(),
                false => self.old.pop_first(),
            };
            if let Some((_, oldest)) = oldest {
                self.forget(&oldest);
            }
        }
    }

    fn forget(&mut self, function: &str) {
        if let Some(Track { look: Some(look), .. }) = self.tracks.remove(function) {
            self.looks.remove(&(look, function.to_owned()));
        }
    }

    /// A request of the function came.
    pub fn used(&mut self, now: Duration, function: &str) {
        self.unlist(function);
        let track = self.tracks.entry(function.to_owned()).or_default();
        if track.history.uses == SEASON_USES {
            track.history.seasons = self
                .settings
                .seasons
                .iter()
                .map(|period| Season::new(*period))
                .collect();
        }
        if let Some(told) = track.history.used(now, self.settings.keep.mul_f64(SHORT)) {
            self.standing.add(told);
        }
        (track.look, track.looks) = (None, 0);
        self.list(function);
        self.plan(now, function);
    }

    /// A load of the function took so long.
    pub fn load_took(&mut self, function: &str, duration: Duration) {
        if let Some(track) = self.tracks.get_mut(function) {
            track.load_us = duration.as_micros() as u64;
        }
    }

    /// What a load of the function is told to take, until one was measured.
    pub fn load_told(&mut self, function: &str, load: Duration) {
        if let Some(track) = self.tracks.get_mut(function).filter(|track| track.load_us == 0) {
            track.load_us = load.as_micros() as u64;
        }
    }

    /// What was said of the function came to nothing: it is not forecast until then.
    pub fn quiet(&mut self, function: &str, until: Duration) {
        if let Some(track) = self.tracks.get_mut(function) {
            track.quiet_until = until;
        }
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.looks.first().map(|(at, _)| *at)
    }

    /// Chance of a use between two moments after the last one, given that none came before the first.
    fn chance(history: &History, of: Predictor, from: f64, to: f64) -> f64 {
        let (a, b) = (
            history.within(of, from).unwrap_or(0.0),
            history.within(of, to).unwrap_or(0.0),
        );
        if a >= 1.0 - 1e-9 {
            0.0
        } else {
            ((b - a) / (1.0 - a)).clamp(0.0, 1.0)
        }
    }

    /// How long what is ordered so long after the last use is there for it: a copy that stands is renewed at once,
    /// another one is there once it is loaded.
    fn span(keep: f64, load: f64, since: f64) -> f64 {
        if since < keep { keep } else { load + keep }
    }

    /// What a load of the function takes, in seconds.
    fn load(settings: &Settings, track: &Track) -> f64 {
        if track.load_us > 0 {
            track.load_us as f64 / 1e6
        } else {
            settings.load.as_secs_f64()
        }
    }

    /// Sets the next moment at which something is worth saying of a function.
    fn plan(&mut self, now: Duration, function: &str) {
        let Some(track) = self.tracks.get(function) else {
            return;
        };
        let Some((best, _)) = track.history.best() else {
            return;
        };
        if track.looks >= MAX_LOOKS {
            return;
        }
        let (keep, load) = (
            self.settings.keep.as_secs_f64(),
            Self::load(&self.settings, track),
        );
        let lead = load * LEAD;
        let since = now.as_secs_f64() - track.history.last;
        let renew = keep * LOOK_AGAIN;
        let period = self
            .settings
            .seasons
            .iter()
            .map(Duration::as_secs_f64)
            .fold(keep * 4.0, f64::max);
        // What was looked at just now is not looked at again before there is news.
        let least = if track.looks > 0 {
            since + renew.min(keep) * 0.99
        } else {
            since
        };
        let mut moments = vec![renew.max(least)];
        // Before each moment at which a use may come: time enough to load.
        moments.extend(
            track
                .history
                .moments(period)
                .into_iter()
                .map(|at| at - lead)
                .filter(|at| *at > since + 0.01),
        );
        moments.sort_by(f64::total_cmp);
        let chance = |at: f64| Self::chance(&track.history, best, at, at + Self::span(keep, load, at));
        // Not the first moment at which there is some chance, but one at which there is most of it.
        let later = moments.iter().copied().filter(|at| *at >= least.max(renew));
        let most = later.clone().map(chance).fold(0.0, f64::max);
        let at = later
            .into_iter()
            .find(|at| chance(*at) >= MIN_SAY.max(most * MAX_NEAR));
        let Some(at) = at else { return };
        let at = Duration::try_from_secs_f64(track.history.last + at)
            .unwrap_or(now)
            .max(now);
        if let Some(track) = self.tracks.get_mut(function) {
            track.look = Some(at);
            track.looks += 1;
            self.looks.insert((at, function.to_owned()));
        }
    }

    /// What is expected now. Each is said once, until its function is used or its span is over.
    pub fn due(&mut self, now: Duration) -> Vec<Expected> {
        let mut all = Vec::new();
        while let Some((at, function)) = self.looks.pop_first() {
            if at > now {
                self.looks.insert((at, function));
                break;
            }
            let Some(track) = self.tracks.get_mut(&function) else {
                continue;
            };
            track.look = None;
            let (history, quiet) = (&track.history, track.quiet_until > now);
            if let (Some((by, _)), false) = (history.best(), quiet) {
                let since = now.as_secs_f64() - history.last;
                let (keep, load) = (
                    self.settings.keep.as_secs_f64(),
                    Self::load(&self.settings, track),
                );
                let within = Duration::from_secs_f64(Self::span(keep, load, since));
                let probability = Self::chance(history, by, since, since + within.as_secs_f64());
                if probability >= MIN_SAY {
                    let requests_per_second = history.rate(by, now);
                    all.push(Expected {
                        function: function.clone(),
                        within,
                        probability,
                        requests_per_second,
                        by,
                    });
                }
            }
            self.plan(now, &function);
        }
        all
    }

    /// Functions by the predictor that speaks for them, for reports.
    pub fn chosen(&self) -> BTreeMap<Predictor, usize> {
        let mut counts = BTreeMap::new();
        for (by, _) in self.tracks.values().filter_map(|track| track.history.best()) {
            *counts.entry(by).or_insert(0) += 1;
        }
        counts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn forecasts(functions: usize) -> Forecasts {
        Forecasts::new(Settings {
            functions,
            ..Settings::default()
        })
    }

    const START: Duration = Duration::from_secs(1_000_000);

    #[test]
    fn a_timer_is_expected_in_time_to_load_and_not_all_the_while() {
        let mut all = forecasts(10);
        for n in 0..10u32 {
            all.used(START + Duration::from_secs(60) * n, "t");
        }
        let last = START + Duration::from_secs(540);
        let mut said = Vec::new();
        while let Some(at) = all.next_due().filter(|at| *at < last + Duration::from_secs(60)) {
            said.extend(all.due(at).into_iter().map(|e| (at - last, e)));
        }
        assert!(!said.is_empty() && said.len() <= 3, "{said:?}");
        let (at, first) = &said[0];
        assert!(
            *at > Duration::from_secs(45) && *at <= Duration::from_millis(58_500),
            "{at:?}"
        );
        assert!(said.iter().any(|(_, e)| e.probability > 0.8), "{said:?}");
        assert_eq!((first.function.as_str(), first.by), ("t", Predictor::Regular));
        // Of a timer "as the last time" is nearly right, "always near" is not.
        let standing = all.standing;
        assert!(
            standing.gaps > 4 && standing.chosen < 0.1 * standing.always,
            "{standing:?}"
        );
        assert!(standing.last < standing.always, "{standing:?}");
    }

    #[test]
    fn a_scan_of_functions_used_once_drives_out_none_that_is_used() {
        let mut all = forecasts(40);
        for n in 0..5 {
            (0..20).for_each(|f| all.used(START + Duration::from_secs(n), &format!("f{f}")));
        }
        (0..1000).for_each(|n| all.used(START + Duration::from_secs(10 + n), &format!("scan{n}")));
        assert!((0..20).all(|f| all.tracks.contains_key(&format!("f{f}"))));
        assert!(all.len() <= 40 && all.looks.len() <= 40);
    }

    #[test]
    fn what_came_to_nothing_is_quiet_for_a_while() {
        let mut all = forecasts(10);
        for n in 0..10u32 {
            all.used(START + Duration::from_secs(60) * n, "t");
        }
        all.quiet("t", START + Duration::from_secs(3600));
        while let Some(at) = all
            .next_due()
            .filter(|at| *at < START + Duration::from_secs(3000))
        {
            assert_eq!(all.due(at), []);
        }
    }

    proptest::proptest! {
        /// Whatever comes, clock steps included: bounds hold, chances are chances, and looking ends.
        #[test]
        fn bounds_hold(uses in proptest::collection::vec((0u64..100_000, 0u8..30), 1..200)) {
            let mut all = forecasts(8);
            for (ms, function) in uses {
                let now = START + Duration::from_millis(ms);
                all.used(now, &format!("f{function}"));
                let mut turns = 0;
                while let Some(at) = all.next_due().filter(|at| *at < now + Duration::from_secs(20)) {
                    for expected in all.due(at) {
                        proptest::prop_assert!((0.0..=1.0).contains(&expected.probability));
                    }
                    turns += 1;
                    proptest::prop_assert!(turns < 2000, "it never ends");
                }
                proptest::prop_assert!(all.len() <= 8 && all.looks.len() <= 8);
            }
        }
    }
}
