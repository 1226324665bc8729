//! Stand-in for a replica.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::http::read_message;

/// How a replica answers the requests that are meant for it.
#[derive(Clone, Copy)]
pub enum Answer {
    /// With a body of so many bytes, at once.
    Body(usize),
    /// With such a body after some time.
    After(Duration, usize),
}

/// Of so many requests one after the other, [`FAILURES`] fail while the replica is failing.
const FAILURE_PERIOD: usize = 5;
const FAILURES: usize = 2;

/// A request that ran.
#[derive(Clone)]
pub struct Run {
    /// Its attempt.
    pub id: String,
}

/// A sound replica: it refuses requests for another one and runs all others.
#[derive(Clone)]
pub struct Replica {
    /// Its name in the registry.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    service: String,
    zone: String,
    answer: Answer,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Whether it fails a part of the requests that it has run.
    is_failing: Arc<AtomicBool>,
    /// Open connections; `None` once the replica has ended.
    connections: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Replica {
    /// Starts a replica.
    pub fn start(id: &str, service: &str, zone: &str, answer: Answer) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let replica = Self {
            id: id.to_owned(),
            addr: listener.local_addr().map_err(|e| e.to_string())?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            answer,
            runs: Arc::default(),
            is_failing: Arc::default(),
            connections: Arc::new(Mutex::new(Some(Vec::new()))),
        };
        let accepting = replica.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if !accepting.keep(&stream) {
                    return;
                }
                let replica = accepting.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        Ok(replica)
    }

    /// Returns its announcement.
    pub fn announcement(&self) -> String {
        let (service, addr, zone) = (&self.service, self.addr, &self.zone);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1765065600000}}"
        )
    }

    /// Sets whether it fails a part of the requests that it has run, with status 503 and without saying
    /// that it did not run them.
    pub fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Ends the replica with all its connections.
    pub fn end(&self) {
        let connections = self.lock_connections().take();
        for connection in connections.into_iter().flatten() {
            let _closed = connection.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which drops its listener.
        let _woken = TcpStream::connect(self.addr);
    }

    /// Keeps a connection to close it at the end; returns whether the replica still runs.
    fn keep(&self, stream: &TcpStream) -> bool {
        let mut connections = self.lock_connections();
        let Some(connections) = connections.as_mut() else {
            return false;
        };
        connections.extend(stream.try_clone());
        true
    }

    fn lock_connections(&self) -> MutexGuard<'_, Option<Vec<TcpStream>>> {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _unset = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        let mut stream = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.answer(&request, &mut stream).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, to: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("attempt-id").unwrap_or_default();
        if request.header("expect-instance") != Some(&self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
                 Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return to.write_all(head.as_bytes());
        }
        let run = Run { id: id.to_owned() };
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        let number = runs.len();
        drop(runs);
        let length = match self.answer {
            Answer::Body(length) => length,
            Answer::After(work, length) => {
                thread::sleep(work);
                length
            }
        };
        let fails = self.is_failing.load(Ordering::Relaxed) && number % FAILURE_PERIOD < FAILURES;
        let (status, length) = if fails {
            ("503 Service Unavailable", 0)
        } else {
            ("200 OK", length)
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nResponse-Seal: {}\r\n\
             Content-Length: {length}\r\n\r\n",
            self.id
        );
        to.write_all(head.as_bytes())?;
        to.write_all(&vec![b'x'; length])
    }
}
