//! Recovery of a member that is suspended after a failed write.

use crate::replica::Replica;
use crate::state_machine::StateMachine;
use crate::storage::Storage;
use std::time::Duration;
use tracing::{info, warn};

/// Delay between two attempts. A disk may reject writes for seconds, and each attempt writes the complete
/// state.
const RECOVERY_BACKOFF: Duration = Duration::from_millis(250);

/// Set in every random identity, and in no founder's identity: that consists of an address and a port, which
/// take 48 bits.
const RANDOM_IDENTITY_BIT: u64 = 1 << 63;

/// Returns a random identity for a member that is not a founder, from 64 random bits.
pub fn random_identity(bits: u64) -> u64 {
    bits | RANDOM_IDENTITY_BIT
}

/// Schedules the attempts to read the storage again, and provides the identity that the member takes if the
/// storage has lost data.
pub(super) struct StorageRecovery {
    next_attempt_at: Duration,
    /// Random bits for the next replacement identity; incremented after each one that was used.
    replacement_bits: u64,
}

impl StorageRecovery {
    /// `random` is a random number that each process draws at its start.
    pub(super) fn new(random: u64) -> StorageRecovery {
        StorageRecovery { next_attempt_at: Duration::ZERO, replacement_bits: random }
    }

    pub(super) fn next_attempt_at(&self) -> Duration {
        self.next_attempt_at
    }

    /// Attempts to recover a suspended member, unless the last attempt was less than [`RECOVERY_BACKOFF`]
    /// ago.
    pub(super) fn attempt_if_due<M: StateMachine, S: Storage>(
        &mut self,
        now: Duration,
        replica: &mut Replica<M, S>,
    ) {
        if now < self.next_attempt_at {
            return;
        }
        self.next_attempt_at = now + RECOVERY_BACKOFF;
        let replacement = random_identity(self.replacement_bits);
        match replica.recover_storage(replacement) {
            Ok(()) => info!(index = replica.position().index, "storage recovered after a failed write"),
            Err(error) => warn!(%error, "cannot recover the storage after a failed write"),
        }
        if replica.identity() == replacement {
            self.replacement_bits = self.replacement_bits.wrapping_add(1);
        }
    }
}
