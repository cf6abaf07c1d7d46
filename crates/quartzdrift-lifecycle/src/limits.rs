//! Limits and rules that the request table enforces itself, taken from the scheduler's settings.
use quartzdrift_scheduler::interface::{Idempotency, RequestClass, Settings};
use std::time::Duration;

/// Maximum number of pending health checks and load commands. A further command ends at once as
/// [`Outcome::AtCapacity`].
///
/// [`Outcome::AtCapacity`]: quartzdrift_scheduler::interface::Outcome::AtCapacity
pub(crate) const MAX_COMMANDS: usize = 1024;
/// Maximum length in bytes of a log text from the scheduler; a longer text is cut.
pub(crate) const MAX_LOG_BYTES: usize = 512;

/// Timeout of a health check or load command if the settings have none.
const DEFAULT_COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of open requests if the settings have no limit.
const DEFAULT_MAX_OPEN_REQUESTS: usize = 20_000;
/// Maximum number of attempts of one request if the settings have no limit.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// Limits and rules of one request table.
#[derive(Debug)]
pub(crate) struct Limits {
    /// Maximum number of open requests.
    pub(crate) max_open_requests: usize,
    /// Maximum number of attempts of one request.
    pub(crate) max_attempts: u32,
    /// Time between the deadline for the final response and the client's own timeout.
    pub(crate) response_slack: Duration,
    /// Timeout of health checks and load commands.
    pub(crate) command_timeout: Duration,
    /// Whether a request may have several attempts in flight.
    pub(crate) allows_hedging: bool,
    /// Whether closing an attempt's connection stops its execution.
    pub(crate) allows_cancellation: bool,
    /// For each request class, whether its requests may execute several times.
    idempotent_classes: Vec<bool>,
}

impl Limits {
    /// Reads the limits from `settings`, with defaults for those that are not configured.
    pub(crate) fn new(settings: &Settings) -> Limits {
        let is_idempotent = |class: &RequestClass| class.idempotency == Idempotency::Idempotent;
        Limits {
            max_open_requests: settings
                .limits
                .max_open_requests
                .map_or(DEFAULT_MAX_OPEN_REQUESTS, |limit| limit as usize),
            max_attempts: settings.limits.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
            response_slack: settings.rules.response_slack.unwrap_or_default(),
            command_timeout: settings
                .cache
                .load_command_timeout
                .unwrap_or(DEFAULT_COMMAND_TIMEOUT),
            allows_hedging: settings.limits.hedging,
            allows_cancellation: settings.limits.cancel,
            idempotent_classes: settings.request_classes.iter().map(is_idempotent).collect(),
        }
    }

    /// Whether requests of a class may execute several times; `false` for an unknown class.
    pub(crate) fn is_idempotent(&self, request_class: u32) -> bool {
        self.idempotent_classes
            .get(request_class as usize)
            .copied()
            .unwrap_or(false)
    }
}
