//! Bad clients that send the beginning of requests at full speed, each within the protocol's limits, and never the
//! end.
use review_standins::day::{Day, end};
use review_standins::fastcgi::{self, Request};
use review_standins::front::next_id;
use review_standins::has_trouble;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Limits that the bench gives a scheduler written in Rust.
const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 608;
/// Bad clients, each with one connection. With the sound ones and the platform's check they stay within a third of
/// `SOCKETS`.
const BAD_CLIENTS: u64 = 150;
/// "A connection carries up to 32 open requests", "Bodies hold any bytes, 16 KiB at most".
const AT_ONCE: u16 = 32;
const BODY_BYTES: usize = 16 << 10;
/// How long they go on, unless the scheduler ends.
const SPAN: Duration = Duration::from_secs(10);

fn main() {
    let day = Day::start(MEMORY_MB, SOCKETS);
    thread::sleep(Duration::from_secs(3));
    let sent = Arc::new(AtomicU64::new(0));
    if has_trouble() {
        day.record.say("bad clients begin");
        for _ in 0..BAD_CLIENTS {
            let (address, sent) = (day.address, sent.clone());
            thread::spawn(move || while bad_client(address, &sent).is_some() {});
        }
    }
    day.go_on(SPAN, || {
        format!("half requests sent {}", sent.load(Ordering::SeqCst))
    });
    end(&day.finish());
}

/// Sends all of 32 requests but the record that ends each body, and waits until the connection is closed.
fn bad_client(address: SocketAddr, sent: &AtomicU64) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    let body = [b'x'; BODY_BYTES];
    let mut bytes = Vec::new();
    for number in 1..=AT_ONCE {
        let request = Request {
            path: "/do/point-forecast",
            id: next_id(),
            timeout_ms: 2000,
            object: 0x7f3a_9c21_e0b4_0001,
            spec: "memory_mb:3000;lanes:4;load_ms:1300",
            body: &body,
            extra_pairs: 0,
        };
        fastcgi::begin(&mut bytes, number, &request);
        fastcgi::record(&mut bytes, fastcgi::STDIN, number, &body);
    }
    stream.write_all(&bytes).ok()?;
    sent.fetch_add(u64::from(AT_ONCE), Ordering::SeqCst);
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
    Some(())
}
