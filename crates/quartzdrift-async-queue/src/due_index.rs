//! Order of the waiting invocations: round robin among the tenants, so that a tenant with many invocations
//! does not delay those of other tenants, and by due time within a tenant.
use crate::invocation::InvocationId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Waiting invocations by tenant and due time.
#[derive(Debug, Default)]
pub(crate) struct DueIndex {
    by_tenant: BTreeMap<u32, BTreeSet<(Duration, InvocationId)>>,
    /// Number of the last turn of each tenant. Of the tenants with due invocations, the one with the lowest
    /// number is next.
    last_turns: BTreeMap<u32, u64>,
    /// Number of turns so far, of all tenants.
    turn_count: u64,
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

    /// The earliest due time of all waiting invocations.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.earliest_by_tenant().map(|(_, (due_at, _))| due_at).min()
    }

    /// Removes and returns the next invocation that is due at `now`, and counts a turn for its tenant.
    pub(crate) fn take_next(&mut self, now: Duration) -> Option<InvocationId> {
        let (tenant, (due_at, id)) = self
            .earliest_by_tenant()
            .filter(|(_, (due_at, _))| *due_at <= now)
            .min_by_key(|(tenant, earliest)| (self.last_turn(*tenant), *earliest))?;
        self.turn_count += 1;
        self.last_turns.insert(tenant, self.turn_count);
        self.remove(tenant, due_at, id);
        Some(id)
    }

    /// Tenant, due time and id of the earliest waiting invocation of each tenant.
    fn earliest_by_tenant(&self) -> impl Iterator<Item = (u32, (Duration, InvocationId))> {
        self.by_tenant
            .iter()
            .filter_map(|(tenant, waiting)| Some((*tenant, *waiting.first()?)))
    }

    fn last_turn(&self, tenant: u32) -> u64 {
        self.last_turns.get(&tenant).copied().unwrap_or(0)
    }
}
