//! Workers that start at the address of another one, on sockets.
use quartzdrift_lab::cluster_harness::{
    ClusterHarness, REQUEST_ID, SECOND_REQUEST_ID, SUCCEEDED, check_status, endpoint_event, endpoint_json,
    request_fields, send_request,
};
use quartzdrift_lab::platform::{Frontend, RequestFields, Worker};
use std::net::SocketAddr;

const LAB: &str = env!("CARGO_BIN_EXE_quartzdrift-lab");
/// Makes the second request class one with idempotency keys, of which workers of the same group drop repeats.
const KEYED: (&str, &str) = (
    "\"effect\":\"fragile\"",
    "\"effect\":\"dedup\",\"key-scope\":\"cell\",\"window-ns\":60000000000",
);

/// The entry of a worker in a group of the only zone.
fn entry(uid: &str, address: SocketAddr, group: u32, state: &str) -> String {
    endpoint_json(uid, address, state).replace(
        "\"boot_ms\"",
        &format!("\"az\":\"east\",\"pod_group\":{group},\"boot_ms\""),
    )
}

fn keyed_request(id: &str) -> RequestFields<'_> {
    RequestFields {
        idempotency_key: "0f3a",
        ..request_fields("/do/once", id)
    }
}

/// A keyed request at the only worker, of group 1, of a scheduler, and a fake worker whose address the test lists.
struct RunningRequest {
    cluster: ClusterHarness,
    frontend: Frontend,
    connection: usize,
    reused: Worker,
}

impl RunningRequest {
    fn start() -> RunningRequest {
        let mut cluster = ClusterHarness::with_config_changes(LAB, 1, &[KEYED]);
        let reused = Worker::start().unwrap();
        cluster.coordinator.next_poll();
        cluster.announce_endpoints(2, &[entry("w0", cluster.workers[0].address, 1, "Ready")]);
        let mut frontend = cluster.frontend();
        send_request(&mut frontend, 1, &keyed_request(REQUEST_ID));
        let (connection, ..) = cluster.workers[0].next_command();
        RunningRequest {
            cluster,
            frontend,
            connection,
            reused,
        }
    }

    /// Ends the connection of the request. It may run again in group 1 only, and no worker of that group is left, so
    /// it has to fail without a command to the reused address.
    fn assert_fails_without_retry(mut self, form: &str) {
        self.cluster.workers[0].close(self.connection);
        let reply = self.frontend.read_reply().unwrap();
        assert_eq!(reply.status, 500, "{form}");
        self.cluster.kill();
        let commands = self.reused.drain_commands();
        assert!(
            commands.is_empty(),
            "{form}: {} commands at the reused address",
            commands.len()
        );
    }
}

/// Guards against a keyed request that runs again at a worker of another group, because that worker started at
/// an address which the list still names for one of the first group.
#[test]
fn a_keyed_request_is_not_retried_at_an_address_that_a_worker_of_another_group_has_taken_over() {
    type Announce = fn(&ClusterHarness, &str, &str, &str);
    let forms: [(&str, Announce); 4] = [
        ("the new worker is announced", |cluster, _, _, new| {
            cluster.announce_endpoints(4, &[new.to_owned()]);
        }),
        ("a whole list names both", |cluster, first, old, new| {
            cluster.send_events(4, &endpoint_event(4, true, &[new, old, first].map(str::to_owned)));
        }),
        ("the old worker is announced again", |cluster, _, old, new| {
            cluster.announce_endpoints(4, &[new.to_owned()]);
            cluster.announce_endpoints(5, &[old.to_owned()]);
        }),
        (
            "a later whole list names the old worker last",
            |cluster, first, old, new| {
                cluster.announce_endpoints(4, &[new.to_owned()]);
                cluster.send_events(5, &endpoint_event(5, true, &[first, new, old].map(str::to_owned)));
            },
        ),
    ];
    for (form, announce) in forms {
        let request = RunningRequest::start();
        let address = request.reused.address;
        let first = entry("w0", request.cluster.workers[0].address, 1, "Ready");
        let old = entry("old", address, 1, "Ready");
        let new = entry("new", address, 2, "Ready");
        request.cluster.announce_endpoints(3, std::slice::from_ref(&old));
        announce(&request.cluster, &first, &old, &new);
        request.assert_fails_without_retry(form);
    }
}

/// Guards against a scope that follows the worker's present entry: the worker moves to another group while the
/// request runs, and the request runs again there.
#[test]
fn a_keyed_request_stays_in_the_group_that_its_worker_was_in_when_it_was_sent() {
    let request = RunningRequest::start();
    let moved = entry("w0", request.cluster.workers[0].address, 2, "Ready");
    let other = entry("other", request.reused.address, 2, "Ready");
    request.cluster.announce_endpoints(3, &[moved, other]);
    request.assert_fails_without_retry("the worker is listed in another group");
}

/// Guards against requests for the old worker that reach the new one: over connections that were opened before,
/// or as retries.
#[test]
fn a_new_worker_receives_requests_over_its_own_connections_only() {
    let mut cluster = ClusterHarness::start(LAB, 1);
    let mut frontend = cluster.frontend();
    send_request(&mut frontend, 1, &request_fields("/do/once", REQUEST_ID));
    let (connection, _, id, ..) = cluster.workers[0].next_command();
    cluster.workers[0].answer(connection, SUCCEEDED, id, b"old");
    assert_eq!(frontend.read_reply().unwrap().body, b"old");
    cluster.coordinator.next_poll();
    cluster.announce_endpoints(2, &[endpoint_json("new", cluster.workers[0].address, "Ready")]);
    assert_eq!(check_status(&mut frontend), 200);
    send_request(&mut frontend, 1, &request_fields("/do/once", SECOND_REQUEST_ID));
    let (own, _, id, ..) = cluster.workers[0].next_command();
    assert_ne!(own, connection, "the connection may lead to the old process");
    cluster.workers[0].answer(own, SUCCEEDED, id, b"new");
    assert_eq!(frontend.read_reply().unwrap().body, b"new");
}
