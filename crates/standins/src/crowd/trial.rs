//! A process that a crowd sends to, and what remains of it.

use std::net::SocketAddr;

use super::OrdinaryCaller;
use super::Usage;
use super::UsageWatch;

/// What the VM allows a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Resident memory, and bytes that were received and not read.
    pub memory_bytes: u64,
    /// Open sockets and pipes.
    pub sockets: usize,
}

/// A process that a crowd sends to, and an ordinary caller of the system that it belongs to.
#[derive(Debug)]
pub struct Trial {
    /// Process id.
    pub pid: u32,
    /// Addresses that the process listens on.
    pub listeners: Vec<SocketAddr>,
    /// Caller beside the crowd.
    pub caller: OrdinaryCaller,
    /// Largest body that the tables allow.
    pub max_body_bytes: usize,
}

/// What the process used, and whether the caller was served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// The most that the process used.
    pub peak: Usage,
    /// Whether an ordinary request was served while the clients of the crowd stayed connected.
    pub is_ordinary_request_served: bool,
    /// Whether a request of the largest size was served after they had gone.
    pub is_largest_request_served: bool,
}

impl Trial {
    /// Lets a crowd send, which stays connected until it is dropped, and the caller beside it and after it.
    pub async fn run<C>(&self, crowd: impl Future<Output = C>) -> Outcome {
        let watch = UsageWatch::start(self.pid, &self.listeners);
        let crowd = crowd.await;
        watch.wait_until_read().await;
        let is_ordinary_request_served = self.caller.is_served(0).await;
        drop(crowd);
        let is_largest_request_served = self.caller.is_served(self.max_body_bytes).await;
        let outcome = Outcome {
            peak: watch.peak(),
            is_ordinary_request_served,
            is_largest_request_served,
        };
        println!("{outcome:?}");
        outcome
    }
}

impl Outcome {
    /// Returns what is wrong: where the process exceeded its bounds, and which request was not served.
    #[must_use]
    pub fn violations(&self, bounds: Bounds) -> Vec<String> {
        let Self {
            peak,
            is_ordinary_request_served,
            is_largest_request_served,
        } = *self;
        let checks = [
            (
                peak.memory_bytes >= bounds.memory_bytes,
                format!("memory of {} bytes", peak.memory_bytes),
            ),
            (
                peak.sockets >= bounds.sockets,
                format!("{} sockets and pipes", peak.sockets),
            ),
            (
                !is_ordinary_request_served,
                "no answer beside the crowd".to_owned(),
            ),
            (
                !is_largest_request_served,
                "no answer to a request of the largest size".to_owned(),
            ),
        ];
        let violations = checks.into_iter().filter(|(is_violated, _)| *is_violated);
        violations.map(|(_, what)| what).collect()
    }
}
