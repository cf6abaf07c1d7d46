//! Keeps the memory that is held for clients within its budget: what they have sent of requests, the bodies
//! of open requests, and responses that they have not read.
//!
//! Where a client's next bytes do not fit, partial requests of clients that hold more are refused first, and
//! then its own request; both may be sent again. Reading continues in any case: the end of a connection or
//! an abort may follow the bytes, and no attempt may begin after those.
use super::client_connection::find_client;
use super::requests::FULL_RETRY_AFTER;
use super::{Node, Peer};
use quartzdrift_http::sockets::{Socket, SocketId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of memory that an open request uses in all tables, apart from its body.
const OPEN_REQUEST_BYTES: usize = 2 << 10;
/// Copies of a body: the one that is kept for further attempts, and the one in the output to a worker.
const BODY_COPIES: usize = 2;
/// Interval between two log lines on refused requests.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The bytes of the open requests of one client. The charges of its requests share it.
#[derive(Debug)]
pub(super) struct RequestBytes {
    held: Cell<usize>,
    /// Whether the client has disconnected, so that `held` counts in `unowned` too.
    is_unowned: Cell<bool>,
    unowned: Rc<Cell<usize>>,
}

impl RequestBytes {
    /// The bytes of a new client. `unowned` counts the bytes of all clients that have disconnected.
    pub(super) fn new(unowned: Rc<Cell<usize>>) -> Rc<RequestBytes> {
        Rc::new(RequestBytes {
            held: Cell::new(0),
            is_unowned: Cell::new(false),
            unowned,
        })
    }

    /// Charges an open request with a body of `body_bytes` bytes, until the result is dropped.
    fn charge(self: &Rc<RequestBytes>, body_bytes: usize) -> RequestCharge {
        let bytes = request_bytes(body_bytes);
        self.held.set(self.held.get() + bytes);
        RequestCharge {
            bytes,
            owner: self.clone(),
        }
    }

    /// Counts the bytes that are still held for attempts in flight of a client that has disconnected.
    fn disown(&self) {
        self.is_unowned.set(true);
        self.unowned.set(self.unowned.get() + self.held.get());
    }
}

/// The bytes of one open request. They are released when this is dropped.
#[derive(Debug)]
pub(super) struct RequestCharge {
    bytes: usize,
    owner: Rc<RequestBytes>,
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        let owner = &self.owner;
        owner.held.set(owner.held.get() - self.bytes);
        if owner.is_unowned.get() {
            owner.unowned.set(owner.unowned.get() - self.bytes);
        }
    }
}

/// Bytes that an open request with a body of `body_bytes` bytes is charged.
fn request_bytes(body_bytes: usize) -> usize {
    OPEN_REQUEST_BYTES + body_bytes * BODY_COPIES
}

/// The bytes that are held for clients, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldBytes {
    input: usize,
    partial_requests: usize,
    open_requests: usize,
    unsent_responses: usize,
}

impl HeldBytes {
    /// The bytes that are held for the client on a socket; none for a worker.
    fn of(socket: &Socket<Peer>) -> HeldBytes {
        let Peer::Client(client) = &socket.state else {
            return HeldBytes::default();
        };
        HeldBytes {
            input: socket.input.capacity(),
            partial_requests: client.responder.memory_bytes(),
            open_requests: client.request_bytes.held.get(),
            unsent_responses: socket.output_capacity(),
        }
    }

    fn total(self) -> usize {
        self.input + self.without_input()
    }

    fn without_input(self) -> usize {
        self.partial_requests + self.open_requests + self.unsent_responses
    }

    fn add(self, other: HeldBytes) -> HeldBytes {
        HeldBytes {
            input: self.input + other.input,
            partial_requests: self.partial_requests + other.partial_requests,
            open_requests: self.open_requests + other.open_requests,
            unsent_responses: self.unsent_responses + other.unsent_responses,
        }
    }
}

/// Log lines on a full budget, one when it becomes full and one when it has room again.
#[derive(Debug, Default)]
pub(super) struct MemoryLog {
    /// Refused requests since the budget became full.
    refused: u64,
    last_refused_at: Duration,
    is_full: bool,
}

impl Node {
    /// Updates the budget by what a client holds now.
    pub(super) fn update_held_bytes(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let held = HeldBytes::of(socket).total();
        let Peer::Client(client) = &mut socket.state else {
            return;
        };
        let previous = std::mem::replace(&mut client.accounted_bytes, held);
        self.memory.update(previous, held);
        if self.memory.is_exceeded() {
            self.close_longest_unread();
        }
    }

    /// Releases what was held for a client that has disconnected.
    pub(super) fn release_held_bytes(&mut self, accounted_bytes: usize, request_bytes: &RequestBytes) {
        self.memory.update(accounted_bytes, 0);
        request_bytes.disown();
    }

    /// Returns the bytes that the partial requests of a client may use while its input is processed. If the
    /// input does not fit, refuses partial requests of clients that hold more.
    pub(super) fn partial_request_limit(&mut self, id: SocketId) -> usize {
        self.update_held_bytes(id);
        let Some(socket) = self.sockets.get(id) else {
            return 0;
        };
        let held = HeldBytes::of(socket);
        let needed = held.without_input() + socket.input.len();
        self.free_shared_bytes(id, needed);
        let others = held.without_input() - held.partial_requests;
        self.max_held_bytes(id).saturating_sub(others)
    }

