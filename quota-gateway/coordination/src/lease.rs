//! Leases of sessions. At the service, a lease expires by the leader's clock; at its holder, it expires
//! earlier, by the holder's clock.
//!
//! Instants of two clocks are never compared; only durations are. Monotonic clocks may drift by
//! [`MAX_CLOCK_DRIFT`]: a duration that one clock measures as `d` is at most `d * (1 + MAX_CLOCK_DRIFT)` on
//! another clock.

use crate::state::{SessionId, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// An instant of a monotonic clock with an arbitrary zero.
pub type Instant = Duration;

/// Maximum relative drift between two clocks. This is ten times the drift of oscillators, to allow for
/// machines under a hypervisor.
pub const MAX_CLOCK_DRIFT: f64 = 0.1;

/// Returns the duration of a lease at its holder: shorter than at the service by the maximum drift, and by
/// another 1%.
fn holder_ttl(ttl: Duration) -> Duration {
    ttl.mul_f64(0.99 / (1.0 + MAX_CLOCK_DRIFT))
}

/// A lease at its holder. The holder must check the deadline before every action under the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    token: Token,
    expires_at: Instant,
}

impl HeldLease {
    /// Returns the lease of a grant, or of a renewal, that was requested at this instant. The lease starts
    /// *before* the call is sent, because the service may start its own lease at any time after that.
    pub fn granted_at_request(requested_at: Instant, ttl: Duration, token: Token) -> HeldLease {
        HeldLease { token, expires_at: requested_at + holder_ttl(ttl) }
    }

    /// Returns the lease after a renewal that was requested at this instant and confirmed. A confirmation
    /// that arrives late never shortens the lease.
    pub fn renewed(self, requested_at: Instant, ttl: Duration) -> HeldLease {
        HeldLease { expires_at: self.expires_at.max(requested_at + holder_ttl(ttl)), ..self }
    }

    /// Returns the token if the lease is valid at this instant, or `None` once the service may have ended the
    /// session.
    pub fn valid_token(&self, now: Instant) -> Option<Token> {
        (now < self.expires_at).then_some(self.token)
    }

    /// Returns the instant at which the lease expires.
    pub fn expires_at(&self) -> Instant {
        self.expires_at
    }
}

/// The leases of all sessions at the leader. They are not replicated: each new leader starts them again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leases {
    deadlines: BTreeMap<SessionId, (Instant, Duration)>,
}

impl Leases {
    /// Returns the leases at a new leader. Every session gets its full time to live, because the new leader
    /// does not have the times of the last renewals.
    pub fn with_full_ttl(now: Instant, sessions: impl Iterator<Item = (SessionId, Duration)>) -> Leases {
        Leases { deadlines: sessions.map(|(id, ttl)| (id, (now + ttl, ttl))).collect() }
    }

    /// Starts the lease of a session that was opened.
    pub fn insert(&mut self, now: Instant, id: SessionId, ttl: Duration) {
        self.deadlines.insert(id, (now + ttl, ttl));
    }

    /// Renews a session from the instant at which the call was received, which is after it was sent. Returns
    /// false if there is no such session or its lease has expired. A renewal at the exact instant of the
    /// deadline is too late, because the command that ends the session may already be proposed.
    pub fn renew(&mut self, now: Instant, id: SessionId) -> bool {
        match self.deadlines.get_mut(&id) {
            Some((deadline, ttl)) if now < *deadline && !ttl.is_zero() => {
                *deadline = now + *ttl;
                true
            }
            _ => false,
        }
    }

    /// Returns whether there is a lease for a session.
    pub fn contains(&self, id: SessionId) -> bool {
        self.deadlines.contains_key(&id)
    }

    /// Marks a session whose end is about to be proposed. It can no longer be renewed, and is not reported as
    /// expired again.
    pub fn mark_ending(&mut self, id: SessionId) {
        self.deadlines.insert(id, (Instant::MAX, Duration::ZERO));
    }

    /// Removes the leases of sessions that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(SessionId) -> bool) {
        self.deadlines.retain(|id, _| exists(*id));
    }

    /// Removes the lease of a session.
    pub fn remove(&mut self, id: SessionId) {
        self.deadlines.remove(&id);
    }

    /// Returns the sessions whose leases have expired. A command must end them.
    pub fn expired(&self, now: Instant) -> impl Iterator<Item = SessionId> + '_ {
        self.deadlines.iter().filter(move |(_, (deadline, _))| *deadline <= now).map(|(id, _)| *id)
    }
}
