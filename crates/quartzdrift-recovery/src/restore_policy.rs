//! Which state is restored after a restart. The same table, in words, is in docs/design-recovery.md.
use crate::classification::{RestartClassification, RestartKind};
use serde::{Deserialize, Serialize};

/// State that outlasts a scheduler, or seems to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StateItem {
    /// The last list of workers.
    Workers,
    /// Other members of the fleet.
    Schedulers,
    /// How much of the load quotas was used.
    #[serde(rename = "Rations")]
    LoadQuotas,
    /// What forecasts have learnt.
    Forecasts,
    /// The idempotency keys that workers remember.
    #[serde(rename = "Fingerprints")]
    IdempotencyKeys,
    /// Asynchronous requests that the store shows as waiting.
    #[serde(rename = "Waiting")]
    WaitingRequests,
    /// Schedules that triggers may have been missed of.
    #[serde(rename = "Timers")]
    Schedules,
}

impl StateItem {
    /// As operators read it.
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

/// What becomes of a state item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestoreDecision {
    /// It is restored as it was.
    #[serde(rename = "Kept")]
    Restore,
    /// It is restored with less taken for granted: workers as just started, an outage as no evidence.
    #[serde(rename = "Lessened")]
    RestorePartly,
    /// It is not used.
    #[serde(rename = "Aside")]
    Discard,
}

impl RestoreDecision {
    /// As operators read it.
    pub fn name(self) -> &'static str {
        match self {
            RestoreDecision::Restore => "Kept",
            RestoreDecision::RestorePartly => "Lessened",
            RestoreDecision::Discard => "Aside",
        }
    }
}

/// How a [`RestoreRow`] is serialized.
type RestoreTriple = (StateItem, RestoreDecision, String);

/// The decision about one state item. Serialized as a triple.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "RestoreTriple", into = "RestoreTriple")]
pub struct RestoreRow {
    /// The state item.
    pub item: StateItem,
    /// What becomes of it.
    pub decision: RestoreDecision,
    /// Why, for operators.
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

/// Whether workers still detect repeats of requests from before the restart; `keys_on_disk`: their idempotency keys survive
/// a loss of power. Guards "no effect twice".
pub fn repeats_are_detected(classification: &RestartClassification, keys_on_disk: bool) -> bool {
    keys_on_disk || classification.kind != RestartKind::MassFailure
}

/// Whether an asynchronous request that the store shows as waiting may have executed: there was a later start or checkpoint
/// than `store_start`, the start that last opened the store. `None`: an earlier release wrote it. Guards "no effect twice".
pub fn waiting_requests_may_have_run(
    classification: &RestartClassification,
    store_start: Option<u64>,
) -> bool {
    let latest = classification.latest_start;
    store_start
        .is_some_and(|start| start < latest || classification.later_checkpoint_known && start == latest)
}

/// The decisions after a restart, in the order of [`StateItem`]; see [`repeats_are_detected`] and
/// [`waiting_requests_may_have_run`] for the parameters.
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
        workers(classification.kind, if_readable),
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
        idempotency_keys(repeats_are_detected(classification, keys_on_disk)),
        waiting_requests(waiting_requests_may_have_run(classification, store_start)),
        RestoreRow::new(
            StateItem::Schedules,
            if_readable(RestoreDecision::Restore),
            "firings missed since the last note are treated by each timer's setting",
        ),
    ]
}

fn workers(kind: RestartKind, if_readable: impl Fn(RestoreDecision) -> RestoreDecision) -> RestoreRow {
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

fn idempotency_keys(repeats_are_detected: bool) -> RestoreRow {
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

fn waiting_requests(may_have_run: bool) -> RestoreRow {
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
