//! Decides which controllers are the members of an epoch, which of them leads, and which
//! owns a machine. This module does no input or output; see
//! [`member_lease`](super::member_lease) for the lease by which a controller is a member.

use crate::store::records::{Epoch, MemberRecord, Versioned, SHARD_MAP_CAPABILITY};
use finchwood_sharding::shard_map::ShardMap;
pub use finchwood_types::token::{token, token_counter, token_epoch, MAX_COUNTER};
use std::collections::BTreeMap;

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The byte that separates the two hashed names. It does not occur in UTF-8 text.
const NAME_SEPARATOR: u8 = 0xff;

/// Returns the epoch that should follow the current one; `None` if the live members are
/// those of the current one, or there are none. The leader stays while it is live in the
/// same incarnation.
pub fn next_epoch(
    current: Option<&Epoch>,
    live: &BTreeMap<String, Versioned<MemberRecord>>,
) -> Option<Epoch> {
    let members: BTreeMap<String, u64> = live
        .iter()
        .map(|(name, member)| (name.clone(), member.value.incarnation))
        .collect();
    if current.is_some_and(|epoch| epoch.members == members) {
        return None;
    }
    let leader = elect_leader(current, &members)?;
    let uses_shard_map = live
        .values()
        .all(|member| member.value.capability >= SHARD_MAP_CAPABILITY);
    Some(Epoch {
        number: current.map_or(0, |epoch| epoch.number) + 1,
        members,
        leader,
        uses_shard_map,
    })
}

/// Elects the leader of the epoch that follows the current one: the current leader if it is
/// among `members` in the same incarnation, else the first member by name that is also a member
/// of the current epoch in the same incarnation, else the first member by name. Returns `None`
/// if there are no members.
fn elect_leader(current: Option<&Epoch>, members: &BTreeMap<String, u64>) -> Option<String> {
    let survives = |name: &str, incarnation: &u64| {
        current.is_some_and(|epoch| epoch.members.get(name) == Some(incarnation))
    };
    let current_leader = current.map(|epoch| &epoch.leader).filter(|leader| {
        members
            .get(*leader)
            .is_some_and(|incarnation| survives(leader, incarnation))
    });
    // Members of the current epoch have more of the cluster's state than new ones do.
    let first_survivor = || {
        members
            .iter()
            .find(|(name, incarnation)| survives(name, incarnation))
            .map(|(name, _)| name)
    };
    current_leader
        .or_else(first_survivor)
        .or_else(|| members.keys().next())
        .cloned()
}

/// Returns the epoch to enter when the leader of the current one is about to run out of
/// attempt numbers: it has the same members and leader, and attempt numbers start again.
pub fn renewed_epoch(current: &Epoch) -> Epoch {
    Epoch {
        number: current.number + 1,
        ..current.clone()
    }
}

/// Returns the hash owner of a machine, by rendezvous hashing: the member whose name has the
/// highest hash together with the machine's name. `None` if there are no members.
pub fn owner_by_hash<'a>(members: &'a BTreeMap<String, u64>, machine: &str) -> Option<&'a str> {
    members
        .keys()
        .max_by_key(|name| (pair_hash(name, machine), std::cmp::Reverse(name.as_str())))
        .map(String::as_str)
}

/// Returns the member that owns a machine in an epoch. That is the owner that the shard map
/// assigns if all members of the epoch follow the map and the assigned owner is one of them,
/// else the hash owner.
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

/// Hashes a member's name together with a machine's. All controllers must compute the same
/// hash.
fn pair_hash(member: &str, machine: &str) -> u64 {
    let name_bytes = member
        .bytes()
        .chain([NAME_SEPARATOR])
        .chain(machine.bytes());
    let fnv = name_bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // In FNV alone, the last bytes hardly affect the upper bits, which decide the order.
    mix_bits(fnv)
}

/// Applies the finalizer of MurmurHash3, by which every bit of the input affects all bits
/// of the result.
fn mix_bits(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
