//! Tests of moves in two entries with fake sidecars and a fake object API.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::Context;
use eelgrassramp::Error;
use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::PoolName;
use eelgrassramp::TableVersion;
use eelgrassramp::lease::AlwaysCandidate;
use eelgrassramp::lease::LeaseTimings;
use eelgrassramp::link::FrameStream;
use eelgrassramp::link::LinkError;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::rollout;
use eelgrassramp::rollout::Dependencies;
use eelgrassramp::rollout::Gossip;
use eelgrassramp::rollout::Phase;
use eelgrassramp::rollout::Progress;
use eelgrassramp::routing::GossipState;
use eelgrassramp::store::Object;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::store::Vm;
use eelgrassramp::tables::CurrentTables;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::Attach;
use eelgrassramp::wire::Brake;
use eelgrassramp::wire::Cancel;
use eelgrassramp::wire::CloseKey;
use eelgrassramp::wire::CloseKeyReply;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::EngineOrder;
use eelgrassramp::wire::OrderReply;
use eelgrassramp::wire::Outcomes;
use eelgrassramp::wire::PoolSplit;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;
use eelgrassramp::wire::TablesSnapshot;
use googletest::prelude::*;

use crate::setup;
use crate::simulation::Disturbances;
use crate::simulation::Fault;
use crate::simulation::NEW;
use crate::simulation::POOL;
use crate::simulation::Simulation;
use crate::trial::Policy;
use crate::trial::pool;
use crate::trial::routes;

/// Fake sidecars whose new version fails all of its requests.
#[derive(Debug)]
struct Sidecars {
    by_address: Mutex<BTreeMap<SocketAddr, Sidecar>>,
}

#[derive(Debug)]
struct Sidecar {
    report: Report,
}

impl Sidecars {
    fn new(pool: &Pool) -> Self {
        let setup = setup(Fault::None, Disturbances::default(), Policy::Sequential);
        let reports =
            Simulation::new(1, setup.old, setup.new, setup.fault, setup.disturbances).reports();
        let sidecar = |report: Report| {
            let address = pool.endpoints[&report.endpoint].sidecar;
            (address, Sidecar { report })
        };
        Self {
            by_address: Mutex::new(reports.into_iter().map(sidecar).collect()),
        }
    }

    fn braked(&self) -> usize {
        let sidecars = self.by_address.lock().unwrap();
        let braked = sidecars.values().filter(|s| !s.report.brakes.is_empty());
        braked.count()
    }
}

impl Sidecar {
    fn serve(&mut self) {
        let report = &mut self.report;
        let is_new = report.version.as_str() == NEW;
        let split = report.split.as_ref();
        for outcomes in &mut report.outcomes {
            let has_share = split.is_some_and(|s| has_share(s, outcomes));
            if !is_new {
                outcomes.ok += 10;
            } else if has_share && report.brakes.is_empty() {
                outcomes.failed += 2;
            }
        }
    }
}

fn has_share(split: &PoolSplit, outcomes: &Outcomes) -> bool {
    let mut shares = split.shares.iter();
    shares.any(|s| s.route == outcomes.route && s.to_new_permille > 0)
}

fn unsupported() -> LinkError {
    LinkError::NotSent(Error::new(Kind::Internal, "call not used by moves"))
}

#[async_trait]
impl SidecarLink for Sidecars {
    async fn dispatch(&self, _: SocketAddr, _: Dispatch) -> Result<FrameStream, LinkError> {
        Err(unsupported())
    }

    async fn attach(&self, _: SocketAddr, _: Attach) -> Result<FrameStream, LinkError> {
        Err(unsupported())
    }

    async fn revoke(&self, _: SocketAddr, _: Revoke) -> Result<RevokeReply, LinkError> {
        Err(unsupported())
    }

    async fn cancel(&self, _: SocketAddr, _: Cancel) -> Result<(), LinkError> {
        Err(unsupported())
    }

