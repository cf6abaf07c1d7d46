//! The gateway daemon: hands calls of clients to workers that load functions on demand.
//!
//! [`settings`] reads and checks what it runs by; [`serve`] runs it; [`gateway`] is the state of its event loop,
//! which feeds the request table and through it the decision module what happens on the sockets, and does what they say.
pub mod clock;
pub mod durable;
pub mod gateway;
pub mod invoke;
pub mod logs;
pub mod platform;
pub mod record;
pub mod serve;
pub mod settings;
pub mod snapshots;
