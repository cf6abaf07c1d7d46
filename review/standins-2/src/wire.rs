//! FastCGI records of clients, and frames of workers.
use std::io::{self, Read};

/// CRC-32 (IEEE) of several parts.
pub fn crc32(parts: &[&[u8]]) -> u32 {
    let mut crc = u32::MAX;
    for byte in parts.iter().flat_map(|part| part.iter()) {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = (crc >> 1) ^ (0xEDB8_8320 & (crc & 1).wrapping_neg());
        }
    }
    !crc
}

/// Codes of commands and answers.
pub const EXECUTE: u8 = 48;
pub const GIVE_UP: u8 = 49;
pub const PING: u8 = 50;
pub const OK: u8 = 64;
pub const FULL: u8 = 67;
pub const ERROR: u8 = 68;
pub const OVER: u8 = 69;
pub const ALIVE: u8 = 70;

/// A command of a scheduler.
pub struct Command {
    pub code: u8,
    pub id: u64,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Command {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .filter_map(|field| field.split_once('='))
            .find(|(given, _)| *given == name)
            .map(|(_, value)| value)
    }
}

/// Reads one command.
pub fn read_command(stream: &mut impl Read) -> io::Result<Command> {
    let mut head = [0; 16];
    stream.read_exact(&mut head)?;
    if head[0] != 192 {
        return Err(io::Error::other(format!("mark {}", head[0])));
    }
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    let mut id = [0; 8];
    id.copy_from_slice(&head[8..]);
    let mut rest = vec![0; fields + body + 4];
    stream.read_exact(&mut rest)?;
    let check = rest.split_off(fields + body);
    if crc32(&[&rest]).to_be_bytes() != check[..] {
        return Err(io::Error::other("check"));
    }
    let body = rest.split_off(fields);
    Ok(Command {
        code: head[1],
        id: u64::from_be_bytes(id),
        fields: String::from_utf8_lossy(&rest).into_owned(),
        body,
    })
}

/// An answer of a worker as bytes.
pub fn answer(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = vec![193, code];
    out.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&id.to_be_bytes());
    out.extend_from_slice(fields.as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(&crc32(&[fields.as_bytes(), body]).to_be_bytes());
    out
}

pub const BEGIN_REQUEST: u8 = 1;
pub const ABORT_REQUEST: u8 = 2;
pub const END_REQUEST: u8 = 3;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;
pub const STDOUT: u8 = 6;

/// Appends a FastCGI record.
pub fn record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    out.extend_from_slice(&[1, kind]);
    out.extend_from_slice(&id.to_be_bytes());
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(&[0, 0]);
    out.extend_from_slice(content);
}

/// A request of a client as FastCGI records, with the flag KEEP_CONN.
pub fn request(fcgi_id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    record(&mut out, BEGIN_REQUEST, fcgi_id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let mut pairs = Vec::new();
    for (name, value) in params {
        for length in [name.len(), value.len()] {
            if length < 128 {
                pairs.push(length as u8);
            } else {
                pairs.extend_from_slice(&(length as u32 | 1 << 31).to_be_bytes());
            }
        }
        pairs.extend_from_slice(name.as_bytes());
        pairs.extend_from_slice(value.as_bytes());
    }
    record(&mut out, PARAMS, fcgi_id, &pairs);
    record(&mut out, PARAMS, fcgi_id, b"");
    for part in body.chunks(32 << 10) {
        record(&mut out, STDIN, fcgi_id, part);
    }
    record(&mut out, STDIN, fcgi_id, b"");
    out
}

/// Reads one FastCGI record: type, request id and content.
pub fn read_record(stream: &mut impl Read) -> io::Result<(u8, u16, Vec<u8>)> {
    let mut head = [0; 8];
    stream.read_exact(&mut head)?;
    let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
    let mut content = vec![0; length + usize::from(head[6])];
    stream.read_exact(&mut content)?;
    content.truncate(length);
    Ok((head[1], u16::from_be_bytes([head[2], head[3]]), content))
}
