//! The loop that asks sidecars for reports, within a budget of bytes.

use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;

use super::shared::Shared;
use crate::num;
use crate::time::Monotonic;

/// How often the loop looks whether a report is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two reports of one endpoint at least.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Seconds of budget that can be saved up, so that a fresh entry can ask everyone at once.
const MAX_BURST_SECONDS: f64 = 10.0;

/// Expected bytes of one report and its call.
const EXPECTED_CALL_BYTES: f64 = 500.0;

/// Ticks between two measurements of the queues' length.
const TICKS_PER_QUEUE_GAUGE: u32 = 20;

/// Bytes that control may still use.
#[derive(Debug)]
struct ByteBudget {
    bytes_per_second: f64,
    available_bytes: f64,
    refilled_at: Monotonic,
}

impl ByteBudget {
    fn new(now: Monotonic, bytes_per_second: u64) -> Self {
        let bytes_per_second = bytes_per_second as f64;
        Self {
            bytes_per_second,
            available_bytes: bytes_per_second * MAX_BURST_SECONDS,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Monotonic) {
        let refill_bytes = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_second;
        self.available_bytes =
            (self.available_bytes + refill_bytes).min(self.bytes_per_second * MAX_BURST_SECONDS);
        self.refilled_at = now;
    }
}

/// Polls until the entry stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut ticks = shared.timers().every(CHECK_INTERVAL);
    let limit = shared.settings.limits.control_bytes_per_second;
    let mut budget = ByteBudget::new(shared.now(), limit);
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let mut tick_count = 0;
    loop {
        shared.sync_tables();
        let now = shared.now();
        shared.lock_state().grant_endpoints_in_all_pools(now);
        budget.refill(now);
        while let Ok(bytes) = rx.try_recv() {
            budget.available_bytes += EXPECTED_CALL_BYTES - bytes;
        }
        loop {
            // What is wanted at once may overdraw the budget; routine reports pay it back.
            let min_interval =
                Some(MIN_POLL_INTERVAL).filter(|_| budget.available_bytes >= EXPECTED_CALL_BYTES);
            let Some(target) = shared.lock_state().router.next_poll(now, min_interval) else {
                break;
            };
            budget.available_bytes -= EXPECTED_CALL_BYTES;
            let shared = Arc::clone(&shared);
            let tx = tx.clone();
            tokio::spawn(async move {
                let bytes = shared.poll(&target).await;
                // The loop may have ended.
                let _received = tx.send(num::count(bytes) as f64);
            });
        }
        tick_count += 1;
        if tick_count % TICKS_PER_QUEUE_GAUGE == 0 {
            // A metric that cannot be sent is dropped.
            let _sent = shared
                .cx
                .metrics
                .gauge("queue.length", shared.waiting_requests());
        }
        tokio::select! {
            () = ticks.tick() => {}
            () = shared.poll_requested.notified() => {}
            () = shared.cx.stop.cancelled() => return,
        }
    }
}
