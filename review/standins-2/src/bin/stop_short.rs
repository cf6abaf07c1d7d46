//! Some answers of workers stop short, on connections that stay open. The scheduler is killed over its memory.
use review_standins_2::client::{Front, Request};
use review_standins_2::coordinator::Coordinator;
use review_standins_2::judge::{cannot_run, start_run, verdict};
use review_standins_2::record::{Random, has_trouble};
use review_standins_2::scheduler::{Scheduler, Settings, class};
use review_standins_2::wire::Command;
use review_standins_2::worker::{Action, Options, Worker};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Memory and descriptors that the configuration grants: the least and the most that the pages name.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1024;
/// Requests a second.
const RATE: f64 = 900.0;
/// One answer in so many is spoilt.
const ONE_IN: u64 = 10;
/// Length of the body that a spoilt answer declares.
const DECLARED: usize = 64 << 10;

fn main() {
    let record = start_run();
    let settings = Settings {
        classes: class("advisory-send", "fragile", 5000, None),
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        ..Settings::default()
    };
    let count = AtomicU64::new(0);
    let script = move |_: &Command| {
        let is_spoilt = has_trouble() && count.fetch_add(1, Ordering::SeqCst) % ONE_IN == ONE_IN - 1;
        if is_spoilt {
            Action::StopShort(DECLARED)
        } else {
            Action::RunFor(Duration::from_millis(20))
        }
    };
    let options = Options {
        lanes: 3,
        work: Duration::from_millis(20),
        queue: 1000,
        budget: None,
        script: Some(Arc::new(script)),
        group: 2,
    };
    let workers: Vec<_> = (0..14)
        .map(|n| Worker::start(&format!("s-{n}"), None, options.clone(), &record))
        .collect();
    let targets: Vec<_> = workers.iter().map(|worker| worker.target("Ready", 0)).collect();
    let coordinator = Coordinator::start(&targets);
    let mut scheduler = Scheduler::new(0);
    scheduler.start(0, &settings, coordinator.address, &coordinator.known());
    if !scheduler.wait_ready(Duration::from_secs(30)) {
        cannot_run(&record, "the scheduler is not ready");
    }
    let front = Front::new(scheduler.address, &record);
    let mut random = Random::new(u64::from(std::process::id()));
    let mut next = Instant::now();
    let until = Instant::now() + Duration::from_secs(15);
    let mut most = 0;
    let mut broken = Vec::new();
    while Instant::now() < until && broken.is_empty() {
        next += Duration::from_secs_f64(-random.share().ln() / RATE);
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        front.send(Request {
            id: random.next_u64(),
            class: "advisory-send".to_owned(),
            function: 0xabc0_0000_0000_0000 + random.next_u64() % 40,
            timeout_ms: 5000,
            key: None,
            body: b"harbour 3".to_vec(),
        });
        let used = scheduler.private_kib();
        most = most.max(used);
        if used > MEMORY_MB as u64 * 1024 {
            scheduler.kill();
            broken.push(format!(
                "killed: {used} KiB of private memory, the limit is {MEMORY_MB} MB"
            ));
        }
    }
    if let Some(status) = scheduler.ended() {
        broken.push(format!("the scheduler ended: {status}"));
    }
    std::thread::sleep(Duration::from_secs(if broken.is_empty() { 6 } else { 0 }));
    record.say(format!("at most {most} KiB of private memory"));
    record.say(format!("answers by status (0: none): {:?}", front.statuses()));
    verdict(&record, &broken)
}