    async fn close_key(&self, _: SocketAddr, _: CloseKey) -> Result<CloseKeyReply, LinkError> {
        Err(unsupported())
    }

    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Result<Report, LinkError> {
        let mut sidecars = self.by_address.lock().unwrap();
        let sidecar = sidecars.get_mut(&to).ok_or_else(unsupported)?;
        for brake in msg.brakes {
            if !sidecar.report.brakes.contains(&brake) {
                sidecar.report.brakes.push(brake);
            }
        }
        let known = sidecar.report.split.as_ref().map(|s| s.seq);
        if let Some(split) = msg.split.filter(|s| Some(s.seq) > known) {
            sidecar.report.split = Some(split);
        }
        sidecar.serve();
        Ok(sidecar.report.clone())
    }

    async fn tables(&self, _: SocketAddr) -> Result<TablesSnapshot, LinkError> {
        Err(unsupported())
    }

    async fn push_tables(&self, _: SocketAddr, _: TablesSnapshot) -> Result<(), LinkError> {
        Err(unsupported())
    }

    async fn order(&self, _: SocketAddr, _: EngineOrder) -> Result<OrderReply, LinkError> {
        Err(unsupported())
    }
}

/// An in-memory object API with simulated outages.
#[derive(Debug, Default)]
struct Store {
    objects: Mutex<BTreeMap<String, (ObjectVersion, Bytes)>>,
    is_unavailable: Mutex<bool>,
}

impl Store {
    fn start_outage(&self) {
        *self.is_unavailable.lock().unwrap() = true;
    }

    fn check(&self) -> eelgrassramp::Result<()> {
        if *self.is_unavailable.lock().unwrap() {
            return Err(Error::new(Kind::StoreUnavailable, "outage"));
        }
        Ok(())
    }

    fn progress(&self) -> Option<Progress> {
        let objects = self.objects.lock().unwrap();
        let (_, value) = objects.get(&rollout::key(&PoolName::from(POOL)))?;
        Progress::from_bytes(value).ok()
    }
}

#[async_trait]
impl ObjectApi for Store {
    async fn get(&self, key: &str) -> eelgrassramp::Result<Object> {
        self.check()?;
        let (version, value) = self
            .objects
            .lock()
            .unwrap()
            .get(key)
            .cloned()
            .unwrap_or_default();
        Ok(Object {
            key: key.to_owned(),
            version,
            value,
        })
    }

    async fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Bytes,
    ) -> eelgrassramp::Result<ObjectVersion> {
        self.check()?;
        let mut objects = self.objects.lock().unwrap();
        let (version, stored) = objects.entry(key.to_owned()).or_default();
        if *version != expected {
            return Err(Error::new(Kind::Conflict, key));
        }
        *version = version.next();
        *stored = value;
        Ok(*version)
    }

    async fn watch(
        &self,
        key: &str,
        _: ObjectVersion,
        _: Duration,
    ) -> eelgrassramp::Result<Object> {
        self.get(key).await
    }

    async fn list(&self, _: &str) -> eelgrassramp::Result<Vec<Object>> {
        Ok(Vec::new())
    }

    async fn vms(&self) -> eelgrassramp::Result<Vec<Vm>> {
        Ok(Vec::new())
    }
}

#[derive(Debug, Default)]
struct TestGossip(Mutex<GossipState>);

impl Gossip for TestGossip {
    fn brakes(&self, pool: &PoolName) -> Vec<Brake> {
        self.0.lock().unwrap().brakes_of(pool).cloned().collect()
    }

    fn split(&self, pool: &PoolName) -> Option<PoolSplit> {
        self.0.lock().unwrap().split(pool).cloned()
    }

    fn leaving(&self) -> Vec<eelgrassramp::EndpointName> {
        Vec::new()
    }

    fn add_brake(&self, brake: Brake) {
        self.0.lock().unwrap().add_brake(brake);
    }

    fn add_split(&self, split: PoolSplit) {
        self.0.lock().unwrap().add_split(split);
    }
}

