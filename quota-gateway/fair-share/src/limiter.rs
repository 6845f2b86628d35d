//! The limits of firms at one gateway, derived from the newest decision.

mod firm;

pub use firm::FirmQuota;

use crate::decision::{ShareDecision, MIN_WEIGHT, UNLIMITED_LEVEL};
use crate::demand_curve::{first_points, level_for, sample, LocalFirm};
use crate::token_bucket::TokenBucket;
use firm::Firm;
use marblecroft_control_messages::published::{DecisionReader, Instant, Validity};
use marblecroft_control_messages::report::Demand;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of firms that are tracked.
pub const MAX_FIRMS: usize = 50_000;
/// Time without a request after which a firm is no longer tracked.
const FIRM_TTL: Duration = Duration::from_secs(30);
/// Time in which a gateway whose decision has expired shrinks its grant to its equal share.
pub const SHRINK_INTERVAL: Duration = Duration::from_secs(10);

/// The limit that a gateway applies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareLimit {
    /// No decision has been read yet: no firm is limited.
    Unlimited,
    /// The limit of a decision, valid or expired.
    Limited {
        /// Units per second per unit of weight.
        level: f64,
        /// Units per second for all firms together.
        grant: f64,
    },
}

/// The limits of all firms at one gateway.
pub struct ShareLimiter {
    gateway: u32,
    firms: BTreeMap<u64, Firm>,
    /// Levels at which demand is reported.
    points: Vec<f64>,
    limit: ShareLimit,
    /// Enforces the grant for all firms together. The demand of a firm is only an estimate, so the sum of the
    /// firms' limits may exceed the grant.
    grant_bucket: TokenBucket,
}

impl ShareLimiter {
    /// Creates the limiter of the gateway with this number, without a decision.
    pub fn new(gateway: u32) -> ShareLimiter {
        ShareLimiter {
            gateway,
            firms: BTreeMap::new(),
            points: first_points(),
            limit: ShareLimit::Unlimited,
            grant_bucket: TokenBucket::empty(Instant::ZERO),
        }
    }

    /// Records a request of a firm, and returns whether the firm's share and the grant admit it. The units
    /// are only charged by [`ShareLimiter::charge`]. A retry does not count as demand, so that a firm gains
    /// nothing by retrying immediately.
    pub fn request(&mut self, now: Instant, firm: u64, quota: FirmQuota, units: f64, is_retry: bool) -> bool {
        let is_unlimited = self.limit == ShareLimit::Unlimited;
        if self.firms.len() >= MAX_FIRMS && !self.firms.contains_key(&firm) {
            // A firm that is not tracked has no share: it is only admitted while no firm is limited.
            return is_unlimited;
        }
        let firm = self.firms.entry(firm).or_insert_with(|| Firm::new(now, quota, units));
        firm.record_request(now, quota, units, if is_retry { 0.0 } else { units });
        let is_within_share = firm.bucket.has(units);
        self.refill_grant(now, units);
        is_unlimited || (is_within_share && self.grant_bucket.has(units))
    }

    fn refill_grant(&mut self, now: Instant, units: f64) {
        match self.limit {
            ShareLimit::Limited { grant, .. } => self.grant_bucket.refill(now, grant, units),
            ShareLimit::Unlimited => self.grant_bucket.skip_to(now),
        }
    }

    /// Charges sent units to the firm's share and to the grant.
    pub fn charge(&mut self, firm: u64, units: f64) {
        self.grant_bucket.consume(units);
        if let Some(firm) = self.firms.get_mut(&firm) {
            firm.bucket.consume(units);
        }
    }

    fn local_firms(&self, now: Instant) -> Vec<LocalFirm> {
        self.firms.values().map(|firm| firm.local(now)).collect()
    }

    /// Drops firms without recent requests and returns the demand to report. Called once a second.
    pub fn sample_demand(&mut self, now: Instant) -> Demand {
        self.firms.retain(|_, firm| firm.idle_time(now) < FIRM_TTL);
        sample(&self.local_firms(now), &self.points)
    }

    /// Computes the limit of each firm from the newest decision. Called a few times a second.
    pub fn apply_decision(&mut self, now: Instant, reader: &DecisionReader<ShareDecision>) {
        let (decision, expired_for) = match reader.validity(now) {
            Validity::NoDecision => {
                self.limit = ShareLimit::Unlimited;
                return;
            }
            Validity::Valid(decision) => {
                self.points.clone_from(&decision.body.points);
                (&decision.body, None)
            }
            Validity::Expired(decision, expired_for) => (&decision.body, Some(expired_for)),
        };
        let equal_share = self.equal_share(decision);
        // If the decision has no grant for this gateway, its equal share applies.
        let granted = decision.grant(self.gateway).unwrap_or(equal_share);
        let (level, grant) = match expired_for {
            Some(expired_for) => shrink(decision, granted, equal_share, expired_for),
            None => (decision.level, granted),
        };
        self.limit = ShareLimit::Limited { level, grant };
        self.limit_firms(now, level, grant);
    }

    /// Returns the capacity that the weights of the tracked firms would get here if the traffic of each firm
    /// were spread evenly over its gateways.
    fn equal_share(&self, decision: &ShareDecision) -> f64 {
        let weight: f64 = self.firms.values().map(Firm::equal_weight).sum();
        decision.capacity * weight / decision.weight.max(weight).max(MIN_WEIGHT)
    }

    fn limit_firms(&mut self, now: Instant, level: f64, grant: f64) {
        let local_firms = self.local_firms(now);
        // Max-min sharing of the grant among the firms at this gateway.
        let level = level.min(level_for(&local_firms, grant).unwrap_or(UNLIMITED_LEVEL));
        for (firm, local) in self.firms.values_mut().zip(&local_firms) {
            // While no firm is limited, each may use up to the full grant before the next decision.
            firm.allowed_rate =
                if level >= UNLIMITED_LEVEL { grant } else { (level * local.weight).min(grant) };
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> ShareLimit {
        self.limit
    }

    /// Returns the limit of a firm in units per second; `None` if the firm is not tracked.
    pub fn allowed_rate(&self, firm: u64) -> Option<f64> {
        self.firms.get(&firm).map(|firm| firm.allowed_rate)
    }

    /// Returns the number of tracked firms.
    pub fn firm_count(&self) -> usize {
        self.firms.len()
    }
}

/// Returns the level and the grant of a gateway whose decision expired `expired_for` ago.
fn shrink(decision: &ShareDecision, granted: f64, equal_share: f64, expired_for: Duration) -> (f64, f64) {
    let remaining = 1.0 - (expired_for.as_secs_f64() / SHRINK_INTERVAL.as_secs_f64()).min(1.0);
    // At this level all firms together use the capacity, each in proportion to its weight.
    let equal_level = decision.capacity / decision.weight.max(MIN_WEIGHT);
    let level = if decision.level >= UNLIMITED_LEVEL {
        UNLIMITED_LEVEL
    } else {
        decision.level * remaining + equal_level * (1.0 - remaining)
    };
    (level, (granted * remaining).max(equal_share.min(granted)))
}
