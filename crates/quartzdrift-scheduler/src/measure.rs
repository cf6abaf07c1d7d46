//! Measurements that forget: a histogram of times in coarse bins and a sum that fades. How coarse and how
//! fast is for the decision module to say.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Bins grow by a constant ratio from the first one's edge; counts are halved when they reach a limit.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    first: Duration,
    ratio: f64,
    halve_at: u32,
    bins: Vec<u32>,
    count: u32,
    sum: Duration,
}

impl Histogram {
    pub fn new(first: Duration, ratio: f64, bins: usize, halve_at: u32) -> Histogram {
        Histogram { first, ratio, halve_at, bins: vec![0; bins.max(1)], count: 0, sum: Duration::ZERO }
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    pub fn add(&mut self, duration: Duration) {
        let past = duration.as_secs_f64() / self.first.as_secs_f64();
        let bin = if past <= 1.0 { 0.0 } else { past.ln() / self.ratio.ln() };
        let last = self.bins.len() - 1;
        self.bins[(bin as usize).min(last)] += 1;
        self.count += 1;
        self.sum += duration;
        if self.count >= self.halve_at {
            self.bins.iter_mut().for_each(|n| *n /= 2);
            let left: u32 = self.bins.iter().sum();
            self.sum = self.sum * left / self.count;
            self.count = left;
        }
    }

    pub fn mean(&self) -> Option<Duration> {
        self.sum.checked_div(self.count)
    }

    /// Upper edge of the bin that holds this share of the counts.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut rest = share * f64::from(self.count);
        let bin = self.bins.iter().position(|&n| {
            rest -= f64::from(n);
            rest <= 0.0
        });
        let bin = bin.unwrap_or(self.bins.len() - 1);
        self.first.mul_f64(self.ratio.powi(bin as i32 + 1))
    }
}

/// A sum that loses half its say in each span `half`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Fading {
    sum: f64,
    at: Duration,
}

impl Fading {
    pub fn now(&self, now: Duration, half: Duration) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / half.as_secs_f64()).exp2()
    }

    pub fn add(&mut self, amount: f64, now: Duration, half: Duration) {
        *self = Fading { sum: self.now(now, half) + amount, at: now };
    }
}

/// Counts exactly what came within the last span, both ends included; a span of zero counts nothing.
#[derive(Clone, Debug, Default)]
pub struct Window {
    span: Duration,
    times: VecDeque<Duration>,
}

impl Window {
    pub fn new(span: Duration) -> Window {
        Window { span, times: VecDeque::new() }
    }

    pub fn add(&mut self, now: Duration) {
        if !self.span.is_zero() {
            self.count(now);
            self.times.push_back(now);
        }
    }

    pub fn count(&mut self, now: Duration) -> usize {
        let since = now.saturating_sub(self.span);
        while self.times.front().is_some_and(|at| *at < since) {
            self.times.pop_front();
        }
        self.times.len()
    }
}

/// Fading sums of several parts and of them all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Shares {
    half: Duration,
    began: Option<Duration>,
    all: Fading,
    parts: BTreeMap<usize, Fading>,
}

impl Shares {
    pub fn new(half: Duration) -> Shares {
        Shares { half, ..Shares::default() }
    }

    pub fn add(&mut self, part: usize, amount: f64, now: Duration) {
        self.began.get_or_insert(now);
        self.all.add(amount, now, self.half);
        self.parts.entry(part).or_default().add(amount, now, self.half);
    }

    pub fn part(&self, part: usize, now: Duration) -> f64 {
        self.parts.get(&part).map_or(0.0, |sum| sum.now(now, self.half))
    }

    pub fn all(&self, now: Duration) -> f64 {
        self.all.now(now, self.half)
    }

    /// What was added a second, over the time since the first was (a second at least).
    pub fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.began.unwrap_or(now)).as_secs_f64() + 1.0;
        let seen = 1.0 - (-age / self.half.as_secs_f64()).exp2();
        self.all(now) * std::f64::consts::LN_2 / self.half.as_secs_f64() / seen
    }
}

/// The most that was added a second, of which half is forgotten in each span `fade`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Peak {
    sums: Shares,
    fade: Duration,
    most: Fading,
}

impl Peak {
    pub fn new(half: Duration, fade: Duration) -> Peak {
        Peak { sums: Shares::new(half), fade, most: Fading::default() }
    }

    pub fn add(&mut self, amount: f64, now: Duration) {
        self.sums.add(0, amount, now);
        let more = self.sums.per_second(now) - self.now(now);
        self.most.add(more.max(0.0), now, self.fade);
    }

    pub fn now(&self, now: Duration) -> f64 {
        self.most.now(now, self.fade)
    }
}

/// What workers were seen to do, by kind of machine, `None`: of all: the most finished a second, and the most workers up. Times are
/// those of the clock that measured.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Measurements {
    pub peaks: BTreeMap<Option<u32>, Peak>,
    pub most_up: BTreeMap<Option<u32>, usize>,
    /// What the usual attempt takes, the mean over request classes.
    pub usual: Option<Duration>,
    /// It is of before a loss of many, and most workers have been cold since.
    pub lost: bool,
}
