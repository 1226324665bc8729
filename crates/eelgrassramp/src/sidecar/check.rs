//! Which dispatches an endpoint takes, apart from what its ledger says.

use crate::error::Kind;
use crate::ledger::Refusal;
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
        if msg.pool == self.settings.pool && msg.version == state.version {
            return Ok(());
        }
        let detail = format!(
            "endpoint {:?} serves version {:?} of pool {:?}, not {:?} of {:?}",
            self.settings.endpoint, state.version, self.settings.pool, msg.version, msg.pool,
        );
        Err(Refusal::not_run(Kind::NotServed, detail))
    }
}
