//! Another writer writes the entry of a replica again that has left, with fields missing.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::CONFIG;
use super::ORDERS;
use super::SMALL;
use super::order;
use crate::Setting;
use crate::Verdict;
use crate::client::Client;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::store::Store;

/// Clients, and the pause between two requests of one.
const CLIENTS: usize = 6;
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Time that an order takes at a replica.
const WORK: Duration = Duration::from_millis(60);

/// Time before the replica leaves, above `contactMs`.
const CALM: Duration = Duration::from_secs(4);

/// Time from its leaving to the other writer's entry.
const REWRITE_DELAY: Duration = Duration::from_millis(500);

/// Time from its leaving to its end: `drainMs` and some seconds.
const SERVES_ON: Duration = Duration::from_secs(6);

/// Time after its end.
const AFTER_END: Duration = Duration::from_secs(3);

/// A request of a client.
struct Sent {
    id: String,
    at: Instant,
    status: Option<u16>,
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let store = Store::start(100)?;
    let answer = Answer::After(WORK, 800);
    let stays = Replica::start("i-stays", "shop", "a", answer)?;
    let leaves = Replica::start("i-leaves", "shop", "a", answer)?;
    for replica in [&stays, &leaves] {
        store.put("servers", &replica.id, &replica.announcement());
    }
    store.put(CONFIG.0, CONFIG.1, &ORDERS.to_json());
    let entry = setting.fleet.start("edge-a-1", "a", store.addr(), SMALL)?;
    let is_over = AtomicBool::new(false);
    let (left_at, sent) = thread::scope(|scope| {
        let is_over = &is_over;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || send_orders(entry.callers, client, is_over)))
            .collect();
        thread::sleep(CALM);
        store.delete("servers", &leaves.id);
        let left_at = Instant::now();
        setting
            .record
            .line("the entry of i-leaves is removed, it serves on for 6 s");
        thread::sleep(REWRITE_DELAY);
        if setting.has_trouble {
            let addr = leaves.addr;
            let spec = format!(
                "{{\"service\":\"shop\",\"address\":\"{addr}\",\"zone\":\"a\",\"version\":\"v1\",\
                 \"slots\":6,\"state\":\"ready\"}}"
            );
            store.put("servers", &leaves.id, &spec);
            setting
                .record
                .line("another writer writes servers/i-leaves without coldLeftMs, seq and born");
        }
        thread::sleep(SERVES_ON.saturating_sub(left_at.elapsed()));
        leaves.end();
        setting.record.line("i-leaves ends");
        thread::sleep(AFTER_END);
        is_over.store(true, Ordering::Relaxed);
        let sent = clients
            .into_iter()
            .flat_map(|client| client.join().unwrap_or_default());
        (left_at, sent.collect::<Vec<Sent>>())
    });
    let bound = left_at + Duration::from_millis(u64::from(SMALL.drain_ms));
    let runs = leaves.runs();
    let mut late = 0;
    for request in sent.iter().filter(|request| request.at > bound) {
        if runs.iter().any(|run| run.id == request.id) {
            late += 1;
            let ms = request.at.duration_since(left_at).as_millis();
            let (id, status) = (&request.id, request.status);
            let line = format!("{id}, sent {ms} ms after the removal, ran at i-leaves: {status:?}");
            setting.record.line(&line);
        }
    }
    let lost = sent
        .iter()
        .filter(|request| request.status != Some(200))
        .count();
    let all = sent.len();
    setting.record.line(&format!(
        "{late} of {all} requests reached i-leaves too late, {lost} not served"
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends orders one after the other, on a new connection when the one before was closed.
fn send_orders(callers: SocketAddr, client_number: usize, is_over: &AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut kept = None;
    while !is_over.load(Ordering::Relaxed) {
        let Some(mut client) = kept.take().or_else(|| Client::connect(callers).ok()) else {
            thread::sleep(REQUEST_PAUSE);
            continue;
        };
        let id = format!("{client_number}-{}", sent.len());
        let at = Instant::now();
        let is_sent = client.send(&order(&id, 2_500, "")).is_ok();
        let outcome = client.receive(None);
        let status = outcome.status.filter(|_| is_sent && outcome.is_complete);
        sent.push(Sent { id, at, status });
        kept = status.is_some().then_some(client);
        thread::sleep(REQUEST_PAUSE);
    }
    sent
}
