//! The coordinator: numbered events over HTTP/1.1 long polls.
use crate::lock;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct Coordinator {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Vec<String>>, Condvar)>,
}

/// A worker's entry in an event.
pub fn target(uid: &str, address: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"athens-room","model":"std-3core","pod_group":1,"state":"{state}","capacity_hint":1,"boot_ms":{boot_ms}}}"#
    )
}

fn answer(events: &[String], follow: usize) -> String {
    let later: Vec<String> = events
        .iter()
        .enumerate()
        .skip(follow)
        .map(|(at, event)| format!(r#"{{"index":{},"endpoints":{event}}}"#, at + 1))
        .collect();
    format!(r#"{{"index":{},"updates":[{}]}}"#, events.len(), later.join(","))
}

impl Coordinator {
    pub fn start() -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<(Mutex<Vec<String>>, Condvar)> = Arc::default();
        let state = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Coordinator { address, shared }
    }

    /// Adds the next event: the whole list (`all`), or changes.
    pub fn add(&self, all: bool, targets: &[String]) {
        let mut events = lock(&self.shared.0);
        let rev = events.len() + 1;
        events.push(format!(
            r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
            targets.join(",")
        ));
        self.shared.1.notify_all();
    }

    /// The events so far, as the configuration states them under `known`.
    pub fn known(&self) -> String {
        answer(&lock(&self.shared.0), 0)
    }
}

fn serve(stream: TcpStream, state: &(Mutex<Vec<String>>, Condvar)) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let _ = writer.set_nodelay(true);
    let mut lines = BufReader::new(stream).lines();
    while let Some(Ok(line)) = lines.next() {
        let number = |name: &str| {
            let after = line.split_once(name)?.1;
            after
                .split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        let (follow, wait) = (
            number("follow=").unwrap_or(0) as usize,
            number("wait_ms=").unwrap_or(0),
        );
        while lines
            .next()
            .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
        {}
        let until = Instant::now() + Duration::from_millis(wait.min(5000));
        let mut events = lock(&state.0);
        while events.len() <= follow && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            events = match state.1.wait_timeout(events, left) {
                Ok(waited) => waited.0,
                Err(_) => return,
            };
        }
        let text = answer(&events, follow);
        drop(events);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        if writer.write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}
