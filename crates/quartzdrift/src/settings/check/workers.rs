//! Checks of `[[workers]]` and `[roster]`: the listed workers and the source of the endpoint list.
use super::collector::ErrorCollector;
use super::url::parse_http_url;
use crate::settings::Discovery;
use crate::settings::raw::{self, File, Worker};
use quartzdrift_discovery::{ConfiguredNames, DiscoveredEndpoint, list};
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;

const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Checks and converts the listed workers. A worker with an invalid address is left out.
pub(super) fn endpoints(
    raw: &File,
    configured_names: &ConfiguredNames,
    errors: &mut ErrorCollector,
) -> Vec<DiscoveredEndpoint> {
    let mut endpoints: Vec<DiscoveredEndpoint> = Vec::new();
    for entry in &raw.workers {
        let section = entry.get_ref();
        let zone = index_of(
            entry,
            "zone",
            section.zone.as_deref(),
            &configured_names.zones,
            errors,
        );
        let kind = index_of(
            entry,
            "kind",
            section.kind.as_deref(),
            &configured_names.kinds,
            errors,
        );
        let Some(address) = parse_address(entry, errors) else {
            continue;
        };
        let worker = address.to_string();
        if endpoints.iter().any(|endpoint| endpoint.worker == worker) {
            errors.add(
                entry.span(),
                format!("worker {worker} is defined twice"),
                "remove one of the definitions",
            );
        }
        endpoints.push(DiscoveredEndpoint {
            zone,
            kind,
            cell: section.cell,
            capacity: section.capacity,
            ..DiscoveredEndpoint::up(&worker)
        });
    }
    endpoints
}

/// Checks that the gateway can find workers: in `[[workers]]`, in the endpoint list, or in a snapshot of the
/// list.
pub(super) fn check_any_source(raw: &File, endpoints: &[DiscoveredEndpoint], errors: &mut ErrorCollector) {
    if endpoints.is_empty() && raw.discovery.is_none() && raw.gateway.state.is_none() {
        errors.add_at_table(
            "gateway",
            "no worker and no roster is defined",
            "add [[workers]] with an address, or [roster] with a url",
        );
    }
}

/// Checks and converts `[roster]`; `None` if it is absent or its URL is invalid.
pub(super) fn discovery(raw: &File, errors: &mut ErrorCollector) -> Option<Discovery> {
    let section = raw.discovery.as_ref()?;
    check_polling(section, raw, errors);
    match parse_http_url(section.url.get_ref()) {
        Ok((address, target)) => Some(Discovery {
            address,
            target,
            watch: section.stream,
            poll_interval: section.every.0,
            poll_timeout: section.timeout.0,
        }),
        Err(error) => {
            errors.add(
                section.url.span(),
                format!("url '{}' is invalid: {error}", section.url.get_ref()),
                "write a URL like \"http://127.0.0.1:9800/workers\"",
            );
            None
        }
    }
}

/// Checks the poll interval and timeout, and that endpoint leases outlast two polls.
fn check_polling(section: &raw::Discovery, raw: &File, errors: &mut ErrorCollector) {
    if section.every.0 < MIN_POLL_INTERVAL {
        errors.add_at_key(
            "roster",
            "every",
            format!(
                "every is {:?}, the minimum is {MIN_POLL_INTERVAL:?}",
                section.every.0
            ),
            "write an interval of at least 50ms",
        );
    }
    let lease_limit = section.every.0 * 2 + section.timeout.0;
    if let Some(lease) = raw.rules.endpoint_lease
        && lease.0 <= lease_limit
    {
        errors.add_at_key(
            "rules",
            "endpoint_lease",
            format!(
                "endpoint_lease ({:?}) must exceed twice roster.every plus roster.timeout ({lease_limit:?})",
                lease.0
            ),
            "increase endpoint_lease, reduce roster.every or roster.timeout, or remove endpoint_lease",
        );
    }
    if section.timeout.0.is_zero() {
        errors.add_at_key(
            "roster",
            "timeout",
            "timeout is zero",
            "write a duration above zero, like \"2s\"",
        );
    }
}

/// Index of a worker's zone or kind in the configured names; 0 if the worker has none or an unknown one.
fn index_of(
    entry: &Spanned<Worker>,
    property: &str,
    name: Option<&str>,
    configured_names: &[String],
    errors: &mut ErrorCollector,
) -> u32 {
    let Some(name) = name else {
        return 0;
    };
    if let Some(index) = configured_names.iter().position(|configured| configured == name) {
        return index as u32;
    }
    errors.add(
        entry.span(),
        format!("{property} '{name}' is not defined"),
        format!(
            "name one of scheduler.{property}s: {}",
            configured_names.join(", ")
        ),
    );
    0
}

fn parse_address(entry: &Spanned<Worker>, errors: &mut ErrorCollector) -> Option<SocketAddr> {
    match list::parse_address(&entry.get_ref().address) {
        Ok(address) => Some(address),
        Err(error) => {
            errors.add(
                entry.span(),
                error.to_string(),
                "write an IP address and a port, like \"127.0.0.1:9801\"",
            );
            None
        }
    }
}
