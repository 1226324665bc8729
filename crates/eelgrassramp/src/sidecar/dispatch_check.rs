//! Checks of a dispatch that do not depend on the ledger.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::error::Kind;
use crate::id::RequestId;
use crate::key;
use crate::ledger::Refusal;
use crate::name::EndpointName;
use crate::name::VersionName;
use crate::tables::Endpoint;
use crate::tables::FormerMembers;
use crate::tables::Pool;
use crate::wire::Dispatch;

use super::state::Shared;
use super::state::State;

impl Shared {
    /// Checks a dispatch against the tables, the brakes and the leave signals.
    pub(super) fn check_dispatch(&self, state: &State, msg: &Dispatch) -> Result<(), Refusal> {
        if self.is_draining(state) {
            let detail = format!("endpoint {:?} is draining", self.settings.endpoint);
            return Err(Refusal::not_run(Kind::Draining, detail));
        }
        self.check_tables(msg)?;
        self.check_pool_and_version(state, msg)?;
        self.check_home(msg)?;
        if state
            .brakes
            .is_braked(&msg.pool, &msg.version, state.move_tables())
        {
            let detail = format!("version {:?} of pool {:?} is braked", msg.version, msg.pool);
            return Err(Refusal::not_run(Kind::Braked, detail));
        }
        Ok(())
    }

    fn check_tables(&self, msg: &Dispatch) -> Result<(), Refusal> {
        let known = self.tables.get().version;
        if msg.tables >= known {
            return Ok(());
        }
        let detail = format!(
            "table version {} is older than the current {known}",
            msg.tables
        );
        Err(Refusal::not_run(Kind::StaleTables, detail))
    }

    fn check_pool_and_version(&self, state: &State, msg: &Dispatch) -> Result<(), Refusal> {
        if msg.pool == self.settings.pool && msg.version == state.version && !state.is_loading {
            return Ok(());
        }
        let detail = format!(
            "endpoint {:?} serves version {:?} of pool {:?}, not {:?} of {:?}",
            self.settings.endpoint, state.version, self.settings.pool, msg.version, msg.pool,
        );
        Err(Refusal::not_run(Kind::NotServed, detail))
    }

    /// Checks that no other endpoint can run a request with this idempotency key.
    ///
    /// If the entry uses newer tables than this sidecar, only the entry can check this, and its
    /// choice is accepted.
    fn check_home(&self, msg: &Dispatch) -> Result<(), Refusal> {
        let tables = self.tables.get();
        let (Some(key), Some(pool)) = (msg.key, tables.pools.get(&msg.pool)) else {
            return Ok(());
        };
        if msg.tables != tables.version {
            return Ok(());
        }
        let own = &self.settings.endpoint;
        if home_of(pool, &msg.version, key, |e| !e.leaving) != Some(own) {
            let detail = format!("endpoint {own:?} is not the home of the idempotency key");
            return Err(Refusal::not_run(Kind::NotServed, detail));
        }
        let are_former_homes_closed = msg.former_homes_closed >= Some(tables.version);
        if msg.non_idempotent && !are_former_homes_closed && self.has_other_homes(pool, key) {
            let detail = "the idempotency key was not closed at its former homes";
            return Err(Refusal::not_run(Kind::NotServed, detail));
        }
        Ok(())
    }

    /// Returns whether another endpoint is or was the home of the key by the tables of any entry.
    fn has_other_homes(&self, pool: &Pool, key: RequestId) -> bool {
        let own = &self.settings.endpoint;
        let versions: BTreeSet<_> = pool.endpoints.values().map(|e| &e.version).collect();
        let is_other = |home: Option<&EndpointName>| home.is_some_and(|home| home != own);
        let has_other_home_now = versions.into_iter().any(|version| {
            is_other(home_of(pool, version, key, |_| true))
                || is_other(home_of(pool, version, key, |e| !e.leaving))
        });
        has_other_home_now
            || pool
                .former
                .iter()
                .filter(|f| self.may_hold_keys(f))
                .any(|f| f.sidecars.keys().any(|name| name != own))
    }

    /// Returns whether a former set of endpoints may still hold records of keys.
    fn may_hold_keys(&self, former: &FormerMembers) -> bool {
        let age = self.cx.timers.wall_now().duration_since(former.until);
        let limits = self.settings.ledger_limits();
        // A time in the future comes from a clock ahead of this one and counts as recent.
        Duration::try_from(age).map_or(true, |age| {
            age <= limits.key_retention + limits.clock_margin
        })
    }
}

fn home_of<'a>(
    pool: &'a Pool,
    version: &VersionName,
    key: RequestId,
    is_member: impl Fn(&Endpoint) -> bool,
) -> Option<&'a EndpointName> {
    let members = pool
        .endpoints
        .values()
        .filter(|e| e.version == *version && is_member(e))
        .map(|e| &e.name);
    key::home_endpoint(key, members)
}
