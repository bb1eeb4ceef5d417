//! The keys and values in the key-value store and the calls to the store and to the cloud,
//! compared with the fixtures in `fixtures/wire-format/`.

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

const STORED_VALUES: &str = include_str!("fixtures/wire-format/stored.txt");
const KEYS_AND_CALLS: &str = include_str!("fixtures/wire-format/calls.txt");

/// Returns a job spec. Its machine types and zone are set only if its deadline is.
fn job_spec(deadline_s: Option<f64>) -> JobSpec {
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

fn job_record(spec: Option<JobSpec>, cancelled_at_ms: Option<u64>, done: bool) -> JobRecord {
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

fn epoch(uses_shard_map: bool) -> Epoch {
    let members = [("a".to_string(), 7), ("b".to_string(), 8)]
        .into_iter()
        .collect();
    Epoch {
        number: 4,
        members,
        leader: "a".into(),
        uses_shard_map,
    }
}

fn machine_record(in_use: bool, address: Option<&str>) -> MachineRecord {
    MachineRecord {
        machine_type: "k".into(),
        zone: "e".into(),
        spot: true,
        in_use,
        rented_at_ms: 7,
        address: address.map(Into::into),
    }
}

fn registry_page(machines: &[(&str, Option<&str>)]) -> RegistryPage {
    let entry = |(id, address): &(&str, Option<&str>)| ((*id).into(), address.map(Into::into));
    RegistryPage {
        machine_type: "k".into(),
        zone: "w".into(),
        spot: true,
        rented_at_ms: 9,
        machines: machines.iter().map(entry).collect(),
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

fn shard_map() -> ShardMap {
    let range = HashRange {
        hash_owner: "a".into(),
        first: 16,
        last: u64::MAX,
    };
    ShardMap::default().with_owner(&range, "b")
}

#[test]
fn stored_values_match_the_fixtures() {
    let fixtures = Fixtures::new(STORED_VALUES);
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
    fixtures.assert_stored_json_round_trip(
        "job",
        &job_record(Some(job_spec(Some(900.0))), None, false),
    );
    fixtures.assert_stored_json_round_trip(
        "job.without-wishes",
        &job_record(Some(job_spec(None)), None, false),
    );
    fixtures.assert_stored_json_round_trip(
        "job.cancelled",
        &job_record(Some(job_spec(None)), Some(1_764_652_900_000), false),
    );
    fixtures.assert_stored_json_round_trip("job.done", &job_record(None, None, true));
    let minimal: JobRecord = fixtures.read("job.without-optional-fields");
    assert_eq!(minimal, job_record(Some(job_spec(None)), None, false));
    fixtures.assert_stored_json_round_trip("machine", &machine_record(true, Some("10.0.0.1:9000")));
    fixtures.assert_stored_json_round_trip("machine.unused", &machine_record(false, None));
    let minimal: MachineRecord = fixtures.read("machine.without-optional-fields");
    assert_eq!(
        minimal,
        MachineRecord {
            rented_at_ms: 0,
            ..machine_record(false, None)
        }
    );
    fixtures.assert_stored_json_round_trip(
        "page",
        &registry_page(&[
            ("m-2", None),
            ("m-3", Some("10.0.0.3:9000")),
            ("m-4", Some("")),
        ]),
    );
    fixtures.assert_stored_json_round_trip("page.empty", &registry_page(&[]));
    let minimal: RegistryPage = fixtures.read("page.without-optional-fields");
    assert_eq!(
        minimal,
        RegistryPage {
            rented_at_ms: 0,
            ..registry_page(&[])
        }
    );
    fixtures.assert_stored_json_round_trip("catalog", &catalog());
    fixtures.assert_stored_json_round_trip("shares", &shard_map().to_stored());
    fixtures.assert_stored_json_round_trip("shares.empty", &ShardMap::default().to_stored());
    assert_eq!(
        ShardMap::from_stored(&fixtures.read::<StoredShardMap>("shares")).0,
        shard_map()
    );
    let mut finished = TaskSet::default();
    for task in [0, 2, 9] {
        finished.add(task);
    }
    fixtures.assert_text("finished", &json!(finished.hex(0, 12)).to_string());
    fixtures.assert_all_used();
}

#[test]
fn keys_and_calls_match_the_fixtures() {
    let fixtures = Fixtures::new(KEYS_AND_CALLS);
    check_keys(&fixtures);
    check_store_calls(&fixtures);
    check_commits(&fixtures);
    check_join(&fixtures);
    check_cloud_calls(&fixtures);
    fixtures.assert_all_used();
}

/// Checks the keys. Then puts the stored values into a cache under these keys, and checks that
/// it contains the expected records.
fn check_keys(fixtures: &Fixtures) {
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
    let stored = Fixtures::new(STORED_VALUES);
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
    for (index, (name, value)) in names.zip(values).enumerate() {
        cache.put(
            fixtures.payload(name),
            stored.read::<Value>(value),
            1 + index as u64,
        );
    }
    assert!(
        cache.invalid_records.is_empty(),
        "valid records were skipped as invalid: {:?}",
        cache.invalid_records
    );
    assert_eq!(cache.epoch, Some(epoch(true)));
    assert_eq!(cache.catalog.as_deref(), Some(&catalog()));
    assert_eq!(cache.shard_map, shard_map());
    assert_eq!(cache.members["a"].value, MemberRecord::of_this_version(7));
    assert_eq!(
        cache.jobs["wk-1"].record,
        job_record(Some(job_spec(Some(900.0))), None, false)
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
        machine_record(true, Some("10.0.0.1:9000"))
    );
}

/// Returns the settings in which the service at `default_address` is at `address` instead.
fn settings_with(default_address: &str, address: std::net::SocketAddr) -> Settings {
    let text =
        settings::SETTINGS.replace(&format!("\"{default_address}\""), &format!("\"{address}\""));
    Settings::parse(&text).expect("valid settings")
}

/// The address of the key-value store in the settings.
const STORE_ADDRESS: &str = "127.0.0.1:2";
/// The address of the cloud in the settings.
const CLOUD_ADDRESS: &str = "127.0.0.1:1";

/// Makes a call to a store that responds as in a fixture, and checks that the request matches
/// its fixture. Returns the result of the call.
fn call_store<T>(fixtures: &Fixtures, name: &str, call: impl FnOnce(&StoreClient) -> T) -> T {
    let recorder = Recorder::new(&[fixtures.payload(&format!("state.{name}.answer"))]);
    let result = call(&StoreClient::new(&settings_with(
        STORE_ADDRESS,
        recorder.address,
    )));
    fixtures.assert_text(&format!("state.{name}.call"), &recorder.next_call());
    result
}

/// Sends a request to a cloud that responds as in a fixture, and checks that the request
/// matches its fixture. Returns the response.
fn call_cloud(fixtures: &Fixtures, name: &str, request: CloudRequest) -> CloudResponse {
    let recorder = Recorder::new(&[fixtures.payload(&format!("cloud.{name}.answer"))]);
    let (response_sender, responses) = channel();
    let requests = cloud::start(
        &settings_with(CLOUD_ADDRESS, recorder.address),
        move |response| response_sender.send(response).is_ok(),
    );
    requests.send(request).expect("the cloud actor runs");
    let response = responses
        .recv_timeout(RESPONSE_TIMEOUT)
        .expect("a response from the cloud");
    fixtures.assert_text(&format!("cloud.{name}.call"), &recorder.next_call());
    response
}

/// The time that an actor may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

fn check_store_calls(fixtures: &Fixtures) {
    let page = call_store(fixtures, "page", |store| store.read_page(None)).expect("the first page");
    let entry = &page.entries[0];
    assert_eq!(
        (page.entries.len(), page.truncated, page.revision),
        (1, true, 431)
    );
    assert_eq!(
        (&*entry.key, &entry.value, entry.revision),
        ("fw/s", &json!(5), 412)
    );
    let next = call_store(fixtures, "next-page", |store| store.read_page(Some("fw/s")))
        .expect("the next page");
    assert_eq!(
        (next.entries.len(), next.truncated, next.revision),
        (0, false, 432)
    );
    let entry = call_store(fixtures, "get", |store| store.get("fw/m/a"))
        .expect("a valid response")
        .expect("the key exists");
    assert_eq!((&*entry.key, entry.revision), ("fw/m/a", 412));
    assert!(
        call_store(fixtures, "get-missing", |store| store.get("fw/m/b"))
            .expect("a valid response")
            .is_none()
    );
    let changes =
        call_store(fixtures, "changes", |store| store.read_changes(431)).expect("the changes");
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
    let too_old = call_store(fixtures, "changes-too-old", |store| store.read_changes(1));
    assert!(matches!(too_old, Err(CallError::Status(410, _))));
    assert_eq!(
        call_store(fixtures, "lease", |store| store.create_lease(5.0)).expect("a lease"),
        7
    );
    assert!(call_store(fixtures, "renew", |store| store.renew_lease(7)).expect("a valid response"));
    assert!(
        !call_store(fixtures, "renew-ended", |store| store.renew_lease(7))
            .expect("a valid response")
    );
}

fn check_commits(fixtures: &Fixtures) {
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
    let commit = |name: &str| call_store(fixtures, name, |store| store.commit(&conditions, &ops));
    assert_eq!(commit("commit"), CommitOutcome::Committed(432));
    assert_eq!(
        commit("commit-conflict"),
        CommitOutcome::Conflict(vec!["fw/r/2".into()])
    );
    assert_eq!(commit("commit-malformed"), CommitOutcome::Invalid);
    assert_eq!(commit("commit-too-much"), CommitOutcome::RateLimited);
    assert_eq!(commit("commit-refused"), CommitOutcome::Refused);
}

/// Checks the calls with which a controller joins the cluster.
fn check_join(fixtures: &Fixtures) {
    let steps = ["get", "lease", "commit"].map(|step| format!("join.{step}"));
    let responses: Vec<&str> = steps
        .iter()
        .map(|step| fixtures.payload(&format!("{step}.answer")))
        .collect();
    let recorder = Recorder::new(&responses);
    let settings = settings_with(STORE_ADDRESS, recorder.address);
    let (event_sender, events) = channel();
    start_lease_actor(&settings, RateBudget::new(&settings), true, move |event| {
        let _ = event_sender.send(event);
        false
    });
    let event = events
        .recv_timeout(RESPONSE_TIMEOUT)
        .expect("an event of the lease actor");
    assert!(matches!(event, LeaseEvent::Renewed { incarnation: 7, .. }));
    for step in steps {
        fixtures.assert_text(&format!("{step}.call"), &recorder.next_call());
    }
}

fn check_cloud_calls(fixtures: &Fixtures) {
    let rental = RentalRequest {
        request: "r-17".into(),
        machine_type: "k".into(),
        zone: "e".into(),
        spot: true,
        count: 12,
    };
    let rent = |name: &str| call_cloud(fixtures, name, CloudRequest::Rent(rental.clone()));
    let fetched = call_cloud(fixtures, "catalog", CloudRequest::Catalog);
    assert!(matches!(fetched, CloudResponse::Catalog(received) if received == catalog()));
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
    let deleted = call_cloud(
        fixtures,
        "delete",
        CloudRequest::Delete(vec!["m-1".into(), "m-2".into()]),
    );
    assert!(matches!(deleted, CloudResponse::Deleted(machines) if machines.len() == 2));
    let CloudResponse::List { machines, .. } = call_cloud(fixtures, "list", CloudRequest::List)
    else {
        panic!("the response is not a list")
    };
    assert_eq!(
        (&*machines[0].id, &*machines[0].state, machines[0].age_s),
        ("m-1", "running", 61.5)
    );
}
