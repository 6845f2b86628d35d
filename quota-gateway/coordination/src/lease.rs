//! When a session ends: at the service by the leader's clock, and for its holder earlier, by its own.
//!
//! All instants are of one monotonic clock each; no clock is compared with another one's, only lengths are. Clocks may run
//! apart by [`MAX_CLOCK_DRIFT`]: a length that one measures as `d` the other measures as at most `d * (1 + MAX_CLOCK_DRIFT)`.

use crate::state::{SessionId, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// An instant of a monotonic clock, from any zero.
pub type Instant = Duration;

/// The most that two clocks may run apart, as a share. Ten times what oscillators do, as a machine under a hypervisor may.
pub const MAX_CLOCK_DRIFT: f64 = 0.1;

/// What is left of a session's time at its holder: shorter than the service's, by the drift and a hundredth more.
fn holders_share(ttl: Duration) -> Duration {
    ttl.mul_f64(0.99 / (1.0 + MAX_CLOCK_DRIFT))
}

/// A lock that is held, at its holder. It is worth nothing after its deadline, and every act asks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    token: Token,
    expires_at: Instant,
}

impl HeldLease {
    /// A grant, or a renewal, that was asked for at this instant: the session's time is counted from *before* the call left,
    /// as the service may have begun to count then.
    pub fn granted_at_request(asked: Instant, ttl: Duration, token: Token) -> HeldLease {
        HeldLease { token, expires_at: asked + holders_share(ttl) }
    }

    /// The same lock after a renewal that was asked for at this instant and answered. An answer that came late never
    /// shortens what an earlier one gave.
    pub fn renewed(self, asked: Instant, ttl: Duration) -> HeldLease {
        HeldLease { expires_at: self.expires_at.max(asked + holders_share(ttl)), ..self }
    }

    /// The token to act under at this instant; `None` once the service may have ended the session.
    pub fn act(&self, now: Instant) -> Option<Token> {
        (now < self.expires_at).then_some(self.token)
    }

    pub fn until(&self) -> Instant {
        self.expires_at
    }
}

/// The leader's account of sessions' times. It is no part of the state: each leader begins it anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leases {
    ends: BTreeMap<SessionId, (Instant, Duration)>,
}

impl Leases {
    /// A leader begins, and gives every session its full time: it cannot know when the last one heard of each.
    pub fn begin(now: Instant, sessions: impl Iterator<Item = (SessionId, Duration)>) -> Leases {
        Leases { ends: sessions.map(|(id, ttl)| (id, (now + ttl, ttl))).collect() }
    }

    /// A session was opened.
    pub fn opened(&mut self, now: Instant, id: SessionId, ttl: Duration) {
        self.ends.insert(id, (now + ttl, ttl));
    }

    /// A session is renewed: from when the call came, which is after it left. False: there is none, or its time is over. A
    /// renewal in the instant of its end comes too late, as its end may have been proposed already.
    pub fn renewed(&mut self, now: Instant, id: SessionId) -> bool {
        match self.ends.get_mut(&id) {
            Some((ends, ttl)) if now < *ends && !ttl.is_zero() => {
                *ends = now + *ttl;
                true
            }
            _ => false,
        }
    }

    /// Whether a session has a time.
    pub fn knows(&self, id: SessionId) -> bool {
        self.ends.contains_key(&id)
    }

    /// A session's time is over, and its end is about to be proposed: no renewal saves it any more, and it is not over twice.
    pub fn give_up(&mut self, id: SessionId) {
        self.ends.insert(id, (Instant::MAX, Duration::ZERO));
    }

    /// Only sessions that there are have a time.
    pub fn keep(&mut self, lives: impl Fn(SessionId) -> bool) {
        self.ends.retain(|id, _| lives(*id));
    }

    pub fn ended(&mut self, id: SessionId) {
        self.ends.remove(&id);
    }

    /// Sessions whose time is over, to be ended by a command.
    pub fn over(&self, now: Instant) -> impl Iterator<Item = SessionId> + '_ {
        self.ends.iter().filter(move |(_, (ends, _))| *ends <= now).map(|(id, _)| *id)
    }
}
