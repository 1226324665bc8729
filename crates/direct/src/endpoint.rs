//! An endpoint as announced by the platform's registry.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::PoolName;
use eelgrassramp::VersionName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It is announced as draining: it finishes its current requests and receives no new ones.
    Draining,
}

/// Announced time after start during which an endpoint can handle only few requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Remaining time, counted from the announcement.
    pub left: Duration,
    /// Distinguishes an announcement from an earlier one.
    pub revision: u64,
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Name that the endpoint itself checks on each request.
    pub name: EndpointName,
    /// Start time in milliseconds since the Unix epoch; changes when the endpoint restarts under
    /// the same name.
    pub started_ms: Option<u64>,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Address at which it accepts connections; may be reused by another endpoint after this one
    /// stops.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: DomainName,
    /// The version of its software.
    pub version: VersionName,
    /// Number of requests that it executes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Remaining cold time; `None` if it is warm.
    pub cold: Option<ColdStart>,
}

impl Endpoint {
    /// Returns whether `other` is the same incarnation at the same address and in the same pool.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.name == other.name
            && self.started_ms == other.started_ms
            && self.address == other.address
            && self.pool == other.pool
    }

    /// Returns whether this announcement is from before `other`, which has the same name: an endpoint drains
    /// until it ends, and each incarnation starts later than the one before.
    #[must_use]
    pub fn is_before(&self, other: &Self) -> bool {
        if !self.is_same_incarnation(other) {
            return self.started_ms < other.started_ms;
        }
        self.state == EndpointState::Ready && other.state == EndpointState::Draining
    }
}

/// Short hash of an endpoint's name, for messages between entries.
///
/// A collision only makes entries misestimate the load of the endpoints that share the hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointKey(u32);

impl From<&EndpointName> for EndpointKey {
    fn from(name: &EndpointName) -> Self {
        let [a, b, c, d, ..] = xxh3_64(name.as_str().as_bytes()).to_be_bytes();
        Self(u32::from_be_bytes([a, b, c, d]))
    }
}

/// Hash that identifies one incarnation of an endpoint, for messages between entries.
///
/// It is wide enough to make collisions negligible, because a collision with a draining endpoint
/// would take a healthy one out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationKey(u64);

impl From<&Endpoint> for IncarnationKey {
    fn from(endpoint: &Endpoint) -> Self {
        let name = xxh3_64(endpoint.name.as_str().as_bytes());
        let started = xxh3_64_with_seed(&endpoint.started_ms.unwrap_or(0).to_be_bytes(), name);
        let port = xxh3_64_with_seed(&endpoint.address.port().to_be_bytes(), started);
        Self(match endpoint.address.ip() {
            IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), port),
            IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), port),
        })
    }
}

/// Load that an endpoint reports with a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it executes.
    pub running: u32,
    /// Requests queued inside it.
    pub queued: u32,
    /// Number of requests that it can execute concurrently.
    pub slots: u32,
}
