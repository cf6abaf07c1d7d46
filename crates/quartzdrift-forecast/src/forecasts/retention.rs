//! Which functions are remembered. Beyond the bound the least recently used goes first; functions met once may fill what room
//! there is, but displace others up to a share only, so that a scan of functions used once does not displace those in use.
use super::{Forecasts, Track};
use std::collections::BTreeSet;

/// Share of the remembered functions that may have been met once only.
const NEW_SHARE: f64 = 0.25;

/// A function by its last use, in microseconds since 1970.
type LastUse = (u64, String);

/// Functions in the order of their last use.
#[derive(Debug, Default)]
pub(super) struct UseOrder {
    met_once: BTreeSet<LastUse>,
    used_again: BTreeSet<LastUse>,
}

impl UseOrder {
    fn len(&self) -> usize {
        self.met_once.len() + self.used_again.len()
    }

    fn insert(&mut self, last_use: LastUse, uses: u32) {
        if uses > 1 {
            self.used_again.insert(last_use);
        } else {
            self.met_once.insert(last_use);
        }
    }

    fn remove(&mut self, last_use: &LastUse) {
        self.met_once.remove(last_use);
        self.used_again.remove(last_use);
    }

    /// Takes out the function to forget.
    fn pop_oldest(&mut self, max_met_once: usize) -> Option<LastUse> {
        if self.met_once.len() > max_met_once || self.used_again.is_empty() {
            self.met_once.pop_first()
        } else {
            self.used_again.pop_first()
        }
    }
}

impl Forecasts {
    /// Enters a function into the order of use, and forgets those beyond the bound.
    pub(crate) fn list(&mut self, function: &str) {
        let Some(track) = self.tracks.get(function) else {
            return;
        };
        self.order.insert(last_use(track, function), track.history.uses);
        let max_met_once = ((self.settings.max_functions as f64 * NEW_SHARE) as usize).max(1);
        while self.order.len() > self.settings.max_functions.max(1) {
            if let Some((_, oldest)) = self.order.pop_oldest(max_met_once) {
                self.forget(&oldest);
            }
        }
    }

    /// Takes a function out of the order of use, and its planned forecast with it.
    pub(super) fn unlist(&mut self, function: &str) {
        if let Some(track) = self.tracks.get(function) {
            self.order.remove(&last_use(track, function));
            if let Some(at) = track.forecast_at {
                self.planned.remove(&(at, function.to_owned()));
            }
        }
    }

    fn forget(&mut self, function: &str) {
        let forgotten = self.tracks.remove(function);
        if let Some(at) = forgotten.and_then(|track| track.forecast_at) {
            self.planned.remove(&(at, function.to_owned()));
        }
    }
}

fn last_use(track: &Track, function: &str) -> LastUse {
    ((track.history.last_use * 1e6) as u64, function.to_owned())
}
