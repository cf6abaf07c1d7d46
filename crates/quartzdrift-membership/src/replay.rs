//! Replay protection: a sliding window over the sequence numbers of a sender's current instance (RFC 6479).

/// Datagrams that may overtake each other: far more than a network reorders.
const WINDOW: u64 = 64;
/// Earlier instances of a member whose datagrams are recognised as replayed.
const MAX_PAST_INSTANCES: usize = 8;

/// Which datagrams of one member were accepted.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayWindow {
    /// The member's current instance; 0 before its first datagram.
    pub(crate) instance: u64,
    past_instances: Vec<u64>,
    highest: u64,
    /// Bit `n` is set once the datagram numbered `highest - n` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Accepts a datagram; `false` if it was accepted before, is too old to tell, or is of an earlier instance.
    pub(crate) fn accept(&mut self, instance: u64, sequence: u64) -> bool {
        if self.past_instances.contains(&instance) {
            return false;
        }
        if instance != self.instance {
            self.begin_instance(instance);
        }
        if sequence > self.highest {
            self.advance(sequence);
            return true;
        }
        self.accept_late(self.highest - sequence)
    }

    fn begin_instance(&mut self, instance: u64) {
        if self.instance != 0 {
            self.past_instances.push(self.instance);
            let excess = self.past_instances.len().saturating_sub(MAX_PAST_INSTANCES);
            self.past_instances.drain(..excess);
        }
        self.instance = instance;
        self.highest = 0;
        self.accepted = 0;
    }

    fn advance(&mut self, sequence: u64) {
        let shift = sequence - self.highest;
        let earlier = if shift >= WINDOW {
            0
        } else {
            self.accepted << shift
        };
        self.accepted = earlier | 1;
        self.highest = sequence;
    }

    fn accept_late(&mut self, distance: u64) -> bool {
        let shift = distance.min(u64::from(u32::MAX)) as u32;
        let bit = 1u64.checked_shl(shift).unwrap_or(0);
        let is_new = bit != 0 && self.accepted & bit == 0;
        self.accepted |= bit;
        is_new
    }
}

#[cfg(test)]
mod tests;
