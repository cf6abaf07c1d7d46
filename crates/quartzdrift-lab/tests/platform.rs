//! Tests of a scheduler process with a fake frontend, workers and coordinator on loopback sockets: invalid
//! requests, worker faults, endpoint updates, signals, slow clients.
use quartzdrift::platform::Node;
use quartzdrift_lab::cluster_harness::{
    ClusterHarness, REQUEST_ID, SECOND_REQUEST_ID, SUCCEEDED, UnresponsiveListener, config_json,
    endpoint_event, endpoint_json, request_and_reply, request_fields, send_request,
};
use quartzdrift_lab::platform::{Coordinator, Frontend, RequestFields, Worker, WorkerEvent};
use std::net::TcpListener;
use std::path::PathBuf;

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
// Codes of worker answers, see `quartzdrift_platform::frame::AnswerCode`.
const CACHE_MISS: u8 = 66;
const AT_CAPACITY: u8 = 67;
const ALREADY_CONCLUDED: u8 = 69;
/// Code of the command that cancels an attempt.
const CANCEL: u8 = 49;

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 5, &request_fields("/do/again", REQUEST_ID));
    let (connection, code, id, fields, body) = cluster.workers[0].next_command();
    assert_eq!(
        (code, id, &body[..]),
        (48, 0x9b1f_03aa_5c7e_2d41, &b"the body"[..])
    );
    let (fields, max) = fields.rsplit_once(",max=").unwrap();
    assert_eq!(fields, "profile=again,thing=7f3a9c21e0b4d655");
    assert!((1..=50000).contains(&max.parse::<u32>().unwrap()));
    // The scheduler drops an answer with an unknown request id and a repeated answer; it keeps the
    // connection.
    cluster.workers[0].answer(connection, SUCCEEDED, 99, b"not asked for");
    let body: Vec<u8> = (0..=255).collect();
    cluster.workers[0].answer(connection, SUCCEEDED, id, &body);
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"second copy");
    let reply = frontend.read_reply().unwrap();
    assert_eq!((reply.fastcgi_id, reply.status, &reply.body), (5, 200, &body));
    send_request(&mut frontend, 5, &request_fields("/do/again", SECOND_REQUEST_ID));
    let (second_connection, _, id, ..) = cluster.workers[0].next_command();
    assert_eq!(second_connection, connection);
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"next");
    assert_eq!(frontend.read_reply().unwrap().body, b"next");
}

#[test]
fn every_attempt_of_a_keyed_request_carries_its_key_and_a_request_without_one_is_rejected() {
    let dedup = "\"effect\":\"dedup\",\"key-scope\":\"all\",\"window-ns\":8000000000";
    let mut cluster = ClusterHarness::with_config_changes(LAB, 2, &[("\"effect\":\"fragile\"", dedup)]);
    let mut frontend = cluster.frontend();
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
    // The first worker may have executed the request; the key lets the second worker recognize the retry.
    let (first, (connection, _, _, fields, _)) = cluster.next_command();
    assert!(fields.contains(",replay=0f3a-77,"), "{fields}");
    cluster.workers[first].close(connection);
    let (second, (connection, _, id, fields, _)) = cluster.next_command();
    assert!(second != first && fields.contains(",replay=0f3a-77,"), "{fields}");
    cluster.workers[second].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_worker_that_rejects_one_tenant_still_gets_requests_of_other_tenants() {
    let tenants = r#""tenants":[{"name":"a","quota-rps":10},{"name":"b","quota-rps":10}],"stats""#;
    let mut cluster = ClusterHarness::with_config_changes(LAB, 2, &[("\"stats\"", tenants)]);
    let mut frontend = cluster.frontend();
    // The worker answers that it is at capacity although its load report shows an empty queue: it limits this
    // tenant alone.
    send_request(
        &mut frontend,
        1,
        &RequestFields {
            tenant: "a",
            ..request_fields("/do/once", REQUEST_ID)
        },
    );
    let (rejecting, (connection, _, id, ..)) = cluster.next_command();
    cluster.workers[rejecting].answer(connection, AT_CAPACITY, id, b"");
    let (other, (connection, ..)) = cluster.next_command();
    cluster.workers[other].answer(connection, SUCCEEDED, id, b"");
    assert_eq!(frontend.read_reply().unwrap().status, 200);
    // No worker has loaded these functions: the hash of each decides which of the two workers is preferred.
    let mut requests_at_rejecting = |tenant, from| {
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
            let (worker, (connection, _, id, ..)) = cluster.next_command();
            cluster.workers[worker].answer(connection, SUCCEEDED, id, b"");
            assert_eq!(frontend.read_reply().unwrap().status, 200);
            worker
        });
        requests.filter(|worker| *worker == rejecting).count()
    };
    assert_eq!(
        requests_at_rejecting("a", 100),
        0,
        "requests of the rejected tenant at the worker"
    );
    // The configuration lists tenant `b` and does not list `c`.
    assert!(requests_at_rejecting("b", 200) > 0 && requests_at_rejecting("c", 300) > 0);
}

