//! A scheduler process on the platform's sockets with its fakes, as tests set it up.
use crate::badday::listens_at;
use crate::platform::{Coordinator, Frontend, ReceivedCommand, Reply, RequestFields, Worker};
use std::io::{self, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Code of a worker's answer with a body.
pub const SUCCEEDED: u8 = 64;
/// Ids of requests.
pub const REQUEST_ID: &str = "9b1f03aa5c7e2d41";
/// Another id.
pub const SECOND_REQUEST_ID: &str = "9b1f03aa5c7e2d42";
/// A third id.
pub const THIRD_REQUEST_ID: &str = "9b1f03aa5c7e2d43";
/// The settings forbid to give up what is out.
pub const NO_CANCEL: (&str, &str) = ("\"cancel\":true", "\"cancel\":false");
/// Connections may take as long as they like.
pub const LONG_CONNECT_TIMEOUT: (&str, &str) = (
    "\"connect-timeout-ns\":250000000",
    "\"connect-timeout-ns\":60000000000",
);
/// Room for eight clients and eight connections.
pub const FEW_SOCKETS: (&str, &str) = ("\"sockets\":128", "\"sockets\":40");
/// How long a listener whose queue is full is tried before it counts as full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(200);

/// A scheduler that runs, and all that it talks to.
pub struct ClusterHarness {
    child: Child,
    pub address: SocketAddr,
    out: BufReader<ChildStdout>,
    /// Its configuration, to be replaced before SIGHUP.
    pub file: PathBuf,
    _folder: tempfile::TempDir,
    pub coordinator: Coordinator,
    pub workers: Vec<Worker>,
}

/// A worker as an event tells of it.
pub fn endpoint_json(uid: &str, at: SocketAddr, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"{at}","state":"{state}","boot_ms":0}}"#)
}

/// An answer of the coordinator with one event.
pub fn endpoint_event(index: u64, all: bool, targets: &[String]) -> String {
    let targets = targets.join(",");
    format!(
        r#"{{"index":{index},"updates":[{{"index":{index},"endpoints":{{"all":{all},"targets":[{targets}]}}}}]}}"#
    )
}

