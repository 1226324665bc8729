//! What entries tell each other: work in flight, units admitted, and newer tables.
//!
//! Every entry asks every other one at a steady pace; the answer carries the same facts back.
//! Tables and endpoints are passed on only when one side holds a newer version, so that an entry
//! that the store turns away goes on with what the others know.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::AccountName;
use eelgrassramp::Context;
use eelgrassramp::EndpointName;
use eelgrassramp::EntryName;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::PoolName;
use eelgrassramp::Result;
use eelgrassramp::RouteName;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::connections;
use crate::dispatcher::RolloutUse;
use crate::entry::Entry;
use crate::entry::Usage;
use crate::quota::AccountUse;
use crate::rollout::Answers;
use crate::rollout::Comparison;
use crate::rollout::End;

/// Time between two questions to the same entry.
const PERIOD: Duration = Duration::from_millis(200);

/// Time in which another entry has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Failures in a row after which another entry's work no longer counts as in flight.
const FAILURES_BEFORE_LOSS: u32 = 3;

/// Longest pause between questions to an entry that does not answer.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Path on which usage is exchanged.
const USAGE_PATH: &str = "/v1/usage";

/// Path on which tables and endpoints are read.
const SNAPSHOT_PATH: &str = "/v1/snapshot";

/// How new the tables and endpoints are that an entry holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Version of the tables.
    pub tables: u64,
    /// Revision of the list of endpoints.
    pub endpoints: u64,
}

/// Tables and endpoints in the form in which the platform keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
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

