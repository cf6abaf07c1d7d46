//! What is admitted in the current phase, and what a restart allows to be repeated.
use super::Recovery;
use crate::admission_ramp::{Admission, LoadResult};
use crate::clock::ElapsedTime;
use crate::phase::RecoveryPhase;
use crate::restore_policy;
use std::time::Duration;

/// The retry delay while the restart is not classified.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

impl Recovery {
    /// Whether a call for this function is admitted, and if it loads the function, the number to report the load's end
    /// with ([`Recovery::load_finished`]).
    ///
    /// # Errors
    ///
    /// It is not admitted now; the time after which to retry.
    pub fn admit(&mut self, now: Duration, function: &str) -> Result<Option<u32>, Duration> {
        let Some(ramp) = &mut self.ramp else {
            return Ok(None);
        };
        // The lower half of the hash: a collision costs an additional load.
        let number = xxhash_rust::xxh3::xxh3_64(function.as_bytes()) as u32;
        match ramp.admit(now, number) {
            Ok(Admission::Unlimited) => Ok(None),
            Ok(Admission::Load) => Ok(Some(number)),
            Err(retry_after) => {
                self.request_answered(false);
                Err(retry_after)
            }
        }
    }

    /// The request of a call that was admitted to load a function has its final answer.
    pub fn load_finished(&mut self, now: Duration, function: u32, result: LoadResult) {
        if let Some(ramp) = &mut self.ramp {
            ramp.load_finished(now, function, result);
        }
    }

    /// A synchronous request had its final answer, `on_time` by its latency objective or not.
    pub fn request_answered(&mut self, on_time: bool) {
        if matches!(self.phase, RecoveryPhase::Synchronous | RecoveryPhase::Backlog) {
            self.backlog.request_answered(on_time);
        }
    }

    /// How long a call that may repeat a request with an idempotency key is rejected; `window`: how long workers remember
    /// such a key. Afterwards no repeat of a request from before a mass failure may come any more.
    pub fn repeat_retry_after(&self, now: Duration, window: Duration) -> Option<Duration> {
        if self.settings.idempotency_keys_on_disk {
            return None;
        }
        if self.classification.is_none() {
            return Some(DEFAULT_RETRY_AFTER);
        }
        let end = self.mass_failure_ended_at? + window;
        (now < end).then(|| end - now)
    }

    /// Whether a request with an idempotency key that was in flight at the end of the last run may be sent again.
    pub fn repeats_are_detected(&self) -> bool {
        let keys_on_disk = self.settings.idempotency_keys_on_disk;
        self.classification
            .as_ref()
            .is_some_and(|classification| restore_policy::repeats_are_detected(classification, keys_on_disk))
    }

    /// Whether a request that the store shows as waiting may have executed all the same.
    pub fn waiting_requests_may_have_run(&self) -> bool {
        let store_start = self.settings.store_start;
        self.classification.as_ref().is_none_or(|classification| {
            restore_policy::waiting_requests_may_have_run(classification, store_start)
        })
    }

    /// Whether the stored measurements are still needed: they are to be restored, or it is not known yet whether they are.
    pub fn needs_stored_measurements(&self) -> bool {
        self.classification.is_none() || self.restore_measurements_at.is_some()
    }

    /// The part of the downtime that only the wall clock tells of: it may have been set ahead.
    pub fn unproven_downtime(&self) -> Duration {
        match self.evidence.checkpoint_age() {
            Some(age @ ElapsedTime::WallClock(claimed)) => {
                claimed.saturating_sub(age.lower_bound(&self.evidence.clock_at_start))
            }
            Some(ElapsedTime::Monotonic(_) | ElapsedTime::AtLeast(_)) | None => Duration::ZERO,
        }
    }

    /// Asynchronous requests in flight at most; `None`: as many as the settings allow.
    pub fn async_limit(&self) -> Option<usize> {
        match self.phase {
            RecoveryPhase::Classifying | RecoveryPhase::Synchronous => Some(0),
            RecoveryPhase::Backlog => Some(self.backlog.limit()),
            RecoveryPhase::Schedules | RecoveryPhase::FullService => None,
        }
    }

    /// Whether schedules trigger requests.
    pub fn allows_schedules(&self) -> bool {
        self.phase >= RecoveryPhase::Schedules
    }

    /// Whether functions are loaded ahead of need.
    pub fn allows_prefetch(&self, now: Duration) -> bool {
        self.phase == RecoveryPhase::FullService && now >= self.prefetch_from
    }
}
