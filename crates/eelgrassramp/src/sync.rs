//! Shared state that outlives a panic, and tasks that are started again after one.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use slog::error;

use crate::process::Context;

/// Pause before a task that panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Locks state that requests share.
///
/// A panic in one task must not end all others: what a process keeps in memory is learned anew
/// within seconds, so the state as the panic left it is used further.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a task that the process needs for all of its life, and starts it again after a panic.
///
/// It ends when the task ends by itself.
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
        cx.timers.after(RESTART_PAUSE).await;
    }
}
