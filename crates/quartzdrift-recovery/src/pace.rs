//! Which functions' calls are let in while copies return after a loss, so that the store is asked once for each and no more
//! than it bears.
//!
//! A function whose copy is not known to stand is tried by one call; others for it come back when that is over. How many such
//! tries a scheduler has out at a time it finds from what comes of them: one more for each that did not take much longer than
//! the quickest, half as many after a load that failed (Chiu and Jain 1989). Members tell each other what is tried and what
//! stands, each piece of news to a few, a few times (Demers and others 1987). That saves fetches and is no right: news that is
//! lost, late or wrong lets in a call that loads once more, or keeps one away until a try would be over.
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Longest retry delay that is told: by then the window has moved.
const MAX_BACK: Duration = Duration::from_secs(2);
/// Functions of which something is known, at most; beyond them all are let in.
const MAX_FUNCTIONS: usize = 65_536;
/// A try of which nothing was heard for so long is over: a load in a crowd takes less.
const MAX_TRY: Duration = Duration::from_secs(3);
/// What a load takes before one was seen.
const LOAD_UNSEEN: Duration = Duration::from_millis(500);
/// A load that took so many times the quickest shows a crowded store: the window grows no more.
const CROWDED: u32 = 2;
/// The window at the start, and at the least: below one, tries have pauses between them.
const WINDOW_FIRST: f64 = 2.0;
const MIN_WINDOW: f64 = 0.0625;
/// Between tellings of news, and members told each time.
const TELL_EVERY: Duration = Duration::from_millis(50);
const TELL_TO: usize = 3;
/// Pieces of news in one datagram; a longer queue is told in the next ones.
pub const TELL_PIECES: usize = 32;

/// What is known of a function, as members tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum Copy {
    /// A try came to nothing: another may be made.
    Open,
    Tried,
    Stands,
}

/// What came of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    Stands,
    /// The store turned the load away.
    Refused,
    /// Its request never got as far, or was given up.
    Nothing,
}

/// A piece of news: a function, by its number, and what is known of it.
pub type Piece = (u32, Copy);

#[derive(Debug)]
struct Known {
    copy: Copy,
    /// When a try is over, whatever came of it.
    until: Duration,
}

#[derive(Debug)]
pub struct Pace {
    seed: u64,
    drawn: u64,
    known: BTreeMap<u32, Known>,
    /// Tries of our own that are out, since when.
    out: BTreeMap<u32, Duration>,
    window: f64,
    /// No try before, where the window is below one.
    next_try: Duration,
    /// Loads that fail sooner than this after the last halving were begun before it.
    halved: Duration,
    quickest: Option<Duration>,
    usual: Duration,
    /// News and how often it is still told.
    news: VecDeque<(Piece, u32)>,
    tell_at: Duration,
}

impl Pace {
    pub fn new(now: Duration, seed: u64) -> Pace {
        Pace {
            seed,
            drawn: 0,
            known: BTreeMap::new(),
            out: BTreeMap::new(),
            window: WINDOW_FIRST,
            next_try: now,
            halved: now,
            quickest: None,
            usual: LOAD_UNSEEN,
            news: VecDeque::new(),
            tell_at: now,
        }
    }

