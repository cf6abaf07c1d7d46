//! Datagrams between members: a head in the clear, parts, and a tag over all of it (HMAC with SHA-256, RFC 2104 and
//! FIPS 180-4, cut to 16 bytes).
//!
//! ```text
//! "QDM" version | head | (length: u16, part)* | tag: 16 bytes
//! ```
//!
//! Head and parts are in postcard's published format. A part of a kind that is not known here is passed over, so that a
//! later release can say more to those that understand it; what changes the head changes the version.
use crate::news::News;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

pub const VERSION: u8 = 1;
const NAME: &[u8; 3] = b"QDM";
const TAG: usize = 16;
/// Longer names are refused: many of them must fit into a datagram.
pub const MAX_NAME: usize = 64;
/// Parts of a datagram at most.
const MAX_PARTS: usize = 128;

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// Not of this protocol, cut short, or longer than datagrams are.
    Foreign,
    Version(u8),
    Cluster,
    /// No valid key made its tag.
    Forged,
    /// It was taken already, or is of an earlier life of its sender.
    Replayed,
    /// Another member bears its sender's name.
    NameTaken,
    /// There is no room for one more member.
    TooMany,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::Foreign => f.write_str("it is no datagram of members"),
            Refused::Version(version) => {
                write!(f, "it is of version {version}, and {VERSION} is spoken here")
            }
            Refused::Cluster => f.write_str("it is of another cluster"),
            Refused::Forged => f.write_str("its tag fits none of the keys"),
            Refused::Replayed => f.write_str("it was taken before or is of an earlier start of its sender"),
            Refused::NameTaken => f.write_str("another member bears its sender's name"),
            Refused::TooMany => f.write_str("there is no room for one more member"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub cluster: u64,
    pub from: String,
    /// Drawn at the sender's start.
    pub life: u64,
    /// The receiver's life as the sender knows it, 0 where it does not: who replays to a later life is found out.
    pub to: u64,
    /// Counts the sender's datagrams.
    pub number: u64,
    pub incarnation: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    Ping {
        probe: u32,
    },
    Ack {
        probe: u32,
    },
    /// Please probe this member for me.
    Relay {
        probe: u32,
        about: News,
    },
    /// It did not answer me either, but I am here.
    Nack {
        probe: u32,
    },
    News(News),
    /// You do not know my life; this answers your datagram of that number.
    Hello {
        answers: u64,
    },
    /// Tell me the members whose names come after this one.
    Ask {
        after: String,
    },
    /// Ends a page of news; more: there are names after the last one.
    Page {
        last: String,
        more: bool,
    },
    /// For whoever uses the membership.
    Told {
        topic: u8,
        bytes: Vec<u8>,
    },
}

pub struct Datagram {
    pub head: Head,
    pub parts: Vec<Part>,
}

fn tag(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // Keys of any length are taken by HMAC.
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("any length is good"));
    mac.update(bytes);
    mac
}

/// Bytes of a datagram to be; parts are added while they fit.
pub struct Writer {
    bytes: Vec<u8>,
    most: usize,
}

impl Writer {
    pub fn new(head: &Head, most: usize) -> Writer {
        let mut bytes = NAME.to_vec();
        bytes.push(VERSION);
        bytes.extend(postcard::to_stdvec(head).unwrap_or_default());
        Writer {
            bytes,
            most: most.saturating_sub(TAG),
        }
    }

    /// Whether there was room.
    pub fn add(&mut self, part: &Part) -> bool {
        let Ok(own) = postcard::to_stdvec(part) else {
            return false;
        };
        let Ok(length) = u16::try_from(own.len()) else {
            return false;
        };
        let fits = self.bytes.len() + 2 + own.len() <= self.most;
        if fits {
            self.bytes.extend(length.to_le_bytes());
            self.bytes.extend(own);
        }
        fits
    }

    /// Room that was kept until now may be used: the datagram was begun that much shorter.
    pub fn free(&mut self, kept: usize) {
        self.most += kept;
    }

    pub fn end(mut self, key: &[u8]) -> Vec<u8> {
        let tag = tag(key, &self.bytes).finalize().into_bytes();
        self.bytes.extend_from_slice(&tag[..TAG]);
        self.bytes
    }
}

/// Reads a datagram that one of `keys` made.
pub fn read(bytes: &[u8], cluster: u64, keys: &[Vec<u8>]) -> Result<Datagram, Refused> {
    if bytes.len() < NAME.len() + 1 + TAG || &bytes[..NAME.len()] != NAME {
        return Err(Refused::Foreign);
    }
    let version = bytes[NAME.len()];
    if version != VERSION {
        return Err(Refused::Version(version));
    }
    let (signed, made) = bytes.split_at(bytes.len() - TAG);
    let (head, mut rest) =
        postcard::take_from_bytes::<Head>(&signed[NAME.len() + 1..]).map_err(|_| Refused::Foreign)?;
    if head.cluster != cluster {
        return Err(Refused::Cluster);
    }
    if !keys
        .iter()
        .any(|key| tag(key, signed).verify_truncated_left(made).is_ok())
    {
        return Err(Refused::Forged);
    }
    if head.from.is_empty() || head.from.len() > MAX_NAME {
        return Err(Refused::Foreign);
    }
    let mut parts = Vec::new();
    while let Some((length, after)) = rest.split_at_checked(2) {
        let length = usize::from(u16::from_le_bytes([length[0], length[1]]));
        let (part, after) = after.split_at_checked(length).ok_or(Refused::Foreign)?;
        rest = after;
        if parts.len() == MAX_PARTS {
            break;
        }
        // What is not understood is for others.
        parts.extend(postcard::from_bytes::<Part>(part).ok());
    }
    Ok(Datagram { head, parts })
}

