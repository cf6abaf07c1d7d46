//! Converts the deserialized tables to the scheduler's settings. Use [`File::scheduler`].
use super::{
    Allowed, CacheMissPolicy, CacheSettings, CapacityHints, DeduplicationScope, DiscoveryMode, File, Goal,
    HumanDuration, Idempotency, Prices, PriorityUnit, ReportField, ReportSource, RequestClass, Rules,
    Scheduler, Tenant,
};
use quartzdrift_scheduler::interface as scheduler;
use std::time::Duration;
use toml::Spanned;

impl File {
    /// The settings of the scheduler. Its own zone is `None` if it is not listed in `scheduler.zones`.
    pub(crate) fn scheduler(&self) -> scheduler::Settings {
        let section = self.scheduler.clone();
        scheduler::Settings {
            scheduler_number: section.me,
            scheduler_count: section.schedulers,
            zone: own_zone(&section),
            zones: section.zones,
            machine_kinds: section.kinds,
            tier: section.tier,
            tiers: section.tiers,
            workload: section.family,
            clock_resolution: optional_duration(section.resolution),
            discovery_mode: section.discovery.into(),
            capacity_hints: section.weights.into(),
            priority_unit: section.counted_by.into(),
            over_quota_weight: section.over_quota_weight,
            clients_mark_retries: section.clients_mark_retries,
            request_classes: convert_entries(&self.request_classes),
            tenants: convert_entries(&self.tenants),
            limits: (&self.allowed).into(),
            rules: scheduler::Rules {
                // A lease applies only to a list that a discovery server maintains; workers that the settings
                // file lists never expire.
                endpoint_lease: optional_duration(
                    self.rules.endpoint_lease.filter(|_| self.discovery.is_some()),
                ),
                ..(&self.rules).into()
            },
            cache: (&self.copies).into(),
            report_source: self.reports.source.into(),
            report_fields: self
                .reports
                .fields
                .iter()
                .map(|metric| metric.field.into())
                .collect(),
            prices: (&self.prices).into(),
            goal: (&self.goal).into(),
        }
    }
}

/// Index of the scheduler's own zone in `scheduler.zones`.
fn own_zone(section: &Scheduler) -> Option<u32> {
    let name = section.zone.as_ref()?.get_ref();
    let index = section.zones.iter().position(|zone| zone == name)?;
    Some(index as u32)
}

fn optional_duration(value: Option<HumanDuration>) -> Option<Duration> {
    value.map(|duration| duration.0)
}

fn convert_entries<'a, Entry, Converted: From<&'a Entry>>(entries: &'a [Spanned<Entry>]) -> Vec<Converted> {
    entries.iter().map(|entry| entry.get_ref().into()).collect()
}

impl From<&RequestClass> for scheduler::RequestClass {
    fn from(class: &RequestClass) -> Self {
        scheduler::RequestClass {
            name: class.name.clone(),
            idempotency: class.idempotency.into(),
            latency_objective: optional_duration(class.latency_objective),
            latency_objective_stretch: class.latency_objective_stretch,
            timeout: Some(class.timeout.0),
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
            deduplication_scope: class
                .deduplication_scope
                .unwrap_or(DeduplicationScope::All)
                .into(),
            deduplication_window: optional_duration(class.window),
            streams_responses: class.streams,
        }
    }
}

impl From<&Tenant> for scheduler::Tenant {
    fn from(tenant: &Tenant) -> Self {
        scheduler::Tenant {
            name: tenant.name.clone(),
            share: tenant.share,
            requests_per_second: tenant.requests_per_second,
        }
    }
}

impl From<&Allowed> for scheduler::ActionLimits {
    fn from(allowed: &Allowed) -> Self {
        scheduler::ActionLimits {
            cancel: allowed.cancel,
            health_checks: allowed.probes,
            peer_messages: allowed.peers,
            hedging: allowed.hedging,
            retry_after: allowed.retry_after,
            max_retry_after: optional_duration(allowed.max_retry_after),
            max_attempts: allowed.max_attempts,
            max_open_requests: allowed.max_open,
            connect_timeout: Some(allowed.connect_timeout.0),
            connection_keep_alive: Some(allowed.keepalive.0),
            cpu_us_per_second: allowed.cpu_us_per_second,
            cpu_us_per_request: allowed.cpu_us_per_request,
            streams_per_connection: allowed.streams_per_connection,
        }
    }
}

impl From<&Rules> for scheduler::Rules {
    fn from(rules: &Rules) -> Self {
        scheduler::Rules {
            response_slack: Some(rules.answer_slack.0),
            endpoint_refresh_limit: optional_duration(rules.ask_within),
            slow_start_min_capacity: rules.cold_from,
            slow_start_duration: optional_duration(rules.cold_for),
            drain_grace: Some(rules.drain_grace.0),
            endpoint_lease: None,
            overload_multiple: rules.fall_multiple,
            overload_window: optional_duration(rules.fall_window),
        }
    }
}

impl From<&CacheSettings> for scheduler::CacheSettings {
    fn from(cache: &CacheSettings) -> Self {
        scheduler::CacheSettings {
            on_miss: cache.on_miss.into(),
            load_commands: cache.load_commands,
            reports_cache_status: cache.reports_cache_status,
            reports_concurrency: cache.reports_concurrency,
            keep_alive: optional_duration(cache.keep),
            memory_mb_by_kind: cache.memory_mb_by_kind.clone(),
            idle_memory_price: cache.idle_memory_price,
            load_quota_burst: cache.load_quota_burst,
            load_quota_share: cache.load_quota_share,
            load_quota_window: optional_duration(cache.load_quota_window),
            load_command_timeout: optional_duration(cache.load_command_timeout),
        }
    }
}

impl From<&Prices> for scheduler::Prices {
    fn from(prices: &Prices) -> Self {
        scheduler::Prices {
            connection: prices.connection,
            cross_zone: prices.cross_zone,
            handshake: prices.handshake,
            late_failure: prices.late_failure,
            function_move: prices.moves,
            origin_fetch: prices.origin,
            peer_message: prices.peer,
            health_check: prices.probe,
            endpoint_list_request: prices.discovery,
            wasted_work: prices.waste,
        }
    }
}

impl From<&Goal> for scheduler::GoalWeights {
    fn from(goal: &Goal) -> Self {
        scheduler::GoalWeights {
            all_requests: goal.whole,
            worst_window: goal.worst_window,
            worst_request_class: goal.worst_request_class,
            worst_tenant: goal.worst_tenant,
        }
    }
}

/// Implements the conversion of enums of the settings file to the scheduler's enums of the same names.
macro_rules! convert_variants {
    ($($name:ident { $($variant:ident),+ })+) => {
        $(impl From<$name> for scheduler::$name {
            fn from(value: $name) -> Self {
                match value {
                    $($name::$variant => scheduler::$name::$variant,)+
                }
            }
        })+
    };
}

convert_variants! {
    Idempotency { Idempotent, IdempotentWithKey, NonIdempotent }
    DeduplicationScope { All, Zone, Cell }
    DiscoveryMode { Push, Poll }
    CapacityHints { Absent, Nominal, Approximate, Current }
    PriorityUnit { Request, Work }
    CacheMissPolicy { Load, ReportMiss }
    ReportSource { Responses, HealthChecks, Absent }
    ReportField {
        InFlight, Queued, CoreUtilization, LatencyMs, SucceededPerSecond, ErrorsPerSecond,
        UnreclaimableMemory, LoadsInProgress
    }
}
