//! An entry that dispatches to scripted sidecars.

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
use eelgrassramp::tables::CurrentTables;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::FencingCheck;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::PoolKind;
use eelgrassramp::tables::Route;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::Attach;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Cancel;
use eelgrassramp::wire::CloseKey;
use eelgrassramp::wire::CloseKeyReply;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::EngineOrder;
use eelgrassramp::wire::Failure;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::Header;
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
const NEVER: Duration = Duration::from_hours(1);

/// One action of a scripted stream.
#[derive(Debug, Clone)]
pub enum StreamAction {
    Frame(Frame),
    Wait(Duration),
    Break,
    Hang,
}

/// The reply of a scripted sidecar to a call that returns a stream of frames.
#[derive(Debug, Clone)]
pub enum StreamReply {
    NotSent,
    Broken,
    Hang,
    Stream(Vec<StreamAction>),
}

/// The reply of a scripted sidecar to a call that returns one message.
#[derive(Debug, Clone, Copy)]
pub enum MessageReply<T> {
    Message(T),
    Broken,
    Hang,
}

/// The scripted replies of the sidecars, and the calls that they received.
#[derive(Debug, Default)]
pub struct ScriptState {
    pub dispatch: VecDeque<StreamReply>,
    pub attach: VecDeque<StreamReply>,
    pub revoke: VecDeque<MessageReply<RevokeReply>>,
    pub claim: VecDeque<MessageReply<CloseKeyReply>>,
    pub load: BTreeMap<SocketAddr, Load>,
    pub unreachable: Vec<SocketAddr>,
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
    state: Mutex<ScriptState>,
}

impl ScriptedLink {
    pub fn new(timers: Timers) -> Arc<Self> {
        Arc::new(Self {
            timers,
            state: Mutex::default(),
        })
    }

