//! Slow start: limits the work that is sent to a recently started worker to its growing capacity.
use crate::messages::PlacementQuery;
use crate::names::hash;
use crate::state::{DecisionContext, Worker};

impl Worker {
    /// Whether a request fits this scheduler's share of the worker's budget in the current half window. A
    /// remainder of less than one request is rounded up or down at random in each half window: if every
    /// scheduler rounded up, the worker would receive many requests too many.
    pub(super) fn has_slow_start_budget(&mut self, query: &PlacementQuery, context: DecisionContext) -> bool {
        let Some(since) = self.warming_since.max(self.possible_start(context)) else { return true };
        let settings = context.settings;
        let age = context.now.saturating_sub(since);
        if age >= settings.slow_start_duration {
            self.warming_since = None;
            return true;
        }
        let half_window = self.half_window(context);
        self.slow_start_usage.enter(half_window);
        let warmed_share = age.as_secs_f64() / settings.slow_start_duration.as_secs_f64();
        let min_capacity = settings.slow_start_min_capacity;
        let capacity = min_capacity + (1.0 - min_capacity) * warmed_share;
        let seconds = settings.slow_start_half_window.as_secs_f64();
        let budget = settings.slow_start_budget * capacity * query.worker_capacity * seconds;
        let draw = hash(&(settings.seed, self.index, half_window)) as f64 / u64::MAX as f64;
        self.slow_start_usage.work + query.relative_work * (1.0 - draw) <= budget
    }

    /// Returns the sequence number of the current half window. The phase of the half windows is drawn from
    /// the scheduler's seed, so it differs between schedulers.
    fn half_window(&self, context: DecisionContext) -> u64 {
        let length = context.settings.slow_start_half_window.as_micros() as u64;
        let phase = hash(&(context.settings.seed, self.index)) % length;
        (context.now.as_micros() as u64 + phase) / length
    }
}
