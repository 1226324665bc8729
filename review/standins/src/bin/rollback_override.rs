//! A version that was rolled back while one entry was cut off, and what that entry tells the others
//! before it reaches the store again.

use std::process::ExitCode;
use std::time::Duration;

use eelgrassramp_platform_standins::Fault;
use eelgrassramp_platform_standins::LinkState;
use review_standins::client::Clients;
use review_standins::record::Record;
use review_standins::site;
use review_standins::site::Entry;
use review_standins::site::Server;
use review_standins::store::Store;
use serde_json::json;

/// Entries, of which the last one is cut off: a share of 0.25, at most 0.3 in the site file.
const ENTRIES: usize = 4;

/// Duration of the order in seconds; at most 16 in the site files.
const DURATION_S: f64 = 10.4;

/// Time from the start of the version until it turns bad; 3 to 3.2 s in the site files.
const GOOD_FOR: Duration = Duration::from_secs(3);

/// Time from the order to the cut.
const CUT_AFTER: Duration = Duration::from_millis(3_400);

/// Length of the cut; at most 8 s in the site file.
const CUT: Duration = Duration::from_millis(4_920);

/// Time from the order to the partition of the same entry from the store, which overlaps the cut.
const STORE_CUT_AFTER: Duration = Duration::from_millis(5_600);

/// Length of the partition from the store; at most 5.5 s in the site file.
const STORE_CUT: Duration = Duration::from_millis(5_500);

/// Time after the roll-back in which the new replicas begin to drain ("some seconds later").
const DRAIN_AFTER: Duration = Duration::from_secs(8);

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
    let Some(entries) = site::start_entries(&store, ENTRIES, &record).await else {
        record.say("the entries are not ready in time");
        return ExitCode::from(2);
    };
    let clients = Clients::new(&record);
    let end = record.now() + Duration::from_secs(40);
    let cut_off = ENTRIES - 1;
    for (n, entry) in entries.iter().enumerate() {
        // The share of clients per entry is uneven.
        let per_s = if n == cut_off { 2.0 } else { 26.0 };
        let load = clients.clone().load(
            entry.name(),
            entry.program.callers(),
            String::new(),
            Duration::from_secs_f64(1.0 / per_s),
            end,
        );
        tokio::spawn(load);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;

    let mut new = Vec::new();
    for n in 0..3 {
        new.push(Server::start(&store, &format!("i-2{n}"), "v2", n).await);
    }
    let ordered_at = record.now();
    let order = json!({"service": "butik-app", "target": "v2", "durationS": DURATION_S});
    store.put("rollouts", "butik-app", order);
    record.line("operator: order v2");
    tokio::time::sleep(GOOD_FOR).await;
    record.line("half of the answers of v2 are failures from now on");
    for server in &new {
        server.replica.set_fault(Some((2, Fault::ServerError)));
    }
    let at = |after: Duration| (ordered_at + after).saturating_sub(record.now());
    tokio::time::sleep(at(CUT_AFTER)).await;
    if state_of(&store).is_some() {
        record.say("v2 was judged before the cut");
        return ExitCode::from(2);
    }
    if has_trouble {
        record.line(format!("trouble: {} is cut off", entries[cut_off].name()));
        entries[cut_off].store_link.set(LinkState::Reset);
        set_peer_links(&entries, cut_off, LinkState::Reset);
    }
    let mut rolled_back_at = None;
    while record.now() < ordered_at + CUT_AFTER + CUT {
        if rolled_back_at.is_none() && state_of(&store).as_deref() == Some("rolled_back") {
            rolled_back_at = Some(record.now());
            record.line("store: v2 is rolled back");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    record.line("the cut is over; the entry is still partitioned from the store");
    set_peer_links(&entries, cut_off, LinkState::Open);
    let store_link = entries[cut_off].store_link.clone();
    let store_cut_ends = (ordered_at + STORE_CUT_AFTER + STORE_CUT).saturating_sub(record.now());
    let ending = record.clone();
    tokio::spawn(async move {
        tokio::time::sleep(store_cut_ends).await;
        ending.line("the partition from the store is over");
        store_link.set(LinkState::Open);
    });
    let Some(rolled_back_at) = rolled_back_at else {
        record.say(format!(
            "v2 was not rolled back in the cut: {:?}",
            state_of(&store)
        ));
        return ExitCode::from(2);
    };
    let drain = (rolled_back_at + DRAIN_AFTER).saturating_sub(record.now());
    tokio::time::sleep(drain).await;
    record.line("the replicas of v2 report draining");
    for server in &new {
        server.announce(&store, "draining");
    }
    let deadline = ordered_at + Duration::from_secs_f64(DURATION_S);
    tokio::time::sleep(deadline.saturating_sub(record.now())).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    let exchanges = clients.exchanges();
    let cut_name = entries[cut_off].name();
    let (mut exposed, mut after_cut, mut late) = (0_u32, 0_u32, 0_u32);
    for server in &new {
        for run in server.replica.runs() {
            let id = run.request.header("attempt-id").unwrap_or_default();
            let sent = exchanges.iter().find(|e| e.id == id).map(|e| e.sent);
            record.line(format!("run: {id} at {} (v2)", server.id));
            // The entry that was cut off is left out: it is not in touch until `contactMs` later.
            let sent = sent.filter(|_| !id.starts_with(&cut_name));
            let is_in_time = sent.is_some_and(|s| s >= ordered_at && s < deadline);
            exposed += u32::from(is_in_time);
            after_cut += u32::from(sent.is_some_and(|s| s > ordered_at + CUT_AFTER + CUT));
            late += u32::from(sent.is_some_and(|s| s > rolled_back_at + Duration::from_secs(1)));
        }
    }
    let sent = exchanges
        .iter()
        .filter(|e| e.sent >= ordered_at && e.sent < deadline);
    let total = sent.count();
    let allowed = EXPOSURE_SHARE * total as f64 + EXPOSURE_SLACK;
    for entry in &entries {
        for line in entry.program.log().iter().filter(|l| l.contains("\"move ")) {
            record.line(format!("log of {}: {line}", entry.name()));
        }
    }
    record.say(format!(
        "requests between the order and its deadline: {total}; at v2 from machines in touch: \
         {exposed}; allowed: {allowed:.0}; sent to v2 by them later than 1 s after the status \
         rolled_back: {late}, after the cut: {after_cut}; status: {:?}",
        state_of(&store)
    ));
    drop(old);
    if total < 400 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(f64::from(exposed) > allowed))
}

/// Sets the links between one entry and the others, in both directions.
fn set_peer_links(entries: &[Entry], cut_off: usize, link: LinkState) {
    let name = entries[cut_off].name();
    entries[cut_off].peer_links.set(None, link);
    for (n, entry) in entries.iter().enumerate() {
        if n != cut_off {
            entry.peer_links.set(Some(&name), link);
        }
    }
}

fn state_of(store: &Store) -> Option<String> {
    let (_, status) = store.object("rollouts", "butik-app")?;
    let state = status["state"].as_str()?;
    (state != "in_progress").then(|| state.to_owned())
}
