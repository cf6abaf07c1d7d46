//! Server and client connections on loopback sockets, with peers that behave badly.
#![allow(clippy::unwrap_used, reason = "a test may stop at what must not be")]

use calloop::EventLoop;
use quartzdrift_http::{
    CallFailure, CallId, Exchange, HasHttp, Headers, Http, HttpEvent, Limits, OutgoingRequest, Request,
    RequestError, Response, sockets,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

struct State(Http<State>);

impl HasHttp for State {
    fn http(&mut self) -> &mut Http<State> {
        &mut self.0
    }
}

struct Stage {
    event_loop: EventLoop<'static, State>,
    state: State,
    at: SocketAddr,
}

impl Stage {
    fn new(limits: Limits) -> Stage {
        let event_loop = EventLoop::try_new().unwrap();
        let mut state = State(Http::new(event_loop.handle(), limits));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        state.0.listen(listener).unwrap();
        Stage {
            event_loop,
            state,
            at,
        }
    }

    /// Turns the loop until something happens, and returns it.
    fn next(&mut self) -> HttpEvent {
        let until = Instant::now() + Duration::from_secs(20);
        let mut events = self.state.0.take_events();
        while events.is_empty() {
            assert!(Instant::now() < until, "nothing happened");
            let wait = self
                .state
                .0
                .next_deadline()
                .map(|at| at.saturating_duration_since(Instant::now()));
            let wait = wait.unwrap_or(Duration::from_secs(1)).min(Duration::from_secs(1));
            self.event_loop.dispatch(wait, &mut self.state).unwrap();
            self.state.0.expire_connections(Instant::now());
            events = self.state.0.take_events();
        }
        assert_eq!(events.len(), 1, "one at a time: {events:?}");
        events.pop_front().unwrap()
    }

    fn request(&mut self) -> (Exchange, Request) {
        match self.next() {
            HttpEvent::Request {
                exchange,
                request: Ok(request),
            } => (exchange, request),
            other => panic!("no request: {other:?}"),
        }
    }

    fn bad(&mut self) -> (Exchange, RequestError) {
        match self.next() {
            HttpEvent::Request {
                exchange,
                request: Err(why),
            } => (exchange, why),
            other => panic!("no bad request: {other:?}"),
        }
    }

    fn client(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    }

    fn call(&mut self, to: SocketAddr) -> CallId {
        let connect_timeout = Duration::from_secs(5);
        let (target, body) = ("/x".to_owned(), Rc::from(&b"payload"[..]));
        let request = OutgoingRequest {
            method: "POST",
            target,
            headers: Headers::new(),
            body,
            connect_timeout,
            streams_response: false,
        };
        self.state.0.call(to, request)
    }
}

fn answer(body: &str) -> Response {
    Response {
        status: 200,
        headers: Headers::new(),
        body: body.as_bytes().to_vec(),
    }
}

fn read_some(stream: &mut TcpStream, until: &str) -> String {
    let (mut seen, mut part) = (String::new(), [0; 4096]);
    while !seen.contains(until) {
        let n = stream.read(&mut part).unwrap();
        assert!(n > 0, "ended after {seen:?}");
        seen.push_str(&String::from_utf8_lossy(&part[..n]));
    }
    seen
}

fn short() -> Limits {
    let span = Duration::from_millis(60);
    Limits {
        receive_timeout: span,
        idle_timeout: span,
        head_bytes: 256,
        request_body_bytes: 64,
        ..Limits::default()
    }
}

#[test]
fn pipelined_requests_are_answered_in_their_order_and_once() {
    let mut stage = Stage::new(Limits::default());
    let mut client = stage.client(b"POST /1 HTTP/1.1\r\ncontent-length: 2\r\n\r\nabGET /2 HTTP/1.1\r\n\r\n");
    let (first, request) = stage.request();
    assert_eq!(
        (request.head.target.as_str(), &request.body[..]),
        ("/1", &b"ab"[..])
    );
    stage.state.0.respond(first, &answer("one"));
    // A second answer to the first must not reach the second request.
    stage.state.0.respond(first, &answer("again"));
    let (second, request) = stage.request();
    assert_eq!(request.head.target, "/2");
    stage.state.0.respond(second, &answer("two"));
    let seen = read_some(&mut client, "two");
    assert!(seen.contains("one") && !seen.contains("again"));
}

#[test]
fn half_a_head_and_then_nothing_is_answered_and_closed() {
    let mut stage = Stage::new(short());
    let mut client = stage.client(b"POST / HT");
    let (exchange, why) = stage.bad();
    assert_eq!(why, RequestError::Timeout);
    stage.state.0.respond(
        exchange,
        &Response {
            status: 400,
            ..Response::default()
        },
    );
    let mut seen = String::new();
    client.read_to_string(&mut seen).unwrap();
    assert!(seen.starts_with("HTTP/1.1 400"), "{seen}");
}

#[test]
fn too_much_is_refused_before_it_is_held() {
    for (bytes, expected) in [
        (
            &b"POST / HTTP/1.1\r\ncontent-length: 65\r\n\r\n"[..],
            RequestError::BodyTooLarge,
        ),
        (
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n41\r\n",
            RequestError::Malformed,
        ),
        (b"nonsense\r\n\r\n", RequestError::Malformed),
        (&[b'x'; 300], RequestError::HeadTooLarge),
    ] {
        let mut stage = Stage::new(Limits {
            receive_timeout: Duration::from_secs(5),
            ..short()
        });
        let mut client = stage.client(bytes);
        if expected == RequestError::Malformed && bytes.ends_with(b"41\r\n") {
            client.write_all(&[b'x'; 65]).unwrap();
            let (_, why) = stage.bad();
            assert_eq!(why, RequestError::BodyTooLarge);
            continue;
        }
        let (exchange, why) = stage.bad();
        assert_eq!(why, expected);
        stage.state.0.respond(
            exchange,
            &Response {
                status: 413,
                ..Response::default()
            },
        );
        assert!(read_some(&mut client, "\r\n\r\n").contains("connection: close"));
    }
}

#[test]
fn expect_continue_is_answered_before_the_body_comes() {
    let mut stage = Stage::new(Limits::default());
    let head = b"POST / HTTP/1.1\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n";
    let mut client = stage.client(head);
    let writer = std::thread::spawn(move || {
        let seen = read_some(&mut client, "\r\n\r\n");
        assert!(seen.starts_with("HTTP/1.1 100"), "{seen}");
        client.write_all(b"ok").unwrap();
        client
    });
    let (_, request) = stage.request();
    assert_eq!(request.body, b"ok");
    writer.join().unwrap();
}

#[test]
fn a_client_that_hangs_up_is_told_of_and_its_answer_goes_nowhere() {
    let mut stage = Stage::new(Limits::default());
    let client = stage.client(b"GET / HTTP/1.1\r\n\r\n");
    let (exchange, _) = stage.request();
    drop(client);
    assert!(matches!(stage.next(), HttpEvent::ClientDisconnected { exchange: gone } if gone == exchange));
    stage.state.0.respond(exchange, &answer("late"));
    assert_eq!(stage.state.0.client_count(), 0);
}

#[test]
fn many_idle_connections_leave_room_for_one_that_works() {
    let mut stage = Stage::new(Limits {
        connections: 30,
        ..Limits::default()
    });
    let idle: Vec<TcpStream> = (0..100).map(|_| stage.client(b"")).collect();
    let _client = stage.client(b"GET /works HTTP/1.1\r\n\r\n");
    let (_, request) = stage.request();
    assert_eq!(request.head.target, "/works");
    assert!(stage.state.0.client_count() <= 30);
    drop(idle);
}

#[test]
fn a_newcomer_waits_where_all_connections_have_requests_open() {
    let mut stage = Stage::new(Limits {
        connections: 2,
        ..Limits::default()
    });
    let _first = stage.client(b"GET /first HTTP/1.1\r\n\r\n");
    let (open, _) = stage.request();
    let _second = stage.client(b"GET /second HTTP/1.1\r\n\r\n");
    stage.request();
    let _third = stage.client(b"GET /third HTTP/1.1\r\n\r\n");
    // The loop is told of the third one, for whom there is no room.
    for _ in 0..3 {
        stage
            .event_loop
            .dispatch(Duration::from_millis(20), &mut stage.state)
            .unwrap();
        stage.state.0.expire_connections(Instant::now());
        assert!(stage.state.0.take_events().is_empty());
    }
    stage.state.0.respond(open, &answer("first"));
    let (_, request) = stage.request();
    assert_eq!(request.head.target, "/third");
}

#[test]
fn a_refused_connection_and_one_closed_after_the_request_are_told_apart() {
    let mut stage = Stage::new(Limits::default());
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let nobody = free.local_addr().unwrap();
    drop(free);
    let call = stage.call(nobody);
    assert!(
        matches!(stage.next(), HttpEvent::CallFailed { call: of, failure: CallFailure::Connect } if of == call)
    );
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = server.local_addr().unwrap();
    let reader = std::thread::spawn(move || {
        let (mut stream, _) = server.accept().unwrap();
        read_some(&mut stream, "payload");
    });
    let call = stage.call(at);
    assert!(
        matches!(stage.next(), HttpEvent::CallFailed { call: of, failure: CallFailure::Reset } if of == call)
    );
    reader.join().unwrap();
    // Nothing is left of either: taking them back is no mistake.
    stage.state.0.cancel(call);
}

#[test]
fn an_idle_connection_that_the_server_closed_is_not_used_again() {
    let mut stage = Stage::new(Limits::default());
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = server.local_addr().unwrap();
    let (closed, is_closed) = std::sync::mpsc::channel();
    let serving = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = server.accept().unwrap();
            read_some(&mut stream, "payload");
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                .unwrap();
            drop(stream);
            closed.send(()).unwrap();
        }
    });
    for _ in 0..2 {
        let call = stage.call(at);
        assert!(matches!(stage.next(), HttpEvent::Response { call: of, .. } if of == call));
        is_closed.recv().unwrap();
    }
    serving.join().unwrap();
    assert_eq!(stage.state.0.opened_count(), 2);
}

