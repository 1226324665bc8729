//! Decides by chance which processes read from the platform on behalf of the others.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Monotonic;

/// Time after which the choice is made anew.
pub const EPOCH: Duration = Duration::from_secs(30);

/// Processes of the fleet that should have a duty at a time.
pub const WANTED: usize = 12;

/// What a process is chosen for; the choices of different duties are independent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyRole {
    /// Watches the tables and reads the list of VMs.
    Watcher,
    /// Contends for leases.
    Mover,
}

/// One process's share in one duty.
///
/// Each process draws for itself with probability `WANTED` ÷ fleet size, so the number of
/// readers stays about the same at any fleet size, none is elected, and a dead one is missed
/// for one epoch at most. A fleet of up to `WANTED` processes all have the duty.
#[derive(Debug, Clone, Copy)]
pub struct Duty {
    seed: u64,
    role: DutyRole,
}

impl Duty {
    /// Creates the share of the process that drew `seed` at its start.
    #[must_use]
    pub const fn new(seed: u64, role: DutyRole) -> Self {
        Self { seed, role }
    }

    /// Tells whether this process has the duty now, in a fleet of `fleet` processes.
    #[must_use]
    pub fn is_mine(&self, now: Monotonic, fleet: usize) -> bool {
        if fleet <= WANTED {
            return true;
        }
        let offset = Duration::from_millis(self.seed % crate::num::millis(EPOCH));
        let epoch = (now + offset).as_millis() / crate::num::millis(EPOCH);
        let name = match self.role {
            DutyRole::Watcher => b"watcher".as_slice(),
            DutyRole::Mover => b"mover".as_slice(),
        };
        let drawn = xxh3_64_with_seed(name, self.seed ^ epoch.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        // The highest bits as a number from 0 to 1.
        let drawn = (drawn >> 11) as f64 / (1_u64 << 53) as f64;
        drawn < WANTED as f64 / fleet as f64
    }
}
