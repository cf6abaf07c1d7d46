//! Checks of `[recovery]`, and its conversion.
use super::collector::ErrorCollector;
use crate::settings::Recovery;
use crate::settings::raw::{File, Idempotency, IdempotencyKeysIn};

/// Checks the times of the recovery, and that idempotency keys on disk are set only if a request class uses
/// idempotency keys.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    let section = &raw.recovery;
    if section.ask.0.is_zero() || section.longest.0 < section.ask.0 {
        errors.add_at_table(
            "recovery",
            format!(
                "ask ({:?}) is zero or longer than longest ({:?})",
                section.ask.0, section.longest.0
            ),
            "write an ask above zero, and a longest of at least ask",
        );
    }
    let has_keys = raw
        .request_classes
        .iter()
        .any(|class| class.get_ref().idempotency == Idempotency::IdempotentWithKey);
    if section.idempotency_keys == IdempotencyKeysIn::Disk && !has_keys {
        errors.add_at_table(
            "recovery",
            "fingerprints = \"disk\" has no effect: no workload has effect = \"fingerprinted\"",
            "remove fingerprints, or correct the effect of the workloads that use idempotency keys",
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
