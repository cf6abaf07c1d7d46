//! Property of requests with idempotency keys: whatever the order in which workers are listed, at whatever
//! addresses and in whatever cells, no request runs in two cells.

mod random;

use quartzdrift_scheduler::interface::{
    Action, ActionLimits, CacheResult, DeduplicationScope, Endpoint, EndpointListKind, EndpointState, Event,
    Idempotency, Outcome, Request, RequestClass, RequestId, Settings,
};
use quartzdrift_scheduler::scheduler::Scheduler;
use random::SplitMix64;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SEEDS: u64 = 300;
const STEPS: u64 = 400;
const ADDRESSES: u64 = 5;
const CELLS: u64 = 3;

/// An entry of the list, which may be out of date.
#[derive(Clone, Copy, PartialEq)]
struct Listing {
    address: u64,
    cell: u64,
    started: u64,
}

/// A request that has been sent.
struct SentRequest {
    worker: String,
    attempt: u32,
    /// Address that the attempt in flight was sent to.
    address: u64,
    /// Cells in which it may have run.
    cells: BTreeSet<u64>,
}

/// One scheduler, and what is true of the workers.
struct Simulation {
    random: SplitMix64,
    scheduler: Scheduler,
    now: Duration,
    /// Entries of the list by worker.
    listed: BTreeMap<String, Listing>,
    /// The worker at each address, and its cell.
    at_address: BTreeMap<u64, (String, u64)>,
    requests: BTreeMap<RequestId, SentRequest>,
    workers: u64,
    last_request: RequestId,
    retries: u64,
}

