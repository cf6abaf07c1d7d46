//! Membership of a fleet of schedulers by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements (Dadgar, Phillips,
//! Currey 2017). No I/O, no clock.
//!
//! Make [`Members`] from settings, a life drawn anew at each start, and a seed. Give it each datagram with
//! [`Members::packet`], call [`Members::due`] when [`Members::next_due`] has come, and carry out [`Members::outputs`].
//!
//! * `wire`: datagrams, their key and version.
//! * `replay`: which datagrams of a peer were taken already.
//! * `news`: what is believed of each member, and what of it is passed on.
//! * `members`: probes, suspicion, joining and leaving.
//! * `count`: how many schedulers the decision module is told of.
mod count;
mod members;
mod news;
mod replay;
pub mod wire;

pub use count::Count;
pub use members::{Members, Output, Settings};
pub use news::{Member, State};
pub use wire::Refused;
