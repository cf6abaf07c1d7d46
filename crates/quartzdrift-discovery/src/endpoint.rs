//! A worker as a list describes it, with its address in the form that serves as the worker's name everywhere.
use quartzdrift_scheduler::interface::{Endpoint, EndpointState};
use std::net::SocketAddr;
use std::time::Duration;

/// One worker of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Its address, in the form of [`list::address`](crate::list::address).
    pub worker: String,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Index of its zone in the settings.
    pub zone: u32,
    /// Index of its kind in the settings.
    pub kind: u32,
    /// Its cell; a request class may confine deduplication to one.
    pub cell: u32,
    /// Requests that it runs at a time, as an estimate.
    pub capacity: Option<f64>,
    /// Its most recent start, since 1970; `None`: long ago.
    pub started: Option<Duration>,
}

impl DiscoveredEndpoint {
    /// A worker that is up, in the first zone and of the first kind.
    pub fn up(worker: &str) -> DiscoveredEndpoint {
        DiscoveredEndpoint {
            worker: worker.to_owned(),
            state: EndpointState::Up,
            zone: 0,
            kind: 0,
            cell: 0,
            capacity: None,
            started: None,
        }
    }

    /// As the scheduler takes it.
    pub fn as_endpoint(&self) -> Endpoint<'_> {
        Endpoint {
            worker: &self.worker,
            capacity_hint: self.capacity,
            cell: self.cell,
            machine_kind: self.kind,
            zone: self.zone,
            started_at: self.started,
            state: self.state,
        }
    }
}

/// Names from the settings that labels may use. A label may give the index of a name instead.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Zones, by index.
    pub zones: Vec<String>,
    /// Kinds of workers, by index.
    pub kinds: Vec<String>,
}

/// A text that is not an address and port in numbers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no address and port in numbers")]
pub struct AddressError(String);

/// Parses the address of a worker. Host names other than `localhost` are not taken, as a look-up would block.
///
/// # Errors
/// The text, where it is not an address and port in numbers.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, AddressError> {
    let text = text.trim().trim_start_matches("http://");
    let text = match text.strip_prefix("localhost:") {
        Some(port) => format!("127.0.0.1:{port}"),
        None => text.to_owned(),
    };
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => Err(AddressError(text)),
    }
}
