//! The role that allocates the capacity to gateways, depending on the demand of their clients.

use crate::decision_role::{published_zones, DecisionRole, Now};
use marblecroft_control_messages::frame::{encode, DecodeError, Fleet};
use marblecroft_control_messages::published::{Decision, Stamp};
use marblecroft_control_messages::report::Report;
use marblecroft_fair_share::allocator::ShareAllocator;
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_fair_share::limiter::SHRINK_INTERVAL;
use marblecroft_singleton_roles::keys::Keys;
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::decision::{ZoneState, ZonesDecision};
use std::time::Duration;

/// Time for which a new owner collects reports before it decides. Gateways report once per second, so each
/// reports twice.
const OBSERVATION_TIME: Duration = Duration::from_millis(2200);

/// The owner's state of the fair shares.
pub struct FairShareRole {
    fleet: Fleet,
    keys: Keys,
    ttl_ms: u32,
    /// The configured capacity in units per second, or 0 if none is configured.
    max_capacity: f64,
    core: ShareAllocator,
}

impl FairShareRole {
    /// Creates the role, which continues from the published decision. Readers may use each decision for
    /// `ttl_ms` milliseconds.
    pub fn new(
        fleet: Fleet,
        keys: Keys,
        ttl_ms: u32,
        max_capacity: f64,
        now: Now,
        published: Option<&Decision<ShareDecision>>,
    ) -> FairShareRole {
        let published = published.map(|decision| (decision.stamp, &decision.body));
        let ttl = Duration::from_millis(ttl_ms.into());
        let core = ShareAllocator::new(now, ttl, SHRINK_INTERVAL, OBSERVATION_TIME, published);
        FairShareRole { fleet, keys, ttl_ms, max_capacity, core }
    }

    /// Returns the capacity of the zones that serve, limited to the configured capacity.
    fn capacity(&self, zones: Option<ZonesDecision>) -> f64 {
        let serves = |state: ZoneState| !matches!(state, ZoneState::FailedOver | ZoneState::HeldByOperator);
        let of_zones = zones.map(|decided| {
            let serving = decided.zones.iter().filter(|zone| serves(zone.state));
            serving.map(|zone| zone.capacity).sum::<f64>()
        });
        match of_zones {
            Some(capacity) if self.max_capacity > 0.0 => capacity.min(self.max_capacity),
            Some(capacity) => capacity,
            None => self.max_capacity,
        }
    }
}

impl DecisionRole for FairShareRole {
    fn handle_report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError> {
        self.core.handle_report(now, report)
    }

    fn handle_view(&mut self, _: Now, view: &View) {
        let capacity = self.capacity(published_zones(self.fleet, &self.keys, view));
        if capacity > 0.0 {
            self.core.set_capacity(capacity);
        }
    }

    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>> {
        let body = self.core.decide(now, stamp)?;
        encode(self.fleet, &Decision { stamp, valid_ms: self.ttl_ms, body })
    }
}
