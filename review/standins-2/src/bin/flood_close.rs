//! Some bad clients connect, send hundreds of requests, withdraw them all, close, and come again. Sound clients send
//! small requests on connections of their own.
use review_standins_2::client::{Front, Request, Result};
use review_standins_2::coordinator::Coordinator;
use review_standins_2::judge::{cannot_run, start_run, verdict};
use review_standins_2::record::{Random, has_trouble};
use review_standins_2::scheduler::{Scheduler, Settings};
use review_standins_2::wire;
use review_standins_2::worker::{Options, Worker};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Bad clients, each with one connection at a time.
const BAD: u64 = 100;
/// Requests that are open on a connection at most, and are sent and withdrawn in one burst.
const BURST: u16 = 32;
/// Bursts on a connection before it is closed, and the pause after each.
const BURSTS: usize = 50;
const PAUSE: Duration = Duration::from_millis(5);
/// Sound clients, requests of all of them together, and the time between two.
const SOUND: usize = 20;
const REQUESTS: usize = 500;
const INTERVAL: Duration = Duration::from_millis(20);
/// Time that a client waits for an answer.
const TIMEOUT_MS: u64 = 2000;
/// A final answer may come half a second after the request's time, and 50 ms for the protocol's slack.
const SLACK: Duration = Duration::from_millis(550);

fn request(random: &mut Random, function: u64) -> Request {
    Request {
        id: random.next_u64(),
        class: "point-forecast".to_owned(),
        function,
        timeout_ms: TIMEOUT_MS,
        key: None,
        body: b"station 7".to_vec(),
    }
}

/// Bursts of requests, each withdrawn in the same burst.
fn bursts(random: &mut Random) -> Vec<Vec<u8>> {
    let mut bursts = Vec::new();
    for burst in 0..BURSTS as u16 {
        let ids = burst * BURST + 1..=burst * BURST + BURST;
        let mut bytes = Vec::new();
        for fcgi_id in ids.clone() {
            let function = random.next_u64();
            bytes.extend(request(random, function).bytes(fcgi_id));
        }
        for fcgi_id in ids {
            wire::record(&mut bytes, wire::ABORT_REQUEST, fcgi_id, b"");
        }
        bursts.push(bytes);
    }
    bursts
}

/// A bad client, until `is_over`. It reads what is sent to it.
fn send_and_close(address: SocketAddr, number: u64, is_over: &AtomicBool, withdrawn: &AtomicU64) {
    let mut random = Random::new(number + 1000);
    while !is_over.load(Ordering::SeqCst) {
        let bursts = bursts(&mut random);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            continue;
        };
        let Ok(mut reader) = stream.try_clone() else {
            continue;
        };
        let reading = std::thread::spawn(move || {
            let mut buffer = [0; 1 << 16];
            while reader.read(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
        });
        for bytes in &bursts {
            if is_over.load(Ordering::SeqCst) || stream.write_all(bytes).is_err() {
                break;
            }
            withdrawn.fetch_add(u64::from(BURST), Ordering::SeqCst);
            std::thread::sleep(PAUSE);
        }
        let _ = stream.shutdown(Shutdown::Both);
        let _ = reading.join();
    }
}

fn main() {
    let record = start_run();
    let work = Duration::from_millis(30);
    let options = Options {
        lanes: 3,
        work,
        queue: 24,
        budget: None,
        script: None,
        group: 2,
    };
    let start = |n: usize| Worker::start(&format!("s-{n}"), None, options.clone(), &record);
    let workers: Vec<_> = (0..6).map(start).collect();
    let targets: Vec<_> = workers.iter().map(|worker| worker.target("Ready", 0)).collect();
    let coordinator = Coordinator::start(&targets);
    let mut scheduler = Scheduler::new(0);
    scheduler.start(0, &Settings::default(), coordinator.address, &coordinator.known());
    if !scheduler.wait_ready(Duration::from_secs(30)) {
        cannot_run(&record, "the scheduler is not ready");
    }
    let (is_over, withdrawn) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let bad = if has_trouble() { BAD } else { 0 };
    for number in 0..bad {
        let (address, is_over, withdrawn) = (scheduler.address, is_over.clone(), withdrawn.clone());
        std::thread::spawn(move || send_and_close(address, number, &is_over, &withdrawn));
    }
    record.say(format!("{bad} bad clients, {SOUND} sound ones"));
    let front = |_| Front::new(scheduler.address, &record);
    let fronts: Vec<Front> = (0..SOUND).map(front).collect();
    let mut random = Random::new(u64::from(std::process::id()));
    let (mut not_sent, mut descriptors) = (0, 0);
    for step in 0..REQUESTS {
        let function = 0xabc0_0000_0000_0000 + random.next_u64() % 20;
        let is_sent = fronts[step % SOUND].send(request(&mut random, function));
        not_sent += usize::from(!is_sent);
        descriptors = descriptors.max(scheduler.descriptors());
        std::thread::sleep(INTERVAL);
    }
    let (ran, waited) = scheduler.processor_times();
    record.say(format!(
        "the scheduler ran for {ran:?} and waited for a processor for {waited:?}"
    ));
    record.say(format!("it held at most {descriptors} descriptors of 1024"));
    std::thread::sleep(Duration::from_millis(TIMEOUT_MS) + SLACK);
    is_over.store(true, Ordering::SeqCst);
    let open: usize = fronts.iter().map(Front::open).sum();
    let results: Vec<Result> = fronts.iter().flat_map(Front::results).collect();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    let (mut broken, mut longest) = (Vec::new(), Duration::ZERO);
    for result in &results {
        let status = result.answer.as_ref().map_or(0, |(status, _)| *status);
        *statuses.entry(status).or_default() += 1;
        let time = result.ended_at - result.sent_at;
        longest = longest.max(time);
        let why = match status {
            0 => "its connection ended without an answer",
            _ if time > Duration::from_millis(TIMEOUT_MS) + SLACK => "its answer was too late",
            _ => continue,
        };
        let (id, at) = (result.request.id, result.sent_at.as_secs_f64());
        broken.push(format!(
            "{id:016x}, sent at {at:.3}, after {time:?} (status {status}): {why}"
        ));
    }
    record.say(format!(
        "{} requests withdrawn; of {REQUESTS} sound ones {not_sent} could not be sent, {open} have no answer",
        withdrawn.load(Ordering::SeqCst)
    ));
    record.say(format!(
        "answers by status (0: none): {statuses:?}; the longest took {longest:?}"
    ));
    if open > 0 {
        broken.push(format!(
            "{open} requests have no answer {SLACK:?} after their time"
        ));
    }
    if let Some(status) = scheduler.ended() {
        broken.push(format!("the scheduler ended: {status}"));
    }
    verdict(&record, &broken)
}
