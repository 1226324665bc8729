//! The simulated platform, shared by all its clients.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use eelgrassramp::store::Object;
use eelgrassramp::store::Vm;
use tokio::sync::watch;

use super::client::Client;
use super::faults::Faults;
use super::faults::InjectedFault;
use super::limiter::Limiter;
use super::objects::Objects;
use super::vms::Vms;

/// Limits and delays of the platform without injected faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Writes accepted per second.
    pub writes_per_second: f64,
    /// Reads, watches and listings accepted per second.
    pub reads_per_second: f64,
    /// Duration of one call.
    pub latency: Duration,
    /// Time until a change appears in the list of VMs.
    pub vm_lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            writes_per_second: 300.0,
            reads_per_second: 2000.0,
            latency: Duration::from_millis(2),
            vm_lag: Duration::from_secs(3),
        }
    }
}

/// Operations of the object API, counted separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Reads one object.
    Get,
    /// Writes one object.
    Put,
    /// Waits for a change of one object.
    Watch,
    /// Reads all objects with a common prefix.
    List,
    /// Reads the list of VMs.
    Vms,
}

/// Number of calls of one operation by one caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallCount {
    /// The caller's name.
    pub caller: Arc<str>,
    /// The operation.
    pub operation: Operation,
    /// The first part of the key.
    pub purpose: Arc<str>,
    /// Number of calls; a watch counts once, however long it waits.
    pub calls: u64,
}

/// The simulated platform.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    changed: watch::Sender<ObjectVersion>,
    timers: Timers,
    latency: Duration,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    vms: Vms,
    reads: Limiter,
    writes: Limiter,
    faults: Faults,
    injected_counts: BTreeMap<InjectedFault, u64>,
    calls: BTreeMap<(Arc<str>, Operation, Arc<str>), u64>,
}

