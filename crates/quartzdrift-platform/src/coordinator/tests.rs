use super::*;

fn event(index: u64, all: bool, targets: &[(&str, &str, &str)]) -> String {
    let target = |(uid, at, state): &(&str, &str, &str)| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{at}","az":"east","model":"big","pod_group":2,
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

fn read(watch: &mut EndpointWatch, body: &[u8]) -> Result<Vec<EndpointChange>, WatchError> {
    let asked = watch.last_index();
    read_asked(watch, asked, body).map(|reading| reading.changes)
}

fn read_asked(watch: &mut EndpointWatch, asked: u64, body: &[u8]) -> Result<AppliedResponse, WatchError> {
    watch.apply_response(
        body,
        asked,
        &["west".to_owned(), "east".to_owned()],
        &["std".to_owned(), "big".to_owned()],
    )
}

#[test]
fn events_are_taken_in_their_order_and_once() {
    let mut watch = EndpointWatch::default();
    let first = event(1, true, &[("a", "127.0.0.1:1", "Ready")]);
    let second = event(
        2,
        false,
        &[("a", "127.0.0.1:1", "Terminating"), ("b", "127.0.0.1:1", "Ready")],
    );
    let changes = read(&mut watch, &response(1, std::slice::from_ref(&first))).unwrap();
    assert!(changes[0].is_full_list);
    let a = &changes[0].workers[0].endpoint;
    assert_eq!((a.zone, a.kind, a.cell, a.state), (1, 1, 2, EndpointState::Up));
    assert_eq!(a.started, Some(Duration::from_millis(1500)));
    let changes = read(&mut watch, &response(2, &[first, second])).unwrap();
    assert_eq!(changes.len(), 1);
    let states: Vec<(&str, EndpointState)> = changes[0]
        .workers
        .iter()
        .map(|resolved| (&resolved.endpoint.worker[..], resolved.endpoint.state))
        .collect();
    assert_eq!(states, [("a", EndpointState::Draining), ("b", EndpointState::Up)]);
    assert_eq!(watch.last_index(), 2);
}

#[test]
fn a_gap_or_half_an_answer_changes_nothing() {
    let mut watch = EndpointWatch::default();
    read(&mut watch, &response(1, &[event(1, true, &[])])).unwrap();
    let (two, four) = (
        event(2, false, &[("a", "127.0.0.1:1", "Ready")]),
        event(4, false, &[]),
    );
    let whole = response(4, &[two, four]);
    assert_eq!(read(&mut watch, &whole), Err(WatchError::Gap { have: 2, got: 4 }));
    for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
        assert!(
            matches!(read(&mut watch, &whole[..cut]), Err(WatchError::Unreadable(_))),
            "{cut}"
        );
    }
    assert_eq!(watch.last_index(), 1);
    // The whole list mends a gap.
    let again = read(
        &mut watch,
        &response(7, &[event(7, true, &[("c", "127.0.0.1:3", "Ready")])]),
    )
    .unwrap();
    assert!(again[0].is_full_list && watch.last_index() == 7);
}

