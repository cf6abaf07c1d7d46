//! What crosses: requests, answers, closes, aborts, news and signals that come in the same moment, or in the other
//! order. A scheduler process on loopback, against fakes that make the order certain.
use quartzdrift_lab::platform::{Asked, Coordinator, Frontend, Reached, Worker};
use quartzdrift_lab::stage::{
    DONE, ID, NO_CANCEL, OTHER, PATIENT, SCARCE, Stage, THIRD, Vanished, ask, asked, check, config, event,
    ids, number, serve, target,
};
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
        let mut stage = Stage::with(LAB, 1, &[NO_CANCEL]);
        let mut frontend = stage.frontend();
        let connection = stage.rested(&mut frontend, ID);
        stage.workers[0].hold_proofs(true);
        ask(&mut frontend, 1, &asked("/do/once", OTHER));
        assert_eq!(stage.workers[0].asked(), connection);
        frontend.send(&Frontend::abort(1)).unwrap();
        assert_eq!(frontend.reply().unwrap().status, 0);
        stage.workers[0].hold_proofs(false);
        match proved {
            true => stage.workers[0].prove(connection, number(OTHER)),
            false => stage.workers[0].close(connection),
        }
        // The connection's news was there before this check: the loop has worked it.
        assert_eq!(check(&mut frontend), 200);
        ask(&mut frontend, 1, &asked("/do/once", THIRD));
        let (_, code, id, ..) = stage.workers[0].command();
        assert_eq!((code, id), (48, number(THIRD)), "proved: {proved}");
        assert_eq!(ids(&stage.last_commands(0)), [], "proved: {proved}");
    }
}

#[test]
fn whoever_left_while_its_command_waited_for_a_connection_is_not_sent_on() {
    let mut stage = Stage::with(LAB, 0, &[NO_CANCEL, PATIENT]);
    let mut frontend = stage.frontend();
    let vanished = Vanished::start().unwrap();
    stage.coordinator.poll();
    stage.tell(2, &[target("w0", vanished.at, "Ready")]);
    ask(&mut frontend, 1, &asked("/do/once", ID));
    frontend.send(&Frontend::abort(1)).unwrap();
    assert_eq!(frontend.reply().unwrap().status, 0);
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    check(&mut stage.frontend());
    stage.workers.push(vanished.returns().unwrap());
    let (_, code, id, ..) = stage.workers[0].command();
    assert_eq!((code, id), (48, number(OTHER)));
    assert_eq!(ids(&stage.last_commands(0)), []);
}

#[test]
fn what_waits_for_a_proof_past_its_time_is_not_sent_on() {
    let mut stage = Stage::with(LAB, 1, &[NO_CANCEL, PATIENT]);
    let mut frontend = stage.frontend();
    let connection = stage.rested(&mut frontend, ID);
    stage.workers[0].hold_proofs(true);
    ask(
        &mut frontend,
        1,
        &Asked {
            time: "300",
            ..asked("/do/once", OTHER)
        },
    );
    assert_eq!(stage.workers[0].asked(), connection);
    // It never ran, so trying again is harmless, and it has its final answer within its time.
    assert_eq!(frontend.reply().unwrap().status, 503);
    stage.workers[0].prove(connection, number(OTHER));
    assert_eq!(check(&mut frontend), 200);
    assert_eq!(ids(&stage.last_commands(0)), []);
}

#[test]
fn what_waits_for_a_connection_past_its_time_is_rejected() {
    let stage = Stage::with(LAB, 0, &[NO_CANCEL, PATIENT]);
    let mut frontend = stage.frontend();
    let vanished = Vanished::start().unwrap();
    stage.coordinator.poll();
    stage.tell(2, &[target("w0", vanished.at, "Ready")]);
    ask(
        &mut frontend,
        1,
        &Asked {
            time: "300",
            ..asked("/do/once", ID)
        },
    );
    assert_eq!(frontend.reply().unwrap().status, 503);
}

