//! The settings file raises the time that a process has to stop, and the process is then stopped.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::CONFIG;
use super::Config;
use super::ORDERS;
use super::SMALL;
use super::order;
use super::record_outcome;
use crate::Setting;
use crate::Verdict;
use crate::client::Client;
use crate::entry::Bounds;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::store::Store;

/// The bounds of the new settings.
const RAISED: Bounds = Bounds {
    grace_s: 20,
    ..SMALL
};

/// Time from the new settings to SIGTERM, above `contactMs`.
const RELOAD_TIME: Duration = Duration::from_secs(6);

/// The streams: 12 s of events.
const EVENTS: u32 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// Deadline of the requests, and timeout of their route.
const DEADLINE_MS: u32 = 15_000;

/// Clients, each with a stream.
const CLIENTS: usize = 4;

/// Time from the requests to SIGTERM.
const TERM_DELAY: Duration = Duration::from_millis(500);

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let store = Store::start(100)?;
    let replica = Replica::start("i-1", "shop", "a", Answer::Stream(EVENTS, EVENT_INTERVAL))?;
    store.put("servers", &replica.id, &replica.announcement());
    let config = Config {
        kind: "streaming",
        timeout_ms: DEADLINE_MS,
        ..ORDERS
    };
    store.put(CONFIG.0, CONFIG.1, &config.to_json());
    let first = if setting.has_trouble { SMALL } else { RAISED };
    let entry = setting.fleet.start("edge-a-1", "a", store.addr(), first)?;
    if setting.has_trouble {
        setting.fleet.write_settings(&entry, store.addr(), RAISED)?;
        setting.fleet.signal(&entry, "HUP")?;
        setting
            .record
            .line("the settings now state graceS=20, SIGHUP sent");
    }
    thread::sleep(RELOAD_TIME);
    let cut = thread::scope(|scope| -> Result<usize, String> {
        let readers: Vec<_> = (0..CLIENTS)
            .map(|index| {
                let callers = entry.callers;
                scope.spawn(move || {
                    let id = format!("stream-{index}");
                    let mut client = Client::connect(callers).ok()?;
                    client.send(&order(&id, DEADLINE_MS, "")).ok()?;
                    let sent = Instant::now();
                    let outcome = client.receive(None);
                    record_outcome(setting, &id, &outcome);
                    let ms = sent.elapsed().as_millis();
                    setting.record.line(&format!("{id}: ended after {ms} ms"));
                    Some(outcome.is_complete)
                })
            })
            .collect();
        thread::sleep(TERM_DELAY);
        setting.fleet.signal(&entry, "TERM")?;
        setting.record.line("SIGTERM sent");
        let outcomes = readers.into_iter().map(|reader| reader.join());
        Ok(outcomes.filter(|o| matches!(o, Ok(Some(false)))).count())
    })?;
    let runs = replica.runs().len();
    setting
        .record
        .line(&format!("{runs} streams ran, {cut} were cut"));
    if runs < CLIENTS {
        return Err("not all streams began".to_owned());
    }
    Ok(if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