#[test]
fn unknown_events_and_states_are_no_reason_to_send() {
    let mut watch = EndpointWatch::default();
    let other = r#"{"index":1,"shards":{}}"#.to_owned();
    assert!(read(&mut watch, &response(1, &[other])).unwrap().is_empty());
    let changes = read(
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
fn whoever_knows_fewer_events_is_not_believed() {
    let mut watch = EndpointWatch::default();
    let ready = |index| event(index, true, &[("a", "127.0.0.1:1", "Ready")]);
    read(&mut watch, &response(5, &[ready(5)])).unwrap();
    for old in [response(3, &[ready(3)]), response(0, &[])] {
        assert!(matches!(
            read(&mut watch, &old),
            Err(WatchError::Stale { have: 5, .. })
        ));
    }
    // Nothing new, and no word on the last event.
    assert_eq!(read(&mut watch, &response(5, &[ready(5)])), Ok(Vec::new()));
    assert_eq!(read(&mut watch, br#"{"updates":[]}"#), Ok(Vec::new()));
    assert_eq!(watch.last_index(), 5);
}

#[test]
fn places_that_no_list_names_are_places_of_their_own() {
    let mut watch = EndpointWatch::default();
    let mut resolved = |index: u64, field: &str, value: &str| {
        let target =
            format!(r#"{{"uid":"w{index}","endpoint":"127.0.0.1:1","state":"Ready","{field}":{value}}}"#);
        let event = format!(r#"{{"index":{index},"endpoints":{{"all":false,"targets":[{target}]}}}}"#);
        read(&mut watch, &response(index, &[event])).unwrap()[0].workers[0]
            .endpoint
            .clone()
    };
    // West and east are named.
    let named = [resolved(1, "az", "\"west\"").zone, resolved(2, "az", "1").zone];
    assert_eq!(named, [0, 1]);
    let north = resolved(3, "az", "\"north\"").zone;
    assert_eq!(north, resolved(4, "az", "\"north\"").zone);
    let others = [
        resolved(5, "az", "null").zone,
        resolved(6, "az", "null").zone,
        resolved(7, "az", "2").zone,
        north,
    ];
    let all: std::collections::BTreeSet<u32> = named.into_iter().chain(others).collect();
    assert_eq!(all.len(), 6, "{all:?}");
    let cells = [
        resolved(8, "pod_group", "4").cell,
        resolved(9, "pod_group", "null").cell,
        resolved(10, "rev", "1").cell,
    ];
    assert!(
        cells[0] == 4 && cells[1] != cells[2] && cells[1..].iter().all(|cell| *cell >= FIRST_UNLISTED_PLACE)
    );
    // Kinds that are not named are one more kind, so that no list of them grows.
    let kinds = ["\"odd\"", "\"other\"", "7", "4000000000", "\"big\"", "null"];
    let kinds: Vec<u32> = (11..)
        .zip(kinds)
        .map(|(at, name)| resolved(at, "model", name).kind)
        .collect();
    assert_eq!(kinds, [2, 2, 2, 2, 1, 0]);
}

/// Whether an answer to a poll that follows from the event numbered `asked` shows that a list is current whose last event is 3.
fn is_current(asked: u64, body: &[u8]) -> Option<bool> {
    let mut watch = EndpointWatch::default();
    let events = [1, 2, 3].map(|index| event(index, index == 1, &[]));
    read(&mut watch, &response(3, &events)).unwrap();
    read_asked(&mut watch, asked, body)
        .ok()
        .map(|reading| reading.is_current)
}

#[test]
fn only_an_answer_with_every_event_up_to_the_coordinators_last_shows_that_the_list_is_current() {
    let news = |index| event(index, false, &[]);
    for (asked, body, expected) in [
        (3, response(3, &[]), Some(true)),
        (3, response(4, &[news(4)]), Some(true)),
        (3, response(5, &[news(4), news(5)]), Some(true)),
        (3, response(9, &[event(9, true, &[])]), Some(true)),
        (2, response(3, &[news(3)]), Some(true)),
        (2, response(4, &[news(3), news(4)]), Some(true)),
        // Events that it names are missing, or come that were not asked for.
        (3, response(4, &[]), Some(false)),
        (3, response(5, &[news(4)]), Some(false)),
        (3, response(3, &[news(3)]), Some(false)),
        (3, response(4, &[news(3), news(4)]), Some(false)),
        (2, response(3, &[]), Some(false)),
        (3, b"{\"updates\":[]}".to_vec(), Some(false)),
        (3, b"{}".to_vec(), Some(false)),
        // It has gone back, has a gap, or cannot be read.
        (3, response(2, &[]), None),
        (2, response(2, &[]), None),
        (3, response(6, &[news(6)]), None),
        (3, b"".to_vec(), None),
        (3, b"{\"index\":]".to_vec(), None),
    ] {
        let text = String::from_utf8_lossy(&body).into_owned();
        assert_eq!(is_current(asked, &body), expected, "asked {asked}: {text}");
    }
}
