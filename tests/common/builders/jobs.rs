//! Builders for jobs and their stored records.

use finchwood::store::records::JobRecord;
use finchwood::wire::JobSpec;
use serde_json::{json, Value};
use std::sync::Arc;

/// Returns an array job of low priority with `tasks` tasks, each of which takes two of a
/// machine's four CPUs. `change` may replace any fields, under their names on the wire.
pub(crate) fn job_spec(id: &str, tasks: u32, change: impl Fn(&mut Value)) -> Arc<JobSpec> {
    let mut fields = json!({
        "id": id, "flock": "f", "nest": "t", "shape": "array", "rank": "low", "chicks": tasks, "cpus": 2.0,
        "accelerators": 0.0, "mem_gb": 1.0, "egg": "i", "size_gb": 1.0, "one_zone": false, "scatter": false,
        "windfall": true, "guess_s": 10.0, "molt_s": 0.0, "stash_s": 0.0
    });
    change(&mut fields);
    Arc::new(serde_json::from_value(fields).expect("a valid job"))
}

/// Returns the job of [`job_spec`] with another job kind, given by its name on the wire.
pub(crate) fn job_of_kind(id: &str, job_kind: &str, tasks: u32) -> Arc<JobSpec> {
    job_spec(id, tasks, |fields| fields["shape"] = json!(job_kind))
}

/// Returns the stored record of a job that is not done. With `cancelled`, the job was
/// cancelled at 10 s.
pub(crate) fn job_record(spec: &Arc<JobSpec>, cancelled: bool) -> Value {
    json!(JobRecord {
        task_count: spec.task_count,
        spec: Some(spec.clone()),
        epoch: 1,
        accepted_at_ms: 0,
        cancelled,
        done: false,
        cancelled_at_ms: cancelled.then_some(10_000),
    })
}