#[test]
fn a_request_that_is_withdrawn_in_the_same_read_reaches_no_worker() {
    for change in [&[][..], &[NO_CANCEL]] {
        let mut stage = Stage::with(LAB, 1, change);
        let mut frontend = stage.frontend();
        let both = [Frontend::request(1, &asked("/do/once", ID)), Frontend::abort(1)].concat();
        frontend.send(&both).unwrap();
        assert_eq!(frontend.reply().unwrap().status, 0);
        assert_eq!(check(&mut frontend), 200);
        assert_eq!(ids(&stage.last_commands(0)), []);
    }
}

#[test]
fn a_request_whose_client_has_closed_or_half_closed_by_then_reaches_no_worker() {
    for half in [true, false] {
        let mut stage = Stage::with(LAB, 1, &[NO_CANCEL]);
        let (mut leaves, mut checks) = (stage.frontend(), stage.frontend());
        assert_eq!((check(&mut leaves), check(&mut checks)), (200, 200));
        stage.pause();
        ask(&mut leaves, 1, &asked("/do/once", ID));
        leaves.finish().unwrap();
        let kept = half.then_some(leaves);
        stage.go_on();
        assert_eq!(check(&mut checks), 200);
        assert_eq!(ids(&stage.last_commands(0)), [], "half closed: {half}");
        drop(kept);
    }
}

#[test]
fn the_last_request_of_a_connection_ends_no_other_that_is_open_on_it() {
    for aborted in [false, true] {
        let mut stage = Stage::start(LAB, 1);
        let mut frontend = stage.frontend();
        ask(&mut frontend, 2, &asked("/do/once", OTHER));
        let (other, ..) = stage.workers[0].command();
        frontend
            .send(&Frontend::last_request(1, &asked("/do/once", ID)))
            .unwrap();
        serve(&mut stage.workers[0], &mut frontend, b"first");
        if aborted {
            // Its withdrawal is heard, though nothing new is taken any more.
            frontend.send(&Frontend::abort(2)).unwrap();
            let (_, code, id, ..) = stage.workers[0].command();
            assert_eq!((code, id), (GIVE_UP, number(OTHER)));
        } else {
            assert_eq!(check(&mut stage.frontend()), 200);
            stage.workers[0].answer(other, DONE, number(OTHER), b"second");
            assert_eq!(frontend.reply().unwrap().body, b"second");
        }
        assert!(frontend.reply().is_err() || aborted);
    }
}

// --- Answers ---

#[test]
fn two_answers_in_one_read_each_reach_their_own_request() {
    // The consequences of the first answer may end its client's connection, with the other request open on it.
    for last in [false, true] {
        let mut stage = Stage::with(LAB, 1, &[SCARCE]);
        let mut frontend = stage.frontend();
        let mut at = Vec::new();
        // Eight connections, and a ninth request that shares one.
        for n in 1..=9 {
            let (path, id) = ("/do/once", format!("{n:016x}"));
            let bytes = if last && n == 9 {
                Frontend::last_request
            } else {
                Frontend::request
            };
            frontend.send(&bytes(n, &asked(path, &id))).unwrap();
            at.push(stage.workers[0].command().0);
        }
        let shared = at[8];
        let first = at.iter().position(|connection| *connection == shared).unwrap() as u64 + 1;
        let mut both = Vec::new();
        for id in [9, first] {
            let body = format!("of {id}");
            quartzdrift_platform::frame::write(&mut both, 193, DONE, id, b"", body.as_bytes());
        }
        stage.workers[0].send(shared, &both);
        for _ in 0..2 {
            let reply = frontend.reply().unwrap();
            assert_eq!(
                String::from_utf8_lossy(&reply.body),
                format!("of {}", reply.number)
            );
        }
    }
}

#[test]
fn a_late_second_answer_is_not_taken_for_the_next_request_under_its_id() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (connection, _, id) = serve(&mut stage.workers[0], &mut frontend, b"first");
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (next, ..) = stage.workers[0].command();
    assert_ne!(
        next, connection,
        "a late answer on a lane that has carried the id could not be told from the next"
    );
    stage.workers[0].answer(connection, DONE, id, b"first");
    assert_eq!(check(&mut stage.frontend()), 200);
    stage.workers[0].answer(next, DONE, id, b"second");
    assert_eq!(frontend.reply().unwrap().body, b"second");
}

