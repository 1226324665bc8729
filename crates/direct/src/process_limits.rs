//! What the platform allows the process to use, and how it is divided.

/// Sockets of a process whose settings name no maximum.
const DEFAULT_SOCKETS: usize = 4_000;

/// Percentage of the sockets that callers' connections may take. The rest is for endpoints, the store and other
/// entries.
const CALLER_SOCKET_PERCENT: usize = 70;

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
        let sockets = self.sockets.unwrap_or(DEFAULT_SOCKETS);
        let by_sockets = sockets * CALLER_SOCKET_PERCENT / 100;
        let by_memory = self.memory_bytes.map_or(usize::MAX, |bytes| {
            bytes / 100 * CALLER_MEMORY_PERCENT / CONNECTION_BYTES
        });
        by_sockets.min(by_memory).max(1)
    }
}
