//! Scheduler processes with a fake coordinator, fake workers and clients, and the run of a scenario with
//! them.
use super::clients::{Clients, RequestRecord, TIMEOUT_MS};
use super::evaluation::{self, Drain, Observations, Report};
use super::fake_coordinator::{CoordinatorHealth, FakeCoordinator};
use super::stalls::StallMeter;
use super::worker::{Phase, Worker};
use quartzdrift_lab::cluster_harness::{
    check_status, config_json, endpoint_json, scheduler_command, send_signal,
};
use quartzdrift_lab::platform::Frontend;
use quartzdrift_lab::scenario_runner::read_listen_address;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
/// Duration of the traffic before the outage.
const TRAFFIC_BEFORE: Duration = Duration::from_millis(1_500);
/// Duration of the traffic after the outage.
const TRAFFIC_AFTER: Duration = Duration::from_millis(2_500);
/// Number of request ids reserved for the clients of one scheduler.
const IDS_PER_SCHEDULER: u64 = 1 << 32;

/// A step of a scenario during the outage.
#[derive(Clone, Copy, Debug)]
pub enum ScenarioStep {
    /// This number of workers begin to drain, those with the most accepted requests first.
    Drain(usize),
    /// All schedulers are stopped by SIGSTOP for this long.
    Pause(Duration),
    /// All schedulers reload a configuration whose coordinator address has no listener.
    HangUp,
    /// All schedulers are killed and started again with the same configuration.
    Restart,
    /// The coordinator switches to this health.
    Discovery(CoordinatorHealth),
    /// The worker that began to drain first, of those not yet replaced, goes down and up again with the same
    /// name and address.
    Replace,
}

/// An outage of discovery and the steps during it.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub schedulers: usize,
    pub workers: usize,
    /// Requests per second to each scheduler.
    pub requests_per_second: f64,
    pub drain_grace: Duration,
    pub fault: CoordinatorHealth,
    pub length: Duration,
    /// Steps with their times since the start of the outage, in ascending order.
    pub steps: Vec<(Duration, ScenarioStep)>,
    pub seed: u64,
}

/// A scheduler process.
pub struct Scheduler {
    child: Child,
    pub address: SocketAddr,
    config_file: PathBuf,
}

impl Scheduler {
    fn start(config_file: PathBuf) -> Scheduler {
        let mut command = scheduler_command(LAB, &config_file);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(config_file.with_extension("log"));
        let mut child = command
            .stderr(log.expect("the log file must be writable"))
            .spawn()
            .expect("the scheduler must start");
        let mut output = BufReader::new(
            child
                .stdout
                .take()
                .expect("the standard output of the scheduler must be piped"),
        );
        let address = read_listen_address(&mut output).expect("the scheduler must print its address");
        Scheduler {
            child,
            address,
            config_file,
        }
    }

    /// Kills the scheduler and starts it again at the same address.
    fn restart(&mut self) {
        self.kill();
        let text = std::fs::read_to_string(&self.config_file).expect("the configuration must be readable");
        let text = text.replace(
            "\"listen\":\"127.0.0.1:0\"",
            &format!("\"listen\":\"{}\"", self.address),
        );
        std::fs::write(&self.config_file, text).expect("the configuration must be writable");
        *self = Scheduler::start(self.config_file.clone());
    }

    /// Replaces the coordinator address in the configuration and sends SIGHUP, so that the scheduler reloads
    /// it.
    fn reload_with_coordinator(&self, old: SocketAddr, new: SocketAddr) {
        let text = std::fs::read_to_string(&self.config_file).expect("the configuration must be readable");
        let text = text.replace(&old.to_string(), &new.to_string());
        std::fs::write(&self.config_file, text).expect("the configuration must be writable");
        send_signal("-HUP", self.child.id());
    }

