//! Configuration of one member. Use [`Settings::default`] for the protocol's timing and bounds, and set at least the name,
//! address, cluster, seeds and keys.
use std::net::SocketAddr;
use std::time::Duration;

/// How a member takes part in its fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique within the cluster; 1 to [`MAX_NAME_LENGTH`](crate::MAX_NAME_LENGTH) bytes.
    pub name: String,
    /// Where other members reach this one.
    pub address: SocketAddr,
    /// Datagrams of other clusters are rejected.
    pub cluster: String,
    /// Addresses that are contacted to join.
    pub seeds: Vec<SocketAddr>,
    /// Authentication keys. The first one signs, all are accepted: rotate a key by adding the new one everywhere as second,
    /// then moving it to the front, then removing the old one.
    pub keys: Vec<Vec<u8>>,
    /// SWIM's protocol period: the time between probes.
    pub protocol_period: Duration,
    /// How long a probe may take before others are asked to relay one; shorter than a period.
    pub probe_timeout: Duration,
    /// Size of a datagram in bytes at most.
    pub max_datagram_size: usize,
    /// Members in the table at most, including dead ones.
    pub max_members: usize,
    /// How long a dead member stays in the table; afterwards its name is free for another member.
    pub dead_retention: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: String::new(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            cluster: String::new(),
            seeds: Vec::new(),
            keys: Vec::new(),
            protocol_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            max_datagram_size: 1200,
            max_members: 4096,
            dead_retention: Duration::from_secs(24 * 3600),
        }
    }
}
