//! The keys and values of the key-value store, frozen, and the requests and answers in
//! which they go there and come from there.

#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "common/recorder.rs"]
mod recorder;
#[path = "common/settings.rs"]
mod settings;

use finchwood::autoscaler::cloud::{self, CloudRequest, CloudResponse};
use finchwood::cluster::member_lease::{start_lease_actor, LeaseEvent};
use finchwood::config::settings::Settings;
use finchwood::finished::{Chunk, TaskSet};
use finchwood::store::cache::StoreCache;
use finchwood::store::keys::{
    job_key, member_key, page_key, CATALOG_KEY, EPOCH_KEY, JOB_PREFIX, KEY_PREFIX, REGISTRY_PREFIX,
    SHARD_MAP_KEY,
};
use finchwood::store::records::{Epoch, JobRecord, MachineRecord, MemberRecord, RegistryPage};
use finchwood::store::{
    CallError, CommitOutcome, Condition, KeyChange, KeyChanges, RateBudget, StoreClient, WriteOp,
};
use finchwood::wire::{Catalog, JobKind, JobSpec, MachineType, Priority, RentalRequest};
use finchwood_sharding::shard_map::{HashRange, ShardMap, StoredShardMap};
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
        job_kind: JobKind::Array,
        priority: Priority::Low,
        task_count: 5000,
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
        accepted_at_ms: 1_764_652_800_000,
        task_count: 5000,
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
        number: 4,
        members,
        leader: "a".into(),
        uses_shard_map: shares,
    }
}

fn machine(up: bool, address: Option<&str>) -> MachineRecord {
    MachineRecord {
        machine_type: "k".into(),
        zone: "e".into(),
        spot: true,
        in_use: up,
        rented_at_ms: 7,
        address: address.map(Into::into),
    }
}

fn page(machines: &[(&str, Option<&str>)]) -> RegistryPage {
    let machine = |(id, address): &(&str, Option<&str>)| ((*id).into(), address.map(Into::into));
    RegistryPage {
        machine_type: "k".into(),
        zone: "w".into(),
        spot: true,
        rented_at_ms: 9,
        machines: machines.iter().map(machine).collect(),
    }
}

