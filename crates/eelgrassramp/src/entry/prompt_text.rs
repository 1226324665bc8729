//! The text of a prompt, read from any of the forms in which callers send it.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// The field of a part of a message that holds text.
const TEXT_FIELD: &str = "text";

/// All text of a prompt or of a message's content: a string, a part with text, or a list of these.
///
/// Everything else in it is skipped, since decoding it as values would take many times the memory of
/// the body.
#[derive(Debug, Default)]
pub(super) struct PromptText(pub Vec<u8>);

impl<'de> Deserialize<'de> for PromptText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(PromptTextVisitor)
    }
}

struct PromptTextVisitor;

impl<'de> Visitor<'de> for PromptTextVisitor {
    type Value = PromptText;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_unit<E>(self) -> Result<PromptText, E> {
        Ok(PromptText::default())
    }

    fn visit_bool<E>(self, _: bool) -> Result<PromptText, E> {
        Ok(PromptText::default())
    }

    fn visit_i64<E>(self, _: i64) -> Result<PromptText, E> {
        Ok(PromptText::default())
    }

    fn visit_u64<E>(self, _: u64) -> Result<PromptText, E> {
        Ok(PromptText::default())
    }

    fn visit_f64<E>(self, _: f64) -> Result<PromptText, E> {
        Ok(PromptText::default())
    }

    fn visit_str<E>(self, v: &str) -> Result<PromptText, E> {
        Ok(PromptText(v.as_bytes().to_vec()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<PromptText, A::Error> {
        let mut text = Vec::new();
        while let Some(PromptText(part)) = seq.next_element()? {
            text.extend(part);
        }
        Ok(PromptText(text))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<PromptText, A::Error> {
        let mut text = PromptText::default();
        while let Some(name) = map.next_key::<String>()? {
            if name == TEXT_FIELD {
                text = map.next_value()?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(text)
    }
}
