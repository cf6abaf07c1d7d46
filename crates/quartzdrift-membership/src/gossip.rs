//! The queue of member updates that are piggybacked on other datagrams. Each update is sent a number of times that is
//! logarithmic in the size of the fleet, the least sent first (SWIM, section 4.1).
use crate::member::MemberUpdate;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// SWIM's lambda: each member sends an update this many times the logarithm of the fleet's size.
const RETRANSMIT_MULTIPLIER: f64 = 4.0;

/// An update in the queue and how often it was sent.
struct QueuedUpdate {
    transmissions: u32,
    update: MemberUpdate,
}

/// Position of an update in the queue: the least sent first, then by name.
type QueuePosition = (u32, Rc<str>);

/// Updates that are still to be sent on, at most one per member.
#[derive(Default)]
pub(crate) struct GossipQueue {
    updates: BTreeMap<Rc<str>, QueuedUpdate>,
    order: BTreeSet<QueuePosition>,
}

impl GossipQueue {
    /// Queues an update in place of an earlier one about the same member.
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

    /// Hands updates to `try_send` until it refuses one, and drops those that a fleet of `size` has now been sent often
    /// enough.
    pub(crate) fn transmit(&mut self, size: usize, mut try_send: impl FnMut(&MemberUpdate) -> bool) {
        let mut sent = Vec::new();
        for position in &self.order {
            match self.updates.get(&position.1) {
                Some(queued) if try_send(&queued.update) => sent.push(position.clone()),
                Some(_) | None => break,
            }
        }
        let limit = retransmit_limit(size);
        for position in sent {
            self.count_transmission(position, limit);
        }
    }

    fn count_transmission(&mut self, position: QueuePosition, limit: u32) {
        self.order.remove(&position);
        let (before, name) = position;
        let transmissions = before + 1;
        if transmissions >= limit {
            self.updates.remove(&name);
            return;
        }
        if let Some(queued) = self.updates.get_mut(&name) {
            queued.transmissions = transmissions;
        }
        self.order.insert((transmissions, name));
    }

    /// Drops the update about a member, if there is one.
    pub(crate) fn remove(&mut self, name: &str) {
        if let Some(queued) = self.updates.remove(name) {
            self.order.remove(&(queued.transmissions, Rc::from(name)));
        }
    }

    /// Updates in the queue.
    pub(crate) fn len(&self) -> usize {
        self.updates.len()
    }
}

fn retransmit_limit(size: usize) -> u32 {
    (RETRANSMIT_MULTIPLIER * ((size + 1) as f64).log10().ceil()).max(1.0) as u32
}
