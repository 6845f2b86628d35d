//! Load shedding: overload detection, allocation and throttling (Kasera IV-B2, IV-C, IV-D).
//!
//! A loop steers the fraction of demand that is admitted so that the servers' occupancy stays at a target.
//! What is not admitted is taken from the priorities of the lowest value first. The loop needs samples of
//! occupancy or latency: where hardly anything is answered it moves slowly, and chance moves it.

use crate::arithmetic::ewma;
use serde::{Deserialize, Serialize};

/// Seconds between assessments of the load (design).
pub const STEP_SECS: f64 = 0.1;
/// Samples that an assessment averages (design: k).
const SAMPLE_COUNT: usize = 3;
/// Answers that make an interval a sample (ours).
const MIN_ANSWERS_PER_SAMPLE: f64 = 8.0;
/// The load that the loop steers for, as occupancy (design).
const TARGET_OCCUPANCY: f64 = 0.95;
/// Least fraction of demand that is admitted (design).
const MIN_ADMITTED_FRACTION: f64 = 0.005;
/// Weight of a new estimate of the acceptance threshold (design) ...
const THRESHOLD_WEIGHT: f64 = 0.02;
/// ... and steps between two (ours: the paper's 300 would leave the threshold unset for half a minute).
const THRESHOLD_STEPS: u64 = 50;
/// Weight of a step's arrivals in a priority's demand (ours: memory of two seconds, see Kasera IV-C).
const DEMAND_WEIGHT: f64 = 0.05;
/// An accumulator this close to 1 lets a request pass, as sums of fractions do not reach 1 exactly.
const ACCUMULATOR_TOLERANCE: f64 = 1e-9;

/// One priority of formula (4): a class under a plan, within the quota or beyond it.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Priority {
    #[serde(rename = "worth")]
    pub(crate) value: f64,
    /// Work that arrived in this step.
    pub(crate) arrived: f64,
    /// Mean work that arrives a second.
    pub(crate) demand: f64,
    /// The fraction that is throttled (Kasera: tau).
    #[serde(rename = "tau")]
    pub(crate) throttled_fraction: f64,
    /// What is admitted but not yet passed; a request passes when it reaches 1 (Kasera: r).
    #[serde(rename = "r")]
    pub(crate) accumulator: f64,
}

/// What was sent and answered in one interval.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Sample {
    /// Its length, in seconds.
    pub(crate) span: f64,
    /// Answers in it.
    pub(crate) count: f64,
    /// Work that was admitted in it.
    pub(crate) sent: f64,
    /// Sum of latencies over their targets, by work.
    pub(crate) late: f64,
    /// Work that was answered in it.
    pub(crate) weight: f64,
}

/// Sheds load by value. Written by name for the gateway's next process.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Shedder {
    /// The fraction of demand that is admitted (Kasera: f).
    #[serde(rename = "f")]
    pub admitted_fraction: f64,
    /// Admitted work a second at the target occupancy (Kasera: the acceptance threshold alpha).
    #[serde(rename = "alpha_thresh")]
    pub(crate) acceptance_threshold: Option<f64>,
    /// The last one is the interval that runs.
    pub(crate) samples: [Sample; SAMPLE_COUNT],
    /// Assessments so far.
    pub(crate) steps: u64,
    /// Seconds since anything was sampled.
    #[serde(rename = "quiet")]
    pub(crate) seconds_without_sample: f64,
    /// Indexed by (plan, class, beyond the quota).
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

    /// Counts a latency over its target in the interval that runs, as `count` answers.
    pub fn record_latency(&mut self, count: f64, cost: f64, late: f64) {
        let sample = &mut self.samples[SAMPLE_COUNT - 1];
        let weight = cost * count;
        sample.count += count;
        self.seconds_without_sample = 0.0;
        sample.late += weight * late;
        sample.weight += weight;
    }

    /// Assesses the load at the end of a step (Kasera IV-B2). `reported` is the occupancy that the servers
    /// report, where they do; `lag` is the time in seconds in which the servers' answers show a change;
    /// `idle`: nothing is in flight.
    ///
    /// Departure: a sample is an interval that holds enough answers, so that k samples mean the same at a
    /// gateway that gets one answer a second; else chance would move the fraction, and as it ends at 1, only
    /// down.
    pub fn assess(&mut self, reported: Option<f64>, lag: f64, idle: bool) {
        self.steps += 1;
        self.seconds_without_sample += STEP_SECS;
        let admitted_rate = self.admitted_rate();
        let occupancy = self.occupancy(reported);
        let open = &mut self.samples[SAMPLE_COUNT - 1];
        open.span += STEP_SECS;
        let span = open.span;
        // What is shed here nobody answers: with fewer admitted, fewer answers are enough, or the fraction
        // would stay where it is for want of the answers that it keeps from coming.
        let is_full = open.count >= (MIN_ANSWERS_PER_SAMPLE * self.admitted_fraction).max(1.0);
        if let Some(occupancy) = occupancy.filter(|_| is_full) {
            let is_comparable = reported.is_some() && admitted_rate > 0.0;
            self.correct(occupancy, admitted_rate, is_comparable, span, lag);
            if self.steps.is_multiple_of(THRESHOLD_STEPS) && is_comparable {
                self.update_threshold(TARGET_OCCUPANCY * admitted_rate / occupancy);
            }
        } else if idle && self.has_starved(lag) {
            // Departure: all demand is shed and nothing is in flight, so no sample can ever raise the
            // fraction again.
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

    /// Admitted work a second, over the samples.
    fn admitted_rate(&self) -> f64 {
        self.sum(|sample| sample.sent) / self.sum(|sample| sample.span).max(STEP_SECS)
    }

    /// The occupancy: the larger one of what is reported and what the latencies show. `None` where neither
    /// shows any.
    fn occupancy(&self, reported: Option<f64>) -> Option<f64> {
        let weight = self.sum(|sample| sample.weight);
        let by_latency = (weight > 0.0).then(|| TARGET_OCCUPANCY * self.sum(|sample| sample.late) / weight);
        reported.into_iter().chain(by_latency).reduce(f64::max).filter(|&occupancy| occupancy > 0.0)
    }

    /// Moves the admitted fraction towards the target occupancy.
    fn correct(&mut self, occupancy: f64, admitted_rate: f64, is_comparable: bool, span: f64, lag: f64) {
        let mut ratio = TARGET_OCCUPANCY / occupancy;
        if let Some(threshold) = self.acceptance_threshold.filter(|_| is_comparable) {
            // Departure: the threshold is learnt at this gateway's share of the traffic, so it cuts only
            // while the occupancy agrees; else traffic that a crash shifted here would be rejected for it.
            if occupancy > TARGET_OCCUPANCY {
                ratio = ratio.min(threshold / admitted_rate);
            }
        }
        // Departure: a step moves the fraction by the part of the correction that the servers can have
        // answered to within the step. Guards against swings when answers take many steps; hurts by a later
        // cut.
        self.admitted_fraction *= ratio.powf(span / (span + lag));
    }

    fn update_threshold(&mut self, estimate: f64) {
        let updated = self.acceptance_threshold.map_or(estimate, |old| ewma(old, estimate, THRESHOLD_WEIGHT));
        self.acceptance_threshold = Some(updated);
    }

    /// Whether nothing was sampled for as long as all samples take.
    fn has_starved(&self, lag: f64) -> bool {
        let patience = SAMPLE_COUNT as f64 * MIN_ANSWERS_PER_SAMPLE * STEP_SECS.max(lag);
        self.seconds_without_sample > patience
    }

    /// Formula (4): the priorities of the lowest value bear the share of demand that is shed.
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
