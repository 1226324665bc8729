//! A test fleet: entries with the real store client, table follower and propagation, and simulated
//! sidecars that only store tables.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use eelgrassramp::Context;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::TableVersion;
use eelgrassramp::link::FrameStream;
use eelgrassramp::link::LinkError;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::membership::MembershipTracker;
use eelgrassramp::store::StoreClient;
use eelgrassramp::store::StoreClientLimits;
use eelgrassramp::store::Vm;
use eelgrassramp::store::VmState;
use eelgrassramp::tables::Applier;
use eelgrassramp::tables::CurrentTables;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::NewEdit;
use eelgrassramp::tables::TableGossip;
use eelgrassramp::tables::Tables;
use eelgrassramp::tables::announce;
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
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio_util::sync::CancellationToken;

/// Time between two report requests of an entry; its bandwidth budget allows four per second.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
const STORE_DELAY: Duration = Duration::from_secs(1);
const LINK_LATENCY: Duration = Duration::from_millis(1);
const CHANGE_TIMEOUT: Duration = Duration::from_mins(2);
const CONTACTS: usize = 5;

#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entries: usize,
    pub sidecars: usize,
}

/// The fault of the store during a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Slow,
    DownAfterAccept,
    LostReply,
    HungWatches,
}

impl Fault {
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "healthy store",
            Self::Slow => "store slow by 1 s",
            Self::DownAfterAccept => "store down right after accepting",
            Self::LostReply => "reply lost after the write",
            Self::HungWatches => "all watches silent",
        }
    }
}

/// An in-process link to the tables of all sidecars.
#[derive(Debug)]
struct Sidecars {
    cx: Context,
    tables: BTreeMap<SocketAddr, std::sync::Mutex<Arc<CurrentTables>>>,
}

impl Sidecars {
    fn current(&self, addr: SocketAddr) -> Result<Arc<CurrentTables>, LinkError> {
        let slot = self.tables.get(&addr).ok_or_else(not_found)?;
        Ok(Arc::clone(&slot.lock().expect("no panic under the lock")))
    }

    fn restart(&self, addr: SocketAddr) {
        let slot = &self.tables[&addr];
        *slot.lock().expect("no panic under the lock") = Arc::default();
    }
}

fn not_found() -> LinkError {
    LinkError::NotSent(Error::new(Kind::ConnectFailed, "no such sidecar"))
}

#[async_trait]
impl SidecarLink for Sidecars {
    async fn tables(&self, to: SocketAddr) -> Result<TablesSnapshot, LinkError> {
        self.cx.timers.after(LINK_LATENCY).await;
        let tables = self.current(to)?.get();
        Ok(tables.to_snapshot().expect("tables are JSON"))
    }

    async fn push_tables(&self, to: SocketAddr, msg: TablesSnapshot) -> Result<(), LinkError> {
        self.cx.timers.after(LINK_LATENCY).await;
        let current = self.current(to)?;
        if msg.version > current.get().version {
            current.offer(Tables::from_snapshot(&msg).expect("entries hand over valid tables"));
        }
        Ok(())
    }

    async fn dispatch(&self, _: SocketAddr, _: Dispatch) -> Result<FrameStream, LinkError> {
        Err(not_found())
    }

    async fn attach(&self, _: SocketAddr, _: Attach) -> Result<FrameStream, LinkError> {
        Err(not_found())
    }

    async fn revoke(&self, _: SocketAddr, _: Revoke) -> Result<RevokeReply, LinkError> {
        Err(not_found())
    }

    async fn cancel(&self, _: SocketAddr, _: Cancel) -> Result<(), LinkError> {
        Err(not_found())
    }

    async fn close_key(&self, _: SocketAddr, _: CloseKey) -> Result<CloseKeyReply, LinkError> {
        Err(not_found())
    }

    async fn report(&self, _: SocketAddr, _: ReportRequest) -> Result<Report, LinkError> {
        Err(not_found())
    }

    async fn order(&self, _: SocketAddr, _: EngineOrder) -> Result<OrderReply, LinkError> {
        Err(not_found())
    }
}

struct Entry {
    stop: CancellationToken,
    current: Arc<CurrentTables>,
    spread: Arc<TableGossip>,
}

