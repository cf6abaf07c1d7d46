//! Worker discovery: parses and writes endpoint lists, and decides which of them to accept. The crate does no
//! I/O and reads no clock.
//!
//! * [`list`]: endpoint lists in the JSON format of HTTP service discovery (targets and labels).
//! * [`event_stream`]: server-sent events, which push changes of an endpoint list.
//! * `accepted`: checks of a list that is empty or lacks most of the accepted workers.
mod accepted;
mod endpoint;
pub mod event_stream;
pub mod list;

pub use accepted::{AcceptedEndpoints, ListDecision, SuspectList};
pub use endpoint::{AddressError, ConfiguredNames, DiscoveredEndpoint};
