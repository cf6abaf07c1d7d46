//! The table `[deferred]` and the array `[[timers]]`: the asynchronous queue, and the schedules that submit
//! invocations to it.
use super::duration::HumanDuration;
use super::functions::DestinationEntry;
use serde::Deserialize;
use std::time::Duration;

/// The table `[deferred]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Asynchronous {
    /// Maximum number of attempts for an invocation, including the first.
    #[serde(rename = "tries")]
    pub(crate) max_attempts: u32,
    /// Delay before the second attempt; doubled for each further attempt.
    #[serde(rename = "wait")]
    pub(crate) first_retry_delay: HumanDuration,
    /// Upper limit of the delay between two attempts.
    #[serde(rename = "longest_wait")]
    pub(crate) max_retry_delay: HumanDuration,
    /// Maximum time from the acceptance of an invocation to its last attempt.
    #[serde(rename = "greatest_age")]
    pub(crate) max_age: HumanDuration,
    /// Maximum number of invocations in the queue.
    #[serde(rename = "jobs")]
    pub(crate) max_invocations: usize,
    /// Maximum size of the queue, in bytes.
    #[serde(rename = "bytes")]
    pub(crate) max_bytes: usize,
    /// Maximum number of attempts in flight at a time.
    #[serde(rename = "out")]
    pub(crate) max_concurrent_attempts: usize,
    /// Default destination of events about succeeded invocations.
    pub(crate) on_success: Option<DestinationEntry>,
    /// Default destination of events about failed invocations.
    pub(crate) on_failure: Option<DestinationEntry>,
    /// Folder of the write-ahead log; without it, a stop of the process loses all queued invocations.
    pub(crate) store: Option<String>,
    /// When the response "accepted" is sent.
    pub(crate) answer: Answer,
}

impl Default for Asynchronous {
    fn default() -> Asynchronous {
        Asynchronous {
            max_attempts: 3,
            first_retry_delay: HumanDuration(Duration::from_secs(1)),
            max_retry_delay: HumanDuration(Duration::from_secs(300)),
            max_age: HumanDuration(Duration::from_secs(6 * 3600)),
            max_invocations: 100_000,
            max_bytes: 256 << 20,
            max_concurrent_attempts: 256,
            on_success: None,
            on_failure: None,
            store: None,
            answer: Answer::Durable,
        }
    }
}

/// When the response "accepted" to an asynchronous request is sent.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Answer {
    /// After the request is on disk.
    #[default]
    Durable,
    /// Immediately; a crash within the next few milliseconds may lose the request.
    Early,
}

/// An entry of `[[timers]]`: a schedule that submits asynchronous invocations of one function.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Timer {
    pub(crate) name: String,
    pub(crate) function: String,
    /// Cron expression, evaluated in the time zone `zone`.
    pub(crate) cron: String,
    /// IANA name of a time zone.
    #[serde(default = "default_zone")]
    pub(crate) zone: String,
    /// Maximum random delay of each trigger.
    pub(crate) jitter: Option<HumanDuration>,
    #[serde(default)]
    pub(crate) missed: Missed,
    /// Whether a trigger fires while an earlier invocation has not completed.
    #[serde(default)]
    pub(crate) overlap: bool,
    #[serde(default)]
    pub(crate) payload: String,
}

/// Misfire policy: how triggers that were due while no gateway ran are handled.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Missed {
    #[default]
    Skip,
    Once,
    All,
}

fn default_zone() -> String {
    "UTC".to_owned()
}
