//! The in-process client of the object API.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Result;
use eelgrassramp::store::Object;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::store::Vm;

use super::server::Platform;

/// Calls a [`Platform`] in the same process; the calls are counted under one caller's name.
#[derive(Debug)]
pub struct Client {
    platform: Arc<Platform>,
    caller: Arc<str>,
}

impl Client {
    pub(super) const fn new(platform: Arc<Platform>, caller: Arc<str>) -> Self {
        Self { platform, caller }
    }
}

#[async_trait]
impl ObjectApi for Client {
    async fn get(&self, key: &str) -> Result<Object> {
        self.platform.get(&self.caller, key).await
    }

    async fn put(&self, key: &str, expected: ObjectVersion, value: Bytes) -> Result<ObjectVersion> {
        let expected = Some(expected);
        self.platform.put(&self.caller, key, expected, value).await
    }

    async fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Object> {
        self.platform.watch(&self.caller, key, after, wait).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        self.platform.list(&self.caller, prefix).await
    }

    async fn vms(&self) -> Result<Vec<Vm>> {
        self.platform.vms(&self.caller).await
    }
}
