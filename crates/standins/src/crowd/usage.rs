//! Memory and sockets of a process, as the platform counts them.

use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::task::JoinHandle;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which a process that still reads has read something.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of checks whether a process still reads.
const MAX_READ_CHECKS: u32 = 30;

/// Bytes in the unit of `/proc/PID/status`.
const KIBIBYTE: u64 = 1_024;

/// State of an established connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

/// State of a connection in `/proc/net/tcp` that the client has closed.
const CLOSE_WAIT: &str = "08";

/// What a process used at one moment, or the most of each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory, and bytes that were received for the process and not read by it yet.
    pub memory_bytes: u64,
    /// The part of `memory_bytes` that was not read yet.
    pub unread_bytes: u64,
    /// Open sockets and pipes.
    pub sockets: usize,
}

impl Usage {
    /// Reads what a process uses that listens on these addresses; `None` if it has ended.
    #[must_use]
    pub fn of(pid: u32, listeners: &[SocketAddr]) -> Option<Self> {
        let resident_bytes = resident_bytes(pid)?;
        let Descriptors { sockets, pipes } = Descriptors::of(pid)?;
        let unread_bytes = unread_bytes(&sockets, listeners);
        Some(Self {
            memory_bytes: resident_bytes + unread_bytes,
            unread_bytes,
            sockets: sockets.len() + pipes,
        })
    }

    fn max(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            unread_bytes: self.unread_bytes.max(other.unread_bytes),
            sockets: self.sockets.max(other.sockets),
        }
    }
}

/// Samples what a process uses until it is dropped.
#[derive(Debug)]
pub struct UsageWatch {
    pid: u32,
    listeners: Vec<SocketAddr>,
    peak: Arc<Mutex<Usage>>,
    task: JoinHandle<()>,
}

impl UsageWatch {
    /// Starts to watch a process that listens on these addresses.
    #[must_use]
    pub fn start(pid: u32, listeners: &[SocketAddr]) -> Self {
        let peak = Arc::new(Mutex::new(Usage::default()));
        let shared = Arc::clone(&peak);
        let sampled = listeners.to_vec();
        let task = tokio::spawn(async move {
            while let Some(usage) = Usage::of(pid, &sampled) {
                raise(&shared, usage);
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self {
            pid,
            listeners: listeners.to_vec(),
            peak,
            task,
        }
    }

    /// Waits until the process has read what its clients sent, or reads no more of it.
    pub async fn wait_until_read(&self) {
        let mut unread_bytes = None;
        for _ in 0..MAX_READ_CHECKS {
            tokio::time::sleep(READ_CHECK_INTERVAL).await;
            let now = Usage::of(self.pid, &self.listeners).map(|usage| usage.unread_bytes);
            if now == unread_bytes {
                return;
            }
            unread_bytes = now;
        }
    }

    /// Returns the most that the process used in any sample.
    #[must_use]
    pub fn peak(&self) -> Usage {
        *self.peak.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn raise(peak: &Mutex<Usage>, usage: Usage) {
    let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
    *peak = peak.max(usage);
}

fn resident_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kib * KIBIBYTE)
}

/// Descriptors of a process that are not files.
#[derive(Debug, Default)]
struct Descriptors {
    /// Inodes of the sockets.
    sockets: HashSet<u64>,
    pipes: usize,
}

impl Descriptors {
    fn of(pid: u32) -> Option<Self> {
        let mut descriptors = Self::default();
        for f in fs::read_dir(format!("/proc/{pid}/fd")).ok()?.flatten() {
            // A descriptor that was closed meanwhile has no target.
            let Ok(target) = fs::read_link(f.path()) else {
                continue;
            };
            descriptors.add(&target.to_string_lossy());
        }
        Some(descriptors)
    }

    fn add(&mut self, target: &str) {
        if target.starts_with("pipe:") {
            self.pipes += 1;
        }
        let inode = target.strip_prefix("socket:[");
        let inode = inode.and_then(|inode| inode.strip_suffix(']')?.parse::<u64>().ok());
        self.sockets.extend(inode);
    }
}

/// Returns the bytes that wait in these sockets, and in connections to `listeners` that wait for being
/// accepted.
fn unread_bytes(sockets: &HashSet<u64>, listeners: &[SocketAddr]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let listeners: Vec<String> = listeners.iter().filter_map(hex_address).collect();
    let rows = table.lines().filter_map(Row::parse);
    let rows = rows.filter(|row| {
        let is_unaccepted = row.inode == 0 && listeners.iter().any(|l| l == row.local);
        is_unaccepted || sockets.contains(&row.inode)
    });
    rows.map(|row| row.unread_bytes).sum()
}

/// A connection in `/proc/net/tcp`.
struct Row<'a> {
    local: &'a str,
    unread_bytes: u64,
    inode: u64,
}

impl<'a> Row<'a> {
    /// Parses a row; `None` for listeners and other rows without received bytes.
    fn parse(line: &'a str) -> Option<Self> {
        let mut fields = line.split_ascii_whitespace();
        let local = fields.nth(1)?;
        let state = fields.nth(1)?;
        if state != ESTABLISHED && state != CLOSE_WAIT {
            return None;
        }
        let (_, unread) = fields.next()?.split_once(':')?;
        Some(Self {
            local,
            unread_bytes: u64::from_str_radix(unread, 16).ok()?,
            inode: fields.nth(4)?.parse().ok()?,
        })
    }
}

/// Returns an IPv4 address as `/proc/net/tcp` writes it.
fn hex_address(addr: &SocketAddr) -> Option<String> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    Some(format!("{ip:08X}:{:04X}", addr.port()))
}
