//! Requests as specified, malformed input, and input that arrives in arbitrary pieces.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use proptest::prelude::*;
use quartzdrift_fastcgi::{
    ABORT_REQUEST, BEGIN_REQUEST, END_REQUEST, Event, GET_VALUES, GET_VALUES_RESULT, HEADER_LENGTH,
    InvalidParams, InvalidRequestReason, Limits, PARAMS, Params, ProtocolError, RecordHeader, Responder,
    Response, ResponseOutcome, STDIN, STDOUT, UNKNOWN_TYPE, write_pair, write_record, write_stream,
};

const LIMITS: Limits = Limits {
    max_params_bytes: 256,
    max_body_bytes: 1024,
    max_open_requests: 4,
};

fn responder() -> Responder {
    Responder::new(LIMITS)
}

fn write_begin(out: &mut Vec<u8>, request_id: u16, role: u8, flags: u8) {
    write_record(out, BEGIN_REQUEST, request_id, &[0, role, flags, 0, 0, 0, 0, 0]);
}

fn request(request_id: u16, flags: u8, params: &[(&[u8], &[u8])], body: &[u8]) -> Vec<u8> {
    let (mut out, mut pairs) = (Vec::new(), Vec::new());
    params
        .iter()
        .for_each(|(name, value)| write_pair(&mut pairs, name, value));
    write_begin(&mut out, request_id, 1, flags);
    write_stream(&mut out, PARAMS, request_id, &pairs);
    write_record(&mut out, PARAMS, request_id, b"");
    write_stream(&mut out, STDIN, request_id, body);
    write_record(&mut out, STDIN, request_id, b"");
    out
}

/// Passes all input at once; returns the result, the events and the bytes that the responder wrote itself.
fn read_all(responder: &mut Responder, input: &[u8]) -> (Result<usize, ProtocolError>, Vec<Event>, Vec<u8>) {
    let (mut out, mut events) = (Vec::new(), Vec::new());
    let read = responder.read(input, usize::MAX, &mut out, &mut events);
    (read, events, out)
}

/// Passes all input at once with a limit of the memory for open requests; returns the events.
fn read_within(responder: &mut Responder, input: &[u8], max_memory_bytes: usize) -> Vec<Event> {
    let mut events = Vec::new();
    let consumed = responder.read(input, max_memory_bytes, &mut Vec::new(), &mut events);
    assert_eq!(consumed, Ok(input.len()));
    events
}

/// Decodes the records in `bytes` to their type, request id and content.
fn decode_records(mut bytes: &[u8]) -> Vec<(u8, u16, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some(header) = RecordHeader::read(bytes).unwrap() {
        records.push((
            header.record_type,
            header.request_id,
            bytes[HEADER_LENGTH..HEADER_LENGTH + header.content_length].to_vec(),
        ));
        bytes = &bytes[HEADER_LENGTH + header.content_length + header.padding_length..];
    }
    assert!(bytes.is_empty());
    records
}

fn response(body: &[u8]) -> Response<'_> {
    Response {
        status: 200,
        reason: "OK",
        fields: &[("Retry-After-Ms", "7")],
        body,
    }
}

#[test]
fn a_response_is_written_as_cgi_output_in_records() {
    let mut responder = responder();
    let (_, events, _) = read_all(&mut responder, &request(3, 1, &[(b"A", b"b")], b"body"));
    let [
        Event::Request {
            request_id: 3,
            params,
            body,
        },
    ] = &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!((params.text("A"), &body[..]), (Some("b"), &b"body"[..]));
    let mut out = Vec::new();
    assert_eq!(
        responder.respond(3, &response(b"said"), &mut out),
        ResponseOutcome::KeepConnection
    );
    let records = decode_records(&out);
    let text: Vec<u8> = records
        .iter()
        .filter(|(record_type, ..)| *record_type == STDOUT)
        .flat_map(|(_, _, content)| content.clone())
        .collect();
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("Status: 200 OK\r\n") && text.contains("Retry-After-Ms: 7\r\n"));
    assert!(text.ends_with("\r\n\r\nsaid"));
    assert_eq!(records.last(), Some(&(END_REQUEST, 3, vec![0; 8])));
    // A second response must never reach the client.
    let written_bytes = out.len();
    assert_eq!(
        responder.respond(3, &response(b"again"), &mut out),
        ResponseOutcome::UnknownRequest
    );
    assert_eq!(out.len(), written_bytes);
}

#[test]
fn without_the_keep_flag_the_connection_closes_after_the_response() {
    let mut responder = responder();
    assert_eq!(read_all(&mut responder, &request(1, 0, &[], b"")).1.len(), 1);
    assert_eq!(
        responder.respond(1, &response(b""), &mut Vec::new()),
        ResponseOutcome::CloseConnection
    );
}

