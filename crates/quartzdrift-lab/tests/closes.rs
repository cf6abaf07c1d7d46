//! Ill-timed closes: clients, workers' connections and readers of the log that close, fall silent or stop reading while
//! something is under way. A scheduler process on loopback, against fakes that make the order certain.
use quartzdrift_lab::cluster_harness::{
    ClusterHarness, FEW_SOCKETS, NO_CANCEL, REQUEST_ID, SECOND_REQUEST_ID, SUCCEEDED, THIRD_REQUEST_ID,
    check_status, codes_and_ids, config_json, endpoint_event, endpoint_json, id_number, request_fields,
    scheduler_command, send_request, send_signal, serve_next_command,
};
use quartzdrift_lab::platform::{Coordinator, Frontend, RequestFields, Worker};
use quartzdrift_lab::scenario_runner::read_listen_address;
use quartzdrift_platform::frame;
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");

/// Workers that have just started bear little.
const COLD: (&str, &str) = (
    "\"drain-grace-ns\":2000000000",
    "\"drain-grace-ns\":2000000000,\"cold-from\":0.2,\"cold-ns\":20000000000,\"fall-multiple\":3,\"fall-ns\":2000000000",
);

/// A socket whose peers' systems hold little of what is sent to it until it is read.
fn narrow() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket
}

#[test]
fn a_request_whose_client_has_closed_by_then_reaches_no_connection_that_is_at_hand() {
    for half in [true, false] {
        let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL]);
        let (mut frontend, mut leaves, mut checks) = (stage.frontend(), stage.frontend(), stage.frontend());
        assert_eq!((check_status(&mut leaves), check_status(&mut checks)), (200, 200));
        send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
        let (connection, _, id, ..) = stage.workers[0].next_command();
        stage.pause();
        // The answer frees a connection that has just worked: what is put on it now leaves in this turn.
        stage.workers[0].answer(connection, SUCCEEDED, id, b"");
        send_request(&mut leaves, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
        leaves.shutdown_write().unwrap();
        let kept = half.then_some(leaves);
        stage.resume();
        assert_eq!(frontend.read_reply().unwrap().status, 200);
        assert_eq!(check_status(&mut checks), 200);
        assert_eq!(codes_and_ids(&stage.drain_commands(0)), [], "half closed: {half}");
        drop(kept);
    }
}

