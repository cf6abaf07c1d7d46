//! Replay protection: a sliding window over the sequence numbers of a sender's current instance (RFC 6479).

/// Width of the window in sequence numbers: a datagram may arrive after up to 63 later ones and is still
/// accepted. Networks reorder far less than that.
const WINDOW_SIZE: u64 = 64;
/// Number of earlier instances of a member whose datagrams are still recognised as replayed.
const MAX_PAST_INSTANCES: usize = 8;

/// The datagrams of one member that were accepted.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayWindow {
    /// The member's current instance; 0 before its first datagram.
    pub(crate) instance: u64,
    past_instances: Vec<u64>,
    /// The highest accepted sequence number of the current instance.
    highest_sequence: u64,
    /// Bit `n` is set once the datagram numbered `highest_sequence - n` was accepted.
    accepted_bits: u64,
}

impl ReplayWindow {
    /// Records a datagram as accepted. Returns `false` if it was accepted before, precedes the window, or is
    /// of an earlier instance.
    pub(crate) fn accept(&mut self, instance: u64, sequence: u64) -> bool {
        if self.past_instances.contains(&instance) {
            return false;
        }
        if instance != self.instance {
            self.begin_instance(instance);
        }
        if sequence > self.highest_sequence {
            self.advance(sequence);
            return true;
        }
        self.accept_out_of_order(self.highest_sequence - sequence)
    }

    fn begin_instance(&mut self, instance: u64) {
        if self.instance != 0 {
            self.past_instances.push(self.instance);
            let excess = self.past_instances.len().saturating_sub(MAX_PAST_INSTANCES);
            self.past_instances.drain(..excess);
        }
        self.instance = instance;
        self.highest_sequence = 0;
        self.accepted_bits = 0;
    }

    /// Moves the window forward so that it ends at `sequence`, and marks that number as accepted.
    fn advance(&mut self, sequence: u64) {
        let shift = sequence - self.highest_sequence;
        let earlier_bits = if shift >= WINDOW_SIZE {
            0
        } else {
            self.accepted_bits << shift
        };
        self.accepted_bits = earlier_bits | 1;
        self.highest_sequence = sequence;
    }

    /// Accepts the datagram `distance` numbers before the highest one, unless it was accepted before or
    /// precedes the window.
    fn accept_out_of_order(&mut self, distance: u64) -> bool {
        let shift = distance.min(u64::from(u32::MAX)) as u32;
        let bit = 1u64.checked_shl(shift).unwrap_or(0);
        let is_new = bit != 0 && self.accepted_bits & bit == 0;
        self.accepted_bits |= bit;
        is_new
    }
}

#[cfg(test)]
mod tests;
