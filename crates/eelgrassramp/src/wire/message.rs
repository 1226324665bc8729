//! Messages between entries and sidecars.
//!
//! All are plain data. Bodies travel as MessagePack over HTTP: see `docs/DESIGN.md`, "Messages".

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::id::Attempt;
use crate::id::ClockMark;
use crate::id::FencingToken;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::AccountName;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::tier::Tier;

/// Paths of the sidecar's interface.
pub mod path {
    /// Takes a [`super::Dispatch`], answers with a stream of [`super::Frame`].
    pub const DISPATCH: &str = "/v1/dispatch";
    /// Takes an [`super::Attach`], answers with a stream of [`super::Frame`].
    pub const ATTACH: &str = "/v1/attach";
    /// Takes a [`super::Revoke`], answers with a [`super::RevokeReply`].
    pub const REVOKE: &str = "/v1/revoke";
    /// Takes a [`super::Cancel`], answers with nothing.
    pub const CANCEL: &str = "/v1/cancel";
    /// Takes a [`super::ReportRequest`], answers with a [`super::Report`].
    pub const REPORT: &str = "/v1/report";
    /// GET answers with a [`super::TablesSnapshot`]; POST takes one.
    pub const TABLES: &str = "/v1/tables";
    /// Takes a [`super::CloseKey`], answers with a [`super::CloseKeyReply`].
    pub const KEY: &str = "/v1/key";
    /// Takes an [`super::EngineOrder`], answers with an [`super::OrderReply`].
    pub const ORDER: &str = "/v1/order";
}

/// Asks a sidecar to run one request.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Dispatch {
    /// The request's identity across all attempts.
    pub request: RequestId,
    /// Which attempt this is.
    pub attempt: Attempt,
    /// The life of the sidecar that the entry believes it talks to.
    pub incarnation: Incarnation,
    /// The sidecar's own clock as last reported to the entry.
    pub mark: ClockMark,
    /// The table version that the entry decided by.
    pub tables: TableVersion,
    /// The route that the request matched.
    pub route: RouteName,
    /// The pool that the entry chose the endpoint from.
    pub pool: PoolName,
    /// The version that the entry wants.
    pub version: VersionName,
    /// How urgent the request is.
    pub tier: Tier,
    /// The client account that the request belongs to.
    pub account: AccountName,
    /// Identity of the caller's idempotency key within the account.
    pub key: Option<RequestId>,
    /// Unix time in milliseconds at which the caller made the key, where the key tells it.
    pub key_time_ms: Option<u64>,
    /// The tables by which every other possible home of the key has confirmed that it is closed.
    pub former_homes_closed: Option<TableVersion>,
    /// Time left for the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Predicted work in tokens; for plain services, 1.
    pub work: WorkEstimate,
    /// Whether the request must not be cancelled once started.
    pub non_idempotent: bool,
    /// Hash chain of the prompt's prefix blocks, for cache affinity.
    pub prefix: Vec<u64>,
    /// The HTTP call to make.
    pub call: Call,
}

/// Predicted work of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkEstimate {
    /// Tokens to prefill.
    pub prefill_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
}

/// Prompt tokens whose prefill takes a request as long as one output token.
pub const PREFILL_TOKENS_PER_OUTPUT_TOKEN: u32 = 100;

impl WorkEstimate {
    /// Returns the predicted cost in output tokens, at least 1.
    ///
    /// Backlogs, queues and speeds are all counted in this unit.
    #[must_use]
    pub fn cost(self) -> u64 {
        let prefill = self.prefill_tokens / PREFILL_TOKENS_PER_OUTPUT_TOKEN;
        (u64::from(self.output_tokens) + u64::from(prefill)).max(1)
    }
}