pub struct Fleet {
    pub platform: Arc<Platform>,
    cx: Context,
    size: Size,
    sidecars: Arc<Sidecars>,
    entries: Vec<Entry>,
    rng: StdRng,
    accepted: TableVersion,
    edits: u64,
}

impl Fleet {
    /// Starts a fleet and waits until its first tables are in force in all processes.
    pub async fn start(seed: u64, size: Size) -> Self {
        let cx = Context::quiet(seed);
        let platform = Platform::new(Settings::default(), cx.timers.clone());
        let tables = (0..size.sidecars).map(|i| (sidecar_address(i), std::sync::Mutex::default()));
        let sidecars = Arc::new(Sidecars {
            cx: cx.clone(),
            tables: tables.collect(),
        });
        let mut fleet = Self {
            platform,
            cx,
            size,
            sidecars,
            entries: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            accepted: TableVersion(0),
            edits: 0,
        };
        fleet.platform.set_vms(fleet.vms());
        for _ in 0..size.entries {
            let entry = fleet.entry();
            fleet.entries.push(entry);
        }
        fleet.apply().await;
        fleet.wait_in_force().await;
        fleet
    }

    /// Makes one change under `fault` and returns the times from the operator's command until the
    /// change is in force in each process.
    pub async fn change(&mut self, fault: Fault) -> Vec<Duration> {
        let at_random = Duration::from_millis(self.rng.random_range(0..30_000));
        self.wait(at_random).await;
        match fault {
            Fault::Slow => self.platform.set_faults(|f| f.delay = STORE_DELAY),
            Fault::LostReply => self.platform.set_faults(|f| f.lost_replies = 2),
            Fault::HungWatches => {
                self.platform.set_faults(|f| f.hung_watches = true);
                self.wait(Duration::from_secs(25)).await;
            }
            // The store goes down before any watch can return the write.
            Fault::DownAfterAccept => self.platform.set_faults(|f| f.hung_watches = true),
            Fault::None => {}
        }
        let commanded = self.cx.timers.now();
        let tables = self.apply().await;
        if fault == Fault::DownAfterAccept {
            self.platform.set_faults(|f| f.outage = true);
        }
        let link: Arc<dyn SidecarLink> = Arc::clone(&self.sidecars) as _;
        let announced = announce(&tables, &link, &self.cx.timers, &mut self.rng);
        announced.await.expect("tables are JSON");
        self.watch_in_force(commanded).await
    }

    pub const fn accepted(&self) -> TableVersion {
        self.accepted
    }

    /// Replaces a random process by a new one without state.
    pub async fn restart_one(&mut self) {
        let i = self
            .rng
            .random_range(0..self.size.entries + self.size.sidecars);
        if i < self.size.entries {
            self.entries[i].stop.cancel();
            self.entries[i] = self.entry();
        } else {
            self.sidecars
                .restart(sidecar_address(i - self.size.entries));
        }
        tokio::task::yield_now().await;
    }

    pub async fn wait(&self, d: Duration) {
        self.cx.timers.after(d).await;
    }

    /// Returns the table versions of all processes.
    pub fn versions(&self) -> Vec<TableVersion> {
        let entries = self.entries.iter().map(|e| e.current.get().version);
        let sidecars = self.sidecars.tables.keys();
        let sidecars = sidecars.map(|a| self.sidecars.current(*a).expect("it exists"));
        entries.chain(sidecars.map(|c| c.get().version)).collect()
    }

    /// Returns the table versions of the entries that are ready.
    pub fn ready_versions(&self) -> Vec<TableVersion> {
        let ready = self.entries.iter().filter(|e| e.spread.is_ready());
        ready.map(|e| e.current.get().version).collect()
    }

    /// Returns the number of calls counted by the platform so far.
    pub fn calls(&self) -> u64 {
        self.platform.calls().iter().map(|c| c.calls).sum()
    }

    pub fn stop(&self) {
        for entry in &self.entries {
            entry.stop.cancel();
        }
    }

    async fn apply(&mut self) -> Tables {
        self.edits += 1;
        let api = self.platform.client("ctl");
        let applier = Applier::new(api, self.cx.timers.clone());
        let edit = NewEdit {
            document: document(self.size, self.edits),
            base: None,
            id: RequestId::random(&mut self.rng),
            at: jiff::Timestamp::UNIX_EPOCH,
            message: String::new(),
        };
        let done = applier.apply(&edit).await.expect("the edit is valid");
        self.accepted = done.version;
        done.document
            .to_tables(done.version)
            .expect("the edit is valid")
    }

