//! The actor that keeps this controller's lease on the key-value store, and the member
//! key attached to it.

use crate::clock::{self, Seconds};
use crate::config::settings::Settings;
use crate::store::keys::member_key;
use crate::store::records::MemberRecord;
use crate::store::{CallError, CommitOutcome, Condition, RateBudget, StoreClient, WriteOp};
use crate::threads::spawn_detached;
use serde_json::json;
use std::time::Duration;

/// How often the lease is renewed within its duration.
const RENEWALS_PER_LEASE: f64 = 5.0;

/// How often a failed request for a lease is repeated within the duration of one.
const RETRIES_PER_LEASE: f64 = 24.0;

/// The shortest pause after a failed renewal, in seconds.
const MIN_RENEWAL_RETRY_S: Seconds = 0.3;

/// What the lease actor reports.
#[derive(Debug)]
pub enum LeaseEvent {
    /// This controller's lease can be relied upon until a time on the steady clock.
    Renewed {
        /// The lease, which is also this controller's incarnation.
        incarnation: u64,
        /// Until when it can be relied upon.
        until: Seconds,
    },
    /// The lease has ended; a new one will follow.
    Expired,
}

/// Starts the actor that holds this node's lease and member key, in a detached thread.
///
/// `uses_shard_map` says whether this controller takes part in sharding by the shard map.
/// `on_event` takes the actor's events and returns false once nobody takes them any more,
/// which ends the actor.
pub fn start_lease_actor<F>(
    settings: &Settings,
    budget: RateBudget,
    uses_shard_map: bool,
    on_event: F,
) where
    F: Fn(LeaseEvent) -> bool + Send + 'static,
{
    let actor = LeaseActor {
        store: StoreClient::new(settings),
        budget,
        member_key: member_key(&settings.node_name),
        lease_s: settings.member_lease_s(),
        uses_shard_map,
        on_event,
    };
    spawn_detached("lease", move || actor.run());
}

/// Nobody takes the actor's events any more.
struct Disconnected;

/// A lease that the store has granted.
struct GrantedLease {
    id: u64,
    /// Until when it can be relied upon, on the steady clock.
    until: Seconds,
}

/// The state of the lease actor.
struct LeaseActor<F> {
    store: StoreClient,
    budget: RateBudget,
    member_key: String,
    /// The duration of the lease.
    lease_s: Seconds,
    uses_shard_map: bool,
    on_event: F,
}

impl<F: Fn(LeaseEvent) -> bool> LeaseActor<F> {
    /// Acquires a lease whenever there is none, and renews it until it ends.
    fn run(&self) {
        loop {
            let Some(lease) = self.acquire() else {
                sleep(self.retry_pause_s());
                continue;
            };
            if self.renew_until_expired(lease).is_err() {
                return;
            }
        }
    }

    /// Requests a new lease and attaches the member key to it.
    fn acquire(&self) -> Option<GrantedLease> {
        self.budget.charge_call();
        let revision = self.store.get(&self.member_key).ok()?;
        let revision = revision.map_or(0, |entry| entry.revision);
        let lease = self.request_lease()?;
        self.write_member_key(lease.id, revision).then_some(lease)
    }

    /// Requests a lease from the store. It is counted from the sending of the request.
    fn request_lease(&self) -> Option<GrantedLease> {
        self.budget.charge_call();
        let sent_at = clock::now();
        match self.store.create_lease(self.lease_s) {
            Ok(id) => Some(GrantedLease {
                id,
                until: self.usable_until(sent_at),
            }),
            Err(CallError::Status(code, _)) => {
                tracing::debug!(code, "no member lease yet");
                None
            }
            Err(CallError::NoResponse) => None,
        }
    }

    /// Writes the member key, whose last known revision is `revision`; returns whether
    /// that has certainly succeeded.
    fn write_member_key(&self, lease: u64, revision: u64) -> bool {
        self.budget.charge_call();
        let put = WriteOp::Put {
            key: self.member_key.clone(),
            value: json!(MemberRecord::new(lease, self.uses_shard_map)),
            lease: Some(lease),
        };
        let condition = Condition::new(&self.member_key, revision);
        matches!(
            self.store.commit(&[condition], &[put]),
            CommitOutcome::Committed(_)
        )
    }

    /// Reports the lease and renews it until the store says that it has ended.
    fn renew_until_expired(&self, mut lease: GrantedLease) -> Result<(), Disconnected> {
        self.report_renewed(&lease)?;
        let mut pause_s = self.renewal_interval_s();
        loop {
            sleep(pause_s);
            self.budget.charge_call();
            let sent_at = clock::now();
            match self.store.renew_lease(lease.id) {
                Ok(true) => {
                    pause_s = self.renewal_interval_s();
                    lease.until = lease.until.max(self.usable_until(sent_at));
                    self.report_renewed(&lease)?;
                }
                Ok(false) => {
                    tracing::warn!(lease = lease.id, "the member lease has ended");
                    return self.report(LeaseEvent::Expired);
                }
                // The request is repeated more often while it fails, so that the end of
                // an outage is noticed soon.
                Err(_) => pause_s = self.retry_pause_s().max(MIN_RENEWAL_RETRY_S),
            }
        }
    }

    fn report_renewed(&self, lease: &GrantedLease) -> Result<(), Disconnected> {
        self.report(LeaseEvent::Renewed {
            incarnation: lease.id,
            until: lease.until,
        })
    }

    fn report(&self, event: LeaseEvent) -> Result<(), Disconnected> {
        if (self.on_event)(event) {
            Ok(())
        } else {
            Err(Disconnected)
        }
    }

    /// Until when a lease can be relied upon that was requested or renewed at `sent_at`.
    fn usable_until(&self, sent_at: Seconds) -> Seconds {
        sent_at + clock::usable(self.lease_s)
    }

    fn renewal_interval_s(&self) -> Seconds {
        self.lease_s / RENEWALS_PER_LEASE
    }

    fn retry_pause_s(&self) -> Seconds {
        self.lease_s / RETRIES_PER_LEASE
    }
}

fn sleep(pause_s: Seconds) {
    std::thread::sleep(Duration::from_secs_f64(pause_s));
}
