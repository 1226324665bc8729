//! A configuration that raises the limit of a request's head, while clients keep their connections.

use std::thread;
use std::time::Duration;

use super::CONFIG;
use super::Config;
use super::ORDERS;
use super::SMALL;
use super::order;
use super::record_outcome;
use crate::Setting;
use crate::Verdict;
use crate::client::Client;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::store::Store;

/// Kept connections, each of a client of its own.
const CLIENTS: usize = 20;

/// Size of the large heads: above the first limit, well below the second.
const LARGE_HEAD_BYTES: usize = 20_000;

/// The raised limit.
const RAISED_BYTES: u32 = 32_768;

/// Rounds in which each client sends one request, and the pause between them.
const SMALL_ROUNDS: usize = 5;
const LARGE_ROUNDS: usize = 3;
const PAUSE: Duration = Duration::from_secs(1);

/// Time from the acknowledgement to the next request, above `configApplyMs`, below `idleTimeoutMs`.
const APPLY_TIME: Duration = Duration::from_secs(4);

/// Refusals of proper requests that the rule allows, beside one in [`REQUESTS_PER_REFUSAL`].
const ALLOWED_REFUSALS: usize = 5;
const REQUESTS_PER_REFUSAL: usize = 500;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let store = Store::start(100)?;
    let replica = Replica::start("i-1", "shop", "a", Answer::Body(800))?;
    store.put("servers", &replica.id, &replica.announcement());
    let raised = Config {
        version: 9,
        max_header_bytes: RAISED_BYTES,
        ..ORDERS
    };
    let first = if setting.has_trouble { ORDERS } else { raised };
    store.put(CONFIG.0, CONFIG.1, &first.to_json());
    let entry = setting.fleet.start("edge-a-1", "a", store.addr(), SMALL)?;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let client = Client::connect(entry.callers).map_err(|e| e.to_string())?;
        clients.push(Some(client));
    }
    let (mut sent, mut refused) = (0, 0);
    for round in 0..SMALL_ROUNDS + LARGE_ROUNDS {
        let is_large = round >= SMALL_ROUNDS;
        if round == SMALL_ROUNDS {
            let version = Config {
                version: 9,
                max_header_bytes: RAISED_BYTES,
                ..ORDERS
            };
            store.put(CONFIG.0, CONFIG.1, &version.to_json());
            setting
                .record
                .line("version 9 acknowledged: maxHeaderBytes is 32768");
            thread::sleep(APPLY_TIME);
        }
        for (index, kept) in clients.iter_mut().enumerate() {
            let id = format!("{round}-{index}");
            let note = format!("Note: {}\r\n", "n".repeat(LARGE_HEAD_BYTES));
            let headers = if is_large { &note } else { "" };
            let mut client = match kept.take() {
                Some(client) => client,
                None => Client::connect(entry.callers).map_err(|e| e.to_string())?,
            };
            let is_sent = client.send(&order(&id, 2_500, headers));
            is_sent.map_err(|e| format!("{id}: {e}"))?;
            sent += 1;
            let outcome = client.receive(None);
            record_outcome(setting, &id, &outcome);
            let status = outcome.status.unwrap_or(0);
            refused +=
                usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
            *kept = (status == 200).then_some(client);
        }
        thread::sleep(PAUSE);
    }
    let allowed = ALLOWED_REFUSALS + sent / REQUESTS_PER_REFUSAL;
    let line = format!("{refused} of {sent} proper requests ended with a 4xx, {allowed} allowed");
    setting.record.line(&line);
    Ok(if refused > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
