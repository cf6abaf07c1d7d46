//! The decisions about which state is restored after a restart; docs/design-recovery.md has them as a table.
use crate::classification::{RestartClassification, RestartKind};
use serde::{Deserialize, Serialize};

/// A kind of state that may outlast a run of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StateItem {
    /// The last endpoint list, which names the workers.
    Workers,
    /// The other schedulers of the fleet.
    Schedulers,
    /// The used part of the load quotas.
    #[serde(rename = "Rations")]
    LoadQuotas,
    /// The state that forecasts have learned.
    Forecasts,
    /// The idempotency keys that workers remember.
    #[serde(rename = "Fingerprints")]
    IdempotencyKeys,
    /// Asynchronous requests that the store shows as waiting.
    #[serde(rename = "Waiting")]
    WaitingRequests,
    /// Schedules, with triggers that may have been missed.
    #[serde(rename = "Timers")]
    Schedules,
}

impl StateItem {
    /// The name of the value in the table for operators.
    pub fn name(self) -> &'static str {
        match self {
            StateItem::Workers => "Workers",
            StateItem::Schedulers => "Schedulers",
            StateItem::LoadQuotas => "Rations",
            StateItem::Forecasts => "Forecasts",
            StateItem::IdempotencyKeys => "IdempotencyKeys",
            StateItem::WaitingRequests => "Waiting",
            StateItem::Schedules => "Timers",
        }
    }
}

/// The decision whether a state item is restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestoreDecision {
    /// The item is restored as it was.
    #[serde(rename = "Kept")]
    Restore,
    /// The item is restored with reservations: workers count as just started, waiting requests as possibly
    /// executed, and the outage does not count as a time without calls.
    #[serde(rename = "Lessened")]
    RestorePartly,
    /// The item is not used.
    #[serde(rename = "Aside")]
    Discard,
}

impl RestoreDecision {
    /// The name of the value in the table for operators.
    pub fn name(self) -> &'static str {
        match self {
            RestoreDecision::Restore => "Kept",
            RestoreDecision::RestorePartly => "Lessened",
            RestoreDecision::Discard => "Aside",
        }
    }
}

/// The serialized form of a [`RestoreRow`].
type RestoreTriple = (StateItem, RestoreDecision, String);

/// The decision about one state item. Serialized as a triple.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "RestoreTriple", into = "RestoreTriple")]
pub struct RestoreRow {
    /// The state item.
    pub item: StateItem,
    /// The decision about the item.
    pub decision: RestoreDecision,
    /// The reason for the decision, for operators.
    pub reason: String,
}

impl RestoreRow {
    fn new(item: StateItem, decision: RestoreDecision, reason: &str) -> RestoreRow {
        RestoreRow {
            item,
            decision,
            reason: reason.to_owned(),
        }
    }
}

impl From<RestoreTriple> for RestoreRow {
    fn from((item, decision, reason): RestoreTriple) -> RestoreRow {
        RestoreRow {
            item,
            decision,
            reason,
        }
    }
}

impl From<RestoreRow> for RestoreTriple {
    fn from(row: RestoreRow) -> RestoreTriple {
        (row.item, row.decision, row.reason)
    }
}

/// Whether workers still detect repeats of requests from before the restart. `keys_on_disk`: the idempotency
/// keys that workers remember survive a loss of power. Requests with an idempotency key are sent again only
/// if repeats are detected, so that none takes effect twice.
pub fn repeats_are_detected(classification: &RestartClassification, keys_on_disk: bool) -> bool {
    keys_on_disk || classification.kind != RestartKind::MassFailure
}

/// Whether an asynchronous request that the store shows as waiting may already have executed. This holds if
/// there was a start or a checkpoint later than `store_start`, the start that last opened the store: the
/// store is then an older copy. If `store_start` is `None`, an earlier release wrote the store, and the
/// result is false. Waiting requests that may have executed are executed only if executing them twice is
/// allowed, so that none takes effect twice.
pub fn waiting_requests_may_have_run(
    classification: &RestartClassification,
    store_start: Option<u64>,
) -> bool {
    let latest = classification.latest_start;
    store_start
        .is_some_and(|start| start < latest || classification.later_checkpoint_known && start == latest)
}

/// The decisions after a restart, in the order of [`StateItem`]. [`repeats_are_detected`] and
/// [`waiting_requests_may_have_run`] explain the parameters.
pub fn restore_decisions(
    classification: &RestartClassification,
    keys_on_disk: bool,
    store_start: Option<u64>,
) -> Vec<RestoreRow> {
    let is_readable = classification.disk.is_readable();
    let if_readable = |decision| {
        if is_readable {
            decision
        } else {
            RestoreDecision::Discard
        }
    };
    vec![
        workers_row(classification.kind, if_readable),
        RestoreRow::new(
            StateItem::Schedulers,
            if_readable(RestoreDecision::Restore),
            "those that are not back count until they were silent for long enough",
        ),
        RestoreRow::new(
            StateItem::LoadQuotas,
            RestoreDecision::Discard,
            "no load ahead within the ration's window of the last life",
        ),
        RestoreRow::new(
            StateItem::Forecasts,
            if_readable(RestoreDecision::RestorePartly),
            "the outage is no evidence that nobody calls",
        ),
        idempotency_keys_row(repeats_are_detected(classification, keys_on_disk)),
        waiting_requests_row(waiting_requests_may_have_run(classification, store_start)),
        RestoreRow::new(
            StateItem::Schedules,
            if_readable(RestoreDecision::Restore),
            "firings missed since the last note are treated by each timer's setting",
        ),
    ]
}

fn workers_row(kind: RestartKind, if_readable: impl Fn(RestoreDecision) -> RestoreDecision) -> RestoreRow {
    match kind {
        RestartKind::MassFailure => RestoreRow::new(
            StateItem::Workers,
            if_readable(RestoreDecision::RestorePartly),
            "workers lost power: cold and empty until a list tells more",
        ),
        RestartKind::FirstStart | RestartKind::Planned | RestartKind::SingleCrash => RestoreRow::new(
            StateItem::Workers,
            if_readable(RestoreDecision::Restore),
            "until a list comes",
        ),
    }
}

fn idempotency_keys_row(repeats_are_detected: bool) -> RestoreRow {
    if repeats_are_detected {
        RestoreRow::new(
            StateItem::IdempotencyKeys,
            RestoreDecision::Restore,
            "workers ran on, or keep fingerprints on disk",
        )
    } else {
        RestoreRow::new(
            StateItem::IdempotencyKeys,
            RestoreDecision::Discard,
            "workers lost power and with it what they had run",
        )
    }
}

fn waiting_requests_row(may_have_run: bool) -> RestoreRow {
    if may_have_run {
        RestoreRow::new(
            StateItem::WaitingRequests,
            RestoreDecision::RestorePartly,
            "only restartable jobs run: the store is older than what ran",
        )
    } else {
        RestoreRow::new(
            StateItem::WaitingRequests,
            RestoreDecision::Restore,
            "the store is the last one",
        )
    }
}

#[cfg(test)]
mod tests;
