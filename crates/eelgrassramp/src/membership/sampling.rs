//! Decides by chance which processes read from the platform on behalf of the others.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Monotonic;

/// Time after which the choice is made anew.
pub const SAMPLING_EPOCH: Duration = Duration::from_secs(30);

/// Processes of the fleet that should have a duty at a time.
pub const TARGET_PROCESSES: usize = 12;

/// What a process is chosen for; the choices of different duties are independent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampledRole {
    /// Watches the tables and reads the list of VMs.
    Watcher,
    /// Contends for leases.
    LeaseCandidate,
}

/// One process's share in one duty.
///
/// Each process draws for itself with probability `TARGET_PROCESSES` ÷ fleet size, so the number of
/// readers stays about the same at any fleet size, none is elected, and a dead one is missed
/// for one epoch at most. A fleet of up to `TARGET_PROCESSES` processes all have the duty.
#[derive(Debug, Clone, Copy)]
pub struct RoleSampler {
    seed: u64,
    role: SampledRole,
}

impl RoleSampler {
    /// Creates the share of the process that drew `seed` at its start.
    #[must_use]
    pub const fn new(seed: u64, role: SampledRole) -> Self {
        Self { seed, role }
    }

    /// Tells whether this process has the duty now, in a fleet of `fleet` processes.
    #[must_use]
    pub fn is_selected(&self, now: Monotonic, fleet: usize) -> bool {
        if fleet <= TARGET_PROCESSES {
            return true;
        }
        let offset = Duration::from_millis(self.seed % crate::num::millis(SAMPLING_EPOCH));
        let epoch = (now + offset).as_millis() / crate::num::millis(SAMPLING_EPOCH);
        let name = match self.role {
            SampledRole::Watcher => b"watcher".as_slice(),
            SampledRole::LeaseCandidate => b"mover".as_slice(),
        };
        let drawn = xxh3_64_with_seed(name, self.seed ^ epoch.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        // The highest bits as a number from 0 to 1.
        let drawn = (drawn >> 11) as f64 / (1_u64 << 53) as f64;
        drawn < TARGET_PROCESSES as f64 / fleet as f64
    }
}
