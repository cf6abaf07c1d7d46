//! Checks of `[deferred]`, the asynchronous queue.
use super::collector::ErrorCollector;
use crate::settings::raw::{Answer, Asynchronous, File};
use quartzdrift_async_queue::QueueSettings;

/// Checks the table and converts it to the settings of the asynchronous queue.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) -> QueueSettings {
    let section = &raw.asynchronous;
    check_counts(section, errors);
    if section.store.is_none() && section.answer == Answer::Early {
        errors.add_at_key(
            "deferred",
            "answer",
            "answer = \"early\" has no effect without store",
            "set store to a folder, or remove answer",
        );
    }
    if section.first_retry_delay > section.max_retry_delay {
        errors.add_at_key(
            "deferred",
            "wait",
            format!(
                "wait ({:?}) is longer than longest_wait ({:?})",
                section.first_retry_delay.0, section.max_retry_delay.0
            ),
            "make longest_wait at least as long as wait",
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
            "tries is 0, the minimum is 1",
            "write 1 for a single attempt without retries",
        );
    }
    if section.max_concurrent_attempts == 0 {
        errors.add_at_key(
            "deferred",
            "out",
            "out is 0, the minimum is 1",
            "write the maximum number of concurrent attempts, at least 1",
        );
    }
}
