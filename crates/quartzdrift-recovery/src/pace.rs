//! How many loads and deferred jobs are let in while service returns. Each scheduler finds its part alone: from what the
//! store refuses or delays, and from the number of schedulers.
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Loads that a whole fleet begins with at a time: a store that bears less is rare.
const FLEET_FIRST: f64 = 8.0;
/// One scheduler's part of them, at least and at most: below, the first answer comes too late to learn by.
const FIRST_LEAST: f64 = 0.25;
const FIRST_MOST: f64 = 4.0;
/// The least part after refusals: one load in so many load times.
const LEAST: f64 = 1.0 / 32.0;
/// After a refusal or a long wait (multiplicative decrease, Chiu and Jain 1989).
const DECREASE: f64 = 0.5;
/// A load that takes so many times the best one seen, each against its own hint, waited at the store.
const SLOW: f64 = 1.75;
/// A load where nothing is told or measured.
const LOAD_UNTOLD: Duration = Duration::from_millis(500);
/// Functions known as standing, and such that are waited for, at most; more are let in unpaced.
const FUNCTIONS_MOST: usize = 65_536;
/// A function nobody has asked for during this waits no more.
const WANTED_FOR: Duration = Duration::from_secs(3);
/// A load let in that nobody has heard of again: its job was pushed back, or sent to a copy that stood.
const HEARD_NO_MORE: Duration = Duration::from_secs(10);
/// Doublings of the wait after refusals in a row.
const REFUSALS_MOST: u32 = 4;
/// Load times told at most, before another look.
const TURNS_MOST: f64 = 4.0;
/// Least time told to come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Wanted {
    worth: f64,
    last: Duration,
}

/// Loads that jobs begin: a function that is not known to stand anywhere is let in by this pace, those asked for most first.
#[derive(Debug)]
pub struct Loads {
    /// Loads out at a time that the store seems to bear from us; under 1, one in so many load times.
    window: f64,
    /// Whether nothing was refused yet: the window doubles (slow start, Jacobson 1988).
    first: bool,
    stands: BTreeSet<String>,
    out: BTreeMap<String, Duration>,
    wanted: BTreeMap<String, Wanted>,
    /// The best ratio of a load's time and its hint, and the mean load's time.
    best: f64,
    mean: Duration,
    began: Duration,
    cut_at: Option<Duration>,
    /// Refusals in a row, and until when nothing new is let in after the last.
    refusals: u32,
    held_until: Duration,
    seed: u64,
    drawn: u64,
    /// Jobs let in and put off since the last look.
    pub put_off: u64,
    pub let_in: u64,
}

impl Loads {
    pub fn new(schedulers: u32, seed: u64) -> Loads {
        Loads {
            window: (FLEET_FIRST / f64::from(schedulers.max(1))).clamp(FIRST_LEAST, FIRST_MOST),
            first: true,
            stands: BTreeSet::new(),
            out: BTreeMap::new(),
            wanted: BTreeMap::new(),
            best: f64::INFINITY,
            mean: LOAD_UNTOLD,
            began: Duration::ZERO,
            cut_at: None,
            refusals: 0,
            held_until: Duration::ZERO,
            seed,
            drawn: 0,
            put_off: 0,
            let_in: 0,
        }
    }

    /// Loads that may be out at a time.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Whether a job of this function may go on, worth so much to its callers; else how long it should stay away: until those
    /// that are asked for more have been loaded.
    pub fn ask(&mut self, now: Duration, function: &str, worth: f64) -> Result<(), Duration> {
        if self.stands.contains(function) || self.out.contains_key(function) {
            self.let_in += 1;
            return Ok(());
        }
        self.out.retain(|_, since| now.saturating_sub(*since) < HEARD_NO_MORE);
        self.wanted.retain(|_, wanted| now.saturating_sub(wanted.last) < WANTED_FOR);
        if self.wanted.len() >= FUNCTIONS_MOST {
            self.let_in += 1;
            return Ok(());
        }
        let own = self.wanted.entry(function.to_owned()).or_insert(Wanted { worth: 0.0, last: now });
        (own.worth, own.last) = (own.worth + worth, now);
        let own = own.worth;
        let before = self.wanted.values().filter(|wanted| wanted.worth > own).count() as f64;
        let room = self.window.max(1.0) - self.out.len() as f64;
        let each = self.mean.mul_f64(1.0 / self.window.min(1.0));
        let spaced = self.window >= 1.0 || now >= self.began + each || self.began.is_zero();
        if before + 1.0 <= room && spaced && now >= self.held_until {
            self.wanted.remove(function);
            self.out.insert(function.to_owned(), now);
            (self.began, self.let_in) = (now, self.let_in + 1);
            return Ok(());
        }
        self.put_off += 1;
        // When those before it have been through at this pace, but no later than a few load times: it may rise. Spread, so that
        // they do not come as one wave.
        let turns = ((before + self.out.len() as f64 + 1.0) / self.window).min(TURNS_MOST);
        let held = self.held_until.saturating_sub(now);
        Err((held + self.mean.mul_f64(turns)).mul_f64(self.chance(1.0, 1.5)).max(COME_BACK_LEAST))
    }

