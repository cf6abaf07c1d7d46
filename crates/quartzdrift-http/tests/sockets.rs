//! Server and client connections on loopback sockets, including peers that send invalid data, stall or
//! disconnect.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

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

/// An event loop with an [`Http`] that listens on a loopback address.
struct Harness {
    event_loop: EventLoop<'static, State>,
    state: State,
    address: SocketAddr,
}

impl Harness {
    fn new(limits: Limits) -> Harness {
        let event_loop = EventLoop::try_new().unwrap();
        let mut state = State(Http::new(event_loop.handle(), limits));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        state.0.listen(listener).unwrap();
        Harness {
            event_loop,
            state,
            address,
        }
    }

    /// Runs the event loop until there is an event, which must be the only one.
    fn next_event(&mut self) -> HttpEvent {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut events = self.state.0.take_events();
        while events.is_empty() {
            assert!(Instant::now() < deadline, "no event within 20 s");
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
        assert_eq!(events.len(), 1, "more than one event: {events:?}");
        events.pop_front().unwrap()
    }

    /// Waits for a valid request.
    fn next_request(&mut self) -> (Exchange, Request) {
        match self.next_event() {
            HttpEvent::Request {
                exchange,
                request: Ok(request),
            } => (exchange, request),
            other => panic!("expected a valid request: {other:?}"),
        }
    }

    /// Waits for a rejected request.
    fn next_rejection(&mut self) -> (Exchange, RequestError) {
        match self.next_event() {
            HttpEvent::Request {
                exchange,
                request: Err(error),
            } => (exchange, error),
            other => panic!("expected a rejected request: {other:?}"),
        }
    }

    /// Connects a client that sends `bytes`.
    fn connect_client(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    }

    /// Sends a POST request with the body `payload` to a server.
    fn call(&mut self, server: SocketAddr) -> CallId {
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
        self.state.0.call(server, request)
    }
}

fn ok_response(body: &str) -> Response {
    Response {
        status: 200,
        headers: Headers::new(),
        body: body.as_bytes().to_vec(),
    }
}

/// Reads until the received text contains `end`, and returns the text.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let (mut received, mut buffer) = (String::new(), [0; 4096]);
    while !received.contains(end) {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "connection closed after {received:?}");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    received
}

fn short_limits() -> Limits {
    let timeout = Duration::from_millis(60);
    Limits {
        receive_timeout: timeout,
        idle_timeout: timeout,
        head_bytes: 256,
        request_body_bytes: 64,
        ..Limits::default()
    }
}

#[test]
fn pipelined_requests_are_answered_in_order_and_only_once() {
    let mut harness = Harness::new(Limits::default());
    let mut client =
        harness.connect_client(b"POST /1 HTTP/1.1\r\ncontent-length: 2\r\n\r\nabGET /2 HTTP/1.1\r\n\r\n");
    let (first, request) = harness.next_request();
    assert_eq!(
        (request.head.target.as_str(), &request.body[..]),
        ("/1", &b"ab"[..])
    );
    harness.state.0.respond(first, &ok_response("one"));
    // A second response to the first request must not be sent as the response to the second one.
    harness.state.0.respond(first, &ok_response("again"));
    let (second, request) = harness.next_request();
    assert_eq!(request.head.target, "/2");
    harness.state.0.respond(second, &ok_response("two"));
    let received = read_until(&mut client, "two");
    assert!(received.contains("one") && !received.contains("again"));
}

#[test]
fn incomplete_head_times_out_and_the_connection_closes_after_the_response() {
    let mut harness = Harness::new(short_limits());
    let mut client = harness.connect_client(b"POST / HT");
    let (exchange, error) = harness.next_rejection();
    assert_eq!(error, RequestError::Timeout);
    harness.state.0.respond(
        exchange,
        &Response {
            status: 400,
            ..Response::default()
        },
    );
    let mut received = String::new();
    client.read_to_string(&mut received).unwrap();
    assert!(received.starts_with("HTTP/1.1 400"), "{received}");
}

