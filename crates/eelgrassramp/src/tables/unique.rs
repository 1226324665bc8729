//! Deserializes a JSON object as a map and rejects duplicate keys.

use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::Visitor;

/// Deserializes the map; without this check the last value of a duplicate key would be used
/// silently.
pub(super) fn deserialize<'de, D, K, V>(deserializer: D) -> Result<BTreeMap<K, V>, D::Error>
where
    D: Deserializer<'de>,
    K: Deserialize<'de> + Ord + fmt::Debug,
    V: Deserialize<'de>,
{
    deserializer.deserialize_map(UniqueMap(PhantomData))
}

struct UniqueMap<K, V>(PhantomData<(K, V)>);

impl<'de, K, V> Visitor<'de> for UniqueMap<K, V>
where
    K: Deserialize<'de> + Ord + fmt::Debug,
    V: Deserialize<'de>,
{
    type Value = BTreeMap<K, V>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut out = BTreeMap::new();
        while let Some(key) = map.next_key()? {
            if out.contains_key(&key) {
                return Err(A::Error::custom(format_args!("{key:?} is given twice")));
            }
            out.insert(key, map.next_value()?);
        }
        Ok(out)
    }
}
