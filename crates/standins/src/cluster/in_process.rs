//! A deployment without network connections, which can run on a paused clock.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::BytesMut;
use eelgrassramp::Context;
use eelgrassramp::Incarnation;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Result;
use eelgrassramp::entry;
use eelgrassramp::lease::AlwaysCandidate;
use eelgrassramp::lease::LeaseTimings;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::num;
use eelgrassramp::rollout;
use eelgrassramp::sidecar;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::tables;
use eelgrassramp::tables::CurrentTables;
use eelgrassramp::tables::Document;
use eelgrassramp::wire::Header;
use futures_util::StreamExt;

use super::endpoint::SimulatedEndpoint;
use super::link::InProcessLink;
use super::settings::NEW_KEY_MARGIN;
use super::settings::entry_settings;
use super::settings::sidecar_settings;
use super::settings::unused_address;
use super::spec::ClusterSpec;
use super::spec::Member;
use super::spec::Scheduling;
use super::tables::tables_document;
use crate::engine::ModelEngine;
use crate::fault::Faults;
use crate::fault::FaultyLink;
use crate::load::CallRequest;
use crate::load::Reply;
use crate::load::Target;
use crate::load::Traffic;
use crate::platform::Platform;
use crate::platform::Settings as PlatformSettings;
use crate::service::ChargeService;

/// Minimum time between two orders to load a version, per pool.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);

/// A running deployment; it stops when dropped.
#[derive(Debug)]
pub struct InProcessCluster {
    /// The shared context, including the clock of the deployment.
    pub cx: Context,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The model engines.
    pub engines: Vec<Arc<ModelEngine>>,
    /// The plain services.
    pub services: Vec<Arc<ChargeService>>,
    /// The endpoints and the addresses of their sidecars.
    pub members: Vec<Member>,
    /// The link to the sidecars, without fault injection.
    pub link: Arc<InProcessLink>,
    /// The faults injected between entries and sidecars.
    pub faults: Arc<Faults>,
    /// The entries.
    pub entries: Vec<entry::Service>,
}

impl Drop for InProcessCluster {
    fn drop(&mut self) {
        self.cx.stop.cancel();
    }
}

impl InProcessCluster {
    /// Starts a deployment, writes matching tables and waits until they are in force.
    ///
    /// # Errors
    ///
    /// Returns the error of the platform or of a process that rejects its settings.
    pub async fn start(
        spec: &ClusterSpec,
        traffic: &Traffic,
        scheduling: Scheduling,
        seed: u64,
    ) -> Result<Self> {
        let cx = Context::quiet(seed);
        let faults = Faults::new(seed);
        let mut cluster = Self {
            platform: Platform::new(PlatformSettings::default(), cx.timers.clone()),
            engines: Vec::new(),
            services: Vec::new(),
            members: spec.members(),
            link: InProcessLink::new(),
            faults,
            entries: Vec::new(),
            cx,
        };
        for (i, member) in cluster.members.clone().iter().enumerate() {
            cluster.start_member(spec, member, seed + num::count(i))?;
        }
        for i in 0..spec.entries {
            cluster.start_entry(i, scheduling)?;
        }
        let document = tables_document(&cluster.members, traffic, scheduling);
        cluster.apply(&document).await?;
        cluster.wait_until_ready().await;
        cluster.cx.timers.after(NEW_KEY_MARGIN).await;
        Ok(cluster)
    }

    /// Writes tables to the platform.
    ///
    /// # Errors
    ///
    /// Returns the error of the platform.
    pub async fn apply(&self, document: &Document) -> Result<ObjectVersion> {
        let client = self.platform.client("operator");
        let current = client.get(tables::OBJECT_KEY).await?;
        let value = document.to_bytes()?;
        client.put(tables::OBJECT_KEY, current.version, value).await
    }

