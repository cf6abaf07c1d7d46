//! What a peer may send, in whatever pieces: requests as published, and what is none.
#![allow(clippy::unwrap_used, reason = "a test may stop at what must not be")]

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

fn begin(out: &mut Vec<u8>, request_id: u16, role: u8, flags: u8) {
    write_record(out, BEGIN_REQUEST, request_id, &[0, role, flags, 0, 0, 0, 0, 0]);
}

fn request(request_id: u16, flags: u8, params: &[(&[u8], &[u8])], body: &[u8]) -> Vec<u8> {
    let (mut out, mut pairs) = (Vec::new(), Vec::new());
    params
        .iter()
        .for_each(|(name, value)| write_pair(&mut pairs, name, value));
    begin(&mut out, request_id, 1, flags);
    write_stream(&mut out, PARAMS, request_id, &pairs);
    write_record(&mut out, PARAMS, request_id, b"");
    write_stream(&mut out, STDIN, request_id, body);
    write_record(&mut out, STDIN, request_id, b"");
    out
}

/// Feeds all at once; returns what came and what the protocol itself answered.
fn feed(responder: &mut Responder, input: &[u8]) -> (Result<usize, ProtocolError>, Vec<Event>, Vec<u8>) {
    let (mut out, mut events) = (Vec::new(), Vec::new());
    let read = responder.read(input, &mut out, &mut events);
    (read, events, out)
}

/// The records in `bytes`: kind, request_id, content.
fn records(mut bytes: &[u8]) -> Vec<(u8, u16, Vec<u8>)> {
    let mut found = Vec::new();
    while let Some(header) = RecordHeader::read(bytes).unwrap() {
        found.push((
            header.record_type,
            header.request_id,
            bytes[HEADER_LENGTH..HEADER_LENGTH + header.content_length].to_vec(),
        ));
        bytes = &bytes[HEADER_LENGTH + header.content_length + header.padding_length..];
    }
    assert!(bytes.is_empty());
    found
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
fn an_answer_is_a_cgi_response_in_records() {
    let mut responder = responder();
    let (_, events, _) = feed(&mut responder, &request(3, 1, &[(b"A", b"b")], b"body"));
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
    let records = records(&out);
    let text: Vec<u8> = records
        .iter()
        .filter(|r| r.0 == STDOUT)
        .flat_map(|r| r.2.clone())
        .collect();
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("Status: 200 OK\r\n") && text.contains("Retry-After-Ms: 7\r\n"));
    assert!(text.ends_with("\r\n\r\nsaid"));
    assert_eq!(records.last(), Some(&(END_REQUEST, 3, vec![0; 8])));
    // A second answer must never reach the client.
    let before = out.len();
    assert_eq!(
        responder.respond(3, &response(b"again"), &mut out),
        ResponseOutcome::UnknownRequest
    );
    assert_eq!(out.len(), before);
}

#[test]
fn without_the_flag_the_connection_ends_with_its_answer() {
    let mut responder = responder();
    assert_eq!(feed(&mut responder, &request(1, 0, &[], b"")).1.len(), 1);
    assert_eq!(
        responder.respond(1, &response(b""), &mut Vec::new()),
        ResponseOutcome::CloseConnection
    );
}

