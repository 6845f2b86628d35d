//! Admission: whether a request goes on now. The loop, the allocation to priorities and the accumulator are those of the
//! gateway in service ([`marblecroft_quota_gateway_core::Shedder`]); here they are fed for routes.

use crate::Now;
use marblecroft_quota_gateway_core::{Shedder, THROTTLE_STEP};
use std::collections::HashMap;
use std::time::Duration;

/// Time between two assessments.
pub const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(100);
/// A rank of a route is worth more than anything that a lower rank can be.
const PRIORITY_WEIGHT: f64 = 1e6;
/// Weight of a request's cost in its class's average.
const COST_WEIGHT: f64 = 0.02;

/// What sets a route's place in the order of shedding.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteClass {
    pub route: String,
    /// 0 is the highest.
    pub priority: u32,
    /// Orders routes of one priority.
    pub value: f64,
}

/// The throttle of one gateway.
#[derive(Default)]
pub struct Admission {
    shedder: Shedder,
    /// Place of a route in the throttle.
    class_indices: HashMap<String, usize>,
    classes: Vec<RouteClass>,
    /// Average cost of each class's requests, in tokens.
    average_costs: Vec<f64>,
    last_assessed_at: Now,
    /// Whether the servers tell their load; latencies stand in for it only where they do not.
    servers_report_load: bool,
}

impl Admission {
    /// Follows the configuration; the fraction that is allowed stays.
    pub fn configure(&mut self, classes: Vec<RouteClass>) {
        if classes == self.classes && !self.class_indices.is_empty() {
            return;
        }
        let worths: Vec<f64> = classes
            .iter()
            .map(|class| class.value + PRIORITY_WEIGHT * (100.0 - f64::from(class.priority)))
            .collect();
        let allowed = if self.class_indices.is_empty() { 1.0 } else { self.shedder.f };
        self.shedder = Shedder::new(worths.into_iter());
        self.shedder.f = allowed;
        let costs = classes.iter().map(|class| {
            self.class_indices
                .get(&class.route)
                .and_then(|&place| self.average_costs.get(place))
                .copied()
                .unwrap_or(0.0)
        });
        self.average_costs = costs.collect();
        self.class_indices = classes.iter().enumerate().map(|(place, c)| (c.route.clone(), place)).collect();
        self.classes = classes;
    }

    /// The average cost of a class against that of the base class, the one whose requests cost the least.
    fn relative_cost(&self, place: usize) -> f64 {
        let base =
            self.average_costs.iter().copied().filter(|&cost| cost > 0.0).fold(f64::INFINITY, f64::min);
        if base.is_finite() && self.average_costs[place] > 0.0 {
            self.average_costs[place] / base
        } else {
            1.0
        }
    }

    /// Whether a request of this route goes on. What goes on counts as sent.
    pub fn admit(&mut self, route: &str, cost: f64) -> bool {
        let Some(&place) = self.class_indices.get(route) else { return true };
        let average = &mut self.average_costs[place];
        *average = if *average > 0.0 { *average + COST_WEIGHT * (cost - *average) } else { cost };
        let relative = self.relative_cost(place);
        let passes = self.shedder.pass(place, relative);
        if passes {
            self.shedder.sent(relative);
        }
        passes
    }

    /// A first event came after `latency`, where `aim` was wanted. A refusal or a time-out counts as the deadline.
    pub fn record_latency(&mut self, route: &str, latency: Duration, aim: Duration) {
        let Some(&place) = self.class_indices.get(route) else { return };
        let late =
            if self.servers_report_load { 0.0 } else { latency.as_secs_f64() / aim.as_secs_f64().max(1e-3) };
        let cost = self.relative_cost(place);
        self.shedder.sample(1.0, cost, late);
    }

    /// Assesses the load when a step is over. `occupancy` is how far the servers are taken, where they tell; `idle` says
    /// that nothing is out.
    pub fn assess(&mut self, now: Now, occupancy: Option<f64>, lag: Duration, idle: bool) {
        self.servers_report_load = occupancy.is_some_and(|occupancy| occupancy > 0.0);
        while now.saturating_sub(self.last_assessed_at) >= ASSESSMENT_INTERVAL {
            self.last_assessed_at = if now.saturating_sub(self.last_assessed_at) > ASSESSMENT_INTERVAL * 10 {
                now
            } else {
                self.last_assessed_at + ASSESSMENT_INTERVAL
            };
            self.shedder.assess(occupancy, lag.as_secs_f64().max(THROTTLE_STEP), idle);
        }
    }

    /// The fraction of demand that is allowed.
    pub fn admitted_fraction(&self) -> f64 {
        if self.class_indices.is_empty() {
            1.0
        } else {
            self.shedder.f
        }
    }
}
