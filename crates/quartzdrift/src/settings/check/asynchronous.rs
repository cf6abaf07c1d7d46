//! Checks of `[deferred]`.
use super::collector::ErrorCollector;
use crate::settings::raw::{Answer, Asynchronous, File};
use quartzdrift_async_queue::QueueSettings;

/// Checks the table and converts it to the queue's settings.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) -> QueueSettings {
    let section = &raw.asynchronous;
    check_counts(section, errors);
    if section.store.is_none() && section.answer == Answer::Early {
        errors.add_at_key(
            "deferred",
            "answer",
            "answer says nothing without a store",
            "name a folder in store, or leave answer out",
        );
    }
    if section.first_retry_delay > section.max_retry_delay {
        errors.add_at_key(
            "deferred",
            "wait",
            "the first wait is longer than the longest",
            "make longest_wait no shorter than wait",
        );
    }
    QueueSettings {
        max_attempts: section.max_attempts,
        first_retry_delay: section.first_retry_delay.0,
        max_retry_delay: section.max_retry_delay.0,
        max_age: section.max_age.0,
        max_invocations: section.max_invocations,
        max_bytes: section.max_bytes,
        max_concurrent_attempts: section.max_concurrent_attempts,
    }
}

fn check_counts(section: &Asynchronous, errors: &mut ErrorCollector) {
    if section.max_attempts == 0 {
        errors.add_at_key(
            "deferred",
            "tries",
            "no try is allowed at all",
            "write 1 for no further tries",
        );
    }
    if section.max_concurrent_attempts == 0 {
        errors.add_at_key(
            "deferred",
            "out",
            "no deferred job may be out",
            "write a number over 0",
        );
    }
}
