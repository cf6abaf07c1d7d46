//! A scheduler process on the platform's sockets under floods, very slow peers, answers that break off, repeats after a
//! short window, and a start with a long list of workers.
use quartzdrift_lab::cluster_harness::{
    ClusterHarness, REQUEST_ID, SECOND_REQUEST_ID, SUCCEEDED, check_status, config_json, endpoint_event,
    endpoint_json, request_and_reply, request_fields, scheduler_command, send_request,
};
use quartzdrift_lab::platform::{Coordinator, Frontend, RequestFields};
use quartzdrift_platform::frame;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");

/// Requests that a client has open on one connection, under the 32 that are allowed.
const OPEN_EACH: u16 = 30;

#[test]
fn each_request_of_a_flood_has_one_final_answer() {
    const CONNECTIONS: u16 = 12;
    let mut stage = ClusterHarness::start(LAB, 1);
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|connection| {
            let mut frontend = stage.frontend();
            let bytes: Vec<u8> = (1..=OPEN_EACH)
                .flat_map(|number| {
                    let id = format!("{:016x}", u64::from(connection) << 16 | u64::from(number));
                    Frontend::encode_request(number, &request_fields("/do/again", &id))
                })
                .collect();
            thread::spawn(move || {
                frontend.send(&bytes).unwrap();
                let mut statuses = BTreeMap::new();
                for _ in 0..OPEN_EACH {
                    let reply = frontend.read_reply().unwrap();
                    let before = statuses.insert(reply.fastcgi_id, reply.status);
                    assert_eq!(before, None, "a second answer");
                }
                statuses
            })
        })
        .collect();
    while clients.iter().any(|client| !client.is_finished()) {
        if let Some((connection, _, id, ..)) = stage.workers[0].try_next_command() {
            stage.workers[0].answer(connection, SUCCEEDED, id, b"");
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
    assert_eq!(check_status(&mut stage.frontend()), 200);
}

#[test]
fn an_answer_that_breaks_off_after_its_head_is_no_answer() {
    let mut stage = ClusterHarness::start(LAB, 2);
    let mut frontend = stage.frontend();
    for (path, id) in [("/do/once", REQUEST_ID), ("/do/again", SECOND_REQUEST_ID)] {
        send_request(&mut frontend, 1, &request_fields(path, id));
        let (first, (connection, _, id, ..)) = stage.next_command();
        let mut answer = Vec::new();
        frame::write(
            &mut answer,
            frame::FROM_WORKER,
            SUCCEEDED,
            id,
            b"report=queue:1",
            b"half of it",
        );
        stage.workers[first].send(connection, &answer[..frame::HEADER_BYTES]);
        stage.workers[first].close(connection);
        if path == "/do/once" {
            let reply = frontend.read_reply().unwrap();
            assert_eq!(reply.status, 500, "it may have run, and may not run twice");
            continue;
        }
        let (second, (connection, _, id, ..)) = stage.next_command();
        assert_ne!(second, first);
        stage.workers[second].answer(connection, SUCCEEDED, id, b"whole");
        assert_eq!(frontend.read_reply().unwrap().body, b"whole");
    }
}

#[test]
fn a_client_and_a_worker_that_drip_a_byte_at_a_time_are_heard() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let (mut dripping, mut checks) = (stage.frontend(), stage.frontend());
    for byte in Frontend::encode_request(1, &request_fields("/do/once", REQUEST_ID)) {
        dripping.send(&[byte]).unwrap();
        // An answered check is a turn of the scheduler's loop, in which the byte is read.
        assert_eq!(check_status(&mut checks), 200);
    }
    let (connection, _, id, ..) = stage.workers[0].next_command();
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
        stage.workers[0].send(connection, &[byte]);
        assert_eq!(check_status(&mut checks), 200);
    }
    assert_eq!(dripping.read_reply().unwrap().body, b"done");
}

#[test]
fn a_keyed_request_is_sent_again_within_its_window_and_not_after_a_short_one() {
    for (window, again) in [("8000000000", true), ("100000000", false)] {
        let keyed = format!("\"effect\":\"dedup\",\"key-scope\":\"all\",\"window-ns\":{window}");
        let mut stage = ClusterHarness::with_config_changes(LAB, 2, &[("\"effect\":\"fragile\"", &keyed)]);
        let mut frontend = stage.frontend();
        let request = RequestFields {
            idempotency_key: "0f3a",
            ..request_fields("/do/once", REQUEST_ID)
        };
        send_request(&mut frontend, 1, &request);
        let (first, (connection, ..)) = stage.next_command();
        let sent = Instant::now();
        let mut checks = stage.frontend();
        while sent.elapsed() < Duration::from_millis(150) {
            assert_eq!(check_status(&mut checks), 200);
        }
        stage.workers[first].close(connection);
        if again {
            let (second, (connection, _, id, ..)) = stage.next_command();
            assert_ne!(second, first);
            stage.workers[second].answer(connection, SUCCEEDED, id, b"done");
            assert_eq!(frontend.read_reply().unwrap().body, b"done");
        } else {
            let reply = frontend.read_reply().unwrap();
            assert_ne!(reply.status, 200);
            assert_eq!(
                stage.drain_commands(1 - first).len(),
                0,
                "workers may have forgotten its key"
            );
        }
        // The same request by its client: within the window workers know it, and after it they run it anew.
        if again {
            send_request(&mut frontend, 1, &request);
            let (at, (connection, _, id, fields, _)) = stage.next_command();
            assert!(fields.contains(",replay=0f3a,"), "{fields}");
            stage.workers[at].answer(connection, SUCCEEDED, id, b"done");
            assert_eq!(frontend.read_reply().unwrap().body, b"done");
        }
    }
}

#[test]
fn with_three_hundred_workers_listed_the_first_check_is_ready() {
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
    let began = Instant::now();
    let mut child = scheduler_command(LAB, &file).spawn().unwrap();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    let at = line
        .split_whitespace()
        .find_map(|word| word.trim_matches(|c: char| !c.is_ascii_digit()).parse().ok());
    let mut frontend = Frontend::connect(at.unwrap_or_else(|| panic!("no address in {line:?}"))).unwrap();
    let status = request_and_reply(&mut frontend, &request_fields("/check", REQUEST_ID)).status;
    let ready = began.elapsed();
    // Killed before the verdict, which may end the test.
    let _ = child.kill();
    let _ = child.wait();
    assert_eq!(status, 200);
    assert!(ready < Duration::from_secs(6), "ready after {ready:?}");
}
