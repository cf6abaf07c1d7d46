//! How many asynchronous requests are let in while service returns, by what synchronous work leaves.
//!
//! Loads are not paced here: each way that was tried made service return later than without (docs/gap.md).
use std::time::Duration;

/// Of synchronous requests answered in a second, the share that must have kept their latency objective for the backlog to grow.
const KEPT: f64 = 0.95;
/// Fewer say nothing.
const FEW: u64 = 5;
const SECOND: Duration = Duration::from_secs(1);
/// Seconds in a row after which it is well.
const CALM: u32 = 2;
/// Past half of what was too much the backlog grows by such a part of it a second: a second that is too much costs synchronous
/// work more than a slow one costs the backlog.
const SLOWLY: usize = 32;

/// Asynchronous requests out at a time, while those that waited over a loss catch up beside synchronous work.
#[derive(Debug)]
pub struct Backlog {
    out: usize,
    most: usize,
    /// Half of what was too much last.
    known: usize,
    /// Since when, requests answered, and those that kept their target.
    second: (Duration, u64, u64),
    /// Seconds in a row in which synchronous work was well.
    well: u32,
}

impl Backlog {
    pub fn new(now: Duration, most: usize) -> Backlog {
        Backlog {
            out: 0,
            most: most.max(1),
            known: usize::MAX,
            second: (now, 0, 0),
            well: 0,
        }
    }

    pub fn out(&self) -> usize {
        self.out
    }

    /// Whether all that the settings allow is let in.
    pub fn full(&self) -> bool {
        self.out >= self.most
    }

    /// A synchronous request had its final answer.
    pub fn answered(&mut self, kept: bool) {
        self.second.1 += 1;
        self.second.2 += u64::from(kept);
    }

    pub fn next_due(&self) -> Duration {
        self.second.0 + SECOND
    }

    /// Whether synchronous work has been well for long enough to let more in beside it.
    pub fn calm(&self) -> bool {
        self.well >= CALM
    }

    /// Begins with one at a time.
    pub fn begin(&mut self) {
        self.out = 1;
    }

    /// Once begun it doubles each second in which synchronous work is well, up to half of what was too much last, and grows slowly
    /// from there; it halves in other seconds (slow start and congestion avoidance, Jacobson 1988). One is always let in, so
    /// that no backlog waits without end.
    pub fn due(&mut self, now: Duration) {
        if now < self.next_due() {
            return;
        }
        let (_, all, kept) = std::mem::replace(&mut self.second, (now, 0, 0));
        let well = all < FEW || kept as f64 >= KEPT * all as f64;
        let was_well = self.well > 0;
        self.well = if well { self.well + 1 } else { 0 };
        if self.out == 0 {
            return;
        }
        if !well {
            self.out = (self.out / 2).max(1);
            // A run of bad seconds began at what was too much, not at what is left of it.
            self.known = if was_well { self.out } else { self.known };
        } else if self.out < self.known {
            self.out = (self.out * 2).min(self.known).min(self.most);
        } else {
            self.out = (self.out + (self.known / SLOWLY).max(1)).min(self.most);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_backlog_yields_to_synchronous_work() {
        let mut backlog = Backlog::new(Duration::ZERO, 64);
        assert!(backlog.out() == 0 && !backlog.calm());
        backlog.begin();
        let mut out = Vec::new();
        for second in 1..=12u32 {
            let well = second <= 4 || second > 8;
            (0..100).for_each(|n| backlog.answered(well || n < 90));
            backlog.due(SECOND * second);
            out.push(backlog.out());
            assert_eq!(backlog.calm(), !matches!(second, 1 | 5..=9));
        }
        assert_eq!(out, [2, 4, 8, 16, 8, 4, 2, 1, 2, 4, 8, 9]);
        (13..=68).for_each(|second| backlog.due(SECOND * second));
        assert!(backlog.full());
    }
}
