//! Large entries of another writer among those of the replicas.

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
use crate::entry::Entry;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::store::Store;

/// Number of the other writer's entries.
const ODD_ENTRIES: usize = 3;

/// Limit of the platform for an object.
const VALUE_BYTES: usize = 1_048_576;

/// Part of an object that is left for its metadata.
const METADATA_BYTES: usize = 512;

/// Time before and after the other writer writes.
const CALM: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(40);

/// Pause between two looks of the platform at a process's memory.
const MEMORY_POLL: Duration = Duration::from_millis(5);

/// Pause before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Clients of each entry, and the pause between two requests of one.
const CLIENTS: usize = 4;
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Time that an order takes at a replica.
const WORK: Duration = Duration::from_millis(60);

/// Machines on which processes end by themselves, and how often on each, at which the rule is broken.
const MIN_MACHINES: usize = 2;
const MIN_ENDS: u32 = 3;

/// Requests that are passed on from kept connections and not answered, above which the rule is broken.
const ALLOWED_LOST: usize = 3;

/// Requests of one client.
#[derive(Default)]
struct Requests {
    sent: usize,
    served: usize,
    /// Requests on a connection that was closed without an answer.
    unanswered: Vec<String>,
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let store = Store::start(100)?;
    let mut replicas = Vec::new();
    for (index, zone) in ["a", "b", "c"].into_iter().enumerate() {
        let answer = Answer::After(WORK, 800);
        let replica = Replica::start(&format!("i-{index}"), "shop", zone, answer)?;
        store.put("servers", &replica.id, &replica.announcement());
        replicas.push(replica);
    }
    store.put(CONFIG.0, CONFIG.1, &ORDERS.to_json());
    let mut entries = Vec::new();
    for zone in ["a", "b", "c"] {
        let name = format!("edge-{zone}-1");
        entries.push(setting.fleet.start(&name, zone, store.addr(), SMALL)?);
    }
    let is_over = AtomicBool::new(false);
    let (ends, requests): (Vec<u32>, Vec<Requests>) = thread::scope(|scope| {
        let is_over = &is_over;
        let clients = entries.iter().flat_map(|entry| {
            (0..CLIENTS).map(move |client| {
                let name = format!("{}-{client}", entry.name);
                scope.spawn(move || send_orders(entry.callers, &name, is_over))
            })
        });
        let clients: Vec<_> = clients.collect();
        let watchers = entries
            .iter()
            .map(|entry| scope.spawn(move || limit_memory(setting, entry.clone(), is_over)));
        let watchers: Vec<_> = watchers.collect();
        thread::sleep(CALM);
        if setting.has_trouble {
            for index in 0..ODD_ENTRIES {
                let spec = odd_spec();
                let bytes = spec.len();
                store.put("servers", &format!("x-{index}"), &spec);
                let line = format!("another writer writes servers/x-{index}, {bytes} bytes");
                setting.record.line(&line);
            }
        }
        thread::sleep(WATCHED);
        is_over.store(true, Ordering::Relaxed);
        let ends = watchers
            .into_iter()
            .map(|watcher| watcher.join().unwrap_or(0));
        let requests = clients
            .into_iter()
            .map(|client| client.join().unwrap_or_default());
        (ends.collect(), requests.collect())
    });
    let sent: usize = requests.iter().map(|r| r.sent).sum();
    let served: usize = requests.iter().map(|r| r.served).sum();
    setting
        .record
        .line(&format!("{served} of {sent} requests served"));
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).collect();
    let unanswered = requests.iter().flat_map(|r| &r.unanswered);
    let lost: Vec<_> = unanswered
        .filter(|id| runs.iter().any(|run| run.id == **id))
        .collect();
    for id in &lost {
        setting.record.line(&format!(
            "{id}: ran at a replica, connection closed without an answer"
        ));
    }
    for (entry, ends) in entries.iter().zip(&ends) {
        setting
            .record
            .line(&format!("{}: {ends} processes ended", entry.name));
    }
    let machines = ends.iter().filter(|ends| **ends >= MIN_ENDS).count();
    let is_broken = lost.len() > ALLOWED_LOST || machines >= MIN_MACHINES;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns a spec without the fields of a replica, a list of samples within the limit of an object.
fn odd_spec() -> String {
    const SAMPLE: &str = "{\"v\":0}";
    let count = (VALUE_BYTES - METADATA_BYTES) / (SAMPLE.len() + 1);
    let samples = vec![SAMPLE; count].join(",");
    format!("{{\"service\":\"shop\",\"samples\":[{samples}]}}")
}

/// Sends orders one after the other on a kept connection, and on a new one when it was closed.
fn send_orders(callers: SocketAddr, name: &str, is_over: &AtomicBool) -> Requests {
    let mut requests = Requests::default();
    let mut kept = None;
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", requests.sent);
        requests.sent += 1;
        let Some(mut client) = kept.take().or_else(|| Client::connect(callers).ok()) else {
            thread::sleep(REQUEST_PAUSE);
            continue;
        };
        let is_sent = client.send(&order(&id, 2_500, "")).is_ok();
        let outcome = client.receive(None);
        if outcome.is_complete {
            requests.served += usize::from(outcome.status == Some(200));
            kept = Some(client);
        } else if is_sent {
            requests.unanswered.push(id);
        }
        thread::sleep(REQUEST_PAUSE);
    }
    requests
}

/// Does what the platform does: kills the process when it exceeds its memory, and starts it again.
/// Returns how often.
fn limit_memory(setting: &Setting, mut entry: Entry, is_over: &AtomicBool) -> u32 {
    let limit = u64::from(SMALL.memory_mb) * 1_000_000;
    let mut ends = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(MEMORY_POLL);
        let Some(peak) = setting
            .fleet
            .peak_memory(&entry)
            .filter(|peak| *peak > limit)
        else {
            continue;
        };
        setting.fleet.kill(&entry);
        ends += 1;
        let megabytes = peak / 1_000_000;
        let name = entry.name.clone();
        setting
            .record
            .line(&format!("{name} has taken {megabytes} MB and is killed"));
        let started = Instant::now();
        thread::sleep(RESTART_DELAY);
        if let Err(e) = setting.fleet.run(&mut entry) {
            setting.record.line(&format!("{name} does not start: {e}"));
            return ends;
        }
        let delay = started.elapsed().as_millis();
        setting
            .record
            .line(&format!("{name} starts again after {delay} ms"));
    }
    ends
}
