//! A small deployment of the site athens-forecast: one scheduler, twelve workers, a coordinator, sound clients,
//! and a platform that kills the scheduler if it holds more memory than its configuration says.
use crate::coordinator::{Coordinator, target};
use crate::front::{Front, Outcome};
use crate::lock;
use crate::record::Record;
use crate::scheduler::{Scheduler, check, free_address, private_mb, signal};
use crate::site::{Site, config};
use crate::worker::{Execution, Executions, Worker};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Workers of the site: 11 to 14.
const WORKERS: u32 = 12;
/// Sound clients, each with a connection of its own, and the pause between the requests of one: 100 requests a
/// second in all.
pub const SOUND_CLIENTS: u64 = 20;
const SOUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a request is worked on.
const WORK: Duration = Duration::from_millis(100);
/// How often the platform looks at the memory.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
/// "takes over 30 s to be ready" is a failure of the platform's pages.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// What the platform has seen of the scheduler's process.
#[derive(Default)]
struct Watch {
    peak_mb: f64,
    /// Memory at which the platform killed the scheduler.
    killed_at_mb: Option<f64>,
}

pub struct Day {
    pub record: Record,
    pub address: SocketAddr,
    pub memory_mb: u32,
    scheduler: Scheduler,
    executions: Executions,
    front: Option<Front>,
    watch: Arc<Mutex<Watch>>,
    stop: Arc<AtomicBool>,
    _workers: Vec<Worker>,
    _coordinator: Coordinator,
}

/// The result of a day.
pub struct Verdict {
    pub sound: usize,
    pub lost: Vec<Outcome>,
    pub killed_at_mb: Option<f64>,
    /// The scheduler ended, and the platform had not killed it.
    pub crashed: bool,
}

impl Verdict {
    pub fn is_broken(&self) -> bool {
        !self.lost.is_empty() || self.killed_at_mb.is_some() || self.crashed
    }
}

impl Day {
    /// Starts the deployment and the sound clients. Ends the process with 2 if the scheduler is never ready.
    pub fn start(memory_mb: u32, sockets: u32) -> Day {
        let record = Record::start(&PathBuf::from(
            std::env::var("REVIEW_RECORD").expect("run.sh sets it"),
        ));
        let executions = Executions::default();
        let workers: Vec<Worker> = (0..WORKERS)
            .map(|n| Worker::start(&format!("s-{n:08x}"), WORK, &executions))
            .collect();
        let coordinator = Coordinator::start();
        let targets: Vec<String> = workers
            .iter()
            .map(|w| target(&w.uid, w.address, "Ready", 0))
            .collect();
        coordinator.add(true, &targets);
        let address = free_address();
        let text = config(&Site {
            name: "n0",
            listen: address,
            coordinator: coordinator.address,
            known: &coordinator.known(),
            schedulers: 1,
            memory_mb,
            sockets,
        });
        let mut scheduler = Scheduler::start("n0", address, &text);
        if !scheduler.wait_until_ready(READY_LIMIT) {
            record.say("the scheduler was not ready in 30 s");
            drop(scheduler);
            std::process::exit(2);
        }
        record.say(&format!(
            "scheduler ready, limits: memory {memory_mb} MB, sockets {sockets}"
        ));
        let (watch, stop): (Arc<Mutex<Watch>>, Arc<AtomicBool>) = Default::default();
        let process = scheduler.child.id();
        let (seen, ended) = (watch.clone(), stop.clone());
        thread::spawn(move || platform(process, memory_mb, &seen, &ended));
        let front = Front::start(address, SOUND_CLIENTS, SOUND_INTERVAL, &record);
        Day {
            record,
            address,
            memory_mb,
            scheduler,
            executions,
            front: Some(front),
            watch,
            stop,
            _workers: workers,
            _coordinator: coordinator,
        }
    }

    /// Whether the platform has killed the scheduler.
    pub fn is_killed(&self) -> bool {
        lock(&self.watch).killed_at_mb.is_some()
    }

    /// Lets the day go on for `span`, or until the scheduler has been killed, and says twice a second how it goes.
    pub fn go_on(&self, span: Duration, more: impl Fn() -> String) {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.is_killed() {
            thread::sleep(Duration::from_millis(500));
            let memory = private_mb(self.scheduler.child.id()).unwrap_or(0.0);
            let executions = lock(&self.executions).len();
            let check = check(self.address);
            self.record.say(&format!(
                "memory {memory:.1} MB, executions {executions}, /check {check:?}, {}",
                more()
            ));
        }
    }

    /// Ends the day, and judges it.
    pub fn finish(mut self) -> Verdict {
        let outcomes = self.front.take().map(Front::finish).unwrap_or_default();
        self.stop.store(true, Ordering::SeqCst);
        let (peak_mb, killed_at_mb) = {
            let watch = lock(&self.watch);
            (watch.peak_mb, watch.killed_at_mb)
        };
        let ended = self.scheduler.ended();
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for outcome in &outcomes {
            *counts.entry(format!("{:?}", outcome.end)).or_default() += 1;
        }
        let mut by_worker: BTreeMap<String, u32> = BTreeMap::new();
        for execution in lock(&self.executions).iter() {
            *by_worker.entry(execution.worker.clone()).or_default() += 1;
            let Execution {
                worker,
                id,
                began,
                fields,
            } = execution;
            self.record
                .line_at(*began, &format!("worker {worker} ran {id:016x} {fields}"));
        }
        self.record.line(&format!("executions by worker {by_worker:?}"));
        self.record
            .say(&format!("peak memory {peak_mb:.1} MB of {}", self.memory_mb));
        if let Some(at) = killed_at_mb {
            self.record
                .say(&format!("the platform killed the scheduler at {at:.1} MB"));
        }
        let crashed = ended.is_some() && killed_at_mb.is_none();
        if crashed {
            self.record
                .say(&format!("the scheduler ended by itself: {ended:?}"));
        }
        // What a killed scheduler held is no longer its duty.
        let is_excused = ended.is_some();
        let lost: Vec<Outcome> = outcomes
            .iter()
            .filter(|o| o.end.is_lost() && !is_excused)
            .cloned()
            .collect();
        self.record.say(&format!(
            "sound requests {}, {counts:?}, lost {}",
            outcomes.len(),
            lost.len()
        ));
        Verdict {
            sound: outcomes.len(),
            lost,
            killed_at_mb,
            crashed,
        }
    }
}

fn platform(process: u32, limit_mb: u32, watch: &Mutex<Watch>, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let Some(memory) = private_mb(process) else { return };
        let mut seen = lock(watch);
        seen.peak_mb = seen.peak_mb.max(memory);
        if memory > f64::from(limit_mb) {
            seen.killed_at_mb = Some(memory);
            signal(process, "KILL");
            return;
        }
        drop(seen);
        thread::sleep(MEMORY_INTERVAL);
    }
}

/// Ends the process by the verdict: 1 if a rule was broken, else 0.
pub fn end(verdict: &Verdict) -> ! {
    println!("{}", if verdict.is_broken() { "BROKEN" } else { "held" });
    std::process::exit(i32::from(verdict.is_broken()))
}
