//! State exchange between entries: in-flight requests, admitted units, and newer tables.
//!
//! The peers of an entry are all other entries. Each pair of entries exchanges usage messages at an
//! interval that depends on the number of entries; the response carries the other side's usage.
//! Tables, endpoints, evacuated failure domains and rollout orders are transferred only when one side
//! holds a newer version, so that an entry that cannot read the platform's store, or has missed a
//! change of it, continues with the state of its peers.
//!
//! A peer is *overdue* when it has sent no message for `MISSED_INTERVALS_BEFORE_TAKEOVER`
//! intervals, and *unreachable* after `FAILURES_BEFORE_UNREACHABLE` failed requests in a row; it is
//! *down* when it refuses connections, as then no process seems to listen on its port. A *withdrawn* peer
//! is no longer announced; it is removed once it is down or after `WITHDRAWN_PEER_RETENTION`. The
//! quotas call a peer *silent* while its reports are missing; see [`quota`](crate::quota).

mod client;
mod lag;
mod message;
mod provenance;
mod sent_state;
mod server;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Error;
use eelgrassramp::Monotonic;
use eelgrassramp::Result;
use eelgrassramp::lock;
use serde_bytes::ByteBuf;
use slog::debug;
use slog::info;
use tokio::task::AbortHandle;

use self::client::PeerClient;
use self::lag::VersionLag;
use self::message::Ack;
use self::message::Envelope;
use self::message::UsageMessage;
use self::message::UsageWire;
pub use self::provenance::Freshness;
pub use self::provenance::MessageId;
pub use self::provenance::MessageLog;
pub use self::provenance::Provenance;
use self::sent_state::SentState;
use crate::entry::Entry;

/// Shortest interval between two requests to the same entry.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Number of entries up to which [`MIN_INTERVAL`] is used; beyond it the interval grows, so that the
/// rate of requests that one entry receives stays the same.
const ENTRIES_PER_MIN_INTERVAL: u32 = 50;

/// The interval between two requests to an entry of another failure domain grows by [`MIN_INTERVAL`]
/// for each further group of this many entries.
const CROSS_DOMAIN_ENTRIES_PER_INTERVAL: u32 = 10;

/// Longest interval between two requests to an entry of another failure domain, in units of
/// [`MIN_INTERVAL`]. With this delay client accounts stay within the tolerance of their quotas. The
/// interval is never shorter than the one within a domain, which can exceed this limit if there are
/// many entries.
const MAX_CROSS_DOMAIN_INTERVALS: u32 = 3;

/// Intervals without a message from the initiating entry after which the other side initiates.
const MISSED_INTERVALS_BEFORE_TAKEOVER: u32 = 3;

/// Consecutive failures after which a peer's requests no longer count as in flight.
const FAILURES_BEFORE_UNREACHABLE: u32 = 3;

/// Longest delay between requests to a peer that does not respond.
const MAX_PEER_DELAY: Duration = Duration::from_secs(2);

/// Expected number of entries that push a snapshot in one interval to an entry without tables.
const BOOTSTRAP_SENDERS: f64 = 3.0;

/// Time for which the exchange with a peer continues after it is no longer announced, in case it
/// has only lost its connection to the platform's store.
const WITHDRAWN_PEER_RETENTION: Duration = Duration::from_secs(20);

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Path for the exchange of usage.
const USAGE_PATH: &str = "/v1/usage";

/// Path for fetching a snapshot.
const SNAPSHOT_PATH: &str = "/v1/snapshot";

/// Path for pushing a snapshot to an entry without tables.
const PUSH_PATH: &str = "/v1/give";

/// Returns the interval between two requests to the same entry, for `entries` entries that share a
/// failure domain and therefore prefer the same endpoints.
fn same_domain_interval(entries: u32) -> Duration {
    MIN_INTERVAL * entries.div_ceil(ENTRIES_PER_MIN_INTERVAL).max(1)
}

/// Returns the interval between two requests to the same entry of another failure domain, for
/// `entries` entries in total.
pub(crate) fn cross_domain_interval(entries: u32) -> Duration {
    let intervals = entries.div_ceil(CROSS_DOMAIN_ENTRIES_PER_INTERVAL);
    let intervals = MIN_INTERVAL * intervals.clamp(1, MAX_CROSS_DOMAIN_INTERVALS);
    intervals.max(same_domain_interval(entries))
}

/// Versions of the tables, endpoints, evacuated domains and orders that an entry holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateVersions {
    /// Version of the tables.
    pub tables: u64,
    /// Version of the list of endpoints, which grows with each change.
    pub endpoints: u64,
    /// Version of the list of evacuated failure domains, which grows with each change.
    pub evacuated: u64,
    /// Version of the rollout orders and of the reports on them, which grows with each change.
    pub orders: u64,
}

