//! What crosses: requests, answers, closes, aborts, news and signals that come in the same moment, or in the other
//! order. A scheduler process on loopback, against fakes that make the order certain.
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
const GIVE_UP: u8 = 49;

// --- The client has left ---

#[test]
fn whoever_left_while_its_command_waited_for_a_proof_is_not_sent_on() {
    for proved in [true, false] {
        let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL]);
        let mut frontend = stage.frontend();
        let connection = stage.idle_connection(&mut frontend, REQUEST_ID);
        stage.workers[0].hold_ping_answers(true);
        send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
        assert_eq!(stage.workers[0].next_ping(), connection);
        frontend.send(&Frontend::encode_abort(1)).unwrap();
        assert_eq!(frontend.read_reply().unwrap().status, 0);
        stage.workers[0].hold_ping_answers(false);
        match proved {
            true => stage.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID)),
            false => stage.workers[0].close(connection),
        }
        // The connection's news was there before this check: the loop has worked it.
        assert_eq!(check_status(&mut frontend), 200);
        send_request(&mut frontend, 1, &request_fields("/do/once", THIRD_REQUEST_ID));
        let (_, code, id, ..) = stage.workers[0].next_command();
        assert_eq!((code, id), (48, id_number(THIRD_REQUEST_ID)), "proved: {proved}");
        assert_eq!(codes_and_ids(&stage.drain_commands(0)), [], "proved: {proved}");
    }
}

#[test]
fn whoever_left_while_its_command_waited_for_a_connection_is_not_sent_on() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 0, &[NO_CANCEL, LONG_CONNECT_TIMEOUT]);
    let mut frontend = stage.frontend();
    let vanished = UnresponsiveListener::start().unwrap();
    stage.coordinator.next_poll();
    stage.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    frontend.send(&Frontend::encode_abort(1)).unwrap();
    assert_eq!(frontend.read_reply().unwrap().status, 0);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    check_status(&mut stage.frontend());
    stage.workers.push(vanished.into_worker().unwrap());
    let (_, code, id, ..) = stage.workers[0].next_command();
    assert_eq!((code, id), (48, id_number(SECOND_REQUEST_ID)));
    assert_eq!(codes_and_ids(&stage.drain_commands(0)), []);
}

#[test]
fn what_waits_for_a_proof_past_its_time_is_not_sent_on() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL, LONG_CONNECT_TIMEOUT]);
    let mut frontend = stage.frontend();
    let connection = stage.idle_connection(&mut frontend, REQUEST_ID);
    stage.workers[0].hold_ping_answers(true);
    send_request(
        &mut frontend,
        1,
        &RequestFields {
            timeout_ms: "300",
            ..request_fields("/do/once", SECOND_REQUEST_ID)
        },
    );
    assert_eq!(stage.workers[0].next_ping(), connection);
    // It never ran, so trying again is harmless, and it has its final answer within its time.
    assert_eq!(frontend.read_reply().unwrap().status, 503);
    stage.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID));
    assert_eq!(check_status(&mut frontend), 200);
    assert_eq!(codes_and_ids(&stage.drain_commands(0)), []);
}

#[test]
fn what_waits_for_a_connection_past_its_time_is_rejected() {
    let stage = ClusterHarness::with_config_changes(LAB, 0, &[NO_CANCEL, LONG_CONNECT_TIMEOUT]);
    let mut frontend = stage.frontend();
    let vanished = UnresponsiveListener::start().unwrap();
    stage.coordinator.next_poll();
    stage.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
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
fn a_request_that_is_withdrawn_in_the_same_read_reaches_no_worker() {
    for change in [&[][..], &[NO_CANCEL]] {
        let mut stage = ClusterHarness::with_config_changes(LAB, 1, change);
        let mut frontend = stage.frontend();
        let both = [
            Frontend::encode_request(1, &request_fields("/do/once", REQUEST_ID)),
            Frontend::encode_abort(1),
        ]
        .concat();
        frontend.send(&both).unwrap();
        assert_eq!(frontend.read_reply().unwrap().status, 0);
        assert_eq!(check_status(&mut frontend), 200);
        assert_eq!(codes_and_ids(&stage.drain_commands(0)), []);
    }
}

#[test]
fn a_request_whose_client_has_closed_or_half_closed_by_then_reaches_no_worker() {
    for half in [true, false] {
        let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL]);
        let (mut leaves, mut checks) = (stage.frontend(), stage.frontend());
        assert_eq!((check_status(&mut leaves), check_status(&mut checks)), (200, 200));
        stage.pause();
        send_request(&mut leaves, 1, &request_fields("/do/once", REQUEST_ID));
        leaves.shutdown_write().unwrap();
        let kept = half.then_some(leaves);
        stage.resume();
        assert_eq!(check_status(&mut checks), 200);
        assert_eq!(codes_and_ids(&stage.drain_commands(0)), [], "half closed: {half}");
        drop(kept);
    }
}

