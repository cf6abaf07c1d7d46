//! Schedules: a trigger becomes an asynchronous invocation.
use super::Gateway;
use quartzdrift_async_queue::Invocation;
use quartzdrift_schedules::{ScheduleWarning, Trigger};
use std::rc::Rc;
use std::time::Duration;

/// Scheduled invocations are not on behalf of a client: they count for the first tenant.
const TENANT: u32 = 0;

impl Gateway {
    /// When a schedule triggers here. None does while the gateway stops, or before recovery allows it.
    pub(super) fn next_trigger_due(&self) -> Option<Duration> {
        let allowed = self
            .recovery
            .as_ref()
            .is_none_or(|recovery| recovery.machine.allows_schedules());
        self.schedules
            .next_due()
            .filter(|_| !self.is_draining() && allowed)
    }

    /// Submits an invocation for each trigger that is due.
    pub(super) fn start_due_triggers(&mut self, now: Duration) {
        if self.next_trigger_due().is_none_or(|due_at| due_at > now) {
            return;
        }
        let due = self.schedules.take_due(now);
        due.warnings.iter().for_each(log_warning);
        if !due.triggers.is_empty() {
            // What has triggered must not trigger again after a restart.
            self.write_checkpoint();
        }
        for trigger in &due.triggers {
            self.submit_trigger(trigger);
        }
    }

    fn submit_trigger(&mut self, trigger: &Trigger) {
        let payload = self
            .settings
            .schedules
            .iter()
            .find(|(schedule, _)| schedule.name == trigger.schedule)
            .map_or_else(|| Rc::from([]), |(_, payload)| payload.clone());
        let Some(function) = self.settings.function(&trigger.function) else {
            return;
        };
        let invocation = Invocation {
            schedule: Some(trigger.schedule.clone()),
            ..self.new_invocation(&trigger.function, &function, TENANT, payload)
        };
        self.counts.triggered += 1;
        if let Err(reason) = self.submit(invocation) {
            tracing::error!(
                timer = trigger.schedule,
                why = ?reason,
                "a firing was lost: no room for deferred jobs"
            );
            self.schedules.record_completion(&trigger.schedule);
        }
    }
}

fn log_warning(warning: &ScheduleWarning) {
    match warning {
        ScheduleWarning::Misfired { schedule, count } => {
            tracing::warn!(timer = schedule, count, "firings were missed");
        }
        ScheduleWarning::Overlapped {
            schedule,
            scheduled_for,
        } => tracing::warn!(timer = schedule, at = ?scheduled_for, "not fired: its last job is not over"),
    }
}
