//! What controllers keep of the key-value store and how they write to it.

mod keys;
mod pending_writes;
mod registry_cache;
mod registry_pages;
mod token_bucket;
