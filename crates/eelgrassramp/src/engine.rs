//! The interface between a sidecar and its engine.
//!
//! A sidecar accesses its endpoint only through [`Engine`], which is implemented by an HTTP
//! client for model engines and plain services, and by fakes in tests.

mod http;
mod usage;

use std::fmt::Debug;
use std::pin::Pin;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::Stream;

use crate::error::Result;
use crate::id::FencingToken;
use crate::id::RequestId;
use crate::name::VersionName;
use crate::wire::CacheUpdate;
use crate::wire::Call;
use crate::wire::EngineAction;
use crate::wire::Header;
use crate::wire::Usage;

pub use self::http::HttpEngine;

/// The events of one response; a response without [`EngineEvent::End`] is incomplete.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<EngineEvent>> + Send>>;

/// One event of an engine's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers without the hop-by-hop ones.
        headers: Vec<Header>,
    },
    /// A chunk of the body.
    Data(Bytes),
    /// The response is complete.
    End(Usage),
}

/// The load reported by an engine; the report lags behind the actual load.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLoad {
    /// The version that the engine serves.
    pub version: VersionName,
    /// Running requests.
    pub running: u32,
    /// Requests queued inside the engine.
    pub waiting: u32,
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Tokens generated per second over the last interval.
    pub tokens_per_second: f32,
}

/// Client interface of an engine.
///
/// [`Engine::run`] fails with [`Kind::ConnectFailed`](crate::Kind::ConnectFailed) only if no
/// byte of the call was sent; after any other failure the call may have run.
#[async_trait]
pub trait Engine: Debug + Send + Sync {
    /// Runs one call.
    async fn run(&self, request: RequestId, call: Call) -> Result<EngineStream>;

    /// Resumes a stream at a byte offset of its body, if the engine supports it.
    async fn resume(&self, request: RequestId, offset: u64) -> Result<EngineStream>;

    /// Cancels a call and frees its slot, if the engine supports it.
    async fn cancel(&self, request: RequestId) -> Result<()>;

    /// Reads the engine's load.
    async fn load(&self) -> Result<EngineLoad>;

    /// Reads the cache events after `seq`; events may be delayed or lost.
    async fn cache_events(&self, seq: u64) -> Result<CacheUpdate>;

    /// Sends an order to the engine and returns the version that it serves afterwards.
    async fn order(&self, action: EngineAction, fence: FencingToken) -> Result<VersionName>;
}
