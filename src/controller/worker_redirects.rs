//! Workers of other shards that report here, and the relays to their owners.

use super::MAX_POOL_THREADS;
use crate::api::relay_pool::{start_relay_pool, RelayedHeartbeat};
use crate::clock::Seconds;
use crate::config::settings::Settings;
use crate::wire::{Heartbeat, MachineId};
use crossbeam::channel::Sender;
use std::collections::HashMap;

/// The share of the sockets that heartbeats relayed to one other controller may take.
const RELAY_SOCKET_SHARE: f64 = 1.0 / 500.0;

/// How long a relay may take, in report intervals: its worker waits for about that.
const RELAY_TIMEOUT_REPORTS: f64 = 0.8;

/// For how many worker leases an attempt to reach the owner counts.
const OWNER_ATTEMPT_LEASES: f64 = 2.0;

/// What is known here of a worker that belongs to another shard.
struct RedirectedWorker {
    last_heartbeat_at: Seconds,
    /// When it last tried its owner, as far as is known.
    owner_tried_at: Option<Seconds>,
    /// Session and sequence of its newest heartbeat.
    newest: (u64, u64),
    /// When a heartbeat newer than one before it came: a lone one may be a copy
    /// from long ago, and shows nothing.
    verified_at: Option<Seconds>,
}

impl RedirectedWorker {
    /// What is known after one more heartbeat.
    fn after(
        previous: Option<&RedirectedWorker>,
        heartbeat: &Heartbeat,
        owner_tried_at: Option<Seconds>,
        now: Seconds,
    ) -> RedirectedWorker {
        let newest = (heartbeat.session, heartbeat.seq);
        let verified_at = match previous {
            Some(known) if newest > known.newest => Some(now),
            Some(known) => known.verified_at,
            None => None,
        };
        RedirectedWorker {
            last_heartbeat_at: now,
            owner_tried_at: owner_tried_at.or(Some(now)),
            newest: previous.map_or(newest, |known| known.newest.max(newest)),
            verified_at,
        }
    }
}

/// Whether a redirected worker has tried to reach its owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnerAttempt {
    /// When it was sent to its owner, if that was a moment ago.
    tried_at: Option<Seconds>,
    /// No attempt was ever known.
    pub(super) never_tried: bool,
}

impl OwnerAttempt {
    /// Whether it was sent to its owner a moment ago: being here again, it can't
    /// reach it.
    pub(super) fn is_recent(&self) -> bool {
        self.tried_at.is_some()
    }
}

/// The workers of other shards that came here, and the relays to the other controllers.
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

    /// Whether a worker has tried its owner already.
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

    /// Records a heartbeat of another shard's worker.
    pub(super) fn record(&mut self, heartbeat: Heartbeat, attempt: OwnerAttempt, now: Seconds) {
        let previous = self.workers.get(&heartbeat.machine);
        let worker = RedirectedWorker::after(previous, &heartbeat, attempt.tried_at, now);
        self.workers.insert(heartbeat.machine, worker);
    }

    /// The relay to a controller, if it is one of the others.
    pub(super) fn relay_to(&self, owner: &str) -> Option<&Sender<RelayedHeartbeat>> {
        self.relay_pools.get(owner)
    }

    /// How long a relay may take.
    pub(super) fn relay_timeout(&self) -> Seconds {
        self.relay_timeout
    }

    /// The workers that are alive for certain, and how long ago each showed it.
    pub(super) fn verified_workers(&self, now: Seconds) -> Vec<(MachineId, Seconds)> {
        self.workers
            .iter()
            .filter_map(|(id, worker)| Some((id.clone(), now - worker.verified_at?)))
            .collect()
    }

    /// Forgets the workers that have not been here for a worker's lease.
    pub(super) fn expire(&mut self, now: Seconds) {
        let worker_lease = self.worker_lease;
        self.workers
            .retain(|_, worker| now - worker.last_heartbeat_at < worker_lease);
    }
}
