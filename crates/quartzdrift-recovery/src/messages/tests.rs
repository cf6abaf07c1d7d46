use super::*;
use crate::admission_ramp::CacheState;
use crate::cache_gossip::MAX_UPDATES_PER_MESSAGE;

proptest::proptest! {
    #[test]
    fn messages_round_trip_and_arbitrary_bytes_never_panic(
        starts: u64,
        instance: u64,
        up_ms: u64,
        ended_cleanly: bool,
        at_full_service: bool,
        known_start: u64,
        functions: [u32; MAX_UPDATES_PER_MESSAGE],
        bytes: Vec<u8>,
    ) {
        let status = MemberStatus { starts, instance, up_ms, ended_cleanly, at_full_service };
        let state = CacheState::Loading;
        let updates = functions.map(|function| CacheUpdate { function, state }).to_vec();
        let messages = [
            RecoveryMessage::StatusRequest { status: status.clone() },
            RecoveryMessage::StatusResponse { status, known_start, known_checkpoint: instance },
            RecoveryMessage::CheckpointWritten { start: starts, checkpoint: known_start },
            RecoveryMessage::CacheUpdates { updates },
        ];
        for message in messages {
            proptest::prop_assert!(message.encode().len() <= MAX_MESSAGE_SIZE);
            proptest::prop_assert_eq!(RecoveryMessage::decode(&message.encode()), Ok(message));
        }
        let _ = RecoveryMessage::decode(&bytes);
    }
}

#[test]
fn encodings_match_the_recorded_messages() {
    let status = MemberStatus {
        starts: 3,
        instance: 400,
        up_ms: 50_000,
        ended_cleanly: true,
        at_full_service: false,
    };
    let update = |function, state| CacheUpdate { function, state };
    let updates = vec![
        update(7, CacheState::NotCached),
        update(70_000, CacheState::Loading),
        update(9, CacheState::Cached),
    ];
    for (message, recorded) in [
        (
            RecoveryMessage::StatusRequest {
                status: status.clone(),
            },
            "00039003d086030100",
        ),
        (
            RecoveryMessage::StatusResponse {
                status,
                known_start: 2,
                known_checkpoint: 600,
            },
            "01039003d08603010002d804",
        ),
        (
            RecoveryMessage::CheckpointWritten {
                start: 4,
                checkpoint: 700,
            },
            "0204bc05",
        ),
        (RecoveryMessage::CacheUpdates { updates }, "03030700f0a204010902"),
    ] {
        let hex: String = message
            .encode()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        assert_eq!(hex, recorded);
        assert_eq!(RecoveryMessage::decode(&message.encode()), Ok(message));
    }
}

#[test]
fn messages_that_are_too_long_or_malformed_are_rejected() {
    assert_eq!(
        RecoveryMessage::decode(&[0; MAX_MESSAGE_SIZE + 1]),
        Err(MessageError::TooLong {
            size: MAX_MESSAGE_SIZE + 1
        })
    );
    assert_eq!(RecoveryMessage::decode(&[9]), Err(MessageError::Malformed));
}