#[test]
fn an_answer_to_what_has_not_left_yet_is_none() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    let connection = stage.rested(&mut frontend, ID);
    stage.workers[0].hold_proofs(true);
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    assert_eq!(stage.workers[0].asked(), connection);
    stage.workers[0].answer(connection, DONE, number(OTHER), b"of nothing");
    assert_eq!(check(&mut stage.frontend()), 200);
    stage.workers[0].prove(connection, number(OTHER));
    let (connection, code, id, ..) = stage.workers[0].command();
    assert_eq!((code, id), (48, number(OTHER)));
    stage.workers[0].answer(connection, DONE, id, b"its own");
    assert_eq!(frontend.reply().unwrap().body, b"its own");
}

// --- Connections ---

#[test]
fn what_waits_for_a_worker_that_is_replaced_or_moves_goes_to_the_one_that_is_there() {
    let mut there = Worker::start().unwrap();
    let at = there.at;
    for way in [
        "gone, then another",
        "another, then gone",
        "moved",
        "gone and back in one event",
    ] {
        let mut stage = Stage::with(LAB, 0, &[PATIENT]);
        let mut frontend = stage.frontend();
        let vanished = Vanished::start().unwrap();
        stage.coordinator.poll();
        stage.tell(2, &[target("w0", vanished.at, "Ready")]);
        ask(&mut frontend, 1, &asked("/do/once", ID));
        assert_eq!(check(&mut stage.frontend()), 200);
        let gone = target("w0", vanished.at, "Gone");
        // A request is not placed twice at one worker: where that has moved, or has come back, another one gets it.
        let new = target("new", at, "Ready");
        let targets = match way {
            "gone, then another" => vec![gone, new],
            "another, then gone" => vec![new, gone],
            "moved" => vec![target("w0", at, "Ready"), new],
            _ => vec![gone, target("w0", at, "Ready"), new],
        };
        stage.tell(3, &targets);
        let (_, code, id) = serve(&mut there, &mut frontend, b"");
        assert_eq!((code, id), (48, number(ID)), "{way}");
        // Whoever stands at the old address later gets nothing of it.
        let mut old = vanished.returns().unwrap();
        stage.kill();
        assert_eq!(ids(&old.last_commands()), [], "{way}");
        while !matches!(there.reached(), Reached::Closed(_)) {}
    }
}

#[test]
fn a_newcomer_at_an_address_gets_nothing_that_was_meant_for_the_one_before() {
    let mut stage = Stage::with(LAB, 0, &[PATIENT]);
    let mut frontend = stage.frontend();
    let vanished = Vanished::start().unwrap();
    stage.coordinator.poll();
    stage.tell(2, &[target("w0", vanished.at, "Ready")]);
    ask(&mut frontend, 1, &asked("/do/once", ID));
    assert_eq!(check(&mut stage.frontend()), 200);
    stage.tell(
        3,
        &[
            target("w0", vanished.at, "Gone"),
            target("new", vanished.at, "Ready"),
        ],
    );
    stage.workers.push(vanished.returns().unwrap());
    let (_, code, id) = serve(&mut stage.workers[0], &mut frontend, b"once");
    assert_eq!((code, id), (48, number(ID)));
    assert_eq!(ids(&stage.last_commands(0)), []);
}

#[test]
fn what_waits_for_the_proof_of_a_worker_that_was_restarted_is_placed_anew() {
    let mut stage = Stage::with(LAB, 1, &[PATIENT]);
    let mut frontend = stage.frontend();
    stage.coordinator.poll();
    let connection = stage.rested(&mut frontend, ID);
    stage.workers[0].hold_proofs(true);
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    assert_eq!(stage.workers[0].asked(), connection);
    let again =
        target("w0", stage.workers[0].at, "Ready").replace("\"boot_ms\":0", "\"boot_ms\":1700000000000");
    // A request is not placed twice at one worker: another one, which stands at the same address here, gets it.
    stage.tell(2, &[again, target("w1", stage.workers[0].at, "Ready")]);
    let (new, code, id) = serve(&mut stage.workers[0], &mut frontend, b"done");
    assert_eq!((code, id), (48, number(OTHER)));
    assert_ne!(new, connection);
}

