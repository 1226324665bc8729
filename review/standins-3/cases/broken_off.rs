//! Case 14: a replica spoils some of its answers and breaks them off.

use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Outcome, Setup};
use crate::client::{Request, connect, next_id};
use crate::entry::Entry;
use crate::http::{read_body, read_head};
use crate::record::Record;
use crate::replica::{Replica, Work, event_text};
use crate::store::Store;

const REQUESTS: usize = 240;

/// Size of an answer, as on the sheet of the site.
const ANSWER_BYTES: usize = 800;

/// One replica of two spoils 1 of 20 answers: a share of 0.5 and x = 0.05.
const SPOILS_ONE_OF: usize = 20;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-charges","host":"shop.example","pathPrefix":"/charges/","routeKind":"non_idempotent","timeoutMs":800,"latencyGoalMs":300,"priority":0,"service":"app","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"app","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":146546,"burst":146546}]}"#;

pub fn run(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let replicas: Vec<_> = (0..2)
        .map(|i| {
            let is_faulty = i == 0 && setup.has_trouble;
            let work = Work {
                first: Duration::from_millis(20),
                events: 1,
                gap: Duration::ZERO,
                event_bytes: ANSWER_BYTES,
                spoils_one_of: if is_faulty { SPOILS_ONE_OF } else { 0 },
                fails_one_of: 0,
                version: "v1",
            };
            Replica::start(&format!("i-{i}"), "app", "zone-a", 6, work, record)
        })
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.announcement());
    }
    let mut entry = match Entry::start(&setup.program, &setup.temp, "edge-1", "zone-a", store.addr)
    {
        Ok(entry) => entry,
        Err(e) => return Outcome::CouldNotRun(e.to_string()),
    };
    if !entry.wait_until_ready(Duration::from_secs(10)) {
        return Outcome::CouldNotRun("not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let (mut whole, mut short, mut failed) = (0, 0, 0);
    for _ in 0..REQUESTS {
        match send(entry.frontend(), record) {
            Ok(Answer::Whole) => whole += 1,
            Ok(Answer::ShortButComplete) => short += 1,
            Ok(Answer::Failure) | Err(_) => failed += 1,
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if entry.has_ended() {
        return Outcome::CouldNotRun("the entry has ended".to_owned());
    }
    let text = format!(
        "{whole} whole answers, {failed} failures, {short} successes with a part of the replica's body that look \
         complete"
    );
    record.say(&text);
    if short > 0 {
        Outcome::Broken(format!("MIXED: {text}"))
    } else if whole == 0 {
        Outcome::CouldNotRun("nothing was served".to_owned())
    } else {
        Outcome::Held
    }
}

enum Answer {
    Whole,
    /// A success whose end a client cannot tell from that of a whole one.
    ShortButComplete,
    Failure,
}

/// Sends a request on a new connection and reads the answer as HTTP/1.1 has it.
fn send(entry: SocketAddr, record: &Record) -> std::io::Result<Answer> {
    let request = Request {
        path: "/charges/1".to_owned(),
        host: "shop.example".to_owned(),
        key: "key-a".to_owned(),
        deadline: Duration::from_millis(1_500),
        prompt_tokens: 100,
        output_tokens: 10,
        body_bytes: 600,
    };
    let id = next_id();
    let mut connection: BufReader<_> = connect(entry)?;
    record.add(&format!("client sends {id}"));
    connection.get_mut().write_all(&request.to_bytes(&id))?;
    let mut answer = read_head(&mut connection)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let has_length = answer.header("content-length").is_some();
    let is_framed = has_length || answer.header("transfer-encoding").is_some();
    let read = if is_framed {
        read_body(&mut connection, &mut answer)
    } else {
        // Without a length the body ends with the connection; a reset is an error here.
        connection.read_to_end(&mut answer.body).map(|_| ())
    };
    record.add(&format!(
        "client got {:?}, framed: {is_framed}, {} bytes, end of the body: {read:?}, for {id}",
        answer.start_line,
        answer.body.len()
    ));
    let is_success =
        (200..300).contains(&answer.status()) && answer.header("response-seal").is_some();
    if !is_success || read.is_err() {
        return Ok(Answer::Failure);
    }
    if answer.body == event_text(1, ANSWER_BYTES).into_bytes() {
        Ok(Answer::Whole)
    } else {
        Ok(Answer::ShortButComplete)
    }
}
