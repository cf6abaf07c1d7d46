//! Datagrams between members: an unencrypted header, parts, and an authentication tag over both (HMAC with
//! SHA-256, RFC 2104 and FIPS 180-4, truncated to 16 bytes).
//!
//! ```text
//! "QDM" version | header | (length: u16, part)* | tag: 16 bytes
//! ```
//!
//! Header and parts are encoded in postcard's published format. Members skip parts of unknown kinds, so a
//! later release can add kinds without a new version. A change of the header requires a new version.
use crate::member::MemberUpdate;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The version of the datagram format.
const VERSION: u8 = 1;
/// The first bytes of each datagram.
const MAGIC: &[u8; 3] = b"QDM";
/// Bytes of the magic number and the version.
const PREFIX_LENGTH: usize = MAGIC.len() + 1;
/// Bytes of the truncated authentication tag.
const TAG_LENGTH: usize = 16;
/// Maximum length of a member's name in bytes, so that a datagram holds many updates.
pub const MAX_NAME_LENGTH: usize = 64;
/// Maximum number of parts in a datagram; further ones are ignored.
const MAX_PARTS: usize = 128;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RejectReason {
    /// The datagram is not of this protocol, truncated, or longer than the settings allow, or its sender's
    /// name is empty or longer than [`MAX_NAME_LENGTH`].
    #[error("malformed datagram: wrong magic bytes, truncated, too long, or invalid sender name")]
    Malformed,
    /// The datagram has this version of the format, which differs from the supported one.
    #[error("unsupported datagram version {0}, expected {VERSION}")]
    UnsupportedVersion(u8),
    /// The datagram was sent by a member of another cluster.
    #[error("datagram of another cluster")]
    OtherCluster,
    /// The tag was made with none of the configured keys, or the datagram was altered.
    #[error("authentication failed: the tag matches none of the configured keys")]
    InvalidTag,
    /// The datagram was accepted before, or was sent by or to an earlier instance. Datagrams that do not name
    /// this member's instance are also rejected while too many of them arrive.
    #[error("replayed datagram: already accepted, or sent by or to an earlier instance of a member")]
    Replayed,
    /// The sender's name is also the name of another member.
    #[error("another member has the sender's name")]
    NameConflict,
    /// The sender is unknown and the member table is full.
    #[error("the member table has reached its configured maximum")]
    TooManyMembers,
}

/// Identifies the sender and the recipient of a datagram; precedes its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// The [`cluster_id`] of the sender's cluster.
    pub(crate) cluster: u64,
    /// The sender's name.
    pub(crate) sender: String,
    /// The sender's instance, drawn at random on each start.
    pub(crate) instance: u64,
    /// The recipient's instance, 0 if the sender does not know it. It lets a recipient detect datagrams that
    /// were sent to an earlier instance of it.
    pub(crate) recipient_instance: u64,
    /// Number of the datagram; each instance of the sender counts from 1.
    pub(crate) sequence: u64,
    /// The sender's incarnation.
    pub(crate) incarnation: u32,
}

/// One message within a datagram. The order of the variants is part of the encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Part {
    /// Requests a [`Part::Ack`] with the same probe number.
    Ping { probe: u32 },
    /// Answers the [`Part::Ping`] with this probe number.
    Ack { probe: u32 },
    /// SWIM's ping-req: requests that the recipient ping the target and relay the ack.
    PingRequest { probe: u32, target: MemberUpdate },
    /// Lifeguard's nack: the relaying member is alive, but the target of the ping-req has not answered it
    /// yet.
    Nack { probe: u32 },
    /// Gossip or an entry of an exchange page about a member.
    Update(MemberUpdate),
    /// Answers a datagram that did not name the current instance of its recipient. The instance is in the
    /// header of this answer; `answered_sequence` is the number of the answered datagram.
    Introduction { answered_sequence: u64 },
    /// Requests a page of the member table, from the first name after this one.
    ExchangeRequest { after: String },
    /// Ends a page of the member table. `last` is the last name of the page; `more` tells whether others
    /// follow it.
    ExchangePage { last: String, more: bool },
    /// Payload of [`Membership::send_message`](crate::Membership::send_message).
    Message { topic: u8, bytes: Vec<u8> },
}