/// A configuration with an idempotent request class `again` and a non-idempotent one `once`.
pub fn config_json(coordinator: SocketAddr, known: &str) -> String {
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
pub fn scheduler_command(lab: &str, file: &Path) -> Command {
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
pub fn with_failing_system_calls(program: &str, failures: &[&str]) -> Command {
    let mut command = Command::new("strace");
    command.args(["-D", "-f", "-qq", "-o", "/dev/null"]);
    for failure in failures {
        command.args(["-e", &format!("inject={failure}")]);
    }
    command.arg(program);
    command
}

/// Starts a scheduler that logs to a file beside its configuration.
fn spawn_logged(mut command: Command, file: &Path) -> (Child, BufReader<ChildStdout>, SocketAddr) {
    let log = std::fs::File::create(file.with_extension("log")).expect("a file for its log");
    let mut child = command.stderr(log).spawn().expect("the scheduler starts");
    let mut out = BufReader::new(child.stdout.take().expect("its output"));
    let at = listens_at(&mut out).expect("the scheduler says where it listens");
    (child, out, at)
}

/// Sends a signal by its name to a process.
pub fn send_signal(name: &str, process: u32) {
    let status = Command::new("kill").args([name, &process.to_string()]).status();
    assert!(status.expect("kill can be called").success());
}

impl ClusterHarness {
    /// With the fakes' usual settings.
    pub fn start(lab: &str, workers: usize) -> ClusterHarness {
        ClusterHarness::with_config_changes(lab, workers, &[])
    }

    /// `changes`: parts of the configuration and what stands in their place.
    pub fn with_config_changes(lab: &str, workers: usize, changes: &[(&str, &str)]) -> ClusterHarness {
        ClusterHarness::launched(workers, changes, &|file| scheduler_command(lab, file))
    }

    /// A scheduler some of whose system calls fail. `failures`: each as strace(1) takes it after `inject=`.
    pub fn with_failing_system_calls(lab: &str, workers: usize, failures: &[&str]) -> ClusterHarness {
        ClusterHarness::launched(workers, &[], &|file| {
            let mut command = with_failing_system_calls(lab, failures);
            command
                .arg("scheduler")
                .env("GW_CONFIG", file)
                .stdout(Stdio::piped());
            command
        })
    }

    fn launched(
        workers: usize,
        changes: &[(&str, &str)],
        launch: &dyn Fn(&Path) -> Command,
    ) -> ClusterHarness {
        let workers: Vec<Worker> = (0..workers).map(|_| Worker::start().expect("a worker")).collect();
        let targets: Vec<String> = workers
            .iter()
            .enumerate()
            .map(|(n, w)| endpoint_json(&format!("w{n}"), w.address, "Ready"))
            .collect();
        let known = endpoint_event(1, true, &targets);
        let coordinator = Coordinator::with_events(&known).expect("a coordinator");
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        let mut text = config_json(coordinator.address, &known);
        for (old, new) in changes {
            assert!(text.contains(old), "{old}");
            text = text.replace(old, new);
        }
        std::fs::write(&file, text).expect("the configuration is written");
        let (child, out, at) = spawn_logged(launch(&file), &file);
        coordinator.wait_until_followed(0);
        ClusterHarness {
            child,
            address: at,
            out,
            file,
            _folder: folder,
            coordinator,
            workers,
        }
    }

    /// A connection of a client to the scheduler.
    pub fn frontend(&self) -> Frontend {
        Frontend::connect(self.address).expect("the scheduler takes connections")
    }

    /// Its number among processes.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the scheduler a signal by its name.
    pub fn send_signal(&self, name: &str) {
        send_signal(name, self.child.id());
    }

    /// Sends SIGSTOP, and waits until the process has stopped.
    pub fn pause(&self) {
        self.send_signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        // The state comes after the name, which is in brackets.
        let stopped = |text: String| text.rsplit(')').next().is_some_and(|rest| rest.starts_with(" T"));
        while !std::fs::read_to_string(&stat).is_ok_and(stopped) {
            std::thread::yield_now();
        }
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.send_signal("-CONT");
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut rest = String::new();
        self.out
            .read_to_string(&mut rest)
            .expect("what it says can be read");
        self.child.wait().expect("it ends")
    }

    /// Waits for its end until `at`; returns whether it has ended well by then.
    pub fn has_succeeded_by(&mut self, at: Instant) -> bool {
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
    pub fn reload_config(&self, coordinator: SocketAddr, known: &str) {
        std::fs::write(&self.file, config_json(coordinator, known)).expect("the configuration is written");
        self.send_signal("-HUP");
    }

    /// A connection of the first worker on which a request has ended, and which has rested for so long that it must prove that
    /// it works.
    pub fn idle_connection(&mut self, frontend: &mut Frontend, id: &str) -> usize {
        send_request(frontend, 1, &request_fields("/do/once", id));
        let (connection, ..) = serve_next_command(&mut self.workers[0], frontend, b"");
        let answered = Instant::now();
        while answered.elapsed() < quartzdrift_platform::connection_choice::MAX_UNVERIFIED_IDLE * 2 {
            assert_eq!(check_status(frontend), 200);
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
        let text = text.replace("127.0.0.1:0", &self.address.to_string());
        std::fs::write(&self.file, text).expect("the configuration is written");
        let repeated = self.coordinator.repeated_polls();
        (self.child, self.out, self.address) = spawn_logged(scheduler_command(lab, &self.file), &self.file);
        self.coordinator.wait_until_followed(repeated);
    }

    /// All commands that reached a worker and were not yet taken; the scheduler is killed first.
    pub fn drain_commands(&mut self, worker: usize) -> Vec<ReceivedCommand> {
        self.kill();
        self.workers[worker].drain_commands()
    }

    /// The worker that the next command reaches, and the command. Workers not met are asked in turn.
    pub fn next_command(&mut self) -> (usize, ReceivedCommand) {
        let mut frontend = self.frontend();
        loop {
            for n in 0..self.workers.len() {
                if let Some(command) = self.workers[n].try_next_command() {
                    return (n, command);
                }
            }
            // An answered check is a turn of the scheduler's loop, in which a command may have left.
            assert_eq!(check_status(&mut frontend), 200);
        }
    }

    /// Has the scheduler take news of workers, and returns once it has. A poll must be out, and known to be.
    pub fn announce_endpoints(&self, index: u64, targets: &[String]) {
        self.send_events(index, &endpoint_event(index, false, targets));
    }

    /// Answers the poll that is out with `news`, and returns once the scheduler follows from event `index`.
    pub fn send_events(&self, index: u64, news: &str) {
        let next = format!("follow={index}&");
        loop {
            self.coordinator.answer_with_events(news);
            // A poll that had ended meanwhile was answered for nothing; the next one asks the same again.
            if self.coordinator.next_poll().contains(&next) {
                return;
            }
        }
    }
}

impl Drop for ClusterHarness {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An id as workers are told it.
pub fn id_number(id: &str) -> u64 {
    u64::from_str_radix(id, 16).expect("an id is a number")
}

/// Codes and ids of commands.
pub fn codes_and_ids(commands: &[ReceivedCommand]) -> Vec<(u8, u64)> {
    commands.iter().map(|(_, code, id, ..)| (*code, *id)).collect()
}

/// A request that any scheduler takes.
pub fn request_fields<'a>(path: &'a str, id: &'a str) -> RequestFields<'a> {
    let (function, figures) = ("7f3a9c21e0b4d655", "memory_mb:512;lanes:2;load_ms:640");
    RequestFields {
        path,
        id,
        timeout_ms: "50000",
        function,
        spec: figures,
        idempotency_key: "",
        tenant: "",
        body: b"the body",
    }
}

/// Sends a request under a FastCGI number.
pub fn send_request(frontend: &mut Frontend, number: u16, asked: &RequestFields) {
    frontend
        .send(&Frontend::encode_request(number, asked))
        .expect("the scheduler takes a request");
}

/// Sends a request and returns its answer.
pub fn request_and_reply(frontend: &mut Frontend, asked: &RequestFields) -> Reply {
    send_request(frontend, 1, asked);
    frontend.read_reply().expect("a reply")
}

/// Answers the next command that reaches a worker, and returns its connection, code and id once the client has the answer.
pub fn serve_next_command(worker: &mut Worker, frontend: &mut Frontend, body: &[u8]) -> (usize, u8, u64) {
    let (connection, code, id, ..) = worker.next_command();
    worker.answer(connection, SUCCEEDED, id, body);
    let reply = frontend.read_reply().expect("a reply");
    assert_eq!((reply.status, &reply.body[..]), (200, body));
    (connection, code, id)
}

/// Status of an answered check. It is also a turn of the scheduler's loop.
pub fn check_status(frontend: &mut Frontend) -> u16 {
    request_and_reply(frontend, &request_fields("/check", "0000000000000000")).status
}

/// A listener that answers no new connection, as a machine that has vanished: its queue of one is full, and stays
/// so until somebody takes what waits in it.
pub struct UnresponsiveListener {
    socket: socket2::Socket,
    pub address: SocketAddr,
    held: Vec<TcpStream>,
}

impl UnresponsiveListener {
    /// A listener whose queue is full.
    ///
    /// # Errors
    /// The system grants no socket.
    pub fn start() -> io::Result<UnresponsiveListener> {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(0)?;
        let at = socket
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("no address"))?;
        let mut held = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&at, QUEUE_FULL_TIMEOUT) {
            held.push(stream);
        }
        Ok(UnresponsiveListener {
            socket,
            address: at,
            held,
        })
    }

    /// It comes back: whoever still tries to connect gets through, and this is the worker that they meet.
    pub fn into_worker(self) -> io::Result<Worker> {
        let listener = TcpListener::from(self.socket);
        for _ in &self.held {
            listener.accept()?;
        }
        // The queue was short so that it could be filled.
        socket2::SockRef::from(&listener).listen(64)?;
        Worker::from_listener(listener)
    }
}
