//! What a peer may send, in whatever pieces: requests as published, and what is none.
use proptest::prelude::*;
use quartzdrift_fastcgi::*;

const LIMITS: Limits = Limits {
    params: 256,
    body: 1024,
    open: 4,
};

fn responder() -> Responder {
    Responder::new(LIMITS)
}

fn begin(out: &mut Vec<u8>, number: u16, role: u8, flags: u8) {
    write_record(out, BEGIN, number, &[0, role, flags, 0, 0, 0, 0, 0]);
}

fn request(number: u16, flags: u8, params: &[(&[u8], &[u8])], body: &[u8]) -> Vec<u8> {
    let (mut out, mut pairs) = (Vec::new(), Vec::new());
    params
        .iter()
        .for_each(|(name, value)| write_pair(&mut pairs, name, value));
    begin(&mut out, number, 1, flags);
    write_stream(&mut out, PARAMS, number, &pairs);
    write_record(&mut out, PARAMS, number, b"");
    write_stream(&mut out, STDIN, number, body);
    write_record(&mut out, STDIN, number, b"");
    out
}

/// Feeds all at once; returns what came and what the protocol itself answered.
fn feed(responder: &mut Responder, input: &[u8]) -> (Result<usize, Broken>, Vec<Told>, Vec<u8>) {
    let (mut out, mut told) = (Vec::new(), Vec::new());
    let read = responder.read(input, &mut out, &mut told);
    (read, told, out)
}

/// The records in `bytes`: kind, number, content.
fn records(mut bytes: &[u8]) -> Vec<(u8, u16, Vec<u8>)> {
    let mut found = Vec::new();
    while let Some(head) = Head::read(bytes).unwrap() {
        found.push((head.kind, head.number, bytes[HEAD..HEAD + head.content].to_vec()));
        bytes = &bytes[HEAD + head.content + head.padding..];
    }
    assert!(bytes.is_empty());
    found
}

fn answer(body: &[u8]) -> Answer<'_> {
    Answer {
        status: 200,
        reason: "OK",
        fields: &[("Retry-After-Ms", "7")],
        body,
    }
}

#[test]
fn an_answer_is_a_cgi_response_in_records() {
    let mut of = responder();
    let (_, told, _) = feed(&mut of, &request(3, 1, &[(b"A", b"b")], b"body"));
    let [
        Told::Request {
            number: 3,
            params,
            body,
        },
    ] = &told[..]
    else {
        panic!("{told:?}")
    };
    assert_eq!((params.text("A"), &body[..]), (Some("b"), &b"body"[..]));
    let mut out = Vec::new();
    assert_eq!(of.answer(3, &answer(b"said"), &mut out), Ended::Keep);
    let records = records(&out);
    let text: Vec<u8> = records
        .iter()
        .filter(|r| r.0 == STDOUT)
        .flat_map(|r| r.2.clone())
        .collect();
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("Status: 200 OK\r\n") && text.contains("Retry-After-Ms: 7\r\n"));
    assert!(text.ends_with("\r\n\r\nsaid"));
    assert_eq!(records.last(), Some(&(END, 3, vec![0; 8])));
    // A second answer must never reach the client.
    let before = out.len();
    assert_eq!(of.answer(3, &answer(b"again"), &mut out), Ended::NotOpen);
    assert_eq!(out.len(), before);
}

#[test]
fn without_the_flag_the_connection_ends_with_its_answer() {
    let mut of = responder();
    assert_eq!(feed(&mut of, &request(1, 0, &[], b"")).1.len(), 1);
    assert_eq!(of.answer(1, &answer(b""), &mut Vec::new()), Ended::Close);
}