#[test]
fn requests_that_overlap_on_a_connection_do_not_end_it() {
    let stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    let requests: Vec<Vec<u8>> = (1..=12)
        .map(|n| Frontend::encode_request(n, &request_fields("/check", REQUEST_ID)))
        .collect();
    let half = requests[0].len() / 2;
    frontend.send(&requests[0][..half]).unwrap();
    // Each is whole a fifth of a second after it began, but there is always one that is not.
    for (n, both) in (1..).zip(requests.windows(2)) {
        std::thread::sleep(Duration::from_millis(200));
        frontend
            .send(&[&both[0][half..], &both[1][..half]].concat())
            .unwrap();
        let reply = frontend.read_reply().unwrap();
        assert_eq!((reply.fastcgi_id, reply.status), (n, 200));
    }
    // One that stays half is not kept by others that come whole beside it.
    let (mut other, began) = (stage.frontend(), Instant::now());
    assert_eq!(check_status(&mut other), 200);
    // Its first record alone: what comes behind it is whole, and in step.
    let begun = &Frontend::encode_request(99, &request_fields("/check", REQUEST_ID))
        [..quartzdrift_fastcgi::HEADER_LENGTH + 8];
    other.send(begun).unwrap();
    let mut served = 0;
    while other.send(&requests[0]).is_ok() {
        let Ok(reply) = other.read_reply() else { break };
        assert_eq!((reply.fastcgi_id, reply.status), (1, 200));
        served += 1;
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "its connection does not end"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(
        served > 5 && began.elapsed() < Duration::from_secs(4),
        "{served} in {:?}",
        began.elapsed()
    );
}

#[test]
fn whoever_has_taken_all_answers_may_stay_silent_while_a_request_runs() {
    let mut stage = ClusterHarness::start(LAB, 1);
    let mut frontend = stage.frontend();
    // One is answered in the turn in which it came, the other one takes its time.
    frontend
        .send(
            &[
                Frontend::encode_request(1, &request_fields("/check", REQUEST_ID)),
                Frontend::encode_request(2, &request_fields("/do/once", REQUEST_ID)),
            ]
            .concat(),
        )
        .unwrap();
    assert_eq!(frontend.read_reply().unwrap().status, 200);
    let (connection, _, id, ..) = stage.workers[0].next_command();
    // Longer than a client may take to read what waits for it: nothing does.
    std::thread::sleep(Duration::from_millis(5500));
    assert_eq!(check_status(&mut stage.frontend()), 200);
    stage.workers[0].answer(connection, SUCCEEDED, id, b"long");
    assert_eq!(frontend.read_reply().unwrap().body, b"long");
}

#[test]
fn nothing_is_begun_for_a_client_that_was_cut_off_in_the_same_read() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL]);
    // A client that takes nothing of what it is answered.
    let socket = narrow();
    socket.connect(&stage.address.into()).unwrap();
    let mut deaf = Frontend::from_stream(TcpStream::from(socket)).unwrap();
    for n in 1..=17 {
        send_request(&mut deaf, n, &request_fields("/do/once", &format!("{n:016x}")));
        let (connection, _, id, ..) = stage.workers[0].next_command();
        stage.workers[0].answer(connection, SUCCEEDED, id, &[7; 60_000]);
    }
    // Checks, then a request that is withdrawn at once. Past what may wait for a client it is cut off, among the checks of
    // a read, and requests behind them are still there. A number is used again when it has long been answered, and the
    // checks are so long that few of them exceed what may be open.
    let body = vec![7; 1000];
    let check_of = |n| {
        Frontend::encode_request(
            n,
            &RequestFields {
                body: &body,
                ..request_fields("/check", REQUEST_ID)
            },
        )
    };
    let unit = |first: u16| {
        let checks = (first..first + 7).flat_map(check_of);
        let request = Frontend::encode_request(first + 7, &request_fields("/do/once", SECOND_REQUEST_ID));
        checks
            .chain(request)
            .chain(Frontend::encode_abort(first + 7))
            .collect::<Vec<u8>>()
    };
    let units: Vec<Vec<u8>> = (1..=64_000).step_by(8).map(unit).collect();
    assert!(
        units
            .iter()
            .cycle()
            .take(100_000)
            .any(|unit| deaf.send(unit).is_err()),
        "it is cut off"
    );
    assert_eq!(check_status(&mut stage.frontend()), 200);
    assert_eq!(codes_and_ids(&stage.drain_commands(0)), []);
}

#[test]
fn a_worker_is_no_worse_for_a_connection_that_we_have_not_left() {
    let one = ("\"streams-per-conn\":32", "\"streams-per-conn\":1");
    let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[FEW_SOCKETS, one, COLD]);
    let mut frontend = stage.frontend();
    for n in 1..=8 {
        send_request(
            &mut frontend,
            n,
            &request_fields("/do/once", &format!("{n:016x}")),
        );
        stage.workers[0].next_command();
    }
    send_request(&mut frontend, 9, &request_fields("/do/once", REQUEST_ID));
    assert_eq!(
        frontend.read_reply().unwrap().status,
        503,
        "there is no lane for it, and it never ran"
    );
    // Half of them are withdrawn: there are connections again, and nothing has been measured of the worker.
    frontend
        .send(&(1..=4).flat_map(Frontend::encode_abort).collect::<Vec<u8>>())
        .unwrap();
    for _ in 1..=4 {
        assert_eq!(frontend.read_reply().unwrap().status, 0);
        assert_eq!(stage.workers[0].next_command().1, frame::CANCEL);
    }
    // The worker was not down, so it has not come back cold.
    send_request(&mut frontend, 10, &request_fields("/do/once", SECOND_REQUEST_ID));
    serve_next_command(&mut stage.workers[0], &mut frontend, b"");
}

/// The lowest descriptor that a process does not hold: with this limit it can have no other.
fn next_descriptor(process: u32) -> u64 {
    let folder = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
    let held: Vec<u64> = folder
        .map(|entry| entry.unwrap().file_name().to_str().unwrap().parse().unwrap())
        .collect();
    (0..).find(|descriptor| !held.contains(descriptor)).unwrap()
}

