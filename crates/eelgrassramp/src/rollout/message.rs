//! What the core of a move is told, and what it asks for.

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

/// What a [`Mover`](super::Mover) is told.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveEvent {
    /// Time has passed; it also ends the current window of the comparison.
    Tick,
    /// New tables are in force.
    Tables {
        /// Their version.
        version: TableVersion,
        /// The pool's row.
        pool: Arc<Pool>,
        /// The rows of the routes that go to the pool.
        routes: Vec<Arc<Route>>,
    },
    /// This process holds the pool's lease with this token, or does not hold it.
    Lease(Option<FencingToken>),
    /// The stored progress was read.
    ProgressRead {
        /// Version of the object; 0 when there is none.
        version: ObjectVersion,
        /// Its value.
        progress: Option<Progress>,
    },
    /// The stored progress could not be read.
    ReadFailed,
    /// The progress was written.
    Written(ObjectVersion),
    /// The progress was not written, or its reply was lost.
    WriteFailed(Kind),
    /// A sidecar of the pool sent its report.
    Report(Box<Report>),
    /// An endpoint answered an order.
    Ordered {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its reply; `None` when none came.
        reply: Option<OrderReply>,
    },
    /// Brakes became known by another way than a report.
    Brakes(Vec<Brake>),
}

/// What a [`Mover`](super::Mover) asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveAction {
    /// Read the object with the progress.
    ReadProgress,
    /// Write the progress if the object still has this version.
    WriteProgress {
        /// The version that must not have changed; 0 creates the object.
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
    /// Make a split known to all sidecars of the pool.
    Split(PoolSplit),
    /// Make a brake known to all sidecars of the pool at once.
    Brake(Brake),
}
