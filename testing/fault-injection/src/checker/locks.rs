//! Locks of the coordination service: one owner, under tokens that rise.

use super::{seconds, Checker};
use crate::deployment::Nanos;

/// What is known of a lock: each grant with when its holder heard of it, and the highest token that took effect.
#[derive(Default)]
pub(super) struct Owned {
    pub(super) grants: Vec<(Nanos, u16, u64)>,
    pub(super) highest: u64,
}

impl Checker {
    /// A lock is granted: above every token whose holder knew of it before this one asked.
    pub(super) fn granted(&mut self, at: Nanos, candidate: u16, lock: u16, token: u64, asked: Nanos) {
        let owned = self.locks.entry(lock).or_default();
        let not_above = owned.grants.iter().find(|(received, who, other)| {
            (*received < asked && *other > token) || (*other == token && *who != candidate)
        });
        if let Some((received, who, other)) = not_above.copied() {
            self.broken("tokens_rise", || {
                format!(
                    "lock-{lock}: candidates[{candidate}] has {token} at {}, and candidates[{who}] had {other} at {}",
                    seconds(at),
                    seconds(received)
                )
            });
        }
        self.locks.entry(lock).or_default().grants.push((at, candidate, token));
    }

    /// A holder holds itself for the owner: nobody may have heard of a later grant before.
    pub(super) fn acts(&mut self, at: Nanos, candidate: u16, lock: u16, token: u64) {
        let owned = self.locks.entry(lock).or_default();
        let later = owned.grants.iter().find(|(_, who, other)| *other > token && *who != candidate).copied();
        if let Some((received, who, other)) = later {
            self.broken("one_owner", || {
                format!(
                    "lock-{lock}: candidates[{candidate}] acts under {token} at {}, and candidates[{who}] has {other} since {}",
                    seconds(at),
                    seconds(received)
                )
            });
        }
    }
}
