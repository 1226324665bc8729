//! The link of one entry, with the gates of both ends and the probe.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use eelgrassramp::Error;
use eelgrassramp::PoolName;
use eelgrassramp::RequestId;
use eelgrassramp::Tier;
use eelgrassramp::Timers;
use eelgrassramp::link::FrameStream;
use eelgrassramp::link::LinkError;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::wire::Attach;
use eelgrassramp::wire::Cancel;
use eelgrassramp::wire::ClaimKey;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::EngineOrder;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::KeyReply;
use eelgrassramp::wire::OrderReply;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;
use eelgrassramp::wire::TablesSnapshot;
use futures_util::StreamExt;

use super::fleet::Fleet;
use super::fleet::Life;
use super::gate::Gate;
use super::probe::Effect;
use super::probe::Place;
use super::probe::Probe;
use super::probe::Started;
use super::step::Step;
use crate::fault::connection_broken;
use crate::fault::connection_refused;

type Reply<T> = Result<T, LinkError>;

/// The link of one entry.
#[derive(Debug)]
pub struct ProbedLink {
    /// Index of the entry.
    pub entry: usize,
    /// The entry's gate.
    pub gate: Arc<Gate>,
    /// The sidecars' lives.
    pub fleet: Arc<Fleet>,
    /// Where steps are told.
    pub probe: Arc<Probe>,
    /// The link without gates.
    pub inner: Arc<dyn SidecarLink>,
    /// The clock.
    pub timers: Timers,
}

impl ProbedLink {
    /// Makes a call through the gates of both ends.
    async fn guard<T>(&self, to: SocketAddr, call: impl Future<Output = Reply<T>>) -> Reply<T> {
        self.gate.pass().await;
        let gate = match self.fleet.life(to) {
            Life::Gone => return std::future::pending().await,
            Life::Ended => return Err(LinkError::NotSent(connection_refused(to))),
            Life::Running(gate) => gate,
        };
        let call = async {
            gate.pass().await;
            call.await
        };
        let reply = tokio::select! {
            biased;
            () = gate.died() => Err(LinkError::Broken(connection_broken(to))),
            reply = call => reply,
        };
        self.gate.pass().await;
        reply
    }

    fn watch(&self, to: SocketAddr, tracked: Tracked, inner: FrameStream) -> FrameStream {
        let Life::Running(sidecar) = self.fleet.life(to) else {
            let err = Err(connection_broken(to));
            return Box::pin(futures_util::stream::iter([err]));
        };
        let watched = Watched {
            inner: Some(inner),
            entry: Arc::clone(&self.gate),
            sidecar,
            probe: Arc::clone(&self.probe),
            timers: self.timers.clone(),
            tracked,
            to,
            has_data: false,
        };
        Box::pin(futures_util::stream::unfold(watched, |mut watched| async {
            let item = watched.next().await?;
            Some((item, watched))
        }))
    }
}

struct Tracked {
    request: RequestId,
    work: Option<(PoolName, Tier)>,
}

struct Watched {
    inner: Option<FrameStream>,
    entry: Arc<Gate>,
    sidecar: Arc<Gate>,
    probe: Arc<Probe>,
    timers: Timers,
    tracked: Tracked,
    to: SocketAddr,
    has_data: bool,
}

impl Watched {
    async fn next(&mut self) -> Option<Result<Frame, Error>> {
        let inner = self.inner.as_mut()?;
        let frame = tokio::select! {
            biased;
            () = self.entry.died() => None,
            () = self.sidecar.died() => Some(Some(Err(connection_broken(self.to)))),
            frame = inner.next() => Some(frame),
        };
        let Some(frame) = frame else {
            self.inner = None;
            return std::future::pending().await;
        };
        if self.sidecar.is_dead() || frame.is_none() {
            self.inner = None;
            return frame;
        }
        let effect = frame
            .as_ref()
            .and_then(|f| f.as_ref().ok())
            .map(|f| self.step(f));
        if effect.flatten() == Some(Effect::Silence) {
            return std::future::pending().await;
        }
        self.pass_gates().await;
        if self.sidecar.is_dead() {
            self.inner = None;
            return Some(Err(connection_broken(self.to)));
        }
        frame
    }