#[test]
fn many_requests_come_interleaved() {
    let mut of = responder();
    let mut input = Vec::new();
    begin(&mut input, 1, 1, 1);
    begin(&mut input, 2, 1, 1);
    for (kind, number, content) in [
        (PARAMS, 2, &b""[..]),
        (PARAMS, 1, b""),
        (STDIN, 1, b"one"),
        (STDIN, 2, b"two"),
        (STDIN, 2, b""),
        (STDIN, 1, b""),
    ] {
        write_record(&mut input, kind, number, content);
    }
    let (_, told, _) = feed(&mut of, &input);
    let bodies: Vec<(u16, &[u8])> = told
        .iter()
        .filter_map(|told| match told {
            Told::Request { number, body, .. } => Some((*number, &body[..])),
            Told::Bad { .. } | Told::Aborted { .. } => None,
        })
        .collect();
    assert_eq!(bodies, [(2, &b"two"[..]), (1, b"one")]);
    assert_eq!(of.waiting().collect::<Vec<_>>(), [1, 2]);
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
    let (_, told, out) = feed(&mut responder(), &input);
    let mut values = Vec::new();
    write_pair(&mut values, b"FCGI_MAX_REQS", b"4");
    let unknown_role = vec![0, 0, 0, 0, 3, 0, 0, 0];
    let expected = [
        (GET_VALUES_RESULT, 0, values),
        (UNKNOWN, 0, vec![77, 0, 0, 0, 0, 0, 0, 0]),
        (END, 9, unknown_role),
    ];
    assert_eq!(records(&out), expected);
    assert!(told.is_empty());
}

#[test]
fn one_too_many_is_overloaded_and_the_others_go_on() {
    let mut of = responder();
    let input: Vec<u8> = (1..=5).flat_map(|number| request(number, 1, &[], b"")).collect();
    let (_, told, out) = feed(&mut of, &input);
    assert_eq!(told.len(), LIMITS.open);
    assert_eq!(records(&out), [(END, 5, vec![0, 0, 0, 0, 2, 0, 0, 0])]);
}

#[test]
fn an_abort_ends_a_request_whether_whole_or_not() {
    let mut of = responder();
    let mut input = request(1, 1, &[], b"");
    begin(&mut input, 2, 1, 1);
    write_record(&mut input, ABORT, 1, b"");
    write_record(&mut input, ABORT, 2, b"");
    let (_, told, out) = feed(&mut of, &input);
    assert_eq!(told[1..], [Told::Aborted { number: 1 }]);
    assert_eq!(
        records(&out).iter().map(|r| (r.0, r.1)).collect::<Vec<_>>(),
        [(END, 1), (END, 2)]
    );
    assert!(of.is_idle());
    assert_eq!(of.answer(1, &answer(b""), &mut Vec::new()), Ended::NotOpen);
}

#[test]
fn what_is_too_large_is_refused_from_its_head() {
    for kind in [PARAMS, STDIN] {
        let mut of = responder();
        let mut input = Vec::new();
        begin(&mut input, 1, 1, 1);
        if kind == STDIN {
            write_record(&mut input, PARAMS, 1, b"");
        }
        // The head alone, of content that has not come.
        input.extend_from_slice(&[1, kind, 0, 1, 0xff, 0xff, 0, 0]);
        let (_, told, _) = feed(&mut of, &input);
        assert_eq!(
            told,
            [Told::Bad {
                number: 1,
                bad: Bad::TooLarge
            }]
        );
        assert!(of.is_spoilt());
        // The flag to keep the connection does not bind a responder that can read no more requests on it.
        assert_eq!(of.answer(1, &answer(b""), &mut Vec::new()), Ended::Close);
    }
}

#[test]
fn what_cannot_be_read_on_ends_the_connection() {
    let twice: Vec<u8> = [request(1, 1, &[], b""), request(1, 1, &[], b"")].concat();
    assert_eq!(feed(&mut responder(), &twice).0, Err(Broken::NumberTaken(1)));
    assert_eq!(
        feed(&mut responder(), b"GET / HTTP/1.1\r\n\r\n").0,
        Err(Broken::Version(b'G'))
    );
    let mut short = Vec::new();
    write_record(&mut short, BEGIN, 1, b"");
    assert_eq!(feed(&mut responder(), &short).0, Err(Broken::Content(BEGIN)));
    let mut stray = Vec::new();
    (0..2000).for_each(|_| write_record(&mut stray, STDIN, 9, b"x"));
    assert_eq!(feed(&mut responder(), &stray).0, Err(Broken::Stray));
}

