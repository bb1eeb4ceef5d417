//! What requests get that go wrong before the controller decides anything, frozen: whole
//! answers of the real listeners, heads included, and the paths that they know.

#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "common/raw_http.rs"]
mod raw_http;
#[path = "common/settings.rs"]
mod settings;

use finchwood::api::listeners::{listen, Listener};
use finchwood::api::responder::Responder;
use finchwood::api::routes::Request;
use finchwood::clock;
use finchwood::config::settings::Settings;
use fixtures::Fixtures;
use raw_http::{exchange, free_address};
use std::net::SocketAddr;

const REQUESTS: &str = include_str!("fixtures/wire-format/requests.txt");
const PEERS: &str = include_str!("fixtures/wire-format/peers.txt");

/// A listener that answers what it is asked with what it has understood.
fn start(listener: Listener) -> SocketAddr {
    let address = free_address();
    let mut settings = Settings::parse(settings::SETTINGS).expect("settings");
    (settings.client_listen, settings.internal_listen) = (address, address);
    listen(&settings, listener, answer).expect("it listens");
    address
}

fn answer(exchange: Request, responder: Responder) {
    let understood = match exchange {
        Request::Query(id) => return answer_query(&id, responder),
        // Dropped unanswered.
        Request::Cancel(id) if id == "wk-dropped" => return,
        Request::Cancel(id) => format!("withdraw {id}"),
        Request::Submit(spec) => format!("submit {}", spec.id),
        Request::HealthCheck => "up".into(),
        Request::Heartbeat {
            report,
            body,
            relayed,
        } => {
            format!(
                "report of {}, {} bytes, relayed {relayed}",
                report.machine,
                body.len()
            )
        }
        Request::Peer(envelope) => format!("message from {}", envelope.from),
        Request::RestartReport => "report of a restart".into(),
        Request::ShardMapReport => "report of shares".into(),
        Request::ShardMapPlan(plan) => format!("plan to empty {:?}", plan.drain),
    };
    responder.send(200, understood.into_bytes());
}

/// A job's id says what is answered.
fn answer_query(id: &str, responder: Responder) {
    match id
        .strip_prefix("wk-status-")
        .and_then(|status| status.parse().ok())
    {
        Some(status) => responder.send(status, b"{}".to_vec()),
        None if id == "wk-too-late" => {
            responder.send_until(200, b"{}".to_vec(), clock::now() - 1.0)
        }
        None => responder.retry_later(503, 7, "come again"),
    }
}

#[test]
fn answers_of_the_listeners_keep_their_bytes() {
    let fixtures = Fixtures::new(REQUESTS);
    for (suffix, side) in [(".front", Listener::Public), (".back", Listener::Internal)] {
        let address = start(side);
        for name in fixtures
            .lines()
            .filter_map(|(name, _)| name.strip_suffix(suffix))
        {
            let said = exchange(
                address,
                fixtures.text(&format!("{name}{suffix}")).as_bytes(),
            );
            fixtures.assert_text(&format!("{name}.answer"), &said);
        }
    }
    let mut message = fixtures.text("message.head").into_bytes();
    message.extend_from_slice(&Fixtures::new(PEERS).bytes("hello"));
    fixtures.assert_text(
        "message.answer",
        &exchange(start(Listener::Internal), &message),
    );
    fixtures.assert_all_used();
}
