//! Direct commands, relayed reports and messages between controllers, frozen as they are
//! sent.

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

const COMMANDS: &str = include_str!("fixtures/wire-format/commands.txt");

const PATIENCE_S: f64 = 20.0;

#[test]
fn what_is_sent_on_keeps_its_bytes() {
    let fixtures = Fixtures::new(COMMANDS);
    direct_commands(&fixtures);
    relayed_reports(&fixtures);
    messages(&fixtures);
    fixtures.assert_all_used();
}

/// Sends commands to a worker: its report, if it answered with one.
fn sent(fixtures: &Fixtures, name: &str) -> CommandResult {
    let recorder = Recorder::new(&[fixtures.payload(&format!("{name}.answer"))]);
    let (tell, done) = channel();
    let mut pool = CommandPool::new("direct", 1, PATIENCE_S, move |end| tell.send(end).is_ok());
    let commands = vec![Command::Stop {
        task: "wk-1/0".into(),
        attempt: 2,
        grace_s: 10.0,
    }];
    let direct = DirectCommand {
        machine: "m-1".into(),
        address: recorder.address.to_string().into(),
        body: CommandBatch {
            token: 41,
            session: 1,
            commands,
        },
        unverified: false,
    };
    pool.send(direct, clock::now() + PATIENCE_S)
        .expect("there is room");
    fixtures.assert_text(&format!("{name}.call"), &recorder.next_call());
    done.recv_timeout(Duration::from_secs_f64(PATIENCE_S))
        .expect("an end")
}

fn direct_commands(fixtures: &Fixtures) {
    for name in ["direct", "direct-refused"] {
        let report = sent(fixtures, name).response.expect("a report");
        assert_eq!(
            (&*report.machine, report.seq, report.tasks.len()),
            ("m-1", 88, 0)
        );
    }
    assert!(sent(fixtures, "direct-malformed").response.is_none());
}

/// What a worker gets whose report is passed on to `owner`, and until when that may be.
fn relayed(fixtures: &Fixtures, owner: SocketAddr, deadline: f64) -> String {
    let mut settings = Settings::parse(settings::SETTINGS).expect("settings");
    settings.client_listen = free_address();
    let way = start_relay_pool(owner, 1, PATIENCE_S);
    let pass_on = move |asked, responder| {
        if let Request::Heartbeat { body, .. } = asked {
            let _ = way.try_send(RelayedHeartbeat {
                body,
                responder,
                deadline,
            });
        }
    };
    listen(&settings, Listener::Public, pass_on).expect("it listens");
    exchange(
        settings.client_listen,
        fixtures.text("relay.report").as_bytes(),
    )
}

fn relayed_reports(fixtures: &Fixtures) {
    let later = clock::now() + 3.0 * PATIENCE_S;
    for name in ["relay", "relay-refused"] {
        let recorder = Recorder::new(&[fixtures.payload(&format!("{name}.answer"))]);
        fixtures.assert_text(
            &format!("{name}.passed-back"),
            &relayed(fixtures, recorder.address, later),
        );
        fixtures.assert_text(&format!("{name}.call"), &recorder.next_call());
    }
    fixtures.assert_text(
        "relay-unreachable.passed-back",
        &relayed(fixtures, free_address(), later),
    );
    fixtures.assert_text(
        "relay-too-late.passed-back",
        &relayed(fixtures, free_address(), clock::now() - 1.0),
    );
}

fn messages(fixtures: &Fixtures) {
    let recorder = Recorder::new(&[fixtures.payload("message.answer")]);
    let mut settings = Settings::parse(settings::SETTINGS).expect("settings");
    settings.members = vec![Member {
        node_name: "b".into(),
        zone: "w".into(),
        endpoint: recorder.address,
    }];
    PeerTransport::start(&settings, |_, _| true).send(Envelope {
        from: "a".into(),
        to: "b".into(),
        store_reachable: true,
        heard_peers: Vec::new(),
        unreachable_peers: Vec::new(),
        cancellation_notices: Vec::new(),
        message: PeerMessage::KeepAlive,
    });
    fixtures.assert_text("message.call", &recorder.next_call());
}
