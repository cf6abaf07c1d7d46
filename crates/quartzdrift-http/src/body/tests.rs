use super::*;

/// Parses a chunked body that arrives in segments of `segment_size` bytes. Returns the decoded bytes and the
/// number of input bytes consumed.
fn read_in_segments(input: &[u8], segment_size: usize) -> Result<(Vec<u8>, usize), BodyError> {
    let mut reader = BodyReader::new(Framing::Chunked, 100)?;
    let (mut pending, mut total_consumed) = (Vec::new(), 0);
    for segment in input.chunks(segment_size.max(1)) {
        pending.extend_from_slice(segment);
        let consumed = reader.feed(&pending)?;
        pending.drain(..consumed);
        total_consumed += consumed;
    }
    assert!(reader.is_complete());
    Ok((reader.bytes, total_consumed))
}

proptest::proptest! {
    #[test]
    fn chunked_body_is_parsed_the_same_for_any_segment_size(segment_size in 1usize..30) {
        let input = b"5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\nx-t: 1\r\n\r\nnext";
        let (bytes, consumed) = read_in_segments(input, segment_size).unwrap();
        proptest::prop_assert_eq!(&bytes[..], b"hello, world");
        proptest::prop_assert_eq!(consumed, input.len() - 4);
    }

    #[test]
    fn arbitrary_bytes_stay_within_the_limit_or_fail(bytes: Vec<u8>) {
        let mut reader = BodyReader::new(Framing::Chunked, 64).unwrap();
        if let Ok(consumed) = reader.feed(&bytes) {
            proptest::prop_assert!(consumed <= bytes.len() && reader.bytes.len() <= 64);
        }
    }
}

#[test]
fn bodies_and_size_lines_over_the_limit_are_rejected() {
    assert_eq!(
        BodyReader::new(Framing::Length(101), 100).unwrap_err(),
        BodyError::TooLarge
    );
    let mut reader = BodyReader::new(Framing::Chunked, 4).unwrap();
    assert_eq!(reader.feed(b"5\r\nhello\r\n").unwrap_err(), BodyError::TooLarge);
    let mut reader = BodyReader::new(Framing::Chunked, 4).unwrap();
    let size_line = [b'0'; MAX_LINE + 2];
    assert_eq!(reader.feed(&size_line).unwrap_err(), BodyError::Malformed);
}
