//! A request as bytes that outlast the process, in postcard's published format after a version.
use crate::queue::{Destination, Submitted};
use quartzdrift_scheduler::interface::Idempotency;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

const VERSION: u8 = 1;

#[derive(Serialize, Deserialize)]
struct Written {
    function: String,
    tenant: u32,
    /// 0 idempotent, 1 fingerprinted, 2 non-idempotent.
    idempotency: u8,
    anywhere: bool,
    window_us: u64,
    payload: Vec<u8>,
    context: Option<String>,
    mark: Option<String>,
    on_success: Option<Destination>,
    on_failure: Option<Destination>,
    timer: Option<String>,
    hops: u32,
}

impl Submitted {
    pub fn to_bytes(&self) -> Vec<u8> {
        let written = Written {
            function: self.function.clone(),
            tenant: self.tenant,
            idempotency: match self.idempotency {
                Idempotency::Idempotent => 0,
                Idempotency::IdempotentWithKey => 1,
                Idempotency::NonIdempotent => 2,
            },
            anywhere: self.anywhere,
            window_us: self.window.as_micros() as u64,
            payload: self.payload.to_vec(),
            context: self.context.clone(),
            mark: self.mark.clone(),
            on_success: self.on_success.clone(),
            on_failure: self.on_failure.clone(),
            timer: self.timer.clone(),
            hops: self.hops,
        };
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_stdvec(&written).unwrap_or_default());
        bytes
    }

    /// `None`: bytes of another release, or none of ours.
    pub fn from_bytes(bytes: &[u8]) -> Option<Submitted> {
        let (&version, body) = bytes.split_first()?;
        let written: Written = (version == VERSION).then(|| postcard::from_bytes(body).ok())??;
        Some(Submitted {
            function: written.function,
            tenant: written.tenant,
            idempotency: match written.idempotency {
                0 => Idempotency::Idempotent,
                1 => Idempotency::IdempotentWithKey,
                _ => Idempotency::NonIdempotent,
            },
            anywhere: written.anywhere,
            window: Duration::from_micros(written.window_us),
            payload: Rc::from(written.payload),
            context: written.context,
            mark: written.mark,
            on_success: written.on_success,
            on_failure: written.on_failure,
            timer: written.timer,
            hops: written.hops,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    proptest::proptest! {
        #[test]
        fn a_request_is_there_again(payload: Vec<u8>, context: Option<String>, idempotency in 0u8..3, hops: u32) {
            let idempotency = [Idempotency::Idempotent, Idempotency::IdempotentWithKey, Idempotency::NonIdempotent][usize::from(idempotency)];
            let request = Submitted {
                function: "f:1".into(),
                tenant: 2,
                idempotency,
                anywhere: true,
                window: Duration::from_millis(5500),
                payload: Rc::from(payload),
                context,
                mark: Some("m".into()),
                on_success: Some(Destination::Url("http://x".into())),
                on_failure: Some(Destination::Function("dead".into())),
                timer: None,
                hops,
            };
            proptest::prop_assert_eq!(Submitted::from_bytes(&request.to_bytes()), Some(request));
        }

        #[test]
        fn any_bytes_are_a_request_or_none(bytes: Vec<u8>) {
            let _ = Submitted::from_bytes(&bytes);
        }
    }
}