impl StateVersions {
    /// Number of parts with a version of their own.
    const PARTS: usize = 4;

    /// Returns whether any part of this state is newer than in `other`.
    fn is_newer_than(self, other: Self) -> bool {
        let mut parts = self.parts().into_iter().zip(other.parts());
        parts.any(|(own, other)| own > other)
    }

    /// Returns the versions of all parts.
    const fn parts(self) -> [u64; Self::PARTS] {
        [self.tables, self.endpoints, self.evacuated, self.orders]
    }

    /// Retains the parts of `snapshot`, which has these versions, that are newer than in `other`.
    fn retain_newer_parts(self, other: Self, snapshot: Snapshot) -> Snapshot {
        Snapshot {
            tables: snapshot.tables.filter(|_| self.tables > other.tables),
            endpoints: snapshot
                .endpoints
                .filter(|_| self.endpoints > other.endpoints),
            evacuated: snapshot
                .evacuated
                .filter(|_| self.evacuated > other.evacuated),
            orders: snapshot.orders.filter(|_| self.orders > other.orders),
        }
    }
}

/// Tables, endpoints, evacuated failure domains and rollout orders in the encoding of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The tables, when any are known.
    pub tables: Option<ByteBuf>,
    /// The endpoints, when any are known.
    pub endpoints: Option<ByteBuf>,
    /// The evacuated failure domains, when they are known.
    pub evacuated: Option<ByteBuf>,
    /// The rollout orders with the reports on them, when they are known.
    pub orders: Option<ByteBuf>,
}

/// Stores the state that an entry read from the platform, to share it with its peers.
pub trait SnapshotStore: Send + Sync {
    /// Returns the versions of the stored state.
    fn state_versions(&self) -> StateVersions;

    /// Returns the stored state.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`](eelgrassramp::Kind::Internal) when it cannot be encoded.
    fn export(&self) -> Result<Snapshot>;

    /// Replaces the parts of the stored state of which the snapshot of a peer is newer.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`](eelgrassramp::Kind::Malformed) when it cannot be read.
    fn merge(&self, snapshot: Snapshot) -> Result<()>;
}

/// State exchange of one entry with all others.
pub struct Exchange {
    entry: Arc<Entry>,
    snapshots: Arc<dyn SnapshotStore>,
    peers: Mutex<HashMap<EntryName, PeerTask>>,
    statuses: Mutex<HashMap<EntryName, PeerStatus>>,
    lag: VersionLag,
    messages: Mutex<Messages>,
}

/// The messages of this process and of its peers.
#[derive(Debug, Default)]
struct Messages {
    /// Number of this process's last message.
    last_seq: u64,
    log: MessageLog,
    /// Peers of which a message was not used, so that they have to send all facts again.
    incomplete: HashSet<EntryName>,
}

/// Address of a peer and the task that exchanges state with it.
#[derive(Debug)]
struct PeerTask {
    addr: SocketAddr,
    task: AbortHandle,
    /// When the peer ceased to be announced.
    withdrawn_at: Option<Monotonic>,
}

/// Time of the last message of a peer, and its state relative to this entry.
#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    received_at: Monotonic,
    has_newer_state: bool,
    /// Whether the peer has no tables yet.
    has_no_tables: bool,
    /// Whether the peer runs in this entry's failure domain.
    is_same_domain: bool,
}

impl Exchange {
    /// Creates the exchange of `entry`, without peers.
    #[must_use]
    pub fn new(entry: Arc<Entry>, snapshots: Arc<dyn SnapshotStore>) -> Arc<Self> {
        Arc::new(Self {
            entry,
            snapshots,
            peers: Mutex::default(),
            statuses: Mutex::default(),
            lag: VersionLag::default(),
            messages: Mutex::default(),
        })
    }

    /// Replaces the set of announced peers.
    pub fn set_peers(self: &Arc<Self>, mut announced: HashMap<EntryName, SocketAddr>) {
        announced.remove(&self.entry.identity().name);
        let now = self.entry.cx().timers.now();
        let mut known = self.lock_peers();
        for (name, peer) in known.iter_mut() {
            let is_announced = announced.get(name) == Some(&peer.addr);
            if is_announced {
                peer.withdrawn_at = None;
            } else if peer.withdrawn_at.is_none() {
                peer.withdrawn_at = Some(now);
                info!(self.entry.cx().log, "entry no longer announced"; "entry" => name.as_str());
            }
        }
        for (name, addr) in announced {
            if known.get(&name).is_some_and(|peer| peer.addr == addr) {
                continue;
            }
            info!(self.entry.cx().log, "entry known"; "entry" => name.as_str(),
                "address" => %addr);
            self.entry.expect_peer(&name);
            let task = tokio::spawn(Arc::clone(self).run_peer_loop(name.clone(), addr));
            let peer = PeerTask {
                addr,
                task: task.abort_handle(),
                withdrawn_at: None,
            };
            if let Some(replaced) = known.insert(name, peer) {
                replaced.task.abort();
            }
        }
        self.entry.set_peer_names(known.keys());
    }

