//! Joins the tables with the platform's lagging list of VMs.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::Incarnation;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::store::Vm;
use crate::store::VmState;
use crate::tables::Tables;
use crate::time::Monotonic;

/// Time by which the platform's list may lag.
///
/// A process that has started under an address that is listed as leaving may stand in a new
/// VM; once the list has said so for longer than it lags, it is about this VM.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(30);

/// An endpoint whose VM is listed as leaving.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeavingEndpoint {
    /// The pool.
    pub pool: PoolName,
    /// The endpoint.
    pub endpoint: EndpointName,
}

#[derive(Debug, Clone, Copy)]
struct SeenIncarnation {
    incarnation: Incarnation,
    since: Monotonic,
    /// Whether another life was seen at the address before.
    is_successor: bool,
}

/// What one process knows of who takes part.
#[derive(Debug, Default)]
pub struct Membership {
    vms: BTreeMap<SocketAddr, VmState>,
    read: Option<Monotonic>,
    incarnations: BTreeMap<SocketAddr, SeenIncarnation>,
}

impl Membership {
    /// Creates a view that knows nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a reading of the platform's list.
    pub fn set_vms(&mut self, now: Monotonic, vms: &[Vm]) {
        self.vms = vms
            .iter()
            .map(|vm| (SocketAddr::new(vm.address, vm.port), vm.state))
            .collect();
        self.read = Some(now);
    }

    /// Notes the life of the process at `addr`; tells whether it replaced another one.
    pub fn observe_incarnation(
        &mut self,
        now: Monotonic,
        addr: SocketAddr,
        life: Incarnation,
    ) -> bool {
        let known = self.incarnations.get(&addr).copied();
        if known.is_some_and(|known| known.incarnation == life) {
            return false;
        }
        self.incarnations.insert(
            addr,
            SeenIncarnation {
                incarnation: life,
                since: now,
                is_successor: known.is_some(),
            },
        );
        known.is_some()
    }

    /// Returns how old the last reading of the list is; `None` before the first one.
    #[must_use]
    pub fn staleness(&self, now: Monotonic) -> Option<Duration> {
        self.read.map(|read| now.since(read))
    }

    /// Returns the endpoints of `tables` whose VM is listed as leaving.
    ///
    /// An endpoint whose process was replaced a short while ago is left out, because the list
    /// may still speak of the VM before.
    #[must_use]
    pub fn leaving(&self, now: Monotonic, tables: &Tables) -> Vec<LeavingEndpoint> {
        let mut leaving = Vec::new();
        for pool in tables.pools.values() {
            for endpoint in pool.endpoints.values() {
                if self.is_leaving(now, endpoint.sidecar) {
                    leaving.push(LeavingEndpoint {
                        pool: pool.name.clone(),
                        endpoint: endpoint.name.clone(),
                    });
                }
            }
        }
        leaving
    }

    /// Returns the number of live VMs that are no endpoints: the entries.
    #[must_use]
    pub fn entry_count(&self, tables: &Tables) -> usize {
        let sidecars: HashSet<SocketAddr> = tables
            .pools
            .values()
            .flat_map(|pool| pool.endpoints.values())
            .map(|endpoint| endpoint.sidecar)
            .collect();
        let live = self
            .vms
            .iter()
            .filter(|(_, state)| **state == VmState::Live);
        live.filter(|(addr, _)| !sidecars.contains(addr)).count()
    }

    fn is_leaving(&self, now: Monotonic, addr: SocketAddr) -> bool {
        let is_listed = self.vms.get(&addr) == Some(&VmState::Leaving);
        let is_fresh =
            |life: &SeenIncarnation| life.is_successor && now.since(life.since) < MAX_LIST_LAG;
        is_listed && !self.incarnations.get(&addr).is_some_and(is_fresh)
    }
}
