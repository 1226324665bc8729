//! Stand-in for the platform's store: objects by kind and name, pages, watches, conditional writes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp_platform_standins::LinkState;
use eelgrassramp_platform_standins::Message;
use eelgrassramp_platform_standins::Proxy;
use eelgrassramp_platform_standins::read_message;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::record::Record;

/// Objects per page of a listing.
const PAGE_OBJECTS: usize = 500;

/// Bytes of objects per page of a listing; a page holds at least one object.
const PAGE_BYTES: usize = 1 << 20;

type Key = (String, String);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Value,
    status: Value,
}

struct Change {
    revision: u64,
    key: Key,
    object: Object,
    is_deleted: bool,
}

struct State {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    changes: Vec<Change>,
    /// Deletions by processes are not answered, and done after this time.
    late_deletions: Option<Duration>,
    writes: u64,
    unanswered_writes: u64,
}

/// Links of one entry to the others: a proxy before the address that each of them announces.
///
/// The store puts the address of the proxy into what that entry reads, which is how the proxies come
/// between the entries.
#[derive(Clone, Default)]
pub struct PeerLinks {
    proxies: Arc<Mutex<HashMap<String, Proxy>>>,
}

impl PeerLinks {
    /// Changes the state of all links, or of the one to `only`.
    pub fn set(&self, only: Option<&str>, link: LinkState) {
        for (name, proxy) in self.proxies.lock().expect("no panic").iter() {
            if only.is_none_or(|only| only == name) {
                proxy.set(link);
            }
        }
    }

