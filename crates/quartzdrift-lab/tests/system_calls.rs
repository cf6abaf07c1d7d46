//! A scheduler process whose system calls fail now and then, as their manual pages say they may. strace(1) makes them fail.
use quartzdrift_lab::cluster_harness::{ClusterHarness, SUCCEEDED, check_status, request_fields};
use quartzdrift_lab::platform::{Frontend, Worker};
use quartzdrift_platform::frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
/// Clients that come one after the other, each with a connection of its own.
const NEWCOMERS: u64 = 30;

/// A worker that answers each request at once, until it is told to stop.
struct Serving {
    over: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Serving {
    fn start(mut worker: Worker) -> Serving {
        let over = Arc::new(AtomicBool::new(false));
        let stop = over.clone();
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
        Serving { over, thread }
    }

    fn stop(self) {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
    }
}

/// Statuses of the answers to clients that come one after the other while these system calls fail. A client that has been
/// silent since before is still connected afterwards.
fn statuses_with(failures: &[&str]) -> Vec<u16> {
    let mut stage = ClusterHarness::with_failing_system_calls(LAB, 2, failures);
    let serving: Vec<Serving> = stage.workers.drain(..).map(Serving::start).collect();
    let mut silent = stage.frontend();
    assert_eq!(check_status(&mut silent), 200, "{failures:?}");
    let statuses = (1..=NEWCOMERS)
        .map(|id| {
            let mut newcomer = stage.frontend();
            let request = Frontend::encode_request(1, &request_fields("/do/again", &format!("{id:016x}")));
            newcomer.send(&request).unwrap();
            let reply = newcomer
                .read_reply()
                .unwrap_or_else(|error| panic!("{failures:?}: no answer: {error}"));
            assert!(reply.status != 200 || reply.body == id.to_be_bytes());
            reply.status
        })
        .collect();
    assert_eq!(check_status(&mut silent), 200, "{failures:?}");
    serving.into_iter().for_each(Serving::stop);
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
fn a_newcomer_that_fails_costs_nobody_else_anything() {
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
fn a_system_without_descriptors_or_buffers_for_a_moment_takes_newcomers_later() {
    for error in ["ENFILE", "ENOBUFS", "ENOMEM"] {
        assert_all_served_with(&[&format!("accept4:error={error}:when=3+5")]);
    }
}

#[test]
fn connections_that_fail_without_end_do_not_hold_up_the_others() {
    // Each try fails for half a minute's worth of newcomers, and the clients that are connected are served all the while.
    let mut stage =
        ClusterHarness::with_failing_system_calls(LAB, 1, &["accept4:error=ECONNABORTED:when=3+"]);
    let serving = Serving::start(stage.workers.remove(0));
    let mut served = stage.frontend();
    assert_eq!(check_status(&mut served), 200);
    let waiting = stage.frontend();
    for _ in 0..5 {
        assert_eq!(check_status(&mut served), 200);
    }
    drop(waiting);
    serving.stop();
}

#[test]
fn a_connection_that_cannot_be_made_for_a_moment_costs_no_request() {
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
fn waits_and_reads_and_writes_that_are_interrupted_are_resumed() {
    let failures = [
        "epoll_wait:error=EINTR:when=3+2",
        "recvfrom:error=EINTR:when=2+3",
        "sendto:error=EINTR:when=2+3",
    ];
    assert_all_served_with(&failures);
}
