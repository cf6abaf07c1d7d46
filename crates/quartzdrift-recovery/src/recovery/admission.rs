//! Admission in the current phase, and the rules for requests from before the restart.
use super::Recovery;
use crate::admission_ramp::{Admission, LoadResult};
use crate::clock::ElapsedTime;
use crate::phase::RecoveryPhase;
use crate::restore_policy;
use std::time::Duration;

/// The retry delay of a possible repeat while the restart is not classified.
pub(super) const UNCLASSIFIED_RETRY_AFTER: Duration = Duration::from_millis(250);

impl Recovery {
    /// Admits a call for a function. If the call is expected to load the function, returns the number that
    /// [`Recovery::load_finished`] takes for the function when the load ends.
    ///
    /// # Errors
    ///
    /// The call is not admitted now; the error is the delay after which to retry.
    pub fn admit(&mut self, now: Duration, function: &str) -> Result<Option<u32>, Duration> {
        let Some(ramp) = &mut self.ramp else {
            return Ok(None);
        };
        // The lower half of the hash is enough: a collision costs one additional load.
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

    /// Reports the final response to a call that [`Recovery::admit`] let load the function.
    pub fn load_finished(&mut self, now: Duration, function: u32, result: LoadResult) {
        if let Some(ramp) = &mut self.ramp {
            ramp.load_finished(now, function, result);
        }
    }

    /// Reports the final response to a synchronous request; `on_time`: it succeeded within its latency
    /// objective.
    pub fn request_answered(&mut self, on_time: bool) {
        if matches!(self.phase, RecoveryPhase::Synchronous | RecoveryPhase::Backlog) {
            self.backlog.request_answered(on_time);
        }
    }

    /// The retry delay for a call that may repeat a request with an idempotency key; `None`: the call is
    /// admitted. `window` is the time for which workers remember such a key. Once it has passed since the end
    /// of a mass failure, clients no longer repeat requests from before the failure.
    pub fn repeat_retry_after(&self, now: Duration, window: Duration) -> Option<Duration> {
        if self.settings.idempotency_keys_on_disk {
            return None;
        }
        if self.classification.is_none() {
            return Some(UNCLASSIFIED_RETRY_AFTER);
        }
        let end = self.mass_failure_ended_at? + window;
        (now < end).then(|| end - now)
    }

    /// Whether a request with an idempotency key that was in flight when the last run ended may be sent
    /// again, because workers detect the repeat.
    pub fn repeats_are_detected(&self) -> bool {
        let keys_on_disk = self.settings.idempotency_keys_on_disk;
        self.classification
            .as_ref()
            .is_some_and(|classification| restore_policy::repeats_are_detected(classification, keys_on_disk))
    }

    /// Whether a request that the store shows as waiting may already have executed.
    pub fn waiting_requests_may_have_run(&self) -> bool {
        let store_start = self.settings.store_start;
        self.classification.as_ref().is_none_or(|classification| {
            restore_policy::waiting_requests_may_have_run(classification, store_start)
        })
    }

    /// Whether the stored measurements have to be kept: their restoration is pending or
    /// undecided.
    pub fn needs_stored_measurements(&self) -> bool {
        self.classification.is_none() || self.restore_measurements_at.is_some()
    }

    /// The part of the downtime that only the wall clock shows; the wall clock may have been set ahead.
    pub fn unproven_downtime(&self) -> Duration {
        match self.evidence.checkpoint_age() {
            Some(age @ ElapsedTime::WallClock(downtime)) => {
                downtime.saturating_sub(age.lower_bound(&self.evidence.clock_at_start))
            }
            Some(ElapsedTime::Monotonic(_) | ElapsedTime::AtLeast(_)) | None => Duration::ZERO,
        }
    }

    /// The limit of asynchronous requests in flight; `None`: only that of the settings applies.
    pub fn async_limit(&self) -> Option<usize> {
        match self.phase {
            RecoveryPhase::Classifying | RecoveryPhase::Synchronous => Some(0),
            RecoveryPhase::Backlog => Some(self.backlog.limit()),
            RecoveryPhase::Schedules | RecoveryPhase::FullService => None,
        }
    }

    /// Whether schedules may trigger requests in the current phase.
    pub fn allows_schedules(&self) -> bool {
        self.phase >= RecoveryPhase::Schedules
    }

    /// Whether functions may be prefetched.
    pub fn allows_prefetch(&self, now: Duration) -> bool {
        self.phase == RecoveryPhase::FullService && now >= self.earliest_prefetch
    }
}
