use super::{MAGIC, MAX_AGE, MAX_CLOCK_SKEW, SnapshotError};
use crate::forecasts::{ForecastSettings, Forecasts};
use std::time::Duration;

fn snapshot() -> (Vec<u8>, Duration) {
    let mut forecasts = Forecasts::new(ForecastSettings::default());
    let now = Duration::from_secs(1_000_000);
    (0..20u32).for_each(|n| forecasts.record_use(now + Duration::from_secs(30) * n, "f"));
    let now = now + Duration::from_secs(600);
    (forecasts.save(now), now)
}

#[test]
fn a_snapshot_is_restored() {
    let (bytes, now) = snapshot();
    let mut restored = Forecasts::restore(ForecastSettings::default(), &bytes, now).unwrap();
    assert_eq!(restored.save(now), bytes);
    restored.record_use(now, "f");
    assert!(restored.next_due().is_some());
    let small = ForecastSettings {
        max_functions: 1,
        ..ForecastSettings::default()
    };
    assert!(Forecasts::restore(small, &bytes, now).unwrap().len() <= 2);
}

#[test]
fn an_unusable_snapshot_is_rejected_with_its_reason() {
    let (bytes, now) = snapshot();
    let read = |bytes: &[u8], now| Forecasts::restore(ForecastSettings::default(), bytes, now).err();
    assert_eq!(read(b"something", now), Some(SnapshotError::NotASnapshot));
    let mut newer = bytes.clone();
    newer[8] = 9;
    assert_eq!(read(&newer, now), Some(SnapshotError::UnsupportedVersion(9)));
    assert_eq!(read(&bytes, now + MAX_AGE * 2), Some(SnapshotError::TooOld));
    assert_eq!(
        read(&bytes, now - MAX_CLOCK_SKEW * 2),
        Some(SnapshotError::FromFuture)
    );
}

proptest::proptest! {
    #[test]
    fn any_flipped_bit_is_detected(at: proptest::sample::Index, bit in 0u8..8) {
        let (mut bytes, now) = snapshot();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        proptest::prop_assert!(Forecasts::restore(ForecastSettings::default(), &bytes, now).is_err());
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes: Vec<u8>) {
        let mut snapshot = MAGIC.to_vec();
        snapshot.extend(bytes);
        let _ = Forecasts::restore(ForecastSettings::default(), &snapshot, Duration::ZERO);
    }
}
