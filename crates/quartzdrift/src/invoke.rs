//! A blocking client of the Invoke API that makes one call per connection, for command line tools and tests.
//! The gateway itself sends requests on its event loop.
use quartzdrift_http::Response;
use quartzdrift_http::body::{BodyError, BodyReader};
use quartzdrift_http::head::{self, Framing, Headers, ResponseHead};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum size of a response's body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum size of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of bytes of one read from the connection.
const READ_BYTES: usize = 16 << 10;

/// A call of a function through a gateway.
#[derive(Clone, Debug)]
pub struct InvokeRequest {
    /// Address of the gateway.
    pub gateway: SocketAddr,
    /// Name of the function, with or without an alias, or its ARN.
    pub function: String,
    /// Input of the function, usually JSON.
    pub payload: Vec<u8>,
    /// Whether the gateway responds as soon as it has queued the request.
    pub asynchronous: bool,
    /// Key by which workers detect a duplicate of the request.
    pub idempotency_key: Option<String>,
    /// Timeout for the connection, and for each wait for a part of the response.
    pub timeout: Duration,
}

/// Error of a call that received no complete response.
#[derive(Debug, thiserror::Error)]
pub enum InvokeError {
    /// The connection failed or timed out.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection was closed before the response's head was complete.
    #[error("the connection was closed before a complete response head")]
    IncompleteHead,
    /// The connection was closed before the response's body was complete.
    #[error("the connection was closed before the end of the response body")]
    IncompleteBody,
    /// The response's head is longer than 64 KiB.
    #[error("the response head is longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The response's head declares a body longer than 64 MiB.
    #[error("the response body is longer than {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// The response's head is malformed.
    #[error("the response head is malformed")]
    MalformedHead,
    /// The response's body is malformed, or longer than 64 MiB.
    #[error("the response body is malformed, or longer than {MAX_BODY_BYTES} bytes")]
    MalformedBody,
}

/// Calls a function and returns the response with any status.
///
/// # Errors
///
/// The connection fails, or the response is incomplete, malformed or too long.
pub fn invoke(call: &InvokeRequest) -> Result<Response, InvokeError> {
    let request = request_bytes(call);
    let mut stream = TcpStream::connect_timeout(&call.gateway, call.timeout)?;
    stream.set_read_timeout(Some(call.timeout))?;
    stream.write_all(&request)?;
    read_response(&mut stream)
}

fn request_bytes(call: &InvokeRequest) -> Vec<u8> {
    let mut headers = Headers::new()
        .with("host", &call.gateway.to_string())
        .with("content-type", "application/json")
        .with("connection", "close");
    if call.asynchronous {
        headers.push("x-amz-invocation-type", "Event");
    }
    if let Some(key) = &call.idempotency_key {
        headers.push("idempotency-key", key);
    }
    let target = quartzdrift_invoke::request::invoke_target(&call.function);
    let framing = Framing::Length(call.payload.len() as u64);
    let mut request = Vec::new();
    head::write_request(&mut request, "POST", &target, &headers, framing);
    request.extend_from_slice(&call.payload);
    request
}

fn read_response(stream: &mut TcpStream) -> Result<Response, InvokeError> {
    let mut buffer = Vec::new();
    let head = read_head(stream, &mut buffer)?;
    let mut body = BodyReader::new(head.framing, MAX_BODY_BYTES).map_err(|_| InvokeError::BodyTooLong)?;
    loop {
        let consumed = body
            .feed(&buffer)
            .map_err(|_: BodyError| InvokeError::MalformedBody)?;
        buffer.drain(..consumed);
        if body.is_complete() {
            break;
        }
        if read_chunk(stream, &mut buffer)? == 0 {
            if body.is_complete_at_close() {
                break;
            }
            return Err(InvokeError::IncompleteBody);
        }
    }
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body: body.bytes,
    })
}

/// Reads the response's head. Bytes after the head stay in `buffer`.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<ResponseHead, InvokeError> {
    let mut scanned = 0;
    loop {
        if let Some(end) = head::find_head_end(buffer, &mut scanned) {
            let head = head::parse_response(&buffer[..end]).map_err(|_| InvokeError::MalformedHead)?;
            buffer.drain(..end);
            return Ok(head);
        }
        if read_chunk(stream, buffer)? == 0 {
            return Err(InvokeError::IncompleteHead);
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(InvokeError::HeadTooLong);
        }
    }
}

/// Appends the next bytes of the connection to `buffer` and returns their number; 0 at the end of the stream.
fn read_chunk(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; READ_BYTES];
    let length = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..length]);
    Ok(length)
}
