//! Ending the suspension of a member whose write failed.

use crate::replica::Replica;
use crate::state_machine::StateMachine;
use crate::storage::Storage;
use std::time::Duration;
use tracing::{info, warn};

/// Pause between two attempts. A disk that refuses writes may do so for seconds, and an attempt writes the complete state.
const RECOVERY_BACKOFF: Duration = Duration::from_millis(250);

/// Set in every identity that is drawn at random, and in none of a founder, whose address and port fill 48 bits.
const RANDOM_IDENTITY_BIT: u64 = 1 << 63;

/// Returns the identity of a member that is no founder, from 64 random bits.
pub fn random_identity(bits: u64) -> u64 {
    bits | RANDOM_IDENTITY_BIT
}

/// When the storage is read anew, and the identity that the member has if that turns out to be lost.
pub(super) struct StorageRecovery {
    next_attempt_at: Duration,
    /// Random bits of the process, counted up with each identity that was used.
    replacement: u64,
}

impl StorageRecovery {
    /// `random` must be drawn anew by every process.
    pub(super) fn new(random: u64) -> StorageRecovery {
        StorageRecovery { next_attempt_at: Duration::ZERO, replacement: random }
    }

    pub(super) fn next_attempt_at(&self) -> Duration {
        self.next_attempt_at
    }

    /// Makes an attempt for a suspended member, unless the last one was a moment ago.
    pub(super) fn attempt_if_due<M: StateMachine, S: Storage>(
        &mut self,
        now: Duration,
        replica: &mut Replica<M, S>,
    ) {
        if now < self.next_attempt_at {
            return;
        }
        self.next_attempt_at = now + RECOVERY_BACKOFF;
        let replacement = random_identity(self.replacement);
        match replica.recover_storage(replacement) {
            Ok(()) => info!(index = replica.position().index, "storage read anew after a failed write"),
            Err(error) => warn!(%error, "storage not usable after a failed write"),
        }
        if replica.identity() == replacement {
            self.replacement = self.replacement.wrapping_add(1);
        }
    }
}
