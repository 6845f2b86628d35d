//! The role that decides each gateway's part of the capacity, by what its clients request.

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

/// How long a new owner collects reports before it decides: two reports of every gateway.
const OBSERVATION_TIME: Duration = Duration::from_millis(2200);

/// The owner's state of the shares.
pub struct FairShareRole {
    fleet: Fleet,
    keys: Keys,
    ttl_ms: u32,
    /// The configured capacity in units per second; 0 if there is none.
    max_capacity: f64,
    core: ShareAllocator,
}

impl FairShareRole {
    /// Creates the role on top of the published decision. Readers may use each decision for `ttl_ms` milliseconds.
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

    /// The capacity of the zones that serve, at most the configured one.
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
