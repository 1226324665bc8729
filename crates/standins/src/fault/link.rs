//! A link that injects faults into the calls of another one.

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
use super::stream::end_after;

type Reply<T> = Result<T, LinkError>;
type Pending<T> = Pin<Box<dyn Future<Output = Reply<T>> + Send>>;

/// Passes calls on to another link, except for the faults that the rules inject.
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

    /// Makes a call whose reply is one message.
    async fn unary<T: Send + 'static>(
        &self,
        operation: Operation,
        to: SocketAddr,
        call: impl Fn(Arc<dyn SidecarLink>) -> Pending<T> + Send + Sync,
    ) -> Reply<T> {
        self.carry(operation, to, call, |_, _, reply| reply, drop)
            .await
    }

    /// Makes a call whose reply is a stream of frames.
    async fn frames(
        &self,
        operation: Operation,
        to: SocketAddr,
        call: impl Fn(Arc<dyn SidecarLink>) -> Pending<FrameStream> + Send + Sync,
    ) -> Reply<FrameStream> {
        let drop_frames = |frames| {
            tokio::spawn(drain(frames));
        };
        let cut = |n, ending, frames| end_after(frames, n, ending);
        self.carry(operation, to, call, cut, drop_frames).await
    }

    async fn carry<T: Send + 'static>(
        &self,
        operation: Operation,
        to: SocketAddr,
        call: impl Fn(Arc<dyn SidecarLink>) -> Pending<T> + Send + Sync,
        cut: impl Fn(usize, Ending, T) -> T + Send + Sync,
        discard: impl Fn(T) + Copy + Send + Sync + 'static,
    ) -> Reply<T> {
        let deliver = || call(Arc::clone(&self.inner));
        match self.faults.draw(operation, to) {
            None => deliver().await,
            Some(Fault::Refuse) => Err(LinkError::NotSent(refused(to))),
            Some(Fault::BreakBefore) => Err(LinkError::Broken(broke(to))),
            Some(Fault::BlackHole) => std::future::pending().await,
            Some(Fault::LoseReply) => {
                deliver().await.map(discard)?;
                Err(LinkError::Broken(broke(to)))
            }
            Some(Fault::Silence) => {
                deliver().await.map(discard)?;
                std::future::pending().await
            }
            Some(Fault::BreakAfter(n)) => Ok(cut(n, Ending::Broken, deliver().await?)),
            Some(Fault::SilenceAfter(n)) => Ok(cut(n, Ending::Silent, deliver().await?)),
            Some(Fault::Duplicate(after)) => {
                let again = self.later(after, deliver());
                tokio::spawn(async move { again.await.map(discard) });
                deliver().await
            }
            Some(Fault::Delay(by)) => {
                let task = tokio::spawn(self.later(by, deliver()));
                task.await
                    .unwrap_or_else(|_| Err(LinkError::Broken(broke(to))))
            }
        }
    }

    /// Makes a call after some time; it goes on when its caller gives up.
    fn later<T>(
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

/// Returns the error of a connection that was refused.
pub(crate) fn refused(to: SocketAddr) -> Error {
    Error::new(
        Kind::ConnectFailed,
        format!("sidecar {to} refused the connection"),
    )
}

/// Returns the error of a connection that broke.
pub(crate) fn broke(to: SocketAddr) -> Error {
    Error::new(
        Kind::StreamBroken,
        format!("connection to sidecar {to} broke"),
    )
}
