//! Events and actions of the move state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::error::Kind;
use crate::id::FencingToken;
use crate::id::ObjectVersion;
use crate::id::TableVersion;
use crate::name::EndpointName;
use crate::tables::Pool;
use crate::tables::Route;
use crate::wire::Brake;
use crate::wire::EngineOrder;
use crate::wire::OrderReply;
use crate::wire::PoolSplit;
use crate::wire::Report;

use super::progress::Progress;

/// Input event of a [`Mover`](super::Mover).
#[derive(Debug, Clone, PartialEq)]
pub enum MoveEvent {
    /// Periodic tick, which also ends the current comparison window.
    Tick,
    /// New tables have taken effect.
    Tables {
        /// Their version.
        version: TableVersion,
        /// The pool's row.
        pool: Arc<Pool>,
        /// The rows of the pool's routes.
        routes: Vec<Arc<Route>>,
    },
    /// The fencing token of the pool's lease if this process holds it, otherwise `None`.
    Lease(Option<FencingToken>),
    /// The stored progress has been read.
    ProgressRead {
        /// Version of the object; 0 if it does not exist.
        version: ObjectVersion,
        /// Its value.
        progress: Option<Progress>,
    },
    /// The stored progress could not be read.
    ReadFailed,
    /// The progress has been written.
    Written(ObjectVersion),
    /// The write failed, or its reply was lost.
    WriteFailed(Kind),
    /// A sidecar of the pool has sent a report.
    Report(Box<Report>),
    /// An order to an endpoint has completed or timed out.
    Ordered {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its reply; `None` if there was none.
        reply: Option<OrderReply>,
    },
    /// Brakes received by other means than a report.
    Brakes(Vec<Brake>),
}

/// Action requested by a [`Mover`](super::Mover).
#[derive(Debug, Clone, PartialEq)]
pub enum MoveAction {
    /// Read the stored progress.
    ReadProgress,
    /// Write the progress, conditional on the object version.
    WriteProgress {
        /// The expected current version; 0 creates the object.
        expected: ObjectVersion,
        /// The new value.
        progress: Box<Progress>,
    },
    /// Send an order to an endpoint's sidecar.
    Order {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its sidecar.
        sidecar: SocketAddr,
        /// The order.
        order: EngineOrder,
    },
    /// Distribute a split to all sidecars of the pool.
    Split(PoolSplit),
    /// Distribute a brake to all sidecars of the pool immediately.
    Brake(Brake),
}
