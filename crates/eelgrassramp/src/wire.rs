//! Messages between processes of this system, and their encoding.

mod codec;
mod message;

pub use self::codec::FrameDecoder;
pub use self::codec::MAX_MESSAGE_BYTES;
pub use self::codec::from_bytes;
pub use self::codec::to_bytes;
pub use self::codec::to_frame;
pub use self::message::*;
