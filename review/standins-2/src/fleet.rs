//! A small deployment under load, for the rule on cold workers.
use crate::client::Front;
use crate::coordinator::Coordinator;
use crate::judge::{Budget, cannot_run, start_run, verdict};
use crate::record::Record;
use crate::scheduler::{Scheduler, Settings};
use crate::traffic::Traffic;
use crate::worker::{Options, Worker};
use std::sync::Arc;
use std::time::Duration;

/// Requests a second over all schedulers: the load of a day of overload, 1.13 times what two workers do.
const RATE: f64 = 170.0;
/// Functions in demand at a time.
const FUNCTIONS: u64 = 60;
/// Lanes of a worker, and work of a request.
const LANES: usize = 3;
const WORK: Duration = Duration::from_millis(40);
/// Time between the event that a worker ends and its end: the drain grace and more.
const DRAIN: Duration = Duration::from_millis(2500);

/// Two warm workers, a coordinator, and schedulers that serve traffic.
pub struct Fleet {
    pub record: Arc<Record>,
    pub workers: Vec<Arc<Worker>>,
    pub coordinator: Coordinator,
    /// Options of a worker that starts during the run.
    pub cold: Options,
    schedulers: Vec<Scheduler>,
    fronts: Vec<Front>,
    traffic: Traffic,
}

impl Fleet {
    /// Starts a deployment with `count` schedulers, and its traffic.
    pub fn start(count: usize) -> Fleet {
        let record = start_run();
        let settings = Settings {
            schedulers: count,
            ..Settings::default()
        };
        let budget = Budget {
            from: settings.cold_from,
            cold: Duration::from_millis(settings.cold_ms),
            multiple: settings.fall_multiple,
            window: Duration::from_millis(settings.fall_ms),
            warm_rate: LANES as f64 / WORK.as_secs_f64(),
        };
        let warm = Options {
            lanes: LANES,
            work: WORK,
            queue: 24,
            budget: None,
            script: None,
            group: 2,
        };
        let cold = Options {
            budget: Some(budget),
            ..warm.clone()
        };
        let start = |n: usize| Worker::start(&format!("s-{n}"), None, warm.clone(), &record);
        let workers: Vec<_> = (0..2).map(start).collect();
        let targets: Vec<_> = workers.iter().map(|worker| worker.target("Ready", 0)).collect();
        let coordinator = Coordinator::start(&targets);
        let mut schedulers: Vec<Scheduler> = (0..count).map(Scheduler::new).collect();
        for (me, scheduler) in schedulers.iter_mut().enumerate() {
            scheduler.start(me, &settings, coordinator.address, &coordinator.known());
        }
        for scheduler in &schedulers {
            if !scheduler.wait_ready(Duration::from_secs(30)) {
                cannot_run(&record, &format!("a scheduler is not ready: {}", scheduler.log()));
            }
        }
        let front = |scheduler: &Scheduler| Front::new(scheduler.address, &record);
        let fronts: Vec<Front> = schedulers.iter().map(front).collect();
        let traffic = Traffic::start(fronts.clone(), RATE, FUNCTIONS);
        Fleet {
            record,
            workers,
            coordinator,
            cold,
            schedulers,
            fronts,
            traffic,
        }
    }

    /// Drains a worker and ends it, then starts another one, or the same one again, at an address of its own.
    /// `boot_ms` is what the start's event says.
    pub fn replace(&self, old: &Worker, uid: &str, boot_ms: impl Fn() -> u64) -> Arc<Worker> {
        self.record.say(format!("{} drains", old.uid));
        self.coordinator
            .tell(false, &[old.target("Terminating", old.boot_ms())]);
        old.drain();
        std::thread::sleep(DRAIN);
        if uid != old.uid {
            self.coordinator.tell(false, &[old.target("Gone", old.boot_ms())]);
        }
        old.stop();
        let at = (uid == old.uid).then_some(old.address);
        let new = Worker::start(uid, at, self.cold.clone(), &self.record);
        self.tell_start(&new, boot_ms());
        new
    }

    /// Tells the schedulers that a worker has started.
    pub fn tell_start(&self, worker: &Worker, boot_ms: u64) {
        let ahead = boot_ms as i64 - crate::record::unix_ms() as i64;
        self.record.say(format!(
            "told: {} is Ready at {}, boot_ms is now {ahead:+}",
            worker.uid, worker.address
        ));
        worker.set_boot_ms(boot_ms);
        self.coordinator.tell(false, &[worker.target("Ready", boot_ms)]);
        worker.set_told();
    }

    /// Ends the traffic and the run: the rule is broken if one of these workers fell over.
    pub fn end(mut self, started: &[Arc<Worker>]) -> ! {
        self.traffic.end();
        std::thread::sleep(Duration::from_secs(5));
        let mut broken = Vec::new();
        for worker in started {
            let (most, limit) = worker.most();
            self.record.say(format!(
                "{}, started at {:.3}: at most {most} requests in a window, {limit:.1} allowed then",
                worker.uid,
                worker.started.as_secs_f64()
            ));
            broken.extend(worker.fallen());
        }
        for (scheduler, front) in self.schedulers.iter_mut().zip(&self.fronts) {
            if let Some(status) = scheduler.ended() {
                cannot_run(&self.record, &format!("{} ended: {status}", scheduler.name));
            }
            self.record.line(format!(
                "{}: answers by status {:?}",
                scheduler.name,
                front.statuses()
            ));
        }
        verdict(&self.record, &broken)
    }
}
