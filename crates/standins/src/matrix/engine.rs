//! The engine as seen by one sidecar process, behind the gate of the process and with the probe.

use std::sync::Arc;

use async_trait::async_trait;
use eelgrassramp::FencingToken;
use eelgrassramp::RequestId;
use eelgrassramp::Result;
use eelgrassramp::VersionName;
use eelgrassramp::engine::Engine;
use eelgrassramp::engine::EngineEvent;
use eelgrassramp::engine::EngineLoad;
use eelgrassramp::engine::EngineStream;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::EngineAction;
use futures_util::StreamExt;

use super::fleet::Fleet;
use super::gate::Gate;
use super::probe::Effect;
use super::probe::Probe;
use super::step::Step;

/// An engine as seen by one sidecar process.
#[derive(Debug)]
pub struct ProbedEngine {
    /// The gate of the sidecar process.
    pub gate: Arc<Gate>,
    /// Faults that affect all sidecars.
    pub fleet: Arc<Fleet>,
    /// The probe that steps are reported to.
    pub probe: Arc<Probe>,
    /// The wrapped engine.
    pub inner: Arc<dyn Engine>,
}

impl ProbedEngine {
    async fn gated_call<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.gate.wait_until_running().await;
        let reply = tokio::select! {
            biased;
            () = self.gate.wait_until_dead() => std::future::pending().await,
            reply = call => reply,
        };
        self.gate.wait_until_running().await;
        reply
    }

    fn observe(&self, inner: EngineStream) -> EngineStream {
        let state = (Some(inner), Arc::clone(&self.gate));
        Box::pin(futures_util::stream::unfold(state, |(inner, gate)| async {
            let (event, inner) = next(inner?, &gate).await?;
            Some((event, (inner, gate)))
        }))
    }
}

async fn next(
    mut inner: EngineStream,
    gate: &Gate,
) -> Option<(Result<EngineEvent>, Option<EngineStream>)> {
    let event = tokio::select! {
        biased;
        () = gate.wait_until_dead() => None,
        event = inner.next() => Some(event),
    };
    let Some(event) = event else {
        drop(inner);
        return std::future::pending().await;
    };
    let event = event?;
    gate.wait_until_running().await;
    Some((event, Some(inner)))
}

#[async_trait]
impl Engine for ProbedEngine {
    async fn run(&self, request: RequestId, call: Call) -> Result<EngineStream> {
        let stream = self.gated_call(self.inner.run(request, call)).await?;
        if self.probe.report_step(Step::Start, request) == Effect::Hang {
            return std::future::pending().await;
        }
        self.gate.wait_until_running().await;
        Ok(self.observe(stream))
    }

    async fn resume(&self, request: RequestId, offset: u64) -> Result<EngineStream> {
        let stream = self.gated_call(self.inner.resume(request, offset)).await?;
        Ok(self.observe(stream))
    }

    async fn cancel(&self, request: RequestId) -> Result<()> {
        self.gated_call(self.inner.cancel(request)).await
    }

    async fn load(&self) -> Result<EngineLoad> {
        self.gated_call(self.inner.load()).await
    }

    async fn cache_events(&self, seq: u64) -> Result<CacheUpdate> {
        let update = self.gated_call(self.inner.cache_events(seq)).await?;
        if self.fleet.loses_cache_events() {
            return Ok(CacheUpdate {
                whole: false,
                added: Vec::new(),
                removed: Vec::new(),
                ..update
            });
        }
        Ok(update)
    }

    async fn order(&self, action: EngineAction, fence: FencingToken) -> Result<VersionName> {
        self.gated_call(self.inner.order(action, fence)).await
    }
}