/// What one entry tells another; fields are only ever added at the end.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct UsageWire {
    entry: EntryName,
    incarnation: u64,
    tables: u64,
    endpoints: u64,
    in_flight: Vec<(EndpointName, u32)>,
    accounts: Vec<AccountUseWire>,
    is_stopping: bool,
    rollouts: Vec<RolloutUseWire>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct AccountUseWire {
    account: AccountName,
    admitted: f64,
    asked: f64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct RolloutUseWire {
    pool: PoolName,
    id: u64,
    is_completed: bool,
    is_rolled_back: bool,
    answers: Vec<(RouteName, AnswersWire, AnswersWire)>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct AnswersWire(f64, f64, f64, f64, f64);

impl From<Answers> for AnswersWire {
    fn from(a: Answers) -> Self {
        Self(a.sent, a.answered, a.bad, a.timed, a.slowness)
    }
}

impl From<AnswersWire> for Answers {
    fn from(AnswersWire(sent, answered, bad, timed, slowness): AnswersWire) -> Self {
        Self {
            sent,
            answered,
            bad,
            timed,
            slowness,
        }
    }
}

impl From<RolloutUse> for RolloutUseWire {
    fn from(usage: RolloutUse) -> Self {
        let answers = usage.answers.into_iter();
        Self {
            pool: usage.pool,
            id: usage.id,
            is_completed: usage.ended == Some(End::Completed),
            is_rolled_back: usage.ended == Some(End::RolledBack),
            answers: answers
                .map(|(route, c)| (route, c.new.into(), c.old.into()))
                .collect(),
        }
    }
}

impl From<RolloutUseWire> for RolloutUse {
    fn from(wire: RolloutUseWire) -> Self {
        let ended = match (wire.is_rolled_back, wire.is_completed) {
            (true, _) => Some(End::RolledBack),
            (false, true) => Some(End::Completed),
            (false, false) => None,
        };
        let answers = wire.answers.into_iter();
        Self {
            pool: wire.pool,
            id: wire.id,
            ended,
            answers: answers
                .map(|(route, new, old)| {
                    let (new, old) = (new.into(), old.into());
                    (route, Comparison { new, old })
                })
                .collect(),
        }
    }
}

impl From<AccountUse> for AccountUseWire {
    fn from(usage: AccountUse) -> Self {
        Self {
            account: usage.account,
            admitted: usage.admitted,
            asked: usage.asked,
        }
    }
}

impl From<AccountUseWire> for AccountUse {
    fn from(wire: AccountUseWire) -> Self {
        Self {
            account: wire.account,
            admitted: wire.admitted,
            asked: wire.asked,
        }
    }
}

impl UsageWire {
    fn of(entry: &Entry, freshness: Freshness) -> Self {
        let usage = entry.usage();
        Self {
            entry: entry.identity().name.clone(),
            incarnation: entry.identity().incarnation,
            tables: freshness.tables,
            endpoints: freshness.endpoints,
            in_flight: usage.in_flight,
            accounts: usage.accounts.into_iter().map(Into::into).collect(),
            rollouts: usage.rollouts.into_iter().map(Into::into).collect(),
            is_stopping: entry.cx().stop.is_cancelled(),
        }
    }
}

impl From<UsageWire> for Usage {
    fn from(wire: UsageWire) -> Self {
        Self {
            in_flight: wire.in_flight,
            accounts: wire.accounts.into_iter().map(Into::into).collect(),
            rollouts: wire.rollouts.into_iter().map(Into::into).collect(),
        }
    }
}

/// The exchange of one entry with all others.
pub struct Exchange {
    entry: Arc<Entry>,
    snapshots: Arc<dyn Snapshots>,
    peers: Mutex<HashMap<EntryName, (SocketAddr, tokio::task::AbortHandle)>>,
}

impl Exchange {
    /// Creates the exchange of `entry`, which knows no other entries yet.
    #[must_use]
    pub fn new(entry: Arc<Entry>, snapshots: Arc<dyn Snapshots>) -> Arc<Self> {
        Arc::new(Self {
            entry,
            snapshots,
            peers: Mutex::default(),
        })
    }

    /// Replaces the known entries.
    pub fn set_peers(self: &Arc<Self>, peers: HashMap<EntryName, SocketAddr>) {
        let own = &self.entry.identity().name;
        let mut known = self.lock();
        known.retain(|name, (addr, task)| {
            let stays = peers.get(name) == Some(addr);
            if !stays {
                task.abort();
                self.entry.forget_peer(name);
                info!(self.entry.cx().log, "entry gone"; "entry" => name.as_str());
            }
            stays
        });
        for (name, addr) in peers {
            if name == *own || known.contains_key(&name) {
                continue;
            }
            info!(self.entry.cx().log, "entry known"; "entry" => name.as_str(),
                "address" => %addr);
            self.entry.expect_peer(&name);
            let task = tokio::spawn(Arc::clone(self).ask_regularly(name.clone(), addr));
            known.insert(name, (addr, task.abort_handle()));
        }
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
                    self.entry.cx().timers.after(PERIOD).await;
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
        let service = service_fn(|req| {
            let exchange = Arc::clone(&self);
            async move { Ok::<_, Infallible>(exchange.answer(req).await) }
        });
        // The asking side opens a new connection when this one ends.
        let _ended = server::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = req.uri().path().to_owned();
        let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES).collect();
        let Ok(body) = body.await else {
            return status_only(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let answer = match path.as_str() {
            USAGE_PATH => self.answer_usage(&body.to_bytes()),
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

    fn answer_usage(&self, body: &[u8]) -> Result<Bytes> {
        let theirs: UsageWire = decode(body)?;
        self.hear(theirs);
        encode(&UsageWire::of(&self.entry, self.snapshots.freshness()))
    }

    /// Takes in what another entry tells, and returns whether it holds something newer.
    fn hear(&self, theirs: UsageWire) -> bool {
        let own = self.snapshots.freshness();
        let is_newer = theirs.tables > own.tables || theirs.endpoints > own.endpoints;
        let entry = theirs.entry.clone();
        let incarnation = theirs.incarnation;
        self.entry.hear(&entry, incarnation, theirs.into());
        is_newer
    }

    async fn ask_regularly(self: Arc<Self>, name: EntryName, addr: SocketAddr) {
        let cx = self.entry.cx().clone();
        let mut link = Link::new(&cx, addr);
        let mut failures = 0_u32;
        loop {
            match self.ask(&mut link).await {
                Ok(()) => {
                    if failures >= FAILURES_BEFORE_LOSS {
                        info!(cx.log, "entry found again"; "entry" => name.as_str());
                    }
                    failures = 0;
                }
                Err(e) => {
                    failures += 1;
                    if is_refused(&e) {
                        self.entry.set_peer_down(&name);
                    }
                    if failures == FAILURES_BEFORE_LOSS {
                        info!(cx.log, "entry lost"; "entry" => name.as_str(), "cause" => %e);
                        self.entry.lose_peer(&name);
                    }
                }
            }
            let pause = PERIOD * 2_u32.pow(failures.saturating_sub(1).min(4));
            cx.timers.after(pause.min(MAX_PAUSE)).await;
        }
    }

    async fn ask(&self, link: &mut Link) -> Result<()> {
        let own = UsageWire::of(&self.entry, self.snapshots.freshness());
        let theirs: UsageWire = link.call(USAGE_PATH, encode(&own)?).await?;
        if self.hear(theirs) {
            let snapshot: Snapshot = link.call(SNAPSHOT_PATH, Bytes::new()).await?;
            self.snapshots.adopt(snapshot)?;
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EntryName, (SocketAddr, tokio::task::AbortHandle)>> {
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

/// The asking side of a connection to another entry.
struct Link {
    cx: Context,
    addr: SocketAddr,
    tx: Option<SendRequest<Full<Bytes>>>,
}

impl Link {
    fn new(cx: &Context, addr: SocketAddr) -> Self {
        Self {
            cx: cx.clone(),
            addr,
            tx: None,
        }
    }

    async fn call<T: DeserializeOwned>(&mut self, path: &'static str, body: Bytes) -> Result<T> {
        let timers = self.cx.timers.clone();
        let answer = timers
            .limit(ANSWER_TIMEOUT, self.exchange(path, body))
            .await;
        let body = answer.ok_or_else(|| {
            let detail = format!("entry at {}: no answer in time", self.addr);
            Error::new(Kind::ConnectFailed, detail)
        })??;
        decode(&body)
    }

    async fn exchange(&mut self, path: &'static str, body: Bytes) -> Result<Bytes> {
        let failed =
            |e: hyper::Error| Error::with_source(Kind::ConnectFailed, "exchange with an entry", e);
        // The connection is kept only when the call ends in time and whole.
        let mut tx = match self.tx.take() {
            Some(tx) if !tx.is_closed() => tx,
            _ => self.connect().await?,
        };
        tx.ready().await.map_err(failed)?;
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = http::Uri::from_static(path);
        let resp = tx.send_request(req).await.map_err(failed)?;
        let status = resp.status();
        let body = resp.into_body().collect().await.map_err(failed)?;
        if status != StatusCode::OK {
            let detail = format!("entry at {} answered {status}", self.addr);
            return Err(Error::new(Kind::ConnectFailed, detail));
        }
        self.tx = Some(tx);
        Ok(body.to_bytes())
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        let failed = |e: std::io::Error| {
            Error::with_source(Kind::ConnectFailed, format!("entry at {}", self.addr), e)
        };
        let stream = TcpStream::connect(self.addr).await.map_err(failed)?;
        connections::tune(&stream).map_err(failed)?;
        let (tx, driver) = client::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| Error::with_source(Kind::ConnectFailed, "handshake", e))?;
        tokio::spawn(async move {
            // Calls see every failure; one between calls only ends the task.
            let _ended = driver.await;
        });
        Ok(tx)
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

fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let bytes = rmp_serde::to_vec(message);
    bytes
        .map(Bytes::from)
        .map_err(|e| Error::with_source(Kind::Internal, "encode a message", e))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    rmp_serde::from_slice(body).map_err(|e| Error::with_source(Kind::Malformed, "message", e))
}
