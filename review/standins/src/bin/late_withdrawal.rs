//! A rolling restart while the store does the last write of each stopped process late.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use review_standins::client::Clients;
use review_standins::record::Record;
use review_standins::site;
use review_standins::site::Server;
use review_standins::store::Store;
use serde_json::json;

/// Time after which an unanswered write is done; 1 to 6 s on the pages.
const LATE: Duration = Duration::from_secs(3);

/// Pause between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time from the last late write to the load of the hot tenant.
const QUIET: Duration = Duration::from_secs(44);

/// Time for which the tenant sends many times its usual; at most 6.5 s in the site file.
const HOT: Duration = Duration::from_millis(6_500);

/// Tokens per second and burst of the tenant.
const RATE: f64 = 47_000.0;
const BURST: f64 = 47_000.0;

/// Tokens of one request.
const PROMPT_TOKENS: u32 = 3_720;
const OUTPUT_TOKENS: u32 = 120;

/// The tenant usually sends its rate divided by 1.8, now 7.5 times as much.
const DEMAND: f64 = RATE / 1.8 * 7.5;

const QUOTA_WINDOW_S: f64 = 8.0;
const QUOTA_OVERRUN: f64 = 0.1;
const QUOTA_SLACK: f64 = 190_000.0;

const ENTRIES: usize = 5;

#[tokio::main]
async fn main() -> ExitCode {
    let dir = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::create(&dir);
    let store = Store::start(&record).await;
    let tenants = json!([{"name": "hule930", "apiKeys": ["i9n73hh2b9wu3fexd9dn"], "unit": "tokens",
        "uncachedTokens": 200, "ratePerS": RATE, "burst": BURST}]);
    store.put("config", "main", site::config(tenants));
    let mut servers = Vec::new();
    for n in 0..6 {
        servers.push(Server::start(&store, &format!("i-1{n}"), "v1", n).await);
    }
    let Some(mut entries) = site::start_entries(&store, ENTRIES, &record).await else {
        record.say("the entries are not ready in time");
        return ExitCode::from(2);
    };
    tokio::time::sleep(Duration::from_secs(1)).await;

    for entry in &mut entries {
        record.line(format!("operator: SIGTERM to {}", entry.name()));
        if entry.program.signal("TERM").await.is_err() {
            return ExitCode::from(2);
        }
        if has_trouble {
            // The last write of the process, which withdraws its announcement.
            store.set_late_deletions(Some(LATE));
        }
        if entry.program.wait().await.is_err() {
            return ExitCode::from(2);
        }
        store.set_late_deletions(None);
        tokio::time::sleep(RESTART_DELAY).await;
        record.line(format!("start: {} again", entry.name()));
        if entry.program.restart().is_err() {
            return ExitCode::from(2);
        }
        let ready = site::wait_until_ready(entry.program.readiness(), Duration::from_secs(10));
        if ready.await.is_none() {
            record.say(format!("{} is not ready again", entry.name()));
            return ExitCode::from(2);
        }
    }
    tokio::time::sleep(LATE).await;
    record.say(format!(
        "announced entries after the restarts: {:?}",
        store.names("entries")
    ));
    tokio::time::sleep(QUIET).await;

    let clients = Clients::new(&record);
    let headers = format!(
        "Key: i9n73hh2b9wu3fexd9dn\r\nModel: m\r\nToken-Usage: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\n"
    );
    let tokens = f64::from(PROMPT_TOKENS + OUTPUT_TOKENS);
    let interval = Duration::from_secs_f64(tokens * ENTRIES as f64 / DEMAND);
    record.line("trouble or not: the tenant sends 7.5 times its usual");
    let begun = record.now();
    for entry in &entries {
        let load = clients.clone().load(
            entry.name(),
            entry.program.callers(),
            headers.clone(),
            interval,
            begun + HOT,
        );
        tokio::spawn(load);
    }
    tokio::time::sleep(HOT + Duration::from_secs(3)).await;

    let mut runs = BTreeMap::new();
    for server in &servers {
        for run in server.replica.runs() {
            let id = run
                .request
                .header("attempt-id")
                .unwrap_or_default()
                .to_owned();
            record.line(format!("run: {id} at {}", server.id));
            *runs.entry(id).or_insert(0_u32) += 1;
        }
    }
    // All requests were sent within one window.
    let admitted = runs.len() as f64 * tokens;
    let allowed = (RATE * QUOTA_WINDOW_S + BURST) * (1.0 + QUOTA_OVERRUN) + QUOTA_SLACK;
    let sent = clients.exchanges().len();
    let (writes, unanswered) = store.writes();
    record.say(format!(
        "requests sent: {sent} ({:.0} tokens); run: {} ({admitted:.0} tokens in one window of 8 s); \
         allowed: {allowed:.0} tokens; writes to the store: {writes}, unanswered: {unanswered}",
        sent as f64 * tokens,
        runs.len()
    ));
    if sent < 100 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(admitted > allowed))
}
