//! Admission: whether a request goes on now. The loop, the allocation to priorities and the accumulator are those of the
//! gateway in service ([`marblecroft_quota_gateway_core::Shedder`]); here they are fed for routes.

use crate::Now;
use marblecroft_quota_gateway_core::{Shedder, THROTTLE_STEP};
use std::collections::HashMap;
use std::time::Duration;

/// Time between two assessments.
pub const STEP: Duration = Duration::from_millis(100);
/// A rank of a route is worth more than anything that a lower rank can be.
const RANK: f64 = 1e6;
/// Weight of a request's cost in its class's average.
const COST_WEIGHT: f64 = 0.02;

/// What sets a route's place in the order of shedding.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub route: String,
    /// 0 is the highest.
    pub priority: u32,
    /// Orders routes of one priority.
    pub worth: f64,
}

/// The throttle of one gateway.
#[derive(Default)]
pub struct Admission {
    shedder: Shedder,
    /// Place of a route in the throttle.
    places: HashMap<String, usize>,
    classes: Vec<Class>,
    /// Average cost of each class's requests, in tokens.
    costs: Vec<f64>,
    assessed_at: Now,
    /// Whether the servers tell their load; latencies stand in for it only where they do not.
    told: bool,
}

impl Admission {
    /// Follows the configuration; the fraction that is allowed stays.
    pub fn configure(&mut self, classes: Vec<Class>) {
        if classes == self.classes && !self.places.is_empty() {
            return;
        }
        let worths: Vec<f64> =
            classes.iter().map(|class| class.worth + RANK * (100.0 - f64::from(class.priority))).collect();
        let allowed = if self.places.is_empty() { 1.0 } else { self.shedder.f };
        self.shedder = Shedder::new(worths.into_iter());
        self.shedder.f = allowed;
        let costs = classes.iter().map(|class| {
            self.places.get(&class.route).and_then(|&place| self.costs.get(place)).copied().unwrap_or(0.0)
        });
        self.costs = costs.collect();
        self.places = classes.iter().enumerate().map(|(place, c)| (c.route.clone(), place)).collect();
        self.classes = classes;
    }

    /// The average cost of a class against that of the base class, the one whose requests cost the least.
    fn relative_cost(&self, place: usize) -> f64 {
        let base = self.costs.iter().copied().filter(|&cost| cost > 0.0).fold(f64::INFINITY, f64::min);
        if base.is_finite() && self.costs[place] > 0.0 {
            self.costs[place] / base
        } else {
            1.0
        }
    }

    /// Whether a request of this route goes on. What goes on counts as sent.
    pub fn admit(&mut self, route: &str, cost: f64) -> bool {
        let Some(&place) = self.places.get(route) else { return true };
        let average = &mut self.costs[place];
        *average = if *average > 0.0 { *average + COST_WEIGHT * (cost - *average) } else { cost };
        let relative = self.relative_cost(place);
        let passes = self.shedder.pass(place, relative);
        if passes {
            self.shedder.sent(relative);
        }
        passes
    }

    /// A first event came after `latency`, where `aim` was wanted. A refusal or a time-out counts as the deadline.
    pub fn sample(&mut self, route: &str, latency: Duration, aim: Duration) {
        let Some(&place) = self.places.get(route) else { return };
        let late = if self.told { 0.0 } else { latency.as_secs_f64() / aim.as_secs_f64().max(1e-3) };
        let cost = self.relative_cost(place);
        self.shedder.sample(1.0, cost, late);
    }

    /// Assesses the load when a step is over. `occupancy` is how far the servers are taken, where they tell; `idle` says
    /// that nothing is out.
    pub fn assess(&mut self, now: Now, occupancy: Option<f64>, lag: Duration, idle: bool) {
        self.told = occupancy.is_some_and(|occupancy| occupancy > 0.0);
        while now.saturating_sub(self.assessed_at) >= STEP {
            self.assessed_at =
                if now.saturating_sub(self.assessed_at) > STEP * 10 { now } else { self.assessed_at + STEP };
            self.shedder.assess(occupancy, lag.as_secs_f64().max(THROTTLE_STEP), idle);
        }
    }

    /// The fraction of demand that is allowed.
    pub fn allowed(&self) -> f64 {
        if self.places.is_empty() {
            1.0
        } else {
            self.shedder.f
        }
    }
}
