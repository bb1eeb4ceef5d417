//! The keys that this program uses in the key-value store.
//!
//! | key | value |
//! | --- | --- |
//! | `fw/epoch` | [`Epoch`](super::records::Epoch), with its members and leader |
//! | `fw/m/NAME` | [`MemberRecord`](super::records::MemberRecord), attached to the member's lease |
//! | `fw/j/ID` | [`JobRecord`](super::records::JobRecord) |
//! | `fw/f/ID/CHUNK` | the finished tasks of a [`Chunk`](crate::finished::Chunk), as a bitmap in hex digits |
//! | `fw/r/PAGE` | [`RegistryPage`](super::records::RegistryPage), or a single [`MachineRecord`](super::records::MachineRecord) (versions before 0.2) |
//! | `fw/c` | [`Catalog`](crate::wire::Catalog) of the cloud |
//! | `fw/s` | shard map, as [`StoredShardMap`](finchwood_sharding::shard_map::StoredShardMap) |

use crate::finished::FINISHED_PREFIX;

/// The prefix of every key of this program.
pub const KEY_PREFIX: &str = "fw/";
/// The key of the epoch.
pub const EPOCH_KEY: &str = "fw/epoch";
/// The key of the cloud's catalog.
pub const CATALOG_KEY: &str = "fw/c";
/// The key of the shard map.
pub const SHARD_MAP_KEY: &str = "fw/s";
/// The prefix of the keys of member records.
pub const MEMBER_PREFIX: &str = "fw/m/";
/// The prefix of the keys of job records.
pub const JOB_PREFIX: &str = "fw/j/";
/// The prefix of the keys of machine registry pages.
pub const REGISTRY_PREFIX: &str = "fw/r/";

/// A parsed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreKey<'a> {
    /// The epoch.
    Epoch,
    /// The cloud's catalog.
    Catalog,
    /// The shard map.
    ShardMap,
    /// The record of the member with this name.
    Member(&'a str),
    /// The record of the job with this id.
    Job(&'a str),
    /// A chunk of a job's finished tasks.
    FinishedTasks {
        /// The job's id.
        job: &'a str,
        /// The name of the chunk, the last section of the key; see
        /// [`Chunk::parse`](crate::finished::Chunk::parse).
        chunk: &'a str,
    },
    /// The page of the machine registry with this name.
    RegistryPage(&'a str),
}

impl StoreKey<'_> {
    /// Parses a key; `None` for a key that this version does not know.
    pub fn parse(key: &str) -> Option<StoreKey<'_>> {
        match key {
            EPOCH_KEY => return Some(StoreKey::Epoch),
            CATALOG_KEY => return Some(StoreKey::Catalog),
            SHARD_MAP_KEY => return Some(StoreKey::ShardMap),
            _ => {}
        }
        if let Some(rest) = key.strip_prefix(FINISHED_PREFIX) {
            let (job, chunk) = rest.split_once('/')?;
            return Some(StoreKey::FinishedTasks { job, chunk });
        }
        let name_after = |prefix| key.strip_prefix(prefix).filter(|name| !name.contains('/'));
        name_after(MEMBER_PREFIX)
            .map(StoreKey::Member)
            .or_else(|| name_after(JOB_PREFIX).map(StoreKey::Job))
            .or_else(|| name_after(REGISTRY_PREFIX).map(StoreKey::RegistryPage))
    }
}

/// Returns the key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a page of the machine registry.
pub fn page_key(name: &str) -> String {
    format!("{REGISTRY_PREFIX}{name}")
}

/// Returns the key of a member's record.
pub fn member_key(name: &str) -> String {
    format!("{MEMBER_PREFIX}{name}")
}
