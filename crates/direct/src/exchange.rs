//! What entries tell each other: work in flight, units admitted, and newer tables.
//!
//! Every entry asks every other one at a steady pace; the answer carries the same facts back.
//! Tables and endpoints are passed on only when one side holds a newer version, so that an entry
//! that the store turns away goes on with what the others know.

mod link;
mod message;
mod told;

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::EntryName;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::Result;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use self::link::Link;
use self::message::UsageWire;
use self::message::decode;
use self::message::encode;
use self::told::Told;
use crate::connections;
use crate::entry::Entry;

/// Shortest time between two questions to the same entry.
const MIN_PERIOD: Duration = Duration::from_millis(100);

/// Entries up to which each is asked that often; with more of them, the questions of all of them
/// to one entry stay as many.
const ENTRIES_AT_MIN_PERIOD: u32 = 50;

/// Periods without a question from another entry after which it is asked instead.
const SILENT_PERIODS: u32 = 3;

/// Failures in a row after which another entry's work no longer counts as in flight.
const FAILURES_BEFORE_LOSS: u32 = 3;

/// Longest pause between questions to an entry that does not answer.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Time for which this entry lags behind another one before it asks for its tables and endpoints:
/// most of the time it hears of them itself.
const LAG: Duration = Duration::from_millis(600);

/// Time for which such a question may be under way.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);

/// Time for which an entry that is no longer announced is still asked, in case it is cut off
/// from the platform alone.
const ASKED_AFTER_END: Duration = Duration::from_secs(20);

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Path on which usage is exchanged.
const USAGE_PATH: &str = "/v1/usage";

/// Path on which tables and endpoints are read.
const SNAPSHOT_PATH: &str = "/v1/snapshot";

/// Returns the time between two questions to the same one of `entries` entries.
pub(crate) fn period(entries: u32) -> Duration {
    MIN_PERIOD * entries.div_ceil(ENTRIES_AT_MIN_PERIOD).max(1)
}

/// How new the tables and endpoints are that an entry holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Version of the tables.
    pub tables: u64,
    /// Revision of the list of endpoints.
    pub endpoints: u64,
}

/// Tables and endpoints in the form in which the platform keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The tables, when any are known.
    pub tables: Option<ByteBuf>,
    /// The endpoints, when any are known.
    pub endpoints: Option<ByteBuf>,
}

/// Keeps what an entry read from the platform, so that others can have it.
pub trait Snapshots: Send + Sync {
    /// Tells how new the kept state is.
    fn freshness(&self) -> Freshness;

    /// Returns the kept state.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when it cannot be encoded.
    fn export(&self) -> Result<Snapshot>;

    /// Takes in another entry's state where that is newer.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] when it cannot be read.
    fn adopt(&self, snapshot: Snapshot) -> Result<()>;
}

/// The exchange of one entry with all others.
pub struct Exchange {
    entry: Arc<Entry>,
    snapshots: Arc<dyn Snapshots>,
    peers: Mutex<HashMap<EntryName, Known>>,
    heard: Mutex<HashMap<EntryName, Heard>>,
    lag: Mutex<Option<Lag>>,
}

/// How this entry lags behind others.
#[derive(Debug, Clone, Copy)]
struct Lag {
    /// What it held when it first lagged.
    own: Freshness,
    since: Monotonic,
    asked_at: Option<Monotonic>,
}

impl Lag {
    /// Tells whether another entry is to be asked.
    fn is_due(&self, now: Monotonic) -> bool {
        let is_asked = self
            .asked_at
            .is_some_and(|at| now.since(at) < CATCH_UP_PERIOD);
        now.since(self.since) >= LAG && !is_asked
    }
}

/// Another entry that is asked.
#[derive(Debug)]
struct Known {
    addr: SocketAddr,
    task: AbortHandle,
    /// Since when it is no longer announced.
    ended_at: Option<Monotonic>,
}

/// When another entry was heard, and whether it holds newer tables or endpoints.
#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Monotonic,
    is_newer: bool,
}