    /// Waits until both ends run, or until one of them has died.
    async fn pass_gates(&mut self) {
        tokio::select! {
            biased;
            () = self.sidecar.died() => {}
            () = self.sidecar.pass() => {}
        }
        let entry = Arc::clone(&self.entry);
        tokio::select! {
            biased;
            () = entry.died() => {
                self.inner = None;
                std::future::pending::<()>().await;
            }
            () = entry.pass() => {}
        }
    }

    fn step(&mut self, frame: &Frame) -> Option<Effect> {
        let step = match frame {
            Frame::Queued(_) => Step::Admit,
            Frame::Started => {
                self.note_start();
                return None;
            }
            Frame::Data { .. } if !self.has_data => {
                self.has_data = true;
                Step::Stream
            }
            Frame::Final { .. } => Step::Finish,
            Frame::Data { .. } | Frame::Head { .. } | Frame::Heartbeat | Frame::Failed(_) => {
                return None;
            }
        };
        Some(self.probe.reach(step, self.tracked.request))
    }

    fn note_start(&self) {
        if let Some((pool, tier)) = self.tracked.work.clone() {
            let at = self.timers.now();
            self.probe.note_start(Started {
                at,
                sidecar: self.to,
                pool,
                tier,
            });
        }
    }
}

#[async_trait]
impl SidecarLink for ProbedLink {
    async fn dispatch(&self, to: SocketAddr, msg: Dispatch) -> Reply<FrameStream> {
        let request = msg.request;
        let work = Some((msg.pool.clone(), msg.tier));
        let place = Place {
            entry: self.entry,
            sidecar: to,
        };
        self.probe.note(request, place, msg.pool.clone());
        self.probe.reach(Step::Choose, request);
        if self.probe.reach(Step::Connect, request) == Effect::Silence {
            return std::future::pending().await;
        }
        let frames = self.guard(to, self.inner.dispatch(to, msg)).await?;
        let effect = self.probe.reach(Step::Dispatch, request);
        if effect == Effect::Silence {
            return std::future::pending().await;
        }
        Ok(self.watch(to, Tracked { request, work }, frames))
    }

    async fn attach(&self, to: SocketAddr, msg: Attach) -> Reply<FrameStream> {
        let frames = self.guard(to, self.inner.attach(to, msg)).await?;
        let tracked = Tracked {
            request: msg.request,
            work: None,
        };
        Ok(self.watch(to, tracked, frames))
    }

    async fn revoke(&self, to: SocketAddr, msg: Revoke) -> Reply<RevokeReply> {
        self.guard(to, self.inner.revoke(to, msg)).await
    }

    async fn cancel(&self, to: SocketAddr, msg: Cancel) -> Reply<()> {
        self.guard(to, self.inner.cancel(to, msg)).await
    }

    async fn claim_key(&self, to: SocketAddr, msg: ClaimKey) -> Reply<KeyReply> {
        self.guard(to, self.inner.claim_key(to, msg)).await
    }

    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Reply<Report> {
        let late = self.fleet.report_delay();
        let report = self.guard(to, self.inner.report(to, msg)).await;
        if late > Duration::ZERO {
            self.timers.after(late).await;
        }
        report
    }

    async fn tables(&self, to: SocketAddr) -> Reply<TablesSnapshot> {
        self.guard(to, self.inner.tables(to)).await
    }

    async fn push_tables(&self, to: SocketAddr, msg: TablesSnapshot) -> Reply<()> {
        self.guard(to, self.inner.push_tables(to, msg)).await
    }

    async fn order(&self, to: SocketAddr, msg: EngineOrder) -> Reply<OrderReply> {
        self.guard(to, self.inner.order(to, msg)).await
    }
}
