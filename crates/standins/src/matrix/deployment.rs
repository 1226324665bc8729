//! The deployment and the traffic of every cell.

use std::collections::BTreeMap;

use eelgrassramp::AccountName;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::Tier;

use crate::cluster::ClusterSpec;
use crate::cluster::EngineGroup;
use crate::cluster::EngineSpec;
use crate::load::Class;
use crate::load::ClassKind;
use crate::load::Traffic;

/// Returns the name of the pool of model engines.
#[must_use]
pub fn model_pool() -> PoolName {
    PoolName::from("model")
}

/// Returns the name of the pool of plain services.
#[must_use]
pub fn service_pool() -> PoolName {
    PoolName::from("orders")
}

/// Returns two entries, three engines of different speeds and three plain services.
#[must_use]
pub fn spec() -> ClusterSpec {
    let group = |hardware: &str, speed| EngineGroup {
        hardware: hardware.into(),
        count: 1,
        speed,
        version: "v1".into(),
    };
    ClusterSpec {
        entries: 2,
        pool: model_pool(),
        engines: vec![group("gen2", 0.5), group("gen3", 0.7), group("gen4", 1.0)],
        engine: EngineSpec {
            slots: 4,
            prefill_tokens_per_second: 4000.0,
            decode_step_ms: 20.0,
            step_growth: 0.05,
            cache_blocks: 256,
            report_lag_ms: [1000, 2000],
            event_lag_ms: 300,
            event_loss: 0.05,
        },
        service_pool: service_pool(),
        services: 3,
        service_slots: 4,
        service_latency_ms: 30,
        bad_versions: std::collections::BTreeMap::new(),
    }
}

fn model_class(name: &str, tier: Tier, share: f64, output_tokens: f64) -> Class {
    Class {
        name: RouteName::from(name),
        kind: ClassKind::Model,
        tier,
        pool: model_pool(),
        share,
        timeout_ms: 6000,
        prefix_bytes: 512,
        prefix_families: 3,
        own_bytes: 200.0,
        output_tokens,
        long_chance: 0.0,
        long_factor: 1.0,
    }
}

/// Returns traffic of four tiers with a large client account and a small one.
#[must_use]
pub fn traffic() -> Traffic {
    let order = Class {
        kind: ClassKind::Charge,
        pool: service_pool(),
        timeout_ms: 4000,
        ..model_class("order", Tier::Order, 2.0, 1.0)
    };
    let accounts = [("large", 4.0), ("small", 1.0)];
    let accounts = accounts.map(|(name, weight)| (AccountName::from(name), weight));
    Traffic {
        classes: vec![
            order,
            model_class("checkout", Tier::Order, 1.0, 8.0),
            model_class("greeting", Tier::Interactive, 2.0, 20.0),
            model_class("draft", Tier::Draft, 2.0, 40.0),
        ],
        accounts: BTreeMap::from(accounts),
        bursts: None,
    }
}
