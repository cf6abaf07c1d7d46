//! Eviction of function records. Functions used once are evicted first while their number exceeds
//! [`MAX_USED_ONCE_SHARE`] of the maximum number of records, and otherwise functions used more than once.
//! Within each group the least recently used function is evicted first. A scan of functions that are used
//! once therefore does not evict those in regular use.
use super::{Forecasts, FunctionRecord};
use std::collections::BTreeSet;

/// Share of the maximum number of records above which functions used once are evicted first.
const MAX_USED_ONCE_SHARE: f64 = 0.25;

/// The last use in microseconds since 1970, and the name of the function.
type LastUseKey = (u64, String);

/// Functions in the order of their last use. Those used once are in a separate set.
#[derive(Debug, Default)]
pub(super) struct UseOrder {
    used_once: BTreeSet<LastUseKey>,
    used_again: BTreeSet<LastUseKey>,
}

impl UseOrder {
    fn len(&self) -> usize {
        self.used_once.len() + self.used_again.len()
    }

    fn insert(&mut self, last_use: LastUseKey, uses: u32) {
        if uses > 1 {
            self.used_again.insert(last_use);
        } else {
            self.used_once.insert(last_use);
        }
    }

    fn remove(&mut self, last_use: &LastUseKey) {
        self.used_once.remove(last_use);
        self.used_again.remove(last_use);
    }

    /// Removes and returns the function to evict next.
    fn pop_evicted(&mut self, max_used_once: usize) -> Option<LastUseKey> {
        if self.used_once.len() > max_used_once || self.used_again.is_empty() {
            self.used_once.pop_first()
        } else {
            self.used_again.pop_first()
        }
    }
}

impl Forecasts {
    /// Inserts a function into the order of use, and evicts functions beyond the bound.
    pub(crate) fn insert_into_use_order(&mut self, function: &str) {
        let Some(record) = self.functions.get(function) else {
            return;
        };
        self.use_order
            .insert(last_use_key(record, function), record.history.uses);
        let max_used_once = ((self.settings.max_functions as f64 * MAX_USED_ONCE_SHARE) as usize).max(1);
        while self.use_order.len() > self.settings.max_functions.max(1) {
            if let Some((_, function)) = self.use_order.pop_evicted(max_used_once) {
                self.evict(&function);
            }
        }
    }

    /// Removes a function from the order of use, and cancels its planned forecast.
    pub(super) fn remove_from_use_order(&mut self, function: &str) {
        if let Some(record) = self.functions.get(function) {
            self.use_order.remove(&last_use_key(record, function));
            if let Some(at) = record.forecast_at {
                self.planned_forecasts.remove(&(at, function.to_owned()));
            }
        }
    }

    fn evict(&mut self, function: &str) {
        let evicted = self.functions.remove(function);
        if let Some(at) = evicted.and_then(|record| record.forecast_at) {
            self.planned_forecasts.remove(&(at, function.to_owned()));
        }
    }
}

fn last_use_key(record: &FunctionRecord, function: &str) -> LastUseKey {
    ((record.history.last_use * 1e6) as u64, function.to_owned())
}