    fn kill(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.config_file.with_extension("log")).expect("the log must be readable")
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All processes and threads of a run except the clients.
struct Fleet {
    coordinator: FakeCoordinator,
    /// Coordinator address in the configuration of the schedulers.
    configured_coordinator: SocketAddr,
    workers: Vec<Worker>,
    schedulers: Vec<Scheduler>,
    drains: Vec<Drain>,
    /// Start of the current fault of the coordinator; `None`: the coordinator works.
    outage_since: Option<Instant>,
    _folder: tempfile::TempDir,
}

fn worker_name(worker: usize) -> String {
    format!("w{worker}")
}

impl Fleet {
    fn start(scenario: &Scenario) -> Fleet {
        let workers: Vec<Worker> = (0..scenario.workers as u64)
            .map(|n| Worker::start(scenario.seed << 8 | n).expect("the worker must start"))
            .collect();
        let targets: Vec<String> = workers
            .iter()
            .enumerate()
            .map(|(n, worker)| endpoint_json(&worker_name(n), worker.address, "Ready"))
            .collect();
        let coordinator = FakeCoordinator::start(&targets).expect("the coordinator must start");
        let folder = tempfile::tempdir().expect("the temporary folder must be creatable");
        let text = configuration(scenario, &coordinator);
        let schedulers = (0..scenario.schedulers)
            .map(|n| {
                let file = folder.path().join(format!("n{n}.json"));
                let text = text
                    .replace("\"name\":\"n0\"", &format!("\"name\":\"n{n}\""))
                    .replace(
                        "\"seed\":\"7\"",
                        &format!("\"seed\":\"{}\"", scenario.seed + n as u64),
                    );
                std::fs::write(&file, text).expect("the configuration must be writable");
                Scheduler::start(file)
            })
            .collect();
        Fleet {
            configured_coordinator: coordinator.address,
            coordinator,
            workers,
            schedulers,
            drains: Vec::new(),
            outage_since: None,
            _folder: folder,
        }
    }