    fn chance(&mut self, from: f64, to: f64) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        from + (to - from) * (hasher.finish() as f64 / u64::MAX as f64)
    }

    /// A copy of the function stands, found by an execution that loaded nothing.
    pub fn stood(&mut self, function: &str) {
        self.out.remove(function);
        if self.stands.len() < FUNCTIONS_MOST {
            self.stands.insert(function.to_owned());
        }
    }

    /// A load that a job let in here began has ended and its job took so long, where a usual load takes `hint`.
    pub fn loaded(&mut self, now: Duration, function: &str, took: Duration, hint: Option<Duration>) {
        let ours = self.out.contains_key(function);
        self.stood(function);
        if !ours {
            return;
        }
        self.refusals = 0;
        self.mean = self.mean.mul_f64(0.8) + took.mul_f64(0.2);
        let ratio = took.as_secs_f64() / hint.unwrap_or(LOAD_UNTOLD).as_secs_f64().max(1e-3);
        self.best = self.best.min(ratio);
        if ratio > SLOW * self.best {
            return self.cut(now);
        }
        let step = self.window.min(1.0);
        self.window += if self.first { step } else { step / self.window.max(1.0) };
    }

    /// The store refused, or the load failed.
    pub fn refused(&mut self, now: Duration, function: &str) {
        self.out.remove(function);
        self.stands.remove(function);
        self.cut(now);
        // Full jitter, as with any retry (M. Brooker, "Exponential backoff and jitter").
        let wait = self.mean * (1 << self.refusals.min(REFUSALS_MOST));
        self.refusals += 1;
        self.held_until = now + wait.mul_f64(self.chance(0.5, 1.5));
    }

    /// It went on without a load, or not at all.
    pub fn moot(&mut self, function: &str) {
        self.out.remove(function);
    }

    /// Once a load time: those that were out together say the same.
    fn cut(&mut self, now: Duration) {
        if self.cut_at.is_none_or(|at| now >= at + self.mean) {
            self.window = (self.window * DECREASE).max(LEAST);
            (self.cut_at, self.first) = (Some(now), false);
        }
    }

    /// Jobs put off and let in since the last call.
    pub fn look(&mut self) -> (u64, u64) {
        (std::mem::take(&mut self.put_off), std::mem::take(&mut self.let_in))
    }
}

/// Of synchronous jobs answered in a second, the share that must have kept their start target for the backlog to grow.
const KEPT: f64 = 0.95;
/// Fewer say nothing.
const FEW: u64 = 5;
const SECOND: Duration = Duration::from_secs(1);

/// Deferred jobs out at a time, while those that waited over a loss catch up beside synchronous work.
#[derive(Debug)]
pub struct Backlog {
    out: usize,
    most: usize,
    /// Since when, jobs answered, and those that kept their target.
    second: (Duration, u64, u64),
}

impl Backlog {
    pub fn new(now: Duration, most: usize) -> Backlog {
        Backlog { out: 1, most: most.max(1), second: (now, 0, 0) }
    }

    pub fn out(&self) -> usize {
        self.out
    }

    /// Whether all that the settings allow is let in.
    pub fn full(&self) -> bool {
        self.out >= self.most
    }

    /// A synchronous job had its final answer.
    pub fn answered(&mut self, kept: bool) {
        self.second.1 += 1;
        self.second.2 += u64::from(kept);
    }

    pub fn next_due(&self) -> Duration {
        self.second.0 + SECOND
    }

