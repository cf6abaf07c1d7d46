//! The account of loads ahead: what each cost, and whether it was used.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Share of a function's recent loads ahead that may go unused before it is left alone.
const MAX_UNUSED: f64 = 0.6;
/// Loads ahead that this share rests on at least.
const ENOUGH: u32 = 4;
/// Left alone so long at first, doubling up to the longest.
const QUIET_FIRST: Duration = Duration::from_secs(60);
const QUIET_DOUBLINGS: u32 = 6;
/// Functions with a line of their own; past that the one loaded longest ago gives way.
const MAX_LINES: usize = 10_000;
/// Orders whose use is still awaited at most.
const MAX_OPEN: usize = 10_000;

/// Sums over loads ahead.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sums {
    pub orders: u64,
    /// Orders that fetched from the store; the others found the copy standing.
    pub fetches: u64,
    pub failed: u64,
    pub used: u64,
    pub unused: u64,
    /// Memory held before its first use, in MB seconds.
    pub mb_seconds: f64,
    /// Waiting that the loads took off requests, in seconds: the load's time for each that was used.
    pub saved_seconds: f64,
}

#[derive(Clone, Debug, Default)]
struct Line {
    sums: Sums,
    recent: u32,
    recent_unused: f64,
    quiets: u32,
    last: Duration,
}

#[derive(Clone, Debug)]
struct Open {
    stood: Option<Duration>,
    ordered: Duration,
    duration: Duration,
    memory_mb: f64,
    fetched: bool,
    until: Duration,
}

#[derive(Debug, Default)]
pub struct Ledger {
    keep: Duration,
    all: Sums,
    lines: BTreeMap<String, Line>,
    open: BTreeMap<String, Open>,
    /// The same by when they are over: asked for on every turn of the event loop.
    ends: BTreeSet<(Duration, String)>,
}

impl Ledger {
    pub fn new(keep: Duration) -> Ledger {
        Ledger {
            keep,
            ..Ledger::default()
        }
    }

    pub fn sums(&self) -> Sums {
        self.all
    }

    pub fn by_function(&self) -> impl Iterator<Item = (&str, Sums)> {
        self.lines
            .iter()
            .map(|(function, line)| (function.as_str(), line.sums))
    }

    fn change(&mut self, function: &str, now: Duration, of: impl Fn(&mut Sums)) {
        of(&mut self.all);
        if !self.lines.contains_key(function) && self.lines.len() >= MAX_LINES {
            let oldest = self
                .lines
                .iter()
                .min_by_key(|(_, line)| line.last)
                .map(|(name, _)| name.clone());
            oldest.and_then(|name| self.lines.remove(&name));
        }
        let line = self.lines.entry(function.to_owned()).or_default();
        of(&mut line.sums);
        line.last = now;
    }

    /// An order to load left.
    pub fn ordered(&mut self, now: Duration, function: &str, memory_mb: f64) {
        self.change(function, now, |sums| sums.orders += 1);
        if self.open.len() < MAX_OPEN {
            let open = Open {
                stood: None,
                ordered: now,
                duration: Duration::ZERO,
                memory_mb,
                fetched: false,
                until: now + self.keep,
            };
            if !self.open.contains_key(function) {
                self.ends.insert((open.until, function.to_owned()));
                self.open.insert(function.to_owned(), open);
            }
        }
    }

    /// It was answered; `fetched`: it took as long as a load does, so that the copy had not stood.
    pub fn loaded(&mut self, now: Duration, function: &str, good: bool, fetched: bool) {
        if !good {
            self.change(function, now, |sums| sums.failed += 1);
            self.close(function);
            return;
        }
        if fetched {
            self.change(function, now, |sums| sums.fetches += 1);
        }
        let keep = self.keep;
        if let Some(open) = self.open.get_mut(function) {
            open.duration = now.saturating_sub(open.ordered);
            self.ends.remove(&(open.until, function.to_owned()));
            (open.stood, open.fetched, open.until) = (Some(now), fetched, now + keep);
            self.ends.insert((open.until, function.to_owned()));
        }
    }

