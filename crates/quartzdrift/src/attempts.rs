//! Connects a [`RequestTable`] to an event loop that sends attempts over sockets. [`AttemptCarriers`] maps
//! each attempt in flight to its call or connection; [`OutputHandler`] carries out the outputs of the request
//! table.
use quartzdrift_lifecycle::{Output, RequestTable};
use quartzdrift_scheduler::interface::RequestId;
use std::collections::HashMap;

#[cfg(test)]
mod tests;

/// Identifies an attempt of a request. Attempts are numbered within their request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptKey {
    request: RequestId,
    attempt: u32,
}

/// Maps each attempt in flight to its carrier: the id of the call or connection on which it is sent.
#[derive(Debug)]
pub(crate) struct AttemptCarriers<Carrier> {
    carriers: HashMap<AttemptKey, Carrier>,
}

impl<Carrier> Default for AttemptCarriers<Carrier> {
    fn default() -> Self {
        AttemptCarriers {
            carriers: HashMap::new(),
        }
    }
}

impl<Carrier: Copy> AttemptCarriers<Carrier> {
    /// The carrier of an attempt; `None` if the attempt has ended.
    pub(crate) fn get(&self, request: RequestId, attempt: u32) -> Option<Carrier> {
        self.carriers.get(&AttemptKey { request, attempt }).copied()
    }

    /// Whether any byte of an attempt may have been sent to the worker. `is_unsent` decides for the carrier
    /// of an attempt in flight; any other attempt is assumed to have been sent.
    pub(crate) fn may_have_been_sent(
        &self,
        request: RequestId,
        attempt: u32,
        is_unsent: impl FnOnce(Carrier) -> bool,
    ) -> bool {
        self.get(request, attempt)
            .is_none_or(|carrier| !is_unsent(carrier))
    }

    /// Number of attempts in flight.
    pub(crate) fn len(&self) -> usize {
        self.carriers.len()
    }

    /// Records the carrier of a new attempt.
    pub(crate) fn insert(&mut self, request: RequestId, attempt: u32, carrier: Carrier) {
        self.carriers.insert(AttemptKey { request, attempt }, carrier);
    }

    /// Removes an attempt that has ended, and returns its carrier.
    pub(crate) fn remove(&mut self, request: RequestId, attempt: u32) -> Option<Carrier> {
        self.carriers.remove(&AttemptKey { request, attempt })
    }
}

/// An event loop that carries out the outputs of its request table.
pub(crate) trait OutputHandler<P: Clone> {
    /// The request table.
    fn request_table(&mut self) -> &mut RequestTable<P>;

    /// Carries out one output. Further outputs that this causes stay in the request table.
    fn handle_output(&mut self, output: Output<P>);

    /// Carries out the outputs of the request table until it has none left.
    fn handle_outputs(&mut self) {
        loop {
            let outputs = self.request_table().take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.handle_output(output);
            }
        }
    }
}
