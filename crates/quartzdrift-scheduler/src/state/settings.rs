//! Settings in the form that the scheduling decisions use.
use crate::interface::{DiscoveryMode, PriorityUnit, ReportField, Settings};
use std::time::Duration;

/// Settings in the form that the scheduling decisions use. Prices are in points of the goal.
#[derive(Default)]
pub(crate) struct DerivedSettings {
    pub(crate) seed: u64,
    pub(crate) keep_alive: Duration,
    /// Share of its full capacity that a worker has when its process starts, from 0 to 1.
    pub(crate) slow_start_min_capacity: f64,
    pub(crate) slow_start_duration: Duration,
    /// Lease of the endpoint list after its last confirmation; `None`: no end.
    pub(crate) endpoint_lease: Option<Duration>,
    /// Time during which a draining worker may still receive commands.
    pub(crate) drain_grace: Duration,
    /// Half of the overload window, in which the slow-start budget is counted; never zero.
    pub(crate) slow_start_half_window: Duration,
    /// Work that a worker may receive in a window, as a multiple of its capacity in the same window.
    pub(crate) slow_start_budget: f64,
    pub(crate) max_attempts: u32,
    pub(crate) can_cancel: bool,
    /// Discovery sends changes of the endpoint list only to schedulers that watch it.
    pub(crate) must_watch_endpoints: bool,
    pub(crate) watch_retry_delay: Duration,
    /// Number of schedulers that share the workers, including this one.
    pub(crate) scheduler_count: f64,
    /// This scheduler's share of each worker; zero if the number of schedulers is unknown.
    pub(crate) worker_share: f64,
    /// Longest retry time that a rejection may carry; `None`: rejections carry no retry time.
    pub(crate) max_retry_after: Option<Duration>,
    /// Position of the load in a load report; `None`: not reported.
    pub(crate) load_field_index: Option<usize>,
    /// Position of the unreclaimable memory in a load report; `None`: not reported.
    pub(crate) memory_field_index: Option<usize>,
    pub(crate) allows_load_commands: bool,
    /// Load commands per window of the load quota that are allowed independently of the number of requests.
    pub(crate) load_quota_burst: f64,
    /// Additional load commands per request in the window of the load quota.
    pub(crate) load_quota_share: f64,
    /// Price of a fetch from the origin store.
    pub(crate) origin_fetch_price: f64,
    /// Price of filling all workers' memory with idle copies.
    pub(crate) idle_memory_price: f64,
    pub(crate) memory_mb_by_kind: Vec<f64>,
    /// Load reports contain a number of requests; otherwise they contain the share of busy cores, if
    /// anything.
    pub(crate) reports_count_requests: bool,
    pub(crate) reports_cache_status: bool,
    /// Priority weights apply to each unit of work instead of each request.
    pub(crate) priority_counts_work: bool,
    /// Several tenants share the workers, and load reports contain a number of requests.
    pub(crate) tenants_share_workers: bool,
}

impl DerivedSettings {
    /// Copies the settings that need no tuning, with the neutral value for those that are not configured.
    /// Fields with a tuned default are left at zero for [`Scheduler::new`](super::Scheduler::new) to set.
    pub(crate) fn from_configured(settings: &Settings, seed: u64) -> DerivedSettings {
        let copies = &settings.cache;
        let quota_window = copies.load_quota_window.filter(|window| !window.is_zero());
        let is_memory = |field: &ReportField| *field == ReportField::UnreclaimableMemory;
        let mut derived = DerivedSettings {
            seed,
            slow_start_min_capacity: settings.rules.slow_start_min_capacity.unwrap_or(0.0).clamp(0.0, 1.0),
            max_attempts: settings.limits.max_attempts.unwrap_or(1),
            memory_field_index: settings.report_fields.iter().position(is_memory),
            load_quota_burst: quota_window.map_or(f64::INFINITY, |_| copies.load_quota_burst.unwrap_or(0.0)),
            load_quota_share: copies.load_quota_share.unwrap_or(0.0),
            slow_start_duration: settings.rules.slow_start_duration.unwrap_or_default(),
            endpoint_lease: settings.rules.endpoint_lease,
            drain_grace: settings.rules.drain_grace.unwrap_or_default(),
            can_cancel: settings.limits.cancel,
            must_watch_endpoints: settings.discovery_mode == DiscoveryMode::Poll,
            allows_load_commands: copies.load_commands,
            origin_fetch_price: settings.prices.origin_fetch,
            idle_memory_price: copies.idle_memory_price.unwrap_or(0.0),
            memory_mb_by_kind: copies.memory_mb_by_kind.clone(),
            reports_cache_status: copies.reports_cache_status,
            priority_counts_work: settings.priority_unit == PriorityUnit::Work,
            ..DerivedSettings::default()
        };
        derived.scheduler_count = 1.0;
        if let Some(count) = settings.scheduler_count {
            derived.set_schedulers(count);
        }
        derived
    }

    /// Sets the number of schedulers that share the workers, including this one.
    pub(crate) fn set_schedulers(&mut self, count: u32) {
        self.scheduler_count = f64::from(count.max(1));
        self.worker_share = 1.0 / self.scheduler_count;
    }
}
