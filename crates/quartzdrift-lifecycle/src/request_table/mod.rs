//! The table of open requests, their attempts and the commands to workers.
//!
//! * `table`: the state, its queries, and the step from an event to the scheduler and back.
//! * `frontends`: requests and clients that leave.
//! * `endpoints`: the endpoint list, and what becomes of unsent work to workers that left it.
//! * `scheduler_inputs`: what else the scheduler is notified of.
//! * `actions`: what the scheduler decides.
//! * `attempts`: attempts from their start to their end.
//! * `commands`: health checks and load commands.
//! * `deadlines`: everything that timers end.
//! * `conclusion`: the one final answer of a request.
//! * `shutdown`: the end of everything that is open.
mod actions;
mod attempts;
mod commands;
mod conclusion;
mod deadlines;
mod endpoints;
mod frontends;
mod scheduler_inputs;
mod shutdown;
mod table;

pub use table::RequestTable;
