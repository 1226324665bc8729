//! A small deployment whose processes can be frozen, killed and replaced individually.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_trait::async_trait;
use bytes::BytesMut;
use eelgrassramp::Context;
use eelgrassramp::Monotonic;
use eelgrassramp::ObjectVersion;
use eelgrassramp::PoolName;
use eelgrassramp::RequestId;
use eelgrassramp::Result;
use eelgrassramp::TableVersion;
use eelgrassramp::entry;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::num;
use eelgrassramp::sidecar;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::tables;
use eelgrassramp::tables::CurrentTables;
use eelgrassramp::tables::Document;
use futures_util::StreamExt;
use tokio_util::sync::CancellationToken;

use super::engine::ProbedEngine;
use super::fleet::Fleet;
use super::fleet::SidecarState;
use super::gate::Gate;
use super::link::ProbedLink;
use super::probe::Place;
use super::probe::Probe;
use super::step::Step;
use super::store::GatedStore;
use crate::cluster::ClusterSpec;
use crate::cluster::InProcessLink;
use crate::cluster::Member;
use crate::cluster::Scheduling;
use crate::cluster::SimulatedEndpoint;
use crate::cluster::entry_settings;
use crate::cluster::sidecar_settings;
use crate::cluster::tables_document;
use crate::cluster::to_caller_request;
use crate::cluster::unused_address;
use crate::fault::Faults;
use crate::fault::FaultyLink;
use crate::load::CallRequest;
use crate::load::Reply;
use crate::load::Target;
use crate::load::Traffic;
use crate::platform::Platform;
use crate::platform::Settings as PlatformSettings;

/// Time after which a caller retries an order that has an idempotency key.
const CALLER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// One process of an entry.
#[derive(Debug, Clone)]
pub struct EntryInstance {
    /// The index of the entry.
    pub index: usize,
    /// Time of its start.
    pub since: Monotonic,
    /// Its gate.
    pub gate: Arc<Gate>,
    /// Cancelled to stop it.
    pub stop: CancellationToken,
    /// The entry.
    pub service: entry::Service,
    /// The tables in force.
    pub tables: Arc<CurrentTables>,
}

/// One process of a sidecar.
#[derive(Debug, Clone)]
pub struct SidecarInstance {
    /// Time of its start.
    pub since: Monotonic,
    /// Its gate.
    pub gate: Arc<Gate>,
    /// Cancelled to stop it.
    pub stop: CancellationToken,
    /// The sidecar.
    pub service: sidecar::Service,
    /// The engine behind it.
    pub engine: SimulatedEndpoint,
}

/// The tables in force in one process.
#[derive(Debug, Clone)]
pub struct ProcessTables {
    /// The name of the process.
    pub process: String,
    /// Time of its start.
    pub since: Monotonic,
    /// Its gate.
    pub gate: Arc<Gate>,
    /// The version of the tables.
    pub version: TableVersion,
}

/// The record of one call, for the checks.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Whether the request may have run, as reported to the caller.
    pub ran: Option<String>,
    /// The request id as reported to the caller.
    pub request: Option<RequestId>,
    /// Whether the entry died during the call or had ever been frozen.
    pub entry_lost: bool,
    /// The caller's timeout.
    pub timeout: Duration,
    /// Duration of the call.
    pub took: Duration,
}

#[derive(Debug, Default)]
struct State {
    entries: Vec<EntryInstance>,
    sidecars: BTreeMap<SocketAddr, SidecarInstance>,
    simulated_endpoints: Vec<SimulatedEndpoint>,
    calls: Vec<CallRecord>,
    started_instances: u64,
}

/// The test deployment.
#[derive(Debug)]
pub struct Testbed {
    /// The shared context, including the clock of the deployment.
    pub cx: Context,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The states of the sidecars as seen by the entries.
    pub fleet: Arc<Fleet>,
    /// Detects when steps are reached.
    pub probe: Arc<Probe>,
    /// Faults injected into single messages.
    pub faults: Arc<Faults>,
    /// The endpoints.
    pub members: Vec<Member>,
    /// The initial tables.
    pub document: Document,
    spec: ClusterSpec,
    sidecar_link: Arc<InProcessLink>,
    state: Mutex<State>,
}

