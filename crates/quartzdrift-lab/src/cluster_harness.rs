//! The cluster harness of the tests: runs a scheduler process between fakes of the platform, on loopback.
//!
//! [`ClusterHarness`] starts the process with a fake coordinator and fake workers, and tests send requests
//! through [`Frontend`] connections.
use crate::platform::{Coordinator, Frontend, ReceivedCommand, Reply, RequestFields, Worker};
use crate::scenario_runner::read_listen_address;
use std::io::{self, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Code of a worker's answer that the request was executed; its body is the response.
pub const SUCCEEDED: u8 = 64;
/// Id of a request, as the frontend states it.
pub const REQUEST_ID: &str = "9b1f03aa5c7e2d41";
/// Id of a second request.
pub const SECOND_REQUEST_ID: &str = "9b1f03aa5c7e2d42";
/// Id of a third request.
pub const THIRD_REQUEST_ID: &str = "9b1f03aa5c7e2d43";
/// Change of the configuration that forbids the scheduler to cancel commands.
pub const NO_CANCEL: (&str, &str) = ("\"cancel\":true", "\"cancel\":false");
/// Change of the configuration that gives connection attempts 60 s.
pub const LONG_CONNECT_TIMEOUT: (&str, &str) = (
    "\"connect-timeout-ns\":250000000",
    "\"connect-timeout-ns\":60000000000",
);
/// Change of the configuration that leaves sockets for eight clients and eight connections to workers.
pub const FEW_SOCKETS: (&str, &str) = ("\"sockets\":128", "\"sockets\":40");
/// Longest connection attempt to a listener; its queue counts as full after that.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(200);

/// A running scheduler process, its fake coordinator and its fake workers. Dropping it kills the process.
pub struct ClusterHarness {
    child: Child,
    /// Address at which the scheduler takes connections of frontends.
    pub address: SocketAddr,
    stdout: BufReader<ChildStdout>,
    /// Configuration file of the scheduler, which it reads at its start and at SIGHUP.
    pub file: PathBuf,
    _folder: tempfile::TempDir,
    pub coordinator: Coordinator,
    pub workers: Vec<Worker>,
}

/// The JSON entry of a worker in an endpoint event.
pub fn endpoint_json(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"{address}","state":"{state}","boot_ms":0}}"#)
}

/// The coordinator's answer to a poll, with one endpoint event. `all`: the event lists every worker.
pub fn endpoint_event(index: u64, all: bool, targets: &[String]) -> String {
    let targets = targets.join(",");
    format!(
        r#"{{"index":{index},"updates":[{{"index":{index},"endpoints":{{"all":{all},"targets":[{targets}]}}}}]}}"#
    )
}

/// A scheduler's configuration with an idempotent request class `again` and a non-idempotent one `once`.
/// `known` is an answer of the coordinator with the events that the scheduler starts from.
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

