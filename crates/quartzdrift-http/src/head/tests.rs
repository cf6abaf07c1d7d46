use super::*;

#[test]
fn conflicting_or_invalid_lengths_are_rejected() {
    let invalid_fields = [
        "content-length: 3\r\ncontent-length: 4",
        "content-length: 3\r\ntransfer-encoding: chunked",
        "content-length: +3",
        "content-length: 99999999999999999999",
    ];
    for fields in invalid_fields {
        let head = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n");
        assert_eq!(
            parse_request(head.as_bytes()).unwrap_err(),
            HeadError::Malformed,
            "{fields}"
        );
    }
    let gzip = b"POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n";
    assert_eq!(
        parse_request(gzip).unwrap_err(),
        HeadError::UnsupportedTransferCoding
    );
    let repeated = b"POST / HTTP/1.1\r\ncontent-length: 3, 3\r\n\r\n";
    assert_eq!(parse_request(repeated).unwrap().framing, Framing::Length(3));
}

#[test]
fn head_end_is_found_when_bytes_arrive_one_by_one() {
    let received = b"GET / HTTP/1.1\r\nhost: a\r\n\r\nrest";
    let mut scanned = 0;
    let found = (0..=received.len()).find_map(|length| find_head_end(&received[..length], &mut scanned));
    assert_eq!(found, Some(received.len() - 4));
}

#[test]
fn line_breaks_in_values_cannot_add_fields() {
    let mut out = Vec::new();
    let headers = Headers::new().with("X-A", "1\r\nx-b: 2");
    write_response(&mut out, 200, &headers, Framing::Length(0), true);
    assert!(parse_response(&out).unwrap().headers.get("x-b").is_none());
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_are_parsed_without_panic(bytes: Vec<u8>) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes);
    }

    #[test]
    fn written_request_head_is_parsed_back(
        value in "[ -~]{0,40}",
        target in "/[a-z0-9/]{0,20}",
        length: u32,
    ) {
        let headers = Headers::new().with("x-a", value.trim());
        let mut out = Vec::new();
        write_request(&mut out, "POST", &target, &headers, Framing::Length(length.into()));
        let head = parse_request(&out).unwrap();
        proptest::prop_assert_eq!(head.headers.get("x-a"), Some(value.trim()));
        proptest::prop_assert_eq!(&head.target, &target);
        proptest::prop_assert_eq!(head.framing, Framing::Length(length.into()));
    }
}
