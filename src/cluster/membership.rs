//! Which controllers are members, which leads, and which owns a machine. Pure; see
//! [`member_lease`](super::member_lease) for the lease that makes a member.

use crate::store::records::{Epoch, MemberRecord, Versioned, SHARD_MAP_CAPABILITY};
use finchwood_sharding::shard_map::ShardMap;
pub use finchwood_types::token::{token, token_counter, token_epoch, MAX_COUNTER};
use std::collections::BTreeMap;

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
