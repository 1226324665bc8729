//! Versioned objects with conditional updates.

use std::collections::BTreeMap;

use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Result;
use eelgrassramp::store::MAX_VALUE_BYTES;
use eelgrassramp::store::Object;

/// All objects, each with its value before the last write for stale reads.
#[derive(Debug, Default)]
pub(super) struct Objects {
    stored: BTreeMap<String, Stored>,
    last_version: ObjectVersion,
}

#[derive(Debug)]
struct Stored {
    current: Object,
    previous: Object,
}

impl Objects {
    pub(super) fn get(&self, key: &str) -> Object {
        match self.stored.get(key) {
            Some(stored) => stored.current.clone(),
            None => missing(key),
        }
    }

    pub(super) fn previous(&self, key: &str) -> Object {
        match self.stored.get(key) {
            Some(stored) => stored.previous.clone(),
            None => missing(key),
        }
    }

    pub(super) fn list(&self, prefix: &str) -> Vec<Object> {
        let range = self.stored.range(prefix.to_owned()..);
        range
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, stored)| stored.current.clone())
            .collect()
    }

    /// Writes `value` if the object is at version `expected`; `None` writes unconditionally.
    pub(super) fn put(
        &mut self,
        key: &str,
        expected: Option<ObjectVersion>,
        value: Bytes,
    ) -> Result<ObjectVersion> {
        if value.len() > MAX_VALUE_BYTES {
            let detail = format!(
                "object {key:?}: {} bytes exceed {MAX_VALUE_BYTES}",
                value.len()
            );
            return Err(Error::new(Kind::BadRequest, detail));
        }
        let previous = self.get(key);
        if let Some(expected) = expected.filter(|expected| *expected != previous.version) {
            let detail = format!(
                "object {key:?} is at version {}, not {expected}",
                previous.version
            );
            return Err(Error::new(Kind::Conflict, detail));
        }
        self.last_version = self.last_version.next();
        let current = Object {
            key: key.to_owned(),
            version: self.last_version,
            value,
        };
        self.stored
            .insert(key.to_owned(), Stored { current, previous });
        Ok(self.last_version)
    }
}

fn missing(key: &str) -> Object {
    Object {
        key: key.to_owned(),
        version: ObjectVersion(0),
        value: Bytes::new(),
    }
}
