//! The border between an entry and the sidecars that it talks to.
//!
//! An entry knows sidecars only through [`SidecarLink`], so the same entry runs over HTTP in
//! production and over in-process links with injected faults in tests.

mod http;

use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;

use async_trait::async_trait;
use futures_util::Stream;

use crate::error::Error;
use crate::error::Result;
use crate::wire::Attach;
use crate::wire::Cancel;
use crate::wire::CloseKey;
use crate::wire::CloseKeyReply;
use crate::wire::Dispatch;
use crate::wire::EngineOrder;
use crate::wire::Frame;
use crate::wire::OrderReply;
use crate::wire::Report;
use crate::wire::ReportRequest;
use crate::wire::Revoke;
use crate::wire::RevokeReply;
use crate::wire::TablesSnapshot;

pub use self::http::HttpLink;

/// The frames of one answer; it ends early when the connection breaks.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame>> + Send>>;

/// Why a call to a sidecar gave nothing.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// Not a single byte of the call left this process, so it cannot have had an effect.
    #[error("not sent: {0}")]
    NotSent(#[source] Error),
    /// The call may have reached the sidecar.
    #[error("broken: {0}")]
    Broken(#[source] Error),
}

/// Calls from an entry to sidecars, each named by the sidecar's address.
#[async_trait]
pub trait SidecarLink: Debug + Send + Sync {
    /// Asks for one request to be run and returns the frames of its answer.
    async fn dispatch(&self, to: SocketAddr, msg: Dispatch) -> Result<FrameStream, LinkError>;

    /// Asks for the frames of a request again, on a connection never used before.
    async fn attach(&self, to: SocketAddr, msg: Attach) -> Result<FrameStream, LinkError>;

    /// Asks that a request never start, on a connection never used before.
    async fn revoke(&self, to: SocketAddr, msg: Revoke) -> Result<RevokeReply, LinkError>;

    /// Tells that an answer is not wanted any more.
    async fn cancel(&self, to: SocketAddr, msg: Cancel) -> Result<(), LinkError>;

    /// Asks a former home about an idempotency key.
    async fn close_key(&self, to: SocketAddr, msg: CloseKey) -> Result<CloseKeyReply, LinkError>;

    /// Exchanges knowledge and asks for a report.
    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Result<Report, LinkError>;

    /// Reads the newest tables that a sidecar knows.
    async fn tables(&self, to: SocketAddr) -> Result<TablesSnapshot, LinkError>;

    /// Hands tables to a sidecar.
    async fn push_tables(&self, to: SocketAddr, msg: TablesSnapshot) -> Result<(), LinkError>;

    /// Sends an order to the engine behind a sidecar.
    async fn order(&self, to: SocketAddr, msg: EngineOrder) -> Result<OrderReply, LinkError>;
}
