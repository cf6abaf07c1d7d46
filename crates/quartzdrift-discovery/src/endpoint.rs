//! Endpoints of discovered workers. A worker's address in canonical form also serves as its name.
use quartzdrift_scheduler::interface::{Endpoint, EndpointState};
use std::net::SocketAddr;
use std::time::Duration;

/// One worker of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Address of the worker, as displayed by the result of
    /// [`list::parse_address`](crate::list::parse_address).
    pub worker: String,
    /// Whether the worker takes new requests.
    pub state: EndpointState,
    /// Index of the worker's zone in the settings.
    pub zone: u32,
    /// Index of the worker's kind of machine in the settings.
    pub kind: u32,
    /// Number of the worker's cell. A request class may limit deduplication to one cell.
    pub cell: u32,
    /// Estimated number of requests that the worker executes concurrently.
    pub capacity: Option<f64>,
    /// Time of the worker's latest start, since the Unix epoch; `None`: long ago or unknown.
    pub started: Option<Duration>,
}

impl DiscoveredEndpoint {
    /// Creates an endpoint that is up, in the first zone and of the first kind.
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

    /// Borrows the endpoint in the form of the scheduler's endpoint list.
    pub fn as_endpoint(&self) -> Endpoint<'_> {
        Endpoint {
            worker: &self.worker,
            capacity_hint: self.capacity,
            address: None,
            cell: self.cell,
            machine_kind: self.kind,
            zone: self.zone,
            started_at: self.started,
            state: self.state,
        }
    }
}

/// Names of zones and kinds in the settings, which labels refer to. A label may also give the index of a
/// name.
#[derive(Clone, Debug, Default)]
pub struct ConfiguredNames {
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the kinds of workers, by index.
    pub kinds: Vec<String>,
}

/// A text that is not a numeric address with a port.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not an IP address with a port, such as 127.0.0.1:8080")]
pub struct AddressError(String);

/// Parses the address of a worker. Rejects host names other than `localhost`, as resolving a name would
/// block.
///
/// # Errors
/// Returns the text if it is not an IP address with a port.
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
