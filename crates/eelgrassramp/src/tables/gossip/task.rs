//! Task that performs the transfers requested by the gossip state machine.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cadence::Counted;
use rand::rngs::StdRng;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use super::state_machine::GossipAction;
use super::state_machine::GossipEvent;
use super::state_machine::GossipState;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::TableVersion;
use crate::link::SidecarLink;
use crate::process::Context;
use crate::tables::CurrentTables;
use crate::tables::Tables;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Table gossip of one process; see [`GossipState`] for the decisions.
pub struct TableGossip {
    cx: Context,
    current: Arc<CurrentTables>,
    link: Arc<dyn SidecarLink>,
    state: Mutex<State>,
}

struct State {
    machine: GossipState,
    rng: StdRng,
    /// The newest version that this process fetched from a peer.
    newest_fetched: TableVersion,
}

impl TableGossip {
    /// Starts gossiping `current`, and fetches from `bootstrap_peers` while this process has no
    /// tables.
    ///
    /// Bootstrap peers are sidecars or entries named in the settings, for a start while the object
    /// API is unavailable.
    #[must_use]
    pub fn start(
        cx: &Context,
        current: Arc<CurrentTables>,
        link: Arc<dyn SidecarLink>,
        bootstrap_peers: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let adopted = current.subscribe();
        let version = *adopted.borrow();
        let gossip = Arc::new(Self {
            state: Mutex::new(State {
                machine: GossipState::new(version, bootstrap_peers),
                rng: cx.rng("spread"),
                newest_fetched: TableVersion(0),
            }),
            cx: cx.clone(),
            current,
            link,
        });
        let stop = cx.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(run(Arc::clone(&gossip), adopted)));
        gossip
    }

    /// Records the table version that the process at `from` reported in its last answer.
    pub fn observe(self: &Arc<Self>, from: SocketAddr, version: TableVersion) {
        self.handle(GossipEvent::Seen { from, version });
    }

    /// Returns whether the tables in force may be trusted.
    ///
    /// They may once the object API confirmed them or enough bootstrap peers answered.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.current.is_confirmed() || self.lock().machine.is_bootstrapped()
    }

    fn handle(self: &Arc<Self>, event: GossipEvent) {
        let actions = {
            let state = &mut *self.lock();
            let now = self.cx.timers.now();
            state.machine.handle(now, event, &mut state.rng)
        };
        for action in actions {
            tokio::spawn(Arc::clone(self).perform(action));
        }
    }

    async fn perform(self: Arc<Self>, action: GossipAction) {
        let event = match action {
            GossipAction::Fetch { from } => GossipEvent::Fetched {
                from,
                version: self.fetch(from).await,
            },
            GossipAction::Push { to } => GossipEvent::Pushed {
                to,
                version: self.push(to).await,
            },
        };
        self.handle(event);
    }

    /// Fetches the tables of the process at `from` immediately; returns whether they are newer.
    pub async fn refresh(self: &Arc<Self>, from: SocketAddr) -> bool {
        let before = self.current.get().version;
        let version = self.fetch(from).await;
        version.is_some_and(|version| version > before)
    }

    async fn fetch(self: &Arc<Self>, from: SocketAddr) -> Option<TableVersion> {
        let _counted = self.cx.metrics.count("tables.fetches", 1);
        let call = self.link.tables(from);
        let outcome = self.cx.timers.limit(TRANSFER_TIMEOUT, call).await;
        let taken = match outcome {
            Some(Ok(snapshot)) if snapshot.version == TableVersion(0) => Ok(TableVersion(0)),
            Some(Ok(snapshot)) => Tables::from_snapshot(&snapshot).map(|t| self.take(t)),
            Some(Err(e)) => Err(Error::with_source(Kind::PoolUnavailable, "call", e)),
            None => Err(Error::new(
                Kind::PoolUnavailable,
                "the peer did not answer in time",
            )),
        };
        self.log_error("tables not fetched", from, taken)
    }

    fn take(self: &Arc<Self>, tables: Tables) -> TableVersion {
        let version = tables.version;
        self.record_fetched(version);
        if self.current.offer(tables) {
            info!(self.cx.log, "tables in force"; "version" => version.0, "from" => "process");
        }
        version
    }

    fn record_fetched(&self, version: TableVersion) {
        let mut state = self.lock();
        state.newest_fetched = state.newest_fetched.max(version);
    }

    async fn push(&self, to: SocketAddr) -> Option<TableVersion> {
        let _counted = self.cx.metrics.count("tables.pushes", 1);
        let pushed = self.try_push(to).await;
        self.log_error("tables not pushed", to, pushed)
    }

    async fn try_push(&self, to: SocketAddr) -> Result<TableVersion> {
        let snapshot = self.current.get().to_snapshot()?;
        let version = snapshot.version;
        let call = self.link.push_tables(to, snapshot);
        match self.cx.timers.limit(TRANSFER_TIMEOUT, call).await {
            Some(Ok(())) => Ok(version),
            Some(Err(e)) => Err(Error::with_source(Kind::PoolUnavailable, "call", e)),
            None => Err(Error::new(
                Kind::PoolUnavailable,
                "the peer did not answer in time",
            )),
        }
    }

    fn log_error<T>(
        &self,
        message: &'static str,
        peer: SocketAddr,
        outcome: Result<T>,
    ) -> Option<T> {
        match outcome {
            Ok(value) => Some(value),
            Err(e) => {
                warn!(self.cx.log, "{}", message; "peer" => %peer, "error" => %e);
                None
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no code panics while it holds the state")
    }
}

impl fmt::Debug for TableGossip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Spread")
            .field("current", &self.current.get().version)
            .finish_non_exhaustive()
    }
}

async fn run(gossip: Arc<TableGossip>, mut adopted: watch::Receiver<TableVersion>) {
    let mut ticks = gossip.cx.timers.every(TICK_INTERVAL);
    loop {
        tokio::select! {
            changed = adopted.changed() => {
                if changed.is_err() {
                    return;
                }
                let version = *adopted.borrow_and_update();
                let from_object_api = gossip.lock().newest_fetched < version;
                gossip.handle(GossipEvent::Adopted { version, from_object_api });
            }
            () = ticks.tick() => gossip.handle(GossipEvent::Tick),
        }
    }
}
