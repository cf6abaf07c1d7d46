//! From the start of a scheduler to full service. No I/O, no clock.
//!
//! Create a [`Recovery`] from the [`StartupEvidence`] found on disk. Pass it the members of the fleet
//! ([`Recovery::member_seen`]), their messages ([`Recovery::receive`]) and the time ([`Recovery::due`]), and carry out
//! [`Recovery::take_outputs`]. It classifies the restart ([`RestartKind`]), decides what is restored
//! ([`restore_decisions`]), and limits what is admitted meanwhile ([`RecoveryPhase`]). Where a request goes is not decided
//! here.
//!
//! * `clock`: clock samples before and after a restart, and how much time lies between.
//! * `checkpoint`, `evidence`: what a start leaves on disk for the next one, and what that one finds.
//! * `messages`: what members ask and answer, and its bounds.
//! * `classification`: kinds of restart, by evidence.
//! * `restore_policy`: which state is restored; the table of docs/design-recovery.md.
//! * `backlog_drain`: how many asynchronous requests are admitted.
//! * `admission_ramp`, `cache_gossip`: which functions' calls are admitted while caches are cold.
//! * `recovery`, `phase`: the state machine and its phases.
//! * `settings`, `view`: its configuration, and what operators see of it.
mod admission_ramp;
mod backlog_drain;
mod cache_gossip;
mod checkpoint;
mod classification;
mod clock;
mod evidence;
mod messages;
mod phase;
mod recovery;
mod restore_policy;
mod settings;
mod view;

pub use admission_ramp::{CacheState, CacheUpdate, LoadResult, RampView};
pub use checkpoint::{Checkpoint, CheckpointNumber};
pub use classification::{RestartClassification, RestartKind};
pub use clock::{ClockSample, ElapsedTime};
pub use evidence::{DiskState, StartupEvidence};
pub use messages::{MemberStatus, MessageError, RECOVERY_TOPIC, RecoveryMessage};
pub use phase::RecoveryPhase;
pub use recovery::{Recovery, RecoveryOutput};
pub use restore_policy::{
    RestoreDecision, RestoreRow, StateItem, repeats_are_detected, restore_decisions,
    waiting_requests_may_have_run,
};
pub use settings::RecoverySettings;
pub use view::RecoveryView;
