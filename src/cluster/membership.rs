//! Who is a member, and who leads. The decision is pure; the lease actor
//! keeps this node's own lease on the key-value store.

use crate::clock::{self, Seconds};
use crate::config::settings::Settings;
use crate::store::keys::member_key;
use crate::store::records::{Epoch, MemberRecord, Versioned, SHARD_MAP_CAPABILITY};
use crate::store::{CallError, CommitOutcome, Condition, RateBudget, StoreClient, WriteOp};
use crate::threads::spawn_detached;
use finchwood_sharding::shard_map::ShardMap;
pub use finchwood_types::token::{token, token_counter, token_epoch, MAX_COUNTER};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

/// The epoch that should follow, if the live members are not those of the
/// present one. The leader stays while it lives in the same incarnation.
pub fn next_epoch(
    present: Option<&Epoch>,
    live: &BTreeMap<String, Versioned<MemberRecord>>,
) -> Option<Epoch> {
    let members: BTreeMap<String, u64> = live
        .iter()
        .map(|(name, member)| (name.clone(), member.value.incarnation))
        .collect();
    let first = members.keys().next()?.clone();
    let shares = live
        .values()
        .all(|member| member.value.capability >= SHARD_MAP_CAPABILITY);
    match present {
        Some(e) if e.members == members => None,
        Some(e) => {
            let stays = members
                .get(&e.leader)
                .is_some_and(|incarnation| e.members.get(&e.leader) == Some(incarnation));
            // A survivor knows more than a newcomer does.
            let survivor = members
                .iter()
                .find(|(name, incarnation)| e.members.get(*name) == Some(incarnation))
                .map(|(name, _)| name.clone());
            let leader = if stays {
                e.leader.clone()
            } else {
                survivor.unwrap_or(first)
            };
            Some(Epoch {
                number: e.number + 1,
                members,
                leader,
                uses_shard_map: shares,
            })
        }
        None => Some(Epoch {
            number: 1,
            members,
            leader: first,
            uses_shard_map: shares,
        }),
    }
}

/// The epoch that follows when the present one's leader is about to run out of attempt
/// numbers: the same members and leader, and all numbers anew.
pub fn renewed_epoch(present: &Epoch) -> Epoch {
    Epoch {
        number: present.number + 1,
        ..present.clone()
    }
}

/// The live member that owns a machine: the highest hash of both names.
pub fn owner<'a>(members: &'a BTreeMap<String, u64>, machine: &str) -> Option<&'a str> {
    members
        .keys()
        .max_by_key(|name| (pair_hash(name, machine), std::cmp::Reverse(name.as_str())))
        .map(String::as_str)
}

/// The live member that owns a machine by the table of shares, where all members of the
/// epoch go by it; else by the hash.
pub fn owner_by_shard_map<'a>(
    epoch: &'a Epoch,
    table: &'a ShardMap,
    machine: &str,
) -> Option<&'a str> {
    let hash_owner = owner(&epoch.members, machine)?;
    if !epoch.uses_shard_map || table.is_empty() {
        return Some(hash_owner);
    }
    let moved = table
        .owner(hash_owner, machine)
        .filter(|owner| epoch.members.contains_key(*owner));
    Some(moved.unwrap_or(hash_owner))
}

fn pair_hash(a: &str, b: &str) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for byte in a.bytes().chain([0xff]).chain(b.bytes()) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    // FNV alone moves the last bytes too little into the upper bits.
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// What the lease actor tells its owner.
#[derive(Debug)]
pub enum LeaseEvent {
    /// This node's lease (its incarnation) can be relied upon until then.
    Renewed { incarnation: u64, until: Seconds },
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