impl Exchange {
    /// Creates the exchange of `entry`, which knows no other entries yet.
    #[must_use]
    pub fn new(entry: Arc<Entry>, snapshots: Arc<dyn Snapshots>) -> Arc<Self> {
        Arc::new(Self {
            entry,
            snapshots,
            peers: Mutex::default(),
            heard: Mutex::default(),
            lag: Mutex::default(),
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
    }

    /// Forgets an entry that is no longer announced once it does not run or was silent for long.
    fn forget_ended(&self, name: &EntryName, is_down: bool) -> bool {
        let now = self.entry.cx().timers.now();
        let mut known = self.lock();
        let ended_at = known.get(name).and_then(|peer| peer.ended_at);
        let is_over = ended_at.is_some_and(|at| is_down || now.since(at) > ASKED_AFTER_END);
        if is_over {
            known.remove(name);
            self.entry.forget_peer(name);
            info!(self.entry.cx().log, "entry gone"; "entry" => name.as_str());
        }
        is_over
    }

    /// Answers the questions of other entries until the process ends.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] when `addr` cannot be listened on.
    pub async fn serve(self: Arc<Self>, addr: SocketAddr) -> Result<()> {
        let listener = TcpListener::bind(addr).await.map_err(|e| {
            Error::with_source(Kind::InvalidSettings, format!("listen on {addr}"), e)
        })?;
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!(self.entry.cx().log, "accept failed"; "error" => %e);
                    self.entry.cx().timers.after(MIN_PERIOD).await;
                    continue;
                }
            };
            tokio::spawn(Arc::clone(&self).serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        if let Err(e) = connections::tune(&stream) {
            debug!(self.entry.cx().log, "socket options failed"; "error" => %e);
        }
        let told = Mutex::new(Told::default());
        let service = service_fn(|req| {
            let exchange = Arc::clone(&self);
            let told = &told;
            async move { Ok::<_, Infallible>(exchange.answer(req, told).await) }
        });
        // The asking side opens a new connection when this one ends.
        let _ended = server::Builder::new()
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(&self, req: Request<Incoming>, told: &Mutex<Told>) -> Response<Full<Bytes>> {
        let path = req.uri().path().to_owned();
        let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES).collect();
        let Ok(body) = body.await else {
            return status_only(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let answer = match path.as_str() {
            USAGE_PATH => self.answer_usage(&body.to_bytes(), told),
            SNAPSHOT_PATH => self.snapshots.export().and_then(|s| encode(&s)),
            _ => return status_only(StatusCode::NOT_FOUND),
        };
        match answer {
            Ok(body) => Response::new(Full::new(body)),
            Err(e) => {
                warn!(self.entry.cx().log, "exchange failed"; "path" => path, "cause" => %e);
                status_only(StatusCode::BAD_REQUEST)
            }
        }
    }

    fn answer_usage(&self, body: &[u8], told: &Mutex<Told>) -> Result<Bytes> {
        let theirs: UsageWire = decode(body)?;
        self.hear(theirs);
        let mut told = told
            .lock()
            .expect("no code panics while it holds what was told");
        let freshness = self.snapshots.freshness();
        encode(&UsageWire::of(&self.entry, freshness, &mut told))
    }

    /// Takes in what another entry tells.
    fn hear(&self, theirs: UsageWire) {
        let own = self.snapshots.freshness();
        let is_newer = theirs.tables > own.tables || theirs.endpoints > own.endpoints;
        if is_newer {
            self.note_lag(own);
        }
        let entry = theirs.entry.clone();
        let incarnation = theirs.incarnation;
        let at = self.entry.cx().timers.now();
        self.heard().insert(entry.clone(), Heard { at, is_newer });
        self.entry.hear(&entry, incarnation, theirs.into());
    }

    fn period(&self) -> Duration {
        let peers = u32::try_from(self.lock().len()).unwrap_or(u32::MAX);
        period(peers.saturating_add(1))
    }

    fn note_lag(&self, own: Freshness) {
        let since = self.entry.cx().timers.now();
        let mut lag = self.lag();
        if lag.is_none_or(|lag| lag.own != own) {
            *lag = Some(Lag {
                own,
                since,
                asked_at: None,
            });
        }
    }

    /// Tells whether an entry that holds something newer is to be asked for it.
    fn is_lagging(&self) -> bool {
        let now = self.entry.cx().timers.now();
        let own = self.snapshots.freshness();
        let lag = self.lag();
        lag.is_some_and(|lag| lag.own == own && lag.is_due(now))
    }

    async fn ask_regularly(self: Arc<Self>, name: EntryName, addr: SocketAddr) {
        let cx = self.entry.cx().clone();
        let mut link = Link::new(&cx, addr);
        let mut told = Told::default();
        let mut failures = 0_u32;
        loop {
            if !self.is_mine_to_ask(&name) {
                cx.timers.after(self.period()).await;
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
                        self.entry.set_peer_down(&name);
                    }
                    if failures == FAILURES_BEFORE_LOSS {
                        info!(cx.log, "entry lost"; "entry" => name.as_str(), "cause" => %e);
                        self.entry.lose_peer(&name);
                    }
                }
            }
            if self.forget_ended(&name, is_down) {
                return;
            }
            let pause = self.period() * 2_u32.pow(failures.saturating_sub(1).min(4));
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
        let is_silent = heard.is_none_or(|h| now.since(h.at) > self.period() * SILENT_PERIODS);
        is_silent || (heard.is_some_and(|h| h.is_newer) && self.is_lagging())
    }

    async fn ask(&self, link: &mut Link, told: &mut Told) -> Result<()> {
        let own = UsageWire::of(&self.entry, self.snapshots.freshness(), told);
        let theirs: UsageWire = link.call(USAGE_PATH, encode(&own)?).await?;
        let name = theirs.entry.clone();
        self.hear(theirs);
        let is_newer = self.heard().get(&name).is_some_and(|h| h.is_newer);
        if is_newer && self.is_lagging() {
            if let Some(lag) = &mut *self.lag() {
                lag.asked_at = Some(self.entry.cx().timers.now());
            }
            let snapshot: Snapshot = link.call(SNAPSHOT_PATH, Bytes::new()).await?;
            self.snapshots.adopt(snapshot)?;
        }
        Ok(())
    }

    fn lag(&self) -> MutexGuard<'_, Option<Lag>> {
        self.lag
            .lock()
            .expect("no code panics while it holds the lag")
    }

    fn heard(&self) -> MutexGuard<'_, HashMap<EntryName, Heard>> {
        self.heard
            .lock()
            .expect("no code panics while it holds what was heard")
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EntryName, Known>> {
        self.peers
            .lock()
            .expect("no code panics while it holds the peers")
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

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(Bytes::new()));
    *resp.status_mut() = status;
    resp
}
