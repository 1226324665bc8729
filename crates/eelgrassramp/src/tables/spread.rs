//! Spreads tables between processes without the platform.
//!
//! A process that sees another with newer tables fetches them there, and one that sees another
//! with older tables hands them over. Sidecars are where entries meet, so a change that one
//! process knows reaches all of them though the object API is gone: see
//! `docs/design/tables.md`, "Spreading".

mod core;
mod shell;

pub use self::core::SpreadAction;
pub use self::core::SpreadCore;
pub use self::core::SpreadEvent;
pub use self::shell::Spread;
