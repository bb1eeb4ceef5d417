//! The responses of the listeners to requests that are refused before they reach the
//! controller, and the routes of both listeners, compared with the fixtures in
//! `fixtures/wire-format/`: whole HTTP responses, including the headers.

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

const LISTENER_REQUESTS: &str = include_str!("fixtures/wire-format/requests.txt");
const PEER_MESSAGES: &str = include_str!("fixtures/wire-format/peers.txt");

/// Starts a listener that responds to each request with a description of how it was parsed.
fn start_listener(listener: Listener) -> SocketAddr {
    let address = free_address();
    let mut settings = Settings::parse(settings::SETTINGS).expect("valid settings");
    (settings.client_listen, settings.internal_listen) = (address, address);
    listen(&settings, listener, respond).expect("the address can be bound");
    address
}

fn respond(request: Request, responder: Responder) {
    let description = match request {
        Request::Query(id) => return respond_to_query(&id, responder),
        // The responder is dropped without a response.
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
    responder.send(200, description.into_bytes());
}

/// Sends the kind of response that the job's id names: a given status, a response whose
/// deadline has passed, or else a refusal with a `Retry-After` header.
fn respond_to_query(id: &str, responder: Responder) {
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
fn responses_of_the_listeners_match_the_fixtures() {
    let fixtures = Fixtures::new(LISTENER_REQUESTS);
    for (suffix, listener) in [(".front", Listener::Public), (".back", Listener::Internal)] {
        let address = start_listener(listener);
        for name in fixtures
            .lines()
            .filter_map(|(name, _)| name.strip_suffix(suffix))
        {
            let response = exchange(
                address,
                fixtures.text(&format!("{name}{suffix}")).as_bytes(),
            );
            fixtures.assert_text(&format!("{name}.answer"), &response);
        }
    }
    let mut message = fixtures.text("message.head").into_bytes();
    message.extend_from_slice(&Fixtures::new(PEER_MESSAGES).bytes("hello"));
    fixtures.assert_text(
        "message.answer",
        &exchange(start_listener(Listener::Internal), &message),
    );
    fixtures.assert_all_used();
}
