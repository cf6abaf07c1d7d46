//! Bounds of the tables that clients can fill with names of functions.
use super::*;
use crate::interface::{Action, Endpoint, EndpointListKind, Event, Outcome, Request, RequestClass, Settings};

const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// A scheduler with `workers` workers that are up.
fn scheduler(workers: usize) -> Scheduler {
    let class = RequestClass { timeout: Some(Duration::from_secs(3)), ..RequestClass::default() };
    let mut settings = Settings { request_classes: vec![class], ..Settings::default() };
    settings.cache.keep_alive = Some(KEEP_ALIVE);
    settings.limits.max_attempts = Some(3);
    let mut scheduler = Scheduler::new(&settings, 7);
    let names: Vec<String> = (0..workers).map(|n| format!("10.0.0.{n}:80")).collect();
    let entries =
        names.iter().map(|worker| Endpoint { worker, state: EndpointState::Up, ..Endpoint::default() });
    let entries = entries.collect();
    scheduler
        .handle(Duration::from_secs(1), Event::EndpointList { kind: EndpointListKind::Snapshot, entries });
    scheduler
}

/// Requests a function, and withdraws the request unless `is_served`. Returns the index of the function.
fn request(scheduler: &mut Scheduler, now: Duration, id: u64, function: &str, is_served: bool) -> usize {
    let time_left = Duration::from_secs(3);
    let actions =
        scheduler.handle(now, Event::Request(Request { id, function, time_left, ..Request::default() }));
    let index = scheduler.function_index(function);
    if !is_served {
        scheduler.handle(now, Event::RequestCancelled { request: id });
    }
    for action in actions {
        let Action::StartAttempt { worker, .. } = action else { continue };
        let outcome = if is_served { Outcome::Succeeded } else { Outcome::NeverSent };
        let ended = Event::AttemptEnded {
            request: id,
            attempt: 0,
            worker: &worker,
            outcome,
            duration: Duration::from_millis(50),
            concluded: true,
            cache_result: crate::interface::CacheResult::Unknown,
            concurrency: None,
            report: Vec::new(),
        };
        scheduler.handle(now, ended);
    }
    index
}

/// Guards against memory that grows with each new name in a withdrawn request.
#[test]
fn names_of_withdrawn_requests_never_exceed_the_bound_of_the_table() {
    let mut scheduler = scheduler(3);
    for id in 0..3 * MAX_FUNCTIONS as u64 {
        let now = Duration::from_secs(2) + Duration::from_micros(20 * id);
        request(&mut scheduler, now, id, &format!("f{id}"), false);
        let sizes = scheduler.table_sizes();
        assert!(sizes.functions <= MAX_FUNCTIONS, "{sizes:?} after request {id}");
        assert!(sizes.popularities <= sizes.functions, "{sizes:?} after request {id}");
    }
    assert!(scheduler.table_sizes().forgotten_functions > MAX_FUNCTIONS as u64);
}

/// Guards against the loss of a served function's state to a flood of names that are never served.
#[test]
fn a_function_with_cached_copies_is_kept_while_names_of_withdrawn_requests_are_forgotten() {
    let mut scheduler = scheduler(3);
    let now = Duration::from_secs(2);
    let served = request(&mut scheduler, now, 0, "served", true);
    let popularity = scheduler.requested_work.get(served, now);
    for id in 1..2 * MAX_FUNCTIONS as u64 {
        scheduler.function_index(&format!("f{id}"));
    }
    assert_eq!(scheduler.function_index("served"), served);
    assert_eq!(scheduler.requested_work.get(served, now), popularity);
    assert!(scheduler.workers.iter().any(|worker| worker.cache_entry(served).is_cached));
}

/// Guards against a function that inherits the popularity of the one that had its index before.
#[test]
fn a_function_that_gets_the_index_of_a_removed_one_starts_without_popularity() {
    let mut scheduler = scheduler(1);
    let old = request(&mut scheduler, Duration::from_secs(2), 1, "old", false);
    let later = Duration::from_secs(2) + SWEEP_INTERVAL + KEEP_ALIVE * 3;
    scheduler.handle(later, Event::Timer { name: "tick" });
    scheduler.now = later;
    assert!(!scheduler.function_names.contains("old"));
    let new = scheduler.function_index("new");
    assert_eq!(new, old, "the index is used again");
    assert_eq!(scheduler.requested_work.get(new, later), 0.0);
}

/// Guards against cache entries that grow with each new function that is served between two sweeps.
#[test]
fn cache_entries_never_exceed_their_bound_and_those_that_expire_last_are_kept() {
    let mut scheduler = scheduler(2);
    let mut function = 0;
    for round in 0..3 {
        while scheduler.cache_insertions < MAX_CACHE_ENTRIES {
            let now = Duration::from_secs(2) + Duration::from_micros(function as u64);
            scheduler.cache_insertions += 1;
            let entry = scheduler.workers[function % 2].cache.entry(function).or_default();
            entry.assumed_until = now + KEEP_ALIVE;
            function += 1;
        }
        let now = Duration::from_secs(3) + Duration::from_millis(round);
        scheduler.handle(now, Event::Timer { name: "tick" });
        let entries = scheduler.table_sizes().cache_entries;
        assert!(entries <= MAX_CACHE_ENTRIES - MAX_CACHE_ENTRIES / FREED_SHARE_DIVISOR);
        assert_eq!(entries, scheduler.cache_insertions);
        let newest = function - 1;
        assert!(scheduler.workers[newest % 2].cache.contains_key(&newest));
    }
}
