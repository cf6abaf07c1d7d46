//! Messages between recovering members: the payload of the membership's messages under [`RECOVERY_TOPIC`], in
//! postcard's published format.
//!
//! The start number that is remembered of a member can only rise: an old or duplicated message, or a member
//! restored from a copy, reports a lower number, which changes nothing. A status response never lets a start
//! restore more of its state, only less, and the cost of restoring less is bounded.
use crate::admission_ramp::CacheUpdate;
use serde::{Deserialize, Serialize};

/// The topic of recovery messages in the membership's protocol.
pub const RECOVERY_TOPIC: u8 = 1;
/// Maximum size of a message, in bytes: it has to fit into a datagram beside a header, a tag and gossip.
pub(crate) const MAX_MESSAGE_SIZE: usize = 256;

/// The status that a member reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The number of starts of the member, the current one included. Once the restart is classified, it
    /// exceeds every earlier start number of the member that others reported to it.
    pub starts: u64,
    /// A random number drawn at this start, to distinguish two starts with the same start number.
    pub instance: u64,
    /// Milliseconds since this start.
    pub up_ms: u64,
    /// Whether the run before this start stopped as planned, or there was none.
    pub ended_cleanly: bool,
    /// Whether the member is at full service.
    pub at_full_service: bool,
}

/// A message between members. Encoded by position: the order of variants and fields is the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecoveryMessage {
    /// Asks for the recipient's status and for its knowledge of the sender.
    StatusRequest {
        /// The sender's status.
        status: MemberStatus,
    },
    /// Answers a status request.
    StatusResponse {
        /// The sender's status.
        status: MemberStatus,
        /// The highest start number of the recipient, before its current start, that the sender knows of; 0:
        /// none.
        known_start: u64,
        /// The latest checkpoint of that start that the sender knows of; 0: none.
        known_checkpoint: u64,
    },
    /// Reports that a checkpoint of the sender is on the sender's disk.
    CheckpointWritten {
        /// The number of the sender's current start.
        start: u64,
        /// The number of the checkpoint within that start, from 1.
        checkpoint: u64,
    },
    /// Gossip about the cache states of functions after a mass failure.
    CacheUpdates {
        /// The cache states of at most 32 functions.
        updates: Vec<CacheUpdate>,
    },
}

/// The error of a message that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message is longer than the limit.
    #[error("recovery message of {size} bytes exceeds the limit of {MAX_MESSAGE_SIZE} bytes")]
    TooLong {
        /// The size of the message, in bytes.
        size: usize,
    },
    /// The bytes do not encode a [`RecoveryMessage`] of this release.
    #[error("recovery message is not in this release's format")]
    Malformed,
}

impl RecoveryMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding numbers and flags into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The bytes are too long or not a message of this release.
    pub fn decode(bytes: &[u8]) -> Result<RecoveryMessage, MessageError> {
        if bytes.len() > MAX_MESSAGE_SIZE {
            return Err(MessageError::TooLong { size: bytes.len() });
        }
        postcard::from_bytes(bytes).map_err(|_| MessageError::Malformed)
    }
}

#[cfg(test)]
mod tests;
