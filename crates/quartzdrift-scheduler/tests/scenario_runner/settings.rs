//! Lines that change the scheduler's settings.
use super::words::parse_number;
use super::{Result, Runner, Words};
use quartzdrift_scheduler::interface::{
    CacheSettings, DeduplicationScope, DiscoveryMode, Idempotency, ReportField, RequestClass, Rules,
    Settings, Tenant,
};
use std::time::Duration;

impl Runner {
    /// Applies a `set` line.
    pub(crate) fn apply_setting(&mut self, words: &Words) -> Result {
        let settings = &mut self.settings;
        if settings.request_classes.is_empty() {
            let timeout = Some(Duration::from_secs(3));
            settings.request_classes.push(RequestClass { timeout, ..RequestClass::default() });
        }
        let value = words.get(2).unwrap_or("");
        match words.get(1).unwrap_or("") {
            "effect" => settings.request_classes[0].idempotency = parse_idempotency(value)?,
            "group" if value == "zone" => {
                settings.request_classes[0].deduplication_scope = DeduplicationScope::Zone;
            }
            "window" => settings.request_classes[0].deduplication_window = Some(words.duration(2)?),
            "target" => settings.request_classes[0].latency_objective = Some(words.duration(2)?),
            "workloads" => {
                let class = settings.request_classes[0].clone();
                settings.request_classes.resize(words.number(2)?, class);
            }
            "importance" => set_priorities(settings, words)?,
            "customers" => {
                let tenant = Tenant { requests_per_second: Some(10.0), ..Tenant::default() };
                settings.tenants.resize(words.number(2)?, tenant);
            }
            "executions" => settings.limits.max_attempts = Some(words.number(2)?),
            "cancel" => settings.limits.cancel = true,
            "retry-after" => {
                settings.limits.retry_after = true;
                settings.limits.max_retry_after = Some(words.duration(2)?);
            }
            "schedulers" => settings.scheduler_count = Some(words.number(2)?),
            "keep" => settings.cache.keep_alive = Some(words.duration(2)?),
            "told" => settings.cache.reports_cache_status = true,
            "memory" => settings.cache.memory_mb_by_kind = vec![words.number(2)?],
            "orders" => set_load_commands(settings, words)?,
            "fall" => set_slow_start(&mut settings.rules, words)?,
            "lease" => {
                settings.rules.endpoint_lease = Some(words.duration(2)?);
                settings.rules.drain_grace = Some(words.duration(3)?);
            }
            "ask-within" => settings.rules.endpoint_refresh_limit = Some(words.duration(2)?),
            "report" if value == "memory" => settings.report_fields = vec![ReportField::UnreclaimableMemory],
            "report" if value == "held" => settings.report_fields = vec![ReportField::InFlight],
            "discovery" if value == "ask" => settings.discovery_mode = DiscoveryMode::Poll,
            _ => return Err(format!("unknown setting or value: {:?}", words.from(1))),
        }
        Ok(())
    }
}

fn parse_idempotency(text: &str) -> Result<Idempotency> {
    match text {
        "restartable" => Ok(Idempotency::Idempotent),
        "fingerprinted" => Ok(Idempotency::IdempotentWithKey),
        "run-once" => Ok(Idempotency::NonIdempotent),
        _ => Err(format!("unknown effect {text:?}, expected restartable, fingerprinted or run-once")),
    }
}

fn set_priorities(settings: &mut Settings, words: &Words) -> Result {
    for (class, word) in settings.request_classes.iter_mut().zip(words.from(2)) {
        class.priority_weight = Some(parse_number(word)?);
    }
    Ok(())
}

fn set_slow_start(rules: &mut Rules, words: &Words) -> Result {
    let is_set = |index: usize| words.get(index).is_some_and(|word| word != "-");
    rules.slow_start_min_capacity = is_set(2).then(|| words.number(2)).transpose()?;
    rules.slow_start_duration = is_set(3).then(|| words.duration(3)).transpose()?;
    rules.overload_multiple = is_set(4).then(|| words.number(4)).transpose()?;
    rules.overload_window = is_set(5).then(|| words.duration(5)).transpose()?;
    Ok(())
}

fn set_load_commands(settings: &mut Settings, words: &Words) -> Result {
    settings.prices.origin_fetch = words.number_value("fetch")?.unwrap_or(0.0);
    settings.cache = CacheSettings {
        load_commands: true,
        load_quota_burst: words.number_value("free")?,
        load_quota_share: words.number_value("share")?,
        load_quota_window: words.duration_value("window")?,
        idle_memory_price: words.number_value("memory")?,
        memory_mb_by_kind: vec![1000.0],
        ..settings.cache.clone()
    };
    Ok(())
}
