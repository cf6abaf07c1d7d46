//! A web server of the front carries the requests of many clients on one connection. One of them has a body over
//! the protocol's limit.
use review_standins_2::client::{Front, Request};
use review_standins_2::coordinator::Coordinator;
use review_standins_2::judge::{cannot_run, start_run, verdict};
use review_standins_2::record::{Random, has_trouble};
use review_standins_2::scheduler::{Scheduler, Settings};
use review_standins_2::wire::Command;
use review_standins_2::worker::{Action, Options, Worker};
use std::sync::Arc;
use std::time::Duration;

/// Most bytes of a body that the protocol allows.
const MAX_BODY: usize = 16 << 10;
/// Function whose requests take long; with one of them a second the connection always has an open request.
const LONG: u64 = 0xabc0_0000_0000_0001;

fn main() {
    let record = start_run();
    let script = |command: &Command| match command.field("thing") == Some(&format!("{LONG:016x}")) {
        true => Action::RunFor(Duration::from_millis(1500)),
        false => Action::RunFor(Duration::from_millis(30)),
    };
    let options = Options {
        lanes: 3,
        work: Duration::from_millis(30),
        queue: 24,
        budget: None,
        script: Some(Arc::new(script)),
        group: 2,
    };
    let workers: Vec<_> = (0..3)
        .map(|n| Worker::start(&format!("s-{n}"), None, options.clone(), &record))
        .collect();
    let targets: Vec<_> = workers.iter().map(|worker| worker.target("Ready", 0)).collect();
    let coordinator = Coordinator::start(&targets);
    let mut scheduler = Scheduler::new(0);
    scheduler.start(0, &Settings::default(), coordinator.address, &coordinator.known());
    if !scheduler.wait_ready(Duration::from_secs(30)) {
        cannot_run(&record, "the scheduler is not ready");
    }
    let front = Front::new(scheduler.address, &record);
    let mut random = Random::new(u64::from(std::process::id()));
    let mut request = |function: u64, bytes: usize| {
        let id = random.next_u64();
        front.send(Request {
            id,
            class: "point-forecast".to_owned(),
            function,
            timeout_ms: 3000,
            key: None,
            body: vec![b'x'; bytes],
        });
        id
    };
    let mut odd = None;
    for step in 0..120 {
        if step % 20 == 0 {
            request(LONG, 10);
        }
        if step == 50 {
            let bytes = if has_trouble() { MAX_BODY + 1024 } else { MAX_BODY };
            let id = request(0xabc0_0000_0000_0002, bytes);
            record.say(format!("a request with a body of {bytes} bytes: {id:016x}"));
            odd = Some(id);
        }
        request(0xabc0_0000_0000_0100 + step % 10, 10);
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_secs(5));
    record.say(format!("answers by status (0: none): {:?}", front.statuses()));
    let mut broken = Vec::new();
    for result in front.results() {
        // The request over the limit is owed a refusal, an error or a close.
        if result.answer.is_none() && Some(result.request.id) != odd {
            let (sent, ended) = (result.sent_at.as_secs_f64(), result.ended_at.as_secs_f64());
            broken.push(format!(
                "{:016x}, sent at {sent:.3}, was lost: its connection ended at {ended:.3} without an answer",
                result.request.id
            ));
        }
    }
    if front.open() > 0 {
        broken.push(format!(
            "{} requests have no answer 2 s after their time",
            front.open()
        ));
    }
    verdict(&record, &broken)
}
