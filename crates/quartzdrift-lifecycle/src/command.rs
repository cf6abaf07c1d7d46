//! Commands to workers beside attempts: health checks and load commands that wait for their end.
use crate::timers::TimerId;
use std::rc::Rc;
use std::time::Duration;

/// What a pending command asks of its worker.
#[derive(Debug)]
pub(crate) enum CommandKind {
    HealthCheck,
    Load { function: Rc<str> },
}

/// A command that has not ended yet.
#[derive(Debug)]
pub(crate) struct PendingCommand {
    pub(crate) kind: CommandKind,
    pub(crate) worker: Rc<str>,
    pub(crate) sent_at: Duration,
    /// Abandons the command when it fires.
    pub(crate) timer: TimerId,
}
