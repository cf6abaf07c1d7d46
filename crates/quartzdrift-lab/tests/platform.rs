//! A scheduler process on the platform's sockets, against fakes on loopback: the hard cases.
use quartzdrift::platform::Node;
use quartzdrift_lab::platform::{Coordinator, Frontend, RequestFields, Worker, WorkerEvent};
use quartzdrift_lab::stage::{
    DONE, ID, OTHER, Stage, Vanished, ask, ask_and_reply, asked, config, event, target,
};
use std::net::TcpListener;
use std::path::PathBuf;

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
const MISS: u8 = 66;
const FULL: u8 = 67;
const OVER: u8 = 69;
const GIVE_UP: u8 = 49;

#[test]
fn a_request_goes_out_as_it_came_and_its_answer_comes_back_unchanged() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 5, &asked("/do/again", ID));
    let (connection, code, id, fields, body) = stage.workers[0].next_command();
    assert_eq!(
        (code, id, &body[..]),
        (48, 0x9b1f_03aa_5c7e_2d41, &b"the body"[..])
    );
    let (fields, max) = fields.rsplit_once(",max=").unwrap();
    assert_eq!(fields, "profile=again,thing=7f3a9c21e0b4d655");
    assert!((1..=50000).contains(&max.parse::<u32>().unwrap()));
    // Before it, an answer under an unknown id; after it, a second copy. Both are dropped, and the connection lives.
    stage.workers[0].answer(connection, DONE, 99, b"not asked for");
    let said: Vec<u8> = (0..=255).collect();
    stage.workers[0].answer(connection, DONE, id, &said);
    stage.workers[0].answer(connection, DONE, id, b"second copy");
    let reply = frontend.read_reply().unwrap();
    assert_eq!((reply.fastcgi_id, reply.status, &reply.body), (5, 200, &said));
    ask(&mut frontend, 5, &asked("/do/again", OTHER));
    let (again, _, id, ..) = stage.workers[0].next_command();
    assert_eq!(again, connection);
    stage.workers[0].answer(connection, DONE, id, b"next");
    assert_eq!(frontend.read_reply().unwrap().body, b"next");
}

