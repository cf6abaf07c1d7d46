//! Checks of `[[workers]]` and `[roster]`: the sources of the endpoint list.
use super::collector::ErrorCollector;
use super::url::destination;
use crate::settings::Discovery;
use crate::settings::raw::{File, Worker};
use quartzdrift_discovery::{ConfiguredNames, DiscoveredEndpoint, list};
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;

const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The workers that the file names; one whose address cannot be read is left out.
pub(super) fn endpoints(
    raw: &File,
    known: &ConfiguredNames,
    errors: &mut ErrorCollector,
) -> Vec<DiscoveredEndpoint> {
    let mut endpoints: Vec<DiscoveredEndpoint> = Vec::new();
    for entry in &raw.workers {
        let section = entry.get_ref();
        let zone = index_of(entry, "zone", section.zone.as_deref(), &known.zones, errors);
        let kind = index_of(entry, "kind", section.kind.as_deref(), &known.kinds, errors);
        let Some(address) = parse_address(entry, errors) else {
            continue;
        };
        let worker = address.to_string();
        if endpoints.iter().any(|endpoint| endpoint.worker == worker) {
            errors.add(
                entry.span(),
                format!("worker {worker} stands twice"),
                "remove one of them",
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

/// Without workers, an endpoint list and a snapshot of one, the gateway would have nothing to send to.
pub(super) fn check_any_source(raw: &File, endpoints: &[DiscoveredEndpoint], errors: &mut ErrorCollector) {
    if endpoints.is_empty() && raw.discovery.is_none() && raw.gateway.state.is_none() {
        errors.add_at_table(
            "gateway",
            "no worker is named and no roster that names any",
            "add [[workers]] with an address, or [roster] with a url",
        );
    }
}

/// Checks and converts `[roster]`; `None` where it is absent or its URL cannot be used.
pub(super) fn discovery(raw: &File, errors: &mut ErrorCollector) -> Option<Discovery> {
    let section = raw.discovery.as_ref()?;
    if section.every.0 < MIN_POLL_INTERVAL {
        errors.add_at_key(
            "roster",
            "every",
            "the list is asked for too often",
            "write 50ms or more",
        );
    }
    let lease = raw.rules.endpoint_lease.map(|lease| lease.0);
    if lease.is_some_and(|lease| lease <= section.every.0 * 2 + section.timeout.0) {
        errors.add_at_key(
            "rules",
            "endpoint_lease",
            "the list would run out between two polls of it",
            "write more than twice [roster] every and its timeout, or leave it out",
        );
    }
    if section.timeout.0.is_zero() {
        errors.add_at_key("roster", "timeout", "timeout is zero", "write \"2s\" or so");
    }
    match destination(section.url.get_ref()) {
        Ok((address, target)) => Some(Discovery {
            address,
            target,
            stream: section.stream,
            every: section.every.0,
            timeout: section.timeout.0,
        }),
        Err(error) => {
            errors.add(
                section.url.span(),
                error.to_string(),
                "write it like \"http://127.0.0.1:9800/workers\"",
            );
            None
        }
    }
}

/// Index of a worker's zone or kind among the known names; 0 where it has none or an unknown one.
fn index_of(
    entry: &Spanned<Worker>,
    property: &str,
    name: Option<&str>,
    known: &[String],
    errors: &mut ErrorCollector,
) -> u32 {
    let Some(name) = name else {
        return 0;
    };
    if let Some(index) = known.iter().position(|known| known == name) {
        return index as u32;
    }
    errors.add(
        entry.span(),
        format!("there is no {property} '{name}'"),
        format!("name one of scheduler.{property}s: {}", known.join(", ")),
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
                "write it like \"127.0.0.1:9801\"",
            );
            None
        }
    }
}