#[test]
fn the_last_request_of_a_connection_ends_no_other_that_is_open_on_it() {
    for aborted in [false, true] {
        let mut stage = ClusterHarness::start(LAB, 1);
        let mut frontend = stage.frontend();
        send_request(&mut frontend, 2, &request_fields("/do/once", SECOND_REQUEST_ID));
        let (other, ..) = stage.workers[0].next_command();
        frontend
            .send(&Frontend::encode_last_request(
                1,
                &request_fields("/do/once", REQUEST_ID),
            ))
            .unwrap();
        serve_next_command(&mut stage.workers[0], &mut frontend, b"first");
        if aborted {
            // Its withdrawal is heard, though nothing new is taken any more.
            frontend.send(&Frontend::encode_abort(2)).unwrap();
            let (_, code, id, ..) = stage.workers[0].next_command();
            assert_eq!((code, id), (GIVE_UP, id_number(SECOND_REQUEST_ID)));
        } else {
            assert_eq!(check_status(&mut stage.frontend()), 200);
            stage.workers[0].answer(other, SUCCEEDED, id_number(SECOND_REQUEST_ID), b"second");
            assert_eq!(frontend.read_reply().unwrap().body, b"second");
        }
        assert!(frontend.read_reply().is_err() || aborted);
    }
}

// --- Answers ---

#[test]
fn two_answers_in_one_read_each_reach_their_own_request() {
    // The consequences of the first answer may end its client's connection, with the other request open on it.
    for last in [false, true] {
        let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[FEW_SOCKETS]);
        let mut frontend = stage.frontend();
        let mut at = Vec::new();
        // Eight connections, and a ninth request that shares one.
        for n in 1..=9 {
            let (path, id) = ("/do/once", format!("{n:016x}"));
            let bytes = if last && n == 9 {
                Frontend::encode_last_request
            } else {
                Frontend::encode_request
            };
            frontend.send(&bytes(n, &request_fields(path, &id))).unwrap();
            at.push(stage.workers[0].next_command().0);
        }
        let shared = at[8];
        let first = at.iter().position(|connection| *connection == shared).unwrap() as u64 + 1;
        let mut both = Vec::new();
        for id in [9, first] {
            let body = format!("of {id}");
            quartzdrift_platform::frame::write(&mut both, 193, SUCCEEDED, id, b"", body.as_bytes());
        }
        stage.workers[0].send(shared, &both);
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
fn a_late_second_answer_is_not_taken_for_the_next_request_under_its_id() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id) = serve_next_command(&mut stage.workers[0], &mut frontend, b"first");
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (next, ..) = stage.workers[0].next_command();
    assert_ne!(
        next, connection,
        "a late answer on a lane that has carried the id could not be told from the next"
    );
    stage.workers[0].answer(connection, SUCCEEDED, id, b"first");
    assert_eq!(check_status(&mut stage.frontend()), 200);
    stage.workers[0].answer(next, SUCCEEDED, id, b"second");
    assert_eq!(frontend.read_reply().unwrap().body, b"second");
}

#[test]
fn an_answer_to_what_has_not_left_yet_is_none() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    let connection = stage.idle_connection(&mut frontend, REQUEST_ID);
    stage.workers[0].hold_ping_answers(true);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    assert_eq!(stage.workers[0].next_ping(), connection);
    stage.workers[0].answer(connection, SUCCEEDED, id_number(SECOND_REQUEST_ID), b"of nothing");
    assert_eq!(check_status(&mut stage.frontend()), 200);
    stage.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID));
    let (connection, code, id, ..) = stage.workers[0].next_command();
    assert_eq!((code, id), (48, id_number(SECOND_REQUEST_ID)));
    stage.workers[0].answer(connection, SUCCEEDED, id, b"its own");
    assert_eq!(frontend.read_reply().unwrap().body, b"its own");
}

// --- Connections ---

