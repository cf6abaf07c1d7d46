//! What the request table takes from the scheduler's settings: the limits and rules that it enforces itself.
use quartzdrift_scheduler::interface::{Idempotency, RequestClass, Settings};
use std::time::Duration;

/// Health checks and load commands pending at a time; further ones end at once as [`Outcome::AtCapacity`].
///
/// [`Outcome::AtCapacity`]: quartzdrift_scheduler::interface::Outcome::AtCapacity
pub(crate) const MAX_COMMANDS: usize = 1024;
/// Bytes of one of the scheduler's log lines; longer ones are cut.
pub(crate) const MAX_LOG_BYTES: usize = 512;

/// Timeout of a health check or load command where the settings have none.
const DEFAULT_COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests open at a time where the settings have no limit.
const DEFAULT_MAX_OPEN: usize = 20_000;
/// Attempts of a request where the settings have no limit.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// The limits and rules of one request table.
#[derive(Debug)]
pub(crate) struct Limits {
    /// Requests open at a time.
    pub(crate) max_open: usize,
    /// Attempts of one request.
    pub(crate) max_attempts: u32,
    /// The final answer is due this long before the client gives up.
    pub(crate) answer_slack: Duration,
    /// Timeout of health checks and load commands.
    pub(crate) command_timeout: Duration,
    /// Whether a request may have several attempts in flight.
    pub(crate) hedging: bool,
    /// Whether closing an attempt's connection ends its execution.
    pub(crate) cancel: bool,
    /// By request class: whether its requests may run again whatever came of an attempt.
    idempotent_classes: Vec<bool>,
}

impl Limits {
    /// The limits that `settings` state, and the defaults elsewhere.
    pub(crate) fn new(settings: &Settings) -> Limits {
        let is_idempotent = |class: &RequestClass| class.idempotency == Idempotency::Idempotent;
        Limits {
            max_open: settings
                .limits
                .max_open_requests
                .map_or(DEFAULT_MAX_OPEN, |limit| limit as usize),
            max_attempts: settings.limits.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
            answer_slack: settings.rules.response_slack.unwrap_or_default(),
            command_timeout: settings
                .cache
                .load_command_timeout
                .unwrap_or(DEFAULT_COMMAND_TIMEOUT),
            hedging: settings.limits.hedging,
            cancel: settings.limits.cancel,
            idempotent_classes: settings.request_classes.iter().map(is_idempotent).collect(),
        }
    }

    /// Whether requests of a class may run again whatever came of an attempt. Unknown classes may not.
    pub(crate) fn is_idempotent(&self, request_class: u32) -> bool {
        self.idempotent_classes
            .get(request_class as usize)
            .copied()
            .unwrap_or(false)
    }
}
