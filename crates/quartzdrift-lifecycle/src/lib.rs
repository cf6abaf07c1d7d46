//! The state of every open request, between the decision module and whoever has sockets. No I/O, no clock.
//!
//! Fronts and shell meet here at one small interface: a front makes requests ([`RequestTable::request`]) and receives their
//! final answers ([`Output::Respond`]); the shell carries out what else the outputs say and tells how it ended.
//! Give each event with the time it came at, call [`RequestTable::due`] when [`RequestTable::next_due`] has come, and after each
//! call carry out [`RequestTable::outputs`] in their order.
//!
//! The request table chooses nothing: where a request goes, whether it goes on and how it is given up is the module's. What
//! it holds, whatever the module or a worker does:
//!
//! * a request gets one final answer, no later than its time limit less the answer slack, and nothing after it;
//! * no request has two attempts out where settings forbid it;
//! * nothing goes to a worker that no list names, and nothing yet unsent goes out once its worker drains.
mod request_table;
mod timers;

pub use request_table::{AttemptResult, FailureReason, FinalAnswer, NewRequest, Output, RequestTable};
pub use timers::Timers;
