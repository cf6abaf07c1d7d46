//! Binary format of invocations in a store: a version byte, then the invocation in postcard's wire format.
use crate::invocation::{Destination, Invocation};
use quartzdrift_scheduler::interface::Idempotency;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// First byte of each encoded invocation.
const FORMAT_VERSION: u8 = 1;

/// Fields of an encoded invocation. Postcard is positional: fields may be renamed, but never reordered.
#[derive(Serialize, Deserialize)]
struct EncodedInvocation {
    function: String,
    tenant: u32,
    idempotency: u8,
    deduplicated_by_all: bool,
    deduplication_window_us: u64,
    payload: Vec<u8>,
    context: Option<String>,
    idempotency_key: Option<String>,
    on_success: Option<Destination>,
    on_failure: Option<Destination>,
    schedule: Option<String>,
    hops: u32,
}

fn encode_idempotency(idempotency: Idempotency) -> u8 {
    match idempotency {
        Idempotency::Idempotent => 0,
        Idempotency::IdempotentWithKey => 1,
        Idempotency::NonIdempotent => 2,
    }
}

/// Unknown codes decode to `NonIdempotent`, the class with the strictest rules for retries.
fn decode_idempotency(encoded: u8) -> Idempotency {
    match encoded {
        0 => Idempotency::Idempotent,
        1 => Idempotency::IdempotentWithKey,
        _ => Idempotency::NonIdempotent,
    }
}

impl Invocation {
    /// Encodes the invocation in the current format, which [`Invocation::from_bytes`] decodes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let encoded = EncodedInvocation {
            function: self.function.clone(),
            tenant: self.tenant,
            idempotency: encode_idempotency(self.idempotency),
            deduplicated_by_all: self.deduplicated_by_all,
            deduplication_window_us: self.deduplication_window.as_micros() as u64,
            payload: self.payload.to_vec(),
            context: self.context.clone(),
            idempotency_key: self.idempotency_key.clone(),
            on_success: self.on_success.clone(),
            on_failure: self.on_failure.clone(),
            schedule: self.schedule.clone(),
            hops: self.hops,
        };
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend(postcard::to_stdvec(&encoded).unwrap_or_default());
        bytes
    }

    /// Decodes an invocation; `None` if the format version is not supported or the bytes are malformed.
    pub fn from_bytes(bytes: &[u8]) -> Option<Invocation> {
        let (&version, body) = bytes.split_first()?;
        if version != FORMAT_VERSION {
            return None;
        }
        let encoded: EncodedInvocation = postcard::from_bytes(body).ok()?;
        Some(Invocation {
            function: encoded.function,
            tenant: encoded.tenant,
            idempotency: decode_idempotency(encoded.idempotency),
            deduplicated_by_all: encoded.deduplicated_by_all,
            deduplication_window: Duration::from_micros(encoded.deduplication_window_us),
            payload: Rc::from(encoded.payload),
            context: encoded.context,
            idempotency_key: encoded.idempotency_key,
            on_success: encoded.on_success,
            on_failure: encoded.on_failure,
            schedule: encoded.schedule,
            hops: encoded.hops,
        })
    }
}
