//! Fault switches of the object API.

use std::time::Duration;

/// Faults currently injected into the object API.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails and changes nothing.
    pub outage: bool,
    /// Additional delay of every call.
    pub delay: Duration,
    /// Number of coming writes whose reply is lost after the write took effect.
    pub lost_replies: u32,
    /// Reads return the value before the last write.
    pub stale_reads: bool,
    /// Watches never return, not even after their maximum wait.
    pub hung_watches: bool,
}

/// A kind of injected fault; the counts let a test verify that its fault took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InjectedFault {
    /// A call failed because of the outage.
    Outage,
    /// A call was delayed.
    Delay,
    /// A reply was lost after its write took effect.
    LostReply,
    /// A read returned a stale value.
    StaleRead,
    /// A watch never returned.
    HungWatch,
    /// A call was refused by the rate limit.
    RateLimit,
}
