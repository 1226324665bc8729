//! Versions that a pool serves with no longer, although the order that says so was replaced or deleted.
//!
//! The endpoints of a version that was rolled back go on running for some time. An operator may order
//! the next version meanwhile, so what was decided about a version outlasts its order. See
//! `docs/design/platform.md`, "Moves".

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::VersionName;

use super::Dispatcher;
use super::pool::PoolState;
use crate::endpoint_tracker::EndpointTracker;
use crate::rollout::Rollout;
use crate::rollout::RolloutOutcome;

/// Time after which a version is forgotten that has no endpoints.
const RETENTION: Duration = Duration::from_mins(1);

/// Why a version was withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// It has a fault.
    RolledBack,
    /// Its order was replaced or deleted before it was judged. It serves if nothing else does.
    NotJudged,
}

#[derive(Debug, Clone, Copy)]
struct Withdrawal {
    cause: Cause,
    /// When the pool last had endpoints of the version.
    seen_at: Monotonic,
}

/// The withdrawn versions of one pool.
#[derive(Debug, Default)]
pub(super) struct WithdrawnVersions {
    versions: BTreeMap<VersionName, Withdrawal>,
}

impl WithdrawnVersions {
    /// Withdraws the new version of a rollout that ends because its order is gone, unless it was
    /// completed.
    pub(super) fn record_end(&mut self, now: Monotonic, rollout: &Rollout) {
        let cause = match rollout.outcome() {
            Some(RolloutOutcome::Completed) => return,
            Some(RolloutOutcome::RolledBack) => Cause::RolledBack,
            None => Cause::NotJudged,
        };
        self.withdraw(now, &rollout.order().new_version, cause);
    }

    /// Withdraws a version that the platform's store says was rolled back.
    pub(super) fn record_roll_back(&mut self, now: Monotonic, version: &VersionName) {
        self.withdraw(now, version, Cause::RolledBack);
    }

    fn withdraw(&mut self, now: Monotonic, version: &VersionName, cause: Cause) {
        let withdrawal = Withdrawal {
            cause,
            seen_at: now,
        };
        let known = self.versions.entry(version.clone()).or_insert(withdrawal);
        known.seen_at = now;
        if cause == Cause::RolledBack {
            known.cause = cause;
        }
    }

    /// Takes a version into use again, because it is ordered again.
    pub(super) fn reinstate(&mut self, version: &VersionName) {
        self.versions.remove(version);
    }

    /// Returns whether a version was withdrawn.
    pub(super) fn contains(&self, version: &VersionName) -> bool {
        self.versions.contains_key(version)
    }

    /// Returns the versions that get no requests, given the versions that could serve.
    pub(super) fn barred<'a>(
        &'a self,
        mut in_service: impl Iterator<Item = &'a VersionName>,
    ) -> Vec<&'a VersionName> {
        if self.versions.is_empty() {
            return Vec::new();
        }
        let has_others = in_service.any(|version| !self.contains(version));
        let barred = self
            .versions
            .iter()
            .filter(|(_, withdrawal)| has_others || withdrawal.cause == Cause::RolledBack);
        barred.map(|(version, _)| version).collect()
    }

    /// Forgets versions that have had no endpoints for some time.
    pub(super) fn expire(
        &mut self,
        now: Monotonic,
        trackers: &BTreeMap<EndpointName, EndpointTracker>,
    ) {
        self.versions.retain(|version, withdrawal| {
            let has_endpoints = trackers
                .values()
                .any(|tracker| tracker.endpoint().version == *version);
            if has_endpoints {
                withdrawal.seen_at = now;
            }
            now.since(withdrawal.seen_at) < RETENTION
        });
    }
}

impl PoolState {
    /// Returns the versions that get no requests.
    ///
    /// A version that was not judged gives way only to one that is neither withdrawn nor being judged.
    fn barred_versions(&self) -> Vec<&VersionName> {
        let in_service = self
            .trackers
            .values()
            .filter(|tracker| tracker.is_in_service())
            .map(|tracker| &tracker.endpoint().version);
        let new = self.rollout.as_ref().map(|r| &r.order().new_version);
        self.withdrawn
            .barred(in_service.filter(|version| Some(*version) != new))
    }

    /// Returns the endpoints in service whose version gets requests.
    pub(super) fn serving_trackers(&self) -> impl Iterator<Item = &EndpointTracker> {
        let barred = self.barred_versions();
        self.trackers
            .values()
            .filter(|tracker| tracker.is_in_service())
            .filter(move |tracker| !barred.contains(&&tracker.endpoint().version))
    }
}

impl Dispatcher {
    /// Returns the withdrawn versions by pool.
    pub fn withdrawn_versions(&self) -> impl Iterator<Item = (&PoolName, &VersionName)> {
        self.pools.iter().flat_map(|(name, pool)| {
            let versions = pool.withdrawn.versions.keys();
            versions.map(move |version| (name, version))
        })
    }
}
