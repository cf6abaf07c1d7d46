use super::{AcceptedEndpoints, ListDecision};
use crate::endpoint::DiscoveredEndpoint;
use crate::list::{EndpointError, EndpointList};
use quartzdrift_scheduler::interface::EndpointState;

fn list(names: &[&str]) -> EndpointList {
    EndpointList {
        workers: names.iter().map(|name| DiscoveredEndpoint::up(name)).collect(),
        rejected: Vec::new(),
    }
}

fn accepted(names: &[&str]) -> AcceptedEndpoints {
    let mut accepted = AcceptedEndpoints::default();
    accepted.accept_full(list(names));
    accepted
}

#[test]
fn a_single_missing_worker_is_removed_at_once() {
    let mut accepted = accepted(&["a", "b", "c", "d"]);
    assert!(matches!(
        accepted.accept_full(list(&["a", "b", "c"])),
        ListDecision::Full(_)
    ));
    assert!(!accepted.contains("d"));
}

#[test]
fn the_third_consecutive_empty_list_is_accepted() {
    let mut accepted = accepted(&["a", "b"]);
    assert!(matches!(
        accepted.accept_full(list(&[])),
        ListDecision::Partial { .. }
    ));
    assert!(matches!(
        accepted.accept_full(list(&[])),
        ListDecision::Partial { .. }
    ));
    assert!(accepted.contains("a"));
    assert!(matches!(accepted.accept_full(list(&[])), ListDecision::Full(_)));
    assert!(!accepted.contains("a"));
}

#[test]
fn workers_from_before_an_unclean_stop_do_not_make_a_list_suspect() {
    for partial in [&[][..], &["a"]] {
        let mut accepted = accepted(&["a", "b", "c", "d"]);
        accepted.set_from_unclean_stop(true);
        assert!(matches!(
            accepted.accept_full(list(partial)),
            ListDecision::Full(_)
        ));
        assert!(!accepted.contains("b"));
        // The exemption applies to one list only.
        accepted.accept_full(list(&["a", "b", "c", "d"]));
        assert!(matches!(
            accepted.accept_full(list(partial)),
            ListDecision::Partial { .. }
        ));
    }
}

#[test]
fn a_different_partial_list_restarts_the_count_and_its_drains_are_accepted() {
    let mut accepted = accepted(&["a", "b", "c", "d"]);
    let mut partial = list(&["a"]);
    partial.workers[0].state = EndpointState::Draining;
    let ListDecision::Partial { workers, .. } = accepted.accept_full(partial) else {
        panic!("the partial list was accepted as full")
    };
    assert_eq!(workers[0].state, EndpointState::Draining);
    accepted.accept_full(list(&["a"]));
    accepted.accept_full(list(&["b"]));
    assert!(accepted.contains("c"));
}

#[test]
fn missing_workers_are_kept_while_targets_are_invalid() {
    let mut accepted = accepted(&["a", "b", "c", "d"]);
    let list_with_invalid_target = EndpointList {
        rejected: vec![EndpointError::Duplicate("x".into())],
        ..list(&["a", "b", "c"])
    };
    assert!(matches!(
        accepted.accept_full(list_with_invalid_target),
        ListDecision::Partial { .. }
    ));
    assert!(accepted.contains("d"));
}