#[test]
fn a_connection_that_its_worker_closed_a_moment_ago_costs_no_request() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (connection, ..) = serve(&mut stage.workers[0], &mut frontend, b"");
    stage.pause();
    stage.workers[0].close(connection);
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    stage.go_on();
    let (next, ..) = serve(&mut stage.workers[0], &mut frontend, b"done");
    assert_ne!(next, connection);
}

#[test]
fn a_keep_alive_shorter_than_a_proof_cuts_no_request() {
    let mut stage = Stage::with(LAB, 1, &[PATIENT, ("15000000000", "100000000")]);
    let mut frontend = stage.frontend();
    let connection = stage.rested(&mut frontend, ID);
    stage.workers[0].hold_proofs(true);
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    // Where the machine was slow the connection has ended before, and there is nothing to prove.
    let sent = loop {
        match stage.workers[0].reached() {
            Reached::Asked(asked) => {
                assert_eq!(asked, connection);
                std::thread::sleep(Duration::from_millis(200));
                stage.workers[0].prove(connection, number(OTHER));
            }
            Reached::Command((connection, ..)) => break connection,
            Reached::Connected(_) | Reached::Closed(_) => {}
        }
    };
    stage.workers[0].answer(sent, DONE, number(OTHER), b"done");
    assert_eq!(frontend.reply().unwrap().body, b"done");
}

#[test]
fn a_request_that_has_come_is_not_closed_to_make_room_for_others() {
    let mut stage = Stage::with(LAB, 1, &[SCARCE]);
    let mut held: Vec<Frontend> = (0..8).map(|_| stage.frontend()).collect();
    held.iter_mut()
        .for_each(|frontend| assert_eq!(check(frontend), 200));
    stage.pause();
    // The one that has been silent longest asks in the moment in which a newcomer needs its place.
    ask(&mut held[0], 1, &asked("/do/once", ID));
    let mut newcomer = stage.frontend();
    ask(&mut newcomer, 1, &asked("/do/once", OTHER));
    stage.go_on();
    for _ in 0..2 {
        let (connection, _, id, ..) = stage.workers[0].command();
        stage.workers[0].answer(connection, DONE, id, &id.to_be_bytes());
    }
    assert_eq!(held[0].reply().unwrap().body, number(ID).to_be_bytes());
    assert_eq!(newcomer.reply().unwrap().body, number(OTHER).to_be_bytes());
}

#[test]
fn a_request_that_stays_half_costs_no_other_on_its_connection() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (connection, _, id, ..) = stage.workers[0].command();
    let half = Frontend::request(2, &asked("/do/once", OTHER));
    frontend.send(&half[..half.len() / 2]).unwrap();
    // Past the time for a request to be whole.
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(check(&mut stage.frontend()), 200);
    stage.workers[0].answer(connection, DONE, id, b"whole");
    assert_eq!(frontend.reply().unwrap().body, b"whole");
    assert!(
        frontend.reply().is_err(),
        "the half one cannot be answered, and its connection ends"
    );
}

#[test]
fn a_first_request_that_came_while_the_process_was_paused_is_served() {
    let mut stage = Stage::start(LAB, 1);
    let (mut first, mut checks) = (stage.frontend(), stage.frontend());
    assert_eq!(check(&mut checks), 200);
    stage.pause();
    // Past the time within which a first request must be whole; it came within it.
    ask(&mut first, 1, &asked("/do/once", ID));
    std::thread::sleep(Duration::from_millis(2200));
    stage.go_on();
    serve(&mut stage.workers[0], &mut first, b"served");
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
        let mut stage = Stage::start(LAB, 2);
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let at = listener.local_addr().unwrap();
        stage.hang_up(at, r#"{"index":0,"updates":[]}"#);
        let (mut silent, first) = poll_at(&listener);
        assert!(first.contains("follow=1&"));
        let news = event(2, false, &[target("w0", stage.workers[0].at, "Terminating")]);
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
        ask(&mut frontend, 1, &asked("/do/again", ID));
        assert_eq!(stage.command().0, 1, "a draining worker gets nothing new");
    }
}

