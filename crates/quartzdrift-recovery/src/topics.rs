//! What members ask and answer beside the membership: the body of `Part::Told`, by topic, in postcard's published format.
//!
//! An answer is worth what it proves. `yours` can only rise: an old, doubled or restored member says a lower number, which
//! changes nothing. Nobody's word makes anything believed; it makes less believed, and what that can cost is bounded.
use crate::pace::Piece;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The topic of this package; others are of other packages.
pub const RECOVERY: u8 = 1;
/// Bytes of a topic's body at most: it has to fit beside a head, a tag and news.
pub const MAX_BYTES: usize = 256;

/// What a member says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    /// Counts its starts; never less than any that another has heard of.
    pub starts: u64,
    /// Drawn at its start: a number that was used twice is told by it.
    pub life: u64,
    /// Since its start.
    pub up_ms: u64,
    /// Whether it had stopped as planned before, or never run.
    pub was_clean: bool,
    /// Whether it is at full service.
    pub full: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// This is me; what do you know of me?
    Ask { me: About },
    /// This is me. Before the start that you told of, the highest of your starts that I know is `yours`; 0: none.
    /// And `notes`, the latest note of that start that I was told of.
    Answer { me: About, yours: u64, notes: u64 },
    /// So many notes of this start last on my disk.
    Noted { starts: u64, notes: u64 },
    /// What is known of functions' copies while they return after a loss, each by the number of its name.
    CacheSettings { pieces: Vec<Piece> },
}

/// Why a body is not understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    TooLong,
    Foreign,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unread::TooLong => write!(f, "it is longer than {MAX_BYTES} bytes"),
            Unread::Foreign => f.write_str("it is not of this release's form"),
        }
    }
}

impl Said {
    pub fn bytes(&self) -> Vec<u8> {
        // Numbers and flags alone: writing them into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Result<Said, Unread> {
        match bytes.len() <= MAX_BYTES {
            true => postcard::from_bytes(bytes).map_err(|_| Unread::Foreign),
            false => Err(Unread::TooLong),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::pace::{Copy, TELL_PIECES};

    proptest::proptest! {
        #[test]
        fn what_was_said_is_read_and_any_bytes_are_read_or_refused(
            starts: u64, life: u64, up_ms: u64, was_clean: bool, full: bool, yours: u64, functions: [u32; TELL_PIECES],
            bytes: Vec<u8>
        ) {
            let me = About { starts, life, up_ms, was_clean, full };
            let pieces = functions.iter().map(|of| (*of, Copy::Tried)).collect();
            for said in [Said::Ask { me: me.clone() }, Said::Answer { me, yours, notes: life }, Said::Noted { starts, notes: yours }, Said::CacheSettings { pieces }] {
                proptest::prop_assert!(said.bytes().len() <= MAX_BYTES);
                proptest::prop_assert_eq!(Said::read(&said.bytes()), Ok(said));
            }
            let _ = Said::read(&bytes);
        }
    }

    #[test]
    fn what_is_said_is_in_the_form_of_earlier_releases() {
        let me = About {
            starts: 3,
            life: 400,
            up_ms: 50_000,
            was_clean: true,
            full: false,
        };
        let pieces = vec![(7, Copy::Open), (70_000, Copy::Tried), (9, Copy::Stands)];
        for (said, recorded) in [
            (Said::Ask { me: me.clone() }, "00039003d086030100"),
            (
                Said::Answer {
                    me,
                    yours: 2,
                    notes: 600,
                },
                "01039003d08603010002d804",
            ),
            (
                Said::Noted {
                    starts: 4,
                    notes: 700,
                },
                "0204bc05",
            ),
            (Said::CacheSettings { pieces }, "03030700f0a204010902"),
        ] {
            let hex: String = said.bytes().iter().map(|byte| format!("{byte:02x}")).collect();
            assert_eq!(hex, recorded);
            assert_eq!(Said::read(&said.bytes()), Ok(said));
        }
    }

    #[test]
    fn what_is_too_long_is_refused_unread() {
        assert_eq!(Said::read(&[0; MAX_BYTES + 1]), Err(Unread::TooLong));
        assert_eq!(Said::read(&[9]), Err(Unread::Foreign));
    }
}