#[test]
fn an_answer_cut_short_or_past_the_limit_is_no_answer() {
    for (said, expected) in [
        (
            &b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"[..],
            CallFailure::Reset,
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n",
            CallFailure::TooLarge,
        ),
        (b"HTTP/2 what\r\n\r\n", CallFailure::Malformed),
    ] {
        let mut stage = Stage::new(Limits {
            response_body_bytes: 50,
            ..Limits::default()
        });
        let server = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = server.local_addr().unwrap();
        let serving = std::thread::spawn(move || {
            let (mut stream, _) = server.accept().unwrap();
            read_some(&mut stream, "payload");
            stream.write_all(said).unwrap();
        });
        stage.call(at);
        match stage.next() {
            HttpEvent::CallFailed { failure, .. } => assert_eq!(failure, expected),
            other => panic!("{other:?}"),
        }
        serving.join().unwrap();
    }
}

#[test]
fn what_has_not_left_can_be_taken_back_with_proof() {
    let mut stage = Stage::new(Limits::default());
    // A listener whose queue is never emptied: the connection comes about, the request may not yet have left.
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let call = stage.call(server.local_addr().unwrap());
    assert!(stage.state.0.is_unsent(call));
    stage.state.0.cancel(call);
    assert!(!stage.state.0.is_unsent(call));
    let (mut stream, _) = server.accept().unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    // Nothing but the end comes.
    stage
        .event_loop
        .dispatch(Duration::from_millis(20), &mut stage.state)
        .unwrap();
    assert_eq!(stream.read(&mut [0; 10]).unwrap_or(0), 0);
}

