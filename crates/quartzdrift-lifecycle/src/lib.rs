//! Request lifecycle: tracks every open request between the scheduler and the event loop that owns the
//! sockets. The crate does no I/O and reads no clock.
//!
//! The gateway's event loop, the platform's event loop and the simulator all drive the same [`RequestTable`].
//! A frontend submits a [`NewRequest`] with [`RequestTable::submit`] and receives its [`FinalResponse`] in
//! [`Output::Respond`]. The event loop carries out the other [`Output`]s and reports the end of each attempt
//! and command.
//!
//! An event loop has to:
//!
//! * pass each event together with the time at which it happened;
//! * call [`RequestTable::fire_timers`] at the time that [`RequestTable::next_deadline`] returns;
//! * after each call, carry out the outputs of [`RequestTable::take_outputs`] in order.
//!
//! The scheduler makes the scheduling decisions: which worker gets an attempt, whether a request is retried,
//! and when a request is rejected or fails. The table enforces these guarantees regardless of the scheduler
//! and the workers:
//!
//! * A request gets exactly one final response, and nothing is sent to the client after it. Unless the
//!   response is streamed, the final response comes at the latest the configured response slack before the
//!   client gives up.
//! * Where the settings forbid hedging, a request never has two attempts in flight.
//! * No attempt, health check or load command is sent to a worker that is not on the endpoint list. Attempts
//!   and load commands that are still unsent when their worker starts to drain are recalled.
//!
//! # States
//!
//! A request:
//!
//! ```text
//! submit ──► awaiting response ────streaming_started──► streaming
//!            (deadline timer set)                       (no deadline timer)
//!                     │                                      │
//!                     └───────► final response, removed ◄────┘
//! ```
//!
//! An attempt, which may outlive its request:
//!
//! ```text
//! StartAttempt ─┬─ refused by the table ──► never sent ───────────────────────────────────┐
//!               ├─ no attempt timeout ────► in flight ──┬─streaming_started─► streaming ──┤
//!               │                           │ request   │                                 ├─► ended, removed
//!               │                           ▼ concluded │                                 │
//!               └─ attempt timeout ───────► timed ──────┘                                 │
//!                                           └─ ended, cancelled or timed out ─────────────┘
//! ```
//!
//! The deadline timer of the request also bounds an attempt that is in flight without a timer of its own. If
//! the request is concluded first, the attempt gets its own timer at the same deadline. A streaming attempt
//! has no time limit.
mod attempt;
mod command;
mod final_response;
mod limits;
mod output;
mod request;
mod request_table;
mod timers;

pub use attempt::AttemptResult;
pub use final_response::{FailureReason, FinalResponse};
pub use output::Output;
pub use request::NewRequest;
pub use request_table::RequestTable;
pub use timers::{TimerId, Timers};
