//! A scheduler on the operators' platform: clients over FastCGI, workers over binary frames, and a
//! coordinator whose events make up the list of workers. [`run`] starts one; [`Node`] is the state of its
//! event loop.
//!
//! * `node`: one turn of the loop, and the outputs of the request table.
//! * `accept`, `client_connection`: accepting clients, reading their requests and keeping their deadlines.
//! * `requests`, `responses`: admitting requests and sending final answers.
//! * `workers`, `connections`, `worker_connection`: the table of workers and their connections.
//! * `commands`, `answers`: sending attempts over connections and reading their results.
//! * `flush`: sending output, and commands only of clients without unread input.
//! * `coordinator`, `endpoint_updates`: following the list of workers, and applying its changes.
//! * `memory`: the budget of the memory that is held for clients.
//! * `shutdown`, `closing`: the phases of a graceful shutdown, and closing clients' connections during it.
//! * `counts`, `notices`, `turn_times`: counts and times for the log, and log lines on the endpoint list.
mod accept;
mod answers;
mod client_connection;
mod closing;
mod commands;
mod connections;
mod coordinator;
mod counts;
mod endpoint_updates;
mod flush;
mod memory;
mod node;
mod notices;
mod requests;
mod responses;
pub mod run;
mod shutdown;
mod turn_times;
mod worker_connection;
mod workers;

pub use counts::{Counts, EvictionCounts, NoticeCounts, PollCounts, RejectionCounts};
use node::Peer;
pub use node::{Node, RequestContext};
