//! The coordinator: numbered events about the workers over HTTP/1.1 long polls.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A worker in an event.
#[derive(Clone, Debug)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u32,
    pub state: &'static str,
    /// The Unix millisecond of a late start, or 0.
    pub boot_ms: u64,
}

impl Target {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"std-3core","pod_group":{},"state":"{}","capacity_hint":3,"boot_ms":{}}}"#,
            self.uid, self.address, self.zone, self.group, self.state, self.boot_ms
        )
    }
}

#[derive(Default)]
struct Events {
    /// The events as JSON; the first has number 1.
    texts: Vec<String>,
}

impl Events {
    fn after(&self, follow: usize) -> String {
        let updates = self.texts.get(follow..).unwrap_or(&[]).join(",");
        format!(r#"{{"index":{},"updates":[{updates}]}}"#, self.texts.len())
    }
}

/// A coordinator that answers polls until it is dropped.
#[derive(Clone)]
pub struct Coordinator {
    pub address: SocketAddr,
    events: Arc<(Mutex<Events>, Condvar)>,
}

impl Coordinator {
    /// Starts a coordinator whose first event lists `targets`.
    pub fn start(targets: &[Target]) -> Coordinator {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let coordinator = Coordinator {
            address,
            events: Arc::default(),
        };
        coordinator.tell(true, targets);
        let accepting = coordinator.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        coordinator
    }

    /// Adds an event: the whole list (`all`), or changes.
    pub fn tell(&self, all: bool, targets: &[Target]) {
        let (events, changed) = &*self.events;
        let mut events = events.lock().unwrap();
        let index = events.texts.len() + 1;
        let targets: Vec<String> = targets.iter().map(Target::json).collect();
        events.texts.push(format!(
            r#"{{"index":{index},"endpoints":{{"rev":{index},"all":{all},"targets":[{}]}}}}"#,
            targets.join(",")
        ));
        changed.notify_all();
    }

    /// The events so far, as the configuration's `known` has them.
    pub fn known(&self) -> String {
        self.events.0.lock().unwrap().after(0)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let target = line.split(' ').nth(1).unwrap_or("").to_owned();
            loop {
                let mut field = String::new();
                if reader.read_line(&mut field).unwrap_or(0) == 0 {
                    return;
                }
                if field.trim().is_empty() {
                    break;
                }
            }
            let number = |name: &str| -> u64 {
                let query = target.split_once('?').map_or("", |(_, query)| query);
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let mut values = pairs.filter(|(given, _)| *given == name);
                values
                    .next()
                    .and_then(|(_, value)| value.parse().ok())
                    .unwrap_or(0)
            };
            let body = self.wait(
                number("follow") as usize,
                Duration::from_millis(number("wait_ms").min(5000)),
            );
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn wait(&self, follow: usize, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (events, changed) = &*self.events;
        let mut events = events.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if events.texts.len() > follow || left.is_zero() {
                return events.after(follow);
            }
            events = changed.wait_timeout(events, left).unwrap().0;
        }
    }
}
