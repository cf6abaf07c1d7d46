//! The evidence that a start finds on disk, before other members are asked.
use crate::checkpoint::Checkpoint;
use crate::clock::{ClockSample, ElapsedTime};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The state of the checkpoint on disk, as far as this start knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskState {
    /// The checkpoint is this scheduler's own, and no member knows of a later one.
    #[serde(rename = "Whole")]
    Intact,
    /// There are no state files.
    Empty,
    /// There are no state files, but other members know of an earlier start of this scheduler.
    #[serde(rename = "Gone")]
    Lost,
    /// There are state files but no checkpoint: an earlier release wrote them.
    #[serde(rename = "Unmarked")]
    WithoutCheckpoint,
    /// The checkpoint cannot be read.
    #[serde(rename = "Spoilt")]
    Damaged,
    /// The checkpoint belongs to a scheduler of another name.
    Foreign,
    /// Other members know of a later start or checkpoint than the one on disk: the folder was restored
    /// from a copy.
    #[serde(rename = "Old")]
    Stale,
}

impl DiskState {
    /// Whether state files on the disk are used at all.
    pub(crate) fn is_readable(self) -> bool {
        match self {
            DiskState::Intact | DiskState::WithoutCheckpoint | DiskState::Stale => true,
            DiskState::Empty | DiskState::Lost | DiskState::Damaged | DiskState::Foreign => false,
        }
    }

    /// The state of the disk once other members have reported a later start or checkpoint than it holds.
    pub(crate) fn outdated(self) -> DiskState {
        match self {
            DiskState::Intact => DiskState::Stale,
            DiskState::Empty => DiskState::Lost,
            other => other,
        }
    }
}

/// The name of the state in logs and in the table for operators.
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

/// The evidence about the last run that a start finds on its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct StartupEvidence {
    /// The checkpoint of the last run, if it can be read and is this scheduler's own.
    pub checkpoint: Option<Checkpoint>,
    /// The state of the checkpoint; the reason for its absence if there is none.
    pub disk: DiskState,
    /// Members that belonged to the fleet at the end of the last run.
    pub known_members: Vec<String>,
    /// A sample of the clocks at this start.
    pub clock_at_start: ClockSample,
    /// Whether the last run has not ended yet: it hands over to this one.
    pub predecessor_running: bool,
}

impl StartupEvidence {
    /// The evidence of a readable checkpoint, for the scheduler `name`. A checkpoint of another scheduler is
    /// not used.
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

    /// The evidence without a usable checkpoint; `disk` is the reason for its absence.
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

    /// The time from the last checkpoint to this start; `None`: there is no checkpoint.
    pub fn checkpoint_age(&self) -> Option<ElapsedTime> {
        let checkpoint = self.checkpoint.as_ref()?;
        Some(ElapsedTime::between(&checkpoint.taken_at, &self.clock_at_start))
    }

    /// Whether the last run stopped as planned, hands over to this one, or never took place.
    pub fn ended_cleanly(&self) -> bool {
        match (&self.checkpoint, self.disk) {
            (Some(checkpoint), DiskState::Intact) => checkpoint.stopped_cleanly || self.predecessor_running,
            (_, disk) => disk == DiskState::Empty,
        }
    }

    /// Whether the machine is known to have stayed up since the last checkpoint.
    pub fn machine_stayed_up(&self) -> bool {
        matches!(self.checkpoint_age(), Some(ElapsedTime::Monotonic(_)))
    }
}
