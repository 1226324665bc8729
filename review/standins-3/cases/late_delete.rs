//! Case 12: entries are stopped and started in turn while some answers of the store are lost.
//!
//! A process that stops deletes its announcement. Where the answer is lost, the store deletes it some
//! seconds later, when the next process of the entry has announced itself already.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Outcome, Setup};
use crate::client::{Load, Request, SentTimes};
use crate::entry::{Entry, SIGTERM};
use crate::record::Record;
use crate::replica::{Replica, Run, Work};
use crate::store::{Fate, Store};

const ZONES: [&str; 4] = ["zone-a", "zone-a", "zone-b", "zone-c"];

/// Quota of the tenant, as in the example of a configuration for this site.
const TOKENS_PER_SECOND: f64 = 146_546.0;
const BURST: f64 = 146_546.0;

/// Bounds of the deployment.
const WINDOW_S: f64 = 8.0;
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 190_000.0;

/// Tokens of a request: the mean of tabla-boceto, 3,720 in and 40 events of 3.
const PROMPT_TOKENS: u64 = 3_720;
const OUTPUT_TOKENS: u64 = 120;

/// Time for which answers of the store are lost; the site's own days use 4.5 s.
const LOSS_TIME: Duration = Duration::from_millis(4_500);

/// Time after which a write whose answer was lost is done: "1 to 6 s later".
const LATE_BY: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-drafts","host":"shop.example","pathPrefix":"/drafts/","routeKind":"streaming","timeoutMs":12000,"latencyGoalMs":800,"priority":0,"service":"drafts","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":200}],"services":[{"name":"drafts","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":146546,"burst":146546}]}"#;

pub fn run(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let replicas = start_replicas(&store, record);
    let mut entries = Vec::new();
    for (i, zone) in ZONES.into_iter().enumerate() {
        let name = format!("edge-{}", i + 1);
        match Entry::start(&setup.program, &setup.temp, &name, zone, store.addr) {
            Ok(entry) => entries.push(entry),
            Err(e) => return Outcome::CouldNotRun(format!("{name}: {e}")),
        }
    }
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(10))) {
        return Outcome::CouldNotRun("not ready".to_owned());
    }
    record.say("all entries are ready");
    let sent = SentTimes::default();
    let light = start_load(&entries, 1.0, 1, &sent, record);
    std::thread::sleep(Duration::from_secs(3));

    if setup.has_trouble {
        lose_answers(&store, record);
    }
    if let Err(e) = restart_in_turn(&mut entries, record) {
        return Outcome::CouldNotRun(e);
    }
    // Long enough for the entries to give up those that are not announced any more.
    std::thread::sleep(Duration::from_secs(28));
    record.say(&format!("announced: {:?}", store.names("entries")));
    for load in light {
        load.stop();
    }

    record.say("one tenant sends several times its quota");
    let heavy = start_load(&entries, 60.0, 8, &sent, record);
    std::thread::sleep(Duration::from_secs(12));
    for load in heavy {
        load.stop();
    }
    if entries.iter_mut().any(Entry::has_ended) {
        return Outcome::CouldNotRun("an entry has ended".to_owned());
    }
    let runs = replicas.iter().flat_map(Replica::runs).collect();
    check(runs, &sent.lock().unwrap(), record)
}

fn start_replicas(store: &Store, record: &Arc<Record>) -> Vec<Replica> {
    let work = Work {
        first: Duration::from_millis(20),
        events: 3,
        gap: Duration::from_millis(5),
        event_bytes: 45,
        spoils_one_of: 0,
    };
    let zones = ["zone-a", "zone-b", "zone-c"];
    let replicas: Vec<_> = (0..6)
        .map(|i| Replica::start(&format!("i-{i}"), "drafts", zones[i % 3], 5, work, record))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.announcement());
    }
    replicas
}