/// A cluster's name as a number that is the same everywhere: the first bytes of its SHA-256.
pub fn cluster(name: &str) -> u64 {
    use sha2::Digest;
    let hash = Sha256::digest(name.as_bytes());
    hash.iter()
        .take(8)
        .fold(0, |all, byte| all << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head() -> Head {
        Head {
            cluster: 7,
            from: "a".to_owned(),
            life: 1,
            to: 2,
            number: 3,
            incarnation: 4,
        }
    }

    fn made(key: &[u8]) -> Vec<u8> {
        let mut writer = Writer::new(&head(), 1200);
        assert!(writer.add(&Part::Ping { probe: 9 }));
        writer.end(key)
    }

    #[test]
    fn what_was_written_is_read_and_refused_by_its_cause() {
        let keys = [b"new".to_vec(), b"old".to_vec()];
        for key in &keys {
            let read = read(&made(key), 7, &keys).unwrap();
            assert_eq!((read.head, read.parts), (head(), vec![Part::Ping { probe: 9 }]));
        }
        let of = |bytes: &[u8], cluster| read(bytes, cluster, &keys).err();
        assert_eq!(of(&made(b"other"), 7), Some(Refused::Forged));
        assert_eq!(of(&made(b"new"), 8), Some(Refused::Cluster));
        let mut later = made(b"new");
        later[3] = 2;
        assert_eq!(of(&later, 7), Some(Refused::Version(2)));
        assert_eq!(of(b"GET / HTTP/1.1\r\n\r\n", 7), Some(Refused::Foreign));
    }

    /// A datagram with a part of each kind, as the release of 2026-12-02 sends it.
    const RECORDED: &str = "51444d01070161010203040200000102000102100002030162007f000001bf4cac02050107020003040f00040162007f000001bf4cac02050107030005f403030006016d040007017a01060008010301020302fdcb6075684d77ac1a288a24f814f5";

    #[test]
    fn datagrams_are_those_of_earlier_releases() {
        let news = News {
            name: "b".to_owned(),
            address: "127.0.0.1:9791".parse().unwrap(),
            life: 300,
            incarnation: 5,
            state: crate::news::State::Suspect,
            accuser: 7,
        };
        let parts = [
            Part::Ping { probe: 1 },
            Part::Ack { probe: 2 },
            Part::Relay {
                probe: 3,
                about: news.clone(),
            },
            Part::Nack { probe: 4 },
            Part::News(news),
            Part::Hello { answers: 500 },
            Part::Ask {
                after: "m".to_owned(),
            },
            Part::Page {
                last: "z".to_owned(),
                more: true,
            },
            Part::Told {
                topic: 1,
                bytes: vec![1, 2, 3],
            },
        ];
        let mut writer = Writer::new(&head(), 1200);
        parts.iter().for_each(|part| assert!(writer.add(part)));
        let bytes = writer.end(b"key");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(hex, RECORDED);
        let read = read(&bytes, 7, &[b"key".to_vec()]).unwrap();
        assert_eq!((read.head, &read.parts[..]), (head(), &parts[..]));
    }

    #[test]
    fn a_part_of_a_later_release_is_passed_over() {
        let mut writer = Writer::new(&head(), 1200);
        writer.bytes.extend([3, 0, 200, 1, 2]);
        assert!(writer.add(&Part::Ack { probe: 5 }));
        let read = read(&writer.end(b"k"), 7, &[b"k".to_vec()]).unwrap();
        assert_eq!(read.parts, [Part::Ack { probe: 5 }]);
    }

    #[test]
    fn a_tag_is_the_published_one() {
        // RFC 4231, test case 2.
        let made = tag(b"Jefe", b"what do ya want for nothing?")
            .finalize()
            .into_bytes();
        assert_eq!(made[..8], [0x5b, 0xdc, 0xc1, 0x46, 0xbf, 0x60, 0x75, 0x4e]);
        assert_eq!(cluster("abc"), 0xba78_16bf_8f01_cfea);
    }

    proptest::proptest! {
        #[test]
        fn any_bytes_are_read_or_refused(bytes: Vec<u8>, damage in 0usize..60, bit in 0u8..8) {
            let _ = read(&bytes, 7, &[b"k".to_vec()]);
            let mut good = made(b"k");
            let at = damage % good.len();
            good[at] ^= 1 << bit;
            proptest::prop_assert!(read(&good, 7, &[b"k".to_vec()]).is_err());
        }
    }
}
