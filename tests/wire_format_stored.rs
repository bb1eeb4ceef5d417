//! The keys and values of the state service, frozen, and the requests and answers in
//! which they go there and come from there.

#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "common/recorder.rs"]
mod recorder;
#[path = "common/settings.rs"]
mod settings;

use finchwood::cloud::{self, Answer, Ask};
use finchwood::finished::{Bits, Chunk};
use finchwood::jobs::{
    job_key, member_key, page_key, Epoch, JobRecord, Member, Mirror, RosterPage, RosterRecord,
    CATALOG_KEY, EPOCH_KEY, JOB_PREFIX, ROSTER_PREFIX, SHARES_KEY,
};
use finchwood::membership::{lease_actor, LeaseNews};
use finchwood::settings::Settings;
use finchwood::state::{Budget, CallError, Event, Op, Outcome, Store, PREFIX};
use finchwood::wire::{Catalog, JobSpec, MachineType, Rank, RentRequest, Shape};
use finchwood_shares::table::{ShareRange, ShareTable, StoredTable};
use fixtures::Fixtures;
use recorder::Recorder;
use serde_json::{json, Value};
use std::sync::mpsc::channel;
use std::time::Duration;

const STORED: &str = include_str!("fixtures/wire-format/stored.txt");
const CALLS: &str = include_str!("fixtures/wire-format/calls.txt");

fn spec(deadline_s: Option<f64>) -> JobSpec {
    JobSpec {
        id: "wk-1".into(),
        class: "train".into(),
        team: "t".into(),
        shape: Shape::Array,
        rank: Rank::Low,
        tasks: 5000,
        cpus: 2.0,
        gpus: 0.0,
        mem_gb: 1.0,
        image: "img-07".into(),
        image_gb: 6.2,
        types: deadline_s.map(|_| vec!["k".into()]),
        zone: deadline_s.map(|_| "e".into()),
        one_zone: false,
        scatter: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s,
    }
}

fn job(spec: Option<JobSpec>, cancelled_at_ms: Option<u64>, done: bool) -> JobRecord {
    JobRecord {
        spec: spec.map(Into::into),
        epoch: 3,
        at_ms: 1_764_652_800_000,
        tasks: 5000,
        cancelled: cancelled_at_ms.is_some(),
        done,
        cancelled_at_ms,
    }
}

fn epoch(shares: bool) -> Epoch {
    let members = [("a".to_string(), 7), ("b".to_string(), 8)]
        .into_iter()
        .collect();
    Epoch {
        n: 4,
        members,
        leader: "a".into(),
        shares,
    }
}

fn machine(up: bool, addr: Option<&str>) -> RosterRecord {
    RosterRecord {
        kind: "k".into(),
        zone: "e".into(),
        spot: true,
        up,
        at_ms: 7,
        addr: addr.map(Into::into),
    }
}

fn page(machines: &[(&str, Option<&str>)]) -> RosterPage {
    let machine = |(id, addr): &(&str, Option<&str>)| ((*id).into(), addr.map(Into::into));
    RosterPage {
        kind: "k".into(),
        zone: "w".into(),
        spot: true,
        at_ms: 9,
        machines: machines.iter().map(machine).collect(),
    }
}

fn catalog() -> Catalog {
    let kind = MachineType {
        name: "k".into(),
        cpus: 4.0,
        gpus: 0.0,
        mem_gb: 16.0,
        cache_gb: 9.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 20.0,
        zones: vec!["e".into(), "w".into()],
    };
    Catalog { types: vec![kind] }
}

fn table() -> ShareTable {
    let range = ShareRange {
        home: "a".into(),
        first: 16,
        last: u64::MAX,
    };
    ShareTable::default().moved(&range, "b")
}

