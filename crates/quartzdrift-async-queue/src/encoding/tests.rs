use crate::invocation::{Destination, Invocation};
use quartzdrift_scheduler::interface::Idempotency;
use std::rc::Rc;
use std::time::Duration;

proptest::proptest! {
    #[test]
    fn decoding_an_encoded_invocation_returns_the_same_invocation(
        payload: Vec<u8>,
        context: Option<String>,
        idempotency in 0u8..3,
        hops: u32,
    ) {
        let idempotency = [
            Idempotency::Idempotent,
            Idempotency::IdempotentWithKey,
            Idempotency::NonIdempotent,
        ][usize::from(idempotency)];
        let invocation = Invocation {
            function: "f:1".into(),
            tenant: 2,
            idempotency,
            deduplicated_by_all: true,
            deduplication_window: Duration::from_millis(5500),
            payload: Rc::from(payload),
            context,
            idempotency_key: Some("m".into()),
            on_success: Some(Destination::Url("http://x".into())),
            on_failure: Some(Destination::Function("dead".into())),
            schedule: None,
            hops,
        };
        proptest::prop_assert_eq!(Invocation::from_bytes(&invocation.to_bytes()), Some(invocation));
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes: Vec<u8>) {
        let _ = Invocation::from_bytes(&bytes);
    }
}
