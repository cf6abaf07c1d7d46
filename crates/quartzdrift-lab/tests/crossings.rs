//! Races: requests, responses, closes, aborts, endpoint events and signals that arrive at the same time or in
//! an unusual order. The tests run a scheduler process on loopback against fakes that fix the order of
//! events.
use quartzdrift_lab::cluster_harness::{
    ClusterHarness, FEW_SOCKETS, LONG_CONNECT_TIMEOUT, NO_CANCEL, REQUEST_ID, SECOND_REQUEST_ID, SUCCEEDED,
    THIRD_REQUEST_ID, UnresponsiveListener, check_status, codes_and_ids, config_json, endpoint_event,
    endpoint_json, id_number, request_fields, send_request, serve_next_command,
};
use quartzdrift_lab::platform::{Coordinator, Frontend, RequestFields, Worker, WorkerEvent};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
/// Code of the command that cancels a request.
const CANCEL: u8 = 49;

// --- Aborts and closes by the client ---

#[test]
fn a_request_aborted_while_its_command_waits_for_a_ping_response_is_not_sent() {
    for proved in [true, false] {
        let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL]);
        let mut frontend = cluster.frontend();
        let connection = cluster.idle_connection(&mut frontend, REQUEST_ID);
        cluster.workers[0].hold_ping_answers(true);
        send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
        assert_eq!(cluster.workers[0].next_ping(), connection);
        frontend.send(&Frontend::encode_abort(1)).unwrap();
        assert_eq!(frontend.read_reply().unwrap().status, 0);
        cluster.workers[0].hold_ping_answers(false);
        match proved {
            true => cluster.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID)),
            false => cluster.workers[0].close(connection),
        }
        // The ping response or the close arrived before this health check, so the event loop has handled it.
        assert_eq!(check_status(&mut frontend), 200);
        send_request(&mut frontend, 1, &request_fields("/do/once", THIRD_REQUEST_ID));
        let (_, code, id, ..) = cluster.workers[0].next_command();
        assert_eq!((code, id), (48, id_number(THIRD_REQUEST_ID)), "proved: {proved}");
        assert_eq!(codes_and_ids(&cluster.drain_commands(0)), [], "proved: {proved}");
    }
}

#[test]
fn a_request_aborted_while_its_command_waits_for_a_connection_is_not_sent() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 0, &[NO_CANCEL, LONG_CONNECT_TIMEOUT]);
    let mut frontend = cluster.frontend();
    let vanished = UnresponsiveListener::start().unwrap();
    cluster.coordinator.next_poll();
    cluster.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    frontend.send(&Frontend::encode_abort(1)).unwrap();
    assert_eq!(frontend.read_reply().unwrap().status, 0);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    check_status(&mut cluster.frontend());
    cluster.workers.push(vanished.into_worker().unwrap());
    let (_, code, id, ..) = cluster.workers[0].next_command();
    assert_eq!((code, id), (48, id_number(SECOND_REQUEST_ID)));
    assert_eq!(codes_and_ids(&cluster.drain_commands(0)), []);
}

#[test]
fn a_request_that_waits_for_a_ping_response_past_its_timeout_is_not_sent() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL, LONG_CONNECT_TIMEOUT]);
    let mut frontend = cluster.frontend();
    let connection = cluster.idle_connection(&mut frontend, REQUEST_ID);
    cluster.workers[0].hold_ping_answers(true);
    send_request(
        &mut frontend,
        1,
        &RequestFields {
            timeout_ms: "300",
            ..request_fields("/do/once", SECOND_REQUEST_ID)
        },
    );
    assert_eq!(cluster.workers[0].next_ping(), connection);
    // The request was never sent, so a retry is safe, and its final response arrives within its timeout.
    assert_eq!(frontend.read_reply().unwrap().status, 503);
    cluster.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID));
    assert_eq!(check_status(&mut frontend), 200);
    assert_eq!(codes_and_ids(&cluster.drain_commands(0)), []);
}

#[test]
fn a_request_that_waits_for_a_connection_past_its_timeout_is_rejected() {
    let cluster = ClusterHarness::with_config_changes(LAB, 0, &[NO_CANCEL, LONG_CONNECT_TIMEOUT]);
    let mut frontend = cluster.frontend();
    let vanished = UnresponsiveListener::start().unwrap();
    cluster.coordinator.next_poll();
    cluster.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
    send_request(
        &mut frontend,
        1,
        &RequestFields {
            timeout_ms: "300",
            ..request_fields("/do/once", REQUEST_ID)
        },
    );
    assert_eq!(frontend.read_reply().unwrap().status, 503);
}

