//! Clients: the web servers of the front, with up to 32 open requests on a connection.
use crate::record::Record;
use crate::wire;
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest time between a request and the close that it crosses for which it is sent again.
const CROSSING: Duration = Duration::from_millis(50);
/// Requests that a connection carries at most.
const MAX_OPEN: usize = 32;
/// Idle time after which a client closes a connection.
const IDLE: Duration = Duration::from_secs(4);

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub class: String,
    pub function: u64,
    pub timeout_ms: u64,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

impl Request {
    /// The request as FastCGI records.
    pub fn bytes(&self, fcgi_id: u16) -> Vec<u8> {
        let path = format!("/do/{}", self.class);
        let (id, function) = (format!("{:016x}", self.id), format!("{:016x}", self.function));
        let timeout = self.timeout_ms.to_string();
        let mut params = vec![
            ("SCRIPT_NAME", &path[..]),
            ("HTTP_X_REQUEST_ID", &id),
            ("HTTP_X_TIMEOUT_MS", &timeout),
            ("HTTP_X_OBJECT", &function),
            ("HTTP_X_SPEC", "memory_mb:512;lanes:2;load_ms:640"),
        ];
        if let Some(key) = &self.key {
            params.push(("HTTP_IDEMPOTENCY_KEY", key));
        }
        wire::request(fcgi_id, &params, &self.body)
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Result {
    pub request: Request,
    pub sent_at: Duration,
    pub ended_at: Duration,
    /// Status and body of the answer; `None`: the connection ended without one.
    pub answer: Option<(u16, Vec<u8>)>,
}

struct Open {
    request: Request,
    sent: Instant,
    sent_at: Duration,
    answer: Vec<u8>,
    is_resent: bool,
}

struct Connection {
    stream: TcpStream,
    open: BTreeMap<u16, Open>,
    next_id: u16,
    last_use: Instant,
    is_ended: bool,
}

type Shared = Arc<Mutex<Connection>>;

/// A front that sends to one scheduler.
#[derive(Clone)]
pub struct Front {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<Shared>>>,
    results: Arc<Mutex<Vec<Result>>>,
    record: Arc<Record>,
}

impl Front {
    /// A front without connections.
    pub fn new(address: SocketAddr, record: &Arc<Record>) -> Front {
        Front {
            address,
            connections: Arc::default(),
            results: Arc::default(),
            record: record.clone(),
        }
    }

    /// Sends a request on a connection that has room, or on a new one. Returns whether it was sent.
    pub fn send(&self, request: Request) -> bool {
        self.send_again(request, false)
    }

    fn send_again(&self, request: Request, is_resent: bool) -> bool {
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|connection| {
            let connection = connection.lock().unwrap();
            let is_idle = connection.open.is_empty() && connection.last_use.elapsed() > IDLE;
            if is_idle {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            !is_idle && !connection.is_ended
        });
        let has_room = |connection: &&Shared| {
            let connection = connection.lock().unwrap();
            connection.open.len() < MAX_OPEN && !connection.is_ended
        };
        let found = if is_resent {
            None
        } else {
            connections.iter().find(has_room).cloned()
        };
        let connection = match found {
            Some(connection) => connection,
            None => {
                let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) else {
                    return false;
                };
                let _ = stream.set_nodelay(true);
                let Ok(reader) = stream.try_clone() else {
                    return false;
                };
                let connection = Arc::new(Mutex::new(Connection {
                    stream,
                    open: BTreeMap::new(),
                    next_id: 1,
                    last_use: Instant::now(),
                    is_ended: false,
                }));
                connections.push(connection.clone());
                let (front, reading) = (self.clone(), connection.clone());
                std::thread::spawn(move || front.read(&reading, reader));
                connection
            }
        };
        drop(connections);
        let mut connection = connection.lock().unwrap();
        let mut fcgi_id = connection.next_id;
        while connection.open.contains_key(&fcgi_id) || fcgi_id == 0 {
            fcgi_id = fcgi_id.wrapping_add(1);
        }
        connection.next_id = fcgi_id.wrapping_add(1);
        connection.last_use = Instant::now();
        let bytes = request.bytes(fcgi_id);
        self.record
            .line(format!("client {:016x} sent to {}", request.id, self.address));
        let open = Open {
            request,
            sent: Instant::now(),
            sent_at: self.record.now(),
            answer: Vec::new(),
            is_resent,
        };
        connection.open.insert(fcgi_id, open);
        // An error means that the connection has ended, which its reader finds.
        let _ = connection.stream.write_all(&bytes);
        true
    }

    fn read(&self, connection: &Shared, mut stream: TcpStream) {
        while let Ok((kind, fcgi_id, content)) = wire::read_record(&mut stream) {
            let mut connection = connection.lock().unwrap();
            connection.last_use = Instant::now();
            let Some(open) = connection.open.get_mut(&fcgi_id) else {
                self.record.line(format!(
                    "client: record {kind} for request {fcgi_id}, which is not open"
                ));
                continue;
            };
            if kind == wire::STDOUT {
                open.answer.extend_from_slice(&content);
            } else if kind == wire::END_REQUEST {
                let Some(open) = connection.open.remove(&fcgi_id) else {
                    continue;
                };
                drop(connection);
                let answer = match content.get(4) {
                    Some(2) => (503, Vec::new()),
                    _ => parse(&open.answer),
                };
                self.end(open, Some(answer));
            }
        }
        let mut connection = connection.lock().unwrap();
        connection.is_ended = true;
        let open = std::mem::take(&mut connection.open);
        drop(connection);
        for (_, open) in open {
            let has_crossed = open.sent.elapsed() <= CROSSING && open.answer.is_empty() && !open.is_resent;
            let is_resent = has_crossed && self.send_again(open.request.clone(), true);
            if !is_resent {
                self.end(open, None);
            }
        }
    }

    fn end(&self, open: Open, answer: Option<(u16, Vec<u8>)>) {
        let text = match &answer {
            Some((status, body)) => format!("answered {status} {}", String::from_utf8_lossy(body)),
            None => "ended without an answer".to_owned(),
        };
        self.record
            .line(format!("client {:016x} {text}", open.request.id));
        self.results.lock().unwrap().push(Result {
            request: open.request,
            sent_at: open.sent_at,
            ended_at: self.record.now(),
            answer,
        });
    }

    /// Number of requests without an answer yet.
    pub fn open(&self) -> usize {
        let connections = self.connections.lock().unwrap();
        connections
            .iter()
            .map(|connection| connection.lock().unwrap().open.len())
            .sum()
    }

    /// What became of the requests so far.
    pub fn results(&self) -> Vec<Result> {
        self.results.lock().unwrap().clone()
    }

    /// Number of answers by status; 0 stands for none.
    pub fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut counts = BTreeMap::new();
        for result in self.results.lock().unwrap().iter() {
            *counts
                .entry(result.answer.as_ref().map_or(0, |(status, _)| *status))
                .or_default() += 1;
        }
        counts
    }
}

/// Status and body of a CGI response; status 0 if it can't be read.
fn parse(answer: &[u8]) -> (u16, Vec<u8>) {
    let Some(end) = answer.windows(4).position(|four| four == b"\r\n\r\n") else {
        return (0, answer.to_vec());
    };
    let head = String::from_utf8_lossy(&answer[..end]);
    let fields: HashMap<&str, &str> = head
        .split("\r\n")
        .filter_map(|line| line.split_once(": "))
        .collect();
    let status = fields
        .get("Status")
        .and_then(|value| value.get(..3))
        .and_then(|value| value.parse().ok());
    (status.unwrap_or(0), answer[end + 4..].to_vec())
}

/// Whether a scheduler answers a request for `/check` with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream
        .write_all(&wire::request(1, &[("SCRIPT_NAME", "/check")], b""))
        .is_err()
    {
        return false;
    }
    let mut answer = Vec::new();
    while let Ok((kind, _, content)) = wire::read_record(&mut stream) {
        match kind {
            wire::STDOUT => answer.extend_from_slice(&content),
            _ => return parse(&answer).0 == 200,
        }
    }
    false
}
