//! A deployment whose processes communicate over real loopback connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Context;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Result;
use eelgrassramp::engine::HttpEngine;
use eelgrassramp::entry;
use eelgrassramp::num;
use eelgrassramp::sidecar;
use eelgrassramp::store::HttpObjectApi;
use eelgrassramp::store::HttpSettings;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::tables;
use eelgrassramp::tables::Document;
use slog::error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::endpoint::SimulatedEndpoint;
use super::settings::NEW_KEY_MARGIN;
use super::settings::entry_settings;
use super::settings::sidecar_settings;
use super::spec::ClusterSpec;
use super::spec::Member;
use super::spec::Scheduling;
use crate::engine::ModelEngine;
use crate::http::Handler;
use crate::http::serve;
use crate::load::get;
use crate::platform::Platform;
use crate::platform::Settings as PlatformSettings;
use crate::service::ChargeService;

const READY_POLL: Duration = Duration::from_millis(50);

/// A running deployment.
#[derive(Debug)]
pub struct LoopbackCluster {
    /// The shared context.
    pub cx: Context,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The address of the platform.
    pub store: SocketAddr,
    /// The model engines.
    pub engines: Vec<Arc<ModelEngine>>,
    /// The plain services.
    pub services: Vec<Arc<ChargeService>>,
    /// The endpoints and the addresses of their sidecars.
    pub members: Vec<Member>,
    /// The addresses of the endpoints, in the order of `members`.
    pub endpoints: Vec<SocketAddr>,
    /// The addresses of the entries.
    pub entries: Vec<SocketAddr>,
    tasks: JoinSet<Result<()>>,
    platform_stop: CancellationToken,
}

impl LoopbackCluster {
    /// Starts all processes, without tables.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] when a process cannot listen or rejects its settings.
    pub async fn start(spec: &ClusterSpec, seed: u64, cx: Context) -> Result<Self> {
        let platform_stop = CancellationToken::new();
        let platform = Platform::new(PlatformSettings::default(), cx.timers.clone());
        let store = listen(Arc::clone(&platform) as Arc<dyn Handler>, &platform_stop).await?;
        let mut cluster = Self {
            cx,
            platform,
            store,
            engines: Vec::new(),
            services: Vec::new(),
            members: Vec::new(),
            endpoints: Vec::new(),
            entries: Vec::new(),
            tasks: JoinSet::new(),
            platform_stop,
        };
        for (i, member) in spec.members().into_iter().enumerate() {
            let seed = seed + num::count(i);
            cluster.start_member(spec, member, seed).await?;
        }
        for i in 0..spec.entries {
            cluster.start_entry(i).await?;
        }
        Ok(cluster)
    }

    /// Writes tables to the platform.
    ///
    /// # Errors
    ///
    /// Returns the error of the platform.
    pub async fn apply(&self, document: &Document) -> Result<ObjectVersion> {
        let settings = HttpSettings::new(self.store, "operator");
        let api = HttpObjectApi::new(settings, self.cx.timers.clone());
        let current = api.get(tables::OBJECT_KEY).await?;
        let value = document.to_bytes()?;
        api.put(tables::OBJECT_KEY, current.version, value).await
    }

    /// Waits until each of these entries reports ready, for at most `limit` per entry.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::PoolUnavailable`] when an entry is not ready in time.
    pub async fn wait_until_ready(&self, entries: &[SocketAddr], limit: Duration) -> Result<()> {
        for entry in entries {
            let ready = async {
                while !matches!(get(*entry, "/readyz").await, Some((200, _))) {
                    self.cx.timers.after(READY_POLL).await;
                }
            };
            let waited = self.cx.timers.limit(limit, ready).await;
            waited.ok_or_else(|| {
                let detail = format!("entry at {entry} is not ready after {limit:?}");
                Error::new(Kind::PoolUnavailable, detail)
            })?;
        }
        self.cx.timers.after(NEW_KEY_MARGIN).await;
        Ok(())
    }

    /// Stops all entries and sidecars, waits until they have stopped, then stops the platform and
    /// the endpoints.
    ///
    /// # Errors
    ///
    /// Returns the first error with which a process ended.
    pub async fn stop(mut self) -> Result<()> {
        self.cx.stop.cancel();
        let mut ended = Ok(());
        while let Some(part) = self.tasks.join_next().await {
            let part = part.map_err(|e| Error::with_source(Kind::Internal, "join part", e));
            ended = ended.and(part.flatten());
        }
        self.platform_stop.cancel();
        ended
    }

    async fn start_member(
        &mut self,
        spec: &ClusterSpec,
        mut member: Member,
        seed: u64,
    ) -> Result<()> {
        let handler = self.start_endpoint(spec, &member, seed);
        let endpoint = listen(handler, &self.platform_stop).await?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.map_err(not_bound)?;
        member.sidecar = listener.local_addr().map_err(not_bound)?;
        let settings = sidecar_settings(spec, &member, endpoint, Some(self.store))?;
        let timers = self.cx.timers.clone();
        let engine = Arc::new(HttpEngine::new(endpoint, timers.clone()));
        let caller = format!("sidecar {}", member.name);
        let store = HttpObjectApi::new(HttpSettings::new(self.store, caller), timers);
        let store: Arc<dyn ObjectApi> = Arc::new(store);
        let cx = self.cx.clone();
        self.tasks.spawn(sidecar::serve_with(
            settings,
            engine,
            Some(store),
            listener,
            cx,
        ));
        self.members.push(member);
        self.endpoints.push(endpoint);
        Ok(())
    }

    fn start_endpoint(
        &mut self,
        spec: &ClusterSpec,
        member: &Member,
        seed: u64,
    ) -> Arc<dyn Handler> {
        let simulated = SimulatedEndpoint::start(spec, member, seed, self.cx.timers.clone());
        let handler = simulated.as_handler();
        match simulated {
            SimulatedEndpoint::Model(engine) => self.engines.push(engine),
            SimulatedEndpoint::Plain(service) => self.services.push(service),
        }
        handler
    }

    async fn start_entry(&mut self, i: usize) -> Result<()> {
        let name = format!("entry-{i}");
        let address = free_address().await?;
        let settings = entry_settings(&name, address, self.store, Scheduling::Ours)?;
        let cx = self.cx.clone();
        self.tasks.spawn(async move {
            let log = cx.log.clone();
            let ended = entry::serve(settings, cx).await;
            if let Err(e) = &ended {
                error!(log, "entry ended"; "error" => %e);
            }
            ended
        });
        self.entries.push(address);
        Ok(())
    }
}

async fn listen(handler: Arc<dyn Handler>, stop: &CancellationToken) -> Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    serve(any, handler, stop.clone()).await
}

/// Returns a free loopback address.
async fn free_address() -> Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.map_err(not_bound)?;
    listener.local_addr().map_err(not_bound)
}

fn not_bound(e: std::io::Error) -> Error {
    Error::with_source(Kind::InvalidSettings, "listen on loopback", e)
}
