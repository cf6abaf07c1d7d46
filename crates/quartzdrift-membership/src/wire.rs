//! Datagrams between members: a header in the clear, parts, and an authentication tag over all of it (HMAC with SHA-256,
//! RFC 2104 and FIPS 180-4, truncated to 16 bytes).
//!
//! ```text
//! "QDM" version | header | (length: u16, part)* | tag: 16 bytes
//! ```
//!
//! Header and parts are in postcard's published format. A part of an unknown kind is skipped, so that a later release can
//! say more to those that understand it; a change of the header changes the version.
use crate::member::MemberUpdate;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The version of the datagram format.
const VERSION: u8 = 1;
/// The first bytes of each datagram.
const MAGIC: &[u8; 3] = b"QDM";
/// Magic and version.
const PREFIX_LENGTH: usize = MAGIC.len() + 1;
/// Bytes of the truncated authentication tag.
const TAG_LENGTH: usize = 16;
/// Bytes of a member's name at most: many updates must fit into a datagram.
pub const MAX_NAME_LENGTH: usize = 64;
/// Parts of a datagram at most; further ones are ignored.
const MAX_PARTS: usize = 128;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RejectReason {
    /// Not of this protocol, truncated, or longer than datagrams may be.
    #[error("it is no datagram of members")]
    Malformed,
    /// Of another version of the protocol, which is given.
    #[error("it is of version {0}, and {VERSION} is spoken here")]
    UnsupportedVersion(u8),
    /// Of another cluster.
    #[error("it is of another cluster")]
    OtherCluster,
    /// None of the keys made its tag.
    #[error("its tag fits none of the keys")]
    InvalidTag,
    /// It was accepted before, or is of an earlier instance of its sender.
    #[error("it was taken before or is of an earlier start of its sender")]
    Replayed,
    /// Another member has its sender's name.
    #[error("another member bears its sender's name")]
    NameConflict,
    /// The member table is full.
    #[error("there is no room for one more member")]
    TooManyMembers,
}

/// What precedes the parts of each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// See [`cluster_id`].
    pub(crate) cluster: u64,
    /// The sender's name.
    pub(crate) sender: String,
    /// The sender's instance, drawn at its start.
    pub(crate) instance: u64,
    /// The recipient's instance as far as the sender knows it, else 0: a datagram replayed to a later instance is detected.
    pub(crate) recipient_instance: u64,
    /// Counts the sender's datagrams.
    pub(crate) sequence: u64,
    /// The sender's incarnation.
    pub(crate) incarnation: u32,
}

/// One message within a datagram. Encoded by position: the order of variants is the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Part {
    /// Asks for an [`Part::Ack`] of the same number.
    Ping { probe: u32 },
    /// Answers a ping.
    Ack { probe: u32 },
    /// SWIM's ping-req: asks the recipient to ping another member.
    PingRequest { probe: u32, target: MemberUpdate },
    /// Lifeguard's nack: the target of a ping-req has not answered yet, but the relaying member is alive.
    Nack { probe: u32 },
    /// Gossip about a member.
    Update(MemberUpdate),
    /// The sender of the datagram with this number did not name our instance; our header now tells it.
    Introduction { answered_sequence: u64 },
    /// Asks for the members whose names come after this one.
    ExchangeRequest { after: String },
    /// Ends a page of the full exchange; `more`: there are names after the last one.
    ExchangePage { last: String, more: bool },
    /// Payload of the membership's user, by topic.
    Message { topic: u8, bytes: Vec<u8> },
}

/// A decoded and authenticated datagram.
pub(crate) struct Datagram {
    pub(crate) header: Header,
    pub(crate) parts: Vec<Part>,
}

/// Builds a datagram; parts are added while they fit.
pub(crate) struct DatagramWriter {
    bytes: Vec<u8>,
    limit: usize,
}

impl DatagramWriter {
    /// A datagram of `max_size` bytes at most, tag included.
    pub(crate) fn new(header: &Header, max_size: usize) -> DatagramWriter {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend(postcard::to_stdvec(header).unwrap_or_default());
        DatagramWriter {
            bytes,
            limit: max_size.saturating_sub(TAG_LENGTH),
        }
    }

    /// Appends a part; `false` if it does not fit.
    pub(crate) fn push(&mut self, part: &Part) -> bool {
        let Ok(encoded) = postcard::to_stdvec(part) else {
            return false;
        };
        let Ok(length) = u16::try_from(encoded.len()) else {
            return false;
        };
        let fits = self.bytes.len() + size_of::<u16>() + encoded.len() <= self.limit;
        if fits {
            self.bytes.extend(length.to_le_bytes());
            self.bytes.extend(encoded);
        }
        fits
    }

    /// Raises the size limit, where the datagram was begun that much shorter to reserve room for its last part.
    pub(crate) fn release_reserved(&mut self, reserved: usize) {
        self.limit += reserved;
    }

    /// Appends the tag.
    pub(crate) fn sign(mut self, key: &[u8]) -> Vec<u8> {
        let tag = authenticate(key, &self.bytes).finalize().into_bytes();
        self.bytes.extend_from_slice(&tag[..TAG_LENGTH]);
        self.bytes
    }
}

fn authenticate(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length.
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("any length is good"));
    mac.update(bytes);
    mac
}

/// Decodes a datagram of this cluster that one of `keys` signed.
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
        // Parts of unknown kinds are for later releases.
        parts.extend(postcard::from_bytes::<Part>(part).ok());
    }
    Ok(parts)
}

/// A number for a cluster's name that is the same on all machines: the first 8 bytes of its SHA-256.
pub(crate) fn cluster_id(name: &str) -> u64 {
    let hash = Sha256::digest(name.as_bytes());
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |id, byte| id << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests;
