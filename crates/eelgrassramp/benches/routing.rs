//! Time of one routing decision, by fleet size.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use eelgrassramp::ClockMark;
use eelgrassramp::EndpointName;
use eelgrassramp::Incarnation;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::RouteName;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::routing::Choice;
use eelgrassramp::routing::Outcome;
use eelgrassramp::routing::Policy;
use eelgrassramp::routing::Router;
use eelgrassramp::routing::RoutingQuery;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::FencingCheck;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::PoolKind;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::Load;
use eelgrassramp::wire::SplitSeq;
use rand::SeedableRng;
use rand::rngs::StdRng;

const FLEET_SIZES: [u16; 3] = [20, 200, 860];
const PREFIX_BLOCKS: u64 = 16;
const SEED: u64 = 1;

fn endpoint(i: u16) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        name: EndpointName::new(format!("engine-{i}")),
        sidecar: SocketAddr::from(([10, 0, 0, 1], i)),
        domain: "a".into(),
        hardware: "gen1".into(),
        version: "v1".into(),
        leaving: false,
    })
}

fn tables(endpoints: u16) -> Tables {
    let pool = Pool {
        name: "texts".into(),
        kind: PoolKind::Model,
        version: "v1".into(),
        r#move: None,
        fencing: FencingCheck::Engine,
        weights: BTreeMap::new(),
        endpoints: (0..endpoints)
            .map(endpoint)
            .map(|e| (e.name.clone(), e))
            .collect(),
        former: Vec::new(),
    };
    Tables {
        version: TableVersion(1),
        pools: BTreeMap::from([(pool.name.clone(), Arc::new(pool))]),
        ..Tables::default()
    }
}

fn load(i: u16) -> Load {
    Load {
        incarnation: Incarnation(1),
        mark: ClockMark(1),
        tables: TableVersion(1),
        backlog_tokens: u64::from(i % 7) * 1_000,
        queued: 0,
        running: 1,
        slots: 1_000,
        tokens_per_second: 1_000.0,
        floor: Tier::Batch,
        draining: false,
        brakes: 0,
        split: SplitSeq::default(),
    }
}

fn router(endpoints: u16) -> Router {
    let mut router = Router::new("entry-1".into(), "a".into(), Policy::ExpectedCompletion);
    router.sync(&tables(endpoints));
    let now = Monotonic::from_millis(10);
    for i in 0..endpoints {
        let name = &endpoint(i).name;
        router.observe_load(now, now, &"texts".into(), name, load(i));
    }
    router
}

fn routing_decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("routing_decision");
    for endpoints in FLEET_SIZES {
        let mut router = router(endpoints);
        let mut rng = StdRng::seed_from_u64(SEED);
        let pool = "texts".into();
        let route: RouteName = "texts".into();
        let prefix: Vec<u64> = (0..PREFIX_BLOCKS).collect();
        let mut next = 0u128;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| {
                next += 1;
                let now = Monotonic::from_millis(10) + Duration::from_micros(1);
                let request = RequestId::from_bits(next);
                let query = RoutingQuery {
                    request,
                    split_key: request,
                    route: &route,
                    tier: Tier::Interactive,
                    tokens: 500,
                    prefix: &prefix,
                    tried: &[],
                    home: None,
                };
                let choice = router.choose(now, &pool, &query, &mut rng);
                let Choice::Send(candidate) = &choice else {
                    panic!("no endpoint was chosen: {choice:?}");
                };
                let name = candidate.endpoint.name.clone();
                router.ended(now, &pool, &name, request, Outcome::Success);
                black_box(choice)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, routing_decision);
criterion_main!(benches);
