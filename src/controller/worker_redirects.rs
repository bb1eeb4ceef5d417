//! The state of the workers of other shards that send heartbeats to this node, and the pools
//! that relay these heartbeats to the owners.

use super::MAX_POOL_THREADS;
use crate::api::relay_pool::{start_relay_pool, RelayedHeartbeat};
use crate::clock::Seconds;
use crate::config::settings::Settings;
use crate::wire::{Heartbeat, MachineId};
use crossbeam::channel::Sender;
use std::collections::HashMap;

/// The share of the sockets that the relay pool of one other controller may use.
const RELAY_SOCKET_SHARE: f64 = 1.0 / 500.0;

/// The timeout of a relayed heartbeat, in report intervals. The worker waits for the response
/// for about as long.
const RELAY_TIMEOUT_REPORTS: f64 = 0.8;

/// How long an attempt of a worker to reach its owner counts as recent, in durations of a
/// worker's lease.
const OWNER_ATTEMPT_LEASES: f64 = 2.0;

/// The state that this node keeps of a worker that belongs to another shard.
struct RedirectedWorker {
    last_heartbeat_at: Seconds,
    /// The assumed time of the worker's last attempt to reach its owner: when it sent its first
    /// heartbeat to this node, or the first one after the previous attempt ceased to count as
    /// recent. At such a heartbeat the worker is usually redirected to its owner.
    owner_tried_at: Option<Seconds>,
    /// The session and sequence number of its newest heartbeat.
    newest_seq: (u64, u64),
    /// When the last heartbeat arrived that was newer than all earlier ones. `None` until
    /// there is a second heartbeat: a single one may be an old duplicate, and does not prove
    /// that the worker is alive.
    verified_at: Option<Seconds>,
}

impl RedirectedWorker {
    /// Returns the state of a worker after a further heartbeat. `previous` is its state before;
    /// `None` if this is the first heartbeat.
    fn after_heartbeat(
        previous: Option<&RedirectedWorker>,
        heartbeat: &Heartbeat,
        owner_tried_at: Option<Seconds>,
        now: Seconds,
    ) -> RedirectedWorker {
        let newest_seq = (heartbeat.session, heartbeat.seq);
        let verified_at = match previous {
            Some(worker) if newest_seq > worker.newest_seq => Some(now),
            Some(worker) => worker.verified_at,
            None => None,
        };
        RedirectedWorker {
            last_heartbeat_at: now,
            owner_tried_at: owner_tried_at.or(Some(now)),
            newest_seq: previous.map_or(newest_seq, |worker| worker.newest_seq.max(newest_seq)),
            verified_at,
        }
    }
}

/// The latest known attempt of a redirected worker to reach its owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnerAttempt {
    /// When the worker last tried to reach its owner, if that was recent.
    tried_at: Option<Seconds>,
    /// Whether no attempt is known, not even one that is no longer recent.
    pub(super) never_tried: bool,
}

impl OwnerAttempt {
    /// Returns whether the worker tried to reach its owner recently. A worker that did, and
    /// sends a heartbeat to this node again, cannot reach its owner.
    pub(super) fn is_recent(&self) -> bool {
        self.tried_at.is_some()
    }
}

/// The workers of other shards that send heartbeats to this node, and the relay pools of the
/// other controllers.
pub(super) struct WorkerRedirects {
    workers: HashMap<MachineId, RedirectedWorker>,
    relay_pools: HashMap<String, Sender<RelayedHeartbeat>>,
    relay_timeout: Seconds,
    worker_lease: Seconds,
}

impl WorkerRedirects {
    /// Starts a relay pool for each of the other controllers.
    pub(super) fn start(settings: &Settings) -> WorkerRedirects {
        let workers = &settings.params.workers;
        let relay_timeout = workers.report_s * RELAY_TIMEOUT_REPORTS;
        let sockets = settings.params.machine_limits.max_connections as f64;
        let peer_count = settings.members.len().max(1) as f64;
        let threads = (sockets * RELAY_SOCKET_SHARE)
            .min(MAX_POOL_THREADS / peer_count)
            .max(1.0) as usize;
        let relay_pools = settings
            .members
            .iter()
            .map(|member| {
                let pool = start_relay_pool(member.endpoint, threads, relay_timeout);
                (member.node_name.clone(), pool)
            })
            .collect();
        WorkerRedirects {
            workers: HashMap::new(),
            relay_pools,
            relay_timeout,
            worker_lease: workers.lease_s,
        }
    }

    /// Returns the latest known attempt of a worker to reach its owner.
    pub(super) fn owner_attempt(&self, machine: &MachineId, now: Seconds) -> OwnerAttempt {
        let tried_at = self
            .workers
            .get(machine)
            .and_then(|worker| worker.owner_tried_at);
        OwnerAttempt {
            tried_at: tried_at.filter(|at| now - at < self.worker_lease * OWNER_ATTEMPT_LEASES),
            never_tried: tried_at.is_none(),
        }
    }

    /// Records a heartbeat from another shard's worker.
    pub(super) fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        attempt: OwnerAttempt,
        now: Seconds,
    ) {
        let previous = self.workers.get(&heartbeat.machine);
        let worker = RedirectedWorker::after_heartbeat(previous, &heartbeat, attempt.tried_at, now);
        self.workers.insert(heartbeat.machine, worker);
    }

    /// Returns the queue of the relay pool of a controller; `None` if the controller has no
    /// relay pool.
    pub(super) fn relay_to(&self, owner: &str) -> Option<&Sender<RelayedHeartbeat>> {
        self.relay_pools.get(owner)
    }

    /// Returns the timeout of a relayed heartbeat, in seconds.
    pub(super) fn relay_timeout(&self) -> Seconds {
        self.relay_timeout
    }

    /// Returns the workers that have proven to be alive by a heartbeat newer than an earlier
    /// one, and how many seconds ago each last did so.
    pub(super) fn verified_workers(&self, now: Seconds) -> Vec<(MachineId, Seconds)> {
        self.workers
            .iter()
            .filter_map(|(id, worker)| Some((id.clone(), now - worker.verified_at?)))
            .collect()
    }

    /// Discards the state of workers that have sent no heartbeat to this node for the duration
    /// of a worker's lease.
    pub(super) fn expire(&mut self, now: Seconds) {
        let worker_lease = self.worker_lease;
        self.workers
            .retain(|_, worker| now - worker.last_heartbeat_at < worker_lease);
    }
}
