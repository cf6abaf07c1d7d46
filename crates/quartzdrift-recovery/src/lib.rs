//! Recovery of a scheduler, from its start to full service. The crate does no I/O and reads no clock.
//!
//! Create a [`Recovery`] from the [`StartupEvidence`] found on disk. Pass it the members of the fleet
//! ([`Recovery::member_seen`]), their messages ([`Recovery::receive`]) and the time ([`Recovery::due`]), and
//! carry out the actions that [`Recovery::take_outputs`] returns. The recovery classifies the restart
//! ([`RestartKind`]), decides which state is restored ([`restore_decisions`]), and limits which requests are
//! admitted until full service ([`RecoveryPhase`]). It does not choose the worker of a request.
//!
//! * `clock`: clock samples before and after a restart, and the time between them.
//! * `checkpoint`, `evidence`: the state that a run leaves on disk, and its assessment by the next start.
//! * `messages`: messages between recovering members, and their maximum size.
//! * `classification`: the kinds of restart, and how the evidence distinguishes them.
//! * `restore_policy`: the decisions about which state is restored; docs/design-recovery.md has them as a
//!   table.
//! * `backlog_drain`: the limit of asynchronous requests in flight.
//! * `admission_ramp`, `cache_gossip`: the limit of calls that load a function while caches are cold.
//! * `recovery`, `phase`: the state machine and its phases.
//! * `settings`, `view`: the configuration of a recovery, and its state for operators.
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
