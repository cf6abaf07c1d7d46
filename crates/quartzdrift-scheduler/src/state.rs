//! State of the scheduler that decides nothing by itself: the settings as decisions use them, and open requests.
use crate::messages::Status;
use std::time::Duration;

/// The settings, turned once into the figures that decisions use.
#[derive(Default)]
pub(crate) struct Figures {
    pub(crate) seed: u64,
    pub(crate) keep: Duration,
    pub(crate) cold_from: f64,
    pub(crate) cold_for: Duration,
    /// Half the window of the cold rule, never nothing.
    pub(crate) cold_half: Duration,
    /// Work that a worker may be sent in a window, in multiples of what it can do in it.
    pub(crate) cold_budget: f64,
    pub(crate) max_attempts: u32,
    pub(crate) cancel: bool,
    pub(crate) asks: bool,
    pub(crate) ask_again: Duration,
    pub(crate) schedulers: f64,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) held_field: Option<usize>,
    pub(crate) memory_field: Option<usize>,
    /// Load orders: whether they may be given, and how many in each window.
    pub(crate) load_commands: bool,
    pub(crate) load_quota_burst: f64,
    pub(crate) load_quota_share: f64,
    /// Points for a fetch from the store, and for all memory held idle.
    pub(crate) fetch_price: f64,
    pub(crate) memory_price: f64,
    pub(crate) memory_mb: Vec<f64>,
    /// What is reported is a count of requests, not how busy a worker is.
    pub(crate) counts: bool,
    pub(crate) reports_cache_status: bool,
    pub(crate) by_work: bool,
    /// Reports count requests, and several tenants share the workers.
    pub(crate) shared: bool,
}

/// A request that has not had its final answer.
#[derive(Default)]
pub(crate) struct OpenRequest {
    pub(crate) request_class: usize,
    pub(crate) tenant: u32,
    pub(crate) function: usize,
    /// Of a loaded copy, two at most: more share the cores.
    pub(crate) concurrency_slots: f64,
    pub(crate) give_up: Duration,
    pub(crate) attempts: u32,
    /// The worker of the first attempt that may have run, and when it was sent.
    pub(crate) may_have_run: Option<(usize, Duration)>,
    /// Cache status and time of the attempt that is out.
    pub(crate) current: Option<(Status, Duration)>,
    pub(crate) tried: Vec<usize>,
    pub(crate) fulls: u32,
}
