//! Case 12: the open connections to the store go silent, and the operator orders a version that is bad.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Outcome, Setup};
use crate::client::{Load, Request, SentTimes};
use crate::entry::Entry;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::replica::{Replica, Work};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Requests a second at each entry.
const REQUESTS_PER_SECOND: f64 = 40.0;

/// Bounds of the deployment: `contactMs`, `exposureShare` and `exposureSlack`.
const CONTACT_S: f64 = 3.0;
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// Added to the first bound, for the clock of this script.
const MARGIN_S: f64 = 0.1;

/// Time from the order to its deadline.
const ORDER_S: f64 = 12.0;

/// The bad version fails a fifth of its requests.
const FAILS_ONE_OF: usize = 5;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-charges","host":"shop.example","pathPrefix":"/charges/","routeKind":"non_idempotent","timeoutMs":800,"latencyGoalMs":300,"priority":0,"service":"app","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"app","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":146546,"burst":146546}]}"#;

pub fn run(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let store = Store::start();
    let proxy = Proxy::start(store.addr);
    store.put("config", "main", CONFIG);
    let old = start_replicas("v1", 0, record);
    announce(&old, &store);
    let mut entries = Vec::new();
    for (i, zone) in ZONES.into_iter().enumerate() {
        let name = format!("edge-{}", i + 1);
        match Entry::start(&setup.program, &setup.temp, &name, zone, proxy.addr) {
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
        .map(|entry| {
            Load::start(
                entry.frontend(),
                &request(),
                REQUESTS_PER_SECOND,
                8,
                &sent,
                record,
            )
        })
        .collect();
    std::thread::sleep(Duration::from_secs(5));

    if setup.has_trouble {
        proxy.silence_open_connections();
        record.say("all open connections to the store go silent; new ones work");
    }
    let silent_at = record.now();
    std::thread::sleep(Duration::from_millis(100));
    let order = format!("{{\"service\":\"app\",\"target\":\"v2\",\"durationS\":{ORDER_S}}}");
    store.put("rollouts", "app", &order);
    let ordered_at = record.now();
    record.say("v2 is ordered");
    std::thread::sleep(Duration::from_millis(200));
    let new = start_replicas("v2", FAILS_ONE_OF, record);
    announce(&new, &store);
    record.say("the replicas of v2 are announced beside those of v1");
    std::thread::sleep(Duration::from_secs_f64(ORDER_S + 1.0));
    for load in loads {
        load.stop();
    }
    let status = store.status("rollouts", "app");
    record.say(&format!("status of the order: {status:?}"));
    if entries.iter_mut().any(Entry::has_ended) {
        return Outcome::CouldNotRun("an entry has ended".to_owned());
    }
    let runs = |replicas: &[Replica]| replicas.iter().flat_map(Replica::runs).collect::<Vec<_>>();
    // The silence counts as a reset of the connections, so the machines are in touch again after `contactMs`.
    let in_touch_from = if setup.has_trouble {
        silent_at + CONTACT_S + MARGIN_S
    } else {
        ordered_at
    };
    check(
        &runs(&old),
        &runs(&new),
        ordered_at,
        in_touch_from,
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

fn announce(replicas: &[Replica], store: &Store) {
    for replica in replicas {
        store.put("servers", &replica.id, &replica.announcement());
    }
}

/// EXPOSURE: of all requests that reach the service between the order and its deadline, the bad version gets no
/// more than its share and the slack from machines in touch.
fn check(
    old: &[String],
    new: &[String],
    ordered_at: f64,
    in_touch_from: f64,
    sent: &HashMap<String, f64>,
    record: &Record,
) -> Outcome {
    let count = |runs: &[String], from: f64| {
        let times = runs.iter().filter_map(|id| sent.get(id));
        times
            .filter(|at| **at >= from && **at < ordered_at + ORDER_S)
            .count()
    };
    let all = count(old, ordered_at) + count(new, ordered_at);
    let exposed = count(new, in_touch_from.max(ordered_at));
    let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    let text = format!(
        "of {all} requests between the order and its deadline, v2 got {exposed} from machines in touch; allowed \
         {allowed:.0}"
    );
    record.say(&text);
    if exposed as f64 > allowed {
        Outcome::Broken(format!("EXPOSURE: {text}"))
    } else if new.is_empty() {
        Outcome::CouldNotRun("v2 ran nothing".to_owned())
    } else {
        Outcome::Held
    }
}
