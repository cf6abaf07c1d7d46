use super::*;

fn read(input: &[u8], cut: usize) -> Result<(Vec<u8>, usize), BodyError> {
    let mut reader = BodyReader::new(Framing::Chunked, 100)?;
    let (mut held, mut used) = (Vec::new(), 0);
    for part in input.chunks(cut.max(1)) {
        held.extend_from_slice(part);
        let taken = reader.feed(&held)?;
        held.drain(..taken);
        used += taken;
    }
    assert!(reader.is_complete());
    Ok((reader.bytes, used))
}

proptest::proptest! {
    #[test]
    fn chunks_are_read_alike_however_they_are_cut(cut in 1usize..30) {
        let input = b"5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\nx-t: 1\r\n\r\nnext";
        let (bytes, used) = read(input, cut).unwrap();
        proptest::prop_assert_eq!(&bytes[..], b"hello, world");
        proptest::prop_assert_eq!(used, input.len() - 4);
    }

    #[test]
    fn any_bytes_end_or_fail(bytes: Vec<u8>) {
        let mut reader = BodyReader::new(Framing::Chunked, 64).unwrap();
        if let Ok(used) = reader.feed(&bytes) {
            proptest::prop_assert!(used <= bytes.len() && reader.bytes.len() <= 64);
        }
    }
}

#[test]
fn limits_hold() {
    assert_eq!(
        BodyReader::new(Framing::Length(101), 100).unwrap_err(),
        BodyError::TooLarge
    );
    let mut reader = BodyReader::new(Framing::Chunked, 4).unwrap();
    assert_eq!(reader.feed(b"5\r\nhello\r\n").unwrap_err(), BodyError::TooLarge);
    let mut reader = BodyReader::new(Framing::Chunked, 4).unwrap();
    let line = [b'0'; MAX_LINE + 2];
    assert_eq!(reader.feed(&line).unwrap_err(), BodyError::Malformed);
}
