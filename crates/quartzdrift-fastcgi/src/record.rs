//! Records: eight bytes of head, content, padding.

pub const BEGIN: u8 = 1;
pub const ABORT: u8 = 2;
pub const END: u8 = 3;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;
pub const STDOUT: u8 = 6;
pub const GET_VALUES: u8 = 9;
pub const GET_VALUES_RESULT: u8 = 10;
pub const UNKNOWN: u8 = 11;

/// Bytes of a record's head.
pub const HEAD: usize = 8;
const VERSION: u8 = 1;
/// Content of one record of a stream: a multiple of eight, so that no padding is due.
const MAX_CONTENT: usize = 32 << 10;

/// A version that is not 1: from there on nothing can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Version(pub u8);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub kind: u8,
    /// The request that the record is of; 0 for the connection itself.
    pub number: u16,
    pub content: usize,
    pub padding: usize,
}

impl Head {
    /// Reads a head; `None` where it is not all there.
    pub fn read(bytes: &[u8]) -> Result<Option<Head>, Version> {
        match *bytes {
            [version, ..] if version != VERSION => Err(Version(version)),
            [_, kind, n1, n0, c1, c0, padding, _, ..] => Ok(Some(Head {
                kind,
                number: u16::from_be_bytes([n1, n0]),
                content: usize::from(u16::from_be_bytes([c1, c0])),
                padding: usize::from(padding),
            })),
            _ => Ok(None),
        }
    }
}

/// Writes one record. Content past what a record can hold is a fault of the caller's and is cut off.
pub fn write_record(out: &mut Vec<u8>, kind: u8, number: u16, content: &[u8]) {
    let length = u16::try_from(content.len()).unwrap_or(u16::MAX);
    let [n1, n0] = number.to_be_bytes();
    let [c1, c0] = length.to_be_bytes();
    out.extend_from_slice(&[VERSION, kind, n1, n0, c1, c0, 0, 0]);
    out.extend_from_slice(&content[..usize::from(length)]);
}

/// Writes a piece of a stream in as many records as it needs; an empty piece writes nothing, since an empty
/// record would end the stream.
pub fn write_stream(out: &mut Vec<u8>, kind: u8, number: u16, content: &[u8]) {
    content
        .chunks(MAX_CONTENT)
        .for_each(|part| write_record(out, kind, number, part));
}
