//! Deferred jobs: taken now, run later. No I/O, no clock.
//!
//! [`Queue`] holds what was taken and says what to do with it: which jobs are due ([`Queue::take_due`]), and, once
//! one has had its final answer from the desk ([`Queue::ended`]), whether it is tried again, done or dead. Where a
//! job goes is not decided here: each try is a job like any other at the desk.
//!
//! What may be tried again, by the job's workload and how the try ended:
//!
//! | ended | restartable | fingerprinted | run-once |
//! | --- | --- | --- | --- |
//! | finished | done | done | done |
//! | finished with the function's own error | again, while tries are left | dead | dead |
//! | pushed back, nothing ran | again | again | again |
//! | pushed back, may have run | again | again within its window | does not come up: killed |
//! | killed | again, while tries are left | dead | dead |
//!
//! A push-back uses up no try, only age. A dead job goes to its destination on failure.
mod kept;
mod queue;
mod store;

pub use queue::{After, Calls, Destination, End, Id, Kept, Queue, Refused, Step, Submitted, Waits};
pub use store::{Change, Changes, Memory, Store};