#[test]
fn many_requests_come_interleaved() {
    let mut responder = responder();
    let mut input = Vec::new();
    begin(&mut input, 1, 1, 1);
    begin(&mut input, 2, 1, 1);
    for (kind, request_id, content) in [
        (PARAMS, 2, &b""[..]),
        (PARAMS, 1, b""),
        (STDIN, 1, b"one"),
        (STDIN, 2, b"two"),
        (STDIN, 2, b""),
        (STDIN, 1, b""),
    ] {
        write_record(&mut input, kind, request_id, content);
    }
    let (_, events, _) = feed(&mut responder, &input);
    let bodies: Vec<(u16, &[u8])> = events
        .iter()
        .filter_map(|events| match events {
            Event::Request { request_id, body, .. } => Some((*request_id, &body[..])),
            Event::InvalidRequest { .. } | Event::Aborted { .. } => None,
        })
        .collect();
    assert_eq!(bodies, [(2, &b"two"[..]), (1, b"one")]);
    assert_eq!(responder.unanswered_requests().collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn the_protocols_own_questions_are_answered() {
    let mut input = Vec::new();
    let mut asked = Vec::new();
    write_pair(&mut asked, b"FCGI_MAX_REQS", b"");
    write_pair(&mut asked, b"OTHER", b"");
    write_record(&mut input, GET_VALUES, 0, &asked);
    write_record(&mut input, 77, 0, b"");
    begin(&mut input, 9, 3, 1);
    let (_, events, out) = feed(&mut responder(), &input);
    let mut values = Vec::new();
    write_pair(&mut values, b"FCGI_MAX_REQS", b"4");
    let unknown_role = vec![0, 0, 0, 0, 3, 0, 0, 0];
    let expected = [
        (GET_VALUES_RESULT, 0, values),
        (UNKNOWN_TYPE, 0, vec![77, 0, 0, 0, 0, 0, 0, 0]),
        (END_REQUEST, 9, unknown_role),
    ];
    assert_eq!(records(&out), expected);
    assert!(events.is_empty());
}

#[test]
fn one_too_many_is_overloaded_and_the_others_go_on() {
    let mut responder = responder();
    let input: Vec<u8> = (1..=5)
        .flat_map(|request_id| request(request_id, 1, &[], b""))
        .collect();
    let (_, events, out) = feed(&mut responder, &input);
    assert_eq!(events.len(), LIMITS.max_open_requests);
    assert_eq!(records(&out), [(END_REQUEST, 5, vec![0, 0, 0, 0, 2, 0, 0, 0])]);
}

#[test]
fn an_abort_ends_a_request_whether_whole_or_not() {
    let mut responder = responder();
    let mut input = request(1, 1, &[], b"");
    begin(&mut input, 2, 1, 1);
    write_record(&mut input, ABORT_REQUEST, 1, b"");
    write_record(&mut input, ABORT_REQUEST, 2, b"");
    let (_, events, out) = feed(&mut responder, &input);
    assert_eq!(events[1..], [Event::Aborted { request_id: 1 }]);
    assert_eq!(
        records(&out).iter().map(|r| (r.0, r.1)).collect::<Vec<_>>(),
        [(END_REQUEST, 1), (END_REQUEST, 2)]
    );
    assert!(responder.is_idle());
    assert_eq!(
        responder.respond(1, &response(b""), &mut Vec::new()),
        ResponseOutcome::UnknownRequest
    );
}

#[test]
fn what_is_too_large_is_refused_from_its_head() {
    for kind in [PARAMS, STDIN] {
        let mut responder = responder();
        let mut input = Vec::new();
        begin(&mut input, 1, 1, 1);
        if kind == STDIN {
            write_record(&mut input, PARAMS, 1, b"");
        }
        // The header alone, of content that has not come.
        input.extend_from_slice(&[1, kind, 0, 1, 0xff, 0xff, 0, 0]);
        let (_, events, _) = feed(&mut responder, &input);
        assert_eq!(
            events,
            [Event::InvalidRequest {
                request_id: 1,
                reason: InvalidRequestReason::TooLarge
            }]
        );
        assert!(responder.is_closing());
        // The flag to keep the connection does not bind a responder that can read no more requests on it.
        assert_eq!(
            responder.respond(1, &response(b""), &mut Vec::new()),
            ResponseOutcome::CloseConnection
        );
    }
}

#[test]
fn what_cannot_be_read_on_ends_the_connection() {
    let twice: Vec<u8> = [request(1, 1, &[], b""), request(1, 1, &[], b"")].concat();
    assert_eq!(
        feed(&mut responder(), &twice).0,
        Err(ProtocolError::RequestIdInUse(1))
    );
    assert_eq!(
        feed(&mut responder(), b"GET / HTTP/1.1\r\n\r\n").0,
        Err(ProtocolError::UnsupportedVersion(b'G'))
    );
    let mut short = Vec::new();
    write_record(&mut short, BEGIN_REQUEST, 1, b"");
    assert_eq!(
        feed(&mut responder(), &short).0,
        Err(ProtocolError::MalformedContent(BEGIN_REQUEST))
    );
    let mut stray = Vec::new();
    (0..2000).for_each(|_| write_record(&mut stray, STDIN, 9, b"x"));
    assert_eq!(
        feed(&mut responder(), &stray).0,
        Err(ProtocolError::TooManyStrayRecords)
    );
}

#[test]
fn lengths_that_lie_make_no_pairs() {
    for pairs in [
        &b"\x05\x00A"[..],
        b"\xff\xff\xff\xff\x00",
        b"\x80",
        b"\x01\x84\x00\x00\x00A",
    ] {
        assert_eq!(Params::read(pairs.to_vec()), Err(InvalidParams), "{pairs:?}");
    }
    let mut twice = Vec::new();
    write_pair(&mut twice, b"A", b"1");
    write_pair(&mut twice, b"A", b"2");
    assert_eq!(Params::read(twice).unwrap().get("A"), None);
}

proptest! {
    #[test]
    fn pieces_change_nothing(
        name in proptest::collection::vec(any::<u8>(), 1..150),
        body in proptest::collection::vec(any::<u8>(), 0..900),
        cuts in proptest::collection::vec(any::<proptest::sample::Index>(), 0..6),
    ) {
        // Lengths past 127 take four bytes.
        let input = request(7, 1, &[(&name, b"v")], &body);
        let (_, whole, _) = feed(&mut responder(), &input);
        let mut at: Vec<usize> = cuts.iter().map(|cut| cut.index(input.len())).collect();
        at.sort_unstable();
        at.push(input.len());
        let mut responder = responder();
        let mut input_buffer = Vec::new();
        let mut start = 0;
        let mut received = Vec::new();
        for end in at {
            input_buffer.extend_from_slice(&input[start..end]);
            start = end;
            let (used, mut events, _) = feed(&mut responder, &input_buffer);
            input_buffer.drain(..used.unwrap());
            received.append(&mut events);
        }
        prop_assert_eq!(&whole, &received);
        prop_assert_eq!(whole.len(), 1);
    }

    #[test]
    fn noise_as_parameters_is_a_request_or_a_bad_one(bytes in proptest::collection::vec(any::<u8>(), 1..200)) {
        let mut input = Vec::new();
        begin(&mut input, 1, 1, 1);
        write_record(&mut input, PARAMS, 1, &bytes);
        write_record(&mut input, PARAMS, 1, b"");
        write_record(&mut input, STDIN, 1, b"");
        let (read, events, _) = feed(&mut responder(), &input);
        prop_assert_eq!(read, Ok(input.len()));
        let expected = Params::read(bytes).is_ok();
        prop_assert_eq!(matches!(events[..], [Event::Request { .. }]), expected);
        prop_assert_eq!(matches!(events[..], [Event::InvalidRequest { reason: InvalidRequestReason::MalformedParams, .. }]), !expected);
    }

    #[test]
    fn noise_from_the_start_is_never_a_request(bytes in proptest::collection::vec(2..=u8::MAX, 1..200)) {
        let (read, events, _) = feed(&mut responder(), &bytes);
        prop_assert!(read.is_err() && events.is_empty());
    }
}

/// The bytes of a withdrawal.
fn abort(request_id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    write_record(&mut out, ABORT_REQUEST, request_id, b"");
    out
}

#[test]
fn a_connection_that_ends_answers_what_waits_and_takes_nothing_new() {
    let mut responder = responder();
    let input = [
        request(1, 1, &[], b""),
        request(2, 0, &[], b""),
        request(3, 1, &[], b""),
    ]
    .concat();
    assert_eq!(feed(&mut responder, &input).1.len(), 3);
    assert_eq!(
        responder.respond(2, &response(b""), &mut Vec::new()),
        ResponseOutcome::KeepConnection
    );
    assert!(responder.is_closing());
    // Nothing new is taken, in whatever pieces it comes, and the withdrawal behind it is heard.
    let later = [request(4, 1, &[], &[7; 900]), abort(3)].concat();
    let (mut held, mut events, mut out) = (Vec::new(), Vec::new(), Vec::new());
    for byte in later {
        held.push(byte);
        let used = responder.read(&held, &mut out, &mut events).unwrap();
        held.drain(..used);
        assert!(held.len() <= HEADER_LENGTH, "what is passed over is not held");
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
fn what_is_too_large_costs_no_other_request_its_answer_or_its_withdrawal() {
    let mut responder = responder();
    let mut input = request(1, 1, &[], b"");
    input.extend(request(2, 1, &[], b""));
    begin(&mut input, 3, 1, 1);
    write_record(&mut input, PARAMS, 3, b"");
    write_stream(&mut input, STDIN, 3, &[0; 60_000]);
    input.extend(abort(1));
    let (read, events, _) = feed(&mut responder, &input);
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
    // What cannot be read any more is dropped; the one that waits is answered all the same.
    assert_eq!(feed(&mut responder, &[9; 64]).0, Ok(64));
    assert_eq!(
        responder.respond(2, &response(b""), &mut Vec::new()),
        ResponseOutcome::CloseConnection
    );
}
