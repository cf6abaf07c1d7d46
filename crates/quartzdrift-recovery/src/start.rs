//! Kinds of start, told apart by what was found on disk and by what members answer.
use crate::moment::{Age, Moment};
use crate::topics::About;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// One in so many members lost at once, and at least two, are many: fewer are crashes that fell together.
const MANY: usize = 10;
/// A member that began later than our last note, less this for what clocks and datagrams take, is taken to have ended with us.
const SPAN_SLACK: Duration = Duration::from_millis(200);
/// Where it cannot be told when we ended, whoever began within this span may have ended with us.
const DEFAULT_SPAN: Duration = Duration::from_secs(60);

/// What a scheduler notes of itself while it runs, for its next start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Its name in the fleet; empty without one.
    pub name: String,
    /// Counts its starts, from 1.
    pub starts: u64,
    /// Whether it stopped as planned. Noted as not so at each start, before anything leaves.
    pub clean: bool,
    /// Whether that start had been judged.
    pub settled: bool,
    pub at: Moment,
    /// When power last came back after a loss of many, by the steady clock; repeats of requests from before it may come for as
    /// long as their window after it.
    pub back_at: Option<Duration>,
    /// The highest starts heard of others, by name.
    pub seen: BTreeMap<String, u64>,
    /// Counts the notes of this start, and the latest note told by others with the start that it is of, by name.
    #[serde(default)]
    pub notes: u64,
    #[serde(default)]
    pub seen_notes: BTreeMap<String, (u64, u64)>,
}

/// What became of the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Disk {
    /// The mark is there, is ours, and nobody knows of a later one.
    Whole,
    /// Nothing is there.
    Empty,
    /// Nothing is there, and others know us.
    Gone,
    /// Other files are there, and no mark: an earlier release wrote them.
    Unmarked,
    /// The mark cannot be read.
    Spoilt,
    /// Another member's.
    Foreign,
    /// Others know of a later start than the mark does.
    Old,
}

/// What was found on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    pub mark: Option<Mark>,
    pub disk: Disk,
    /// Members that counted at the end of the last life.
    pub known: Vec<String>,
    pub now: Moment,
    /// The last life still runs beside this one: it hands over.
    pub beside: bool,
}

impl Found {
    /// Of a mark that could be read, for a scheduler of this name.
    pub fn marked(mark: Mark, name: &str, known: Vec<String>, now: Moment) -> Found {
        match mark.name == name {
            true => Found {
                mark: Some(mark),
                disk: Disk::Whole,
                known,
                now,
                beside: false,
            },
            false => Found {
                mark: None,
                disk: Disk::Foreign,
                known: Vec::new(),
                now,
                beside: false,
            },
        }
    }

    /// Time since the last life's last note, where there is one.
    pub fn age(&self) -> Option<Age> {
        self.mark.as_ref().map(|mark| Age::between(&mark.at, &self.now))
    }

    /// Whether the last life, if there was one, stopped as planned.
    pub fn was_clean(&self) -> bool {
        match (&self.mark, self.disk) {
            (Some(mark), Disk::Whole) => mark.clean || self.beside,
            (_, disk) => disk == Disk::Empty,
        }
    }

    /// Whether the machine is known to have run all the while.
    pub fn machine_ran(&self) -> bool {
        matches!(self.age(), Some(Age::Told(_)))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    First,
    Planned,
    CrashOfOne,
    /// Many ended in one span: power, as far as can be told, and workers with it.
    LossOfMany,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Kind::First => "first start",
            Kind::Planned => "planned restart",
            Kind::CrashOfOne => "crash of one",
            Kind::LossOfMany => "loss of many",
        })
    }
}

/// What a start was judged to be, and by what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    pub kind: Kind,
    pub disk: Disk,
    /// Others that answered, of them those that ended with us, and those that were known and did not answer.
    pub answered: usize,
    pub lost: usize,
    pub silent: usize,
    /// Whether some member has been at full service since.
    pub others_full: bool,
    /// The highest of our earlier starts that the mark or anybody knows of.
    pub latest: u64,
    /// Somebody knows of a later note of that very start: the folder is a copy made within it.
    #[serde(default)]
    pub noted_later: bool,
}

