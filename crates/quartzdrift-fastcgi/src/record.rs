//! Records: a header of eight bytes, content, padding.
use thiserror::Error;

/// Record type: begins a request.
pub const BEGIN_REQUEST: u8 = 1;
/// Record type: aborts a request.
pub const ABORT_REQUEST: u8 = 2;
/// Record type: ends a request.
pub const END_REQUEST: u8 = 3;
/// Record type: a part of the stream of parameters.
pub const PARAMS: u8 = 4;
/// Record type: a part of the request's body.
pub const STDIN: u8 = 5;
/// Record type: a part of the response.
pub const STDOUT: u8 = 6;
/// Record type: asks for the responder's limits.
pub const GET_VALUES: u8 = 9;
/// Record type: the responder's limits.
pub const GET_VALUES_RESULT: u8 = 10;
/// Record type: the answer to a record of unknown type.
pub const UNKNOWN_TYPE: u8 = 11;

/// Bytes of a record's header.
pub const HEADER_LENGTH: usize = 8;
const VERSION: u8 = 1;
/// Maximum bytes that are written into one record of a stream: a multiple of eight, which needs no padding.
const MAX_STREAM_CONTENT: usize = 32 << 10;

/// A version other than 1: nothing that follows can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("version {0} of the protocol is not supported")]
pub struct UnsupportedVersion(pub u8);

/// A record's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// The record's type.
    pub record_type: u8,
    /// The request that the record belongs to; 0 for the connection itself.
    pub request_id: u16,
    /// Bytes of content.
    pub content_length: usize,
    /// Bytes of padding after the content.
    pub padding_length: usize,
}

impl RecordHeader {
    /// Reads a header; `None` where it is not complete.
    ///
    /// # Errors
    /// [`UnsupportedVersion`] as soon as the first byte shows it.
    pub fn read(bytes: &[u8]) -> Result<Option<RecordHeader>, UnsupportedVersion> {
        match *bytes {
            [version, ..] if version != VERSION => Err(UnsupportedVersion(version)),
            [_, record_type, id1, id0, length1, length0, padding, _, ..] => Ok(Some(RecordHeader {
                record_type,
                request_id: u16::from_be_bytes([id1, id0]),
                content_length: usize::from(u16::from_be_bytes([length1, length0])),
                padding_length: usize::from(padding),
            })),
            _ => Ok(None),
        }
    }

    /// Bytes of the whole record.
    pub fn record_length(&self) -> usize {
        HEADER_LENGTH + self.content_length + self.padding_length
    }
}

/// Writes one record. The caller keeps content within what a record can hold (65,535 bytes); the rest is cut off.
pub fn write_record(out: &mut Vec<u8>, record_type: u8, request_id: u16, content: &[u8]) {
    let length = u16::try_from(content.len()).unwrap_or(u16::MAX);
    let [id1, id0] = request_id.to_be_bytes();
    let [length1, length0] = length.to_be_bytes();
    out.extend_from_slice(&[VERSION, record_type, id1, id0, length1, length0, 0, 0]);
    out.extend_from_slice(&content[..usize::from(length)]);
}

/// Writes a part of a stream in as many records as it needs. An empty part writes nothing: an empty record would end the
/// stream.
pub fn write_stream(out: &mut Vec<u8>, record_type: u8, request_id: u16, content: &[u8]) {
    content
        .chunks(MAX_STREAM_CONTENT)
        .for_each(|part| write_record(out, record_type, request_id, part));
}
