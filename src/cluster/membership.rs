//! Which controllers are members, which leads, and which owns a machine. Pure; see
//! [`member_lease`](super::member_lease) for the lease that makes a member.

use crate::store::records::{Epoch, MemberRecord, Versioned, SHARD_MAP_CAPABILITY};
use finchwood_sharding::shard_map::ShardMap;
pub use finchwood_types::token::{token, token_counter, token_epoch, MAX_COUNTER};
use std::collections::BTreeMap;

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Between the two hashed names; no UTF-8 text has this byte.
const NAME_SEPARATOR: u8 = 0xff;

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
    if present.is_some_and(|epoch| epoch.members == members) {
        return None;
    }
    let leader = elect_leader(present, &members)?;
    let uses_shard_map = live
        .values()
        .all(|member| member.value.capability >= SHARD_MAP_CAPABILITY);
    Some(Epoch {
        number: present.map_or(0, |epoch| epoch.number) + 1,
        members,
        leader,
        uses_shard_map,
    })
}

/// The leader of the epoch that follows the present one: its leader if it is among the
/// members in the same incarnation, else the first member that was in the present epoch,
/// else the first of all.
fn elect_leader(present: Option<&Epoch>, members: &BTreeMap<String, u64>) -> Option<String> {
    let survives = |name: &str, incarnation: &u64| {
        present.is_some_and(|epoch| epoch.members.get(name) == Some(incarnation))
    };
    let present_leader = present.map(|epoch| &epoch.leader).filter(|leader| {
        members
            .get(*leader)
            .is_some_and(|incarnation| survives(leader, incarnation))
    });
    // A survivor knows more than a newcomer does.
    let first_survivor = || {
        members
            .iter()
            .find(|(name, incarnation)| survives(name, incarnation))
            .map(|(name, _)| name)
    };
    present_leader
        .or_else(first_survivor)
        .or_else(|| members.keys().next())
        .cloned()
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
pub fn owner_by_hash<'a>(members: &'a BTreeMap<String, u64>, machine: &str) -> Option<&'a str> {
    members
        .keys()
        .max_by_key(|name| (pair_hash(name, machine), std::cmp::Reverse(name.as_str())))
        .map(String::as_str)
}

/// The live member that owns a machine by the shard map, where all members of the epoch
/// use it; else by the hash.
pub fn owner_by_shard_map<'a>(
    epoch: &'a Epoch,
    shard_map: &'a ShardMap,
    machine: &str,
) -> Option<&'a str> {
    let hash_owner = owner_by_hash(&epoch.members, machine)?;
    if !epoch.uses_shard_map || shard_map.is_empty() {
        return Some(hash_owner);
    }
    let assigned_owner = shard_map
        .owner(hash_owner, machine)
        .filter(|owner| epoch.members.contains_key(*owner));
    Some(assigned_owner.unwrap_or(hash_owner))
}

/// A hash of a member's and a machine's name. All controllers compute the same one.
fn pair_hash(member: &str, machine: &str) -> u64 {
    let name_bytes = member
        .bytes()
        .chain([NAME_SEPARATOR])
        .chain(machine.bytes());
    let fnv = name_bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // FNV alone moves the last bytes too little into the upper bits.
    mix_bits(fnv)
}

/// The finalizer of MurmurHash3: every bit of the input changes all bits of the result.
fn mix_bits(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
