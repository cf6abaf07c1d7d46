//! A scheduler process on the platform's sockets, against fakes on loopback: the hard cases.
use quartzdrift::platform::Node;
use quartzdrift_lab::cluster_harness::{
    ClusterHarness, REQUEST_ID, SECOND_REQUEST_ID, SUCCEEDED, UnresponsiveListener, config_json,
    endpoint_event, endpoint_json, request_and_reply, request_fields, send_request,
};
use quartzdrift_lab::platform::{Coordinator, Frontend, RequestFields, Worker, WorkerEvent};
use std::net::TcpListener;
use std::path::PathBuf;

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
const MISS: u8 = 66;
const FULL: u8 = 67;
const OVER: u8 = 69;
const GIVE_UP: u8 = 49;

#[test]
fn a_request_goes_out_as_it_came_and_its_answer_comes_back_unchanged() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 5, &request_fields("/do/again", REQUEST_ID));
    let (connection, code, id, fields, body) = stage.workers[0].next_command();
    assert_eq!(
        (code, id, &body[..]),
        (48, 0x9b1f_03aa_5c7e_2d41, &b"the body"[..])
    );
    let (fields, max) = fields.rsplit_once(",max=").unwrap();
    assert_eq!(fields, "profile=again,thing=7f3a9c21e0b4d655");
    assert!((1..=50000).contains(&max.parse::<u32>().unwrap()));
    // Before it, an answer under an unknown id; after it, a second copy. Both are dropped, and the connection lives.
    stage.workers[0].answer(connection, SUCCEEDED, 99, b"not asked for");
    let said: Vec<u8> = (0..=255).collect();
    stage.workers[0].answer(connection, SUCCEEDED, id, &said);
    stage.workers[0].answer(connection, SUCCEEDED, id, b"second copy");
    let reply = frontend.read_reply().unwrap();
    assert_eq!((reply.fastcgi_id, reply.status, &reply.body), (5, 200, &said));
    send_request(&mut frontend, 5, &request_fields("/do/again", SECOND_REQUEST_ID));
    let (again, _, id, ..) = stage.workers[0].next_command();
    assert_eq!(again, connection);
    stage.workers[0].answer(connection, SUCCEEDED, id, b"next");
    assert_eq!(frontend.read_reply().unwrap().body, b"next");
}