#[test]
fn oversized_and_malformed_requests_are_rejected() {
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
        let mut harness = Harness::new(Limits {
            receive_timeout: Duration::from_secs(5),
            ..short_limits()
        });
        let mut client = harness.connect_client(bytes);
        if expected == RequestError::Malformed && bytes.ends_with(b"41\r\n") {
            client.write_all(&[b'x'; 65]).unwrap();
            let (_, error) = harness.next_rejection();
            assert_eq!(error, RequestError::BodyTooLarge);
            continue;
        }
        let (exchange, error) = harness.next_rejection();
        assert_eq!(error, expected);
        harness.state.0.respond(
            exchange,
            &Response {
                status: 413,
                ..Response::default()
            },
        );
        assert!(read_until(&mut client, "\r\n\r\n").contains("connection: close"));
    }
}

#[test]
fn interim_response_is_sent_before_the_body_arrives() {
    let mut harness = Harness::new(Limits::default());
    let head = b"POST / HTTP/1.1\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n";
    let mut client = harness.connect_client(head);
    let writer = std::thread::spawn(move || {
        let received = read_until(&mut client, "\r\n\r\n");
        assert!(received.starts_with("HTTP/1.1 100"), "{received}");
        client.write_all(b"ok").unwrap();
        client
    });
    let (_, request) = harness.next_request();
    assert_eq!(request.body, b"ok");
    writer.join().unwrap();
}

#[test]
fn client_disconnection_is_reported_and_a_late_response_is_dropped() {
    let mut harness = Harness::new(Limits::default());
    let client = harness.connect_client(b"GET / HTTP/1.1\r\n\r\n");
    let (exchange, _) = harness.next_request();
    drop(client);
    let event = harness.next_event();
    assert!(
        matches!(event, HttpEvent::ClientDisconnected { exchange: disconnected } if disconnected == exchange)
    );
    harness.state.0.respond(exchange, &ok_response("late"));
    assert_eq!(harness.state.0.client_count(), 0);
}

#[test]
fn idle_connections_are_closed_to_accept_an_active_client() {
    let mut harness = Harness::new(Limits {
        connections: 30,
        ..Limits::default()
    });
    let idle: Vec<TcpStream> = (0..100).map(|_| harness.connect_client(b"")).collect();
    let _client = harness.connect_client(b"GET /works HTTP/1.1\r\n\r\n");
    let (_, request) = harness.next_request();
    assert_eq!(request.head.target, "/works");
    assert!(harness.state.0.client_count() <= 30);
    drop(idle);
}

#[test]
fn new_connection_waits_while_all_connections_have_open_requests() {
    let mut harness = Harness::new(Limits {
        connections: 2,
        ..Limits::default()
    });
    let _first = harness.connect_client(b"GET /first HTTP/1.1\r\n\r\n");
    let (open, _) = harness.next_request();
    let _second = harness.connect_client(b"GET /second HTTP/1.1\r\n\r\n");
    harness.next_request();
    let _third = harness.connect_client(b"GET /third HTTP/1.1\r\n\r\n");
    // The event loop reports the third connection, which exceeds the limit of two.
    for _ in 0..3 {
        harness
            .event_loop
            .dispatch(Duration::from_millis(20), &mut harness.state)
            .unwrap();
        harness.state.0.expire_connections(Instant::now());
        assert!(harness.state.0.take_events().is_empty());
    }
    harness.state.0.respond(open, &ok_response("first"));
    let (_, request) = harness.next_request();
    assert_eq!(request.head.target, "/third");
}

#[test]
fn refused_connection_and_close_after_the_request_are_distinguished() {
    let mut harness = Harness::new(Limits::default());
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let refusing = unused.local_addr().unwrap();
    drop(unused);
    let call = harness.call(refusing);
    let event = harness.next_event();
    assert!(matches!(event, HttpEvent::CallFailed { call: id, failure: CallFailure::Connect } if id == call));
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = server.local_addr().unwrap();
    let reader = std::thread::spawn(move || {
        let (mut stream, _) = server.accept().unwrap();
        read_until(&mut stream, "payload");
    });
    let call = harness.call(address);
    let event = harness.next_event();
    assert!(matches!(event, HttpEvent::CallFailed { call: id, failure: CallFailure::Reset } if id == call));
    reader.join().unwrap();
    // Cancelling a call that has already failed has no effect.
    harness.state.0.cancel(call);
}

