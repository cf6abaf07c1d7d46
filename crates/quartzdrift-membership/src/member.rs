//! The state of one member and the updates that members exchange about it.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The member states of SWIM. At the same incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member missed a probe and may still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member announced that it leaves the fleet.
    Left,
}

impl MemberState {
    /// Whether a member in this state takes part in the protocol. A suspect does until it is declared dead.
    pub(crate) fn is_reachable(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// The state of one member at one incarnation, as members exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Name of the member that the update describes.
    pub name: String,
    /// Address at which other members reach this member.
    pub address: SocketAddr,
    /// Identifies its process; drawn at random on each start.
    pub instance: u64,
    /// SWIM incarnation; the member raises it to refute updates about itself.
    pub incarnation: u32,
    /// The state that the update assigns to the member.
    pub state: MemberState,
    /// Instance of the member that suspects this one or declares it dead; 0 if the update only passes on a
    /// record.
    #[serde(rename = "accuser")]
    pub suspecting_instance: u64,
}

/// Another member as recorded in the local member table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, unique within the cluster.
    pub name: Rc<str>,
    /// Address at which other members reach this member.
    pub address: SocketAddr,
    /// Identifies its process; drawn at random on each start.
    pub instance: u64,
    /// SWIM incarnation; the member raises it to refute updates about itself.
    pub incarnation: u32,
    /// The last state that an update assigned to it.
    pub state: MemberState,
    /// When the update that set this state was applied, by the caller's clock.
    pub state_since: Duration,
}

impl Member {
    /// Creates the record of a member that `update` describes for the first time.
    pub(crate) fn from_update(update: &MemberUpdate, now: Duration) -> Member {
        Member {
            name: Rc::from(update.name.as_str()),
            address: update.address,
            instance: update.instance,
            incarnation: update.incarnation,
            state: update.state,
            state_since: now,
        }
    }

    /// Builds the update that passes this record on to other members.
    pub(crate) fn to_update(&self, suspecting_instance: u64) -> MemberUpdate {
        MemberUpdate {
            name: self.name.to_string(),
            address: self.address,
            instance: self.instance,
            incarnation: self.incarnation,
            state: self.state,
            suspecting_instance,
        }
    }

    /// Overwrites the record with the contents of an update about the same member.
    pub(crate) fn apply(&mut self, update: &MemberUpdate, now: Duration) {
        self.address = update.address;
        self.instance = update.instance;
        self.incarnation = update.incarnation;
        self.state = update.state;
        self.state_since = now;
    }

    /// Whether the member is [`MemberState::Alive`], so neither suspected, dead nor gone.
    pub(crate) fn is_alive(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Whether `update` overrides this record: SWIM orders updates by incarnation, then by state.
    pub(crate) fn is_overridden_by(&self, update: &MemberUpdate) -> bool {
        (self.incarnation, self.state) < (update.incarnation, update.state)
    }
}
