//! Lines of the wire as events of the scheduler.
use crate::error::UnreadableField;
use crate::hex;
use crate::line::{Line, Remark};
use quartzdrift_scheduler::interface::{Endpoint, EndpointListKind, Event, Outcome, Request};
use std::time::Duration;

/// Names of the lines that are events.
const EVENTS: [&str; 9] = [
    "targets", "req", "fired", "sampled", "answer", "started", "heard", "expired", "stands",
];

/// Whether a line of this name is an event of an instance.
pub(crate) fn is_event(name: &str) -> bool {
    EVENTS.contains(&name)
}

/// The event that a line stands for, `None` for other lines. `entries` are the workers that follow an endpoint list.
pub(crate) fn decode<'a>(
    line: &Line<'a>,
    entries: Vec<Endpoint<'a>>,
) -> Result<Option<Event<'a>>, UnreadableField> {
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
            report: line.report(),
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
                .ok_or(UnreadableField("body"))?,
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
            // Left out, it could hide that a worker drains.
            eprintln!("a list of form {other:?} is taken for changes");
            EndpointListKind::Changes
        }
    }
}

fn request<'a>(line: &Line<'a>) -> Result<Request<'a>, UnreadableField> {
    let request_class = line.text("tier-class");
    let load_milliseconds = line.number("start-ms");
    Ok(Request {
        id: line.required_integer("tid")?,
        // A class that cannot be read is an unknown one: another's rule on retries would be followed for it.
        request_class: request_class.map_or(0, |text| text.parse().unwrap_or(u32::MAX)),
        tenant: line.integer("user-group").unwrap_or(0),
        function: line.text("image").unwrap_or(""),
        time_left: line.duration("grace-ns").unwrap_or_default(),
        work_hint: line.duration("expected-ns"),
        memory_mb: line.number("size-mb"),
        concurrency_slots: line.number("lanes"),
        load_hint: load_milliseconds.and_then(|count| Duration::try_from_secs_f64(count / 1000.0).ok()),
        is_retry: line.flag("is-retry"),
        has_side_effects: line.flag("mutates"),
    })
}

fn attempt_ended<'a>(line: &Line<'a>) -> Result<Event<'a>, UnreadableField> {
    let Remark {
        cache_result,
        concurrency,
    } = line.remark();
    Ok(Event::AttemptEnded {
        request: line.required_integer("tid")?,
        attempt: attempt_number(line),
        worker: line.required_text("worker")?,
        outcome: line.outcome().unwrap_or_else(|error| {
            // Left out, its request would go unanswered; it may have been executed.
            let request = line.text("tid").unwrap_or("");
            eprintln!("job {request}: {error}; it is taken for an error");
            Outcome::Error
        }),
        duration: duration(line),
        concluded: line.flag("no-more"),
        cache_result,
        concurrency: Some(concurrency),
        report: line.report(),
    })
}

fn attempt_number(line: &Line) -> u32 {
    line.integer("seq-no").unwrap_or(0)
}

fn duration(line: &Line) -> Duration {
    line.duration("cost-time-ns").unwrap_or_default()
}
