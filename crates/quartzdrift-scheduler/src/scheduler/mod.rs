//! Every decision of the router. Make a [`Scheduler`] from the settings and a seed, pass each event to
//! [`Scheduler::handle`] in the order in which it arrived, and carry out the returned actions in theirs.
//!
//! The scheduler is a request table, which owns the open requests, and one actor for each worker; they
//! exchange messages through a mailbox. A request is a placement query to every listed worker: of the
//! candidates that answer, those past the overload bound are skipped and the rest ranked by cache status,
//! then by fewest estimated requests. The modules below follow a request from its arrival to its final
//! answer; the background work comes last. All but two decide: `dispatch` passes events and messages on, and
//! `housekeeping` bounds memory.

mod constants;
mod settings;

mod dispatch;

mod admission;
mod candidate;
mod ranking;

mod affinity;
mod estimate;
mod slow_start;

mod attempt;
mod outcome;
mod outlier;

mod endpoint_lease;
mod endpoint_list;
mod housekeeping;
mod prefetch;

pub use crate::state::{Scheduler, TableSizes};
