//! The gateway's event loop. It passes events of the sockets to the request table and carries out the table's
//! outputs.
//!
//! * `state`: the state of the event loop, and its start.
//! * `event_loop`: the handling of events and timers after each wait.
//! * `outputs`: carries out the outputs of the request table.
//! * `shutdown`: the drain and the shutdown.
//! * `context`: the gateway's data of each request, and its counts of requests.
//! * `calls`: outgoing calls in progress, with their purposes.
//! * `clients`: parses, checks and admits client calls.
//! * `responses`: sends final responses to clients.
//! * `workers`: sends attempts, health checks and load commands to workers.
//! * `call_events`: handles the results of outgoing calls.
//! * `discovery`: polls the endpoint list, and receives pushed changes of it.
//! * `prefetch`: forecasts of use, for loading functions before they are needed.
//! * `fleet`: membership in the fleet of schedulers.
//! * `store`: durable storage of asynchronous invocations.
//! * `asynchronous`: attempts of asynchronous invocations.
//! * `schedules`: invocations triggered by schedules.
//! * `destinations`: sends the events of completed asynchronous invocations.
//! * `recovery`: recovery after a start, and checkpoints for the next start.
mod asynchronous;
mod call_events;
mod calls;
mod clients;
mod context;
mod destinations;
mod discovery;
mod event_loop;
pub mod fleet;
mod outputs;
mod prefetch;
mod recovery;
mod responses;
mod schedules;
mod shutdown;
mod state;
mod store;
mod workers;

use calls::CallPurpose;
pub use context::{RequestContext, RequestCounts, RequestOrigin};
pub use state::Gateway;
