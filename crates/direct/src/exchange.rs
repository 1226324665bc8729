//! What entries tell each other: work in flight, units admitted, and newer tables.
//!
//! Every entry asks every other one at a steady pace; the answer carries the same facts back.
//! Tables and endpoints are passed on only when one side holds a newer version, so that an entry
//! that the store turns away goes on with what the others know.

mod client;
mod lag;
mod message;
mod sent_state;
mod server;

use std::collections::HashMap;
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
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use slog::info;
use tokio::task::AbortHandle;

use self::client::Link;
use self::lag::Lag;
use self::message::Taken;
use self::message::UsageWire;
use self::message::encode;
use self::sent_state::Told;
use crate::entry::Entry;

/// Shortest time between two questions to the same entry.
const MIN_PERIOD: Duration = Duration::from_millis(100);

/// Entries up to which each is asked that often; with more of them, the questions of all of them
/// to one entry stay as many.
const ENTRIES_AT_MIN_PERIOD: u32 = 50;

/// For each started group of so many entries, those of other failure domains are asked one period
/// less often.
const FAR_ENTRIES_PER_PERIOD: u32 = 10;

/// Most periods between two questions to an entry of another failure domain, unless there are so
/// many entries that those of one domain have to wait longer; quotas hold with news that late.
const MAX_FAR_PERIODS: u32 = 3;

/// Periods without a question from another entry after which it is asked instead.
const SILENT_PERIODS: u32 = 3;

/// Failures in a row after which another entry's work no longer counts as in flight.
const FAILURES_BEFORE_LOSS: u32 = 3;

/// Longest pause between questions to an entry that does not answer.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Entries that give tables and endpoints in one period to one that holds none.
const GIVERS: f64 = 3.0;

/// Time for which an entry that is no longer announced is still asked, in case it is cut off
/// from the platform alone.
const ASKED_AFTER_END: Duration = Duration::from_secs(20);

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Path on which usage is exchanged.
const USAGE_PATH: &str = "/v1/usage";

/// Path on which tables and endpoints are read.
const SNAPSHOT_PATH: &str = "/v1/snapshot";

/// Path on which tables and endpoints are given.
const GIVE_PATH: &str = "/v1/give";

/// Returns the time between two questions to the same one of `entries` entries that share a failure
/// domain, and with it the endpoints that they use before others.
fn near_period(entries: u32) -> Duration {
    MIN_PERIOD * entries.div_ceil(ENTRIES_AT_MIN_PERIOD).max(1)
}

/// Returns the time between two questions to the same one of `entries` entries in all.
pub(crate) fn cross_domain_interval(entries: u32) -> Duration {
    let periods = entries.div_ceil(FAR_ENTRIES_PER_PERIOD);
    let periods = MIN_PERIOD * periods.clamp(1, MAX_FAR_PERIODS);
    periods.max(near_period(entries))
}

/// How new the tables and endpoints are that an entry holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateVersions {
    /// Version of the tables.
    pub tables: u64,
    /// Revision of the list of endpoints.
    pub endpoints: u64,
    /// Revision of the list of emptied failure domains.
    #[serde(default)]
    pub emptied: u64,
}

impl StateVersions {
    /// Tells whether anything of this is newer.
    const fn is_newer_than(self, other: Self) -> bool {
        self.tables > other.tables
            || self.endpoints > other.endpoints
            || self.emptied > other.emptied
    }

    /// Leaves out of `snapshot`, which is this new, what `other` holds already.
    fn newer_than(self, other: Self, snapshot: Snapshot) -> Snapshot {
        Snapshot {
            tables: snapshot.tables.filter(|_| self.tables > other.tables),
            endpoints: snapshot
                .endpoints
                .filter(|_| self.endpoints > other.endpoints),
            emptied: snapshot.emptied.filter(|_| self.emptied > other.emptied),
        }
    }
}

/// Tables and endpoints in the form in which the platform keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The tables, when any are known.
    pub tables: Option<ByteBuf>,
    /// The endpoints, when any are known.
    pub endpoints: Option<ByteBuf>,
    /// The emptied failure domains, when they are known.
    #[serde(default)]
    pub emptied: Option<ByteBuf>,
}

/// Keeps what an entry read from the platform, so that others can have it.
pub trait SnapshotStore: Send + Sync {
    /// Tells how new the kept state is.
    fn state_versions(&self) -> StateVersions;