#[test]
fn a_keyed_request_carries_its_idempotency_key_to_every_worker_and_none_goes_without() {
    let dedup = "\"effect\":\"dedup\",\"key-scope\":\"all\",\"window-ns\":8000000000";
    let mut stage = ClusterHarness::with_config_changes(LAB, 2, &[("\"effect\":\"fragile\"", dedup)]);
    let mut frontend = stage.frontend();
    assert_eq!(
        request_and_reply(&mut frontend, &request_fields("/do/once", REQUEST_ID)).status,
        400
    );
    send_request(
        &mut frontend,
        1,
        &RequestFields {
            idempotency_key: "0f3a-77",
            ..request_fields("/do/once", REQUEST_ID)
        },
    );
    // The first may have run it; the second can tell the repeat, as it hears the same.
    let (first, (connection, _, _, fields, _)) = stage.next_command();
    assert!(fields.contains(",replay=0f3a-77,"), "{fields}");
    stage.workers[first].close(connection);
    let (second, (connection, _, id, again, _)) = stage.next_command();
    assert!(second != first && again.contains(",replay=0f3a-77,"), "{again}");
    stage.workers[second].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_worker_that_turns_one_tenant_away_stays_open_to_the_others() {
    let tenants = r#""tenants":[{"name":"a","quota-rps":10},{"name":"b","quota-rps":10}],"stats""#;
    let mut stage = ClusterHarness::with_config_changes(LAB, 2, &[("\"stats\"", tenants)]);
    let mut frontend = stage.frontend();
    // Full for this request, though by its report it has room: it has no more for this tenant.
    send_request(
        &mut frontend,
        1,
        &RequestFields {
            tenant: "a",
            ..request_fields("/do/once", REQUEST_ID)
        },
    );
    let (turns, (connection, _, id, ..)) = stage.next_command();
    stage.workers[turns].answer(connection, FULL, id, b"");
    let (other, (connection, ..)) = stage.next_command();
    stage.workers[other].answer(connection, SUCCEEDED, id, b"");
    assert_eq!(frontend.read_reply().unwrap().status, 200);
    // Functions that nobody has loaded are at home at one of the two by chance.
    let mut met = |tenant, from| {
        let requests = (from..from + 12).map(|n| {
            let (id, function) = (format!("{n:016x}"), format!("{n:016x}"));
            send_request(
                &mut frontend,
                1,
                &RequestFields {
                    tenant,
                    function: &function,
                    ..request_fields("/do/once", &id)
                },
            );
            let (at, (connection, _, id, ..)) = stage.next_command();
            stage.workers[at].answer(connection, SUCCEEDED, id, b"");
            assert_eq!(frontend.read_reply().unwrap().status, 200);
            at
        });
        requests.filter(|at| *at == turns).count()
    };
    assert_eq!(met("a", 100), 0, "it is sent elsewhere");
    // Another one, and one that the settings do not name.
    assert!(met("b", 200) > 0 && met("c", 300) > 0);
}

#[test]
fn what_is_wrong_is_told_at_the_door_and_reaches_no_worker() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    let good = request_fields("/do/again", REQUEST_ID);
    for (bad, status) in [
        (
            RequestFields {
                path: "/do/none",
                ..good
            },
            404,
        ),
        (
            RequestFields {
                path: "/elsewhere",
                ..good
            },
            404,
        ),
        (RequestFields { id: "", ..good }, 400),
        (
            RequestFields {
                id: "9b1f03aa5c7e2d4,",
                ..good
            },
            400,
        ),
        (
            RequestFields {
                function: "7f3a9c21e0b4,x=1",
                ..good
            },
            400,
        ),
        (
            RequestFields {
                timeout_ms: "-1",
                ..good
            },
            400,
        ),
        (
            RequestFields {
                timeout_ms: "99999999999",
                ..good
            },
            400,
        ),
        (
            RequestFields {
                spec: "lanes:nan",
                ..good
            },
            400,
        ),
        (
            RequestFields {
                idempotency_key: "a,x=1",
                ..good
            },
            400,
        ),
    ] {
        assert_eq!(request_and_reply(&mut frontend, &bad).status, status, "{bad:?}");
    }
    // Too large a body is refused from its head, and ends its connection.
    let body = vec![0; 20 << 10];
    assert_eq!(
        request_and_reply(&mut frontend, &RequestFields { body: &body, ..good }).status,
        413
    );
    assert!(frontend.read_reply().is_err());
    // What is not FastCGI is closed.
    let mut other = stage.frontend();
    other.send(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(other.read_reply().is_err());
    assert!(stage.workers[0].has_no_event());
}

#[test]
fn the_id_of_an_open_request_is_refused_and_the_open_one_goes_on() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let (mut first, mut second) = (stage.frontend(), stage.frontend());
    send_request(&mut first, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    assert_eq!(
        request_and_reply(
            &mut second,
            &RequestFields {
                body: b"other",
                ..request_fields("/do/once", REQUEST_ID)
            }
        )
        .status,
        409
    );
    stage.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(first.read_reply().unwrap().body, b"done");
    // Where both come over one connection, neither is trusted, and the worker is told.
    send_request(&mut first, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    stage.workers[0].next_command();
    send_request(&mut first, 2, &request_fields("/do/once", SECOND_REQUEST_ID));
    let statuses = [
        first.read_reply().unwrap().status,
        first.read_reply().unwrap().status,
    ];
    assert_eq!(statuses, [409, 409]);
    assert_eq!(stage.workers[0].next_command().1, GIVE_UP);
}

/// Ways to spoil an answer. After each the connection is of no further use.
fn spoilt(id: u64) -> Vec<(&'static str, Vec<u8>)> {
    let mut good = Vec::new();
    quartzdrift_platform::frame::write(&mut good, 193, SUCCEEDED, id, b"", b"spoilt");
    let with = |at: usize, byte: u8| {
        let mut bytes = good.clone();
        bytes[at] = byte;
        bytes
    };
    let huge = [
        &[193, SUCCEEDED, 0, 0, 0xb2, 0xd0, 0x5e, 0][..],
        &id.to_be_bytes(),
    ]
    .concat();
    vec![
        ("mark", with(0, 0)),
        ("code", with(1, 65)),
        ("body", with(17, b'x')),
        ("check", with(good.len() - 1, good[good.len() - 1] ^ 1)),
        ("three gigabytes", huge),
        ("noise", b"HTTP/1.1 200 OK\r\n\r\nspoilt".to_vec()),
    ]
}

#[test]
fn nothing_spoilt_is_passed_on_and_what_may_have_run_runs_once() {
    let mut stage = ClusterHarness::start(LAB, 2);
    let mut frontend = stage.frontend();
    for (what, bytes) in spoilt(0x9b1f_03aa_5c7e_2d41) {
        send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
        let (at, (connection, ..)) = stage.next_command();
        stage.workers[at].send(connection, &bytes);
        // Killed: it may have run, so neither a further attempt nor a rejection may follow.
        assert_eq!(frontend.read_reply().unwrap().status, 500, "{what}");
        assert!(
            stage
                .workers
                .iter_mut()
                .all(|worker| worker.try_next_command().is_none()),
            "{what}"
        );
    }
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (at, (connection, ..)) = stage.next_command();
    stage.workers[at].close(connection);
    assert_eq!(frontend.read_reply().unwrap().status, 500);
}

#[test]
fn an_idempotent_request_runs_elsewhere_after_a_spoilt_answer() {
    let mut stage = ClusterHarness::start(LAB, 2);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/again", REQUEST_ID));
    let (first, (connection, _, id, ..)) = stage.next_command();
    stage.workers[first].send(connection, b"\xc1\x41 what is this");
    let (second, (connection, _, again, ..)) = stage.next_command();
    assert!(second != first && again == id);
    stage.workers[second].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn what_never_ran_goes_elsewhere_also_where_it_may_run_only_once() {
    let mut stage = ClusterHarness::start(LAB, 2);
    let mut frontend = stage.frontend();
    for code in [MISS, FULL, OVER] {
        send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
        let (first, (connection, _, id, ..)) = stage.next_command();
        stage.workers[first].answer(connection, code, id, b"");
        let (second, (connection, ..)) = stage.next_command();
        assert_ne!(first, second);
        stage.workers[second].answer(connection, SUCCEEDED, id, b"done");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

#[test]
fn a_refused_connection_is_no_attempt_and_without_a_worker_left_there_is_a_time_to_come_back() {
    let stage = ClusterHarness::start(LAB, 0);
    let mut frontend = stage.frontend();
    let gone = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    // Without a worker no request can be taken, and the check says so.
    assert_eq!(
        request_and_reply(&mut frontend, &request_fields("/check", REQUEST_ID)).status,
        503
    );
    stage.coordinator.next_poll();
    stage
        .coordinator
        .answer_with_events(&endpoint_event(2, false, &[endpoint_json("w9", gone, "Ready")]));
    // The next poll follows from there: the news has been taken.
    assert!(stage.coordinator.next_poll().contains("follow=2"));
    assert_eq!(
        request_and_reply(&mut frontend, &request_fields("/check", REQUEST_ID)).status,
        200
    );
    let reply = request_and_reply(&mut frontend, &request_fields("/do/once", REQUEST_ID));
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("Retry-After-Ms: "), "{}", reply.head);
}

#[test]
fn a_connection_that_was_forgotten_while_idle_costs_no_request() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    let connection = stage.idle_connection(&mut frontend, REQUEST_ID);
    stage.workers[0].close_on_ping();
    // Asked first, so that nothing that may run once is written to a connection in doubt.
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    assert!(matches!(stage.workers[0].next_event(), WorkerEvent::Ping(asked) if asked == connection));
    let (other, _, id, ..) = stage.workers[0].next_command();
    assert_ne!(other, connection);
    stage.workers[0].answer(other, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_machine_that_has_vanished_costs_the_connect_timeout_and_no_request() {
    let stage = ClusterHarness::start(LAB, 0);
    let mut frontend = stage.frontend();
    let vanished = UnresponsiveListener::start().unwrap();
    let at = vanished.address;
    stage.coordinator.next_poll();
    stage
        .coordinator
        .answer_with_events(&endpoint_event(2, false, &[endpoint_json("w0", at, "Ready")]));
    assert!(stage.coordinator.next_poll().contains("follow=2&"));
    let reply = request_and_reply(&mut frontend, &request_fields("/do/once", REQUEST_ID));
    assert!(
        reply.status == 503 && reply.head.contains("Retry-After-Ms: "),
        "it never ran: {reply:?}"
    );
}

#[test]
fn what_waits_for_a_slow_connection_goes_elsewhere_once_its_worker_drains() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 0, &[("250000000", "60000000000")]);
    let mut frontend = stage.frontend();
    let vanished = UnresponsiveListener::start().unwrap();
    let at = vanished.address;
    stage.coordinator.next_poll();
    stage
        .coordinator
        .answer_with_events(&endpoint_event(2, false, &[endpoint_json("w0", at, "Ready")]));
    assert!(stage.coordinator.next_poll().contains("follow=2&"));
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    // The request has been taken once a later one on the same connection is answered.
    send_request(&mut frontend, 2, &request_fields("/check", SECOND_REQUEST_ID));
    assert_eq!(frontend.read_reply().unwrap().fastcgi_id, 2);
    stage.workers.push(Worker::start().unwrap());
    let there = stage.workers[0].address;
    stage.coordinator.answer_with_events(&endpoint_event(
        3,
        false,
        &[
            endpoint_json("w0", at, "Terminating"),
            endpoint_json("w1", there, "Ready"),
        ],
    ));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stage.workers[0].answer(connection, SUCCEEDED, id, b"elsewhere");
    assert_eq!(frontend.read_reply().unwrap().body, b"elsewhere");
}

#[test]
fn whoever_leaves_has_its_attempt_given_up() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (_, _, id, ..) = stage.workers[0].next_command();
    let mut abort = Vec::new();
    quartzdrift_fastcgi::write_record(&mut abort, quartzdrift_fastcgi::ABORT_REQUEST, 1, b"");
    frontend.send(&abort).unwrap();
    let (_, code, of, ..) = stage.workers[0].next_command();
    assert_eq!((code, of), (GIVE_UP, id));
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    // The end of the aborted one comes without a response, then nothing of it.
    assert_eq!(frontend.read_reply().unwrap().status, 0);
    let (_, _, id, ..) = stage.workers[0].next_command();
    drop(frontend);
    let (_, code, of, ..) = stage.workers[0].next_command();
    assert_eq!((code, of), (GIVE_UP, id));
}

#[test]
fn a_worker_is_known_by_its_uid_whoever_stood_at_its_address() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/again", REQUEST_ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stage.workers[0].answer(connection, SUCCEEDED, id, b"old");
    frontend.read_reply().unwrap();
    let at = stage.workers[0].address;
    stage.coordinator.next_poll();
    stage.coordinator.answer_with_events(&endpoint_event(
        2,
        false,
        &[endpoint_json("w0", at, "Gone"), endpoint_json("new", at, "Ready")],
    ));
    // The connection to the one that has gone is closed, and the newcomer gets one of its own.
    loop {
        if let WorkerEvent::Closed(closed) = stage.workers[0].next_event() {
            assert_eq!(closed, connection);
            break;
        }
    }
    send_request(&mut frontend, 1, &request_fields("/do/again", SECOND_REQUEST_ID));
    let (new, _, id, ..) = stage.workers[0].next_command();
    assert_ne!(new, connection);
    stage.workers[0].answer(new, SUCCEEDED, id, b"new");
    assert_eq!(frontend.read_reply().unwrap().body, b"new");
}

#[test]
fn the_list_stands_through_a_coordinator_that_breaks_off() {
    let mut stage = ClusterHarness::start(LAB, 2);
    let cut = endpoint_event(
        2,
        false,
        &[endpoint_json("w0", stage.workers[0].address, "Terminating")],
    );
    let half = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        cut.len(),
        &cut[..cut.len() / 2]
    );
    for answer in ["", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "noise", &half] {
        assert!(stage.coordinator.next_poll().contains("follow=1&"), "{answer}");
        stage.coordinator.answer_raw(answer.as_bytes().to_vec());
    }
    // Half an answer is found out by the time that was asked for; then the whole one counts.
    assert!(stage.coordinator.next_poll().contains("follow=1&"));
    stage.coordinator.answer_with_events(&cut);
    assert!(stage.coordinator.next_poll().contains("follow=2&"));
    let mut frontend = stage.frontend();
    for id in [REQUEST_ID, SECOND_REQUEST_ID] {
        send_request(&mut frontend, 1, &request_fields("/do/again", id));
        let (at, (connection, _, id, ..)) = stage.next_command();
        assert_eq!(at, 1, "a draining worker gets nothing new");
        stage.workers[at].answer(connection, SUCCEEDED, id, b"");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

#[test]
fn a_hang_up_signal_brings_another_coordinator_and_touches_no_request() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    std::fs::write(&stage.file, "{ half a file").unwrap();
    stage.send_signal("-HUP");
    let next = Coordinator::with_events(&endpoint_event(1, true, &[])).unwrap();
    stage.reload_config(next.address, r#"{"index":0,"updates":[]}"#);
    assert!(next.next_poll().contains("follow=1&"));
    stage.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn told_to_stop_it_serves_those_that_still_come_and_ends_well() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stage.send_signal("-TERM");
    let mut late = stage.frontend();
    loop {
        send_request(&mut late, 1, &request_fields("/check", SECOND_REQUEST_ID));
        if late.read_reply().unwrap().status == 503 {
            break;
        }
    }
    send_request(&mut late, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    let (other, _, late_id, ..) = stage.workers[0].next_command();
    stage.workers[0].answer(other, SUCCEEDED, late_id, b"late");
    assert_eq!(late.read_reply().unwrap().body, b"late");
    stage.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
    assert!(stage.wait_for_exit().success());
}

#[test]
fn a_client_that_reads_nothing_is_cut_and_others_go_on() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let (mut deaf, mut checks) = (stage.frontend(), stage.frontend());
    let said = vec![7; 60 << 10];
    let (mut requests, mut idle) = (0_u64, 0);
    // Far past what buffers hold; without a bound this would end at the largest number of requests.
    while requests < 2000 && idle < 1000 {
        if idle == 0
            && deaf
                .send(&Frontend::encode_request(
                    1,
                    &request_fields("/do/again", &format!("{requests:016x}")),
                ))
                .is_err()
        {
            break;
        }
        match stage.workers[0].try_next_command() {
            Some((connection, _, id, ..)) => {
                stage.workers[0].answer(connection, SUCCEEDED, id, &said);
                (requests, idle) = (requests + 1, 0);
            }
            // Each answered check is a turn of the scheduler's loop.
            None => idle += 1,
        }
        assert_eq!(
            request_and_reply(&mut checks, &request_fields("/check", REQUEST_ID)).status,
            200
        );
    }
    assert!(requests < 2000, "nothing stopped it");
    let mut whole = 0;
    while deaf.read_reply().is_ok() {
        whole += 1;
    }
    assert!(
        whole < requests,
        "the end of what it was sent shows that not all is there"
    );
}

#[test]
fn hundreds_of_silent_connections_leave_room_and_are_closed() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut silent: Vec<Frontend> = (0..300).map(|_| stage.frontend()).collect();
    let mut frontend = stage.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stage.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
    assert!(silent.iter_mut().all(|silent| silent.read_reply().is_err()));
    // One that has been answered may be held for good.
    send_request(&mut frontend, 1, &request_fields("/check", REQUEST_ID));
    assert_eq!(frontend.read_reply().unwrap().status, 200);
}

#[test]
fn a_thousand_workers_and_clients_leave_nothing_behind() {
    const REPLACED: u64 = 1000;
    let mut worker = Worker::start().unwrap();
    let at = worker.address;
    let known = endpoint_event(1, true, &[endpoint_json("w1", at, "Ready")]);
    let coordinator = Coordinator::with_events(&known).unwrap();
    let text = config_json(coordinator.address, &known);
    let config = quartzdrift_platform::config::parse(text.as_bytes()).unwrap();
    let mut event_loop = calloop::EventLoop::<Node>::try_new().unwrap();
    let mut node = Node::new(config, PathBuf::new(), event_loop.handle());
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let door = listener.local_addr().unwrap();
    node.listen(listener).unwrap();
    let replacing = std::thread::spawn(move || {
        for n in 2..=REPLACED {
            coordinator.next_poll();
            let (old, new) = (format!("w{}", n - 1), format!("w{n}"));
            coordinator.answer_with_events(&endpoint_event(
                n,
                false,
                &[endpoint_json(&old, at, "Gone"), endpoint_json(&new, at, "Ready")],
            ));
        }
        assert!(coordinator.next_poll().contains(&format!("follow={REPLACED}&")));
    });
    std::thread::spawn(move || {
        loop {
            let (connection, code, id, ..) = worker.next_command();
            if code != GIVE_UP {
                worker.answer(connection, SUCCEEDED, id, b"");
            }
        }
    });
    let asking = std::thread::spawn(move || {
        for n in 0..REPLACED {
            let id = format!("{n:016x}");
            let reply = request_and_reply(
                &mut Frontend::connect(door).unwrap(),
                &request_fields("/do/again", &id),
            );
            assert!([200, 503].contains(&reply.status), "{reply:?}");
        }
    });
    let at_rest = |node: &Node| matches!(node.table_sizes(), [0, 1, 0..=2, 0, 0]);
    while !(replacing.is_finished() && asking.is_finished() && at_rest(&node)) {
        let wait = node.next_wait();
        event_loop.dispatch(wait.timeout, &mut node).unwrap();
        node.turn(wait);
    }
    replacing.join().unwrap();
    asking.join().unwrap();
    assert_eq!(node.counts.taken, REPLACED);
}