fn limit_descriptors(process: u32, most: u64) {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let pid = Pid::from_raw(process.try_into().unwrap());
    prlimit(
        pid,
        Resource::Nofile,
        Rlimit {
            current: Some(most),
            maximum,
        },
    )
    .unwrap();
}

#[test]
fn without_a_descriptor_left_a_silent_client_makes_room_and_no_worker_counts_as_down() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[COLD]);
    let process = stage.process_id();
    let mut clients: Vec<Frontend> = (0..3).map(|_| stage.frontend()).collect();
    clients
        .iter_mut()
        .for_each(|frontend| assert_eq!(check_status(frontend), 200));
    stage.coordinator.next_poll();
    // It polls over the connection that it has.
    limit_descriptors(process, next_descriptor(process));
    let mut newcomer = stage.frontend();
    assert_eq!(check_status(&mut newcomer), 200);
    let ended = clients[0].read_reply().unwrap_err().kind();
    assert_eq!(
        ended,
        ErrorKind::UnexpectedEof,
        "the one that was silent longest has made room"
    );
    // There is none for a connection either.
    send_request(&mut newcomer, 1, &request_fields("/do/once", REQUEST_ID));
    assert_eq!(newcomer.read_reply().unwrap().status, 503);
    limit_descriptors(process, 1000);
    send_request(&mut newcomer, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    serve_next_command(&mut stage.workers[0], &mut newcomer, b"");
}