/// The command that runs the binary `quartzdrift-lab` as a scheduler with a configuration file.
pub fn scheduler_command(program: &str, file: &Path) -> Command {
    let mut command = Command::new(program);
    command
        .arg("scheduler")
        .env("GW_CONFIG", file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    command
}

/// The command that runs a program under strace(1), which makes some of its system calls fail. Each of
/// `failures` is an argument of strace's `inject=`. The spawned process is the program itself; strace runs as
/// its grandchild (`-D`).
pub fn with_failing_system_calls(program: &str, failures: &[&str]) -> Command {
    let mut command = Command::new("strace");
    command.args(["-D", "-f", "-qq", "-o", "/dev/null"]);
    for failure in failures {
        command.args(["-e", &format!("inject={failure}")]);
    }
    command.arg(program);
    command
}

/// Starts a scheduler that logs to a file beside its configuration, and waits until it listens.
fn spawn_logged(mut command: Command, file: &Path) -> (Child, BufReader<ChildStdout>, SocketAddr) {
    let log = std::fs::File::create(file.with_extension("log")).expect("the log file is created");
    let mut child = command.stderr(log).spawn().expect("the scheduler starts");
    let mut stdout = BufReader::new(child.stdout.take().expect("stdout is piped"));
    let address = read_listen_address(&mut stdout).expect("the scheduler prints its address");
    (child, stdout, address)
}

/// Sends a signal to a process. `name` is an option of kill(1), as `-HUP`.
pub fn send_signal(name: &str, process: u32) {
    let status = Command::new("kill").args([name, &process.to_string()]).status();
    assert!(status.expect("kill(1) runs").success());
}

impl ClusterHarness {
    /// Starts a scheduler with the default configuration and so many fake workers.
    pub fn start(program: &str, workers: usize) -> ClusterHarness {
        ClusterHarness::with_config_changes(program, workers, &[])
    }

    /// Starts a scheduler with a changed configuration. Each of `changes` is a text of it and its
    /// replacement.
    pub fn with_config_changes(program: &str, workers: usize, changes: &[(&str, &str)]) -> ClusterHarness {
        ClusterHarness::launch(workers, changes, &|file| scheduler_command(program, file))
    }

    /// Starts a scheduler some of whose system calls fail, see [`with_failing_system_calls`].
    pub fn with_failing_system_calls(program: &str, workers: usize, failures: &[&str]) -> ClusterHarness {
        ClusterHarness::launch(workers, &[], &|file| {
            let mut command = with_failing_system_calls(program, failures);
            command
                .arg("scheduler")
                .env("GW_CONFIG", file)
                .stdout(Stdio::piped());
            command
        })
    }

    fn launch(
        workers: usize,
        changes: &[(&str, &str)],
        command: &dyn Fn(&Path) -> Command,
    ) -> ClusterHarness {
        let workers: Vec<Worker> = (0..workers)
            .map(|_| Worker::start().expect("a fake worker starts"))
            .collect();
        let targets: Vec<String> = workers
            .iter()
            .enumerate()
            .map(|(n, w)| endpoint_json(&format!("w{n}"), w.address, "Ready"))
            .collect();
        let known = endpoint_event(1, true, &targets);
        let coordinator = Coordinator::with_events(&known).expect("a fake coordinator starts");
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let file = folder.path().join("config.json");
        let mut text = config_json(coordinator.address, &known);
        for (old, new) in changes {
            assert!(text.contains(old), "the configuration does not contain {old}");
            text = text.replace(old, new);
        }
        std::fs::write(&file, text).expect("the configuration is written");
        let (child, stdout, address) = spawn_logged(command(&file), &file);
        coordinator.wait_until_followed(0);
        ClusterHarness {
            child,
            address,
            stdout,
            file,
            _folder: folder,
            coordinator,
            workers,
        }
    }

    /// Opens a frontend's connection to the scheduler.
    pub fn frontend(&self) -> Frontend {
        Frontend::connect(self.address).expect("the scheduler takes connections")
    }

    /// Process id of the scheduler.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the scheduler, see [`send_signal`].
    pub fn send_signal(&self, name: &str) {
        send_signal(name, self.child.id());
    }

    /// Sends SIGSTOP to the scheduler and waits until the process has stopped.
    pub fn pause(&self) {
        self.send_signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        // The state follows the program's name, which is in parentheses.
        let stopped = |text: String| text.rsplit(')').next().is_some_and(|rest| rest.starts_with(" T"));
        while !std::fs::read_to_string(&stat).is_ok_and(stopped) {
            std::thread::yield_now();
        }
    }

    /// Sends SIGCONT to the scheduler.
    pub fn resume(&self) {
        self.send_signal("-CONT");
    }

    /// Waits until the scheduler has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut rest = String::new();
        self.stdout
            .read_to_string(&mut rest)
            .expect("stdout of the scheduler is text");
        self.child.wait().expect("the scheduler exits")
    }

    /// Waits for the exit of the scheduler until `deadline`; returns whether it has exited successfully by
    /// then.
    pub fn has_succeeded_by(&mut self, deadline: Instant) -> bool {
        loop {
            if let Some(status) = self.child.try_wait().expect("waitpid(2) succeeds") {
                return status.success();
            }
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// The scheduler's log since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).expect("the log file is read")
    }

    /// Writes a configuration with this coordinator and these known events, and has the scheduler read it by
    /// SIGHUP.
    pub fn reload_config(&self, coordinator: SocketAddr, known: &str) {
        std::fs::write(&self.file, config_json(coordinator, known)).expect("the configuration is written");
        self.send_signal("-HUP");
    }

    /// Completes a request on the first worker, and keeps its connection idle for twice as long as the
    /// scheduler uses one without a ping. Returns the number of the connection.
    pub fn idle_connection(&mut self, frontend: &mut Frontend, id: &str) -> usize {
        send_request(frontend, 1, &request_fields("/do/once", id));
        let (connection, ..) = serve_next_command(&mut self.workers[0], frontend, b"");
        let answered = Instant::now();
        while answered.elapsed() < quartzdrift_platform::connection_choice::MAX_UNVERIFIED_IDLE * 2 {
            assert_eq!(check_status(frontend), 200);
        }
        connection
    }

    /// Kills the scheduler.
    pub fn kill(&mut self) {
        // Fails if the scheduler has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the scheduler and starts it again at the same address with the same configuration.
    pub fn restart(&mut self, program: &str) {
        self.kill();
        let text = std::fs::read_to_string(&self.file).expect("the configuration is read");
        let text = text.replace("127.0.0.1:0", &self.address.to_string());
        std::fs::write(&self.file, text).expect("the configuration is written");
        let repeated = self.coordinator.repeated_polls();
        (self.child, self.stdout, self.address) =
            spawn_logged(scheduler_command(program, &self.file), &self.file);
        self.coordinator.wait_until_followed(repeated);
    }

    /// Kills the scheduler and returns the commands of a worker that the test has not read yet.
    pub fn drain_commands(&mut self, worker: usize) -> Vec<ReceivedCommand> {
        self.kill();
        self.workers[worker].drain_commands()
    }

    /// Waits for the next command at any worker; returns the worker's index and the command. Of several
    /// commands, the one at the lowest index is returned.
    pub fn next_command(&mut self) -> (usize, ReceivedCommand) {
        let mut frontend = self.frontend();
        loop {
            for n in 0..self.workers.len() {
                if let Some(command) = self.workers[n].try_next_command() {
                    return (n, command);
                }
            }
            // A completed check is an iteration of the scheduler's event loop, which may have sent a command.
            assert_eq!(check_status(&mut frontend), 200);
        }
    }

    /// Answers the open poll with an event about these workers, and returns once the scheduler has applied
    /// it. A poll must be open, as after [`Coordinator::next_poll`].
    pub fn announce_endpoints(&self, index: u64, targets: &[String]) {
        self.send_events(index, &endpoint_event(index, false, targets));
    }

    /// Answers the open poll with `events`, and returns once the scheduler polls for the events after
    /// `index`.
    pub fn send_events(&self, index: u64, events: &str) {
        let next = format!("follow={index}&");
        loop {
            self.coordinator.answer_with_events(events);
            // If the poll timed out before the answer, the next poll asks for the same events again.
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

/// The id of a request as it is encoded in frames to workers.
pub fn id_number(id: &str) -> u64 {
    u64::from_str_radix(id, 16).expect("an id is a hexadecimal number")
}

/// The code and request id of each command.
pub fn codes_and_ids(commands: &[ReceivedCommand]) -> Vec<(u8, u64)> {
    commands.iter().map(|(_, code, id, ..)| (*code, *id)).collect()
}

/// Fields of a valid request with this path and id.
pub fn request_fields<'a>(path: &'a str, id: &'a str) -> RequestFields<'a> {
    let (function, spec) = ("7f3a9c21e0b4d655", "memory_mb:512;lanes:2;load_ms:640");
    RequestFields {
        path,
        id,
        timeout_ms: "50000",
        function,
        spec,
        idempotency_key: "",
        tenant: "",
        body: b"the body",
    }
}

/// Sends a request with a FastCGI request id.
pub fn send_request(frontend: &mut Frontend, fastcgi_id: u16, fields: &RequestFields) {
    frontend
        .send(&Frontend::encode_request(fastcgi_id, fields))
        .expect("the scheduler takes a request");
}

/// Sends a request and waits for its reply.
pub fn request_and_reply(frontend: &mut Frontend, fields: &RequestFields) -> Reply {
    send_request(frontend, 1, fields);
    frontend.read_reply().expect("the scheduler replies")
}

/// Answers the next command of a worker with `body`, and returns the command's connection, code and id once
/// the frontend has the reply.
pub fn serve_next_command(worker: &mut Worker, frontend: &mut Frontend, body: &[u8]) -> (usize, u8, u64) {
    let (connection, code, id, ..) = worker.next_command();
    worker.answer(connection, SUCCEEDED, id, body);
    let reply = frontend.read_reply().expect("the scheduler replies");
    assert_eq!((reply.status, &reply.body[..]), (200, body));
    (connection, code, id)
}

/// Sends a health check and returns the status of its reply. The scheduler's event loop has then completed an
/// iteration.
pub fn check_status(frontend: &mut Frontend) -> u16 {
    request_and_reply(frontend, &request_fields("/check", "0000000000000000")).status
}

/// A listener that leaves new connection attempts unanswered, as an unreachable machine does. Its accept
/// queue of one stays full until [`UnresponsiveListener::into_worker`] empties it.
pub struct UnresponsiveListener {
    socket: socket2::Socket,
    /// Address of the listener.
    pub address: SocketAddr,
    queued: Vec<TcpStream>,
}

impl UnresponsiveListener {
    /// Starts a listener and fills its accept queue.
    ///
    /// # Errors
    /// Fails if the system provides no socket.
    pub fn start() -> io::Result<UnresponsiveListener> {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(0)?;
        let address = socket
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("the listener's address is not an IP address"))?;
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT) {
            queued.push(stream);
        }
        Ok(UnresponsiveListener {
            socket,
            address,
            queued,
        })
    }

    /// Makes the listener reachable as a fake worker. Connection attempts that are still open reach the
    /// worker.
    ///
    /// # Errors
    /// Fails if the system cannot accept the queued connections.
    pub fn into_worker(self) -> io::Result<Worker> {
        let listener = TcpListener::from(self.socket);
        for _ in &self.queued {
            listener.accept()?;
        }
        // The queue was opened at its shortest, so that few connections fill it.
        socket2::SockRef::from(&listener).listen(64)?;
        Worker::from_listener(listener)
    }
}