#[test]
fn interleaved_requests_are_received() {
    let mut responder = responder();
    let mut input = Vec::new();
    write_begin(&mut input, 1, 1, 1);
    write_begin(&mut input, 2, 1, 1);
    for (record_type, request_id, content) in [
        (PARAMS, 2, &b""[..]),
        (PARAMS, 1, b""),
        (STDIN, 1, b"one"),
        (STDIN, 2, b"two"),
        (STDIN, 2, b""),
        (STDIN, 1, b""),
    ] {
        write_record(&mut input, record_type, request_id, content);
    }
    let (_, events, _) = read_all(&mut responder, &input);
    let bodies: Vec<(u16, &[u8])> = events
        .iter()
        .filter_map(|event| match event {
            Event::Request { request_id, body, .. } => Some((*request_id, &body[..])),
            Event::InvalidRequest { .. } | Event::Aborted { .. } => None,
        })
        .collect();
    assert_eq!(bodies, [(2, &b"two"[..]), (1, b"one")]);
    assert_eq!(responder.unanswered_requests().collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn management_records_and_unknown_roles_are_answered() {
    let mut input = Vec::new();
    let mut queried = Vec::new();
    write_pair(&mut queried, b"FCGI_MAX_REQS", b"");
    write_pair(&mut queried, b"OTHER", b"");
    write_record(&mut input, GET_VALUES, 0, &queried);
    write_record(&mut input, 77, 0, b"");
    write_begin(&mut input, 9, 3, 1);
    let (_, events, out) = read_all(&mut responder(), &input);
    let mut values = Vec::new();
    write_pair(&mut values, b"FCGI_MAX_REQS", b"4");
    let unknown_role = vec![0, 0, 0, 0, 3, 0, 0, 0];
    let expected = [
        (GET_VALUES_RESULT, 0, values),
        (UNKNOWN_TYPE, 0, vec![77, 0, 0, 0, 0, 0, 0, 0]),
        (END_REQUEST, 9, unknown_role),
    ];
    assert_eq!(decode_records(&out), expected);
    assert!(events.is_empty());
}

#[test]
fn a_request_over_the_limit_is_rejected_as_overloaded_and_the_others_are_received() {
    let mut responder = responder();
    let input: Vec<u8> = (1..=5)
        .flat_map(|request_id| request(request_id, 1, &[], b""))
        .collect();
    let (_, events, out) = read_all(&mut responder, &input);
    assert_eq!(events.len(), LIMITS.max_open_requests);
    assert_eq!(
        decode_records(&out),
        [(END_REQUEST, 5, vec![0, 0, 0, 0, 2, 0, 0, 0])]
    );
}

#[test]
fn an_abort_ends_a_complete_or_partial_request() {
    let mut responder = responder();
    let mut input = request(1, 1, &[], b"");
    write_begin(&mut input, 2, 1, 1);
    write_record(&mut input, ABORT_REQUEST, 1, b"");
    write_record(&mut input, ABORT_REQUEST, 2, b"");
    let (_, events, out) = read_all(&mut responder, &input);
    assert_eq!(events[1..], [Event::Aborted { request_id: 1 }]);
    assert_eq!(
        decode_records(&out)
            .iter()
            .map(|(record_type, request_id, _)| (*record_type, *request_id))
            .collect::<Vec<_>>(),
        [(END_REQUEST, 1), (END_REQUEST, 2)]
    );
    assert!(responder.is_idle());
    assert_eq!(
        responder.respond(1, &response(b""), &mut Vec::new()),
        ResponseOutcome::UnknownRequest
    );
}

#[test]
fn a_request_over_the_size_limit_is_rejected_by_its_header() {
    for record_type in [PARAMS, STDIN] {
        let mut responder = responder();
        let mut input = Vec::new();
        write_begin(&mut input, 1, 1, 1);
        if record_type == STDIN {
            write_record(&mut input, PARAMS, 1, b"");
        }
        // Only the header of a record, without its content.
        input.extend_from_slice(&[1, record_type, 0, 1, 0xff, 0xff, 0, 0]);
        let (_, events, _) = read_all(&mut responder, &input);
        assert_eq!(
            events,
            [Event::InvalidRequest {
                request_id: 1,
                reason: InvalidRequestReason::TooLarge
            }]
        );
        assert!(responder.is_closing());
        // The connection closes despite the keep flag, because no further request can be received on it.
        assert_eq!(
            responder.respond(1, &response(b""), &mut Vec::new()),
            ResponseOutcome::CloseConnection
        );
    }
}

#[test]
fn a_protocol_violation_is_an_error() {
    let duplicate_id: Vec<u8> = [request(1, 1, &[], b""), request(1, 1, &[], b"")].concat();
    assert_eq!(
        read_all(&mut responder(), &duplicate_id).0,
        Err(ProtocolError::RequestIdInUse(1))
    );
    assert_eq!(
        read_all(&mut responder(), b"GET / HTTP/1.1\r\n\r\n").0,
        Err(ProtocolError::UnsupportedVersion(b'G'))
    );
    let mut empty_begin = Vec::new();
    write_record(&mut empty_begin, BEGIN_REQUEST, 1, b"");
    assert_eq!(
        read_all(&mut responder(), &empty_begin).0,
        Err(ProtocolError::MalformedContent(BEGIN_REQUEST))
    );
    let mut stray = Vec::new();
    (0..2000).for_each(|_| write_record(&mut stray, STDIN, 9, b"x"));
    assert_eq!(
        read_all(&mut responder(), &stray).0,
        Err(ProtocolError::TooManyStrayRecords)
    );
}

#[test]
fn invalid_lengths_are_rejected_and_duplicate_names_have_no_value() {
    for pairs in [
        &b"\x05\x00A"[..],
        b"\xff\xff\xff\xff\x00",
        b"\x80",
        b"\x01\x84\x00\x00\x00A",
    ] {
        assert_eq!(Params::read(pairs.to_vec()), Err(InvalidParams), "{pairs:?}");
    }
    let mut duplicate_name = Vec::new();
    write_pair(&mut duplicate_name, b"A", b"1");
    write_pair(&mut duplicate_name, b"A", b"2");
    assert_eq!(Params::read(duplicate_name).unwrap().get("A"), None);
}

proptest! {
    #[test]
    fn input_in_pieces_gives_the_same_events(
        name in proptest::collection::vec(any::<u8>(), 1..150),
        body in proptest::collection::vec(any::<u8>(), 0..900),
        cuts in proptest::collection::vec(any::<proptest::sample::Index>(), 0..6),
    ) {
        // The name length covers both encodings: one byte up to 127, four bytes above.
        let input = request(7, 1, &[(&name, b"v")], &body);
        let (_, expected, _) = read_all(&mut responder(), &input);
        let mut piece_ends: Vec<usize> = cuts.iter().map(|cut| cut.index(input.len())).collect();
        piece_ends.sort_unstable();
        piece_ends.push(input.len());
        let mut responder = responder();
        let mut input_buffer = Vec::new();
        let mut start = 0;
        let mut received = Vec::new();
        for end in piece_ends {
            input_buffer.extend_from_slice(&input[start..end]);
            start = end;
            let (consumed, mut events, _) = read_all(&mut responder, &input_buffer);
            input_buffer.drain(..consumed.unwrap());
            received.append(&mut events);
        }
        prop_assert_eq!(&expected, &received);
        prop_assert_eq!(expected.len(), 1);
    }

    #[test]
    fn random_parameters_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 1..200)) {
        let mut input = Vec::new();
        write_begin(&mut input, 1, 1, 1);
        write_record(&mut input, PARAMS, 1, &bytes);
        write_record(&mut input, PARAMS, 1, b"");
        write_record(&mut input, STDIN, 1, b"");
        let (read, events, _) = read_all(&mut responder(), &input);
        prop_assert_eq!(read, Ok(input.len()));
        let is_valid = Params::read(bytes).is_ok();
        prop_assert_eq!(matches!(events[..], [Event::Request { .. }]), is_valid);
        let has_malformed_params = matches!(
            events[..],
            [Event::InvalidRequest { reason: InvalidRequestReason::MalformedParams, .. }]
        );
        prop_assert_eq!(has_malformed_params, !is_valid);
    }

    #[test]
    fn records_of_another_version_are_rejected(bytes in proptest::collection::vec(2..=u8::MAX, 1..200)) {
        let (read, events, _) = read_all(&mut responder(), &bytes);
        prop_assert!(read.is_err() && events.is_empty());
    }
}

