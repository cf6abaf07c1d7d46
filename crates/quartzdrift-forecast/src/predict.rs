//! Predictors of the gap between two uses of a function, and their score.
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Gaps kept of a function: enough to tell a timer from chance.
pub const GAPS: usize = 8;
/// Gaps seen before predictors are scored.
const LEARNING: usize = 3;
/// Chance left for what one gap does not tell of the next.
const UNTOLD: f64 = 0.3;
/// Edges of the bins that gaps are scored on, in seconds: an eighth, doubling, up to a day and a half.
const EDGES: usize = 20;
const FIRST_EDGE: f64 = 0.125;
/// Of a gap: how far around it a regular use is expected beside what the gaps themselves scatter, and at least (s).
const SPREAD: f64 = 0.02;
const MIN_SPREAD: f64 = 0.1;
/// By so much a regular use must score better than the others: eight gaps drawn by chance look like a rule.
const REGULAR_WORSE: f32 = 1.2;
/// Weight of the newest gap in the scores.
const SCORE_NEW: f32 = 0.12;
/// Weight of the newest gap in the trend's mean, and in the steady mean.
const QUICK: f64 = 0.5;
const SLOW: f64 = 0.12;
/// Slots of a season (day, week), and the weight of the newest period in a slot's mean.
pub const SLOTS: usize = 96;
const SEASON_NEW: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Predictor {
    /// Independent uses at the mean rate so far.
    Steady,
    /// The same at the rate of the last few gaps: bursts and their ends.
    Trend,
    /// As the last gaps were, each a little spread: timers.
    Regular,
    /// The rate that this time of the day had.
    Day,
    /// And of the week.
    Week,
}

impl Predictor {
    pub const ALL: [Predictor; 5] = [
        Predictor::Steady,
        Predictor::Trend,
        Predictor::Regular,
        Predictor::Day,
        Predictor::Week,
    ];
}

/// Uses by the time of a period: a mean count for each slot, over the periods seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Season {
    /// Seconds.
    pub period: f64,
    means: Vec<f32>,
    counts: Vec<u16>,
    /// The slot that counts now, as a number of slots since 1970.
    slot: u64,
    /// Whole periods that the means rest on.
    periods: u32,
}

impl Season {
    pub fn new(period: Duration) -> Season {
        let period = period.as_secs_f64();
        Season {
            period,
            means: vec![0.0; SLOTS],
            counts: vec![0; SLOTS],
            slot: 0,
            periods: 0,
        }
    }

    fn slot_of(&self, at: f64) -> u64 {
        (at / self.period * SLOTS as f64) as u64
    }

    pub fn used(&mut self, at: Duration) {
        let slot = self.slot_of(at.as_secs_f64());
        if slot < self.slot {
            return;
        }
        if self.slot == 0 {
            self.slot = slot;
        }
        // Slots that have ended go into the means; of a long silence one period is enough.
        let ended = (slot - self.slot).min(SLOTS as u64);
        for of in self.slot..self.slot + ended {
            let n = (of % SLOTS as u64) as usize;
            let weight = if self.periods == 0 { 1.0 } else { SEASON_NEW as f32 };
            self.means[n] += (f32::from(self.counts[n]) - self.means[n]) * weight;
            self.counts[n] = 0;
            if n + 1 == SLOTS {
                self.periods += 1;
            }
        }
        self.slot = slot;
        let n = (slot % SLOTS as u64) as usize;
        self.counts[n] = self.counts[n].saturating_add(1);
    }

    /// Uses expected between two moments (seconds since 1970); `None` before a whole period was seen.
    fn expected(&self, from: f64, to: f64) -> Option<f64> {
        if self.periods == 0 {
            return None;
        }
        let width = self.period / SLOTS as f64;
        let to = to.min(from + self.period);
        let (mut at, mut sum) = (from, 0.0);
        while at < to {
            let slot = self.slot_of(at);
            let end = ((slot + 1) as f64 * width).min(to).max(at + width * 1e-6);
            sum += f64::from(self.means[(slot % SLOTS as u64) as usize]) * (end - at) / width;
            at = end;
        }
        Some(sum)
    }

    fn rate(&self, at: f64) -> Option<f64> {
        let width = self.period / SLOTS as f64;
        self.expected(at, at + width).map(|uses| uses / width)
    }
}

/// What is kept of a function's uses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Seconds since 1970.
    pub last: f64,
    pub uses: u32,
    gaps: Vec<f32>,
    next: usize,
    steady: f32,
    quick: f32,
    pub seasons: Vec<Season>,
    scores: [f32; Predictor::ALL.len()],
    scored: u32,
}