/// One member's answer: what it says of itself, and of us.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    pub me: About,
    pub yours: u64,
    /// The latest note of that start that it was told of.
    pub notes: u64,
}

/// Judges a start by what was found and what was `heard`; `silent` members counted before and did not answer.
pub fn judge(found: &Found, heard: &[Heard], silent: usize, up: Duration) -> Verdict {
    let starts = found.mark.as_ref().map_or(0, |mark| mark.starts);
    let latest = heard.iter().map(|h| h.yours).max().unwrap_or(0).max(starts);
    let noted = found.mark.as_ref().map_or(0, |mark| mark.notes);
    let noted_later = latest == starts && heard.iter().any(|h| h.yours == starts && h.notes > noted);
    let later = latest > starts || noted_later;
    let disk = match found.disk {
        Disk::Whole if later => Disk::Old,
        Disk::Empty if later => Disk::Gone,
        as_found => as_found,
    };
    let clean = found.was_clean() && !later;
    // A member lived through our absence if it began before our end; else it began with us.
    let away = match found.age() {
        Some(Age::Told(age) | Age::Claimed(age)) if disk == Disk::Whole => age + SPAN_SLACK,
        Some(_) | None => DEFAULT_SPAN,
    };
    let ended_with_us = |h: &&Heard| !h.me.was_clean && Duration::from_millis(h.me.up_ms) < away + up;
    let lost = heard.iter().filter(ended_with_us).count();
    // After a planned stop the silent may be on their way through the same.
    let missing = if clean { lost } else { lost + silent + 1 };
    let alone = heard.is_empty() && silent == 0;
    let many = missing >= 2 && missing * MANY > heard.len() + silent;
    // What the last start was is not known: it may have been one after a loss.
    let unsettled = found
        .mark
        .as_ref()
        .is_some_and(|mark| !mark.clean && !mark.settled);
    let kind = match clean {
        _ if many => Kind::LossOfMany,
        true if disk == Disk::Empty => Kind::First,
        true => Kind::Planned,
        // Nobody can be asked: what took this machine took the others as well.
        false if alone && !found.machine_ran() => Kind::LossOfMany,
        false if unsettled => Kind::LossOfMany,
        false => Kind::CrashOfOne,
    };
    let others_full = heard.iter().any(|h| h.me.full);
    Verdict {
        kind,
        disk,
        answered: heard.len(),
        lost,
        silent,
        others_full,
        latest,
        noted_later,
    }
}

