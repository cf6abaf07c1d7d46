//! A blocking client of the Invoke API for one call. Use it in command line tools and tests; the gateway's own calls go
//! over its event loop.
use quartzdrift_http::Response;
use quartzdrift_http::body::{BodyError, BodyReader};
use quartzdrift_http::head::{self, Framing, Headers, ResponseHead};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bytes of a response's body.
const MAX_BODY: usize = 64 << 20;
/// Bytes of a response's head.
const MAX_HEAD: usize = 64 << 10;
/// Bytes read from the connection at a time.
const READ_SIZE: usize = 16 << 10;

/// One call.
#[derive(Clone, Debug)]
pub struct Invoke {
    /// The gateway's address.
    pub to: SocketAddr,
    /// A function's name, with or without alias, or its ARN.
    pub function: String,
    /// The function's input.
    pub payload: Vec<u8>,
    /// Whether the call is answered once it is queued.
    pub asynchronous: bool,
    /// By which workers recognise a repeated call.
    pub idempotency_key: Option<String>,
    /// Limit on connecting, and on each wait for a part of the response.
    pub timeout: Duration,
}

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum InvokeError {
    /// The connection failed or timed out.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection ended before the response's head was complete.
    #[error("the connection ended before an answer")]
    NoResponse,
    /// The connection ended within the response's body.
    #[error("the connection ended within the answer")]
    Incomplete,
    /// The response's head is longer than 64 KiB.
    #[error("the answer's head is too long")]
    HeadTooLong,
    /// The response's body states a length over 64 MiB.
    #[error("the answer is too long")]
    TooLong,
    /// The response's head is malformed.
    #[error("the answer cannot be read")]
    MalformedHead,
    /// The response's body is malformed, or longer than 64 MiB.
    #[error("the answer's body cannot be read")]
    MalformedBody,
}

/// Sends a call and returns the response, whatever its status.
///
/// # Errors
///
/// The gateway cannot be reached, or its response is incomplete, malformed or too long.
pub fn invoke(call: &Invoke) -> Result<Response, InvokeError> {
    let request = request_bytes(call);
    let mut stream = TcpStream::connect_timeout(&call.to, call.timeout)?;
    stream.set_read_timeout(Some(call.timeout))?;
    stream.write_all(&request)?;
    read_response(&mut stream)
}

fn request_bytes(call: &Invoke) -> Vec<u8> {
    let mut headers = Headers::new()
        .with("host", &call.to.to_string())
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
    let mut body = BodyReader::new(head.framing, MAX_BODY).map_err(|_| InvokeError::TooLong)?;
    loop {
        let used = body
            .feed(&buffer)
            .map_err(|_: BodyError| InvokeError::MalformedBody)?;
        buffer.drain(..used);
        if body.is_complete() {
            break;
        }
        if read_some(stream, &mut buffer)? == 0 {
            if body.is_complete_at_close() {
                break;
            }
            return Err(InvokeError::Incomplete);
        }
    }
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body: body.bytes,
    })
}

/// Reads the head; what follows it stays in `buffer`.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<ResponseHead, InvokeError> {
    let mut scanned = 0;
    loop {
        if let Some(end) = head::find_head_end(buffer, &mut scanned) {
            let head = head::parse_response(&buffer[..end]).map_err(|_| InvokeError::MalformedHead)?;
            buffer.drain(..end);
            return Ok(head);
        }
        if read_some(stream, buffer)? == 0 {
            return Err(InvokeError::NoResponse);
        }
        if buffer.len() > MAX_HEAD {
            return Err(InvokeError::HeadTooLong);
        }
    }
}

/// Appends what the connection has next; 0 at its end.
fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut part = [0; READ_SIZE];
    let read = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..read]);
    Ok(read)
}