    async fn wait_in_force(&self) {
        self.watch_in_force(self.cx.timers.now()).await;
    }

    async fn watch_in_force(&self, since: Monotonic) -> Vec<Duration> {
        let mut times = vec![None; self.size.entries + self.size.sidecars];
        while times.iter().any(Option::is_none) {
            let elapsed = self.cx.timers.now().since(since);
            assert!(
                elapsed < CHANGE_TIMEOUT,
                "not in force everywhere: {:?}",
                self.versions()
            );
            for (time, version) in times.iter_mut().zip(self.versions()) {
                if version >= self.accepted {
                    time.get_or_insert(elapsed);
                }
            }
            self.wait(Duration::from_millis(10)).await;
        }
        times.into_iter().flatten().collect()
    }

    fn entry(&mut self) -> Entry {
        let mut cx = self.cx.clone();
        cx.stop = CancellationToken::new();
        cx.seed = Some(self.rng.random());
        let current = Arc::new(CurrentTables::default());
        let link: Arc<dyn SidecarLink> = Arc::clone(&self.sidecars) as _;
        let contacts = (0..CONTACTS)
            .map(|_| sidecar_address(self.rng.random_range(0..self.size.sidecars)))
            .collect();
        let spread = TableGossip::start(&cx, Arc::clone(&current), link, contacts);
        let api = StoreClient::new(
            &cx,
            self.platform.client("entry"),
            StoreClientLimits::default(),
        );
        let _follower = MembershipTracker::start(&cx, Arc::new(api), Arc::clone(&current));
        let reports = fetch_reports(cx.clone(), Arc::clone(&self.sidecars), Arc::clone(&spread));
        tokio::spawn(cx.stop.clone().run_until_cancelled_owned(reports));
        Entry {
            stop: cx.stop,
            current,
            spread,
        }
    }

    fn vms(&self) -> Vec<Vm> {
        let entries = (0..self.size.entries).map(|i| address(1, i));
        let sidecars = (0..self.size.sidecars).map(sidecar_address);
        let all = entries.chain(sidecars);
        all.map(|addr| Vm {
            address: addr.ip(),
            port: addr.port(),
            state: VmState::Live,
        })
        .collect()
    }
}

/// Reads the table version of one random sidecar at a time, as an entry does through reports.
async fn fetch_reports(cx: Context, sidecars: Arc<Sidecars>, spread: Arc<TableGossip>) {
    let mut rng = cx.rng("reports");
    let addresses: Vec<SocketAddr> = sidecars.tables.keys().copied().collect();
    loop {
        cx.timers.after(REPORT_PERIOD).await;
        let addr = addresses[rng.random_range(0..addresses.len())];
        if let Ok(current) = sidecars.current(addr) {
            spread.observe(addr, current.get().version);
        }
    }
}

fn sidecar_address(i: usize) -> SocketAddr {
    address(2, i)
}

fn address(net: u8, i: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(i).expect("a small number").to_be_bytes();
    SocketAddr::from(([10, net, high, low], 7000))
}

/// Returns tables with one pool of `size` sidecars in three failure domains; `edit` sets a timeout.
fn document(size: Size, edit: u64) -> Document {
    let endpoints: Vec<serde_json::Value> = (0..size.sidecars)
        .map(|i| {
            serde_json::json!({
                "name": format!("greeting-{i}"), "sidecar": sidecar_address(i),
                "domain": (["a", "b", "c"][i % 3]), "hardware": "gen3", "version": "v1",
            })
        })
        .collect();
    let tables = serde_json::json!({
        "routes": [{
            "name": "greeting", "path": "/v1/chat/completions", "tier": "interactive",
            "pool": "greeting", "timeout_ms": 1000 + edit, "max_body_bytes": 65536,
        }],
        "pools": [{
            "name": "greeting", "kind": "model", "version": "v1", "fencing": "sidecar",
            "endpoints": endpoints,
        }],
    });
    Document::from_jsonc(&tables.to_string(), "generated").expect("the tables are valid")
}
