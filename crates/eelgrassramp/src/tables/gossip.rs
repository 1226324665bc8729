//! Gossip of tables between processes, without the platform.
//!
//! A process that sees another with newer tables fetches them there, and one that sees another
//! with older tables pushes its own. All entries communicate with sidecars, so a change that one
//! process knows reaches all of them even if the object API is down: see
//! `docs/design/tables.md`, "Spreading".

mod state_machine;
mod task;

pub use self::state_machine::GossipAction;
pub use self::state_machine::GossipEvent;
pub use self::state_machine::GossipState;
pub use self::task::TableGossip;
