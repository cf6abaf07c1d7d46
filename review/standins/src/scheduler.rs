//! Starts a scheduler as the deploy file says, and watches it as the platform does.
use crate::fastcgi::{self, ReplyReader, Request};
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The folder of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_ROOT").expect("run.sh sets REVIEW_ROOT"))
}

/// The folder of this run for configurations and logs.
pub fn scratch() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_SCRATCH").expect("run.sh sets REVIEW_SCRATCH"))
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

pub struct Scheduler {
    pub child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    /// File with the process id, from which run.sh ends the process if this one cannot.
    pid: PathBuf,
}

impl Scheduler {
    /// Starts the command `run` of the deploy file with a configuration.
    pub fn start(name: &str, address: SocketAddr, config: &str) -> Scheduler {
        let deploy = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.expect("the deploy file has a line `run`");
        let folder = scratch();
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, config).expect("the configuration can be written");
        let tmp = folder.join(format!("{name}.tmp"));
        fs::create_dir_all(&tmp).expect("a temporary folder");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root())
            .env("GW_NAME", name)
            .env("GW_LISTEN", address.to_string())
            .env("GW_CONFIG", &path)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the scheduler starts");
        let pid = folder.join(format!("{name}.pid"));
        fs::write(&pid, child.id().to_string()).expect("the process id can be written");
        Scheduler {
            child,
            address,
            config: path,
            pid,
        }
    }

    /// Waits until `/check` is answered with 200.
    pub fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if check(self.address) == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

/// Sends a signal, such as `KILL`, to a process that this program started.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {process}")])
        .status();
}

/// Memory of a process in MB without the pages of its files, which a platform counts too: `RssAnon` and
/// `RssShmem` of the system. `None` if the process has ended.
pub fn private_mb(process: u32) -> Option<f64> {
    let status = fs::read_to_string(Path::new("/proc").join(process.to_string()).join("status")).ok()?;
    let kilobytes = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok()
    };
    Some((kilobytes("RssAnon:")? + kilobytes("RssShmem:")?) / 1024.0)
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.pid);
    }
}

/// The status of `/check`; `None` if there is no answer within a second.
pub fn check(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let mut bytes = Vec::new();
    let request = Request {
        path: "/check",
        id: 1,
        timeout_ms: 1000,
        object: 1,
        spec: "",
        body: b"",
        extra_pairs: 0,
    };
    fastcgi::request(&mut bytes, 1, &request);
    stream.write_all(&bytes).ok()?;
    let mut reader = ReplyReader::new(stream);
    reader
        .next(Instant::now() + Duration::from_secs(1))
        .ok()
        .map(|reply| reply.status)
}