    /// A request of the function came, which a load ahead may have been for.
    pub fn used(&mut self, now: Duration, function: &str) {
        let Some(open) = self.close(function) else { return };
        let stood = open.stood.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let saved = match (open.fetched, open.stood) {
            (true, Some(_)) => open.duration.as_secs_f64(),
            // Still loading: what has passed of it is saved.
            (false, None) => now.saturating_sub(open.ordered).as_secs_f64(),
            (_, _) => 0.0,
        };
        self.change(function, now, |sums| {
            sums.used += 1;
            sums.mb_seconds += open.memory_mb * stood.as_secs_f64();
            sums.saved_seconds += saved;
        });
        self.learn(now, function, 0.0);
    }

    fn learn(&mut self, now: Duration, function: &str, unused: f64) -> Option<Duration> {
        let line = self.lines.get_mut(function)?;
        line.recent = (line.recent + 1).min(2 * ENOUGH);
        line.recent_unused += (unused - line.recent_unused) / f64::from(line.recent.min(ENOUGH));
        if unused == 0.0 {
            line.quiets = 0;
            return None;
        }
        if line.recent < ENOUGH || line.recent_unused <= MAX_UNUSED {
            return None;
        }
        let until = now + QUIET_FIRST * (1 << line.quiets.min(QUIET_DOUBLINGS));
        line.quiets += 1;
        (line.recent, line.recent_unused) = (0, 0.0);
        Some(until)
    }

    fn close(&mut self, function: &str) -> Option<Open> {
        let open = self.open.remove(function)?;
        self.ends.remove(&(open.until, function.to_owned()));
        Some(open)
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.ends.first().map(|(until, _)| *until)
    }

    /// Closes the lines of loads that nobody used in time; functions to be left alone, and until when.
    pub fn due(&mut self, now: Duration) -> Vec<(String, Duration)> {
        let over = self.ends.iter().take_while(|(until, _)| *until <= now);
        let mut over: Vec<String> = over.map(|(_, function)| function.clone()).collect();
        over.sort();
        let mut quiet = Vec::new();
        for function in over {
            let Some(open) = self.close(&function) else {
                continue;
            };
            let held = open.memory_mb * self.keep.as_secs_f64();
            self.change(&function, now, |sums| {
                sums.unused += 1;
                sums.mb_seconds += held;
            });
            if let Some(until) = self.learn(now, &function, 1.0) {
                quiet.push((function, until));
            }
        }
        quiet
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    #[test]
    fn a_load_that_is_used_saves_its_time_and_one_that_is_not_is_waste() {
        let mut ledger = Ledger::new(8 * S);
        ledger.ordered(S, "f", 100.0);
        ledger.loaded(2 * S, "f", true, true);
        ledger.used(4 * S, "f");
        ledger.ordered(10 * S, "g", 100.0);
        ledger.loaded(11 * S, "g", true, true);
        assert!(ledger.due(18 * S).is_empty());
        ledger.due(19 * S);
        let sums = ledger.sums();
        assert_eq!((sums.orders, sums.fetches, sums.used, sums.unused), (2, 2, 1, 1));
        assert_eq!((sums.saved_seconds, sums.mb_seconds), (1.0, 1000.0));
        assert_eq!(ledger.by_function().count(), 2);
    }

    #[test]
    fn loads_never_used_end_in_quiet_that_grows() {
        let mut ledger = Ledger::new(8 * S);
        let mut quiets = Vec::new();
        for n in 0..20u32 {
            let now = 100 * S * (n + 1);
            ledger.ordered(now, "f", 1.0);
            ledger.loaded(now + S, "f", true, true);
            quiets.extend(
                ledger
                    .due(now + 20 * S)
                    .into_iter()
                    .map(|(_, until)| until - now - 20 * S),
            );
        }
        assert_eq!(quiets[..3], [60 * S, 120 * S, 240 * S]);
    }
}