#[test]
fn a_streamed_answer_passes_through_in_parts() {
    let mut stage = Stage::new(Limits::default());
    let mut client = stage.client(b"GET / HTTP/1.1\r\n\r\n");
    let (exchange, _) = stage.request();
    stage.state.0.begin_response(exchange, 200, &Headers::new());
    assert!(stage.state.0.send_part(exchange, b"one", 1000));
    assert!(read_some(&mut client, "one").contains("transfer-encoding: chunked"));
    assert!(
        !stage.state.0.send_part(exchange, &[0; 2000], 1000),
        "over what may wait"
    );
    stage.state.0.end_response(exchange);
    assert!(read_some(&mut client, "0\r\n\r\n").contains("0\r\n\r\n"));
}

struct Raw(sockets::Sockets<Raw, ()>);

#[test]
fn a_connection_that_is_reset_while_it_comes_up_is_told_from_a_refused_one() {
    let event_loop = EventLoop::<Raw>::try_new().unwrap();
    let mut raw = Raw(sockets::Sockets::new(event_loop.handle(), |raw| &mut raw.0));
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = server.local_addr().unwrap();
    let reset = raw.0.connect(at, ()).unwrap();
    let (taken, _) = server.accept().unwrap();
    // Closed without lingering: the other side is sent a reset.
    socket2::SockRef::from(&taken)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(taken);
    drop(server);
    let kind = |raw: &Raw, id| match raw.0.connect_result(id) {
        Some(Err(e)) => Some(e.kind()),
        Some(Ok(())) | None => None,
    };
    assert_eq!(kind(&raw, reset), Some(std::io::ErrorKind::ConnectionReset));
    let refused = raw.0.connect(at, ()).map(|id| kind(&raw, id));
    match refused {
        Ok(how) => assert_eq!(how, Some(std::io::ErrorKind::ConnectionRefused)),
        Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionRefused),
    }
}
