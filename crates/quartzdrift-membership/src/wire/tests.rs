use super::*;

fn header() -> Header {
    Header {
        cluster: 7,
        sender: "a".to_owned(),
        instance: 1,
        recipient_instance: 2,
        sequence: 3,
        incarnation: 4,
    }
}

fn signed_datagram(key: &[u8]) -> Vec<u8> {
    let mut writer = DatagramWriter::new(&header(), 1200);
    assert!(writer.push(&Part::Ping { probe: 9 }));
    writer.sign(key)
}

#[test]
fn datagrams_round_trip_and_are_rejected_with_their_reason() {
    let keys = [b"new".to_vec(), b"old".to_vec()];
    for key in &keys {
        let datagram = decode(&signed_datagram(key), 7, &keys).unwrap();
        assert_eq!(
            (datagram.header, datagram.parts),
            (header(), vec![Part::Ping { probe: 9 }])
        );
    }
    let rejection = |bytes: &[u8], cluster| decode(bytes, cluster, &keys).err();
    assert_eq!(
        rejection(&signed_datagram(b"other"), 7),
        Some(RejectReason::InvalidTag)
    );
    assert_eq!(
        rejection(&signed_datagram(b"new"), 8),
        Some(RejectReason::OtherCluster)
    );
    let mut later_version = signed_datagram(b"new");
    later_version[3] = 2;
    assert_eq!(
        rejection(&later_version, 7),
        Some(RejectReason::UnsupportedVersion(2))
    );
    assert_eq!(
        rejection(b"GET / HTTP/1.1\r\n\r\n", 7),
        Some(RejectReason::Malformed)
    );
}

/// A datagram with a part of each kind, recorded from the release of 2026-12-02 as hexadecimal digits.
const RECORDED: &str = "51444d01070161010203040200000102000102100002030162007f000001bf4cac02050107020003040f00040162007f000001bf4cac02050107030005f403030006016d040007017a01060008010301020302fdcb6075684d77ac1a288a24f814f5";

#[test]
fn encoding_matches_the_recorded_datagram() {
    let update = MemberUpdate {
        name: "b".to_owned(),
        address: "127.0.0.1:9791".parse().unwrap(),
        instance: 300,
        incarnation: 5,
        state: crate::member::MemberState::Suspect,
        suspecting_instance: 7,
    };
    let parts = [
        Part::Ping { probe: 1 },
        Part::Ack { probe: 2 },
        Part::PingRequest {
            probe: 3,
            target: update.clone(),
        },
        Part::Nack { probe: 4 },
        Part::Update(update),
        Part::Introduction {
            answered_sequence: 500,
        },
        Part::ExchangeRequest {
            after: "m".to_owned(),
        },
        Part::ExchangePage {
            last: "z".to_owned(),
            more: true,
        },
        Part::Message {
            topic: 1,
            bytes: vec![1, 2, 3],
        },
    ];
    let mut writer = DatagramWriter::new(&header(), 1200);
    parts.iter().for_each(|part| assert!(writer.push(part)));
    let bytes = writer.sign(b"key");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, RECORDED);
    let datagram = decode(&bytes, 7, &[b"key".to_vec()]).unwrap();
    assert_eq!((datagram.header, &datagram.parts[..]), (header(), &parts[..]));
}

#[test]
fn parts_of_unknown_kinds_are_skipped() {
    let mut writer = DatagramWriter::new(&header(), 1200);
    writer.bytes.extend([3, 0, 200, 1, 2]);
    assert!(writer.push(&Part::Ack { probe: 5 }));
    let datagram = decode(&writer.sign(b"k"), 7, &[b"k".to_vec()]).unwrap();
    assert_eq!(datagram.parts, [Part::Ack { probe: 5 }]);
}

#[test]
fn tags_and_cluster_ids_match_published_test_vectors() {
    // RFC 4231, test case 2.
    let tag = authenticate(b"Jefe", b"what do ya want for nothing?")
        .finalize()
        .into_bytes();
    assert_eq!(tag[..8], [0x5b, 0xdc, 0xc1, 0x46, 0xbf, 0x60, 0x75, 0x4e]);
    assert_eq!(cluster_id("abc"), 0xba78_16bf_8f01_cfea);
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_and_any_flipped_bit_is_rejected(
        bytes: Vec<u8>,
        position in 0usize..60,
        bit in 0u8..8,
    ) {
        let _ = decode(&bytes, 7, &[b"k".to_vec()]);
        let mut damaged = signed_datagram(b"k");
        let position = position % damaged.len();
        damaged[position] ^= 1 << bit;
        proptest::prop_assert!(decode(&damaged, 7, &[b"k".to_vec()]).is_err());
    }
}
