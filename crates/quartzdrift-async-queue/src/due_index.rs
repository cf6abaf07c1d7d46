//! Which waiting invocation is attempted next. Tenants take turns, so that one with many invocations does not hold up the
//! others; within a tenant the earliest due time goes first.
use crate::invocation::InvocationId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Waiting invocations by tenant and due time.
#[derive(Debug, Default)]
pub(crate) struct DueIndex {
    by_tenant: BTreeMap<u32, BTreeSet<(Duration, InvocationId)>>,
    /// Number of each tenant's last turn: the tenant with the lowest one is next.
    last_turns: BTreeMap<u32, u64>,
    turns: u64,
}

impl DueIndex {
    pub(crate) fn insert(&mut self, tenant: u32, due_at: Duration, id: InvocationId) {
        self.by_tenant.entry(tenant).or_default().insert((due_at, id));
    }

    pub(crate) fn remove(&mut self, tenant: u32, due_at: Duration, id: InvocationId) {
        if let Some(waiting) = self.by_tenant.get_mut(&tenant) {
            waiting.remove(&(due_at, id));
            if waiting.is_empty() {
                self.by_tenant.remove(&tenant);
            }
        }
    }

    /// The earliest due time of all.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.earliest_by_tenant().map(|(_, (due_at, _))| due_at).min()
    }

    /// Removes the next invocation that is due, and gives its tenant a turn.
    pub(crate) fn take_next(&mut self, now: Duration) -> Option<InvocationId> {
        let (tenant, (due_at, id)) = self
            .earliest_by_tenant()
            .filter(|(_, (due_at, _))| *due_at <= now)
            .min_by_key(|(tenant, earliest)| (self.last_turn(*tenant), *earliest))?;
        self.turns += 1;
        self.last_turns.insert(tenant, self.turns);
        self.remove(tenant, due_at, id);
        Some(id)
    }

    fn earliest_by_tenant(&self) -> impl Iterator<Item = (u32, (Duration, InvocationId))> {
        self.by_tenant
            .iter()
            .filter_map(|(tenant, waiting)| Some((*tenant, *waiting.first()?)))
    }

    fn last_turn(&self, tenant: u32) -> u64 {
        self.last_turns.get(&tenant).copied().unwrap_or(0)
    }
}