    fn draw(&mut self) -> u64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        hasher.finish()
    }

    /// So many usual loads, once to twice: who is put off does not come back as one wave.
    fn back(&mut self, loads: f64) -> Duration {
        let part = self.draw() as f64 / u64::MAX as f64;
        self.usual.mul_f64(loads * (1.0 + part)).min(MAX_BACK)
    }

    /// Whether a call for this function may become a request now, and whether it is a try; else when to come back.
    pub fn let_in(&mut self, now: Duration, function: u32) -> Result<bool, Duration> {
        match self.known.get(&function) {
            Some(Known {
                copy: Copy::Stands, ..
            }) => return Ok(false),
            Some(Known {
                copy: Copy::Tried,
                until,
            }) if *until > now => return Err(self.back(0.5)),
            Some(_) => {}
            None if self.known.len() >= MAX_FUNCTIONS => return Ok(false),
            None => {}
        }
        self.out.retain(|_, since| *since + MAX_TRY > now);
        if self.out.len() as f64 >= self.window.max(1.0) || now < self.next_try {
            // The fuller the window, the longer until there is room for another function.
            let loads = 1.0 / self.window.min(1.0);
            return Err(self.back(loads));
        }
        if self.window < 1.0 {
            self.next_try = now + self.usual.mul_f64(1.0 / self.window);
        }
        self.out.insert(function, now);
        self.learn(now, (function, Copy::Tried));
        Ok(true)
    }

    /// A try of ours is over: the call's request has its final answer.
    pub fn tried(&mut self, now: Duration, function: u32, came: Came) {
        let Some(since) = self.out.remove(&function) else {
            return;
        };
        match came {
            Came::Stands => {}
            Came::Refused => {
                self.refused(now);
                return self.learn(now, (function, Copy::Open));
            }
            Came::Nothing => return self.learn(now, (function, Copy::Open)),
        }
        let duration = now.saturating_sub(since);
        let quickest = self.quickest.map_or(duration, |quickest| quickest.min(duration));
        self.quickest = Some(quickest);
        self.usual = (self.usual * 7 + duration) / 8;
        if duration <= quickest.max(LOAD_UNSEEN / 2) * CROWDED {
            self.window += 1.0;
        }
        self.learn(now, (function, Copy::Stands));
    }

    /// The store turned a load away: those that fail with it, within a load's time, count once.
    fn refused(&mut self, now: Duration) {
        if now >= self.halved {
            self.window = (self.window / 2.0).max(MIN_WINDOW);
            self.halved = now + self.usual;
            self.next_try = now + self.back(1.0);
        }
    }

    /// Functions that stand, tries that are under way, and how many of ours may be.
    pub fn view(&self) -> (usize, usize, f64) {
        let count = |of| self.known.values().filter(|known| known.copy == of).count();
        (count(Copy::Stands), count(Copy::Tried), self.window)
    }

    /// Whether it is news; then it is told on.
    fn learn(&mut self, now: Duration, piece: Piece) {
        let (function, copy) = piece;
        let news = match self.known.get(&function).map(|known| known.copy) {
            Some(Copy::Stands) => false,
            Some(known) => known != copy,
            None => self.known.len() < MAX_FUNCTIONS && copy != Copy::Open,
        };
        if news {
            self.known.insert(
                function,
                Known {
                    copy,
                    until: now + MAX_TRY,
                },
            );
            self.news.retain(|((of, _), _)| *of != function);
            self.news.push_front((piece, u32::MAX));
        }
    }

    /// What a member tells. Its try is none of ours.
    pub fn heard(&mut self, now: Duration, pieces: &[Piece]) {
        pieces.iter().for_each(|piece| self.learn(now, *piece));
    }

    /// When news is to be told next, if there is any.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.news.is_empty()).then_some(self.tell_at)
    }

    /// Tells some news to a few of these members, if it is time; a piece is told about as often as it takes to reach them all.
    pub fn tell(&mut self, now: Duration, members: &[&String]) -> Option<(Vec<String>, Vec<Piece>)> {
        if now < self.tell_at || self.news.is_empty() || members.is_empty() {
            return None;
        }
        self.tell_at = now + TELL_EVERY;
        let rounds = members.len().ilog2() + 2;
        let mut told = Vec::new();
        for _ in 0..TELL_PIECES.min(self.news.len()) {
            let Some((piece, left)) = self.news.pop_front() else {
                break;
            };
            told.push(piece);
            let left = left.min(rounds) - 1;
            if left > 0 {
                self.news.push_back((piece, left));
            }
        }
        let mut to: Vec<usize> = (0..TELL_TO)
            .map(|_| (self.draw() % members.len() as u64) as usize)
            .collect();
        to.sort_unstable();
        to.dedup();
        Some((to.into_iter().map(|at| members[at].clone()).collect(), told))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);
    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn a_function_is_tried_by_one_call_and_let_in_once_it_stands() {
        let mut pace = Pace::new(S, 1);
        assert_eq!(pace.let_in(S, 1), Ok(true));
        let wait = pace.let_in(S, 1).unwrap_err();
        assert!(wait > Duration::ZERO && wait <= LOAD_UNSEEN, "{wait:?}");
        assert_eq!(pace.let_in(S, 2), Ok(true));
        assert!(pace.let_in(S, 3).is_err(), "two at a time at first");
        pace.tried(S + 300 * MS, 1, Came::Stands);
        assert_eq!(
            (pace.let_in(S * 2, 1), pace.let_in(S * 2, 1)),
            (Ok(false), Ok(false))
        );
        // One that came to nothing is tried again; one of which nothing is heard is over.
        pace.tried(S * 2, 2, Came::Nothing);
        assert_eq!(pace.let_in(S * 2, 2), Ok(true));
        assert!(pace.let_in(S * 4, 2).is_err());
        assert_eq!(pace.let_in(S * 2 + MAX_TRY, 2), Ok(true));
    }

    #[test]
    fn the_window_grows_with_quick_loads_and_halves_once_for_those_that_fail_together() {
        let mut pace = Pace::new(S, 1);
        let (mut now, mut function) = (S, 0);
        let mut most = |pace: &mut Pace, now| {
            let first = function + 1;
            while pace.let_in(now, function + 1) == Ok(true) {
                function += 1;
            }
            first..=function
        };
        for out in [2, 4, 8] {
            let tries = most(&mut pace, now);
            assert_eq!(tries.clone().count(), out);
            now += 300 * MS;
            tries.for_each(|of| pace.tried(now, of, Came::Stands));
        }
        let tries = most(&mut pace, now);
        now += 300 * MS;
        for of in tries {
            pace.tried(now, of, Came::Refused);
        }
        assert!(most(&mut pace, now).is_empty(), "it waits for a load's time");
        now += S;
        assert_eq!(most(&mut pace, now).count(), 8);
        // Slow loads are no reason for more.
        let mut slow = Pace::new(S, 1);
        for (at, duration) in [(1, 300), (2, 990), (3, 990)] {
            slow.let_in(S * at, at).unwrap();
            slow.tried(S * at + duration * MS, at, Came::Stands);
        }
        assert_eq!(slow.window, 3.0, "one quick load");
        // Below one try at a time there are pauses between tries.
        (0..20u32).for_each(|n| slow.refused(S * (10 + n)));
        assert_eq!((slow.window, slow.let_in(S * 60, 9)), (MIN_WINDOW, Ok(true)));
        slow.tried(S * 61, 9, Came::Nothing);
        assert!(slow.let_in(S * 62, 10).is_err());
    }

    #[test]
    fn news_reaches_all_and_ends() {
        for (members, lost) in [(2usize, 0.0), (17, 0.0), (17, 0.3), (200, 0.1)] {
            let names: Vec<String> = (0..members).map(|n| format!("{n:03}")).collect();
            let mut all: Vec<Pace> = (0..members).map(|n| Pace::new(S, n as u64)).collect();
            assert_eq!(all[0].let_in(S, 7), Ok(true));
            all[0].tried(S, 7, Came::Stands);
            let (mut now, mut told, mut drawn) = (S, 0, 0u64);
            while all.iter().any(|of| of.next_due().is_some()) {
                for n in 0..members {
                    let others: Vec<&String> = names.iter().filter(|name| **name != names[n]).collect();
                    let Some((to, pieces)) = all[n].tell(now, &others) else {
                        continue;
                    };
                    for name in to {
                        drawn += 1;
                        let mut hasher = DefaultHasher::new();
                        drawn.hash(&mut hasher);
                        told += 1;
                        if hasher.finish() as f64 / u64::MAX as f64 >= lost {
                            all[name.parse::<usize>().unwrap()].heard(now, &pieces);
                        }
                    }
                }
                now += TELL_EVERY;
                assert!(now < S * 3, "it is told without end");
            }
            let knows = all
                .iter_mut()
                .filter_map(|of| (of.let_in(now, 7) == Ok(false)).then_some(()))
                .count();
            assert!(knows * 10 >= members * 9, "{knows} of {members}");
            assert!(
                told <= members * TELL_TO * (members.ilog2() as usize + 2),
                "{told} datagrams"
            );
        }
    }
}
