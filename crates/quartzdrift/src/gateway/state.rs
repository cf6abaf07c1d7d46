//! The state of the event loop, and how it starts.
use super::calls::OutgoingCalls;
use super::context::{RequestContext, RequestCounts};
use super::{discovery, fleet, prefetch, recovery, store};
use crate::clock::Clock;
use crate::request_trace::TraceRecorder;
use crate::settings::Settings;
use crate::snapshots::{self, SnapshotWriter};
use calloop::LoopHandle;
use quartzdrift_async_queue::{ChangeBuffer, InvocationQueue};
use quartzdrift_discovery::{AcceptedEndpoints, DiscoveredEndpoint, list};
use quartzdrift_http::{Exchange, HasHttp, Http, Response};
use quartzdrift_lifecycle::RequestTable;
use quartzdrift_scheduler::interface::{EndpointListKind, RequestId};
use quartzdrift_schedules::Schedules;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use uuid::Uuid;

/// A gateway on its event loop. Call [`Gateway::turn`] after each wait of the loop, for [`Gateway::poll_timeout`] at
/// most.
pub struct Gateway {
    pub(super) settings: Rc<Settings>,
    pub(super) clock: Clock,
    /// Random at each start, whatever the seed: request ids are never used twice.
    pub(super) identity: u64,
    last_request_number: u64,
    pub(super) http: Http<Gateway>,
    pub(super) request_table: RequestTable<Rc<RequestContext>>,
    pub(super) calls: OutgoingCalls,
    /// Clients that wait for the answer of a request.
    pub(super) exchanges: HashMap<Exchange, RequestId>,
    /// The response of the attempt that is just ending.
    pub(super) pending_response: Option<Response>,
    /// Whether the attempt that is just ending failed because its function could not be loaded.
    pub(super) load_failed: bool,
    pub(super) asynchronous: InvocationQueue<ChangeBuffer>,
    pub(super) store: Option<store::Store>,
    pub(super) schedules: Schedules,
    pub(super) accepted: AcceptedEndpoints,
    pub(super) discovery: discovery::Source,
    pub(super) prefetch: Option<prefetch::Prefetch>,
    pub(super) fleet: Option<fleet::Fleet>,
    pub(super) recovery: Option<recovery::RecoveryDriver>,
    pub(super) recorder: Option<TraceRecorder>,
    pub(super) snapshot_writer: Option<SnapshotWriter>,
    /// When the drain ends, once it has begun.
    pub(super) drain_deadline: Option<Duration>,
    pub(super) counts: RequestCounts,
}

impl HasHttp for Gateway {
    fn http(&mut self) -> &mut Http<Gateway> {
        &mut self.http
    }
}

impl Gateway {
    /// Starts a gateway, with the endpoint list that it last saved or else that of the settings.
    ///
    /// # Errors
    ///
    /// The state folder, the store or the trace file cannot be used, or the fleet's socket cannot be bound.
    pub fn new(settings: Settings, handle: LoopHandle<'static, Gateway>) -> io::Result<Gateway> {
        let sample = crate::clock::sample();
        let evidence = recovery::read_evidence(&settings, sample.clone());
        let checkpoint = evidence
            .as_ref()
            .and_then(|evidence| evidence.checkpoint.as_ref());
        let checkpoint = checkpoint.map(|checkpoint| checkpoint.taken_at.clone());
        let clock = Clock::resume(&sample, checkpoint.as_ref());
        // Triggers of schedules while no gateway ran are misfires.
        let schedules_since = checkpoint.map_or(clock.now(), |checkpoint| checkpoint.wall);
        let mut gateway = Gateway::with_empty_state(settings, handle.clone(), clock, schedules_since)?;
        gateway.start_recovery(evidence)?;
        gateway.load_first_list();
        gateway.start_prefetch();
        gateway.start_store(&handle)?;
        gateway.start_fleet(&handle)?;
        gateway.carry_out_recovery();
        Ok(gateway)
    }

    fn with_empty_state(
        settings: Settings,
        handle: LoopHandle<'static, Gateway>,
        clock: Clock,
        schedules_since: Duration,
    ) -> io::Result<Gateway> {
        let seed = settings.seed.unwrap_or_else(rand::random);
        let snapshot_writer = settings
            .state_folder
            .clone()
            .map(SnapshotWriter::start)
            .transpose()?;
        let recorder = settings
            .request_trace
            .as_ref()
            .map(TraceRecorder::start)
            .transpose()?;
        let schedules = settings
            .schedules
            .iter()
            .map(|(timer, _)| timer.clone())
            .collect();
        let changes = ChangeBuffer::new(settings.store_folder.is_some());
        Ok(Gateway {
            clock,
            identity: rand::random(),
            last_request_number: 0,
            http: Http::new(handle, settings.limits.clone()),
            request_table: RequestTable::new(&settings.scheduler, seed),
            calls: OutgoingCalls::default(),
            exchanges: HashMap::new(),
            pending_response: None,
            load_failed: false,
            asynchronous: InvocationQueue::new(settings.asynchronous.clone(), changes, seed),
            store: None,
            schedules: Schedules::new(schedules, seed, schedules_since),
            accepted: AcceptedEndpoints::default(),
            discovery: discovery::Source::new(&settings),
            prefetch: None,
            fleet: None,
            recovery: None,
            recorder,
            snapshot_writer,
            drain_deadline: None,
            counts: RequestCounts::default(),
            settings: Rc::new(settings),
        })
    }

    fn load_first_list(&mut self) {
        let workers = self.first_list();
        self.accepted.apply_changes(&workers);
        let recovery = self.recovery.as_ref();
        let was_unclean = recovery.is_some_and(|recovery| !recovery.machine.evidence().ended_cleanly());
        self.accepted.set_from_unclean_stop(was_unclean);
        self.update_endpoints(EndpointListKind::Snapshot, &workers);
    }

    /// The endpoint list that was last saved, or else that of the settings.
    fn first_list(&self) -> Vec<DiscoveredEndpoint> {
        let otherwise = "the saved endpoint list cannot be read";
        let saved = snapshots::read_or_warn(
            self.settings.state_folder.as_deref(),
            snapshots::WORKERS,
            otherwise,
        );
        match saved.map(|bytes| list::read(&bytes, &self.settings.configured_names)) {
            Some(Ok(saved)) if !saved.workers.is_empty() => saved.workers,
            Some(Err(error)) => {
                let why = error.to_string();
                tracing::warn!(why, "the saved endpoint list is ignored");
                self.settings.workers.clone()
            }
            Some(Ok(_)) | None => self.settings.workers.clone(),
        }
    }

    /// Time since 1970; steady, whatever the wall clock is set to.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Accepts clients from a listener.
    ///
    /// # Errors
    ///
    /// The listener cannot be registered with the event loop.
    pub fn listen(&mut self, listener: std::net::TcpListener) -> io::Result<()> {
        self.http.listen(listener)
    }

    /// A new request id, unlike that of any other request of this or another gateway.
    pub(super) fn draw_id(&mut self) -> Uuid {
        self.last_request_number += 1;
        Uuid::from_u64_pair(self.identity, self.last_request_number)
    }
}
