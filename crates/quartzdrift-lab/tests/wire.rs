//! What passes on the sockets of both programs, byte for byte but for what is drawn or measured anew in each run: those
//! places are replaced by words in angle brackets. A change of names or structure must not move a byte.
use quartzdrift_lab::cluster_harness::scheduler_command;
use quartzdrift_lab::scenario_runner::read_listen_address;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
const TIMEOUT: Duration = Duration::from_secs(15);

/// A process of the program, killed at the end of its test.
struct Process {
    child: Child,
    at: SocketAddr,
}

impl Process {
    fn start(mut command: Command) -> Process {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let at = read_listen_address(&mut BufReader::new(child.stdout.take().unwrap())).unwrap();
        Process { child, at }
    }

    fn connect(&self) -> TcpStream {
        with_timeout(TcpStream::connect(self.at).unwrap())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn with_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

fn accept(listener: &TcpListener) -> TcpStream {
    with_timeout(listener.accept().unwrap().0)
}

/// Reads until what has come `ends`, and gives it all.
fn read_until(stream: &mut TcpStream, ends: impl Fn(&[u8]) -> bool) -> Vec<u8> {
    let (mut all, mut part) = (Vec::new(), [0; 4096]);
    while !ends(&all) {
        match stream.read(&mut part) {
            Ok(0) => panic!("ended after {}", shown(&all)),
            Ok(n) => all.extend_from_slice(&part[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => panic!("{e} after {}", shown(&all)),
        }
    }
    all
}

fn shown(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// `text` with what stands between `before` and the next of `ends` replaced by a word.
fn without(text: &str, before: &str, ends: &[char], word: &str) -> String {
    let Some(at) = text.find(before).map(|at| at + before.len()) else {
        return text.to_owned();
    };
    let end = text[at..].find(ends).map_or(text.len(), |end| at + end);
    format!("{}<{word}>{}", &text[..at], &text[end..])
}

fn http_normal(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes).replace("\r\n", "\n");
    let text = without(&text, "host: ", &['\n'], "address");
    let text = without(&text, "x-amzn-requestid: ", &['\n'], "id");
    // One that the gateway has drawn ends with its own count, unlike the client's.
    let text = match text.contains("idempotency-key: k-1") {
        true => text,
        false => without(&text, "idempotency-key: ", &['\n'], "id"),
    };
    without(&text, "x-quartzdrift-time-left-ms: ", &['\n'], "ms")
}

const SETTINGS: &str = r#"
[gateway]
listen = ["127.0.0.1:0"]
seed = 1
customer_field = "x-customer"
[[customers]]
name = "first"
[[customers]]
name = "second"
[copies]
tells_warm = true
orders = true
[reports]
source = "answers"
fields = [{ field = "held", metric = "named_metrics.inflight" }]
[[workloads]]
name = "keyed"
effect = "fingerprinted"
group = "all"
window = "5s"
time_limit = "2s"
[[functions]]
name = "echo"
workload = "keyed"
[[workers]]
"#;

fn invocation(fields: &str, body: &str) -> String {
    format!(
        "POST /2015-03-31/functions/echo/invocations HTTP/1.1\r\nhost: x\r\n{fields}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn the_gateways_http_is_as_recorded() {
    let (worker, worker_at) = listener();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("gateway.toml");
    std::fs::write(&file, format!("{SETTINGS}address = \"{worker_at}\"\n")).unwrap();
    let mut command = Command::new(LAB);
    command.arg("gateway").arg(&file);
    let gateway = Process::start(command);
    let mut client = gateway.connect();
    let fields = "x-customer: second\r\nidempotency-key: k-1\r\nx-amz-client-context: e30=\r\n";
    client
        .write_all(invocation(fields, "{\"a\": 1}").as_bytes())
        .unwrap();
    let mut connection = accept(&worker);
    let mut all = http_normal(&read_until(&mut connection, |all| all.ends_with(b"{\"a\": 1}")));
    let answer = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nendpoint-load-metrics: JSON {\"named_metrics\":{\"inflight\":1}}\r\n\
        x-other: 1\r\ncontent-length: 4\r\n\r\ndone";
    connection.write_all(answer.as_bytes()).unwrap();
    all.push_str("\n---\n");
    all.push_str(&http_normal(&read_until(&mut client, |all| {
        all.ends_with(b"done")
    })));
    // Refused at every worker: rejected, with a time to come again.
    client
        .write_all(invocation("x-customer: first\r\n", "{}").as_bytes())
        .unwrap();
    all.push_str("\n---\n");
    all.push_str(&http_normal(&read_until(&mut connection, |all| {
        all.ends_with(b"\r\n\r\n{}")
    })));
    let full = "HTTP/1.1 429 Too Many Requests\r\nx-amzn-errortype: TooManyRequestsException\r\ncontent-length: 0\r\n\r\n";
    connection.write_all(full.as_bytes()).unwrap();
    all.push_str("\n---\n");
    all.push_str(&http_normal(&read_until(&mut client, |all| all.ends_with(b"}"))));
    for (asked, last) in [
        (invocation("", "{}"), "}"),
        (invocation("x-customer: third\r\n", "{}"), "}"),
        (invocation("x-customer: first\r\n", "{"), "}"),
        (
            "GET /v2/health/ready HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
            "\r\n\r\n",
        ),
        ("GET /other HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), "}"),
    ] {
        client.write_all(asked.as_bytes()).unwrap();
        all.push_str("\n---\n");
        all.push_str(&http_normal(&read_until(&mut client, |all| {
            all.ends_with(last.as_bytes())
        })));
    }
    compare("gateway.txt", &all);
}

fn platform_known(worker: SocketAddr) -> String {
    let target = format!(r#"{{"uid":"w0","endpoint":"{worker}","state":"Ready","boot_ms":0}}"#);
    format!(r#"{{"index":1,"updates":[{{"index":1,"endpoints":{{"all":true,"targets":[{target}]}}}}]}}"#)
}

fn platform_config(coordinator: SocketAddr, worker: SocketAddr) -> String {
    quartzdrift_lab::cluster_harness::config_json(coordinator, &platform_known(worker))
}

/// A FastCGI record as published: version, type, request, content, no padding.
fn record(kind: u8, number: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![
        1,
        kind,
        0,
        number,
        (content.len() >> 8) as u8,
        content.len() as u8,
        0,
        0,
    ];
    bytes.extend_from_slice(content);
    bytes
}

fn fastcgi(number: u8, path: &str, time: &str, body: &[u8]) -> Vec<u8> {
    let mut pairs = Vec::new();
    for (name, value) in [
        ("SCRIPT_NAME", path),
        ("HTTP_X_REQUEST_ID", &format!("9b1f03aa5c7e2d4{number}")),
        ("HTTP_X_TIMEOUT_MS", time),
        ("HTTP_X_OBJECT", "7f3a9c21e0b4d655"),
        ("HTTP_IDEMPOTENCY_KEY", "k-7"),
    ] {
        pairs.extend_from_slice(&[name.len() as u8, value.len() as u8]);
        pairs.extend_from_slice(name.as_bytes());
        pairs.extend_from_slice(value.as_bytes());
    }
    let begin = record(1, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
    [
        begin,
        record(4, number, &pairs),
        record(4, number, b""),
        record(5, number, body),
        record(5, number, b""),
    ]
    .concat()
}

/// Whether all ends with an END record for this request.
fn ended(all: &[u8], number: u8) -> bool {
    all.len() >= 16 && all[all.len() - 16..][..6] == [1, 3, 0, number, 0, 8]
}

/// The next command on a worker's connection; a question whether it works is answered.
fn command(connection: &mut TcpStream) -> Vec<u8> {
    loop {
        let mut frame = vec![0; 16];
        connection.read_exact(&mut frame).unwrap();
        let fields = usize::from(u16::from_be_bytes([frame[2], frame[3]]));
        let body = u32::from_be_bytes([frame[4], frame[5], frame[6], frame[7]]) as usize;
        frame.resize(16 + fields + body + 4, 0);
        connection.read_exact(&mut frame[16..]).unwrap();
        if frame[1] != 50 {
            return frame;
        }
        let id = frame[8..16].iter().fold(0, |id, byte| id << 8 | u64::from(*byte));
        let mut alive = Vec::new();
        quartzdrift_platform::frame::write(&mut alive, 193, 70, id, b"", b"");
        connection.write_all(&alive).unwrap();
    }
}

#[test]
fn the_platforms_sockets_are_as_recorded() {
    let ((worker, worker_at), (coordinator, coordinator_at)) = (listener(), listener());
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, platform_config(coordinator_at, worker_at)).unwrap();
    let node = Process::start(scheduler_command(LAB, Path::new(&file)));
    let mut watch = accept(&coordinator);
    let poll = read_until(&mut watch, |all| all.ends_with(b"\r\n\r\n"));
    let mut all = http_normal(&poll);
    // The last event that the configuration holds is asked for again; then the next one is waited for.
    let known = platform_known(worker_at);
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{known}",
        known.len()
    )
    .unwrap();
    let poll = read_until(&mut watch, |all| all.ends_with(b"\r\n\r\n"));
    all.push_str(&format!("---\n{}", http_normal(&poll)));
    let mut client = node.connect();
    client
        .write_all(&fastcgi(1, "/do/again", "50000", b"the body"))
        .unwrap();
    let mut connection = accept(&worker);
    let sent = command(&mut connection);
    // The check at the end is of fields that hold a time.
    let text = shown(&sent[..sent.len() - 4]);
    all.push_str(&format!("---\n{}<check>\n", without(&text, "max=", &['t'], "ms")));
    let mut answer = Vec::new();
    quartzdrift_platform::frame::write(
        &mut answer,
        193,
        64,
        0x9b1f_03aa_5c7e_2d41,
        b"report=queue:1",
        b"said",
    );
    all.push_str(&format!("---\n{}\n", shown(&answer)));
    connection.write_all(&answer).unwrap();
    all.push_str(&format!(
        "---\n{}\n",
        shown(&read_until(&mut client, |all| ended(all, 1)))
    ));
    // A worker that fails what must not run twice, then one that is full: nothing ran.
    for (number, path, code) in [(2, "/do/once", 68), (3, "/do/once", 67)] {
        client
            .write_all(&fastcgi(number, path, "50000", b"again"))
            .unwrap();
        command(&mut connection);
        let mut answer = Vec::new();
        quartzdrift_platform::frame::write(
            &mut answer,
            193,
            code,
            0x9b1f_03aa_5c7e_2d40 + u64::from(number),
            b"",
            b"",
        );
        connection.write_all(&answer).unwrap();
        all.push_str(&format!(
            "---\n{}\n",
            shown(&read_until(&mut client, |all| ended(all, number)))
        ));
    }
    for (number, path, time) in [
        (4, "/check", "1"),
        (5, "/do/other", "1"),
        (6, "/do/again", "x"),
        (7, "/", "1"),
    ] {
        client.write_all(&fastcgi(number, path, time, b"")).unwrap();
        all.push_str(&format!(
            "---\n{}\n",
            shown(&read_until(&mut client, |all| ended(all, number)))
        ));
    }
    compare("platform.txt", &all);
}

/// Compares with a recorded text; `RECORD_WIRE=1` writes it anew.
fn compare(name: &str, text: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/wire")
        .join(name);
    if std::env::var_os("RECORD_WIRE").is_some() {
        std::fs::write(&file, text).unwrap();
    }
    let recorded = std::fs::read_to_string(&file).unwrap();
    for (n, (expected, line)) in recorded.lines().zip(text.lines()).enumerate() {
        assert_eq!(line, expected, "{name}, line {}", n + 1);
    }
    assert_eq!(text.len(), recorded.len(), "{name}: one is longer than the other");
}
