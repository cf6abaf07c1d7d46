//! Binary frames between schedulers and workers.
use std::io::{self, Read};

pub const EXECUTE: u8 = 48;
pub const GIVE_UP: u8 = 49;
pub const PING: u8 = 50;
pub const OK: u8 = 64;
pub const FULL: u8 = 67;
pub const ERROR: u8 = 68;
pub const OVER: u8 = 69;
pub const ALIVE: u8 = 70;

const FROM_SCHEDULER: u8 = 192;
const FROM_WORKER: u8 = 193;

fn crc32(bytes: &[u8]) -> u32 {
    let mut crc = !0_u32;
    for byte in bytes {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg());
        }
    }
    !crc
}

/// A command of a scheduler.
pub struct Command {
    pub code: u8,
    pub id: u64,
    pub fields: String,
    pub body: Vec<u8>,
}

/// Reads the next command.
///
/// # Errors
/// The connection has ended, or what came is no command.
pub fn read_command(stream: &mut impl Read) -> io::Result<Command> {
    let mut head = [0; 16];
    stream.read_exact(&mut head)?;
    if head[0] != FROM_SCHEDULER {
        return Err(io::Error::other("not a scheduler's frame"));
    }
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    let mut rest = vec![0; fields + body + 4];
    stream.read_exact(&mut rest)?;
    let (content, check) = rest.split_at(fields + body);
    if crc32(content).to_be_bytes() != *check {
        return Err(io::Error::other("wrong check"));
    }
    Ok(Command {
        code: head[1],
        id: u64::from_be_bytes([
            head[8], head[9], head[10], head[11], head[12], head[13], head[14], head[15],
        ]),
        fields: String::from_utf8_lossy(&content[..fields]).into_owned(),
        body: content[fields..].to_vec(),
    })
}

/// Encodes an answer of a worker.
pub fn answer(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = vec![FROM_WORKER, code];
    out.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&id.to_be_bytes());
    out.extend_from_slice(fields.as_bytes());
    out.extend_from_slice(body);
    let check = crc32(&out[16..]);
    out.extend_from_slice(&check.to_be_bytes());
    out
}
