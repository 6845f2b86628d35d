//! Checks of fair shares, based on the history alone, against the exact weighted max-min solution: the sum is
//! within the capacity, each firm receives its minimum share, and the deviation from the exact solution.

use super::Violations;
use crate::deployment::{Nanos, MS, SECOND};
use crate::history::{Event, Setup, TimedEvent, Trace};
use marblecroft_fair_share_reference::{max_min_shares, Firm};
use std::collections::{HashMap, HashSet};

/// Length of the windows over which demand and sent requests are summed, in seconds. A second is too short,
/// because it has only one or two requests of a firm.
const WINDOW_SECONDS: usize = 4;
/// Share by which the requests that all firms sent may exceed the capacity, which is the slack of the
/// controllers' decisions. In addition the firms' token buckets may release one second's worth in a window.
/// Shares also count as converged after a shift of demand if they deviate by at most this share of the
/// capacity from the exact solution.
const SLACK_SHARE: f64 = 0.05;
/// Time for which shares may be in transition after the start or end of a fault, a shift of demand, and the
/// start of the load.
const TRANSITION: Nanos = 8 * SECOND;
/// Part of its minimum share that a firm must receive, less the allowance for random variation and one
/// request, because a request is not divisible.
const FLOOR_SHARE: f64 = 0.75;
/// Allowance for random variation, in square roots of the expected number of requests.
const CHANCE_ROOTS: f64 = 3.0;

/// Figures of fair shares; `None` where they do not apply.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareFigures {
    pub share_error: Option<f64>,
    pub time_to_fair_shares_ms: Option<u64>,
}

#[derive(Default)]
pub struct ShareChecker {
    applies: bool,
    from: Nanos,
    shift: Option<Nanos>,
    weights: Vec<f64>,
    customers: HashMap<u32, u32>,
    traces: HashMap<Trace, u32>,
    arrived: HashSet<Trace>,
    /// Number of requests by second of the load and firm.
    requested: Vec<Vec<f64>>,
    /// Number of requests that were sent to pay servers, by second of the load and firm.
    sent: Vec<Vec<f64>>,
    /// The capacity that all firms together may use, and when it was decided.
    capacity: Vec<(Nanos, f64)>,
    transitions: Vec<Nanos>,
    end: Nanos,
}

impl ShareChecker {
    pub fn begin(&mut self, setup: &Setup) {
        self.applies = setup.shares;
        self.from = setup.load_from;
        self.end = setup.load_from + setup.duration;
        self.shift = setup.demand_shift_at.map(|at| setup.load_from + at);
        // A firm's weight is its price times its contracted rate, as in the gateways.
        let weight = |plan: &u8| setup.quotas.get(usize::from(*plan)).map_or(0.0, |q| q.price * q.rate);
        self.weights = setup.plans.iter().map(weight).collect();
        self.transitions.push(setup.load_from);
        self.transitions.extend(self.shift);
    }

    fn second(&mut self, at: Nanos) -> Option<usize> {
        let second = usize::try_from(at.checked_sub(self.from).filter(|_| at < self.end)? / SECOND).ok()?;
        let n = self.weights.len();
        for all in [&mut self.requested, &mut self.sent] {
            if all.len() <= second {
                all.resize(second + 1, vec![0.0; n]);
            }
        }
        Some(second)
    }

    pub fn take(&mut self, TimedEvent { at, event }: &TimedEvent) {
        let at = *at;
        if !self.applies {
            return;
        }
        match event {
            Event::RequestStarted { request, customer, .. } => {
                self.customers.insert(*request, *customer);
                if let Some(second) = self.second(at) {
                    self.requested[second][*customer as usize] += 1.0;
                }
            }
            Event::AttemptStarted { request, trace, .. } => {
                if let Some(customer) = self.customers.get(request) {
                    self.traces.insert(*trace, *customer);
                }
            }
            // Only the first attempt at a pay server of each client attempt counts towards the share.
            Event::Arrived { trace, .. } if self.arrived.insert(*trace) => {
                if let (Some(second), Some(customer)) = (self.second(at), self.traces.get(trace).copied()) {
                    self.sent[second][customer as usize] += 1.0;
                }
            }
            Event::SharesDecided { capacity, .. } => self.capacity.push((at, *capacity)),
            Event::FaultBegan { .. } | Event::FaultEnded { .. } => self.transitions.push(at),
            _ => {}
        }
    }

