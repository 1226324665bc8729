//! Messages between entries and sidecars.
//!
//! All messages are plain data, sent as MessagePack over HTTP: see `docs/DESIGN.md`, "Messages".

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

/// Paths of the sidecar's HTTP interface.
pub mod path {
    /// Accepts a [`super::Dispatch`], returns a stream of [`super::Frame`].
    pub const DISPATCH: &str = "/v1/dispatch";
    /// Accepts an [`super::Attach`], returns a stream of [`super::Frame`].
    pub const ATTACH: &str = "/v1/attach";
    /// Accepts a [`super::Revoke`], returns a [`super::RevokeReply`].
    pub const REVOKE: &str = "/v1/revoke";
    /// Accepts a [`super::Cancel`], returns an empty body.
    pub const CANCEL: &str = "/v1/cancel";
    /// Accepts a [`super::ReportRequest`], returns a [`super::Report`].
    pub const REPORT: &str = "/v1/report";
    /// GET returns a [`super::TablesSnapshot`]; POST accepts one.
    pub const TABLES: &str = "/v1/tables";
    /// Accepts a [`super::CloseKey`], returns a [`super::CloseKeyReply`].
    pub const KEY: &str = "/v1/key";
    /// Accepts an [`super::EngineOrder`], returns an [`super::OrderReply`].
    pub const ORDER: &str = "/v1/order";
}

/// Asks a sidecar to run one request.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Dispatch {
    /// The request's identity across all attempts.
    pub request: RequestId,
    /// Attempt number.
    pub attempt: Attempt,
    /// Incarnation of the sidecar that the entry addresses.
    pub incarnation: Incarnation,
    /// Clock mark that the sidecar last reported to the entry.
    pub mark: ClockMark,
    /// Table version on which the entry's decision is based.
    pub tables: TableVersion,
    /// The route that the request matched.
    pub route: RouteName,
    /// The pool from which the entry chose the endpoint.
    pub pool: PoolName,
    /// The version that the entry expects the endpoint to serve.
    pub version: VersionName,
    /// Priority tier of the request.
    pub tier: Tier,
    /// The client account that the request belongs to.
    pub account: AccountName,
    /// Identity of the caller's idempotency key within the account.
    pub key: Option<RequestId>,
    /// Unix time in milliseconds at which the caller created the key, if the key contains it.
    pub key_time_ms: Option<u64>,
    /// Version of the tables by which every other possible home endpoint of the key has confirmed
    /// that it closed the key.
    pub former_homes_closed: Option<TableVersion>,
    /// Time left for the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// Estimated work in tokens; 1 for plain services.
    pub work: WorkEstimate,
    /// Whether the request must not be cancelled once it has started.
    pub non_idempotent: bool,
    /// Chained hashes of the prompt's prefix blocks, for cache affinity.
    pub prefix: Vec<u64>,
    /// The HTTP call to make.
    pub call: Call,
}

/// Estimated work of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkEstimate {
    /// Tokens to prefill.
    pub prefill_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
}

/// Number of prompt tokens whose prefill takes as long as generating one output token.
pub const PREFILL_TOKENS_PER_OUTPUT_TOKEN: u32 = 100;

impl WorkEstimate {
    /// Returns the estimated cost in output tokens, at least 1.
    ///
    /// Backlogs, queue lengths and speeds use this unit.
    #[must_use]
    pub fn cost(self) -> u64 {
        let prefill = self.prefill_tokens / PREFILL_TOKENS_PER_OUTPUT_TOKEN;
        (u64::from(self.output_tokens) + u64::from(prefill)).max(1)
    }
}

/// The HTTP request sent to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// Request method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Forwarded headers.
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
    /// The sidecar queued the request.
    Queued(Load),
    /// The request was sent to the engine; from now on it may have run.
    Started,
    /// Status and headers of the endpoint's answer.
    Head {
        /// HTTP status of the endpoint's answer.
        status: u16,
        /// Forwarded headers.
        headers: Vec<Header>,
    },
    /// A piece of the answer's body.
    Data {
        /// Offset of the piece in the body.
        offset: u64,
        /// The piece.
        bytes: Bytes,
    },
    /// Sign of life of the sidecar and the connection.
    Heartbeat,
    /// The answer is complete.
    Final {
        /// Length of the body in bytes.
        length: u64,
        /// Number of tokens that the engine prefilled, found in its cache and generated.
        usage: Usage,
        /// The sidecar's current load.
        load: Load,
    },
    /// The request failed.
    Failed(Failure),
}

/// Reason for which a sidecar returned no complete answer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Failure {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the request ran; a sidecar reports `No` only if it is certain.
    pub ran: Ran,
    /// Detail for the error message.
    pub detail: String,
    /// The sidecar's current incarnation, clock, table version and load, so that the entry can
    /// update its outdated state.
    pub load: Load,
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        Self::new(failure.kind, failure.detail)
    }
}

/// Token usage of one request.
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

/// Summary of a sidecar's state, included in every answer.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// The sidecar's current clock mark.
    pub mark: ClockMark,
    /// The newest table version known to the sidecar.
    pub tables: TableVersion,
    /// Estimated tokens of queued and running work.
    pub backlog_tokens: u64,
    /// Requests queued at the sidecar.
    pub queued: u32,
    /// Requests that are running in the engine.
    pub running: u32,
    /// Number of requests that the engine can run concurrently.
    pub slots: u32,
    /// Measured speed in tokens per second.
    pub tokens_per_second: f32,
    /// The lowest priority tier that the sidecar still accepts.
    pub floor: Tier,
    /// Whether the sidecar accepts no new work.
    pub draining: bool,
    /// Number of brakes known to the sidecar; a difference tells the reader to request a report.
    pub brakes: u32,
    /// Sequence number of the newest split known to the sidecar; a difference tells the reader to
    /// request a report.
    pub split: SplitSeq,
}