#[test]
fn fewer_descriptors_than_the_configuration_tells_cost_no_request() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let mut worker = Worker::start().unwrap();
    let known = endpoint_event(1, true, &[endpoint_json("w0", worker.address, "Ready")]);
    let coordinator = Coordinator::with_events(&known).unwrap();
    let text = config_json(coordinator.address, &known);
    std::fs::write(&file, text).unwrap();
    let mut child = Command::new("sh")
        .args(["-c", "ulimit -n 48; exec \"$0\" scheduler", LAB])
        .env("GW_CONFIG", &file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let at = read_listen_address(&mut BufReader::new(child.stdout.take().unwrap())).unwrap();
    coordinator.wait_until_followed(0);
    // More clients than there are descriptors; of each the connection is kept.
    let mut clients: Vec<Frontend> = Vec::new();
    for _ in 0..60 {
        let mut frontend = Frontend::connect(at).unwrap();
        assert_eq!(check_status(&mut frontend), 200);
        clients.push(frontend);
    }
    let frontend = clients.last_mut().unwrap();
    send_request(frontend, 1, &request_fields("/do/once", REQUEST_ID));
    serve_next_command(&mut worker, frontend, b"");
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn a_newcomer_waits_where_all_clients_have_requests_open() {
    let mut stage = ClusterHarness::with_config_changes(LAB, 2, &[FEW_SOCKETS]);
    let mut busy: Vec<Frontend> = (0..8).map(|_| stage.frontend()).collect();
    for (frontend, n) in busy.iter_mut().zip(1_u64..) {
        send_request(frontend, 1, &request_fields("/do/once", &format!("{n:016x}")));
    }
    let mut commands = Vec::new();
    while commands.len() < busy.len() {
        for (n, worker) in stage.workers.iter_mut().enumerate() {
            commands.extend(
                worker
                    .try_next_command()
                    .map(|(connection, _, id, ..)| (n, connection, id)),
            );
        }
        std::thread::yield_now();
    }
    // There is no room for it, and none of the others is silent.
    let mut newcomer = stage.frontend();
    send_request(&mut newcomer, 1, &request_fields("/do/once", REQUEST_ID));
    // Longer than any turn of the loop.
    std::thread::sleep(Duration::from_millis(300));
    let (worker, connection, id) = commands[0];
    stage.workers[worker].answer(connection, SUCCEEDED, id, b"first");
    assert_eq!(
        busy[usize::try_from(id).unwrap() - 1].read_reply().unwrap().body,
        b"first"
    );
    let since = Instant::now();
    let (worker, (connection, _, id, ..)) = loop {
        let mut workers = stage.workers.iter_mut().enumerate();
        if let Some(came) = workers.find_map(|(n, worker)| Some((n, worker.try_next_command()?))) {
            break came;
        }
        assert!(since.elapsed() < Duration::from_secs(20), "it is not served");
        std::thread::yield_now();
    };
    stage.workers[worker].answer(connection, SUCCEEDED, id, b"after all");
    assert_eq!(newcomer.read_reply().unwrap().body, b"after all");
}

/// All that was sent on a connection, as whole frames, and what is left over.
fn frames(mut bytes: &[u8]) -> (Vec<(u8, u64)>, usize) {
    let mut whole = Vec::new();
    while let Some(head) = bytes.get(..frame::HEADER_BYTES) {
        assert_eq!(head[0], frame::FROM_SCHEDULER, "a frame begins here");
        let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
        let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
        let id = u64::from_be_bytes(head[8..16].try_into().unwrap());
        let length = frame::HEADER_BYTES + fields + body + frame::CHECKSUM_BYTES;
        if bytes.len() < length {
            break;
        }
        whole.push((head[1], id));
        bytes = &bytes[length..];
    }
    (whole, bytes.len())
}

#[test]
fn of_what_has_left_in_part_nothing_else_is_lost_or_sent() {
    for alone in [false, true] {
        // Seven connections are held by a worker that then drains, so the other one has a single connection.
        let mut stage = ClusterHarness::with_config_changes(LAB, 1, &[FEW_SOCKETS, NO_CANCEL]);
        let (mut holds, mut frontend, mut checks) = (stage.frontend(), stage.frontend(), stage.frontend());
        for n in 1..=7 {
            send_request(&mut holds, n, &request_fields("/do/once", &format!("{n:016x}")));
            stage.workers[0].next_command();
        }
        let socket = narrow();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(8).unwrap();
        let clogged = TcpListener::from(socket);
        let at = clogged.local_addr().unwrap();
        stage.coordinator.next_poll();
        stage.announce_endpoints(
            2,
            &[
                endpoint_json("w0", stage.workers[0].address, "Terminating"),
                endpoint_json("w1", at, "Ready"),
            ],
        );
        let body = vec![7; 16 << 10];
        let of = |n: u16| format!("{:016x}", 100 + n);
        const ALL: u16 = 20;
        for n in 1..=ALL {
            send_request(
                &mut frontend,
                n,
                &RequestFields {
                    body: &body,
                    ..request_fields("/do/once", &of(n))
                },
            );
        }
        // All of them are placed once what came behind them is answered.
        send_request(&mut frontend, ALL + 1, &request_fields("/check", REQUEST_ID));
        assert_eq!(frontend.read_reply().unwrap().fastcgi_id, ALL + 1);
        let (mut connection, _) = clogged.accept().unwrap();
        // Nothing is read of it: it takes some of the commands, and one of them in part.
        for _ in 0..3 {
            assert_eq!(check_status(&mut checks), 200);
        }
        let mut answers = Vec::new();
        for n in 1..=ALL {
            frame::write(
                &mut answers,
                frame::FROM_WORKER,
                SUCCEEDED,
                id_number(&of(n)),
                b"report=queue:0",
                b"",
            );
        }
        connection.write_all(&answers).unwrap();
        assert_eq!(check_status(&mut checks), 200);
        // Those that had left are answered before this check.
        send_request(&mut frontend, ALL + 1, &request_fields("/check", REQUEST_ID));
        let mut left = 0;
        for reply in std::iter::repeat_with(|| frontend.read_reply().unwrap()) {
            if reply.fastcgi_id == ALL + 1 {
                break;
            }
            left += 1;
            assert_eq!((reply.fastcgi_id, reply.status), (left, 200));
        }
        assert!((1..ALL - 2).contains(&left), "{left} have left whole");
        let aborts = |from: u16, to: u16| (from..=to).flat_map(Frontend::encode_abort).collect::<Vec<u8>>();
        let first = if alone { left + 2 } else { left + 1 };
        frontend.send(&aborts(first, ALL)).unwrap();
        (first..=ALL).for_each(|_| assert_eq!(frontend.read_reply().unwrap().status, 0));
        if alone {
            frontend.send(&aborts(left + 1, left + 1)).unwrap();
            assert_eq!(frontend.read_reply().unwrap().status, 0);
        }
        assert_eq!(check_status(&mut checks), 200);
        // A further one: on the same connection behind what goes on, or on a new one where that connection was ended.
        send_request(&mut frontend, 1, &request_fields("/do/once", THIRD_REQUEST_ID));
        assert_eq!(check_status(&mut checks), 200);
        let (mut sent, mut further) = (Vec::new(), Vec::new());
        let third = (frame::EXECUTE, id_number(THIRD_REQUEST_ID));
        if alone {
            read_until(&mut clogged.accept().unwrap().0, &mut further, third);
            connection.read_to_end(&mut sent).unwrap();
        } else {
            read_until(&mut connection, &mut sent, third);
        }
        let (sent, over) = frames(&sent);
        let expected = |n: u16| {
            (1..=n)
                .map(|n| (frame::EXECUTE, id_number(&of(n))))
                .collect::<Vec<_>>()
        };
        if alone {
            assert_eq!((sent, frames(&further).0), (expected(left), vec![third]));
            assert!(over > 0, "one had left in part");
        } else {
            assert_eq!(sent, [expected(left + 1), vec![third]].concat());
        }
    }
}

/// Reads what is sent on a connection until a command has come whole.
fn read_until(connection: &mut TcpStream, sent: &mut Vec<u8>, last: (u8, u64)) {
    connection
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut piece = vec![0; 64 << 10];
    while !frames(sent).0.contains(&last) {
        let read = connection.read(&mut piece).unwrap();
        assert!(read > 0, "the lane has ended before");
        sent.extend_from_slice(&piece[..read]);
    }
}

// --- Readers of the log ---

#[test]
fn whoever_reads_the_log_may_leave_or_fall_asleep() {
    for leaves in [true, false] {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        let mut worker = Worker::start().unwrap();
        let known = endpoint_event(1, true, &[endpoint_json("w0", worker.address, "Ready")]);
        let coordinator = Coordinator::with_events(&known).unwrap();
        let text = config_json(coordinator.address, &known);
        std::fs::write(&file, &text).unwrap();
        let mut child = scheduler_command(LAB, &file)
            .env("RUST_LOG", "quartzdrift=trace")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let at = read_listen_address(&mut out).unwrap();
        coordinator.wait_until_followed(0);
        let mut log = child.stderr.take().filter(|_| !leaves);
        drop(out);
        let mut frontend = Frontend::connect(at).unwrap();
        // Its lines are far more than a pipe holds.
        for n in 1..=1000 {
            send_request(
                &mut frontend,
                1,
                &request_fields("/do/once", &format!("{n:016x}")),
            );
            serve_next_command(&mut worker, &mut frontend, b"");
        }
        if let Some(log) = &mut log {
            // Whoever reads it wakes up.
            log.read_exact(&mut [0; 32 << 10]).unwrap();
        }
        std::fs::write(&file, &text[..20]).unwrap();
        send_signal("-HUP", child.id());
        assert_eq!(check_status(&mut frontend), 200);
        send_signal("-TERM", child.id());
        assert!(child.wait().unwrap().success(), "leaves: {leaves}");
        if let Some(mut log) = log {
            let mut said = String::new();
            log.read_to_string(&mut said).unwrap();
            assert!(
                said.contains("lines of the log were lost") && said.ends_with('\n'),
                "{said}"
            );
            assert!(said.contains("the old one stands"), "{said}");
        }
    }
}

#[test]
fn nobody_needs_to_hear_where_it_listens() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let coordinator = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    std::fs::write(
        &file,
        config_json(coordinator.local_addr().unwrap(), r#"{"index":0,"updates":[]}"#),
    )
    .unwrap();
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut child = scheduler_command(LAB, &file).stdout(writer).spawn().unwrap();
    // It follows its coordinator, so it has started.
    coordinator.set_nonblocking(true).unwrap();
    while coordinator.accept().is_err() {
        assert_eq!(child.try_wait().unwrap(), None, "it has ended");
        std::thread::yield_now();
    }
    send_signal("-TERM", child.id());
    assert!(child.wait().unwrap().success());
}
