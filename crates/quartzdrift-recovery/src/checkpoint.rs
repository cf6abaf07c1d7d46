//! What a scheduler writes to disk while it runs, for its next start.
use crate::clock::ClockSample;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The state that a start continues from. Written as JSON; the serialized names are those of earlier releases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The scheduler's name in the fleet; empty without one.
    pub name: String,
    /// Counts its starts, from 1.
    pub starts: u64,
    /// Whether it has stopped as planned. Written as `false` at each start, before anything is sent.
    #[serde(rename = "clean")]
    pub stopped_cleanly: bool,
    /// Whether that start had been classified.
    #[serde(rename = "settled")]
    pub classified: bool,
    /// When the checkpoint was taken.
    #[serde(rename = "at")]
    pub taken_at: ClockSample,
    /// When the last mass failure ended, by the steady clock. Clients may repeat requests from before it for as long as
    /// their idempotency keys' window after it.
    #[serde(rename = "back_at")]
    pub mass_failure_ended_at: Option<Duration>,
    /// The highest start that other members reported of themselves, by name.
    #[serde(rename = "seen")]
    pub reported_starts: BTreeMap<String, u64>,
    /// Counts the checkpoints of this start.
    #[serde(default, rename = "notes")]
    pub checkpoint_count: u64,
    /// The latest checkpoint that other members reported, by name.
    #[serde(default, rename = "seen_notes")]
    pub reported_checkpoints: BTreeMap<String, CheckpointNumber>,
}

/// Identifies a checkpoint of one member; the later one is greater. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct CheckpointNumber {
    /// The start that wrote it.
    pub start: u64,
    /// Its number within that start, from 1.
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