    /// Replaces the announced addresses in an answer by those of the proxies.
    async fn redirect(&self, answer: &mut Value) {
        let objects = match answer {
            Value::Object(map) if map.contains_key("entries") => map["entries"].as_array_mut(),
            Value::Object(map) if map.contains_key("events") => map["events"].as_array_mut(),
            _ => None,
        };
        for object in objects.into_iter().flatten() {
            let object = match object.get("object") {
                Some(_) => &mut object["object"],
                None => object,
            };
            let name = object["metadata"]["name"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            let target = object["spec"]["exchange"]
                .as_str()
                .and_then(|a| a.parse().ok());
            let Some(target) = target else {
                continue;
            };
            let known = self.proxies.lock().expect("no panic").get(&name).cloned();
            let proxy = match known {
                Some(proxy) => proxy,
                None => Proxy::start(target).await,
            };
            object["spec"]["exchange"] = json!(proxy.addr.to_string());
            self.proxies.lock().expect("no panic").insert(name, proxy);
        }
    }
}

/// Stand-in store.
#[derive(Clone)]
pub struct Store {
    /// Address that it listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    revision: watch::Sender<u64>,
    record: Record,
}

impl Store {
    /// Starts an empty store.
    pub async fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(State {
                revision: 10,
                objects: BTreeMap::new(),
                changes: Vec::new(),
                late_deletions: None,
                writes: 0,
                unanswered_writes: 0,
            })),
            revision: watch::channel(10).0,
            record: record.clone(),
        };
        tokio::spawn(store.clone().accept(listener, None));
        store
    }

    /// Returns a further address of the store, for an entry that reaches the others over these links.
    pub async fn listen(&self, links: &PeerLinks) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        tokio::spawn(self.clone().accept(listener, Some(links.clone())));
        addr
    }

    async fn accept(self, listener: TcpListener, links: Option<PeerLinks>) {
        while let Ok((stream, _)) = listener.accept().await {
            let _unset = stream.set_nodelay(true);
            tokio::spawn(self.clone().serve(stream, links.clone()));
        }
    }

    /// Creates an object or replaces its spec, as the operator or a replica; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let revision = self
            .lock()
            .put(&(kind.to_owned(), name.to_owned()), Some(spec), None);
        self.revision.send_replace(revision);
        revision
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let revision = self.lock().delete(&(kind.to_owned(), name.to_owned()));
        self.revision.send_replace(revision);
    }

    /// Returns the spec and status of an object.
    pub fn object(&self, kind: &str, name: &str) -> Option<(Value, Value)> {
        let state = self.lock();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some((object.spec.clone(), object.status.clone()))
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let of_kind = state.objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Sets whether deletions by processes are not answered, and done after a time.
    pub fn set_late_deletions(&self, late: Option<Duration>) {
        self.lock().late_deletions = late;
    }

    /// Returns the number of writes by processes, and how many of them were not answered.
    pub fn writes(&self) -> (u64, u64) {
        let state = self.lock();
        (state.writes, state.unanswered_writes)
    }

    async fn serve(self, mut stream: TcpStream, links: Option<PeerLinks>) {
        let mut buf = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut buf).await {
            let Some((status, mut body)) = self.handle(&call).await else {
                // The connection returns nothing further.
                while read_message(&mut stream, &mut buf).await.is_some() {}
                return;
            };
            if let Some(links) = &links {
                links.redirect(&mut body).await;
            }
            let body = body.to_string();
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn handle(&self, call: &Message) -> Option<(u16, Value)> {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let path: Vec<String> = path.split('/').skip(3).map(percent_decode).collect();
        let kind = path.first().cloned().unwrap_or_default();
        let name = path.get(1).cloned();
        if call.method() == "GET" {
            return Some(self.read(&kind, name, query).await);
        }
        let late = {
            let mut state = self.lock();
            state.writes += 1;
            state.late_deletions.filter(|_| call.method() == "DELETE")
        };
        self.record
            .line(format!("store: {} {}", call.method(), call.path()));
        if let Some(late) = late {
            self.lock().unanswered_writes += 1;
            let store = self.clone();
            let (kind, name) = (kind, name.unwrap_or_default());
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                store.record.line(format!(
                    "store: the unanswered DELETE of {kind}/{name} is done"
                ));
                store.delete(&kind, &name);
            });
            return None;
        }
        let answer = self.lock().write(call, &kind, name, path.get(2).is_some());
        let revision = self.lock().revision;
        self.revision.send_replace(revision);
        Some(answer)
    }

    async fn read(&self, kind: &str, name: Option<String>, query: &str) -> (u16, Value) {
        if let Some(at) = parameter(query, "watch") {
            let wait = parameter(query, "waitMs").and_then(|w| w.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0));
            return self.watch(kind, at.parse().unwrap_or(0), wait).await;
        }
        let state = self.lock();
        match name {
            Some(name) => match state.objects.get(&(kind.to_owned(), name.clone())) {
                Some(object) => (200, object.encode(&name)),
                None => (404, json!({})),
            },
            None => {
                let after = parameter(query, "after").unwrap_or_default();
                (200, state.page(kind, &after))
            }
        }
    }

    async fn watch(&self, kind: &str, at: u64, wait: Duration) -> (u16, Value) {
        let mut revision = self.revision.subscribe();
        let until = tokio::time::Instant::now() + wait;
        loop {
            revision.borrow_and_update();
            let (events, now) = self.lock().changes_after(kind, at);
            let timeout = tokio::time::timeout_at(until, revision.changed());
            if !events.is_empty() || timeout.await.is_err() {
                return (200, json!({"events": events, "at": now}));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }
}

impl Object {
    fn encode(&self, name: &str) -> Value {
        json!({
            "metadata": {"name": name, "revision": self.revision, "created": self.created,
                "finalizers": [], "deletionPending": false},
            "spec": self.spec,
            "status": self.status,
        })
    }
}

impl State {
    fn write(
        &mut self,
        call: &Message,
        kind: &str,
        name: Option<String>,
        is_status: bool,
    ) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let named = body["metadata"]["name"].as_str().map(str::to_owned);
        let Some(name) = name.or(named) else {
            return (400, json!({}));
        };
        let key = (kind.to_owned(), name.clone());
        let known = self.objects.get(&key).cloned();
        match (call.method(), known) {
            ("POST", None) => {
                self.put(&key, Some(body["spec"].clone()), None);
            }
            ("POST", Some(known)) => return (409, known.encode(&name)),
            (_, None) => return (404, json!({})),
            (method, Some(known)) => {
                let revision = body["metadata"]["revision"].as_u64();
                if revision.is_some_and(|r| r != known.revision) {
                    return (409, known.encode(&name));
                }
                match (method, is_status) {
                    ("DELETE", _) => {
                        self.delete(&key);
                        return (200, json!({}));
                    }
                    (_, true) => self.put(&key, None, Some(body["status"].clone())),
                    (_, false) => self.put(&key, Some(body["spec"].clone()), None),
                };
            }
        }
        (200, self.objects[&key].encode(&name))
    }

    fn put(&mut self, key: &Key, spec: Option<Value>, status: Option<Value>) -> u64 {
        let known = self.objects.get(key).cloned();
        let object = known.clone().unwrap_or(Object {
            revision: 0,
            created: self.revision + 1,
            spec: Value::Null,
            status: Value::Null,
        });
        let object = Object {
            spec: spec.unwrap_or(object.spec),
            status: status.unwrap_or(object.status),
            ..object
        };
        let is_same = known.is_some_and(|k| k.spec == object.spec && k.status == object.status);
        if !is_same {
            self.revision += 1;
            let revision = self.revision;
            let object = Object { revision, ..object };
            self.log_change(key, object.clone(), false);
            self.objects.insert(key.clone(), object);
        }
        self.revision
    }

    fn delete(&mut self, key: &Key) -> u64 {
        if let Some(object) = self.objects.remove(key) {
            self.revision += 1;
            let revision = self.revision;
            self.log_change(key, Object { revision, ..object }, true);
        }
        self.revision
    }

    fn log_change(&mut self, key: &Key, object: Object, is_deleted: bool) {
        self.changes.push(Change {
            revision: self.revision,
            key: key.clone(),
            object,
            is_deleted,
        });
    }

    fn changes_after(&self, kind: &str, at: u64) -> (Vec<Value>, u64) {
        let new = self
            .changes
            .iter()
            .filter(|c| c.revision > at && c.key.0 == kind);
        let events =
            new.map(|c| json!({"object": c.object.encode(&c.key.1), "deleted": c.is_deleted}));
        (events.collect(), self.revision)
    }

    fn page(&self, kind: &str, after: &str) -> Value {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for ((k, name), object) in &self.objects {
            if k != kind || name.as_str() <= after {
                continue;
            }
            let entry = object.encode(name);
            let len = entry.to_string().len();
            if entries.len() >= PAGE_OBJECTS || (!entries.is_empty() && bytes + len > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += len;
            entries.push(entry);
        }
        json!({"entries": entries, "hasMore": has_more, "at": self.revision})
    }
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(n, _)| *n == name);
    found.map(|(_, value)| percent_decode(value))
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        let byte = hex.filter(|_| bytes[index] == b'%');
        match byte.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
