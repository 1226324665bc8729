//! An entry over scripted sidecars.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::ClockMark;
use eelgrassramp::Context;
use eelgrassramp::EndpointName;
use eelgrassramp::Error;
use eelgrassramp::FencingToken;
use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::Timers;
use eelgrassramp::entry::CallerRequest;
use eelgrassramp::entry::CallerResponse;
use eelgrassramp::entry::Service;
use eelgrassramp::entry::Settings;
use eelgrassramp::link::FrameStream;
use eelgrassramp::link::LinkError;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::tables::Current;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::FencingCheck;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::PoolKind;
use eelgrassramp::tables::Route;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::Attach;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Cancel;
use eelgrassramp::wire::ClaimKey;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::EngineOrder;
use eelgrassramp::wire::Failure;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::Header;
use eelgrassramp::wire::KeyReply;
use eelgrassramp::wire::Load;
use eelgrassramp::wire::OrderReply;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;
use eelgrassramp::wire::SplitSeq;
use eelgrassramp::wire::TablesSnapshot;
use eelgrassramp::wire::Usage;
use futures_util::StreamExt;

pub const BODY: &[u8] = b"{\"text\":\"Happy birthday, Oma\"}";
pub const INCARNATION: Incarnation = Incarnation(11);
const LONG: Duration = Duration::from_hours(1);

/// One thing that a scripted stream does.
#[derive(Debug, Clone)]
pub enum Act {
    Frame(Frame),
    Wait(Duration),
    Break,
    Silence,
}

/// How a scripted sidecar takes a call that is answered with frames.
#[derive(Debug, Clone)]
pub enum Script {
    NotSent,
    Broken,
    Silence,
    Stream(Vec<Act>),
}

/// How a scripted sidecar takes a call that is answered with one message.
#[derive(Debug, Clone, Copy)]
pub enum Reply<T> {
    Gives(T),
    Broken,
    Silence,
}

/// What sidecars are told to do, and what they were asked.
#[derive(Debug, Default)]
pub struct State {
    pub dispatch: VecDeque<Script>,
    pub attach: VecDeque<Script>,
    pub revoke: VecDeque<Reply<RevokeReply>>,
    pub claim: VecDeque<Reply<KeyReply>>,
    pub load: BTreeMap<SocketAddr, Load>,
    pub down: Vec<SocketAddr>,
    pub dispatched: Vec<(SocketAddr, Dispatch)>,
    pub attached: Vec<Attach>,
    pub revoked: Vec<Revoke>,
    pub cancelled: Vec<Cancel>,
    pub claimed: Vec<SocketAddr>,
    pub reported: Vec<ReportRequest>,
}

#[derive(Debug)]
pub struct ScriptedLink {
    timers: Timers,
    state: Mutex<State>,
}

impl ScriptedLink {
    pub fn new(timers: Timers) -> Arc<Self> {
        Arc::new(Self {
            timers,
            state: Mutex::default(),
        })
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    async fn play(&self, script: Script) -> Result<FrameStream, LinkError> {
        match script {
            Script::NotSent => Err(LinkError::NotSent(failure(Kind::ConnectFailed))),
            Script::Broken => Err(LinkError::Broken(failure(Kind::StreamBroken))),
            Script::Silence => {
                self.timers.after(LONG).await;
                Err(LinkError::Broken(failure(Kind::StreamBroken)))
            }
            Script::Stream(acts) => Ok(self.stream(acts)),
        }
    }

    fn stream(&self, acts: Vec<Act>) -> FrameStream {
        let timers = self.timers.clone();
        let frames = futures_util::stream::iter(acts).filter_map(move |act| {
            let timers = timers.clone();
            async move {
                match act {
                    Act::Frame(frame) => Some(Ok(frame)),
                    Act::Wait(d) => {
                        timers.after(d).await;
                        None
                    }
                    Act::Break => Some(Err(failure(Kind::StreamBroken))),
                    Act::Silence => {
                        timers.after(LONG).await;
                        None
                    }
                }
            }
        });
        Box::pin(frames)
    }

    async fn reply<T>(&self, reply: Reply<T>) -> Result<T, LinkError> {
        match reply {
            Reply::Gives(value) => Ok(value),
            Reply::Broken => Err(LinkError::Broken(failure(Kind::StreamBroken))),
            Reply::Silence => {
                self.timers.after(LONG).await;
                Err(LinkError::Broken(failure(Kind::StreamBroken)))
            }
        }
    }

    fn load_of(&self, sidecar: SocketAddr) -> Load {
        self.state().load.get(&sidecar).copied().unwrap_or(load())
    }
}

#[async_trait]
impl SidecarLink for ScriptedLink {
    async fn dispatch(&self, to: SocketAddr, msg: Dispatch) -> Result<FrameStream, LinkError> {
        let script = {
            let mut state = self.state();
            state.dispatched.push((to, msg));
            state.dispatch.pop_front()
        };
        self.play(script.unwrap_or_else(|| Script::Stream(whole())))
            .await
    }