#[test]
fn invalid_requests_are_rejected_and_reach_no_worker() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    let valid = request_fields("/do/again", REQUEST_ID);
    for (invalid, status) in [
        (
            RequestFields {
                path: "/do/none",
                ..valid
            },
            404,
        ),
        (
            RequestFields {
                path: "/elsewhere",
                ..valid
            },
            404,
        ),
        (RequestFields { id: "", ..valid }, 400),
        (
            RequestFields {
                id: "9b1f03aa5c7e2d4,",
                ..valid
            },
            400,
        ),
        (
            RequestFields {
                function: "7f3a9c21e0b4,x=1",
                ..valid
            },
            400,
        ),
        (
            RequestFields {
                timeout_ms: "-1",
                ..valid
            },
            400,
        ),
        (
            RequestFields {
                timeout_ms: "99999999999",
                ..valid
            },
            400,
        ),
        (
            RequestFields {
                spec: "lanes:nan",
                ..valid
            },
            400,
        ),
        (
            RequestFields {
                idempotency_key: "a,x=1",
                ..valid
            },
            400,
        ),
    ] {
        assert_eq!(
            request_and_reply(&mut frontend, &invalid).status,
            status,
            "{invalid:?}"
        );
    }
    // A body over the size limit is rejected when the record header announces it, and the connection is
    // closed.
    let body = vec![0; 20 << 10];
    assert_eq!(
        request_and_reply(&mut frontend, &RequestFields { body: &body, ..valid }).status,
        413
    );
    assert!(frontend.read_reply().is_err());
    // A connection on which other bytes than FastCGI records arrive is closed.
    let mut other = cluster.frontend();
    other.send(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(other.read_reply().is_err());
    assert!(cluster.workers[0].has_no_event());
}

