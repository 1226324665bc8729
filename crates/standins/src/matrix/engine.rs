//! The engine of one sidecar's life, with that life's gate and the probe.

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

/// An engine as one life of a sidecar reaches it.
#[derive(Debug)]
pub struct ProbedEngine {
    /// The gate of the sidecar's life.
    pub gate: Arc<Gate>,
    /// Faults that concern all sidecars.
    pub fleet: Arc<Fleet>,
    /// Where steps are told.
    pub probe: Arc<Probe>,
    /// The engine itself.
    pub inner: Arc<dyn Engine>,
}

impl ProbedEngine {
    async fn guard<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.gate.pass().await;
        let reply = tokio::select! {
            biased;
            () = self.gate.died() => std::future::pending().await,
            reply = call => reply,
        };
        self.gate.pass().await;
        reply
    }

    fn watch(&self, inner: EngineStream) -> EngineStream {
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
        () = gate.died() => None,
        event = inner.next() => Some(event),
    };
    let Some(event) = event else {
        drop(inner);
        return std::future::pending().await;
    };
    let event = event?;
    gate.pass().await;
    Some((event, Some(inner)))
}

#[async_trait]
impl Engine for ProbedEngine {
    async fn run(&self, request: RequestId, call: Call) -> Result<EngineStream> {
        let stream = self.guard(self.inner.run(request, call)).await?;
        if self.probe.reach(Step::Start, request) == Effect::Silence {
            return std::future::pending().await;
        }
        self.gate.pass().await;
        Ok(self.watch(stream))
    }

    async fn resume(&self, request: RequestId, offset: u64) -> Result<EngineStream> {
        let stream = self.guard(self.inner.resume(request, offset)).await?;
        Ok(self.watch(stream))
    }

    async fn cancel(&self, request: RequestId) -> Result<()> {
        self.guard(self.inner.cancel(request)).await
    }

    async fn load(&self) -> Result<EngineLoad> {
        self.guard(self.inner.load()).await
    }

    async fn cache_events(&self, seq: u64) -> Result<CacheUpdate> {
        let update = self.guard(self.inner.cache_events(seq)).await?;
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
        self.guard(self.inner.order(action, fence)).await
    }
}
