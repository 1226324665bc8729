//! Task that performs the reads and writes of one lease.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use slog::info;
use slog::warn;

use super::candidate::Candidate;
use super::object;
use super::object::LeaseObject;
use super::state_machine::Lease;
use super::state_machine::LeaseAction;
use super::state_machine::LeaseEvent;
use super::state_machine::LeaseTimings;
use crate::error::Kind;
use crate::error::Result;
use crate::id::FencingToken;
use crate::id::Incarnation;
use crate::id::ObjectVersion;
use crate::name::EntryName;
use crate::name::PoolName;
use crate::process::Context;
use crate::store::Object;
use crate::store::ObjectApi;

const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Tries to acquire and keep the lease of one pool until it is released or the process stops.
pub struct LeaderElector {
    cx: Context,
    api: Arc<dyn ObjectApi>,
    pool: PoolName,
    lease: Mutex<Lease>,
    candidate: Arc<dyn Candidate>,
}

impl LeaderElector {
    /// Starts the election for the lease of `pool` as the process `me` of the entry `entry`. The
    /// lease is acquired only while `candidate` allows it; a lease that is held is renewed in any
    /// case.
    #[must_use]
    pub fn start(
        cx: &Context,
        api: Arc<dyn ObjectApi>,
        pool: PoolName,
        me: Incarnation,
        entry: EntryName,
        timings: LeaseTimings,
        candidate: Arc<dyn Candidate>,
    ) -> Arc<Self> {
        let holder = Arc::new(Self {
            cx: cx.clone(),
            api,
            pool,
            lease: Mutex::new(Lease::new(me, entry, timings)),
            candidate,
        });
        tokio::spawn(run(Arc::clone(&holder)));
        holder
    }

    /// Returns the fencing token if this process holds the lease; call this before each use.
    #[must_use]
    pub fn token(&self) -> Option<FencingToken> {
        self.lock().token(self.cx.timers.now())
    }

    /// Records a fencing token reported by a sidecar.
    pub fn observe_fence(&self, fence: FencingToken) {
        let now = self.cx.timers.now();
        self.lock().observe_fence(now, fence);
    }

    /// Releases the lease, so that another entry need not wait until it expires.
    pub fn release(&self) {
        self.lock().request_release();
    }

    fn skips_polling(&self) -> bool {
        self.lock().can_idle() && !self.candidate.is_candidate()
    }

    async fn perform(&self, action: LeaseAction) -> LeaseEvent {
        let key = object::key(&self.pool);
        match action {
            LeaseAction::Read => self.read_event(self.api.get(&key).await),
            LeaseAction::Write { expected, value } => {
                let written = self.write(&key, expected, &value).await;
                self.write_event(written, &value)
            }
        }
    }

    async fn write(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &LeaseObject,
    ) -> Result<ObjectVersion> {
        self.api.put(key, expected, value.to_bytes()?).await
    }

    fn read_event(&self, read: Result<Object>) -> LeaseEvent {
        match read {
            Ok(object) => LeaseEvent::Read {
                version: object.version,
                value: self.decode(&object),
            },
            Err(e) => {
                warn!(self.cx.log, "lease not read"; "pool" => %self.pool, "error" => %e);
                LeaseEvent::ReadFailed
            }
        }
    }

    fn decode(&self, object: &Object) -> Option<LeaseObject> {
        if object.version == ObjectVersion(0) {
            return None;
        }
        match LeaseObject::from_bytes(&object.value) {
            Ok(value) => Some(value),
            Err(e) => {
                warn!(self.cx.log, "lease cannot be decoded"; "pool" => %self.pool, "error" => %e);
                None
            }
        }
    }

    fn write_event(&self, written: Result<ObjectVersion>, value: &LeaseObject) -> LeaseEvent {
        match written {
            Ok(version) => {
                info!(self.cx.log, "lease written"; "pool" => %self.pool,
                    "fence" => value.fence.0, "released" => value.released);
                LeaseEvent::Written { version }
            }
            Err(e) => {
                info!(self.cx.log, "lease not written"; "pool" => %self.pool, "error" => %e);
                match e.kind() {
                    Kind::Conflict => LeaseEvent::WriteConflict,
                    Kind::WriteUnsettled => LeaseEvent::WriteUnsettled,
                    _ => LeaseEvent::WriteFailed,
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Lease> {
        self.lease
            .lock()
            .expect("no code panics while it holds the lease")
    }
}

impl fmt::Debug for LeaderElector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Holder")
            .field("pool", &self.pool)
            .field("token", &self.token())
            .finish_non_exhaustive()
    }
}

/// Runs until the lease is released; a process that stops releases it first.
async fn run(holder: Arc<LeaderElector>) {
    let mut ticks = holder.cx.timers.every(TICK_INTERVAL);
    let mut event = LeaseEvent::Tick;
    loop {
        if holder.cx.stop.is_cancelled() {
            holder.release();
        }
        if event == LeaseEvent::Tick && holder.skips_polling() {
            ticks.tick().await;
            continue;
        }
        let now = holder.cx.timers.now();
        let action = holder.lock().handle(now, event);
        event = match action {
            Some(action) => holder.perform(action).await,
            None if holder.lock().is_finished() => return,
            None => {
                ticks.tick().await;
                LeaseEvent::Tick
            }
        };
    }
}
