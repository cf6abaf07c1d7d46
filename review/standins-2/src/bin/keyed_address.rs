//! A worker dies; a new one of another group starts at its address, and is told of before the end of the old one.
//! Meanwhile some connections are reset under keyed requests that have run.
use review_standins_2::client::{Front, Request};
use review_standins_2::coordinator::Coordinator;
use review_standins_2::judge::{cannot_run, start_run, verdict};
use review_standins_2::record::{Random, has_trouble, unix_ms};
use review_standins_2::scheduler::{Scheduler, Settings, class};
use review_standins_2::wire::Command;
use review_standins_2::worker::{Action, Options, Worker};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const WORK: Duration = Duration::from_millis(20);

fn main() {
    let record = start_run();
    let settings = Settings {
        classes: [
            class("stock-check", "retryable", 4000, None),
            class("price-set", "dedup", 4000, Some(("cell", 8000))),
        ]
        .join(","),
        ..Settings::default()
    };
    let sound = |group| Options {
        lanes: 3,
        work: WORK,
        queue: 24,
        budget: None,
        script: None,
        group,
    };
    // Of the keyed requests at the first worker one in eight has run when its connection is reset.
    let keyed = AtomicU64::new(0);
    let script = move |command: &Command| {
        let is_keyed = command.field("profile") == Some("price-set");
        match is_keyed && keyed.fetch_add(1, Ordering::SeqCst) % 8 == 7 {
            true => Action::ResetAfter(WORK),
            false => Action::Run,
        }
    };
    let first = Worker::start(
        "s-a",
        None,
        Options {
            script: Some(Arc::new(script)),
            ..sound(1)
        },
        &record,
    );
    let old = Worker::start("s-b", None, sound(1), &record);
    let other = Worker::start("s-c", None, sound(2), &record);
    let targets: Vec<_> = [&first, &old, &other]
        .iter()
        .map(|worker| worker.target("Ready", 0))
        .collect();
    let coordinator = Coordinator::start(&targets);
    let mut scheduler = Scheduler::new(0);
    scheduler.start(0, &settings, coordinator.address, &coordinator.known());
    if !scheduler.wait_ready(Duration::from_secs(30)) {
        cannot_run(&record, "the scheduler is not ready");
    }
    let front = Front::new(scheduler.address, &record);
    let mut random = Random::new(u64::from(std::process::id()));
    let mut send = |time: Duration| {
        let until = record.now() + time;
        while record.now() < until {
            let id = random.next_u64();
            let is_keyed = random.share() < 0.5;
            front.send(Request {
                id,
                class: if is_keyed { "price-set" } else { "stock-check" }.to_owned(),
                function: 0xabc0_0000_0000_0000 + random.next_u64() % 20,
                timeout_ms: 4000,
                key: is_keyed.then(|| format!("{id:016x}")),
                body: b"machine 7".to_vec(),
            });
            std::thread::sleep(Duration::from_secs_f64(-random.share().ln() / 150.0));
        }
    };
    send(Duration::from_secs(3));
    record.say("s-b dies");
    old.stop();
    let boot_ms = unix_ms();
    send(Duration::from_millis(150));
    let address = has_trouble().then_some(old.address);
    let new = Worker::start("s-d", address, sound(2), &record);
    send(Duration::from_millis(150));
    record.say(format!(
        "told: s-d is Ready at {}, group 2 (s-b was at {}, group 1)",
        new.address, old.address
    ));
    coordinator.tell(false, &[new.target("Ready", boot_ms)]);
    let told = record.now() + Duration::from_millis(250);
    send(Duration::from_millis(4000));
    record.say("told: s-b is Gone");
    coordinator.tell(false, &[old.target("Gone", 0)]);
    send(Duration::from_secs(3));
    std::thread::sleep(Duration::from_secs(5));
    let mut runs: BTreeMap<String, Vec<(Duration, String, u32)>> = BTreeMap::new();
    for (worker, group) in [(&first, 1), (&old, 1), (&other, 2), (&new, 2)] {
        for arrival in worker
            .arrivals()
            .into_iter()
            .filter(|arrival| !arrival.key.is_empty())
        {
            runs.entry(arrival.key)
                .or_default()
                .push((arrival.at, worker.uid.clone(), group));
        }
    }
    let mut broken = Vec::new();
    for (key, mut runs) in runs {
        runs.sort();
        // Only what was sent well after the scheduler had been told that s-d is at this address.
        if runs.iter().any(|run| run.2 != runs[0].2 && run.0 > told) {
            broken.push(format!("{key} ran in two groups: {runs:?}"));
        }
    }
    record.say(format!("answers by status: {:?}", front.statuses()));
    verdict(&record, &broken)
}
