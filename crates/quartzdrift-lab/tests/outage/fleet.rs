//! Scheduler processes with their coordinator, workers and clients, and the play of an outage with drains in it.
use super::clients::{Clients, Request, TIMEOUT_MS};
use super::discovery::{Discovery, Health};
use super::judge::{self, Drain, Report, Seen};
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
/// Traffic before the outage.
const BEFORE: Duration = Duration::from_millis(1_500);
/// Traffic after it.
const AFTER: Duration = Duration::from_millis(2_500);
/// Ids that the clients of one scheduler have.
const IDS: u64 = 1 << 32;

/// Something that happens beside the outage, at a time since its beginning.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// So many of the up workers with the most traffic begin to drain.
    Drain(usize),
    /// All schedulers have no processor for this long.
    Pause(Duration),
    /// All schedulers read their configuration again, which names an address where nobody listens.
    HangUp,
    /// All schedulers are killed and started again, by the configuration that they had.
    Restart,
    /// The coordinator's health changes.
    Discovery(Health),
    /// The workers that drained longest ago go and come back, under the same names and addresses.
    Replace,
}

/// An outage to be played.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub schedulers: usize,
    pub workers: usize,
    /// Requests a second to each scheduler.
    pub rate: f64,
    pub grace: Duration,
    pub illness: Health,
    pub length: Duration,
    /// In the order of their times since the outage began.
    pub acts: Vec<(Duration, Act)>,
    pub seed: u64,
}

/// A scheduler process.
pub struct Scheduler {
    child: Child,
    pub at: SocketAddr,
    file: PathBuf,
}

impl Scheduler {
    fn start(file: PathBuf) -> Scheduler {
        let mut command = scheduler_command(LAB, &file);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(file.with_extension("log"));
        let mut child = command
            .stderr(log.expect("a file for its log"))
            .spawn()
            .expect("the scheduler starts");
        let mut output = BufReader::new(child.stdout.take().expect("its output"));
        let at = read_listen_address(&mut output).expect("the scheduler says where it listens");
        Scheduler { child, at, file }
    }

    /// Kills it and starts it again at its address.
    fn restart(&mut self) {
        self.kill();
        let text = std::fs::read_to_string(&self.file).expect("its configuration");
        let text = text.replace(
            "\"listen\":\"127.0.0.1:0\"",
            &format!("\"listen\":\"{}\"", self.at),
        );
        std::fs::write(&self.file, text).expect("the configuration is written");
        *self = Scheduler::start(self.file.clone());
    }

    /// Has it read a configuration that names another coordinator.
    fn hang_up(&self, before: SocketAddr, after: SocketAddr) {
        let text = std::fs::read_to_string(&self.file).expect("its configuration");
        let text = text.replace(&before.to_string(), &after.to_string());
        std::fs::write(&self.file, text).expect("the configuration is written");
        send_signal("-HUP", self.child.id());
    }

    fn kill(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).expect("its log can be read")
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Fleet {
    discovery: Discovery,
    /// Where the schedulers ask for the list.
    followed: SocketAddr,
    workers: Vec<Worker>,
    schedulers: Vec<Scheduler>,
    drains: Vec<Drain>,
    /// Since when discovery is ill; `None`: it is well.
    ill_since: Option<Instant>,
    _folder: tempfile::TempDir,
}

fn name(worker: usize) -> String {
    format!("w{worker}")
}

impl Fleet {
    fn start(scenario: &Scenario) -> Fleet {
        let workers: Vec<Worker> = (0..scenario.workers as u64)
            .map(|n| Worker::start(scenario.seed << 8 | n).expect("a worker"))
            .collect();
        let targets: Vec<String> = workers
            .iter()
            .enumerate()
            .map(|(n, worker)| endpoint_json(&name(n), worker.at, "Ready"))
            .collect();
        let discovery = Discovery::start(&targets).expect("a coordinator");
        let folder = tempfile::tempdir().expect("a folder");
        let text = configuration(scenario, &discovery);
        let schedulers = (0..scenario.schedulers)
            .map(|n| {
                let file = folder.path().join(format!("n{n}.json"));
                let text = text
                    .replace("\"name\":\"n0\"", &format!("\"name\":\"n{n}\""))
                    .replace(
                        "\"seed\":\"7\"",
                        &format!("\"seed\":\"{}\"", scenario.seed + n as u64),
                    );
                std::fs::write(&file, text).expect("the configuration is written");
                Scheduler::start(file)
            })
            .collect();
        Fleet {
            followed: discovery.at,
            discovery,
            workers,
            schedulers,
            drains: Vec::new(),
            ill_since: None,
            _folder: folder,
        }
    }

