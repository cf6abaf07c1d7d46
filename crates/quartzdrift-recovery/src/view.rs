//! The state of a recovery for operators: written as JSON while the scheduler runs, and printed by
//! `quartzdrift recovery`.
use crate::admission_ramp::RampView;
use crate::classification::RestartClassification;
use crate::phase::RecoveryPhase;
use crate::restore_policy::RestoreRow;
use serde::{Deserialize, Serialize};

/// The state of a recovery at one time. The serialized names are those of earlier releases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecoveryView {
    /// The number of starts of the scheduler so far, this one included.
    pub starts: u64,
    /// The current phase.
    #[serde(rename = "stage")]
    pub phase: RecoveryPhase,
    /// Seconds since the current phase began.
    #[serde(rename = "stage_for")]
    pub phase_seconds: u64,
    /// Seconds since this start.
    #[serde(rename = "up")]
    pub up_seconds: u64,
    /// The classification of the restart; `None` until it is classified.
    #[serde(rename = "verdict")]
    pub classification: Option<RestartClassification>,
    /// The decisions about restored state; empty until the restart is classified.
    #[serde(rename = "beliefs")]
    pub restore_decisions: Vec<RestoreRow>,
    /// The names of members whose status responses are awaited.
    pub waits_for: Vec<String>,
    /// The limit of asynchronous requests in flight; `None` except while the backlog drains.
    #[serde(rename = "backlog")]
    pub async_limit: Option<usize>,
    /// The state of the admission ramp; `None` unless it limits loads of functions.
    #[serde(default, rename = "pace")]
    pub ramp: Option<RampView>,
}

impl RecoveryView {
    /// The state as the text that operators read, with the terms of earlier releases.
    pub fn table(&self) -> String {
        let mut text = format!(
            "stage {} for {} s, start {}, up {} s\n",
            self.phase, self.phase_seconds, self.starts, self.up_seconds
        );
        if let Some(classification) = &self.classification {
            text.push_str(&classification_line(classification));
        }
        for row in &self.restore_decisions {
            let item = row.item.name();
            let decision = row.decision.name();
            text.push_str(&format!("{item:<13} {decision:<9} {}\n", row.reason));
        }
        if !self.waits_for.is_empty() {
            let members = self.waits_for.join(", ");
            text.push_str(&format!("waits for answers of {members}\n"));
        }
        if let Some(limit) = self.async_limit {
            text.push_str(&format!("deferred jobs that may be out at a time: {limit}\n"));
        }
        if let Some(ramp) = &self.ramp {
            text.push_str(&ramp_line(ramp));
        }
        text
    }
}

fn classification_line(classification: &RestartClassification) -> String {
    let RestartClassification {
        kind,
        disk,
        answered,
        lost,
        silent,
        ..
    } = classification;
    format!(
        "{kind}: {answered} others answered, {lost} of them ended with us, {silent} did not answer; disk {disk}\n"
    )
}

fn ramp_line(ramp: &RampView) -> String {
    let RampView {
        cached,
        loading,
        limit,
    } = ramp;
    format!(
        "copies return: {cached} functions stand, {loading} are tried; {limit:.2} of our own tries at a time\n"
    )
}

#[cfg(test)]
mod tests;
