//! Checks of `[recovery]`.
use super::collector::ErrorCollector;
use crate::settings::Recovery;
use crate::settings::raw::{File, Idempotency, IdempotencyKeysIn};

/// The times must leave room for answers, and stored idempotency keys need a request class that has them.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    let section = &raw.recovery;
    if section.ask.0.is_zero() || section.longest.0 < section.ask.0 {
        errors.add_at_table(
            "recovery",
            "others have no time to answer",
            "write ask over nothing, and longest no shorter than it",
        );
    }
    let has_keys = raw
        .request_classes
        .iter()
        .any(|class| class.get_ref().idempotency == Idempotency::IdempotentWithKey);
    if section.idempotency_keys == IdempotencyKeysIn::Disk && !has_keys {
        errors.add_at_table(
            "recovery",
            "workers are said to keep fingerprints, and no workload has any",
            "take fingerprints = \"disk\" out, or tell the workload whose effect is \"fingerprinted\"",
        );
    }
}

/// Converts the table.
pub(super) fn settings(raw: &File) -> Recovery {
    Recovery {
        classification_timeout: raw.recovery.ask.0,
        max_duration: raw.recovery.longest.0,
        idempotency_keys_on_disk: raw.recovery.idempotency_keys == IdempotencyKeysIn::Disk,
        admission_ramp: raw.recovery.pace,
    }
}