/// Returns the record that aborts a request.
fn abort(request_id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    write_record(&mut out, ABORT_REQUEST, request_id, b"");
    out
}

#[test]
fn a_closing_connection_responds_to_open_requests_and_accepts_no_new_one() {
    let mut responder = responder();
    let input = [
        request(1, 1, &[], b""),
        request(2, 0, &[], b""),
        request(3, 1, &[], b""),
    ]
    .concat();
    assert_eq!(read_all(&mut responder, &input).1.len(), 3);
    assert_eq!(
        responder.respond(2, &response(b""), &mut Vec::new()),
        ResponseOutcome::KeepConnection
    );
    assert!(responder.is_closing());
    // The new request is skipped byte by byte, and the abort after it is processed.
    let later_input = [request(4, 1, &[], &[7; 900]), abort(3)].concat();
    let (mut buffer, mut events, mut out) = (Vec::new(), Vec::new(), Vec::new());
    for byte in later_input {
        buffer.push(byte);
        let consumed = responder
            .read(&buffer, usize::MAX, &mut out, &mut events)
            .unwrap();
        buffer.drain(..consumed);
        assert!(
            buffer.len() <= HEADER_LENGTH,
            "skipped content stays in the buffer"
        );
    }
    assert_eq!(events, [Event::Aborted { request_id: 3 }]);
    assert_eq!(
        responder.respond(1, &response(b""), &mut Vec::new()),
        ResponseOutcome::CloseConnection
    );
    assert_eq!(
        responder.respond(4, &response(b""), &mut Vec::new()),
        ResponseOutcome::UnknownRequest
    );
}