#[test]
fn a_coordinator_that_answers_at_once_with_nothing_is_not_asked_without_pause() {
    let stage = Stage::start(LAB, 1);
    let (began, mut polls) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_secs(1) {
        stage.coordinator.poll();
        stage.coordinator.tell(r#"{"index":1,"updates":[]}"#);
        polls += 1;
    }
    assert!((2..=100).contains(&polls), "{polls} polls in a second");
    // And news still counts.
    stage.coordinator.poll();
    stage.tell(2, &[target("w0", stage.workers[0].at, "Terminating")]);
    assert_eq!(check(&mut stage.frontend()), 503);
}

#[test]
fn numbers_that_repeat_or_start_over_bring_back_no_worker_that_drains() {
    let stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    let at = stage.workers[0].at;
    stage.coordinator.poll();
    stage.tell(2, &[target("w0", at, "Terminating")]);
    assert_eq!(check(&mut frontend), 503);
    let ready = target("w0", at, "Ready");
    for old in [
        event(1, true, std::slice::from_ref(&ready)),
        event(2, false, std::slice::from_ref(&ready)),
    ] {
        stage.say(2, &old);
        assert_eq!(check(&mut frontend), 503, "{old}");
    }
    // A jump is a gap, unless it brings the whole list.
    stage.say(2, &event(9, false, std::slice::from_ref(&ready)));
    assert_eq!(check(&mut frontend), 503);
    stage.say(9, &event(9, true, &[ready]));
    assert_eq!(check(&mut frontend), 200);
}

#[test]
fn two_events_for_one_worker_in_one_answer_count_in_their_order() {
    let stage = Stage::start(LAB, 1);
    let (mut frontend, at) = (stage.frontend(), stage.workers[0].at);
    stage.coordinator.poll();
    let of = |index: u64, state: &str| {
        format!(
            r#"{{"index":{index},"endpoints":{{"all":false,"targets":[{}]}}}}"#,
            target("w0", at, state)
        )
    };
    let both = |index: u64, first: &str, second: &str| {
        format!(
            r#"{{"index":{index},"updates":[{},{}]}}"#,
            of(index - 1, first),
            of(index, second)
        )
    };
    stage.say(3, &both(3, "Ready", "Terminating"));
    assert_eq!(check(&mut frontend), 503);
    stage.say(5, &both(5, "Terminating", "Ready"));
    assert_eq!(check(&mut frontend), 200);
    stage.tell(6, &[target("w0", at, "Ready"), target("w0", at, "Gone")]);
    assert_eq!(check(&mut frontend), 503);
}

#[test]
fn a_hang_up_signal_takes_a_newer_list_and_no_older_one() {
    let mut stage = Stage::start(LAB, 2);
    let mut frontend = stage.frontend();
    let (w0, w1) = (stage.workers[0].at, stage.workers[1].at);
    stage.coordinator.poll();
    stage.tell(2, &[target("w0", w0, "Terminating")]);
    // Older than what is known: a whole list in which the worker that drains is up.
    let older = event(1, true, &[target("w0", w0, "Ready")]);
    let next = Coordinator::knowing(&older).unwrap();
    next.knows(&event(2, false, &[target("w0", w0, "Terminating")]));
    stage.hang_up(next.at, &older);
    assert!(next.poll().contains("follow=2&"));
    ask(&mut frontend, 1, &asked("/do/again", ID));
    let (at, (connection, _, id, ..)) = stage.command();
    assert_eq!(at, 1);
    stage.workers[1].answer(connection, DONE, id, b"");
    assert_eq!(frontend.reply().unwrap().status, 200);
    // Newer: taken at once, and followed from.
    let newer = event(3, false, &[target("w1", w1, "Gone"), target("w2", w0, "Ready")]);
    let third = Coordinator::knowing(&older).unwrap();
    third.knows(&event(2, false, &[target("w0", w0, "Terminating")]));
    third.knows(&newer);
    stage.hang_up(third.at, &newer);
    assert!(third.poll().contains("follow=3&"));
    ask(&mut frontend, 1, &asked("/do/again", OTHER));
    let (at, (_, _, id, ..)) = stage.command();
    assert_eq!((at, id), (0, number(OTHER)));
}

#[test]
fn of_new_configurations_quicker_than_one_poll_the_last_one_is_followed_and_no_drain_is_lost() {
    let mut stage = Stage::start(LAB, 2);
    let mut frontend = stage.frontend();
    assert_eq!(check(&mut frontend), 200);
    let unused: Vec<Coordinator> = (0..4).map(|_| Coordinator::start().unwrap()).collect();
    let last = Coordinator::knowing(&event(1, true, &[])).unwrap();
    let nothing = r#"{"index":0,"updates":[]}"#;
    for coordinator in &unused {
        stage.hang_up(coordinator.at, nothing);
        // Half of the next file may be there in the moment of a signal.
        std::fs::write(&stage.file, &config(coordinator.at, nothing)[..80]).unwrap();
        stage.signal("-HUP");
    }
    stage.hang_up(last.at, nothing);
    assert!(last.poll().contains("follow=1&"));
    stage.coordinator = last;
    stage.tell(2, &[target("w0", stage.workers[0].at, "Terminating")]);
    for n in 1..=20 {
        ask(&mut frontend, 1, &asked("/do/again", &format!("{n:016x}")));
        serve(&mut stage.workers[1], &mut frontend, b"");
    }
    assert_eq!(stage.last_commands(0), []);
}

#[test]
fn an_answer_of_the_old_coordinator_in_the_moment_of_a_hang_up_loses_no_drain() {
    let mut stage = Stage::start(LAB, 2);
    stage.coordinator.poll();
    let drains = event(2, false, &[target("w0", stage.workers[0].at, "Terminating")]);
    let next = Coordinator::knowing(&event(1, true, &[])).unwrap();
    stage.pause();
    std::fs::write(&stage.file, config(next.at, r#"{"index":0,"updates":[]}"#)).unwrap();
    stage.coordinator.tell(&drains);
    stage.signal("-HUP");
    stage.go_on();
    // Whichever came first, the numbers go on: what was not taken from the one is asked of the other.
    if next.poll().contains("follow=1&") {
        next.tell(&drains);
        assert!(next.poll().contains("follow=2&"));
    }
    let mut frontend = stage.frontend();
    for id in [ID, OTHER, THIRD] {
        ask(&mut frontend, 1, &asked("/do/again", id));
        let (at, (connection, _, id, ..)) = stage.command();
        assert_eq!(at, 1);
        stage.workers[1].answer(connection, DONE, id, b"");
        assert_eq!(frontend.reply().unwrap().status, 200);
    }
}

// --- Pauses ---

/// The process is quiet: no traffic ends its waits early, so that only their longest length bounds what may have waited unseen.
#[test]
fn after_a_pause_of_a_quiet_process_a_worker_is_told_what_the_client_has_left() {
    /// What a worker is told may exceed what the client has left by so much.
    const SLACK: Duration = Duration::from_millis(150);
    const TIMEOUT: Duration = Duration::from_millis(5_000);
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    assert_eq!(check(&mut frontend), 200);
    for n in 1..=6 {
        // The pauses begin at different times within the waits for the coordinator.
        std::thread::sleep(Duration::from_millis(130 * n));
        stage.pause();
        let id = format!("{n:016x}");
        let request = Asked {
            time: "5000",
            ..asked("/do/once", &id)
        };
        ask(&mut frontend, 1, &request);
        let written = Instant::now();
        std::thread::sleep(Duration::from_millis(700));
        stage.go_on();
        let (connection, _, id, fields, _) = stage.workers[0].command();
        let left = TIMEOUT.saturating_sub(written.elapsed());
        let told = fields.split(',').find_map(|field| field.strip_prefix("max="));
        let told = Duration::from_millis(told.unwrap().parse().unwrap());
        assert!(told <= left + SLACK, "told {told:?} with {left:?} left");
        stage.workers[0].answer(connection, DONE, id, b"");
        assert_eq!(frontend.reply().unwrap().status, 200);
    }
}

// --- Stop ---

/// Sends SIGTERM, and returns once the scheduler has taken it.
fn stop(stage: &Stage, checks: &mut Frontend) -> Instant {
    let told = Instant::now();
    stage.signal("-TERM");
    while check(checks) != 503 {}
    told
}

#[test]
fn what_cannot_end_before_the_kill_has_its_final_answer_before() {
    let mut stage = Stage::start(LAB, 1);
    let (mut frontend, mut checks) = (stage.frontend(), stage.frontend());
    let connection = stage.rested(&mut frontend, ID);
    // Out at a worker that answers no more: one that may run again, and one that may not.
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    stage.workers[0].hold_proofs(true);
    stage.workers[0].asked();
    stage.workers[0].prove(connection, number(OTHER));
    stage.workers[0].command();
    ask(&mut frontend, 2, &asked("/do/again", THIRD));
    stage.workers[0].command();
    let told = stop(&stage, &mut checks);
    // The longest time limit counts as 3 s, and SIGKILL comes 0.7 s after it.
    let kill = Duration::from_millis(3700);
    let mut replies = [frontend.reply().unwrap(), frontend.reply().unwrap()];
    assert!(told.elapsed() < kill, "{:?}", told.elapsed());
    replies.sort_by_key(|reply| reply.number);
    assert_eq!(replies.map(|reply| reply.status), [500, 503]);
    assert!(stage.ends().success());
    assert!(told.elapsed() < kill, "{:?}", told.elapsed());
}

#[test]
fn what_was_never_sent_before_the_kill_is_rejected() {
    let mut stage = Stage::with(LAB, 0, &[PATIENT]);
    let (mut frontend, mut checks) = (stage.frontend(), stage.frontend());
    let vanished = Vanished::start().unwrap();
    stage.coordinator.poll();
    stage.tell(2, &[target("w0", vanished.at, "Ready")]);
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let told = stop(&stage, &mut checks);
    // Whoever comes during the stop has just the time that it leaves.
    ask(&mut frontend, 2, &asked("/do/once", OTHER));
    for _ in 0..2 {
        let reply = frontend.reply().unwrap();
        assert_eq!(
            reply.status, 503,
            "{} never ran, so trying again is harmless",
            reply.number
        );
    }
    assert!(
        told.elapsed() < Duration::from_millis(3700),
        "{:?}",
        told.elapsed()
    );
    assert!(stage.ends().success());
}

#[test]
fn what_has_come_when_the_stay_ends_is_served_all_the_same() {
    let mut stage = Stage::start(LAB, 1);
    let (mut frontend, mut checks) = (stage.frontend(), stage.frontend());
    check(&mut frontend);
    stop(&stage, &mut checks);
    stage.pause();
    // On an open connection, on a new one, and on one that waits to be taken with half of its request.
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let mut late = stage.frontend();
    ask(&mut late, 1, &asked("/do/once", OTHER));
    let (mut half, bytes) = (stage.frontend(), Frontend::request(1, &asked("/do/once", THIRD)));
    half.send(&bytes[..40]).unwrap();
    std::thread::sleep(Duration::from_millis(1300));
    stage.go_on();
    for _ in 0..2 {
        let (connection, _, id, ..) = stage.workers[0].command();
        stage.workers[0].answer(connection, DONE, id, &id.to_be_bytes());
    }
    assert_eq!(frontend.reply().unwrap().body, number(ID).to_be_bytes());
    assert_eq!(late.reply().unwrap().body, number(OTHER).to_be_bytes());
    half.send(&bytes[40..]).unwrap();
    serve(&mut stage.workers[0], &mut half, b"whole");
    assert!(stage.ends().success());
}

#[test]
fn the_end_destroys_no_answer_that_a_slow_client_has_yet_to_take() {
    let mut stage = Stage::start(LAB, 1);
    let mut checks = stage.frontend();
    // A client that takes little at a time: most of its answer stands in the scheduler's system.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&stage.at.into()).unwrap();
    let mut slow = Frontend::of(TcpStream::from(socket)).unwrap();
    ask(&mut slow, 1, &asked("/do/once", ID));
    let (connection, _, id, ..) = stage.workers[0].command();
    stop(&stage, &mut checks);
    std::thread::sleep(Duration::from_millis(1300));
    stage.pause();
    let body = vec![7; 60 << 10];
    stage.workers[0].answer(connection, DONE, id, &body);
    // More than is read in a turn, of records that belong to nothing.
    let mut stray = Vec::new();
    for _ in 0..5 {
        quartzdrift_fastcgi::write_record(&mut stray, quartzdrift_fastcgi::STDIN, 9, &[0; 16 << 10]);
        quartzdrift_fastcgi::write_record(&mut stray, quartzdrift_fastcgi::STDIN, 9, &[0; 16 << 10]);
    }
    slow.send(&stray).unwrap();
    stage.go_on();
    // Read only once the process is no more: what it had written is with its system.
    assert!(stage.ends().success());
    assert_eq!(slow.reply().unwrap().body, body);
}

#[test]
fn signals_before_the_listener_stands_twice_and_together_end_nothing_early() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let made = std::process::Command::new("mkfifo").arg(&file).status().unwrap();
    assert!(made.success());
    let mut worker = Worker::start().unwrap();
    let known = event(1, true, &[target("w0", worker.at, "Ready")]);
    let coordinator = Coordinator::knowing(&known).unwrap();
    let text = config(coordinator.at, &known);
    let mut child = quartzdrift_lab::stage::scheduler(LAB, &file).spawn().unwrap();
    // Opened for writing once it reads its configuration: before it listens, and after it has taken its signals.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    for name in ["-HUP", "-TERM", "-TERM", "-HUP"] {
        quartzdrift_lab::stage::signal(name, child.id());
    }
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    let mut out = BufReader::new(child.stdout.take().unwrap());
    let at = quartzdrift_lab::scenario_runner::read_listen_address(&mut out).unwrap();
    // It stays for those that come meanwhile.
    let mut frontend = Frontend::connect(at).unwrap();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    serve(&mut worker, &mut frontend, b"served");
    let mut rest = String::new();
    out.read_to_string(&mut rest).unwrap();
    assert!(child.wait().unwrap().success());
}

#[test]
fn a_hang_up_signal_during_a_stop_and_one_with_half_a_file_end_nothing() {
    let mut stage = Stage::start(LAB, 1);
    let (mut frontend, mut checks) = (stage.frontend(), stage.frontend());
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (connection, _, id, ..) = stage.workers[0].command();
    stop(&stage, &mut checks);
    let whole = std::fs::read(&stage.file).unwrap();
    for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&stage.file, &whole[..cut]).unwrap();
        stage.signal("-HUP");
        assert_eq!(check(&mut checks), 503);
    }
    stage.workers[0].answer(connection, DONE, id, b"done");
    assert_eq!(frontend.reply().unwrap().body, b"done");
    assert!(stage.ends().success());
}

// --- Start ---

#[test]
fn killed_and_started_anew_under_its_name_it_knows_nothing_of_its_earlier_life() {
    let mut stage = Stage::start(LAB, 1);
    let mut frontend = stage.frontend();
    ask(&mut frontend, 1, &asked("/do/once", ID));
    let (connection, ..) = stage.workers[0].command();
    stage.restart(LAB);
    assert!(
        frontend.reply().is_err(),
        "what a killed process had taken is over"
    );
    // The client asks again under a new id, while the worker still has the attempt of the earlier life.
    let mut frontend = stage.frontend();
    assert_eq!(check(&mut frontend), 200);
    ask(&mut frontend, 1, &asked("/do/once", OTHER));
    let (next, code, id) = serve(&mut stage.workers[0], &mut frontend, b"anew");
    assert_eq!((code, id), (48, number(OTHER)));
    assert_ne!(next, connection);
}

#[test]
fn a_configuration_that_cannot_be_used_is_told_in_one_sentence() {
    let folder = tempfile::tempdir().unwrap();
    let coordinator = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    let good = config(coordinator, r#"{"index":0,"updates":[]}"#);
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
        let ended = quartzdrift_lab::stage::scheduler(LAB, &file)
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
