//! Checks of `[gateway]`, `[record]` and `[log]`.
use super::collector::ErrorCollector;
use crate::settings::raw::File;
use quartzdrift_discovery::list;
use std::net::SocketAddr;

/// Checks and parses the addresses to listen on; invalid ones are left out.
pub(super) fn listen_addresses(raw: &File, errors: &mut ErrorCollector) -> Vec<SocketAddr> {
    if raw.gateway.listen.is_empty() {
        errors.add_at_key(
            "gateway",
            "listen",
            "listen is empty",
            "write listen = [\"127.0.0.1:9700\"]",
        );
    }
    let mut addresses = Vec::new();
    for entry in &raw.gateway.listen {
        match list::parse_address(entry.get_ref()) {
            Ok(address) => addresses.push(address),
            Err(error) => errors.add(
                entry.span(),
                error.to_string(),
                "write an IP address and a port, like \"127.0.0.1:9700\"",
            ),
        }
    }
    addresses
}

/// Checks that the trace has a file name and a size limit above zero.
pub(super) fn check_record(raw: &File, errors: &mut ErrorCollector) {
    let Some(record) = &raw.record else {
        return;
    };
    if record.file.is_empty() || record.bytes == 0 {
        errors.add_at_table(
            "record",
            "file is empty or bytes is 0",
            "write file = \"trace.jsonl.gz\", and a positive size limit in bytes or none",
        );
    }
}

/// Checks that tracing-subscriber can parse the log filter.
pub(super) fn check_log(raw: &File, errors: &mut ErrorCollector) {
    if let Err(error) = tracing_subscriber::EnvFilter::try_new(&raw.log.filter) {
        errors.add_at_key(
            "log",
            "filter",
            format!("the log filter '{}' is invalid: {error}", raw.log.filter),
            "write a level like \"info\", or \"info,quartzdrift=debug\"",
        );
    }
}