    async fn attach(&self, _to: SocketAddr, msg: Attach) -> Result<FrameStream, LinkError> {
        let script = {
            let mut state = self.state();
            state.attached.push(msg);
            state.attach.pop_front()
        };
        self.play(script.unwrap_or(Script::Broken)).await
    }

    async fn revoke(&self, _to: SocketAddr, msg: Revoke) -> Result<RevokeReply, LinkError> {
        let reply = {
            let mut state = self.state();
            state.revoked.push(msg);
            state.revoke.pop_front()
        };
        self.reply(reply.unwrap_or(Reply::Broken)).await
    }

    async fn cancel(&self, _to: SocketAddr, msg: Cancel) -> Result<(), LinkError> {
        self.state().cancelled.push(msg);
        Ok(())
    }

    async fn claim_key(&self, to: SocketAddr, _msg: ClaimKey) -> Result<KeyReply, LinkError> {
        let reply = {
            let mut state = self.state();
            state.claimed.push(to);
            state.claim.pop_front()
        };
        self.reply(reply.unwrap_or(Reply::Gives(KeyReply::Closed)))
            .await
    }

    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Result<Report, LinkError> {
        self.state().reported.push(msg);
        if self.state().down.contains(&to) {
            return Err(LinkError::NotSent(failure(Kind::ConnectFailed)));
        }
        Ok(report(to, self.load_of(to)))
    }

    async fn tables(&self, _to: SocketAddr) -> Result<TablesSnapshot, LinkError> {
        Err(LinkError::Broken(failure(Kind::StreamBroken)))
    }

    async fn push_tables(&self, _to: SocketAddr, _msg: TablesSnapshot) -> Result<(), LinkError> {
        Ok(())
    }

    async fn order(&self, _to: SocketAddr, _msg: EngineOrder) -> Result<OrderReply, LinkError> {
        Err(LinkError::Broken(failure(Kind::StreamBroken)))
    }
}

pub fn failure(kind: Kind) -> Error {
    Error::new(kind, "scripted")
}

pub fn load() -> Load {
    Load {
        incarnation: INCARNATION,
        mark: ClockMark(1_000),
        tables: TableVersion(1),
        backlog_tokens: 0,
        queued: 0,
        running: 0,
        slots: 8,
        tokens_per_second: 1_000.0,
        floor: Tier::Batch,
        draining: false,
        brakes: 0,
        split: SplitSeq::default(),
    }
}

pub fn report(sidecar: SocketAddr, load: Load) -> Report {
    Report {
        endpoint: format!("e{}", sidecar.port()).as_str().into(),
        pool: "cards".into(),
        version: "v1".into(),
        fence: FencingToken::default(),
        load,
        brakes: Vec::new(),
        split: None,
        outcomes: Vec::new(),
        cache: CacheUpdate::default(),
    }
}

pub fn queued() -> Act {
    Act::Frame(Frame::Queued(load()))
}

pub fn started() -> Act {
    Act::Frame(Frame::Started)
}

pub fn head() -> Act {
    Act::Frame(Frame::Head {
        status: 200,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: b"application/json".to_vec(),
        }],
    })
}

/// The body bytes from `from` to `to`.
pub fn data(from: usize, to: usize) -> Act {
    Act::Frame(Frame::Data {
        offset: from as u64,
        bytes: Bytes::copy_from_slice(&BODY[from..to]),
    })
}

pub fn last() -> Act {
    Act::Frame(Frame::Final {
        length: BODY.len() as u64,
        usage: Usage::default(),
        load: load(),
    })
}

pub fn failed(kind: Kind, ran: Ran) -> Act {
    Act::Frame(Frame::Failed(Failure {
        kind,
        ran,
        detail: "scripted".to_owned(),
        load: load(),
    }))
}

pub fn whole() -> Vec<Act> {
    vec![queued(), started(), head(), data(0, BODY.len()), last()]
}

/// A whole answer from a sidecar whose load stays as it is.
pub fn whole_under(load: Load) -> Vec<Act> {
    let mut acts = whole();
    for act in &mut acts {
        if let Act::Frame(Frame::Queued(l) | Frame::Final { load: l, .. }) = act {
            *l = load;
        }
    }
    acts
}

pub fn sidecar(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn endpoint(port: u16) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        name: EndpointName::new(format!("e{port}")),
        sidecar: sidecar(port),
        domain: "a".into(),
        hardware: "gen1".into(),
        version: "v1".into(),
        leaving: false,
    })
}