#[test]
fn a_request_that_is_aborted_in_the_same_read_reaches_no_worker() {
    for change in [&[][..], &[NO_CANCEL]] {
        let mut cluster = ClusterHarness::with_config_changes(LAB, 1, change);
        let mut frontend = cluster.frontend();
        let both = [
            Frontend::encode_request(1, &request_fields("/do/once", REQUEST_ID)),
            Frontend::encode_abort(1),
        ]
        .concat();
        frontend.send(&both).unwrap();
        assert_eq!(frontend.read_reply().unwrap().status, 0);
        assert_eq!(check_status(&mut frontend), 200);
        assert_eq!(codes_and_ids(&cluster.drain_commands(0)), []);
    }
}

#[test]
fn a_request_whose_client_has_already_closed_or_half_closed_reaches_no_worker() {
    for half_closed in [true, false] {
        let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL]);
        let (mut leaving, mut checks) = (cluster.frontend(), cluster.frontend());
        assert_eq!(
            (check_status(&mut leaving), check_status(&mut checks)),
            (200, 200)
        );
        cluster.pause();
        send_request(&mut leaving, 1, &request_fields("/do/once", REQUEST_ID));
        leaving.shutdown_write().unwrap();
        let kept = half_closed.then_some(leaving);
        cluster.resume();
        assert_eq!(check_status(&mut checks), 200);
        assert_eq!(
            codes_and_ids(&cluster.drain_commands(0)),
            [],
            "half closed: {half_closed}"
        );
        drop(kept);
    }
}

#[test]
fn the_last_request_of_a_connection_does_not_end_other_open_requests_on_it() {
    for aborted in [false, true] {
        let mut cluster = ClusterHarness::start(LAB, 1);
        let mut frontend = cluster.frontend();
        send_request(&mut frontend, 2, &request_fields("/do/once", SECOND_REQUEST_ID));
        let (other, ..) = cluster.workers[0].next_command();
        frontend
            .send(&Frontend::encode_last_request(
                1,
                &request_fields("/do/once", REQUEST_ID),
            ))
            .unwrap();
        serve_next_command(&mut cluster.workers[0], &mut frontend, b"first");
        if aborted {
            // The scheduler handles the abort although it accepts no more requests on this connection.
            frontend.send(&Frontend::encode_abort(2)).unwrap();
            let (_, code, id, ..) = cluster.workers[0].next_command();
            assert_eq!((code, id), (CANCEL, id_number(SECOND_REQUEST_ID)));
        } else {
            assert_eq!(check_status(&mut cluster.frontend()), 200);
            cluster.workers[0].answer(other, SUCCEEDED, id_number(SECOND_REQUEST_ID), b"second");
            assert_eq!(frontend.read_reply().unwrap().body, b"second");
        }
        assert!(frontend.read_reply().is_err() || aborted);
    }
}

// --- Responses of workers ---

#[test]
fn two_responses_in_one_read_each_reach_their_own_request() {
    // Handling the first response may close the client connection on which the other request is open.
    for last in [false, true] {
        let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[FEW_SOCKETS]);
        let mut frontend = cluster.frontend();
        let mut connections = Vec::new();
        // Eight requests have a connection each, and the ninth request shares one of these.
        for n in 1..=9 {
            let (path, id) = ("/do/once", format!("{n:016x}"));
            let encode = if last && n == 9 {
                Frontend::encode_last_request
            } else {
                Frontend::encode_request
            };
            frontend.send(&encode(n, &request_fields(path, &id))).unwrap();
            connections.push(cluster.workers[0].next_command().0);
        }
        let shared = connections[8];
        let first = connections
            .iter()
            .position(|connection| *connection == shared)
            .unwrap() as u64
            + 1;
        let mut both = Vec::new();
        for id in [9, first] {
            let body = format!("of {id}");
            quartzdrift_platform::frame::write(&mut both, 193, SUCCEEDED, id, b"", body.as_bytes());
        }
        cluster.workers[0].send(shared, &both);
        for _ in 0..2 {
            let reply = frontend.read_reply().unwrap();
            assert_eq!(
                String::from_utf8_lossy(&reply.body),
                format!("of {}", reply.fastcgi_id)
            );
        }
    }
}

#[test]
fn a_duplicate_response_is_not_matched_to_a_later_request_with_the_same_id() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id) = serve_next_command(&mut cluster.workers[0], &mut frontend, b"first");
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (next, ..) = cluster.workers[0].next_command();
    assert_ne!(
        next, connection,
        "a late response on a connection that has carried this id would match the later request"
    );
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"first");
    assert_eq!(check_status(&mut cluster.frontend()), 200);
    cluster.workers[0].answer(next, SUCCEEDED, id, b"second");
    assert_eq!(frontend.read_reply().unwrap().body, b"second");
}

#[test]
fn a_response_to_a_command_that_was_not_sent_yet_is_ignored() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    let connection = cluster.idle_connection(&mut frontend, REQUEST_ID);
    cluster.workers[0].hold_ping_answers(true);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    assert_eq!(cluster.workers[0].next_ping(), connection);
    cluster.workers[0].answer(connection, SUCCEEDED, id_number(SECOND_REQUEST_ID), b"of nothing");
    assert_eq!(check_status(&mut cluster.frontend()), 200);
    cluster.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID));
    let (connection, code, id, ..) = cluster.workers[0].next_command();
    assert_eq!((code, id), (48, id_number(SECOND_REQUEST_ID)));
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"its own");
    assert_eq!(frontend.read_reply().unwrap().body, b"its own");
}

