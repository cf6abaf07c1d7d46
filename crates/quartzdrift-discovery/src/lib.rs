//! Discovery of workers: endpoint lists, and which of them are accepted. No I/O, no clock.
//!
//! * [`list`]: the published JSON of HTTP service discovery (targets and labels), read and written.
//! * [`event_stream`]: server-sent events, by which changes of a list are pushed.
//! * `accepted`: what to do with a list that is empty, or lacks most of the workers.
mod accepted;
mod endpoint;
pub mod event_stream;
pub mod list;

pub use accepted::{AcceptedEndpoints, ListDecision, SuspectList};
pub use endpoint::{AddressError, ConfiguredNames, DiscoveredEndpoint};
