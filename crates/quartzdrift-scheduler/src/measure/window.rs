//! Exact count of events within a sliding window.
use std::collections::VecDeque;
use std::time::Duration;

/// Counts the events of the last `span`, both ends included. A span of zero counts no events. Beyond a
/// maximum number of events, the oldest are forgotten, so that the count is too low and never too high.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlidingWindow {
    span: Duration,
    max_events: usize,
    event_times: VecDeque<Duration>,
}

impl SlidingWindow {
    pub(crate) fn new(span: Duration, max_events: usize) -> SlidingWindow {
        SlidingWindow { span, max_events, event_times: VecDeque::new() }
    }

    pub(crate) fn add(&mut self, now: Duration) {
        if !self.span.is_zero() {
            if self.count(now) >= self.max_events {
                self.event_times.pop_front();
            }
            self.event_times.push_back(now);
        }
    }

    pub(crate) fn count(&mut self, now: Duration) -> usize {
        let since = now.saturating_sub(self.span);
        while self.event_times.front().is_some_and(|at| *at < since) {
            self.event_times.pop_front();
        }
        self.event_times.len()
    }
}
