//! Asynchronous requests: taken now, run later. No I/O, no clock.
//!
//! [`Queue`] holds what was taken and says what to do with it: which requests are due ([`Queue::take_due`]), and, once
//! one has had its final answer from the request table ([`Queue::ended`]), whether it is tried again, done or dead. Where a
//! request goes is not decided here: each try is a request like any other at the request table.
//!
//! What may be tried again, by the request's request class and how the try ended:
//!
//! | ended | idempotent | fingerprinted | non-idempotent |
//! | --- | --- | --- | --- |
//! | finished | done | done | done |
//! | finished with the function's own error | again, while tries are left | dead | dead |
//! | rejected, nothing ran | again | again | again |
//! | rejected, may have run | again | again within its window | does not come up: killed |
//! | killed | again, while tries are left | dead | dead |
//!
//! A rejection uses up no try, only age. A dead request goes to its destination on failure.
mod kept;
mod queue;
mod store;

pub use queue::{After, Calls, Destination, End, Id, Kept, Queue, Refused, Step, Submitted, Waits};
pub use store::{Change, Changes, Memory, Store};
