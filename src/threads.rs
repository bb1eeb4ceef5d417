//! Detached threads, which run until their channels close or the process ends.

/// The stack size of a thread, in bytes. It is small, because the threads need little stack
/// and some modules start dozens of them.
const STACK_BYTES: usize = 512 * 1024;

/// Starts a named thread without keeping a handle to join it. If the thread cannot be
/// started, the error is logged and `body` is never run.
pub fn spawn_detached(name: &str, body: impl FnOnce() + Send + 'static) {
    let spawned = std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(body);
    if let Err(error) = spawned {
        tracing::error!(name, %error, "cannot start a thread");
    }
}
