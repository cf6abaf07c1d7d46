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
//! * `ahead`: forecasts of use, and prefetching.
//! * `fleet`: membership of the schedulers.
//! * `store`: asynchronous invocations in the write-ahead log.
//! * `fronts`: asynchronous invocations and schedules.
//! * `recovery`: from the start to full service.
mod ahead;
mod call_events;
mod calls;
mod clients;
mod context;
mod discovery;
mod event_loop;
pub mod fleet;
mod fronts;
mod outputs;
mod recovery;
mod responses;
mod shutdown;
mod state;
mod store;
mod workers;

use calls::CallPurpose;
pub use context::{Origin, RequestContext, RequestCounts};
pub use state::Gateway;
