//! A link to sidecars in the same process, without network connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::link::FrameStream;
use eelgrassramp::link::LinkError;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::num;
use eelgrassramp::sidecar::Service;
use eelgrassramp::wire;
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
use serde::Serialize;

/// Calls sidecars in this process by their address.
#[derive(Debug, Default)]
pub struct InProcessLink {
    sidecars: Mutex<BTreeMap<SocketAddr, Service>>,
    control_bytes: AtomicU64,
}

impl InProcessLink {
    /// Creates a link without sidecars.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Registers a sidecar at an address, replacing the previous one.
    pub fn insert(&self, at: SocketAddr, sidecar: Service) {
        self.lock().insert(at, sidecar);
    }

    /// Removes the sidecar at an address; later calls to the address are refused.
    pub fn remove(&self, at: SocketAddr) -> Option<Service> {
        self.lock().remove(&at)
    }

    /// Returns the sidecar at an address.
    #[must_use]
    pub fn sidecar(&self, at: SocketAddr) -> Option<Service> {
        self.lock().get(&at).cloned()
    }

    /// Returns the total size of the control messages so far, in bytes; messages that carry
    /// requests or responses are not counted.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    fn find_sidecar(&self, at: SocketAddr) -> Result<Service, LinkError> {
        self.sidecar(at).ok_or_else(|| {
            let detail = format!("no sidecar is registered at {at}");
            LinkError::NotSent(Error::new(Kind::ConnectFailed, detail))
        })
    }

    fn count_control_bytes(&self, message: &impl Serialize) {
        let bytes = wire::to_bytes(message).map_or(0, |body| num::count(body.len()));
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Service>> {
        let sidecars = self.sidecars.lock();
        sidecars.expect("no panic while the sidecars are locked")
    }
}

#[async_trait]
impl SidecarLink for InProcessLink {
    async fn dispatch(&self, to: SocketAddr, msg: Dispatch) -> Result<FrameStream, LinkError> {
        Ok(self.find_sidecar(to)?.dispatch(msg).await)
    }

    async fn attach(&self, to: SocketAddr, msg: Attach) -> Result<FrameStream, LinkError> {
        Ok(self.find_sidecar(to)?.attach(msg).await)
    }

    async fn revoke(&self, to: SocketAddr, msg: Revoke) -> Result<RevokeReply, LinkError> {
        Ok(self.find_sidecar(to)?.revoke(msg).await)
    }

    async fn cancel(&self, to: SocketAddr, msg: Cancel) -> Result<(), LinkError> {
        self.find_sidecar(to)?.cancel(msg).await;
        Ok(())
    }

    async fn close_key(&self, to: SocketAddr, msg: CloseKey) -> Result<CloseKeyReply, LinkError> {
        Ok(self.find_sidecar(to)?.close_key(msg).await)
    }

    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Result<Report, LinkError> {
        self.count_control_bytes(&msg);
        let report = self.find_sidecar(to)?.report(msg).await;
        self.count_control_bytes(&report);
        Ok(report)
    }

    async fn tables(&self, to: SocketAddr) -> Result<TablesSnapshot, LinkError> {
        let snapshot = self
            .find_sidecar(to)?
            .tables()
            .await
            .map_err(LinkError::Broken)?;
        self.count_control_bytes(&snapshot);
        Ok(snapshot)
    }

    async fn push_tables(&self, to: SocketAddr, msg: TablesSnapshot) -> Result<(), LinkError> {
        self.count_control_bytes(&msg);
        let pushed = self.find_sidecar(to)?.push_tables(msg).await;
        pushed.map_err(LinkError::Broken)
    }

    async fn order(&self, to: SocketAddr, msg: EngineOrder) -> Result<OrderReply, LinkError> {
        Ok(self.find_sidecar(to)?.order(msg).await)
    }
}
