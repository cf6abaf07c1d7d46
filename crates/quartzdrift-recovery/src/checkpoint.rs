//! The checkpoint that a scheduler writes to disk while it runs, for its next start.
use crate::clock::ClockSample;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The state with which the next start continues. Stored as JSON; the serialized names are those of earlier
/// releases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The scheduler's name in the fleet; empty without one.
    pub name: String,
    /// The number of starts of the scheduler, the one that writes the checkpoint included.
    pub starts: u64,
    /// Whether the run has stopped as planned. Each start stores `false` before it sends anything.
    #[serde(rename = "clean")]
    pub stopped_cleanly: bool,
    /// Whether the start that writes the checkpoint has been classified.
    #[serde(rename = "settled")]
    pub classified: bool,
    /// A sample of the clocks when the checkpoint was taken.
    #[serde(rename = "at")]
    pub taken_at: ClockSample,
    /// The end of the last mass failure, by the steady clock. Clients may repeat requests from before the
    /// failure until the window of their idempotency keys has passed since then.
    #[serde(rename = "back_at")]
    pub mass_failure_ended_at: Option<Duration>,
    /// The highest number of starts that each other member has reported of itself, by the member's name.
    #[serde(rename = "seen")]
    pub reported_starts: BTreeMap<String, u64>,
    /// The number of checkpoints that this start has begun to write so far.
    #[serde(default, rename = "notes")]
    pub checkpoint_count: u64,
    /// The latest checkpoint that each other member has reported of itself, by the member's name.
    #[serde(default, rename = "seen_notes")]
    pub reported_checkpoints: BTreeMap<String, CheckpointNumber>,
}

/// Identifies a checkpoint among those of one member; a later checkpoint is greater. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct CheckpointNumber {
    /// The number of the start that wrote the checkpoint.
    pub start: u64,
    /// The number of the checkpoint within that start, from 1.
    pub checkpoint: u64,
}

impl From<(u64, u64)> for CheckpointNumber {
    fn from((start, checkpoint): (u64, u64)) -> CheckpointNumber {
        CheckpointNumber { start, checkpoint }
    }
}

impl From<CheckpointNumber> for (u64, u64) {
    fn from(number: CheckpointNumber) -> (u64, u64) {
        (number.start, number.checkpoint)
    }
}
