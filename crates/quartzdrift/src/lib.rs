//! The gateway daemon: hands calls of clients to workers that load functions on demand.
//!
//! [`settings`] reads and checks the settings; [`serve`] runs a gateway by them; [`gateway`] is the event loop, which
//! feeds the request table, and through it the scheduler, with what happens on the sockets, and carries out what they
//! decide. [`platform`] is the event loop of a scheduler on the operators' platform.
mod attempts;
pub mod clock;
pub mod gateway;
pub mod invoke;
pub mod logs;
pub mod loop_delay;
pub mod platform;
pub mod request_trace;
pub mod serve;
pub mod settings;
pub mod snapshots;
pub mod wal_writer;
