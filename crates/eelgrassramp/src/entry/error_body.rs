//! JSON rendering of errors in responses.

use bytes::Bytes;
use serde::Serialize;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::wire::Header;

#[derive(Debug)]
#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Detail<'a> {
    kind: Kind,
    message: &'a str,
    ran: Ran,
}

/// Renders an error as the body of a response.
pub(super) fn to_json(err: &Error, ran: Ran) -> Bytes {
    let body = Body {
        error: Detail {
            kind: err.kind(),
            message: err.detail(),
            ran,
        },
    };
    serde_json::to_vec(&body).map_or_else(|_| Bytes::from_static(b"{}"), Bytes::from)
}

/// Renders an error as a server-sent event, for a stream whose response head was already sent.
pub(super) fn to_event(err: &Error, ran: Ran) -> Bytes {
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend_from_slice(&to_json(err, ran));
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// Returns the content type of [`to_json`].
pub(super) fn content_type() -> Header {
    Header {
        name: "content-type".to_owned(),
        value: b"application/json".to_vec(),
    }
}