/// What was said of one gap before it came, each as a ranked probability score: 0 is best.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judged {
    /// By the predictor that spoke for the function.
    pub chosen: f64,
    /// By "as the last time": a baseline.
    pub last: f64,
    /// By "a use is always near", which keeps each copy: a baseline.
    pub always: f64,
}

/// Ranked probability score over the bins of what was said of a gap.
fn ranked(gap: f64, said: impl Fn(f64) -> f64) -> f64 {
    let term = |n: usize| {
        let came = if gap <= edge(n) { 1.0 } else { 0.0 };
        (said(edge(n)) - came) * (said(edge(n)) - came)
    };
    (0..EDGES).map(term).sum::<f64>() / EDGES as f64
}

fn edge(n: usize) -> f64 {
    FIRST_EDGE * f64::from(1u32 << n)
}

impl History {
    /// Chance that the next use comes within `gap` seconds of the last, as a predictor has it.
    pub fn within(&self, of: Predictor, gap: f64) -> Option<f64> {
        let independent = |mean: f32| (mean > 0.0).then(|| 1.0 - (-gap / f64::from(mean)).exp());
        let seasonal = |n: usize| {
            let expected = self.seasons.get(n)?.expected(self.last, self.last + gap)?;
            Some(1.0 - (-expected).exp())
        };
        match of {
            Predictor::Steady => independent(self.steady),
            Predictor::Trend => independent(self.quick),
            Predictor::Regular => {
                if self.gaps.is_empty() {
                    return None;
                }
                let part = |of: &f32| {
                    let of = f64::from(*of);
                    let wide = (SPREAD * of).max(MIN_SPREAD.min(of / 2.0));
                    ((gap - of + wide) / (2.0 * wide)).clamp(0.0, 1.0)
                };
                // A share is left for what no past gap tells.
                let known = self.gaps.iter().map(part).sum::<f64>() / self.gaps.len() as f64;
                Some(known * (1.0 - UNTOLD / self.gaps.len() as f64))
            }
            Predictor::Day => seasonal(0),
            Predictor::Week => seasonal(1),
        }
    }

    /// Takes a use, scores what each predictor had said of its gap, and learns it. Of a gap under `short`, in which
    /// a copy stands anyway, only the rate is learnt: it is no matter of forecasts, and most gaps are such.
    pub fn used(&mut self, at: Duration, short: Duration) -> Option<Judged> {
        let now = at.as_secs_f64();
        let mut told = None;
        let gap = now - self.last;
        if self.uses > 0 && gap > 0.0 && gap < short.as_secs_f64() {
            self.quick += (gap as f32 - self.quick) * QUICK as f32;
        } else if self.uses > 0 && gap > 0.0 {
            // Before that no predictor knows enough to be judged by.
            let judged = self.gaps.len() >= LEARNING;
            if judged && let Some((by, _)) = self.best() {
                let last = f64::from(self.gaps[(self.next + GAPS - 1) % GAPS]);
                told = Some(Judged {
                    chosen: self.score(by, gap),
                    last: ranked(gap, |edge| if edge >= last { 1.0 } else { 0.0 }),
                    always: ranked(gap, |_| 1.0),
                });
            }
            for (n, of) in Predictor::ALL.into_iter().enumerate().filter(|_| judged) {
                let score = self.score(of, gap);
                let weight = SCORE_NEW.max(1.0 / (self.scored + 1) as f32);
                self.scores[n] += (score as f32 - self.scores[n]) * weight;
            }
            self.scored += u32::from(judged);
            if self.gaps.len() < GAPS {
                self.gaps.push(gap as f32);
            } else {
                self.gaps[self.next] = gap as f32;
            }
            self.next = (self.next + 1) % GAPS;
            let first = self.steady == 0.0;
            let learn = |mean: &mut f32, weight: f64| {
                *mean += (gap as f32 - *mean) * if first { 1.0 } else { weight as f32 };
            };
            learn(&mut self.steady, SLOW);
            learn(&mut self.quick, QUICK);
        }
        self.seasons.iter_mut().for_each(|season| season.used(at));
        self.uses += 1;
        self.last = self.last.max(now);
        told
    }

    /// Ranked probability score over the bins: 0 is best. A predictor with nothing to say is scored as one that
    /// takes each bin for as likely as not.
    pub fn score(&self, of: Predictor, gap: f64) -> f64 {
        ranked(gap, |edge| self.within(of, edge).unwrap_or(0.5))
    }

