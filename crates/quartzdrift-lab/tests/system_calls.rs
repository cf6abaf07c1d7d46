//! A scheduler process whose system calls fail with errors that their manual pages list. strace(1) injects
//! the errors.
use quartzdrift_lab::cluster_harness::{ClusterHarness, SUCCEEDED, check_status, request_fields};
use quartzdrift_lab::platform::{Frontend, Worker};
use quartzdrift_platform::frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
/// Number of clients that send a request one after the other, each on a new connection.
const CLIENT_COUNT: u64 = 30;

/// A worker thread that responds to each request at once until it is stopped.
struct WorkerThread {
    stop_requested: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl WorkerThread {
    fn start(mut worker: Worker) -> WorkerThread {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let stop = stop_requested.clone();
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                match worker.try_next_command() {
                    Some((connection, frame::EXECUTE, id, ..)) => {
                        worker.try_answer(connection, SUCCEEDED, id, &id.to_be_bytes());
                    }
                    Some(_) => {}
                    None => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        WorkerThread {
            stop_requested,
            thread,
        }
    }

    fn stop(self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
    }
}

/// Returns the response statuses of clients that each send a request on a new connection while the given
/// system calls fail. Checks that a client that was connected before them is still connected afterwards.
fn statuses_with(failures: &[&str]) -> Vec<u16> {
    let mut cluster = ClusterHarness::with_failing_system_calls(LAB, 2, failures);
    let workers: Vec<WorkerThread> = cluster.workers.drain(..).map(WorkerThread::start).collect();
    let mut idle_client = cluster.frontend();
    assert_eq!(check_status(&mut idle_client), 200, "{failures:?}");
    let statuses = (1..=CLIENT_COUNT)
        .map(|id| {
            let mut client = cluster.frontend();
            let request = Frontend::encode_request(1, &request_fields("/do/again", &format!("{id:016x}")));
            client.send(&request).unwrap();
            let reply = client
                .read_reply()
                .unwrap_or_else(|error| panic!("{failures:?}: no response to request {id:016x}: {error}"));
            assert!(reply.status != 200 || reply.body == id.to_be_bytes());
            reply.status
        })
        .collect();
    assert_eq!(check_status(&mut idle_client), 200, "{failures:?}");
    workers.into_iter().for_each(WorkerThread::stop);
    statuses
}

fn assert_all_served_with(failures: &[&str]) {
    let statuses = statuses_with(failures);
    assert!(
        statuses.iter().all(|status| *status == 200),
        "{failures:?}: {statuses:?}"
    );
}

#[test]
fn a_failed_accept_affects_no_other_client() {
    for error in [
        "ECONNABORTED",
        "EINTR",
        "EPROTO",
        "ENETDOWN",
        "ENETUNREACH",
        "EHOSTDOWN",
        "EHOSTUNREACH",
        "ETIMEDOUT",
    ] {
        assert_all_served_with(&[&format!("accept4:error={error}:when=2+2")]);
    }
}

#[test]
fn connections_are_accepted_after_a_temporary_lack_of_descriptors_or_buffers() {
    for error in ["ENFILE", "ENOBUFS", "ENOMEM"] {
        assert_all_served_with(&[&format!("accept4:error={error}:when=3+5")]);
    }
}

#[test]
fn accepts_that_fail_permanently_do_not_delay_connected_clients() {
    // Every accept after the second one fails, while the connected client is still served.
    let mut cluster =
        ClusterHarness::with_failing_system_calls(LAB, 1, &["accept4:error=ECONNABORTED:when=3+"]);
    let worker = WorkerThread::start(cluster.workers.remove(0));
    let mut connected = cluster.frontend();
    assert_eq!(check_status(&mut connected), 200);
    let not_accepted = cluster.frontend();
    for _ in 0..5 {
        assert_eq!(check_status(&mut connected), 200);
    }
    drop(not_accepted);
    worker.stop();
}

#[test]
fn a_temporary_failure_to_connect_to_a_worker_loses_no_request() {
    for failure in [
        "socket:error=ENFILE:when=8+3",
        "socket:error=ENOBUFS:when=8+3",
        "connect:error=EADDRNOTAVAIL:when=3+3",
        "connect:error=ENETUNREACH:when=3+3",
        "connect:error=EHOSTUNREACH:when=3+3",
        "connect:error=ETIMEDOUT:when=3+3",
    ] {
        let statuses = statuses_with(&[failure]);
        assert!(
            statuses.iter().all(|status| [200, 503].contains(status)),
            "{failure}: {statuses:?}"
        );
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert!(served * 2 > statuses.len(), "{failure}: {statuses:?}");
    }
}

#[test]
fn interrupted_waits_reads_and_writes_are_resumed() {
    let failures = [
        "epoll_wait:error=EINTR:when=3+2",
        "recvfrom:error=EINTR:when=2+3",
        "sendto:error=EINTR:when=2+3",
    ];
    assert_all_served_with(&failures);
}
