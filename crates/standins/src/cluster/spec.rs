//! The written form of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use eelgrassramp::HardwareName;
use eelgrassramp::PoolName;
use eelgrassramp::VersionName;
use eelgrassramp::routing::Policy;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

use crate::engine;
use crate::engine::VersionDefect;
use crate::load::Class;
use crate::load::ClassKind;
use crate::load::Traffic;
use crate::service;

/// How many of each process there are, and how fast the endpoints are.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSpec {
    /// Entries.
    pub entries: usize,
    /// The pool that the engines form.
    pub pool: PoolName,
    /// Engines by speed.
    pub engines: Vec<EngineGroup>,
    /// What all engines have in common.
    pub engine: EngineSpec,
    /// The pool that the plain services form.
    pub service_pool: PoolName,
    /// Plain services.
    pub services: usize,
    /// Calls that one plain service works on at a time.
    pub service_slots: u32,
    /// Time of one call of a plain service, in milliseconds.
    pub service_latency_ms: u64,
    /// Versions of the engines that are bad.
    #[serde(skip)]
    pub bad_versions: BTreeMap<VersionName, VersionDefect>,
}

/// Engines of one hardware generation.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// The hardware generation.
    pub hardware: HardwareName,
    /// Number of engines.
    pub count: usize,
    /// Factor on the speed in [`EngineSpec`].
    pub speed: f64,
    /// The version that they serve.
    #[serde(default = "first_version")]
    pub version: VersionName,
}

fn first_version() -> VersionName {
    VersionName::from("v1")
}

/// Speed, memory and lags of an engine of speed 1.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Requests that fit into one batch.
    pub slots: usize,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_second: f64,
    /// Time of one decoding step with a single request, in milliseconds.
    pub decode_step_ms: f64,
    /// Growth of a step's time for each further request, as a fraction.
    pub step_growth: f64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Shortest and longest age of load reports, in milliseconds.
    pub report_lag_ms: [u64; 2],
    /// Age of cache events in milliseconds.
    pub event_lag_ms: u64,
    /// Probability that a cache event is lost.
    pub event_loss: f64,
}

/// The ways to schedule that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scheduling {
    /// Everything that this system does.
    Ours,
    /// The same without knowledge of prefix caches.
    NoCacheAffinity,
    /// The endpoint with the fewest requests in progress.
    LeastOutstanding,
    /// Each endpoint in turn.
    RoundRobin,
    /// All requests in one tier, in the order in which they come.
    Fifo,
}

impl Scheduling {
    /// Returns how entries choose endpoints.
    #[must_use]
    pub const fn policy(self) -> Policy {
        match self {
            Self::Ours | Self::Fifo => Policy::ExpectedCompletion,
            Self::NoCacheAffinity => Policy::NoCacheAffinity,
            Self::LeastOutstanding => Policy::LeastOutstanding,
            Self::RoundRobin => Policy::RoundRobin,
        }
    }

    /// Returns the name used in files and tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::NoCacheAffinity => "no_cache_affinity",
            Self::LeastOutstanding => "least_outstanding",
            Self::RoundRobin => "round_robin",
            Self::Fifo => "fifo",
        }
    }
}

/// One endpoint with its sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The endpoint's name.
    pub name: String,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// What it is.
    pub kind: ClassKind,
    /// Its hardware generation.
    pub hardware: HardwareName,
    /// Its failure domain.
    pub domain: &'static str,
    /// The version that it serves.
    pub version: VersionName,
    /// Factor on the speed in [`EngineSpec`].
    pub speed: f64,
    /// Where its sidecar is reached.
    pub sidecar: SocketAddr,
}

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const FIRST_PORT: u16 = 7100;

impl ClusterSpec {
    /// Lists all endpoints; their sidecars get made-up addresses.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let engines = self.engines.iter();
        let engines = engines.flat_map(|group| std::iter::repeat_n(group, group.count));
        let engines = engines.map(|group| Member {
            name: String::new(),
            pool: self.pool.clone(),
            kind: ClassKind::Model,
            hardware: group.hardware.clone(),
            domain: "",
            version: group.version.clone(),
            speed: group.speed,
            sidecar: SocketAddr::from(([127, 0, 0, 1], 0)),
        });
        let service = Member {
            name: String::new(),
            pool: self.service_pool.clone(),
            kind: ClassKind::Charge,
            hardware: HardwareName::from("plain"),
            domain: "",
            version: first_version(),
            speed: 1.0,
            sidecar: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let services = std::iter::repeat_n(service, self.services);
        let ports = FIRST_PORT..;
        let members = engines.chain(services).zip(ports).enumerate();
        members
            .map(|(i, (member, port))| Member {
                name: format!("{}-{i}", member.pool),
                domain: DOMAINS[i % DOMAINS.len()],
                sidecar: SocketAddr::from(([127, 0, 0, 1], port)),
                ..member
            })
            .collect()
    }

    /// Returns the settings of a member's engine.
    #[must_use]
    pub fn engine_settings(&self, member: &Member, seed: u64) -> engine::Settings {
        let spec = &self.engine;
        let [least, most] = spec.report_lag_ms;
        let lag =
            StdRng::seed_from_u64(seed).random_range::<u64, RangeInclusive<u64>>(least..=most);
        engine::Settings {
            slots: spec.slots,
            prefill_tokens_per_second: spec.prefill_tokens_per_second * member.speed,
            decode_step: self.decode_step(member.speed),
            step_growth: spec.step_growth,
            cache_blocks: spec.cache_blocks,
            report_lag: Duration::from_millis(lag),
            event_lag: Duration::from_millis(spec.event_lag_ms),
            event_loss: spec.event_loss,
            version: member.version.clone(),
            seed,
            bad_versions: self.bad_versions.clone(),
            ..engine::Settings::default()
        }
    }

    /// Returns the settings of a plain service.
    #[must_use]
    pub fn service_settings(&self, seed: u64) -> service::Settings {
        service::Settings {
            latency: Duration::from_millis(self.service_latency_ms),
            slots: self.service_slots,
            seed,
            ..service::Settings::default()
        }
    }

    /// Returns the time of a step with a single request in the batch.
    #[must_use]
    pub fn decode_step(&self, speed: f64) -> Duration {
        Duration::from_secs_f64(self.engine.decode_step_ms / 1000.0 / speed)
    }

    /// Returns the requests of `traffic` per second that the engines of the first version
    /// could carry at most.
    ///
    /// It assumes full batches and that every shared beginning is found in the cache, so a
    /// load of 1 is the upper bound of what any policy can reach.
    #[must_use]
    pub fn capacity(&self, traffic: &Traffic) -> f64 {
        let total: f64 = traffic.classes.iter().map(|c| c.share).sum();
        let model = traffic
            .classes
            .iter()
            .filter(|c| c.kind == ClassKind::Model);
        let serving = self.engines.iter().filter(|g| g.version == first_version());
        let speed: f64 = serving.map(|g| g.speed * g.count as f64).sum();
        let seconds: f64 = model
            .map(|c| c.share / total * self.engine_seconds(c))
            .sum();
        speed / seconds
    }

    /// Returns the time that an engine of speed 1 spends on one request of a class.
    fn engine_seconds(&self, class: &Class) -> f64 {
        let spec = &self.engine;
        let slots = spec.slots as f64;
        let step_s = spec.decode_step_ms / 1000.0 * (slots - 1.0).mul_add(spec.step_growth, 1.0);
        let decode = class.mean_output_tokens() * step_s / slots;
        let prefill = class.mean_own_tokens() / spec.prefill_tokens_per_second;
        prefill + decode
    }
}
