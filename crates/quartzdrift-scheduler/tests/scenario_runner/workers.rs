//! Lines about workers: endpoint lists, forecasts and load commands.
use super::words::{parse_duration, parse_number};
use super::{Result, Runner, Words};
use quartzdrift_scheduler::interface::{
    Endpoint, EndpointListKind, EndpointState, Event, Outcome, RequestId, UsageForecast,
};
use std::time::Duration;

/// Number of the first request that a `replace` line sends.
const FIRST_REPLACE_REQUEST: RequestId = 1_000_000;

impl Runner {
    pub(crate) fn send_endpoint_list(&mut self, words: &Words) -> Result {
        let kind = match words.get(1) {
            Some("full") => EndpointListKind::Full,
            Some("saved") => EndpointListKind::Snapshot,
            Some("changes") => EndpointListKind::Changes,
            Some("failed") => EndpointListKind::Failed,
            other => {
                return Err(format!(
                    "unknown kind of list {other:?}, expected full, saved, changes or failed"
                ));
            }
        };
        let entries: Vec<Endpoint> =
            words.from(2).iter().map(|word| parse_endpoint(word)).collect::<Result<_>>()?;
        let machine_kinds =
            entries.iter().map(|entry| (entry.worker.to_owned(), entry.machine_kind.to_string()));
        self.machine_kinds.extend(machine_kinds);
        self.handle_event(Event::EndpointList { kind, entries })
    }

    /// Replaces the workers one by one. Sends a request after each replacement, and ends it successfully.
    pub(crate) fn replace_workers(&mut self, words: &Words) -> Result {
        let count: usize = words.number(1)?;
        let up_count: usize = words.number(2)?;
        let interval = words.duration_value("every")?.unwrap_or(Duration::from_secs(1));
        for index in 0..count {
            self.now += interval;
            let started = format!("r{index}");
            let removed = format!("r{}", index.wrapping_sub(up_count));
            let entry = |worker, state| Endpoint { worker, state, ..Endpoint::default() };
            let entries = vec![entry(&*started, EndpointState::Up), entry(&*removed, EndpointState::Gone)];
            self.handle_event(Event::EndpointList { kind: EndpointListKind::Changes, entries })?;
            let request = FIRST_REPLACE_REQUEST + index as RequestId;
            self.send_request(request, "f", &Words::of_line(""))?;
            self.end_attempt(request, &["finished"])?;
        }
        Ok(())
    }

    pub(crate) fn send_forecast(&mut self, words: &Words) -> Result {
        self.handle_event(Event::UsageForecast(UsageForecast {
            function: words.get(1).unwrap_or("f"),
            horizon: words.duration_value("within")?.unwrap_or(Duration::from_secs(8)),
            probability: words.number_value("sure")?.unwrap_or(1.0),
            memory_mb: words.number_value("mb")?,
            ..UsageForecast::default()
        }))
    }

    pub(crate) fn end_load_command(&mut self, words: &Words) -> Result {
        let worker = self.last_load_worker.clone();
        let function = words.get(1).unwrap_or("f");
        let (outcome, copies) = match words.get(2) {
            Some("error") => (Outcome::Error, 0),
            Some("full") => (Outcome::AtCapacity, 0),
            _ => (Outcome::Succeeded, 1),
        };
        let duration = Duration::from_millis(500);
        self.handle_event(Event::LoadEnded { worker: &worker, function, outcome, duration, copies })
    }
}

/// Parses a worker's entry such as `d:draining^2s@1*2=80`.
fn parse_endpoint(text: &str) -> Result<Endpoint<'_>> {
    let markers = [':', '^', '@', '*', '='];
    let end = text.find(markers).unwrap_or(text.len());
    let mut endpoint = Endpoint { worker: &text[..end], state: EndpointState::Up, ..Endpoint::default() };
    let mut rest = &text[end..];
    while let Some(marker) = rest.chars().next() {
        let end = rest[1..].find(markers).map_or(rest.len(), |at| at + 1);
        let value = &rest[1..end];
        match (marker, value) {
            (':', "draining") => endpoint.state = EndpointState::Draining,
            (':', "gone") => endpoint.state = EndpointState::Gone,
            ('^', _) => endpoint.started_at = Some(parse_duration(value)?),
            ('*', _) => endpoint.machine_kind = parse_number(value)?,
            ('@', _) => endpoint.zone = parse_number(value)?,
            ('=', _) => endpoint.address = Some(([127, 0, 0, 1], parse_number(value)?).into()),
            _ => return Err(format!("invalid entry {text:?}: unknown {marker}{value}")),
        }
        rest = &rest[end..];
    }
    Ok(endpoint)
}
