//! Tests of endpoint selection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::ClockMark;
use eelgrassramp::EndpointName;
use eelgrassramp::FencingToken;
use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RequestId;
use eelgrassramp::RouteName;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::routing::Choice;
use eelgrassramp::routing::Outcome;
use eelgrassramp::routing::OutputLength;
use eelgrassramp::routing::Policy;
use eelgrassramp::routing::Router;
use eelgrassramp::routing::RoutingQuery;
use eelgrassramp::routing::block_hashes;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::FencingCheck;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::PoolKind;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::Brake;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Load;
use eelgrassramp::wire::PoolSplit;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::RouteShare;
use eelgrassramp::wire::SplitSeq;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 20;

fn at(ms: u64) -> Monotonic {
    Monotonic::from_millis(ms)
}

fn pool_name() -> PoolName {
    "texts".into()
}

fn name(i: u16) -> EndpointName {
    EndpointName::new(format!("engine-{i}"))
}

fn tables(versions: &[&str]) -> Tables {
    let endpoints = (0..).zip(versions).map(|(i, version)| {
        let endpoint = Endpoint {
            name: name(i),
            sidecar: SocketAddr::from(([127, 0, 0, 1], i + 1)),
            domain: "a".into(),
            hardware: "gen1".into(),
            version: (*version).into(),
            leaving: false,
        };
        (name(i), Arc::new(endpoint))
    });
    let pool = Pool {
        name: pool_name(),
        kind: PoolKind::Model,
        version: "v1".into(),
        r#move: None,
        fencing: FencingCheck::Engine,
        weights: BTreeMap::new(),
        endpoints: endpoints.collect(),
        former: Vec::new(),
    };
    Tables {
        version: TableVersion(1),
        pools: BTreeMap::from([(pool_name(), Arc::new(pool))]),
        ..Tables::default()
    }
}

fn load() -> Load {
    Load {
        incarnation: Incarnation(1),
        mark: ClockMark(1),
        tables: TableVersion(1),
        backlog_tokens: 0,
        queued: 0,
        running: 0,
        slots: 32,
        tokens_per_second: 1_000.0,
        floor: Tier::Batch,
        draining: false,
        brakes: 0,
        split: SplitSeq::default(),
    }
}

fn router(versions: &[&str], loads: &[Load]) -> Router {
    let mut router = Router::new("entry-1".into(), "a".into(), Policy::ExpectedCompletion);
    router.sync(&tables(versions));
    for (i, load) in (0..).zip(loads) {
        router.observe_load(at(0), at(0), &pool_name(), &name(i), *load);
    }
    router
}

struct QueryGenerator {
    route: RouteName,
    prefix: Vec<u64>,
    tried: Vec<EndpointName>,
    rng: StdRng,
    next: u128,
}

impl QueryGenerator {
    fn new() -> Self {
        Self {
            route: "texts".into(),
            prefix: Vec::new(),
            tried: Vec::new(),
            rng: StdRng::seed_from_u64(SEED),
            next: 0,
        }
    }

    fn choose(&mut self, router: &mut Router, now: Monotonic) -> Choice {
        self.next += 1;
        let request = RequestId::from_bits(self.next);
        let query = RoutingQuery {
            request,
            split_key: request,
            route: &self.route,
            tier: Tier::Draft,
            tokens: 500,
            prefix: &self.prefix,
            tried: &self.tried,
            home: None,
        };
        router.choose(now, &pool_name(), &query, &mut self.rng)
    }

    /// Selects `n` times, ends each request immediately and counts the selections by endpoint.
    fn counts(&mut self, router: &mut Router, now: Monotonic, n: u32) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for _ in 0..n {
            let Choice::Send(candidate) = self.choose(router, now) else {
                continue;
            };
            let chosen = &candidate.endpoint.name;
            let request = RequestId::from_bits(self.next);
            router.ended(now, &pool_name(), chosen, request, Outcome::Success);
            *counts.entry(chosen.to_string()).or_default() += 1;
        }
        counts
    }
}

fn report(load: Load, cache: CacheUpdate) -> Report {
    Report {
        endpoint: name(0),
        pool: pool_name(),
        version: "v1".into(),
        fence: FencingToken(0),
        load,
        brakes: Vec::new(),
        split: None,
        outcomes: Vec::new(),
        cache,
    }
}

