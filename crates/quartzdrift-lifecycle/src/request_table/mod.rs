//! The table of open requests, their attempts, and the pending commands to workers.
//!
//! * `table`: state of the table, its queries, and the exchange of events and actions with the scheduler.
//! * `frontends`: submission of requests, and clients that disconnect.
//! * `endpoints`: updates of the endpoint list, and the recall of unsent work.
//! * `scheduler_inputs`: further events that are passed through to the scheduler.
//! * `actions`: execution of the scheduler's actions.
//! * `attempts`: start and end of attempts.
//! * `commands`: start and end of health checks and load commands.
//! * `deadlines`: handling of expired timers.
//! * `conclusion`: the final response of a request.
//! * `shutdown`: the drain deadline, at which the open requests are concluded.
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
