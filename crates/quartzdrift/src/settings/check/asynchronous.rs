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
    if section.wait > section.longest_wait {
        errors.add_at_key(
            "deferred",
            "wait",
            "the first wait is longer than the longest",
            "make longest_wait no shorter than wait",
        );
    }
    QueueSettings {
        max_attempts: section.tries,
        first_retry_delay: section.wait.0,
        max_retry_delay: section.longest_wait.0,
        max_age: section.greatest_age.0,
        max_invocations: section.requests,
        max_bytes: section.bytes,
        max_concurrent_attempts: section.out,
    }
}

fn check_counts(section: &Asynchronous, errors: &mut ErrorCollector) {
    if section.tries == 0 {
        errors.add_at_key(
            "deferred",
            "tries",
            "no try is allowed at all",
            "write 1 for no further tries",
        );
    }
    if section.out == 0 {
        errors.add_at_key(
            "deferred",
            "out",
            "no deferred job may be out",
            "write a number over 0",
        );
    }
}