impl Platform {
    /// Creates an empty platform.
    #[must_use]
    pub fn new(settings: Settings, timers: Timers) -> Arc<Self> {
        let state = State {
            objects: Objects::default(),
            vms: Vms::new(settings.vm_lag),
            reads: Limiter::new(settings.reads_per_second),
            writes: Limiter::new(settings.writes_per_second),
            faults: Faults::default(),
            injected_counts: BTreeMap::new(),
            calls: BTreeMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: watch::channel(ObjectVersion(0)).0,
            timers,
            latency: settings.latency,
        })
    }

    /// Returns a client whose calls are counted under the name `caller`.
    #[must_use]
    pub fn client(self: &Arc<Self>, caller: &str) -> Arc<Client> {
        Arc::new(Client::new(Arc::clone(self), caller.into()))
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Returns how often a fault was injected.
    #[must_use]
    pub fn injected_count(&self, fault: InjectedFault) -> u64 {
        self.lock()
            .injected_counts
            .get(&fault)
            .copied()
            .unwrap_or(0)
    }

    /// Replaces the list of VMs; readers see the change after [`Settings::vm_lag`].
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let now = self.timers.now();
        self.lock().vms.set(now, vms);
    }

    /// Returns the counts of all calls so far, including refused ones.
    #[must_use]
    pub fn calls(&self) -> Vec<CallCount> {
        let state = self.lock();
        let counts = state.calls.iter();
        counts
            .map(|((caller, operation, purpose), calls)| CallCount {
                caller: Arc::clone(caller),
                operation: *operation,
                purpose: Arc::clone(purpose),
                calls: *calls,
            })
            .collect()
    }

    pub(super) async fn get(&self, caller: &Arc<str>, key: &str) -> Result<Object> {
        self.begin_call(caller, Operation::Get, key).await?;
        Ok(self.lock().read(key))
    }

    pub(super) async fn put(
        &self,
        caller: &Arc<str>,
        key: &str,
        expected: Option<ObjectVersion>,
        value: Bytes,
    ) -> Result<ObjectVersion> {
        self.begin_call(caller, Operation::Put, key).await?;
        let (version, lost) = {
            let mut state = self.lock();
            let version = state.objects.put(key, expected, value)?;
            (version, state.take_lost_reply())
        };
        self.changed.send_replace(version);
        if lost {
            let detail = format!("object {key:?}: the reply was lost");
            return Err(Error::new(Kind::WriteUnsettled, detail));
        }
        Ok(version)
    }

    pub(super) async fn watch(
        &self,
        caller: &Arc<str>,
        key: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Object> {
        self.begin_call(caller, Operation::Watch, key).await?;
        let mut changed = self.changed.subscribe();
        let until = self.timers.now() + wait;
        loop {
            let silent = self.lock().take_hung_watch();
            if silent {
                std::future::pending::<()>().await;
            }
            changed.borrow_and_update();
            let object = self.lock().read(key);
            let left = until.since(self.timers.now());
            if object.version > after || left.is_zero() {
                return Ok(object);
            }
            // The next iteration checks both the time and the object, so the result is not needed.
            let _change = self.timers.limit(left, changed.changed()).await;
            self.refuse_in_outage(key)?;
        }
    }

    pub(super) async fn list(&self, caller: &Arc<str>, prefix: &str) -> Result<Vec<Object>> {
        self.begin_call(caller, Operation::List, prefix).await?;
        Ok(self.lock().objects.list(prefix))
    }

    pub(super) async fn vms(&self, caller: &Arc<str>) -> Result<Vec<Vm>> {
        self.begin_call(caller, Operation::Vms, "vms").await?;
        let now = self.timers.now();
        Ok(self.lock().vms.list(now))
    }

    async fn begin_call(&self, caller: &Arc<str>, operation: Operation, key: &str) -> Result<()> {
        let delay = self.lock().count(caller, operation, key);
        self.timers.after(self.latency + delay).await;
        self.refuse_in_outage(key)?;
        let now = self.timers.now();
        self.lock().check_rate_limit(now, operation, key)
    }

    fn refuse_in_outage(&self, key: &str) -> Result<()> {
        let mut state = self.lock();
        if !state.faults.outage {
            return Ok(());
        }
        state.count_fault(InjectedFault::Outage);
        Err(Error::new(
            Kind::StoreUnavailable,
            format!("object {key:?}: outage"),
        ))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no panic while the state is locked")
    }
}

impl State {
    fn count_fault(&mut self, fault: InjectedFault) {
        *self.injected_counts.entry(fault).or_default() += 1;
    }

    fn count(&mut self, caller: &Arc<str>, operation: Operation, key: &str) -> Duration {
        let purpose = key.split('/').next().unwrap_or(key).into();
        let count = (Arc::clone(caller), operation, purpose);
        *self.calls.entry(count).or_default() += 1;
        let delay = self.faults.delay;
        if !delay.is_zero() {
            self.count_fault(InjectedFault::Delay);
        }
        delay
    }

    fn check_rate_limit(
        &mut self,
        now: eelgrassramp::Monotonic,
        operation: Operation,
        key: &str,
    ) -> Result<()> {
        let admitted = match operation {
            Operation::Put => self.writes.admit(now),
            _ => self.reads.admit(now),
        };
        if admitted {
            return Ok(());
        }
        self.count_fault(InjectedFault::RateLimit);
        Err(Error::new(
            Kind::StoreUnavailable,
            format!("object {key:?}: rate limit"),
        ))
    }

    fn read(&mut self, key: &str) -> Object {
        if !self.faults.stale_reads {
            return self.objects.get(key);
        }
        self.count_fault(InjectedFault::StaleRead);
        self.objects.previous(key)
    }

    fn take_lost_reply(&mut self) -> bool {
        if self.faults.lost_replies == 0 {
            return false;
        }
        self.faults.lost_replies -= 1;
        self.count_fault(InjectedFault::LostReply);
        true
    }

    fn take_hung_watch(&mut self) -> bool {
        if self.faults.hung_watches {
            self.count_fault(InjectedFault::HungWatch);
        }
        self.faults.hung_watches
    }
}
