//! A switch between members of a fleet on loopback: each is reached at an address of the switch's, and each direction between
//! two of them is a link that can be cut, lose, double, delay and mix up datagrams.
//!
//! A member's datagrams leave from its own socket to another's address here; they go on from the sender's address here, so that
//! both ends see one address for each other.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long one look at a socket waits: what comes is never later than that for each member.
const LOOK: Duration = Duration::from_micros(200);
/// Datagrams on their way at most; more are lost, as at any switch.
const MAX_WAITING: usize = 10_000;

/// Addresses handed out by [`non_ephemeral_address`] so far.
static HANDED: AtomicU16 = AtomicU16::new(0);
/// Ports that it looks at.
const PORTS: u16 = 8_000;

/// An address that nobody takes while its process is down, so that it comes back there: below the ports that the system
/// gives to whoever asks for any.
pub fn non_ephemeral_address() -> io::Result<SocketAddr> {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let lowest: u16 = range
        .split_whitespace()
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(32_768);
    // Processes that start one after the other look far from each other.
    let first = (std::process::id().wrapping_mul(1_237) % u32::from(PORTS)) as u16;
    for _ in 0..PORTS {
        let place = (first + HANDED.fetch_add(1, Ordering::Relaxed) % PORTS) % PORTS;
        let at = SocketAddr::from(([127, 0, 0, 1], lowest.saturating_sub(1 + place)));
        if UdpSocket::bind(at).is_ok() && std::net::TcpListener::bind(at).is_ok() {
            return Ok(at);
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        "no port is free for a process that comes back",
    ))
}

/// What is wrong with the links.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// No datagram passes in these directions, by the members' places.
    pub cut: Vec<(usize, usize)>,
    /// Shares of datagrams.
    pub loss_rate: f64,
    pub duplication_rate: f64,
    /// Each is held back by a chance part of this, so that they overtake each other.
    pub max_delay: Duration,
}

pub struct Switch {
    /// Where each member is reached by others, and where it listens.
    pub advertise_addresses: Vec<SocketAddr>,
    pub listen_addresses: Vec<SocketAddr>,
    links: Arc<Mutex<LinkFaults>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Switch {
    pub fn start(members: usize, seed: u64) -> io::Result<Switch> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let sockets: Vec<UdpSocket> = (0..members)
            .map(|_| UdpSocket::bind(any))
            .collect::<io::Result<_>>()?;
        let advertise_addresses = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let listen_addresses = (0..members)
            .map(|_| non_ephemeral_address())
            .collect::<io::Result<Vec<_>>>()?;
        for socket in &sockets {
            socket.set_read_timeout(Some(LOOK))?;
        }
        let (links, stop) = (
            Arc::new(Mutex::new(LinkFaults::default())),
            Arc::new(AtomicBool::new(false)),
        );
        let (of, ends, to) = (links.clone(), stop.clone(), listen_addresses.clone());
        let work = move || pass(&sockets, &to, &of, &ends, StdRng::seed_from_u64(seed));
        let thread = std::thread::Builder::new()
            .name("switch".to_owned())
            .spawn(work)?;
        Ok(Switch {
            advertise_addresses,
            listen_addresses,
            links,
            stop,
            thread: Some(thread),
        })
    }

    pub fn update_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Cuts those from `first` to `last` off from the others; one way: only they are not heard.
    pub fn partition(&self, first: usize, last: usize, one_way: bool) {
        let there = |n: &usize| (first..=last).contains(n);
        let all = 0..self.listen_addresses.len();
        let pairs = all.clone().flat_map(|from| all.clone().map(move |to| (from, to)));
        let cut =
            pairs.filter(|(from, to)| there(from) && !there(to) || !one_way && !there(from) && there(to));
        self.update_faults(|links| links.cut = cut.collect());
    }
}

impl Drop for Switch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn pass(
    sockets: &[UdpSocket],
    listen_addresses: &[SocketAddr],
    links: &Mutex<LinkFaults>,
    stop: &AtomicBool,
    mut chance: StdRng,
) {
    let places: HashMap<SocketAddr, usize> = listen_addresses
        .iter()
        .enumerate()
        .map(|(n, at)| (*at, n))
        .collect();
    let mut waiting: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)> = BTreeMap::new();
    let (mut buffer, mut drawn) = ([0; 2048], 0);
    while !stop.load(Ordering::Relaxed) {
        for (to, socket) in sockets.iter().enumerate() {
            // What does not come, and what an earlier datagram came to, is the same here.
            let Ok((length, from)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(&from) = places.get(&from) else { continue };
            let now = links.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if now.cut.contains(&(from, to)) || chance.random_range(0.0..1.0) < now.loss_rate {
                continue;
            }
            let times = 1 + usize::from(chance.random_range(0.0..1.0) < now.duplication_rate);
            for _ in 0..times {
                let late = now.max_delay.mul_f64(chance.random_range(0.0..1.0));
                drawn += 1;
                if waiting.len() < MAX_WAITING {
                    waiting.insert(
                        (Instant::now() + late, drawn),
                        (from, to, buffer[..length].to_vec()),
                    );
                }
            }
        }
        while let Some(entry) = waiting
            .first_entry()
            .filter(|entry| entry.key().0 <= Instant::now())
        {
            let (from, to, bytes) = entry.remove();
            // Nobody there: lost, as on any network.
            let _ = sockets[from].send_to(&bytes, listen_addresses[to]);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn datagrams_pass_as_the_links_let_them() {
        let switch = Switch::start(2, 1).unwrap();
        let ends: Vec<UdpSocket> = switch
            .listen_addresses
            .iter()
            .map(|at| UdpSocket::bind(at).unwrap())
            .collect();
        ends.iter()
            .for_each(|end| end.set_read_timeout(Some(Duration::from_millis(300))).unwrap());
        let pass = |from: usize, to: usize| {
            ends[from].send_to(b"x", switch.advertise_addresses[to]).unwrap();
            ends[to].recv_from(&mut [0; 8]).ok().map(|(_, seen)| seen)
        };
        assert_eq!(pass(0, 1), Some(switch.advertise_addresses[0]));
        switch.partition(0, 0, true);
        assert_eq!(
            (pass(0, 1), pass(1, 0)),
            (None, Some(switch.advertise_addresses[1]))
        );
        switch.update_faults(|links| {
            *links = LinkFaults {
                duplication_rate: 1.0,
                ..LinkFaults::default()
            }
        });
        assert!(pass(1, 0).is_some() && ends[0].recv_from(&mut [0; 8]).is_ok());
    }
}