#[test]
fn a_second_request_with_the_id_of_an_open_one_is_rejected_and_the_open_one_continues() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let (mut first, mut second) = (cluster.frontend(), cluster.frontend());
    send_request(&mut first, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
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
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(first.read_reply().unwrap().body, b"done");
    // If both requests arrive on one connection, both are rejected and the attempt is cancelled.
    send_request(&mut first, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    cluster.workers[0].next_command();
    send_request(&mut first, 2, &request_fields("/do/once", SECOND_REQUEST_ID));
    let statuses = [
        first.read_reply().unwrap().status,
        first.read_reply().unwrap().status,
    ];
    assert_eq!(statuses, [409, 409]);
    assert_eq!(cluster.workers[0].next_command().1, CANCEL);
}

/// Corrupt answers with the name of the corrupt part. The scheduler must close the connection after each.
fn corrupt_answers(id: u64) -> Vec<(&'static str, Vec<u8>)> {
    let mut valid = Vec::new();
    quartzdrift_platform::frame::write(&mut valid, 193, SUCCEEDED, id, b"", b"spoilt");
    let with_byte = |index: usize, byte: u8| {
        let mut bytes = valid.clone();
        bytes[index] = byte;
        bytes
    };
    let oversized = [
        &[193, SUCCEEDED, 0, 0, 0xb2, 0xd0, 0x5e, 0][..],
        &id.to_be_bytes(),
    ]
    .concat();
    vec![
        ("mark", with_byte(0, 0)),
        ("code", with_byte(1, 65)),
        ("body", with_byte(17, b'x')),
        ("check", with_byte(valid.len() - 1, valid[valid.len() - 1] ^ 1)),
        ("three gigabytes", oversized),
        ("noise", b"HTTP/1.1 200 OK\r\n\r\nspoilt".to_vec()),
    ]
}

#[test]
fn a_corrupt_answer_is_not_forwarded_and_a_non_idempotent_request_is_not_retried() {
    let mut cluster = ClusterHarness::start(LAB, 2);
    let mut frontend = cluster.frontend();
    for (corrupt_part, bytes) in corrupt_answers(0x9b1f_03aa_5c7e_2d41) {
        send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
        let (worker, (connection, ..)) = cluster.next_command();
        cluster.workers[worker].send(connection, &bytes);
        // The request may have run: a retry could run it twice, and a rejection would deny that it ran.
        assert_eq!(frontend.read_reply().unwrap().status, 500, "{corrupt_part}");
        assert!(
            cluster
                .workers
                .iter_mut()
                .all(|worker| worker.try_next_command().is_none()),
            "{corrupt_part}"
        );
    }
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (worker, (connection, ..)) = cluster.next_command();
    cluster.workers[worker].close(connection);
    assert_eq!(frontend.read_reply().unwrap().status, 500);
}

#[test]
fn an_idempotent_request_is_retried_on_another_worker_after_a_corrupt_answer() {
    let mut cluster = ClusterHarness::start(LAB, 2);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/again", REQUEST_ID));
    let (first, (connection, _, id, ..)) = cluster.next_command();
    cluster.workers[first].send(connection, b"\xc1\x41 what is this");
    let (second, (connection, _, second_id, ..)) = cluster.next_command();
    assert!(second != first && second_id == id);
    cluster.workers[second].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_non_idempotent_request_that_did_not_run_is_sent_to_another_worker() {
    let mut cluster = ClusterHarness::start(LAB, 2);
    let mut frontend = cluster.frontend();
    for code in [CACHE_MISS, AT_CAPACITY, ALREADY_CONCLUDED] {
        send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
        let (first, (connection, _, id, ..)) = cluster.next_command();
        cluster.workers[first].answer(connection, code, id, b"");
        let (second, (connection, ..)) = cluster.next_command();
        assert_ne!(first, second);
        cluster.workers[second].answer(connection, SUCCEEDED, id, b"done");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

#[test]
fn a_refused_connection_is_not_an_attempt_and_the_rejection_carries_a_retry_time() {
    let cluster = ClusterHarness::start(LAB, 0);
    let mut frontend = cluster.frontend();
    let closed_port = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    // The readiness check fails while no worker is listed.
    assert_eq!(
        request_and_reply(&mut frontend, &request_fields("/check", REQUEST_ID)).status,
        503
    );
    cluster.coordinator.next_poll();
    cluster.coordinator.answer_with_events(&endpoint_event(
        2,
        false,
        &[endpoint_json("w9", closed_port, "Ready")],
    ));
    // The next poll asks for events after index 2, so the scheduler has applied the event.
    assert!(cluster.coordinator.next_poll().contains("follow=2"));
    assert_eq!(
        request_and_reply(&mut frontend, &request_fields("/check", REQUEST_ID)).status,
        200
    );
    let reply = request_and_reply(&mut frontend, &request_fields("/do/once", REQUEST_ID));
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("Retry-After-Ms: "), "{}", reply.head);
}

#[test]
fn a_stale_idle_connection_fails_no_request() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    let connection = cluster.idle_connection(&mut frontend, REQUEST_ID);
    cluster.workers[0].close_on_ping();
    // The scheduler pings an idle connection before it sends a non-idempotent request on it.
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    assert!(matches!(cluster.workers[0].next_event(), WorkerEvent::Ping(pinged) if pinged == connection));
    let (other, _, id, ..) = cluster.workers[0].next_command();
    assert_ne!(other, connection);
    cluster.workers[0].answer(other, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_request_for_an_unreachable_worker_is_rejected_after_the_connect_timeout() {
    let cluster = ClusterHarness::start(LAB, 0);
    let mut frontend = cluster.frontend();
    let unreachable = UnresponsiveListener::start().unwrap();
    let address = unreachable.address;
    cluster.coordinator.next_poll();
    cluster.coordinator.answer_with_events(&endpoint_event(
        2,
        false,
        &[endpoint_json("w0", address, "Ready")],
    ));
    assert!(cluster.coordinator.next_poll().contains("follow=2&"));
    let reply = request_and_reply(&mut frontend, &request_fields("/do/once", REQUEST_ID));
    assert!(
        reply.status == 503 && reply.head.contains("Retry-After-Ms: "),
        "not a rejection with a retry time: {reply:?}"
    );
}

#[test]
fn a_request_that_waits_for_a_connection_moves_to_another_worker_when_its_worker_drains() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 0, &[("250000000", "60000000000")]);
    let mut frontend = cluster.frontend();
    let unreachable = UnresponsiveListener::start().unwrap();
    let address = unreachable.address;
    cluster.coordinator.next_poll();
    cluster.coordinator.answer_with_events(&endpoint_event(
        2,
        false,
        &[endpoint_json("w0", address, "Ready")],
    ));
    assert!(cluster.coordinator.next_poll().contains("follow=2&"));
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    // The answer to a later request on the same connection shows that the scheduler has read the first one.
    send_request(&mut frontend, 2, &request_fields("/check", SECOND_REQUEST_ID));
    assert_eq!(frontend.read_reply().unwrap().fastcgi_id, 2);
    cluster.workers.push(Worker::start().unwrap());
    let ready = cluster.workers[0].address;
    cluster.coordinator.answer_with_events(&endpoint_event(
        3,
        false,
        &[
            endpoint_json("w0", address, "Terminating"),
            endpoint_json("w1", ready, "Ready"),
        ],
    ));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"elsewhere");
    assert_eq!(frontend.read_reply().unwrap().body, b"elsewhere");
}

#[test]
fn an_attempt_is_cancelled_when_its_client_aborts_or_disconnects() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (_, _, id, ..) = cluster.workers[0].next_command();
    let mut abort = Vec::new();
    quartzdrift_fastcgi::write_record(&mut abort, quartzdrift_fastcgi::ABORT_REQUEST, 1, b"");
    frontend.send(&abort).unwrap();
    let (_, code, cancelled_id, ..) = cluster.workers[0].next_command();
    assert_eq!((code, cancelled_id), (CANCEL, id));
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    // The aborted request ends without a response, and no further record of it follows.
    assert_eq!(frontend.read_reply().unwrap().status, 0);
    let (_, _, id, ..) = cluster.workers[0].next_command();
    drop(frontend);
    let (_, code, cancelled_id, ..) = cluster.workers[0].next_command();
    assert_eq!((code, cancelled_id), (CANCEL, id));
}