#[test]
fn stored_values_keep_their_bytes() {
    let fixtures = Fixtures::new(STORED);
    fixtures.stored_both_ways("epoch", &epoch(true));
    fixtures.stored_both_ways("epoch.without-shares", &epoch(false));
    for (name, capability) in [
        ("member.shares", 2),
        ("member.gangs", 1),
        ("member.plain", 0),
    ] {
        fixtures.stored_both_ways(name, &Member { inc: 7, capability });
    }
    fixtures.stored_both_ways("member.shares", &Member::new(7, true));
    fixtures.stored_both_ways("member.gangs", &Member::of_this_version(7));
    fixtures.stored_both_ways("job", &job(Some(spec(Some(900.0))), None, false));
    fixtures.stored_both_ways("job.without-wishes", &job(Some(spec(None)), None, false));
    fixtures.stored_both_ways(
        "job.cancelled",
        &job(Some(spec(None)), Some(1_764_652_900_000), false),
    );
    fixtures.stored_both_ways("job.done", &job(None, None, true));
    let sparse: JobRecord = fixtures.read("job.without-optional-fields");
    assert_eq!(sparse, job(Some(spec(None)), None, false));
    fixtures.stored_both_ways("machine", &machine(true, Some("10.0.0.1:9000")));
    fixtures.stored_both_ways("machine.unused", &machine(false, None));
    let sparse: RosterRecord = fixtures.read("machine.without-optional-fields");
    assert_eq!(
        sparse,
        RosterRecord {
            at_ms: 0,
            ..machine(false, None)
        }
    );
    fixtures.stored_both_ways(
        "page",
        &page(&[
            ("m-2", None),
            ("m-3", Some("10.0.0.3:9000")),
            ("m-4", Some("")),
        ]),
    );
    fixtures.stored_both_ways("page.empty", &page(&[]));
    let sparse: RosterPage = fixtures.read("page.without-optional-fields");
    assert_eq!(
        sparse,
        RosterPage {
            at_ms: 0,
            ..page(&[])
        }
    );
    fixtures.stored_both_ways("catalog", &catalog());
    fixtures.stored_both_ways("shares", &table().stored());
    fixtures.stored_both_ways("shares.empty", &ShareTable::default().stored());
    assert_eq!(
        ShareTable::read(&fixtures.read::<StoredTable>("shares")).0,
        table()
    );
    let mut finished = Bits::default();
    for task in [0, 2, 9] {
        finished.add(task);
    }
    fixtures.same("finished", &json!(finished.hex(0, 12)).to_string());
    fixtures.all_used();
}

#[test]
fn keys_and_calls_keep_their_bytes() {
    let fixtures = Fixtures::new(CALLS);
    keys(&fixtures);
    calls_of_the_state_service(&fixtures);
    transactions(&fixtures);
    joining(&fixtures);
    calls_of_the_cloud(&fixtures);
    fixtures.all_used();
}

