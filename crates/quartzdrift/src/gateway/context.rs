//! The gateway's data of each request, and counts of requests.
use quartzdrift_async_queue::InvocationId;
use quartzdrift_http::Exchange;
use std::rc::Rc;
use std::time::Duration;
use uuid::Uuid;

/// The frontend that a request came from, which receives its final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A client, which waits for the response on this HTTP exchange.
    Client(Exchange),
    /// The asynchronous invocation that the request is an attempt of.
    Asynchronous(InvocationId),
}

/// The gateway's data of one request, which the request table carries as its payload.
#[derive(Debug)]
pub struct RequestContext {
    /// Request id that clients and workers receive in the header `x-amzn-requestid`.
    pub id: Uuid,
    /// Receiver of the final response.
    pub origin: RequestOrigin,
    /// The function's input, sent with each attempt.
    pub payload: Rc<[u8]>,
    /// Client context of the call, in base64 as received.
    pub client_context: Option<String>,
    /// Key by which workers detect a repeated request; `None`: no key is sent.
    pub idempotency_key: Option<String>,
    /// Name of the tenant, sent to workers if there is one.
    pub tenant: Option<String>,
    /// Whether the response is streamed to the client.
    pub streams_response: bool,
    /// Index of the request class in the settings.
    pub request_class: u32,
    /// Time at which the request was accepted, on the gateway's clock.
    pub accepted_at: Duration,
    /// Number of the function at the recovery's admission ramp; `None`: the request is not expected to load
    /// the function, or there is no recovery.
    pub ramp_function: Option<u32>,
}

impl RequestContext {
    /// The client to which the response is streamed; `None`: it is not streamed.
    pub(super) fn streaming_client(&self) -> Option<Exchange> {
        match self.origin {
            RequestOrigin::Client(exchange) if self.streams_response => Some(exchange),
            RequestOrigin::Client(_) | RequestOrigin::Asynchronous(_) => None,
        }
    }
}

/// Counts of requests since the start, logged at shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Client calls, other than dry runs, that were well formed and not refused during the drain.
    pub accepted: u64,
    /// Requests that succeeded, with the response of a worker.
    pub succeeded: u64,
    /// Requests that were rejected: the client may retry.
    pub rejected: u64,
    /// Requests that failed without a worker's response: a retry is not safe.
    pub failed: u64,
    /// Requests whose client disconnected before the final response.
    pub cancelled: u64,
    /// Client calls that were malformed or not admitted.
    pub refused: u64,
    /// Attempts that were started.
    pub attempts: u64,
    /// Asynchronous invocations that were queued.
    pub asynchronous: u64,
    /// Schedule triggers for which an invocation was submitted.
    pub triggered: u64,
}
