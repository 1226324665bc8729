//! Decides from whom to fetch tables and to whom to hand them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::id::TableVersion;
use crate::time::Monotonic;

/// Longest random wait before tables are handed to a process that is behind.
///
/// Several entries see the same sidecar behind at the same time; the first one to act spares
/// the others the transfer.
pub const MAX_PUSH_DELAY: Duration = Duration::from_millis(400);

/// Time for which a process that did not answer is left alone.
pub const PENALTY: Duration = Duration::from_secs(2);

/// Transfers to other processes that may run at a time.
pub const MAX_PUSHES: usize = 16;

/// Processes that a fresh process asks before it trusts the newest of their tables.
pub const BOOTSTRAP_SOURCES: usize = 3;

/// Rounds through all contacts after which those that answered have to be enough.
pub const BOOTSTRAP_ROUNDS: u32 = 2;

const FORGET_AFTER: Duration = Duration::from_mins(5);
const FORGET_PERIOD: Duration = Duration::from_mins(1);

/// What the core is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipEvent {
    /// Another process said which tables it knows.
    Seen {
        /// The process.
        from: SocketAddr,
        /// The newest version that it knows.
        version: TableVersion,
    },
    /// This process put a version in force.
    Adopted {
        /// The version.
        version: TableVersion,
        /// Whether it came from the object API rather than from another process.
        first_hand: bool,
    },
    /// A fetch ended.
    Fetched {
        /// The process that was asked.
        from: SocketAddr,
        /// The version that it gave; `None` when it gave nothing valid.
        version: Option<TableVersion>,
    },
    /// A transfer to another process ended.
    Pushed {
        /// The process.
        to: SocketAddr,
        /// The version that it was given; `None` when the transfer failed.
        version: Option<TableVersion>,
    },
    /// Time has passed.
    Tick,
}

/// What the shell has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipAction {
    /// Read the tables of a process and tell the outcome.
    Fetch {
        /// The process to ask.
        from: SocketAddr,
    },
    /// Hand the tables in force to a process and tell the outcome.
    Push {
        /// The process that is behind.
        to: SocketAddr,
    },
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    version: TableVersion,
    seen: Monotonic,
    not_before: Monotonic,
    push_at: Option<Monotonic>,
    pushing: bool,
}

impl Peer {
    /// Plans to hand tables over after a random wait, unless that is planned already.
    fn plan_push(&mut self, now: Monotonic, rng: &mut impl Rng) -> Option<Monotonic> {
        if self.push_at.is_some() || self.pushing {
            return None;
        }
        self.push_at = Some(push_time(now.max(self.not_before), rng));
        self.push_at
    }
}

/// The decisions of one process about spreading tables.
#[derive(Debug)]
pub struct GossipState {
    version: TableVersion,
    peers: BTreeMap<SocketAddr, Peer>,
    contacts: Vec<SocketAddr>,
    answered: Vec<SocketAddr>,
    next_contact: usize,
    rounds: u32,
    contact_not_before: Monotonic,
    fetching: Option<SocketAddr>,
    pushes: usize,
    /// The newest version that any process was seen to know.
    newest_seen: TableVersion,
    /// The earliest time at which a transfer to another process is due.
    next_push_at: Option<Monotonic>,
    forgot_at: Monotonic,
}

impl GossipState {
    /// Creates the core of a process that knows `version` and may ask `contacts` at its start.
    #[must_use]
    pub const fn new(version: TableVersion, contacts: Vec<SocketAddr>) -> Self {
        Self {
            version,
            peers: BTreeMap::new(),
            contacts,
            answered: Vec::new(),
            next_contact: 0,
            rounds: 0,
            contact_not_before: Monotonic::ZERO,
            fetching: None,
            pushes: 0,
            newest_seen: version,
            next_push_at: None,
            forgot_at: Monotonic::ZERO,
        }
    }

    /// Returns the version in force, as told by [`GossipEvent::Adopted`].
    #[must_use]
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns whether enough contacts gave their tables to trust the newest of them.
    ///
    /// One contact alone may itself be behind; asking several makes that unlikely, and any
    /// sidecar that knows newer tables still refuses a dispatch made by older ones. Contacts
    /// that are away do not hold the start up for ever.
    #[must_use]
    pub fn is_bootstrapped(&self) -> bool {
        let enough = self.answered.len() >= BOOTSTRAP_SOURCES.min(self.contacts.len());
        self.version > TableVersion(0) && (enough || self.rounds >= BOOTSTRAP_ROUNDS)
    }

    /// Takes one event and returns what has to be done.
    pub fn handle(
        &mut self,
        now: Monotonic,
        event: GossipEvent,
        rng: &mut impl Rng,
    ) -> Vec<GossipAction> {
        match event {
            GossipEvent::Seen { from, version } => self.see(now, from, version, rng),
            GossipEvent::Adopted {
                version,
                first_hand,
            } => self.adopt(now, version, first_hand, rng),
            GossipEvent::Fetched { from, version } => self.end_fetch(now, from, version),
            GossipEvent::Pushed { to, version } => self.end_push(now, to, version),
            GossipEvent::Tick => self.forget(now),
        }
        let mut actions = Vec::new();
        actions.extend(self.begin_fetch(now));
        self.begin_pushes(now, &mut actions);
        actions
    }

