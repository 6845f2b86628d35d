//! SWIM's suspicion subprotocol with Lifeguard's dynamic timeout.
//!
//! A suspected member can refute the suspicion until a timeout. The timeout starts long and shrinks with each
//! further member that raises the same suspicion, so that a single slow member cannot quickly cause others to
//! be declared failed.

use crate::config::Now;
use crate::record::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The minimum timeout, in periods per decade of the member count (Lifeguard: alpha).
const MIN_TIMEOUT_PERIODS_PER_DECADE: f64 = 4.0;
/// The maximum timeout, as a multiple of the minimum (Lifeguard: beta).
const MAX_TIMEOUT_FACTOR: f64 = 6.0;
/// The number of independent confirmations that reduce the timeout to the minimum (Lifeguard: K).
const MAX_CONFIRMATIONS: usize = 3;

/// The suspicion against one member.
struct Suspicion {
    started_at: Now,
    /// The members that raised it, as [`Name::fingerprint`]: the first one and up to [`MAX_CONFIRMATIONS`]
    /// others.
    suspected_by: BTreeSet<u32>,
    /// The total time for which this process was paused and could not receive a refutation.
    paused: Duration,
}

/// The timeout of suspicions in a cluster of the current size.
pub(super) struct SuspicionTimeout {
    period: Duration,
    min_periods: f64,
    max_confirmations: usize,
}

impl SuspicionTimeout {
    /// Returns the timeout for a number of present members, including this one. `decades` is the decimal
    /// logarithm of that number, at least 1.
    pub(super) fn new(period: Duration, present: usize, decades: f64) -> SuspicionTimeout {
        SuspicionTimeout {
            period,
            min_periods: MIN_TIMEOUT_PERIODS_PER_DECADE * decades,
            // A small cluster has few members that can confirm.
            max_confirmations: MAX_CONFIRMATIONS.min(present.saturating_sub(2)),
        }
    }

    fn expires_at(&self, suspicion: &Suspicion) -> Now {
        let max = self.max_confirmations;
        let confirmations = suspicion.suspected_by.len().saturating_sub(1).min(max);
        let remaining =
            if max == 0 { 0.0 } else { 1.0 - ((confirmations + 1) as f64).ln() / ((max + 1) as f64).ln() };
        let periods = self.min_periods * (1.0 + (MAX_TIMEOUT_FACTOR - 1.0) * remaining);
        suspicion.started_at + self.period.mul_f64(periods) + suspicion.paused
    }
}

/// The suspicions that have not been refuted and have not expired.
#[derive(Default)]
pub(super) struct Suspicions {
    by_member: BTreeMap<Name, Suspicion>,
}

impl Suspicions {
    pub(super) fn is_empty(&self) -> bool {
        self.by_member.is_empty()
    }

    /// Starts the suspicion of a member, or restarts it with a new timeout.
    pub(super) fn start(&mut self, name: &Name, suspected_by: u32, now: Now) {
        let suspicion = Suspicion {
            started_at: now,
            suspected_by: BTreeSet::from([suspected_by]),
            paused: Duration::ZERO,
        };
        self.by_member.insert(name.clone(), suspicion);
    }

    /// Adds a confirmation. Returns whether it shortens the timeout, in which case it is worth gossiping.
    pub(super) fn confirm(&mut self, name: &Name, suspected_by: u32) -> bool {
        self.by_member.get_mut(name).is_some_and(|suspicion| {
            suspicion.suspected_by.len() <= MAX_CONFIRMATIONS && suspicion.suspected_by.insert(suspected_by)
        })
    }

    /// Ends the suspicion of a member.
    pub(super) fn remove(&mut self, name: &Name) {
        self.by_member.remove(name);
    }

    /// Returns one of the members that raised the suspicion, as [`Name::fingerprint`].
    pub(super) fn first_suspector(&self, name: &Name) -> Option<u32> {
        self.by_member.get(name).and_then(|suspicion| suspicion.suspected_by.first().copied())
    }

    /// Extends all timeouts by the duration of a pause of this process.
    pub(super) fn extend_all(&mut self, pause: Duration) {
        self.by_member.values_mut().for_each(|suspicion| suspicion.paused += pause);
    }

    /// Returns the members whose timeout has expired, in the order of their names.
    pub(super) fn expired(&self, now: Now, timeout: &SuspicionTimeout) -> Vec<Name> {
        let expired = |(name, suspicion): (&Name, &Suspicion)| {
            (now >= timeout.expires_at(suspicion)).then(|| name.clone())
        };
        self.by_member.iter().filter_map(expired).collect()
    }

    /// Returns when the next timeout expires.
    pub(super) fn next_expiry(&self, timeout: &SuspicionTimeout) -> Option<Now> {
        self.by_member.values().map(|suspicion| timeout.expires_at(suspicion)).min()
    }
}