#[test]
fn what_waits_for_a_worker_that_is_replaced_or_moves_goes_to_the_one_that_is_there() {
    let mut there = Worker::start().unwrap();
    let at = there.address;
    for way in [
        "gone, then another",
        "another, then gone",
        "moved",
        "gone and back in one event",
    ] {
        let mut stage = ClusterHarness::with_config_changes(LAB, 0, &[LONG_CONNECT_TIMEOUT]);
        let mut frontend = stage.frontend();
        let vanished = UnresponsiveListener::start().unwrap();
        stage.coordinator.next_poll();
        stage.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
        send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
        assert_eq!(check_status(&mut stage.frontend()), 200);
        let gone = endpoint_json("w0", vanished.address, "Gone");
        // A request is not placed twice at one worker: where that has moved, or has come back, another one gets it.
        let new = endpoint_json("new", at, "Ready");
        let targets = match way {
            "gone, then another" => vec![gone, new],
            "another, then gone" => vec![new, gone],
            "moved" => vec![endpoint_json("w0", at, "Ready"), new],
            _ => vec![gone, endpoint_json("w0", at, "Ready"), new],
        };
        stage.announce_endpoints(3, &targets);
        let (_, code, id) = serve_next_command(&mut there, &mut frontend, b"");
        assert_eq!((code, id), (48, id_number(REQUEST_ID)), "{way}");
        // Whoever stands at the old address later gets nothing of it.
        let mut old = vanished.into_worker().unwrap();
        stage.kill();
        assert_eq!(codes_and_ids(&old.drain_commands()), [], "{way}");
        while !matches!(there.next_event(), WorkerEvent::Closed(_)) {}
    }
}

#[test]
fn a_newcomer_at_an_address_gets_nothing_that_was_meant_for_the_one_before() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 0, &[LONG_CONNECT_TIMEOUT]);
    let mut frontend = stage.frontend();
    let vanished = UnresponsiveListener::start().unwrap();
    stage.coordinator.next_poll();
    stage.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    assert_eq!(check_status(&mut stage.frontend()), 200);
    stage.announce_endpoints(
        3,
        &[
            endpoint_json("w0", vanished.address, "Gone"),
            endpoint_json("new", vanished.address, "Ready"),
        ],
    );
    stage.workers.push(vanished.into_worker().unwrap());
    let (_, code, id) = serve_next_command(&mut stage.workers[0], &mut frontend, b"once");
    assert_eq!((code, id), (48, id_number(REQUEST_ID)));
    assert_eq!(codes_and_ids(&stage.drain_commands(0)), []);
}

#[test]
fn what_waits_for_the_proof_of_a_worker_that_was_restarted_is_placed_anew() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[LONG_CONNECT_TIMEOUT]);
    let mut frontend = stage.frontend();
    stage.coordinator.next_poll();
    let connection = stage.idle_connection(&mut frontend, REQUEST_ID);
    stage.workers[0].hold_ping_answers(true);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    assert_eq!(stage.workers[0].next_ping(), connection);
    let again = endpoint_json("w0", stage.workers[0].address, "Ready")
        .replace("\"boot_ms\":0", "\"boot_ms\":1700000000000");
    // A request is not placed twice at one worker: another one, which stands at the same address here, gets it.
    stage.announce_endpoints(
        2,
        &[again, endpoint_json("w1", stage.workers[0].address, "Ready")],
    );
    let (new, code, id) = serve_next_command(&mut stage.workers[0], &mut frontend, b"done");
    assert_eq!((code, id), (48, id_number(SECOND_REQUEST_ID)));
    assert_ne!(new, connection);
}

#[test]
fn a_connection_that_its_worker_closed_a_moment_ago_costs_no_request() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, ..) = serve_next_command(&mut stage.workers[0], &mut frontend, b"");
    stage.pause();
    stage.workers[0].close(connection);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    stage.resume();
    let (next, ..) = serve_next_command(&mut stage.workers[0], &mut frontend, b"done");
    assert_ne!(next, connection);
}

