//! A scheduler process on the platform's sockets with its fakes, as tests set it up.
use crate::platform::{Asked, Coordinator, Frontend, Received, Reply, Worker};
use crate::scenario_runner::read_listen_address;
use std::io::{self, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Code of a worker's answer with a body.
pub const DONE: u8 = 64;
/// Ids of requests.
pub const ID: &str = "9b1f03aa5c7e2d41";
/// Another id.
pub const OTHER: &str = "9b1f03aa5c7e2d42";
/// A third id.
pub const THIRD: &str = "9b1f03aa5c7e2d43";
/// The settings forbid to give up what is out.
pub const NO_CANCEL: (&str, &str) = ("\"cancel\":true", "\"cancel\":false");
/// Connections may take as long as they like.
pub const PATIENT: (&str, &str) = (
    "\"connect-timeout-ns\":250000000",
    "\"connect-timeout-ns\":60000000000",
);
/// Room for eight clients and eight connections.
pub const SCARCE: (&str, &str) = ("\"sockets\":128", "\"sockets\":40");
/// How long a listener whose queue is full is tried before it counts as full.
const FULL: Duration = Duration::from_millis(200);

/// A scheduler that runs, and all that it talks to.
pub struct Stage {
    child: Child,
    pub at: SocketAddr,
    out: BufReader<ChildStdout>,
    /// Its configuration, to be replaced before SIGHUP.
    pub file: PathBuf,
    _folder: tempfile::TempDir,
    pub coordinator: Coordinator,
    pub workers: Vec<Worker>,
}

/// A worker as an event tells of it.
pub fn target(uid: &str, at: SocketAddr, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"{at}","state":"{state}","boot_ms":0}}"#)
}

/// An answer of the coordinator with one event.
pub fn event(index: u64, all: bool, targets: &[String]) -> String {
    let targets = targets.join(",");
    format!(
        r#"{{"index":{index},"updates":[{{"index":{index},"endpoints":{{"all":{all},"targets":[{targets}]}}}}]}}"#
    )
}

/// A configuration with an idempotent request class `again` and a non-idempotent one `once`.
pub fn config(coordinator: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","limits":{{"sockets":128}},"coordinator":"{coordinator}",
        "known":{known},"settings":{{
        "allowed":{{"cancel":true,"max-attempts":3,"retry-after":true,"max-retry-after-ns":2000000000,
                   "connect-timeout-ns":250000000,"keepalive-ns":15000000000,"streams-per-conn":32}},
        "classes":[{{"name":"again","effect":"retryable","deadline-ns":60000000000}},
                   {{"name":"once","effect":"fragile","deadline-ns":60000000000}}],
        "safety":{{"answer-slack-ns":50000000,"drain-grace-ns":2000000000}},
        "stats":{{"source":"piggyback","fields":["q"]}}}}}}"#
    )
}