#[test]
fn a_keyed_request_carries_its_idempotency_key_to_every_worker_and_none_goes_without() {
    let dedup = "\"effect\":\"dedup\",\"key-scope\":\"all\",\"window-ns\":8000000000";
    let mut stage = Stage::with(LAB, 2, &[("\"effect\":\"fragile\"", dedup)]);
    let mut frontend = stage.frontend();
    assert_eq!(ask_and_reply(&mut frontend, &asked("/do/once", ID)).status, 400);
    ask(
        &mut frontend,
        1,
        &RequestFields {
            idempotency_key: "0f3a-77",
            ..asked("/do/once", ID)
        },
    );
    // The first may have run it; the second can tell the repeat, as it hears the same.
    let (first, (connection, _, _, fields, _)) = stage.command();
    assert!(fields.contains(",replay=0f3a-77,"), "{fields}");
    stage.workers[first].close(connection);
    let (second, (connection, _, id, again, _)) = stage.command();
    assert!(second != first && again.contains(",replay=0f3a-77,"), "{again}");
    stage.workers[second].answer(connection, DONE, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_worker_that_turns_one_tenant_away_stays_open_to_the_others() {
    let tenants = r#""tenants":[{"name":"a","quota-rps":10},{"name":"b","quota-rps":10}],"stats""#;
    let mut stage = Stage::with(LAB, 2, &[("\"stats\"", tenants)]);
    let mut frontend = stage.frontend();
    // Full for this request, though by its report it has room: it has no more for this tenant.
    ask(
        &mut frontend,
        1,
        &RequestFields {
            tenant: "a",
            ..asked("/do/once", ID)
        },
    );
    let (turns, (connection, _, id, ..)) = stage.command();
    stage.workers[turns].answer(connection, FULL, id, b"");
    let (other, (connection, ..)) = stage.command();
    stage.workers[other].answer(connection, DONE, id, b"");
    assert_eq!(frontend.read_reply().unwrap().status, 200);
    // Functions that nobody has loaded are at home at one of the two by chance.
    let mut met = |tenant, from| {
        let requests = (from..from + 12).map(|n| {
            let (id, function) = (format!("{n:016x}"), format!("{n:016x}"));
            ask(
                &mut frontend,
                1,
                &RequestFields {
                    tenant,
                    function: &function,
                    ..asked("/do/once", &id)
                },
            );
            let (at, (connection, _, id, ..)) = stage.command();
            stage.workers[at].answer(connection, DONE, id, b"");
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
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    let good = asked("/do/again", ID);
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
        assert_eq!(ask_and_reply(&mut frontend, &bad).status, status, "{bad:?}");
    }
    // Too large a body is refused from its head, and ends its connection.
    let body = vec![0; 20 << 10];
    assert_eq!(
        ask_and_reply(&mut frontend, &RequestFields { body: &body, ..good }).status,
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
    let mut stage = Stage::start(LAB, 1);
    let (mut first, mut second) = (stage.frontend(), stage.frontend());
    ask(&mut first, 1, &asked("/do/once", ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    assert_eq!(
        ask_and_reply(
            &mut second,
            &RequestFields {
                body: b"other",
                ..asked("/do/once", ID)
            }
        )
        .status,
        409
    );
    stage.workers[0].answer(connection, DONE, id, b"done");
    assert_eq!(first.read_reply().unwrap().body, b"done");
    // Where both come over one connection, neither is trusted, and the worker is told.
    ask(&mut first, 1, &asked("/do/once", OTHER));
    stage.workers[0].next_command();
    ask(&mut first, 2, &asked("/do/once", OTHER));
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
    quartzdrift_platform::frame::write(&mut good, 193, DONE, id, b"", b"spoilt");
    let with = |at: usize, byte: u8| {
        let mut bytes = good.clone();
        bytes[at] = byte;
        bytes
    };
    let huge = [&[193, DONE, 0, 0, 0xb2, 0xd0, 0x5e, 0][..], &id.to_be_bytes()].concat();
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
    let mut stage = Stage::start(LAB, 2);
    let mut frontend = stage.frontend();
    for (what, bytes) in spoilt(0x9b1f_03aa_5c7e_2d41) {
        ask(&mut frontend, 1, &asked("/do/once", ID));
        let (at, (connection, ..)) = stage.command();
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
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (at, (connection, ..)) = stage.command();
    stage.workers[at].close(connection);
    assert_eq!(frontend.read_reply().unwrap().status, 500);
}

#[test]
fn an_idempotent_request_runs_elsewhere_after_a_spoilt_answer() {
    let mut stage = Stage::start(LAB, 2);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/again", ID));
    let (first, (connection, _, id, ..)) = stage.command();
    stage.workers[first].send(connection, b"\xc1\x41 what is this");
    let (second, (connection, _, again, ..)) = stage.command();
    assert!(second != first && again == id);
    stage.workers[second].answer(connection, DONE, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn what_never_ran_goes_elsewhere_also_where_it_may_run_only_once() {
    let mut stage = Stage::start(LAB, 2);
    let mut frontend = stage.frontend();
    for code in [MISS, FULL, OVER] {
        ask(&mut frontend, 1, &asked("/do/once", ID));
        let (first, (connection, _, id, ..)) = stage.command();
        stage.workers[first].answer(connection, code, id, b"");
        let (second, (connection, ..)) = stage.command();
        assert_ne!(first, second);
        stage.workers[second].answer(connection, DONE, id, b"done");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

#[test]
fn a_refused_connection_is_no_attempt_and_without_a_worker_left_there_is_a_time_to_come_back() {
    let stage = Stage::start(LAB, 0);
    let mut frontend = stage.frontend();
    let gone = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    // Without a worker no request can be taken, and the check says so.
    assert_eq!(ask_and_reply(&mut frontend, &asked("/check", ID)).status, 503);
    stage.coordinator.next_poll();
    stage
        .coordinator
        .answer_with_events(&event(2, false, &[target("w9", gone, "Ready")]));
    // The next poll follows from there: the news has been taken.
    assert!(stage.coordinator.next_poll().contains("follow=2"));
    assert_eq!(ask_and_reply(&mut frontend, &asked("/check", ID)).status, 200);
    let reply = ask_and_reply(&mut frontend, &asked("/do/once", ID));
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("Retry-After-Ms: "), "{}", reply.head);
}

#[test]
fn a_connection_that_was_forgotten_while_idle_costs_no_request() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    let connection = stage.rested(&mut frontend, ID);
    stage.workers[0].close_on_ping();
    // RequestFields first, so that nothing that may run once is written to a connection in doubt.
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    assert!(matches!(stage.workers[0].next_event(), WorkerEvent::Ping(asked) if asked == connection));
    let (other, _, id, ..) = stage.workers[0].next_command();
    assert_ne!(other, connection);
    stage.workers[0].answer(other, DONE, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn a_machine_that_has_vanished_costs_the_connect_timeout_and_no_request() {
    let stage = Stage::start(LAB, 0);
    let mut frontend = stage.frontend();
    let vanished = Vanished::start().unwrap();
    let at = vanished.at;
    stage.coordinator.next_poll();
    stage
        .coordinator
        .answer_with_events(&event(2, false, &[target("w0", at, "Ready")]));
    assert!(stage.coordinator.next_poll().contains("follow=2&"));
    let reply = ask_and_reply(&mut frontend, &asked("/do/once", ID));
    assert!(
        reply.status == 503 && reply.head.contains("Retry-After-Ms: "),
        "it never ran: {reply:?}"
    );
}

#[test]
fn what_waits_for_a_slow_connection_goes_elsewhere_once_its_worker_drains() {
    let mut stage = Stage::with(LAB, 0, &[("250000000", "60000000000")]);
    let mut frontend = stage.frontend();
    let vanished = Vanished::start().unwrap();
    let at = vanished.at;
    stage.coordinator.next_poll();
    stage
        .coordinator
        .answer_with_events(&event(2, false, &[target("w0", at, "Ready")]));
    assert!(stage.coordinator.next_poll().contains("follow=2&"));
    ask(&mut frontend, 1, &asked("/do/once", ID));
    // The request has been taken once a later one on the same connection is answered.
    ask(&mut frontend, 2, &asked("/check", OTHER));
    assert_eq!(frontend.read_reply().unwrap().fastcgi_id, 2);
    stage.workers.push(Worker::start().unwrap());
    let there = stage.workers[0].address;
    stage.coordinator.answer_with_events(&event(
        3,
        false,
        &[target("w0", at, "Terminating"), target("w1", there, "Ready")],
    ));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stage.workers[0].answer(connection, DONE, id, b"elsewhere");
    assert_eq!(frontend.read_reply().unwrap().body, b"elsewhere");
}

#[test]
fn whoever_leaves_has_its_attempt_given_up() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (_, _, id, ..) = stage.workers[0].next_command();
    let mut abort = Vec::new();
    quartzdrift_fastcgi::write_record(&mut abort, quartzdrift_fastcgi::ABORT_REQUEST, 1, b"");
    frontend.send(&abort).unwrap();
    let (_, code, of, ..) = stage.workers[0].next_command();
    assert_eq!((code, of), (GIVE_UP, id));
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    // The end of the aborted one comes without a response, then nothing of it.
    assert_eq!(frontend.read_reply().unwrap().status, 0);
    let (_, _, id, ..) = stage.workers[0].next_command();
    drop(frontend);
    let (_, code, of, ..) = stage.workers[0].next_command();
    assert_eq!((code, of), (GIVE_UP, id));
}

#[test]
fn a_worker_is_known_by_its_uid_whoever_stood_at_its_address() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/again", ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stage.workers[0].answer(connection, DONE, id, b"old");
    frontend.read_reply().unwrap();
    let at = stage.workers[0].address;
    stage.coordinator.next_poll();
    stage.coordinator.answer_with_events(&event(
        2,
        false,
        &[target("w0", at, "Gone"), target("new", at, "Ready")],
    ));
    // The connection to the one that has gone is closed, and the newcomer gets one of its own.
    loop {
        if let WorkerEvent::Closed(closed) = stage.workers[0].next_event() {
            assert_eq!(closed, connection);
            break;
        }
    }
    ask(&mut frontend, 1, &asked("/do/again", OTHER));
    let (new, _, id, ..) = stage.workers[0].next_command();
    assert_ne!(new, connection);
    stage.workers[0].answer(new, DONE, id, b"new");
    assert_eq!(frontend.read_reply().unwrap().body, b"new");
}

#[test]
fn the_list_stands_through_a_coordinator_that_breaks_off() {
    let mut stage = Stage::start(LAB, 2);
    let cut = event(2, false, &[target("w0", stage.workers[0].address, "Terminating")]);
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
    for id in [ID, OTHER] {
        ask(&mut frontend, 1, &asked("/do/again", id));
        let (at, (connection, _, id, ..)) = stage.command();
        assert_eq!(at, 1, "a draining worker gets nothing new");
        stage.workers[at].answer(connection, DONE, id, b"");
        assert_eq!(frontend.read_reply().unwrap().status, 200);
    }
}

#[test]
fn a_hang_up_signal_brings_another_coordinator_and_touches_no_request() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    std::fs::write(&stage.file, "{ half a file").unwrap();
    stage.signal("-HUP");
    let next = Coordinator::with_events(&event(1, true, &[])).unwrap();
    stage.hang_up(next.address, r#"{"index":0,"updates":[]}"#);
    assert!(next.next_poll().contains("follow=1&"));
    stage.workers[0].answer(connection, DONE, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
}

#[test]
fn told_to_stop_it_serves_those_that_still_come_and_ends_well() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stage.signal("-TERM");
    let mut late = stage.frontend();
    loop {
        ask(&mut late, 1, &asked("/check", OTHER));
        if late.read_reply().unwrap().status == 503 {
            break;
        }
    }
    ask(&mut late, 1, &asked("/do/once", OTHER));
    let (other, _, late_id, ..) = stage.workers[0].next_command();
    stage.workers[0].answer(other, DONE, late_id, b"late");
    assert_eq!(late.read_reply().unwrap().body, b"late");
    stage.workers[0].answer(connection, DONE, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
    assert!(stage.ends().success());
}

#[test]
fn a_client_that_reads_nothing_is_cut_and_others_go_on() {
    let mut stage = Stage::start(LAB, 1);
    let (mut deaf, mut checks) = (stage.frontend(), stage.frontend());
    let said = vec![7; 60 << 10];
    let (mut requests, mut idle) = (0_u64, 0);
    // Far past what buffers hold; without a bound this would end at the largest number of requests.
    while requests < 2000 && idle < 1000 {
        if idle == 0
            && deaf
                .send(&Frontend::encode_request(
                    1,
                    &asked("/do/again", &format!("{requests:016x}")),
                ))
                .is_err()
        {
            break;
        }
        match stage.workers[0].try_next_command() {
            Some((connection, _, id, ..)) => {
                stage.workers[0].answer(connection, DONE, id, &said);
                (requests, idle) = (requests + 1, 0);
            }
            // Each answered check is a turn of the scheduler's loop.
            None => idle += 1,
        }
        assert_eq!(ask_and_reply(&mut checks, &asked("/check", ID)).status, 200);
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
    let mut stage = Stage::start(LAB, 1);
    let mut silent: Vec<Frontend> = (0..300).map(|_| stage.frontend()).collect();
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (connection, _, id, ..) = stage.workers[0].next_command();
    stage.workers[0].answer(connection, DONE, id, b"done");
    assert_eq!(frontend.read_reply().unwrap().body, b"done");
    assert!(silent.iter_mut().all(|silent| silent.read_reply().is_err()));
    // One that has been answered may be held for good.
    ask(&mut frontend, 1, &asked("/check", ID));
    assert_eq!(frontend.read_reply().unwrap().status, 200);
}

#[test]
fn a_thousand_workers_and_clients_leave_nothing_behind() {
    const REPLACED: u64 = 1000;
    let mut worker = Worker::start().unwrap();
    let at = worker.address;
    let known = event(1, true, &[target("w1", at, "Ready")]);
    let coordinator = Coordinator::with_events(&known).unwrap();
    let text = config(coordinator.address, &known);
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
            coordinator.answer_with_events(&event(
                n,
                false,
                &[target(&old, at, "Gone"), target(&new, at, "Ready")],
            ));
        }
        assert!(coordinator.next_poll().contains(&format!("follow={REPLACED}&")));
    });
    std::thread::spawn(move || {
        loop {
            let (connection, code, id, ..) = worker.next_command();
            if code != GIVE_UP {
                worker.answer(connection, DONE, id, b"");
            }
        }
    });
    let asking = std::thread::spawn(move || {
        for n in 0..REPLACED {
            let id = format!("{n:016x}");
            let reply = ask_and_reply(&mut Frontend::connect(door).unwrap(), &asked("/do/again", &id));
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