#[test]
fn a_keep_alive_shorter_than_a_proof_cuts_no_request() {
    let mut stage =
        ClusterHarness::with_config_changes(LAB, 1, &[LONG_CONNECT_TIMEOUT, ("15000000000", "100000000")]);
    let mut frontend = stage.frontend();
    let connection = stage.idle_connection(&mut frontend, REQUEST_ID);
    stage.workers[0].hold_ping_answers(true);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    // Where the machine was slow the connection has ended before, and there is nothing to prove.
    let sent = loop {
        match stage.workers[0].next_event() {
            WorkerEvent::Ping(asked) => {
                assert_eq!(asked, connection);
                std::thread::sleep(Duration::from_millis(200));
                stage.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID));
            }
            WorkerEvent::Command((connection, ..)) => break connection,
            WorkerEvent::Connected(_) | WorkerEvent::Closed(_) => {}
        }
    };
    stage.workers[0].answer(sent, SUCCEEDED, id_number(SECOND_REQUEST_ID), b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_request_that_has_come_is_not_closed_to_make_room_for_others() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[FEW_SOCKETS]);
    let mut held: Vec<Frontend> = (0..8).map(|_| stage.frontend()).collect();
    held.iter_mut()
        .for_each(|frontend| assert_eq!(check_status(frontend), 200));
    stage.pause();
    // The one that has been silent longest asks in the moment in which a newcomer needs its place.
    send_request(&mut held[0], 1, &request_fields("/do/once", REQUEST_ID));
    let mut newcomer = stage.frontend();
    send_request(&mut newcomer, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    stage.resume();
    for _ in 0..2 {
        let (connection, _, id, ..) = stage.workers[0].next_command();
        stage.workers[0].answer(connection, SUCCEEDED, id, &id.to_be_bytes());
    }
    assert_eq!(
        held[0].read_reply().unwrap().body,
        id_number(REQUEST_ID).to_be_bytes()
    );
    assert_eq!(
        newcomer.read_reply().unwrap().body,
        id_number(SECOND_REQUEST_ID).to_be_bytes()
    );
}

#[test]
fn a_request_that_stays_half_costs_no_other_on_its_connection() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    let half = Frontend::encode_request(2, &request_fields("/do/once", SECOND_REQUEST_ID));
    frontend.send(&half[..half.len() / 2]).unwrap();
    // Past the time for a request to be whole.
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(check_status(&mut stage.frontend()), 200);
    stage.workers[0].answer(connection, SUCCEEDED, id, b"whole");
    assert_eq!(frontend.read_reply().unwrap().body, b"whole");
    assert!(
        frontend.read_reply().is_err(),
        "the half one cannot be answered, and its connection ends"
    );
}

#[test]
fn a_first_request_that_came_while_the_process_was_paused_is_served() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let (mut first, mut checks) = (stage.frontend(), stage.frontend());
    assert_eq!(check_status(&mut checks), 200);
    stage.pause();
    // Past the time within which a first request must be whole; it came within it.
    send_request(&mut first, 1, &request_fields("/do/once", REQUEST_ID));
    std::thread::sleep(Duration::from_millis(2200));
    stage.resume();
    serve_next_command(&mut stage.workers[0], &mut first, b"served");
}

// --- The list ---

/// Takes a connection, and returns it with the first line of what it asks.
fn poll_at(listener: &TcpListener) -> (TcpStream, String) {
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(false).unwrap();
    let (mut first, mut reader) = (String::new(), BufReader::new(stream.try_clone().unwrap()));
    reader.read_line(&mut first).unwrap();
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 2 {
        line.clear();
    }
    (stream, first)
}

#[test]
fn a_watch_that_falls_silent_is_asked_anew_whether_or_not_bytes_still_drip() {
    for drips in [true, false] {
        let mut stage = ClusterHarness::start(LAB, 2);
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let at = listener.local_addr().unwrap();
        stage.reload_config(at, r#"{"index":0,"updates":[]}"#);
        let (mut silent, first) = poll_at(&listener);
        assert!(first.contains("follow=1&"));
        let news = endpoint_event(
            2,
            false,
            &[endpoint_json("w0", stage.workers[0].address, "Terminating")],
        );
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", news.len() + 1000);
        let asked_at = Instant::now();
        listener.set_nonblocking(true).unwrap();
        if drips {
            silent.write_all((head + &news).as_bytes()).unwrap();
        }
        let mut next = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(_) if drips => drop(silent.write_all(b" ")),
                Err(_) => {}
            }
            // What drains counts as told 2 s after the end of the wait that was asked for, one second.
            assert!(
                asked_at.elapsed() < Duration::from_secs(3),
                "nobody asks anew; drips: {drips}"
            );
            std::thread::sleep(Duration::from_millis(20));
        };
        next.set_nonblocking(false).unwrap();
        let mut line = String::new();
        BufReader::new(next.try_clone().unwrap())
            .read_line(&mut line)
            .unwrap();
        // The event that is known is asked for again, as nothing shows that the list is current.
        assert!(
            line.contains("follow=0&"),
            "what was cut off is not believed: {line}"
        );
        let known = r#"{"index":1,"endpoints":{"all":false,"targets":[]}}"#;
        let news = news.replace(r#""updates":["#, &format!(r#""updates":[{known},"#));
        let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{news}", news.len());
        next.write_all(whole.as_bytes()).unwrap();
        let mut again = String::new();
        let mut reader = BufReader::new(next);
        while !again.starts_with("GET") {
            again.clear();
            reader.read_line(&mut again).unwrap();
        }
        assert!(again.contains("follow=2&"), "{again}");
        let mut frontend = stage.frontend();
        send_request(&mut frontend, 1, &request_fields("/do/again", REQUEST_ID));
        assert_eq!(stage.next_command().0, 1, "a draining worker gets nothing new");
    }
}

