//! Membership of a fleet of schedulers: the SWIM protocol (Das, Gupta, Motivala 2002) with the Lifeguard
//! extensions (Dadgar, Phillips, Currey 2017). This crate performs no I/O and reads no clock.
//!
//! Create a [`Membership`] from [`Settings`], an instance number drawn at random on each process start, and a
//! random seed. Pass each received datagram to [`Membership::receive`], call [`Membership::due`] once
//! [`Membership::next_due`] has passed, and carry out the outputs from [`Membership::take_outputs`] after
//! each call.
//!
//! * `settings`: configuration of a member and its defaults.
//! * `member`: the state of one member and the updates that members exchange about it.
//! * `membership`: the protocol's state machine: probes, suspicion, dissemination, joining and leaving.
//! * `gossip`: the queue of updates that are piggybacked on other datagrams.
//! * `replay`: the sliding window that rejects replayed datagrams.
//! * `wire`: encoding, authentication and versioning of datagrams.
//! * `scheduler_count`: the number of schedulers by which each scheduler divides shared limits.
mod gossip;
mod member;
mod membership;
mod replay;
mod scheduler_count;
mod settings;
mod wire;

pub use member::{Member, MemberState, MemberUpdate};
pub use membership::{EntryCounts, Membership, Output};
pub use scheduler_count::SchedulerCount;
pub use settings::Settings;
pub use wire::{MAX_NAME_LENGTH, RejectReason};
