//! The gateway's event loop: events of the sockets go to the request table, and what that decides is carried out.
//!
//! * `state`: the state of the event loop, and how it starts.
//! * `event_loop`: one turn of the loop.
//! * `outputs`: carries out what the request table decides.
//! * `shutdown`: the drain, and the end of everything that is open.
//! * `context`: what is held of a request beside the request table.
//! * `calls`: calls to other servers that have not ended.
//! * `clients`: client calls become requests.
//! * `responses`: final answers go back to clients.
//! * `workers`: attempts, health checks and load commands as they leave.
//! * `call_events`: what comes back on calls.
//! * `discovery`: where the endpoint list comes from.
//! * `prefetch`: forecasts of use, and loads ahead of need.
//! * `fleet`: membership of the schedulers.
//! * `store`: asynchronous invocations in the write-ahead log.
//! * `asynchronous`: attempts of asynchronous invocations.
//! * `schedules`: invocations that schedules trigger.
//! * `destinations`: events of completed asynchronous invocations.
//! * `recovery`: from the start to full service.
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
pub use context::{Origin, RequestContext, RequestCounts};
pub use state::Gateway;