// --- Connections to workers ---

#[test]
fn a_request_that_waits_for_a_replaced_or_moved_worker_is_sent_to_the_reachable_one() {
    let mut reachable = Worker::start().unwrap();
    let address = reachable.address;
    for change in [
        "gone, then another",
        "another, then gone",
        "moved",
        "gone and back in one event",
    ] {
        let mut cluster = ClusterHarness::with_config_changes(LAB, 0, &[LONG_CONNECT_TIMEOUT]);
        let mut frontend = cluster.frontend();
        let vanished = UnresponsiveListener::start().unwrap();
        cluster.coordinator.next_poll();
        cluster.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
        send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
        assert_eq!(check_status(&mut cluster.frontend()), 200);
        let gone = endpoint_json("w0", vanished.address, "Gone");
        // A request is not assigned twice to one worker. If that worker has moved or is listed again, another
        // worker receives the request.
        let new = endpoint_json("new", address, "Ready");
        let targets = match change {
            "gone, then another" => vec![gone, new],
            "another, then gone" => vec![new, gone],
            "moved" => vec![endpoint_json("w0", address, "Ready"), new],
            _ => vec![gone, endpoint_json("w0", address, "Ready"), new],
        };
        cluster.announce_endpoints(3, &targets);
        let (_, code, id) = serve_next_command(&mut reachable, &mut frontend, b"");
        assert_eq!((code, id), (48, id_number(REQUEST_ID)), "{change}");
        // A worker that listens on the old address later receives no command.
        let mut later = vanished.into_worker().unwrap();
        cluster.kill();
        assert_eq!(codes_and_ids(&later.drain_commands()), [], "{change}");
        while !matches!(reachable.next_event(), WorkerEvent::Closed(_)) {}
    }
}

#[test]
fn a_new_worker_at_an_address_receives_no_command_of_its_predecessor() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 0, &[LONG_CONNECT_TIMEOUT]);
    let mut frontend = cluster.frontend();
    let vanished = UnresponsiveListener::start().unwrap();
    cluster.coordinator.next_poll();
    cluster.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    assert_eq!(check_status(&mut cluster.frontend()), 200);
    cluster.announce_endpoints(
        3,
        &[
            endpoint_json("w0", vanished.address, "Gone"),
            endpoint_json("new", vanished.address, "Ready"),
        ],
    );
    cluster.workers.push(vanished.into_worker().unwrap());
    let (_, code, id) = serve_next_command(&mut cluster.workers[0], &mut frontend, b"once");
    assert_eq!((code, id), (48, id_number(REQUEST_ID)));
    assert_eq!(codes_and_ids(&cluster.drain_commands(0)), []);
}

#[test]
fn a_request_that_waits_for_a_ping_response_of_a_restarted_worker_is_assigned_again() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[LONG_CONNECT_TIMEOUT]);
    let mut frontend = cluster.frontend();
    cluster.coordinator.next_poll();
    let connection = cluster.idle_connection(&mut frontend, REQUEST_ID);
    cluster.workers[0].hold_ping_answers(true);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    assert_eq!(cluster.workers[0].next_ping(), connection);
    let restarted = endpoint_json("w0", cluster.workers[0].address, "Ready")
        .replace("\"boot_ms\":0", "\"boot_ms\":1700000000000");
    // A request is not assigned twice to one worker. Another worker, listed with the same address here, receives
    // it.
    cluster.announce_endpoints(
        2,
        &[
            restarted,
            endpoint_json("w1", cluster.workers[0].address, "Ready"),
        ],
    );
    let (new, code, id) = serve_next_command(&mut cluster.workers[0], &mut frontend, b"done");
    assert_eq!((code, id), (48, id_number(SECOND_REQUEST_ID)));
    assert_ne!(new, connection);
}

#[test]
fn a_connection_that_its_worker_has_just_closed_loses_no_request() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, ..) = serve_next_command(&mut cluster.workers[0], &mut frontend, b"");
    cluster.pause();
    cluster.workers[0].close(connection);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    cluster.resume();
    let (next, ..) = serve_next_command(&mut cluster.workers[0], &mut frontend, b"done");
    assert_ne!(next, connection);
}

