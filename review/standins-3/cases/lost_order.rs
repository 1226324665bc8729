//! Case 12: one answer of the store is lost, which tells one entry of the order of a version that is bad.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{Outcome, Setup};
use crate::client::{Load, Request, SentTimes};
use crate::entry::Entry;
use crate::record::Record;
use crate::replica::{Replica, Work};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Requests a second at each entry; the share of connections per node is uneven.
const REQUESTS_PER_SECOND: [f64; 3] = [150.0, 75.0, 75.0];

/// Bounds of the deployment: `contactMs`, `exposureShare`, `exposureSlack` and `rollbackMs`.
const CONTACT_S: f64 = 3.0;
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

const ROLLBACK_S: f64 = 5.0;

/// Bad answers after which a version has to be rolled back in time.
const BAD_ANSWERS: usize = 50;

/// Added to the bounds in seconds, for the clock of this script.
const MARGIN_S: f64 = 0.1;

/// Time from the order to its deadline.
const ORDER_S: f64 = 12.0;

/// Time from a roll-back until the replicas of the version drain: "some seconds later".
const DRAIN_AFTER_S: f64 = 8.0;

/// The bad version fails a fifth of its requests.
const FAILS_ONE_OF: usize = 5;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-charges","host":"shop.example","pathPrefix":"/charges/","routeKind":"non_idempotent","timeoutMs":800,"latencyGoalMs":300,"priority":0,"service":"app","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"app","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":146546,"burst":146546}]}"#;

pub fn run(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let old = start_replicas("v1", 0, record);
    announce(&old, &store);
    let (first_addr, loses_orders) = store.open_address();
    let mut entries = Vec::new();
    for (i, zone) in ZONES.into_iter().enumerate() {
        let name = format!("edge-{}", i + 1);
        let addr = if i == 0 { first_addr } else { store.addr };
        match Entry::start(&setup.program, &setup.temp, &name, zone, addr) {
            Ok(entry) => entries.push(entry),
            Err(e) => return Outcome::CouldNotRun(format!("{name}: {e}")),
        }
    }
    if !entries
        .iter()
        .all(|entry| entry.wait_until_ready(Duration::from_secs(10)))
    {
        return Outcome::CouldNotRun("not ready".to_owned());
    }
    let sent = SentTimes::default();
    let loads: Vec<_> = entries
        .iter()
        .zip(REQUESTS_PER_SECOND)
        .map(|(entry, per_second)| {
            Load::start(entry.frontend(), &request(), per_second, 12, &sent, record)
        })
        .collect();
    std::thread::sleep(Duration::from_secs(5));

    // Two orders in a row: the answers with the first one arrive, and the entries watch again.
    let order = |service: &str, version: &str| {
        format!("{{\"service\":\"{service}\",\"target\":\"{version}\",\"durationS\":{ORDER_S}}}")
    };
    store.put("rollouts", "other-app", &order("other-app", "v7"));
    record.say("a version of another service is ordered");
    std::thread::sleep(Duration::from_millis(500));
    loses_orders.store(setup.has_trouble, Ordering::Relaxed);
    store.put("rollouts", "app", &order("app", "v2"));
    let ordered_at = record.now();
    record.say("v2 is ordered");
    std::thread::sleep(Duration::from_millis(200));
    loses_orders.store(false, Ordering::Relaxed);
    let disrupted_until = record.now();
    let new = start_replicas("v2", FAILS_ONE_OF, record);
    announce(&new, &store);
    record.say("the replicas of v2 are announced beside those of v1");
    drain_when_rolled_back(&store, &new, record, ordered_at + ORDER_S + 1.0);
    for load in loads {
        load.stop();
    }
    let status = store.status("rollouts", "app");
    record.say(&format!("status of the order: {status:?}"));
    if entries.iter_mut().any(Entry::has_ended) {
        return Outcome::CouldNotRun("an entry has ended".to_owned());
    }
    let runs = |replicas: &[Replica]| replicas.iter().flat_map(Replica::runs).collect::<Vec<_>>();
    let mut failures: Vec<f64> = new.iter().flat_map(Replica::failures).collect();
    failures.sort_by(f64::total_cmp);
    // The core is stable again, and the machines are in touch, `contactMs` after the loss.
    let in_touch_from = if setup.has_trouble {
        disrupted_until + CONTACT_S + MARGIN_S
    } else {
        ordered_at
    };
    let times = Times {
        ordered_at,
        in_touch_from,
        failed_often_at: failures
            .into_iter()
            .filter(|at| *at >= disrupted_until)
            .nth(BAD_ANSWERS - 1),
    };
    check(
        &runs(&old),
        &runs(&new),
        &times,
        &sent.lock().unwrap(),
        record,
    )
}