    /// Returns the highest capacity that was in force in a window.
    fn capacity_in(&self, from: Nanos, to: Nanos) -> Option<f64> {
        let first = self.capacity.partition_point(|(at, _)| *at <= from).saturating_sub(1);
        let within = self.capacity[first..].iter().take_while(|(at, _)| *at < to);
        within.map(|(_, units)| *units).reduce(f64::max)
    }

    fn sums(of: &[Vec<f64>]) -> Vec<f64> {
        (0..of[0].len()).map(|firm| of.iter().map(|second| second[firm]).sum()).collect()
    }

    pub fn findings(self, violations: &mut Violations) -> ShareFigures {
        if !self.applies {
            for name in ["shares_within_capacity", "share_floor"] {
                violations.does_not_apply(name, "no shares are decided");
            }
            return ShareFigures::default();
        }
        let seconds = WINDOW_SECONDS as f64;
        let all: f64 = self.weights.iter().sum();
        let mut errors: Vec<f64> = Vec::new();
        let mut converged_at: Option<Nanos> = None;
        for second in 0..self.sent.len().saturating_sub(WINDOW_SECONDS - 1) {
            let from = self.from + second as Nanos * SECOND;
            let to = from + WINDOW_SECONDS as Nanos * SECOND;
            // A decision from before the load applies to the first windows; windows without a decision are
            // skipped.
            let Some(capacity) = self.capacity_in(from, to) else { continue };
            let requested = ShareChecker::sums(&self.requested[second..second + WINDOW_SECONDS]);
            let sent = ShareChecker::sums(&self.sent[second..second + WINDOW_SECONDS]);
            let sum: f64 = sent.iter().sum();
            let max_sum = capacity * (1.0 + SLACK_SHARE) * (seconds + 1.0);
            let is_steady = self.transitions.iter().all(|start| to <= *start || from >= *start + TRANSITION);
            if sum > max_sum + CHANCE_ROOTS * max_sum.sqrt() {
                violations.add("shares_within_capacity", || {
                    format!("{sum} were sent on in the {WINDOW_SECONDS} s from second {second}, and all firms may send {capacity:.1} a second")
                });
            }
            let firms: Vec<Firm> = requested
                .iter()
                .zip(&self.weights)
                .map(|(demand, weight)| Firm { demand: *demand, weight: *weight })
                .collect();
            let exact = max_min_shares(&firms, capacity * seconds);
            let deviation = |(sent, exact): (&f64, &f64)| (sent - exact).abs() / (capacity * seconds);
            let error = sent.iter().zip(&exact).map(deviation).fold(0.0, f64::max);
            if is_steady {
                errors.push(error);
                for (firm, (sent, firm_demand)) in sent.iter().zip(&firms).enumerate() {
                    let min_share = firm_demand.demand.min(capacity * seconds * firm_demand.weight / all);
                    if *sent < FLOOR_SHARE * min_share - CHANCE_ROOTS * min_share.sqrt() - 1.0 {
                        violations.add("share_floor", || {
                            format!("firm {firm} had {sent} sent on in the {WINDOW_SECONDS} s from second {second}, and its minimum share is {min_share:.1}")
                        });
                    }
                }
            }
            let after = self.shift.filter(|shift| from >= *shift);
            if after.is_some() && error <= SLACK_SHARE {
                converged_at.get_or_insert(from);
            }
        }
        errors.sort_by(f64::total_cmp);
        ShareFigures {
            share_error: errors.get(errors.len() / 2).copied(),
            time_to_fair_shares_ms: converged_at.zip(self.shift).map(|(at, shift)| (at - shift) / MS),
        }
    }
}