fn catalog() -> Catalog {
    let machine_type = MachineType {
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
    Catalog {
        types: vec![machine_type],
    }
}

fn table() -> ShardMap {
    let range = HashRange {
        hash_owner: "a".into(),
        first: 16,
        last: u64::MAX,
    };
    ShardMap::default().with_owner(&range, "b")
}

#[test]
fn stored_values_keep_their_bytes() {
    let fixtures = Fixtures::new(STORED);
    fixtures.assert_stored_json_round_trip("epoch", &epoch(true));
    fixtures.assert_stored_json_round_trip("epoch.without-shares", &epoch(false));
    for (name, capability) in [
        ("member.shares", 2),
        ("member.gangs", 1),
        ("member.plain", 0),
    ] {
        fixtures.assert_stored_json_round_trip(
            name,
            &MemberRecord {
                incarnation: 7,
                capability,
            },
        );
    }
    fixtures.assert_stored_json_round_trip("member.shares", &MemberRecord::new(7, true));
    fixtures.assert_stored_json_round_trip("member.gangs", &MemberRecord::of_this_version(7));
    fixtures.assert_stored_json_round_trip("job", &job(Some(spec(Some(900.0))), None, false));
    fixtures
        .assert_stored_json_round_trip("job.without-wishes", &job(Some(spec(None)), None, false));
    fixtures.assert_stored_json_round_trip(
        "job.cancelled",
        &job(Some(spec(None)), Some(1_764_652_900_000), false),
    );
    fixtures.assert_stored_json_round_trip("job.done", &job(None, None, true));
    let sparse: JobRecord = fixtures.read("job.without-optional-fields");
    assert_eq!(sparse, job(Some(spec(None)), None, false));
    fixtures.assert_stored_json_round_trip("machine", &machine(true, Some("10.0.0.1:9000")));
    fixtures.assert_stored_json_round_trip("machine.unused", &machine(false, None));
    let sparse: MachineRecord = fixtures.read("machine.without-optional-fields");
    assert_eq!(
        sparse,
        MachineRecord {
            rented_at_ms: 0,
            ..machine(false, None)
        }
    );
    fixtures.assert_stored_json_round_trip(
        "page",
        &page(&[
            ("m-2", None),
            ("m-3", Some("10.0.0.3:9000")),
            ("m-4", Some("")),
        ]),
    );
    fixtures.assert_stored_json_round_trip("page.empty", &page(&[]));
    let sparse: RegistryPage = fixtures.read("page.without-optional-fields");
    assert_eq!(
        sparse,
        RegistryPage {
            rented_at_ms: 0,
            ..page(&[])
        }
    );
    fixtures.assert_stored_json_round_trip("catalog", &catalog());
    fixtures.assert_stored_json_round_trip("shares", &table().to_stored());
    fixtures.assert_stored_json_round_trip("shares.empty", &ShardMap::default().to_stored());
    assert_eq!(
        ShardMap::from_stored(&fixtures.read::<StoredShardMap>("shares")).0,
        table()
    );
    let mut finished = TaskSet::default();
    for task in [0, 2, 9] {
        finished.add(task);
    }
    fixtures.assert_text("finished", &json!(finished.hex(0, 12)).to_string());
    fixtures.assert_all_used();
}

#[test]
fn keys_and_calls_keep_their_bytes() {
    let fixtures = Fixtures::new(CALLS);
    keys(&fixtures);
    calls_of_the_state_service(&fixtures);
    transactions(&fixtures);
    joining(&fixtures);
    calls_of_the_cloud(&fixtures);
    fixtures.assert_all_used();
}

fn keys(fixtures: &Fixtures) {
    let keys = [
        ("key.epoch", EPOCH_KEY.to_string()),
        ("key.catalog", CATALOG_KEY.to_string()),
        ("key.shares", SHARD_MAP_KEY.to_string()),
        ("key.member", member_key("a")),
        ("key.job", job_key("wk-1")),
        ("key.page", page_key("fw-7-1.0")),
        ("key.finished", Chunk::Numbered(0).key("wk-1")),
        ("key.finished-from", Chunk::StartingAt(4096).key("wk-1")),
        ("key-prefix.all", KEY_PREFIX.to_string()),
        ("key-prefix.job", JOB_PREFIX.to_string()),
        ("key-prefix.page", REGISTRY_PREFIX.to_string()),
    ];
    for (name, key) in &keys {
        fixtures.assert_text(name, key);
    }
    let stored = Fixtures::new(STORED);
    let mut cache = StoreCache::new(8.0);
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
        cache.put(
            fixtures.payload(name),
            stored.read::<Value>(value),
            1 + at as u64,
        );
    }
    assert!(
        cache.invalid_records.is_empty(),
        "{:?}",
        cache.invalid_records
    );
    assert_eq!(cache.epoch, Some(epoch(true)));
    assert_eq!(cache.catalog.as_deref(), Some(&catalog()));
    assert_eq!(cache.shard_map, table());
    assert_eq!(cache.members["a"].value, MemberRecord::of_this_version(7));
    assert_eq!(
        cache.jobs["wk-1"].record,
        job(Some(spec(Some(900.0))), None, false)
    );
    assert_eq!(
        cache.jobs["wk-1"].finished.iter().collect::<Vec<_>>(),
        [0, 2, 9, 4096, 4098, 4105]
    );
    let registry: Vec<(&str, bool)> = cache
        .registry
        .iter()
        .map(|(id, machine)| (&**id, machine.record.in_use))
        .collect();
    assert_eq!(
        registry,
        [("m-1", true), ("m-2", false), ("m-3", true), ("m-4", true)]
    );
    assert_eq!(
        cache.registry["m-1"].record,
        machine(true, Some("10.0.0.1:9000"))
    );
}

fn settings_with(place: &str, address: std::net::SocketAddr) -> Settings {
    let text = settings::SETTINGS.replace(&format!("\"{place}\""), &format!("\"{address}\""));
    Settings::parse(&text).expect("settings")
}

const STATE_PLACE: &str = "127.0.0.1:2";
const CLOUD_PLACE: &str = "127.0.0.1:1";

/// What one call of the key-value store gives, once it was sent as it was frozen.
fn with_state<T>(fixtures: &Fixtures, name: &str, ask: impl FnOnce(&StoreClient) -> T) -> T {
    let recorder = Recorder::new(&[fixtures.payload(&format!("state.{name}.answer"))]);
    let given = ask(&StoreClient::new(&settings_with(
        STATE_PLACE,
        recorder.address,
    )));
    fixtures.assert_text(&format!("state.{name}.call"), &recorder.next_call());
    given
}

/// What the cloud gives.
fn with_cloud(fixtures: &Fixtures, name: &str, ask: CloudRequest) -> CloudResponse {
    let recorder = Recorder::new(&[fixtures.payload(&format!("cloud.{name}.answer"))]);
    let (tell, answers) = channel();
    let asks = cloud::start(
        &settings_with(CLOUD_PLACE, recorder.address),
        move |answer| tell.send(answer).is_ok(),
    );
    asks.send(ask).expect("sent");
    let answer = answers.recv_timeout(PATIENCE).expect("an answer");
    fixtures.assert_text(&format!("cloud.{name}.call"), &recorder.next_call());
    answer
}

const PATIENCE: Duration = Duration::from_secs(20);

