//! The specification of a deployment, as read from experiment files.

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

/// The number of processes of each kind and the speed of the endpoints.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSpec {
    /// Number of entries.
    pub entries: usize,
    /// The pool of the engines.
    pub pool: PoolName,
    /// Engines by hardware generation.
    pub engines: Vec<EngineGroup>,
    /// Settings common to all engines.
    pub engine: EngineSpec,
    /// The pool of the plain services.
    pub service_pool: PoolName,
    /// Number of plain services.
    pub services: usize,
    /// Concurrent calls of one plain service.
    pub service_slots: u32,
    /// Duration of one call of a plain service, in milliseconds.
    pub service_latency_ms: u64,
    /// Defective versions of the engines.
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
    /// Speed relative to [`EngineSpec`].
    pub speed: f64,
    /// The version served.
    #[serde(default = "first_version")]
    pub version: VersionName,
}

fn first_version() -> VersionName {
    VersionName::from("v1")
}

/// Speed, cache size and telemetry lags of an engine of speed 1.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub slots: usize,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_second: f64,
    /// Duration of a decode step with a single request, in milliseconds.
    pub decode_step_ms: f64,
    /// Increase of the step duration for each further request, as a fraction.
    pub step_growth: f64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Minimum and maximum lag of load reports, in milliseconds.
    pub report_lag_ms: [u64; 2],
    /// Lag of cache events in milliseconds.
    pub event_lag_ms: u64,
    /// Probability that a cache event is lost.
    pub event_loss: f64,
}

/// The scheduling policies under comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scheduling {
    /// This system with all its features.
    Ours,
    /// This system without prefix-cache affinity.
    NoCacheAffinity,
    /// Chooses the endpoint with the fewest requests in progress.
    LeastOutstanding,
    /// Chooses the endpoints in turn.
    RoundRobin,
    /// All requests in one tier, in order of arrival.
    Fifo,
}

impl Scheduling {
    /// Returns the policy by which entries choose endpoints.
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

/// One endpoint and its sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The endpoint's name.
    pub name: String,
    /// Its pool.
    pub pool: PoolName,
    /// The kind of endpoint.
    pub kind: ClassKind,
    /// Its hardware generation.
    pub hardware: HardwareName,
    /// Its failure domain.
    pub domain: &'static str,
    /// The version that it serves.
    pub version: VersionName,
    /// Speed relative to [`EngineSpec`].
    pub speed: f64,
    /// The address of its sidecar.
    pub sidecar: SocketAddr,
}

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const FIRST_PORT: u16 = 7100;

impl ClusterSpec {
    /// Lists all endpoints; their sidecars get placeholder addresses.
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

    /// Returns the duration of a decode step with a single request in the batch.
    #[must_use]
    pub fn decode_step(&self, speed: f64) -> Duration {
        Duration::from_secs_f64(self.engine.decode_step_ms / 1000.0 / speed)
    }

    /// Returns the maximum rate of `traffic`, in requests per second, that the engines of the
    /// first version can serve.
    ///
    /// It assumes full batches and a cache hit for every shared prefix, so a load of 1 is an upper
    /// bound for every policy.
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

    /// Returns the engine time of one request of a class at speed 1, in seconds.
    fn engine_seconds(&self, class: &Class) -> f64 {
        let spec = &self.engine;
        let slots = spec.slots as f64;
        let step_s = spec.decode_step_ms / 1000.0 * (slots - 1.0).mul_add(spec.step_growth, 1.0);
        let decode = class.mean_output_tokens() * step_s / slots;
        let prefill = class.mean_unique_tokens() / spec.prefill_tokens_per_second;
        prefill + decode
    }
}
