//! Closes at unfavourable times: clients, worker connections and readers of the log that close, send nothing
//! or stop reading while requests or writes are in progress. The tests run a scheduler process on loopback
//! against fakes that fix the order of events.
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

/// Configuration change that enables the slow start of workers: one that has just started receives little
/// load.
const SLOW_START: (&str, &str) = (
    "\"drain-grace-ns\":2000000000",
    "\"drain-grace-ns\":2000000000,\"cold-from\":0.2,\"cold-ns\":20000000000,\
     \"fall-multiple\":3,\"fall-ns\":2000000000",
);

/// Returns a socket with a small receive buffer, so that the send buffers of its peers fill up while it is
/// not read.
fn socket_with_small_receive_buffer() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket
}

#[test]
fn a_request_whose_client_has_closed_is_not_sent_on_an_active_connection() {
    for half_closed in [true, false] {
        let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL]);
        let (mut frontend, mut leaving, mut checks) =
            (cluster.frontend(), cluster.frontend(), cluster.frontend());
        assert_eq!(
            (check_status(&mut leaving), check_status(&mut checks)),
            (200, 200)
        );
        send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
        let (connection, _, id, ..) = cluster.workers[0].next_command();
        cluster.pause();
        // The response frees a connection that has just been active and needs no ping, so the next request is
        // sent on it in the same iteration of the event loop.
        cluster.workers[0].answer(connection, SUCCEEDED, id, b"");
        send_request(&mut leaving, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
        leaving.shutdown_write().unwrap();
        let kept = half_closed.then_some(leaving);
        cluster.resume();
        assert_eq!(frontend.read_reply().unwrap().status, 200);
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
fn overlapping_requests_on_a_connection_do_not_end_it() {
    let cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    let requests: Vec<Vec<u8>> = (1..=12)
        .map(|n| Frontend::encode_request(n, &request_fields("/check", REQUEST_ID)))
        .collect();
    let half_length = requests[0].len() / 2;
    frontend.send(&requests[0][..half_length]).unwrap();
    // Each request is complete 200 ms after its first byte, but at any time one request is incomplete.
    for (n, pair) in (1..).zip(requests.windows(2)) {
        std::thread::sleep(Duration::from_millis(200));
        frontend
            .send(&[&pair[0][half_length..], &pair[1][..half_length]].concat())
            .unwrap();
        let reply = frontend.read_reply().unwrap();
        assert_eq!((reply.fastcgi_id, reply.status), (n, 200));
    }
    // A request that stays incomplete ends its connection although complete requests arrive after it.
    let (mut other, started_at) = (cluster.frontend(), Instant::now());
    assert_eq!(check_status(&mut other), 200);
    // Only its first record is sent, so the records after it are complete and parsed correctly.
    let first_record = &Frontend::encode_request(99, &request_fields("/check", REQUEST_ID))
        [..quartzdrift_fastcgi::HEADER_LENGTH + 8];
    other.send(first_record).unwrap();
    let mut served = 0;
    while other.send(&requests[0]).is_ok() {
        let Ok(reply) = other.read_reply() else { break };
        assert_eq!((reply.fastcgi_id, reply.status), (1, 200));
        served += 1;
        assert!(
            started_at.elapsed() < Duration::from_secs(4),
            "the connection with the incomplete request is still open after {:?}",
            started_at.elapsed()
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(
        served > 5 && started_at.elapsed() < Duration::from_secs(4),
        "{served} requests served in {:?}",
        started_at.elapsed()
    );
}

#[test]
fn a_client_that_has_read_all_responses_may_be_silent_while_a_request_runs() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    // The first request is answered in the same iteration of the event loop, the second one by a worker
    // later.
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
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    // Longer than a client may take to read pending output; no output is pending here.
    std::thread::sleep(Duration::from_millis(5500));
    assert_eq!(check_status(&mut cluster.frontend()), 200);
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"long");
    assert_eq!(frontend.read_reply().unwrap().body, b"long");
}

#[test]
fn no_request_is_sent_for_a_client_that_was_disconnected_in_the_same_read() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[NO_CANCEL]);
    // A client that reads none of its responses.
    let socket = socket_with_small_receive_buffer();
    socket.connect(&cluster.address.into()).unwrap();
    let mut not_reading = Frontend::from_stream(TcpStream::from(socket)).unwrap();
    for n in 1..=17 {
        send_request(
            &mut not_reading,
            n,
            &request_fields("/do/once", &format!("{n:016x}")),
        );
        let (connection, _, id, ..) = cluster.workers[0].next_command();
        cluster.workers[0].answer(connection, SUCCEEDED, id, &[7; 60_000]);
    }
    // Health checks, then a request that is aborted at once. The scheduler disconnects the client as soon as
    // the pending output exceeds its limit. This happens at a health check within a read, which still holds
    // later requests. FastCGI request ids are reused only long after their responses. The health checks have
    // long bodies, so that few of them exceed the limit of open requests.
    let body = vec![7; 1000];
    let health_check = |n| {
        Frontend::encode_request(
            n,
            &RequestFields {
                body: &body,
                ..request_fields("/check", REQUEST_ID)
            },
        )
    };
    let unit = |first: u16| {
        let checks = (first..first + 7).flat_map(health_check);
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
            .any(|unit| not_reading.send(unit).is_err()),
        "the scheduler did not disconnect a client that reads no responses"
    );
    assert_eq!(check_status(&mut cluster.frontend()), 200);
    assert_eq!(codes_and_ids(&cluster.drain_commands(0)), []);
}