    /// The predictor that has done best of late, with its score; `None` before anything was scored.
    pub fn best(&self) -> Option<(Predictor, f64)> {
        let told = Predictor::ALL
            .into_iter()
            .zip(self.scores)
            .filter(|(of, _)| self.within(*of, 1.0).is_some());
        let worse = |of: Predictor, score: f32| {
            if of == Predictor::Regular {
                score * REGULAR_WORSE
            } else {
                score
            }
        };
        let best = told.min_by(|a, b| worse(a.0, a.1).total_cmp(&worse(b.0, b.1)));
        best.filter(|_| self.scored > 0)
            .map(|(of, score)| (of, f64::from(score)))
    }

    /// Uses a second that are expected just after `at`.
    pub fn rate(&self, of: Predictor, at: Duration) -> Option<f64> {
        let mean = |mean: f32| (mean > 0.0).then(|| 1.0 / f64::from(mean));
        match of {
            Predictor::Steady => mean(self.steady),
            Predictor::Trend | Predictor::Regular => mean(self.quick),
            Predictor::Day => self.seasons.first().and_then(|s| s.rate(at.as_secs_f64())),
            Predictor::Week => self.seasons.get(1).and_then(|s| s.rate(at.as_secs_f64())),
        }
    }

    /// Moments after the last use at which something may be worth saying: the gaps seen before, and doubling steps.
    pub fn moments(&self, most: f64) -> Vec<f64> {
        let steps = (0..EDGES).map(edge);
        let early = |gap: f64| gap - (SPREAD * gap).max(MIN_SPREAD);
        let gaps = self.gaps.iter().map(|gap| early(f64::from(*gap)));
        let mut all: Vec<f64> = steps.chain(gaps).filter(|at| *at <= most).collect();
        all.sort_by(f64::total_cmp);
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn history(gaps: impl Iterator<Item = f64>) -> History {
        let mut history = History::default();
        let mut at = 1_000_000.0;
        history.used(Duration::from_secs_f64(at), Duration::ZERO);
        for gap in gaps {
            at += gap;
            history.used(Duration::from_secs_f64(at), Duration::ZERO);
        }
        history
    }

    /// Exponential gaps drawn from a fixed sequence.
    fn chance(mean: f64) -> impl Iterator<Item = f64> {
        let mut state = 12345u64;
        std::iter::repeat_with(move || {
            state = state
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            -(1.0 - (state >> 11) as f64 / (1u64 << 53) as f64).ln() * mean
        })
    }

    #[test]
    fn a_timer_is_told_from_chance() {
        assert_eq!(
            history(std::iter::repeat_n(30.0, 20)).best().unwrap().0,
            Predictor::Regular
        );
        let (best, _) = history(chance(30.0).take(200)).best().unwrap();
        assert!(matches!(best, Predictor::Steady | Predictor::Trend), "{best:?}");
    }

    #[test]
    fn a_function_that_turns_from_timer_to_bursts_changes_its_predictor() {
        let gaps = std::iter::repeat_n(30.0, 30).chain(chance(0.4).take(40));
        let history = history(gaps);
        assert_ne!(history.best().unwrap().0, Predictor::Regular);
        assert!(history.rate(Predictor::Trend, Duration::ZERO).unwrap() > 0.5);
    }

    #[test]
    fn a_daily_rush_is_expected_the_next_day() {
        let day = Duration::from_secs(960);
        let mut history = History {
            seasons: vec![Season::new(day)],
            ..History::default()
        };
        for round in 0..6u32 {
            for n in 0..40u32 {
                history.used(
                    day * (1000 + round) + Duration::from_secs(100) + Duration::from_millis(500) * n,
                    Duration::ZERO,
                );
            }
        }
        // From the end of the sixth rush: little before the seventh, much at it.
        let after = |gap| {
            history.seasons[0]
                .expected(history.last + 1.0, history.last + gap)
                .unwrap()
        };
        let (quiet, rush) = (after(900.0), after(965.0));
        assert!(quiet < 0.1 && rush > 10.0, "{quiet} {rush}");
        assert!(history.within(Predictor::Day, 965.0).unwrap() > 0.99);
    }

    #[test]
    fn the_score_is_best_for_the_truth() {
        let history = history(chance(20.0).take(400));
        let score = |of| {
            chance(20.0)
                .skip(1000)
                .take(400)
                .map(|gap| history.score(of, gap))
                .sum::<f64>()
        };
        assert!(score(Predictor::Steady) < score(Predictor::Regular) * 1.2);
        assert!(
            score(Predictor::Steady) < score(Predictor::Day),
            "what says nothing scores worse"
        );
    }
}
