//! Lines on workers: endpoint lists, forecasts and load commands.
use super::words::{duration, number};
use super::{Result, Runner, Words};
use quartzdrift_scheduler::interface::{
    Endpoint, EndpointListKind, EndpointState, Event, Outcome, RequestId, UsageForecast,
};
use std::time::Duration;

/// Number of the first request that `replace` sends.
const FIRST_REPLACE_REQUEST: RequestId = 1_000_000;

impl Runner {
    pub(crate) fn list(&mut self, words: &Words) -> Result {
        let form = match words.get(1) {
            Some("full") => EndpointListKind::Full,
            Some("saved") => EndpointListKind::Snapshot,
            Some("changes") => EndpointListKind::Changes,
            Some("failed") => EndpointListKind::Failed,
            other => return Err(format!("no form of list: {other:?}")),
        };
        let entries: Vec<Endpoint> =
            words.from(2).iter().map(|word| endpoint(word)).collect::<Result<_>>()?;
        let kinds = entries.iter().map(|entry| (entry.worker.to_owned(), entry.machine_kind.to_string()));
        self.kinds.extend(kinds);
        self.event(Event::EndpointList { kind: form, entries })
    }

    /// Replaces one worker after another, with a request in between.
    pub(crate) fn replace(&mut self, words: &Words) -> Result {
        let count: usize = words.number(1)?;
        let up: usize = words.number(2)?;
        let every = words.duration_of("every")?.unwrap_or(Duration::from_secs(1));
        for index in 0..count {
            self.now += every;
            let new = format!("r{index}");
            let old = format!("r{}", index.wrapping_sub(up));
            let entry = |worker, state| Endpoint { worker, state, ..Endpoint::default() };
            let entries = vec![entry(&*new, EndpointState::Up), entry(&*old, EndpointState::Gone)];
            self.event(Event::EndpointList { kind: EndpointListKind::Changes, entries })?;
            let request = FIRST_REPLACE_REQUEST + index as RequestId;
            self.request(request, "f", &Words::of_line(""))?;
            self.end(request, &["finished"])?;
        }
        Ok(())
    }

    pub(crate) fn forecast(&mut self, words: &Words) -> Result {
        self.event(Event::UsageForecast(UsageForecast {
            function: words.get(1).unwrap_or("f"),
            horizon: words.duration_of("within")?.unwrap_or(Duration::from_secs(8)),
            probability: words.number_of("sure")?.unwrap_or(1.0),
            memory_mb: words.number_of("mb")?,
            ..UsageForecast::default()
        }))
    }

    pub(crate) fn loaded(&mut self, words: &Words) -> Result {
        let worker = self.load_worker.clone();
        let function = words.get(1).unwrap_or("f");
        let (outcome, copies) = match words.get(2) {
            Some("error") => (Outcome::Error, 0),
            Some("full") => (Outcome::AtCapacity, 0),
            _ => (Outcome::Succeeded, 1),
        };
        let duration = Duration::from_millis(500);
        self.event(Event::LoadEnded { worker: &worker, function, outcome, duration, copies })
    }
}

/// Reads a worker's entry such as `d:draining^2s@1*2`.
fn endpoint(text: &str) -> Result<Endpoint<'_>> {
    let signs = [':', '^', '@', '*'];
    let end = text.find(signs).unwrap_or(text.len());
    let mut endpoint = Endpoint { worker: &text[..end], state: EndpointState::Up, ..Endpoint::default() };
    let mut rest = &text[end..];
    while let Some(sign) = rest.chars().next() {
        let end = rest[1..].find(signs).map_or(rest.len(), |at| at + 1);
        let value = &rest[1..end];
        match (sign, value) {
            (':', "draining") => endpoint.state = EndpointState::Draining,
            (':', "gone") => endpoint.state = EndpointState::Gone,
            ('^', _) => endpoint.started_at = Some(duration(value)?),
            ('*', _) => endpoint.machine_kind = number(value)?,
            ('@', _) => endpoint.zone = number(value)?,
            _ => return Err(format!("no worker: {text}")),
        }
        rest = &rest[end..];
    }
    Ok(endpoint)
}
