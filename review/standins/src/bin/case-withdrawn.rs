//! One bad client on one connection, whose requests name functions that no worker knows, and which withdraws them at
//! once: 32 at a time, the next ones when the ends of all are there.
use review_standins::day::{Day, end};
use review_standins::fastcgi::{self, ReplyReader, Request};
use review_standins::front::next_id;
use review_standins::has_trouble;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Limits that the bench gives a scheduler written in Rust.
const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 608;
/// "A connection carries up to 32 open requests".
const AT_ONCE: u16 = 32;
/// How long it goes on, unless the scheduler ends.
const SPAN: Duration = Duration::from_secs(60);

fn main() {
    let day = Day::start(MEMORY_MB, SOCKETS);
    thread::sleep(Duration::from_secs(3));
    let answered = Arc::new(AtomicU64::new(0));
    if has_trouble() {
        day.record.say("bad client begins");
        let (address, answered) = (day.address, answered.clone());
        thread::spawn(move || while bad_client(address, &answered).is_some() {});
    }
    day.go_on(SPAN, || {
        format!("requests withdrawn and ended {}", answered.load(Ordering::SeqCst))
    });
    end(&day.finish());
}

fn request(bytes: &mut Vec<u8>, number: u16) {
    let id = next_id();
    let request = Request {
        path: "/do/point-forecast",
        id,
        timeout_ms: 2000,
        // An id that no worker knows, and never the same one.
        object: id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        spec: "memory_mb:3000;lanes:4;load_ms:1300",
        body: b"",
        extra_pairs: 0,
    };
    fastcgi::request(bytes, number, &request);
}

/// Sends 32 requests at once and withdraws them, reads the end of each, and does it again.
fn bad_client(address: SocketAddr, answered: &AtomicU64) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut reader = ReplyReader::new(stream.try_clone().ok()?);
    loop {
        let mut bytes = Vec::new();
        for number in 1..=AT_ONCE {
            request(&mut bytes, number);
        }
        for number in 1..=AT_ONCE {
            fastcgi::record(&mut bytes, fastcgi::ABORT, number, b"");
        }
        stream.write_all(&bytes).ok()?;
        for _ in 1..=AT_ONCE {
            reader.next(Instant::now() + Duration::from_secs(5)).ok()?;
            answered.fetch_add(1, Ordering::SeqCst);
        }
    }
}
