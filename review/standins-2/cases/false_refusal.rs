//! A replica that fails a part of the orders that it has run, with status 503.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::CONFIG;
use super::ORDERS;
use super::SMALL;
use super::order;
use crate::Setting;
use crate::Verdict;
use crate::client::Client;
use crate::replica::Answer;
use crate::replica::Failure;
use crate::replica::Replica;
use crate::store::Store;

/// Clients, and the pause between two orders of one.
const CLIENTS: usize = 4;
const ORDER_PAUSE: Duration = Duration::from_millis(100);

/// Time that an order takes at a replica.
const WORK: Duration = Duration::from_millis(30);

/// How the replica fails.
const FAILURE: Failure = Failure {
    status: "503 Service Unavailable",
    in_ten: 4,
};

/// Time before the failures, with them, and after them.
const CALM: Duration = Duration::from_secs(4);
const FAILING: Duration = Duration::from_secs(6);

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Attempts of a client at one order: it repeats it once, after a promise that it has not run.
const ATTEMPTS: usize = 2;

/// One attempt at an order.
struct Attempt {
    order: String,
    id: String,
    status: Option<u16>,
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let store = Store::start(100)?;
    let mut replicas = Vec::new();
    for (index, zone) in ["a", "b", "c"].into_iter().enumerate() {
        let answer = Answer::After(WORK, 800);
        let replica = Replica::start(&format!("i-{index}"), "shop", zone, answer)?;
        store.put("servers", &replica.id, &replica.announcement());
        replicas.push(replica);
    }
    store.put(CONFIG.0, CONFIG.1, &ORDERS.to_json());
    let entry = setting.fleet.start("edge-a-1", "a", store.addr(), SMALL)?;
    let is_over = AtomicBool::new(false);
    let attempts: Vec<Attempt> = thread::scope(|scope| {
        let is_over = &is_over;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || send_orders(entry.callers, client, is_over)))
            .collect();
        thread::sleep(CALM);
        if setting.has_trouble {
            replicas[0].set_failure(Some(FAILURE));
            setting
                .record
                .line("i-0 fails two in five of the orders that it has run, with 503");
        }
        thread::sleep(FAILING);
        replicas[0].set_failure(None);
        thread::sleep(CALM);
        is_over.store(true, Ordering::Relaxed);
        let attempts = clients
            .into_iter()
            .map(|client| client.join().unwrap_or_default());
        attempts.flatten().collect()
    });
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).collect();
    let has_run = |attempt: &&Attempt| runs.iter().any(|run| run.id == attempt.id);
    let mut broken = 0;
    for attempt in attempts.iter().filter(has_run) {
        let status = attempt.status.unwrap_or(0);
        if PROMISES.contains(&status) {
            broken += 1;
            let id = &attempt.id;
            let order = &attempt.order;
            let others = attempts.iter().filter(|other| other.order == *order);
            let times = others.filter(has_run).count();
            let line = format!("{id}: answered {status}, has run; its order ran {times} times");
            setting.record.line(&line);
        }
    }
    let all = attempts.len();
    setting.record.line(&format!(
        "{broken} of {all} requests were answered as not run, and had run"
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Places orders one after the other, and repeats one that is promised not to have run.
fn send_orders(callers: SocketAddr, client_number: usize, is_over: &AtomicBool) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let name = format!("order-{client_number}-{number}");
        number += 1;
        for attempt in 0..ATTEMPTS {
            let id = format!("{name}-{attempt}");
            let status = send(callers, &id);
            attempts.push(Attempt {
                order: name.clone(),
                id,
                status,
            });
            if !status.is_some_and(|status| PROMISES.contains(&status)) {
                break;
            }
        }
        thread::sleep(ORDER_PAUSE);
    }
    attempts
}

fn send(callers: SocketAddr, id: &str) -> Option<u16> {
    let mut client = Client::connect(callers).ok()?;
    client.send(&order(id, 2_500, "")).ok()?;
    client.receive(None).status
}
