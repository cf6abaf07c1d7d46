//! Start and end of health checks and load commands.
use super::deadlines::TimerEvent;
use super::table::{PendingEnd, RequestTable};
use crate::command::{CommandKind, PendingCommand};
use crate::limits::MAX_COMMANDS;
use crate::output::Output;
use quartzdrift_scheduler::interface::{Event, Outcome};
use std::rc::Rc;
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Reports the end of a health check or load command. Has no effect if the command has already ended.
    ///
    /// `copies` applies to load commands: the number of copies of the function that the worker now holds.
    /// `report` applies to health checks: the load report, with one value for each metric in the order of the
    /// settings.
    pub fn command_ended(
        &mut self,
        now: Duration,
        command: u64,
        outcome: Outcome,
        copies: u32,
        report: Vec<Option<f64>>,
    ) {
        self.advance_clock(now);
        self.end_command(command, outcome, copies, report);
        self.process_pending_ends();
    }

    pub(super) fn start_health_check(&mut self, worker: Rc<str>) {
        if let Some(command) = self.start_command(worker.clone(), CommandKind::HealthCheck) {
            self.outputs.push(Output::CheckHealth { command, worker });
        }
    }

    pub(super) fn start_load(&mut self, worker: Rc<str>, function: Rc<str>, copies: u32) {
        let kind = CommandKind::Load {
            function: function.clone(),
        };
        if let Some(command) = self.start_command(worker.clone(), kind) {
            self.outputs.push(Output::Load {
                command,
                worker,
                function,
                copies,
            });
        }
    }

    /// Registers a command and returns its id, or `None` if the command must not be sent. In that case the
    /// scheduler is notified of the command's end later.
    fn start_command(&mut self, worker: Rc<str>, kind: CommandKind) -> Option<u64> {
        let command = self.next_id();
        let refusal = if !self.workers.contains_key(&worker) {
            Some(Outcome::ConnectFailed)
        } else if self.commands.len() >= MAX_COMMANDS {
            Some(Outcome::AtCapacity)
        } else {
            None
        };
        let timeout_at = self.now + self.limits.command_timeout;
        let pending = PendingCommand {
            kind,
            worker,
            sent_at: self.now,
            timer: self.timers.set(timeout_at, TimerEvent::CommandTimeout(command)),
        };
        self.commands.insert(command, pending);
        let Some(outcome) = refusal else {
            return Some(command);
        };
        self.pending_ends.push_back(PendingEnd::Command(command, outcome));
        None
    }

    /// Removes a command and notifies the scheduler of its end.
    pub(super) fn end_command(
        &mut self,
        command: u64,
        outcome: Outcome,
        copies: u32,
        report: Vec<Option<f64>>,
    ) {
        let Some(pending) = self.commands.remove(&command) else {
            return;
        };
        self.timers.cancel(pending.timer);
        let worker = &*pending.worker;
        let duration = self.now.saturating_sub(pending.sent_at);
        match &pending.kind {
            CommandKind::HealthCheck => self.notify_scheduler(Event::HealthChecked {
                worker,
                outcome,
                duration,
                report,
            }),
            CommandKind::Load { function } => self.notify_scheduler(Event::LoadEnded {
                worker,
                function,
                outcome,
                duration,
                copies,
            }),
        }
    }
}
