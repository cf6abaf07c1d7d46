//! Where the list of workers comes from: asked for now and then, and pushed over server-sent events.
use super::{CallPurpose, Gateway};
use crate::settings::Settings;
use quartzdrift_discovery::belief::Believed;
use quartzdrift_discovery::list::{self, Listed};
use quartzdrift_discovery::stream::Reader;
use quartzdrift_http::{CallId, Headers, Outgoing};
use quartzdrift_scheduler::interface::{DiscoveryMode, EndpointListKind};
use std::rc::Rc;
use std::time::Duration;

/// After a stream was lost: its source may be restarting.
const STREAM_AGAIN: Duration = Duration::from_millis(500);

/// How the list is followed.
pub(super) struct Source {
    /// Calls go out only where there is a source and it is wanted.
    wanted: bool,
    asked: Option<(CallId, Duration)>,
    ask_at: Option<Duration>,
    stream: Option<CallId>,
    stream_at: Option<Duration>,
    reader: Reader,
    last: Vec<Listed>,
    /// Whether a list has come since the start.
    came: bool,
}

impl Source {
    pub fn new(settings: &Settings) -> Source {
        let wanted = settings.discovery.is_some() && settings.scheduler.discovery == DiscoveryMode::Push;
        let at = wanted.then_some(Duration::ZERO);
        let streams = settings
            .discovery
            .as_ref()
            .is_some_and(|discovery| discovery.stream);
        Source {
            wanted,
            asked: None,
            ask_at: at,
            stream: None,
            stream_at: at.filter(|_| streams),
            reader: Reader::default(),
            last: Vec::new(),
            came: false,
        }
    }

    /// Whether a list has come since the start.
    pub fn has_come(&self) -> bool {
        self.came
    }

    pub fn next_due(&self) -> Option<Duration> {
        let timeout = self.asked.map(|(_, until)| until);
        [timeout, self.ask_at, self.stream_at].into_iter().flatten().min()
    }
}

impl Gateway {
    pub(super) fn discovery_due(&mut self, now: Duration) {
        if let Some((call, _)) = self.discovery.asked.take_if(|(_, until)| *until <= now) {
            self.calls.remove(&call);
            self.http.cancel(call);
            self.list_failed("no answer in time");
        }
        if self.discovery.ask_at.take_if(|at| *at <= now).is_some() {
            self.ask_list();
        }
        if self.discovery.stream_at.take_if(|at| *at <= now).is_some() {
            self.open_stream();
        }
    }

    fn discovery_call(&mut self, accept: &str, streams: bool, of: CallPurpose) -> Option<CallId> {
        let discovery = self.settings.discovery.as_ref()?;
        let request = Outgoing {
            method: "GET",
            target: discovery.target.clone(),
            headers: Headers::new().with("accept", accept),
            body: Rc::from([]),
            connect_timeout: discovery.timeout,
            streams,
        };
        let call = self.http.call(discovery.address, request);
        self.calls.insert(call, of);
        Some(call)
    }

    pub(super) fn ask_list(&mut self) {
        let Some(timeout) = self
            .settings
            .discovery
            .as_ref()
            .map(|discovery| discovery.timeout)
        else {
            return self.no_discovery();
        };
        if self.discovery.asked.is_none() {
            let until = self.now() + timeout;
            let call = self.discovery_call("application/json", false, CallPurpose::EndpointList);
            self.discovery.asked = call.map(|call| (call, until));
        }
    }

    fn open_stream(&mut self) {
        if self.discovery.stream.is_none() {
            self.discovery.reader = Reader::default();
            self.discovery.stream =
                self.discovery_call("text/event-stream", true, CallPurpose::EndpointStream);
        }
    }

    /// Without a source, the list of the settings is the list.
    fn no_discovery(&mut self) {
        let workers = self.settings.workers.clone();
        self.give_list(EndpointListKind::Full, &workers);
        self.carry_out();
    }

    pub(super) fn watch(&mut self, on: bool) {
        if self.settings.discovery.is_none() {
            if on {
                self.no_discovery();
            }
            return;
        }
        self.discovery.wanted = on;
        if on {
            self.ask_list();
            if self
                .settings
                .discovery
                .as_ref()
                .is_some_and(|discovery| discovery.stream)
            {
                self.open_stream();
            }
        } else {
            (self.discovery.ask_at, self.discovery.stream_at) = (None, None);
            if let Some(call) = self.discovery.stream.take() {
                self.calls.remove(&call);
                self.http.cancel(call);
            }
        }
    }

