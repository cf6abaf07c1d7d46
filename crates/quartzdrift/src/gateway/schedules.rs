//! Submits an asynchronous invocation for each trigger of a schedule.
use super::Gateway;
use quartzdrift_async_queue::Invocation;
use quartzdrift_schedules::{ScheduleWarning, Trigger};
use std::rc::Rc;
use std::time::Duration;

/// Tenant of scheduled invocations. They have no client, and count for the first tenant.
const SCHEDULE_TENANT: u32 = 0;

impl Gateway {
    /// Time of the next trigger. `None` during the drain, and while the recovery does not allow schedules.
    pub(super) fn next_trigger_due(&self) -> Option<Duration> {
        let allowed = self
            .recovery
            .as_ref()
            .is_none_or(|recovery| recovery.state_machine.allows_schedules());
        self.schedules
            .next_due()
            .filter(|_| !self.is_draining() && allowed)
    }

    /// Submits an invocation for each trigger that is due.
    pub(super) fn submit_due_triggers(&mut self, now: Duration) {
        if self.next_trigger_due().is_none_or(|due_at| due_at > now) {
            return;
        }
        let due = self.schedules.take_due(now);
        due.warnings.iter().for_each(log_warning);
        if !due.triggers.is_empty() {
            // The checkpoint prevents these triggers from firing again after a restart.
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
            ..self.new_invocation(&trigger.function, &function, SCHEDULE_TENANT, payload)
        };
        self.counts.triggered += 1;
        if let Err(reason) = self.queue_invocation(invocation) {
            tracing::error!(
                timer = trigger.schedule,
                why = ?reason,
                "schedule trigger lost: the asynchronous queue is full"
            );
            self.schedules.record_completion(&trigger.schedule);
        }
    }
}

fn log_warning(warning: &ScheduleWarning) {
    match warning {
        ScheduleWarning::Misfired { schedule, count } => {
            tracing::warn!(timer = schedule, count, "schedule triggers missed");
        }
        ScheduleWarning::Overlapped {
            schedule,
            scheduled_for,
        } => tracing::warn!(
            timer = schedule,
            at = ?scheduled_for,
            "schedule trigger skipped: the last invocation is still open"
        ),
    }
}
