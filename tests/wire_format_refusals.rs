//! What requests get that go wrong before the controller decides anything, frozen: whole
//! answers of the real listeners, heads included, and the paths that they know.

#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "common/raw_http.rs"]
mod raw_http;
#[path = "common/settings.rs"]
mod settings;

use finchwood::clock;
use finchwood::http::{listen, Ask, Reply};
use finchwood::settings::Settings;
use fixtures::Fixtures;
use raw_http::{ask, free_address};
use std::net::SocketAddr;

const REQUESTS: &str = include_str!("fixtures/wire-format/requests.txt");
const PEERS: &str = include_str!("fixtures/wire-format/peers.txt");

/// A listener that answers what it is asked with what it has understood.
fn listener(back: bool) -> SocketAddr {
    let addr = free_address();
    let mut settings = Settings::parse(settings::SETTINGS).expect("settings");
    (settings.client_listen, settings.back) = (addr, addr);
    listen(&settings, back, answer).expect("it listens");
    addr
}

fn answer(ask: Ask, reply: Reply) {
    let understood = match ask {
        Ask::Query(id) => return answer_query(&id, reply),
        // Dropped unanswered.
        Ask::Withdraw(id) if id == "wk-dropped" => return,
        Ask::Withdraw(id) => format!("withdraw {id}"),
        Ask::Submit(spec) => format!("submit {}", spec.id),
        Ask::Up => "up".into(),
        Ask::Report {
            report,
            raw,
            relayed,
        } => {
            format!(
                "report of {}, {} bytes, relayed {relayed}",
                report.machine,
                raw.len()
            )
        }
        Ask::Peer(envelope) => format!("message from {}", envelope.from),
        Ask::RestartReport => "report of a restart".into(),
        Ask::SharesReport => "report of shares".into(),
        Ask::SharesPlan(plan) => format!("plan to empty {:?}", plan.drain),
    };
    reply.send(200, understood.into_bytes());
}

/// A job's id says what is answered.
fn answer_query(id: &str, reply: Reply) {
    match id
        .strip_prefix("wk-status-")
        .and_then(|status| status.parse().ok())
    {
        Some(status) => reply.send(status, b"{}".to_vec()),
        None if id == "wk-too-late" => reply.send_until(200, b"{}".to_vec(), clock::now() - 1.0),
        None => reply.later(503, 7, "come again"),
    }
}

#[test]
fn answers_of_the_listeners_keep_their_bytes() {
    let fixtures = Fixtures::new(REQUESTS);
    for (kind, back) in [(".front", false), (".back", true)] {
        let addr = listener(back);
        for name in fixtures
            .lines()
            .filter_map(|(name, _)| name.strip_suffix(kind))
        {
            let said = ask(addr, fixtures.text(&format!("{name}{kind}")).as_bytes());
            fixtures.same(&format!("{name}.answer"), &said);
        }
    }
    let mut message = fixtures.text("message.head").into_bytes();
    message.extend_from_slice(&Fixtures::new(PEERS).bytes("hello"));
    fixtures.same("message.answer", &ask(listener(true), &message));
    fixtures.all_used();
}
