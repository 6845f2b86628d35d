//! The figures of a run, computed from its history alone: goodput, latencies, call rates and losses.

use crate::checker::Finding;
use crate::decisions::DecisionFigures;
use crate::deployment::{Nanos, MS, SECOND, UNSAFE};
use crate::endpoint::Endpoint;
use crate::history::{Event, Outcome, Setup, TimedEvent, Trace};
use crate::scenario::FaultKind;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Share of the goodput before the first fault at which service counts as full again.
const FULL_SERVICE_SHARE: f64 = 0.95;
/// Length of the windows in which the goodput after the last fault must reach this share.
const FULL_SERVICE_WINDOW: Nanos = 2 * SECOND;
/// Distance between the starts of two such windows.
const FULL_SERVICE_STEP: Nanos = 100 * MS;
/// Time after the start of the load that does not count as steady state.
const WARMUP: Nanos = SECOND;
/// Maximum latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The figures of a run; the last line of `run --json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Number of requests, each with all its client attempts. The next five figures add up to it if every
    /// request has ended.
    pub requests: u64,
    /// Number of requests that were served.
    pub served: u64,
    /// Number of requests that were rejected.
    pub refused: u64,
    /// Number of requests that failed: an error response, no response within the client's timeout, or no
    /// gateway reached.
    pub failed: u64,
    /// Number of requests of which it is unknown whether they ran.
    pub unknown: u64,
    /// Number of requests whose connection ended after the gateway had received them, so that the client does
    /// not know their result.
    pub lost: u64,
    /// Number of unsafe requests that ran more than once.
    pub ran_twice: u64,
    /// Responses within the latency target per second, before the first fault.
    pub goodput_before: Option<f64>,
    /// Responses within the latency target per second, after the end of the last fault.
    pub goodput_after: Option<f64>,
    /// Time from the end of the last fault to full service, in milliseconds.
    pub time_to_full_service_ms: Option<u64>,
    /// Highest rate relative to the steady rate for each kind of call; null if there were none.
    pub peaks: BTreeMap<String, Option<f64>>,
    /// Whether each invariant holds, by name; null if it does not apply.
    pub invariants: BTreeMap<String, Option<bool>>,
    /// Number of client attempts that were in flight at a gateway when a fault affected it.
    #[serde(rename = "in_hand")]
    pub in_flight: u64,
    /// Number of these attempts whose connection ended without a response.
    #[serde(rename = "in_hand_lost")]
    pub in_flight_lost: u64,
    /// Number of unsafe requests whose client received no response.
    pub unsafe_lost: u64,
    /// Number of these requests that had run.
    pub unsafe_lost_ran: u64,
    /// Share of the requests that ended without a response.
    pub unanswered_share: f64,
    /// Number of client attempts that reached no listener.
    #[serde(rename = "unreachable_tries")]
    pub unreachable_client_attempts: u64,
    /// Number of crashes of pay servers because of overload.
    #[serde(rename = "fell")]
    pub overload_crashes: u64,
    /// Number of processes that exited by themselves.
    pub crashes: u64,
    /// Longest time between consecutive actions under the same lock, in milliseconds; null if there
    /// were none.
    pub owner_gap_ms: Option<u64>,
    /// Number of effects that arrived too late and were refused.
    pub late_effects: u64,
    /// Latency by quantile, in milliseconds.
    pub latency_ms: BTreeMap<String, f64>,
    /// The share of attempts that went to a pay server of the gateway's own zone.
    #[serde(rename = "near_share")]
    pub same_zone_share: Option<f64>,
    /// Time from the start of the first fault to the first decision that fails a zone over, in milliseconds.
    pub time_to_failover_ms: Option<u64>,
    /// Time from the end of the last fault to the first decision with all zones serving, in milliseconds.
    pub time_to_return_ms: Option<u64>,
    /// Number of refused decisions of controllers that were no longer the owner.
    pub late_decisions_refused: Option<u64>,
    /// The largest deviation of a firm from the exact weighted max-min solution, as a share of the capacity:
    /// the median over all windows outside transitions.
    pub share_error: Option<f64>,
    /// Time from the shift of demand until that deviation is within 5%, in milliseconds.
    #[serde(rename = "time_to_shares_ms")]
    pub time_to_fair_shares_ms: Option<u64>,
    /// Number of completed shard migrations.
    pub moves: Option<u64>,
    /// Longest time for which a shard accepted no writes, in milliseconds.
    #[serde(rename = "move_pause_ms")]
    pub max_move_downtime_ms: Option<u64>,
    /// Number of writes that cells rejected because of their epoch.
    pub late_writes_refused: Option<u64>,
    /// Figures of the harness itself.
    #[serde(rename = "lab")]
    pub harness: HarnessFigures,
}

