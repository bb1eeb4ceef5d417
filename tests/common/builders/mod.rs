//! Builders for jobs, machines, heartbeats, store caches, leaders and shards.

mod controllers;
mod heartbeats;
mod jobs;
mod orders;
#[path = "../settings.rs"]
mod settings_text;
mod store_cache;

pub(crate) use controllers::*;
pub(crate) use heartbeats::*;
pub(crate) use jobs::*;
pub(crate) use orders::*;
pub(crate) use store_cache::*;
