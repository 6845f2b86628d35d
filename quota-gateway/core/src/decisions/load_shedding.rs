//! Load shedding: overload detection, allocation and throttling (Kasera IV-B2, IV-C, IV-D).
//!
//! A control loop adjusts the admitted fraction of the demand to keep the servers' occupancy at a target. The
//! rest is shed, from the priorities of the lowest value first. The loop needs samples of occupancy or
//! latency: with few responses it reacts slowly and its input is noisy.

use crate::arithmetic::ewma;
use serde::{Deserialize, Serialize};

/// Seconds between assessments of the load.
pub const STEP_SECS: f64 = 0.1;
/// Number of samples that an assessment averages (Kasera: k).
const SAMPLE_COUNT: usize = 3;
/// Responses that an interval must contain to be a sample.
const MIN_RESPONSES_PER_SAMPLE: f64 = 8.0;
/// The occupancy that the loop aims for.
const TARGET_OCCUPANCY: f64 = 0.95;
/// Lower bound of the admitted fraction.
const MIN_ADMITTED_FRACTION: f64 = 0.005;
/// Weight of a new estimate of the acceptance threshold.
const THRESHOLD_WEIGHT: f64 = 0.02;
/// Steps between two estimates of the acceptance threshold. With the paper's 300, the threshold would stay
/// unset for half a minute.
const THRESHOLD_STEPS: u64 = 50;
/// Weight of a step's arrivals in a priority's demand: a time constant of two seconds (see Kasera IV-C).
const DEMAND_WEIGHT: f64 = 0.05;
/// A request passes if the accumulator is this close to 1, because rounding errors can keep it from reaching
/// 1.
const ACCUMULATOR_TOLERANCE: f64 = 1e-9;

/// One priority of Kasera's formula (4): the requests of one plan and class, within the quota or over it.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Priority {
    #[serde(rename = "worth")]
    pub(crate) value: f64,
    /// Work that arrived in this step.
    pub(crate) arrived: f64,
    /// Mean work that arrives per second.
    pub(crate) demand: f64,
    /// The fraction that is throttled (Kasera: tau).
    #[serde(rename = "tau")]
    pub(crate) throttled_fraction: f64,
    /// Sum of the admitted fractions of requests, less 1 for each that passed. A request passes when it
    /// reaches 1 (Kasera: r).
    #[serde(rename = "r")]
    pub(crate) accumulator: f64,
}

/// Work that was sent and answered in one interval.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Sample {
    /// Length of the interval, in seconds.
    pub(crate) span: f64,
    /// Number of responses.
    pub(crate) count: f64,
    /// Admitted work.
    pub(crate) sent: f64,
    /// Sum of latencies divided by their targets, weighted by work.
    #[serde(rename = "late")]
    pub(crate) relative_latency: f64,
    /// Answered work, the sum of the weights of `relative_latency`.
    pub(crate) weight: f64,
}

/// Sheds load by value. Part of [`StateSnapshot`](crate::StateSnapshot), so fields are serialized by name.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Shedder {
    /// The admitted fraction of the demand (Kasera: f).
    #[serde(rename = "f")]
    pub admitted_fraction: f64,
    /// Admitted work per second at the target occupancy (Kasera: the acceptance threshold alpha).
    #[serde(rename = "alpha_thresh")]
    pub(crate) acceptance_threshold: Option<f64>,
    /// The last one is the current interval.
    pub(crate) samples: [Sample; SAMPLE_COUNT],
    /// Number of assessments.
    pub(crate) steps: u64,
    /// Seconds since the last recorded latency.
    #[serde(rename = "quiet")]
    pub(crate) seconds_without_sample: f64,
    /// Ordered by plan, then class, then within or over the quota.
    pub(crate) priorities: Vec<Priority>,
    /// Indices of the priorities, the lowest value first.
    #[serde(skip)]
    pub(crate) by_value: Vec<usize>,
}

impl Shedder {
    /// Returns a shedder that admits everything, with one priority for each value.
    pub fn new(values: impl Iterator<Item = f64>) -> Shedder {
        let priority =
            |value| Priority { value, arrived: 0.0, demand: 0.0, throttled_fraction: 0.0, accumulator: 0.0 };
        let priorities: Vec<Priority> = values.map(priority).collect();
        let mut by_value: Vec<usize> = (0..priorities.len()).collect();
        by_value.sort_by(|&a, &b| priorities[a].value.total_cmp(&priorities[b].value));
        Shedder { admitted_fraction: 1.0, priorities, by_value, ..Shedder::default() }
    }

    /// Returns whether one request of this priority passes, by the priority's accumulator (Kasera IV-D).
    pub fn admit(&mut self, priority: usize, cost: f64) -> bool {
        let priority = &mut self.priorities[priority];
        priority.arrived += cost;
        priority.accumulator += 1.0 - priority.throttled_fraction;
        let passes = priority.accumulator >= 1.0 - ACCUMULATOR_TOLERANCE;
        if passes {
            priority.accumulator -= 1.0;
        }
        passes
    }

    /// Counts work that was admitted and sent to a server.
    pub fn on_admitted(&mut self, cost: f64) {
        self.samples[SAMPLE_COUNT - 1].sent += cost;
    }

    /// Records a latency, relative to its target, as `count` responses in the current interval.
    pub fn record_latency(&mut self, count: f64, cost: f64, relative_latency: f64) {
        let sample = &mut self.samples[SAMPLE_COUNT - 1];
        let weight = cost * count;
        sample.count += count;
        self.seconds_without_sample = 0.0;
        sample.relative_latency += weight * relative_latency;
        sample.weight += weight;
    }

