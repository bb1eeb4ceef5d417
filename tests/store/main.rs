//! The local cache of the key-value store, its keys, and how controllers write to it.

mod group_commit;
mod keys;
mod leader_fencing;
mod pending_writes;
mod registry_cache;
mod registry_pages;
#[path = "../common/settings.rs"]
mod settings_text;
mod token_bucket;
