//! The local cache of the key-value store, its keys, and how controllers write to it.

mod keys;
mod pending_writes;
mod registry_cache;
mod registry_pages;
mod token_bucket;