#[test]
fn a_coordinator_that_answers_at_once_with_nothing_is_not_asked_without_pause() {
    let stage = ClusterHarness::start(LAB, 1);
    let (began, mut polls) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_secs(1) {
        stage.coordinator.next_poll();
        stage
            .coordinator
            .answer_with_events(r#"{"index":1,"updates":[]}"#);
        polls += 1;
    }
    assert!((2..=100).contains(&polls), "{polls} polls in a second");
    // And news still counts.
    stage.coordinator.next_poll();
    stage.announce_endpoints(2, &[endpoint_json("w0", stage.workers[0].address, "Terminating")]);
    assert_eq!(check_status(&mut stage.frontend()), 503);
}

#[test]
fn numbers_that_repeat_or_start_over_bring_back_no_worker_that_drains() {
    let stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    let at = stage.workers[0].address;
    stage.coordinator.next_poll();
    stage.announce_endpoints(2, &[endpoint_json("w0", at, "Terminating")]);
    assert_eq!(check_status(&mut frontend), 503);
    let ready = endpoint_json("w0", at, "Ready");
    for old in [
        endpoint_event(1, true, std::slice::from_ref(&ready)),
        endpoint_event(2, false, std::slice::from_ref(&ready)),
    ] {
        stage.send_events(2, &old);
        assert_eq!(check_status(&mut frontend), 503, "{old}");
    }
    // A jump is a gap, unless it brings the whole list.
    stage.send_events(2, &endpoint_event(9, false, std::slice::from_ref(&ready)));
    assert_eq!(check_status(&mut frontend), 503);
    stage.send_events(9, &endpoint_event(9, true, &[ready]));
    assert_eq!(check_status(&mut frontend), 200);
}

#[test]
fn two_events_for_one_worker_in_one_answer_count_in_their_order() {
    let stage = ClusterHarness::start(LAB, 1);
    let (mut frontend, at) = (stage.frontend(), stage.workers[0].address);
    stage.coordinator.next_poll();
    let of = |index: u64, state: &str| {
        format!(
            r#"{{"index":{index},"endpoints":{{"all":false,"targets":[{}]}}}}"#,
            endpoint_json("w0", at, state)
        )
    };
    let both = |index: u64, first: &str, second: &str| {
        format!(
            r#"{{"index":{index},"updates":[{},{}]}}"#,
            of(index - 1, first),
            of(index, second)
        )
    };
    stage.send_events(3, &both(3, "Ready", "Terminating"));
    assert_eq!(check_status(&mut frontend), 503);
    stage.send_events(5, &both(5, "Terminating", "Ready"));
    assert_eq!(check_status(&mut frontend), 200);
    stage.announce_endpoints(
        6,
        &[endpoint_json("w0", at, "Ready"), endpoint_json("w0", at, "Gone")],
    );
    assert_eq!(check_status(&mut frontend), 503);
}

#[test]
fn a_hang_up_signal_takes_a_newer_list_and_no_older_one() {
    let mut stage = ClusterHarness::start(LAB, 2);
    let mut frontend = stage.frontend();
    let (w0, w1) = (stage.workers[0].address, stage.workers[1].address);
    stage.coordinator.next_poll();
    stage.announce_endpoints(2, &[endpoint_json("w0", w0, "Terminating")]);
    // Older than what is known: a whole list in which the worker that drains is up.
    let older = endpoint_event(1, true, &[endpoint_json("w0", w0, "Ready")]);
    let next = Coordinator::with_events(&older).unwrap();
    next.add_events(&endpoint_event(
        2,
        false,
        &[endpoint_json("w0", w0, "Terminating")],
    ));
    stage.reload_config(next.address, &older);
    assert!(next.next_poll().contains("follow=2&"));
    send_request(&mut frontend, 1, &request_fields("/do/again", REQUEST_ID));
    let (at, (connection, _, id, ..)) = stage.next_command();
    assert_eq!(at, 1);
    stage.workers[1].answer(connection, SUCCEEDED, id, b"");
    assert_eq!(frontend.read_reply().unwrap().status, 200);
    // Newer: taken at once, and followed from.
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
    stage.reload_config(third.address, &newer);
    assert!(third.next_poll().contains("follow=3&"));
    send_request(&mut frontend, 1, &request_fields("/do/again", SECOND_REQUEST_ID));
    let (at, (_, _, id, ..)) = stage.next_command();
    assert_eq!((at, id), (0, id_number(SECOND_REQUEST_ID)));
}

#[test]
fn of_new_configurations_quicker_than_one_poll_the_last_one_is_followed_and_no_drain_is_lost() {
    let mut stage = ClusterHarness::start(LAB, 2);
    let mut frontend = stage.frontend();
    assert_eq!(check_status(&mut frontend), 200);
    let unused: Vec<Coordinator> = (0..4).map(|_| Coordinator::start().unwrap()).collect();
    let last = Coordinator::with_events(&endpoint_event(1, true, &[])).unwrap();
    let nothing = r#"{"index":0,"updates":[]}"#;
    for coordinator in &unused {
        stage.reload_config(coordinator.address, nothing);
        // Half of the next file may be there in the moment of a signal.
        std::fs::write(&stage.file, &config_json(coordinator.address, nothing)[..80]).unwrap();
        stage.send_signal("-HUP");
    }
    stage.reload_config(last.address, nothing);
    assert!(last.next_poll().contains("follow=1&"));
    stage.coordinator = last;
    stage.announce_endpoints(2, &[endpoint_json("w0", stage.workers[0].address, "Terminating")]);
    for n in 1..=20 {
        send_request(
            &mut frontend,
            1,
            &request_fields("/do/again", &format!("{n:016x}")),
        );
        serve_next_command(&mut stage.workers[1], &mut frontend, b"");
    }
    assert_eq!(stage.drain_commands(0), []);
}

#[test]
fn an_answer_of_the_old_coordinator_in_the_moment_of_a_hang_up_loses_no_drain() {
    let mut stage = ClusterHarness::start(LAB, 2);
    stage.coordinator.next_poll();
    let drains = endpoint_event(
        2,
        false,
        &[endpoint_json("w0", stage.workers[0].address, "Terminating")],
    );
    let next = Coordinator::with_events(&endpoint_event(1, true, &[])).unwrap();
    stage.pause();
    std::fs::write(
        &stage.file,
        config_json(next.address, r#"{"index":0,"updates":[]}"#),
    )
    .unwrap();
    stage.coordinator.answer_with_events(&drains);
    stage.send_signal("-HUP");
    stage.resume();
    // Whichever came first, the numbers go on: what was not taken from the one is asked of the other.
    if next.next_poll().contains("follow=1&") {
        next.answer_with_events(&drains);
        assert!(next.next_poll().contains("follow=2&"));
    }
    let mut frontend = stage.frontend();
    for id in [REQUEST_ID, SECOND_REQUEST_ID, THIRD_REQUEST_ID] {
        send_request(&mut frontend, 1, &request_fields("/do/again", id));
        let (at, (connection, _, id, ..)) = stage.next_command();
        assert_eq!(at, 1);
        stage.workers[1].answer(connection, SUCCEEDED, id, b"");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

// --- Pauses ---

/// The process is quiet: no traffic ends its waits early, so that only their longest length bounds what may have waited unseen.
#[test]
fn after_a_pause_of_a_quiet_process_a_worker_is_told_what_the_client_has_left() {
    /// What a worker is told may exceed what the client has left by so much.
    const SLACK: Duration = Duration::from_millis(150);
    const TIMEOUT: Duration = Duration::from_millis(5_000);
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    assert_eq!(check_status(&mut frontend), 200);
    for n in 1..=6 {
        // The pauses begin at different times within the waits for the coordinator.
        std::thread::sleep(Duration::from_millis(130 * n));
        stage.pause();
        let id = format!("{n:016x}");
        let request = RequestFields {
            timeout_ms: "5000",
            ..request_fields("/do/once", &id)
        };
        send_request(&mut frontend, 1, &request);
        let written = Instant::now();
        std::thread::sleep(Duration::from_millis(700));
        stage.resume();
        let (connection, _, id, fields, _) = stage.workers[0].next_command();
        let left = TIMEOUT.saturating_sub(written.elapsed());
        let told = fields.split(',').find_map(|field| field.strip_prefix("max="));
        let told = Duration::from_millis(told.unwrap().parse().unwrap());
        assert!(told <= left + SLACK, "told {told:?} with {left:?} left");
        stage.workers[0].answer(connection, SUCCEEDED, id, b"");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

// --- Stop ---

/// Sends SIGTERM, and returns once the scheduler has taken it.
fn stop(stage: &ClusterHarness, checks: &mut Frontend) -> Instant {
    let told = Instant::now();
    stage.send_signal("-TERM");
    while check_status(checks) != 503 {}
    told
}

#[test]
fn what_cannot_end_before_the_kill_has_its_final_answer_before() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let (mut frontend, mut checks) = (stage.frontend(), stage.frontend());
    let connection = stage.idle_connection(&mut frontend, REQUEST_ID);
    // Out at a worker that answers no more: one that may run again, and one that may not.
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    stage.workers[0].hold_ping_answers(true);
    stage.workers[0].next_ping();
    stage.workers[0].answer_ping(connection, id_number(SECOND_REQUEST_ID));
    stage.workers[0].next_command();
    send_request(&mut frontend, 2, &request_fields("/do/again", THIRD_REQUEST_ID));
    stage.workers[0].next_command();
    let told = stop(&stage, &mut checks);
    // The longest time limit counts as 3 s, and SIGKILL comes 0.7 s after it.
    let kill = Duration::from_millis(3700);
    let mut replies = [frontend.read_reply().unwrap(), frontend.read_reply().unwrap()];
    assert!(told.elapsed() < kill, "{:?}", told.elapsed());
    replies.sort_by_key(|reply| reply.fastcgi_id);
    assert_eq!(replies.map(|reply| reply.status), [500, 503]);
    assert!(stage.wait_for_exit().success());
    assert!(told.elapsed() < kill, "{:?}", told.elapsed());
}

#[test]
fn what_was_never_sent_before_the_kill_is_rejected() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 0, &[LONG_CONNECT_TIMEOUT]);
    let (mut frontend, mut checks) = (stage.frontend(), stage.frontend());
    let vanished = UnresponsiveListener::start().unwrap();
    stage.coordinator.next_poll();
    stage.announce_endpoints(2, &[endpoint_json("w0", vanished.address, "Ready")]);
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let told = stop(&stage, &mut checks);
    // Whoever comes during the stop has just the time that it leaves.
    send_request(&mut frontend, 2, &request_fields("/do/once", SECOND_REQUEST_ID));
    for _ in 0..2 {
        let reply = frontend.read_reply().unwrap();
        assert_eq!(
            reply.status, 503,
            "{} never ran, so trying again is harmless",
            reply.fastcgi_id
        );
    }
    assert!(
        told.elapsed() < Duration::from_millis(3700),
        "{:?}",
        told.elapsed()
    );
    assert!(stage.wait_for_exit().success());
}

#[test]
fn what_has_come_when_the_stay_ends_is_served_all_the_same() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let (mut frontend, mut checks) = (stage.frontend(), stage.frontend());
    check_status(&mut frontend);
    stop(&stage, &mut checks);
    stage.pause();
    // On an open connection, on a new one, and on one that waits to be taken with half of its request.
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let mut late = stage.frontend();
    send_request(&mut late, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    let (mut half, bytes) = (
        stage.frontend(),
        Frontend::encode_request(1, &request_fields("/do/once", THIRD_REQUEST_ID)),
    );
    half.send(&bytes[..40]).unwrap();
    std::thread::sleep(Duration::from_millis(1300));
    stage.resume();
    for _ in 0..2 {
        let (connection, _, id, ..) = stage.workers[0].next_command();
        stage.workers[0].answer(connection, SUCCEEDED, id, &id.to_be_bytes());
    }
    assert_eq!(
        frontend.read_reply().unwrap().body,
        id_number(REQUEST_ID).to_be_bytes()
    );
    assert_eq!(
        late.read_reply().unwrap().body,
        id_number(SECOND_REQUEST_ID).to_be_bytes()
    );
    half.send(&bytes[40..]).unwrap();
    serve_next_command(&mut stage.workers[0], &mut half, b"whole");
    assert!(stage.wait_for_exit().success());
}

#[test]
fn the_end_destroys_no_answer_that_a_slow_client_has_yet_to_take() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut checks = stage.frontend();
    // A client that takes little at a time: most of its answer stands in the scheduler's system.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&stage.address.into()).unwrap();
    let mut slow = Frontend::from_stream(TcpStream::from(socket)).unwrap();
    send_request(&mut slow, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stop(&stage, &mut checks);
    std::thread::sleep(Duration::from_millis(1300));
    stage.pause();
    let body = vec![7; 60 << 10];
    stage.workers[0].answer(connection, SUCCEEDED, id, &body);
    // More than is read in a turn, of records that belong to nothing.
    let mut stray = Vec::new();
    for _ in 0..5 {
        quartzdrift_fastcgi::write_record(&mut stray, quartzdrift_fastcgi::STDIN, 9, &[0; 16 << 10]);
        quartzdrift_fastcgi::write_record(&mut stray, quartzdrift_fastcgi::STDIN, 9, &[0; 16 << 10]);
    }
    slow.send(&stray).unwrap();
    stage.resume();
    // Read only once the process is no more: what it had written is with its system.
    assert!(stage.wait_for_exit().success());
    assert_eq!(slow.read_reply().unwrap().body, body);
}

#[test]
fn signals_before_the_listener_stands_twice_and_together_end_nothing_early() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let made = std::process::Command::new("mkfifo").arg(&file).status().unwrap();
    assert!(made.success());
    let mut worker = Worker::start().unwrap();
    let known = endpoint_event(1, true, &[endpoint_json("w0", worker.address, "Ready")]);
    let coordinator = Coordinator::with_events(&known).unwrap();
    let text = config_json(coordinator.address, &known);
    let mut child = quartzdrift_lab::cluster_harness::scheduler_command(LAB, &file)
        .spawn()
        .unwrap();
    // Opened for writing once it reads its configuration: before it listens, and after it has taken its signals.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    for name in ["-HUP", "-TERM", "-TERM", "-HUP"] {
        quartzdrift_lab::cluster_harness::send_signal(name, child.id());
    }
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    let mut out = BufReader::new(child.stdout.take().unwrap());
    let at = quartzdrift_lab::scenario_runner::read_listen_address(&mut out).unwrap();
    // It stays for those that come meanwhile.
    let mut frontend = Frontend::connect(at).unwrap();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    serve_next_command(&mut worker, &mut frontend, b"served");
    let mut rest = String::new();
    out.read_to_string(&mut rest).unwrap();
    assert!(child.wait().unwrap().success());
}

#[test]
fn a_hang_up_signal_during_a_stop_and_one_with_half_a_file_end_nothing() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let (mut frontend, mut checks) = (stage.frontend(), stage.frontend());
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stop(&stage, &mut checks);
    let whole = std::fs::read(&stage.file).unwrap();
    for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&stage.file, &whole[..cut]).unwrap();
        stage.send_signal("-HUP");
        assert_eq!(check_status(&mut checks), 503);
    }
    stage.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
    assert!(stage.wait_for_exit().success());
}

