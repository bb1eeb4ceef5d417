//! Detached threads: actors that run until their channels close or the process ends.

/// The stack of a thread, in bytes: actors need little, and some modules start dozens.
const STACK_BYTES: usize = 512 * 1024;

/// Starts a named thread that nobody joins. A thread that cannot be started is logged.
pub fn spawn_detached(name: &str, body: impl FnOnce() + Send + 'static) {
    let started = std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(body);
    if let Err(error) = started {
        tracing::error!(name, %error, "cannot start a thread");
    }
}