    /// Doubles each second in which synchronous work is well, and halves in others; one is always let in, so that no backlog
    /// waits without end.
    pub fn due(&mut self, now: Duration) {
        if now < self.next_due() {
            return;
        }
        let (_, all, kept) = std::mem::replace(&mut self.second, (now, 0, 0));
        let well = all < FEW || kept as f64 >= KEPT * all as f64;
        self.out = if well { (self.out * 2).min(self.most) } else { (self.out / 2).max(1) };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// A store that bears `bears` loads of 200 ms at a time and refuses beyond twice as many; callers ask for `functions`
    /// each 20 ms, and come back when told. When all stood, refusals, and the most loads at a time.
    fn played(bears: usize, functions: usize, schedulers: usize) -> (Duration, usize, usize) {
        let mut all: Vec<Loads> = (0..schedulers).map(|n| Loads::new(schedulers as u32, n as u64)).collect();
        let mut out: Vec<(Duration, Duration, usize, String)> = Vec::new();
        let mut back: Vec<Vec<Duration>> = vec![vec![Duration::ZERO; functions]; schedulers];
        let (mut stood, mut refused, mut most) = (0, 0, 0);
        for tick in 0..3000u32 {
            let now = MS * 20 * (tick + 1);
            let (over, left): (Vec<_>, Vec<_>) = out.into_iter().partition(|(until, ..)| *until <= now);
            out = left;
            for (_, since, n, function) in over {
                all[n].loaded(now, &function, now - since, Some(MS * 200));
                stood += 1;
            }
            if stood == functions * schedulers {
                return (now, refused, most);
            }
            for n in 0..schedulers {
                for (f, back) in back[n].iter_mut().enumerate() {
                    let name = format!("f{f}");
                    let known = all[n].stands.contains(&name) || all[n].out.contains_key(&name);
                    if known || *back > now {
                        continue;
                    }
                    match all[n].ask(now, &name, (functions - f) as f64) {
                        Ok(()) if out.len() >= 2 * bears => {
                            all[n].refused(now, &name);
                            refused += 1;
                        }
                        Ok(()) => {
                            // More than the store bears share its pace.
                            let slow = ((out.len() + 1) as f64 / bears as f64).max(1.0);
                            out.push((now + (MS * 200).mul_f64(slow), now, n, name));
                            most = most.max(out.len());
                        }
                        Err(after) => *back = now + after,
                    }
                }
            }
        }
        panic!("{stood} of {} stood after a minute", functions * schedulers);
    }

    #[test]
    fn a_fleet_finds_what_a_store_bears() {
        for (bears, schedulers) in [(4, 5), (4, 9), (32, 5)] {
            let functions = 24;
            let (took, refused, most) = played(bears, functions, schedulers);
            let all = functions * schedulers;
            let bound = MS * 200 * (all / bears) as u32;
            assert!(took < bound.mul_f64(2.0) + MS * 3000, "{bears} {schedulers}: {took:?} of {bound:?}");
            assert!(refused * 10 < all, "{bears} {schedulers}: {refused} refused of {all}, {most} at a time");
        }
    }

    #[test]
    fn those_asked_for_most_go_first_and_others_hear_when() {
        let mut loads = Loads::new(16, 1);
        assert_eq!(loads.ask(MS, "first", 1.0), Ok(()));
        let rare = loads.ask(MS, "rare", 1.0).unwrap_err();
        for _ in 0..9 {
            assert!(loads.ask(MS, "often", 1.0).unwrap_err() >= COME_BACK_LEAST);
        }
        loads.loaded(MS * 300, "first", MS * 299, None);
        loads.ask(MS * 300, "rare", 1.0).ok();
        assert!(loads.out.contains_key("rare") || loads.ask(MS * 300, "often", 1.0).is_ok());
        assert!(loads.ask(MS * 400, "first", 1.0).is_ok() && rare > MS * 300);
    }

    #[test]
    fn a_backlog_yields_to_synchronous_work() {
        let mut backlog = Backlog::new(Duration::ZERO, 64);
        let mut out = Vec::new();
        for second in 1..=12u32 {
            let well = second <= 4 || second > 8;
            (0..100).for_each(|n| backlog.answered(well || n < 90));
            backlog.due(SECOND * second);
            out.push(backlog.out());
        }
        assert_eq!(out, [2, 4, 8, 16, 8, 4, 2, 1, 2, 4, 8, 16]);
        (13..=14).for_each(|second| backlog.due(SECOND * second));
        assert!(backlog.full());
    }
}