pub fn route(name: &str, tier: Tier, non_idempotent: bool) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        path: format!("/{name}").into(),
        model: None,
        tier,
        pool: "cards".into(),
        non_idempotent,
        timeout: Duration::from_secs(30),
        max_body_bytes: 4_096,
    })
}

/// A service pool "cards" with the given endpoints, and a route for drafts and one for charges.
pub fn tables(ports: &[u16]) -> Tables {
    let endpoints = ports
        .iter()
        .map(|port| endpoint(*port))
        .map(|e| (e.name.clone(), e))
        .collect();
    let pool = Pool {
        name: "cards".into(),
        kind: PoolKind::Service,
        version: "v1".into(),
        r#move: None,
        fencing: FencingCheck::Sidecar,
        weights: BTreeMap::new(),
        endpoints,
        former: Vec::new(),
    };
    Tables {
        version: TableVersion(1),
        routes: vec![
            route("drafts", Tier::Draft, false),
            route("charges", Tier::Order, true),
        ],
        pools: BTreeMap::from([(pool.name.clone(), Arc::new(pool))]),
        ..Tables::default()
    }
}

/// As [`tables`], with a model pool "texts" of the same endpoints and a route to it.
pub fn tables_with_model(ports: &[u16]) -> Tables {
    let mut tables = tables(ports);
    let mut pool = Pool::clone(&tables.pools["cards"]);
    pool.name = "texts".into();
    pool.kind = PoolKind::Model;
    let mut route = Route::clone(&route("texts", Tier::Interactive, false));
    route.pool = "texts".into();
    tables.routes.push(Arc::new(route));
    tables.pools.insert(pool.name.clone(), Arc::new(pool));
    tables
}

pub fn settings() -> Settings {
    let text = r#"{ "name": "entry-1", "listen": "127.0.0.1:1", "domain": "a", "region": "r",
        "store": "127.0.0.1:1" }"#;
    Settings::from_str(text, "fixture").unwrap()
}

pub struct Fixture {
    pub link: Arc<ScriptedLink>,
    pub service: Service,
    pub cx: Context,
}

impl Fixture {
    /// Starts an entry over scripted sidecars at `ports`, and waits until all have reported.
    pub async fn start(ports: &[u16]) -> Self {
        Self::with_tables(tables(ports)).await
    }

    pub async fn with_tables(tables: Tables) -> Self {
        let cx = Context::quiet(7);
        let link = ScriptedLink::new(cx.timers.clone());
        let current = Arc::new(Current::new(tables));
        let service = Service::new(
            settings(),
            Arc::clone(&link) as Arc<dyn SidecarLink>,
            current,
            cx.clone(),
        );
        cx.timers.after(Duration::from_millis(200)).await;
        Self { link, service, cx }
    }

    /// Changes what the sidecars are told to do.
    pub fn set_up(&self, f: impl FnOnce(&mut State)) {
        f(&mut self.link.state());
    }

    pub async fn call(&self, req: CallerRequest) -> Got {
        Got::read(self.service.call(req).await).await
    }
}

pub fn request(route: &str) -> CallerRequest {
    CallerRequest {
        method: "POST".to_owned(),
        path: format!("/{route}"),
        headers: Vec::new(),
        body: Bytes::from_static(b"{}"),
    }
}

pub fn with_header(mut req: CallerRequest, name: &str, value: &str) -> CallerRequest {
    req.headers.push(Header {
        name: name.to_owned(),
        value: value.as_bytes().to_vec(),
    });
    req
}

/// An answer as the caller reads it.
#[derive(Debug, PartialEq, Eq)]
pub struct Got {
    pub status: u16,
    pub ran: Ran,
    pub body: Vec<u8>,
    pub is_whole: bool,
    pub retry_after_s: Option<u64>,
}

impl Got {
    pub async fn read(answer: CallerResponse) -> Self {
        let CallerResponse { head, mut body } = answer;
        let mut got = Self {
            status: head.status,
            ran: head.ran,
            body: Vec::new(),
            is_whole: true,
            retry_after_s: head.retry_after_s,
        };
        while let Some(chunk) = body.next().await {
            match chunk {
                Ok(bytes) => got.body.extend_from_slice(&bytes),
                Err(_) => got.is_whole = false,
            }
        }
        got
    }

    /// Tells whether the caller has the whole answer of the endpoint.
    pub fn is_answer(&self) -> bool {
        self.status == 200 && self.is_whole && self.body == BODY && self.ran == Ran::Yes
    }

    /// Returns the kind named in an error body.
    pub fn kind(&self) -> Option<Kind> {
        let value: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        serde_json::from_value(value.get("error")?.get("kind")?.clone()).ok()
    }
}
