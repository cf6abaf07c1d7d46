//! Slow start on sockets: how many requests a scheduler process sends to a worker that has just started.
use quartzdrift_lab::cluster_harness::{
    ClusterHarness, SUCCEEDED, endpoint_json, request_fields, send_request,
};
use quartzdrift_lab::platform::{Frontend, Worker};
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
/// The text of the configuration that the rule of slow start is added to: a worker begins with a fifth of its
/// capacity, and has all of it after [`SLOW_START`].
const DRAIN_GRACE: &str = "\"drain-grace-ns\":2000000000";
const SLOW_START: Duration = Duration::from_secs(4);
/// Number of warm workers before a start.
const WARM_WORKERS: usize = 2;
/// Requests per second that a warm worker has shown to execute: its share of the first batches.
const WARM_CAPACITY: f64 = (WARM_UP_BATCHES * BATCH as usize / WARM_WORKERS) as f64;
/// Time that the rule's limit is for.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests that are open on a connection at most.
const BATCH: u16 = 30;
/// Requests that the warm workers serve before the starts, so that the scheduler knows their throughput.
const WARM_UP_BATCHES: usize = 2;
/// Batches that arrive right after a start: far more requests than the limit.
const BATCHES_AFTER_START: usize = 3;
/// Right time of the starts, in milliseconds since 1970.
const NOW_MS: i64 = 1_800_000_000_000;
const HOUR_SECONDS: i64 = 3600;

/// The entry of a worker whose machine's clock is ahead, by a negative number behind, at its start.
fn started_worker(uid: &str, address: SocketAddr, clock_ahead_seconds: i64) -> String {
    let boot_ms = NOW_MS + clock_ahead_seconds * 1000;
    endpoint_json(uid, address, "Ready").replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot_ms}"))
}

/// Sends batches of requests, each on a connection of its own, and starts to read the replies.
fn send_batches(cluster: &ClusterHarness, first_id: u64, batches: usize) -> Vec<JoinHandle<()>> {
    let send_batch = |batch: usize| {
        let mut frontend: Frontend = cluster.frontend();
        for number in 1..=BATCH {
            let id = format!(
                "{:016x}",
                first_id + batch as u64 * u64::from(BATCH) + u64::from(number)
            );
            send_request(&mut frontend, number, &request_fields("/do/again", &id));
        }
        let read_replies = move || (0..BATCH).for_each(|_| drop(frontend.read_reply().unwrap()));
        thread::spawn(read_replies)
    };
    (0..batches).map(send_batch).collect()
}

/// What a worker of this age may receive within [`WINDOW`]: a multiple of its present capacity, and the
/// tolerance that the rule allows beyond it.
fn slow_start_limit(age: Duration) -> usize {
    let warmed_share = age.div_duration_f64(SLOW_START).min(1.0);
    let budget = 3.0 * (0.2 + 0.8 * warmed_share) * WARM_CAPACITY * WINDOW.as_secs_f64();
    let deviations = if budget < 30.0 { 3.0 } else { 2.0 };
    (budget + deviations * (budget.sqrt() + 1.0)) as usize
}

/// Serves the commands at all workers until the replies are read. Returns when each worker received them.
fn serve_until_answered(workers: &mut [Worker], replies: Vec<JoinHandle<()>>) -> Vec<Vec<Instant>> {
    let mut received = vec![Vec::new(); workers.len()];
    while replies.iter().any(|reader| !reader.is_finished()) {
        for (worker, times) in workers.iter_mut().zip(&mut received) {
            while let Some((connection, _, id, ..)) = worker.try_next_command() {
                times.push(Instant::now());
                worker.answer(connection, SUCCEEDED, id, b"done");
            }
        }
        thread::yield_now();
    }
    replies.into_iter().for_each(|reader| reader.join().unwrap());
    received
}

/// Starts a scheduler with two warm workers, and lets it measure their throughput.
fn start_measured_cluster() -> ClusterHarness {
    let rules = format!(
        r#"{DRAIN_GRACE},"cold-from":0.2,"cold-ns":{},"fall-multiple":3,"fall-ns":1000000000"#,
        SLOW_START.as_nanos()
    );
    let mut cluster = ClusterHarness::with_config_changes(LAB, WARM_WORKERS, &[(DRAIN_GRACE, &rules)]);
    let replies = send_batches(&cluster, 0, WARM_UP_BATCHES);
    serve_until_answered(&mut cluster.workers, replies);
    cluster.coordinator.next_poll();
    cluster
}

/// Tells the scheduler of a worker's start and of the end of the warm ones, and sends it many requests. The
/// started worker must receive some of them at once, and never more than the rule allows.
fn assert_is_warmed_up(cluster: &mut ClusterHarness, index: u64, started: Worker, clock_ahead_seconds: i64) {
    let gone = |index: usize| endpoint_json(&format!("w{index}"), cluster.workers[index].address, "Gone");
    let entry = started_worker("started", started.address, clock_ahead_seconds);
    let started_at = Instant::now();
    cluster.announce_endpoints(index, &[entry, gone(0), gone(1)]);
    cluster.workers.push(started);
    let replies = send_batches(cluster, 1 << 32, BATCHES_AFTER_START);
    let received = serve_until_answered(&mut cluster.workers, replies).swap_remove(WARM_WORKERS);
    assert!(!received.is_empty(), "no request reached the started worker");
    for last in &received {
        let in_window = received
            .iter()
            .filter(|at| **at <= *last && **at + WINDOW > *last)
            .count();
        let limit = slow_start_limit(*last - started_at);
        assert!(
            in_window <= limit,
            "{in_window} commands within {WINDOW:?}, at most {limit} are allowed"
        );
    }
}

/// Guards against a worker that falls after a start because the clocks of two machines were compared: the age
/// of a process does not follow from start times.
#[test]
fn a_started_worker_is_warmed_up_whatever_the_clocks_of_the_machines_show() {
    let other = Worker::start().unwrap();
    let slow_start_seconds = SLOW_START.as_secs() as i64;
    // Seconds by which the clocks of an earlier start and of the one that is judged are ahead.
    let forms = [
        (HOUR_SECONDS, 0),
        (5 * slow_start_seconds, 0),
        (slow_start_seconds + 1, 0),
        (0, -HOUR_SECONDS),
        (0, 0),
    ];
    for (other_ahead, started_ahead) in forms {
        println!("clocks ahead by {other_ahead} s and {started_ahead} s");
        let mut cluster = start_measured_cluster();
        let earlier = started_worker("other", other.address, other_ahead).replace("Ready", "Terminating");
        cluster.announce_endpoints(2, &[earlier]);
        assert_is_warmed_up(&mut cluster, 3, Worker::start().unwrap(), started_ahead);
    }
}

/// Guards against a restart that is not noticed because the clock of the worker's machine was set back.
#[test]
fn a_restarted_worker_is_warmed_up_after_its_clock_was_set_back() {
    let restart = |ahead: i64| {
        let worker = Worker::start().unwrap();
        let mut cluster = start_measured_cluster();
        cluster.announce_endpoints(2, &[started_worker("started", worker.address, 0)]);
        thread::sleep(SLOW_START);
        println!("restarted with the clock ahead by {ahead} s");
        assert_is_warmed_up(&mut cluster, 3, worker, ahead);
    };
    let restarts = [-HOUR_SECONDS, -1, 1].map(|ahead| thread::spawn(move || restart(ahead)));
    for restart in restarts {
        restart.join().unwrap();
    }
}