fn split(permille: u16, table: u64) -> PoolSplit {
    PoolSplit {
        pool: pool_name(),
        seq: SplitSeq {
            tables: TableVersion(table),
            fence: FencingToken(1),
            step: u32::from(permille),
        },
        old: "v1".into(),
        new: "v2".into(),
        shares: vec![RouteShare {
            route: "texts".into(),
            to_new_permille: permille,
        }],
    }
}

#[googletest::test]
fn requests_go_to_the_endpoint_with_the_earliest_completion() {
    let slow = Load {
        tokens_per_second: 250.0,
        ..load()
    };
    let busy = Load {
        backlog_tokens: 4_000,
        ..load()
    };
    let mut router = router(&["v1"; 3], &[slow, busy, load()]);

    let counts = QueryGenerator::new().counts(&mut router, at(1), 300);

    expect_that!(counts.get("engine-2"), some(gt(&180)));
}

#[googletest::test]
fn dispatches_since_the_last_report_count_as_backlog() {
    let mut router = router(&["v1"; 2], &[load(), load()]);
    let mut queries = QueryGenerator::new();
    let mut counts = BTreeMap::new();

    for _ in 0..40 {
        if let Choice::Send(candidate) = queries.choose(&mut router, at(1)) {
            *counts.entry(candidate.endpoint.name.clone()).or_insert(0) += 1;
        }
    }

    expect_that!(counts.len(), eq(2));
    expect_that!(counts.values().min(), some(ge(&18)));
}

#[googletest::test]
fn a_late_report_does_not_undo_a_newer_one() {
    let newer = Load {
        mark: ClockMark(9),
        draining: true,
        ..load()
    };
    let mut router = router(&["v1"], &[newer]);

    router.observe_load(at(5), at(5), &pool_name(), &name(0), load());

    let choice = QueryGenerator::new().choose(&mut router, at(6));
    expect_that!(choice, eq(&Choice::Refused(Kind::PoolUnavailable)));
}

#[googletest::test]
fn a_draft_waits_while_all_endpoints_are_full() {
    let full = Load {
        running: 32,
        queued: 8,
        ..load()
    };
    let raised = Load {
        floor: Tier::Interactive,
        ..load()
    };
    for loads in [[full, full], [raised, raised]] {
        let mut router = router(&["v1"; 2], &loads);

        let choice = QueryGenerator::new().choose(&mut router, at(1));

        expect_that!(choice, eq(&Choice::Full));
    }
}

#[googletest::test]
fn a_cached_prefix_attracts_requests() {
    let mut router = router(&["v1"; 20], &[load(); 20]);
    let mut queries = QueryGenerator::new();
    queries.prefix = block_hashes(&b"warranty terms ".repeat(400));
    let target = router.poll_target(at(1), &pool_name(), &name(7)).unwrap();
    let whole = CacheUpdate {
        seq: 5,
        whole: true,
        added: queries.prefix.clone(),
        removed: Vec::new(),
    };
    router.observe_report(at(2), at(1), &target, &report(load(), whole));

    let Choice::Send(candidate) = queries.choose(&mut router, at(3)) else {
        panic!("no endpoint was chosen");
    };

    expect_that!(candidate.endpoint.name, eq(&name(7)));
    expect_that!(queries.prefix.len(), gt(10));
}

#[googletest::test]
fn a_gap_in_cache_events_requests_the_full_contents() {
    let mut router = router(&["v1"], &[load()]);
    let update = |seq, whole| CacheUpdate {
        seq,
        whole,
        added: vec![seq],
        removed: Vec::new(),
    };
    let mut asked = Vec::new();

    for (seq, whole) in [(5, true), (8, false), (3, false), (9, true), (9, false)] {
        let target = router.poll_target(at(1), &pool_name(), &name(0)).unwrap();
        asked.push(target.cache_seq);
        router.observe_report(at(1), at(1), &target, &report(load(), update(seq, whole)));
    }
    let last = router.poll_target(at(1), &pool_name(), &name(0)).unwrap();

    expect_that!(asked, eq(&[0, 5, 8, 0, 9]));
    expect_that!(last.cache_seq, eq(9));
}