/// Requests the frames of a request from a body offset on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Attach {
    /// The request.
    pub request: RequestId,
    /// The sidecar's incarnation that was given the request.
    pub incarnation: Incarnation,
    /// Offset of the first requested body byte.
    pub offset: u64,
}

/// Requests that a request never starts, or its state if it has already started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Revoke {
    /// The request.
    pub request: RequestId,
    /// The sidecar's incarnation that was given the request.
    pub incarnation: Incarnation,
    /// The clock mark of the dispatch.
    pub mark: ClockMark,
}

/// Reply of a sidecar to a revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RevokeReply {
    /// The request never started and never will.
    NeverStarted,
    /// The request is running; attach to it.
    Running,
    /// The request has ended; attach to replay its answer.
    Finished,
    /// The sidecar is a different incarnation, so the state of the request is unknown.
    OtherIncarnation(Incarnation),
    /// The dispatch is older than the sidecar's retention time, so the state of the request is
    /// unknown.
    Forgotten,
}

/// Cancels a request whose caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub request: RequestId,
    /// The sidecar's incarnation that was given the request.
    pub incarnation: Incarnation,
}

/// Asks a former home endpoint of an idempotency key whether the key was used there, and closes the
/// key there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CloseKey {
    /// Identity of the caller's idempotency key within the account.
    pub key: RequestId,
    /// Unix time in milliseconds at which the caller created the key, if the key contains it.
    pub key_time_ms: Option<u64>,
}

/// Reply of a sidecar about an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CloseKeyReply {
    /// The key was never used at this sidecar and never will be.
    Closed,
    /// The key was used by this request.
    Used(RequestId),
    /// The sidecar has not been running long enough to know.
    Unknown,
}

/// Both tables as one document with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TablesSnapshot {
    /// The version of the document.
    pub version: TableVersion,
    /// The document as JSON text.
    pub document: Bytes,
}

/// Traffic split of one pool between two versions during a move.
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
    /// The share of each route that goes to the new version; routes that are not listed stay on the
    /// old version.
    pub shares: Vec<RouteShare>,
}

/// Position of a split in the order of all splits of its pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SplitSeq {
    /// Table version that requested the move.
    pub tables: TableVersion,
    /// Fencing token of the lease holder that set the split.
    pub fence: FencingToken,
    /// Number of the step taken by that holder.
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

/// Requests a sidecar's report and passes on the state known to the sender.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ReportRequest {
    /// The newest table version known to the sender.
    pub tables: TableVersion,
    /// All brakes known to the sender.
    pub brakes: Vec<Brake>,
    /// Names of the leaving endpoints known to the sender.
    pub leaving: Vec<EndpointName>,
    /// The newest split of the sidecar's pool known to the sender.
    pub split: Option<PoolSplit>,
    /// Whether to include [`Report::outcomes`].
    pub outcomes: bool,
    /// Sequence number of the last cache event received by the sender.
    pub cache_seq: u64,
    /// Tokens of order-tier work that are waiting at the sender.
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
    /// Summary of the sidecar's state.
    pub load: Load,
    /// All brakes known to the sidecar.
    pub brakes: Vec<Brake>,
    /// The newest split of its pool known to the sidecar.
    pub split: Option<PoolSplit>,
    /// Outcome counters since the sidecar's start.
    pub outcomes: Vec<Outcomes>,
    /// Cache contents, or changes since the requested sequence number.
    pub cache: CacheUpdate,
}

/// Marks a version of a pool as bad, so that it gets no new work; a brake is never removed while
/// that version exists.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Brake {
    /// The pool.
    pub pool: PoolName,
    /// The bad version.
    pub version: VersionName,
    /// Table version of the move during which the problem was detected; a later move is not
    /// affected by the brake.
    pub tables: TableVersion,
    /// Description of the detected problem.
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
    /// Requests with a complete answer.
    pub ok: u64,
    /// Requests that the endpoint failed.
    pub failed: u64,
    /// Charges that the endpoint reported as executed more than once.
    pub duplicated: u64,
    /// Sum of the natural logarithm of (measured time ÷ estimated time for the work).
    pub log_slowness_sum: f64,
    /// Sum of the squares of these logarithms.
    pub log_slowness_square_sum: f64,
}

/// Changes of a prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheUpdate {
    /// Sequence number after these changes.
    pub seq: u64,
    /// Whether `added` is the complete content rather than a change.
    pub whole: bool,
    /// Hashes of the prefix blocks that were added.
    pub added: Vec<u64>,
    /// Hashes of the prefix blocks that were removed.
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
    /// The action to perform.
    pub action: EngineAction,
}

/// Action of an engine order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EngineAction {
    /// Load a version from the weight store.
    Load(VersionName),
    /// Change the engine's role, such as `prefill` or `decode`.
    Role(String),
    /// Record the fencing token only.
    Fence,
}

/// Result of an engine order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the action was performed.
    pub done: bool,
    /// The highest fencing token that the sidecar has seen.
    pub fence: FencingToken,
    /// The version that the engine serves now.
    pub version: VersionName,
    /// Reason for the refusal, if the order was refused.
    pub refused: Option<Kind>,
}

impl Dispatch {
    /// Returns the time left for the complete answer.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
