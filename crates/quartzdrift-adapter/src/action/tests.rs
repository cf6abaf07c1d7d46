//! Checks the encoded line of each action byte for byte.
use super::encode;
use quartzdrift_scheduler::interface::{Action, RejectReason};
use std::time::Duration;

const WORKER: &str = "10.0.0.1:1";

fn encoded(action: &Action) -> String {
    let mut line = String::new();
    encode(&mut line, 3, action).unwrap();
    line
}

#[test]
fn actions_on_attempts_are_encoded() {
    let start = |timeout| Action::StartAttempt {
        request: 5,
        worker: WORKER.into(),
        timeout,
        send_by: None,
    };
    assert_eq!(encoded(&start(None)), "pass_on\ti=3\ttid=5\tworker=10.0.0.1:1\n");
    let limited = encoded(&start(Some(Duration::from_millis(2))));
    assert_eq!(
        limited,
        "pass_on\ti=3\ttid=5\tworker=10.0.0.1:1\tmax-wait-ns=2000000\n"
    );
    let cancel = Action::CancelAttempt {
        request: 5,
        attempt: 1,
    };
    assert_eq!(encoded(&cancel), "abort_attempt\ti=3\ttid=5\tseq-no=1\n");
}

#[test]
fn final_responses_are_encoded() {
    let reject = |retry_after| Action::Reject {
        request: 5,
        retry_after,
        reason: RejectReason::NoCapacity,
    };
    assert_eq!(encoded(&reject(None)), "push_back\ti=3\ttid=5\n");
    let timed = encoded(&reject(Some(Duration::from_millis(2))));
    assert_eq!(timed, "push_back\ti=3\ttid=5\tcool-down-ns=2000000\n");
    assert_eq!(
        encoded(&Action::Fail { request: 5 }),
        "drop_request\ti=3\ttid=5\n"
    );
}

#[test]
fn commands_to_workers_are_encoded() {
    let check = Action::CheckHealth {
        worker: WORKER.into(),
    };
    assert_eq!(encoded(&check), "ping\ti=3\tworker=10.0.0.1:1\n");
    let close = Action::CloseIdleConnections {
        worker: WORKER.into(),
    };
    assert_eq!(encoded(&close), "shut_idle\ti=3\tworker=10.0.0.1:1\n");
    let load = Action::Load {
        worker: WORKER.into(),
        function: "f".into(),
        copies: 1,
    };
    assert_eq!(
        encoded(&load),
        "load\ti=3\tworker=10.0.0.1:1\timage=f\tn-inst=1\n"
    );
    let unload = Action::Unload {
        worker: WORKER.into(),
        function: "f".into(),
    };
    assert_eq!(encoded(&unload), "unload\ti=3\tworker=10.0.0.1:1\timage=f\n");
}

#[test]
fn other_actions_are_encoded() {
    let timer = Action::SetTimer {
        delay: Duration::from_millis(100),
        name: "tick",
    };
    assert_eq!(encoded(&timer), "notify_me\ti=3\tdelay-ns=100000000\tmark=tick\n");
    let to_all = Action::SendToPeer {
        to: None,
        bytes: Vec::new(),
    };
    assert_eq!(encoded(&to_all), "share\ti=3\tdst=all\tbody=-\n");
    let to_one = Action::SendToPeer {
        to: Some(2),
        bytes: vec![0, 10, 255],
    };
    assert_eq!(encoded(&to_one), "share\ti=3\tdst=2\tbody=000aff\n");
    assert_eq!(
        encoded(&Action::WatchEndpoints { enabled: true }),
        "watch\ti=3\tactive=1\n"
    );
    assert_eq!(encoded(&Action::PollEndpoints), "snapshot\ti=3\n");
    let log = Action::Log {
        text: "a\tb\nc\rd".to_owned(),
    };
    assert_eq!(encoded(&log), "trace\ti=3\ttext=a b c d\n");
}
