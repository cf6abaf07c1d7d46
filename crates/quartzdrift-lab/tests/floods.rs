//! Tests of a scheduler process under request floods, with peers that send byte by byte, incomplete answers,
//! retries after a short deduplication window, and a long endpoint list at the start.
use quartzdrift_lab::cluster_harness::{
    ClusterHarness, REQUEST_ID, SECOND_REQUEST_ID, SUCCEEDED, check_status, config_json, endpoint_event,
    endpoint_json, request_and_reply, request_fields, scheduler_command, send_request, serve_next_command,
};
use quartzdrift_lab::platform::{Coordinator, Frontend, RequestFields};
use quartzdrift_platform::frame;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");

/// Open requests on each connection of a client; the scheduler allows 32.
const REQUESTS_PER_CONNECTION: u16 = 30;

#[test]
fn each_request_of_a_flood_gets_exactly_one_reply() {
    const CONNECTIONS: u16 = 12;
    let mut cluster = ClusterHarness::start(LAB, 1);
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|connection| {
            let mut frontend = cluster.frontend();
            let bytes: Vec<u8> = (1..=REQUESTS_PER_CONNECTION)
                .flat_map(|fastcgi_id| {
                    let id = format!("{:016x}", u64::from(connection) << 16 | u64::from(fastcgi_id));
                    Frontend::encode_request(fastcgi_id, &request_fields("/do/again", &id))
                })
                .collect();
            thread::spawn(move || {
                frontend.send(&bytes).unwrap();
                let mut statuses = BTreeMap::new();
                for _ in 0..REQUESTS_PER_CONNECTION {
                    let reply = frontend.read_reply().unwrap();
                    let earlier_status = statuses.insert(reply.fastcgi_id, reply.status);
                    assert_eq!(
                        earlier_status, None,
                        "second reply to request {}",
                        reply.fastcgi_id
                    );
                }
                statuses
            })
        })
        .collect();
    while clients.iter().any(|client| !client.is_finished()) {
        if let Some((connection, _, id, ..)) = cluster.workers[0].try_next_command() {
            cluster.workers[0].answer(connection, SUCCEEDED, id, b"");
        }
    }
    let mut served = 0;
    for client in clients {
        let statuses = client.join().unwrap();
        assert!(
            statuses.values().all(|status| [200, 503].contains(status)),
            "{statuses:?}"
        );
        served += statuses.values().filter(|status| **status == 200).count();
    }
    assert!(served > 0);
    assert_eq!(check_status(&mut cluster.frontend()), 200);
}

/// Guards against memory that counts as held for clients after they have received their responses, so that
/// requests of others are refused.
#[test]
fn large_responses_that_were_received_leave_the_memory_to_other_clients() {
    const CLIENTS: u64 = 40;
    const RESPONSE_BYTES: usize = 60 << 10;
    let limits = ("\"sockets\":128", "\"sockets\":128,\"memory_mb\":4");
    let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[limits]);
    let mut clients: Vec<Frontend> = Vec::new();
    for n in 0..CLIENTS {
        let mut frontend = cluster.frontend();
        send_request(
            &mut frontend,
            1,
            &request_fields("/do/again", &format!("{n:016x}")),
        );
        serve_next_command(&mut cluster.workers[0], &mut frontend, &[7; RESPONSE_BYTES]);
        clients.push(frontend);
    }
    let request = RequestFields {
        body: &[7; 16 << 10],
        ..request_fields("/do/again", REQUEST_ID)
    };
    send_request(&mut clients[0], 1, &request);
    serve_next_command(&mut cluster.workers[0], &mut clients[0], b"served");
}

#[test]
fn an_answer_that_ends_after_its_header_counts_as_lost() {
    let mut cluster = ClusterHarness::start(LAB, 2);
    let mut frontend = cluster.frontend();
    for (path, id) in [("/do/once", REQUEST_ID), ("/do/again", SECOND_REQUEST_ID)] {
        send_request(&mut frontend, 1, &request_fields(path, id));
        let (first, (connection, _, id, ..)) = cluster.next_command();
        let mut answer = Vec::new();
        frame::write(
            &mut answer,
            frame::FROM_WORKER,
            SUCCEEDED,
            id,
            b"report=queue:1",
            b"half of it",
        );
        cluster.workers[first].send(connection, &answer[..frame::HEADER_BYTES]);
        cluster.workers[first].close(connection);
        if path == "/do/once" {
            let reply = frontend.read_reply().unwrap();
            assert_eq!(
                reply.status, 500,
                "a non-idempotent request that may have run must not be retried"
            );
            continue;
        }
        let (second, (connection, _, id, ..)) = cluster.next_command();
        assert_ne!(second, first);
        cluster.workers[second].answer(connection, SUCCEEDED, id, b"whole");
        assert_eq!(frontend.read_reply().unwrap().body, b"whole");
    }
}