    /// Hands a list to the request table.
    pub(super) fn give_list(&mut self, form: EndpointListKind, workers: &[Listed]) {
        let entries = workers.iter().map(Listed::entry).collect();
        self.request_table.update_endpoints(self.now(), form, entries);
        self.carry_out();
    }

    fn plan_ask(&mut self) {
        let every = self.settings.discovery.as_ref().map(|discovery| discovery.every);
        let next = every
            .filter(|_| self.discovery.wanted)
            .map(|every| self.now() + every);
        self.discovery.ask_at = next;
    }

    pub(super) fn list_came(&mut self, status: u16, body: &[u8]) {
        self.discovery.asked = None;
        if status != 200 {
            return self.list_failed(&format!("status {status}"));
        }
        match self.believe_full(body) {
            Ok(()) => self.plan_ask(),
            Err(why) => self.list_failed(&why),
        }
    }

    fn believe_full(&mut self, body: &[u8]) -> Result<(), String> {
        let list = list::read(body, &self.settings.known)?;
        for why in &list.unread {
            tracing::warn!(why, "a line of the list of workers is left out");
        }
        self.discovery.came = true;
        let whole = list.unread.is_empty();
        if whole && list.workers == self.discovery.last && !list.workers.is_empty() {
            return Ok(());
        }
        match self.belief.full(list) {
            Believed::Full(workers) => {
                tracing::info!(workers = workers.len(), "list of workers");
                self.give_list(EndpointListKind::Full, &workers);
                self.discovery.last = workers;
            }
            Believed::Named { workers, why } => {
                tracing::warn!(why, "a list of workers is doubted");
                self.give_list(EndpointListKind::Changes, &workers);
                self.discovery.last.clear();
            }
        }
        self.save_list();
        Ok(())
    }

    fn save_list(&self) {
        if let Some(writer) = &self.snapshot_writer {
            writer.write_soon(
                crate::snapshots::WORKERS,
                list::write(&self.belief.workers(), &self.settings.known),
            );
        }
    }

    /// The old list still applies; the module is told only where it asks for lists itself.
    pub(super) fn list_failed(&mut self, why: &str) {
        self.discovery.asked = None;
        tracing::warn!(why, "the list of workers cannot be had; the last one stands");
        if self.settings.scheduler.discovery == DiscoveryMode::Poll {
            self.discovery.wanted = false;
            self.give_list(EndpointListKind::Failed, &[]);
        }
        self.plan_ask();
    }

    pub(super) fn discovery_stream_began(&mut self, call: CallId, status: u16) {
        if status != 200 {
            self.calls.remove(&call);
            self.http.cancel(call);
            self.discovery_stream_lost(&format!("status {status}"));
        }
    }

    pub(super) fn discovery_part(&mut self, call: CallId, bytes: &[u8]) {
        let Ok(events) = self.discovery.reader.feed(bytes) else {
            self.calls.remove(&call);
            self.http.cancel(call);
            return self.discovery_stream_lost("an event was too large");
        };
        for event in events {
            let done = match event.name.as_str() {
                "full" => self.believe_full(event.data.as_bytes()),
                "changes" => list::read(event.data.as_bytes(), &self.settings.known).map(|list| {
                    list.unread
                        .iter()
                        .for_each(|why| tracing::warn!(why, "a change is left out"));
                    self.belief.changes(&list.workers);
                    self.discovery.last.clear();
                    self.give_list(EndpointListKind::Changes, &list.workers);
                    self.save_list();
                }),
                _ => Ok(()),
            };
            if let Err(why) = done {
                tracing::warn!(why, "news of workers cannot be read; the last list stands");
            }
        }
    }

    /// Changes may have been missed: the whole list is asked for at once, and the stream soon after.
    pub(super) fn discovery_stream_lost(&mut self, why: &str) {
        tracing::warn!(why, "the stream of changes was lost");
        self.discovery.stream = None;
        if self.settings.scheduler.discovery == DiscoveryMode::Poll {
            self.discovery.wanted = false;
            return self.give_list(EndpointListKind::Failed, &[]);
        }
        if self.discovery.wanted {
            self.discovery.stream_at = Some(self.now() + STREAM_AGAIN);
            self.ask_list();
        }
    }
}
