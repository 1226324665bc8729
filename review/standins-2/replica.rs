//! Stand-in for a replica.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
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

/// How a replica fails a part of the requests that it has run.
#[derive(Clone, Copy)]
pub struct Failure {
    /// The status, with its reason.
    pub status: &'static str,
    /// How many requests in ten.
    pub in_ten: usize,
}

/// State of a replica in its announcement.
#[derive(Clone, Copy)]
pub enum State {
    Ready,
    Draining,
}

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
    version: String,
    answer: Answer,
    runs: Arc<Mutex<Vec<Run>>>,
    failure: Arc<Mutex<Option<Failure>>>,
}

impl Replica {
    /// Starts a replica of version v1.
    pub fn start(id: &str, service: &str, zone: &str, answer: Answer) -> Result<Self, String> {
        Self::start_version(id, service, zone, "v1", answer)
    }

    /// Starts a replica.
    pub fn start_version(
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        answer: Answer,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let replica = Self {
            id: id.to_owned(),
            addr: listener.local_addr().map_err(|e| e.to_string())?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            answer,
            runs: Arc::default(),
            failure: Arc::default(),
        };
        let accepting = replica.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let replica = accepting.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        Ok(replica)
    }

    /// Returns its announcement as a ready replica.
    pub fn announcement(&self) -> String {
        self.announcement_as(State::Ready)
    }

    /// Returns its announcement.
    pub fn announcement_as(&self, state: State) -> String {
        let (service, addr, zone) = (&self.service, self.addr, &self.zone);
        let version = &self.version;
        let state = match state {
            State::Ready => "ready",
            State::Draining => "draining",
        };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\
             \"seq\":1,\"born\":1765065600000}}"
        )
    }

    /// Sets how it fails a part of the requests that it has run. Such an answer doesn't say that the
    /// request has not run.
    pub fn set_failure(&self, failure: Option<Failure>) {
        *self.lock_failure() = failure;
    }

    fn lock_failure(&self) -> MutexGuard<'_, Option<Failure>> {
        self.failure.lock().unwrap_or_else(PoisonError::into_inner)
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
        let failure = self
            .lock_failure()
            .filter(|failure| number % 10 < failure.in_ten);
        let (status, length) = match failure {
            Some(failure) => (failure.status, 0),
            None => ("200 OK", length),
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
