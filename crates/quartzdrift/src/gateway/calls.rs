//! Outgoing calls in progress to workers and other servers, with their purposes.
use super::context::RequestContext;
use super::destinations::DestinationEvent;
use crate::attempts::AttemptCarriers;
use quartzdrift_http::CallId;
use quartzdrift_scheduler::interface::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// An attempt in progress, sent to its worker in a call.
#[derive(Debug)]
pub(super) struct AttemptCall {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) context: Rc<RequestContext>,
    pub(super) worker: Rc<str>,
    /// Whether the response is being streamed to the client.
    pub(super) is_streaming: bool,
}

/// The purpose of an outgoing call, which determines how its result is handled.
#[derive(Debug)]
pub(super) enum CallPurpose {
    Attempt(AttemptCall),
    HealthCheck {
        command: u64,
    },
    Load {
        command: u64,
    },
    /// An unload command, whose result is ignored.
    Unload,
    /// A poll of the full endpoint list.
    EndpointList,
    /// The stream of endpoint list changes.
    EndpointStream,
    /// Delivery of the event of a completed asynchronous invocation to a URL.
    Destination(DestinationEvent),
}

/// All outgoing calls in progress, indexed also by attempt and by command.
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

    /// The purposes of all calls, in arbitrary order.
    pub(super) fn purposes(&self) -> impl Iterator<Item = &CallPurpose> {
        self.purposes.values()
    }

    pub(super) fn attempts(&self) -> &AttemptCarriers<CallId> {
        &self.attempts
    }

    /// The call that carries a health check or load command.
    pub(super) fn command_call(&self, command: u64) -> Option<CallId> {
        self.commands.get(&command).copied()
    }

    /// The number of the attempt whose response is being streamed to the client of this request. Scans all
    /// calls.
    pub(super) fn streaming_attempt(&self, request: RequestId) -> Option<u32> {
        self.purposes.values().find_map(|purpose| match purpose {
            CallPurpose::Attempt(call) if call.request == request && call.is_streaming => Some(call.attempt),
            _ => None,
        })
    }

    pub(super) fn insert(&mut self, call: CallId, purpose: CallPurpose) {
        match &purpose {
            CallPurpose::Attempt(attempt) => self.attempts.insert(attempt.request, attempt.attempt, call),
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

    /// Mutable access to the attempt that a call carries.
    pub(super) fn attempt_mut(&mut self, call: &CallId) -> Option<&mut AttemptCall> {
        match self.purposes.get_mut(call)? {
            CallPurpose::Attempt(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Removes a call that has ended or is cancelled.
    pub(super) fn remove(&mut self, call: &CallId) -> Option<CallPurpose> {
        let purpose = self.purposes.remove(call)?;
        match &purpose {
            CallPurpose::Attempt(attempt) => {
                self.attempts.remove(attempt.request, attempt.attempt);
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
