//! A scripted engine, and helpers that send messages to a sidecar in front of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::Attempt;
use eelgrassramp::Context;
use eelgrassramp::Error;
use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::RequestId;
use eelgrassramp::Result;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::VersionName;
use eelgrassramp::engine::Engine;
use eelgrassramp::engine::EngineEvent;
use eelgrassramp::engine::EngineLoad;
use eelgrassramp::engine::EngineStream;
use eelgrassramp::link::FrameStream;
use eelgrassramp::sidecar::Service;
use eelgrassramp::sidecar::Settings;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::EngineAction;
use eelgrassramp::wire::Failure;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::Header;
use eelgrassramp::wire::Load;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::Usage;
use eelgrassramp::wire::WorkEstimate;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::sync::Semaphore;

pub const SETTINGS: &str = r#"{
    "listen": "127.0.0.1:0", "endpoint": "greeting-1", "pool": "greeting", "version": "v1",
    "kind": "model", "engine": "127.0.0.1:1", "domain": "a", "hardware": "gen3", "slots": 2
}"#;

pub const BODY: &str = "happy birthday";

/// End of the first chunk of the body, where a scripted stream breaks.
pub const BREAK_AT: usize = 6;

/// How the fake engine reacts to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Returns a complete response.
    Completes,
    /// Refuses the connection.
    RefusesConnection,
    /// Breaks the first stream after [`BREAK_AT`] bytes and can resume it.
    BreaksOnce,
    /// Breaks the first stream after [`BREAK_AT`] bytes and cannot resume it.
    BreaksWithoutResume,
    /// Blocks each run until [`FakeEngine::release`].
    Blocks,
    /// Returns a complete response and reports two executions.
    RunsTwice,
    /// Replies to orders without executing them.
    IgnoresOrders,
}

/// A fake engine that follows a [`Script`] and counts the runs of each request.
#[derive(Debug)]
pub struct FakeEngine {
    script: Mutex<Script>,
    runs: Mutex<HashMap<RequestId, u32>>,
    cancelled: Mutex<Vec<RequestId>>,
    version: Mutex<VersionName>,
    semaphore: Semaphore,
}

impl FakeEngine {
    pub fn new(script: Script) -> Arc<Self> {
        Arc::new(Self {
            script: Mutex::new(script),
            runs: Mutex::default(),
            cancelled: Mutex::default(),
            version: Mutex::new(VersionName::from("v1")),
            semaphore: Semaphore::new(0),
        })
    }

    pub fn runs_of(&self, request: RequestId) -> u32 {
        let runs = self.runs.lock().expect("lock");
        runs.get(&request).copied().unwrap_or(0)
    }

    pub fn cancelled(&self) -> Vec<RequestId> {
        self.cancelled.lock().expect("lock").clone()
    }

    pub fn release(&self, calls: usize) {
        self.semaphore.add_permits(calls);
    }

    fn script(&self) -> Script {
        *self.script.lock().expect("lock")
    }
}

#[async_trait]
impl Engine for FakeEngine {
    async fn run(&self, request: RequestId, _call: Call) -> Result<EngineStream> {
        let script = self.script();
        if script == Script::RefusesConnection {
            return Err(Error::new(Kind::ConnectFailed, "refused by script"));
        }
        *self.runs.lock().expect("lock").entry(request).or_default() += 1;
        if script == Script::Blocks {
            self.semaphore.acquire().await.expect("open").forget();
        }
        let (end, last) = if matches!(script, Script::BreaksOnce | Script::BreaksWithoutResume) {
            let e = Error::new(Kind::StreamBroken, "broken by script");
            (BREAK_AT, Err(e))
        } else {
            (BODY.len(), Ok(EngineEvent::End(usage())))
        };
        let mut events = events(0, end);
        if script == Script::RunsTwice {
            events[0] = Ok(EngineEvent::Head {
                status: 200,
                headers: vec![Header {
                    name: "x-executions".into(),
                    value: b"2".to_vec(),
                }],
            });
        }
        events.push(last);
        Ok(Box::pin(stream::iter(events)))
    }

    async fn resume(&self, _request: RequestId, offset: u64) -> Result<EngineStream> {
        if self.script() == Script::BreaksWithoutResume {
            return Err(Error::new(Kind::OutcomeUnknown, "forgotten by script"));
        }
        let offset = usize::try_from(offset).expect("small");
        let mut events = events(offset, BODY.len());
        events.push(Ok(EngineEvent::End(usage())));
        Ok(Box::pin(stream::iter(events)))
    }

    async fn cancel(&self, request: RequestId) -> Result<()> {
        self.cancelled.lock().expect("lock").push(request);
        Ok(())
    }

    async fn load(&self) -> Result<EngineLoad> {
        Ok(EngineLoad {
            version: self.version.lock().expect("lock").clone(),
            running: 0,
            waiting: 0,
            slots: 0,
            tokens_per_second: 0.0,
        })
    }

