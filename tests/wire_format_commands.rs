//! The HTTP requests with which a controller sends direct commands, relays heartbeats and
//! sends messages to other controllers, compared with the fixtures in
//! `fixtures/wire-format/`.

#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "common/raw_http.rs"]
mod raw_http;
#[path = "common/recorder.rs"]
mod recorder;
#[path = "common/settings.rs"]
mod settings;

use finchwood::api::command_pool::{CommandPool, CommandResult};
use finchwood::api::listeners::{listen, Listener};
use finchwood::api::relay_pool::{start_relay_pool, RelayedHeartbeat};
use finchwood::api::routes::Request;
use finchwood::clock;
use finchwood::cluster::peer::{Envelope, PeerMessage, PeerTransport};
use finchwood::config::settings::{Member, Settings};
use finchwood::shard::DirectCommand;
use finchwood::wire::{Command, CommandBatch};
use fixtures::Fixtures;
use raw_http::{exchange, free_address};
use recorder::Recorder;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::time::Duration;

const SENT_REQUESTS: &str = include_str!("fixtures/wire-format/commands.txt");

/// The time that a response may take, in seconds.
const RESPONSE_TIMEOUT_S: f64 = 20.0;

#[test]
fn sent_requests_match_the_fixtures() {
    let fixtures = Fixtures::new(SENT_REQUESTS);
    check_direct_commands(&fixtures);
    check_relayed_heartbeats(&fixtures);
    check_peer_messages(&fixtures);
    fixtures.assert_all_used();
}

/// Sends a direct command to a worker that responds as in a fixture, and checks that the
/// request matches its fixture. Returns the result.
fn send_command(fixtures: &Fixtures, name: &str) -> CommandResult {
    let recorder = Recorder::new(&[fixtures.payload(&format!("{name}.answer"))]);
    let (result_sender, results) = channel();
    let mut pool = CommandPool::new("direct", 1, RESPONSE_TIMEOUT_S, move |result| {
        result_sender.send(result).is_ok()
    });
    let commands = vec![Command::Stop {
        task: "wk-1/0".into(),
        attempt: 2,
        grace_s: 10.0,
    }];
    let command = DirectCommand {
        machine: "m-1".into(),
        address: recorder.address.to_string().into(),
        body: CommandBatch {
            token: 41,
            session: 1,
            commands,
        },
        unverified: false,
    };
    pool.send(command, clock::now() + RESPONSE_TIMEOUT_S)
        .expect("the pool has free capacity");
    fixtures.assert_text(&format!("{name}.call"), &recorder.next_call());
    results
        .recv_timeout(Duration::from_secs_f64(RESPONSE_TIMEOUT_S))
        .expect("a result")
}

fn check_direct_commands(fixtures: &Fixtures) {
    for name in ["direct", "direct-refused"] {
        let heartbeat = send_command(fixtures, name)
            .response
            .expect("a heartbeat in the response");
        assert_eq!(
            (&*heartbeat.machine, heartbeat.seq, heartbeat.tasks.len()),
            ("m-1", 88, 0)
        );
    }
    assert!(send_command(fixtures, "direct-malformed")
        .response
        .is_none());
}

/// Sends a heartbeat to a listener that relays it to the controller at `owner`. `deadline` is
/// the time at which the worker stops waiting. Returns the response that the worker gets.
fn relay_heartbeat(fixtures: &Fixtures, owner: SocketAddr, deadline: f64) -> String {
    let mut settings = Settings::parse(settings::SETTINGS).expect("valid settings");
    settings.client_listen = free_address();
    let relay_queue = start_relay_pool(owner, 1, RESPONSE_TIMEOUT_S);
    let relay = move |request, responder| {
        if let Request::Heartbeat { body, .. } = request {
            let _ = relay_queue.try_send(RelayedHeartbeat {
                body,
                responder,
                deadline,
            });
        }
    };
    listen(&settings, Listener::Public, relay).expect("the address can be bound");
    exchange(
        settings.client_listen,
        fixtures.text("relay.report").as_bytes(),
    )
}

fn check_relayed_heartbeats(fixtures: &Fixtures) {
    let deadline = clock::now() + 3.0 * RESPONSE_TIMEOUT_S;
    for name in ["relay", "relay-refused"] {
        let recorder = Recorder::new(&[fixtures.payload(&format!("{name}.answer"))]);
        fixtures.assert_text(
            &format!("{name}.passed-back"),
            &relay_heartbeat(fixtures, recorder.address, deadline),
        );
        fixtures.assert_text(&format!("{name}.call"), &recorder.next_call());
    }
    fixtures.assert_text(
        "relay-unreachable.passed-back",
        &relay_heartbeat(fixtures, free_address(), deadline),
    );
    fixtures.assert_text(
        "relay-too-late.passed-back",
        &relay_heartbeat(fixtures, free_address(), clock::now() - 1.0),
    );
}

fn check_peer_messages(fixtures: &Fixtures) {
    let recorder = Recorder::new(&[fixtures.payload("message.answer")]);
    let mut settings = Settings::parse(settings::SETTINGS).expect("valid settings");
    settings.members = vec![Member {
        node_name: "b".into(),
        zone: "w".into(),
        endpoint: recorder.address,
    }];
    PeerTransport::start(&settings, |_, _| true).send(Envelope {
        from: "a".into(),
        to: "b".into(),
        store_reachable: true,
        peers_with_store_access: Vec::new(),
        unreachable_peers: Vec::new(),
        cancellation_notices: Vec::new(),
        message: PeerMessage::KeepAlive,
    });
    fixtures.assert_text("message.call", &recorder.next_call());
}
