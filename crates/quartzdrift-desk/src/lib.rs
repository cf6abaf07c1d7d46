//! The state of every open job, between the decision module and whoever has sockets. No I/O, no clock.
//!
//! Fronts and shell meet here at one small interface: a front makes jobs ([`Desk::job`]) and receives their
//! final answers ([`Output::Final`]); the shell carries out what else the outputs say and tells how it ended.
//! Give each event with the time it came at, call [`Desk::due`] when [`Desk::next_due`] has come, and after each
//! call carry out [`Desk::outputs`] in their order.
//!
//! The desk chooses nothing: where a job goes, whether it goes on and how it is given up is the module's. What
//! it holds, whatever the module or a worker does:
//!
//! * a job gets one final answer, no later than its time limit less the answer slack, and nothing after it;
//! * no job has two executions out where settings forbid it;
//! * nothing goes to a worker that no list names, and nothing yet unsent goes out once its worker drains.
mod desk;
mod timers;

pub use desk::{Desk, Ended, FinalAnswer, NewJob, Output, Why};
pub use timers::Timers;
