//! Checks of `[limits]`, and its conversion to the limits of the HTTP package.
use super::collector::ErrorCollector;
use crate::settings::raw::{File, HumanDuration};
use quartzdrift_http::Limits;
use std::time::Duration;

/// Checks that no limit is zero, except that of the payload.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    let limits = &raw.limits;
    let counts = [
        ("head_bytes", limits.head_bytes),
        ("answer_bytes", limits.answer_bytes),
        ("connections", limits.connections),
        ("connections_each_worker", limits.connections_each_worker),
    ];
    for (key, count) in counts {
        if count == Some(0) {
            let problem = format!("{key} is 0, the minimum is 1");
            errors.add_at_key("limits", key, problem, "write a number of at least 1");
        }
    }
    let timeouts = [
        ("receive", limits.receive),
        ("idle", limits.idle),
        ("send", limits.send),
    ];
    for (key, timeout) in timeouts {
        if timeout.is_some_and(|timeout| timeout.0.is_zero()) {
            let problem = format!("{key} is zero");
            errors.add_at_key(
                "limits",
                key,
                problem,
                "write a duration above zero, like \"20s\"",
            );
        }
    }
}

/// Converts the table; absent keys take the defaults of the HTTP package.
pub(super) fn http_limits(raw: &File) -> Limits {
    let section = &raw.limits;
    let defaults = Limits::default();
    Limits {
        head_bytes: section.head_bytes.unwrap_or(defaults.head_bytes),
        request_body_bytes: section.payload_bytes.unwrap_or(defaults.request_body_bytes),
        response_body_bytes: section.answer_bytes.unwrap_or(defaults.response_body_bytes),
        connections: section.connections.unwrap_or(defaults.connections),
        connections_per_server: section
            .connections_each_worker
            .unwrap_or(defaults.connections_per_server),
        receive_timeout: duration_or(section.receive, defaults.receive_timeout),
        idle_timeout: duration_or(section.idle, defaults.idle_timeout),
        send_timeout: duration_or(section.send, defaults.send_timeout),
        keep_alive_timeout: raw.allowed.keepalive.0,
    }
}

fn duration_or(value: Option<HumanDuration>, default: Duration) -> Duration {
    value.map_or(default, |duration| duration.0)
}