    /// Removes a peer that is no longer announced, once its process is down or
    /// [`WITHDRAWN_PEER_RETENTION`] has passed; returns whether it did.
    fn remove_if_withdrawn(&self, name: &EntryName, is_down: bool) -> bool {
        let now = self.entry.cx().timers.now();
        let mut known = self.lock_peers();
        let withdrawn_at = known.get(name).and_then(|peer| peer.withdrawn_at);
        let is_expired =
            withdrawn_at.is_some_and(|at| is_down || now.since(at) > WITHDRAWN_PEER_RETENTION);
        if is_expired {
            known.remove(name);
            self.statuses().remove(name);
            self.entry.remove_peer(name);
            self.entry.set_peer_names(known.keys());
            info!(self.entry.cx().log, "entry gone"; "entry" => name.as_str());
        }
        is_expired
    }

    /// Applies a usage message of a peer and returns the status of that peer.
    fn apply_usage(&self, message: UsageMessage) -> PeerStatus {
        let received = &message.usage;
        let local = self.snapshots.state_versions();
        let of_peer = message.state_versions();
        let received_at = self.entry.cx().timers.now();
        self.lag.observe(received_at, local, of_peer);
        let entry = received.entry.clone();
        let incarnation = received.incarnation;
        let status = PeerStatus {
            received_at,
            has_newer_state: of_peer.is_newer_than(local),
            has_no_tables: received.tables == 0,
            is_same_domain: self.shares_domain(received),
        };
        self.statuses().insert(entry.clone(), status);
        if let Some(domain) = &received.domain {
            self.entry.set_peer_domain(&entry, domain);
        }
        match self.record_message(&entry, &message.provenance()) {
            Freshness::Latest => {
                self.entry
                    .apply_peer_state(&entry, incarnation, message.into());
            }
            Freshness::Overtaken | Freshness::Unproven => {
                self.entry.apply_outdated_state(&entry, &message.into());
            }
        }
        status
    }

    /// Records a message of a peer and returns how it relates to those before.
    fn record_message(&self, entry: &EntryName, provenance: &Provenance) -> Freshness {
        let mut messages = lock(&self.messages);
        let own = MessageId {
            incarnation: self.entry.identity().incarnation,
            seq: messages.last_seq,
        };
        let freshness = messages.log.record(entry, provenance, own);
        if freshness != Freshness::Latest {
            messages.incomplete.insert(entry.clone());
            debug!(self.entry.cx().log, "outdated message of an entry"; "entry" => entry.as_str(),
                "incarnation" => provenance.incarnation, "seq" => provenance.seq,
                "freshness" => ?freshness);
        }
        freshness
    }

    /// Creates the next message to a peer.
    fn next_message(&self, peer: &EntryName, sent: &mut SentState) -> UsageMessage {
        let mut messages = lock(&self.messages);
        messages.last_seq += 1;
        let envelope = Envelope {
            seq: messages.last_seq,
            seen: messages.log.last_read(peer),
            wants_all: messages.incomplete.remove(peer),
            versions: self.snapshots.state_versions(),
        };
        drop(messages);
        UsageMessage::of(&self.entry, envelope, sent)
    }

    /// Returns whether the sender of a message runs in this entry's failure domain.
    ///
    /// Only messages with all in-flight counts name the domain; for others the last known status
    /// applies.
    fn shares_domain(&self, received: &UsageWire) -> bool {
        match &received.domain {
            Some(domain) => *domain == self.entry.identity().domain,
            None => self.is_known_same_domain(&received.entry),
        }
    }

    fn is_known_same_domain(&self, name: &EntryName) -> bool {
        self.statuses()
            .get(name)
            .is_some_and(|status| status.is_same_domain)
    }

    /// Returns the interval between two requests to a peer.
    ///
    /// Entries of the same failure domain prefer the same endpoints, so they need each other's
    /// in-flight counts sooner.
    fn interval(&self, name: &EntryName) -> Duration {
        let entries = |peers: usize| u32::try_from(peers).unwrap_or(u32::MAX).saturating_add(1);
        if self.is_known_same_domain(name) {
            let same_domain_peers = self
                .statuses()
                .values()
                .filter(|status| status.is_same_domain)
                .count();
            same_domain_interval(entries(same_domain_peers))
        } else {
            cross_domain_interval(entries(self.lock_peers().len()))
        }
    }

