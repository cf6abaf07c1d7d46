//! Processes of the scheduler, started as the deploy file says.
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What a case sets of a configuration.
#[derive(Clone, Debug)]
pub struct Settings {
    pub classes: String,
    pub schedulers: usize,
    pub cold_from: f64,
    pub cold_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub drain_grace_ms: u64,
    pub connect_timeout_ms: u64,
    pub report_fields: String,
    pub cancel: bool,
    pub sockets: usize,
    pub streams: usize,
    pub memory_mb: usize,
}

impl Default for Settings {
    /// A small deployment; the figures are those of the pages' examples and of athens-forecast.
    fn default() -> Settings {
        Settings {
            classes: class("point-forecast", "retryable", 4000, None),
            schedulers: 1,
            cold_from: 0.17,
            cold_ms: 15_000,
            fall_multiple: 3.0,
            fall_ms: 1500,
            drain_grace_ms: 2000,
            connect_timeout_ms: 250,
            report_fields: r#""q""#.to_owned(),
            cancel: true,
            sockets: 1024,
            streams: 32,
            memory_mb: 192,
        }
    }
}

/// A class of requests; `key` is scope and window in milliseconds of a class whose effect is `dedup`.
pub fn class(name: &str, effect: &str, deadline_ms: u64, key: Option<(&str, u64)>) -> String {
    let key = key.map_or(String::new(), |(scope, ms)| {
        format!(r#""key-scope":"{scope}","window-ns":{},"#, ms * 1_000_000)
    });
    format!(
        r#"{{"deadline-ns":{},"effect":"{effect}",{key}"importance":1.0,"late-worth":0.3,"name":"{name}","on-time-ns":600000000,"stream":false}}"#,
        deadline_ms * 1_000_000
    )
}

impl Settings {
    fn json(&self, me: usize) -> String {
        let ns = |ms: u64| ms * 1_000_000;
        format!(
            r#"{{"allowed":{{"cancel":{},"connect-timeout-ns":{},"cpu-us-per-request":0.0,"cpu-us-per-s":500000,"keepalive-ns":15000000000,"max-attempts":6,"max-open":20000,"max-retry-after-ns":2000000000,"may-probe":false,"peers":false,"retry-after":true,"second-copies":false,"streams-per-conn":{}}},
"classes":[{}],"clients":{{"marks-retry":false}},
"family-info":{{"idle-memory-cost":0.0,"load-free":0.0,"load-period-ns":0,"load-share":0.0,"may-order":false,"memory-mb-by-kind":[64000.0],"on-miss":"load","order-timeout-ns":10000000000,"stays-loaded-ns":11000000000,"tells-crowd":false,"tells-warm":false}},
"fees":{{}},"goal":{{"whole":0.5,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.3}},"me":{me},"over-share-worth":0.05,"registry-mode":"push","replicas-of-me":{},"resolution-ns":2000000,
"safety":{{"answer-slack-ns":8000000,"ask-within-ns":10000000000,"cold-from":{},"cold-ns":{},"drain-grace-ns":{},"fall-multiple":{},"fall-ns":{}}},
"skus":["std-3core"],"stats":{{"fields":[{}],"source":"piggyback"}},"tenants":[],"tier":0,"tiers":["runner-fleet"],"weight-kind":"rough","workload":"warm","worth-by":"request","zone":0,"zones":["athens-room"]}}"#,
            self.cancel,
            ns(self.connect_timeout_ms),
            self.streams,
            self.classes,
            self.schedulers,
            self.cold_from,
            ns(self.cold_ms),
            ns(self.drain_grace_ms),
            self.fall_multiple,
            ns(self.fall_ms),
            self.report_fields,
        )
    }
}

/// A loopback address of its own with a free port, for a scheduler that keeps its address after a restart. No
/// connection of the run gets this port in between, since connections start from 127.0.0.1.
pub fn free_address(me: usize) -> SocketAddr {
    let process = std::process::id();
    let [.., high, low] = process.to_be_bytes();
    let host = [
        127,
        1 + (me >> 7) as u8 + (high & 0x3f),
        low,
        1 + (me & 0x7f) as u8,
    ];
    let listener = TcpListener::bind(SocketAddr::from((host, 0))).expect("a free port");
    listener.local_addr().expect("an address")
}

