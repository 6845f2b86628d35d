//! Checks of the coordination service's locks: one owner at a time, and increasing fencing tokens.

use super::{seconds, Checker};
use crate::deployment::Nanos;

/// The grants of a lock and the highest token of an accepted effect.
#[derive(Default)]
pub(super) struct LockGrants {
    /// Time at which the holder received the grant, holder and token.
    pub(super) grants: Vec<(Nanos, u16, u64)>,
    pub(super) highest: u64,
}

impl Checker {
    /// Checks a grant: its token must be higher than each token whose holder received it before this
    /// candidate sent its request.
    pub(super) fn granted(&mut self, at: Nanos, candidate: u16, lock: u16, token: u64, requested_at: Nanos) {
        let lock_grants = self.locks.entry(lock).or_default();
        let not_lower = lock_grants.grants.iter().find(|(received, who, other)| {
            (*received < requested_at && *other > token) || (*other == token && *who != candidate)
        });
        if let Some((received, who, other)) = not_lower.copied() {
            self.add_violation("tokens_rise", || {
                format!(
                    "lock-{lock}: candidates[{candidate}] has token {token} at {}, and candidates[{who}] had {other} at {}",
                    seconds(at),
                    seconds(received)
                )
            });
        }
        self.locks.entry(lock).or_default().grants.push((at, candidate, token));
    }

    /// Checks an action of a holder that considers itself the owner: no other candidate may have received a
    /// later grant before.
    pub(super) fn action_started(&mut self, at: Nanos, candidate: u16, lock: u16, token: u64) {
        let lock_grants = self.locks.entry(lock).or_default();
        let later =
            lock_grants.grants.iter().find(|(_, who, other)| *other > token && *who != candidate).copied();
        if let Some((received, who, other)) = later {
            self.add_violation("one_owner", || {
                format!(
                    "lock-{lock}: candidates[{candidate}] acts under token {token} at {}, and candidates[{who}] has {other} since {}",
                    seconds(at),
                    seconds(received)
                )
            });
        }
    }
}
