//! What recovering members ask and answer: the payload of the membership's messages under [`RECOVERY_TOPIC`], in postcard's
//! published format.
//!
//! An answer is worth what it proves. The start that it reports can only rise: an old, duplicated or restored member
//! reports a lower one, which changes nothing. No answer makes a start trust more of its state; it makes it trust less,
//! and what that can cost is bounded.
use crate::admission_ramp::CacheUpdate;
use serde::{Deserialize, Serialize};

/// The membership's topic for these messages.
pub const RECOVERY_TOPIC: u8 = 1;
/// Bytes of a message at most: it has to fit into a datagram beside a header, a tag and gossip.
pub(crate) const MAX_MESSAGE_SIZE: usize = 256;

/// What a member says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Counts its starts; never less than any that another member has heard of.
    pub starts: u64,
    /// A number drawn at its start, which tells two starts with the same count apart.
    pub instance: u64,
    /// Milliseconds since its start.
    pub up_ms: u64,
    /// Whether it had stopped as planned before, or never run.
    pub ended_cleanly: bool,
    /// Whether it is at full service.
    pub at_full_service: bool,
}

/// A message between members. Encoded by position: the order of variants and fields is the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecoveryMessage {
    /// Asks what the recipient knows of the sender.
    StatusRequest {
        /// The sender's status.
        status: MemberStatus,
    },
    /// Answers a request.
    StatusResponse {
        /// The sender's status.
        status: MemberStatus,
        /// The highest of the recipient's starts, before the present one, that the sender knows of; 0: none.
        known_start: u64,
        /// The latest checkpoint of that start that the sender knows of.
        known_checkpoint: u64,
    },
    /// Reports that a checkpoint of the sender is on its disk.
    CheckpointWritten {
        /// The sender's present start.
        start: u64,
        /// The checkpoint's number within it.
        checkpoint: u64,
    },
    /// Gossip about the cache state of functions after a mass failure.
    CacheUpdates {
        /// The states of at most 32 functions.
        updates: Vec<CacheUpdate>,
    },
}

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Longer than messages may be.
    #[error("it is longer than {MAX_MESSAGE_SIZE} bytes")]
    TooLong,
    /// Not one of these messages.
    #[error("it is not of this release's form")]
    Malformed,
}

impl RecoveryMessage {
    /// The encoded message.
    pub fn encode(&self) -> Vec<u8> {
        // Writing numbers and flags into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The bytes are too long or not a message of this release.
    pub fn decode(bytes: &[u8]) -> Result<RecoveryMessage, MessageError> {
        if bytes.len() > MAX_MESSAGE_SIZE {
            return Err(MessageError::TooLong);
        }
        postcard::from_bytes(bytes).map_err(|_| MessageError::Malformed)
    }
}

#[cfg(test)]
mod tests;
