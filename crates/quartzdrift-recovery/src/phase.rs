//! The phases of a recovery. Each admits more than the one before it.
use serde::{Deserialize, Serialize};
use std::fmt;

/// A phase of a recovery, in the order of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecoveryPhase {
    /// Other members are asked for their status, to classify the restart. Requests that may have executed
    /// before the restart are not executed again in this phase.
    #[serde(rename = "Asking")]
    Classifying,
    /// Only synchronous requests are admitted, until they meet their latency objectives.
    Synchronous,
    /// The backlog of asynchronous requests is admitted too, with the capacity that synchronous requests
    /// leave.
    Backlog,
    /// Schedules trigger requests too, missed triggers included.
    #[serde(rename = "Timers")]
    Schedules,
    /// Everything is admitted, prefetches included.
    #[serde(rename = "Full")]
    FullService,
}

impl fmt::Display for RecoveryPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            RecoveryPhase::Classifying => "asking",
            RecoveryPhase::Synchronous => "synchronous",
            RecoveryPhase::Backlog => "backlog",
            RecoveryPhase::Schedules => "timers",
            RecoveryPhase::FullService => "full",
        })
    }
}