fn calls_of_the_state_service(fixtures: &Fixtures) {
    let page = with_state(fixtures, "page", |store| store.read_page(None)).expect("a page");
    let entry = &page.entries[0];
    assert_eq!(
        (page.entries.len(), page.truncated, page.revision),
        (1, true, 431)
    );
    assert_eq!(
        (&*entry.key, &entry.value, entry.revision),
        ("fw/s", &json!(5), 412)
    );
    let next =
        with_state(fixtures, "next-page", |store| store.read_page(Some("fw/s"))).expect("a page");
    assert_eq!(
        (next.entries.len(), next.truncated, next.revision),
        (0, false, 432)
    );
    let entry = with_state(fixtures, "get", |store| store.get("fw/m/a"))
        .expect("read")
        .expect("there");
    assert_eq!((&*entry.key, entry.revision), ("fw/m/a", 412));
    assert!(
        with_state(fixtures, "get-missing", |store| store.get("fw/m/b"))
            .expect("read")
            .is_none()
    );
    let changes =
        with_state(fixtures, "changes", |store| store.read_changes(431)).expect("changes");
    let put = KeyChange::Put {
        key: "fw/r/9".into(),
        value: json!(5),
        revision: 433,
    };
    assert_eq!(
        changes,
        KeyChanges {
            changes: vec![
                put,
                KeyChange::Delete {
                    key: "fw/r/8".into(),
                    revision: 432
                }
            ],
            revision: 433
        }
    );
    let late = with_state(fixtures, "changes-too-old", |store| store.read_changes(1));
    assert!(matches!(late, Err(CallError::Status(410, _))));
    assert_eq!(
        with_state(fixtures, "lease", |store| store.create_lease(5.0)).expect("a lease"),
        7
    );
    assert!(with_state(fixtures, "renew", |store| store.renew_lease(7)).expect("answered"));
    assert!(!with_state(fixtures, "renew-ended", |store| store.renew_lease(7)).expect("answered"));
}

fn transactions(fixtures: &Fixtures) {
    let ops = [
        WriteOp::Put {
            key: "fw/m/a".into(),
            value: json!(5),
            lease: Some(7),
        },
        WriteOp::Put {
            key: "fw/r/1".into(),
            value: json!("x"),
            lease: None,
        },
        WriteOp::Delete {
            key: "fw/r/2".into(),
        },
    ];
    let conditions = [Condition::new("fw/m/a", 0), Condition::new("fw/r/2", 412)];
    let commit = |name: &str| with_state(fixtures, name, |store| store.commit(&conditions, &ops));
    assert_eq!(commit("commit"), CommitOutcome::Committed(432));
    assert_eq!(
        commit("commit-conflict"),
        CommitOutcome::Conflict(vec!["fw/r/2".into()])
    );
    assert_eq!(commit("commit-malformed"), CommitOutcome::Invalid);
    assert_eq!(commit("commit-too-much"), CommitOutcome::RateLimited);
    assert_eq!(commit("commit-refused"), CommitOutcome::Refused);
}

fn joining(fixtures: &Fixtures) {
    let steps = ["get", "lease", "commit"].map(|step| format!("join.{step}"));
    let answers: Vec<&str> = steps
        .iter()
        .map(|step| fixtures.payload(&format!("{step}.answer")))
        .collect();
    let recorder = Recorder::new(&answers);
    let settings = settings_with(STATE_PLACE, recorder.address);
    let (tell, news) = channel();
    start_lease_actor(&settings, RateBudget::new(&settings), true, move |said| {
        let _ = tell.send(said);
        false
    });
    let said = news.recv_timeout(PATIENCE).expect("news");
    assert!(matches!(said, LeaseEvent::Renewed { incarnation: 7, .. }));
    for step in steps {
        fixtures.assert_text(&format!("{step}.call"), &recorder.next_call());
    }
}

fn calls_of_the_cloud(fixtures: &Fixtures) {
    let rental = RentalRequest {
        request: "r-17".into(),
        machine_type: "k".into(),
        zone: "e".into(),
        spot: true,
        count: 12,
    };
    let rent = |name: &str| with_cloud(fixtures, name, CloudRequest::Rent(rental.clone()));
    let answer = with_cloud(fixtures, "catalog", CloudRequest::Catalog);
    assert!(matches!(answer, CloudResponse::Catalog(known) if known == catalog()));
    let rented = rent("rent");
    assert!(
        matches!(rented, CloudResponse::Rented { machines, .. } if machines == ["m-1".into(), "m-2".into()])
    );
    assert!(matches!(
        rent("rent-no-capacity"),
        CloudResponse::NoCapacity(_)
    ));
    assert!(matches!(
        rent("rent-malformed"),
        CloudResponse::RentRefused(_)
    ));
    assert!(matches!(
        rent("rent-trouble"),
        CloudResponse::RentOutcomeUnknown(_)
    ));
    let deleted = with_cloud(
        fixtures,
        "delete",
        CloudRequest::Delete(vec!["m-1".into(), "m-2".into()]),
    );
    assert!(matches!(deleted, CloudResponse::Deleted(machines) if machines.len() == 2));
    let CloudResponse::List { machines, .. } = with_cloud(fixtures, "list", CloudRequest::List)
    else {
        panic!("no list")
    };
    assert_eq!(
        (&*machines[0].id, &*machines[0].state, machines[0].age_s),
        ("m-1", "running", 61.5)
    );
}
