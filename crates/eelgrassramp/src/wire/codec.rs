//! MessagePack bodies and length-prefixed frames.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;

/// Maximum size of a frame or message body in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Encodes `message` as one MessagePack body.
///
/// # Errors
///
/// Returns [`Kind::Internal`] if `message` cannot be encoded.
pub fn to_bytes<T: Serialize>(message: &T) -> Result<Bytes> {
    rmp_serde::to_vec(message)
        .map(Bytes::from)
        .map_err(|e| Error::with_source(Kind::Internal, "encode message", e))
}

/// Decodes one MessagePack body.
///
/// # Errors
///
/// Returns [`Kind::Malformed`] if `body` is too large or cannot be decoded as a `T`.
pub fn from_bytes<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    check_length(body.len())?;
    rmp_serde::from_slice(body)
        .map_err(|e| Error::with_source(Kind::Malformed, "decode message", e))
}

/// Encodes `message` as one frame: the length of the body as a four-byte big-endian integer, then
/// the body.
///
/// # Errors
///
/// Returns [`Kind::Internal`] if `message` cannot be encoded, or [`Kind::Malformed`] if it is too
/// large.
pub fn to_frame<T: Serialize>(message: &T) -> Result<Bytes> {
    let body = to_bytes(message)?;
    check_length(body.len())?;
    let length = u32::try_from(body.len())
        .map_err(|e| Error::with_source(Kind::Internal, "frame length", e))?;
    let mut buf = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    buf.put_u32(length);
    buf.put(body);
    Ok(buf.freeze())
}

fn check_length(length: usize) -> Result<()> {
    if length > MAX_MESSAGE_BYTES {
        let detail = format!("message of {length} bytes exceeds {MAX_MESSAGE_BYTES}");
        return Err(Error::new(Kind::Malformed, detail));
    }
    Ok(())
}

/// Incremental decoder of a stream of frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: BytesMut,
}

impl FrameDecoder {
    /// Creates a decoder with an empty buffer.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] if a frame is too large or cannot be decoded as a `T`.
    pub fn next_frame<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Some(prefix) = self.buf.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = crate::num::length(u64::from(u32::from_be_bytes(*prefix)));
        check_length(length)?;
        if self.buf.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_PREFIX_BYTES);
        let body = self.buf.split_to(length);
        from_bytes(&body).map(Some)
    }
}
