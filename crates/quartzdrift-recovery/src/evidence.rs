//! What a start finds on disk, before other members are asked.
use crate::checkpoint::Checkpoint;
use crate::clock::{ClockSample, ElapsedTime};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The state of the disk as far as a start knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskState {
    /// The checkpoint is there, is ours, and nobody knows of a later one.
    #[serde(rename = "Whole")]
    Intact,
    /// Nothing is there.
    Empty,
    /// Nothing is there, but other members know us.
    #[serde(rename = "Gone")]
    Lost,
    /// Other files are there but no checkpoint: an earlier release wrote them.
    #[serde(rename = "Unmarked")]
    WithoutCheckpoint,
    /// The checkpoint cannot be read.
    #[serde(rename = "Spoilt")]
    Damaged,
    /// The checkpoint is another member's.
    Foreign,
    /// Other members know of a later start or checkpoint.
    #[serde(rename = "Old")]
    Stale,
}

impl DiskState {
    /// Whether state files on it are used at all.
    pub(crate) fn is_readable(self) -> bool {
        match self {
            DiskState::Intact | DiskState::WithoutCheckpoint | DiskState::Stale => true,
            DiskState::Empty | DiskState::Lost | DiskState::Damaged | DiskState::Foreign => false,
        }
    }

    /// The state once other members have reported a later start or checkpoint than it shows.
    pub(crate) fn outdated(self) -> DiskState {
        match self {
            DiskState::Intact => DiskState::Stale,
            DiskState::Empty => DiskState::Lost,
            other => other,
        }
    }
}

/// As operators read it.
impl fmt::Display for DiskState {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            DiskState::Intact => "Whole",
            DiskState::Empty => "Empty",
            DiskState::Lost => "Gone",
            DiskState::WithoutCheckpoint => "Unmarked",
            DiskState::Damaged => "Spoilt",
            DiskState::Foreign => "Foreign",
            DiskState::Stale => "Old",
        })
    }
}

/// What was found at a start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartupEvidence {
    /// The checkpoint, if there is one of ours that can be read.
    pub checkpoint: Option<Checkpoint>,
    /// Why there is none, or that there is one.
    pub disk: DiskState,
    /// Members that counted at the end of the last run.
    pub known_members: Vec<String>,
    /// The clocks at this start.
    pub clock_at_start: ClockSample,
    /// The last run has not ended yet: it hands over to this one.
    pub predecessor_running: bool,
}

impl StartupEvidence {
    /// The evidence of a checkpoint that could be read, for a scheduler of this name.
    pub fn from_checkpoint(
        checkpoint: Checkpoint,
        name: &str,
        known_members: Vec<String>,
        clock_at_start: ClockSample,
    ) -> StartupEvidence {
        if checkpoint.name != name {
            return StartupEvidence::without_checkpoint(DiskState::Foreign, Vec::new(), clock_at_start);
        }
        StartupEvidence {
            checkpoint: Some(checkpoint),
            disk: DiskState::Intact,
            known_members,
            clock_at_start,
            predecessor_running: false,
        }
    }

    /// The evidence where no usable checkpoint was found.
    pub fn without_checkpoint(
        disk: DiskState,
        known_members: Vec<String>,
        clock_at_start: ClockSample,
    ) -> StartupEvidence {
        StartupEvidence {
            checkpoint: None,
            disk,
            known_members,
            clock_at_start,
            predecessor_running: false,
        }
    }

    /// Time since the last checkpoint, where there is one.
    pub fn checkpoint_age(&self) -> Option<ElapsedTime> {
        let checkpoint = self.checkpoint.as_ref()?;
        Some(ElapsedTime::between(&checkpoint.taken_at, &self.clock_at_start))
    }

    /// Whether the last run, if there was one, stopped as planned or hands over.
    pub fn ended_cleanly(&self) -> bool {
        match (&self.checkpoint, self.disk) {
            (Some(checkpoint), DiskState::Intact) => checkpoint.stopped_cleanly || self.predecessor_running,
            (_, disk) => disk == DiskState::Empty,
        }
    }

    /// Whether the machine is known to have run since the last checkpoint.
    pub fn machine_stayed_up(&self) -> bool {
        matches!(self.checkpoint_age(), Some(ElapsedTime::Monotonic(_)))
    }
}
