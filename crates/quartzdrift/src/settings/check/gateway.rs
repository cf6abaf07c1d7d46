//! Checks of `[gateway]`, `[record]` and `[log]`.
use super::collector::ErrorCollector;
use crate::settings::raw::File;
use quartzdrift_discovery::list;
use std::net::SocketAddr;

/// The addresses to listen at.
pub(super) fn listen_addresses(raw: &File, errors: &mut ErrorCollector) -> Vec<SocketAddr> {
    if raw.gateway.listen.is_empty() {
        errors.add_at_key(
            "gateway",
            "listen",
            "there is no address to listen at",
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
                "write it like \"127.0.0.1:9700\"",
            ),
        }
    }
    addresses
}

/// A trace needs a file, and a limit that lets anything be written.
pub(super) fn check_record(raw: &File, errors: &mut ErrorCollector) {
    let Some(record) = &raw.record else {
        return;
    };
    if record.file.is_empty() || record.bytes == 0 {
        errors.add_at_table(
            "record",
            "a trace needs a file and room",
            "write file = \"trace.jsonl.gz\"",
        );
    }
}

/// The log filter must be one that tracing-subscriber reads.
pub(super) fn check_log(raw: &File, errors: &mut ErrorCollector) {
    if let Err(error) = tracing_subscriber::EnvFilter::try_new(&raw.log.filter) {
        errors.add_at_key(
            "log",
            "filter",
            format!("the log filter cannot be read: {error}"),
            "write a level like \"info\", or \"info,quartzdrift=debug\"",
        );
    }
}