#[test]
fn a_lack_of_free_connections_does_not_count_against_a_worker() {
    let one_stream = ("\"streams-per-conn\":32", "\"streams-per-conn\":1");
    let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[FEW_SOCKETS, one_stream, SLOW_START]);
    let mut frontend = cluster.frontend();
    for n in 1..=8 {
        send_request(
            &mut frontend,
            n,
            &request_fields("/do/once", &format!("{n:016x}")),
        );
        cluster.workers[0].next_command();
    }
    send_request(&mut frontend, 9, &request_fields("/do/once", REQUEST_ID));
    assert_eq!(
        frontend.read_reply().unwrap().status,
        503,
        "no connection is free for the request, and it was never sent"
    );
    // Half of the requests are aborted. Connections are free again, and the worker has sent no response yet.
    frontend
        .send(&(1..=4).flat_map(Frontend::encode_abort).collect::<Vec<u8>>())
        .unwrap();
    for _ in 1..=4 {
        assert_eq!(frontend.read_reply().unwrap().status, 0);
        assert_eq!(cluster.workers[0].next_command().1, frame::CANCEL);
    }
    // The worker was never down, so no slow start applies.
    send_request(&mut frontend, 10, &request_fields("/do/once", SECOND_REQUEST_ID));
    serve_next_command(&mut cluster.workers[0], &mut frontend, b"");
}

/// Returns the lowest free descriptor of a process. With this value as its limit, the process can open no
/// further descriptor.
fn lowest_free_descriptor(process: u32) -> u64 {
    let folder = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
    let open: Vec<u64> = folder
        .map(|entry| entry.unwrap().file_name().to_str().unwrap().parse().unwrap())
        .collect();
    (0..).find(|descriptor| !open.contains(descriptor)).unwrap()
}

/// Sets the soft limit of the number of descriptors of a process.
fn limit_descriptors(process: u32, limit: u64) {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let pid = Pid::from_raw(process.try_into().unwrap());
    prlimit(
        pid,
        Resource::Nofile,
        Rlimit {
            current: Some(limit),
            maximum,
        },
    )
    .unwrap();
}