/// Whether those who answered so far prove that many were lost, whatever the others of `asked` members will say.
pub fn surely_many(found: &Found, heard: &[Heard], asked: usize, up: Duration) -> bool {
    let so_far = judge(found, heard, 0, up);
    let ended = so_far.lost + 1;
    so_far.kind == Kind::LossOfMany && so_far.lost > 0 && !found.was_clean() && ended * MANY > asked
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    fn moment(since_boot: u64, boot: &str) -> Moment {
        Moment {
            wall: S * 1_000_000 + S * since_boot as u32,
            boot: boot.into(),
            since_boot: S * since_boot as u32,
        }
    }

    fn found(clean: bool, away: u64, boot: &str) -> Found {
        let mark = Mark {
            name: "a".into(),
            starts: 4,
            clean,
            settled: true,
            at: moment(1000, "k"),
            ..Mark::default()
        };
        Found::marked(mark, "a", vec!["b".into()], moment(1000 + away, boot))
    }

    fn heard(up: u64, was_clean: bool, yours: u64) -> Heard {
        let me = About {
            starts: 1,
            life: 1,
            up_ms: up * 1000,
            was_clean,
            full: false,
        };
        Heard { me, yours, notes: 0 }
    }

    fn kind(found: &Found, heard: &[Heard], silent: usize) -> (Kind, Disk) {
        let verdict = judge(found, heard, silent, S);
        (verdict.kind, verdict.disk)
    }

    #[test]
    fn each_kind_is_told_by_its_evidence() {
        let long = heard(900, false, 4);
        let new = heard(2, false, 4);
        let crashed = found(false, 3, "k");
        for (what, of, heard, silent, wanted) in [
            (
                "one crashed, others lived on",
                &crashed,
                vec![long.clone(); 4],
                0,
                Kind::CrashOfOne,
            ),
            (
                "all came back with us",
                &crashed,
                vec![new.clone(); 4],
                0,
                Kind::LossOfMany,
            ),
            (
                "one is back, the rest never",
                &crashed,
                vec![],
                4,
                Kind::LossOfMany,
            ),
            (
                "half answer, new ones",
                &crashed,
                vec![new.clone(), new.clone()],
                2,
                Kind::LossOfMany,
            ),
            (
                "two of thirty crash by chance",
                &crashed,
                [vec![long.clone(); 29], vec![new.clone()]].concat(),
                0,
                Kind::CrashOfOne,
            ),
            ("alone, the machine ran on", &crashed, vec![], 0, Kind::CrashOfOne),
            (
                "alone, the machine was off",
                &found(false, 3, "other"),
                vec![],
                0,
                Kind::LossOfMany,
            ),
            (
                "hands over",
                &Found {
                    beside: true,
                    ..found(false, 1, "k")
                },
                vec![],
                0,
                Kind::Planned,
            ),
            (
                "stopped as planned",
                &found(true, 3, "k"),
                vec![long.clone(); 4],
                0,
                Kind::Planned,
            ),
            (
                "all stopped as planned",
                &found(true, 3, "k"),
                vec![heard(2, true, 4); 3],
                1,
                Kind::Planned,
            ),
            (
                "stopped as planned, and power went",
                &found(true, 30, "k"),
                vec![new.clone(); 4],
                0,
                Kind::LossOfMany,
            ),
            // Back after a minute with old news: those who lost power then began after our end.
            (
                "back late",
                &found(false, 60, "k"),
                vec![heard(55, false, 4); 4],
                0,
                Kind::LossOfMany,
            ),
        ] {
            assert_eq!(kind(of, &heard, silent), (wanted, Disk::Whole), "{what}");
        }
    }

    #[test]
    fn a_disk_is_doubted_by_proof_and_not_by_old_news() {
        let whole = found(false, 3, "k");
        assert_eq!(
            kind(&whole, &[heard(900, true, 3)], 0).1,
            Disk::Whole,
            "a member with old news"
        );
        assert_eq!(
            kind(&whole, &[heard(900, true, 5), heard(900, true, 3)], 0).1,
            Disk::Old
        );
        // A copy from before a planned stop is no planned stop.
        assert_eq!(
            kind(&found(true, 3, "k"), &[heard(900, true, 9)], 0),
            (Kind::CrashOfOne, Disk::Old)
        );
        let empty = Found {
            mark: None,
            disk: Disk::Empty,
            known: vec![],
            now: moment(0, "k"),
            beside: false,
        };
        assert_eq!(kind(&empty, &[heard(9, true, 0)], 0), (Kind::First, Disk::Empty));
        assert_eq!(
            kind(&empty, &[heard(900, false, 1)], 0),
            (Kind::CrashOfOne, Disk::Gone)
        );
        assert_eq!(
            kind(&empty, &[heard(5, false, 1), heard(5, false, 0)], 0),
            (Kind::LossOfMany, Disk::Gone)
        );
        let other = Mark {
            name: "b".into(),
            ..Mark::default()
        };
        let foreign = Found::marked(other, "a", vec!["c".into()], moment(0, "k"));
        assert_eq!(
            (foreign.disk, foreign.was_clean(), foreign.known.len()),
            (Disk::Foreign, false, 0)
        );
    }

    #[test]
    fn a_copy_made_within_the_same_start_is_older_than_a_note_that_others_heard_of() {
        let mut copy = found(false, 1, "k");
        copy.mark.as_mut().unwrap().notes = 3;
        for (yours, notes, disk) in [(4, 3, Disk::Whole), (4, 4, Disk::Old), (3, 9, Disk::Whole)] {
            let heard = Heard {
                notes,
                ..heard(900, true, yours)
            };
            let verdict = judge(&copy, &[heard], 0, S);
            assert_eq!(
                (verdict.disk, verdict.noted_later),
                (disk, disk == Disk::Old),
                "{yours} {notes}"
            );
        }
    }

    #[test]
    fn power_lost_again_before_the_start_was_judged_is_a_loss_still() {
        let mut again = found(false, 1, "k");
        again.mark.as_mut().unwrap().settled = false;
        assert_eq!(kind(&again, &[heard(900, true, 4)], 0).0, Kind::LossOfMany);
    }
}