fn keys(fixtures: &Fixtures) {
    let keys = [
        ("key.epoch", EPOCH_KEY.to_string()),
        ("key.catalog", CATALOG_KEY.to_string()),
        ("key.shares", SHARES_KEY.to_string()),
        ("key.member", member_key("a")),
        ("key.job", job_key("wk-1")),
        ("key.page", page_key("fw-7-1.0")),
        ("key.finished", Chunk::Numbered(0).key("wk-1")),
        ("key.finished-from", Chunk::From(4096).key("wk-1")),
        ("key-prefix.all", PREFIX.to_string()),
        ("key-prefix.job", JOB_PREFIX.to_string()),
        ("key-prefix.page", ROSTER_PREFIX.to_string()),
    ];
    for (name, key) in &keys {
        fixtures.same(name, key);
    }
    let stored = Fixtures::new(STORED);
    let mut mirror = Mirror::new(8.0);
    let values = [
        "epoch",
        "catalog",
        "shares",
        "member.gangs",
        "job",
        "page",
        "finished",
        "finished",
        "machine",
    ];
    let names = keys
        .iter()
        .map(|(name, _)| *name)
        .take(8)
        .chain(["key.machine"]);
    for (at, (name, value)) in names.zip(values).enumerate() {
        mirror.put(
            fixtures.payload(name),
            stored.read::<Value>(value),
            1 + at as u64,
        );
    }
    assert!(mirror.unreadable.is_empty(), "{:?}", mirror.unreadable);
    assert_eq!(mirror.epoch, Some(epoch(true)));
    assert_eq!(mirror.catalog.as_deref(), Some(&catalog()));
    assert_eq!(mirror.shares, table());
    assert_eq!(mirror.members["a"].0, Member::of_this_version(7));
    assert_eq!(
        mirror.jobs["wk-1"].record,
        job(Some(spec(Some(900.0))), None, false)
    );
    assert_eq!(
        mirror.jobs["wk-1"].finished.iter().collect::<Vec<_>>(),
        [0, 2, 9, 4096, 4098, 4105]
    );
    let roster: Vec<(&str, bool)> = mirror
        .roster
        .iter()
        .map(|(id, (r, _))| (&**id, r.up))
        .collect();
    assert_eq!(
        roster,
        [("m-1", true), ("m-2", false), ("m-3", true), ("m-4", true)]
    );
    assert_eq!(mirror.roster["m-1"].0, machine(true, Some("10.0.0.1:9000")));
}

fn settings_with(place: &str, addr: std::net::SocketAddr) -> Settings {
    let text = settings::SETTINGS.replace(&format!("\"{place}\""), &format!("\"{addr}\""));
    Settings::parse(&text).expect("settings")
}

const STATE_PLACE: &str = "127.0.0.1:2";
const CLOUD_PLACE: &str = "127.0.0.1:1";

/// What one call of the state service gives, once it was sent as it was frozen.
fn with_state<T>(fixtures: &Fixtures, name: &str, ask: impl FnOnce(&Store) -> T) -> T {
    let recorder = Recorder::new(&[fixtures.payload(&format!("state.{name}.answer"))]);
    let given = ask(&Store::new(&settings_with(STATE_PLACE, recorder.addr)));
    fixtures.same(&format!("state.{name}.call"), &recorder.call());
    given
}

/// What the cloud gives.
fn with_cloud(fixtures: &Fixtures, name: &str, ask: Ask) -> Answer {
    let recorder = Recorder::new(&[fixtures.payload(&format!("cloud.{name}.answer"))]);
    let (tell, answers) = channel();
    let asks = cloud::start(&settings_with(CLOUD_PLACE, recorder.addr), move |answer| {
        tell.send(answer).is_ok()
    });
    asks.send(ask).expect("sent");
    let answer = answers.recv_timeout(PATIENCE).expect("an answer");
    fixtures.same(&format!("cloud.{name}.call"), &recorder.call());
    answer
}

const PATIENCE: Duration = Duration::from_secs(20);

fn calls_of_the_state_service(fixtures: &Fixtures) {
    let (entries, more, ring) =
        with_state(fixtures, "page", |store| store.page(None)).expect("a page");
    let entry = &entries[0];
    assert_eq!((entries.len(), more, ring), (1, true, 431));
    assert_eq!(
        (&*entry.key, &entry.value, entry.version),
        ("fw/s", &json!(5), 412)
    );
    let next = with_state(fixtures, "next-page", |store| store.page(Some("fw/s"))).expect("a page");
    assert_eq!((next.0.len(), next.1, next.2), (0, false, 432));
    let entry = with_state(fixtures, "get", |store| store.get("fw/m/a"))
        .expect("read")
        .expect("there");
    assert_eq!((&*entry.key, entry.version), ("fw/m/a", 412));
    assert!(
        with_state(fixtures, "get-missing", |store| store.get("fw/m/b"))
            .expect("read")
            .is_none()
    );
    let changes = with_state(fixtures, "changes", |store| store.changes(431)).expect("changes");
    let put = Event::Put {
        key: "fw/r/9".into(),
        value: json!(5),
        version: 433,
    };
    assert_eq!(
        changes,
        (
            433,
            vec![
                put,
                Event::Delete {
                    key: "fw/r/8".into(),
                    version: 432
                }
            ]
        )
    );
    let late = with_state(fixtures, "changes-too-old", |store| store.changes(1));
    assert!(matches!(late, Err(CallError::Status(410, _))));
    assert_eq!(
        with_state(fixtures, "lease", |store| store.lease(5.0)).expect("a lease"),
        7
    );
    assert!(with_state(fixtures, "renew", |store| store.renew(7)).expect("answered"));
    assert!(!with_state(fixtures, "renew-ended", |store| store.renew(7)).expect("answered"));
}

