//! The link of one entry, behind the gates of both ends and with the probe.

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
use eelgrassramp::wire::CloseKey;
use eelgrassramp::wire::CloseKeyReply;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::EngineOrder;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::OrderReply;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;
use eelgrassramp::wire::TablesSnapshot;
use futures_util::StreamExt;

use super::fleet::Fleet;
use super::fleet::SidecarState;
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
    /// The states of the sidecars.
    pub fleet: Arc<Fleet>,
    /// The probe that steps are reported to.
    pub probe: Arc<Probe>,
    /// The wrapped link.
    pub inner: Arc<dyn SidecarLink>,
    /// The clock.
    pub timers: Timers,
}

impl ProbedLink {
    /// Makes a call through the gates of both ends.
    async fn gated_call<T>(
        &self,
        to: SocketAddr,
        call: impl Future<Output = Reply<T>>,
    ) -> Reply<T> {
        self.gate.wait_until_running().await;
        let gate = match self.fleet.sidecar_state(to) {
            SidecarState::VmGone => return std::future::pending().await,
            SidecarState::ProcessStopped => return Err(LinkError::NotSent(connection_refused(to))),
            SidecarState::Running(gate) => gate,
        };
        let call = async {
            gate.wait_until_running().await;
            call.await
        };
        let reply = tokio::select! {
            biased;
            () = gate.wait_until_dead() => Err(LinkError::Broken(connection_broken(to))),
            reply = call => reply,
        };
        self.gate.wait_until_running().await;
        reply
    }

    fn observe(&self, to: SocketAddr, tracked: Tracked, inner: FrameStream) -> FrameStream {
        let SidecarState::Running(sidecar) = self.fleet.sidecar_state(to) else {
            let err = Err(connection_broken(to));
            return Box::pin(futures_util::stream::iter([err]));
        };
        let observed = ObservedStream {
            inner: Some(inner),
            entry: Arc::clone(&self.gate),
            sidecar,
            probe: Arc::clone(&self.probe),
            timers: self.timers.clone(),
            tracked,
            to,
            has_data: false,
        };
        Box::pin(futures_util::stream::unfold(
            observed,
            |mut observed| async {
                let item = observed.next().await?;
                Some((item, observed))
            },
        ))
    }
}

struct Tracked {
    request: RequestId,
    work: Option<(PoolName, Tier)>,
}

struct ObservedStream {
    inner: Option<FrameStream>,
    entry: Arc<Gate>,
    sidecar: Arc<Gate>,
    probe: Arc<Probe>,
    timers: Timers,
    tracked: Tracked,
    to: SocketAddr,
    has_data: bool,
}

impl ObservedStream {
    async fn next(&mut self) -> Option<Result<Frame, Error>> {
        let inner = self.inner.as_mut()?;
        let frame = tokio::select! {
            biased;
            () = self.entry.wait_until_dead() => None,
            () = self.sidecar.wait_until_dead() => Some(Some(Err(connection_broken(self.to)))),
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
        if effect.flatten() == Some(Effect::Hang) {
            return std::future::pending().await;
        }
        self.wait_until_both_running().await;
        if self.sidecar.is_dead() {
            self.inner = None;
            return Some(Err(connection_broken(self.to)));
        }
        frame
    }

    /// Waits until both ends are running; returns early if the sidecar dies, never if the entry does.
    async fn wait_until_both_running(&mut self) {
        tokio::select! {
            biased;
            () = self.sidecar.wait_until_dead() => {}
            () = self.sidecar.wait_until_running() => {}
        }
        let entry = Arc::clone(&self.entry);
        tokio::select! {
            biased;
            () = entry.wait_until_dead() => {
                self.inner = None;
                std::future::pending::<()>().await;
            }
            () = entry.wait_until_running() => {}
        }
    }

    fn step(&mut self, frame: &Frame) -> Option<Effect> {
        let step = match frame {
            Frame::Queued(_) => Step::Admit,
            Frame::Started => {
                self.record_start();
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
        Some(self.probe.report_step(step, self.tracked.request))
    }

    fn record_start(&self) {
        if let Some((pool, tier)) = self.tracked.work.clone() {
            let at = self.timers.now();
            self.probe.record_start(Started {
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
        self.probe.record_dispatch(request, place, msg.pool.clone());
        self.probe.report_step(Step::Choose, request);
        if self.probe.report_step(Step::Connect, request) == Effect::Hang {
            return std::future::pending().await;
        }
        let frames = self.gated_call(to, self.inner.dispatch(to, msg)).await?;
        let effect = self.probe.report_step(Step::Dispatch, request);
        if effect == Effect::Hang {
            return std::future::pending().await;
        }
        Ok(self.observe(to, Tracked { request, work }, frames))
    }

    async fn attach(&self, to: SocketAddr, msg: Attach) -> Reply<FrameStream> {
        let frames = self.gated_call(to, self.inner.attach(to, msg)).await?;
        let tracked = Tracked {
            request: msg.request,
            work: None,
        };
        Ok(self.observe(to, tracked, frames))
    }

    async fn revoke(&self, to: SocketAddr, msg: Revoke) -> Reply<RevokeReply> {
        self.gated_call(to, self.inner.revoke(to, msg)).await
    }

    async fn cancel(&self, to: SocketAddr, msg: Cancel) -> Reply<()> {
        self.gated_call(to, self.inner.cancel(to, msg)).await
    }

    async fn close_key(&self, to: SocketAddr, msg: CloseKey) -> Reply<CloseKeyReply> {
        self.gated_call(to, self.inner.close_key(to, msg)).await
    }

    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Reply<Report> {
        let late = self.fleet.report_delay();
        let report = self.gated_call(to, self.inner.report(to, msg)).await;
        if late > Duration::ZERO {
            self.timers.after(late).await;
        }
        report
    }

    async fn tables(&self, to: SocketAddr) -> Reply<TablesSnapshot> {
        self.gated_call(to, self.inner.tables(to)).await
    }

    async fn push_tables(&self, to: SocketAddr, msg: TablesSnapshot) -> Reply<()> {
        self.gated_call(to, self.inner.push_tables(to, msg)).await
    }

    async fn order(&self, to: SocketAddr, msg: EngineOrder) -> Reply<OrderReply> {
        self.gated_call(to, self.inner.order(to, msg)).await
    }
}
