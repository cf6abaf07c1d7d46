//! The scheduling decisions. Create a [`Scheduler`] from the settings and a seed, pass the events to
//! [`Scheduler::handle`] in order of arrival, and carry out the returned actions in their order.
//!
//! The scheduler consists of a request table, which owns the open requests, and one actor per worker. They
//! exchange messages through a mailbox. To place a request, the request table sends a placement query to
//! every listed worker. It skips the candidates above the overload bound and ranks the others by cache
//! status, then by the number of estimated requests, fewest first. The modules below are in the order in
//! which a request passes them, with background work last. Two of them make no decisions: `dispatch` routes
//! events and messages, and `housekeeping` bounds memory.

mod constants;
mod settings;

mod dispatch;

mod addresses;
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
