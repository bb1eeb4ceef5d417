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

/// Starts the actor that holds this node's lease and member key.
pub fn start_lease_actor<F>(settings: &Settings, budget: RateBudget, shares: bool, tell: F)
where
    F: Fn(LeaseEvent) -> bool + Send + 'static,
{
    let store = StoreClient::new(settings);
    let key = member_key(&settings.node_name);
    let life = settings.member_lease_s();
    spawn_detached("lease", move || loop {
        let pause = life / 24.0;
        let Some((lease, sent)) = join(&store, &budget, &key, life, shares) else {
            std::thread::sleep(Duration::from_secs_f64(pause));
            continue;
        };
        let mut until = sent + clock::usable(life);
        if !tell(LeaseEvent::Renewed {
            incarnation: lease,
            until,
        }) {
            return;
        }
        let mut gap = life / 5.0;
        loop {
            std::thread::sleep(Duration::from_secs_f64(gap));
            budget.force_call();
            let sent = clock::now();
            match store.renew(lease) {
                Ok(true) => {
                    gap = life / 5.0;
                    until = until.max(sent + clock::usable(life));
                    if !tell(LeaseEvent::Renewed {
                        incarnation: lease,
                        until,
                    }) {
                        return;
                    }
                }
                Ok(false) => {
                    tracing::warn!(lease, "the member lease has ended");
                    if !tell(LeaseEvent::Expired) {
                        return;
                    }
                    break;
                }
                // Ask more often while it is refused, so that an outage's
                // end is noticed soon.
                Err(_) => gap = pause.max(0.3),
            }
        }
    });
}

/// A new lease with the member key attached to it.
fn join(
    store: &StoreClient,
    budget: &RateBudget,
    key: &str,
    life: Seconds,
    shares: bool,
) -> Option<(u64, Seconds)> {
    budget.force_call();
    let revision = store.get(key).ok()?.map_or(0, |e| e.revision);
    budget.force_call();
    let sent = clock::now();
    let lease = match store.lease(life) {
        Ok(lease) => lease,
        Err(CallError::Status(code, _)) => {
            tracing::debug!(code, "no member lease yet");
            return None;
        }
        Err(CallError::NoResponse) => return None,
    };
    budget.force_call();
    let put = WriteOp::Put {
        key: key.into(),
        value: json!(MemberRecord::new(lease, shares)),
        lease: Some(lease),
    };
    match store.commit(&[Condition::new(key, revision)], &[put]) {
        CommitOutcome::Committed(_) => Some((lease, sent)),
        _ => None,
    }
}