/// A place for one scheduler: its name, address and configuration.
pub struct Scheduler {
    pub name: String,
    pub address: SocketAddr,
    folder: PathBuf,
    pid: Option<u32>,
}

fn work_folder() -> PathBuf {
    PathBuf::from(std::env::var_os("WORK").expect("WORK names a temporary folder"))
}

/// The processes that run, by their ids.
static CHILDREN: Mutex<BTreeMap<u32, Child>> = Mutex::new(BTreeMap::new());

/// Kills all processes that run.
pub fn kill_all() {
    let children = CHILDREN.lock().map(|mut children| std::mem::take(&mut *children));
    for mut child in children.unwrap_or_default().into_values() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

static SEED: AtomicU64 = AtomicU64::new(1);

impl Scheduler {
    /// Prepares scheduler number `me`. The process starts with [`Scheduler::start`].
    pub fn new(me: usize) -> Scheduler {
        Scheduler {
            name: format!("n{me}"),
            address: free_address(me),
            folder: work_folder().join(format!("n{me}")),
            pid: None,
        }
    }

    /// Writes the configuration and starts the process by the line `run` of the deploy file.
    pub fn start(&mut self, me: usize, settings: &Settings, coordinator: SocketAddr, known: &str) {
        std::fs::create_dir_all(self.folder.join("tmp")).expect("the folder can be written");
        let seed = SEED.fetch_add(1, Ordering::Relaxed)
            ^ u64::from(std::process::id()) << 20
            ^ crate::record::unix_ms() << 32;
        let config = format!(
            r#"{{"name":"{}","listen":"{}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"coordinator":"{coordinator}","known":{known},"settings":{}}}"#,
            self.name,
            self.address,
            settings.memory_mb,
            settings.sockets,
            settings.json(me)
        );
        let path = self.folder.join("config.json");
        std::fs::write(&path, config).expect("the folder can be written");
        let log = std::fs::File::create(self.folder.join("log")).expect("the folder can be written");
        let run = std::env::var("RUN").expect("RUN is the line of the deploy file");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("GW_NAME", &self.name)
            .env("GW_LISTEN", self.address.to_string())
            .env("GW_CONFIG", &path)
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("/bin/sh starts");
        // For the script, in case that this process is killed.
        let pids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(work_folder().join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        self.pid = Some(child.id());
        CHILDREN.lock().unwrap().insert(child.id(), child);
    }

    /// Waits until `/check` is answered with 200. Returns whether it was within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if crate::client::is_ready(self.address) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid {
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -{name} {pid}")])
                .status();
        }
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let child = self
            .pid
            .take()
            .and_then(|pid| CHILDREN.lock().unwrap().remove(&pid));
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Private memory of the process in KiB: anonymous pages and shared memory, without the program's file.
    pub fn private_kib(&self) -> u64 {
        let pid = self.pid.map_or(0, u64::from);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let lines = status
            .lines()
            .filter(|line| line.starts_with("RssAnon:") || line.starts_with("RssShmem:"));
        lines
            .filter_map(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok())
            .sum()
    }

    /// Descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        let pid = self.pid.unwrap_or_default();
        std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
    }

    /// Time that the process has run on a processor, and time that it has waited for one.
    pub fn processor_times(&self) -> (Duration, Duration) {
        let pid = self.pid.map_or(0, u64::from);
        let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
        let mut times = text
            .split_whitespace()
            .filter_map(|word| word.parse().ok().map(Duration::from_nanos));
        (times.next().unwrap_or_default(), times.next().unwrap_or_default())
    }

    /// Whether the process has ended, with its status.
    pub fn ended(&mut self) -> Option<String> {
        let mut children = CHILDREN.lock().unwrap();
        let status = children.get_mut(&self.pid?)?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// The lines that the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}
