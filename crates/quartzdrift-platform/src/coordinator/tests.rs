use super::*;

fn event(index: u64, all: bool, targets: &[(&str, &str, &str)]) -> String {
    let target = |(uid, address, state): &(&str, &str, &str)| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"east","model":"big","pod_group":2,
            "state":"{state}","capacity_hint":4,"boot_ms":1500}}"#
        )
    };
    let targets: Vec<String> = targets.iter().map(target).collect();
    let targets = targets.join(",");
    format!(r#"{{"index":{index},"endpoints":{{"rev":1,"all":{all},"targets":[{targets}]}}}}"#)
}

fn response(last: u64, events: &[String]) -> Vec<u8> {
    format!(r#"{{"index":{last},"updates":[{}]}}"#, events.join(",")).into_bytes()
}

fn apply(watch: &mut EndpointWatch, body: &[u8]) -> Result<Vec<EndpointChange>, WatchError> {
    let follow_from = watch.last_index();
    apply_response(watch, follow_from, body).map(|applied| applied.changes)
}

fn apply_response(
    watch: &mut EndpointWatch,
    follow_from: u64,
    body: &[u8],
) -> Result<AppliedResponse, WatchError> {
    watch.apply_response(
        body,
        follow_from,
        &["west".to_owned(), "east".to_owned()],
        &["std".to_owned(), "big".to_owned()],
    )
}

#[test]
fn events_are_applied_in_order_and_once() {
    let mut watch = EndpointWatch::default();
    let first = event(1, true, &[("a", "127.0.0.1:1", "Ready")]);
    let second = event(
        2,
        false,
        &[("a", "127.0.0.1:1", "Terminating"), ("b", "127.0.0.1:1", "Ready")],
    );
    let changes = apply(&mut watch, &response(1, std::slice::from_ref(&first))).unwrap();
    assert!(changes[0].is_full_list);
    let a = &changes[0].workers[0].endpoint;
    assert_eq!((a.zone, a.kind, a.cell, a.state), (1, 1, 2, EndpointState::Up));
    assert_eq!(a.started, Some(Duration::from_millis(1500)));
    let changes = apply(&mut watch, &response(2, &[first, second])).unwrap();
    assert_eq!(changes.len(), 1);
    let states: Vec<(&str, EndpointState)> = changes[0]
        .workers
        .iter()
        .map(|update| (&update.endpoint.worker[..], update.endpoint.state))
        .collect();
    assert_eq!(states, [("a", EndpointState::Draining), ("b", EndpointState::Up)]);
    assert_eq!(watch.last_index(), 2);
}

/// Guards against a late start that counts as none because the clock of the worker's machine shows no time of
/// this century.
#[test]
fn every_start_time_but_zero_shows_a_start() {
    let started = |boot_ms: &str| {
        let event = event(1, true, &[("a", "127.0.0.1:1", "Ready")]).replace("1500", boot_ms);
        let changes = apply(&mut EndpointWatch::default(), &response(1, &[event])).unwrap();
        changes[0].workers[0].endpoint.started
    };
    assert_eq!((started("0"), started("null")), (None, None));
    assert_eq!(started("1500"), Some(Duration::from_millis(1500)));
    for unusable in ["-1", "-3600000", "1e300"] {
        assert_eq!(started(unusable), Some(Duration::ZERO), "{unusable}");
    }
}

#[test]
fn an_answer_with_a_gap_or_cut_short_changes_nothing() {
    let mut watch = EndpointWatch::default();
    apply(&mut watch, &response(1, &[event(1, true, &[])])).unwrap();
    let (two, four) = (
        event(2, false, &[("a", "127.0.0.1:1", "Ready")]),
        event(4, false, &[]),
    );
    let whole = response(4, &[two, four]);
    assert_eq!(
        apply(&mut watch, &whole),
        Err(WatchError::Gap { have: 2, got: 4 })
    );
    for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
        assert!(
            matches!(apply(&mut watch, &whole[..cut]), Err(WatchError::Unreadable(_))),
            "{cut}"
        );
    }
    assert_eq!(watch.last_index(), 1);
    // An event with the whole list needs no event before it.
    let changes = apply(
        &mut watch,
        &response(7, &[event(7, true, &[("c", "127.0.0.1:3", "Ready")])]),
    )
    .unwrap();
    assert!(changes[0].is_full_list && watch.last_index() == 7);
}

#[test]
fn workers_in_an_unknown_state_are_draining_and_unknown_events_are_skipped() {
    let mut watch = EndpointWatch::default();
    let other = r#"{"index":1,"shards":{}}"#.to_owned();
    assert!(apply(&mut watch, &response(1, &[other])).unwrap().is_empty());
    let changes = apply(
        &mut watch,
        &response(2, &[event(2, false, &[("a", "127.0.0.1:1", "Odd")])]),
    )
    .unwrap();
    assert_eq!(
        (changes[0].workers[0].endpoint.state, watch.last_index()),
        (EndpointState::Draining, 2)
    );
}

