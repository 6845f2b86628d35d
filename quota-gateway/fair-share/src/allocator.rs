//! The allocator: computes the level and the grants from the reported demand of all gateways. Runs in the
//! process that owns the role.

mod allocation;
mod gateway;

pub use allocation::SLACK;

use crate::decision::{ShareDecision, MAX_GATEWAYS, MIN_WEIGHT};
use allocation::{allocate, Claim};
use gateway::Gateway;
use marblecroft_control_messages::frame::DecodeError;
use marblecroft_control_messages::published::{Instant, Stamp};
use marblecroft_control_messages::report::Report;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a gateway that decisions omit is considered failed, and the capacity reserved for it is
/// granted to others. If it is unreachable for longer but still runs, the capacity may be exceeded
/// (`docs/fair-share.md`).
pub const GRANT_LIFETIME: Duration = Duration::from_secs(60);
/// Smaller changes are not published. Changes of the level and of the capacity are relative to their own
/// value; changes of a grant are relative to the capacity.
const MIN_RELATIVE_CHANGE: f64 = 0.002;

/// The allocator of one owner of the role.
pub struct ShareAllocator {
    gateways: BTreeMap<u32, Gateway>,
    /// Capacity of all serving zones, in units per second.
    capacity: f64,
    validity: Duration,
    shrink_interval: Duration,
    /// Time for which the allocator only receives reports before it makes decisions.
    observation_time: Duration,
    observing_since: Instant,
    last_run_at: Instant,
    published: Option<ShareDecision>,
}

impl ShareAllocator {
    /// Creates an allocator that continues from the `standing` decision of a former owner. It makes no
    /// decision for `observation_time`, so that every gateway has reported by then. `validity` is the
    /// validity period of its decisions, and `shrink_interval` the time in which a gateway whose decision has
    /// expired shrinks its grant to its equal share.
    pub fn new(
        now: Instant,
        validity: Duration,
        shrink_interval: Duration,
        observation_time: Duration,
        standing: Option<(Stamp, &ShareDecision)>,
    ) -> ShareAllocator {
        let gateways = standing.into_iter().flat_map(|(stamp, decision)| {
            let with_grant = move |&(gateway, units): &(u32, f32)| {
                (gateway, Gateway::with_grant(now, stamp, f64::from(units)))
            };
            decision.grants.iter().map(with_grant)
        });
        ShareAllocator {
            gateways: gateways.collect(),
            capacity: standing.map_or(0.0, |(_, decision)| decision.capacity),
            validity,
            shrink_interval,
            observation_time,
            observing_since: now,
            last_run_at: now,
            published: standing.map(|(_, decision)| decision.clone()),
        }
    }

    /// Sets the capacity of all serving zones, in units per second.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
    }

    /// Handles the report of a gateway; a stale one has no effect.
    ///
    /// # Errors
    ///
    /// [`DecodeError::TooLong`] if the gateway is new and [`MAX_GATEWAYS`] are tracked already.
    pub fn handle_report(&mut self, now: Instant, report: &Report) -> Result<(), DecodeError> {
        let known = self.gateways.get(&report.gateway);
        if known.is_some_and(|gateway| gateway.is_stale(report)) {
            return Ok(());
        }
        if known.is_none() && self.gateways.len() >= MAX_GATEWAYS {
            return Err(DecodeError::TooLong);
        }
        let previous = self.gateways.remove(&report.gateway);
        self.gateways.insert(report.gateway, Gateway::from_report(now, report, previous));
        Ok(())
    }

    /// Returns the decision to publish under `stamp`, or `None` while the allocator only observes, while
    /// there is no capacity, or if the published decision differs too little.
    pub fn decide(&mut self, now: Instant, stamp: Stamp) -> Option<ShareDecision> {
        self.resume_observation_after_stall(now);
        if now.saturating_sub(self.observing_since) < self.observation_time || self.capacity <= 0.0 {
            return None;
        }
        let is_gone = |omitted_since: Instant| now.saturating_sub(omitted_since) >= GRANT_LIFETIME;
        self.gateways.retain(|_, gateway| !gateway.omitted_since.is_some_and(is_gone));
        let weight = self.weight();
        let decision = allocate(&self.claims(now, weight), self.capacity, weight);
        if self.published.as_ref().is_some_and(|published| !is_significant_change(published, &decision)) {
            return None;
        }
        self.record_published(now, stamp, &decision);
        Some(decision)
    }

    /// Restarts the observation after this process has stalled for longer than the observation time. No
    /// reports were received during the stall, so it does not count towards the time since the last report of
    /// any gateway.
    fn resume_observation_after_stall(&mut self, now: Instant) {
        let stalled_for = now.saturating_sub(self.last_run_at);
        self.last_run_at = now;
        if stalled_for > self.observation_time {
            self.observing_since = now;
            self.gateways.values_mut().for_each(|gateway| gateway.reported_at += stalled_for);
        }
    }

    /// Returns the sum of the weights of the firms with demand, over all gateways.
    fn weight(&self) -> f64 {
        self.gateways.values().map(|gateway| gateway.demand.weight).sum()
    }

    fn claims(&self, now: Instant, weight: f64) -> Vec<Claim<'_>> {
        self.gateways
            .iter()
            .map(|(&id, gateway)| {
                let equal_share = self.capacity * gateway.demand.weight / weight.max(MIN_WEIGHT);
                Claim {
                    gateway: id,
                    demand: &gateway.demand,
                    reserved: gateway.reserved(now, self.validity, self.shrink_interval, equal_share),
                    is_reachable: now.saturating_sub(gateway.reported_at) <= self.validity,
                }
            })
            .collect()
    }

    fn record_published(&mut self, now: Instant, stamp: Stamp, decision: &ShareDecision) {
        for (id, gateway) in &mut self.gateways {
            match decision.grant(*id) {
                Some(units) => gateway.add_grant(stamp, units),
                None => {
                    gateway.omitted_since.get_or_insert(now);
                }
            }
        }
        self.published = Some(decision.clone());
    }
}

/// Returns whether a new decision differs enough from the published one to be published.
fn is_significant_change(published: &ShareDecision, new: &ShareDecision) -> bool {
    let is_far = |a: f64, b: f64| (a - b).abs() > MIN_RELATIVE_CHANGE * a.abs().max(b.abs());
    let min_change = MIN_RELATIVE_CHANGE * new.capacity;
    published.grants.len() != new.grants.len()
        || is_far(published.level, new.level)
        || is_far(published.capacity, new.capacity)
        || published
            .grants
            .iter()
            .zip(&new.grants)
            .any(|(a, b)| a.0 != b.0 || f64::from((a.1 - b.1).abs()) > min_change)
}
