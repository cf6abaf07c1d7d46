//! Membership of a fleet of schedulers by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements (Dadgar, Phillips,
//! Currey 2017). No I/O, no clock.
//!
//! Create a [`Membership`] from [`Settings`], an instance number drawn anew at each process start, and a random seed. Pass
//! it each received datagram with [`Membership::receive`], call [`Membership::due`] when [`Membership::next_due`] has
//! passed, and carry out [`Membership::take_outputs`].
//!
//! * `settings`: configuration and its defaults.
//! * `member`: the state of one member and the updates that members exchange about it.
//! * `membership`: the protocol's state machine: probes, suspicion, dissemination, joining and leaving.
//! * `gossip`: the queue of updates that are piggybacked on other datagrams.
//! * `replay`: the sliding window that rejects replayed datagrams.
//! * `wire`: encoding, authentication and versioning of datagrams.
//! * `scheduler_count`: the number of schedulers that each scheduler divides shared limits by.
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
