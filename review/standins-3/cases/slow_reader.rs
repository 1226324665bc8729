//! Case 13: clients read their answers slowly.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Outcome, Setup};
use crate::client::{Request, next_id};
use crate::entry::Entry;
use crate::http::{read_head, read_message};
use crate::record::Record;
use crate::replica::{Replica, Work, event_text};
use crate::socket;
use crate::store::Store;

const CLIENTS: usize = 8;

/// Size of a client's receive buffer; links of the platform have small windows.
const RECEIVE_BUFFER_BYTES: i32 = 4_096;

/// Events of an answer and their size; the site's streams have up to 400 events of up to 270 bytes.
const EVENTS: usize = 36;
const EVENT_BYTES: usize = 270;

/// What a slow client reads at a time, and the time between.
const READ_BYTES: usize = 1_024;
const READ_INTERVAL: Duration = Duration::from_millis(800);

/// Time that the clients wait for an answer, and the time-out of the route.
const DEADLINE: Duration = Duration::from_secs(12);

/// LOST allows three such answers.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-drafts","host":"shop.example","pathPrefix":"/drafts/","routeKind":"streaming","timeoutMs":12000,"latencyGoalMs":1200,"priority":0,"service":"drafts","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":200}],"services":[{"name":"drafts","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":146546,"burst":146546}]}"#;

/// How one request of one client ended.
#[derive(Debug)]
struct End {
    id: String,
    /// Whether the head of a success and the whole body arrived.
    is_complete: bool,
    detail: String,
    seconds: f64,
}

pub fn run(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let work = Work {
        first: Duration::from_millis(50),
        events: EVENTS,
        gap: Duration::from_millis(10),
        event_bytes: EVENT_BYTES,
        spoils_one_of: 0,
    };
    let replicas: Vec<_> = (0..2)
        .map(|i| Replica::start(&format!("i-{i}"), "drafts", "zone-a", 5, work, record))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.announcement());
    }
    let mut entry = match Entry::start(&setup.program, &setup.temp, "edge-1", "zone-a", store.addr) {
        Ok(entry) => entry,
        Err(e) => return Outcome::CouldNotRun(e.to_string()),
    };
    if !entry.wait_until_ready(Duration::from_secs(10)) {
        return Outcome::CouldNotRun("not ready".to_owned());
    }
    // Long enough for the entry to be in touch.
    std::thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, addr, is_slow) = (Arc::clone(record), entry.frontend(), setup.has_trouble);
            std::thread::spawn(move || client(addr, is_slow, &record))
        })
        .collect();
    let mut ends = Vec::new();
    for client in clients {
        match client.join() {
            Ok(Ok(end)) => ends.push(end),
            Ok(Err(e)) => return Outcome::CouldNotRun(format!("a client: {e}")),
            Err(_) => return Outcome::CouldNotRun("a client panicked".to_owned()),
        }
    }
    if entry.has_ended() {
        return Outcome::CouldNotRun("the entry has ended".to_owned());
    }
    check(&ends, &replicas, record)
}

/// Sends a request and reads it as fast as it comes, then another one on the same connection that it reads
/// slowly.
fn client(addr: SocketAddr, is_slow: bool, record: &Record) -> std::io::Result<End> {
    let request = Request {
        path: "/drafts/1".to_owned(),
        host: "shop.example".to_owned(),
        key: "key-a".to_owned(),
        deadline: DEADLINE,
        prompt_tokens: 1_110,
        output_tokens: 110,
        body_bytes: 600,
    };
    let mut connection = BufReader::with_capacity(READ_BYTES, socket::connect_with_receive_buffer(addr, RECEIVE_BUFFER_BYTES)?);
    let first = next_id();
    connection.get_mut().write_all(&request.to_bytes(&first))?;
    let answer = read_message(&mut connection)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    record.add(&format!("client got {} and {} bytes for {first}", answer.status(), answer.body.len()));
    if answer.status() != 200 {
        return Err(std::io::Error::other("the first answer is no success"));
    }

    let id = next_id();
    let sent_at = Instant::now();
    connection.get_mut().write_all(&request.to_bytes(&id))?;
    record.add(&format!("client sends {id} on the kept connection"));
    let interval = if is_slow { READ_INTERVAL } else { Duration::ZERO };
    let mut slow = SlowReader {
        connection,
        interval,
        bytes: 0,
    };
    let result = read_answer(&mut slow);
    let seconds = sent_at.elapsed().as_secs_f64();
    let detail = match &result {
        Ok(detail) => detail.clone(),
        Err(e) => format!("after {} bytes: {e}", slow.bytes),
    };
    record.add(&format!("client, request {id}, {seconds:.1} s: {detail}"));
    Ok(End {
        id,
        is_complete: result.is_ok_and(|detail| detail == "complete"),
        detail,
        seconds,
    })
}

fn read_answer(from: &mut SlowReader) -> std::io::Result<String> {
    let mut from = BufReader::with_capacity(READ_BYTES, from);
    let mut answer = read_head(&mut from)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    if answer.status() != 200 {
        return Ok(format!("status {}", answer.status()));
    }
    crate::http::read_body(&mut from, &mut answer)?;
    let events: Vec<_> = (1..=EVENTS).map(|n| event_text(n, EVENT_BYTES)).collect();
    let is_whole = answer.body == events.concat().into_bytes();
    Ok(if is_whole { "complete" } else { "another body" }.to_owned())
}

/// Reads at most [`READ_BYTES`] in each interval.
struct SlowReader {
    connection: BufReader<TcpStream>,
    interval: Duration,
    bytes: usize,
}

impl Read for SlowReader {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        std::thread::sleep(self.interval);
        let available = self.connection.fill_buf()?;
        let n = available.len().min(buf.len());
        buf[..n].copy_from_slice(&available[..n]);
        self.connection.consume(n);
        self.bytes += n;
        Ok(n)
    }
}

/// LOST: more than three requests on kept connections were run by sound replicas, and the connection was
/// closed before the whole answer, while the client still waited.
fn check(ends: &[End], replicas: &[Replica], record: &Record) -> Outcome {
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).collect();
    let mut lost = 0;
    for end in ends {
        let has_run = runs.iter().any(|run| run.id == end.id && run.is_complete);
        let is_in_time = end.seconds < DEADLINE.as_secs_f64();
        record.say(&format!(
            "{}: {} after {:.1} s; run to its end: {has_run}",
            end.id, end.detail, end.seconds
        ));
        if has_run && is_in_time && !end.is_complete {
            lost += 1;
        }
    }
    let text = format!("{lost} of {} answers were cut off; {ALLOWED} are allowed", ends.len());
    record.say(&text);
    if lost > ALLOWED {
        Outcome::Broken(format!("LOST: {text}"))
    } else {
        Outcome::Held
    }
}
