//! Cases that are easy to get wrong in the request table, with the real scheduler and without sockets.
#![allow(clippy::unwrap_used, reason = "a test may stop at what must not be")]
mod cases;
mod harness;
mod random_events;
