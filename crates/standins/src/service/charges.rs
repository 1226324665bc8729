//! Execution counts of the charges.

use std::collections::BTreeMap;
use std::sync::Arc;

/// One charge with its number of executions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// The idempotency key, or the request id when there is none.
    pub key: Arc<str>,
    /// Number of executions.
    pub executions: u32,
}

/// All charges of one service.
#[derive(Debug, Default)]
pub(super) struct Charges {
    executions: BTreeMap<Arc<str>, u32>,
}

impl Charges {
    /// Executes a charge, unless it was executed before and `honour_keys` is set; returns its
    /// number of executions.
    pub(super) fn execute(&mut self, key: &str, times: u32, honour_keys: bool) -> u32 {
        let executions = self.executions.entry(key.into()).or_default();
        if *executions == 0 || !honour_keys {
            *executions += times;
        }
        *executions
    }

    pub(super) fn list(&self) -> Vec<Charge> {
        let charges = self.executions.iter();
        charges
            .map(|(key, executions)| Charge {
                key: Arc::clone(key),
                executions: *executions,
            })
            .collect()
    }
}