    /// Returns whether to fetch a snapshot from a peer that holds newer state.
    fn should_fetch_snapshot(&self) -> bool {
        let now = self.entry.cx().timers.now();
        self.lag.is_fetch_due(now, self.snapshots.state_versions())
    }

    async fn run_peer_loop(self: Arc<Self>, name: EntryName, addr: SocketAddr) {
        let cx = self.entry.cx().clone();
        let mut client = PeerClient::new(&cx, addr);
        let mut sent = SentState::default();
        let mut failures = 0_u32;
        loop {
            if !self.initiates_exchange(&name) {
                cx.timers.after(self.interval(&name)).await;
                continue;
            }
            let mut is_down = false;
            match self.exchange_with_peer(&name, &mut client, &mut sent).await {
                Ok(()) => {
                    if failures >= FAILURES_BEFORE_UNREACHABLE {
                        info!(cx.log, "entry found again"; "entry" => name.as_str());
                    }
                    failures = 0;
                }
                Err(e) => {
                    // The peer may or may not have received the message, so the next one sends all counts.
                    sent = SentState::default();
                    failures += 1;
                    is_down = is_connection_refused(&e);
                    if is_down {
                        self.entry.mark_peer_down(&name);
                    }
                    if failures == FAILURES_BEFORE_UNREACHABLE {
                        info!(cx.log, "entry lost"; "entry" => name.as_str(), "cause" => %e);
                        self.entry.mark_peer_unreachable(&name);
                    }
                }
            }
            if self.remove_if_withdrawn(&name, is_down) {
                return;
            }
            let delay = self.interval(&name) * 2_u32.pow(failures.saturating_sub(1).min(4));
            cx.timers.after(delay.min(MAX_PEER_DELAY)).await;
        }
    }

    /// Returns whether this entry initiates the exchange with the peer `name`.
    ///
    /// Of entries A and B, where the name of A sorts first, A initiates. B does so only when it has
    /// received no message from A for some intervals, or when A holds newer state that B should fetch.
    fn initiates_exchange(&self, name: &EntryName) -> bool {
        if self.entry.identity().name < *name {
            return true;
        }
        let now = self.entry.cx().timers.now();
        let status = self.statuses().get(name).copied();
        let is_overdue = status.is_none_or(|last| {
            now.since(last.received_at) > self.interval(name) * MISSED_INTERVALS_BEFORE_TAKEOVER
        });
        is_overdue
            || (status.is_some_and(|last| last.has_newer_state) && self.should_fetch_snapshot())
    }

    async fn exchange_with_peer(
        &self,
        name: &EntryName,
        client: &mut PeerClient,
        sent: &mut SentState,
    ) -> Result<()> {
        let local = self.next_message(name, sent);
        let received = client.post(USAGE_PATH, local.encode()?).await?;
        let received = UsageMessage::decode(&received)?;
        sent.record_received(received.usage.incarnation, received.wants_all());
        let status = self.apply_usage(received);
        if status.has_newer_state && self.should_fetch_snapshot() {
            self.lag.record_fetch(self.entry.cx().timers.now());
            let local_versions = self.snapshots.state_versions().encode()?;
            let snapshot = client.post(SNAPSHOT_PATH, local_versions).await?;
            self.snapshots.merge(Snapshot::decode(&snapshot)?)?;
        }
        if status.has_no_tables && self.should_push_snapshot() {
            let snapshot = self.snapshots.export()?.encode()?;
            let _ack: Ack = client.call(PUSH_PATH, snapshot).await?;
        }
        Ok(())
    }

    /// Returns whether this entry pushes its snapshot to a peer that has no tables.
    ///
    /// A process that starts while the platform's store is unavailable does not know its peers and
    /// cannot fetch from them. All peers notice this at once, so each one pushes only with a
    /// probability that makes about [`BOOTSTRAP_SENDERS`] of them do so.
    fn should_push_snapshot(&self) -> bool {
        let has_tables = self.snapshots.state_versions().tables > 0;
        let draw = f64::from(self.entry.random_u32()) / f64::from(u32::MAX);
        has_tables && draw * f64::from(self.entry.entry_count()) < BOOTSTRAP_SENDERS
    }

    fn statuses(&self) -> MutexGuard<'_, HashMap<EntryName, PeerStatus>> {
        lock(&self.statuses)
    }

    fn lock_peers(&self) -> MutexGuard<'_, HashMap<EntryName, PeerTask>> {
        lock(&self.peers)
    }
}

impl std::fmt::Debug for Exchange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exchange")
            .field("entry", &self.entry)
            .finish_non_exhaustive()
    }
}

/// Returns whether the connection was refused: no process listens on the port, or a network partition
/// refuses connections.
fn is_connection_refused(e: &Error) -> bool {
    let mut source = std::error::Error::source(e);
    while let Some(cause) = source {
        let io = cause.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = cause.source();
    }
    false
}
