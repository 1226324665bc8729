//! Per-pool state of an entry: its endpoints, version subsets and prefix index.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::prefix::MAX_SLOTS;
use super::prefix::PrefixIndex;
use super::router::PollTarget;
use super::view::EndpointView;
use crate::name::EndpointName;
use crate::name::EntryName;
use crate::name::VersionName;
use crate::tables::Pool;
use crate::time::Monotonic;
use crate::wire::Load;

/// Maximum number of endpoints of one version that an entry connects to, so that connections
/// and reports do not grow with entries × endpoints.
const SUBSET_SIZE: usize = 24;

/// Maximum percentage of the endpoints in all subsets that may be ejected at the same time.
const MAX_EJECTED_PERCENT: usize = 40;

#[derive(Debug)]
pub(super) struct PoolView {
    pub pool: Arc<Pool>,
    pub views: Vec<EndpointView>,
    pub prefix: PrefixIndex,
    pub round_robin_index: usize,
    by_name: BTreeMap<EndpointName, usize>,
    /// Indexes into `views` of the endpoints that this entry connects to, by version.
    subsets: BTreeMap<VersionName, Vec<usize>>,
    /// The prefix index slot of each endpoint.
    slots: BTreeMap<EndpointName, usize>,
}

impl PoolView {
    pub fn new(entry: &EntryName, pool: Arc<Pool>) -> Self {
        let mut view = Self {
            pool: Arc::clone(&pool),
            views: Vec::new(),
            prefix: PrefixIndex::default(),
            round_robin_index: 0,
            by_name: BTreeMap::new(),
            subsets: BTreeMap::new(),
            slots: BTreeMap::new(),
        };
        view.sync(entry, pool);
        view
    }

    /// Applies a new row of the pool table, keeping the state of endpoints that remain.
    pub fn sync(&mut self, entry: &EntryName, pool: Arc<Pool>) {
        let mut known: BTreeMap<EndpointName, EndpointView> = self
            .views
            .drain(..)
            .map(|v| (v.endpoint.name.clone(), v))
            .collect();
        for endpoint in pool.endpoints.values() {
            let view = match known.remove(&endpoint.name) {
                Some(mut view) if view.endpoint.sidecar == endpoint.sidecar => {
                    if view.endpoint.version != endpoint.version {
                        view.version = endpoint.version.clone();
                    }
                    view.endpoint = Arc::clone(endpoint);
                    view
                }
                _ => EndpointView::new(Arc::clone(endpoint)),
            };
            self.views.push(view);
        }
        self.by_name = (0..)
            .zip(&self.views)
            .map(|(i, v)| (v.endpoint.name.clone(), i))
            .collect();
        self.pool = pool;
        self.rebuild_subsets(entry);
    }

    pub fn position(&self, endpoint: &EndpointName) -> Option<usize> {
        self.by_name.get(endpoint).copied()
    }

    pub fn get_mut(&mut self, endpoint: &EndpointName) -> Option<&mut EndpointView> {
        let i = self.position(endpoint)?;
        self.views.get_mut(i)
    }

    /// Returns the indexes of the endpoints of `version` that this entry connects to.
    pub fn subset(&self, version: &VersionName) -> &[usize] {
        self.subsets.get(version).map_or(&[], Vec::as_slice)
    }

    /// Returns the indexes of all endpoints that this entry connects to.
    pub fn all_subsets(&self) -> impl Iterator<Item = usize> {
        self.subsets.values().flatten().copied()
    }

    pub fn slot(&self, i: usize) -> Option<usize> {
        let view = self.views.get(i)?;
        self.slots.get(&view.endpoint.name).copied()
    }

    /// Returns the poll target for an endpoint and records `now` as the time of its last poll.
    pub fn start_poll(&mut self, now: Monotonic, i: usize) -> Option<PollTarget> {
        let cache_seq = self.slot(i).map_or(0, |slot| self.prefix.resume_seq(slot));
        let view = self.views.get_mut(i)?;
        view.polled_at = Some(now);
        view.report_requested = false;
        Some(PollTarget {
            pool: self.pool.name.clone(),
            endpoint: view.endpoint.name.clone(),
            sidecar: view.endpoint.sidecar,
            cache_seq,
        })
    }

    /// Records the version that an endpoint reports to serve.
    pub fn set_version(&mut self, entry: &EntryName, i: usize, version: &VersionName) {
        let Some(view) = self.views.get_mut(i) else {
            return;
        };
        if view.version != *version {
            view.version = version.clone();
            self.rebuild_subsets(entry);
        }
    }

    pub fn observe(&mut self, now: Monotonic, basis: Monotonic, i: usize, load: Load) {
        let Some(view) = self.views.get_mut(i) else {
            return;
        };
        let has_restarted = view.observe(now, basis, load);
        if has_restarted && let Some(slot) = self.slot(i) {
            self.prefix.remove_endpoint(slot);
        }
    }

    /// Returns the mean reported backlog of the subset of `version`, in tokens.
    pub fn mean_backlog(&self, version: &VersionName) -> f64 {
        let loads = self
            .subset(version)
            .iter()
            .filter_map(|i| self.views.get(*i)?.load());
        let (sum, count) = loads.fold((0.0, 0u32), |(sum, count), load| {
            (sum + load.backlog_tokens as f64, count + 1)
        });
        sum / f64::from(count.max(1))
    }

    /// Returns whether one more endpoint may be ejected.
    pub fn may_eject(&self, now: Monotonic) -> bool {
        let (total, ejected) = self.all_subsets().filter_map(|i| self.views.get(i)).fold(
            (0usize, 0usize),
            |(total, ejected), view| {
                (
                    total + 1,
                    ejected + usize::from(view.health.is_ejected(now)),
                )
            },
        );
        (ejected + 1) * 100 <= total * MAX_EJECTED_PERCENT
    }

    fn rebuild_subsets(&mut self, entry: &EntryName) {
        let seed = xxh3_64_with_seed(entry.as_str().as_bytes(), 0);
        let mut by_score: Vec<(u64, usize)> = (0..)
            .zip(&self.views)
            .map(|(i, v)| {
                let name = v.endpoint.name.as_str().as_bytes();
                (xxh3_64_with_seed(name, seed), i)
            })
            .collect();
        by_score.sort_unstable();
        self.subsets.clear();
        for (_, i) in by_score {
            let Some(view) = self.views.get(i) else {
                continue;
            };
            let subset = self.subsets.entry(view.version.clone()).or_default();
            if subset.len() < SUBSET_SIZE {
                subset.push(i);
            }
        }
        self.assign_slots();
    }

    fn assign_slots(&mut self) {
        let wanted: Vec<EndpointName> = self
            .all_subsets()
            .filter_map(|i| Some(self.views.get(i)?.endpoint.name.clone()))
            .collect();
        let gone: Vec<EndpointName> = self
            .slots
            .keys()
            .filter(|name| !wanted.contains(name))
            .cloned()
            .collect();
        for name in gone {
            if let Some(slot) = self.slots.remove(&name) {
                self.prefix.remove_endpoint(slot);
            }
        }
        let mut free = u64::MAX;
        for slot in self.slots.values() {
            free &= !(1 << slot);
        }
        for name in wanted {
            let slot = free.trailing_zeros() as usize;
            if slot < MAX_SLOTS && !self.slots.contains_key(&name) {
                free &= !(1 << slot);
                self.slots.insert(name, slot);
            }
        }
    }
}