fn request() -> Request {
    Request {
        path: "/charges/1".to_owned(),
        host: "shop.example".to_owned(),
        key: "key-a".to_owned(),
        deadline: Duration::from_millis(1_500),
        prompt_tokens: 100,
        output_tokens: 10,
        body_bytes: 600,
    }
}

fn start_replicas(
    version: &'static str,
    fails_one_of: usize,
    record: &Arc<Record>,
) -> Vec<Replica> {
    let work = Work {
        first: Duration::from_millis(30),
        events: 1,
        gap: Duration::ZERO,
        event_bytes: 800,
        spoils_one_of: 0,
        fails_one_of,
        version,
    };
    let replicas = ZONES
        .into_iter()
        .enumerate()
        .map(|(i, zone)| Replica::start(&format!("{version}-{i}"), "app", zone, 6, work, record));
    replicas.collect()
}

/// Lets the replicas of v2 drain some seconds after it was rolled back; returns at the time `until`.
fn drain_when_rolled_back(store: &Store, new: &[Replica], record: &Record, until: f64) {
    let mut drains_at = None;
    while record.now() < until {
        std::thread::sleep(Duration::from_millis(20));
        let status = store.status("rollouts", "app").unwrap_or_default();
        if drains_at.is_none() && status.contains("rolled_back") {
            record.say("v2 is rolled back");
            drains_at = Some(record.now() + DRAIN_AFTER_S);
        }
        if drains_at.is_some_and(|at| record.now() >= at) {
            drains_at = Some(f64::INFINITY);
            record.say("the replicas of v2 drain");
            for replica in new {
                let draining = replica.announcement().replace("\"ready\"", "\"draining\"");
                store.put("servers", &replica.id, &draining);
            }
        }
    }
}

fn announce(replicas: &[Replica], store: &Store) {
    for replica in replicas {
        store.put("servers", &replica.id, &replica.announcement());
    }
}

/// Times that the check refers to, in seconds since the start of the script.
struct Times {
    ordered_at: f64,
    /// When the machines are in touch and the core is stable again.
    in_touch_from: f64,
    /// Time of the 50th bad answer since the core was last unstable.
    failed_often_at: Option<f64>,
}

/// EXPOSURE: of all requests that reach the service between the order and its deadline, the bad version gets no
/// more than its share and the slack from machines in touch, and none that was sent later than `rollbackMs` after
/// its 50th bad answer.
fn check(
    old: &[String],
    new: &[String],
    times: &Times,
    sent: &HashMap<String, f64>,
    record: &Record,
) -> Outcome {
    let deadline = times.ordered_at + ORDER_S;
    let count = |ids: &[String], from: f64, until: f64| {
        let sent_at = ids.iter().filter_map(|id| sent.get(id));
        sent_at.filter(|at| **at >= from && **at < until).count()
    };
    let all = count(old, times.ordered_at, deadline) + count(new, times.ordered_at, deadline);
    let exposed = count(new, times.in_touch_from, deadline);
    let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    let late = times.failed_often_at.map_or(0, |at| {
        let from = (at + ROLLBACK_S + MARGIN_S).max(times.in_touch_from);
        count(new, from, f64::INFINITY)
    });
    let text = format!(
        "of {all} requests between the order and its deadline, v2 got {exposed} from machines in touch, {allowed:.0} \
         are allowed; later than rollbackMs after its 50th bad answer it got {late}, none is allowed"
    );
    record.say(&text);
    if exposed as f64 > allowed || late > 0 {
        Outcome::Broken(format!("EXPOSURE: {text}"))
    } else if new.is_empty() {
        Outcome::CouldNotRun("v2 ran nothing".to_owned())
    } else {
        Outcome::Held
    }
}
