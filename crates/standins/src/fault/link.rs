//! A link that injects faults into the calls of the link it wraps.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use async_trait::async_trait;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Timers;
use eelgrassramp::link::FrameStream;
use eelgrassramp::link::LinkError;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::wire::Attach;
use eelgrassramp::wire::Cancel;
use eelgrassramp::wire::CloseKey;
use eelgrassramp::wire::CloseKeyReply;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::EngineOrder;
use eelgrassramp::wire::OrderReply;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;
use eelgrassramp::wire::TablesSnapshot;

use super::rules::Fault;
use super::rules::Faults;
use super::rules::Operation;
use super::stream::Ending;
use super::stream::drain;
use super::stream::truncate_after;

type Reply<T> = Result<T, LinkError>;
type Pending<T> = Pin<Box<dyn Future<Output = Reply<T>> + Send>>;

/// Forwards calls to another link and injects faults according to the rules.
#[derive(Debug)]
pub struct FaultyLink {
    inner: Arc<dyn SidecarLink>,
    faults: Arc<Faults>,
    timers: Timers,
}

impl FaultyLink {
    /// Wraps `inner`.
    #[must_use]
    pub fn new(inner: Arc<dyn SidecarLink>, faults: Arc<Faults>, timers: Timers) -> Arc<Self> {
        Arc::new(Self {
            inner,
            faults,
            timers,
        })
    }

    /// Makes a call with a single reply message.
    async fn unary<T: Send + 'static>(
        &self,
        operation: Operation,
        to: SocketAddr,
        call: impl Fn(Arc<dyn SidecarLink>) -> Pending<T> + Send + Sync,
    ) -> Reply<T> {
        self.call_with_faults(operation, to, call, |_, _, reply| reply, drop)
            .await
    }

    /// Makes a call that returns a stream of frames.
    async fn frames(
        &self,
        operation: Operation,
        to: SocketAddr,
        call: impl Fn(Arc<dyn SidecarLink>) -> Pending<FrameStream> + Send + Sync,
    ) -> Reply<FrameStream> {
        let drop_frames = |frames| {
            tokio::spawn(drain(frames));
        };
        let truncate = |n, ending, frames| truncate_after(frames, n, ending);
        self.call_with_faults(operation, to, call, truncate, drop_frames)
            .await
    }

    async fn call_with_faults<T: Send + 'static>(
        &self,
        operation: Operation,
        to: SocketAddr,
        call: impl Fn(Arc<dyn SidecarLink>) -> Pending<T> + Send + Sync,
        truncate: impl Fn(usize, Ending, T) -> T + Send + Sync,
        discard: impl Fn(T) + Copy + Send + Sync + 'static,
    ) -> Reply<T> {
        let deliver = || call(Arc::clone(&self.inner));
        match self.faults.next_fault(operation, to) {
            None => deliver().await,
            Some(Fault::Refuse) => Err(LinkError::NotSent(connection_refused(to))),
            Some(Fault::BreakBeforeDelivery) => Err(LinkError::Broken(connection_broken(to))),
            Some(Fault::BlackHole) => std::future::pending().await,
            Some(Fault::LoseReply) => {
                deliver().await.map(discard)?;
                Err(LinkError::Broken(connection_broken(to)))
            }
            Some(Fault::StallReply) => {
                deliver().await.map(discard)?;
                std::future::pending().await
            }
            Some(Fault::BreakAfter(n)) => Ok(truncate(n, Ending::Broken, deliver().await?)),
            Some(Fault::StallAfter(n)) => Ok(truncate(n, Ending::Stalled, deliver().await?)),
            Some(Fault::Duplicate(after)) => {
                let again = self.delayed(after, deliver());
                tokio::spawn(async move { again.await.map(discard) });
                deliver().await
            }
            Some(Fault::Delay(by)) => {
                let task = tokio::spawn(self.delayed(by, deliver()));
                task.await
                    .unwrap_or_else(|_| Err(LinkError::Broken(connection_broken(to))))
            }
        }
    }

    /// Makes a call after a delay. Once spawned, it continues even if its caller gives up.
    fn delayed<T>(
        &self,
        after: std::time::Duration,
        call: Pending<T>,
    ) -> impl Future<Output = Reply<T>> + use<T> {
        let timers = self.timers.clone();
        async move {
            timers.after(after).await;
            call.await
        }
    }
}

#[async_trait]
impl SidecarLink for FaultyLink {
    async fn dispatch(&self, to: SocketAddr, msg: Dispatch) -> Reply<FrameStream> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<FrameStream> {
            let msg = msg.clone();
            Box::pin(async move { link.dispatch(to, msg).await })
        };
        self.frames(Operation::Dispatch, to, call).await
    }

    async fn attach(&self, to: SocketAddr, msg: Attach) -> Reply<FrameStream> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<FrameStream> {
            Box::pin(async move { link.attach(to, msg).await })
        };
        self.frames(Operation::Attach, to, call).await
    }

    async fn revoke(&self, to: SocketAddr, msg: Revoke) -> Reply<RevokeReply> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<RevokeReply> {
            Box::pin(async move { link.revoke(to, msg).await })
        };
        self.unary(Operation::Revoke, to, call).await
    }

    async fn cancel(&self, to: SocketAddr, msg: Cancel) -> Reply<()> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<()> {
            Box::pin(async move { link.cancel(to, msg).await })
        };
        self.unary(Operation::Cancel, to, call).await
    }

    async fn close_key(&self, to: SocketAddr, msg: CloseKey) -> Reply<CloseKeyReply> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<CloseKeyReply> {
            Box::pin(async move { link.close_key(to, msg).await })
        };
        self.unary(Operation::CloseKey, to, call).await
    }

    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Reply<Report> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<Report> {
            let msg = msg.clone();
            Box::pin(async move { link.report(to, msg).await })
        };
        self.unary(Operation::Report, to, call).await
    }

    async fn tables(&self, to: SocketAddr) -> Reply<TablesSnapshot> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<TablesSnapshot> {
            Box::pin(async move { link.tables(to).await })
        };
        self.unary(Operation::Tables, to, call).await
    }

    async fn push_tables(&self, to: SocketAddr, msg: TablesSnapshot) -> Reply<()> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<()> {
            let msg = msg.clone();
            Box::pin(async move { link.push_tables(to, msg).await })
        };
        self.unary(Operation::PushTables, to, call).await
    }

    async fn order(&self, to: SocketAddr, msg: EngineOrder) -> Reply<OrderReply> {
        let call = |link: Arc<dyn SidecarLink>| -> Pending<OrderReply> {
            let msg = msg.clone();
            Box::pin(async move { link.order(to, msg).await })
        };
        self.unary(Operation::Order, to, call).await
    }
}

/// Returns the error for a refused connection.
pub(crate) fn connection_refused(to: SocketAddr) -> Error {
    Error::new(
        Kind::ConnectFailed,
        format!("sidecar {to} refused the connection"),
    )
}

/// Returns the error for a broken connection.
pub(crate) fn connection_broken(to: SocketAddr) -> Error {
    Error::new(
        Kind::StreamBroken,
        format!("connection to sidecar {to} broke"),
    )
}
