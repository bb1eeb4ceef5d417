//! The responses of a running controller to users, workers, other controllers and operators,
//! compared with the fixtures in `fixtures/wire-format/`: accepted jobs, and every refusal
//! that does not depend on timing.

mod common;
#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "common/raw_http.rs"]
mod raw_http;

use common::cluster::{wait_until, Cluster, ClusterOptions};
use finchwood::cluster::membership::owner_by_hash;
use fixtures::Fixtures;
use raw_http::exchange;
use serde_json::{json, Value};

const CONTROLLER_RESPONSES: &str = include_str!("fixtures/wire-format/controller.txt");

/// Sends the request of a fixture to a controller's public listener. Returns the response.
fn send_public(cluster: &Cluster, index: usize, fixtures: &Fixtures, name: &str) -> String {
    exchange(
        cluster.client_addresses[index],
        fixtures.text(&format!("{name}.request")).as_bytes(),
    )
}

/// Checks that the first controller's response to the request of a fixture matches the fixture.
fn check_response(cluster: &Cluster, fixtures: &Fixtures, name: &str) {
    fixtures.assert_text(
        &format!("{name}.answer"),
        &send_public(cluster, 0, fixtures, name),
    );
}

/// Waits until a controller responds to the request of a fixture with the status in the
/// fixture.
fn wait_for_status(cluster: &Cluster, index: usize, fixtures: &Fixtures, name: &str) {
    let status = fixtures.payload(&format!("{name}.status"));
    wait_until(&format!("{name}: no response with {status}"), || {
        send_public(cluster, index, fixtures, name).starts_with(status)
    });
}

/// Posts the body of a fixture to a controller's internal listener, as another controller or
/// an operator does. Returns the status and body of the response.
fn post_internal(cluster: &Cluster, index: usize, fixtures: &Fixtures, name: &str) -> String {
    let body: Value = fixtures.read(&format!("{name}.body"));
    let (status, text) =
        cluster.operator_post(index, fixtures.payload(&format!("{name}.path")), &body);
    format!("{status} {text}")
}

#[test]
fn responses_of_a_controller_match_the_fixtures() {
    let fixtures = Fixtures::new(CONTROLLER_RESPONSES);
    let options = ClusterOptions {
        report_s: 3.0,
        lease_s: 20,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start_with(2, "wire-format", &Default::default(), options);
    for index in [0, 1] {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200);
    }
    check_response(&cluster, &fixtures, "up");
    // After this, the first controller has the catalog and both controllers are members.
    wait_for_status(&cluster, 0, &fixtures, "unknown-team");
    wait_for_status(&cluster, 0, &fixtures, "beat-to-another");
    check_user_requests(&cluster, &fixtures);
    check_heartbeats(&cluster, &fixtures);
    check_plans(&cluster, &fixtures);
    check_store_outage(&cluster, &fixtures);
    fixtures.assert_all_used();
}

/// Checks the responses to users: refused, accepted, queried and cancelled jobs, and a job
/// whose stored record is invalid.
fn check_user_requests(cluster: &Cluster, fixtures: &Fixtures) {
    let refusals = [
        "unknown-team",
        "fits-nowhere",
        "two-zones-in-one",
        "over-the-limit",
        "too-long",
    ];
    for name in refusals
        .into_iter()
        .chain(["unknown-job", "unknown-job-withdrawn"])
    {
        check_response(cluster, fixtures, name);
    }
    for name in [
        "accepted",
        "accepted-again",
        "pending",
        "withdrawn",
        "withdrawn-again",
        "cancelled",
    ] {
        check_response(cluster, fixtures, name);
    }
    cluster.write_to_store(fixtures.payload("unreadable.key"), json!(5));
    check_response(cluster, fixtures, "unreadable");
}

/// Checks the responses of the first controller to heartbeats of machines that the other one
/// owns, and to a heartbeat that is older than the last one of its machine.
fn check_heartbeats(cluster: &Cluster, fixtures: &Fixtures) {
    let members = ["n0", "n1"]
        .map(|name| (name.to_string(), 1))
        .into_iter()
        .collect();
    assert_eq!(
        owner_by_hash(&members, "m-a"),
        Some("n0"),
        "the first controller does not own m-a"
    );
    for machine in ["m-b", "m-c"] {
        assert_eq!(
            owner_by_hash(&members, machine),
            Some("n1"),
            "the second controller does not own {machine}"
        );
    }
    fixtures.assert_text(
        "relay-to-another.answer",
        &post_internal(cluster, 0, fixtures, "relay-to-another"),
    );
    check_response(cluster, fixtures, "first-beat-to-another");
    send_public(cluster, 0, fixtures, "beat");
    check_response(cluster, fixtures, "beat-of-before");
}

/// Checks that both the leader and the follower refuse a plan.
fn check_plans(cluster: &Cluster, fixtures: &Fixtures) {
    // The controller that joined first leads; that may be either of the two.
    let follower_response = |leader| {
        fixtures
            .payload("plan.answer-of-the-follower")
            .replace("LEADER", leader)
    };
    let leader_response = fixtures.payload("plan.answer-of-the-leader").to_string();
    let first_leads = [leader_response.clone(), follower_response("n0")];
    let second_leads = [follower_response("n1"), leader_response];
    wait_until("the refusals of the plan do not match the fixtures", || {
        let responses = [0, 1].map(|index| post_internal(cluster, index, fixtures, "plan"));
        responses == first_leads || responses == second_leads
    });
}

/// Checks the responses while the key-value store is unreachable.
fn check_store_outage(cluster: &Cluster, fixtures: &Fixtures) {
    cluster.set_store_outage(true);
    wait_for_status(cluster, 0, fixtures, "up-in-an-outage");
    for name in [
        "up-in-an-outage",
        "submitted-in-an-outage",
        "asked-in-an-outage",
    ] {
        check_response(cluster, fixtures, name);
    }
    // The responses to heartbeats do not change until the controller's own lease has expired.
    let refusal = fixtures.text("beat-in-an-outage.answer");
    wait_until("no refusal of heartbeats after the lease expired", || {
        send_public(cluster, 0, fixtures, "beat-in-an-outage") == refusal
    });
}
