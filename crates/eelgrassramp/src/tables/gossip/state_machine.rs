//! State machine that decides from which peers to fetch tables and to which to push them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::id::TableVersion;
use crate::time::Monotonic;

/// Maximum random delay before tables are pushed to a peer with older ones.
///
/// Several entries notice an outdated sidecar at the same time; once the first one has pushed, the
/// others need not.
pub const MAX_PUSH_DELAY: Duration = Duration::from_millis(400);

/// Time after a failed transfer before the peer is tried again.
pub const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of concurrent pushes.
pub const MAX_PUSHES: usize = 16;

/// Number of peers that must answer before a new process trusts the newest of their tables.
pub const BOOTSTRAP_SOURCES: usize = 3;

/// Rounds through all bootstrap peers after which any number of answers is sufficient.
pub const BOOTSTRAP_ROUNDS: u32 = 2;

const PEER_EXPIRY: Duration = Duration::from_mins(5);
const PEER_EXPIRY_INTERVAL: Duration = Duration::from_mins(1);

/// Input event of a [`GossipState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipEvent {
    /// A peer reported its table version.
    Seen {
        /// The peer.
        from: SocketAddr,
        /// Its newest version.
        version: TableVersion,
    },
    /// This process put a version in force.
    Adopted {
        /// The version.
        version: TableVersion,
        /// Whether it came from the object API rather than from a peer.
        from_object_api: bool,
    },
    /// A fetch completed.
    Fetched {
        /// The peer.
        from: SocketAddr,
        /// The version that it returned; `None` if the fetch failed or the tables were invalid.
        version: Option<TableVersion>,
    },
    /// A push completed.
    Pushed {
        /// The peer.
        to: SocketAddr,
        /// The version that was pushed; `None` if the push failed.
        version: Option<TableVersion>,
    },
    /// Time has passed.
    Tick,
}

/// Action requested by a [`GossipState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipAction {
    /// Fetch the tables of a peer and report the outcome.
    Fetch {
        /// The peer to fetch from.
        from: SocketAddr,
    },
    /// Push the tables in force to a peer and report the outcome.
    Push {
        /// The peer with older tables.
        to: SocketAddr,
    },
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    version: TableVersion,
    last_seen: Monotonic,
    not_before: Monotonic,
    push_at: Option<Monotonic>,
    pushing: bool,
}

impl Peer {
    /// Schedules a push after a random delay, unless one is scheduled already.
    fn schedule_push(&mut self, now: Monotonic, rng: &mut impl Rng) -> Option<Monotonic> {
        if self.push_at.is_some() || self.pushing {
            return None;
        }
        self.push_at = Some(jittered_push_time(now.max(self.not_before), rng));
        self.push_at
    }
}

/// Gossip state of one process.
#[derive(Debug)]
pub struct GossipState {
    version: TableVersion,
    peers: BTreeMap<SocketAddr, Peer>,
    bootstrap_peers: Vec<SocketAddr>,
    answered: Vec<SocketAddr>,
    next_bootstrap_peer: usize,
    rounds: u32,
    bootstrap_not_before: Monotonic,
    fetching: Option<SocketAddr>,
    active_pushes: usize,
    /// The newest version reported by any peer.
    newest_seen: TableVersion,
    /// The earliest time at which a push is due.
    next_push_at: Option<Monotonic>,
    peers_expired_at: Monotonic,
}

impl GossipState {
    /// Creates the state of a process that has `version` and may fetch from `bootstrap_peers` at
    /// its start.
    #[must_use]
    pub const fn new(version: TableVersion, bootstrap_peers: Vec<SocketAddr>) -> Self {
        Self {
            version,
            peers: BTreeMap::new(),
            bootstrap_peers,
            answered: Vec::new(),
            next_bootstrap_peer: 0,
            rounds: 0,
            bootstrap_not_before: Monotonic::ZERO,
            fetching: None,
            active_pushes: 0,
            newest_seen: version,
            next_push_at: None,
            peers_expired_at: Monotonic::ZERO,
        }
    }

    /// Returns the newest version that was adopted or fetched.
    #[must_use]
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns whether enough bootstrap peers answered to trust the newest of their tables.
    ///
    /// A single peer may be outdated; asking several makes that unlikely, and a sidecar with newer
    /// tables still refuses a dispatch based on older ones. Unreachable peers do not block the
    /// start forever.
    #[must_use]
    pub fn is_bootstrapped(&self) -> bool {
        let enough = self.answered.len() >= BOOTSTRAP_SOURCES.min(self.bootstrap_peers.len());
        self.version > TableVersion(0) && (enough || self.rounds >= BOOTSTRAP_ROUNDS)
    }

    /// Processes one event and returns the next actions.
    pub fn handle(
        &mut self,
        now: Monotonic,
        event: GossipEvent,
        rng: &mut impl Rng,
    ) -> Vec<GossipAction> {
        match event {
            GossipEvent::Seen { from, version } => self.observe_peer(now, from, version, rng),
            GossipEvent::Adopted {
                version,
                from_object_api,
            } => self.adopt(now, version, from_object_api, rng),
            GossipEvent::Fetched { from, version } => self.end_fetch(now, from, version),
            GossipEvent::Pushed { to, version } => self.end_push(now, to, version),
            GossipEvent::Tick => self.expire_peers(now),
        }
        let mut actions = Vec::new();
        actions.extend(self.begin_fetch(now));
        self.begin_pushes(now, &mut actions);
        actions
    }

