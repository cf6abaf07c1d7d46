//! Checks of `[fleet]`.
use super::collector::ErrorCollector;
use super::key_file::read_key;
use crate::settings::Fleet;
use crate::settings::raw::{self, File};
use quartzdrift_discovery::list;
use quartzdrift_membership::{MAX_NAME_LENGTH, Settings as MembershipSettings};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::Spanned;

/// Maximum keys at a time: the new one and the old one while keys are rotated.
const MAX_KEYS: usize = 2;
const MIN_PROTOCOL_PERIOD: Duration = Duration::from_millis(10);
/// Probe timeout as a share of the protocol period, where the file has none.
const DEFAULT_PROBE_TIMEOUT_SHARE: f64 = 0.3;
/// Bytes of a datagram that the membership protocol can use.
const DATAGRAM_BYTES: RangeInclusive<usize> = 512..=2048;

/// Checks and converts the table; `None` where it is absent or lacks a usable address.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) -> Option<Fleet> {
    let section = raw.fleet.as_ref()?;
    let defaults = MembershipSettings::default();
    check_names(section, errors);
    let listen = parse_address(&section.listen, errors);
    let advertise = match &section.advertise {
        Some(entry) => parse_address(entry, errors),
        None => listen,
    };
    let seeds = seeds(section, errors);
    check_advertised(section, advertise, errors);
    let keys = keys(section, errors);
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
    Some(Fleet {
        members,
        listen: listen?,
        silent: section.silent.0,
    })
}

fn check_names(section: &raw::Fleet, errors: &mut ErrorCollector) {
    if section.name.is_empty() || section.name.len() > MAX_NAME_LENGTH {
        errors.add_at_key(
            "fleet",
            "name",
            "the scheduler has no usable name",
            format!("write a name of 1 to {MAX_NAME_LENGTH} bytes that no other scheduler has"),
        );
    }
    if section.cluster.is_empty() {
        errors.add_at_key(
            "fleet",
            "cluster",
            "the cluster has no name",
            "write cluster = \"production\" or so",
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
                "write it like \"127.0.0.1:9790\"",
            );
            None
        }
    }
}

fn seeds(section: &raw::Fleet, errors: &mut ErrorCollector) -> Vec<SocketAddr> {
    let entries = section.seeds.iter();
    entries.filter_map(|entry| parse_address(entry, errors)).collect()
}

fn check_advertised(section: &raw::Fleet, advertise: Option<SocketAddr>, errors: &mut ErrorCollector) {
    if advertise.is_some_and(|address| address.ip().is_unspecified()) {
        errors.add(
            section.listen.span(),
            "others cannot reach a member at an unspecified address",
            "add advertise = with the address that others reach it by",
        );
    }
}

fn keys(section: &raw::Fleet, errors: &mut ErrorCollector) -> Vec<Vec<u8>> {
    if section.keys.is_empty() || section.keys.len() > MAX_KEYS {
        errors.add_at_key(
            "fleet",
            "keys",
            format!("{} keys are told", section.keys.len()),
            "name the file of one key, or of two while keys are changed: the new one and the old one",
        );
    }
    let mut keys = Vec::new();
    for entry in &section.keys {
        match read_key(entry.get_ref()) {
            Ok(key) => keys.push(key),
            Err(error) => errors.add(
                entry.span(),
                error.to_string(),
                "write 64 random hexadecimal digits into it, like `openssl rand -hex 32` does",
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
            "period and probe_timeout do not fit together",
            "write a period of 10ms or more, and a probe_timeout of half of it at most",
        );
    }
}

fn check_sizes(max_datagram_size: usize, max_members: usize, errors: &mut ErrorCollector) {
    if !DATAGRAM_BYTES.contains(&max_datagram_size) {
        errors.add_at_key(
            "fleet",
            "datagram_bytes",
            "datagrams are too short or too long",
            "write 512 to 2048",
        );
    }
    if max_members == 0 {
        errors.add_at_key(
            "fleet",
            "members",
            "there is no room for any member",
            "write a number over 0",
        );
    }
}
