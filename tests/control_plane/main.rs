//! Tests of the real leaders and shards, driven directly without threads or a network. Each
//! module covers one part of their decisions.

#[path = "../common/builders/mod.rs"]
mod builders;
mod cold_restart;
mod concurrent_faults;
mod deleted_machines;
mod epochs;
mod failing_tasks;
mod full_machines;
mod gangs;
mod incremental_reports;
mod many_small_jobs;
mod one_machine;
mod preemption;
mod preemption_on_a_shard;
mod proof_of_removal;
mod shard_transfers;
mod stale_heartbeats;
mod task_copies;
mod unread_jobs;
mod unresponsive_machines;
mod versions;
