//! Tasks that read tables and the list of VMs, more often while this process is selected as
//! watcher.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::RngExt;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use super::sampling::RoleSampler;
use super::sampling::SampledRole;
use super::view::LeavingEndpoint;
use super::view::Membership;
use crate::id::Incarnation;
use crate::lease::Candidate;
use crate::process::Context;
use crate::store::ObjectApi;
use crate::tables;
use crate::tables::CurrentTables;

/// Interval at which a watcher reads the list.
pub const LIST_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Total rate at which all processes that are not watchers read.
const IDLE_READS_PER_SECOND: f64 = 4.0;

const MIN_IDLE_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Tracks the tables and the list of VMs, continuously or occasionally.
pub struct MembershipTracker {
    cx: Context,
    api: Arc<dyn ObjectApi>,
    current: Arc<CurrentTables>,
    seed: u64,
    membership: Mutex<Membership>,
    leaving: watch::Sender<Vec<LeavingEndpoint>>,
}

impl MembershipTracker {
    /// Starts tracking both until the process stops.
    #[must_use]
    pub fn start(cx: &Context, api: Arc<dyn ObjectApi>, current: Arc<CurrentTables>) -> Arc<Self> {
        let seed = cx.rng("duty").random();
        let tracker = Arc::new(Self {
            cx: cx.clone(),
            api,
            current,
            seed,
            membership: Mutex::new(Membership::new()),
            leaving: watch::channel(Vec::new()).0,
        });
        let stop = &cx.stop;
        let tables = track_tables(Arc::clone(&tracker));
        tokio::spawn(stop.clone().run_until_cancelled_owned(tables));
        let list = track_list(Arc::clone(&tracker));
        tokio::spawn(stop.clone().run_until_cancelled_owned(list));
        tracker
    }

    /// Subscribes to the list of endpoints whose VM is listed as leaving.
    #[must_use]
    pub fn leaving(&self) -> watch::Receiver<Vec<LeavingEndpoint>> {
        self.leaving.subscribe()
    }

    /// Records the incarnation of the sidecar at `addr`; returns whether it replaced another one.
    pub fn observe_incarnation(&self, addr: SocketAddr, incarnation: Incarnation) -> bool {
        let now = self.cx.timers.now();
        self.lock().observe_incarnation(now, addr, incarnation)
    }

    /// Returns the number of entries according to the list.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        let tables = self.current.get();
        self.lock().entry_count(&tables)
    }

    /// Returns whether this process is currently selected for `role`.
    #[must_use]
    pub fn is_selected_for(&self, role: SampledRole) -> bool {
        RoleSampler::new(self.seed, role).is_selected(self.cx.timers.now(), self.entry_count())
    }

    fn is_watcher(&self) -> bool {
        self.is_selected_for(SampledRole::Watcher)
    }

    /// Returns the read interval of a process that is not a watcher.
    ///
    /// It grows with the fleet, so that the total read rate stays constant.
    fn idle_read_interval(&self) -> Duration {
        let wait = Duration::from_secs_f64(self.entry_count() as f64 / IDLE_READS_PER_SECOND);
        wait.max(MIN_IDLE_READ_INTERVAL)
    }

    async fn read_list(&self) {
        match self.api.vms().await {
            Ok(vms) => {
                let now = self.cx.timers.now();
                self.lock().set_vms(now, &vms);
            }
            Err(e) => warn!(self.cx.log, "list of VMs not read"; "error" => %e),
        }
        self.publish_leaving();
    }

    fn publish_leaving(&self) {
        let now = self.cx.timers.now();
        let leaving = self.lock().leaving(now, &self.current.get());
        self.leaving.send_if_modified(|known| {
            if *known == leaving {
                return false;
            }
            info!(self.cx.log, "leaving endpoints changed"; "count" => leaving.len());
            *known = leaving;
            true
        });
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .expect("no code panics while it holds the membership")
    }
}

impl fmt::Debug for MembershipTracker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Follower")
            .field("current", &self.current.get().version)
            .finish_non_exhaustive()
    }
}

async fn track_tables(tracker: Arc<MembershipTracker>) {
    let reader = tables::TablesReader::new(
        tracker.cx.clone(),
        Arc::clone(&tracker.api),
        Arc::clone(&tracker.current),
    );
    reader.read().await;
    loop {
        if tracker.is_watcher() {
            reader.watch().await;
            continue;
        }
        // A process that is selected as watcher notices it after one interval at most.
        let read_at = tracker.cx.timers.now() + tracker.idle_read_interval();
        while !tracker.is_watcher() && tracker.cx.timers.now() < read_at {
            tracker.cx.timers.after(LIST_READ_INTERVAL).await;
        }
        reader.read().await;
    }
}

async fn track_list(tracker: Arc<MembershipTracker>) {
    loop {
        tracker.read_list().await;
        let read_at = tracker.cx.timers.now() + tracker.idle_read_interval();
        tracker.cx.timers.after(LIST_READ_INTERVAL).await;
        while !tracker.is_watcher() && tracker.cx.timers.now() < read_at {
            tracker.cx.timers.after(LIST_READ_INTERVAL).await;
        }
    }
}

impl Candidate for MembershipTracker {
    fn is_candidate(&self) -> bool {
        self.is_selected_for(SampledRole::LeaseCandidate)
    }
}
