//! Outlier detection: servers at which requests fail get less traffic, or none for some time.
//!
//! It combines two mechanisms, as in Envoy's outlier detection:
//!
//! - **Ejection** reacts to a single failure. The server is avoided for a backoff that doubles with
//!   each consecutive failure. A success ends the ejection.
//! - **Failure rate** reacts to a server that fails intermittently and therefore looks idle. It is
//!   an exponentially weighted moving average over outcomes that also decays with time: a server
//!   that gets no requests because of its failure rate is tried again, with a small share of the
//!   traffic at first.
//!
//! Neither removes a server permanently. If all servers are ejected, the one with the lowest cost
//! is still chosen: a balancer that refuses to place requests would turn a partial fault into a
//! full one (the "panic threshold" in Envoy's terms). The mechanisms assume that failures are a
//! property of the server and not of the request; the caller decides which outcomes count as
//! failures.

use crate::tuning::Tuning;
use crate::Timestamp;
use std::time::Duration;

/// Backoff after the first failure.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// Upper limit of the backoff, which doubles with each consecutive failure.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Upper limit of the exponent of the doubling.
const MAX_CONSECUTIVE_EJECTIONS: u32 = 6;
/// Backoff after a server reported that it has no free slot.
const FULL_SERVER_BACKOFF: Duration = Duration::from_millis(60);

/// Result of an attempt with respect to the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server responded, and the response shows no server fault.
    Succeeded,
    /// The connection failed, the response was truncated or timed out, or the response reports a server
    /// fault.
    Failed,
    /// The server rejected the request because it has no capacity.
    Full,
}

/// Ejection state of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    ejected_until: Timestamp,
    consecutive_ejections: u32,
}

impl Ejection {
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    pub(super) fn on_outcome(&mut self, outcome: ServerOutcome, now: Timestamp) {
        match outcome {
            ServerOutcome::Succeeded => *self = Ejection::default(),
            ServerOutcome::Failed => self.eject(now),
            ServerOutcome::Full => self.ejected_until = self.ejected_until.max(now + FULL_SERVER_BACKOFF),
        }
    }

    /// Ejects the server, unless it is already ejected. Requests that are in flight together fail
    /// together, so failures during an ejection must not lengthen it.
    fn eject(&mut self, now: Timestamp) {
        if self.is_ejected(now) {
            return;
        }
        let backoff = INITIAL_EJECTION * 2u32.saturating_pow(self.consecutive_ejections);
        self.consecutive_ejections = (self.consecutive_ejections + 1).min(MAX_CONSECUTIVE_EJECTIONS);
        self.ejected_until = now + backoff.min(MAX_EJECTION);
    }
}

/// Share of requests that fail, from 0 to 1. Decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    share: f64,
    as_of: Timestamp,
}

impl FailureRate {
    /// Returns a failure rate that a peer gateway reported at `now`.
    pub(super) fn reported(share: f64, now: Timestamp) -> FailureRate {
        FailureRate { share, as_of: now }
    }

    /// Returns the rate, decayed to `now`.
    pub(super) fn decayed(&self, tuning: &Tuning, now: Timestamp) -> f64 {
        let half_lives =
            now.saturating_sub(self.as_of).as_secs_f64() * 1000.0 / tuning.failure_rate_half_life_ms;
        self.share * (-half_lives).exp2()
    }

    /// Records one more outcome: 0 for a success, 1 for a failure.
    pub(super) fn record(&mut self, tuning: &Tuning, outcome: f64, now: Timestamp) {
        let share = self.decayed(tuning, now);
        *self = FailureRate { share: share + tuning.failure_rate_weight * (outcome - share), as_of: now };
    }
}
