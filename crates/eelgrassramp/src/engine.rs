//! The border between a sidecar and the back end behind it.
//!
//! A sidecar knows its back end only through [`Engine`]: a model engine or a plain service
//! over HTTP in production, a stand-in in tests.

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

/// The events of one answer; an answer without [`EngineEvent::End`] is not whole.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<EngineEvent>> + Send>>;

/// One event of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers that are passed on.
        headers: Vec<Header>,
    },
    /// A piece of the body.
    Data(Bytes),
    /// The answer is whole.
    End(Usage),
}

/// An engine's own report of its load; it lags.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLoad {
    /// The version that the engine serves.
    pub version: VersionName,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Requests that fit into one batch.
    pub slots: u32,
    /// Tokens generated per second over the last interval.
    pub tokens_per_second: f32,
}

/// Calls from a sidecar to its engine.
///
/// [`Engine::run`] fails with [`Kind::ConnectFailed`](crate::Kind::ConnectFailed) only when
/// not a single byte of the call was sent; every other failure means that it may have run.
#[async_trait]
pub trait Engine: Debug + Send + Sync {
    /// Runs one call.
    async fn run(&self, request: RequestId, call: Call) -> Result<EngineStream>;

    /// Continues a stream from a position in its body, where the engine can.
    async fn resume(&self, request: RequestId, offset: u64) -> Result<EngineStream>;

    /// Stops a call and frees its slot, where the engine can.
    async fn cancel(&self, request: RequestId) -> Result<()>;

    /// Reads the engine's load.
    async fn load(&self) -> Result<EngineLoad>;

    /// Reads the cache events after `seq`; they arrive late and with gaps.
    async fn cache_events(&self, seq: u64) -> Result<CacheUpdate>;

    /// Orders the engine to do something and returns the version that it serves then.
    async fn order(&self, action: EngineAction, fence: FencingToken) -> Result<VersionName>;
}
