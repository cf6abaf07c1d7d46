//! The lifecycle of every open request, between the scheduler and the code that owns the sockets. No I/O, no clock.
//!
//! Use [`RequestTable`] wherever requests are scheduled: the gateway's event loop, the platform's event loop and the
//! simulator drive the same table. A frontend submits a [`NewRequest`] with [`RequestTable::submit`] and receives its
//! [`FinalAnswer`] in [`Output::Respond`]; the event loop carries out the other [`Output`]s and reports how they ended.
//! Pass each event with the time at which it happened, call [`RequestTable::fire_timers`] once [`RequestTable::next_deadline`]
//! has come, and after each call carry out [`RequestTable::take_outputs`] in their order.
//!
//! The table makes no scheduling decision: which worker gets an attempt, whether another attempt follows and when a
//! request is given up is up to the scheduler. The table enforces, whatever the scheduler or a worker does:
//!
//! * a request gets one final answer, no later than its deadline less the answer slack, and nothing after it;
//! * no request has two attempts in flight where the settings forbid hedging;
//! * nothing is sent to a worker that is not on the endpoint list, and nothing still unsent goes out once its worker
//!   drains.
//!
//! # States
//!
//! A request:
//!
//! ```text
//! submit ──► awaiting its answer ──streaming_started──► streaming
//!            (deadline timer set)                       (no deadline timer)
//!                     │                                      │
//!                     └────────► final answer, removed ◄─────┘
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
//! An attempt in flight without a timer of its own is bounded by its request's deadline timer; when the request
//! concludes first, the attempt gets a timer at that deadline. A streaming attempt lasts as long as its client reads.
mod answer;
mod attempt;
mod command;
mod limits;
mod output;
mod request;
mod request_table;
mod timers;

pub use answer::{FailureReason, FinalAnswer};
pub use attempt::AttemptResult;
pub use output::Output;
pub use request::NewRequest;
pub use request_table::RequestTable;
pub use timers::{TimerId, Timers};
