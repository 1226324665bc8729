//! Entries of another writer under `servers`, whose names have a space, and a restart of all processes.

use std::process::ExitCode;
use std::time::Duration;

use review_standins::client::Clients;
use review_standins::record::Record;
use review_standins::site;
use review_standins::site::Server;
use review_standins::store::Store;
use serde_json::json;

/// Entries of the other writer; a page of the store holds about 500 entries.
const FOREIGN_ENTRIES: u32 = 600;

/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which requests are counted after it.
const COUNTED: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    let dir = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let separator = std::env::var("SEPARATOR").unwrap_or_else(|_| " ".to_owned());
    let record = Record::create(&dir);
    let store = Store::start(&record).await;
    store.put("config", "main", site::config(json!([])));
    let mut servers = Vec::new();
    for n in 0..3 {
        servers.push(Server::start(&store, &format!("i-1{n}"), "v1", n).await);
    }
    let Some(mut entries) = site::start_entries(&store, 3, &record).await else {
        record.say("the entries are not ready in time");
        return ExitCode::from(2);
    };
    let clients = Clients::new(&record);
    let end = record.now() + Duration::from_secs(50);
    for entry in &entries {
        let load = clients.clone().load(
            entry.name(),
            entry.program.callers(),
            String::new(),
            Duration::from_millis(100),
            end,
        );
        tokio::spawn(load);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    if has_trouble {
        record.line("trouble: entries of another writer, with fields missing");
        for n in 0..FOREIGN_ENTRIES {
            let name = format!("old{separator}replica{separator}{n:03}");
            store.put("servers", &name, json!({"service": 7}));
        }
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let killed_at = record.now();
    record.line("final fault: all processes are killed");
    for entry in &mut entries {
        if entry.program.signal("KILL").await.is_err() || entry.program.wait().await.is_err() {
            return ExitCode::from(2);
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for entry in &mut entries {
        if entry.program.restart().is_err() {
            return ExitCode::from(2);
        }
    }
    let back_at = record.now();
    record.line("all processes run again");
    tokio::time::sleep(RECOVERY + COUNTED + Duration::from_secs(3)).await;

    let share = |from: Duration, until: Duration| {
        let exchanges = clients.exchanges();
        let sent: Vec<_> = exchanges
            .iter()
            .filter(|e| e.sent >= from && e.sent < until)
            .collect();
        let served = sent.iter().filter(|e| e.status == 200).count();
        (served, sent.len())
    };
    let (served_before, sent_before) = share(Duration::ZERO, killed_at);
    let from = back_at + RECOVERY;
    let (served, sent) = share(from, from + COUNTED);
    for server in &servers {
        record.line(format!(
            "runs at {}: {}",
            server.id,
            server.replica.runs().len()
        ));
    }
    for entry in &entries {
        for line in entry
            .program
            .log()
            .iter()
            .filter(|l| l.contains("store call failed"))
        {
            record.line(format!("log of {}: {line}", entry.name()));
        }
    }
    record.say(format!(
        "before the fault: {served_before} of {sent_before} served; later than recoveryS after it: \
         {served} of {sent} served; writes by processes: {}",
        store.writes().0
    ));
    if sent < 100 || served_before * 4 < sent_before {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(served * 4 < sent))
}