// --- Start ---

#[test]
fn killed_and_started_anew_under_its_name_it_knows_nothing_of_its_earlier_life() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, ..) = stage.workers[0].next_command();
    stage.restart(LAB);
    assert!(
        frontend.read_reply().is_err(),
        "what a killed process had taken is over"
    );
    // The client asks again under a new id, while the worker still has the attempt of the earlier life.
    let mut frontend = stage.frontend();
    assert_eq!(check_status(&mut frontend), 200);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    let (next, code, id) = serve_next_command(&mut stage.workers[0], &mut frontend, b"anew");
    assert_eq!((code, id), (48, id_number(SECOND_REQUEST_ID)));
    assert_ne!(next, connection);
}

#[test]
fn a_configuration_that_cannot_be_used_is_told_in_one_sentence() {
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
    for (text, why) in &cases {
        std::fs::write(&file, text).unwrap();
        let ended = quartzdrift_lab::cluster_harness::scheduler_command(LAB, &file)
            .stderr(std::process::Stdio::piped())
            .output();
        let ended = ended.unwrap();
        let said = String::from_utf8_lossy(&ended.stderr);
        assert_eq!(ended.status.code(), Some(1), "{said}");
        assert!(
            said.contains(why) && said.trim().lines().count() == 1,
            "{why}: {said}"
        );
    }
}
