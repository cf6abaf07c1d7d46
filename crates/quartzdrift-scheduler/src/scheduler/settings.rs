//! Creates a scheduler, with default values for the settings that are not configured.
use super::constants::{
    BIN_COUNT, BIN_EDGE_RATIO, DEFAULT_KEEP_ALIVE, DEFAULT_RETRY_AFTER, DEFAULT_SLOW_START_WINDOW,
};
use super::constants::{
    DEFAULT_ATTEMPT_TIMEOUT, FIRST_BIN_EDGE, MAX_SAMPLES, POPULARITY_HALF_LIFE, SLOW_START_SAFETY,
};
use super::constants::{MAX_QUOTA_EVENTS, THROUGHPUT_HALF_LIFE, WATCH_RETRY_DELAY};
use crate::interface::{ReportField, Settings, Tenant};
use crate::measure::{DecayingSums, Histogram, RelativeSpeeds, SlidingWindow};
use crate::state::{ClassState, DerivedSettings, Scheduler};
use std::time::Duration;

impl Scheduler {
    /// Creates a scheduler without workers. Equal settings, seeds and events lead to equal actions.
    pub fn new(settings: &Settings, seed: u64) -> Scheduler {
        let durations = Histogram::new(FIRST_BIN_EDGE, BIN_EDGE_RATIO, BIN_COUNT, MAX_SAMPLES);
        let quota_window = settings.cache.load_quota_window.unwrap_or_default();
        let class_state = |class| ClassState::new(class, DEFAULT_ATTEMPT_TIMEOUT, &durations);
        Scheduler {
            settings: derive_settings(settings, seed),
            classes: settings.request_classes.iter().map(class_state).collect(),
            tenant_shares: tenant_shares(&settings.tenants),
            succeeded_work: DecayingSums::new(THROUGHPUT_HALF_LIFE),
            requested_work: DecayingSums::new(POPULARITY_HALF_LIFE),
            requested_priority: DecayingSums::new(POPULARITY_HALF_LIFE),
            relative_speeds: RelativeSpeeds::new(POPULARITY_HALF_LIFE),
            // The quota excludes a request at the exact start of the window, but includes a load command
            // there.
            load_quota_requests: SlidingWindow::new(
                quota_window.saturating_sub(Duration::from_nanos(1)),
                MAX_QUOTA_EVENTS,
            ),
            load_quota_commands: SlidingWindow::new(quota_window, MAX_QUOTA_EVENTS),
            prefetch_durations: durations,
            ..Scheduler::default()
        }
    }
}

fn derive_settings(settings: &Settings, seed: u64) -> DerivedSettings {
    let rules = &settings.rules;
    let window =
        rules.overload_window.filter(|window| !window.is_zero()).unwrap_or(DEFAULT_SLOW_START_WINDOW);
    let max_retry_after = settings.limits.max_retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    let field = |wanted| settings.report_fields.iter().position(|&field| field == wanted);
    // The number of queued requests is a lower bound of the requests that a worker holds.
    let request_count = field(ReportField::InFlight).or(field(ReportField::Queued));
    DerivedSettings {
        keep_alive: settings.cache.keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE),
        slow_start_half_window: (window / 2).max(Duration::from_micros(1)),
        slow_start_budget: rules.overload_multiple.unwrap_or(1.0) * SLOW_START_SAFETY,
        watch_retry_delay: rules
            .endpoint_refresh_limit
            .map_or(WATCH_RETRY_DELAY, |time| WATCH_RETRY_DELAY.min(time)),
        max_retry_after: settings.limits.retry_after.then_some(max_retry_after),
        load_field_index: request_count.or(field(ReportField::CoreUtilization)),
        reports_count_requests: request_count.is_some(),
        tenants_share_workers: request_count.is_some() && settings.tenants.len() > 1,
        ..DerivedSettings::from_configured(settings, seed)
    }
}

/// Returns each tenant's share in the sum of all quotas; NaN if no tenant has a quota.
fn tenant_shares(tenants: &[Tenant]) -> Vec<f64> {
    let quota = |tenant: &Tenant| tenant.requests_per_second.unwrap_or(0.0).max(0.0);
    let total: f64 = tenants.iter().map(quota).sum();
    tenants.iter().map(|tenant| quota(tenant) / total).collect()
}