#[test]
fn a_new_uid_at_a_known_address_is_a_new_worker() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/again", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"old");
    frontend.read_reply().unwrap();
    let address = cluster.workers[0].address;
    cluster.coordinator.next_poll();
    cluster.coordinator.answer_with_events(&endpoint_event(
        2,
        false,
        &[
            endpoint_json("w0", address, "Gone"),
            endpoint_json("new", address, "Ready"),
        ],
    ));
    // The scheduler closes the connection of the worker that is gone and opens one for the new worker.
    loop {
        if let WorkerEvent::Closed(closed) = cluster.workers[0].next_event() {
            assert_eq!(closed, connection);
            break;
        }
    }
    send_request(&mut frontend, 1, &request_fields("/do/again", SECOND_REQUEST_ID));
    let (new_connection, _, id, ..) = cluster.workers[0].next_command();
    assert_ne!(new_connection, connection);
    cluster.workers[0].answer(new_connection, SUCCEEDED, id, b"new");
    assert_eq!(frontend.read_reply().unwrap().body, b"new");
}

#[test]
fn the_endpoint_list_survives_failed_and_incomplete_coordinator_answers() {
    let mut cluster = ClusterHarness::start(LAB, 2);
    let draining_event = endpoint_event(
        2,
        false,
        &[endpoint_json("w0", cluster.workers[0].address, "Terminating")],
    );
    let incomplete = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        draining_event.len(),
        &draining_event[..draining_event.len() / 2]
    );
    for answer in [
        "",
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        "noise",
        &incomplete,
    ] {
        assert!(cluster.coordinator.next_poll().contains("follow=1&"), "{answer}");
        cluster.coordinator.answer_raw(answer.as_bytes().to_vec());
    }
    // The scheduler waits for the rest of an incomplete answer until the poll times out, and polls again.
    assert!(cluster.coordinator.next_poll().contains("follow=1&"));
    cluster.coordinator.answer_with_events(&draining_event);
    assert!(cluster.coordinator.next_poll().contains("follow=2&"));
    let mut frontend = cluster.frontend();
    for id in [REQUEST_ID, SECOND_REQUEST_ID] {
        send_request(&mut frontend, 1, &request_fields("/do/again", id));
        let (worker, (connection, _, id, ..)) = cluster.next_command();
        assert_eq!(worker, 1, "a draining worker received a new request");
        cluster.workers[worker].answer(connection, SUCCEEDED, id, b"");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

#[test]
fn a_hangup_signal_changes_the_coordinator_and_keeps_open_requests() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    std::fs::write(&cluster.file, "{ half a file").unwrap();
    cluster.send_signal("-HUP");
    let new_coordinator = Coordinator::with_events(&endpoint_event(1, true, &[])).unwrap();
    cluster.reload_config(new_coordinator.address, r#"{"index":0,"updates":[]}"#);
    assert!(new_coordinator.next_poll().contains("follow=1&"));
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_stopping_scheduler_serves_open_and_new_requests_and_exits_successfully() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    cluster.send_signal("-TERM");
    let mut late = cluster.frontend();
    loop {
        send_request(&mut late, 1, &request_fields("/check", SECOND_REQUEST_ID));
        if late.read_reply().unwrap().status == 503 {
            break;
        }
    }
    send_request(&mut late, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    let (late_connection, _, late_id, ..) = cluster.workers[0].next_command();
    cluster.workers[0].answer(late_connection, SUCCEEDED, late_id, b"late");
    assert_eq!(late.read_reply().unwrap().body, b"late");
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
    assert!(cluster.wait_for_exit().success());
}

#[test]
fn a_client_that_reads_nothing_is_disconnected_and_other_clients_are_served() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let (mut not_reading, mut checks) = (cluster.frontend(), cluster.frontend());
    let body = vec![7; 60 << 10];
    let (mut requests, mut idle_checks) = (0_u64, 0);
    // 2000 replies far exceed the socket buffers; a scheduler that buffers without a bound accepts them all.
    while requests < 2000 && idle_checks < 1000 {
        if idle_checks == 0
            && not_reading
                .send(&Frontend::encode_request(
                    1,
                    &request_fields("/do/again", &format!("{requests:016x}")),
                ))
                .is_err()
        {
            break;
        }
        match cluster.workers[0].try_next_command() {
            Some((connection, _, id, ..)) => {
                cluster.workers[0].answer(connection, SUCCEEDED, id, &body);
                (requests, idle_checks) = (requests + 1, 0);
            }
            // Each answered check takes one iteration of the scheduler's event loop.
            None => idle_checks += 1,
        }
        assert_eq!(
            request_and_reply(&mut checks, &request_fields("/check", REQUEST_ID)).status,
            200
        );
    }
    assert!(requests < 2000, "the scheduler buffered {requests} replies");
    let mut whole_replies = 0;
    while not_reading.read_reply().is_ok() {
        whole_replies += 1;
    }
    assert!(
        whole_replies < requests,
        "a client that reads nothing received all {requests} replies"
    );
}

#[test]
fn three_hundred_silent_connections_do_not_block_requests_and_are_closed() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut silent: Vec<Frontend> = (0..300).map(|_| cluster.frontend()).collect();
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
    assert!(silent.iter_mut().all(|silent| silent.read_reply().is_err()));
    // A connection on which a request was answered stays open.
    send_request(&mut frontend, 1, &request_fields("/check", REQUEST_ID));
    assert_eq!(frontend.read_reply().unwrap().status, 200);
}

