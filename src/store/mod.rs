//! Access to the key-value store: its keys and records, a client with a rate budget, the
//! watch that updates the local cache, and the group commit of writes.

pub mod cache;
mod client;
pub mod dangling_references;
mod group_commit;
mod http_client;
pub mod invalid_records;
pub mod keys;
pub mod leader_fencing;
pub mod pending_writes;
mod rate_budget;
pub mod records;
pub mod registry_pages;
mod token_bucket;
mod transaction;
mod watch;

pub use client::{EntryPage, KeyChange, KeyChanges, KeyValue, StoreClient};
pub use group_commit::{ConditionalWrite, GroupCommitter};
pub use http_client::{CallError, HttpClient};
pub use rate_budget::{RateBudget, WriteClass, BULK_SHARE};
pub use token_bucket::TokenBucket;
pub use transaction::{CommitOutcome, Condition, WriteOp};
pub use watch::{poll_interval, start_watch, WatchEvent};
