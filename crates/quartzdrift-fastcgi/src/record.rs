//! FastCGI records: a header of eight bytes, content and padding.
use thiserror::Error;

/// Record type that begins a request.
pub const BEGIN_REQUEST: u8 = 1;
/// Record type that aborts a request.
pub const ABORT_REQUEST: u8 = 2;
/// Record type that ends a request.
pub const END_REQUEST: u8 = 3;
/// Record type with a part of the request's parameters.
pub const PARAMS: u8 = 4;
/// Record type with a part of the request's body.
pub const STDIN: u8 = 5;
/// Record type with a part of the response.
pub const STDOUT: u8 = 6;
/// Record type that queries the responder's limits.
pub const GET_VALUES: u8 = 9;
/// Record type that reports the responder's limits, in reply to [`GET_VALUES`].
pub const GET_VALUES_RESULT: u8 = 10;
/// Record type of the reply to a record of an unknown type.
pub const UNKNOWN_TYPE: u8 = 11;

/// Bytes of a record's header.
pub const HEADER_LENGTH: usize = 8;
/// The only supported protocol version.
pub(crate) const PROTOCOL_VERSION: u8 = 1;
/// Maximum bytes of content that are written to one record of a stream. Being a multiple of eight, it needs
/// no padding.
const MAX_STREAM_CONTENT_BYTES: usize = 32 << 10;

/// A record has this protocol version instead of version 1, so the length of the record is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("FastCGI version {0} is not supported, expected {PROTOCOL_VERSION}")]
pub struct UnsupportedVersion(pub u8);

/// Header of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// Type of the record, such as [`BEGIN_REQUEST`].
    pub record_type: u8,
    /// Id of the request that the record belongs to; 0 if it belongs to the connection.
    pub request_id: u16,
    /// Bytes of content.
    pub content_length: usize,
    /// Bytes of padding after the content.
    pub padding_length: usize,
}

impl RecordHeader {
    /// Decodes the header at the start of `bytes`; `None` if `bytes` is shorter than a header.
    ///
    /// # Errors
    /// [`UnsupportedVersion`] if the first byte is not version 1, even if the header is incomplete.
    pub fn read(bytes: &[u8]) -> Result<Option<RecordHeader>, UnsupportedVersion> {
        match *bytes {
            [version, ..] if version != PROTOCOL_VERSION => Err(UnsupportedVersion(version)),
            [_, record_type, id1, id0, length1, length0, padding, _, ..] => Ok(Some(RecordHeader {
                record_type,
                request_id: u16::from_be_bytes([id1, id0]),
                content_length: usize::from(u16::from_be_bytes([length1, length0])),
                padding_length: usize::from(padding),
            })),
            _ => Ok(None),
        }
    }

    /// Returns the bytes of the whole record: header, content and padding.
    pub fn record_length(&self) -> usize {
        HEADER_LENGTH + self.content_length + self.padding_length
    }
}

/// Appends one record to `out`. Content beyond 65,535 bytes, the maximum of a record, is cut off.
pub fn write_record(out: &mut Vec<u8>, record_type: u8, request_id: u16, content: &[u8]) {
    let length = u16::try_from(content.len()).unwrap_or(u16::MAX);
    let [id1, id0] = request_id.to_be_bytes();
    let [length1, length0] = length.to_be_bytes();
    out.extend_from_slice(&[PROTOCOL_VERSION, record_type, id1, id0, length1, length0, 0, 0]);
    out.extend_from_slice(&content[..usize::from(length)]);
}

/// Appends a part of a stream to `out`, in as many records as needed. Empty content writes nothing, because
/// an empty record would end the stream.
pub fn write_stream(out: &mut Vec<u8>, record_type: u8, request_id: u16, content: &[u8]) {
    content
        .chunks(MAX_STREAM_CONTENT_BYTES)
        .for_each(|chunk| write_record(out, record_type, request_id, chunk));
}