#[test]
fn an_answer_with_fewer_events_than_were_applied_is_rejected() {
    let mut watch = EndpointWatch::default();
    let ready = |index| event(index, true, &[("a", "127.0.0.1:1", "Ready")]);
    apply(&mut watch, &response(5, &[ready(5)])).unwrap();
    for old in [response(3, &[ready(3)]), response(0, &[])] {
        assert!(matches!(
            apply(&mut watch, &old),
            Err(WatchError::Stale { have: 5, .. })
        ));
    }
    // Answers without a new event; the second one does not state the last index.
    assert_eq!(apply(&mut watch, &response(5, &[ready(5)])), Ok(Vec::new()));
    assert_eq!(apply(&mut watch, br#"{"updates":[]}"#), Ok(Vec::new()));
    assert_eq!(watch.last_index(), 5);
}

#[test]
fn each_unlisted_location_gets_a_number_of_its_own() {
    let mut watch = EndpointWatch::default();
    let mut endpoint = |index: u64, field: &str, value: &str| {
        let target =
            format!(r#"{{"uid":"w{index}","endpoint":"127.0.0.1:1","state":"Ready","{field}":{value}}}"#);
        let event = format!(r#"{{"index":{index},"endpoints":{{"all":false,"targets":[{target}]}}}}"#);
        apply(&mut watch, &response(index, &[event])).unwrap()[0].workers[0]
            .endpoint
            .clone()
    };
    // The settings list west (0) and east (1).
    let listed = [endpoint(1, "az", "\"west\"").zone, endpoint(2, "az", "1").zone];
    assert_eq!(listed, [0, 1]);
    let north = endpoint(3, "az", "\"north\"").zone;
    assert_eq!(north, endpoint(4, "az", "\"north\"").zone);
    let unlisted = [
        endpoint(5, "az", "null").zone,
        endpoint(6, "az", "null").zone,
        endpoint(7, "az", "2").zone,
        north,
    ];
    let all: std::collections::BTreeSet<u32> = listed.into_iter().chain(unlisted).collect();
    assert_eq!(all.len(), 6, "{all:?}");
    let cells = [
        endpoint(8, "pod_group", "4").cell,
        endpoint(9, "pod_group", "null").cell,
        endpoint(10, "rev", "1").cell,
    ];
    assert!(
        cells[0] == 4
            && cells[1] != cells[2]
            && cells[1..].iter().all(|cell| *cell >= FIRST_UNLISTED_LOCATION)
    );
    // All unlisted kinds share one number, so that the number of kinds is bounded.
    let kinds = ["\"odd\"", "\"other\"", "7", "4000000000", "\"big\"", "null"];
    let kinds: Vec<u32> = (11..)
        .zip(kinds)
        .map(|(index, name)| endpoint(index, "model", name).kind)
        .collect();
    assert_eq!(kinds, [2, 2, 2, 2, 1, 0]);
}

/// Whether an answer to a poll that followed from the event `follow_from` shows that the list is current
/// after event 3; `None` if the answer is rejected.
fn is_current(follow_from: u64, body: &[u8]) -> Option<bool> {
    let mut watch = EndpointWatch::default();
    let events = [1, 2, 3].map(|index| event(index, index == 1, &[]));
    apply(&mut watch, &response(3, &events)).unwrap();
    apply_response(&mut watch, follow_from, body)
        .ok()
        .map(|applied| applied.is_current)
}

#[test]
fn the_list_is_current_only_after_an_answer_with_every_event_up_to_the_coordinators_last() {
    let change = |index| event(index, false, &[]);
    for (follow_from, body, expected) in [
        (3, response(3, &[]), Some(true)),
        (3, response(4, &[change(4)]), Some(true)),
        (3, response(5, &[change(4), change(5)]), Some(true)),
        (3, response(9, &[event(9, true, &[])]), Some(true)),
        (2, response(3, &[change(3)]), Some(true)),
        (2, response(4, &[change(3), change(4)]), Some(true)),
        // An event is missing, or the answer holds one that the poll did not request.
        (3, response(4, &[]), Some(false)),
        (3, response(5, &[change(4)]), Some(false)),
        (3, response(3, &[change(3)]), Some(false)),
        (3, response(4, &[change(3), change(4)]), Some(false)),
        (2, response(3, &[]), Some(false)),
        (3, b"{\"updates\":[]}".to_vec(), Some(false)),
        (3, b"{}".to_vec(), Some(false)),
        // The answer is older than the list, has a gap, or cannot be decoded.
        (3, response(2, &[]), None),
        (2, response(2, &[]), None),
        (3, response(6, &[change(6)]), None),
        (3, b"".to_vec(), None),
        (3, b"{\"index\":]".to_vec(), None),
    ] {
        let text = String::from_utf8_lossy(&body).into_owned();
        assert_eq!(
            is_current(follow_from, &body),
            expected,
            "followed from {follow_from}: {text}"
        );
    }
}
