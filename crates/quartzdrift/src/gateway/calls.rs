//! Calls that the gateway has made to workers and other servers and that have not ended, with their purposes.
use super::context::RequestContext;
use super::destinations::DestinationEvent;
use crate::attempts::AttemptCarriers;
use quartzdrift_http::CallId;
use quartzdrift_scheduler::interface::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// An attempt that is under way as a call to its worker.
#[derive(Debug)]
pub(super) struct AttemptCall {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) context: Rc<RequestContext>,
    pub(super) worker: Rc<str>,
    /// Whether its answer has begun to reach the client.
    pub(super) is_streaming: bool,
}

/// Why a call was made; it decides what its end means.
#[derive(Debug)]
pub(super) enum CallPurpose {
    Attempt(AttemptCall),
    HealthCheck {
        command: u64,
    },
    Load {
        command: u64,
    },
    /// Its end is not reported.
    Unload,
    /// The whole endpoint list.
    EndpointList,
    /// The stream of endpoint list changes.
    EndpointStream,
    /// The event of a completed asynchronous invocation, on its way to an HTTP destination.
    Destination(DestinationEvent),
}

/// All calls that have not ended, also by the attempts and commands that they carry.
#[derive(Debug, Default)]
pub(super) struct OutgoingCalls {
    purposes: HashMap<CallId, CallPurpose>,
    attempts: AttemptCarriers<CallId>,
    commands: HashMap<u64, CallId>,
}

impl OutgoingCalls {
    pub(super) fn get(&self, call: &CallId) -> Option<&CallPurpose> {
        self.purposes.get(call)
    }

    /// The purposes of all calls, in no order.
    pub(super) fn values(&self) -> impl Iterator<Item = &CallPurpose> {
        self.purposes.values()
    }

    pub(super) fn attempts(&self) -> &AttemptCarriers<CallId> {
        &self.attempts
    }

    /// The call of a health check or load command.
    pub(super) fn command(&self, command: u64) -> Option<CallId> {
        self.commands.get(&command).copied()
    }

    /// The attempt of a request whose answer has begun to reach the client. Looks at every call.
    pub(super) fn streaming_attempt(&self, request: RequestId) -> Option<u32> {
        self.purposes.values().find_map(|purpose| match purpose {
            CallPurpose::Attempt(call) if call.request == request && call.is_streaming => Some(call.attempt),
            _ => None,
        })
    }

    pub(super) fn insert(&mut self, call: CallId, purpose: CallPurpose) {
        match &purpose {
            CallPurpose::Attempt(of) => self.attempts.insert(of.request, of.attempt, call),
            CallPurpose::HealthCheck { command } | CallPurpose::Load { command } => {
                self.commands.insert(*command, call);
            }
            CallPurpose::Unload
            | CallPurpose::EndpointList
            | CallPurpose::EndpointStream
            | CallPurpose::Destination(_) => {}
        }
        self.purposes.insert(call, purpose);
    }

    /// The attempt that a call carries, to be changed in place.
    pub(super) fn attempt_mut(&mut self, call: &CallId) -> Option<&mut AttemptCall> {
        match self.purposes.get_mut(call)? {
            CallPurpose::Attempt(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Forgets a call that has ended or is cancelled.
    pub(super) fn remove(&mut self, call: &CallId) -> Option<CallPurpose> {
        let purpose = self.purposes.remove(call)?;
        match &purpose {
            CallPurpose::Attempt(of) => {
                self.attempts.remove(of.request, of.attempt);
            }
            CallPurpose::HealthCheck { command } | CallPurpose::Load { command } => {
                self.commands.remove(command);
            }
            CallPurpose::Unload
            | CallPurpose::EndpointList
            | CallPurpose::EndpointStream
            | CallPurpose::Destination(_) => {}
        }
        Some(purpose)
    }
}