    fn observe_peer(
        &mut self,
        now: Monotonic,
        from: SocketAddr,
        version: TableVersion,
        rng: &mut impl Rng,
    ) {
        let own_version = self.version;
        self.newest_seen = self.newest_seen.max(version);
        let peer = self.peer(now, from);
        peer.version = version;
        peer.last_seen = now;
        if version >= own_version {
            peer.push_at = None;
        } else if let Some(at) = peer.schedule_push(now, rng) {
            self.update_next_push(at);
        }
    }

    fn update_next_push(&mut self, at: Monotonic) {
        self.next_push_at = Some(self.next_push_at.map_or(at, |next| next.min(at)));
    }

    fn adopt(
        &mut self,
        now: Monotonic,
        version: TableVersion,
        from_object_api: bool,
        rng: &mut impl Rng,
    ) {
        assert!(
            version >= self.version,
            "tables version decreased from {} to {version}",
            self.version
        );
        self.version = version;
        if !from_object_api {
            // The peers are about to receive it the same way; those that stay behind report an
            // older version later.
            return;
        }
        let outdated = self.peers.values_mut().filter(|p| p.version < version);
        let push_times: Vec<Monotonic> =
            outdated.filter_map(|p| p.schedule_push(now, rng)).collect();
        for at in push_times {
            self.update_next_push(at);
        }
    }

    fn end_fetch(&mut self, now: Monotonic, from: SocketAddr, version: Option<TableVersion>) {
        if self.fetching == Some(from) {
            self.fetching = None;
        }
        let peer = self.peer(now, from);
        let Some(version) = version else {
            peer.not_before = now + RETRY_DELAY;
            return;
        };
        peer.version = version;
        // The `Adopted` event for a fetched version comes later, or never in a process that is
        // stopping; until then the version must not be fetched again.
        self.version = self.version.max(version);
        if self.bootstrap_peers.contains(&from) && !self.answered.contains(&from) {
            self.answered.push(from);
        }
    }

    fn end_push(&mut self, now: Monotonic, to: SocketAddr, version: Option<TableVersion>) {
        self.active_pushes = self.active_pushes.saturating_sub(1);
        let peer = self.peer(now, to);
        peer.pushing = false;
        match version {
            Some(version) => peer.version = peer.version.max(version),
            None => peer.not_before = now + RETRY_DELAY,
        }
    }

    fn expire_peers(&mut self, now: Monotonic) {
        if now.since(self.peers_expired_at) < PEER_EXPIRY_INTERVAL {
            return;
        }
        self.peers_expired_at = now;
        self.peers
            .retain(|_, peer| peer.pushing || now.since(peer.last_seen) < PEER_EXPIRY);
    }

    fn begin_fetch(&mut self, now: Monotonic) -> Option<GossipAction> {
        if self.fetching.is_some() {
            return None;
        }
        let from = self
            .newest_peer(now)
            .or_else(|| self.take_bootstrap_peer(now))?;
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

    fn take_bootstrap_peer(&mut self, now: Monotonic) -> Option<SocketAddr> {
        if self.is_bootstrapped()
            || self.bootstrap_peers.is_empty()
            || now < self.bootstrap_not_before
        {
            return None;
        }
        let from = self.bootstrap_peers[self.next_bootstrap_peer];
        self.next_bootstrap_peer = (self.next_bootstrap_peer + 1) % self.bootstrap_peers.len();
        if self.next_bootstrap_peer == 0 {
            self.rounds += 1;
            self.bootstrap_not_before = now + RETRY_DELAY;
        }
        Some(from)
    }

    fn begin_pushes(&mut self, now: Monotonic, actions: &mut Vec<GossipAction>) {
        let is_due = self.next_push_at.is_some_and(|at| at <= now);
        if !is_due || self.version == TableVersion(0) {
            return;
        }
        self.next_push_at = None;
        let mut next_due = None;
        for (to, peer) in &mut self.peers {
            let Some(at) = peer.push_at else { continue };
            if at > now || self.active_pushes >= MAX_PUSHES {
                next_due = Some(next_due.map_or(at, |next: Monotonic| next.min(at)));
                continue;
            }
            peer.push_at = None;
            peer.pushing = true;
            self.active_pushes += 1;
            actions.push(GossipAction::Push { to: *to });
        }
        self.next_push_at = next_due;
    }

    fn peer(&mut self, now: Monotonic, addr: SocketAddr) -> &mut Peer {
        self.peers.entry(addr).or_insert(Peer {
            version: TableVersion(0),
            last_seen: now,
            not_before: Monotonic::ZERO,
            push_at: None,
            pushing: false,
        })
    }
}

fn jittered_push_time(from: Monotonic, rng: &mut impl Rng) -> Monotonic {
    from + MAX_PUSH_DELAY.mul_f64(rng.random::<f64>())
}