fn tables() -> Tables {
    let by = Context::QUIET_START + Duration::from_hours(10);
    let setup = setup(Fault::None, Disturbances::default(), Policy::Sequential);
    let mut pool = Pool::clone(&pool(&setup, by));
    for (port, endpoint) in (7_100..).zip(pool.endpoints.values_mut()) {
        let mut own = Endpoint::clone(endpoint);
        own.sidecar.set_port(port);
        *endpoint = Arc::new(own);
    }
    Tables {
        version: TableVersion(1),
        edit: None,
        routes: routes(),
        pools: BTreeMap::from([(POOL.into(), Arc::new(pool))]),
    }
}

struct TestEntry {
    cx: Context,
    gossip: Arc<TestGossip>,
}

fn entry(i: u64, sidecars: &Arc<Sidecars>, store: &Arc<Store>, tables: &Tables) -> TestEntry {
    let cx = Context::quiet(i);
    let gossip = Arc::new(TestGossip::default());
    let parts = Dependencies {
        entry: format!("entry-{i}").as_str().into(),
        me: Incarnation(i),
        link: Arc::<Sidecars>::clone(sidecars),
        api: Arc::<Store>::clone(store),
        tables: Arc::new(CurrentTables::new(tables.clone())),
        gossip: Arc::<TestGossip>::clone(&gossip),
        contender: Arc::new(AlwaysCandidate),
        terms: LeaseTimings::default(),
        load_interval: rollout::LOAD_INTERVAL,
    };
    tokio::spawn(rollout::run(parts, cx.clone()));
    TestEntry { cx, gossip }
}

/// Returns whether any traffic goes to the new version.
fn has_traffic(entry: &TestEntry, pool: &PoolName) -> bool {
    let split = entry.gossip.split(pool);
    split.is_some_and(|s| s.shares.iter().any(|share| share.to_new_permille > 0))
}

async fn wait_until(cx: &Context, limit_s: u64, mut is_so: impl FnMut() -> bool) -> bool {
    for _ in 0..limit_s * 10 {
        if is_so() {
            return true;
        }
        cx.timers.after(Duration::from_millis(100)).await;
    }
    false
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_regressed_version_is_braked_at_every_sidecar_within_two_seconds_during_a_store_outage() {
    let tables = tables();
    let sidecars = Arc::new(Sidecars::new(&tables.pools[POOL]));
    let store = Arc::new(Store::default());
    let one = entry(1, &sidecars, &store, &tables);
    let _two = entry(2, &sidecars, &store, &tables);
    let pool = PoolName::from(POOL);
    let began = wait_until(&one.cx, 60, || has_traffic(&one, &pool)).await;

    store.start_outage();
    let seen = wait_until(&one.cx, 60, || sidecars.braked() > 0).await;
    one.cx.timers.after(Duration::from_secs(2)).await;

    expect_that!(began, eq(true));
    expect_that!(seen, eq(true));
    expect_that!(sidecars.braked(), eq(20));
    expect_that!(one.gossip.brakes(&pool), len(eq(1)));
    let phase = store.progress().map(|p| p.phase);
    expect_that!(phase, some(eq(Phase::Ramping)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn another_entry_sets_the_brake_after_the_lease_holder_stops() {
    let tables = tables();
    let sidecars = Arc::new(Sidecars::new(&tables.pools[POOL]));
    let store = Arc::new(Store::default());
    let one = entry(1, &sidecars, &store, &tables);
    let pool = PoolName::from(POOL);
    let began = wait_until(&one.cx, 60, || has_traffic(&one, &pool)).await;

    one.cx.stop.cancel();
    let two = entry(2, &sidecars, &store, &tables);
    let seen = wait_until(&two.cx, 60, || sidecars.braked() == 20).await;
    let stored = || store.progress().map(|p| p.phase);
    let stored_as_rolled_back =
        wait_until(&two.cx, 60, || stored() == Some(Phase::TakenBack)).await;

    expect_that!(began, eq(true));
    expect_that!(seen, eq(true));
    expect_that!(stored_as_rolled_back, eq(true));
}
