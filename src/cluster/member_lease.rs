//! The actor that holds this controller's lease on the key-value store and writes the
//! member key that is attached to the lease.

use crate::clock::{self, Seconds};
use crate::config::settings::Settings;
use crate::store::keys::member_key;
use crate::store::records::MemberRecord;
use crate::store::{CallError, CommitOutcome, Condition, RateBudget, StoreClient, WriteOp};
use crate::threads::spawn_detached;
use serde_json::json;
use std::time::Duration;

/// The number of renewals within the duration of the lease.
const RENEWALS_PER_LEASE: f64 = 5.0;

/// The number of retries of a failed request within the duration of the lease.
const RETRIES_PER_LEASE: f64 = 24.0;

/// The shortest delay before a failed renewal is retried, in seconds.
const MIN_RENEWAL_RETRY_DELAY_S: Seconds = 0.3;

/// An event of the lease actor.
#[derive(Debug)]
pub enum LeaseEvent {
    /// The lease was granted or renewed.
    Renewed {
        /// The id of the lease, which is also this controller's incarnation.
        incarnation: u64,
        /// The time on the monotonic clock until which this controller can rely on the lease.
        until: Seconds,
    },
    /// The lease has expired; the actor acquires a new one.
    Expired,
}

/// Starts the actor that holds this node's lease and member key, in a detached thread.
///
/// `uses_shard_map` says whether this controller follows the shard map. `on_event` receives the
/// actor's events and returns false once their receiver has been dropped, which ends the actor.
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

/// The error that the receiver of the actor's events has been dropped.
struct Disconnected;

/// A lease that the store has granted.
struct GrantedLease {
    id: u64,
    /// The time on the monotonic clock until which this controller can rely on the lease.
    until: Seconds,
}

/// The state of the lease actor.
struct LeaseActor<F> {
    store: StoreClient,
    budget: RateBudget,
    member_key: String,
    /// The duration of the lease, counted from each renewal.
    lease_s: Seconds,
    uses_shard_map: bool,
    on_event: F,
}

impl<F: Fn(LeaseEvent) -> bool> LeaseActor<F> {
    /// Acquires a lease, renews it until it expires, and starts again. Returns once the
    /// receiver of the events has been dropped.
    fn run(&self) {
        loop {
            let Some(lease) = self.acquire() else {
                sleep(self.retry_delay_s());
                continue;
            };
            if self.renew_until_expired(lease).is_err() {
                return;
            }
        }
    }

    /// Requests a new lease and attaches the member key to it. Returns `None` if either
    /// fails.
    fn acquire(&self) -> Option<GrantedLease> {
        self.budget.charge_call();
        let revision = self.store.get(&self.member_key).ok()?;
        let revision = revision.map_or(0, |entry| entry.revision);
        let lease = self.request_lease()?;
        self.write_member_key(lease.id, revision).then_some(lease)
    }

    /// Requests a lease from the store. Its duration is counted from when the request was
    /// sent, as the store may have granted it at any time since.
    fn request_lease(&self) -> Option<GrantedLease> {
        self.budget.charge_call();
        let sent_at = clock::now();
        match self.store.create_lease(self.lease_s) {
            Ok(id) => Some(GrantedLease {
                id,
                until: self.usable_until(sent_at),
            }),
            Err(CallError::Status(status, _)) => {
                tracing::debug!(status, "the store refused to grant a member lease");
                None
            }
            Err(CallError::NoResponse) => None,
        }
    }

    /// Writes the member key if it is still at `revision`. Returns whether the store has
    /// confirmed the write.
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

    /// Reports the lease and renews it until the store responds that it has expired.
    fn renew_until_expired(&self, mut lease: GrantedLease) -> Result<(), Disconnected> {
        self.report_renewed(&lease)?;
        let mut delay_s = self.renewal_interval_s();
        loop {
            sleep(delay_s);
            self.budget.charge_call();
            let sent_at = clock::now();
            match self.store.renew_lease(lease.id) {
                Ok(true) => {
                    delay_s = self.renewal_interval_s();
                    lease.until = lease.until.max(self.usable_until(sent_at));
                    self.report_renewed(&lease)?;
                }
                Ok(false) => {
                    tracing::warn!(lease = lease.id, "the member lease has ended");
                    return self.report(LeaseEvent::Expired);
                }
                // Retried at shorter intervals than successful renewals, so that the end of
                // an outage is noticed soon.
                Err(_) => delay_s = self.retry_delay_s().max(MIN_RENEWAL_RETRY_DELAY_S),
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

    /// Returns the time until which this controller can rely on a lease that it requested
    /// or renewed at `sent_at`.
    fn usable_until(&self, sent_at: Seconds) -> Seconds {
        sent_at + clock::usable_lease(self.lease_s)
    }

    fn renewal_interval_s(&self) -> Seconds {
        self.lease_s / RENEWALS_PER_LEASE
    }

    fn retry_delay_s(&self) -> Seconds {
        self.lease_s / RETRIES_PER_LEASE
    }
}

fn sleep(delay_s: Seconds) {
    std::thread::sleep(Duration::from_secs_f64(delay_s));
}
