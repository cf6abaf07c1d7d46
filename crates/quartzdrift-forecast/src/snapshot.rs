//! What was learnt, as bytes that outlast the process: a head with name, version and checksum, then JSON.
use crate::forecasts::{Forecasts, Settings, Track};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

const NAME: &[u8; 8] = b"QDFORECA";
const VERSION: u32 = 1;
const HEAD: usize = 8 + 4 + 4;
/// Older than this it says nothing of today.
const OLDEST: Duration = Duration::from_secs(14 * 86_400);
/// A clock may be set back by so much and what it saved be believed.
const MAX_AHEAD: Duration = Duration::from_secs(300);

/// Why a snapshot is set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    Foreign,
    Version(u32),
    Corrupt,
    Old,
    FromTheFuture,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unreadable::Foreign => f.write_str("it is no snapshot of forecasts"),
            Unreadable::Version(version) => {
                write!(f, "it is of version {version}, and {VERSION} is read here")
            }
            Unreadable::Corrupt => f.write_str("its checksum does not fit"),
            Unreadable::Old => f.write_str("it is too old to say anything of today"),
            Unreadable::FromTheFuture => f.write_str("it was written later than now"),
        }
    }
}

impl Forecasts {
    pub fn save(&self, now: Duration) -> Vec<u8> {
        let body = serde_json::to_vec(&(now, &self.tracks)).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend_from_slice(NAME);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    pub fn restore(settings: Settings, bytes: &[u8], now: Duration) -> Result<Forecasts, Unreadable> {
        if bytes.len() < HEAD || &bytes[..8] != NAME {
            return Err(Unreadable::Foreign);
        }
        let number = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        if number(8) != VERSION {
            return Err(Unreadable::Version(number(8)));
        }
        let body = &bytes[HEAD..];
        if crc32fast::hash(body) != number(12) {
            return Err(Unreadable::Corrupt);
        }
        let read = serde_json::from_slice::<(Duration, BTreeMap<String, Track>)>(body);
        let (at, tracks) = read.map_err(|_| Unreadable::Corrupt)?;
        if at > now + MAX_AHEAD {
            return Err(Unreadable::FromTheFuture);
        }
        if at + OLDEST < now {
            return Err(Unreadable::Old);
        }
        let mut forecasts = Forecasts::new(settings);
        let names: Vec<String> = tracks.keys().cloned().collect();
        forecasts.tracks = tracks;
        // Within the bounds of today's settings, whatever it was saved with.
        names.iter().for_each(|name| forecasts.list(name));
        Ok(forecasts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn saved() -> (Vec<u8>, Duration) {
        let mut forecasts = Forecasts::new(Settings::default());
        let now = Duration::from_secs(1_000_000);
        (0..20u32).for_each(|n| forecasts.used(now + Duration::from_secs(30) * n, "f"));
        let now = now + Duration::from_secs(600);
        (forecasts.save(now), now)
    }

    #[test]
    fn what_was_saved_is_there_again() {
        let (bytes, now) = saved();
        let mut again = Forecasts::restore(Settings::default(), &bytes, now).unwrap();
        assert_eq!(again.save(now), bytes);
        again.used(now, "f");
        assert!(again.next_due().is_some());
        let small = Settings {
            functions: 1,
            ..Settings::default()
        };
        assert!(Forecasts::restore(small, &bytes, now).unwrap().len() <= 2);
    }

    #[test]
    fn what_is_wrong_is_set_aside_by_its_cause() {
        let (bytes, now) = saved();
        let read = |bytes: &[u8], now| Forecasts::restore(Settings::default(), bytes, now).err();
        assert_eq!(read(b"something", now), Some(Unreadable::Foreign));
        let mut other = bytes.clone();
        other[8] = 9;
        assert_eq!(read(&other, now), Some(Unreadable::Version(9)));
        assert_eq!(read(&bytes, now + OLDEST * 2), Some(Unreadable::Old));
        assert_eq!(read(&bytes, now - MAX_AHEAD * 2), Some(Unreadable::FromTheFuture));
    }

    proptest::proptest! {
        #[test]
        fn any_damage_is_seen(at: proptest::sample::Index, bit in 0u8..8) {
            let (mut bytes, now) = saved();
            let at = at.index(bytes.len());
            bytes[at] ^= 1 << bit;
            proptest::prop_assert!(Forecasts::restore(Settings::default(), &bytes, now).is_err());
        }

        #[test]
        fn any_bytes_are_read_or_refused(bytes: Vec<u8>) {
            let mut all = NAME.to_vec();
            all.extend(bytes);
            let _ = Forecasts::restore(Settings::default(), &all, Duration::ZERO);
        }
    }
}
