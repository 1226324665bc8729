//! Case 13: the open connections to the store go silent, and the operator changes the configuration.

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

/// Bounds of the deployment, in seconds: `contactMs` and `configApplyMs`.
const CONTACT_S: f64 = 3.0;
const CONFIG_APPLY_S: f64 = 2.0;

/// Added to both bounds, for the clock of this script.
const MARGIN_S: f64 = 0.1;

/// Returns a configuration whose route goes to `service`.
fn config(version: u32, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-quotes","host":"shop.example","pathPrefix":"/quotes/","routeKind":"idempotent","timeoutMs":800,"latencyGoalMs":300,"priority":0,"service":"{service}","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"old-app","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}},{{"name":"new-app","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":146546,"burst":146546}}]}}"#
    )
}

pub fn run(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let store = Store::start();
    let proxy = Proxy::start(store.addr);
    store.put("config", "main", &config(7, "old-app"));
    let old = start_replicas(&store, "old-app", record);
    let new = start_replicas(&store, "new-app", record);
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
        .map(|entry| Load::start(entry.frontend(), &request(), 20.0, 4, &sent, record))
        .collect();
    std::thread::sleep(Duration::from_secs(5));

    store.put("config", "main", &config(8, "old-app"));
    record.say("version 8 acknowledged, the route stays with old-app");
    std::thread::sleep(Duration::from_millis(500));
    if setup.has_trouble {
        proxy.silence_open_connections();
        record.say("all open connections to the store go silent; new ones work");
    }
    let silent_at = record.now();
    std::thread::sleep(Duration::from_millis(100));
    store.put("config", "main", &config(9, "new-app"));
    let acknowledged_at = record.now();
    record.say("version 9 acknowledged, the route goes to new-app");
    std::thread::sleep(Duration::from_secs(9));
    for load in loads {
        load.stop();
    }
    if entries.iter_mut().any(Entry::has_ended) {
        return Outcome::CouldNotRun("an entry has ended".to_owned());
    }
    let runs = |replicas: &[Replica]| replicas.iter().flat_map(Replica::runs).collect::<Vec<_>>();
    let from = (silent_at + CONTACT_S).max(acknowledged_at + CONFIG_APPLY_S) + MARGIN_S;
    check(
        &runs(&old),
        &runs(&new),
        from,
        &sent.lock().unwrap(),
        record,
    )
}

fn request() -> Request {
    Request {
        path: "/quotes/1".to_owned(),
        host: "shop.example".to_owned(),
        key: "key-a".to_owned(),
        deadline: Duration::from_millis(1_500),
        prompt_tokens: 100,
        output_tokens: 10,
        body_bytes: 100,
    }
}

fn start_replicas(store: &Store, service: &str, record: &Arc<Record>) -> Vec<Replica> {
    let work = Work {
        first: Duration::from_millis(30),
        events: 1,
        gap: Duration::ZERO,
        event_bytes: 800,
        spoils_one_of: 0,
        fails_one_of: 0,
        version: "v1",
    };
    let replicas: Vec<_> = ZONES
        .into_iter()
        .enumerate()
        .map(|(i, zone)| Replica::start(&format!("{service}-{i}"), service, zone, 6, work, record))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.announcement());
    }
    replicas
}

/// CONFIG: no request that was sent later than `from` is run by the old service.
fn check(
    old: &[String],
    new: &[String],
    from: f64,
    sent: &HashMap<String, f64>,
    record: &Record,
) -> Outcome {
    let later = |runs: &[String]| {
        let times = runs.iter().filter_map(|id| sent.get(id).copied());
        let mut times: Vec<_> = times.filter(|at| *at > from).collect();
        times.sort_by(f64::total_cmp);
        times
    };
    let (stale, fresh) = (later(old), later(new));
    let last = stale.last().copied().unwrap_or(from);
    let text = format!(
        "of the requests sent after {from:.3}, the old service ran {} (the last was sent at {last:.3}), the new \
         one {}",
        stale.len(),
        fresh.len()
    );
    record.say(&text);
    if fresh.is_empty() {
        return Outcome::CouldNotRun("the new service ran nothing".to_owned());
    }
    if stale.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken(format!("CONFIG: {text}"))
    }
}
