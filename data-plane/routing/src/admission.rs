//! Admission control: overload is shed before a request reaches a server, the lowest priority first.
//!
//! Overload detection, the allocation of capacity to priorities and the throttle are those of the quota gateway
//! ([`Shedder`], after Kasera et al.): the loop compares the servers' occupancy with a set point once per
//! [`ASSESSMENT_INTERVAL`] and corrects the fraction of the demand that is admitted by the ratio. This module feeds it: it
//! maps routes to its priorities and weighs requests by cost.
//!
//! A request passes through [`Admission::admit`] once, before placement; its latency comes back through
//! [`Admission::record_latency`]. Occupancy is the better signal and is used wherever servers report it. Latencies stand in
//! for it elsewhere: they show overload only after queues have grown.
//!
//! Each gateway runs a loop of its own and admits by what it sees itself. That needs no exchange, but gateways with few
//! requests of a route admit in coarse steps.

use crate::Now;
use marblecroft_quota_gateway_core::{Shedder, SHEDDER_STEP_SECS};
use std::collections::HashMap;
use std::time::Duration;

/// The interval between two assessments of the load.
pub const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(100);
/// After a gap of more than so many intervals the missed assessments are not made up for.
const MAX_MISSED_ASSESSMENTS: u32 = 10;
/// The weight of one level of priority: more than any `value` within a level, so that levels never mix.
const PRIORITY_WEIGHT: f64 = 1e6;
/// Priorities count down from here.
const MAX_PRIORITY: f64 = 100.0;
/// The weight of one request in its route's average cost.
const COST_WEIGHT: f64 = 0.02;

/// The rank of a route in the order of shedding.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteClass {
    /// The route's name.
    pub route: String,
    /// The level of priority; 0 is the highest and is shed last.
    pub priority: u32,
    /// Orders the routes of one level: the higher, the later it is shed.
    pub value: f64,
}

impl RouteClass {
    /// Returns the rank as one number for the shedder.
    fn weight(&self) -> f64 {
        self.value + PRIORITY_WEIGHT * (MAX_PRIORITY - f64::from(self.priority))
    }
}

/// The admission control of one gateway.
#[derive(Default)]
pub struct Admission {
    shedder: Shedder,
    /// Indices into `classes` and `average_costs`, by route.
    class_indices: HashMap<String, usize>,
    classes: Vec<RouteClass>,
    /// The average cost of each class's requests, in tokens; 0 before the first one.
    average_costs: Vec<f64>,
    last_assessed_at: Now,
    /// Whether servers report their load. Latencies stand in for it only where they do not.
    servers_report_load: bool,
}

impl Admission {
    /// Takes over the routes of a configuration. The admitted fraction and the average costs of routes that stay are kept;
    /// the demand that the shedder has measured is not. Nothing happens where the classes are as before.
    pub fn configure(&mut self, classes: Vec<RouteClass>) {
        if classes == self.classes && !self.class_indices.is_empty() {
            return;
        }
        let admitted = self.admitted_fraction();
        self.shedder = Shedder::new(classes.iter().map(RouteClass::weight));
        self.shedder.admitted_fraction = admitted;
        let costs = classes.iter().map(|class| {
            self.class_indices
                .get(&class.route)
                .and_then(|&index| self.average_costs.get(index))
                .copied()
                .unwrap_or(0.0)
        });
        self.average_costs = costs.collect();
        self.class_indices =
            classes.iter().enumerate().map(|(index, class)| (class.route.clone(), index)).collect();
        self.classes = classes;
    }

    /// Returns the average cost of a class as a multiple of the cheapest class's; 1 where it is not known.
    fn relative_cost(&self, index: usize) -> f64 {
        let base =
            self.average_costs.iter().copied().filter(|&cost| cost > 0.0).fold(f64::INFINITY, f64::min);
        if base.is_finite() && self.average_costs[index] > 0.0 {
            self.average_costs[index] / base
        } else {
            1.0
        }
    }

    /// Decides whether a request of `route` is admitted. One that is counts as sent. `cost` is in tokens. Requests of a
    /// route that is not configured are admitted.
    pub fn admit(&mut self, route: &str, cost: f64) -> bool {
        let Some(&index) = self.class_indices.get(route) else { return true };
        let average = &mut self.average_costs[index];
        *average = if *average > 0.0 { *average + COST_WEIGHT * (cost - *average) } else { cost };
        let relative = self.relative_cost(index);
        let is_admitted = self.shedder.admit(index, relative);
        if is_admitted {
            self.shedder.on_admitted(relative);
        }
        is_admitted
    }

    /// Records the time to the first event of a response, against the route's latency target. A request that was rejected
    /// by the servers or timed out counts with its time limit.
    pub fn record_latency(&mut self, route: &str, latency: Duration, target: Duration) {
        let Some(&index) = self.class_indices.get(route) else { return };
        let lateness = if self.servers_report_load {
            0.0
        } else {
            latency.as_secs_f64() / target.as_secs_f64().max(1e-3)
        };
        let cost = self.relative_cost(index);
        self.shedder.record_latency(1.0, cost, lateness);
    }

    /// Assesses the load once for each interval that has passed. `occupancy` is the load of the servers as a share of their
    /// slots, where they report it; `lag` is the time that it takes to show an effect; `is_idle` says that no request is in
    /// flight.
    pub fn assess(&mut self, now: Now, occupancy: Option<f64>, lag: Duration, is_idle: bool) {
        self.servers_report_load = occupancy.is_some_and(|occupancy| occupancy > 0.0);
        while now.saturating_sub(self.last_assessed_at) >= ASSESSMENT_INTERVAL {
            let gap = now.saturating_sub(self.last_assessed_at);
            self.last_assessed_at = if gap > ASSESSMENT_INTERVAL * MAX_MISSED_ASSESSMENTS {
                now
            } else {
                self.last_assessed_at + ASSESSMENT_INTERVAL
            };
            self.shedder.assess(occupancy, lag.as_secs_f64().max(SHEDDER_STEP_SECS), is_idle);
        }
    }

    /// Returns the fraction of the demand that is admitted, from 0 to 1.
    pub fn admitted_fraction(&self) -> f64 {
        if self.class_indices.is_empty() {
            1.0
        } else {
            self.shedder.admitted_fraction
        }
    }
}