/// Resource usage and delays of the harness itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HarnessFigures {
    /// Number of events.
    pub events: u64,
    /// 99.9% quantile of the delay with which requests were sent, in milliseconds.
    pub late_p999_ms: f64,
    /// Maximum delay with which requests were sent, in milliseconds.
    #[serde(rename = "late_most_ms")]
    pub max_late_ms: f64,
    /// Highest share of a second for which the harness' only thread was busy.
    #[serde(rename = "busy_most")]
    pub max_busy_share: f64,
    /// Processor time of the harness, in seconds.
    #[serde(rename = "lab_cpu_s")]
    pub harness_cpu_s: f64,
    /// Processor time of the fleet, in seconds.
    pub fleet_cpu_s: f64,
    /// Duration of the run, in seconds.
    pub wall_s: f64,
}

/// One second of the load.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Number of requests that were served within the latency target.
    pub good: u64,
    /// Number of requests that were served later.
    pub late: u64,
    /// Number of rejected requests.
    pub refused: u64,
    /// Number of failed requests.
    pub failed: u64,
    /// Number of lost requests.
    pub lost: u64,
    latencies: Vec<u64>,
    /// Number of calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
}

impl Second {
    /// Returns a quantile of the latency of the requests that were served in this second, in milliseconds.
    pub fn latency(&self, share: f64) -> Option<f64> {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let at = ((sorted.len() as f64 * share).ceil() as usize).checked_sub(1)?;
        sorted.get(at).map(|us| *us as f64 / 1e3)
    }
}

/// Kinds of calls whose peaks are reported.
pub const CALLS: [&str; 6] = ["connections", "list_calls", "probes", "renewals", "claims", "attempts"];

#[derive(Clone, Copy)]
struct Open {
    request: u32,
    gateway: u16,
}

/// Computes the figures from the events of a history.
#[derive(Default)]
pub struct Figures {
    setup: Option<Box<Setup>>,
    requests: HashMap<u32, (Nanos, u8)>,
    open: HashMap<Trace, Open>,
    in_flight: HashSet<Trace>,
    attempts: HashMap<u64, Trace>,
    ran: HashSet<Trace>,
    /// Last trace ids of the unsafe requests that ended without a response.
    unsafe_lost: Vec<Trace>,
    last_client_attempt: HashMap<u32, Trace>,
    good_responses: Vec<Nanos>,
    seconds: Vec<Second>,
    fault_starts: Vec<(u16, Nanos)>,
    fault_ends: Vec<(u16, Nanos)>,
    lateness: Option<Histogram<u64>>,
    latency: Option<Histogram<u64>>,
    counts: [u64; 5],
    in_flight_total: u64,
    in_flight_lost: u64,
    unanswered: u64,
    unreachable: u64,
    overload_crashes: u64,
    crashes: u64,
    last_action: HashMap<u16, Nanos>,
    owner_gap: Option<Nanos>,
    late_effects: u64,
    harness: HarnessFigures,
}

fn histogram() -> Option<Histogram<u64>> {
    // Never `None`: the bounds are constants that the crate accepts.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).ok()
}

impl Figures {
    /// Returns figures without any events.
    pub fn new() -> Figures {
        Figures { lateness: histogram(), latency: histogram(), ..Figures::default() }
    }