#[test]
fn a_request_over_the_size_limit_does_not_affect_other_requests_on_the_connection() {
    let mut responder = responder();
    let mut input = request(1, 1, &[], b"");
    input.extend(request(2, 1, &[], b""));
    write_begin(&mut input, 3, 1, 1);
    write_record(&mut input, PARAMS, 3, b"");
    write_stream(&mut input, STDIN, 3, &[0; 60_000]);
    input.extend(abort(1));
    let (read, events, _) = read_all(&mut responder, &input);
    assert_eq!(read, Ok(input.len()));
    assert!(
        matches!(
            events[2..],
            [
                Event::InvalidRequest {
                    request_id: 3,
                    reason: InvalidRequestReason::TooLarge
                },
                Event::Aborted { request_id: 1 }
            ]
        ),
        "{events:?}"
    );
    assert_eq!(
        responder.respond(3, &response(b""), &mut Vec::new()),
        ResponseOutcome::KeepConnection
    );
    // Unreadable input on the closing connection is discarded, and the unanswered request still gets its
    // response.
    assert_eq!(read_all(&mut responder, &[9; 64]).0, Ok(64));
    assert_eq!(
        responder.respond(2, &response(b""), &mut Vec::new()),
        ResponseOutcome::CloseConnection
    );
}

#[test]
fn a_request_without_memory_is_refused_once_and_the_next_one_is_received() {
    let mut responder = responder();
    let large = request(1, 1, &[], &[7; 1024]);
    let refused = Event::InvalidRequest {
        request_id: 1,
        reason: InvalidRequestReason::NoMemory,
    };
    assert_eq!(read_within(&mut responder, &large, 512), vec![refused]);
    let mut out = Vec::new();
    let outcome = responder.respond(1, &response(b"later"), &mut out);
    assert_eq!(outcome, ResponseOutcome::KeepConnection);
    assert!(responder.is_idle());
    let events = read_within(&mut responder, &request(1, 1, &[], b"small"), 512);
    assert!(matches!(&events[..], [Event::Request { request_id: 1, body, .. }] if body == b"small"));
}

#[test]
fn the_newest_partial_request_is_refused_to_free_memory_and_its_records_are_skipped() {
    let mut responder = responder();
    let (first, second) = (request(1, 1, &[], &[1; 512]), request(2, 1, &[], &[2; 512]));
    let end = first.len() - HEADER_LENGTH;
    assert_eq!(read_all(&mut responder, &first[..end]).1, vec![]);
    assert_eq!(read_all(&mut responder, &second[..end]).1, vec![]);
    let before = responder.memory_bytes();
    assert_eq!(responder.refuse_newest_partial_request(), Some(2));
    assert!(responder.memory_bytes() + 512 <= before);
    responder.respond(2, &response(b"later"), &mut Vec::new());
    assert_eq!(read_all(&mut responder, &second[end..]).1, vec![]);
    let events = read_all(&mut responder, &first[end..]).1;
    assert!(matches!(&events[..], [Event::Request { request_id: 1, .. }]));
}

proptest! {
    /// Guards against partial requests that exceed the memory that is available for them.
    #[test]
    fn open_requests_never_use_more_memory_than_available(
        parts in proptest::collection::vec((1..6_u16, 0..3_u8, 0..400_usize), 1..200),
        max_memory_bytes in 600..4000_usize,
    ) {
        let mut responder = responder();
        for (request_id, kind, length) in parts {
            let mut input = Vec::new();
            match kind {
                0 => write_begin(&mut input, request_id, 1, 1),
                1 => write_record(&mut input, PARAMS, request_id, &vec![b'x'; length.min(200)]),
                _ => write_record(&mut input, STDIN, request_id, &vec![b'x'; length]),
            }
            let mut events = Vec::new();
            if responder.read(&input, max_memory_bytes, &mut Vec::new(), &mut events).is_err() {
                return Ok(());
            }
            // Four open requests use 512 bytes apart from what is received of them.
            prop_assert!(responder.memory_bytes() <= max_memory_bytes);
            for event in events {
                let (Event::Request { request_id, .. } | Event::InvalidRequest { request_id, .. }) = event else {
                    continue;
                };
                responder.respond(request_id, &response(b""), &mut Vec::new());
            }
        }
    }
}
