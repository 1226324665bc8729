//! The book of charges: how often each was executed.

use std::collections::BTreeMap;
use std::sync::Arc;

/// One charge and how often it was executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// The idempotency key, or the request id when there is none.
    pub key: Arc<str>,
    /// How often it was executed.
    pub executions: u32,
}

/// All charges of one service.
#[derive(Debug, Default)]
pub(super) struct Charges {
    executions: BTreeMap<Arc<str>, u32>,
}

impl Charges {
    /// Executes a charge, unless it is known and `honour_keys` is set; returns its count.
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