impl Testbed {
    /// Starts the deployment and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns the error of the platform or of a process that rejects its settings.
    pub async fn start(spec: ClusterSpec, traffic: &Traffic, seed: u64) -> Result<Arc<Self>> {
        let cx = Context::quiet(seed);
        let members = spec.members();
        let document = tables_document(&members, traffic, Scheduling::Ours);
        let testbed = Arc::new(Self {
            platform: Platform::new(PlatformSettings::default(), cx.timers.clone()),
            fleet: Fleet::new(),
            probe: Probe::new(),
            faults: Faults::new(seed),
            sidecar_link: InProcessLink::new(),
            state: Mutex::default(),
            members,
            document,
            spec,
            cx,
        });
        for member in &testbed.members {
            testbed.start_sidecar(member, None)?;
        }
        for i in 0..testbed.spec.entries {
            testbed.start_entry(i)?;
        }
        let client = testbed.platform.client("operator");
        let value = testbed.document.to_bytes()?;
        client
            .put(tables::OBJECT_KEY, ObjectVersion(0), value)
            .await?;
        testbed.wait_until_ready().await;
        Ok(testbed)
    }

    /// Waits until all entries are ready.
    pub async fn wait_until_ready(&self) {
        while !self.entries().iter().all(|e| e.service.is_ready()) {
            self.cx.timers.after(Duration::from_millis(50)).await;
        }
    }

    /// Returns the current processes of the entries.
    #[must_use]
    pub fn entries(&self) -> Vec<EntryInstance> {
        self.lock().entries.clone()
    }

    /// Returns the current process of a sidecar.
    #[must_use]
    pub fn sidecar(&self, at: SocketAddr) -> Option<SidecarInstance> {
        self.lock().sidecars.get(&at).cloned()
    }

    /// Returns all engines and plain services started so far.
    #[must_use]
    pub fn simulated_endpoints(&self) -> Vec<SimulatedEndpoint> {
        self.lock().simulated_endpoints.clone()
    }

    /// Returns the records of all calls.
    #[must_use]
    pub fn calls(&self) -> Vec<CallRecord> {
        self.lock().calls.clone()
    }

    /// Returns the endpoints of a pool.
    #[must_use]
    pub fn pool(&self, pool: &PoolName) -> Vec<Member> {
        let members = self.members.iter().filter(|m| m.pool == *pool);
        members.cloned().collect()
    }

    /// Returns the tables in force in every process that is not dead.
    #[must_use]
    pub fn process_tables(&self) -> Vec<ProcessTables> {
        let state = self.lock();
        let entries = state.entries.iter().map(|e| ProcessTables {
            process: format!("entry {}", e.index),
            since: e.since,
            gate: Arc::clone(&e.gate),
            version: e.tables.get().version,
        });
        let sidecars = state.sidecars.iter().map(|(at, s)| ProcessTables {
            process: format!("sidecar {at}"),
            since: s.since,
            gate: Arc::clone(&s.gate),
            version: s.service.current_tables().get().version,
        });
        entries
            .chain(sidecars)
            .filter(|p| !p.gate.is_dead())
            .collect()
    }

    /// Kills an entry and starts a new one after `restart_after`.
    pub fn kill_entry(self: &Arc<Self>, i: usize, restart_after: Duration) {
        self.lock().entries[i].gate.kill();
        let testbed = Arc::clone(self);
        tokio::spawn(async move {
            testbed.cx.timers.after(restart_after).await;
            testbed
                .start_entry(i)
                .expect("the settings were accepted before");
        });
    }

    /// Kills a sidecar and starts a new one for the same engine after `restart_after`.
    pub fn kill_sidecar(self: &Arc<Self>, at: SocketAddr, restart_after: Duration) {
        self.fleet.set(at, SidecarState::ProcessStopped);
        let simulated = self.sidecar(at).map(|instance| instance.engine);
        self.restart_sidecar(at, simulated, restart_after);
    }

    /// Removes a VM and starts a replacement with a new engine after `after`.
    pub fn replace_vm(self: &Arc<Self>, at: SocketAddr, after: Duration) {
        self.fleet.set(at, SidecarState::VmGone);
        self.restart_sidecar(at, None, after);
    }

