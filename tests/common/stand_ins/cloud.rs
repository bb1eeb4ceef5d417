//! A stand-in for the cloud, which lists, rents out and deletes machines.

use super::json_server::serve_json;
use super::worker::{start_worker, WorkerActivity};
use super::{lock, Shared};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tiny_http::Method;

/// Starts a cloud and returns its address. Its machines are up at once, and their workers
/// send heartbeats to `nodes` and hold leases of duration `lease`. Only tasks of jobs whose
/// id ends in an even digit complete by themselves, after a moment.
pub fn start_cloud(
    nodes: Vec<SocketAddr>,
    activity: Shared<WorkerActivity>,
    lease: Duration,
) -> SocketAddr {
    let machine_count = Shared::<u32>::default();
    let machines: Shared<BTreeMap<String, Value>> = Shared::default();
    serve_json(move |method, url, body| {
        let path = url.split('?').next().unwrap_or_default();
        match (method, path) {
            (Method::Get, "/catalog") => {
                let machine_type = json!({"name": "box", "cpus": 4, "accelerators": 0, "mem_gb": 16, "cache_gb": 20,
                    "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.4, "ready_s": 2, "groves": ["e", "w"]});
                (200, json!({"breeds": [machine_type]}))
            }
            (Method::Post, "/machines") => {
                let mut names = Vec::new();
                for _ in 0..body["number"].as_u64().unwrap_or(0) {
                    *lock(&machine_count) += 1;
                    let name = format!("m-{:06}", *lock(&machine_count));
                    start_worker(
                        &name,
                        &body,
                        nodes.clone(),
                        activity.clone(),
                        machines.clone(),
                        lease,
                    );
                    names.push(name);
                }
                (200, json!({"perches": names}))
            }
            (Method::Post, "/machines/delete") => {
                for machine in body["perches"]
                    .as_array()
                    .map(Vec::as_slice)
                    .unwrap_or_default()
                {
                    let name = machine.as_str().unwrap_or_default();
                    lock(&machines).remove(name);
                    let mut activity = lock(&activity);
                    if activity
                        .machines_by_task
                        .values()
                        .any(|machines| machines.iter().any(|machine| machine == name))
                    {
                        activity.deleted_in_use.push(name.into());
                    }
                    activity
                        .machines_by_task
                        .values_mut()
                        .for_each(|machines| machines.retain(|machine| machine != name));
                }
                (200, json!({}))
            }
            (Method::Get, "/machines") => {
                let list: Vec<Value> = lock(&machines).values().cloned().collect();
                (200, json!({"perches": list, "truncated": false}))
            }
            _ => (400, json!({})),
        }
    })
}
