//! The operator orders the next version after a bad one was rolled back, whose replicas still run.

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
use crate::replica::Failure;
use crate::replica::Replica;
use crate::replica::State;
use crate::store::Store;

/// Clients of each entry, and the pause between two requests of one.
const CLIENTS: usize = 7;
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Time that an order takes at a replica.
const WORK: Duration = Duration::from_millis(30);

/// How the bad version fails.
const FAILURE: Failure = Failure {
    status: "500 Internal Server Error",
    in_ten: 3,
};

/// Time before the first order, above `contactMs`.
const CALM: Duration = Duration::from_secs(4);

/// Duration of an order.
const DURATION: Duration = Duration::from_secs(12);

/// Time from the roll-back to the next order.
const NEXT_ORDER_DELAY: Duration = Duration::from_millis(500);

/// Time from the roll-back to the draining of the rolled-back replicas.
const DRAIN_DELAY: Duration = Duration::from_secs(8);

/// Pause between two looks of the operator at the status.
const STATUS_POLL: Duration = Duration::from_millis(20);

/// The bounds of the settings.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
const BAD_ANSWERS: usize = 50;

/// A request of a client.
struct Sent {
    id: String,
    at: Instant,
    status: Option<u16>,
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let store = Store::start(100)?;
    let start = |version: &str| -> Result<Vec<Replica>, String> {
        let zones = ["a", "b", "c"].into_iter();
        let started = zones.map(|zone| {
            let id = format!("i-{version}-{zone}");
            let answer = Answer::After(WORK, 800);
            let replica = Replica::start_version(&id, "shop", zone, version, answer)?;
            Ok(replica)
        });
        started.collect()
    };
    let announce = |replicas: &[Replica], state: State| {
        for replica in replicas {
            store.put("servers", &replica.id, &replica.announcement_as(state));
        }
    };
    let first = start("v1")?;
    announce(&first, State::Ready);
    store.put(CONFIG.0, CONFIG.1, &ORDERS.to_json());
    let mut entries = Vec::new();
    for zone in ["a", "b", "c"] {
        let name = format!("edge-{zone}-1");
        entries.push(setting.fleet.start(&name, zone, store.addr(), SMALL)?);
    }
    let bad = start("v2")?;
    for replica in &bad {
        replica.set_failure(Some(FAILURE));
    }
    let next = start("v3")?;
    let is_over = AtomicBool::new(false);
    let (ordered_at, sent) = thread::scope(|scope| -> Result<_, String> {
        let is_over = &is_over;
        let clients = entries.iter().flat_map(|entry| {
            (0..CLIENTS).map(move |client| {
                let name = format!("{}-{client}", entry.name);
                scope.spawn(move || send_orders(entry.callers, &name, is_over))
            })
        });
        let clients: Vec<_> = clients.collect();
        thread::sleep(CALM);
        announce(&bad, State::Ready);
        store.put("rollouts", "shop", &order_of("v2"));
        let ordered_at = Instant::now();
        setting
            .record
            .line("v2 ordered, half of its answers are 500");
        while !store.status("rollouts", "shop").contains("rolled_back") {
            if ordered_at.elapsed() > DURATION {
                is_over.store(true, Ordering::Relaxed);
                return Err("v2 was not rolled back".to_owned());
            }
            thread::sleep(STATUS_POLL);
        }
        let rolled_back_at = Instant::now();
        setting.record.line("v2 rolled_back");
        thread::sleep(NEXT_ORDER_DELAY);
        if setting.has_trouble {
            announce(&next, State::Ready);
            store.put("rollouts", "shop", &order_of("v3"));
            setting.record.line("v3 ordered");
        }
        thread::sleep(DRAIN_DELAY.saturating_sub(rolled_back_at.elapsed()));
        announce(&bad, State::Draining);
        setting.record.line("the replicas of v2 report draining");
        thread::sleep((DURATION + CALM).saturating_sub(ordered_at.elapsed()));
        is_over.store(true, Ordering::Relaxed);
        let sent = clients
            .into_iter()
            .flat_map(|client| client.join().unwrap_or_default());
        Ok((ordered_at, sent.collect::<Vec<Sent>>()))
    })?;
    let runs: Vec<_> = bad.iter().flat_map(Replica::runs).collect();
    let is_run_by_bad = |request: &&Sent| runs.iter().any(|run| run.id == request.id);
    let deadline = ordered_at + DURATION;
    let in_time = |request: &&Sent| request.at >= ordered_at && request.at <= deadline;
    let all = sent.iter().filter(in_time).count();
    let exposed = sent.iter().filter(in_time).filter(is_run_by_bad).count();
    let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    setting.record.line(&format!(
        "{exposed} of {all} requests ran at v2, {allowed:.0} allowed"
    ));
    let mut failed: Vec<_> = sent.iter().filter(|r| r.status == Some(500)).collect();
    failed.sort_by_key(|request| request.at);
    let late = failed.get(BAD_ANSWERS - 1).map_or(0, |last| {
        let bound = last.at + WORK + ROLLBACK_TIME;
        sent.iter()
            .filter(|r| r.at > bound)
            .filter(is_run_by_bad)
            .count()
    });
    let bad_answers = failed.len();
    let line = format!("{bad_answers} bad answers, {late} requests later than 5 s after the 50th");
    setting.record.line(&line);
    Ok(if exposed as f64 > allowed || late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns an order to move the service to a version.
fn order_of(version: &str) -> String {
    let seconds = DURATION.as_secs();
    format!("{{\"service\":\"shop\",\"target\":\"{version}\",\"durationS\":{seconds}}}")
}

/// Sends orders one after the other, on a new connection when the one before was closed.
fn send_orders(callers: SocketAddr, name: &str, is_over: &AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut kept = None;
    while !is_over.load(Ordering::Relaxed) {
        let Some(mut client) = kept.take().or_else(|| Client::connect(callers).ok()) else {
            thread::sleep(REQUEST_PAUSE);
            continue;
        };
        let id = format!("{name}-{}", sent.len());
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
