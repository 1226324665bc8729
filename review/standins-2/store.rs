//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_message;

/// Size of a page of a listing in bytes.
const PAGE_BYTES: usize = 1_000_000;

/// Number of objects on a page of a listing.
const PAGE_OBJECTS: usize = 500;

struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Event {
    revision: u64,
    kind: String,
    json: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

struct Inner {
    addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

/// A store that loses nothing; its answers are current.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

impl Store {
    /// Starts a store whose revisions begin after `revision`.
    pub fn start(revision: u64) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        let state = State {
            revision,
            ..State::default()
        };
        let store = Self {
            inner: Arc::new(Inner {
                addr,
                state: Mutex::new(state),
                changed: Condvar::new(),
            }),
        };
        let accepting = store.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(store)
    }

    pub fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Creates an object or replaces its spec, which is JSON.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write(kind, name, Some(spec), None);
    }

    /// Returns the status of an object, which is JSON.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let object = state.objects.get(&key);
        object.map_or(String::new(), |object| object.status.clone())
    }

    fn write(&self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        let created = known.map_or(revision, |o| o.created);
        let spec = spec
            .or(known.map(|o| &*o.spec))
            .unwrap_or("null")
            .to_owned();
        let status = status
            .or(known.map(|o| &*o.status))
            .unwrap_or("null")
            .to_owned();
        let object = Object {
            revision,
            created,
            spec,
            status,
        };
        let json = format!(
            "{{\"object\":{},\"deleted\":false}}",
            to_json(name, &object)
        );
        state.objects.insert(key, object);
        state.push_event(kind, json);
        drop(state);
        self.inner.changed.notify_all();
    }

    /// Deletes an object; returns whether it existed.
    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else {
            return false;
        };
        state.revision += 1;
        let json = format!("{{\"object\":{},\"deleted\":true}}", to_json(name, &object));
        state.push_event(kind, json);
        drop(state);
        self.inner.changed.notify_all();
        true
    }

    fn accept(&self, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            let store = self.clone();
            thread::spawn(move || store.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _unset = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        let mut stream = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(body.as_bytes()));
            if sent.is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/-/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let body = String::from_utf8_lossy(&request.body);
        match (request.word(0), name) {
            ("GET", None) => match parameter(query, "watch") {
                Some(from) => self.watch(kind, number(from), parameter(query, "waitMs")),
                None => self.list(kind, parameter(query, "after").unwrap_or_default()),
            },
            ("GET", Some(name)) => self.get(kind, name),
            ("POST", None) => {
                let name = text_field(&body, "name").unwrap_or_default();
                if self.get(kind, &name).0 == 200 {
                    return (409, "{}".to_owned());
                }
                self.put(kind, &name, &value_field(&body, "spec"));
                self.get(kind, &name)
            }
            ("PUT", Some(name)) if parts.next() == Some("status") => {
                if !self.is_revision(kind, name, &body) {
                    return (409, self.get(kind, name).1);
                }
                self.write(kind, name, None, Some(&value_field(&body, "status")));
                self.get(kind, name)
            }
            ("PUT", Some(name)) => {
                self.put(kind, name, &value_field(&body, "spec"));
                self.get(kind, name)
            }
            ("DELETE", Some(name)) if self.delete(kind, name) => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    /// Returns whether a document names the revision of an object, if it names any.
    fn is_revision(&self, kind: &str, name: &str, json: &str) -> bool {
        let Some((_, rest)) = json.split_once("\"revision\":") else {
            return true;
        };
        let end = rest
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(rest.len());
        let state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let object = state.objects.get(&key);
        object.is_some_and(|object| object.revision == number(&rest[..end]))
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let object = state.objects.get(&key);
        object.map_or((404, "{}".to_owned()), |o| (200, to_json(name, o)))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.lock();
        let objects = state.objects.iter();
        let mut rest = objects.filter(|((k, name), _)| k == kind && name.as_str() > after);
        let mut page = Vec::new();
        let mut bytes = 0;
        while bytes < PAGE_BYTES && page.len() < PAGE_OBJECTS {
            let Some(((_, name), object)) = rest.next() else {
                break;
            };
            let json = to_json(name, object);
            bytes += json.len();
            page.push(json);
        }
        let has_more = rest.next().is_some();
        let entries = page.join(",");
        let at = state.revision;
        (
            200,
            format!("{{\"entries\":[{entries}],\"hasMore\":{has_more},\"at\":{at}}}"),
        )
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: Option<&str>) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.map_or(0, number));
        let mut state = self.lock();
        loop {
            let events = state.events.iter();
            let events: Vec<&str> = events
                .filter(|e| e.kind == kind && e.revision > from)
                .map(|e| e.json.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let at = state.revision;
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let waited = self.inner.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn push_event(&mut self, kind: &str, json: String) {
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            json,
        });
    }
}

fn to_json(name: &str, object: &Object) -> String {
    let Object {
        revision,
        created,
        spec,
        status,
    } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created}}},\
         \"spec\":{spec},\"status\":{status}}}"
    )
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, v)| v)
}

fn number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

/// Returns a text of a JSON document by its field's name.
fn text_field(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}

/// Returns the object that a field of a JSON document holds; its texts hold no braces.
fn value_field(json: &str, name: &str) -> String {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":")) else {
        return "null".to_owned();
    };
    let mut depth = 0;
    for (index, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return rest[..=index].to_owned();
        }
    }
    "null".to_owned()
}
