//! Stand-in for the platform's store: kinds of objects, revisions, listings and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_message};
use crate::json;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Change {
    kind: String,
    name: String,
    object: Object,
    is_deleted: bool,
}

struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// Stand-in store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let store = Self {
            addr: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State {
                revision: 100,
                objects: BTreeMap::new(),
                changes: Vec::new(),
            })),
            changed: Arc::default(),
        };
        store.accept(listener, Arc::default());
        store
    }

    /// Opens a further address of the same store. While the flag is set, answers there to watches with changes of
    /// roll-out orders are lost.
    pub fn open_address(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let addr = listener.local_addr().unwrap();
        let loses_orders = Arc::new(AtomicBool::new(false));
        self.accept(listener, Arc::clone(&loses_orders));
        (addr, loses_orders)
    }

    fn accept(&self, listener: TcpListener, loses_orders: Arc<AtomicBool>) {
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, loses_orders) = (store.clone(), Arc::clone(&loses_orders));
                std::thread::spawn(move || store.serve(stream, &loses_orders));
            }
        });
    }

    /// Writes an object as its owner does, such as the operator or a replica.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(kind, name, Some(spec), None);
        self.changed.notify_all();
    }

    /// Returns the status of an object, as its text.
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object.status.clone())
    }

    fn serve(&self, stream: TcpStream, loses_orders: &AtomicBool) {
        let _set = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut from) {
            std::thread::sleep(ANSWER_TIME);
            let answer = match call.method() {
                "GET" => self.read(call.target()),
                _ => self.write(&call),
            };
            let (status, body) = answer;
            let has_order = call.target().starts_with("/-/objects/rollouts?watch")
                && body.contains("\"object\"");
            if has_order && loses_orders.load(Ordering::Relaxed) {
                // A connection on which a response is lost returns nothing further.
                while let Ok(Some(_)) = read_message(&mut from) {}
                return;
            }
            let start_line = format!("HTTP/1.1 {status} x");
            let headers = [("Content-Type", "application/json")];
            if write_message(&mut to, &start_line, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn read(&self, target: &str) -> (u16, String) {
        let (kind, name) = kind_and_name(target);
        if let Some(name) = name {
            let state = self.state.lock().unwrap();
            let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return match object {
                Some(object) => (200, text_of(name, object)),
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(at) = parameter(target, "watch") {
            let wait = parameter(target, "waitMs").and_then(|ms| ms.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0));
            return self.watch(kind, at.parse().unwrap_or(0), wait);
        }
        let state = self.state.lock().unwrap();
        let after = parameter(target, "after").unwrap_or_default();
        let of_kind = state.objects.iter().filter(|(key, _)| key.0 == kind);
        let entries: Vec<_> = of_kind
            .filter(|(key, _)| key.1.as_str() > after)
            .map(|(key, object)| text_of(&key.1, object))
            .collect();
        let entries = entries.join(",");
        let at = state.revision;
        (
            200,
            format!("{{\"entries\":[{entries}],\"hasMore\":false,\"at\":{at}}}"),
        )
    }

    fn watch(&self, kind: &str, at: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state
                .changes
                .iter()
                .filter(|c| c.object.revision > at && c.kind == kind);
            let events: Vec<_> = new
                .map(|c| {
                    let object = text_of(&c.name, &c.object);
                    format!("{{\"object\":{object},\"deleted\":{}}}", c.is_deleted)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, call: &Message) -> (u16, String) {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let (kind, name) = kind_and_name(call.target());
        let metadata = json::field(&body, "metadata").unwrap_or("{}");
        let named = json::field(metadata, "name").and_then(json::string);
        let Some(name) = name.or(named) else {
            return (400, "{}".to_owned());
        };
        let revision = json::field(metadata, "revision").or(parameter(call.target(), "revision"));
        let revision = revision.and_then(|revision| revision.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        let known = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        let answer = match (call.method(), known) {
            ("POST", None) => {
                state.put(
                    kind,
                    name,
                    json::field(&body, "spec"),
                    json::field(&body, "status"),
                );
                state.answer(kind, name)
            }
            (_, None) => (404, "{}".to_owned()),
            ("POST", Some(known)) => (409, text_of(name, &known)),
            (_, Some(known)) if revision.is_some_and(|r| r != known.revision) => {
                (409, text_of(name, &known))
            }
            ("DELETE", Some(_)) => {
                state.delete(kind, name);
                (200, "{}".to_owned())
            }
            _ if call.target().ends_with("/status") => {
                state.put(kind, name, None, json::field(&body, "status"));
                state.answer(kind, name)
            }
            _ => {
                state.put(kind, name, json::field(&body, "spec"), None);
                state.answer(kind, name)
            }
        };
        self.changed.notify_all();
        answer
    }
}

impl State {
    /// Changes an object; a write that changes nothing does not increase the revision.
    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        let null = "null".to_owned();
        let (known_spec, known_status) = known.map_or((null.clone(), null), |object| {
            (object.spec.clone(), object.status.clone())
        });
        let spec = spec.map_or(known_spec, str::to_owned);
        let status = status.map_or(known_status, str::to_owned);
        if known.is_some_and(|object| object.spec == spec && object.status == status) {
            return;
        }
        let created = known.map(|object| object.created);
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            spec,
            status,
        };
        self.objects.insert(key, object.clone());
        self.record(kind, name, object, false);
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(mut object) = self.objects.remove(&key) {
            self.revision += 1;
            object.revision = self.revision;
            self.record(kind, name, object, true);
        }
    }

    fn record(&mut self, kind: &str, name: &str, object: Object, is_deleted: bool) {
        self.changes.push(Change {
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            is_deleted,
        });
    }

    fn answer(&self, kind: &str, name: &str) -> (u16, String) {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()));
        (
            200,
            object.map_or_else(|| "{}".to_owned(), |object| text_of(name, object)),
        )
    }
}

fn text_of(name: &str, object: &Object) -> String {
    let Object {
        revision,
        created,
        spec,
        status,
    } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\
         \"finalizers\":[],\"deletionPending\":false}},\"spec\":{spec},\"status\":{status}}}"
    )
}

/// Returns the kind and the name in a path like `/-/objects/KIND/NAME`.
fn kind_and_name(target: &str) -> (&str, Option<&str>) {
    let path = target.split('?').next().unwrap_or_default();
    let mut parts = path.split('/').skip(3);
    (parts.next().unwrap_or_default(), parts.next())
}

fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}