fn transactions(fixtures: &Fixtures) {
    let ops = [
        Op::Put {
            key: "fw/m/a".into(),
            value: json!(5),
            lease: Some(7),
        },
        Op::Put {
            key: "fw/r/1".into(),
            value: json!("x"),
            lease: None,
        },
        Op::Delete {
            key: "fw/r/2".into(),
        },
    ];
    let conditions = [("fw/m/a".to_string(), 0), ("fw/r/2".to_string(), 412)];
    let commit = |name: &str| with_state(fixtures, name, |store| store.commit(&conditions, &ops));
    assert_eq!(commit("commit"), Outcome::Done(432));
    assert_eq!(
        commit("commit-conflict"),
        Outcome::Conflict(vec!["fw/r/2".into()])
    );
    assert_eq!(commit("commit-malformed"), Outcome::Invalid);
    assert_eq!(commit("commit-too-much"), Outcome::TooMuch);
    assert_eq!(commit("commit-refused"), Outcome::Refused);
}

fn joining(fixtures: &Fixtures) {
    let steps = ["get", "lease", "commit"].map(|step| format!("join.{step}"));
    let answers: Vec<&str> = steps
        .iter()
        .map(|step| fixtures.payload(&format!("{step}.answer")))
        .collect();
    let recorder = Recorder::new(&answers);
    let settings = settings_with(STATE_PLACE, recorder.addr);
    let (tell, news) = channel();
    lease_actor(&settings, Budget::new(&settings), true, move |said| {
        let _ = tell.send(said);
        false
    });
    let said = news.recv_timeout(PATIENCE).expect("news");
    assert!(matches!(said, LeaseNews::Until { inc: 7, .. }));
    for step in steps {
        fixtures.same(&format!("{step}.call"), &recorder.call());
    }
}

fn calls_of_the_cloud(fixtures: &Fixtures) {
    let rental = RentRequest {
        request: "r-17".into(),
        kind: "k".into(),
        zone: "e".into(),
        spot: true,
        count: 12,
    };
    let rent = |name: &str| with_cloud(fixtures, name, Ask::Rent(rental.clone()));
    let answer = with_cloud(fixtures, "catalog", Ask::Catalog);
    assert!(matches!(answer, Answer::Catalog(known) if known == catalog()));
    let rented = rent("rent");
    assert!(
        matches!(rented, Answer::Rented { machines, .. } if machines == ["m-1".into(), "m-2".into()])
    );
    assert!(matches!(rent("rent-no-capacity"), Answer::NoCapacity(_)));
    assert!(matches!(rent("rent-malformed"), Answer::RentRefused(_)));
    assert!(matches!(rent("rent-trouble"), Answer::RentUnknown(_)));
    let deleted = with_cloud(
        fixtures,
        "delete",
        Ask::Delete(vec!["m-1".into(), "m-2".into()]),
    );
    assert!(matches!(deleted, Answer::Deleted(machines) if machines.len() == 2));
    let Answer::List { machines, .. } = with_cloud(fixtures, "list", Ask::List) else {
        panic!("no list")
    };
    assert_eq!(
        (&*machines[0].id, &*machines[0].state, machines[0].age_s),
        ("m-1", "running", 61.5)
    );
}