    async fn cache_events(&self, seq: u64) -> Result<CacheUpdate> {
        Ok(CacheUpdate {
            seq,
            ..CacheUpdate::default()
        })
    }

    async fn order(&self, action: EngineAction, _fence: FencingToken) -> Result<VersionName> {
        let mut version = self.version.lock().expect("lock");
        match action {
            EngineAction::Load(requested) if self.script() != Script::IgnoresOrders => {
                *version = requested;
            }
            _ => {}
        }
        Ok(version.clone())
    }
}

fn events(from: usize, to: usize) -> Vec<Result<EngineEvent>> {
    let head = EngineEvent::Head {
        status: 200,
        headers: Vec::new(),
    };
    let data = Bytes::from_static(&BODY.as_bytes()[from..to]);
    vec![Ok(head), Ok(EngineEvent::Data(data))]
}

fn usage() -> Usage {
    Usage {
        prefill_tokens: 10,
        cached_tokens: 0,
        output_tokens: 5,
    }
}

/// A sidecar and its fake engine.
#[derive(Debug)]
pub struct Fixture {
    pub service: Service,
    pub engine: Arc<FakeEngine>,
    pub cx: Context,
}

pub fn settings() -> Settings {
    Settings::from_text(SETTINGS, "test").expect("valid settings")
}

pub fn sidecar(script: Script) -> Fixture {
    sidecar_with(None, script)
}

/// Starts a sidecar that uses `store` as the platform's object API.
pub fn sidecar_with(store: Option<Arc<dyn ObjectApi>>, script: Script) -> Fixture {
    let cx = Context::quiet(1);
    let engine = FakeEngine::new(script);
    let service = Service::start(settings(), Arc::clone(&engine) as _, store, cx.clone());
    Fixture {
        service,
        engine,
        cx,
    }
}

impl Fixture {
    pub async fn load(&self) -> Load {
        self.service.report(ReportRequest::default()).await.load
    }

    /// Returns a dispatch with the incarnation and the clock mark of this sidecar.
    pub async fn dispatch(&self, id: u128, tier: Tier) -> Dispatch {
        let load = self.load().await;
        Dispatch {
            incarnation: load.incarnation,
            mark: load.mark,
            ..message(id, tier)
        }
    }

    /// Dispatches a request and returns its frames.
    pub async fn start_request(&self, id: u128, tier: Tier) -> FrameStream {
        let msg = self.dispatch(id, tier).await;
        self.service.dispatch(msg).await
    }
}

pub fn message(id: u128, tier: Tier) -> Dispatch {
    Dispatch {
        request: request(id),
        attempt: Attempt(0),
        incarnation: eelgrassramp::Incarnation(0),
        mark: eelgrassramp::ClockMark(0),
        tables: TableVersion(0),
        route: "greeting".into(),
        pool: "greeting".into(),
        version: "v1".into(),
        tier,
        account: "counter-ica".into(),
        key: None,
        key_time_ms: None,
        former_homes_closed: None,
        deadline_ms: 8_000,
        work: WorkEstimate {
            prefill_tokens: 10,
            output_tokens: 5,
        },
        non_idempotent: false,
        prefix: Vec::new(),
        call: Call {
            method: "POST".into(),
            path: "/v1/completions".into(),
            headers: Vec::new(),
            body: Bytes::from_static(b"{}"),
        },
    }
}

pub fn request(id: u128) -> RequestId {
    RequestId::from_bits(id)
}

/// The response as received by one reader.
#[derive(Debug, Clone, PartialEq)]
pub enum Received {
    Complete(String),
    Failed(Failure),
    Truncated,
}

impl Received {
    pub fn failure(&self) -> Option<(Kind, eelgrassramp::Ran)> {
        match self {
            Self::Failed(f) => Some((f.kind, f.ran)),
            _ => None,
        }
    }
}

/// Reads a response from `offset` to its end and checks the offsets and the length.
pub async fn read_from(mut frames: FrameStream, offset: u64) -> Received {
    let mut body = Vec::new();
    let mut position = offset;
    while let Some(frame) = frames.next().await {
        match frame.expect("frame") {
            Frame::Data { offset, bytes } => {
                assert_eq!(offset, position, "the chunks are contiguous");
                position += u64::try_from(bytes.len()).expect("small");
                body.extend_from_slice(&bytes);
            }
            Frame::Final { length, .. } => {
                assert_eq!(length, position, "the body is complete");
                return Received::Complete(String::from_utf8(body).expect("text"));
            }
            Frame::Failed(failure) => return Received::Failed(failure),
            Frame::Queued(_) | Frame::Started | Frame::Head { .. } | Frame::Heartbeat => {}
        }
    }
    Received::Truncated
}

pub async fn read(frames: FrameStream) -> Received {
    read_from(frames, 0).await
}
