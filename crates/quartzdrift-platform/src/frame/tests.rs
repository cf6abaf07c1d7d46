use super::*;
use proptest::prelude::*;

fn frame(code: u8, fields: &[u8], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out, FROM_WORKER, code, 0x0102_0304_0506_0708, fields, body);
    out
}

#[test]
fn a_frame_has_the_layout_of_the_protocol() {
    let bytes = frame(64, b"a=b", b"xyz");
    assert_eq!(
        &bytes[..HEADER_BYTES],
        &[193, 64, 0, 3, 0, 0, 0, 3, 1, 2, 3, 4, 5, 6, 7, 8]
    );
    // 0xcbf43926 is the check value of CRC-32 (IEEE), its checksum of these nine digits.
    assert_eq!(
        frame(64, b"123456789", b"")[HEADER_BYTES + 9..],
        0xcbf4_3926_u32.to_be_bytes()
    );
}

#[test]
fn an_invalid_frame_is_rejected_as_soon_as_the_invalid_value_has_arrived() {
    assert_eq!(read(&[192]), Err(FrameError::Magic(192)));
    assert_eq!(read(&[193, 65]), Err(FrameError::Code(65)));
    let three_gigabytes = [193, 64, 0, 0, 0xb2, 0xd0, 0x5e, 0, 0, 0, 0, 0, 0, 0, 0, 1];
    assert_eq!(read(&three_gigabytes), Err(FrameError::Length(3_000_000_000)));
    let mut corrupted = frame(64, b"", b"good");
    corrupted[HEADER_BYTES + 1] ^= 1;
    assert_eq!(read(&corrupted), Err(FrameError::Check));
}

proptest! {
    #[test]
    fn an_answer_is_read_only_once_it_is_complete(
        fields in proptest::collection::vec(any::<u8>(), 0..100),
        body in proptest::collection::vec(any::<u8>(), 0..1000),
        cut in any::<proptest::sample::Index>(),
    ) {
        let bytes = frame(67, &fields, &body);
        prop_assert_eq!(read(&bytes[..cut.index(bytes.len())]), Ok(None));
        let answer = read(&bytes).unwrap().unwrap();
        prop_assert_eq!(
            (answer.code, answer.fields, answer.body),
            (AnswerCode::AtCapacity, &fields[..], &body[..])
        );
        prop_assert_eq!(answer.frame_bytes, bytes.len());
    }

    #[test]
    fn reading_random_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = read(&bytes);
    }
}