#[googletest::test]
fn failing_endpoints_are_ejected_up_to_a_cap_and_return() {
    let mut router = router(&["v1"; 10], &[load(); 10]);
    for i in 0..10 {
        for _ in 0..10 {
            let request = RequestId::from_bits(1);
            router.ended(at(1), &pool_name(), &name(i), request, Outcome::Failure);
        }
    }

    let soon = QueryGenerator::new().counts(&mut router, at(2), 2_000);
    let later = QueryGenerator::new().counts(&mut router, at(60_000), 2_000);

    expect_that!(soon.len(), eq(6));
    expect_that!(later.len(), eq(10));
}

#[googletest::test]
fn a_split_draws_its_share_and_a_brake_stops_the_version_at_once() {
    let mut router = router(&["v1", "v1", "v2", "v2"], &[load(); 4]);
    router.gossip_mut().add_split(split(100, 3));

    let before = QueryGenerator::new().counts(&mut router, at(1), 5_000);
    router.gossip_mut().add_brake(Brake {
        pool: pool_name(),
        version: "v2".into(),
        tables: TableVersion(3),
        evidence: "fails".to_owned(),
    });
    let after = QueryGenerator::new().counts(&mut router, at(2), 5_000);

    let to_new = |counts: &BTreeMap<String, u32>| {
        counts.get("engine-2").unwrap_or(&0) + counts.get("engine-3").unwrap_or(&0)
    };
    expect_that!(to_new(&before), all!(ge(400), le(600)));
    expect_that!(to_new(&after), eq(0));
}

#[googletest::test]
fn a_later_move_to_a_braked_version_is_not_braked() {
    let mut router = router(&["v1", "v2"], &[load(); 2]);
    router.gossip_mut().add_brake(Brake {
        pool: pool_name(),
        version: "v2".into(),
        tables: TableVersion(3),
        evidence: "fails".to_owned(),
    });

    router.gossip_mut().add_split(split(500, 4));

    let counts = QueryGenerator::new().counts(&mut router, at(1), 1_000);
    expect_that!(counts.get("engine-1"), some(gt(&400)));
}

#[googletest::test]
fn an_older_split_never_replaces_a_newer_one() {
    let mut router = router(&["v1", "v2"], &[load(); 2]);

    let taken = [
        router.gossip_mut().add_split(split(200, 3)),
        router.gossip_mut().add_split(split(100, 3)),
        router.gossip_mut().add_split(split(900, 2)),
    ];

    expect_that!(taken, eq([true, false, false]));
}

#[googletest::test]
fn leaving_and_draining_endpoints_get_no_new_work() {
    let draining = Load {
        draining: true,
        ..load()
    };
    let mut router = router(&["v1"; 3], &[load(), draining, load()]);
    router.gossip_mut().add_leaving(pool_name(), name(0));

    let counts = QueryGenerator::new().counts(&mut router, at(1), 100);

    let chosen: Vec<&str> = counts.keys().map(String::as_str).collect();
    expect_that!(chosen, eq(&["engine-2"]));
}

#[googletest::test]
fn a_tried_endpoint_is_avoided_while_another_is_available() {
    let mut router = router(&["v1"; 2], &[load(); 2]);
    let mut queries = QueryGenerator::new();
    queries.tried = vec![name(0)];

    let counts = queries.counts(&mut router, at(1), 50);

    let chosen: Vec<&str> = counts.keys().map(String::as_str).collect();
    expect_that!(chosen, eq(&["engine-1"]));
}

#[googletest::test]
fn each_endpoint_is_polled_at_most_once_per_interval() {
    let mut router = router(&["v1"; 3], &[load(); 3]);
    let interval = Some(Duration::from_millis(500));

    let first: Vec<_> = (0..4)
        .filter_map(|_| router.next_poll(at(1_000), interval))
        .collect();
    router.request_reports(&pool_name());
    let urgent: Vec<_> = (0..4)
        .filter_map(|_| router.next_poll(at(1_100), None))
        .collect();
    let idle = router.next_poll(at(1_200), None);

    expect_that!(first.len(), eq(3));
    expect_that!(urgent.len(), eq(3));
    expect_that!(idle, none());
}

#[googletest::test]
fn output_lengths_are_predicted_from_recorded_lengths() {
    let mut lengths = OutputLength::default();
    for _ in 0..99 {
        lengths.record(100);
    }
    lengths.record(10_000);

    let unlimited = lengths.predict(None);
    let limited = lengths.predict(Some(64));

    expect_that!(unlimited, all!(ge(120), le(300)));
    expect_that!(limited, eq(64));
}