/// The lab's program as a scheduler with a configuration.
pub fn scheduler(lab: &str, file: &Path) -> Command {
    let mut command = Command::new(lab);
    command
        .arg("scheduler")
        .env("GW_CONFIG", file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    command
}

/// A program some of whose system calls fail. `failures`: each as strace(1) takes it after `inject=`. The process that is
/// started is the program's own, and strace follows it from beside.
pub fn failing(program: &str, failures: &[&str]) -> Command {
    let mut command = Command::new("strace");
    command.args(["-D", "-f", "-qq", "-o", "/dev/null"]);
    for failure in failures {
        command.args(["-e", &format!("inject={failure}")]);
    }
    command.arg(program);
    command
}

/// Starts a scheduler that logs to a file beside its configuration.
fn started(mut command: Command, file: &Path) -> (Child, BufReader<ChildStdout>, SocketAddr) {
    let log = std::fs::File::create(file.with_extension("log")).expect("a file for its log");
    let mut child = command.stderr(log).spawn().expect("the scheduler starts");
    let mut out = BufReader::new(child.stdout.take().expect("its output"));
    let at = read_listen_address(&mut out).expect("the scheduler says where it listens");
    (child, out, at)
}

/// Sends a signal by its name to a process.
pub fn signal(name: &str, process: u32) {
    let status = Command::new("kill").args([name, &process.to_string()]).status();
    assert!(status.expect("kill can be called").success());
}

impl Stage {
    /// With the fakes' usual settings.
    pub fn start(lab: &str, workers: usize) -> Stage {
        Stage::with(lab, workers, &[])
    }

    /// `changes`: parts of the configuration and what stands in their place.
    pub fn with(lab: &str, workers: usize, changes: &[(&str, &str)]) -> Stage {
        Stage::launched(workers, changes, &|file| scheduler(lab, file))
    }

    /// A scheduler some of whose system calls fail. `failures`: each as strace(1) takes it after `inject=`.
    pub fn failing(lab: &str, workers: usize, failures: &[&str]) -> Stage {
        Stage::launched(workers, &[], &|file| {
            let mut command = failing(lab, failures);
            command
                .arg("scheduler")
                .env("GW_CONFIG", file)
                .stdout(Stdio::piped());
            command
        })
    }

    fn launched(workers: usize, changes: &[(&str, &str)], launch: &dyn Fn(&Path) -> Command) -> Stage {
        let workers: Vec<Worker> = (0..workers).map(|_| Worker::start().expect("a worker")).collect();
        let targets: Vec<String> = workers
            .iter()
            .enumerate()
            .map(|(n, w)| target(&format!("w{n}"), w.at, "Ready"))
            .collect();
        let known = event(1, true, &targets);
        let coordinator = Coordinator::knowing(&known).expect("a coordinator");
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        let mut text = config(coordinator.at, &known);
        for (old, new) in changes {
            assert!(text.contains(old), "{old}");
            text = text.replace(old, new);
        }
        std::fs::write(&file, text).expect("the configuration is written");
        let (child, out, at) = started(launch(&file), &file);
        coordinator.wait_until_followed(0);
        Stage {
            child,
            at,
            out,
            file,
            _folder: folder,
            coordinator,
            workers,
        }
    }

    /// A connection of a client to the scheduler.
    pub fn frontend(&self) -> Frontend {
        Frontend::connect(self.at).expect("the scheduler takes connections")
    }

    /// Its number among processes.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Sends the scheduler a signal by its name.
    pub fn signal(&self, name: &str) {
        signal(name, self.child.id());
    }

    /// Sends SIGSTOP, and waits until the process has stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        // The state comes after the name, which is in brackets.
        let stopped = |text: String| text.rsplit(')').next().is_some_and(|rest| rest.starts_with(" T"));
        while !std::fs::read_to_string(&stat).is_ok_and(stopped) {
            std::thread::yield_now();
        }
    }

    /// Sends SIGCONT.
    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// Waits for its end.
    pub fn ends(&mut self) -> ExitStatus {
        let mut rest = String::new();
        self.out
            .read_to_string(&mut rest)
            .expect("what it says can be read");
        self.child.wait().expect("it ends")
    }

    /// Waits for its end until `at`; returns whether it has ended well by then.
    pub fn ends_by(&mut self, at: Instant) -> bool {
        loop {
            if let Some(status) = self.child.try_wait().expect("it can be waited for") {
                return status.success();
            }
            if Instant::now() >= at {
                return false;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// What it has logged since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).expect("its log can be read")
    }

    /// Has it read a configuration with this coordinator and these known events, by SIGHUP.
    pub fn hang_up(&self, coordinator: SocketAddr, known: &str) {
        std::fs::write(&self.file, config(coordinator, known)).expect("the configuration is written");
        self.signal("-HUP");
    }

    /// A connection of the first worker on which a request has ended, and which has rested for so long that it must prove that
    /// it works.
    pub fn rested(&mut self, frontend: &mut Frontend, id: &str) -> usize {
        ask(frontend, 1, &asked("/do/once", id));
        let (connection, ..) = serve(&mut self.workers[0], frontend, b"");
        let answered = Instant::now();
        while answered.elapsed() < quartzdrift_platform::connection_choice::MAX_UNVERIFIED_IDLE * 2 {
            assert_eq!(check(frontend), 200);
        }
        connection
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills it and starts it anew at the same address, by the same configuration.
    pub fn restart(&mut self, lab: &str) {
        self.kill();
        let text = std::fs::read_to_string(&self.file).expect("its configuration");
        let text = text.replace("127.0.0.1:0", &self.at.to_string());
        std::fs::write(&self.file, text).expect("the configuration is written");
        let repeated = self.coordinator.repeated();
        (self.child, self.out, self.at) = started(scheduler(lab, &self.file), &self.file);
        self.coordinator.wait_until_followed(repeated);
    }

    /// All commands that reached a worker and were not yet taken; the scheduler is killed first.
    pub fn last_commands(&mut self, worker: usize) -> Vec<Received> {
        self.kill();
        self.workers[worker].last_commands()
    }

    /// The worker that the next command reaches, and the command. Workers not met are asked in turn.
    pub fn command(&mut self) -> (usize, Received) {
        let mut frontend = self.frontend();
        loop {
            for n in 0..self.workers.len() {
                if let Some(command) = self.workers[n].command_now() {
                    return (n, command);
                }
            }
            // An answered check is a turn of the scheduler's loop, in which a command may have left.
            assert_eq!(check(&mut frontend), 200);
        }
    }

    /// Has the scheduler take news of workers, and returns once it has. A poll must be out, and known to be.
    pub fn tell(&self, index: u64, targets: &[String]) {
        self.say(index, &event(index, false, targets));
    }

    /// Answers the poll that is out with `news`, and returns once the scheduler follows from event `index`.
    pub fn say(&self, index: u64, news: &str) {
        let next = format!("follow={index}&");
        loop {
            self.coordinator.tell(news);
            // A poll that had ended meanwhile was answered for nothing; the next one asks the same again.
            if self.coordinator.poll().contains(&next) {
                return;
            }
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An id as workers are told it.
pub fn number(id: &str) -> u64 {
    u64::from_str_radix(id, 16).expect("an id is a number")
}

/// Codes and ids of commands.
pub fn ids(commands: &[Received]) -> Vec<(u8, u64)> {
    commands.iter().map(|(_, code, id, ..)| (*code, *id)).collect()
}

/// A request that any scheduler takes.
pub fn asked<'a>(path: &'a str, id: &'a str) -> Asked<'a> {
    let (function, figures) = ("7f3a9c21e0b4d655", "memory_mb:512;lanes:2;load_ms:640");
    Asked {
        path,
        id,
        time: "50000",
        function,
        figures,
        idempotency_key: "",
        tenant: "",
        body: b"the body",
    }
}

/// Sends a request under a FastCGI number.
pub fn ask(frontend: &mut Frontend, number: u16, asked: &Asked) {
    frontend
        .send(&Frontend::request(number, asked))
        .expect("the scheduler takes a request");
}

/// Sends a request and returns its answer.
pub fn ask_and_reply(frontend: &mut Frontend, asked: &Asked) -> Reply {
    ask(frontend, 1, asked);
    frontend.reply().expect("a reply")
}

/// Answers the next command that reaches a worker, and returns its connection, code and id once the client has the answer.
pub fn serve(worker: &mut Worker, frontend: &mut Frontend, body: &[u8]) -> (usize, u8, u64) {
    let (connection, code, id, ..) = worker.command();
    worker.answer(connection, DONE, id, body);
    let reply = frontend.reply().expect("a reply");
    assert_eq!((reply.status, &reply.body[..]), (200, body));
    (connection, code, id)
}

/// Status of an answered check. It is also a turn of the scheduler's loop.
pub fn check(frontend: &mut Frontend) -> u16 {
    ask_and_reply(frontend, &asked("/check", "0000000000000000")).status
}

/// A listener that answers no new connection, as a machine that has vanished: its queue of one is full, and stays
/// so until somebody takes what waits in it.
pub struct Vanished {
    socket: socket2::Socket,
    pub at: SocketAddr,
    held: Vec<TcpStream>,
}

impl Vanished {
    /// A listener whose queue is full.
    ///
    /// # Errors
    /// The system grants no socket.
    pub fn start() -> io::Result<Vanished> {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(0)?;
        let at = socket
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("no address"))?;
        let mut held = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&at, FULL) {
            held.push(stream);
        }
        Ok(Vanished { socket, at, held })
    }

    /// It comes back: whoever still tries to connect gets through, and this is the worker that they meet.
    pub fn returns(self) -> io::Result<Worker> {
        let listener = TcpListener::from(self.socket);
        for _ in &self.held {
            listener.accept()?;
        }
        // The queue was short so that it could be filled.
        socket2::SockRef::from(&listener).listen(64)?;
        Worker::take(listener)
    }
}