#[test]
fn without_a_free_descriptor_the_longest_idle_client_is_closed_and_no_worker_counts_as_down() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[SLOW_START]);
    let process = cluster.process_id();
    let mut clients: Vec<Frontend> = (0..3).map(|_| cluster.frontend()).collect();
    clients
        .iter_mut()
        .for_each(|frontend| assert_eq!(check_status(frontend), 200));
    cluster.coordinator.next_poll();
    // The scheduler has an open connection to the coordinator, so polls need no new descriptor.
    limit_descriptors(process, lowest_free_descriptor(process));
    let mut new_client = cluster.frontend();
    assert_eq!(check_status(&mut new_client), 200);
    let error = clients[0].read_reply().unwrap_err().kind();
    assert_eq!(
        error,
        ErrorKind::UnexpectedEof,
        "the client that was idle longest is closed"
    );
    // No descriptor is free for a connection to a worker either.
    send_request(&mut new_client, 1, &request_fields("/do/once", REQUEST_ID));
    assert_eq!(new_client.read_reply().unwrap().status, 503);
    limit_descriptors(process, 1000);
    send_request(&mut new_client, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    serve_next_command(&mut cluster.workers[0], &mut new_client, b"");
}

#[test]
fn fewer_descriptors_than_configured_sockets_lose_no_request() {
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
    let address = read_listen_address(&mut BufReader::new(child.stdout.take().unwrap())).unwrap();
    coordinator.wait_until_followed(0);
    // More clients than descriptors. The test keeps each connection open.
    let mut clients: Vec<Frontend> = Vec::new();
    for _ in 0..60 {
        let mut frontend = Frontend::connect(address).unwrap();
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
fn a_new_client_waits_while_all_clients_have_open_requests() {
    let mut cluster = ClusterHarness::with_config_changes(LAB, 2, &[FEW_SOCKETS]);
    let mut busy: Vec<Frontend> = (0..8).map(|_| cluster.frontend()).collect();
    for (frontend, n) in busy.iter_mut().zip(1_u64..) {
        send_request(frontend, 1, &request_fields("/do/once", &format!("{n:016x}")));
    }
    let mut commands = Vec::new();
    while commands.len() < busy.len() {
        for (n, worker) in cluster.workers.iter_mut().enumerate() {
            commands.extend(
                worker
                    .try_next_command()
                    .map(|(connection, _, id, ..)| (n, connection, id)),
            );
        }
        std::thread::yield_now();
    }
    // All sockets are in use, and none of the other clients is idle.
    let mut new_client = cluster.frontend();
    send_request(&mut new_client, 1, &request_fields("/do/once", REQUEST_ID));
    // Longer than any iteration of the event loop.
    std::thread::sleep(Duration::from_millis(300));
    let (worker, connection, id) = commands[0];
    cluster.workers[worker].answer(connection, SUCCEEDED, id, b"first");
    assert_eq!(
        busy[usize::try_from(id).unwrap() - 1].read_reply().unwrap().body,
        b"first"
    );
    let waiting_since = Instant::now();
    let (worker, (connection, _, id, ..)) = loop {
        let mut workers = cluster.workers.iter_mut().enumerate();
        if let Some(command) = workers.find_map(|(n, worker)| Some((n, worker.try_next_command()?))) {
            break command;
        }
        assert!(
            waiting_since.elapsed() < Duration::from_secs(20),
            "the request of the new client is not served"
        );
        std::thread::yield_now();
    };
    cluster.workers[worker].answer(connection, SUCCEEDED, id, b"after all");
    assert_eq!(new_client.read_reply().unwrap().body, b"after all");
}

/// Parses the bytes of a connection; returns code and request id of each complete frame, and the number of
/// bytes after them.
fn parse_frames(mut bytes: &[u8]) -> (Vec<(u8, u64)>, usize) {
    let mut complete = Vec::new();
    while let Some(header) = bytes.get(..frame::HEADER_BYTES) {
        assert_eq!(
            header[0],
            frame::FROM_SCHEDULER,
            "no frame starts after {complete:?}"
        );
        let fields = usize::from(u16::from_be_bytes([header[2], header[3]]));
        let body = u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize;
        let id = u64::from_be_bytes(header[8..16].try_into().unwrap());
        let length = frame::HEADER_BYTES + fields + body + frame::CHECKSUM_BYTES;
        if bytes.len() < length {
            break;
        }
        complete.push((header[1], id));
        bytes = &bytes[length..];
    }
    (complete, bytes.len())
}

#[test]
fn a_partly_sent_command_is_completed_or_its_connection_is_closed() {
    // The request with the partly sent command is aborted either last, when no other request is left on its
    // connection, or first, while other requests wait behind it.
    for abort_partial_last in [false, true] {
        // A worker that then drains holds seven connections, so the other worker gets a single one.
        let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[FEW_SOCKETS, NO_CANCEL]);
        let (mut blocking, mut frontend, mut checks) =
            (cluster.frontend(), cluster.frontend(), cluster.frontend());
        for n in 1..=7 {
            send_request(
                &mut blocking,
                n,
                &request_fields("/do/once", &format!("{n:016x}")),
            );
            cluster.workers[0].next_command();
        }
        let socket = socket_with_small_receive_buffer();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(8).unwrap();
        let not_reading = TcpListener::from(socket);
        let address = not_reading.local_addr().unwrap();
        cluster.coordinator.next_poll();
        cluster.announce_endpoints(
            2,
            &[
                endpoint_json("w0", cluster.workers[0].address, "Terminating"),
                endpoint_json("w1", address, "Ready"),
            ],
        );
        let body = vec![7; 16 << 10];
        let request_id = |n: u16| format!("{:016x}", 100 + n);
        const REQUEST_COUNT: u16 = 20;
        for n in 1..=REQUEST_COUNT {
            send_request(
                &mut frontend,
                n,
                &RequestFields {
                    body: &body,
                    ..request_fields("/do/once", &request_id(n))
                },
            );
        }
        // A later health check is answered, so all requests are assigned.
        send_request(
            &mut frontend,
            REQUEST_COUNT + 1,
            &request_fields("/check", REQUEST_ID),
        );
        assert_eq!(frontend.read_reply().unwrap().fastcgi_id, REQUEST_COUNT + 1);
        let (mut connection, _) = not_reading.accept().unwrap();
        // The connection is not read, so it takes some complete commands and a part of the next one.
        for _ in 0..3 {
            assert_eq!(check_status(&mut checks), 200);
        }
        let mut answers = Vec::new();
        for n in 1..=REQUEST_COUNT {
            frame::write(
                &mut answers,
                frame::FROM_WORKER,
                SUCCEEDED,
                id_number(&request_id(n)),
                b"report=queue:0",
                b"",
            );
        }
        connection.write_all(&answers).unwrap();
        assert_eq!(check_status(&mut checks), 200);
        // Requests with complete commands are answered before this health check.
        send_request(
            &mut frontend,
            REQUEST_COUNT + 1,
            &request_fields("/check", REQUEST_ID),
        );
        let mut sent_count = 0;
        for reply in std::iter::repeat_with(|| frontend.read_reply().unwrap()) {
            if reply.fastcgi_id == REQUEST_COUNT + 1 {
                break;
            }
            sent_count += 1;
            assert_eq!((reply.fastcgi_id, reply.status), (sent_count, 200));
        }
        assert!(
            (1..REQUEST_COUNT - 2).contains(&sent_count),
            "{sent_count} commands were sent completely"
        );
        let aborts = |from: u16, to: u16| (from..=to).flat_map(Frontend::encode_abort).collect::<Vec<u8>>();
        let first = if abort_partial_last {
            sent_count + 2
        } else {
            sent_count + 1
        };
        frontend.send(&aborts(first, REQUEST_COUNT)).unwrap();
        (first..=REQUEST_COUNT).for_each(|_| assert_eq!(frontend.read_reply().unwrap().status, 0));
        if abort_partial_last {
            frontend.send(&aborts(sent_count + 1, sent_count + 1)).unwrap();
            assert_eq!(frontend.read_reply().unwrap().status, 0);
        }
        assert_eq!(check_status(&mut checks), 200);
        // A further request is sent on the same connection after the partial command, or on a new connection
        // if the scheduler closed the first one.
        send_request(&mut frontend, 1, &request_fields("/do/once", THIRD_REQUEST_ID));
        assert_eq!(check_status(&mut checks), 200);
        let (mut sent, mut sent_on_new_connection) = (Vec::new(), Vec::new());
        let third = (frame::EXECUTE, id_number(THIRD_REQUEST_ID));
        if abort_partial_last {
            read_until(
                &mut not_reading.accept().unwrap().0,
                &mut sent_on_new_connection,
                third,
            );
            connection.read_to_end(&mut sent).unwrap();
        } else {
            read_until(&mut connection, &mut sent, third);
        }
        let (sent, partial_bytes) = parse_frames(&sent);
        let first_commands = |n: u16| {
            (1..=n)
                .map(|n| (frame::EXECUTE, id_number(&request_id(n))))
                .collect::<Vec<_>>()
        };
        if abort_partial_last {
            assert_eq!(
                (sent, parse_frames(&sent_on_new_connection).0),
                (first_commands(sent_count), vec![third])
            );
            assert!(partial_bytes > 0, "no command was sent partly");
        } else {
            assert_eq!(sent, [first_commands(sent_count + 1), vec![third]].concat());
        }
    }
}

/// Reads from a connection until the frame `last` is complete, and appends the bytes to `sent`.
fn read_until(connection: &mut TcpStream, sent: &mut Vec<u8>, last: (u8, u64)) {
    connection
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut buffer = vec![0; 64 << 10];
    while !parse_frames(sent).0.contains(&last) {
        let read = connection.read(&mut buffer).unwrap();
        assert!(read > 0, "the connection ended before the frame {last:?}");
        sent.extend_from_slice(&buffer[..read]);
    }
}

// --- Readers of the log ---

#[test]
fn the_reader_of_the_log_may_close_it_or_stop_reading() {
    for closes in [true, false] {
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
        let address = read_listen_address(&mut out).unwrap();
        coordinator.wait_until_followed(0);
        let mut log = child.stderr.take().filter(|_| !closes);
        drop(out);
        let mut frontend = Frontend::connect(address).unwrap();
        // The log lines of these requests exceed the capacity of a pipe.
        for n in 1..=1000 {
            send_request(
                &mut frontend,
                1,
                &request_fields("/do/once", &format!("{n:016x}")),
            );
            serve_next_command(&mut worker, &mut frontend, b"");
        }
        if let Some(log) = &mut log {
            // The reader continues.
            log.read_exact(&mut [0; 32 << 10]).unwrap();
        }
        std::fs::write(&file, &text[..20]).unwrap();
        send_signal("-HUP", child.id());
        assert_eq!(check_status(&mut frontend), 200);
        send_signal("-TERM", child.id());
        assert!(child.wait().unwrap().success(), "the reader closes: {closes}");
        if let Some(mut log) = log {
            let mut rest = String::new();
            log.read_to_string(&mut rest).unwrap();
            assert!(
                rest.contains("lines of the log were lost") && rest.ends_with('\n'),
                "{rest}"
            );
            assert!(rest.contains("the current one stays in use"), "{rest}");
        }
    }
}

#[test]
fn the_process_runs_although_its_standard_output_is_closed() {
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
    // The scheduler connects to its coordinator once it has started.
    coordinator.set_nonblocking(true).unwrap();
    while coordinator.accept().is_err() {
        assert_eq!(child.try_wait().unwrap(), None, "the scheduler has exited");
        std::thread::yield_now();
    }
    send_signal("-TERM", child.id());
    assert!(child.wait().unwrap().success());
}