    fn second(&mut self, at: Nanos) -> Option<&mut Second> {
        let from = self.setup.as_ref()?.load_from;
        let index = usize::try_from(at.checked_sub(from)? / SECOND).ok()?;
        if index >= self.seconds.len() {
            self.seconds.resize_with(index + 1, Second::default);
        }
        self.seconds.get_mut(index)
    }

    fn call(&mut self, at: Nanos, name: &'static str) {
        self.second(at).into_iter().for_each(|second| *second.calls.entry(name).or_default() += 1);
    }

    /// Observes the next event.
    pub fn take(&mut self, TimedEvent { at, event }: &TimedEvent) {
        let at = *at;
        self.harness.events += 1;
        match event {
            Event::Setup(setup) => self.setup = Some(setup.clone()),
            Event::RequestStarted { request, class, late, .. } => {
                self.requests.insert(*request, (at, *class));
                self.lateness
                    .iter_mut()
                    .for_each(|lateness| lateness.saturating_record((late / 1000).max(1)));
            }
            Event::AttemptStarted { request, trace, gateway, .. } => {
                self.last_client_attempt.insert(*request, *trace);
                self.open.insert(*trace, Open { request: *request, gateway: *gateway });
                self.call(at, "tries");
            }
            Event::AttemptEnded { trace, outcome } => self.ended(*trace, *outcome),
            Event::RequestEnded { request, outcome } => self.request_ended(at, *request, *outcome),
            Event::Arrived { attempt, trace, .. } => {
                self.attempts.insert(*attempt, *trace);
                self.call(at, "attempts");
            }
            Event::Ran { attempt } => {
                self.ran.extend(self.attempts.get(attempt));
            }
            Event::Opened { from: Endpoint::Gateway(_), to: Endpoint::PayServer(_), .. } => {
                self.call(at, "connections")
            }
            Event::Probed { .. } => self.call(at, "probes"),
            Event::DiscoveryRequested { .. } => self.call(at, "list_calls"),
            Event::Renewed { .. } => self.call(at, "renewals"),
            Event::CounterCalled { .. } => self.call(at, "counts"),
            Event::Granted { .. } => self.call(at, "claims"),
            Event::ActionStarted { lock, .. } => {
                // The time before the first action does not count, because the first owner has to start.
                if let Some(before) = self.last_action.insert(*lock, at) {
                    self.owner_gap = self.owner_gap.max(Some(at - before));
                }
            }
            Event::Effect { admitted: false, .. } => self.late_effects += 1,
            Event::OverloadCrash { .. } => self.overload_crashes += 1,
            Event::ProcessChanged { change: crate::history::ProcessChange::Crashed, .. } => self.crashes += 1,
            Event::FaultBegan { fault } => self.fault_began(at, *fault),
            Event::FaultEnded { fault } => self.fault_ends.push((*fault, at)),
            Event::HarnessCpu { cpu } if self.setup.is_some() => {
                self.harness.max_busy_share =
                    self.harness.max_busy_share.max(round(*cpu as f64 / SECOND as f64));
            }
            Event::Finished { harness_cpu, fleet_cpu } => {
                let s = |nanos: Nanos| nanos as f64 / SECOND as f64;
                self.harness.harness_cpu_s = s(*harness_cpu);
                self.harness.fleet_cpu_s = s(*fleet_cpu);
                self.harness.wall_s = s(at);
            }
            _ => {}
        }
    }

    fn ended(&mut self, trace: Trace, outcome: Outcome) {
        self.open.remove(&trace);
        if self.in_flight.remove(&trace) && matches!(outcome, Outcome::Reset { .. }) {
            self.in_flight_lost += 1;
        }
        self.unreachable += u64::from(outcome == Outcome::Unreachable);
    }

