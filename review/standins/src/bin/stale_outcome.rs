//! A second order for a service, while one entry is partitioned from the store and still reports the
//! outcome of the first order.

use std::process::ExitCode;
use std::time::Duration;

use eelgrassramp_platform_standins::Fault;
use eelgrassramp_platform_standins::LinkState;
use review_standins::client::Clients;
use review_standins::record::Record;
use review_standins::site;
use review_standins::site::Server;
use review_standins::store::Store;
use serde_json::json;

/// Duration of an order in seconds; at most 16 in the site files.
const DURATION_S: u64 = 16;

/// Time for which one entry is partitioned from the store; at most 5.5 s in the site file.
const CUT: Duration = Duration::from_millis(5_500);

/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);

const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

#[tokio::main]
async fn main() -> ExitCode {
    let dir = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::create(&dir);
    let store = Store::start(&record).await;
    store.put("config", "main", site::config(json!([])));
    let mut old = Vec::new();
    for n in 0..3 {
        old.push(Server::start(&store, &format!("i-1{n}"), "v1", n).await);
    }
    let Some(entries) = site::start_entries(&store, 3, &record).await else {
        record.say("the entries are not ready in time");
        return ExitCode::from(2);
    };
    let clients = Clients::new(&record);
    let end = record.now() + Duration::from_secs(75);
    for entry in &entries {
        let load = clients.clone().load(
            entry.name(),
            entry.program.callers(),
            String::new(),
            Duration::from_millis(50),
            end,
        );
        tokio::spawn(load);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    // The first order, to a good version.
    let mut second = Vec::new();
    for n in 0..3 {
        second.push(Server::start(&store, &format!("i-2{n}"), "v2", n).await);
    }
    let order = |target| json!({"service": "butik-app", "target": target, "durationS": DURATION_S});
    store.put("rollouts", "butik-app", order("v2"));
    record.line("operator: order v2");
    let until = record.now() + Duration::from_secs(DURATION_S + 1);
    while state_of(&store, "v2").as_deref() != Some("completed") {
        if record.now() > until {
            record.say("the first order was not completed");
            return ExitCode::from(2);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    record.line("store: v2 is completed, the old replicas stop");
    for server in &old {
        server.stop(&store);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;

    // The second order, to a version of which half of the answers are failures.
    let mut bad = Vec::new();
    for n in 0..3 {
        let server = Server::start(&store, &format!("i-3{n}"), "v3", n).await;
        server.replica.set_fault(Some((2, Fault::ServerError)));
        bad.push(server);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let cut_at = record.now();
    if has_trouble {
        entries[2].store_link.set(LinkState::Reset);
        record.line("trouble: edge-2 is partitioned from the store");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ordered_at = record.now();
    store.put("rollouts", "butik-app", order("v3"));
    record.line("operator: order v3, with PUT");
    let rest = (cut_at + CUT).saturating_sub(record.now());
    tokio::time::sleep(rest).await;
    entries[2].store_link.set(LinkState::Open);
    record.line("the partition is over");
    let deadline = ordered_at + Duration::from_secs(DURATION_S);
    tokio::time::sleep(deadline.saturating_sub(record.now())).await;
    tokio::time::sleep(Duration::from_millis(300)).await;

    // Machines in touch: edge-0 and edge-1 all the time, edge-2 from `contactMs` after the partition.
    let in_touch_from = cut_at + CUT + CONTACT;
    let is_counted = |id: &str| {
        let sent = clients.exchanges().into_iter().find(|e| e.id == id);
        sent.is_some_and(|e| {
            let is_in_touch = !id.starts_with("edge-2") || !has_trouble || e.sent >= in_touch_from;
            e.sent >= ordered_at && e.sent < deadline && is_in_touch
        })
    };
    let mut exposed = 0;
    for server in &bad {
        for run in server.replica.runs() {
            let id = run
                .request
                .header("attempt-id")
                .unwrap_or_default()
                .to_owned();
            record.line(format!("run: {id} at {} ({})", server.id, "v3"));
            exposed += u32::from(is_counted(&id));
        }
    }
    let exchanges = clients.exchanges();
    let sent = exchanges
        .iter()
        .filter(|e| e.sent >= ordered_at && e.sent < deadline);
    let (mut total, mut failed) = (0_u32, 0_u32);
    for exchange in sent {
        total += 1;
        failed += u32::from(exchange.status == 500);
    }
    let allowed = EXPOSURE_SHARE * f64::from(total) + EXPOSURE_SLACK;
    record.say(format!(
        "requests between the order and its deadline: {total}; at the bad version from machines in \
         touch: {exposed}; allowed: {allowed:.0}; answered 500: {failed}; status of the order: {:?}",
        store.object("rollouts", "butik-app").map(|(_, status)| status)
    ));
    if total < 400 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(f64::from(exposed) > allowed))
}

fn state_of(store: &Store, target: &str) -> Option<String> {
    let (_, status) = store.object("rollouts", "butik-app")?;
    let is_of_target = status["target"].as_str() == Some(target);
    is_of_target.then(|| status["state"].as_str().unwrap_or_default().to_owned())
}
