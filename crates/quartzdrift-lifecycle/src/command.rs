//! Pending commands to workers: health checks and load commands whose end is still to be reported.
use crate::timers::TimerId;
use std::rc::Rc;
use std::time::Duration;

/// Operation that a pending command requests from its worker.
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
    /// Timer that ends the command as timed out.
    pub(crate) timer: TimerId,
}
