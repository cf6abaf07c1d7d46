//! A small client for the invoke API, for the command line: blocking, one call.
use quartzdrift_http::head::{self, Framing, Headers};
use quartzdrift_http::{Response, body::BodyReader};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bytes of an answer that are read at most.
const MAX_ANSWER: usize = 64 << 20;
const MAX_HEAD: usize = 64 << 10;

#[derive(Clone, Debug)]
pub struct Invoke {
    pub to: SocketAddr,
    pub function: String,
    pub payload: Vec<u8>,
    pub asynchronous: bool,
    pub mark: Option<String>,
    pub timeout: Duration,
}

/// Sends the call and returns the answer, whatever its status.
pub fn invoke(call: &Invoke) -> io::Result<Response> {
    let mut headers = Headers::new()
        .with("host", &call.to.to_string())
        .with("content-type", "application/json")
        .with("connection", "close");
    if call.asynchronous {
        headers.push("x-amz-invocation-type", "Event");
    }
    if let Some(mark) = &call.mark {
        headers.push("idempotency-key", mark);
    }
    let target = quartzdrift_invoke::call::target(&call.function);
    let mut out = Vec::new();
    head::write_request(
        &mut out,
        "POST",
        &target,
        &headers,
        Framing::Length(call.payload.len() as u64),
    );
    out.extend_from_slice(&call.payload);
    let mut stream = TcpStream::connect_timeout(&call.to, call.timeout)?;
    stream.set_read_timeout(Some(call.timeout))?;
    stream.write_all(&out)?;
    read_answer(&mut stream)
}

fn read_answer(stream: &mut TcpStream) -> io::Result<Response> {
    let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let (mut held, mut scanned, mut part) = (Vec::new(), 0, [0; 16 << 10]);
    let end = loop {
        if let Some(end) = head::head_end(&held, &mut scanned) {
            break end;
        }
        match stream.read(&mut part)? {
            0 => return Err(bad("the connection ended before an answer")),
            n if held.len() + n <= MAX_HEAD => held.extend_from_slice(&part[..n]),
            _ => return Err(bad("the answer's head is too long")),
        }
    };
    let head = head::response(&held[..end]).map_err(|_| bad("the answer cannot be read"))?;
    held.drain(..end);
    let mut reader = BodyReader::new(head.framing, MAX_ANSWER).map_err(|_| bad("the answer is too long"))?;
    loop {
        let used = reader
            .feed(&held)
            .map_err(|_| bad("the answer's body cannot be read"))?;
        held.drain(..used);
        if reader.done() {
            break;
        }
        match stream.read(&mut part)? {
            0 if reader.whole_at_close() => break,
            0 => return Err(bad("the connection ended within the answer")),
            n => held.extend_from_slice(&part[..n]),
        }
    }
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body: reader.bytes,
    })
}
