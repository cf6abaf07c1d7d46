//! A relay on loopback for the byte streams of one link, from a gateway to a worker: they can stall without an end, in both
//! directions or only on the way back, or be cut.
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long one look at a socket waits: a change of the link is noticed that late at most.
const LOOK: Duration = Duration::from_millis(5);

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Well,
    /// Nothing passes, and nothing ends.
    Stalled,
    /// Calls pass, answers do not.
    Deaf,
    /// Each connection is closed, and each new one too.
    Cut,
}

impl LinkState {
    fn read(told: &AtomicU8) -> LinkState {
        [
            LinkState::Well,
            LinkState::Stalled,
            LinkState::Deaf,
            LinkState::Cut,
        ][usize::from(told.load(Ordering::Relaxed)) % 4]
    }
}

pub struct Relay {
    pub address: SocketAddr,
    link: Arc<AtomicU8>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (link, stop) = (
            Arc::new(AtomicU8::new(LinkState::Well as u8)),
            Arc::new(AtomicBool::new(false)),
        );
        let (of, ends) = (link.clone(), stop.clone());
        let work = move || accept(&listener, to, &of, &ends);
        let thread = std::thread::Builder::new().name("relay".to_owned()).spawn(work)?;
        Ok(Relay {
            address,
            link,
            stop,
            thread: Some(thread),
        })
    }

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

fn accept(listener: &TcpListener, to: SocketAddr, link: &Arc<AtomicU8>, stop: &Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(LOOK);
            continue;
        };
        if LinkState::read(link) == LinkState::Cut {
            continue;
        }
        // Nobody there: the near end is closed, as a refused one would be a moment later.
        let Ok(far) = TcpStream::connect(to) else { continue };
        for (from, into, back) in [(&near, &far, false), (&far, &near, true)] {
            let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else {
                continue;
            };
            let (link, stop) = (link.clone(), stop.clone());
            std::thread::spawn(move || pass(from, into, back, &link, &stop));
        }
    }
}

fn pass(mut from: TcpStream, mut into: TcpStream, back: bool, link: &AtomicU8, stop: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    let set = from
        .set_nonblocking(false)
        .and_then(|()| from.set_read_timeout(Some(LOOK)));
    while set.is_ok() && !stop.load(Ordering::Relaxed) {
        match LinkState::read(link) {
            LinkState::Cut => break,
            LinkState::Stalled => std::thread::sleep(LOOK),
            LinkState::Deaf if back => std::thread::sleep(LOOK),
            LinkState::Well | LinkState::Deaf => match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) if into.write_all(&buffer[..length]).is_ok() => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Ok(_) | Err(_) => break,
            },
        }
    }
    // Both ends hear of it; one that is closed already needs no more.
    let _ = (from.shutdown(Shutdown::Both), into.shutdown(Shutdown::Both));
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_pass_as_the_link_lets_them() {
        let worker = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay::start(worker.local_addr().unwrap()).unwrap();
        let mut near = TcpStream::connect(relay.address).unwrap();
        let (mut far, _) = worker.accept().unwrap();
        for end in [&near, &far] {
            end.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        }
        let mut pass = |there: bool, text: &[u8]| {
            let (from, into) = if there {
                (&mut near, &mut far)
            } else {
                (&mut far, &mut near)
            };
            from.write_all(text).unwrap();
            let mut buffer = [0; 8];
            into.read(&mut buffer)
                .ok()
                .map(|length| buffer[..length].to_vec())
        };
        assert_eq!(
            (pass(true, b"a"), pass(false, b"b")),
            (Some(b"a".to_vec()), Some(b"b".to_vec()))
        );
        relay.set_state(LinkState::Deaf);
        // What is being read at that moment may still pass.
        std::thread::sleep(LOOK * 4);
        assert_eq!((pass(true, b"c"), pass(false, b"d")), (Some(b"c".to_vec()), None));
        relay.set_state(LinkState::Stalled);
        std::thread::sleep(LOOK * 4);
        assert_eq!((pass(true, b"e"), pass(false, b"f")), (None, None));
        relay.set_state(LinkState::Well);
        std::thread::sleep(LOOK * 8);
        assert_eq!(
            pass(true, b"g"),
            Some(b"e".to_vec()),
            "held back, and there first"
        );
        relay.set_state(LinkState::Cut);
        let mut rest = Vec::new();
        near.read_to_end(&mut rest).unwrap();
        assert_eq!(rest, b"df", "what was held back came before the end");
        assert_eq!(
            TcpStream::connect(relay.address)
                .unwrap()
                .read(&mut [0; 1])
                .unwrap(),
            0
        );
    }
}
