//! A UDP switch between the members of a cluster on loopback, with faults on the links.
//!
//! Each member listens on an address of its own and is reached by the others at an address of the switch. The
//! switch forwards each datagram from the sender's address at the switch, so that both ends see the same
//! address of a member. Each direction between two members is a link that can be cut, and on which datagrams
//! are lost, duplicated, delayed and reordered.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Read timeout of each socket: the most that the poll of one member delays the datagrams of the others.
const READ_TIMEOUT: Duration = Duration::from_micros(200);
/// Capacity of the queue of delayed datagrams; datagrams beyond it are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 10_000;
/// Size of the largest datagram that is forwarded whole, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Number of ports below the ephemeral range that [`non_ephemeral_address`] chooses from.
const PORT_COUNT: u16 = 8_000;
/// Lowest port of the ephemeral range if the system does not report it.
const DEFAULT_EPHEMERAL_START: u16 = 32_768;
/// Ports tried by [`non_ephemeral_address`] in this process so far.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// Returns a free loopback address whose port lies below the ephemeral range of the system. No other process
/// is assigned that port while the owner of the address is down, so the owner can bind it again after a
/// restart.
pub fn non_ephemeral_address() -> io::Result<SocketAddr> {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let ephemeral_start: u16 = range
        .split_whitespace()
        .next()
        .and_then(|port| port.parse().ok())
        .unwrap_or(DEFAULT_EPHEMERAL_START);
    // Processes with neighbouring process ids start their search far from each other.
    let first = (std::process::id().wrapping_mul(1_237) % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let offset = (first + TRIED_PORTS.fetch_add(1, Ordering::Relaxed) % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], ephemeral_start.saturating_sub(1 + offset)));
        if UdpSocket::bind(address).is_ok() && std::net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        format!("no free port among the {PORT_COUNT} ports below the ephemeral port {ephemeral_start}"),
    ))
}

/// Faults that the switch applies to the datagrams between members.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// Directions, from member to member by index, in which no datagram is forwarded.
    pub cut: Vec<(usize, usize)>,
    /// Share of datagrams that are lost.
    pub loss_rate: f64,
    /// Share of datagrams that are sent twice.
    pub duplication_rate: f64,
    /// Maximum delay; each datagram is delayed by a random part of it, so that datagrams are reordered.
    pub max_delay: Duration,
}

/// A running switch; it stops when dropped.
pub struct Switch {
    /// Addresses at the switch where the other members reach each member.
    pub advertise_addresses: Vec<SocketAddr>,
    /// Addresses that the members listen on.
    pub listen_addresses: Vec<SocketAddr>,
    faults: Arc<Mutex<LinkFaults>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Switch {
    /// Starts a switch without faults; the seed determines which datagrams later faults affect.
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
            socket.set_read_timeout(Some(READ_TIMEOUT))?;
        }
        let faults = Arc::new(Mutex::new(LinkFaults::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let (thread_faults, thread_stop) = (faults.clone(), stop.clone());
        let thread_addresses = listen_addresses.clone();
        let forward = move || {
            forward_datagrams(
                &sockets,
                &thread_addresses,
                &thread_faults,
                &thread_stop,
                StdRng::seed_from_u64(seed),
            );
        };
        let thread = std::thread::Builder::new()
            .name("switch".to_owned())
            .spawn(forward)?;
        Ok(Switch {
            advertise_addresses,
            listen_addresses,
            faults,
            stop,
            thread: Some(thread),
        })
    }

    pub fn update_faults(&self, update: impl FnOnce(&mut LinkFaults)) {
        update(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Cuts the members from `first` to `last` off from the others; with `one_way`, only datagrams from the
    /// members that are cut off are dropped.
    pub fn partition(&self, first: usize, last: usize, one_way: bool) {
        let is_cut_off = |member: &usize| (first..=last).contains(member);
        let members = 0..self.listen_addresses.len();
        let directions = members
            .clone()
            .flat_map(|from| members.clone().map(move |to| (from, to)));
        let cut = directions.filter(|(from, to)| {
            is_cut_off(from) && !is_cut_off(to) || !one_way && !is_cut_off(from) && is_cut_off(to)
        });
        self.update_faults(|faults| faults.cut = cut.collect());
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

/// A datagram in the queue of the switch.
struct QueuedDatagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Forwards datagrams until `stop` is set. Socket `n` receives the datagrams to member `n`.
fn forward_datagrams(
    sockets: &[UdpSocket],
    listen_addresses: &[SocketAddr],
    faults: &Mutex<LinkFaults>,
    stop: &AtomicBool,
    mut rng: StdRng,
) {
    let members: HashMap<SocketAddr, usize> = listen_addresses
        .iter()
        .enumerate()
        .map(|(n, address)| (*address, n))
        .collect();
    // Queued datagrams by the time they are due and their number.
    let mut queue: BTreeMap<(Instant, u64), QueuedDatagram> = BTreeMap::new();
    let (mut buffer, mut last_number) = ([0; MAX_DATAGRAM_BYTES], 0);
    while !stop.load(Ordering::Relaxed) {
        for (to, socket) in sockets.iter().enumerate() {
            // A timeout and an ICMP error caused by an earlier datagram both mean that there is nothing to
            // forward.
            let Ok((length, source)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(&from) = members.get(&source) else {
                continue;
            };
            let current = faults.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if current.cut.contains(&(from, to)) || rng.random_range(0.0..1.0) < current.loss_rate {
                continue;
            }
            let copies = 1 + usize::from(rng.random_range(0.0..1.0) < current.duplication_rate);
            for _ in 0..copies {
                let delay = current.max_delay.mul_f64(rng.random_range(0.0..1.0));
                last_number += 1;
                if queue.len() < MAX_QUEUED_DATAGRAMS {
                    let datagram = QueuedDatagram {
                        from,
                        to,
                        bytes: buffer[..length].to_vec(),
                    };
                    queue.insert((Instant::now() + delay, last_number), datagram);
                }
            }
        }
        while let Some(entry) = queue
            .first_entry()
            .filter(|entry| entry.key().0 <= Instant::now())
        {
            let datagram = entry.remove();
            // A datagram to a member that is down is lost, as on any network.
            let _ = sockets[datagram.from].send_to(&datagram.bytes, listen_addresses[datagram.to]);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn datagrams_are_cut_and_duplicated_by_link_faults() {
        let switch = Switch::start(2, 1).unwrap();
        let members: Vec<UdpSocket> = switch
            .listen_addresses
            .iter()
            .map(|at| UdpSocket::bind(at).unwrap())
            .collect();
        members
            .iter()
            .for_each(|member| member.set_read_timeout(Some(Duration::from_millis(300))).unwrap());
        let send_and_receive = |from: usize, to: usize| {
            members[from]
                .send_to(b"x", switch.advertise_addresses[to])
                .unwrap();
            members[to].recv_from(&mut [0; 8]).ok().map(|(_, source)| source)
        };
        assert_eq!(send_and_receive(0, 1), Some(switch.advertise_addresses[0]));
        switch.partition(0, 0, true);
        assert_eq!(
            (send_and_receive(0, 1), send_and_receive(1, 0)),
            (None, Some(switch.advertise_addresses[1]))
        );
        switch.update_faults(|faults| {
            *faults = LinkFaults {
                duplication_rate: 1.0,
                ..LinkFaults::default()
            }
        });
        assert!(send_and_receive(1, 0).is_some() && members[0].recv_from(&mut [0; 8]).is_ok());
    }
}
