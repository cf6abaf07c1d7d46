//! Decodes lines of the simulator's protocol into events of the scheduler.
use crate::error::InvalidField;
use crate::hex;
use crate::line::{CacheReport, Line};
use quartzdrift_scheduler::interface::{Endpoint, EndpointListKind, Event, Outcome, Request};
use std::time::Duration;

/// Names of the lines that are decoded into events.
const EVENT_LINES: [&str; 9] = [
    "targets", "req", "fired", "sampled", "answer", "started", "heard", "expired", "stands",
];

/// Whether lines with this name are decoded into events.
pub(crate) fn is_event(name: &str) -> bool {
    EVENT_LINES.contains(&name)
}

/// Returns the event of a line; `None`: the line is not an event. `entries` are the workers of an endpoint
/// list, which the simulator sends as separate lines after it.
pub(crate) fn decode<'a>(
    line: &Line<'a>,
    entries: Vec<Endpoint<'a>>,
) -> Result<Option<Event<'a>>, InvalidField> {
    Ok(Some(match line.name {
        "targets" => Event::EndpointList {
            kind: endpoint_list_kind(line),
            entries,
        },
        "req" => Event::Request(request(line)?),
        "fired" => Event::Timer {
            name: line.required_text("mark")?,
        },
        "sampled" => Event::HealthChecked {
            worker: line.required_text("worker")?,
            outcome: line.outcome()?,
            duration: duration(line),
            report: line.load_report(),
        },
        "answer" => attempt_ended(line)?,
        "started" => Event::StreamingStarted {
            request: line.required_integer("tid")?,
            attempt: attempt_number(line),
            worker: line.required_text("worker")?,
            duration: duration(line),
        },
        "heard" => Event::PeerMessage {
            from: line.integer("sender").unwrap_or(0),
            bytes: line
                .text("body")
                .and_then(hex::decode)
                .ok_or(InvalidField("body"))?,
        },
        "expired" => Event::RequestCancelled {
            request: line.required_integer("tid")?,
        },
        "stands" => Event::LoadEnded {
            worker: line.required_text("worker")?,
            function: line.required_text("image")?,
            outcome: line.outcome()?,
            duration: duration(line),
            copies: line.integer("n-inst").unwrap_or(0),
        },
        _ => return Ok(None),
    }))
}

fn endpoint_list_kind(line: &Line) -> EndpointListKind {
    match line.text("form") {
        Some("INCREMENTAL") => EndpointListKind::Changes,
        Some("FULL") => EndpointListKind::Full,
        Some("SAVED") => EndpointListKind::Snapshot,
        Some("FAILED") => EndpointListKind::Failed,
        other => {
            // The list must not be ignored, because it may report that a worker is draining.
            eprintln!("endpoint list has the unknown form {other:?}, processed as INCREMENTAL");
            EndpointListKind::Changes
        }
    }
}

fn request<'a>(line: &Line<'a>) -> Result<Request<'a>, InvalidField> {
    let request_class = line.text("tier-class");
    let load_milliseconds = line.number("start-ms");
    Ok(Request {
        id: line.required_integer("tid")?,
        // An invalid class counts as unknown, because the retry rules of another class could be wrong for the
        // request.
        request_class: request_class.map_or(0, |text| text.parse().unwrap_or(u32::MAX)),
        tenant: line.integer("user-group").unwrap_or(0),
        function: line.text("image").unwrap_or(""),
        time_left: line.duration("grace-ns").unwrap_or_default(),
        work_hint: line.duration("expected-ns"),
        memory_mb: line.number("size-mb"),
        concurrency_slots: line.number("lanes"),
        load_hint: load_milliseconds
            .and_then(|milliseconds| Duration::try_from_secs_f64(milliseconds / 1000.0).ok()),
        is_retry: line.flag("is-retry"),
        has_side_effects: line.flag("mutates"),
    })
}

fn attempt_ended<'a>(line: &Line<'a>) -> Result<Event<'a>, InvalidField> {
    let CacheReport {
        cache_result,
        concurrency,
    } = line.cache_report();
    Ok(Event::AttemptEnded {
        request: line.required_integer("tid")?,
        attempt: attempt_number(line),
        worker: line.required_text("worker")?,
        outcome: line.outcome().unwrap_or_else(|error| {
            // The line must not be ignored, because the request would get no final response. The request may
            // have been executed.
            let request = line.text("tid").unwrap_or("");
            eprintln!(
                "attempt of request {request} ended with an unknown outcome: {error}; counted as an error"
            );
            Outcome::Error
        }),
        duration: duration(line),
        concluded: line.flag("no-more"),
        cache_result,
        concurrency: Some(concurrency),
        report: line.load_report(),
    })
}

fn attempt_number(line: &Line) -> u32 {
    line.integer("seq-no").unwrap_or(0)
}

fn duration(line: &Line) -> Duration {
    line.duration("cost-time-ns").unwrap_or_default()
}
