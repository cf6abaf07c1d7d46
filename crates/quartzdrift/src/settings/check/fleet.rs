//! Checks of `[fleet]`, the membership of a fleet of schedulers.
use super::collector::ErrorCollector;
use super::key_file::read_key;
use crate::settings::FleetSettings;
use crate::settings::raw::{self, File};
use quartzdrift_discovery::list;
use quartzdrift_membership::{MAX_NAME_LENGTH, Settings as MembershipSettings};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::Spanned;

/// Maximum number of keys: during a key rotation both the new and the old key are valid.
const MAX_KEYS: usize = 2;
const MIN_PROTOCOL_PERIOD: Duration = Duration::from_millis(10);
/// Default of the probe timeout, as a share of the protocol period.
const DEFAULT_PROBE_TIMEOUT_SHARE: f64 = 0.3;
/// Range of the maximum datagram size that the membership protocol supports, in bytes.
const MAX_DATAGRAM_SIZES: RangeInclusive<usize> = 512..=2048;

/// Checks and converts the table; `None` if it is absent or one of its addresses is invalid.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) -> Option<FleetSettings> {
    let section = raw.fleet.as_ref()?;
    let defaults = MembershipSettings::default();
    check_names(section, errors);
    let listen = parse_address(&section.listen, errors);
    let advertise = match &section.advertise {
        Some(entry) => parse_address(entry, errors),
        None => listen,
    };
    let seeds = parse_seeds(section, errors);
    check_advertised(section, advertise, errors);
    let keys = read_keys(section, errors);
    let protocol_period = section.period.map_or(defaults.protocol_period, |period| period.0);
    let probe_timeout = section
        .probe_timeout
        .map_or(protocol_period.mul_f64(DEFAULT_PROBE_TIMEOUT_SHARE), |timeout| {
            timeout.0
        });
    check_times(protocol_period, probe_timeout, errors);
    let max_datagram_size = section.datagram_bytes.unwrap_or(defaults.max_datagram_size);
    let max_members = section.members.unwrap_or(defaults.max_members);
    check_sizes(max_datagram_size, max_members, errors);
    let members = MembershipSettings {
        name: section.name.clone(),
        address: advertise?,
        cluster: section.cluster.clone(),
        seeds,
        keys,
        protocol_period,
        probe_timeout,
        max_datagram_size,
        max_members,
        ..defaults
    };
    Some(FleetSettings {
        members,
        listen: listen?,
        max_silence: section.silent.0,
    })
}

fn check_names(section: &raw::Fleet, errors: &mut ErrorCollector) {
    if section.name.is_empty() || section.name.len() > MAX_NAME_LENGTH {
        errors.add_at_key(
            "fleet",
            "name",
            format!(
                "name has {} bytes, the limit is 1 to {MAX_NAME_LENGTH}",
                section.name.len()
            ),
            format!("write a name of 1 to {MAX_NAME_LENGTH} bytes that no other scheduler of the fleet has"),
        );
    }
    if section.cluster.is_empty() {
        errors.add_at_key(
            "fleet",
            "cluster",
            "cluster is empty",
            "write the name of the cluster, for example cluster = \"production\"",
        );
    }
}

fn parse_address(entry: &Spanned<String>, errors: &mut ErrorCollector) -> Option<SocketAddr> {
    match list::parse_address(entry.get_ref()) {
        Ok(address) => Some(address),
        Err(error) => {
            errors.add(
                entry.span(),
                error.to_string(),
                "write an IP address and a port, like \"127.0.0.1:9790\"",
            );
            None
        }
    }
}

fn parse_seeds(section: &raw::Fleet, errors: &mut ErrorCollector) -> Vec<SocketAddr> {
    let entries = section.seeds.iter();
    entries.filter_map(|entry| parse_address(entry, errors)).collect()
}

fn check_advertised(section: &raw::Fleet, advertise: Option<SocketAddr>, errors: &mut ErrorCollector) {
    if let Some(address) = advertise
        && address.ip().is_unspecified()
    {
        errors.add(
            section.listen.span(),
            format!("the advertised address {address} is unspecified, other members cannot reach it"),
            "set advertise to the address at which other members reach this scheduler",
        );
    }
}

fn read_keys(section: &raw::Fleet, errors: &mut ErrorCollector) -> Vec<Vec<u8>> {
    if section.keys.is_empty() || section.keys.len() > MAX_KEYS {
        errors.add_at_key(
            "fleet",
            "keys",
            format!(
                "keys has {} files, the limit is 1 to {MAX_KEYS}",
                section.keys.len()
            ),
            "name one key file, or two during a key rotation: first the new key, then the old one",
        );
    }
    let mut keys = Vec::new();
    for entry in &section.keys {
        match read_key(entry.get_ref()) {
            Ok(key) => keys.push(key),
            Err(error) => errors.add(
                entry.span(),
                error.to_string(),
                "write 64 random hexadecimal digits to the key file, for example with `openssl rand -hex 32`",
            ),
        }
    }
    keys
}

fn check_times(protocol_period: Duration, probe_timeout: Duration, errors: &mut ErrorCollector) {
    if protocol_period < MIN_PROTOCOL_PERIOD || probe_timeout.is_zero() || probe_timeout * 2 > protocol_period
    {
        errors.add_at_key(
            "fleet",
            "period",
            format!(
                "period ({protocol_period:?}) is under {MIN_PROTOCOL_PERIOD:?}, or probe_timeout \
                 ({probe_timeout:?}) is zero or over half of period"
            ),
            "write a period of at least 10ms, and a probe_timeout of at most half of the period",
        );
    }
}

fn check_sizes(max_datagram_size: usize, max_members: usize, errors: &mut ErrorCollector) {
    if !MAX_DATAGRAM_SIZES.contains(&max_datagram_size) {
        errors.add_at_key(
            "fleet",
            "datagram_bytes",
            format!(
                "datagram_bytes is {max_datagram_size}, the limit is {} to {}",
                MAX_DATAGRAM_SIZES.start(),
                MAX_DATAGRAM_SIZES.end()
            ),
            "write a number of bytes from 512 to 2048",
        );
    }
    if max_members == 0 {
        errors.add_at_key(
            "fleet",
            "members",
            "members is 0, the minimum is 1",
            "write the maximum number of members to track",
        );
    }
}
