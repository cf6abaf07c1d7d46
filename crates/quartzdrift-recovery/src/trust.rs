//! What of each thing kept is believed after a start. The same table, in words, is in docs/design-recovery.md.
use crate::start::{Disk, Kind, Verdict};
use serde::{Deserialize, Serialize};

/// What outlasts a scheduler, or seems to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Thing {
    Workers,
    Schedulers,
    Rations,
    Forecasts,
    #[serde(rename = "Fingerprints")]
    IdempotencyKeys,
    Waiting,
    Timers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Belief {
    /// As it was kept.
    Kept,
    /// As it was kept, with less taken for granted: workers as just started, an outage as no news.
    Lessened,
    /// Not at all.
    Aside,
}

/// Whether workers still know repeats of requests from before. `on_disk`: the settings say that their memory of idempotency keys
/// outlasts a loss of power. Guards "no effect twice".
pub fn repeats_known(verdict: &Verdict, on_disk: bool) -> bool {
    on_disk || verdict.kind != Kind::LossOfMany
}

/// Whether an asynchronous request that the store shows as waiting may have run all the same: the store was last opened by the start
/// numbered `store`, and there was a later one. `None`: an earlier release wrote it. Guards "no effect twice".
pub fn waiting_in_doubt(verdict: &Verdict, store: Option<u64>) -> bool {
    store.is_some_and(|starts| starts < verdict.latest || verdict.noted_later && starts == verdict.latest)
}

/// The table for one start, for whoever looks at it.
pub fn beliefs(verdict: &Verdict, on_disk: bool, store: Option<u64>) -> [(Thing, Belief, &'static str); 7] {
    use Belief::{Aside, Kept, Lessened};
    let lost = verdict.kind == Kind::LossOfMany;
    let readable = !matches!(
        verdict.disk,
        Disk::Spoilt | Disk::Foreign | Disk::Empty | Disk::Gone
    );
    let kept = if readable { Kept } else { Aside };
    let lessened = if readable { Lessened } else { Aside };
    let row = |thing, belief, why| (thing, belief, why);
    [
        match lost {
            true => row(
                Thing::Workers,
                lessened,
                "workers lost power: cold and empty until a list tells more",
            ),
            false => row(Thing::Workers, kept, "until a list comes"),
        },
        row(
            Thing::Schedulers,
            kept,
            "those that are not back count until they were silent for long enough",
        ),
        row(
            Thing::Rations,
            Aside,
            "no load ahead within the ration's window of the last life",
        ),
        row(
            Thing::Forecasts,
            lessened,
            "the outage is no evidence that nobody calls",
        ),
        match repeats_known(verdict, on_disk) {
            true => row(
                Thing::IdempotencyKeys,
                Kept,
                "workers ran on, or keep fingerprints on disk",
            ),
            false => row(
                Thing::IdempotencyKeys,
                Aside,
                "workers lost power and with it what they had run",
            ),
        },
        match waiting_in_doubt(verdict, store) {
            true => row(
                Thing::Waiting,
                Lessened,
                "only restartable jobs run: the store is older than what ran",
            ),
            false => row(Thing::Waiting, Kept, "the store is the last one"),
        },
        row(
            Thing::Timers,
            kept,
            "firings missed since the last note are treated by each timer's setting",
        ),
    ]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_power_took_is_not_believed_and_an_older_store_is_doubted() {
        let within = Verdict {
            kind: Kind::LossOfMany,
            disk: Disk::Old,
            answered: 1,
            lost: 1,
            silent: 0,
            others_full: false,
            latest: 4,
            noted_later: true,
        };
        assert!(
            waiting_in_doubt(&within, Some(4)),
            "a copy made within the same start"
        );
        for kind in [Kind::First, Kind::Planned, Kind::CrashOfOne, Kind::LossOfMany] {
            let (answered, lost, silent, others_full) = (0, 0, 0, false);
            let (disk, noted_later) = (Disk::Whole, false);
            let verdict = Verdict {
                kind,
                disk,
                answered,
                lost,
                silent,
                others_full,
                latest: 4,
                noted_later,
            };
            let many = kind == Kind::LossOfMany;
            assert_eq!(
                (repeats_known(&verdict, false), repeats_known(&verdict, true)),
                (!many, true)
            );
            for (store, doubted) in [(None, false), (Some(3), true), (Some(4), false), (Some(5), false)] {
                assert_eq!(waiting_in_doubt(&verdict, store), doubted);
                let rows = beliefs(&verdict, false, store);
                let belief = |of| {
                    rows.iter()
                        .find(|(thing, ..)| *thing == of)
                        .map(|(_, belief, _)| *belief)
                };
                assert_eq!(
                    belief(Thing::Workers),
                    Some(if many { Belief::Lessened } else { Belief::Kept })
                );
                assert_eq!(
                    belief(Thing::IdempotencyKeys),
                    Some(if many { Belief::Aside } else { Belief::Kept })
                );
                assert_eq!(
                    belief(Thing::Waiting),
                    Some(if doubted { Belief::Lessened } else { Belief::Kept })
                );
            }
        }
    }
}
