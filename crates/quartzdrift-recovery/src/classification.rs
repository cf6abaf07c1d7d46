//! Classification of a restart by the evidence on disk and the answers of other members.
use crate::clock::ElapsedTime;
use crate::evidence::{DiskState, StartupEvidence};
use crate::messages::MemberStatus;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// In a mass failure more than one in this many members fail, and at least two; fewer count as independent
/// crashes.
const MASS_FAILURE_DIVISOR: usize = 10;
/// Added to the age of the last checkpoint, to allow for clock differences and the delay of datagrams, when
/// members that started after that checkpoint are counted as failed with this scheduler.
const DOWNTIME_SLACK: Duration = Duration::from_millis(200);
/// The assumed downtime where the true one is unknown: a member that started within it may have failed with
/// this scheduler.
const DEFAULT_DOWNTIME: Duration = Duration::from_secs(60);

/// The reason for a scheduler's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartKind {
    /// The scheduler has never run before.
    #[serde(rename = "First")]
    FirstStart,
    /// The last run stopped as planned.
    Planned,
    /// The last run crashed while other members continued to run.
    #[serde(rename = "CrashOfOne")]
    SingleCrash,
    /// Many members failed together: presumably they lost power, and workers did too.
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

/// The kind of a restart, with the evidence for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartClassification {
    /// The kind of restart.
    pub kind: RestartKind,
    /// The state of the disk, in view of the answers of other members.
    pub disk: DiskState,
    /// The number of other members that answered.
    pub answered: usize,
    /// The number of members that answered and had failed together with this scheduler.
    pub lost: usize,
    /// The number of asked members that did not answer.
    pub silent: usize,
    /// Whether at least one other member is at full service.
    #[serde(rename = "others_full")]
    pub others_at_full_service: bool,
    /// The highest start number of this scheduler, before the current start, that the checkpoint or any
    /// member knows of; 0: none.
    #[serde(rename = "latest")]
    pub latest_start: u64,
    /// Whether a member knows of a later checkpoint of the start that wrote the one on disk: the folder was
    /// restored from a copy made during that start.
    #[serde(default, rename = "noted_later")]
    pub later_checkpoint_known: bool,
}

/// The answer of a member: its own status and its knowledge of this scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberAnswer {
    pub(crate) status: MemberStatus,
    /// The highest start number of this scheduler, before the current start, that the member knows of; 0:
    /// none.
    pub(crate) known_start: u64,
    /// The latest checkpoint of that start that the member knows of; 0: none.
    pub(crate) known_checkpoint: u64,
}

/// Classifies a restart at the time `uptime` after its start; `silent` is the number of asked members that
/// did not answer.
pub(crate) fn classify(
    evidence: &StartupEvidence,
    answers: &[MemberAnswer],
    silent: usize,
    uptime: Duration,
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
    let lost = count_failed_with_this_scheduler(answers, downtime(evidence, disk) + uptime);
    let counts = MemberCounts {
        answered: answers.len(),
        lost,
        silent,
    };
    let ended_cleanly = evidence.ended_cleanly() && !is_outdated;
    RestartClassification {
        kind: restart_kind(evidence, disk, ended_cleanly, &counts),
        disk,
        answered: counts.answered,
        lost,
        silent,
        others_at_full_service: answers.iter().any(|answer| answer.status.at_full_service),
        latest_start,
        later_checkpoint_known,
    }
}

/// Counts of the other members, by their answers.
struct MemberCounts {
    answered: usize,
    /// Members among `answered` that failed together with this scheduler.
    lost: usize,
    /// Members that were asked and did not answer.
    silent: usize,
}

impl MemberCounts {
    fn is_mass_failure(&self, ended_cleanly: bool) -> bool {
        // After a planned stop of this scheduler, silent members may be in a planned restart too.
        let failed = if ended_cleanly {
            self.lost
        } else {
            self.lost + self.silent + 1
        };
        failed >= 2 && exceeds_mass_failure_share(failed, self.answered + self.silent)
    }

    fn has_no_other_members(&self) -> bool {
        self.answered == 0 && self.silent == 0
    }
}

fn exceeds_mass_failure_share(failed: usize, members: usize) -> bool {
    failed * MASS_FAILURE_DIVISOR > members
}

fn restart_kind(
    evidence: &StartupEvidence,
    disk: DiskState,
    ended_cleanly: bool,
    counts: &MemberCounts,
) -> RestartKind {
    if counts.is_mass_failure(ended_cleanly) {
        return RestartKind::MassFailure;
    }
    if ended_cleanly {
        return match disk {
            DiskState::Empty => RestartKind::FirstStart,
            _ => RestartKind::Planned,
        };
    }
    // Without other members to ask, a reboot of this machine may stem from a power loss that hit them as
    // well.
    let may_be_mass_failure = counts.has_no_other_members() && !evidence.machine_stayed_up();
    // The last run may have followed a mass failure and ended before its start was classified.
    let may_continue_mass_failure = ended_before_classification(evidence);
    if may_be_mass_failure || may_continue_mass_failure {
        RestartKind::MassFailure
    } else {
        RestartKind::SingleCrash
    }
}

fn ended_before_classification(evidence: &StartupEvidence) -> bool {
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

/// An assumed upper bound of the time from the end of the last run to this start.
fn downtime(evidence: &StartupEvidence, disk: DiskState) -> Duration {
    match evidence.checkpoint_age() {
        Some(ElapsedTime::Monotonic(age) | ElapsedTime::WallClock(age)) if disk == DiskState::Intact => {
            age + DOWNTIME_SLACK
        }
        Some(_) | None => DEFAULT_DOWNTIME,
    }
}

/// Counts the members that failed together with this scheduler: those that started less than `span` ago and
/// had not stopped as planned. A member that started earlier did not fail.
fn count_failed_with_this_scheduler(answers: &[MemberAnswer], span: Duration) -> usize {
    let failed_together =
        |status: &MemberStatus| !status.ended_cleanly && Duration::from_millis(status.up_ms) < span;
    answers
        .iter()
        .filter(|answer| failed_together(&answer.status))
        .count()
}

/// Whether the answers so far prove a mass failure, whatever the remaining ones of the `asked` members
/// answer.
pub(crate) fn proves_mass_failure(
    evidence: &StartupEvidence,
    answers: &[MemberAnswer],
    asked: usize,
    uptime: Duration,
) -> bool {
    let preliminary = classify(evidence, answers, 0, uptime);
    preliminary.kind == RestartKind::MassFailure
        && preliminary.lost > 0
        && !evidence.ended_cleanly()
        && exceeds_mass_failure_share(preliminary.lost + 1, asked)
}

#[cfg(test)]
mod tests;