#[test]
fn a_keep_alive_shorter_than_a_ping_loses_no_request() {
    let mut cluster =
        ClusterHarness::with_config_changes(LAB, 1, &[LONG_CONNECT_TIMEOUT, ("15000000000", "100000000")]);
    let mut frontend = cluster.frontend();
    let connection = cluster.idle_connection(&mut frontend, REQUEST_ID);
    cluster.workers[0].hold_ping_answers(true);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    // On a slow machine the connection may end before the request arrives, and then no ping is sent.
    let sent = loop {
        match cluster.workers[0].next_event() {
            WorkerEvent::Ping(pinged) => {
                assert_eq!(pinged, connection);
                std::thread::sleep(Duration::from_millis(200));
                cluster.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID));
            }
            WorkerEvent::Command((connection, ..)) => break connection,
            WorkerEvent::Connected(_) | WorkerEvent::Closed(_) => {}
        }
    };
    cluster.workers[0].answer(sent, SUCCEEDED, id_number(SECOND_REQUEST_ID), b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_client_with_an_unread_request_is_not_closed_to_admit_a_new_client() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[FEW_SOCKETS]);
    let mut connected: Vec<Frontend> = (0..8).map(|_| cluster.frontend()).collect();
    connected
        .iter_mut()
        .for_each(|frontend| assert_eq!(check_status(frontend), 200));
    cluster.pause();
    // The client that was idle longest sends a request at the moment in which a new client needs its socket.
    send_request(&mut connected[0], 1, &request_fields("/do/once", REQUEST_ID));
    let mut new_client = cluster.frontend();
    send_request(&mut new_client, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    cluster.resume();
    for _ in 0..2 {
        let (connection, _, id, ..) = cluster.workers[0].next_command();
        cluster.workers[0].answer(connection, SUCCEEDED, id, &id.to_be_bytes());
    }
    assert_eq!(
        connected[0].read_reply().unwrap().body,
        id_number(REQUEST_ID).to_be_bytes()
    );
    assert_eq!(
        new_client.read_reply().unwrap().body,
        id_number(SECOND_REQUEST_ID).to_be_bytes()
    );
}

#[test]
fn an_incomplete_request_loses_no_other_request_on_its_connection() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    let half = Frontend::encode_request(2, &request_fields("/do/once", SECOND_REQUEST_ID));
    frontend.send(&half[..half.len() / 2]).unwrap();
    // Longer than the time limit for a complete request.
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(check_status(&mut cluster.frontend()), 200);
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"whole");
    assert_eq!(frontend.read_reply().unwrap().body, b"whole");
    assert!(
        frontend.read_reply().is_err(),
        "the connection must end, as the incomplete request cannot be answered"
    );
}

#[test]
fn a_first_request_that_came_while_the_process_was_paused_is_served() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let (mut first, mut checks) = (cluster.frontend(), cluster.frontend());
    assert_eq!(check_status(&mut checks), 200);
    cluster.pause();
    // The request arrives within the time limit for a first request, and the process reads it after the
    // limit.
    send_request(&mut first, 1, &request_fields("/do/once", REQUEST_ID));
    std::thread::sleep(Duration::from_millis(2200));
    cluster.resume();
    serve_next_command(&mut cluster.workers[0], &mut first, b"served");
}

// --- Endpoint list ---

/// Accepts a connection and returns it with the request line of its poll.
fn accept_poll(listener: &TcpListener) -> (TcpStream, String) {
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(false).unwrap();
    let (mut request_line, mut reader) = (String::new(), BufReader::new(stream.try_clone().unwrap()));
    reader.read_line(&mut request_line).unwrap();
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 2 {
        line.clear();
    }
    (stream, request_line)
}

#[test]
fn a_poll_without_a_complete_response_is_repeated_even_if_single_bytes_still_arrive() {
    for sends_bytes in [true, false] {
        let mut cluster = ClusterHarness::start(LAB, 2);
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        cluster.reload_config(address, r#"{"index":0,"updates":[]}"#);
        let (mut silent, request_line) = accept_poll(&listener);
        assert!(request_line.contains("follow=1&"));
        let event = endpoint_event(
            2,
            false,
            &[endpoint_json("w0", cluster.workers[0].address, "Terminating")],
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            event.len() + 1000
        );
        let polled_at = Instant::now();
        listener.set_nonblocking(true).unwrap();
        if sends_bytes {
            silent.write_all((head + &event).as_bytes()).unwrap();
        }
        let mut next = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(_) if sends_bytes => drop(silent.write_all(b" ")),
                Err(_) => {}
            }
            // A drain counts as announced 2 s after the end of the requested wait of 1 s.
            assert!(
                polled_at.elapsed() < Duration::from_secs(3),
                "the poll is not repeated after {:?}; bytes still arrive: {sends_bytes}",
                polled_at.elapsed()
            );
            std::thread::sleep(Duration::from_millis(20));
        };
        next.set_nonblocking(false).unwrap();
        let mut line = String::new();
        BufReader::new(next.try_clone().unwrap())
            .read_line(&mut line)
            .unwrap();
        // The scheduler requests the known event again, as nothing confirms that its list is current.
        assert!(
            line.contains("follow=0&"),
            "the incomplete response must be ignored: {line}"
        );
        let known = r#"{"index":1,"endpoints":{"all":false,"targets":[]}}"#;
        let events = event.replace(r#""updates":["#, &format!(r#""updates":[{known},"#));
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{events}",
            events.len()
        );
        next.write_all(response.as_bytes()).unwrap();
        let mut next_poll = String::new();
        let mut reader = BufReader::new(next);
        while !next_poll.starts_with("GET") {
            next_poll.clear();
            reader.read_line(&mut next_poll).unwrap();
        }
        assert!(next_poll.contains("follow=2&"), "{next_poll}");
        let mut frontend = cluster.frontend();
        send_request(&mut frontend, 1, &request_fields("/do/again", REQUEST_ID));
        assert_eq!(
            cluster.next_command().0,
            1,
            "a draining worker must receive no new request"
        );
    }
}