    /// Freezes an entry for `time`.
    pub fn freeze_entry(self: &Arc<Self>, i: usize, time: Duration) {
        let gate = Arc::clone(&self.lock().entries[i].gate);
        gate.freeze(self.cx.timers.now());
        let timers = self.cx.timers.clone();
        tokio::spawn(async move {
            timers.after(time).await;
            gate.thaw();
        });
    }

    /// Starts a sidecar process; without `simulated`, it also starts a new endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are rejected.
    pub fn start_sidecar(
        &self,
        member: &Member,
        simulated: Option<SimulatedEndpoint>,
    ) -> Result<()> {
        let seed = self.next_seed();
        let simulated = simulated.unwrap_or_else(|| self.start_endpoint(member, seed));
        let gate = Gate::new();
        let stop = self.cx.stop.child_token();
        let cx = Context {
            seed: Some(seed),
            stop: stop.clone(),
            ..self.cx.clone()
        };
        let engine = Arc::new(ProbedEngine {
            gate: Arc::clone(&gate),
            fleet: Arc::clone(&self.fleet),
            probe: Arc::clone(&self.probe),
            inner: simulated.as_engine(),
        });
        let store = Arc::new(GatedStore {
            gate: Arc::clone(&gate),
            inner: self.platform.client(&format!("sidecar {}", member.name)),
        });
        let settings = sidecar_settings(&self.spec, member, unused_address(), None)?;
        let service = sidecar::Service::start(settings, engine, Some(store), cx);
        self.sidecar_link.insert(member.sidecar, service.clone());
        self.fleet
            .set(member.sidecar, SidecarState::Running(Arc::clone(&gate)));
        let instance = SidecarInstance {
            since: self.cx.timers.now(),
            gate,
            stop,
            service,
            engine: simulated,
        };
        self.lock().sidecars.insert(member.sidecar, instance);
        Ok(())
    }

    /// Starts an entry process.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are rejected.
    pub fn start_entry(&self, i: usize) -> Result<()> {
        let seed = self.next_seed();
        let gate = Gate::new();
        let stop = self.cx.stop.child_token();
        let cx = Context {
            seed: Some(seed),
            stop: stop.clone(),
            ..self.cx.clone()
        };
        let name = format!("entry-{i}");
        let unused = unused_address();
        let mut settings = entry_settings(&name, unused, unused, Scheduling::Ours)?;
        settings.peers = self.members.iter().map(|m| m.sidecar).collect();
        let tables = Arc::new(CurrentTables::default());
        let api = Arc::new(GatedStore {
            gate: Arc::clone(&gate),
            inner: self.platform.client(&name),
        });
        let link = self.entry_link(i, &gate);
        let service = entry::Service::new(settings, link, Arc::clone(&tables), cx.clone());
        tokio::spawn(tables::watch_tables(cx, api, Arc::clone(&tables)));
        let instance = EntryInstance {
            index: i,
            since: self.cx.timers.now(),
            gate,
            stop,
            service,
            tables,
        };
        let mut state = self.lock();
        if i < state.entries.len() {
            state.entries[i] = instance;
        } else {
            state.entries.push(instance);
        }
        Ok(())
    }

    fn entry_link(&self, entry: usize, gate: &Arc<Gate>) -> Arc<dyn SidecarLink> {
        let sidecar_link = Arc::clone(&self.sidecar_link) as Arc<dyn SidecarLink>;
        Arc::new(ProbedLink {
            entry,
            gate: Arc::clone(gate),
            fleet: Arc::clone(&self.fleet),
            probe: Arc::clone(&self.probe),
            inner: FaultyLink::new(
                sidecar_link,
                Arc::clone(&self.faults),
                self.cx.timers.clone(),
            ),
            timers: self.cx.timers.clone(),
        })
    }

    fn start_endpoint(&self, member: &Member, seed: u64) -> SimulatedEndpoint {
        let simulated = SimulatedEndpoint::start(&self.spec, member, seed, self.cx.timers.clone());
        self.lock().simulated_endpoints.push(simulated.clone());
        simulated
    }

