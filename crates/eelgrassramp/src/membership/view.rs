//! Combines the tables with the platform's lagging list of VMs.

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

/// Maximum lag of the platform's list.
///
/// A process that just started at an address listed as leaving may run in a new VM. If the address
/// is still listed as leaving after this time, the list refers to the new VM.
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
    /// Whether another incarnation was seen at the address before.
    is_successor: bool,
}

/// Membership as known to one process.
#[derive(Debug, Default)]
pub struct Membership {
    vms: BTreeMap<SocketAddr, VmState>,
    read_at: Option<Monotonic>,
    incarnations: BTreeMap<SocketAddr, SeenIncarnation>,
}

impl Membership {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of VMs with one read from the platform.
    pub fn set_vms(&mut self, now: Monotonic, vms: &[Vm]) {
        self.vms = vms
            .iter()
            .map(|vm| (SocketAddr::new(vm.address, vm.port), vm.state))
            .collect();
        self.read_at = Some(now);
    }

    /// Records the incarnation of the process at `addr`; returns whether it replaced another one.
    pub fn observe_incarnation(
        &mut self,
        now: Monotonic,
        addr: SocketAddr,
        seen: Incarnation,
    ) -> bool {
        let known = self.incarnations.get(&addr).copied();
        if known.is_some_and(|known| known.incarnation == seen) {
            return false;
        }
        self.incarnations.insert(
            addr,
            SeenIncarnation {
                incarnation: seen,
                since: now,
                is_successor: known.is_some(),
            },
        );
        known.is_some()
    }

    /// Returns the age of the list; `None` before it was first read.
    #[must_use]
    pub fn staleness(&self, now: Monotonic) -> Option<Duration> {
        self.read_at.map(|read_at| now.since(read_at))
    }

    /// Returns the endpoints of `tables` whose VM is listed as leaving.
    ///
    /// An endpoint whose process was replaced recently is left out, because the list may still
    /// refer to the previous VM.
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

    /// Returns the number of live VMs that are not endpoints, that is, the entries.
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
        let is_recent_successor =
            |seen: &SeenIncarnation| seen.is_successor && now.since(seen.since) < MAX_LIST_LAG;
        is_listed
            && !self
                .incarnations
                .get(&addr)
                .is_some_and(is_recent_successor)
    }
}