    /// Charges a client for an open request with a body of `body_bytes` bytes; `None` if it does not fit.
    pub(super) fn charge_request(&mut self, id: SocketId, body_bytes: usize) -> Option<RequestCharge> {
        let held = HeldBytes::of(self.sockets.get(id)?).without_input();
        let needed = held + request_bytes(body_bytes);
        self.free_shared_bytes(id, needed);
        if needed > self.max_held_bytes(id) {
            return None;
        }
        let charge = find_client(&mut self.sockets, id)?
            .request_bytes
            .charge(body_bytes);
        self.update_held_bytes(id);
        Some(charge)
    }

    /// Refuses a request that does not fit into the budget. It never ran, so the client may send it again.
    pub(super) fn refuse_without_memory(&mut self, id: SocketId, request_id: u16) {
        self.counts.refused_without_memory += 1;
        self.memory_log.refused += 1;
        self.memory_log.last_refused_at = self.now();
        if !std::mem::replace(&mut self.memory_log.is_full, true) {
            let (used, limit) = (self.memory.used(), self.memory.limit());
            tracing::info!(used, limit, "memory for clients is full: requests are refused");
        }
        self.respond(id, request_id, 503, "no memory", Some(FULL_RETRY_AFTER));
    }

    /// Logs once that no request has been refused for [`LOG_INTERVAL`].
    pub(super) fn log_memory_state(&mut self, now: Duration) {
        let log = &mut self.memory_log;
        if log.is_full && now >= log.last_refused_at + LOG_INTERVAL {
            let refused = std::mem::take(&mut log.refused);
            log.is_full = false;
            let highest = self.memory.highest_used();
            tracing::info!(refused, highest, "memory for clients has room again");
        }
    }

    /// Logs the bytes that are held for all clients, by kind.
    pub(super) fn log_held_bytes(&self) {
        let sockets = self.sockets.iter();
        let held = sockets.fold(HeldBytes::default(), |sum, (_, socket)| {
            sum.add(HeldBytes::of(socket))
        });
        let blocked = self
            .sockets
            .iter()
            .filter_map(|(_, socket)| socket.write_blocked_since());
        let oldest_unsent = blocked.min().map(|since| since.elapsed());
        tracing::debug!(
            ?oldest_unsent,
            limit = self.memory.limit(),
            used = self.memory.used(),
            highest = self.memory.highest_used(),
            input = held.input,
            partial_requests = held.partial_requests,
            open_requests = held.open_requests,
            unsent_responses = held.unsent_responses,
            disconnected = self.unowned_bytes.get(),
            "memory for clients"
        );
    }

    /// The bytes that a client may hold at most.
    fn max_held_bytes(&self, id: SocketId) -> usize {
        let accounted = match self.sockets.get(id).map(|socket| &socket.state) {
            Some(Peer::Client(client)) => client.accounted_bytes,
            Some(Peer::WorkerConnection(_)) | None => 0,
        };
        self.memory.max_bytes(accounted, self.unowned_bytes.get())
    }

    /// Refuses partial requests of clients that hold more than `needed` bytes, the largest holder first,
    /// until a client may hold that much. Each refusal frees memory, so the number of rounds is bounded by
    /// the number of partial requests.
    fn free_shared_bytes(&mut self, id: SocketId, needed: usize) {
        while needed > self.max_held_bytes(id) {
            let Some(holder) = self.largest_partial_holder(needed).filter(|holder| *holder != id) else {
                return;
            };
            let Some(client) = find_client(&mut self.sockets, holder) else {
                return;
            };
            let Some(request_id) = client.responder.refuse_newest_partial_request() else {
                return;
            };
            self.refuse_without_memory(holder, request_id);
            self.update_held_bytes(holder);
            self.update_client_deadline(holder);
        }
    }

    /// The client with partial requests that holds most, if that is more than `bytes`.
    fn largest_partial_holder(&self, bytes: usize) -> Option<SocketId> {
        let holders = self
            .sockets
            .iter()
            .filter_map(|(id, socket)| match &socket.state {
                Peer::Client(client) if client.accounted_bytes > bytes => client
                    .responder
                    .has_partial_request()
                    .then_some((client.accounted_bytes, id)),
                Peer::Client(_) | Peer::WorkerConnection(_) => None,
            });
        holders.max().map(|(_, id)| id)
    }

    /// Closes the client that has not read its responses for the longest time, if it holds more than its
    /// guarantee.
    fn close_longest_unread(&mut self) {
        let guaranteed = self.memory.guaranteed();
        let unread = self
            .sockets
            .iter()
            .filter_map(|(id, socket)| match &socket.state {
                Peer::Client(_) if socket.output_capacity() > guaranteed => {
                    socket.write_blocked_since().map(|since| (since, id))
                }
                Peer::Client(_) | Peer::WorkerConnection(_) => None,
            });
        if let Some((_, id)) = unread.min() {
            self.counts.closed_without_memory += 1;
            self.drop_client(id);
        }
    }
}

#[cfg(test)]
mod tests;
