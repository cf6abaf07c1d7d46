//! Divides the memory of the process: one part for the code, the scheduler's tables and what the allocator
//! keeps, the other for the data that is held for clients.
//!
//! Every client has a guaranteed part of its own. What a client holds beyond that comes from a part that all
//! clients share. So clients that hold much cannot displace one that holds little.

/// Bytes in a megabyte of the configured limit.
const BYTES_PER_MB: f64 = (1 << 20) as f64;
/// Share of the memory limit for the data of clients.
const CLIENT_SHARE: f64 = 0.4;
/// Share of the clients' part that is guaranteed to them in equal parts.
const GUARANTEED_SHARE: f64 = 0.5;

/// The bytes that clients hold, and their maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    limit: usize,
    guaranteed: usize,
    shared_limit: usize,
    used: usize,
    shared_used: usize,
    highest_used: usize,
}

impl MemoryBudget {
    /// Divides a limit of `memory_mb` megabytes of private memory between at most `max_clients` clients.
    pub fn divide(memory_mb: f64, max_clients: usize) -> MemoryBudget {
        let limit = memory_mb * BYTES_PER_MB * CLIENT_SHARE;
        let guaranteed = limit * GUARANTEED_SHARE;
        MemoryBudget {
            limit: limit as usize,
            guaranteed: guaranteed as usize / max_clients.max(1),
            shared_limit: (limit - guaranteed) as usize,
            used: 0,
            shared_used: 0,
            highest_used: 0,
        }
    }

    /// Replaces the `previous` bytes of a client by its `current` bytes.
    pub fn update(&mut self, previous: usize, current: usize) {
        self.used = (self.used + current).saturating_sub(previous);
        self.shared_used = (self.shared_used + self.excess(current)).saturating_sub(self.excess(previous));
        self.highest_used = self.highest_used.max(self.used);
    }

    /// Returns the bytes that a client may hold at most, if `current` is what it was last updated to and
    /// `unowned` bytes are held for clients that have disconnected.
    pub fn max_bytes(&self, current: usize, unowned: usize) -> usize {
        let used_by_others = self.shared_used.saturating_sub(self.excess(current)) + unowned;
        self.guaranteed + self.shared_limit.saturating_sub(used_by_others)
    }

    /// Bytes that are guaranteed to each client.
    pub fn guaranteed(&self) -> usize {
        self.guaranteed
    }

    /// Whether clients hold more than the limit, which only data can do that cannot be refused.
    pub fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }

    /// Bytes that all clients may hold.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that all clients hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// The most bytes that all clients have held at any time.
    pub fn highest_used(&self) -> usize {
        self.highest_used
    }

    /// The part of a client's bytes that is beyond its guarantee.
    fn excess(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.guaranteed)
    }
}

#[cfg(test)]
mod tests;
