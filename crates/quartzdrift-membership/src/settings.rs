//! Configuration of one member. [`Settings::default`] provides the protocol's timing and bounds; callers set
//! at least the name, address, cluster, seeds and keys.
use std::net::SocketAddr;
use std::time::Duration;

/// Identity of a member, its authentication keys, and the timing and bounds of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, unique within the cluster; 1 to [`MAX_NAME_LENGTH`](crate::MAX_NAME_LENGTH) bytes.
    pub name: String,
    /// Address at which other members reach this one.
    pub address: SocketAddr,
    /// Name of the cluster. Datagrams of other clusters are rejected.
    pub cluster: String,
    /// Addresses of the members that are contacted to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Authentication keys. The first one signs, all of them are accepted. To rotate a key, add the new one
    /// as second key on all members, then move it to the front, then remove the old one.
    pub keys: Vec<Vec<u8>>,
    /// SWIM's protocol period: the time between probes.
    pub protocol_period: Duration,
    /// How long to wait for the answer to a direct probe before other members are asked to relay one; shorter
    /// than the protocol period.
    pub probe_timeout: Duration,
    /// Maximum size of a datagram in bytes, including its authentication tag.
    pub max_datagram_size: usize,
    /// Maximum number of other members in the table, including those that are dead or have left.
    pub max_members: usize,
    /// How long a member stays in the table after it died or left.
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
