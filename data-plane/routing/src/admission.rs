//! Admission control: sheds overload before requests reach a server, lowest priority first.
//!
//! Overload detection, the allocation of capacity to priorities and the throttle are those of the
//! quota gateway ([`Shedder`], after Kasera et al.). Once per [`ASSESSMENT_INTERVAL`] the control
//! loop compares the occupancy of the servers with a set point and corrects the admitted fraction
//! of the demand by the ratio. This module supplies the input: it maps routes to shedder priorities
//! and weighs requests by cost.
//!
//! Each request passes through [`Admission::admit`] once, before placement. Its latency is reported
//! with [`Admission::record_latency`]. Occupancy is the better signal and is used if servers report
//! it. Otherwise latencies are used, which show overload only after queues have grown.
//!
//! Each gateway runs its own loop on its own observations. This needs no coordination, but a
//! gateway that gets few requests of a route admits that route in coarse steps.

use crate::Timestamp;
use marblecroft_quota_gateway_core::{Shedder, SHEDDER_STEP_SECS};
use std::collections::HashMap;
use std::time::Duration;

/// Interval between two load assessments.
pub const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(100);
/// After a gap of more than this many intervals, the missed assessments are skipped.
const MAX_MISSED_ASSESSMENTS: u32 = 10;
/// Weight of one priority level. It exceeds every `value` within a level, so that levels never
/// overlap.
const PRIORITY_WEIGHT: f64 = 1e6;
/// The rank of a route grows with `MAX_PRIORITY - priority`, so that priority 0 ranks highest.
const MAX_PRIORITY: f64 = 100.0;
/// Weight of one request in the moving average of its route's cost.
const COST_WEIGHT: f64 = 0.02;

/// Rank of a route in the order of shedding.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteClass {
    /// Name of the route.
    pub route: String,
    /// Priority level; 0 is the highest and is shed last.
    pub priority: u32,
    /// Orders the routes within a level. Routes with a higher value are shed later.
    pub value: f64,
}

impl RouteClass {
    /// Returns the rank as a single number for the shedder.
    fn weight(&self) -> f64 {
        self.value + PRIORITY_WEIGHT * (MAX_PRIORITY - f64::from(self.priority))
    }
}

/// Admission control of one gateway.
#[derive(Default)]
pub struct Admission {
    shedder: Shedder,
    /// Indices into `classes` and `average_costs`, by route name.
    class_indices: HashMap<String, usize>,
    classes: Vec<RouteClass>,
    /// Average request cost of each class in tokens; 0 before its first request.
    average_costs: Vec<f64>,
    last_assessed_at: Timestamp,
    /// Whether servers report their load. Latencies are used only if they do not.
    servers_report_load: bool,
}

impl Admission {
    /// Applies the routes of a new configuration; does nothing if the classes have not changed. The
    /// admitted fraction and the average costs of remaining routes are kept, but the shedder's
    /// demand statistics are reset.
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

    /// Returns the average cost of a class relative to the cheapest class, or 1 if it is unknown.
    fn relative_cost(&self, index: usize) -> f64 {
        let base =
            self.average_costs.iter().copied().filter(|&cost| cost > 0.0).fold(f64::INFINITY, f64::min);
        if base.is_finite() && self.average_costs[index] > 0.0 {
            self.average_costs[index] / base
        } else {
            1.0
        }
    }

    /// Returns whether a request of `route` is admitted, and counts an admitted request as sent.
    /// `cost` is in tokens. Requests of a route that is not configured are always admitted.
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

    /// Records the time to the first event of a response, relative to the route's latency target.
    /// For a request that servers rejected or that timed out, callers pass the time limit as
    /// `latency`.
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

    /// Runs one load assessment for each interval that has passed. `occupancy` is the load of the
    /// servers as a share of their slots, if they report it. `lag` is the time until a change of
    /// the admitted fraction shows in the load. `is_idle` is true if no request is in flight.
    pub fn assess(&mut self, now: Timestamp, occupancy: Option<f64>, lag: Duration, is_idle: bool) {
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

    /// Returns the admitted fraction of the demand, from 0 to 1.
    pub fn admitted_fraction(&self) -> f64 {
        if self.class_indices.is_empty() {
            1.0
        } else {
            self.shedder.admitted_fraction
        }
    }
}