    /// Returns the kept state.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`](eelgrassramp::Kind::Internal) when it cannot be encoded.
    fn export(&self) -> Result<Snapshot>;

    /// Takes in another entry's state where that is newer.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`](eelgrassramp::Kind::Malformed) when it cannot be read.
    fn merge(&self, snapshot: Snapshot) -> Result<()>;
}

/// The exchange of one entry with all others.
pub struct Exchange {
    entry: Arc<Entry>,
    snapshots: Arc<dyn SnapshotStore>,
    peers: Mutex<HashMap<EntryName, Known>>,
    heard: Mutex<HashMap<EntryName, Heard>>,
    lag: Lag,
}

/// Another entry that is asked.
#[derive(Debug)]
struct Known {
    addr: SocketAddr,
    task: AbortHandle,
    /// Since when it is no longer announced.
    ended_at: Option<Monotonic>,
}

/// When another entry was heard, and what it holds against this one.
#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Monotonic,
    is_newer: bool,
    /// Whether it holds nothing yet.
    is_empty: bool,
    /// Whether it runs in this entry's failure domain.
    is_near: bool,
}

impl Exchange {
    /// Creates the exchange of `entry`, which knows no other entries yet.
    #[must_use]
    pub fn new(entry: Arc<Entry>, snapshots: Arc<dyn SnapshotStore>) -> Arc<Self> {
        Arc::new(Self {
            entry,
            snapshots,
            peers: Mutex::default(),
            heard: Mutex::default(),
            lag: Lag::default(),
        })
    }

    /// Replaces the entries that are announced.
    pub fn set_peers(self: &Arc<Self>, mut peers: HashMap<EntryName, SocketAddr>) {
        peers.remove(&self.entry.identity().name);
        let now = self.entry.cx().timers.now();
        let mut known = self.lock();
        for (name, peer) in known.iter_mut() {
            let is_announced = peers.get(name) == Some(&peer.addr);
            if is_announced {
                peer.ended_at = None;
            } else if peer.ended_at.is_none() {
                peer.ended_at = Some(now);
                info!(self.entry.cx().log, "entry no longer announced"; "entry" => name.as_str());
            }
        }
        for (name, addr) in peers {
            if known.get(&name).is_some_and(|peer| peer.addr == addr) {
                continue;
            }
            info!(self.entry.cx().log, "entry known"; "entry" => name.as_str(),
                "address" => %addr);
            self.entry.expect_peer(&name);
            let task = tokio::spawn(Arc::clone(self).ask_regularly(name.clone(), addr));
            let peer = Known {
                addr,
                task: task.abort_handle(),
                ended_at: None,
            };
            if let Some(before) = known.insert(name, peer) {
                before.task.abort();
            }
        }
        self.entry.set_peer_names(known.keys());
    }

    /// Forgets an entry that is no longer announced once it does not run or was silent for long.
    fn forget_ended(&self, name: &EntryName, is_down: bool) -> bool {
        let now = self.entry.cx().timers.now();
        let mut known = self.lock();
        let ended_at = known.get(name).and_then(|peer| peer.ended_at);
        let is_over = ended_at.is_some_and(|at| is_down || now.since(at) > ASKED_AFTER_END);
        if is_over {
            known.remove(name);
            self.heard().remove(name);
            self.entry.remove_peer(name);
            self.entry.set_peer_names(known.keys());
            info!(self.entry.cx().log, "entry gone"; "entry" => name.as_str());
        }
        is_over
    }

    /// Takes in what another entry tells, and returns how it stands against this one.
    fn hear(&self, theirs: UsageWire) -> Heard {
        let own = self.snapshots.state_versions();
        let is_newer = theirs.state_versions().is_newer_than(own);
        let at = self.entry.cx().timers.now();
        if is_newer {
            self.lag.note(at, own);
        }
        let entry = theirs.entry.clone();
        let incarnation = theirs.incarnation;
        let heard = Heard {
            at,
            is_newer,
            is_empty: theirs.tables == 0,
            is_near: self.is_near(&theirs),
        };
        self.heard().insert(entry.clone(), heard);
        self.entry
            .apply_peer_usage(&entry, incarnation, theirs.into());
        heard
    }

    /// Tells whether another entry shares this one's failure domain, and so its endpoints.
    fn is_near(&self, theirs: &UsageWire) -> bool {
        match &theirs.domain {
            Some(domain) => *domain == self.entry.identity().domain,
            None => self.is_known_near(&theirs.entry),
        }
    }

