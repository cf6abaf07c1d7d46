//! The settings in the form that decisions use.
use crate::interface::{DiscoveryMode, PriorityUnit, ReportField, Settings};
use std::time::Duration;

/// The settings in the form that decisions use; prices are in points of the result.
#[derive(Default)]
pub(crate) struct DerivedSettings {
    pub(crate) seed: u64,
    pub(crate) keep_alive: Duration,
    /// Least share of its capacity that a worker has after its start.
    pub(crate) slow_start_min_capacity: f64,
    pub(crate) slow_start_duration: Duration,
    /// How long the endpoint list holds once discovery is silent; `None`: without end.
    pub(crate) endpoint_lease: Option<Duration>,
    /// How long a draining worker may still be sent something.
    pub(crate) drain_grace: Duration,
    /// Half the window of the slow-start rule, never zero.
    pub(crate) slow_start_half_window: Duration,
    /// Work that a worker may be sent in a window, in multiples of what it can do in it.
    pub(crate) slow_start_budget: f64,
    pub(crate) max_attempts: u32,
    pub(crate) can_cancel: bool,
    /// The endpoint list is sent only to those that watch it.
    pub(crate) must_watch_endpoints: bool,
    pub(crate) watch_retry_delay: Duration,
    pub(crate) scheduler_count: f64,
    /// `None`: rejections name no time.
    pub(crate) max_retry_after: Option<Duration>,
    /// Positions in a load report.
    pub(crate) load_field_index: Option<usize>,
    pub(crate) memory_field_index: Option<usize>,
    pub(crate) allows_load_commands: bool,
    /// Load commands in a window of the load quota.
    pub(crate) load_quota_burst: f64,
    /// Further load commands for each request in the window.
    pub(crate) load_quota_share: f64,
    /// Price of a fetch from the origin store.
    pub(crate) origin_fetch_price: f64,
    /// Price of holding all memory idle.
    pub(crate) idle_memory_price: f64,
    pub(crate) memory_mb_by_kind: Vec<f64>,
    /// Reports count requests; otherwise they tell how busy a worker is.
    pub(crate) reports_count_requests: bool,
    pub(crate) reports_cache_status: bool,
    /// Priority weights are for each unit of work, not for each request.
    pub(crate) priority_counts_work: bool,
    /// Reports count requests, and several tenants share the workers.
    pub(crate) tenants_share_workers: bool,
}

impl DerivedSettings {
    /// The settings that are used as they are, absent rules as none; those that the scheduler tunes are left
    /// at zero.
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
        derived.set_schedulers(settings.scheduler_count.unwrap_or(1));
        derived
    }

    /// Sets how many schedulers share the workers; this one is among them.
    pub(crate) fn set_schedulers(&mut self, count: u32) {
        self.scheduler_count = f64::from(count.max(1));
    }
}
