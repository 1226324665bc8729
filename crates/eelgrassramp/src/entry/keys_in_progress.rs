//! Idempotency keys whose requests are in progress at this entry.

use std::collections::HashMap;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::RequestId;

/// Idempotency keys in progress at this entry; completed keys are recorded at their home endpoints.
#[derive(Debug, Default)]
pub(super) struct KeysInProgress {
    fingerprints: HashMap<RequestId, u64>,
}

impl KeysInProgress {
    /// Records that a request with `key` has started.
    pub fn begin(&mut self, key: RequestId, fingerprint: u64) -> Result<()> {
        match self.fingerprints.get(&key) {
            None => {
                self.fingerprints.insert(key, fingerprint);
                Ok(())
            }
            Some(known) if *known == fingerprint => Err(Error::new(
                Kind::KeyInProgress,
                "a request with the same idempotency key is in progress",
            )),
            Some(_) => Err(Error::new(
                Kind::KeyReused,
                "a different request with the same idempotency key is in progress",
            )),
        }
    }

    /// Records that the request with `key` has ended.
    pub fn end(&mut self, key: RequestId) {
        self.fingerprints.remove(&key);
    }
}