    /// Returns the current Unix time on the deployment's clock, in milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        let now = self.cx.timers.wall_now();
        u64::try_from(now.as_millisecond()).unwrap_or(0)
    }

    /// Waits until all entries are ready.
    pub async fn wait_until_ready(&self) {
        while !self.entries.iter().all(entry::Service::is_ready) {
            self.cx.timers.after(Duration::from_millis(50)).await;
        }
    }

    fn start_member(&mut self, spec: &ClusterSpec, member: &Member, seed: u64) -> Result<()> {
        let simulated = SimulatedEndpoint::start(spec, member, seed, self.cx.timers.clone());
        let engine = simulated.as_engine();
        match simulated {
            SimulatedEndpoint::Model(engine) => self.engines.push(engine),
            SimulatedEndpoint::Plain(service) => self.services.push(service),
        }
        let settings = sidecar_settings(spec, member, unused_address(), None)?;
        let cx = Context {
            seed: Some(seed),
            ..self.cx.clone()
        };
        let store: Arc<dyn ObjectApi> = self.platform.client(&format!("sidecar {}", member.name));
        let service = sidecar::Service::start(settings, engine, Some(store), cx);
        self.link.insert(member.sidecar, service);
        Ok(())
    }

    fn start_entry(&mut self, i: usize, scheduling: Scheduling) -> Result<()> {
        let name = format!("entry-{i}");
        let unused = unused_address();
        let settings = entry_settings(&name, unused, unused, scheduling)?;
        let cx = Context {
            seed: self
                .cx
                .seed
                .map(|seed| seed.wrapping_mul(31) + num::count(i)),
            ..self.cx.clone()
        };
        let current = Arc::new(CurrentTables::default());
        let api: Arc<dyn ObjectApi> = self.platform.client(&name);
        let follow = tables::watch_tables(cx.clone(), Arc::clone(&api), Arc::clone(&current));
        tokio::spawn(follow);
        let link: Arc<dyn SidecarLink> = FaultyLink::new(
            Arc::clone(&self.link) as Arc<dyn SidecarLink>,
            Arc::clone(&self.faults),
            cx.timers.clone(),
        );
        let entry = settings.name.clone();
        let tables = Arc::clone(&current);
        let service = entry::Service::new(settings, Arc::clone(&link), current, cx.clone());
        let moves = rollout::Dependencies {
            entry,
            me: Incarnation::random(&mut cx.rng("moves")),
            link,
            api,
            tables,
            gossip: Arc::new(service.clone()),
            contender: Arc::new(AlwaysCandidate),
            terms: LeaseTimings::default(),
            load_interval: LOAD_INTERVAL,
        };
        tokio::spawn(rollout::run(moves, cx));
        self.entries.push(service);
        Ok(())
    }
}

#[async_trait]
impl Target for InProcessCluster {
    async fn call(&self, req: CallRequest) -> Reply {
        let timers = &self.cx.timers;
        let start = timers.now();
        let entry = &self.entries[num::length(req.number) % self.entries.len()];
        let answer = entry.call(to_caller_request(req)).await;
        let mut reply = Reply {
            status: answer.head.status,
            ran: Some(answer.head.ran.as_str().to_owned()),
            request: Some(answer.head.request.to_string()),
            ..Reply::no_response()
        };
        let mut stream = answer.body;
        let mut buf = BytesMut::new();
        reply.complete = true;
        while let Some(piece) = stream.next().await {
            let Ok(piece) = piece else {
                reply.complete = false;
                break;
            };
            reply.first_byte.get_or_insert(timers.now().since(start));
            buf.extend_from_slice(&piece);
        }
        reply.body = buf.freeze();
        reply
    }
}

/// Converts a generated call into the request type of an entry.
pub(crate) fn to_caller_request(req: CallRequest) -> entry::CallerRequest {
    let headers = req.headers.into_iter();
    entry::CallerRequest {
        method: "POST".to_owned(),
        path: req.path,
        headers: headers
            .map(|(name, value)| Header {
                name: name.to_owned(),
                value: value.into_bytes(),
            })
            .collect(),
        body: req.body,
    }
}
