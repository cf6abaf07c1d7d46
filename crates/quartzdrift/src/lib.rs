//! The gateway daemon: forwards client requests to workers that load functions on demand.
//!
//! [`settings`] reads and checks the settings. [`serve`] runs a gateway with these settings. [`gateway`] is
//! the event loop: it passes socket events to the request table, which consults the scheduler, and carries
//! out the outputs of the request table. [`platform`] is the event loop of a scheduler on the operators'
//! platform.
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
