//! Checks all tables in one pass and assembles the checked settings.
use super::collector::ErrorCollector;
use super::{
    asynchronous, destinations, fleet, forecasts, functions, gateway, limits, recovery, request_classes,
    rules, schedules, tenants, workers,
};
use crate::settings::raw::{Answer, File, LogForm};
use crate::settings::{FleetSettings, Forecasts, Function, Log, RequestTrace, Settings, SettingsError};
use quartzdrift_async_queue::{Destination, QueueSettings};
use quartzdrift_discovery::ConfiguredNames;
use quartzdrift_scheduler::interface::Settings as SchedulerSettings;
use quartzdrift_schedules::Schedule;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The parts of the settings that the checks convert.
struct CheckedParts {
    scheduler: SchedulerSettings,
    listen: Vec<SocketAddr>,
    functions: HashMap<String, Rc<Function>>,
    default_function: Option<Rc<Function>>,
    configured_names: ConfiguredNames,
    workers: Vec<quartzdrift_discovery::DiscoveredEndpoint>,
    discovery: Option<crate::settings::Discovery>,
    schedules: Vec<(Schedule, Rc<[u8]>)>,
    on_success: Option<Destination>,
    on_failure: Option<Destination>,
    asynchronous: QueueSettings,
    forecasts: Option<Forecasts>,
    fleet: Option<FleetSettings>,
}

/// Checks a deserialized settings file. `file` is its name in errors, and `text` is its TOML.
pub(in crate::settings) fn check(file: &str, text: &str, raw: &File) -> Result<Settings, Vec<SettingsError>> {
    let mut errors = ErrorCollector::new(file, text);
    let parts = check_parts(raw, &mut errors);
    let errors = errors.into_sorted();
    if errors.is_empty() {
        Ok(assemble(raw, parts))
    } else {
        Err(errors)
    }
}

/// Runs all checks. Errors of the same line are reported in the order of the checks.
fn check_parts(raw: &File, errors: &mut ErrorCollector) -> CheckedParts {
    let scheduler = raw.scheduler();
    let listen = gateway::listen_addresses(raw, errors);
    request_classes::check(raw, errors);
    rules::check(raw, errors);
    tenants::check(raw, errors);
    limits::check(raw, errors);
    let functions = functions::check(raw, &scheduler, errors);
    let configured_names = ConfiguredNames {
        zones: raw.scheduler.zones.clone(),
        kinds: raw.scheduler.kinds.clone(),
    };
    let workers = workers::endpoints(raw, &configured_names, errors);
    let discovery = workers::discovery(raw, errors);
    workers::check_any_source(raw, &workers, errors);
    let default_function = functions::default_function(raw, errors);
    let schedules = schedules::check(raw, &functions, default_function.is_some(), errors);
    let deferred = errors.table("deferred");
    let on_success = destinations::check(&raw.asynchronous.on_success, raw, deferred.clone(), errors);
    let on_failure = destinations::check(&raw.asynchronous.on_failure, raw, deferred, errors);
    let asynchronous = asynchronous::check(raw, errors);
    let forecasts = forecasts::check(raw, errors);
    let fleet = fleet::check(raw, errors);
    recovery::check(raw, errors);
    gateway::check_record(raw, errors);
    gateway::check_log(raw, errors);
    CheckedParts {
        scheduler,
        listen,
        functions,
        default_function,
        configured_names,
        workers,
        discovery,
        schedules,
        on_success,
        on_failure,
        asynchronous,
        forecasts,
        fleet,
    }
}

/// Assembles the settings from the converted parts and from the values that need no check.
fn assemble(raw: &File, parts: CheckedParts) -> Settings {
    let gateway = &raw.gateway;
    Settings {
        listen: parts.listen,
        state_folder: gateway.state.as_ref().map(Into::into),
        seed: gateway.seed,
        drain_timeout: gateway.drain.0,
        require_json: gateway.require_json,
        tenant_header: gateway
            .tenant_field
            .as_ref()
            .map(|field| field.to_ascii_lowercase()),
        tenants: tenants::indexes(raw),
        functions: parts.functions,
        default_function: parts.default_function,
        limits: limits::http_limits(raw),
        log: Log {
            json: raw.log.form == LogForm::Json,
            filter: raw.log.filter.clone(),
        },
        scheduler: parts.scheduler,
        report_metrics: metric_names(raw),
        connect_timeout: raw.allowed.connect_timeout.0,
        workers: parts.workers,
        configured_names: parts.configured_names,
        discovery: parts.discovery,
        asynchronous: parts.asynchronous,
        store_folder: raw.asynchronous.store.as_ref().map(Into::into),
        accept_before_durable: raw.asynchronous.answer == Answer::Early,
        on_success: parts.on_success,
        on_failure: parts.on_failure,
        schedules: parts.schedules,
        forecasts: parts.forecasts,
        request_trace: request_trace(raw),
        fleet: parts.fleet,
        recovery: recovery::settings(raw),
        share_port: gateway.share_port,
    }
}

fn metric_names(raw: &File) -> Vec<String> {
    let fields = raw.reports.fields.iter();
    fields.map(|field| field.metric.clone()).collect()
}

fn request_trace(raw: &File) -> Option<RequestTrace> {
    raw.record.as_ref().map(|trace| RequestTrace {
        file: trace.file.clone().into(),
        max_bytes: trace.bytes,
        hash_names: trace.hash_names,
    })
}
