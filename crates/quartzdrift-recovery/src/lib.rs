//! From the start of a scheduler to full service. No I/O, no clock.
//!
//! Make a [`Recovery`] from what was found on disk ([`Found`]). Tell it of members ([`Recovery::member`]), of what they say
//! ([`Recovery::told`]) and of time ([`Recovery::due`]), and carry out [`Recovery::outputs`]. It says what kind of start this
//! is ([`Kind`]), what is believed ([`beliefs`]), and what is let in meanwhile ([`Stage`]). Where a request goes is not decided
//! here.
//!
//! * `moment`: clocks before and after, and how much time lies between.
//! * `topics`: what members ask and answer, and its bounds.
//! * `start`: kinds of start, by evidence.
//! * `trust`: what of each thing kept is believed; the table of docs/design-recovery.md.
//! * `backlog`: how many asynchronous requests are let in.
//! * `pace`: which functions' calls are let in while copies return.
//! * `recovery`: the state machine.
mod backlog;
mod moment;
mod pace;
mod recovery;
mod start;
mod topics;
mod trust;

pub use backlog::Backlog;
pub use moment::{Age, Moment};
pub use pace::{Came, Copy};
pub use recovery::{Output, Recovery, Settings, Stage, View};
pub use start::{Disk, Found, Kind, Mark, Verdict};
pub use topics::{About, RECOVERY, Said, Unread};
pub use trust::{Belief, Thing, beliefs, repeats_known, waiting_in_doubt};
