//! Histogram of durations with exponentially growing bins.
use std::time::Duration;

/// Histogram of durations. The upper edge of each bin is a constant multiple of the previous one. At
/// `max_count` samples all counts are halved, so that recent samples weigh more.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histogram {
    /// Upper edge of the first bin.
    first_edge: Duration,
    /// Ratio of a bin's upper edge to that of the previous bin.
    ratio: f64,
    max_count: u32,
    bins: Vec<u32>,
    count: u32,
    sum: Duration,
}

impl Histogram {
    pub(crate) fn new(first_edge: Duration, ratio: f64, bins: usize, max_count: u32) -> Histogram {
        Histogram { first_edge, ratio, max_count, bins: vec![0; bins.max(1)], count: 0, sum: Duration::ZERO }
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    pub(crate) fn add(&mut self, duration: Duration) {
        let relative = duration.as_secs_f64() / self.first_edge.as_secs_f64();
        let bin = if relative <= 1.0 { 0.0 } else { relative.ln() / self.ratio.ln() };
        let last = self.bins.len() - 1;
        self.bins[(bin as usize).min(last)] += 1;
        self.count += 1;
        self.sum += duration;
        if self.count >= self.max_count {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.bins.iter_mut().for_each(|count| *count /= 2);
        let remaining: u32 = self.bins.iter().sum();
        self.sum = self.sum * remaining / self.count;
        self.count = remaining;
    }

    pub(crate) fn mean(&self) -> Option<Duration> {
        self.sum.checked_div(self.count)
    }

    /// Returns the upper edge of the bin that contains the quantile `share`, from 0 to 1.
    pub(crate) fn quantile(&self, share: f64) -> Duration {
        let mut remaining = share * f64::from(self.count);
        let bin = self.bins.iter().position(|&count| {
            remaining -= f64::from(count);
            remaining <= 0.0
        });
        let bin = bin.unwrap_or(self.bins.len() - 1);
        self.first_edge.mul_f64(self.ratio.powi(bin as i32 + 1))
    }
}
