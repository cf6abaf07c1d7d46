//! The table `[deferred]` and the array `[[timers]]`: the asynchronous queue, and schedules that fill it.
use super::duration::HumanDuration;
use super::functions::DestinationEntry;
use serde::Deserialize;
use std::time::Duration;

/// The table `[deferred]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Asynchronous {
    /// Maximum attempts, the first included.
    #[serde(rename = "tries")]
    pub(crate) max_attempts: u32,
    /// Delay before the second attempt; doubles with each further one.
    #[serde(rename = "wait")]
    pub(crate) first_retry_delay: HumanDuration,
    /// Maximum delay before a further attempt.
    #[serde(rename = "longest_wait")]
    pub(crate) max_retry_delay: HumanDuration,
    /// Maximum time from acceptance to the last attempt.
    #[serde(rename = "greatest_age")]
    pub(crate) max_age: HumanDuration,
    /// Maximum number of invocations held.
    #[serde(rename = "jobs")]
    pub(crate) max_invocations: usize,
    /// Maximum bytes held.
    #[serde(rename = "bytes")]
    pub(crate) max_bytes: usize,
    /// Maximum attempts at a time.
    #[serde(rename = "out")]
    pub(crate) max_concurrent_attempts: usize,
    pub(crate) on_success: Option<DestinationEntry>,
    pub(crate) on_failure: Option<DestinationEntry>,
    /// Folder of the write-ahead log; `None`: requests are lost with the process.
    pub(crate) store: Option<String>,
    /// When a request is answered as accepted.
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

/// When an asynchronous request is answered as accepted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Answer {
    /// Once it is on the disk.
    #[default]
    Durable,
    /// At once: a crash within some milliseconds may lose it.
    Early,
}

/// An entry of `[[timers]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Timer {
    pub(crate) name: String,
    pub(crate) function: String,
    pub(crate) cron: String,
    #[serde(default = "default_zone")]
    pub(crate) zone: String,
    pub(crate) jitter: Option<HumanDuration>,
    #[serde(default)]
    pub(crate) missed: Missed,
    #[serde(default)]
    pub(crate) overlap: bool,
    #[serde(default)]
    pub(crate) payload: String,
}

/// What becomes of triggers that were missed while the gateway was down.
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