fn start_load(
    entries: &[Entry],
    per_second: f64,
    connections: u32,
    sent: &SentTimes,
    record: &Arc<Record>,
) -> Vec<Load> {
    let request = Request {
        path: "/drafts/1".to_owned(),
        host: "shop.example".to_owned(),
        key: "key-a".to_owned(),
        deadline: Duration::from_secs(12),
        prompt_tokens: PROMPT_TOKENS,
        output_tokens: OUTPUT_TOKENS,
        body_bytes: 600,
    };
    let loads = entries.iter().map(|entry| {
        Load::start(entry.frontend(), &request, per_second, connections, sent, record)
    });
    loads.collect()
}

/// Loses the answers to every second deletion for [`LOSS_TIME`] after the first one: 2 of the 12 writes of
/// the entries, which is less than the share of 0.35 of the site's days.
fn lose_answers(store: &Store, record: &Arc<Record>) {
    let record = Arc::clone(record);
    let began: Mutex<Option<Instant>> = Mutex::new(None);
    let mut deletions = 0;
    store.set_fates(Box::new(move |method, path| {
        if method != "DELETE" {
            return Fate::Answered;
        }
        let began = *began.lock().unwrap().get_or_insert_with(Instant::now);
        deletions += 1;
        if deletions % 2 == 0 && began.elapsed() <= LOSS_TIME {
            record.say(&format!("store: {method} {path} is done {LATE_BY:?} later, not answered"));
            return Fate::Late(LATE_BY);
        }
        record.say(&format!("store: {method} {path} is done and answered"));
        Fate::Answered
    }));
}

/// Stops the entries one after the other, 1 s apart, and starts each again when it has ended.
fn restart_in_turn(entries: &mut [Entry], record: &Arc<Record>) -> Result<(), String> {
    std::thread::scope(|scope| {
        let restarts: Vec<_> = entries
            .iter_mut()
            .enumerate()
            .map(|(i, entry)| {
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_secs(i as u64));
                    record.say(&format!("SIGTERM to {}", entry.name));
                    entry.signal(SIGTERM);
                    if !entry.wait(Duration::from_secs(9)) {
                        return Err(format!("{} did not stop", entry.name));
                    }
                    std::thread::sleep(Duration::from_millis(300));
                    entry.restart().map_err(|e| e.to_string())?;
                    record.say(&format!("{} starts again, process {}", entry.name, entry.pid()));
                    let is_ready = entry.wait_until_ready(Duration::from_secs(10));
                    is_ready.then_some(()).ok_or_else(|| format!("{} is not ready", entry.name))
                })
            })
            .collect();
        for restart in restarts {
            restart.join().map_err(|_| "a thread panicked".to_owned())??;
        }
        Ok(())
    })
}

/// QUOTA: in no window more tokens are both sent and run than the bound allows.
fn check(mut runs: Vec<Run>, sent: &HashMap<String, f64>, record: &Record) -> Outcome {
    let allowed = (TOKENS_PER_SECOND * WINDOW_S + BURST) * (1.0 + OVERRUN) + SLACK;
    runs.retain(|run| run.tenant == "tenant-a");
    runs.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut most = (0, 0.0);
    for first in &runs {
        // Windows begin when a request was sent.
        let from = sent.get(&first.id).copied().unwrap_or(first.at);
        let in_window = |at: f64| at >= from && at < from + WINDOW_S;
        let tokens = runs
            .iter()
            .filter(|run| in_window(run.at))
            .filter(|run| sent.get(&run.id).is_some_and(|at| in_window(*at)))
            .map(|run| run.tokens)
            .sum::<u64>();
        if tokens > most.0 {
            most = (tokens, from);
        }
    }
    let text = format!(
        "{} requests ran; most tokens in {WINDOW_S} s: {} from {:.3}; allowed {allowed:.0}",
        runs.len(),
        most.0,
        most.1
    );
    record.say(&text);
    if most.0 as f64 > allowed {
        Outcome::Broken(format!("QUOTA: {text}"))
    } else {
        Outcome::Held
    }
}
