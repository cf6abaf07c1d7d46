//! What an event loop needs around a [`RequestTable`]: where each attempt in flight is, and carrying out the table's
//! outputs. Use it wherever attempts are sent over sockets.
use quartzdrift_lifecycle::{Output, RequestTable};
use quartzdrift_scheduler::interface::RequestId;
use std::collections::HashMap;

#[cfg(test)]
mod tests;

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptKey {
    request: RequestId,
    attempt: u32,
}

/// The carrier of each attempt in flight: the call or the connection, by its id, on which the attempt was sent.
#[derive(Debug)]
pub(crate) struct AttemptCarriers<C> {
    carriers: HashMap<AttemptKey, C>,
}

impl<C> Default for AttemptCarriers<C> {
    fn default() -> Self {
        AttemptCarriers {
            carriers: HashMap::new(),
        }
    }
}

impl<C: Copy> AttemptCarriers<C> {
    /// The carrier of an attempt, unless that has ended.
    pub(crate) fn get(&self, request: RequestId, attempt: u32) -> Option<C> {
        self.carriers.get(&AttemptKey { request, attempt }).copied()
    }

    /// Whether a byte of an attempt may have been sent. True of attempts that are not known here.
    pub(crate) fn has_left(
        &self,
        request: RequestId,
        attempt: u32,
        is_unsent: impl FnOnce(C) -> bool,
    ) -> bool {
        self.get(request, attempt)
            .is_none_or(|carrier| !is_unsent(carrier))
    }

    /// Number of attempts in flight.
    pub(crate) fn len(&self) -> usize {
        self.carriers.len()
    }

    /// Records the carrier of a new attempt.
    pub(crate) fn insert(&mut self, request: RequestId, attempt: u32, carrier: C) {
        self.carriers.insert(AttemptKey { request, attempt }, carrier);
    }

    /// Forgets an attempt that has ended, and returns its carrier.
    pub(crate) fn remove(&mut self, request: RequestId, attempt: u32) -> Option<C> {
        self.carriers.remove(&AttemptKey { request, attempt })
    }
}

/// An event loop that carries out the outputs of its request table.
pub(crate) trait CarryOut<P: Clone> {
    /// The request table.
    fn request_table(&mut self) -> &mut RequestTable<P>;

    /// Carries out one output. What that causes in the request table is carried out later.
    fn carry_out_one(&mut self, output: Output<P>);

    /// Carries out the outputs of the request table until there are none left.
    fn carry_out_all(&mut self) {
        loop {
            let outputs = self.request_table().take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.carry_out_one(output);
            }
        }
    }
}
