//! Compares the bytes that a gateway and a scheduler send on their sockets with recorded files, to detect
//! changes of the wire formats. Addresses, random ids and measured times are replaced by words in angle
//! brackets.
use quartzdrift_lab::cluster_harness::scheduler_command;
use quartzdrift_lab::scenario_runner::read_listen_address;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
const TIMEOUT: Duration = Duration::from_secs(15);

/// A process of the lab program with its listen address; the process is killed on drop.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(mut command: Command) -> Process {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let address = read_listen_address(&mut BufReader::new(child.stdout.take().unwrap())).unwrap();
        Process { child, address }
    }

    fn connect(&self) -> TcpStream {
        with_timeout(TcpStream::connect(self.address).unwrap())
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
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn accept(listener: &TcpListener) -> TcpStream {
    with_timeout(listener.accept().unwrap().0)
}

/// Reads until `is_complete` is true of the received bytes, and returns them.
fn read_until(stream: &mut TcpStream, is_complete: impl Fn(&[u8]) -> bool) -> Vec<u8> {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while !is_complete(&received) {
        match stream.read(&mut buffer) {
            Ok(0) => panic!("connection closed after {}", escape(&received)),
            Ok(n) => received.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => panic!("{e} after {}", escape(&received)),
        }
    }
    received
}

fn escape(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// Replaces the text between the first `prefix` and the next of the characters `ends` by `<placeholder>`.
fn replace_value(text: &str, prefix: &str, ends: &[char], placeholder: &str) -> String {
    let Some(start) = text.find(prefix).map(|index| index + prefix.len()) else {
        return text.to_owned();
    };
    let end = text[start..]
        .find(ends)
        .map_or(text.len(), |length| start + length);
    format!("{}<{placeholder}>{}", &text[..start], &text[end..])
}

/// Replaces the values of an HTTP message that differ in each run.
fn normalize_http(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes).replace("\r\n", "\n");
    let text = replace_value(&text, "host: ", &['\n'], "address");
    let text = replace_value(&text, "x-amzn-requestid: ", &['\n'], "id");
    // A key that the gateway generates differs in each run; the key of the client is kept.
    let text = match text.contains("idempotency-key: k-1") {
        true => text,
        false => replace_value(&text, "idempotency-key: ", &['\n'], "id"),
    };
    replace_value(&text, "x-quartzdrift-time-left-ms: ", &['\n'], "ms")
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
fn http_messages_of_the_gateway_match_the_recording() {
    let (worker, worker_address) = listener();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("gateway.toml");
    std::fs::write(&file, format!("{SETTINGS}address = \"{worker_address}\"\n")).unwrap();
    let mut command = Command::new(LAB);
    command.arg("gateway").arg(&file);
    let gateway = Process::start(command);
    let mut client = gateway.connect();
    let fields = "x-customer: second\r\nidempotency-key: k-1\r\nx-amz-client-context: e30=\r\n";
    client
        .write_all(invocation(fields, "{\"a\": 1}").as_bytes())
        .unwrap();
    let mut connection = accept(&worker);
    let mut transcript = normalize_http(&read_until(&mut connection, |received| {
        received.ends_with(b"{\"a\": 1}")
    }));
    let answer = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nendpoint-load-metrics: JSON {\"named_metrics\":{\"inflight\":1}}\r\n\
        x-other: 1\r\ncontent-length: 4\r\n\r\ndone";
    connection.write_all(answer.as_bytes()).unwrap();
    transcript.push_str("\n---\n");
    transcript.push_str(&normalize_http(&read_until(&mut client, |received| {
        received.ends_with(b"done")
    })));
    // The only worker is at capacity: the gateway rejects the request with a retry time.
    client
        .write_all(invocation("x-customer: first\r\n", "{}").as_bytes())
        .unwrap();
    transcript.push_str("\n---\n");
    transcript.push_str(&normalize_http(&read_until(&mut connection, |received| {
        received.ends_with(b"\r\n\r\n{}")
    })));
    let rejection = "HTTP/1.1 429 Too Many Requests\r\nx-amzn-errortype: TooManyRequestsException\r\ncontent-length: 0\r\n\r\n";
    connection.write_all(rejection.as_bytes()).unwrap();
    transcript.push_str("\n---\n");
    transcript.push_str(&normalize_http(&read_until(&mut client, |received| {
        received.ends_with(b"}")
    })));
    for (request, response_end) in [
        (invocation("", "{}"), "}"),
        (invocation("x-customer: third\r\n", "{}"), "}"),
        (invocation("x-customer: first\r\n", "{"), "}"),
        (
            "GET /v2/health/ready HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
            "\r\n\r\n",
        ),
        ("GET /other HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), "}"),
    ] {
        client.write_all(request.as_bytes()).unwrap();
        transcript.push_str("\n---\n");
        transcript.push_str(&normalize_http(&read_until(&mut client, |received| {
            received.ends_with(response_end.as_bytes())
        })));
    }
    compare("gateway.txt", &transcript);
}

/// Endpoint events with one worker, as the configuration and the coordinator contain them.
fn platform_events(worker: SocketAddr) -> String {
    let target = format!(r#"{{"uid":"w0","endpoint":"{worker}","state":"Ready","boot_ms":0}}"#);
    format!(r#"{{"index":1,"updates":[{{"index":1,"endpoints":{{"all":true,"targets":[{target}]}}}}]}}"#)
}

fn platform_config(coordinator: SocketAddr, worker: SocketAddr) -> String {
    quartzdrift_lab::cluster_harness::config_json(coordinator, &platform_events(worker))
}

/// A FastCGI record without padding: version, type, request id, content length, content.
fn record(record_type: u8, request_id: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![
        1,
        record_type,
        0,
        request_id,
        (content.len() >> 8) as u8,
        content.len() as u8,
        0,
        0,
    ];
    bytes.extend_from_slice(content);
    bytes
}

/// The FastCGI records of one request.
fn fastcgi_request(request_id: u8, path: &str, timeout_ms: &str, body: &[u8]) -> Vec<u8> {
    let mut pairs = Vec::new();
    for (name, value) in [
        ("SCRIPT_NAME", path),
        ("HTTP_X_REQUEST_ID", &format!("9b1f03aa5c7e2d4{request_id}")),
        ("HTTP_X_TIMEOUT_MS", timeout_ms),
        ("HTTP_X_OBJECT", "7f3a9c21e0b4d655"),
        ("HTTP_IDEMPOTENCY_KEY", "k-7"),
    ] {
        pairs.extend_from_slice(&[name.len() as u8, value.len() as u8]);
        pairs.extend_from_slice(name.as_bytes());
        pairs.extend_from_slice(value.as_bytes());
    }
    let begin = record(1, request_id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    [
        begin,
        record(4, request_id, &pairs),
        record(4, request_id, b""),
        record(5, request_id, body),
        record(5, request_id, b""),
    ]
    .concat()
}

/// True if the received bytes end with the record END_REQUEST of this request.
fn ends_request(received: &[u8], request_id: u8) -> bool {
    received.len() >= 16 && received[received.len() - 16..][..6] == [1, 3, 0, request_id, 0, 8]
}

/// Reads the next command on a connection to a worker, and answers the pings before it.
fn read_command(connection: &mut TcpStream) -> Vec<u8> {
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
fn messages_of_the_scheduler_match_the_recording() {
    let ((worker, worker_address), (coordinator, coordinator_address)) = (listener(), listener());
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, platform_config(coordinator_address, worker_address)).unwrap();
    let node = Process::start(scheduler_command(LAB, Path::new(&file)));
    let mut watch = accept(&coordinator);
    let poll = read_until(&mut watch, |received| received.ends_with(b"\r\n\r\n"));
    let mut transcript = normalize_http(&poll);
    // The first poll asks for the last event of the configuration again, the second one for the next event.
    let known = platform_events(worker_address);
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{known}",
        known.len()
    )
    .unwrap();
    let poll = read_until(&mut watch, |received| received.ends_with(b"\r\n\r\n"));
    transcript.push_str(&format!("---\n{}", normalize_http(&poll)));
    let mut client = node.connect();
    client
        .write_all(&fastcgi_request(1, "/do/again", "50000", b"the body"))
        .unwrap();
    let mut connection = accept(&worker);
    let sent = read_command(&mut connection);
    // The checksum at the end covers the remaining time, so it differs in each run too.
    let text = escape(&sent[..sent.len() - 4]);
    transcript.push_str(&format!(
        "---\n{}<check>\n",
        replace_value(&text, "max=", &['t'], "ms")
    ));
    let mut answer = Vec::new();
    quartzdrift_platform::frame::write(
        &mut answer,
        193,
        64,
        0x9b1f_03aa_5c7e_2d41,
        b"report=queue:1",
        b"said",
    );
    transcript.push_str(&format!("---\n{}\n", escape(&answer)));
    connection.write_all(&answer).unwrap();
    transcript.push_str(&format!(
        "---\n{}\n",
        escape(&read_until(&mut client, |received| ends_request(received, 1)))
    ));
    // The worker fails a non-idempotent request (68), then rejects one because it is at capacity (67).
    for (request_id, path, code) in [(2, "/do/once", 68), (3, "/do/once", 67)] {
        client
            .write_all(&fastcgi_request(request_id, path, "50000", b"again"))
            .unwrap();
        read_command(&mut connection);
        let mut answer = Vec::new();
        quartzdrift_platform::frame::write(
            &mut answer,
            193,
            code,
            0x9b1f_03aa_5c7e_2d40 + u64::from(request_id),
            b"",
            b"",
        );
        connection.write_all(&answer).unwrap();
        transcript.push_str(&format!(
            "---\n{}\n",
            escape(&read_until(&mut client, |received| ends_request(
                received, request_id
            )))
        ));
    }
    for (request_id, path, timeout_ms) in [
        (4, "/check", "1"),
        (5, "/do/other", "1"),
        (6, "/do/again", "x"),
        (7, "/", "1"),
    ] {
        client
            .write_all(&fastcgi_request(request_id, path, timeout_ms, b""))
            .unwrap();
        transcript.push_str(&format!(
            "---\n{}\n",
            escape(&read_until(&mut client, |received| ends_request(
                received, request_id
            )))
        ));
    }
    compare("platform.txt", &transcript);
}

/// Compares `text` with the recorded file of this name. If the environment variable `RECORD_WIRE` is set,
/// `text` is recorded first.
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
    assert_eq!(text.len(), recorded.len(), "{name}: lengths in bytes differ");
}