#[test]
fn tables_shrink_again_after_a_thousand_workers_and_clients() {
    const REPLACED: u64 = 1000;
    let mut worker = Worker::start().unwrap();
    let address = worker.address;
    let known = endpoint_event(1, true, &[endpoint_json("w1", address, "Ready")]);
    let coordinator = Coordinator::with_events(&known).unwrap();
    let text = config_json(coordinator.address, &known);
    let config = quartzdrift_platform::config::parse(text.as_bytes()).unwrap();
    let mut event_loop = calloop::EventLoop::<Node>::try_new().unwrap();
    let mut node = Node::new(config, PathBuf::new(), event_loop.handle());
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let frontend_address = listener.local_addr().unwrap();
    node.listen(listener).unwrap();
    let replacement = std::thread::spawn(move || {
        for n in 2..=REPLACED {
            coordinator.next_poll();
            let (old, new) = (format!("w{}", n - 1), format!("w{n}"));
            coordinator.answer_with_events(&endpoint_event(
                n,
                false,
                &[
                    endpoint_json(&old, address, "Gone"),
                    endpoint_json(&new, address, "Ready"),
                ],
            ));
        }
        assert!(coordinator.next_poll().contains(&format!("follow={REPLACED}&")));
    });
    std::thread::spawn(move || {
        loop {
            let (connection, code, id, ..) = worker.next_command();
            if code != CANCEL {
                worker.answer(connection, SUCCEEDED, id, b"");
            }
        }
    });
    let client = std::thread::spawn(move || {
        for n in 0..REPLACED {
            let id = format!("{n:016x}");
            let reply = request_and_reply(
                &mut Frontend::connect(frontend_address).unwrap(),
                &request_fields("/do/again", &id),
            );
            assert!([200, 503].contains(&reply.status), "{reply:?}");
        }
    });
    // One worker, at most two connections to it, and no client, attempt or open request id.
    let is_idle = |node: &Node| matches!(node.table_sizes(), [0, 1, 0..=2, 0, 0]);
    while !(replacement.is_finished() && client.is_finished() && is_idle(&node)) {
        let wait = node.next_wait();
        event_loop.dispatch(wait.timeout, &mut node).unwrap();
        node.turn(wait);
    }
    replacement.join().unwrap();
    client.join().unwrap();
    assert_eq!(node.counts.taken, REPLACED);
}