    fn see(&mut self, now: Monotonic, from: SocketAddr, version: TableVersion, rng: &mut impl Rng) {
        let ours = self.version;
        self.newest_seen = self.newest_seen.max(version);
        let peer = self.peer(now, from);
        peer.version = version;
        peer.seen = now;
        if version >= ours {
            peer.push_at = None;
        } else if let Some(at) = peer.plan_push(now, rng) {
            self.note_push(at);
        }
    }

    fn note_push(&mut self, at: Monotonic) {
        self.next_push_at = Some(self.next_push_at.map_or(at, |next| next.min(at)));
    }

    fn adopt(
        &mut self,
        now: Monotonic,
        version: TableVersion,
        first_hand: bool,
        rng: &mut impl Rng,
    ) {
        assert!(
            version >= self.version,
            "tables went back from version {} to {version}",
            self.version
        );
        self.version = version;
        if !first_hand {
            // The others are about to hear it the same way; who is still behind shows later.
            return;
        }
        let behind = self.peers.values_mut().filter(|p| p.version < version);
        let planned: Vec<Monotonic> = behind.filter_map(|p| p.plan_push(now, rng)).collect();
        for at in planned {
            self.note_push(at);
        }
    }

    fn end_fetch(&mut self, now: Monotonic, from: SocketAddr, version: Option<TableVersion>) {
        if self.fetching == Some(from) {
            self.fetching = None;
        }
        let peer = self.peer(now, from);
        let Some(version) = version else {
            peer.not_before = now + PENALTY;
            return;
        };
        peer.version = version;
        // The notice that a fetched version is in force comes later, or never in a process that
        // stops; until then it must not be fetched again.
        self.version = self.version.max(version);
        if self.contacts.contains(&from) && !self.answered.contains(&from) {
            self.answered.push(from);
        }
    }

    fn end_push(&mut self, now: Monotonic, to: SocketAddr, version: Option<TableVersion>) {
        self.pushes = self.pushes.saturating_sub(1);
        let peer = self.peer(now, to);
        peer.pushing = false;
        match version {
            Some(version) => peer.version = peer.version.max(version),
            None => peer.not_before = now + PENALTY,
        }
    }

    fn forget(&mut self, now: Monotonic) {
        if now.since(self.forgot_at) < FORGET_PERIOD {
            return;
        }
        self.forgot_at = now;
        self.peers
            .retain(|_, peer| peer.pushing || now.since(peer.seen) < FORGET_AFTER);
    }

    fn begin_fetch(&mut self, now: Monotonic) -> Option<GossipAction> {
        if self.fetching.is_some() {
            return None;
        }
        let from = self.newest_peer(now).or_else(|| self.contact(now))?;
        self.fetching = Some(from);
        Some(GossipAction::Fetch { from })
    }

    fn newest_peer(&self, now: Monotonic) -> Option<SocketAddr> {
        if self.newest_seen <= self.version {
            return None;
        }
        self.peers
            .iter()
            .filter(|(_, peer)| peer.version > self.version && peer.not_before <= now)
            .max_by_key(|(_, peer)| peer.version)
            .map(|(addr, _)| *addr)
    }

    fn contact(&mut self, now: Monotonic) -> Option<SocketAddr> {
        if self.is_bootstrapped() || self.contacts.is_empty() || now < self.contact_not_before {
            return None;
        }
        let from = self.contacts[self.next_contact];
        self.next_contact = (self.next_contact + 1) % self.contacts.len();
        if self.next_contact == 0 {
            self.rounds += 1;
            self.contact_not_before = now + PENALTY;
        }
        Some(from)
    }

    fn begin_pushes(&mut self, now: Monotonic, actions: &mut Vec<GossipAction>) {
        let is_due = self.next_push_at.is_some_and(|at| at <= now);
        if !is_due || self.version == TableVersion(0) {
            return;
        }
        self.next_push_at = None;
        let mut waiting = None;
        for (to, peer) in &mut self.peers {
            let Some(at) = peer.push_at else { continue };
            if at > now || self.pushes >= MAX_PUSHES {
                waiting = Some(waiting.map_or(at, |next: Monotonic| next.min(at)));
                continue;
            }
            peer.push_at = None;
            peer.pushing = true;
            self.pushes += 1;
            actions.push(GossipAction::Push { to: *to });
        }
        self.next_push_at = waiting;
    }

    fn peer(&mut self, now: Monotonic, addr: SocketAddr) -> &mut Peer {
        self.peers.entry(addr).or_insert(Peer {
            version: TableVersion(0),
            seen: now,
            not_before: Monotonic::ZERO,
            push_at: None,
            pushing: false,
        })
    }
}

fn push_time(from: Monotonic, rng: &mut impl Rng) -> Monotonic {
    from + MAX_PUSH_DELAY.mul_f64(rng.random::<f64>())
}