    /// Assesses the load at the end of a step (Kasera IV-B2). `reported` is the occupancy that the servers
    /// report, if any; `lag` is the time in seconds until a change shows in the servers' responses; `idle` is
    /// whether there are no requests in flight.
    ///
    /// Differs from Kasera: an interval is a sample only once it contains enough responses, so that k samples
    /// mean the same at a gateway that gets one response per second. Otherwise noise would move the fraction,
    /// and since the fraction is bounded by 1, only downwards.
    pub fn assess(&mut self, reported: Option<f64>, lag: f64, idle: bool) {
        self.steps += 1;
        self.seconds_without_sample += STEP_SECS;
        let admitted_rate = self.admitted_rate();
        let occupancy = self.occupancy(reported);
        let open = &mut self.samples[SAMPLE_COUNT - 1];
        open.span += STEP_SECS;
        let span = open.span;
        // Shed requests produce no responses. The required number of responses is scaled by the admitted
        // fraction, because a low fraction could otherwise prevent the responses that are needed to raise it.
        let is_full = open.count >= (MIN_RESPONSES_PER_SAMPLE * self.admitted_fraction).max(1.0);
        if let Some(occupancy) = occupancy.filter(|_| is_full) {
            let can_apply_threshold = reported.is_some() && admitted_rate > 0.0;
            self.update_admitted_fraction(occupancy, admitted_rate, can_apply_threshold, span, lag);
            if self.steps.is_multiple_of(THRESHOLD_STEPS) && can_apply_threshold {
                self.update_threshold(TARGET_OCCUPANCY * admitted_rate / occupancy);
            }
        } else if idle && self.has_no_recent_sample(lag) {
            // Differs from Kasera: all demand is shed and nothing is in flight, so no sample would ever raise
            // the fraction again.
            self.admitted_fraction /= TARGET_OCCUPANCY;
        }
        self.admitted_fraction = self.admitted_fraction.clamp(MIN_ADMITTED_FRACTION, 1.0);
        self.allocate();
        if is_full {
            self.samples.rotate_left(1);
            self.samples[SAMPLE_COUNT - 1] = Sample::default();
        }
    }

    fn sum(&self, part: fn(&Sample) -> f64) -> f64 {
        self.samples.iter().map(part).sum::<f64>()
    }

    /// Admitted work per second over all samples.
    fn admitted_rate(&self) -> f64 {
        self.sum(|sample| sample.sent) / self.sum(|sample| sample.span).max(STEP_SECS)
    }

    /// The occupancy: the larger of the reported one and the estimate by latency. `None` if neither is
    /// available or the result is zero.
    fn occupancy(&self, reported: Option<f64>) -> Option<f64> {
        let weight = self.sum(|sample| sample.weight);
        let by_latency =
            (weight > 0.0).then(|| TARGET_OCCUPANCY * self.sum(|sample| sample.relative_latency) / weight);
        reported.into_iter().chain(by_latency).reduce(f64::max).filter(|&occupancy| occupancy > 0.0)
    }

    /// Moves the admitted fraction towards the target occupancy.
    fn update_admitted_fraction(
        &mut self,
        occupancy: f64,
        admitted_rate: f64,
        can_apply_threshold: bool,
        span: f64,
        lag: f64,
    ) {
        let mut ratio = TARGET_OCCUPANCY / occupancy;
        if let Some(threshold) = self.acceptance_threshold.filter(|_| can_apply_threshold) {
            // Differs from Kasera: the threshold is estimated from this gateway's usual share of the traffic,
            // so it applies only while the occupancy is above the target. Otherwise it would reject traffic
            // that moves here when another gateway crashes.
            if occupancy > TARGET_OCCUPANCY {
                ratio = ratio.min(threshold / admitted_rate);
            }
        }
        // Differs from Kasera: a step applies only the part of the correction that can already show in the
        // servers' responses. This prevents oscillation when responses take many steps, but reduces the
        // fraction later.
        self.admitted_fraction *= ratio.powf(span / (span + lag));
    }

    fn update_threshold(&mut self, estimate: f64) {
        let updated = self.acceptance_threshold.map_or(estimate, |old| ewma(old, estimate, THRESHOLD_WEIGHT));
        self.acceptance_threshold = Some(updated);
    }

    /// Returns whether no latency was recorded for the time that all samples take to fill with one response
    /// per `lag` seconds.
    fn has_no_recent_sample(&self, lag: f64) -> bool {
        let timeout_secs = SAMPLE_COUNT as f64 * MIN_RESPONSES_PER_SAMPLE * STEP_SECS.max(lag);
        self.seconds_without_sample > timeout_secs
    }

    /// Kasera's formula (4): the shed share of the demand is taken from the priorities of the lowest value.
    pub(crate) fn allocate(&mut self) {
        for priority in &mut self.priorities {
            priority.demand = ewma(priority.demand, priority.arrived / STEP_SECS, DEMAND_WEIGHT);
            priority.arrived = 0.0;
        }
        let demand: f64 = self.priorities.iter().map(|priority| priority.demand).sum();
        let mut shed = (1.0 - self.admitted_fraction) * demand;
        for &index in &self.by_value {
            let priority = &mut self.priorities[index];
            priority.throttled_fraction =
                if shed <= 0.0 || priority.demand <= 0.0 { 0.0 } else { (shed / priority.demand).min(1.0) };
            shed -= priority.demand.min(shed);
        }
    }
}
