//! Reads from the platform when it is this process's duty.

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

/// Time between two readings of the list by a process that has the duty.
pub const LIST_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Readings a second that the processes without the duty make together.
const IDLE_READS_PER_SECOND: f64 = 4.0;

const MIN_IDLE_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Follows the tables and the list of VMs, all the time or now and then.
pub struct MembershipTracker {
    cx: Context,
    api: Arc<dyn ObjectApi>,
    current: Arc<CurrentTables>,
    seed: u64,
    membership: Mutex<Membership>,
    leaving: watch::Sender<Vec<LeavingEndpoint>>,
}

impl MembershipTracker {
    /// Starts to follow both until the process stops.
    #[must_use]
    pub fn start(cx: &Context, api: Arc<dyn ObjectApi>, current: Arc<CurrentTables>) -> Arc<Self> {
        let seed = cx.rng("duty").random();
        let follower = Arc::new(Self {
            cx: cx.clone(),
            api,
            current,
            seed,
            membership: Mutex::new(Membership::new()),
            leaving: watch::channel(Vec::new()).0,
        });
        let stop = &cx.stop;
        let tables = follow_tables(Arc::clone(&follower));
        tokio::spawn(stop.clone().run_until_cancelled_owned(tables));
        let list = follow_list(Arc::clone(&follower));
        tokio::spawn(stop.clone().run_until_cancelled_owned(list));
        follower
    }

    /// Subscribes to the endpoints whose VM is listed as leaving.
    #[must_use]
    pub fn leaving(&self) -> watch::Receiver<Vec<LeavingEndpoint>> {
        self.leaving.subscribe()
    }

    /// Notes the life of the sidecar at `addr`; tells whether it replaced another one.
    pub fn observe_incarnation(&self, addr: SocketAddr, life: Incarnation) -> bool {
        let now = self.cx.timers.now();
        self.lock().observe_incarnation(now, addr, life)
    }

    /// Returns the number of entries, as far as the list tells.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        let tables = self.current.get();
        self.lock().entry_count(&tables)
    }

    /// Tells whether this process has a duty on behalf of the others now.
    #[must_use]
    pub fn is_selected_for(&self, role: SampledRole) -> bool {
        RoleSampler::new(self.seed, role).is_selected(self.cx.timers.now(), self.entry_count())
    }

    fn is_watcher(&self) -> bool {
        self.is_selected_for(SampledRole::Watcher)
    }

    /// Returns the time between two readings without the duty.
    ///
    /// It grows with the fleet, so that all readings together keep their rate.
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

async fn follow_tables(follower: Arc<MembershipTracker>) {
    let reader = tables::TablesReader::new(
        follower.cx.clone(),
        Arc::clone(&follower.api),
        Arc::clone(&follower.current),
    );
    reader.read().await;
    loop {
        if follower.is_watcher() {
            reader.watch().await;
            continue;
        }
        // A process that gains the duty begins with the next tick of its epoch.
        let read_at = follower.cx.timers.now() + follower.idle_read_interval();
        while !follower.is_watcher() && follower.cx.timers.now() < read_at {
            follower.cx.timers.after(LIST_READ_INTERVAL).await;
        }
        reader.read().await;
    }
}

async fn follow_list(follower: Arc<MembershipTracker>) {
    loop {
        follower.read_list().await;
        let read_at = follower.cx.timers.now() + follower.idle_read_interval();
        follower.cx.timers.after(LIST_READ_INTERVAL).await;
        while !follower.is_watcher() && follower.cx.timers.now() < read_at {
            follower.cx.timers.after(LIST_READ_INTERVAL).await;
        }
    }
}

impl Candidate for MembershipTracker {
    fn is_candidate(&self) -> bool {
        self.is_selected_for(SampledRole::LeaseCandidate)
    }
}
