//! Bad clients that send requests at full speed without a pause, and read what is sent to them.
use review_standins::day::{Day, end};
use review_standins::fastcgi::{self, Request};
use review_standins::front::next_id;
use review_standins::has_trouble;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// The memory that a scheduler written in Rust has on the bench's days, and the most descriptors of the pages.
const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 1024;
/// Bad clients, each with one connection. With the sound ones and the platform's check they stay within a third of
/// `SOCKETS`.
const BAD_CLIENTS: u64 = 240;
/// Requests that a bad client writes at once.
const AT_ONCE: u16 = 300;
/// Parameters without meaning in each of their requests, as a web server passes on what a client sends.
const EXTRA_PAIRS: usize = 110;
/// Figures without meaning in each of their `X-Spec`.
const EXTRA_FIGURES: usize = 350;
/// How long they go on: longer than the time limits of the sound clients.
const SPAN: Duration = Duration::from_secs(8);

fn main() {
    let day = Day::start(MEMORY_MB, SOCKETS);
    thread::sleep(Duration::from_secs(3));
    let (stop, received): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
    if has_trouble() {
        day.record.say("bad clients begin");
        for _ in 0..BAD_CLIENTS {
            let (address, stop, received) = (day.address, stop.clone(), received.clone());
            thread::spawn(move || while bad_client(address, &stop, &received).is_some() {});
        }
    }
    day.go_on(SPAN, || {
        format!(
            "bytes answered to bad clients {}",
            received.load(Ordering::SeqCst)
        )
    });
    stop.store(true, Ordering::SeqCst);
    if has_trouble() {
        day.record.say("bad clients end");
    }
    day.go_on(Duration::from_secs(4), || "no bad client".to_owned());
    end(&day.finish());
}

fn bad_client(address: SocketAddr, stop: &AtomicBool, received: &Arc<AtomicU64>) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut reader, count) = (stream.try_clone().ok()?, received.clone());
    thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        while let Ok(bytes) = reader.read(&mut buffer)
            && bytes > 0
        {
            count.fetch_add(bytes as u64, Ordering::SeqCst);
        }
    });
    let spec = format!(
        "memory_mb:3000;lanes:4;load_ms:1300{}",
        ";x:1".repeat(EXTRA_FIGURES)
    );
    let mut bytes = Vec::new();
    for number in 1..=AT_ONCE {
        let request = Request {
            path: "/do/point-forecast",
            id: next_id(),
            timeout_ms: 20,
            object: 0xbad,
            spec: &spec,
            body: b"",
            extra_pairs: EXTRA_PAIRS,
        };
        fastcgi::request(&mut bytes, number, &request);
    }
    while stream.write_all(&bytes).is_ok() {
        if stop.load(Ordering::SeqCst) {
            return None;
        }
    }
    Some(())
}
