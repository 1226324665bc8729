//! Stand-in for the clients of one entry: a steady rate of requests on kept connections.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::record::Record;

/// What one kind of request looks like, without its id.
#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub host: String,
    pub key: String,
    pub deadline: Duration,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    pub body_bytes: usize,
}

impl Request {
    pub fn to_bytes(&self, id: &str) -> Vec<u8> {
        let shared = 60;
        let own = self.prompt_tokens.saturating_sub(shared);
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nModel: m\r\n\
             Token-Usage: {},{}\r\nPrompt-Prefix: 5c1e07a2:{shared},{id}:{own}\r\n\
             Deadline-Ms: {}\r\nKey: {}\r\nContent-Length: {}\r\n\r\n",
            self.path,
            self.host,
            self.prompt_tokens,
            self.output_tokens,
            self.deadline.as_millis(),
            self.key,
            self.body_bytes
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + self.body_bytes, b'x');
        bytes
    }
}

/// Times at which requests were sent, in seconds since the start of the script.
pub type SentTimes = Arc<Mutex<HashMap<String, f64>>>;

/// Returns an id that no other request of this run has.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Clients that send until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    /// Sends `per_second` requests a second to one entry, on `connections` kept connections. A refused
    /// request is not repeated.
    pub fn start(
        entry: SocketAddr,
        request: &Request,
        per_second: f64,
        connections: u32,
        sent: &SentTimes,
        record: &Arc<Record>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let interval = Duration::from_secs_f64(f64::from(connections) / per_second);
        let threads = (0..connections).map(|i| {
            let (request, stop) = (request.clone(), Arc::clone(&stop));
            let (sent, record) = (Arc::clone(sent), Arc::clone(record));
            let first = Instant::now() + interval * i / connections;
            std::thread::spawn(move || {
                send_all(entry, &request, first, interval, &stop, &sent, &record);
            })
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _joined = thread.join();
        }
    }
}

fn send_all(
    entry: SocketAddr,
    request: &Request,
    first: Instant,
    interval: Duration,
    stop: &AtomicBool,
    sent: &SentTimes,
    record: &Record,
) {
    let mut connection = None;
    let mut due = first;
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        if now < due {
            std::thread::sleep((due - now).min(Duration::from_millis(50)));
            continue;
        }
        due = (due + interval).max(now);
        let id = next_id();
        sent.lock().unwrap().insert(id.clone(), record.now());
        record.add(&format!("client sends {id} to {entry}"));
        let status = send(entry, &mut connection, request, &id);
        record.add(&format!("client got {status} for {id}"));
    }
}

/// Sends one request and reads the whole answer; returns its status, 0 if there is none.
fn send(
    entry: SocketAddr,
    connection: &mut Option<BufReader<TcpStream>>,
    request: &Request,
    id: &str,
) -> u16 {
    let result = (|| {
        let mut kept = match connection.take() {
            Some(kept) => kept,
            None => connect(entry)?,
        };
        kept.get_mut().write_all(&request.to_bytes(id))?;
        let answer = read_message(&mut kept)?;
        let answer = answer.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let closes = answer
            .header("connection")
            .is_some_and(|c| c.contains("close"));
        if !closes {
            *connection = Some(kept);
        }
        std::io::Result::Ok(answer.status())
    })();
    result.unwrap_or(0)
}

pub fn connect(entry: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    Ok(BufReader::new(stream))
}
