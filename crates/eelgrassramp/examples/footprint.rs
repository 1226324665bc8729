//! Measures resident memory and message sizes at growing numbers of endpoints and accounts.
//!
//! `docs/CAPACITY.md` takes its slopes from here.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::ClockMark;
use eelgrassramp::EndpointName;
use eelgrassramp::FencingToken;
use eelgrassramp::Incarnation;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RequestId;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::admission::FairQueue;
use eelgrassramp::admission::Limits;
use eelgrassramp::admission::Ticket;
use eelgrassramp::routing::Policy;
use eelgrassramp::routing::Router;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::FencingCheck;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::PoolKind;
use eelgrassramp::tables::Route;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Load;
use eelgrassramp::wire::Outcomes;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::SplitSeq;
use hdrhistogram::Histogram;

const POOLS: u16 = 34;
const PAGE_BYTES: u64 = 4096;
const FLEETS: [u16; 3] = [215, 430, 860];
const ACCOUNTS: [u32; 3] = [2_000, 4_000, 8_000];
const MAX_MICROS: u64 = 3_600_000_000;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("the system tells its memory");
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.expect("the second field is the resident size") * PAGE_BYTES
}

/// Returns the growth of resident memory while `build` runs and its result is kept.
fn growth<T>(build: impl FnOnce() -> T) -> u64 {
    let before = resident_bytes();
    let kept = build();
    let after = resident_bytes();
    black_box(&kept);
    after.saturating_sub(before)
}

fn row(what: &str, count: u64, bytes: u64) {
    println!("| {what} | {count} | {bytes} | {} |", bytes / count.max(1));
}

fn pool_name(i: u16) -> PoolName {
    PoolName::new(format!("model-{i}"))
}

fn endpoint(i: u16) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        name: EndpointName::new(format!("model-{}-{i}", i % POOLS)),
        sidecar: SocketAddr::from(([10, 0, 0, 1], i)),
        domain: "north-a".into(),
        hardware: "gen3".into(),
        version: "v1".into(),
        leaving: false,
    })
}

fn pool(number: u16, endpoints: u16) -> Arc<Pool> {
    let own = (0..endpoints).filter(|i| i % POOLS == number).map(endpoint);
    Arc::new(Pool {
        name: pool_name(number),
        kind: PoolKind::Model,
        version: "v1".into(),
        r#move: None,
        fencing: FencingCheck::Engine,
        weights: BTreeMap::new(),
        endpoints: own.map(|e| (e.name.clone(), e)).collect(),
        former: Vec::new(),
    })
}

fn tables(endpoints: u16) -> Tables {
    let route = |i: u16| {
        Arc::new(Route {
            name: format!("route-{i}").as_str().into(),
            path: "/v1/chat/completions".into(),
            model: Some(format!("model-{i}").into()),
            tier: Tier::Standard,
            pool: pool_name(i),
            non_idempotent: false,
            timeout: Duration::from_secs(8),
            max_body_bytes: 65_536,
        })
    };
    Tables {
        version: TableVersion(1),
        edit: None,
        routes: (0..POOLS).map(route).collect(),
        pools: (0..POOLS)
            .map(|i| (pool_name(i), pool(i, endpoints)))
            .collect(),
    }
}

const fn load() -> Load {
    Load {
        incarnation: Incarnation(u64::MAX - 1),
        mark: ClockMark(86_400_000),
        tables: TableVersion(400_000),
        backlog_tokens: 20_000,
        queued: 8,
        running: 64,
        slots: 64,
        tokens_per_second: 1_500.0,
        floor: Tier::Batch,
        draining: false,
        brakes: 2,
        split: SplitSeq {
            tables: TableVersion(400_000),
            fence: FencingToken(70_000),
            step: 3,
        },
    }
}

fn router(tables: &Tables) -> Router {
    let mut router = Router::new(
        "entry-1".into(),
        "north-a".into(),
        Policy::ExpectedCompletion,
    );
    router.sync(tables);
    let now = Monotonic::from_millis(10);
    for pool in tables.pools.values() {
        for name in pool.endpoints.keys() {
            router.observe_load(now, now, &pool.name, name, load());
        }
    }
    router
}

fn queue(accounts: u32) -> FairQueue<()> {
    let limits = Limits {
        items: usize::MAX,
        cost: u64::MAX,
        per_account_items: 8,
    };
    let mut queue = FairQueue::new(limits);
    for i in 0..accounts {
        let ticket = Ticket {
            request: RequestId::from_bits(u128::from(i)),
            tier: Tier::Standard,
            account: AccountName::new(format!("account-{i}")),
            weight: 1,
            deadline: Monotonic::from_millis(8_000),
            cost: 500,
            non_idempotent: false,
        };
        let _queued = queue.push(Monotonic::ZERO, ticket, ());
    }
    queue
}

fn histograms(count: u32) -> Vec<Histogram<u64>> {
    let new = |_| {
        let mut histogram = Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("bounds are valid");
        // Untouched pages do not count as resident, so every part is touched once.
        for shift in 0..31 {
            let _recorded = histogram.record(1 << shift);
        }
        histogram
    };
    (0..count).map(new).collect()
}

fn report(routes: usize) -> Report {
    let outcomes = Outcomes {
        route: "greeting-cards".into(),
        tier: Tier::Interactive,
        version: "2026-12-04".into(),
        ok: 100_000,
        failed: 12,
        duplicated: 0,
        log_slowness_sum: 12.5,
        log_slowness_square_sum: 88.25,
    };
    Report {
        endpoint: "model-12-345".into(),
        pool: "model-12".into(),
        version: "2026-12-04".into(),
        fence: FencingToken(70_000),
        load: load(),
        brakes: Vec::new(),
        split: None,
        outcomes: vec![outcomes; routes],
        cache: CacheUpdate::default(),
    }
}

fn encoded<T: serde::Serialize>(message: &T) -> u64 {
    let body = wire::to_bytes(message).expect("the message can be encoded");
    u64::try_from(body.len()).unwrap_or(u64::MAX)
}

fn main() {
    println!("| what | count | bytes | bytes each |\n|---|---|---|---|");
    for endpoints in FLEETS {
        let count = u64::from(endpoints);
        row("tables, by endpoint", count, growth(|| tables(endpoints)));
        let known = tables(endpoints);
        row(
            "router of an entry, by endpoint",
            count,
            growth(|| router(&known)),
        );
        let document = known
            .to_snapshot()
            .expect("the tables can be written")
            .document;
        row(
            "tables document, by endpoint",
            count,
            u64::try_from(document.len()).unwrap_or(0),
        );
    }
    for accounts in ACCOUNTS {
        row(
            "queue, one request each account",
            accounts.into(),
            growth(|| queue(accounts)),
        );
    }
    row("histograms", 1_000, growth(|| histograms(1_000)));
    row("report request", 1, encoded(&ReportRequest::default()));
    row("report without outcomes", 1, encoded(&report(0)));
    row("report with outcomes, by route", 8, encoded(&report(8)));
    row("load in an answer", 1, encoded(&load()));
}