fn settings() -> Settings {
    Settings {
        request_classes: vec![RequestClass {
            name: "keyed".to_owned(),
            idempotency: Idempotency::IdempotentWithKey,
            timeout: Some(Duration::from_secs(3600)),
            deduplication_scope: DeduplicationScope::Cell,
            deduplication_window: Some(Duration::from_secs(3600)),
            ..RequestClass::default()
        }],
        limits: ActionLimits { max_attempts: Some(6), ..ActionLimits::default() },
        ..Settings::default()
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            random: SplitMix64(seed),
            scheduler: Scheduler::new(&settings(), seed),
            now: Duration::from_secs(1),
            listed: BTreeMap::new(),
            at_address: BTreeMap::new(),
            requests: BTreeMap::new(),
            workers: 0,
            last_request: 0,
            retries: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.scheduler.handle(self.now, event) {
            match action {
                Action::StartAttempt { request, worker, .. } => self.start_attempt(request, &worker),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    drop(self.requests.remove(&request))
                }
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, id: RequestId, worker: &str) {
        let address = self.listed[worker].address;
        let (owner, cell) = self.at_address[&address].clone();
        assert_eq!(owner, worker, "an attempt to a worker that another one has replaced");
        let request = self.requests.entry(id).or_insert_with(|| SentRequest {
            worker: String::new(),
            attempt: 0,
            address,
            cells: BTreeSet::new(),
        });
        self.retries += u64::from(request.attempt > 0);
        assert!(
            request.cells.iter().all(|earlier| *earlier == cell),
            "request {id} was sent to cell {cell} and may have run in the cells {:?}",
            request.cells
        );
        request.cells.insert(cell);
        request.worker = worker.to_owned();
        request.address = address;
        request.attempt += 1;
    }

    /// Ends the attempt of the oldest request in flight, which has run.
    fn end_attempt(&mut self) {
        let Some((&request, sent)) = self.requests.first_key_value() else { return };
        let (worker, attempt) = (sent.worker.clone(), sent.attempt - 1);
        let outcome = if self.random.chance(50) { Outcome::Reset } else { Outcome::Error };
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            worker: &worker,
            outcome,
            duration: Duration::from_millis(5),
            concluded: false,
            cache_result: CacheResult::Unknown,
            concurrency: None,
            report: Vec::new(),
        });
    }

    fn send_request(&mut self) {
        self.last_request += 1;
        self.handle(Event::Request(Request {
            id: self.last_request,
            function: "f",
            time_left: Duration::from_secs(3600),
            ..Request::default()
        }));
    }

    /// Sends entries of the list.
    fn tell(&mut self, kind: EndpointListKind, entries: &[(String, Listing, EndpointState)]) {
        let entries = entries
            .iter()
            .map(|(worker, listing, state)| Endpoint {
                worker,
                address: Some(([127, 0, 0, 1], 1000 + listing.address as u16).into()),
                cell: listing.cell as u32,
                started_at: Some(Duration::from_secs(listing.started)),
                state: *state,
                ..Endpoint::default()
            })
            .collect();
        self.handle(Event::EndpointList { kind, entries });
    }

    /// Starts a process of a worker, a new one or one that has been listed before, and lists it.
    fn start_process(&mut self) {
        let known = self.listed.keys().nth(self.random.below(8) as usize).cloned();
        self.workers += 1;
        let worker = known.unwrap_or(format!("w{}", self.workers));
        let address = self.random.below(ADDRESSES);
        let listing =
            Listing { address, cell: self.random.below(CELLS), started: 1 + self.random.below(1_000_000) };
        self.at_address.retain(|_, (other, _)| *other != worker);
        self.at_address.insert(address, (worker.clone(), listing.cell));
        for request in self.requests.values_mut().filter(|request| request.address == address) {
            // A connection that was opened before may have led to this process.
            request.cells.insert(listing.cell);
        }
        self.listed.insert(worker.clone(), listing);
        self.tell(EndpointListKind::Changes, &[(worker, listing, EndpointState::Up)]);
    }

    /// Lists workers once more, as they were listed before: some, or all in a random order.
    fn repeat_list(&mut self) {
        let mut entries: Vec<_> = self
            .listed
            .iter()
            .map(|(worker, listing)| (worker.clone(), *listing, EndpointState::Up))
            .collect();
        for index in (1..entries.len()).rev() {
            entries.swap(index, self.random.below(index as u64 + 1) as usize);
        }
        let is_whole_list = self.random.chance(50);
        if !is_whole_list {
            entries.truncate(2);
        }
        let kind = if is_whole_list { EndpointListKind::Full } else { EndpointListKind::Changes };
        self.tell(kind, &entries);
    }

    /// Lists a worker as gone, or as draining if another one has replaced it.
    fn end_listing(&mut self) {
        let index = self.random.below(1 + self.listed.len() as u64) as usize;
        let Some((worker, listing)) = self.listed.iter().nth(index) else { return };
        let (worker, listing) = (worker.clone(), *listing);
        let is_there = self.at_address.get(&listing.address).is_some_and(|(owner, _)| *owner == worker);
        if !is_there && self.random.chance(50) {
            return self.tell(EndpointListKind::Changes, &[(worker, listing, EndpointState::Draining)]);
        }
        self.listed.remove(&worker);
        self.at_address.retain(|_, (owner, _)| *owner != worker);
        self.tell(EndpointListKind::Changes, &[(worker, listing, EndpointState::Gone)]);
    }

    /// Returns the number of retries.
    fn run(mut self) -> u64 {
        for _ in 0..STEPS {
            self.now += self.random.duration_ms(1, 41);
            match self.random.below(10) {
                0 => self.start_process(),
                1 => self.repeat_list(),
                2 => self.end_listing(),
                3..6 => self.send_request(),
                _ => self.end_attempt(),
            }
        }
        self.retries
    }
}

/// Guards against a worker that is told apart by its name alone: a request that ran in one cell runs again in
/// another, at a worker that has taken over an address or has moved.
#[test]
fn no_request_with_a_key_runs_in_two_cells_whatever_is_listed_where() {
    let retries: u64 = (1..=SEEDS).map(|seed| Simulation::new(seed).run()).sum();
    assert!(retries > SEEDS, "only {retries} retries");
}