#[test]
fn a_coordinator_that_responds_at_once_without_events_is_not_polled_continuously() {
    let cluster = ClusterHarness::start(LAB, 1);
    let (started_at, mut polls) = (Instant::now(), 0);
    while started_at.elapsed() < Duration::from_secs(1) {
        cluster.coordinator.next_poll();
        cluster
            .coordinator
            .answer_with_events(r#"{"index":1,"updates":[]}"#);
        polls += 1;
    }
    assert!(
        (2..=100).contains(&polls),
        "{polls} polls in 1 s; expected 2 to 100"
    );
    // Events are still applied.
    cluster.coordinator.next_poll();
    cluster.announce_endpoints(
        2,
        &[endpoint_json("w0", cluster.workers[0].address, "Terminating")],
    );
    assert_eq!(check_status(&mut cluster.frontend()), 503);
}

#[test]
fn repeated_or_lower_event_indices_do_not_end_a_drain() {
    let cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    let at = cluster.workers[0].address;
    cluster.coordinator.next_poll();
    cluster.announce_endpoints(2, &[endpoint_json("w0", at, "Terminating")]);
    assert_eq!(check_status(&mut frontend), 503);
    let ready = endpoint_json("w0", at, "Ready");
    for old_event in [
        endpoint_event(1, true, std::slice::from_ref(&ready)),
        endpoint_event(2, false, std::slice::from_ref(&ready)),
    ] {
        cluster.send_events(2, &old_event);
        assert_eq!(check_status(&mut frontend), 503, "{old_event}");
    }
    // A higher index than the next one is a gap, unless the event holds the complete list.
    cluster.send_events(2, &endpoint_event(9, false, std::slice::from_ref(&ready)));
    assert_eq!(check_status(&mut frontend), 503);
    cluster.send_events(9, &endpoint_event(9, true, &[ready]));
    assert_eq!(check_status(&mut frontend), 200);
}

#[test]
fn two_events_for_one_worker_in_one_response_are_applied_in_order() {
    let cluster = ClusterHarness::start(LAB, 1);
    let (mut frontend, at) = (cluster.frontend(), cluster.workers[0].address);
    cluster.coordinator.next_poll();
    let event = |index: u64, state: &str| {
        format!(
            r#"{{"index":{index},"endpoints":{{"all":false,"targets":[{}]}}}}"#,
            endpoint_json("w0", at, state)
        )
    };
    let two_events = |index: u64, first: &str, second: &str| {
        format!(
            r#"{{"index":{index},"updates":[{},{}]}}"#,
            event(index - 1, first),
            event(index, second)
        )
    };
    cluster.send_events(3, &two_events(3, "Ready", "Terminating"));
    assert_eq!(check_status(&mut frontend), 503);
    cluster.send_events(5, &two_events(5, "Terminating", "Ready"));
    assert_eq!(check_status(&mut frontend), 200);
    cluster.announce_endpoints(
        6,
        &[endpoint_json("w0", at, "Ready"), endpoint_json("w0", at, "Gone")],
    );
    assert_eq!(check_status(&mut frontend), 503);
}

#[test]
fn a_hang_up_signal_applies_a_newer_list_but_not_an_older_one() {
    let mut cluster = ClusterHarness::start(LAB, 2);
    let mut frontend = cluster.frontend();
    let (w0, w1) = (cluster.workers[0].address, cluster.workers[1].address);
    cluster.coordinator.next_poll();
    cluster.announce_endpoints(2, &[endpoint_json("w0", w0, "Terminating")]);
    // Older than the known list: a complete list in which the draining worker is ready.
    let older = endpoint_event(1, true, &[endpoint_json("w0", w0, "Ready")]);
    let next = Coordinator::with_events(&older).unwrap();
    next.add_events(&endpoint_event(
        2,
        false,
        &[endpoint_json("w0", w0, "Terminating")],
    ));
    cluster.reload_config(next.address, &older);
    assert!(next.next_poll().contains("follow=2&"));
    send_request(&mut frontend, 1, &request_fields("/do/again", REQUEST_ID));
    let (worker, (connection, _, id, ..)) = cluster.next_command();
    assert_eq!(worker, 1);
    cluster.workers[1].answer(connection, SUCCEEDED, id, b"");
    assert_eq!(frontend.read_reply().unwrap().status, 200);
    // Newer than the known list: applied at once, and the next poll follows its index.
    let newer = endpoint_event(
        3,
        false,
        &[endpoint_json("w1", w1, "Gone"), endpoint_json("w2", w0, "Ready")],
    );
    let third = Coordinator::with_events(&older).unwrap();
    third.add_events(&endpoint_event(
        2,
        false,
        &[endpoint_json("w0", w0, "Terminating")],
    ));
    third.add_events(&newer);
    cluster.reload_config(third.address, &newer);
    assert!(third.next_poll().contains("follow=3&"));
    send_request(&mut frontend, 1, &request_fields("/do/again", SECOND_REQUEST_ID));
    let (worker, (_, _, id, ..)) = cluster.next_command();
    assert_eq!((worker, id), (0, id_number(SECOND_REQUEST_ID)));
}

#[test]
fn of_configurations_changed_faster_than_a_poll_the_last_one_is_followed_and_no_drain_is_lost() {
    let mut cluster = ClusterHarness::start(LAB, 2);
    let mut frontend = cluster.frontend();
    assert_eq!(check_status(&mut frontend), 200);
    let unused: Vec<Coordinator> = (0..4).map(|_| Coordinator::start().unwrap()).collect();
    let last = Coordinator::with_events(&endpoint_event(1, true, &[])).unwrap();
    let no_events = r#"{"index":0,"updates":[]}"#;
    for coordinator in &unused {
        cluster.reload_config(coordinator.address, no_events);
        // The next file may be partly written when a signal arrives.
        std::fs::write(&cluster.file, &config_json(coordinator.address, no_events)[..80]).unwrap();
        cluster.send_signal("-HUP");
    }
    cluster.reload_config(last.address, no_events);
    assert!(last.next_poll().contains("follow=1&"));
    cluster.coordinator = last;
    cluster.announce_endpoints(
        2,
        &[endpoint_json("w0", cluster.workers[0].address, "Terminating")],
    );
    for n in 1..=20 {
        send_request(
            &mut frontend,
            1,
            &request_fields("/do/again", &format!("{n:016x}")),
        );
        serve_next_command(&mut cluster.workers[1], &mut frontend, b"");
    }
    assert_eq!(cluster.drain_commands(0), []);
}

#[test]
fn a_response_of_the_old_coordinator_at_the_time_of_a_hang_up_loses_no_drain() {
    let mut cluster = ClusterHarness::start(LAB, 2);
    cluster.coordinator.next_poll();
    let drain_event = endpoint_event(
        2,
        false,
        &[endpoint_json("w0", cluster.workers[0].address, "Terminating")],
    );
    let next = Coordinator::with_events(&endpoint_event(1, true, &[])).unwrap();
    cluster.pause();
    std::fs::write(
        &cluster.file,
        config_json(next.address, r#"{"index":0,"updates":[]}"#),
    )
    .unwrap();
    cluster.coordinator.answer_with_events(&drain_event);
    cluster.send_signal("-HUP");
    cluster.resume();
    // The response or the signal may be handled first. Events that were not taken from the old coordinator
    // are requested from the new one.
    if next.next_poll().contains("follow=1&") {
        next.answer_with_events(&drain_event);
        assert!(next.next_poll().contains("follow=2&"));
    }
    let mut frontend = cluster.frontend();
    for id in [REQUEST_ID, SECOND_REQUEST_ID, THIRD_REQUEST_ID] {
        send_request(&mut frontend, 1, &request_fields("/do/again", id));
        let (worker, (connection, _, id, ..)) = cluster.next_command();
        assert_eq!(worker, 1);
        cluster.workers[1].answer(connection, SUCCEEDED, id, b"");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

// --- Pauses ---

/// Without other traffic no event ends the waits of the event loop early. Then only the longest wait limits
/// how long a request may have been in the socket before the process noticed it.
#[test]
fn after_a_pause_of_an_idle_process_a_time_limit_matches_the_remaining_time_of_the_client() {
    /// Longest time by which the time limit of a worker may exceed the remaining time of the client.
    const TIME_LIMIT_SLACK: Duration = Duration::from_millis(150);
    const TIMEOUT: Duration = Duration::from_millis(5_000);
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    assert_eq!(check_status(&mut frontend), 200);
    for n in 1..=6 {
        // The pauses begin at different times within a poll of the coordinator.
        std::thread::sleep(Duration::from_millis(130 * n));
        cluster.pause();
        let id = format!("{n:016x}");
        let request = RequestFields {
            timeout_ms: "5000",
            ..request_fields("/do/once", &id)
        };
        send_request(&mut frontend, 1, &request);
        let sent_at = Instant::now();
        std::thread::sleep(Duration::from_millis(700));
        cluster.resume();
        let (connection, _, id, fields, _) = cluster.workers[0].next_command();
        let remaining = TIMEOUT.saturating_sub(sent_at.elapsed());
        let time_limit = fields.split(',').find_map(|field| field.strip_prefix("max="));
        let time_limit = Duration::from_millis(time_limit.unwrap().parse().unwrap());
        assert!(
            time_limit <= remaining + TIME_LIMIT_SLACK,
            "a time limit of {time_limit:?} with {remaining:?} remaining"
        );
        cluster.workers[0].answer(connection, SUCCEEDED, id, b"");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

// --- Stop ---

/// Sends SIGTERM, waits until the health check fails, and returns the time of the signal.
fn stop(cluster: &ClusterHarness, checks: &mut Frontend) -> Instant {
    let signalled_at = Instant::now();
    cluster.send_signal("-TERM");
    while check_status(checks) != 503 {}
    signalled_at
}

#[test]
fn a_request_without_a_worker_response_gets_its_final_response_before_the_kill() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let (mut frontend, mut checks) = (cluster.frontend(), cluster.frontend());
    let connection = cluster.idle_connection(&mut frontend, REQUEST_ID);
    // A worker that never responds receives two requests: a non-idempotent one and an idempotent one.
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    cluster.workers[0].hold_ping_answers(true);
    cluster.workers[0].next_ping();
    cluster.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID));
    cluster.workers[0].next_command();
    send_request(&mut frontend, 2, &request_fields("/do/again", THIRD_REQUEST_ID));
    cluster.workers[0].next_command();
    let signalled_at = stop(&cluster, &mut checks);
    // A deadline counts as at most 3 s after SIGTERM, and SIGKILL follows 0.7 s later.
    let kill_delay = Duration::from_millis(3700);
    let mut replies = [frontend.read_reply().unwrap(), frontend.read_reply().unwrap()];
    assert!(
        signalled_at.elapsed() < kill_delay,
        "{:?}",
        signalled_at.elapsed()
    );
    replies.sort_by_key(|reply| reply.fastcgi_id);
    assert_eq!(replies.map(|reply| reply.status), [500, 503]);
    assert!(cluster.wait_for_exit().success());
    assert!(
        signalled_at.elapsed() < kill_delay,
        "{:?}",
        signalled_at.elapsed()
    );
}

#[test]
fn a_request_that_was_never_sent_is_rejected_before_the_kill() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 0, &[LONG_CONNECT_TIMEOUT]);
    let (mut frontend, mut checks) = (cluster.frontend(), cluster.frontend());
    let vanished = UnresponsiveListener::start().unwrap();
    cluster.coordinator.next_poll();
    cluster.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let signalled_at = stop(&cluster, &mut checks);
    // A request that arrives during the stop has only the remaining time of the stop.
    send_request(&mut frontend, 2, &request_fields("/do/once", SECOND_REQUEST_ID));
    for _ in 0..2 {
        let reply = frontend.read_reply().unwrap();
        assert_eq!(
            reply.status, 503,
            "request {} was never sent, so its status must allow a retry",
            reply.fastcgi_id
        );
    }
    assert!(
        signalled_at.elapsed() < Duration::from_millis(3700),
        "{:?}",
        signalled_at.elapsed()
    );
    assert!(cluster.wait_for_exit().success());
}

#[test]
fn requests_that_arrived_before_the_drain_phase_ends_are_served() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let (mut frontend, mut checks) = (cluster.frontend(), cluster.frontend());
    check_status(&mut frontend);
    stop(&cluster, &mut checks);
    cluster.pause();
    // The requests arrive on an open connection, on a new one, and, half of it, on one that waits to be
    // accepted.
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let mut new_client = cluster.frontend();
    send_request(&mut new_client, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    let (mut half_sent, bytes) = (
        cluster.frontend(),
        Frontend::encode_request(1, &request_fields("/do/once", THIRD_REQUEST_ID)),
    );
    half_sent.send(&bytes[..40]).unwrap();
    std::thread::sleep(Duration::from_millis(1300));
    cluster.resume();
    for _ in 0..2 {
        let (connection, _, id, ..) = cluster.workers[0].next_command();
        cluster.workers[0].answer(connection, SUCCEEDED, id, &id.to_be_bytes());
    }
    assert_eq!(
        frontend.read_reply().unwrap().body,
        id_number(REQUEST_ID).to_be_bytes()
    );
    assert_eq!(
        new_client.read_reply().unwrap().body,
        id_number(SECOND_REQUEST_ID).to_be_bytes()
    );
    half_sent.send(&bytes[40..]).unwrap();
    serve_next_command(&mut cluster.workers[0], &mut half_sent, b"whole");
    assert!(cluster.wait_for_exit().success());
}

#[test]
fn the_exit_destroys_no_response_that_a_slow_client_has_not_read_yet() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut checks = cluster.frontend();
    // A client with a small receive buffer, so most of its response stays in the send buffer of the
    // scheduler.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&cluster.address.into()).unwrap();
    let mut slow = Frontend::from_stream(TcpStream::from(socket)).unwrap();
    send_request(&mut slow, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    stop(&cluster, &mut checks);
    std::thread::sleep(Duration::from_millis(1300));
    cluster.pause();
    let body = vec![7; 60 << 10];
    cluster.workers[0].answer(connection, SUCCEEDED, id, &body);
    // Records of no open request, more than the scheduler reads in one iteration of its event loop.
    let mut stray = Vec::new();
    for _ in 0..5 {
        quartzdrift_fastcgi::write_record(&mut stray, quartzdrift_fastcgi::STDIN, 9, &[0; 16 << 10]);
        quartzdrift_fastcgi::write_record(&mut stray, quartzdrift_fastcgi::STDIN, 9, &[0; 16 << 10]);
    }
    slow.send(&stray).unwrap();
    cluster.resume();
    // The client reads only after the exit, when the written bytes are in the send buffer of the kernel.
    assert!(cluster.wait_for_exit().success());
    assert_eq!(slow.read_reply().unwrap().body, body);
}

#[test]
fn repeated_signals_before_the_listener_is_open_end_nothing_early() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let status = std::process::Command::new("mkfifo").arg(&file).status().unwrap();
    assert!(status.success());
    let mut worker = Worker::start().unwrap();
    let known = endpoint_event(1, true, &[endpoint_json("w0", worker.address, "Ready")]);
    let coordinator = Coordinator::with_events(&known).unwrap();
    let text = config_json(coordinator.address, &known);
    let mut child = quartzdrift_lab::cluster_harness::scheduler_command(LAB, &file)
        .spawn()
        .unwrap();
    // The open succeeds once the scheduler reads its configuration, which is after it has installed its
    // signal handlers and before it listens.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    for name in ["-HUP", "-TERM", "-TERM", "-HUP"] {
        quartzdrift_lab::cluster_harness::send_signal(name, child.id());
    }
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    let mut out = BufReader::new(child.stdout.take().unwrap());
    let address = quartzdrift_lab::scenario_runner::read_listen_address(&mut out).unwrap();
    // The scheduler still serves requests that arrive before its exit.
    let mut frontend = Frontend::connect(address).unwrap();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    serve_next_command(&mut worker, &mut frontend, b"served");
    let mut rest = String::new();
    out.read_to_string(&mut rest).unwrap();
    assert!(child.wait().unwrap().success());
}

