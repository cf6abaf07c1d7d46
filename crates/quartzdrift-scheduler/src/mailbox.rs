//! Mailbox for the messages between the request table and the workers.
use std::collections::VecDeque;

/// Receiver of a message.
#[derive(Clone, Copy)]
pub(crate) enum Recipient {
    /// The request table.
    RequestTable,
    /// The worker with this index.
    Worker(usize),
}

/// Messages with their recipients, delivered in the order in which they were sent.
pub(crate) struct Mailbox<M> {
    queue: VecDeque<(Recipient, M)>,
}

impl<M> Default for Mailbox<M> {
    fn default() -> Self {
        Mailbox { queue: VecDeque::new() }
    }
}

impl<M> Mailbox<M> {
    pub(crate) fn send_to_request_table(&mut self, message: M) {
        self.queue.push_back((Recipient::RequestTable, message));
    }

    pub(crate) fn send_to_worker(&mut self, index: usize, message: M) {
        self.queue.push_back((Recipient::Worker(index), message));
    }

    pub(crate) fn next(&mut self) -> Option<(Recipient, M)> {
        self.queue.pop_front()
    }
}
