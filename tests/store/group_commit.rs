//! Which conditional writes share a transaction.

use crate::settings_text::SETTINGS;
use crossbeam::channel::{bounded, unbounded};
use finchwood::config::settings::Settings;
use finchwood::store::registry_pages::write_conditions;
use finchwood::store::{ConditionalWrite, GroupCommitter, RateBudget, WriteClass, WriteOp};
use serde_json::{json, Value};

/// The number of writes that occupy the committer's threads, each with a transaction, while the
/// others are queued.
const FIRST_WRITES: usize = 2;

fn page_write(key: &str, revision: u64) -> ConditionalWrite<String> {
    ConditionalWrite {
        conditions: write_conditions(key, revision, 7),
        ops: vec![WriteOp::Put {
            key: key.into(),
            value: json!({"m": {}}),
            lease: None,
        }],
        deadline: f64::INFINITY,
        purpose: key.into(),
    }
}

/// Commits the writes and returns the keys that each transaction changes. The stand-in holds back
/// its answers until all writes are queued. Their outcomes don't matter here: on a busy machine
/// an answer may come too late.
fn transactions(writes: Vec<ConditionalWrite<String>>) -> Vec<Vec<String>> {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let address = server
        .server_addr()
        .to_ip()
        .expect("an address")
        .to_string();
    let (bodies, received) = unbounded::<Value>();
    let (release, released) = bounded::<()>(0);
    std::thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let (bodies, released) = (bodies.clone(), released.clone());
            std::thread::spawn(move || {
                let body = serde_json::from_reader(request.as_reader()).expect("JSON");
                let _ = bodies.send(body);
                // Returns once the sender is dropped.
                let _ = released.recv();
                let _ = request.respond(tiny_http::Response::from_string(r#"{"ring":9}"#));
            });
        }
    });
    let text = SETTINGS.replace("127.0.0.1:2", &address);
    let settings = Settings::parse(&text).expect("valid settings");
    let (outcomes, completed) = unbounded();
    let on_outcome = move |key: String, _| outcomes.send(key).is_ok();
    let committer = GroupCommitter::start(&settings, RateBudget::new(&settings), on_outcome);
    let mut bodies = Vec::new();
    let count = writes.len();
    for (number, write) in writes.into_iter().enumerate() {
        assert!(committer.send(WriteClass::Bulk, write).is_ok());
        if number < FIRST_WRITES {
            bodies.push(received.recv().expect("a transaction"));
        }
    }
    drop(release);
    for _ in 0..count {
        completed.recv().expect("an outcome");
    }
    bodies.extend(received.try_iter());
    let keys = |body: Value| {
        let writes = body["writes"].as_array().cloned().unwrap_or_default();
        writes
            .iter()
            .map(|write| write["put"].as_str().unwrap_or_default().to_string())
            .collect()
    };
    bodies.into_iter().map(keys).collect()
}

/// Guards against a transaction for each registry page, although all have the same condition on
/// the epoch.
#[test]
fn writes_that_have_a_condition_in_common_share_a_transaction() {
    let writes = (0..6).map(|number| page_write(&format!("fw/r/{number}"), 3));
    let transactions = transactions(writes.collect());
    assert!(
        transactions.iter().any(|keys| keys.len() > 1),
        "each write has its own transaction: {transactions:?}"
    );
    assert_eq!(transactions.iter().flatten().count(), 6);
}

/// Guards against a lost update: of two writes of one key under the same revision, only one may
/// be carried out.
#[test]
fn writes_of_one_key_never_share_a_transaction() {
    let writes = (0..6).map(|number| page_write(&format!("fw/r/{}", number % 3), 3));
    for mut keys in transactions(writes.collect()) {
        let count = keys.len();
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len(), count, "one key is written twice");
    }
}
