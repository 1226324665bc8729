//! Parser for JSON with comments.

use std::io::Read;
use std::path::Path;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;

/// Parses a `T` from JSON with `//`, `#` and `/* */` comments.
///
/// `origin` names the source of the text in errors. An error gives the path of the invalid field
/// and its line and column.
///
/// # Errors
///
/// Returns an error of `kind` if the text is not valid JSON or not a valid `T`.
///
/// # Examples
///
/// ```
/// use eelgrassramp::{Kind, jsonc};
///
/// let text = "[1, 2, /* three */ 3]";
/// let list: Vec<u8> = jsonc::from_str(text, "list.jsonc", Kind::InvalidSettings)?;
/// assert_eq!(list, [1, 2, 3]);
/// # Ok::<(), eelgrassramp::Error>(())
/// ```
pub fn from_str<T: DeserializeOwned>(text: &str, origin: &str, kind: Kind) -> Result<T> {
    let mut json = String::with_capacity(text.len());
    StripComments::new(text.as_bytes())
        .read_to_string(&mut json)
        .map_err(|e| Error::with_source(kind, format!("{origin}: comments"), e))?;
    let de = &mut serde_json::Deserializer::from_str(&json);
    let value = serde_path_to_error::deserialize(&mut *de).map_err(|e| {
        let location = e.path().to_string();
        let location = if location == "." {
            "top level".to_owned()
        } else {
            format!("field \"{location}\"")
        };
        Error::new(kind, format!("{origin}: {location}: {}", e.into_inner()))
    })?;
    de.end()
        .map_err(|e| Error::new(kind, format!("{origin}: {e}")))?;
    Ok(value)
}

/// Reads a `T` from a file of JSON with comments.
///
/// # Errors
///
/// Returns an error of `kind` if the file cannot be read or is not a valid `T`.
pub fn from_file<T: DeserializeOwned>(path: &Path, kind: Kind) -> Result<T> {
    let origin = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::with_source(kind, format!("file {origin:?}"), e))?;
    from_str(&text, &origin, kind)
}
