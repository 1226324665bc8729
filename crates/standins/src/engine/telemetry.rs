//! Engine telemetry: load reports with a lag, and cache events that may be late or lost.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::engine::EngineLoad;
use eelgrassramp::wire::CacheUpdate;

use super::cache::Change;

const MAX_EVENTS: usize = 4096;
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(100);

/// Recent load snapshots; a report returns the one that is `lag` old.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    snapshots: VecDeque<(Monotonic, EngineLoad)>,
}

impl LoadHistory {
    pub(super) const fn new(lag: Duration) -> Self {
        Self {
            lag,
            snapshots: VecDeque::new(),
        }
    }

    /// Returns whether the next snapshot is due.
    pub(super) fn is_due(&self, now: Monotonic) -> bool {
        let last = self.snapshots.back();
        last.is_none_or(|(at, _)| now.since(*at) >= SNAPSHOT_PERIOD)
    }

    pub(super) fn push(&mut self, now: Monotonic, load: EngineLoad) {
        self.snapshots.push_back((now, load));
        while self
            .snapshots
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= self.lag)
        {
            self.snapshots.pop_front();
        }
    }

    /// Returns the load as of one lag ago.
    pub(super) fn report(&self, now: Monotonic) -> Option<EngineLoad> {
        let old_enough = self.snapshots.iter().rev();
        let mut old_enough = old_enough.filter(|(at, _)| now.since(*at) >= self.lag);
        old_enough
            .next()
            .or_else(|| self.snapshots.front())
            .map(|(_, load)| load.clone())
    }
}

/// Log of cache changes.
#[derive(Debug)]
pub(super) struct CacheEvents {
    lag: Duration,
    last_seq: u64,
    log: VecDeque<Event>,
}

#[derive(Debug)]
struct Event {
    seq: u64,
    at: Monotonic,
    change: Change,
}

impl CacheEvents {
    pub(super) const fn new(lag: Duration) -> Self {
        Self {
            lag,
            last_seq: 0,
            log: VecDeque::new(),
        }
    }

    /// Appends a change; a lost event consumes a sequence number but carries no blocks.
    pub(super) fn push(&mut self, now: Monotonic, change: Change, lost: bool) {
        self.last_seq += 1;
        let change = if lost { Change::default() } else { change };
        self.log.push_back(Event {
            seq: self.last_seq,
            at: now,
            change,
        });
        if self.log.len() > MAX_EVENTS {
            self.log.pop_front();
        }
    }

    /// Returns the changes after `seq`, or `None` when the log no longer covers them.
    pub(super) fn after(&self, now: Monotonic, seq: u64) -> Option<CacheUpdate> {
        let oldest = self.log.front().map_or(self.last_seq + 1, |e| e.seq);
        if seq.saturating_add(1) < oldest || seq > self.last_seq {
            return None;
        }
        let mut update = CacheUpdate {
            seq,
            ..CacheUpdate::default()
        };
        let visible = self.log.iter().take_while(|e| now.since(e.at) >= self.lag);
        for event in visible.filter(|e| e.seq > seq) {
            update.seq = event.seq;
            update.added.retain(|b| !event.change.removed.contains(b));
            update.removed.retain(|b| !event.change.added.contains(b));
            update.added.extend(&event.change.added);
            update.removed.extend(&event.change.removed);
        }
        Some(update)
    }

    /// Skips to `seq`, so that readers at a lower sequence number get a full snapshot.
    pub(super) const fn skip_to(&mut self, seq: u64) {
        self.last_seq = seq;
    }

    pub(super) const fn last_seq(&self) -> u64 {
        self.last_seq
    }
}