    /// Waits until each scheduler says that it is ready.
    fn wait_until_ready(&self) {
        for scheduler in &self.schedulers {
            let mut frontend = Frontend::connect(scheduler.at).expect("it takes connections");
            while check_status(&mut frontend) != 200 {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn set_health(&mut self, health: Health) {
        self.discovery.set_health(health);
        self.ill_since = match health {
            Health::Well => None,
            _ => self.ill_since.or_else(|| Some(Instant::now())),
        };
    }

    fn perform(&mut self, act: Act) {
        match act {
            Act::Drain(count) => self.drain_busiest(count),
            Act::Pause(length) => {
                self.signal_all("-STOP");
                thread::sleep(length);
                self.signal_all("-CONT");
            }
            Act::HangUp => {
                // An address that is bound, and where nobody listens.
                let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
                let scheduler = self.schedulers.iter();
                scheduler.for_each(|scheduler| scheduler.hang_up(self.followed, nowhere));
                self.followed = nowhere;
            }
            Act::Restart => self.schedulers.iter_mut().for_each(Scheduler::restart),
            Act::Discovery(health) => self.set_health(health),
            Act::Replace => self.replace_drained(),
        }
    }

    fn signal_all(&self, name: &str) {
        for scheduler in &self.schedulers {
            send_signal(name, scheduler.child.id());
        }
    }

    /// Of the workers that are up those with the most traffic begin to drain.
    fn drain_busiest(&mut self, count: usize) {
        let is_draining = |worker: &usize| self.drains.iter().any(|drain| drain.worker == *worker);
        let mut up: Vec<usize> = (0..self.workers.len()).filter(|n| !is_draining(n)).collect();
        up.sort_by_key(|worker| std::cmp::Reverse(self.workers[*worker].ran()));
        let busiest: Vec<usize> = up.into_iter().take(count).collect();
        let targets: Vec<String> = busiest
            .iter()
            .map(|worker| endpoint_json(&name(*worker), self.workers[*worker].at, "Terminating"))
            .collect();
        self.discovery.event(&targets);
        for worker in busiest {
            let at = self.workers[worker].enter(Phase::Draining);
            self.drains.push(Drain {
                worker,
                at,
                ill_since: self.ill_since,
                until: None,
            });
        }
    }

    fn replace_drained(&mut self) {
        let Some(first) = self.drains.iter().find(|drain| drain.until.is_none()) else {
            return;
        };
        let (worker, began) = (first.worker, Instant::now());
        let at = self.workers[worker].at;
        self.workers[worker].enter(Phase::Down);
        self.discovery.event(&[endpoint_json(&name(worker), at, "Gone")]);
        thread::sleep(Duration::from_millis(50));
        self.discovery.event(&[endpoint_json(&name(worker), at, "Ready")]);
        self.workers[worker].enter(Phase::Up);
        let drains = self.drains.iter_mut();
        drains
            .filter(|drain| drain.worker == worker)
            .for_each(|drain| drain.until = Some(began));
    }
}

fn configuration(scenario: &Scenario, discovery: &Discovery) -> String {
    let grace = format!("\"drain-grace-ns\":{}", scenario.grace.as_nanos());
    let deadline = format!("\"deadline-ns\":{TIMEOUT_MS}000000");
    let schedulers = format!("\"settings\":{{\"replicas-of-me\":{},", scenario.schedulers);
    let mut text = config_json(discovery.at, &discovery.known());
    for (old, new) in [
        ("\"drain-grace-ns\":2000000000", grace.as_str()),
        ("\"deadline-ns\":60000000000", &deadline),
        ("\"settings\":{", &schedulers),
        ("\"max-attempts\":3", "\"max-attempts\":6"),
        ("\"sockets\":128", "\"sockets\":512"),
    ] {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    text
}

/// Plays an outage and judges it.
pub fn play(scenario: &Scenario) -> Report {
    let mut fleet = Fleet::start(scenario);
    fleet.wait_until_ready();
    let stalls = StallMeter::start();
    let clients: Vec<Clients> = (1..)
        .zip(&fleet.schedulers)
        .map(|(n, scheduler)| Clients::start(scheduler.at, scenario.rate, n * IDS, scenario.seed))
        .collect();
    thread::sleep(BEFORE);
    let outage_began = Instant::now();
    fleet.set_health(scenario.illness);
    for (at, act) in &scenario.acts {
        thread::sleep((outage_began + *at).saturating_duration_since(Instant::now()));
        fleet.perform(*act);
    }
    let outage_ends = outage_began + scenario.length;
    thread::sleep(outage_ends.saturating_duration_since(Instant::now()));
    fleet.set_health(Health::Well);
    thread::sleep(AFTER);
    let requests: Vec<Request> = clients.into_iter().flat_map(Clients::stop).collect();
    let logs: Vec<String> = fleet.schedulers.iter().map(Scheduler::log).collect();
    if let Ok(folder) = std::env::var("OUTAGE_LOGS") {
        let path = std::path::Path::new(&folder).join(format!("seed-{}.log", scenario.seed));
        std::fs::write(path, logs.join("\n")).expect("the logs are kept");
    }
    fleet.schedulers.clear();
    let taken = fleet.workers.into_iter().map(Worker::stop).collect();
    judge::judge(&Seen {
        scenario,
        requests,
        taken,
        drains: fleet.drains,
        logs,
        outage_began,
        outage_ends,
        stalls: &stalls,
    })
}