    fn is_known_near(&self, name: &EntryName) -> bool {
        self.heard().get(name).is_some_and(|heard| heard.is_near)
    }

    /// Returns the time between two questions to an entry.
    ///
    /// Those of the same failure domain use the same endpoints before others, so what they have in
    /// flight has to be known sooner.
    fn period(&self, name: &EntryName) -> Duration {
        let entries = |peers: usize| u32::try_from(peers).unwrap_or(u32::MAX).saturating_add(1);
        if self.is_known_near(name) {
            let near = self.heard().values().filter(|heard| heard.is_near).count();
            near_period(entries(near))
        } else {
            cross_domain_interval(entries(self.lock().len()))
        }
    }

    /// Tells whether an entry that holds something newer is to be asked for it.
    fn is_lagging(&self) -> bool {
        let now = self.entry.cx().timers.now();
        self.lag.is_due(now, self.snapshots.state_versions())
    }

    async fn ask_regularly(self: Arc<Self>, name: EntryName, addr: SocketAddr) {
        let cx = self.entry.cx().clone();
        let mut link = Link::new(&cx, addr);
        let mut told = Told::default();
        let mut failures = 0_u32;
        loop {
            if !self.is_mine_to_ask(&name) {
                cx.timers.after(self.period(&name)).await;
                continue;
            }
            let mut is_down = false;
            match self.ask(&mut link, &mut told).await {
                Ok(()) => {
                    if failures >= FAILURES_BEFORE_LOSS {
                        info!(cx.log, "entry found again"; "entry" => name.as_str());
                    }
                    failures = 0;
                }
                Err(e) => {
                    // Nobody knows what of it arrived.
                    told = Told::default();
                    failures += 1;
                    is_down = is_refused(&e);
                    if is_down {
                        self.entry.mark_peer_down(&name);
                    }
                    if failures == FAILURES_BEFORE_LOSS {
                        info!(cx.log, "entry lost"; "entry" => name.as_str(), "cause" => %e);
                        self.entry.mark_peer_unreachable(&name);
                    }
                }
            }
            if self.forget_ended(&name, is_down) {
                return;
            }
            let pause = self.period(&name) * 2_u32.pow(failures.saturating_sub(1).min(4));
            cx.timers.after(pause.min(MAX_PAUSE)).await;
        }
    }

    /// Of two entries the one whose name comes first asks; the other one does when it is not
    /// asked, or when the first one holds something newer.
    fn is_mine_to_ask(&self, name: &EntryName) -> bool {
        if self.entry.identity().name < *name {
            return true;
        }
        let now = self.entry.cx().timers.now();
        let heard = self.heard().get(name).copied();
        let is_silent = heard.is_none_or(|h| now.since(h.at) > self.period(name) * SILENT_PERIODS);
        is_silent || (heard.is_some_and(|h| h.is_newer) && self.is_lagging())
    }

    async fn ask(&self, link: &mut Link, told: &mut Told) -> Result<()> {
        let own = UsageWire::of(&self.entry, self.snapshots.state_versions(), told);
        let theirs: UsageWire = link.call(USAGE_PATH, encode(&own)?).await?;
        let heard = self.hear(theirs);
        if heard.is_newer && self.is_lagging() {
            self.lag.note_asked(self.entry.cx().timers.now());
            let held = encode(&self.snapshots.state_versions())?;
            let snapshot: Snapshot = link.call(SNAPSHOT_PATH, held).await?;
            self.snapshots.merge(snapshot)?;
        }
        if heard.is_empty && self.is_to_give() {
            let snapshot = encode(&self.snapshots.export()?)?;
            let _taken: Taken = link.call(GIVE_PATH, snapshot).await?;
        }
        Ok(())
    }

    /// Tells whether this entry gives what it holds to one that holds nothing.
    ///
    /// A process that started while the platform's store is away does not even know whom to ask.
    /// All others see that at once, and a few of them suffice.
    fn is_to_give(&self) -> bool {
        let is_known = self.snapshots.state_versions().tables > 0;
        let draw = f64::from(self.entry.random_u32()) / f64::from(u32::MAX);
        is_known && draw * f64::from(self.entry.entries()) < GIVERS
    }

    fn heard(&self) -> MutexGuard<'_, HashMap<EntryName, Heard>> {
        lock(&self.heard)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EntryName, Known>> {
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

/// Tells whether the other side's machine answered that no process listens there.
fn is_refused(e: &Error) -> bool {
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
