//! Fault switches of the object API.

use std::time::Duration;

/// What is wrong with the object API at present.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails and changes nothing.
    pub outage: bool,
    /// Every call takes this much longer.
    pub delay: Duration,
    /// The replies of this many coming writes are lost after the write took effect.
    pub lost_replies: u32,
    /// Reads answer with the value before the last write.
    pub old_replies: bool,
    /// Watches never answer, not even after their wait.
    pub silent_watches: bool,
}

/// A fault that was really injected, for checks that a test did what it says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FiredFault {
    /// A call failed because of the outage.
    Outage,
    /// A call was delayed.
    Delay,
    /// A reply was lost after its write took effect.
    LostReply,
    /// A read was answered with an old value.
    OldReply,
    /// A watch went silent.
    SilentWatch,
    /// A call was refused by the rate limit.
    RateLimit,
}
