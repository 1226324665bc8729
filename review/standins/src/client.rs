//! Clients of entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::record::Record;

/// One request and its answer.
#[derive(Clone)]
pub struct Exchange {
    /// `Attempt-Id`; it begins with the name of the entry.
    pub id: String,
    /// When it was sent.
    pub sent: Duration,
    /// Status of the answer, 0 if there was none.
    pub status: u16,
}

/// Requests of all clients.
#[derive(Clone)]
pub struct Clients {
    record: Record,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
}

impl Clients {
    /// Creates clients that write to the record.
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            exchanges: Arc::default(),
        }
    }

    /// Sends requests to an entry at a rate until a time of the record.
    pub async fn load(
        self,
        entry: String,
        addr: SocketAddr,
        headers: String,
        interval: Duration,
        until: Duration,
    ) {
        let mut ticks = tokio::time::interval(interval);
        let mut n = 0_u32;
        while self.record.now() < until {
            ticks.tick().await;
            n += 1;
            let id = format!("{entry}.{}.{n}", self.record.now().as_millis());
            let clients = self.clone();
            let headers = headers.clone();
            tokio::spawn(async move { clients.send(id, addr, &headers).await });
        }
    }

    /// Sends one request on a new connection.
    pub async fn send(&self, id: String, addr: SocketAddr, headers: &str) -> u16 {
        let sent = self.record.now();
        let request = format!(
            "POST /orders/1 HTTP/1.1\r\nHost: shop\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2500\r\n\
             Connection: close\r\n{headers}Content-Length: 2\r\n\r\n{{}}"
        );
        let status = tokio::time::timeout(Duration::from_millis(2_600), round_trip(addr, &request));
        let status = status.await.ok().flatten().unwrap_or(0);
        self.record.line(format!(
            "client: {id} sent at {:.3}, answered {status}",
            sent.as_secs_f64()
        ));
        let exchange = Exchange { id, sent, status };
        self.exchanges.lock().expect("no panic").push(exchange);
        status
    }

    /// Returns all requests that have ended.
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.exchanges.lock().expect("no panic").clone()
    }
}

async fn round_trip(addr: SocketAddr, request: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let line = String::from_utf8_lossy(&answer);
    line.split(' ').nth(1)?.parse().ok()
}

/// Returns the status of the readiness check of an entry, 0 if there is no answer.
pub async fn readiness(addr: SocketAddr) -> u16 {
    let request = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let status = tokio::time::timeout(Duration::from_millis(900), round_trip(addr, request));
    status.await.ok().flatten().unwrap_or(0)
}
