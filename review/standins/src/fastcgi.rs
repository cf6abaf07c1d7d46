//! FastCGI 1.0 on the side of the front.
use std::collections::HashMap;
use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Instant;

pub const BEGIN: u8 = 1;
pub const ABORT: u8 = 2;
pub const END: u8 = 3;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;
pub const STDOUT: u8 = 6;

/// Appends one record; `content` has at most 65,535 bytes.
pub fn record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let [i1, i0] = id.to_be_bytes();
    let [l1, l0] = (content.len() as u16).to_be_bytes();
    out.extend_from_slice(&[1, kind, i1, i0, l1, l0, 0, 0]);
    out.extend_from_slice(content);
}

fn pair(out: &mut Vec<u8>, name: &str, value: &str) {
    for length in [name.len(), value.len()] {
        if length < 128 {
            out.push(length as u8);
        } else {
            out.extend_from_slice(&(length as u32 | 1 << 31).to_be_bytes());
        }
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}

/// A request as a front sends it.
pub struct Request<'a> {
    pub path: &'a str,
    pub id: u64,
    pub timeout_ms: u64,
    pub object: u64,
    pub spec: &'a str,
    pub body: &'a [u8],
    /// Number of further short parameters without meaning.
    pub extra_pairs: usize,
}

/// Appends the beginning of a request: BEGIN_REQUEST with KEEP_CONN, and whole PARAMS.
pub fn begin(out: &mut Vec<u8>, number: u16, request: &Request) {
    record(out, BEGIN, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let mut pairs = Vec::new();
    pair(&mut pairs, "SCRIPT_NAME", request.path);
    pair(&mut pairs, "REQUEST_METHOD", "POST");
    pair(&mut pairs, "HTTP_X_REQUEST_ID", &format!("{:016x}", request.id));
    pair(&mut pairs, "HTTP_X_TIMEOUT_MS", &request.timeout_ms.to_string());
    pair(&mut pairs, "HTTP_X_OBJECT", &format!("{:016x}", request.object));
    pair(&mut pairs, "HTTP_X_SPEC", request.spec);
    pair(&mut pairs, "CONTENT_LENGTH", &request.body.len().to_string());
    for n in 0..request.extra_pairs {
        let name = [b'A' + (n % 26) as u8];
        pair(&mut pairs, std::str::from_utf8(&name).unwrap_or("A"), "");
    }
    record(out, PARAMS, number, &pairs);
    record(out, PARAMS, number, b"");
}

/// Appends a whole request.
pub fn request(out: &mut Vec<u8>, number: u16, request: &Request) {
    begin(out, number, request);
    if !request.body.is_empty() {
        record(out, STDIN, number, request.body);
    }
    record(out, STDIN, number, b"");
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    pub number: u16,
    /// HTTP status; 0 if the request ended without a response.
    pub status: u16,
    pub retry_after_ms: u64,
    pub protocol_status: u8,
    pub body: Vec<u8>,
}

/// Reads answers from a connection.
pub struct ReplyReader {
    stream: TcpStream,
    input: Vec<u8>,
    parts: HashMap<u16, Vec<u8>>,
}

/// Why no answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoReply {
    TimedOut,
    Closed,
    Unreadable,
}

impl ReplyReader {
    pub fn new(stream: TcpStream) -> ReplyReader {
        ReplyReader {
            stream,
            input: Vec::new(),
            parts: HashMap::new(),
        }
    }

    /// Waits for the next whole answer until `until`.
    pub fn next(&mut self, until: Instant) -> Result<Reply, NoReply> {
        loop {
            if let Some(reply) = self.parse()? {
                return Ok(reply);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(NoReply::TimedOut);
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut buffer = [0; 65536];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(NoReply::Closed),
                Ok(count) => self.input.extend_from_slice(&buffer[..count]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock || e.kind() == io::ErrorKind::TimedOut => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(NoReply::Closed),
            }
        }
    }

    /// The next whole answer among the bytes that were read already.
    pub fn received(&mut self) -> Option<Reply> {
        self.parse().ok().flatten()
    }

    fn parse(&mut self) -> Result<Option<Reply>, NoReply> {
        let mut at = 0;
        let mut found = None;
        while found.is_none() && self.input.len() >= at + 8 {
            let head = &self.input[at..at + 8];
            if head[0] != 1 {
                return Err(NoReply::Unreadable);
            }
            let number = u16::from_be_bytes([head[2], head[3]]);
            let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
            let whole = 8 + length + usize::from(head[6]);
            let Some(rest) = self.input.get(at + 8..at + whole) else {
                break;
            };
            let content = &rest[..length];
            match head[1] {
                STDOUT => self.parts.entry(number).or_default().extend_from_slice(content),
                END => {
                    let response = self.parts.remove(&number).unwrap_or_default();
                    found = Some(to_reply(
                        number,
                        content.get(4).copied().unwrap_or(255),
                        &response,
                    ));
                }
                _ => {}
            }
            at += whole;
        }
        self.input.drain(..at);
        Ok(found)
    }
}

fn to_reply(number: u16, protocol_status: u8, response: &[u8]) -> Reply {
    let mut reply = Reply {
        number,
        status: 0,
        retry_after_ms: 0,
        protocol_status,
        body: Vec::new(),
    };
    let Some(end) = response.windows(4).position(|four| four == b"\r\n\r\n") else {
        return reply;
    };
    reply.body = response[end + 4..].to_vec();
    for line in String::from_utf8_lossy(&response[..end]).split("\r\n") {
        let Some((name, value)) = line.split_once(": ") else {
            continue;
        };
        let number = value
            .split(' ')
            .next()
            .and_then(|digits| digits.parse::<u64>().ok())
            .unwrap_or(0);
        match name {
            "Status" => reply.status = number as u16,
            "Retry-After-Ms" => reply.retry_after_ms = number,
            _ => {}
        }
    }
    reply
}
