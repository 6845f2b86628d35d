//! Outlier detection: servers at which requests fail get less traffic, or none for a while.
//!
//! Two mechanisms work together, as in Envoy's outlier detection:
//!
//! - **Ejection** answers a single failure. The server is passed over for a backoff that doubles with each failure in
//!   succession. A success ends it.
//! - **Failure rate** answers a server that fails now and then, and thus looks idle. It is an exponentially weighted moving
//!   average over outcomes, which also decays with time: a server that gets no requests because of its rate is tried again,
//!   with a small share of the traffic at first.
//!
//! Neither removes a server for good, and where all servers are ejected the least costly one is chosen all the same: a
//! balancer that refuses to place would turn a partial fault into a full one (the "panic threshold" in Envoy's terms).
//! Wrong where failures are a property of the request and not of the server; the caller decides which outcomes count.

use crate::tuning::Tuning;
use crate::Now;
use std::time::Duration;

/// The backoff after the first failure ...
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// ... which doubles with each further one, up to this.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// The exponent of the doubling stops here.
const MAX_CONSECUTIVE_EJECTIONS: u32 = 6;
/// The backoff from a server that reported that it has no free slot.
const FULL_SERVER_BACKOFF: Duration = Duration::from_millis(60);

/// How an attempt ended, as far as it concerns the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server responded, and the response shows no fault of the server.
    Succeeded,
    /// No connection came up, the response broke off or timed out, or it reports a fault of the server.
    Failed,
    /// The server rejected the request because it has no capacity.
    Full,
}

/// The ejection of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    ejected_until: Now,
    consecutive_ejections: u32,
}

impl Ejection {
    pub(super) fn is_ejected(&self, now: Now) -> bool {
        self.ejected_until > now
    }

    pub(super) fn on_outcome(&mut self, outcome: ServerOutcome, now: Now) {
        match outcome {
            ServerOutcome::Succeeded => *self = Ejection::default(),
            ServerOutcome::Failed => self.eject(now),
            ServerOutcome::Full => self.ejected_until = self.ejected_until.max(now + FULL_SERVER_BACKOFF),
        }
    }

    /// Requests that were under way together fail together: failures during an ejection do not lengthen it.
    fn eject(&mut self, now: Now) {
        if self.is_ejected(now) {
            return;
        }
        let backoff = INITIAL_EJECTION * 2u32.saturating_pow(self.consecutive_ejections);
        self.consecutive_ejections = (self.consecutive_ejections + 1).min(MAX_CONSECUTIVE_EJECTIONS);
        self.ejected_until = now + backoff.min(MAX_EJECTION);
    }
}

/// The share of requests that fail, from 0 to 1, which decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    share: f64,
    as_of: Now,
}

impl FailureRate {
    /// A rate that a peer gateway reported at `now`.
    pub(super) fn reported(share: f64, now: Now) -> FailureRate {
        FailureRate { share, as_of: now }
    }

    /// Returns the rate with the decay until `now`.
    pub(super) fn decayed(&self, tuning: &Tuning, now: Now) -> f64 {
        let half_lives =
            now.saturating_sub(self.as_of).as_secs_f64() * 1000.0 / tuning.failure_rate_half_life_ms;
        self.share * (-half_lives).exp2()
    }

    /// Records one more outcome: 0 for a success, 1 for a failure.
    pub(super) fn record(&mut self, tuning: &Tuning, outcome: f64, now: Now) {
        let share = self.decayed(tuning, now);
        *self = FailureRate { share: share + tuning.failure_rate_weight * (outcome - share), as_of: now };
    }
}
