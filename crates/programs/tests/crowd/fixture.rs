//! An entry and a sidecar as processes, in front of a plain service and beside the platform's object API.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Timers;
use eelgrassramp::store::HttpObjectApi;
use eelgrassramp::store::HttpSettings;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::tables;
use eelgrassramp::tables::Document;
use eelgrassramp_standins::crowd::Bounds;
use eelgrassramp_standins::crowd::Crowd;
use eelgrassramp_standins::crowd::Framing;
use eelgrassramp_standins::crowd::OrdinaryCaller;
use eelgrassramp_standins::crowd::Trial;
use eelgrassramp_standins::crowd::Upload;
use eelgrassramp_standins::http::Handler;
use eelgrassramp_standins::http::serve;
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings as PlatformSettings;
use eelgrassramp_standins::service::ChargeService;
use eelgrassramp_standins::service::Settings as ServiceSettings;
use serde_json::Value;
use serde_json::json;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// What the VM allows each process.
const BOUNDS: Bounds = Bounds {
    memory_bytes: 128_000_000,
    sockets: 300,
};

/// Connections that the settings of the entry and the sidecar allow.
pub const MAX_CONNECTIONS: usize = 250;

/// Largest body that the tables allow.
pub const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Held by the test that runs: each has the machine for itself.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A process that listens on one address.
pub struct Process {
    pub addr: SocketAddr,
    child: Child,
    settings: PathBuf,
}

/// The system around one entry and one sidecar.
pub struct TestSetup {
    pub entry: Process,
    pub sidecar: Process,
    _stop: DropGuard,
    _turn: MutexGuard<'static, ()>,
}

/// Which process a crowd sends to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    Entry,
    Sidecar,
}

/// Starts the system and waits until it serves.
pub async fn start() -> TestSetup {
    let turn = ONE_AT_A_TIME.lock().await;
    let stop = CancellationToken::new();
    let timers = Timers::start();
    let platform = Platform::new(PlatformSettings::default(), timers.clone());
    let store = listen(platform, &stop).await;
    let service = ChargeService::new(ServiceSettings::default(), timers.clone());
    let endpoint = listen(service, &stop).await;
    let sidecar = start_process(env!("CARGO_BIN_EXE_eelgrassramp-sidecar"), |addr| {
        json!({
            "listen": addr, "endpoint": "plain-1", "pool": "plain", "version": "v1",
            "kind": "service", "engine": endpoint, "domain": "a", "hardware": "plain", "slots": 8,
            "store": store, "connections": MAX_CONNECTIONS,
        })
    });
    write_tables(store, sidecar.addr, timers).await;
    let entry = start_process(env!("CARGO_BIN_EXE_eelgrassramp-entry"), |addr| {
        json!({
            "name": "entry-1", "listen": addr, "domain": "a", "region": "north", "store": store,
            "limits": {"connections": MAX_CONNECTIONS},
        })
    });
    let setup = TestSetup {
        entry,
        sidecar,
        _stop: stop.drop_guard(),
        _turn: turn,
    };
    assert!(
        setup.caller().is_served(0).await,
        "the system serves in calm"
    );
    setup
}

async fn listen(handler: Arc<impl Handler>, stop: &CancellationToken) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = serve(any, handler, stop.clone()).await;
    addr.expect("a loopback port is free")
}

async fn write_tables(store: SocketAddr, sidecar: SocketAddr, timers: Timers) {
    let text = json!({
        "routes": [{
            "name": "status", "path": "/status", "tier": "standard", "pool": "plain",
            "timeout_ms": 5_000, "max_body_bytes": MAX_BODY_BYTES,
        }],
        "pools": [{
            "name": "plain", "kind": "service", "version": "v1", "fencing": "sidecar",
            "endpoints": [{
                "name": "plain-1", "sidecar": sidecar, "domain": "a", "hardware": "plain",
                "version": "v1",
            }],
        }],
    });
    let document: Document = serde_json::from_value(text).expect("the tables are valid");
    let value = document.to_bytes().expect("the tables can be encoded");
    let api = HttpObjectApi::new(HttpSettings::new(store, "operator"), timers);
    let current = api
        .get(tables::OBJECT_KEY)
        .await
        .expect("the store answers");
    let written = api.put(tables::OBJECT_KEY, current.version, value).await;
    written.expect("the store accepts the tables");
}

/// Starts a program on a free address with the settings that are made for it.
fn start_process(program: &str, settings: impl FnOnce(SocketAddr) -> Value) -> Process {
    let addr = free_address();
    let path = std::env::temp_dir().join(format!("eelgrassramp-{}.json", addr.port()));
    fs::write(&path, settings(addr).to_string()).expect("the settings can be written");
    let child = Command::new(Path::new(program))
        .arg("--settings")
        .arg(&path)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn();
    Process {
        addr,
        child: child.expect("the program starts"),
        settings: path,
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    listener.local_addr().expect("the listener has an address")
}

impl Drop for Process {
    fn drop(&mut self) {
        // A file that remains is in the directory for temporary files.
        let _removed = fs::remove_file(&self.settings);
    }
}

impl TestSetup {
    /// Lets a crowd send to one of the processes; returns what is wrong with it then.
    pub async fn run_crowd(
        &mut self,
        target: Target,
        count: usize,
        upload: impl Fn(usize) -> Upload,
    ) -> Vec<String> {
        self.run(target, |addr| Crowd::send(addr, count, upload))
            .await
    }

    /// Lets a crowd, which stays connected until it is dropped, send to one of the processes; returns what is
    /// wrong with it then.
    pub async fn run<C, F: Future<Output = C>>(
        &mut self,
        target: Target,
        send: impl FnOnce(SocketAddr) -> F,
    ) -> Vec<String> {
        let caller = self.caller();
        let process = match target {
            Target::Entry => &mut self.entry,
            Target::Sidecar => &mut self.sidecar,
        };
        let trial = Trial {
            pid: process.child.id().expect("the process runs"),
            listeners: vec![process.addr],
            caller,
            max_body_bytes: MAX_BODY_BYTES,
        };
        let outcome = trial.run(send(process.addr)).await;
        let mut violations = outcome.violations(BOUNDS);
        let ended = process.child.try_wait().expect("the state can be read");
        violations.extend(ended.map(|status| format!("the process has ended: {status}")));
        violations
    }

    fn caller(&self) -> OrdinaryCaller {
        OrdinaryCaller {
            entry: self.entry.addr,
            head: request_head("/status"),
        }
    }
}

fn request_head(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: shop\r\n")
}

/// A request of which everything is sent in one go but its end.
pub fn upload(path: &str, framing: Framing, sent_bytes: usize) -> Upload {
    Upload {
        head: request_head(path),
        framing,
        sent_bytes,
        piece_bytes: sent_bytes,
        pause: Duration::ZERO,
    }
}
