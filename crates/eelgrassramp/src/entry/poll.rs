//! The loop that asks sidecars for reports, within a budget of bytes.

use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;

use super::shared::Shared;
use crate::num;
use crate::time::Monotonic;

/// How often the loop looks whether a report is due.
const POLL_TICK: Duration = Duration::from_millis(50);

/// Time between two reports of one endpoint at least.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Seconds of budget that can be saved up, so that a fresh entry can ask everyone at once.
const MAX_SAVED_SECONDS: f64 = 10.0;

/// Expected bytes of one report and its call.
const TYPICAL_BYTES: f64 = 500.0;

/// Ticks between two measurements of the queues' length.
const TICKS_PER_GAUGE: u32 = 20;

/// Bytes that control may still use.
#[derive(Debug)]
struct ByteBudget {
    per_second: f64,
    saved: f64,
    at: Monotonic,
}

impl ByteBudget {
    fn new(now: Monotonic, per_second: u64) -> Self {
        let per_second = per_second as f64;
        Self {
            per_second,
            saved: per_second * MAX_SAVED_SECONDS,
            at: now,
        }
    }

    fn refill(&mut self, now: Monotonic) {
        let earned = now.since(self.at).as_secs_f64() * self.per_second;
        self.saved = (self.saved + earned).min(self.per_second * MAX_SAVED_SECONDS);
        self.at = now;
    }
}

/// Polls until the entry stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut ticks = shared.timers().every(POLL_TICK);
    let limit = shared.settings.limits.control_bytes_per_second;
    let mut budget = ByteBudget::new(shared.now(), limit);
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let mut gauge = 0;
    loop {
        shared.sync_tables();
        let now = shared.now();
        shared.lock().pump_all(now);
        budget.refill(now);
        while let Ok(bytes) = rx.try_recv() {
            budget.saved += TYPICAL_BYTES - bytes;
        }
        loop {
            // What is wanted at once may overdraw the budget; routine reports pay it back.
            let interval = Some(MIN_POLL_INTERVAL).filter(|_| budget.saved >= TYPICAL_BYTES);
            let Some(target) = shared.lock().router.next_poll(now, interval) else {
                break;
            };
            budget.saved -= TYPICAL_BYTES;
            let shared = Arc::clone(&shared);
            let tx = tx.clone();
            tokio::spawn(async move {
                let bytes = shared.poll(&target).await;
                // The loop may have ended.
                let _received = tx.send(num::count(bytes) as f64);
            });
        }
        gauge += 1;
        if gauge % TICKS_PER_GAUGE == 0 {
            // A metric that cannot be sent is dropped.
            let _sent = shared.cx.metrics.gauge("queue.length", shared.waiting());
        }
        tokio::select! {
            () = ticks.tick() => {}
            () = shared.pressed.notified() => {}
            () = shared.cx.stop.cancelled() => return,
        }
    }
}
