//! Stand-ins for the external systems that controllers depend on, each as small as the
//! protocol allows: a key-value store, a cloud, and the workers of its machines.

pub mod cloud;
mod json_server;
pub mod store;
pub mod worker;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// State that the threads of a stand-in share.
type Shared<T> = Arc<Mutex<T>>;

/// Locks shared state, also after a thread that held it panicked.
fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
