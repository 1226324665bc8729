//! Clients that read slowly, and a planned stop.

use std::thread;
use std::time::Duration;

use super::CONFIG;
use super::Config;
use super::ORDERS;
use super::order;
use super::record_outcome;
use crate::Setting;
use crate::Verdict;
use crate::client::Client;
use crate::entry::Bounds;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::store::Store;

/// The bounds of the site mwangaza-udahili-grown.
const BOUNDS: Bounds = Bounds {
    contact_ms: 4_000,
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    grace_s: 8,
    memory_mb: 360,
};

/// Clients, each with a connection that it has opened before.
const CLIENTS: usize = 6;

/// Size of an answer.
const ANSWER_BYTES: usize = 250_000;

/// Rest of a client after each 16 KiB, which makes about 40 KB a second.
const PAUSE: Duration = Duration::from_millis(400);

/// Time from the requests to SIGTERM.
const TERM_DELAY: Duration = Duration::from_millis(300);

/// Deadline of the requests, and timeout of their route.
const DEADLINE_MS: u32 = 12_000;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let store = Store::start(100)?;
    let replica = Replica::start("i-1", "shop", "a", Answer::Body(ANSWER_BYTES))?;
    store.put("servers", &replica.id, &replica.announcement());
    let config = Config {
        timeout_ms: DEADLINE_MS,
        ..ORDERS
    };
    store.put(CONFIG.0, CONFIG.1, &config.to_json());
    let entry = setting.fleet.start("edge-a-1", "a", store.addr(), BOUNDS)?;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let client = Client::connect(entry.callers).map_err(|e| e.to_string())?;
        clients.push(client);
    }
    // Longer than `contactMs` without any disruption.
    thread::sleep(Duration::from_millis(u64::from(BOUNDS.contact_ms)));
    let pause = setting.has_trouble.then_some(PAUSE);
    let lost = thread::scope(|scope| -> Result<usize, String> {
        let readers: Vec<_> = clients
            .iter_mut()
            .enumerate()
            .map(|(index, client)| {
                scope.spawn(move || {
                    let id = format!("order-{index}");
                    let is_sent = client.send(&order(&id, DEADLINE_MS, "")).is_ok();
                    let outcome = client.receive(pause);
                    record_outcome(setting, &id, &outcome);
                    is_sent && !outcome.is_complete
                })
            })
            .collect();
        thread::sleep(TERM_DELAY);
        setting.fleet.signal(&entry, "TERM")?;
        setting.record.line("SIGTERM sent");
        let lost = readers.into_iter().map(|reader| reader.join());
        Ok(lost.filter(|lost| matches!(lost, Ok(true))).count())
    })?;
    let runs = replica.runs();
    let ran = runs
        .iter()
        .filter(|run| run.id.starts_with("order"))
        .count();
    setting.record.line(&format!(
        "{ran} of these requests ran, {lost} answers were cut"
    ));
    Ok(if lost > 0 && ran > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
