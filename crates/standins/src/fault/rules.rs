//! Which calls get which fault, and how often that happened.

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

/// The calls of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// A request is dispatched.
    Dispatch,
    /// Frames are asked for again.
    Attach,
    /// A request is revoked.
    Revoke,
    /// A request is cancelled.
    Cancel,
    /// A former home of an idempotency key is asked.
    CloseKey,
    /// A report is asked for.
    Report,
    /// Tables are read.
    Tables,
    /// Tables are handed over.
    PushTables,
    /// An order is sent.
    Order,
}

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// The connection is refused, so nothing is sent.
    Refuse,
    /// The connection breaks while the call is being sent; it is not delivered.
    BreakBefore,
    /// The call is delivered, its reply is lost and the connection breaks.
    LoseReply,
    /// The stream of frames ends after this many of them.
    BreakAfter(usize),
    /// The call is delivered a second time after this long; the second reply goes nowhere.
    Duplicate(Duration),
    /// The call is delivered after this long, also when the caller has given up; calls made
    /// later overtake it.
    Delay(Duration),
    /// The call is delivered, and the connection then stays silent for good.
    Silence,
    /// The stream of frames stays silent for good after this many of them.
    SilenceAfter(usize),
    /// The call is not delivered, and the connection stays silent for good.
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

    /// Matches only calls of one kind.
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

/// The rules in force and the counts of what they did; it may be shared by several links.
#[derive(Debug)]
pub struct Faults {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    rules: Vec<Rule>,
    cut: BTreeSet<SocketAddr>,
    fired: BTreeMap<(Operation, Fault), u64>,
}

impl Faults {
    /// Creates a set without rules.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        let state = State {
            rng: StdRng::seed_from_u64(seed),
            rules: Vec::new(),
            cut: BTreeSet::new(),
            fired: BTreeMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Adds a rule behind the others; the first rule that matches a call decides.
    pub fn add(&self, rule: Rule) {
        self.lock().rules.push(rule);
    }

    /// Removes all rules and partitions.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.rules.clear();
        state.cut.clear();
    }

    /// Cuts the link off from these sidecars; calls to them go into a black hole.
    pub fn cut(&self, sidecars: impl IntoIterator<Item = SocketAddr>) {
        self.lock().cut.extend(sidecars);
    }

    /// Ends all partitions; calls that went into the black hole stay there.
    pub fn heal(&self) {
        self.lock().cut.clear();
    }

    /// Returns how often a fault was injected into calls of one kind.
    #[must_use]
    pub fn fired(&self, operation: Operation, fault: Fault) -> u64 {
        let state = self.lock();
        state.fired.get(&(operation, fault)).copied().unwrap_or(0)
    }

    /// Returns how many faults were injected in all.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.lock().fired.values().sum()
    }

    pub(super) fn draw(&self, operation: Operation, to: SocketAddr) -> Option<Fault> {
        let mut state = self.lock();
        let fault = state.choose(operation, to)?;
        *state.fired.entry((operation, fault)).or_default() += 1;
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
        if self.cut.contains(&to) {
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