#[test]
fn lengths_that_lie_make_no_pairs() {
    for pairs in [
        &b"\x05\x00A"[..],
        b"\xff\xff\xff\xff\x00",
        b"\x80",
        b"\x01\x84\x00\x00\x00A",
    ] {
        assert_eq!(Params::read(pairs.to_vec()), Err(BadParams), "{pairs:?}");
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
        let (mut of, mut kept, mut from, mut came) = (responder(), Vec::new(), 0, Vec::new());
        for to in at {
            kept.extend_from_slice(&input[from..to]);
            from = to;
            let (used, mut told, _) = feed(&mut of, &kept);
            kept.drain(..used.unwrap());
            came.append(&mut told);
        }
        prop_assert_eq!(&whole, &came);
        prop_assert_eq!(whole.len(), 1);
    }

    #[test]
    fn noise_as_parameters_is_a_request_or_a_bad_one(bytes in proptest::collection::vec(any::<u8>(), 1..200)) {
        let mut input = Vec::new();
        begin(&mut input, 1, 1, 1);
        write_record(&mut input, PARAMS, 1, &bytes);
        write_record(&mut input, PARAMS, 1, b"");
        write_record(&mut input, STDIN, 1, b"");
        let (read, told, _) = feed(&mut responder(), &input);
        prop_assert_eq!(read, Ok(input.len()));
        let expected = Params::read(bytes).is_ok();
        prop_assert_eq!(matches!(told[..], [Told::Request { .. }]), expected);
        prop_assert_eq!(matches!(told[..], [Told::Bad { bad: Bad::Params, .. }]), !expected);
    }

    #[test]
    fn noise_from_the_start_is_never_a_request(bytes in proptest::collection::vec(2..=u8::MAX, 1..200)) {
        let (read, told, _) = feed(&mut responder(), &bytes);
        prop_assert!(read.is_err() && told.is_empty());
    }
}

/// The bytes of a withdrawal.
fn abort(number: u16) -> Vec<u8> {
    let mut out = Vec::new();
    write_record(&mut out, ABORT, number, b"");
    out
}

#[test]
fn a_connection_that_ends_answers_what_waits_and_takes_nothing_new() {
    let mut of = responder();
    let input = [
        request(1, 1, &[], b""),
        request(2, 0, &[], b""),
        request(3, 1, &[], b""),
    ]
    .concat();
    assert_eq!(feed(&mut of, &input).1.len(), 3);
    assert_eq!(of.answer(2, &answer(b""), &mut Vec::new()), Ended::Keep);
    assert!(of.is_spoilt());
    // Nothing new is taken, in whatever pieces it comes, and the withdrawal behind it is heard.
    let later = [request(4, 1, &[], &[7; 900]), abort(3)].concat();
    let (mut held, mut told, mut out) = (Vec::new(), Vec::new(), Vec::new());
    for byte in later {
        held.push(byte);
        let used = of.read(&held, &mut out, &mut told).unwrap();
        held.drain(..used);
        assert!(held.len() <= HEAD, "what is passed over is not held");
    }
    assert_eq!(told, [Told::Aborted { number: 3 }]);
    assert_eq!(of.answer(1, &answer(b""), &mut Vec::new()), Ended::Close);
    assert_eq!(of.answer(4, &answer(b""), &mut Vec::new()), Ended::NotOpen);
}

#[test]
fn what_is_too_large_costs_no_other_request_its_answer_or_its_withdrawal() {
    let mut of = responder();
    let mut input = request(1, 1, &[], b"");
    input.extend(request(2, 1, &[], b""));
    begin(&mut input, 3, 1, 1);
    write_record(&mut input, PARAMS, 3, b"");
    write_stream(&mut input, STDIN, 3, &[0; 60_000]);
    input.extend(abort(1));
    let (read, told, _) = feed(&mut of, &input);
    assert_eq!(read, Ok(input.len()));
    assert!(
        matches!(
            told[2..],
            [
                Told::Bad {
                    number: 3,
                    bad: Bad::TooLarge
                },
                Told::Aborted { number: 1 }
            ]
        ),
        "{told:?}"
    );
    assert_eq!(of.answer(3, &answer(b""), &mut Vec::new()), Ended::Keep);
    // What cannot be read any more is dropped; the one that waits is answered all the same.
    assert_eq!(feed(&mut of, &[9; 64]).0, Ok(64));
    assert_eq!(of.answer(2, &answer(b""), &mut Vec::new()), Ended::Close);
}
