//! What the gateway holds of a request beside the request table, and its counts of requests.
use quartzdrift_async_queue::InvocationId;
use quartzdrift_http::Exchange;
use std::rc::Rc;
use std::time::Duration;
use uuid::Uuid;

/// Which frontend a request came from, and where its final answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client that waits for the answer.
    Client(Exchange),
    /// An asynchronous invocation.
    Asynchronous(InvocationId),
}

/// The gateway's part of a request, which the request table carries as its payload.
#[derive(Debug)]
pub struct RequestContext {
    /// The request's id on the wire, for clients and workers.
    pub id: Uuid,
    /// Where the final answer goes.
    pub origin: Origin,
    /// The function's input, sent with each attempt.
    pub payload: Rc<[u8]>,
    /// The client context, in base64 as it came.
    pub client_context: Option<String>,
    /// By which workers recognise another attempt of the same request.
    pub idempotency_key: Option<String>,
    /// The tenant's name, for workers.
    pub tenant: Option<String>,
    /// Whether requests of its class have streaming answers.
    pub streams: bool,
    /// Index of the request class in the settings.
    pub request_class: u32,
    /// When it was accepted, on the gateway's clock.
    pub accepted_at: Duration,
    /// Its number at the admission ramp, if it probes after a restart how much load the origin store bears.
    pub ramp_probe: Option<u32>,
}

impl RequestContext {
    /// The client to which the answer is streamed, if it is.
    pub(super) fn streaming_client(&self) -> Option<Exchange> {
        match self.origin {
            Origin::Client(exchange) if self.streams => Some(exchange),
            Origin::Client(_) | Origin::Asynchronous(_) => None,
        }
    }
}

/// Counts since the start, logged at the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Calls that were well formed and admitted.
    pub accepted: u64,
    /// Requests whose final answer is a worker's.
    pub succeeded: u64,
    /// Requests that may be retried.
    pub rejected: u64,
    /// Requests that failed without a worker's answer.
    pub failed: u64,
    /// Requests whose client left.
    pub cancelled: u64,
    /// Calls that were malformed or not admitted.
    pub refused: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Asynchronous invocations queued.
    pub asynchronous: u64,
    /// Triggers of schedules.
    pub triggered: u64,
}
