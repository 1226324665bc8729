//! Transport between an entry and sidecars.
//!
//! Entries call sidecars only through [`SidecarLink`], so the same code uses HTTP in production and
//! in-process links with fault injection in tests.

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

/// The frames of one answer; ends early if the connection breaks.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame>> + Send>>;

/// Error of a call to a sidecar.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// No byte of the call was sent, so it had no effect.
    #[error("not sent: {0}")]
    NotSent(#[source] Error),
    /// The call may have reached the sidecar.
    #[error("broken: {0}")]
    Broken(#[source] Error),
}

/// Calls from an entry to sidecars, identified by address.
#[async_trait]
pub trait SidecarLink: Debug + Send + Sync {
    /// Dispatches one request and returns the frames of its answer.
    async fn dispatch(&self, to: SocketAddr, msg: Dispatch) -> Result<FrameStream, LinkError>;

    /// Requests the frames of a request again, on a new connection.
    async fn attach(&self, to: SocketAddr, msg: Attach) -> Result<FrameStream, LinkError>;

    /// Revokes a request, on a new connection.
    async fn revoke(&self, to: SocketAddr, msg: Revoke) -> Result<RevokeReply, LinkError>;

    /// Cancels a request whose answer is no longer needed.
    async fn cancel(&self, to: SocketAddr, msg: Cancel) -> Result<(), LinkError>;

    /// Closes an idempotency key at a former home endpoint.
    async fn close_key(&self, to: SocketAddr, msg: CloseKey) -> Result<CloseKeyReply, LinkError>;

    /// Passes on the state known to the sender and requests a report.
    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Result<Report, LinkError>;

    /// Fetches the newest tables known to a sidecar.
    async fn tables(&self, to: SocketAddr) -> Result<TablesSnapshot, LinkError>;

    /// Pushes tables to a sidecar.
    async fn push_tables(&self, to: SocketAddr, msg: TablesSnapshot) -> Result<(), LinkError>;

    /// Sends an order to the engine behind a sidecar.
    async fn order(&self, to: SocketAddr, msg: EngineOrder) -> Result<OrderReply, LinkError>;
}
