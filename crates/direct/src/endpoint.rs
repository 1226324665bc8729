//! An endpoint as the platform's registry announces it.

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

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It is leaving: it finishes what it has and gets nothing new.
    Draining,
}

/// What an endpoint announced of the time after its start in which it bears little work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Time that is left, from the announcement on.
    pub left: Duration,
    /// Tells one announcement from an earlier one.
    pub revision: u64,
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Identity that the endpoint itself checks on each request.
    pub name: EndpointName,
    /// When it started, in milliseconds since the Unix epoch; a restart under the same name
    /// changes it.
    pub started_ms: Option<u64>,
    /// The pool that it serves.
    pub pool: PoolName,
    /// Where it accepts connections; reused by others after it has gone.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: DomainName,
    /// The version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// How long it stays cold; `None` when it is warm.
    pub cold: Option<ColdStart>,
}

impl Endpoint {
    /// Tells whether `other` is the same incarnation at the same address.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.name == other.name
            && self.started_ms == other.started_ms
            && self.address == other.address
            && self.pool == other.pool
    }
}

/// Short form of an endpoint's name for messages between entries.
///
/// Two names with the same short form only make an entry reckon with more work than there is.
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

/// Identity of one incarnation of an endpoint, for messages between entries.
///
/// It is wide enough that two incarnations never meet in one: what an endpoint that leaves told
/// must not take a sound one out of use.
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

/// Load that an endpoint tells about itself with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}
