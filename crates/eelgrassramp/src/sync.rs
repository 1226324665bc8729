//! Locks that ignore poisoning, and tasks that are restarted after a panic.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use slog::error;

use crate::process::Context;

/// Delay before a task is restarted after a panic.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Locks a mutex, ignoring poisoning.
///
/// A panic in one task must not fail all others. The in-memory state is refreshed within seconds,
/// so it can be used as the panic left it.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a long-lived task of the process and restarts it after a panic.
///
/// Returns when the task returns or is cancelled.
pub async fn restart_on_panic<F>(cx: Context, name: &'static str, mut start: impl FnMut() -> F)
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    while let Err(e) = tokio::spawn(start()).await {
        if e.is_cancelled() {
            return;
        }
        error!(cx.log, "task failed, it is started again"; "task" => name, "cause" => %e);
        cx.timers.after(RESTART_DELAY).await;
    }
}
