//! Kinds of restart, distinguished by what was found on disk and by what other members answer.
use crate::clock::ElapsedTime;
use crate::evidence::{DiskState, StartupEvidence};
use crate::messages::MemberStatus;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A mass failure takes more than one in so many members, and at least two: fewer are independent crashes.
const MASS_FAILURE_DIVISOR: usize = 10;
/// A member that started after our last checkpoint, within this tolerance for clocks and datagrams, failed with us.
const DOWNTIME_SLACK: Duration = Duration::from_millis(200);
/// Where our downtime is unknown, a member that started within this span may have failed with us.
const DEFAULT_DOWNTIME: Duration = Duration::from_secs(60);

/// Why a scheduler starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartKind {
    /// It has never run before.
    #[serde(rename = "First")]
    FirstStart,
    /// The last run stopped as planned.
    Planned,
    /// The last run crashed, others ran on.
    #[serde(rename = "CrashOfOne")]
    SingleCrash,
    /// Many members failed together: presumably power was lost, and workers with it.
    #[serde(rename = "LossOfMany")]
    MassFailure,
}

impl fmt::Display for RestartKind {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            RestartKind::FirstStart => "first start",
            RestartKind::Planned => "planned restart",
            RestartKind::SingleCrash => "crash of one",
            RestartKind::MassFailure => "loss of many",
        })
    }
}

/// What a restart was classified as, and by which evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartClassification {
    /// The kind of restart.
    pub kind: RestartKind,
    /// The state of the disk, now that other members have answered.
    pub disk: DiskState,
    /// Other members that answered.
    pub answered: usize,
    /// Those among them that failed together with us.
    pub lost: usize,
    /// Members that were known and did not answer.
    pub silent: usize,
    /// Whether some member is at full service.
    #[serde(rename = "others_full")]
    pub others_at_full_service: bool,
    /// The highest of our earlier starts that the checkpoint or any member knows of.
    #[serde(rename = "latest")]
    pub latest_start: u64,
    /// Some member knows of a later checkpoint of that very start: the folder was restored from a copy made within it.
    #[serde(default, rename = "noted_later")]
    pub later_checkpoint_known: bool,
}

/// One member's answer: what it says of itself, and what it knows of us.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberAnswer {
    pub(crate) status: MemberStatus,
    /// The highest of our earlier starts that it knows of; 0: none.
    pub(crate) known_start: u64,
    /// The latest checkpoint of that start that it knows of.
    pub(crate) known_checkpoint: u64,
}

/// Classifies a restart `up` after its start; `silent` known members did not answer.
pub(crate) fn classify(
    evidence: &StartupEvidence,
    answers: &[MemberAnswer],
    silent: usize,
    up: Duration,
) -> RestartClassification {
    let own_start = evidence.checkpoint.as_ref().map_or(0, |own| own.starts);
    let known_starts = answers.iter().map(|answer| answer.known_start);
    let latest_start = known_starts.max().unwrap_or(0).max(own_start);
    let later_checkpoint_known = latest_start == own_start && knows_later_checkpoint(evidence, answers);
    let is_outdated = latest_start > own_start || later_checkpoint_known;
    let disk = if is_outdated {
        evidence.disk.outdated()
    } else {
        evidence.disk
    };
    let lost = count_lost(answers, downtime(evidence, disk) + up);
    let tally = Tally {
        answered: answers.len(),
        lost,
        silent,
    };
    let ended_cleanly = evidence.ended_cleanly() && !is_outdated;
    RestartClassification {
        kind: restart_kind(evidence, disk, ended_cleanly, &tally),
        disk,
        answered: tally.answered,
        lost,
        silent,
        others_at_full_service: answers.iter().any(|answer| answer.status.at_full_service),
        latest_start,
        later_checkpoint_known,
    }
}

/// How other members fared.
struct Tally {
    answered: usize,
    lost: usize,
    silent: usize,
}

impl Tally {
    fn is_mass_failure(&self, ended_cleanly: bool) -> bool {
        // After a planned stop silent members may be on their way through the same.
        let failed = if ended_cleanly {
            self.lost
        } else {
            self.lost + self.silent + 1
        };
        failed >= 2 && is_mass(failed, self.answered + self.silent)
    }

    fn is_alone(&self) -> bool {
        self.answered == 0 && self.silent == 0
    }
}

fn is_mass(failed: usize, members: usize) -> bool {
    failed * MASS_FAILURE_DIVISOR > members
}

fn restart_kind(
    evidence: &StartupEvidence,
    disk: DiskState,
    ended_cleanly: bool,
    tally: &Tally,
) -> RestartKind {
    if tally.is_mass_failure(ended_cleanly) {
        return RestartKind::MassFailure;
    }
    if ended_cleanly {
        return match disk {
            DiskState::Empty => RestartKind::FirstStart,
            _ => RestartKind::Planned,
        };
    }
    // With nobody to ask, what took this machine has to be assumed to have taken the others as well.
    let may_be_mass_failure = tally.is_alone() && !evidence.machine_stayed_up();
    // The last start may have followed a mass failure that it did not get to classify.
    let may_continue_one = ended_unclassified(evidence);
    if may_be_mass_failure || may_continue_one {
        RestartKind::MassFailure
    } else {
        RestartKind::SingleCrash
    }
}

fn ended_unclassified(evidence: &StartupEvidence) -> bool {
    let checkpoint = evidence.checkpoint.as_ref();
    checkpoint.is_some_and(|own| !own.stopped_cleanly && !own.classified)
}

fn knows_later_checkpoint(evidence: &StartupEvidence, answers: &[MemberAnswer]) -> bool {
    let checkpoint = evidence.checkpoint.as_ref();
    let own_start = checkpoint.map_or(0, |own| own.starts);
    let own_checkpoint = checkpoint.map_or(0, |own| own.checkpoint_count);
    answers
        .iter()
        .any(|answer| answer.known_start == own_start && answer.known_checkpoint > own_checkpoint)
}

/// How long we were down before this start.
fn downtime(evidence: &StartupEvidence, disk: DiskState) -> Duration {
    match evidence.checkpoint_age() {
        Some(ElapsedTime::Monotonic(age) | ElapsedTime::WallClock(age)) if disk == DiskState::Intact => {
            age + DOWNTIME_SLACK
        }
        Some(_) | None => DEFAULT_DOWNTIME,
    }
}

/// A member that did not stop as planned and started less than `span` ago failed together with us; an older one ran on.
fn count_lost(answers: &[MemberAnswer], span: Duration) -> usize {
    let failed_with_us =
        |status: &MemberStatus| !status.ended_cleanly && Duration::from_millis(status.up_ms) < span;
    answers
        .iter()
        .filter(|answer| failed_with_us(&answer.status))
        .count()
}

/// Whether the answers so far prove a mass failure, whatever the others of `asked` members will answer.
pub(crate) fn proves_mass_failure(
    evidence: &StartupEvidence,
    answers: &[MemberAnswer],
    asked: usize,
    up: Duration,
) -> bool {
    let so_far = classify(evidence, answers, 0, up);
    so_far.kind == RestartKind::MassFailure
        && so_far.lost > 0
        && !evidence.ended_cleanly()
        && is_mass(so_far.lost + 1, asked)
}

#[cfg(test)]
mod tests;