    fn request_ended(&mut self, at: Nanos, request: u32, outcome: Outcome) {
        let Some((started_at, class)) = self.requests.remove(&request) else { return };
        let last = self.last_client_attempt.remove(&request);
        let latency_target = self.setup.as_ref().map_or(0, |setup| setup.latency_target);
        let latency = at - started_at;
        let category = match outcome {
            Outcome::Served { .. } => 0,
            Outcome::Refused => 1,
            Outcome::Failed | Outcome::TimedOut | Outcome::Unreachable => 2,
            Outcome::Unknown => 3,
            Outcome::Reset { .. } => 4,
        };
        self.counts[category] += 1;
        let unanswered = matches!(outcome, Outcome::Reset { .. } | Outcome::TimedOut | Outcome::Unreachable);
        self.unanswered += u64::from(unanswered);
        if class == UNSAFE && unanswered && outcome != Outcome::Unreachable {
            self.unsafe_lost.extend(last);
        }
        if category == 0 {
            self.latency.iter_mut().for_each(|h| h.saturating_record((latency / 1000).max(1)));
            if latency <= latency_target {
                self.good_responses.push(at);
            }
        }
        if let Some(second) = self.second(at) {
            match category {
                0 if latency <= latency_target => second.good += 1,
                0 => second.late += 1,
                1 => second.refused += 1,
                2 | 3 => second.failed += 1,
                _ => second.lost += 1,
            }
            if category == 0 {
                second.latencies.push(latency / 1000);
            }
        }
    }

    fn fault_began(&mut self, at: Nanos, number: u16) {
        self.fault_starts.push((number, at));
        let Some(fault) = self.setup.as_ref().and_then(|setup| setup.faults.get(usize::from(number))) else {
            return;
        };
        if fault.kind.of_links() || fault.kind == FaultKind::FullDisk {
            return;
        }
        let victims: HashSet<Endpoint> = fault.victims.iter().copied().collect();
        let affected = self.open.iter().filter(|(_, open)| {
            victims.contains(&Endpoint::Gateway(open.gateway)) && self.requests.contains_key(&open.request)
        });
        let affected: Vec<Trace> = affected.map(|(trace, _)| *trace).collect();
        self.in_flight_total += affected.len() as u64;
        self.in_flight.extend(affected);
    }

    /// Returns the seconds of the load.
    pub fn seconds(&self) -> &[Second] {
        &self.seconds
    }

    /// Returns the setup, once it was observed.
    pub fn setup(&self) -> Option<&Setup> {
        self.setup.as_deref()
    }

    /// Returns the number, start and end of each fault, in seconds of the load; permanent faults have no end.
    pub fn fault_spans(&self) -> Vec<(u16, f64, Option<f64>)> {
        let Some(setup) = &self.setup else { return Vec::new() };
        let second = |at: Nanos| at.saturating_sub(setup.load_from) as f64 / SECOND as f64;
        let over = |fault: u16| {
            let lasts = setup.faults.get(usize::from(fault)).is_some_and(|fault| fault.until.is_none());
            self.fault_ends.iter().find(|(of, _)| *of == fault && !lasts).map(|(_, at)| second(*at))
        };
        self.fault_starts.iter().map(|(fault, at)| (*fault, second(*at), over(*fault))).collect()
    }

    /// Returns the responses within the latency target per second, between two instants; `None` if they are
    /// less than a second apart.
    fn goodput(&self, from: Nanos, to: Nanos) -> Option<f64> {
        let count = self.good_responses.partition_point(|at| *at < to)
            - self.good_responses.partition_point(|at| *at < from);
        (to >= from + SECOND).then(|| count as f64 * SECOND as f64 / (to - from) as f64)
    }

