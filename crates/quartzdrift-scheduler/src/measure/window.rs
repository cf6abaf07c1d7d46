//! An exact count over a sliding window.
use std::collections::VecDeque;
use std::time::Duration;

/// Counts exactly what came within the last span, both ends included; a span of zero counts nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    span: Duration,
    times: VecDeque<Duration>,
}

impl Window {
    pub(crate) fn new(span: Duration) -> Window {
        Window { span, times: VecDeque::new() }
    }

    pub(crate) fn add(&mut self, now: Duration) {
        if !self.span.is_zero() {
            self.count(now);
            self.times.push_back(now);
        }
    }

    pub(crate) fn count(&mut self, now: Duration) -> usize {
        let since = now.saturating_sub(self.span);
        while self.times.front().is_some_and(|at| *at < since) {
            self.times.pop_front();
        }
        self.times.len()
    }
}
