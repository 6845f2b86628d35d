//! When a session ends: at the service by the leader's clock, and for its holder earlier, by its own clock.
//!
//! All instants are of one monotonic clock each; instants of two clocks are never compared, only durations are. Clocks may
//! run apart by [`MAX_CLOCK_DRIFT`]: a duration that one measures as `d` the other measures as at most `d * (1 + MAX_CLOCK_DRIFT)`.

use crate::state::{SessionId, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// An instant of a monotonic clock with an arbitrary zero.
pub type Instant = Duration;

/// How far two clocks may run apart, as a share of the time. Ten times the drift of oscillators, for machines under a
/// hypervisor.
pub const MAX_CLOCK_DRIFT: f64 = 0.1;

/// The session's time at its holder: shorter than the service's by the drift, and a hundredth more.
fn holders_share(ttl: Duration) -> Duration {
    ttl.mul_f64(0.99 / (1.0 + MAX_CLOCK_DRIFT))
}

/// A lock that is held, at its holder. It ends at its deadline, which is checked before every act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    token: Token,
    expires_at: Instant,
}

impl HeldLease {
    /// Returns the lease of a grant, or a renewal, that was requested at this instant: the session's time is counted from *before* the call left,
    /// as the service may have begun to count then.
    pub fn granted_at_request(asked: Instant, ttl: Duration, token: Token) -> HeldLease {
        HeldLease { token, expires_at: asked + holders_share(ttl) }
    }

    /// Returns the lease after a renewal that was requested at this instant and confirmed. A late confirmation never shortens
    /// what an earlier one gave.
    pub fn renewed(self, asked: Instant, ttl: Duration) -> HeldLease {
        HeldLease { expires_at: self.expires_at.max(asked + holders_share(ttl)), ..self }
    }

    /// Returns the token to act under at this instant; `None` once the service may have ended the session.
    pub fn act(&self, now: Instant) -> Option<Token> {
        (now < self.expires_at).then_some(self.token)
    }

    /// Returns the deadline.
    pub fn until(&self) -> Instant {
        self.expires_at
    }
}

/// The sessions' times at the leader. They are not replicated: each leader begins them anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leases {
    ends: BTreeMap<SessionId, (Instant, Duration)>,
}

impl Leases {
    /// Returns the times at a new leader, which gives every session its full time: it cannot know when each was renewed last.
    pub fn begin(now: Instant, sessions: impl Iterator<Item = (SessionId, Duration)>) -> Leases {
        Leases { ends: sessions.map(|(id, ttl)| (id, (now + ttl, ttl))).collect() }
    }

    /// Begins the time of a session that was opened.
    pub fn opened(&mut self, now: Instant, id: SessionId, ttl: Duration) {
        self.ends.insert(id, (now + ttl, ttl));
    }

    /// Renews a session, counted from when the call was received, which is after it was sent. Returns false where there is no
    /// such session or its time is over. A renewal at the very instant of its end is too late, as the end may be proposed.
    pub fn renewed(&mut self, now: Instant, id: SessionId) -> bool {
        match self.ends.get_mut(&id) {
            Some((ends, ttl)) if now < *ends && !ttl.is_zero() => {
                *ends = now + *ttl;
                true
            }
            _ => false,
        }
    }

    /// Whether a session is known.
    pub fn knows(&self, id: SessionId) -> bool {
        self.ends.contains_key(&id)
    }

    /// Marks a session whose end is about to be proposed: it is not renewed any more, and not reported as over again.
    pub fn give_up(&mut self, id: SessionId) {
        self.ends.insert(id, (Instant::MAX, Duration::ZERO));
    }

    /// Removes all sessions but those that exist.
    pub fn keep(&mut self, lives: impl Fn(SessionId) -> bool) {
        self.ends.retain(|id, _| lives(*id));
    }

    /// Removes a session.
    pub fn ended(&mut self, id: SessionId) {
        self.ends.remove(&id);
    }

    /// Returns the sessions whose time is over, which a command must end.
    pub fn over(&self, now: Instant) -> impl Iterator<Item = SessionId> + '_ {
        self.ends.iter().filter(move |(_, (ends, _))| *ends <= now).map(|(id, _)| *id)
    }
}
