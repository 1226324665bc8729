//! A small deployment with the settings of the site `krusvaerk-ramp`.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassramp_platform_standins::Program;
use eelgrassramp_platform_standins::ProgramOptions;
use eelgrassramp_platform_standins::Proxy;
use eelgrassramp_platform_standins::Replica;
use eelgrassramp_platform_standins::ReplicaOptions;
use serde_json::Value;
use serde_json::json;

use crate::client::readiness;
use crate::record::Record;
use crate::store::PeerLinks;
use crate::store::Store;

/// `run` of the role in `deploy/system.toml`, from the root of the repository.
const PROGRAM: &str = "target/release/eelgrassramp-direct-entry";

/// Settings of the site beside those that [`Program`] writes.
const SETTINGS: &str = "role=entry\nmachineClass=edge\nserves=edge\nregion=nord-dk\n\
    heartbeatMs=1200\n\
    contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout,platform\n\
    faultTolerance.machines=1\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\n\
    bounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.lossSlackMs=200\n\
    bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000\n\
    bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryBudgetSlack=56\n\
    bounds.quotaWindowS=8\nbounds.quotaOverrun=0.1\nbounds.quotaSlack=190000\n\
    bounds.exposureShare=0.1\nbounds.exposureSlack=50\nbounds.rollbackMs=5000\n\
    bounds.recoveryS=12\nbounds.passMs=120\nplatform.form=objects\nplatform.writesPerS=400\n\
    platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n";

const ZONES: [&str; 3] = ["nord-dk-a", "nord-dk-b", "nord-dk-c"];

/// An entry process with its link to the store.
pub struct Entry {
    /// The process.
    pub program: Program,
    /// Its link to the store.
    pub store_link: Proxy,
    /// Its links to the other entries.
    pub peer_links: PeerLinks,
}

impl Entry {
    /// Returns its name.
    pub fn name(&self) -> String {
        self.program.name().to_owned()
    }
}

/// Starts entries and waits until they are ready.
pub async fn start_entries(store: &Store, count: usize, record: &Record) -> Option<Vec<Entry>> {
    let mut entries = Vec::new();
    for n in 0..count {
        let peer_links = PeerLinks::default();
        let store_link = Proxy::start(store.listen(&peer_links).await).await;
        let program = Program::start(ProgramOptions {
            path: PROGRAM.into(),
            name: format!("edge-{n}"),
            zone: ZONES[n % ZONES.len()].to_owned(),
            store: store_link.addr,
            extra_settings: SETTINGS.to_owned(),
            is_log_unread: false,
        });
        let program = program.ok()?;
        record.line(format!("start: edge-{n} at {}", program.callers()));
        entries.push(Entry {
            program,
            store_link,
            peer_links,
        });
    }
    for entry in &entries {
        wait_until_ready(entry.program.readiness(), Duration::from_secs(10)).await?;
    }
    Some(entries)
}

/// Waits until an entry is ready; `None` if it is not in time.
pub async fn wait_until_ready(addr: SocketAddr, limit: Duration) -> Option<()> {
    let until = tokio::time::Instant::now() + limit;
    while readiness(addr).await != 200 {
        if tokio::time::Instant::now() > until {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Some(())
}

/// A replica with its software version.
pub struct Server {
    /// The replica.
    pub replica: Replica,
    /// Its id.
    pub id: String,
    version: &'static str,
    zone: &'static str,
}

impl Server {
    /// Starts a replica of the service and announces it as ready.
    pub async fn start(store: &Store, id: &str, version: &'static str, n: usize) -> Self {
        let zone = ZONES[n % ZONES.len()];
        let options = ReplicaOptions {
            service: "butik-app",
            zone,
            slots: 6,
            queue_length: 24,
            processing_time: Duration::from_millis(30),
            ..ReplicaOptions::default()
        };
        let server = Self {
            replica: Replica::start(id, options).await,
            id: id.to_owned(),
            version,
            zone,
        };
        server.announce(store, "ready");
        server
    }

    /// Announces the replica with a state.
    pub fn announce(&self, store: &Store, state: &str) {
        let born = self.replica.announcement(self.replica.addr)["born"].clone();
        let spec = json!({
            "service": "butik-app", "address": self.replica.addr.to_string(), "zone": self.zone,
            "version": self.version, "slots": 6, "state": state, "coldLeftMs": 0, "seq": 1,
            "born": born,
        });
        store.put("servers", &self.id, spec);
    }

    /// Stops the replica at once and removes its announcement.
    pub fn stop(&self, store: &Store) {
        self.replica.crash();
        store.delete("servers", &self.id);
    }
}

/// Returns the operator's configuration with one route that must not be run twice.
pub fn config(tenants: Value) -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "order-place", "host": "shop", "pathPrefix": "/orders/",
            "routeKind": "non_idempotent", "timeoutMs": 2500, "latencyGoalMs": 150, "priority": 2,
            "service": "butik-app", "maxAttempts": 1,
        }],
        "services": [{"name": "butik-app", "healthPath": "/healthz"}],
        "limits": {"maxHeaderBytes": 32768, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000},
        "tenants": tenants,
    })
}
