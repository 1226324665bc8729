//! The object API as seen by one process.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Result;
use eelgrassramp::store::Object;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::store::Vm;

use super::gate::Gate;

/// The object API behind the gate of one process.
#[derive(Debug)]
pub struct GatedStore {
    /// The gate of the process.
    pub gate: Arc<Gate>,
    /// The wrapped object API.
    pub inner: Arc<dyn ObjectApi>,
}

impl GatedStore {
    async fn gated_call<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.gate.wait_until_running().await;
        let reply = call.await;
        self.gate.wait_until_running().await;
        reply
    }
}

#[async_trait]
impl ObjectApi for GatedStore {
    async fn get(&self, key: &str) -> Result<Object> {
        self.gated_call(self.inner.get(key)).await
    }

    async fn put(&self, key: &str, expected: ObjectVersion, value: Bytes) -> Result<ObjectVersion> {
        self.gated_call(self.inner.put(key, expected, value)).await
    }

    async fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Object> {
        self.gated_call(self.inner.watch(key, after, wait)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        self.gated_call(self.inner.list(prefix)).await
    }

    async fn vms(&self) -> Result<Vec<Vm>> {
        self.gated_call(self.inner.vms()).await
    }
}
