//! The state of one member and the updates that members exchange about it.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// SWIM's member states, in the order in which one overrides the other at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe and may still refute the suspicion.
    Suspect,
    /// Did not refute a suspicion in time.
    Dead,
    /// Announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether such a member takes part in the protocol: suspects do until they are declared dead.
    pub(crate) fn is_reachable(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// One statement about a member, as gossip carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member that the update is about.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its process instance, drawn at each start.
    pub instance: u64,
    /// SWIM's incarnation, raised by the member itself to refute updates about it.
    pub incarnation: u32,
    /// Its state according to this update.
    pub state: MemberState,
    /// The instance of the member that first suspects it; 0 in updates that are not accusations.
    pub accuser: u64,
}

/// A member as this one currently sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique within the cluster.
    pub name: Rc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its process instance, drawn at each start.
    pub instance: u64,
    /// SWIM's incarnation, raised by the member itself to refute updates about it.
    pub incarnation: u32,
    /// Its state as far as this member knows.
    pub state: MemberState,
    /// When it entered this state, by the caller's clock.
    pub state_since: Duration,
}

impl Member {
    /// The member that an update introduces, as of `now`.
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

    /// The update that makes others see this member as this one does.
    pub(crate) fn to_update(&self, accuser: u64) -> MemberUpdate {
        MemberUpdate {
            name: self.name.to_string(),
            address: self.address,
            instance: self.instance,
            incarnation: self.incarnation,
            state: self.state,
            accuser,
        }
    }

    /// Takes over what an update says.
    pub(crate) fn apply(&mut self, update: &MemberUpdate, now: Duration) {
        self.address = update.address;
        self.instance = update.instance;
        self.incarnation = update.incarnation;
        self.state = update.state;
        self.state_since = now;
    }

    /// Whether nobody suspects it.
    pub(crate) fn is_alive(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Whether SWIM's order lets the update override the current state.
    pub(crate) fn is_overridden_by(&self, update: &MemberUpdate) -> bool {
        (self.incarnation, self.state) < (update.incarnation, update.state)
    }
}
