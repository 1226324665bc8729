//! What the platform allows the process to use, and how it is divided.

use eelgrassramp::request_body::BodyLimits;

/// Sockets of a process whose settings name no maximum.
const DEFAULT_SOCKETS: usize = 4_000;

/// Percentage of the sockets that callers' connections may take. The rest is for endpoints, the store and other
/// entries.
const CALLER_SOCKET_PERCENT: usize = 70;

/// Percentage of the sockets that connections of other entries may take.
const PEER_SOCKET_PERCENT: usize = 10;

/// Memory of a process whose settings name no maximum.
const DEFAULT_MEMORY_BYTES: usize = 160 * 1024 * 1024;

/// Percentage of the memory that the bodies of all callers' requests may take together.
///
/// The rest is for connections, responses and state.
const CALLER_BODY_PERCENT: usize = 30;

/// Percentage of the memory that they may take where the tables allow a body of more than that.
const LARGE_CALLER_BODY_PERCENT: usize = 50;

/// Percentage of the memory that messages of other entries may take together while they are received.
const PEER_MESSAGE_PERCENT: usize = 10;

/// Percentage of the memory that callers' connections may take, without the bodies of their requests.
const CALLER_MEMORY_PERCENT: usize = 20;

/// Memory of a connection without the body of its request: bytes that were received and not read, read buffer,
/// head and tasks.
const CONNECTION_BYTES: usize = 40 * 1024;

/// Limits beyond which the platform ends the process or refuses it sockets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes, if it is known.
    pub memory_bytes: Option<usize>,
    /// Sockets and pipes, if their maximum is known.
    pub sockets: Option<usize>,
}

impl ProcessLimits {
    /// Returns the maximum number of callers' connections.
    #[must_use]
    pub fn caller_connections(self) -> usize {
        let by_sockets = self.sockets() * CALLER_SOCKET_PERCENT / 100;
        let by_memory = self.memory_bytes.map_or(usize::MAX, |bytes| {
            bytes / 100 * CALLER_MEMORY_PERCENT / CONNECTION_BYTES
        });
        by_sockets.min(by_memory).max(1)
    }

    /// Returns the maximum number of connections of other entries.
    #[must_use]
    pub fn peer_connections(self) -> usize {
        (self.sockets() * PEER_SOCKET_PERCENT / 100).max(1)
    }

    /// Returns the limits on all bodies of callers' requests together.
    #[must_use]
    pub fn caller_bodies(self) -> BodyLimits {
        let percent = self.memory_bytes() / 100;
        BodyLimits {
            max_bytes: percent * CALLER_BODY_PERCENT,
            max_bytes_of_large: percent * LARGE_CALLER_BODY_PERCENT,
        }
    }

    /// Returns the limits on all messages of other entries together, while they are received.
    #[must_use]
    pub fn peer_messages(self) -> BodyLimits {
        BodyLimits::fixed(self.memory_bytes() / 100 * PEER_MESSAGE_PERCENT)
    }

    fn sockets(self) -> usize {
        self.sockets.unwrap_or(DEFAULT_SOCKETS)
    }

    fn memory_bytes(self) -> usize {
        self.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES)
    }
}
