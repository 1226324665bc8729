//! Rules that assign faults to calls, and counters of the injected faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The operations of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// A request is dispatched.
    Dispatch,
    /// A stream of frames is resumed.
    Attach,
    /// A request is revoked.
    Revoke,
    /// A request is cancelled.
    Cancel,
    /// A sidecar that held an idempotency key before is asked about the key.
    CloseKey,
    /// A report is requested.
    Report,
    /// Tables are read.
    Tables,
    /// Tables are pushed.
    PushTables,
    /// An order is sent.
    Order,
}

/// The fault injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// The connection is refused, so nothing is sent.
    Refuse,
    /// The connection breaks while the call is being sent; it is not delivered.
    BreakBeforeDelivery,
    /// The call is delivered, but its reply is lost and the connection breaks.
    LoseReply,
    /// The stream breaks after this many frames.
    BreakAfter(usize),
    /// The call is delivered a second time after this delay; the second reply is discarded.
    Duplicate(Duration),
    /// The call is delivered after this delay even if the caller has given up; later calls can
    /// overtake it.
    Delay(Duration),
    /// The call is delivered, but no reply ever arrives and the connection stays open.
    StallReply,
    /// The stream stalls forever after this many frames.
    StallAfter(usize),
    /// The call is not delivered, and no reply or error ever arrives.
    BlackHole,
}

/// Injects one fault into the calls that it matches.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    fault: Fault,
    operation: Option<Operation>,
    to: Option<SocketAddr>,
    chance: f64,
    left: Option<u32>,
}

impl Rule {
    /// Creates a rule that matches every call.
    #[must_use]
    pub const fn new(fault: Fault) -> Self {
        Self {
            fault,
            operation: None,
            to: None,
            chance: 1.0,
            left: None,
        }
    }

    /// Matches only calls of one operation.
    #[must_use]
    pub const fn on(mut self, operation: Operation) -> Self {
        self.operation = Some(operation);
        self
    }

    /// Matches only calls to one sidecar.
    #[must_use]
    pub const fn to(mut self, to: SocketAddr) -> Self {
        self.to = Some(to);
        self
    }

    /// Matches at most `times` calls.
    #[must_use]
    pub const fn times(mut self, times: u32) -> Self {
        self.left = Some(times);
        self
    }

    /// Matches each call with this probability.
    #[must_use]
    pub const fn with_chance(mut self, chance: f64) -> Self {
        self.chance = chance;
        self
    }

    fn matches(&self, operation: Operation, to: SocketAddr) -> bool {
        self.left != Some(0)
            && self.operation.is_none_or(|wanted| wanted == operation)
            && self.to.is_none_or(|wanted| wanted == to)
    }
}

/// The active rules and the counters of injected faults; may be shared by several links.
#[derive(Debug)]
pub struct Faults {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    rules: Vec<Rule>,
    partitioned: BTreeSet<SocketAddr>,
    injected_counts: BTreeMap<(Operation, Fault), u64>,
}

impl Faults {
    /// Creates a set without rules.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        let state = State {
            rng: StdRng::seed_from_u64(seed),
            rules: Vec::new(),
            partitioned: BTreeSet::new(),
            injected_counts: BTreeMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Appends a rule; the first rule that matches a call applies.
    pub fn add(&self, rule: Rule) {
        self.lock().rules.push(rule);
    }

    /// Removes all rules and partitions.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.rules.clear();
        state.partitioned.clear();
    }

    /// Partitions the link from these sidecars; calls to them get [`Fault::BlackHole`].
    pub fn partition(&self, sidecars: impl IntoIterator<Item = SocketAddr>) {
        self.lock().partitioned.extend(sidecars);
    }

    /// Ends all partitions; calls made during a partition still never complete.
    pub fn heal_partitions(&self) {
        self.lock().partitioned.clear();
    }

    /// Returns how often a fault was injected into calls of one operation.
    #[must_use]
    pub fn injected_count(&self, operation: Operation, fault: Fault) -> u64 {
        let state = self.lock();
        state
            .injected_counts
            .get(&(operation, fault))
            .copied()
            .unwrap_or(0)
    }

    /// Returns the total number of injected faults.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.lock().injected_counts.values().sum()
    }

    pub(super) fn next_fault(&self, operation: Operation, to: SocketAddr) -> Option<Fault> {
        let mut state = self.lock();
        let fault = state.choose(operation, to)?;
        *state.injected_counts.entry((operation, fault)).or_default() += 1;
        Some(fault)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no panic while the state is locked")
    }
}

impl State {
    fn choose(&mut self, operation: Operation, to: SocketAddr) -> Option<Fault> {
        if self.partitioned.contains(&to) {
            return Some(Fault::BlackHole);
        }
        for rule in self.rules.iter_mut().filter(|r| r.matches(operation, to)) {
            if !self.rng.random_bool(rule.chance) {
                continue;
            }
            rule.left = rule.left.map(|left| left - 1);
            return Some(rule.fault);
        }
        None
    }
}