#[test]
fn idle_connection_closed_by_the_server_is_not_reused() {
    let mut harness = Harness::new(Limits::default());
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = server.local_addr().unwrap();
    let (closed, is_closed) = std::sync::mpsc::channel();
    let serving = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = server.accept().unwrap();
            read_until(&mut stream, "payload");
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                .unwrap();
            drop(stream);
            closed.send(()).unwrap();
        }
    });
    for _ in 0..2 {
        let call = harness.call(address);
        let event = harness.next_event();
        assert!(matches!(event, HttpEvent::Response { call: responded, .. } if responded == call));
        is_closed.recv().unwrap();
    }
    serving.join().unwrap();
    assert_eq!(harness.state.0.opened_count(), 2);
}

#[test]
fn truncated_oversized_and_malformed_responses_fail_the_call() {
    for (response, expected) in [
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
        let mut harness = Harness::new(Limits {
            response_body_bytes: 50,
            ..Limits::default()
        });
        let server = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = server.local_addr().unwrap();
        let serving = std::thread::spawn(move || {
            let (mut stream, _) = server.accept().unwrap();
            read_until(&mut stream, "payload");
            stream.write_all(response).unwrap();
        });
        harness.call(address);
        match harness.next_event() {
            HttpEvent::CallFailed { failure, .. } => assert_eq!(failure, expected),
            other => panic!("{other:?}"),
        }
        serving.join().unwrap();
    }
}

#[test]
fn call_cancelled_before_any_byte_is_sent_never_reaches_the_server() {
    let mut harness = Harness::new(Limits::default());
    // The listener does not accept yet: the system establishes the connection, but the request is not sent
    // before the event loop runs.
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let call = harness.call(server.local_addr().unwrap());
    assert!(harness.state.0.is_unsent(call));
    harness.state.0.cancel(call);
    assert!(!harness.state.0.is_unsent(call));
    let (mut stream, _) = server.accept().unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    // The server receives no byte, only the end of the connection.
    harness
        .event_loop
        .dispatch(Duration::from_millis(20), &mut harness.state)
        .unwrap();
    assert_eq!(stream.read(&mut [0; 10]).unwrap_or(0), 0);
}

#[test]
fn streamed_response_is_sent_in_parts() {
    let mut harness = Harness::new(Limits::default());
    let mut client = harness.connect_client(b"GET / HTTP/1.1\r\n\r\n");
    let (exchange, _) = harness.next_request();
    harness.state.0.begin_response(exchange, 200, &Headers::new());
    assert!(harness.state.0.send_part(exchange, b"one", 1000));
    assert!(read_until(&mut client, "one").contains("transfer-encoding: chunked"));
    assert!(
        !harness.state.0.send_part(exchange, &[0; 2000], 1000),
        "2000 bytes exceed the limit of 1000 unsent bytes"
    );
    harness.state.0.end_response(exchange);
    assert!(read_until(&mut client, "0\r\n\r\n").contains("0\r\n\r\n"));
}

/// Sockets without HTTP.
struct RawSockets(sockets::Sockets<RawSockets, ()>);

#[test]
fn connection_reset_during_connect_is_distinguished_from_a_refused_one() {
    let event_loop = EventLoop::<RawSockets>::try_new().unwrap();
    let mut raw = RawSockets(sockets::Sockets::new(event_loop.handle(), |raw| &mut raw.0));
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = server.local_addr().unwrap();
    let reset = raw.0.connect(address, ()).unwrap();
    let (accepted, _) = server.accept().unwrap();
    // A linger time of zero makes the close send a reset.
    socket2::SockRef::from(&accepted)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(accepted);
    drop(server);
    let error_kind = |raw: &RawSockets, id| match raw.0.connect_result(id) {
        Some(Err(e)) => Some(e.kind()),
        Some(Ok(())) | None => None,
    };
    assert_eq!(error_kind(&raw, reset), Some(std::io::ErrorKind::ConnectionReset));
    let refused = raw.0.connect(address, ()).map(|id| error_kind(&raw, id));
    match refused {
        Ok(kind) => assert_eq!(kind, Some(std::io::ErrorKind::ConnectionRefused)),
        Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionRefused),
    }
}