#[test]
fn requests_and_answers_that_arrive_byte_by_byte_are_read() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let (mut slow, mut checks) = (cluster.frontend(), cluster.frontend());
    for byte in Frontend::encode_request(1, &request_fields("/do/once", REQUEST_ID)) {
        slow.send(&[byte]).unwrap();
        // Each answered check takes one iteration of the scheduler's event loop, which reads the byte.
        assert_eq!(check_status(&mut checks), 200);
    }
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    let mut answer = Vec::new();
    frame::write(
        &mut answer,
        frame::FROM_WORKER,
        SUCCEEDED,
        id,
        b"report=queue:1",
        b"done",
    );
    for byte in answer {
        cluster.workers[0].send(connection, &[byte]);
        assert_eq!(check_status(&mut checks), 200);
    }
    assert_eq!(slow.read_reply().unwrap().body, b"done");
}

#[test]
fn a_keyed_request_is_retried_within_its_deduplication_window_and_not_after_it() {
    for (window_ns, is_retried) in [("8000000000", true), ("100000000", false)] {
        let keyed = format!("\"effect\":\"dedup\",\"key-scope\":\"all\",\"window-ns\":{window_ns}");
        let mut cluster = ClusterHarness::with_config_changes(LAB, 2, &[("\"effect\":\"fragile\"", &keyed)]);
        let mut frontend = cluster.frontend();
        let request = RequestFields {
            idempotency_key: "0f3a",
            ..request_fields("/do/once", REQUEST_ID)
        };
        send_request(&mut frontend, 1, &request);
        let (first, (connection, ..)) = cluster.next_command();
        let sent = Instant::now();
        let mut checks = cluster.frontend();
        while sent.elapsed() < Duration::from_millis(150) {
            assert_eq!(check_status(&mut checks), 200);
        }
        cluster.workers[first].close(connection);
        if is_retried {
            let (second, (connection, _, id, ..)) = cluster.next_command();
            assert_ne!(second, first);
            cluster.workers[second].answer(connection, SUCCEEDED, id, b"done");
            assert_eq!(frontend.read_reply().unwrap().body, b"done");
        } else {
            let reply = frontend.read_reply().unwrap();
            assert_ne!(reply.status, 200);
            assert_eq!(
                cluster.drain_commands(1 - first).len(),
                0,
                "retry after the window, when workers may have dropped the key"
            );
        }
        // Within the window workers recognize a repeat by the client, so the scheduler sends it to them.
        if is_retried {
            send_request(&mut frontend, 1, &request);
            let (worker, (connection, _, id, fields, _)) = cluster.next_command();
            assert!(fields.contains(",replay=0f3a,"), "{fields}");
            cluster.workers[worker].answer(connection, SUCCEEDED, id, b"done");
            assert_eq!(frontend.read_reply().unwrap().body, b"done");
        }
    }
}

#[test]
fn the_first_check_succeeds_after_a_start_with_three_hundred_workers() {
    let targets: Vec<String> = (0..300)
        .map(|n| {
            endpoint_json(
                &format!("w{n}"),
                format!("127.0.1.{}:{}", n % 250, 20_000 + n).parse().unwrap(),
                "Ready",
            )
        })
        .collect();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let known = endpoint_event(1, true, &targets);
    let coordinator = Coordinator::with_events(&known).unwrap();
    std::fs::write(&file, config_json(coordinator.address, &known)).unwrap();
    let start = Instant::now();
    let mut child = scheduler_command(LAB, &file).spawn().unwrap();
    let mut stdout = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    stdout.read_line(&mut line).unwrap();
    let address = line
        .split_whitespace()
        .find_map(|word| word.trim_matches(|c: char| !c.is_ascii_digit()).parse().ok());
    let mut frontend =
        Frontend::connect(address.unwrap_or_else(|| panic!("no address in {line:?}"))).unwrap();
    let status = request_and_reply(&mut frontend, &request_fields("/check", REQUEST_ID)).status;
    let startup_time = start.elapsed();
    // Kill the process before the assertions, since a failed assertion would leave it running.
    let _ = child.kill();
    let _ = child.wait();
    assert_eq!(status, 200);
    assert!(
        startup_time < Duration::from_secs(6),
        "first reply after {startup_time:?}, limit 6 s"
    );
}
