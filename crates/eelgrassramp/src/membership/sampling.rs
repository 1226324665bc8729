//! Random selection of the processes that use the platform's API on behalf of the fleet.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Monotonic;

/// Time after which the selection is repeated.
pub const SAMPLING_EPOCH: Duration = Duration::from_secs(30);

/// Target number of processes with a role at any time.
pub const TARGET_PROCESSES: usize = 12;

/// Role that a process is selected for; the selections for different roles are independent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampledRole {
    /// Watches the tables and reads the list of VMs.
    Watcher,
    /// Tries to acquire leases.
    LeaseCandidate,
}

/// Selection of one process for one role.
///
/// Each process selects itself with probability `TARGET_PROCESSES` ÷ fleet size. The number of
/// selected processes is thus about the same for any fleet size without an election, and a failed
/// one is missing for one epoch at most. In a fleet of up to `TARGET_PROCESSES` processes, all are
/// selected.
#[derive(Debug, Clone, Copy)]
pub struct RoleSampler {
    seed: u64,
    role: SampledRole,
}

impl RoleSampler {
    /// Creates the sampler of a process with the random number `seed`, drawn at its start.
    #[must_use]
    pub const fn new(seed: u64, role: SampledRole) -> Self {
        Self { seed, role }
    }

    /// Returns whether this process has the role at `now`, in a fleet of `fleet_size` processes.
    #[must_use]
    pub fn is_selected(&self, now: Monotonic, fleet_size: usize) -> bool {
        if fleet_size <= TARGET_PROCESSES {
            return true;
        }
        let offset = Duration::from_millis(self.seed % crate::num::millis(SAMPLING_EPOCH));
        let epoch = (now + offset).as_millis() / crate::num::millis(SAMPLING_EPOCH);
        let role_name = match self.role {
            SampledRole::Watcher => b"watcher".as_slice(),
            SampledRole::LeaseCandidate => b"mover".as_slice(),
        };
        let drawn = xxh3_64_with_seed(
            role_name,
            self.seed ^ epoch.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        );
        // The upper 53 bits as a number from 0 to 1.
        let drawn = (drawn >> 11) as f64 / (1_u64 << 53) as f64;
        drawn < TARGET_PROCESSES as f64 / fleet_size as f64
    }
}