/// The HTTP call that an endpoint gets.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// Request method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value as received.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// One frame of an answer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The sidecar took the request into its queue.
    Queued(Load),
    /// The engine was given the request; from here on it may have run.
    Started,
    /// Status and headers of the answer.
    Head {
        /// HTTP status of the endpoint's answer.
        status: u16,
        /// Headers that are passed on.
        headers: Vec<Header>,
    },
    /// A piece of the answer's body.
    Data {
        /// Position of the piece's first byte in the whole body.
        offset: u64,
        /// The piece.
        bytes: Bytes,
    },
    /// Shows that the connection and the sidecar are alive.
    Heartbeat,
    /// The answer is whole.
    Final {
        /// Length of the whole body in bytes.
        length: u64,
        /// Tokens that the engine prefilled and generated, and tokens found in its cache.
        usage: Usage,
        /// The sidecar's load as of now.
        load: Load,
    },
    /// The request failed.
    Failed(Failure),
}

/// Why a request got no whole answer from a sidecar.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Failure {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the request ran; a sidecar says `No` only when it is certain.
    pub ran: Ran,
    /// What it concerns.
    pub detail: String,
    /// The sidecar's incarnation, clock, tables and load, so that the entry can correct itself.
    pub load: Load,
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        Self::new(failure.kind, failure.detail)
    }
}

/// Tokens spent on one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Tokens computed in prefill.
    pub prefill_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub output_tokens: u32,
}

/// A sidecar's state in brief; it travels with every answer.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// The sidecar's clock now.
    pub mark: ClockMark,
    /// The newest tables that the sidecar knows.
    pub tables: TableVersion,
    /// Predicted tokens of work queued and running.
    pub backlog_tokens: u64,
    /// Requests queued at the sidecar.
    pub queued: u32,
    /// Requests running in the engine.
    pub running: u32,
    /// Requests that the engine can run at a time.
    pub slots: u32,
    /// Measured speed in tokens per second.
    pub tokens_per_second: f32,
    /// The least urgent tier that the sidecar still accepts.
    pub floor: Tier,
    /// Whether the sidecar takes no new work.
    pub draining: bool,
    /// Number of entries in the sidecar's set of brakes, so that a reader knows when to ask.
    pub brakes: u32,
    /// The newest split that the sidecar knows, so that a reader knows when to ask.
    pub split: SplitSeq,
}

/// Asks for the frames of a request from an offset on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Attach {
    /// The request.
    pub request: RequestId,
    /// The sidecar's incarnation that was given the request.
    pub incarnation: Incarnation,
    /// Position of the first body byte that is wanted.
    pub offset: u64,
}

/// Asks that a request never start, or how far it got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Revoke {
    /// The request.
    pub request: RequestId,
    /// The sidecar's incarnation that was given the request.
    pub incarnation: Incarnation,
    /// The clock mark that the dispatch carried.
    pub mark: ClockMark,
}

/// What a sidecar knows of a request that was to be revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RevokeReply {
    /// The request never started and never will.
    NeverStarted,
    /// The request runs; attach to it.
    Running,
    /// The request has ended; attach to replay its answer.
    Finished,
    /// The sidecar's incarnation is another one, so it cannot tell.
    OtherIncarnation(Incarnation),
    /// The dispatch is older than the sidecar remembers, so it cannot tell.
    Forgotten,
}

/// Tells that the caller has gone and the answer is not wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub request: RequestId,
    /// The sidecar's incarnation that was given the request.
    pub incarnation: Incarnation,
}

/// Asks a former home of an idempotency key whether it saw the key, and closes it there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CloseKey {
    /// Identity of the caller's idempotency key within the account.
    pub key: RequestId,
    /// Unix time in milliseconds at which the caller made the key, where the key tells it.
    pub key_time_ms: Option<u64>,
}

/// What a sidecar knows of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CloseKeyReply {
    /// The key was never used here and never will be.
    Closed,
    /// The key was used by this request.
    Used(RequestId),
    /// The sidecar has not lived long enough to tell.
    Unknown,
}

/// Both tables as one document, at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TablesSnapshot {
    /// The version of the document.
    pub version: TableVersion,
    /// The document as JSON text.
    pub document: Bytes,
}

/// How the traffic of one pool is split between two versions while a move is under way.
///
/// Splits of a pool are ordered by table version, then fencing token, then step; a reader
/// keeps the highest that it has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolSplit {
    /// The pool.
    pub pool: PoolName,
    /// Position in the order of splits.
    pub seq: SplitSeq,
    /// The version that traffic moves away from.
    pub old: VersionName,
    /// The version that traffic moves to.
    pub new: VersionName,
    /// The share of each route that goes to the new version; a route not listed stays.
    pub shares: Vec<RouteShare>,
}

