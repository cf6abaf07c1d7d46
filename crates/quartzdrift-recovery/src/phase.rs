//! The phases of a recovery. Each admits more than the one before it.
use serde::{Deserialize, Serialize};
use std::fmt;

/// Phases in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecoveryPhase {
    /// Other members are asked, to classify the restart. What may have executed before is not executed again meanwhile.
    #[serde(rename = "Asking")]
    Classifying,
    /// Synchronous requests alone, until they keep their latency objectives.
    Synchronous,
    /// The backlog of asynchronous requests too, as far as synchronous requests leave room.
    Backlog,
    /// Missed schedules too.
    #[serde(rename = "Timers")]
    Schedules,
    /// Everything, prefetches included.
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
