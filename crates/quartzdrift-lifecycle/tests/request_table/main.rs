//! Tests of the request table's guarantees with the real scheduler and without sockets.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]
mod cases;
mod harness;
mod random_events;
