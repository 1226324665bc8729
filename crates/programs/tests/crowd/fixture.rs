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
use eelgrassramp_standins::crowd::Crowd;
use eelgrassramp_standins::crowd::Framing;
use eelgrassramp_standins::crowd::Upload;
use eelgrassramp_standins::crowd::Usage;
use eelgrassramp_standins::crowd::UsageWatch;
use eelgrassramp_standins::http::Handler;
use eelgrassramp_standins::http::serve;
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings as PlatformSettings;
use eelgrassramp_standins::service::ChargeService;
use eelgrassramp_standins::service::Settings as ServiceSettings;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Memory of the VM.
const MEMORY_BYTES: u64 = 128_000_000;

/// Connections that the settings of the entry and the sidecar allow.
pub const MAX_CONNECTIONS: usize = 250;

/// Sockets that each process may have open: those to its clients, to other processes and to the platform.
const MAX_SOCKETS: usize = 300;

/// Largest body that the tables allow.
pub const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Time after which a test gives up on an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause before an ordinary caller that was refused returns.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

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
    _stop: tokio_util::sync::DropGuard,
    _turn: MutexGuard<'static, ()>,
}

/// Which process a crowd sends to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    Entry,
    Sidecar,
}

/// What remains of the process after a crowd.
#[derive(Debug)]
pub struct Outcome {
    pub is_alive: bool,
    pub peak: Usage,
    /// Whether an ordinary request was answered while the clients of the crowd stayed connected.
    pub is_ordinary_request_served: bool,
    /// Whether a request of the largest size was answered after they had gone.
    pub is_largest_request_served: bool,
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
    assert!(setup.is_served(0).await, "the system serves in calm");
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
    /// Lets a crowd send to one of the processes, and ordinary callers beside it and after it.
    pub async fn run_crowd(
        &mut self,
        target: Target,
        count: usize,
        upload: impl Fn(usize) -> Upload,
    ) -> Outcome {
        self.run(target, |addr| Crowd::send(addr, count, upload))
            .await
    }

    /// Lets a crowd, which stays connected until it is dropped, send to one of the processes.
    pub async fn run<C, F: Future<Output = C>>(
        &mut self,
        target: Target,
        send: impl FnOnce(SocketAddr) -> F,
    ) -> Outcome {
        let process = self.process(target);
        let (pid, addr) = (process.child.id().expect("the process runs"), process.addr);
        let watch = UsageWatch::start(pid, &[addr]);
        let crowd = send(addr).await;
        watch.wait_until_read().await;
        let is_ordinary_request_served = self.is_served(0).await;
        drop(crowd);
        let is_largest_request_served = self.is_served(MAX_BODY_BYTES).await;
        let ended = self.process(target).child.try_wait();
        let outcome = Outcome {
            is_alive: ended.expect("the state can be read").is_none(),
            peak: watch.peak(),
            is_ordinary_request_served,
            is_largest_request_served,
        };
        println!("{outcome:?}");
        outcome
    }

    const fn process(&mut self, target: Target) -> &mut Process {
        match target {
            Target::Entry => &mut self.entry,
            Target::Sidecar => &mut self.sidecar,
        }
    }

    /// Sends requests with bodies of this size until one is answered.
    async fn is_served(&self, body_bytes: usize) -> bool {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            let answer = tokio::time::timeout_at(until, self.send_request(body_bytes)).await;
            if answer.is_ok_and(|answer| answer.contains(" 200 ")) {
                return true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Sends one request; returns the beginning of its answer.
    async fn send_request(&self, body_bytes: usize) -> String {
        let Ok(mut stream) = TcpStream::connect(self.entry.addr).await else {
            return String::new();
        };
        let head = request_head("/status");
        let head = format!("{head}content-length: {body_bytes}\r\nconnection: close\r\n\r\n");
        let mut text = head.into_bytes();
        text.resize(text.len() + body_bytes, b'x');
        // An entry that refuses the request may close the connection before it has read the body.
        let _sent = stream.write_all(&text).await;
        let mut buf = vec![0; 4_096];
        let n = stream.read(&mut buf).await.unwrap_or(0);
        String::from_utf8_lossy(&buf[..n]).into_owned()
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

/// Checks that the process lives within the limits of its VM, and that the system serves.
pub fn verify_within_limits(outcome: &Outcome) -> googletest::Result<()> {
    verify_that!(outcome.is_alive, eq(true))?;
    verify_that!(outcome.peak.memory_bytes, lt(MEMORY_BYTES))?;
    verify_that!(outcome.peak.sockets, lt(MAX_SOCKETS))?;
    verify_that!(outcome.is_ordinary_request_served, eq(true))?;
    verify_that!(outcome.is_largest_request_served, eq(true))
}
