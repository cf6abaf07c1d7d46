//! The state of the event loop, and its start.
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

/// A gateway and the state of its event loop. The event loop waits for events for at most
/// [`Gateway::poll_timeout`], then calls [`Gateway::process_events`].
pub struct Gateway {
    pub(super) settings: Rc<Settings>,
    pub(super) clock: Clock,
    /// Random id of this process, independent of the configured seed, so that request ids stay unique across
    /// restarts.
    pub(super) instance_id: u64,
    last_request_number: u64,
    pub(super) http: Http<Gateway>,
    pub(super) request_table: RequestTable<Rc<RequestContext>>,
    pub(super) calls: OutgoingCalls,
    /// Open requests of clients, by the exchange that waits for the response.
    pub(super) exchanges: HashMap<Exchange, RequestId>,
    /// Response of the attempt that is being ended; `None` at other times.
    pub(super) pending_response: Option<Response>,
    /// Whether the attempt that is being ended failed because its function could not be loaded.
    pub(super) load_failed: bool,
    pub(super) invocation_queue: InvocationQueue<ChangeBuffer>,
    pub(super) store: Option<store::Store>,
    pub(super) schedules: Schedules,
    pub(super) accepted_endpoints: AcceptedEndpoints,
    pub(super) discovery: discovery::EndpointDiscovery,
    pub(super) prefetch: Option<prefetch::Prefetch>,
    pub(super) fleet: Option<fleet::Fleet>,
    pub(super) recovery: Option<recovery::RecoveryDriver>,
    pub(super) recorder: Option<TraceRecorder>,
    pub(super) snapshot_writer: Option<SnapshotWriter>,
    /// Time at which the drain ends; `None`: it has not started.
    pub(super) drain_deadline: Option<Duration>,
    pub(super) counts: RequestCounts,
}

impl HasHttp for Gateway {
    fn http(&mut self) -> &mut Http<Gateway> {
        &mut self.http
    }
}

impl Gateway {
    /// Starts a gateway with the saved endpoint list, or with the configured workers if there is none.
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
        // Triggers that were due while no gateway was running count as misfires.
        let schedules_since = checkpoint.map_or(clock.now(), |checkpoint| checkpoint.wall);
        let mut gateway = Gateway::with_empty_state(settings, handle.clone(), clock, schedules_since)?;
        gateway.start_recovery(evidence)?;
        gateway.load_initial_endpoints();
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
            instance_id: rand::random(),
            last_request_number: 0,
            http: Http::new(handle, settings.limits.clone()),
            request_table: RequestTable::new(&settings.scheduler, seed),
            calls: OutgoingCalls::default(),
            exchanges: HashMap::new(),
            pending_response: None,
            load_failed: false,
            invocation_queue: InvocationQueue::new(settings.asynchronous.clone(), changes, seed),
            store: None,
            schedules: Schedules::new(schedules, seed, schedules_since),
            accepted_endpoints: AcceptedEndpoints::default(),
            discovery: discovery::EndpointDiscovery::new(&settings),
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

    fn load_initial_endpoints(&mut self) {
        let workers = self.initial_endpoints();
        self.accepted_endpoints.apply_changes(&workers);
        let recovery = self.recovery.as_ref();
        let was_unclean = recovery.is_some_and(|recovery| !recovery.state_machine.evidence().ended_cleanly());
        self.accepted_endpoints.set_from_unclean_stop(was_unclean);
        self.update_endpoints(EndpointListKind::Snapshot, &workers);
    }

    /// The saved endpoint list, or the configured workers if no usable list is saved.
    fn initial_endpoints(&self) -> Vec<DiscoveredEndpoint> {
        let warning = "cannot read the saved endpoint list, starting with the configured workers";
        let saved =
            snapshots::read_or_warn(self.settings.state_folder.as_deref(), snapshots::WORKERS, warning);
        match saved.map(|bytes| list::read(&bytes, &self.settings.configured_names)) {
            Some(Ok(saved)) if !saved.workers.is_empty() => saved.workers,
            Some(Err(error)) => {
                let why = error.to_string();
                tracing::warn!(
                    why,
                    "saved endpoint list is invalid, starting with the configured workers"
                );
                self.settings.workers.clone()
            }
            Some(Ok(_)) | None => self.settings.workers.clone(),
        }
    }

    /// Time since 1970 on a steady clock, which later changes of the wall clock do not affect.
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

    /// Returns a new request id, unique among the requests of all gateways.
    pub(super) fn new_request_id(&mut self) -> Uuid {
        self.last_request_number += 1;
        Uuid::from_u64_pair(self.instance_id, self.last_request_number)
    }
}
