//! Which dispatches an endpoint takes, apart from what its ledger says.

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
    /// Checks a dispatch against the tables, the brakes and the signals of leaving.
    pub(super) fn check_dispatch(&self, state: &State, msg: &Dispatch) -> Result<(), Refusal> {
        if self.is_draining(state) {
            let detail = format!("endpoint {:?} is leaving", self.settings.endpoint);
            return Err(Refusal::not_run(Kind::Draining, detail));
        }
        self.check_tables(msg)?;
        self.check_served(state, msg)?;
        self.check_home(msg)?;
        if state
            .brakes
            .stops(&msg.pool, &msg.version, state.move_tables())
        {
            let detail = format!("version {:?} of pool {:?} is bad", msg.version, msg.pool);
            return Err(Refusal::not_run(Kind::Braked, detail));
        }
        Ok(())
    }

    fn check_tables(&self, msg: &Dispatch) -> Result<(), Refusal> {
        let known = self.tables.get().version;
        if msg.tables >= known {
            return Ok(());
        }
        let detail = format!("tables {} are outdated by {known}", msg.tables);
        Err(Refusal::not_run(Kind::StaleTables, detail))
    }

    fn check_served(&self, state: &State, msg: &Dispatch) -> Result<(), Refusal> {
        if msg.pool == self.settings.pool && msg.version == state.version && !state.is_loading {
            return Ok(());
        }
        let detail = format!(
            "endpoint {:?} serves version {:?} of pool {:?}, not {:?} of {:?}",
            self.settings.endpoint, state.version, self.settings.pool, msg.version, msg.pool,
        );
        Err(Refusal::not_run(Kind::NotServed, detail))
    }

    /// Checks that no other endpoint may run a request with this idempotency key.
    ///
    /// When the entry follows newer tables, the entry alone can tell; what it says counts.
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
            let detail = format!("endpoint {own:?} is not the home of the key");
            return Err(Refusal::not_run(Kind::NotServed, detail));
        }
        let is_closed_elsewhere = msg.former_homes_closed >= Some(tables.version);
        if msg.non_idempotent && !is_closed_elsewhere && self.has_other_homes(pool, key) {
            let detail = "the key was not closed at its former homes";
            return Err(Refusal::not_run(Kind::NotServed, detail));
        }
        Ok(())
    }

    /// Tells whether another endpoint is or was the home of the key for some entry.
    fn has_other_homes(&self, pool: &Pool, key: RequestId) -> bool {
        let own = &self.settings.endpoint;
        let versions: BTreeSet<_> = pool.endpoints.values().map(|e| &e.version).collect();
        let is_other = |home: Option<&EndpointName>| home.is_some_and(|home| home != own);
        let is_other_now = versions.into_iter().any(|version| {
            is_other(home_of(pool, version, key, |_| true))
                || is_other(home_of(pool, version, key, |e| !e.leaving))
        });
        is_other_now
            || pool
                .former
                .iter()
                .filter(|f| self.may_remember(f))
                .any(|f| f.sidecars.keys().any(|name| name != own))
    }

    /// Tells whether an earlier set of endpoints may still remember keys.
    fn may_remember(&self, former: &FormerMembers) -> bool {
        let age = self.cx.timers.wall_now().duration_since(former.until);
        let limits = self.settings.ledger_limits();
        // An edit dated in the future, by a clock ahead of this one, is recent.
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