    fn restart_sidecar(
        self: &Arc<Self>,
        at: SocketAddr,
        simulated: Option<SimulatedEndpoint>,
        after: Duration,
    ) {
        let testbed = Arc::clone(self);
        tokio::spawn(async move {
            testbed.cx.timers.after(after).await;
            let member = testbed.members.iter().find(|m| m.sidecar == at);
            let member = member.expect("only members are restarted").clone();
            let started = testbed.start_sidecar(&member, simulated);
            started.expect("the settings were accepted before");
        });
    }

    /// Makes one call through the entry that a load balancer would choose.
    async fn call_once(&self, req: CallRequest, turn: u64) -> Reply {
        let start = self.cx.timers.now();
        let instance = self.choose_entry(turn);
        let timeout = timeout_of(&req);
        let pool = self.pool_of(&req.path);
        let sidecar = self.pool(&pool)[0].sidecar;
        let accepted = Place {
            entry: instance.index,
            sidecar,
        };
        self.probe.record_accepted();
        self.probe.report_step_at(Step::Accept, accepted, &pool);
        let reply = tokio::select! {
            biased;
            () = instance.gate.wait_until_dead() => None,
            reply = self.read_response(&instance, req) => Some(reply),
        };
        let entry_lost = reply.is_none() || instance.gate.was_frozen();
        let reply = reply.unwrap_or_else(Reply::no_response);
        let record = CallRecord {
            ran: reply.ran.clone(),
            request: reply.request.as_deref().and_then(|text| text.parse().ok()),
            entry_lost,
            timeout,
            took: self.cx.timers.now().since(start),
        };
        self.lock().calls.push(record);
        reply
    }

    async fn read_response(&self, instance: &EntryInstance, req: CallRequest) -> Reply {
        instance.gate.wait_until_running().await;
        let mut answer = instance.service.call(to_caller_request(req)).await;
        self.probe.report_step(Step::Answer, answer.head.request);
        let mut reply = Reply {
            status: answer.head.status,
            ran: Some(answer.head.ran.as_str().to_owned()),
            request: Some(answer.head.request.to_string()),
            complete: true,
            ..Reply::no_response()
        };
        let mut buf = BytesMut::new();
        while let Some(piece) = answer.body.next().await {
            instance.gate.wait_until_running().await;
            let Ok(piece) = piece else {
                reply.complete = false;
                break;
            };
            buf.extend_from_slice(&piece);
        }
        instance.gate.wait_until_running().await;
        reply.body = buf.freeze();
        reply
    }

    fn pool_of(&self, path: &str) -> PoolName {
        let routes = &self.document.routes;
        let route = routes.iter().find(|r| r.path == path);
        route.map_or_else(|| self.spec.pool.clone(), |r| r.pool.clone())
    }

    fn choose_entry(&self, turn: u64) -> EntryInstance {
        let entries = self.entries();
        let start = num::length(turn);
        let mut turns = (0..entries.len()).map(|i| &entries[(start + i) % entries.len()]);
        let now = self.cx.timers.now();
        let ready = turns.find(|e| e.gate.passes_health_check(now) && e.service.is_ready());
        ready.unwrap_or(&entries[start % entries.len()]).clone()
    }

    fn next_seed(&self) -> u64 {
        let mut state = self.lock();
        state.started_instances += 1;
        let seed = self.cx.seed.unwrap_or_default();
        seed.wrapping_mul(31).wrapping_add(state.started_instances)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no panic while the scene is locked")
    }
}

#[async_trait]
impl Target for Testbed {
    async fn call(&self, req: CallRequest) -> Reply {
        let turn = req.number;
        let is_keyed = req
            .headers
            .iter()
            .any(|(name, _)| *name == "idempotency-key");
        let reply = self.call_once(req.clone(), turn).await;
        if !is_keyed || (reply.complete && reply.status == 200) {
            return reply;
        }
        self.cx.timers.after(CALLER_RETRY_DELAY).await;
        self.call_once(req, turn + 1).await
    }
}

fn timeout_of(req: &CallRequest) -> Duration {
    let header = req
        .headers
        .iter()
        .find(|(name, _)| *name == "eelgrassramp-deadline-ms");
    let ms = header.and_then(|(_, value)| value.parse().ok());
    Duration::from_millis(ms.expect("every call of a load carries its deadline"))
}
