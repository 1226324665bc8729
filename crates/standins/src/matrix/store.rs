//! The object API as one process reaches it.

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
    /// The process's gate.
    pub gate: Arc<Gate>,
    /// The object API itself.
    pub inner: Arc<dyn ObjectApi>,
}

impl GatedStore {
    async fn guard<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.gate.pass().await;
        let reply = call.await;
        self.gate.pass().await;
        reply
    }
}

#[async_trait]
impl ObjectApi for GatedStore {
    async fn get(&self, key: &str) -> Result<Object> {
        self.guard(self.inner.get(key)).await
    }

    async fn put(&self, key: &str, expected: ObjectVersion, value: Bytes) -> Result<ObjectVersion> {
        self.guard(self.inner.put(key, expected, value)).await
    }

    async fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Object> {
        self.guard(self.inner.watch(key, after, wait)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        self.guard(self.inner.list(prefix)).await
    }

    async fn vms(&self) -> Result<Vec<Vm>> {
        self.guard(self.inner.vms()).await
    }
}
