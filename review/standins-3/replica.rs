//! Stand-in for a replica that works as the pages say: slots, a queue, refusals, streams.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{Message, read_message, write_message};
use crate::record::Record;
use crate::socket;

/// How the replica answers.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Time until the answer begins.
    pub first: Duration,
    /// Events of a stream.
    pub events: usize,
    /// Time between two events.
    pub gap: Duration,
    /// Bytes of an event.
    pub event_bytes: usize,
    /// Spoils one of so many answers; 0 spoils none.
    pub spoils_one_of: usize,
    /// Fails one of so many requests with 500; 0 fails none.
    pub fails_one_of: usize,
    /// Version of its software.
    pub version: &'static str,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// Stand-in replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    zone: String,
    service: String,
    slots: usize,
    queue: usize,
    work: Work,
    load: Arc<(Mutex<Load>, Condvar)>,
    runs: Arc<Mutex<Vec<String>>>,
    failures: Arc<Mutex<Vec<f64>>>,
    record: Arc<Record>,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        work: Work,
        record: &Arc<Record>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let replica = Self {
            id: id.to_owned(),
            addr: listener.local_addr().unwrap(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            slots,
            queue: 30,
            work,
            load: Arc::default(),
            runs: Arc::default(),
            failures: Arc::default(),
            record: Arc::clone(record),
        };
        let served = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = served.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Returns its entry in the store.
    pub fn announcement(&self) -> String {
        let Self {
            addr,
            zone,
            service,
            slots,
            ..
        } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"{}\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\
             \"seq\":1,\"born\":1700000000000}}",
            self.work.version
        )
    }

    /// Returns the ids of the requests that it began to run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the times of its failures, in seconds since the start of the script.
    pub fn failures(&self) -> Vec<f64> {
        self.failures.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _set = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut from) {
            if !self.answer(&request, &mut to) {
                return;
            }
        }
    }

    /// Answers one request; returns whether the connection stays open.
    fn answer(&self, request: &Message, to: &mut TcpStream) -> bool {
        let id = request.header("attempt-id").unwrap_or_default();
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return self.refuse(id, 421, to);
        }
        if !self.take_slot() {
            return self.refuse(id, 503, to);
        }
        self.record.add(&format!("replica {} runs {id}", self.id));
        self.runs.lock().unwrap().push(id.to_owned());
        let is_written = self.write_answer(request, id, to).is_ok();
        self.free_slot();
        let end = if is_written { "answered" } else { "broke off" };
        self.record.add(&format!("replica {} {end} {id}", self.id));
        is_written
    }

    fn refuse(&self, id: &str, status: u16, to: &mut TcpStream) -> bool {
        self.record
            .add(&format!("replica {} refused {id} with {status}", self.id));
        let start_line = format!("HTTP/1.1 {status} x");
        let headers = [
            ("Attempt-Id", id),
            ("Not-Executed", "1"),
            ("Instance-Id", &*self.id),
        ];
        write_message(to, &start_line, &headers, b"").is_ok()
    }

    fn write_answer(&self, request: &Message, id: &str, to: &mut TcpStream) -> std::io::Result<()> {
        std::thread::sleep(self.work.first);
        if self.is_one_of(self.work.fails_one_of) {
            self.failures.lock().unwrap().push(self.record.now());
            let seal = format!("{}.{id}", self.id);
            let headers = [("Attempt-Id", id), ("Response-Seal", &*seal)];
            return write_message(to, "HTTP/1.1 500 x", &headers, b"");
        }
        if self.is_one_of(self.work.spoils_one_of) {
            return self.write_spoiled(id, to);
        }
        let load = format!("{},0,{}", self.load.0.lock().unwrap().running, self.slots);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: {}.{id}\r\n\
             Instance-Load: {load}\r\nKeep-Alive: timeout=5\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        to.write_all(head.as_bytes())?;
        let after = request
            .header("last-event-id")
            .and_then(|last| last.parse().ok());
        for event in after.unwrap_or(0) + 1..=self.work.events {
            let text = event_text(event, self.work.event_bytes);
            to.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            std::thread::sleep(self.work.gap);
        }
        to.write_all(b"0\r\n\r\n")
    }

    fn is_one_of(&self, n: usize) -> bool {
        n > 0 && self.runs.lock().unwrap().len().is_multiple_of(n)
    }

    /// Writes half of an answer without a length, as servers of HTTP/1.0 do, and resets the connection.
    fn write_spoiled(&self, id: &str, to: &mut TcpStream) -> std::io::Result<()> {
        self.record.add(&format!(
            "replica {} breaks off its answer to {id}",
            self.id
        ));
        let text = event_text(1, self.work.event_bytes);
        let half = &text[..text.len() / 2];
        let seal = format!("{}.{id}", self.id);
        let head = format!("HTTP/1.0 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: {seal}\r\n\r\n");
        to.write_all((head + half).as_bytes())?;
        // The bytes have arrived before the reset.
        std::thread::sleep(Duration::from_millis(100));
        socket::reset_on_close(to)?;
        Err(std::io::ErrorKind::ConnectionReset.into())
    }

    /// Waits for a slot; returns whether there was room in the queue.
    fn take_slot(&self) -> bool {
        let (load, freed) = &*self.load;
        let mut load = load.lock().unwrap();
        if load.running >= self.slots && load.waiting >= self.queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.slots {
            load = freed.wait(load).unwrap();
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        let (load, freed) = &*self.load;
        load.lock().unwrap().running -= 1;
        freed.notify_one();
    }
}

/// Returns one event, padded to `bytes`.
pub fn event_text(event: usize, bytes: usize) -> String {
    let text = format!("id: {event}\ndata: piece {event} ");
    let padding = ".".repeat(bytes.saturating_sub(text.len() + 2));
    format!("{text}{padding}\n\n")
}
