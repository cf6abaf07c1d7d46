//! Clients that send requests at full speed to fill the scheduler's memory or its time, each within the
//! limits of the protocol.
use super::client::FLOOD_ID;
use quartzdrift_fastcgi::{self as fastcgi, write_pair, write_record};
use quartzdrift_lab::cluster_harness::request_fields;
use quartzdrift_lab::platform::{Frontend, RequestFields};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Open requests that the protocol allows on one connection.
const REQUESTS_PER_CONNECTION: u16 = 32;
/// Largest body that the protocol allows, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Parameters of one request in a flood that fills the parameter limit of 8 KiB almost, in bytes.
const LONG_PARAMS_BYTES: usize = 7 << 10;
/// Client timeout of a request that is never to be served, in milliseconds.
const SHORT_TIMEOUT_MS: &str = "20";

/// Bursts that a reconnecting client sends on a connection, and the pause after each.
const BURSTS_PER_CONNECTION: usize = 50;
const BURST_PAUSE: Duration = Duration::from_millis(5);

/// What the clients of a flood send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Requests for new functions, aborted at once; the next ones after the aborts are confirmed.
    Withdrawn,
    /// Requests whose bodies never end.
    UnfinishedBodies,
    /// Requests whose parameters never end.
    UnfinishedParams,
    /// Complete requests with the largest body; the next ones after the responses.
    LargeBodies,
    /// Complete requests with many parameters, without a pause.
    Ceaseless,
    /// Complete requests, each followed by its abort, without a pause.
    CeaselessWithdrawn,
    /// The same in bursts, after which the client closes the connection and opens another one.
    Reconnecting,
}

impl FloodKind {
    /// All kinds, for seeded scenarios.
    pub const ALL: [FloodKind; 7] = [
        FloodKind::Withdrawn,
        FloodKind::UnfinishedBodies,
        FloodKind::UnfinishedParams,
        FloodKind::LargeBodies,
        FloodKind::Ceaseless,
        FloodKind::CeaselessWithdrawn,
        FloodKind::Reconnecting,
    ];

    /// Whether a client waits for the responses to its requests before it sends the next ones.
    fn awaits_responses(self) -> bool {
        matches!(self, FloodKind::Withdrawn | FloodKind::LargeBodies)
    }

    /// Whether a client sends without waiting for the scheduler.
    fn is_ceaseless(self) -> bool {
        self.withdraws_each() || self == FloodKind::Ceaseless
    }

    /// Whether each request is followed by its abort.
    fn withdraws_each(self) -> bool {
        matches!(self, FloodKind::CeaselessWithdrawn | FloodKind::Reconnecting)
    }
}

/// The clients of a flood, each with one connection.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    pub kind: FloodKind,
    pub clients: usize,
}

/// A running flood.
pub struct RunningFlood {
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts the clients. They reconnect whenever the scheduler closes their connection.
    pub fn start(self, address: SocketAddr) -> RunningFlood {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let next_id = Arc::new(AtomicU64::new(FLOOD_ID));
        let threads = (0..self.clients)
            .map(|_| {
                let (stop, next_id) = (stop_requested.clone(), next_id.clone());
                thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        // A connection that the scheduler closes or refuses is replaced by the next one.
                        let _ = use_connection(self.kind, address, &stop, &next_id);
                        thread::yield_now();
                    }
                })
            })
            .collect();
        RunningFlood {
            stop_requested,
            threads,
        }
    }
}

impl RunningFlood {
    /// Ends the flood. The scheduler must have ended before, so that no write or read blocks.
    pub fn stop(self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a client of the flood must not panic");
        }
    }
}

/// Sends batches on one connection until it ends.
fn use_connection(
    kind: FloodKind,
    address: SocketAddr,
    stop: &AtomicBool,
    next_id: &AtomicU64,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    let mut frontend = Frontend::from_stream(stream.try_clone()?)?;
    if kind.is_ceaseless() {
        let mut unread = stream.try_clone()?;
        thread::spawn(move || io::copy(&mut unread, &mut io::sink()));
        let batch = encode_batch(kind, next_id);
        let mut bursts = 0;
        while !stop.load(Ordering::Relaxed) {
            stream.write_all(&batch)?;
            bursts += 1;
            if kind == FloodKind::Reconnecting {
                thread::sleep(BURST_PAUSE);
                if bursts == BURSTS_PER_CONNECTION {
                    return stream.shutdown(Shutdown::Both);
                }
            }
        }
        return Ok(());
    }
    while !stop.load(Ordering::Relaxed) {
        stream.write_all(&encode_batch(kind, next_id))?;
        if !kind.awaits_responses() {
            // The scheduler closes the connection when the time for a request is over.
            return stream.read_to_end(&mut Vec::new()).map(drop);
        }
        for _ in 0..REQUESTS_PER_CONNECTION {
            frontend.read_reply()?;
        }
    }
    Ok(())
}

/// Encodes the requests that a client sends at once.
fn encode_batch(kind: FloodKind, next_id: &AtomicU64) -> Vec<u8> {
    let mut out = Vec::new();
    for fastcgi_id in 1..=REQUESTS_PER_CONNECTION {
        encode_request(
            kind,
            fastcgi_id,
            next_id.fetch_add(1, Ordering::Relaxed),
            &mut out,
        );
        if kind.withdraws_each() {
            out.extend(Frontend::encode_abort(fastcgi_id));
        }
    }
    if kind == FloodKind::Withdrawn {
        out.extend((1..=REQUESTS_PER_CONNECTION).flat_map(Frontend::encode_abort));
    }
    out
}

fn encode_request(kind: FloodKind, fastcgi_id: u16, id: u64, out: &mut Vec<u8>) {
    let (id_text, function) = (format!("{id:016x}"), format!("{:016x}", id.rotate_left(32)));
    let large_body = [b'x'; MAX_BODY_BYTES];
    let fields = RequestFields {
        function: &function,
        timeout_ms: if kind.is_ceaseless() {
            SHORT_TIMEOUT_MS
        } else {
            "1000"
        },
        body: match kind {
            FloodKind::UnfinishedBodies | FloodKind::LargeBodies => &large_body,
            _ => b"",
        },
        ..request_fields("/do/again", &id_text)
    };
    let empty_record = |record_type| {
        let mut record = Vec::new();
        write_record(&mut record, record_type, fastcgi_id, b"");
        record
    };
    match kind {
        FloodKind::Withdrawn
        | FloodKind::LargeBodies
        | FloodKind::CeaselessWithdrawn
        | FloodKind::Reconnecting => {
            out.extend(Frontend::encode_request(fastcgi_id, &fields));
        }
        FloodKind::UnfinishedBodies => {
            let whole = Frontend::encode_request(fastcgi_id, &fields);
            out.extend(&whole[..whole.len() - empty_record(fastcgi::STDIN).len()]);
        }
        FloodKind::UnfinishedParams | FloodKind::Ceaseless => {
            let whole = Frontend::encode_request(fastcgi_id, &fields);
            let ends = [empty_record(fastcgi::PARAMS), empty_record(fastcgi::STDIN)].concat();
            out.extend(&whole[..whole.len() - ends.len()]);
            let mut pairs = Vec::new();
            write_pair(&mut pairs, b"HTTP_X_UNKNOWN", &[b'x'; LONG_PARAMS_BYTES]);
            write_record(out, fastcgi::PARAMS, fastcgi_id, &pairs);
            if kind == FloodKind::Ceaseless {
                out.extend(ends);
            }
        }
    }
}