    /// Returns the summary; `None` where there was no setup.
    pub fn summary(
        &mut self,
        findings: &BTreeMap<&'static str, Finding>,
        decisions: &DecisionFigures,
    ) -> Option<Summary> {
        let setup = self.setup.clone()?;
        self.good_responses.sort_unstable();
        let (from, to) = (setup.load_from, setup.load_from + setup.duration);
        let first = self.fault_starts.iter().map(|(_, at)| *at).min();
        let over = self.fault_ends.iter().map(|(_, at)| *at).max();
        let steady_to = first.unwrap_or(to);
        let before = self.goodput(from + WARMUP, steady_to);
        let after = over.and_then(|over| self.goodput(over, to));
        let full = over.zip(before).and_then(|(over, before)| {
            let windows =
                (0..).map(|i| over + i * FULL_SERVICE_STEP).take_while(|at| at + FULL_SERVICE_WINDOW <= to);
            let mut full_windows = windows.filter(|at| {
                self.goodput(*at, at + FULL_SERVICE_WINDOW)
                    .is_some_and(|goodput| goodput >= FULL_SERVICE_SHARE * before)
            });
            full_windows.next().map(|at| (at - over) / MS)
        });
        let steady_seconds = usize::try_from((steady_to - from) / SECOND).unwrap_or(0);
        let peaks = CALLS.iter().map(|name| {
            let rates: Vec<f64> = self
                .seconds
                .iter()
                .take((setup.duration / SECOND) as usize)
                .map(|second| second.calls.get(name).copied().unwrap_or(0) as f64)
                .collect();
            let steady_rates = rates
                .get(1..steady_seconds)
                .filter(|steady_rates| !steady_rates.is_empty())
                .unwrap_or(&rates);
            let steady = steady_rates.iter().sum::<f64>() / steady_rates.len().max(1) as f64;
            let later =
                if first.is_some() { rates.get(steady_seconds..).unwrap_or_default() } else { &rates };
            let highest = later.iter().copied().fold(0.0, f64::max);
            let any = rates.iter().any(|rate| *rate > 0.0);
            // The steady rate counts as at least one a second, because ratios to lower rates are meaningless.
            ((*name).to_owned(), any.then(|| round(highest / steady.max(1.0))))
        });
        let peaks = peaks.collect();
        let quantiles = |h: &Option<Histogram<u64>>, q: f64| {
            h.as_ref().map_or(0.0, |h| round(h.value_at_quantile(q) as f64 / 1e3))
        };
        let latency_ms = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];
        let latency_ms =
            latency_ms.iter().map(|(name, q)| ((*name).to_owned(), quantiles(&self.latency, *q))).collect();
        self.harness.late_p999_ms = quantiles(&self.lateness, 0.999);
        self.harness.max_late_ms = quantiles(&self.lateness, 1.0);
        let requests = self.counts.iter().sum::<u64>() + self.requests.len() as u64;
        Some(Summary {
            scenario: setup.scenario.clone(),
            seed: setup.seed,
            requests,
            served: self.counts[0],
            refused: self.counts[1],
            failed: self.counts[2],
            unknown: self.counts[3],
            lost: self.counts[4],
            ran_twice: findings.get("never_ran_twice").map_or(0, |finding| finding.cases),
            goodput_before: before.map(round),
            goodput_after: after.map(round),
            time_to_full_service_ms: full,
            peaks,
            invariants: findings.iter().map(|(name, f)| ((*name).to_owned(), f.holds)).collect(),
            in_flight: self.in_flight_total,
            in_flight_lost: self.in_flight_lost,
            unsafe_lost: self.unsafe_lost.len() as u64,
            unsafe_lost_ran: self.unsafe_lost.iter().filter(|trace| self.ran.contains(trace)).count() as u64,
            unanswered_share: round(self.unanswered as f64 / requests.max(1) as f64),
            unreachable_client_attempts: self.unreachable,
            overload_crashes: self.overload_crashes,
            crashes: self.crashes,
            owner_gap_ms: self.owner_gap.map(|gap| gap / MS),
            late_effects: self.late_effects,
            latency_ms,
            same_zone_share: decisions.same_zone_share.map(round),
            time_to_failover_ms: decisions.time_to_failover_ms,
            time_to_return_ms: decisions.time_to_return_ms,
            late_decisions_refused: decisions.late_decisions_refused,
            share_error: decisions.shares.share_error.map(round),
            time_to_fair_shares_ms: decisions.shares.time_to_fair_shares_ms,
            moves: decisions.shards.moves,
            max_move_downtime_ms: decisions.shards.max_move_downtime_ms,
            late_writes_refused: decisions.shards.late_writes_refused,
            harness: self.harness.clone(),
        })
    }
}

/// Rounds to four decimal places; further digits are noise.
fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