/// A datagram whose authentication tag was verified.
pub(crate) struct Datagram {
    pub(crate) header: Header,
    pub(crate) parts: Vec<Part>,
}

/// Encodes a datagram of limited size.
pub(crate) struct DatagramWriter {
    bytes: Vec<u8>,
    /// Maximum length of `bytes`, which leaves space for the tag.
    max_length: usize,
}

impl DatagramWriter {
    /// Begins a datagram of at most `max_size` bytes, including the tag.
    pub(crate) fn new(header: &Header, max_size: usize) -> DatagramWriter {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend(postcard::to_stdvec(header).unwrap_or_default());
        DatagramWriter {
            bytes,
            max_length: max_size.saturating_sub(TAG_LENGTH),
        }
    }

    /// Appends a part. Returns `false` and appends nothing if it does not fit.
    pub(crate) fn push(&mut self, part: &Part) -> bool {
        let Ok(encoded) = postcard::to_stdvec(part) else {
            return false;
        };
        let Ok(length) = u16::try_from(encoded.len()) else {
            return false;
        };
        let fits = self.bytes.len() + size_of::<u16>() + encoded.len() <= self.max_length;
        if fits {
            self.bytes.extend(length.to_le_bytes());
            self.bytes.extend(encoded);
        }
        fits
    }

    /// Raises the maximum size by the bytes that the caller reserved for the last part, when it subtracted
    /// them from the size passed to [`DatagramWriter::new`].
    pub(crate) fn release_reserved_bytes(&mut self, reserved_bytes: usize) {
        self.max_length += reserved_bytes;
    }

    /// Appends the authentication tag and returns the finished datagram.
    pub(crate) fn sign(mut self, key: &[u8]) -> Vec<u8> {
        let tag = authenticate(key, &self.bytes).finalize().into_bytes();
        self.bytes.extend_from_slice(&tag[..TAG_LENGTH]);
        self.bytes
    }
}

fn authenticate(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
    mac.update(bytes);
    mac
}

/// Decodes a datagram and checks that it is of this cluster and signed with one of `keys`.
pub(crate) fn decode(bytes: &[u8], cluster: u64, keys: &[Vec<u8>]) -> Result<Datagram, RejectReason> {
    check_prefix(bytes)?;
    let (signed, tag) = bytes.split_at(bytes.len() - TAG_LENGTH);
    let (header, parts) =
        postcard::take_from_bytes::<Header>(&signed[PREFIX_LENGTH..]).map_err(|_| RejectReason::Malformed)?;
    if header.cluster != cluster {
        return Err(RejectReason::OtherCluster);
    }
    let is_authentic = |key: &Vec<u8>| authenticate(key, signed).verify_truncated_left(tag).is_ok();
    if !keys.iter().any(is_authentic) {
        return Err(RejectReason::InvalidTag);
    }
    if header.sender.is_empty() || header.sender.len() > MAX_NAME_LENGTH {
        return Err(RejectReason::Malformed);
    }
    let parts = decode_parts(parts)?;
    Ok(Datagram { header, parts })
}

fn check_prefix(bytes: &[u8]) -> Result<(), RejectReason> {
    if bytes.len() < PREFIX_LENGTH + TAG_LENGTH || !bytes.starts_with(MAGIC) {
        return Err(RejectReason::Malformed);
    }
    match bytes[MAGIC.len()] {
        VERSION => Ok(()),
        version => Err(RejectReason::UnsupportedVersion(version)),
    }
}

fn decode_parts(mut bytes: &[u8]) -> Result<Vec<Part>, RejectReason> {
    let mut parts = Vec::new();
    while let Some((length, rest)) = bytes.split_at_checked(size_of::<u16>()) {
        let length = usize::from(u16::from_le_bytes([length[0], length[1]]));
        let (part, rest) = rest.split_at_checked(length).ok_or(RejectReason::Malformed)?;
        bytes = rest;
        if parts.len() == MAX_PARTS {
            break;
        }
        // A part that cannot be decoded is taken for a kind of a later release and skipped.
        parts.extend(postcard::from_bytes::<Part>(part).ok());
    }
    Ok(parts)
}

/// Maps a cluster's name to the first 8 bytes of its SHA-256, the same number on all machines.
pub(crate) fn cluster_id(name: &str) -> u64 {
    let hash = Sha256::digest(name.as_bytes());
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |id, byte| id << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests;
