//! What a running controller answers to users, workers and operators, frozen: accepted
//! jobs, and every refusal that doesn't hang on chance.

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

const CONTROLLER: &str = include_str!("fixtures/wire-format/controller.txt");

/// What a node says to a user or worker who asks as it was frozen.
fn said(cluster: &Cluster, node: usize, fixtures: &Fixtures, name: &str) -> String {
    exchange(
        cluster.client_addresses[node],
        fixtures.text(&format!("{name}.request")).as_bytes(),
    )
}

fn compare(cluster: &Cluster, fixtures: &Fixtures, name: &str) {
    fixtures.assert_text(&format!("{name}.answer"), &said(cluster, 0, fixtures, name));
}

/// Waits until a node answers with the frozen status.
fn wait_for(cluster: &Cluster, node: usize, fixtures: &Fixtures, name: &str) {
    let status = fixtures.payload(&format!("{name}.status"));
    wait_until(name, || {
        said(cluster, node, fixtures, name).starts_with(status)
    });
}

/// What a node says to another controller, or to an operator.
fn told(cluster: &Cluster, node: usize, fixtures: &Fixtures, name: &str) -> String {
    let body: Value = fixtures.read(&format!("{name}.body"));
    let (status, text) =
        cluster.operator_post(node, fixtures.payload(&format!("{name}.path")), &body);
    format!("{status} {text}")
}

#[test]
fn answers_of_a_controller_keep_their_bytes() {
    let fixtures = Fixtures::new(CONTROLLER);
    let options = ClusterOptions {
        report_s: 3.0,
        lease_s: 20,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start_with(2, "wire-format", &Default::default(), options);
    for node in [0, 1] {
        cluster.request_until(node, "GET", "/up", None, |status, _| status == 200);
    }
    compare(&cluster, &fixtures, "up");
    // Both are members, and the catalog is known.
    wait_for(&cluster, 0, &fixtures, "unknown-team");
    wait_for(&cluster, 0, &fixtures, "beat-to-another");
    users(&cluster, &fixtures);
    workers(&cluster, &fixtures);
    operators(&cluster, &fixtures);
    outage(&cluster, &fixtures);
    fixtures.assert_all_used();
}

fn users(cluster: &Cluster, fixtures: &Fixtures) {
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
        compare(cluster, fixtures, name);
    }
    for name in [
        "accepted",
        "accepted-again",
        "pending",
        "withdrawn",
        "withdrawn-again",
        "cancelled",
    ] {
        compare(cluster, fixtures, name);
    }
    cluster.write_to_store(fixtures.payload("unreadable.key"), json!(5));
    compare(cluster, fixtures, "unreadable");
}

fn workers(cluster: &Cluster, fixtures: &Fixtures) {
    let members = ["n0", "n1"]
        .map(|name| (name.to_string(), 1))
        .into_iter()
        .collect();
    assert_eq!(
        owner_by_hash(&members, "m-a"),
        Some("n0"),
        "the first node's own"
    );
    for machine in ["m-b", "m-c"] {
        assert_eq!(
            owner_by_hash(&members, machine),
            Some("n1"),
            "the other node's"
        );
    }
    fixtures.assert_text(
        "relay-to-another.answer",
        &told(cluster, 0, fixtures, "relay-to-another"),
    );
    compare(cluster, fixtures, "first-beat-to-another");
    said(cluster, 0, fixtures, "beat");
    compare(cluster, fixtures, "beat-of-before");
}

fn operators(cluster: &Cluster, fixtures: &Fixtures) {
    // The leader is whoever was there first.
    let of_follower = |leader| {
        fixtures
            .payload("plan.answer-of-the-follower")
            .replace("LEADER", leader)
    };
    let of_leader = fixtures.payload("plan.answer-of-the-leader").to_string();
    let first_leads = [of_leader.clone(), of_follower("n0")];
    let second_leads = [of_follower("n1"), of_leader];
    wait_until("both refuse plans as they did", || {
        let answers = [0, 1].map(|node| told(cluster, node, fixtures, "plan"));
        answers == first_leads || answers == second_leads
    });
}

fn outage(cluster: &Cluster, fixtures: &Fixtures) {
    cluster.set_store_outage(true);
    wait_for(cluster, 0, fixtures, "up-in-an-outage");
    for name in [
        "up-in-an-outage",
        "submitted-in-an-outage",
        "asked-in-an-outage",
    ] {
        compare(cluster, fixtures, name);
    }
    // Answered as before until the node's own lease is past.
    let fenced = fixtures.text("beat-in-an-outage.answer");
    wait_until("fenced", || {
        said(cluster, 0, fixtures, "beat-in-an-outage") == fenced
    });
}