#[test]
fn hang_up_signals_during_a_stop_and_with_a_truncated_file_end_nothing() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let (mut frontend, mut checks) = (cluster.frontend(), cluster.frontend());
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    stop(&cluster, &mut checks);
    let config = std::fs::read(&cluster.file).unwrap();
    for cut in [0, 1, config.len() / 2, config.len() - 1] {
        std::fs::write(&cluster.file, &config[..cut]).unwrap();
        cluster.send_signal("-HUP");
        assert_eq!(check_status(&mut checks), 503);
    }
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
    assert!(cluster.wait_for_exit().success());
}

// --- Start ---

#[test]
fn a_scheduler_restarted_under_its_name_keeps_no_state_of_the_killed_process() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, ..) = cluster.workers[0].next_command();
    cluster.restart(LAB);
    assert!(
        frontend.read_reply().is_err(),
        "the connection must end with the killed process"
    );
    // The client sends the request again with a new id, while the worker still holds the attempt of the
    // killed process.
    let mut frontend = cluster.frontend();
    assert_eq!(check_status(&mut frontend), 200);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    let (next, code, id) = serve_next_command(&mut cluster.workers[0], &mut frontend, b"anew");
    assert_eq!((code, id), (48, id_number(SECOND_REQUEST_ID)));
    assert_ne!(next, connection);
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let coordinator = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    let good = config_json(coordinator, r#"{"index":0,"updates":[]}"#);
    let file = folder.path().join("config.json");
    let cases = [
        (good[..good.len() / 2].to_owned(), "EOF"),
        (String::new(), "EOF"),
        (good.replace("127.0.0.1:0", "nowhere"), "socket address"),
        (
            good.replace("\"drain-grace-ns\":2000000000", "\"drain-grace-ns\":null"),
            "drain-grace-ns",
        ),
        (good.replace("\"sockets\":128", "\"sockets\":-1"), "invalid value"),
        (good.replace("\"classes\"", "\"other\""), "class"),
    ];
    for (text, reason) in &cases {
        std::fs::write(&file, text).unwrap();
        let output = quartzdrift_lab::cluster_harness::scheduler_command(LAB, &file)
            .stderr(std::process::Stdio::piped())
            .output();
        let output = output.unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(
            stderr.contains(reason) && stderr.trim().lines().count() == 1,
            "expected one line with {reason:?}: {stderr}"
        );
    }
}