/// Position of a split in the order of all splits of its pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SplitSeq {
    /// Table version that asked for the move.
    pub tables: TableVersion,
    /// Fencing token of the lease holder that set the split.
    pub fence: FencingToken,
    /// Step of that holder.
    pub step: u32,
}

/// The share of one route that goes to the new version of its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteShare {
    /// The route.
    pub route: RouteName,
    /// The share in thousandths.
    pub to_new_permille: u16,
}

/// Asks a sidecar for its report and passes on what the asker knows.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ReportRequest {
    /// The newest tables that the asker knows.
    pub tables: TableVersion,
    /// All brakes that the asker knows.
    pub brakes: Vec<Brake>,
    /// Names of leaving endpoints that the asker knows of.
    pub leaving: Vec<EndpointName>,
    /// The newest split of the sidecar's pool that the asker knows.
    pub split: Option<PoolSplit>,
    /// Whether the asker wants [`Report::outcomes`].
    pub outcomes: bool,
    /// Sequence number of the last cache event that the asker holds.
    pub cache_seq: u64,
    /// Tokens of order-tier work that wait at the asker.
    pub order_pressure: u64,
}

/// A sidecar's full report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The endpoint's name.
    pub endpoint: EndpointName,
    /// The pool that it serves.
    pub pool: PoolName,
    /// The version that it serves.
    pub version: VersionName,
    /// The highest fencing token that the sidecar has seen.
    pub fence: FencingToken,
    /// State in brief.
    pub load: Load,
    /// All brakes that the sidecar knows.
    pub brakes: Vec<Brake>,
    /// The newest split of its pool that the sidecar knows.
    pub split: Option<PoolSplit>,
    /// Counters of outcomes since the sidecar's start.
    pub outcomes: Vec<Outcomes>,
    /// Cache contents or changes since the asked sequence number.
    pub cache: CacheUpdate,
}

/// Stops new work to a version of a pool; a brake is never taken off while that version lasts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Brake {
    /// The pool.
    pub pool: PoolName,
    /// The bad version.
    pub version: VersionName,
    /// Table version of the move during which it was seen, so that a later move starts afresh.
    pub tables: TableVersion,
    /// What was seen, in words.
    pub evidence: String,
}

/// Counters of one route, tier and version at one sidecar since its start.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Outcomes {
    /// The route.
    pub route: RouteName,
    /// The tier.
    pub tier: Tier,
    /// The version that served.
    pub version: VersionName,
    /// Requests answered whole.
    pub ok: u64,
    /// Requests that the endpoint failed.
    pub failed: u64,
    /// Charges that the endpoint reported to have run more than once.
    pub duplicated: u64,
    /// Sum of the natural logarithm of (measured time ÷ time predicted for the work).
    pub log_slowness_sum: f64,
    /// Sum of its squares.
    pub log_slowness_square_sum: f64,
}

/// Changes of a prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheUpdate {
    /// Sequence number after these changes.
    pub seq: u64,
    /// Whether `added` is the whole content rather than a change.
    pub whole: bool,
    /// Hashes of prefix blocks that came in.
    pub added: Vec<u64>,
    /// Hashes of prefix blocks that went out.
    pub removed: Vec<u64>,
}

/// An order to an engine, sent by the holder of the pool's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// The pool.
    pub pool: PoolName,
    /// The fencing token of the lease.
    pub fence: FencingToken,
    /// What to do.
    pub action: EngineAction,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EngineAction {
    /// Load a version from the weight store.
    Load(VersionName),
    /// Change the engine's role, such as `prefill` or `decode`.
    Role(String),
    /// Learn the fencing token and do nothing else.
    Fence,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order was carried out.
    pub done: bool,
    /// The highest fencing token that the sidecar has seen.
    pub fence: FencingToken,
    /// The version that the engine serves now.
    pub version: VersionName,
    /// Why the order was refused.
    pub refused: Option<Kind>,
}

impl Dispatch {
    /// Returns the time left for the whole answer.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
