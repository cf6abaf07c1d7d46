//! The queue of member updates that are piggybacked on other datagrams. Each update is sent a number of times
//! that is logarithmic in the size of the fleet; updates that were sent least often go first (SWIM, section
//! 4.1).
use crate::member::MemberUpdate;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// SWIM's lambda: in a fleet of `n` members, each member sends an update `lambda * ceil(log10(n + 1))` times.
const RETRANSMIT_MULTIPLIER: f64 = 4.0;

/// An update in the queue and the number of datagrams that it was sent in.
struct QueuedUpdate {
    transmissions: u32,
    update: MemberUpdate,
}

/// Position of an update in the queue: by number of transmissions, then by the member's name.
type QueuePosition = (u32, Rc<str>);

/// Updates that are still to be sent, at most one for each member.
#[derive(Default)]
pub(crate) struct GossipQueue {
    updates: BTreeMap<Rc<str>, QueuedUpdate>,
    order: BTreeSet<QueuePosition>,
}

impl GossipQueue {
    /// Queues an update and drops an earlier one about the same member.
    pub(crate) fn push(&mut self, update: MemberUpdate) {
        let name: Rc<str> = Rc::from(update.name.as_str());
        self.remove(&name);
        self.order.insert((0, name.clone()));
        let queued = QueuedUpdate {
            transmissions: 0,
            update,
        };
        self.updates.insert(name, queued);
    }

    /// Passes updates to `try_send` until it refuses one. Drops the updates that have now reached the number
    /// of transmissions for a fleet of `fleet_size` members.
    pub(crate) fn transmit(&mut self, fleet_size: usize, mut try_send: impl FnMut(&MemberUpdate) -> bool) {
        let mut sent = Vec::new();
        for position in &self.order {
            match self.updates.get(&position.1) {
                Some(queued) if try_send(&queued.update) => sent.push(position.clone()),
                Some(_) | None => break,
            }
        }
        let limit = retransmit_limit(fleet_size);
        for position in sent {
            self.count_transmission(position, limit);
        }
    }

    fn count_transmission(&mut self, position: QueuePosition, limit: u32) {
        self.order.remove(&position);
        let (previous_transmissions, name) = position;
        let transmissions = previous_transmissions + 1;
        if transmissions >= limit {
            self.updates.remove(&name);
            return;
        }
        if let Some(queued) = self.updates.get_mut(&name) {
            queued.transmissions = transmissions;
        }
        self.order.insert((transmissions, name));
    }

    /// Drops the queued update about a member, if there is one.
    pub(crate) fn remove(&mut self, name: &str) {
        if let Some(queued) = self.updates.remove(name) {
            self.order.remove(&(queued.transmissions, Rc::from(name)));
        }
    }

    /// The number of updates in the queue.
    pub(crate) fn len(&self) -> usize {
        self.updates.len()
    }
}

fn retransmit_limit(fleet_size: usize) -> u32 {
    (RETRANSMIT_MULTIPLIER * ((fleet_size + 1) as f64).log10().ceil()).max(1.0) as u32
}
