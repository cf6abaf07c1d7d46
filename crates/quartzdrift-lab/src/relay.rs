//! A TCP relay on loopback for the connections of one gateway to one worker. It can hold back the bytes of
//! both directions or of the responses alone, without closing a connection, or close all connections.
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest wait in one read of a socket, and so the longest delay until a change of the link's state takes
/// effect.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State of a link, which decides whether its relay passes bytes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass in both directions.
    Normal,
    /// No bytes pass; connections stay open.
    Stalled,
    /// Requests pass; responses are held back.
    ResponsesStalled,
    /// Open connections are closed, and new ones right after they are accepted.
    Closed,
}

impl LinkState {
    fn load(state: &AtomicU8) -> LinkState {
        [
            LinkState::Normal,
            LinkState::Stalled,
            LinkState::ResponsesStalled,
            LinkState::Closed,
        ][usize::from(state.load(Ordering::Relaxed)) % 4]
    }
}

/// A running relay; dropping it stops its threads.
pub struct Relay {
    /// Address that the gateway connects to in place of the worker's.
    pub address: SocketAddr,
    link: Arc<AtomicU8>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay to the worker at `worker`.
    pub fn start(worker: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (link, stop) = (
            Arc::new(AtomicU8::new(LinkState::Normal as u8)),
            Arc::new(AtomicBool::new(false)),
        );
        let (accept_link, accept_stop) = (link.clone(), stop.clone());
        let accept = move || accept_connections(&listener, worker, &accept_link, &accept_stop);
        let thread = std::thread::Builder::new()
            .name("relay".to_owned())
            .spawn(accept)?;
        Ok(Relay {
            address,
            link,
            stop,
            thread: Some(thread),
        })
    }

    /// Changes the state of the link; it takes effect within a few milliseconds.
    pub fn set_state(&self, link: LinkState) {
        self.link.store(link as u8, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_connections(
    listener: &TcpListener,
    worker: SocketAddr,
    link: &Arc<AtomicU8>,
    stop: &Arc<AtomicBool>,
) {
    while !stop.load(Ordering::Relaxed) {
        let Ok((gateway, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        if LinkState::load(link) == LinkState::Closed {
            continue;
        }
        // If the worker refuses the connection, the gateway's connection is dropped here and so closed.
        let Ok(worker) = TcpStream::connect(worker) else {
            continue;
        };
        for (from, to, carries_responses) in [(&gateway, &worker, false), (&worker, &gateway, true)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                continue;
            };
            let (link, stop) = (link.clone(), stop.clone());
            std::thread::spawn(move || copy_bytes(from, to, carries_responses, &link, &stop));
        }
    }
}

fn copy_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    carries_responses: bool,
    link: &AtomicU8,
    stop: &AtomicBool,
) {
    let mut buffer = [0; 16 << 10];
    let prepared = from
        .set_nonblocking(false)
        .and_then(|()| from.set_read_timeout(Some(POLL_INTERVAL)));
    while prepared.is_ok() && !stop.load(Ordering::Relaxed) {
        match LinkState::load(link) {
            LinkState::Closed => break,
            LinkState::Stalled => std::thread::sleep(POLL_INTERVAL),
            LinkState::ResponsesStalled if carries_responses => std::thread::sleep(POLL_INTERVAL),
            LinkState::Normal | LinkState::ResponsesStalled => match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) if to.write_all(&buffer[..length]).is_ok() => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Ok(_) | Err(_) => break,
            },
        }
    }
    // Fails where the peer has closed the connection already, which needs no further action.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn relay_holds_back_and_closes_by_the_state_of_the_link() {
        let worker = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay::start(worker.local_addr().unwrap()).unwrap();
        let mut gateway_end = TcpStream::connect(relay.address).unwrap();
        let (mut worker_end, _) = worker.accept().unwrap();
        for end in [&gateway_end, &worker_end] {
            end.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        }
        let mut pass = |is_request: bool, text: &[u8]| {
            let (from, to) = if is_request {
                (&mut gateway_end, &mut worker_end)
            } else {
                (&mut worker_end, &mut gateway_end)
            };
            from.write_all(text).unwrap();
            let mut buffer = [0; 8];
            to.read(&mut buffer).ok().map(|length| buffer[..length].to_vec())
        };
        assert_eq!(
            (pass(true, b"a"), pass(false, b"b")),
            (Some(b"a".to_vec()), Some(b"b".to_vec()))
        );
        relay.set_state(LinkState::ResponsesStalled);
        // A read that has begun may still pass its bytes on.
        std::thread::sleep(POLL_INTERVAL * 4);
        assert_eq!((pass(true, b"c"), pass(false, b"d")), (Some(b"c".to_vec()), None));
        relay.set_state(LinkState::Stalled);
        std::thread::sleep(POLL_INTERVAL * 4);
        assert_eq!((pass(true, b"e"), pass(false, b"f")), (None, None));
        relay.set_state(LinkState::Normal);
        std::thread::sleep(POLL_INTERVAL * 8);
        assert_eq!(
            pass(true, b"g"),
            Some(b"e".to_vec()),
            "bytes held back arrive before later ones"
        );
        relay.set_state(LinkState::Closed);
        let mut rest = Vec::new();
        gateway_end.read_to_end(&mut rest).unwrap();
        assert_eq!(rest, b"df", "bytes held back arrive before the end of the stream");
        assert_eq!(
            TcpStream::connect(relay.address)
                .unwrap()
                .read(&mut [0; 1])
                .unwrap(),
            0
        );
    }
}