    /// Waits until the health check of each scheduler returns 200.
    fn wait_until_ready(&self) {
        for scheduler in &self.schedulers {
            let mut frontend =
                Frontend::connect(scheduler.address).expect("the scheduler must accept connections");
            while check_status(&mut frontend) != 200 {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn set_health(&mut self, health: CoordinatorHealth) {
        self.coordinator.set_health(health);
        self.outage_since = match health {
            CoordinatorHealth::Well => None,
            _ => self.outage_since.or_else(|| Some(Instant::now())),
        };
    }

    fn perform(&mut self, step: ScenarioStep) {
        match step {
            ScenarioStep::Drain(count) => self.drain_busiest(count),
            ScenarioStep::Pause(length) => {
                self.signal_all("-STOP");
                thread::sleep(length);
                self.signal_all("-CONT");
            }
            ScenarioStep::HangUp => {
                // No process listens on port 1.
                let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
                for scheduler in &self.schedulers {
                    scheduler.reload_with_coordinator(self.configured_coordinator, unreachable);
                }
                self.configured_coordinator = unreachable;
            }
            ScenarioStep::Restart => self.schedulers.iter_mut().for_each(Scheduler::restart),
            ScenarioStep::Discovery(health) => self.set_health(health),
            ScenarioStep::Replace => self.replace_drained(),
        }
    }

    fn signal_all(&self, name: &str) {
        for scheduler in &self.schedulers {
            send_signal(name, scheduler.child.id());
        }
    }

    /// Starts a drain of the `count` workers with the most accepted requests among those that never drained.
    fn drain_busiest(&mut self, count: usize) {
        let is_draining = |worker: &usize| self.drains.iter().any(|drain| drain.worker == *worker);
        let mut up: Vec<usize> = (0..self.workers.len()).filter(|n| !is_draining(n)).collect();
        up.sort_by_key(|worker| std::cmp::Reverse(self.workers[*worker].accepted_count()));
        let busiest: Vec<usize> = up.into_iter().take(count).collect();
        let targets: Vec<String> = busiest
            .iter()
            .map(|worker| {
                endpoint_json(
                    &worker_name(*worker),
                    self.workers[*worker].address,
                    "Terminating",
                )
            })
            .collect();
        self.coordinator.add_event(&targets);
        for worker in busiest {
            let started_at = self.workers[worker].enter(Phase::Draining);
            self.drains.push(Drain {
                worker,
                started_at,
                outage_since: self.outage_since,
                replaced_at: None,
            });
        }
    }

    /// Takes the worker whose drain began first, of those not yet replaced, down and up again.
    fn replace_drained(&mut self) {
        let Some(first) = self.drains.iter().find(|drain| drain.replaced_at.is_none()) else {
            return;
        };
        let (worker, replaced_at) = (first.worker, Instant::now());
        let address = self.workers[worker].address;
        self.workers[worker].enter(Phase::Down);
        self.coordinator
            .add_event(&[endpoint_json(&worker_name(worker), address, "Gone")]);
        thread::sleep(Duration::from_millis(50));
        self.coordinator
            .add_event(&[endpoint_json(&worker_name(worker), address, "Ready")]);
        self.workers[worker].enter(Phase::Up);
        let drains = self.drains.iter_mut();
        drains
            .filter(|drain| drain.worker == worker)
            .for_each(|drain| drain.replaced_at = Some(replaced_at));
    }
}

fn configuration(scenario: &Scenario, coordinator: &FakeCoordinator) -> String {
    let grace = format!("\"drain-grace-ns\":{}", scenario.drain_grace.as_nanos());
    let deadline = format!("\"deadline-ns\":{TIMEOUT_MS}000000");
    let schedulers = format!("\"settings\":{{\"replicas-of-me\":{},", scenario.schedulers);
    let mut text = config_json(coordinator.address, &coordinator.known_events());
    for (old, new) in [
        ("\"drain-grace-ns\":2000000000", grace.as_str()),
        ("\"deadline-ns\":60000000000", &deadline),
        ("\"settings\":{", &schedulers),
        ("\"max-attempts\":3", "\"max-attempts\":6"),
        ("\"sockets\":128", "\"sockets\":512"),
    ] {
        assert!(text.contains(old), "the default configuration lacks {old}");
        text = text.replace(old, new);
    }
    text
}

/// Runs a scenario and returns its report.
pub fn run(scenario: &Scenario) -> Report {
    let mut fleet = Fleet::start(scenario);
    fleet.wait_until_ready();
    let stalls = StallMeter::start();
    let clients: Vec<Clients> = (1..)
        .zip(&fleet.schedulers)
        .map(|(n, scheduler)| {
            Clients::start(
                scheduler.address,
                scenario.requests_per_second,
                n * IDS_PER_SCHEDULER,
                scenario.seed,
            )
        })
        .collect();
    thread::sleep(TRAFFIC_BEFORE);
    let outage_started_at = Instant::now();
    fleet.set_health(scenario.fault);
    for (at, step) in &scenario.steps {
        thread::sleep((outage_started_at + *at).saturating_duration_since(Instant::now()));
        fleet.perform(*step);
    }
    let outage_ended_at = outage_started_at + scenario.length;
    thread::sleep(outage_ended_at.saturating_duration_since(Instant::now()));
    fleet.set_health(CoordinatorHealth::Well);
    thread::sleep(TRAFFIC_AFTER);
    let requests: Vec<RequestRecord> = clients.into_iter().flat_map(Clients::stop).collect();
    let logs: Vec<String> = fleet.schedulers.iter().map(Scheduler::log).collect();
    if let Ok(folder) = std::env::var("OUTAGE_LOGS") {
        let path = std::path::Path::new(&folder).join(format!("seed-{}.log", scenario.seed));
        std::fs::write(path, logs.join("\n")).expect("the folder that OUTAGE_LOGS names must be writable");
    }
    fleet.schedulers.clear();
    let received = fleet.workers.into_iter().map(Worker::stop).collect();
    evaluation::evaluate(&Observations {
        scenario,
        requests,
        received,
        drains: fleet.drains,
        logs,
        outage_started_at,
        outage_ended_at,
        stalls: &stalls,
    })
}
