//! The loop that polls sidecars for load reports, within a bandwidth budget.

use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;

use super::shared::Shared;
use crate::num;
use crate::time::Monotonic;

/// Interval at which the loop checks whether a report is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two routine reports of one endpoint.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Capacity of the byte budget in seconds of its rate, so that a newly started entry can poll all
/// sidecars at once.
const MAX_BURST_SECONDS: f64 = 10.0;

/// Expected size of one report call in bytes, request and reply together.
const EXPECTED_CALL_BYTES: f64 = 500.0;

/// Loop iterations between two measurements of the queue length.
const TICKS_PER_QUEUE_GAUGE: u32 = 20;

/// Token bucket that limits the bytes spent on report calls.
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

/// Polls sidecars until the entry stops.
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
            // Urgent reports may overdraw the budget; routine reports wait until it is refilled.
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
                // Sending fails only when the loop has ended.
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