    pub fn state(&self) -> MutexGuard<'_, ScriptState> {
        self.state.lock().unwrap()
    }

    async fn open_stream(&self, reply: StreamReply) -> Result<FrameStream, LinkError> {
        match reply {
            StreamReply::NotSent => Err(LinkError::NotSent(failure(Kind::ConnectFailed))),
            StreamReply::Broken => Err(LinkError::Broken(failure(Kind::StreamBroken))),
            StreamReply::Hang => {
                self.timers.after(NEVER).await;
                Err(LinkError::Broken(failure(Kind::StreamBroken)))
            }
            StreamReply::Stream(actions) => Ok(self.stream(actions)),
        }
    }

    fn stream(&self, actions: Vec<StreamAction>) -> FrameStream {
        let timers = self.timers.clone();
        let frames = futures_util::stream::iter(actions).filter_map(move |action| {
            let timers = timers.clone();
            async move {
                match action {
                    StreamAction::Frame(frame) => Some(Ok(frame)),
                    StreamAction::Wait(d) => {
                        timers.after(d).await;
                        None
                    }
                    StreamAction::Break => Some(Err(failure(Kind::StreamBroken))),
                    StreamAction::Hang => {
                        timers.after(NEVER).await;
                        None
                    }
                }
            }
        });
        Box::pin(frames)
    }

    async fn reply<T>(&self, reply: MessageReply<T>) -> Result<T, LinkError> {
        match reply {
            MessageReply::Message(value) => Ok(value),
            MessageReply::Broken => Err(LinkError::Broken(failure(Kind::StreamBroken))),
            MessageReply::Hang => {
                self.timers.after(NEVER).await;
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
        let reply = {
            let mut state = self.state();
            state.dispatched.push((to, msg));
            state.dispatch.pop_front()
        };
        self.open_stream(reply.unwrap_or_else(|| StreamReply::Stream(complete_stream())))
            .await
    }

    async fn attach(&self, _to: SocketAddr, msg: Attach) -> Result<FrameStream, LinkError> {
        let reply = {
            let mut state = self.state();
            state.attached.push(msg);
            state.attach.pop_front()
        };
        self.open_stream(reply.unwrap_or(StreamReply::Broken)).await
    }

    async fn revoke(&self, _to: SocketAddr, msg: Revoke) -> Result<RevokeReply, LinkError> {
        let reply = {
            let mut state = self.state();
            state.revoked.push(msg);
            state.revoke.pop_front()
        };
        self.reply(reply.unwrap_or(MessageReply::Broken)).await
    }

    async fn cancel(&self, _to: SocketAddr, msg: Cancel) -> Result<(), LinkError> {
        self.state().cancelled.push(msg);
        Ok(())
    }

    async fn close_key(&self, to: SocketAddr, _msg: CloseKey) -> Result<CloseKeyReply, LinkError> {
        let reply = {
            let mut state = self.state();
            state.claimed.push(to);
            state.claim.pop_front()
        };
        self.reply(reply.unwrap_or(MessageReply::Message(CloseKeyReply::Closed)))
            .await
    }

    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Result<Report, LinkError> {
        self.state().reported.push(msg);
        if self.state().unreachable.contains(&to) {
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

pub fn queued_frame() -> StreamAction {
    StreamAction::Frame(Frame::Queued(load()))
}

pub fn started_frame() -> StreamAction {
    StreamAction::Frame(Frame::Started)
}

pub fn head_frame() -> StreamAction {
    StreamAction::Frame(Frame::Head {
        status: 200,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: b"application/json".to_vec(),
        }],
    })
}

/// A data frame with the bytes of [`BODY`] from `from` to `to`.
pub fn data_frame(from: usize, to: usize) -> StreamAction {
    StreamAction::Frame(Frame::Data {
        offset: from as u64,
        bytes: Bytes::copy_from_slice(&BODY[from..to]),
    })
}

pub fn final_frame() -> StreamAction {
    StreamAction::Frame(Frame::Final {
        length: BODY.len() as u64,
        usage: Usage::default(),
        load: load(),
    })
}

pub fn failed_frame(kind: Kind, ran: Ran) -> StreamAction {
    StreamAction::Frame(Frame::Failed(Failure {
        kind,
        ran,
        detail: "scripted".to_owned(),
        load: load(),
    }))
}

pub fn complete_stream() -> Vec<StreamAction> {
    vec![
        queued_frame(),
        started_frame(),
        head_frame(),
        data_frame(0, BODY.len()),
        final_frame(),
    ]
}

/// A complete response stream from a sidecar that keeps reporting `load`.
pub fn complete_stream_with_load(load: Load) -> Vec<StreamAction> {
    let mut actions = complete_stream();
    for action in &mut actions {
        if let StreamAction::Frame(Frame::Queued(l) | Frame::Final { load: l, .. }) = action {
            *l = load;
        }
    }
    actions
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

/// A service pool "cards" with the given endpoints, and routes for drafts and for charges.
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

/// Like [`tables`], with a model pool "texts" of the same endpoints and a route to it.
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
    /// Starts an entry with scripted sidecars at `ports`, and waits until all have reported.
    pub async fn start(ports: &[u16]) -> Self {
        Self::with_tables(tables(ports)).await
    }

    pub async fn with_tables(tables: Tables) -> Self {
        let cx = Context::quiet(7);
        let link = ScriptedLink::new(cx.timers.clone());
        let current = Arc::new(CurrentTables::new(tables));
        let service = Service::new(
            settings(),
            Arc::clone(&link) as Arc<dyn SidecarLink>,
            current,
            cx.clone(),
        );
        cx.timers.after(Duration::from_millis(200)).await;
        Self { link, service, cx }
    }

    /// Updates the scripted replies of the sidecars.
    pub fn update_script(&self, f: impl FnOnce(&mut ScriptState)) {
        f(&mut self.link.state());
    }

    pub async fn call(&self, req: CallerRequest) -> ReceivedResponse {
        ReceivedResponse::read(self.service.call(req).await).await
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

/// A response as read by the caller.
#[derive(Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    pub status: u16,
    pub ran: Ran,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub retry_after_s: Option<u64>,
}

impl ReceivedResponse {
    pub async fn read(answer: CallerResponse) -> Self {
        let CallerResponse { head, mut body } = answer;
        let mut response = Self {
            status: head.status,
            ran: head.ran,
            body: Vec::new(),
            is_complete: true,
            retry_after_s: head.retry_after_s,
        };
        while let Some(chunk) = body.next().await {
            match chunk {
                Ok(bytes) => response.body.extend_from_slice(&bytes),
                Err(_) => response.is_complete = false,
            }
        }
        response
    }

    /// Returns whether this is the complete response of the endpoint.
    pub fn is_complete_response(&self) -> bool {
        self.status == 200 && self.is_complete && self.body == BODY && self.ran == Ran::Yes
    }

    /// Returns the error kind of an error body.
    pub fn kind(&self) -> Option<Kind> {
        let value: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        serde_json::from_value(value.get("error")?.get("kind")?.clone()).ok()
    }
}
