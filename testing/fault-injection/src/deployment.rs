//! Draws a deployment from a scenario and a seed: the customers, the speed of each server, the settings of
//! each gateway and the victims of each fault. The same scenario and seed give the same deployment, load and
//! faults on every machine.

use crate::endpoint::{Endpoint, Kind};
use crate::scenario::tenancy::Tenants;
use crate::scenario::{Fault, FaultKind, Scenario, ScenarioError, Target};
use rand::seq::{index, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Gamma};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Nanoseconds; since the start of the run if the value is an instant.
pub type Nanos = u64;

/// A millisecond in nanoseconds.
pub const MS: Nanos = 1_000_000;
/// A second in nanoseconds.
pub const SECOND: Nanos = 1_000 * MS;

/// Purposes of random numbers. Each one has a stream of its own, so that an additional draw for one purpose
/// does not change the values of the others.
#[derive(Clone, Copy)]
pub enum RandomStream {
    /// Customers, pay servers and gateways.
    Deployment,
    /// Victims of the faults.
    Faults,
    /// Arrivals of requests.
    Arrivals,
    /// Work of the requests at pay servers.
    Servers,
    /// Delays and losses of the links.
    Links,
    /// The shared counter.
    Counter,
    /// Candidates for locks.
    Candidates,
    /// Clients of registers.
    Registers,
}

/// Returns the random number generator of a stream.
pub fn random_stream(seed: u64, stream: RandomStream) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream as u64 + 1);
    rng
}

/// A client firm: its plan, its demand and its gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Id of the firm in requests.
    pub id: u64,
    /// Index of the firm's plan.
    pub plan: usize,
    /// Its demand, as a share of all requests.
    pub weight: f64,
    /// Number of the first gateway in its set.
    pub first_gateway: u16,
    /// Weights of the gateways in its set, which are consecutive from `first_gateway` on.
    pub gateway_weights: Vec<f64>,
    /// Its demand and its first gateway after the shift of demand.
    pub after_shift: (f64, u16),
    /// Whether it retries at once after a refusal.
    pub greedy: bool,
}

/// The limits and prices of a plan, scaled to the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Name of the plan.
    pub name: String,
    /// Units per second.
    pub rate: f64,
    /// Depth of the token bucket, in units.
    pub burst: f64,
    /// Price of a unit within the quota.
    pub price: f64,
    /// Cost of a unit beyond the quota.
    pub over_cost: f64,
    /// Maximum number of concurrent attempts; 0 for no limit.
    pub open: u32,
    /// The hard rate limit in units per second; 0 for none.
    pub rate_limit: f64,
    /// Depth of the rate limit's token bucket, in units.
    pub rate_limit_burst: f64,
    /// How far the rate limit may be exceeded, in units.
    pub rate_limit_slack: f64,
}

/// A pay server.
#[derive(Clone, Debug, PartialEq)]
pub struct PayServer {
    /// Id of the server in discovery.
    pub id: String,
    /// Index of the server's zone.
    pub zone: usize,
    /// Number of the server's cell.
    pub cell: u32,
    /// Speed relative to a reference core.
    pub speed: f64,
}

/// A fault whose victims are drawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrawnFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, in nanoseconds after the start of the load.
    pub at: Nanos,
    /// End of the fault; `None` if it is permanent.
    pub until: Option<Nanos>,
    /// The processes and stand-ins that the fault affects.
    pub victims: Vec<Endpoint>,
    /// The lock or role whose owner is the victim, or `leader`. The owner is looked up when the fault starts.
    pub owner: Option<String>,
    /// The lock or role whose owner is the other side of a fault of links.
    pub from_owner: Option<String>,
    /// The other side of a fault of links; empty for all others.
    pub from: Vec<Endpoint>,
    /// Whether only one direction fails.
    pub one_way: bool,
    /// Whether connections are reset.
    pub reset: bool,
    /// Delay in each direction, in nanoseconds.
    pub delay: Nanos,
    /// Maximum random delay on top of `delay`, in nanoseconds.
    pub jitter: Nanos,
    /// Share of the datagrams that are lost or duplicated.
    pub probability: f64,
}

/// A drawn deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The customers.
    pub customers: Vec<Customer>,
    /// The plans.
    pub quotas: Vec<Quota>,
    /// The pay servers.
    pub servers: Vec<PayServer>,
    /// The seed of each gateway's first start.
    pub gateway_seeds: Vec<u64>,
    /// The faults.
    pub faults: Vec<DrawnFault>,
}

/// The class of requests that may run more than once.
pub const SAFE: u8 = 0;
/// The class of requests that must never run twice.
pub const UNSAFE: u8 = 1;
/// Names of the classes, by number.
pub const CLASSES: [&str; 2] = ["payslip-read", "pay-run-submit"];

/// Maximum number of attempts of a request.
pub const MAX_ATTEMPTS: u32 = 4;
/// Time for which gateways may still send to a draining server.
pub const DRAIN_GRACE: Nanos = 500 * MS;
/// Extension of the invariants' time limits, to allow for the delays of sockets.
pub const SOCKET_SLACK: Nanos = 50 * MS;
/// Interval between two reports of the meter.
pub const METER_PERIOD: Nanos = 500 * MS;

impl Deployment {
    /// Draws a deployment from a seed.
    ///
    /// # Errors
    ///
    /// Two faults suspend or end the same process at the same time.
    pub fn draw(scenario: &Scenario, seed: u64) -> Result<Deployment, ScenarioError> {
        let mut rng = random_stream(seed, RandomStream::Deployment);
        let site = &scenario.site;
        let (customers, quotas) = match &scenario.tenants {
            Some(tenants) => draw_firms(scenario, tenants, &mut rng),
            None => draw_customers(scenario, &mut rng),
        };
        let servers = (0..scenario.fleet.pay_servers as usize)
            .map(|i| PayServer {
                id: format!("s-{:08x}", rng.random::<u32>()),
                zone: i % scenario.fleet.zones.len(),
                cell: scenario.cell_of(i as u32),
                speed: sample_gamma(site.speed, site.speed_cv, &mut rng),
            })
            .collect();
        let gateway_seeds = (0..scenario.fleet.gateways).map(|_| rng.random()).collect();
        let faults = draw_faults(scenario, &mut random_stream(seed, RandomStream::Faults))?;
        Ok(Deployment { customers, quotas, servers, gateway_seeds, faults })
    }

    /// Returns the end of the last fault; a permanent fault counts with its start.
    pub fn last_fault_end(&self) -> Option<Nanos> {
        self.faults.iter().map(|fault| fault.until.unwrap_or(fault.at)).max()
    }

    /// Returns the settings object of a gateway, in the published format.
    pub fn settings(&self, scenario: &Scenario, gateway: u16) -> Value {
        let site = &scenario.site;
        let ns = |ms: u64| ms * MS;
        let profile = |name: &str, effect: &str, worth: f64| {
            json!({"Name": name, "Aim": ns(site.latency_target_ms), "Deadline": ns(site.deadline_ms), "Effect": effect, "Group": "all",
                "Importance": worth, "KeyTtl": 0, "LateValue": 0.0, "Stream": false})
        };
        let plans: Vec<Value> = self
            .quotas
            .iter()
            .map(|quota| {
                json!({"Name": quota.name, "Rate": quota.rate, "Burst": quota.burst, "AtOnce": quota.open,
                    "NeverOverRate": quota.rate_limit, "NeverOverDepth": quota.rate_limit_burst,
                    "CapSlack": quota.rate_limit_slack, "ValueFactor": quota.price, "OverCost": quota.over_cost,
                    "OverWorth": 0.0})
            })
            .collect();
        json!({
            "FleetSize": scenario.fleet.gateways, "Me": gateway,
            "Zone": usize::from(gateway) % scenario.fleet.zones.len(),
            "Dcs": scenario.fleet.zones, "Kinds": ["std-2core"], "Tick": 4 * MS, "Discovery": "push",
            "Profiles": [profile(CLASSES[0], "read_like", 3.0), profile(CLASSES[1], "non_idempotent", 2.0)],
            "Plans": plans,
            "Domain": {"SharedCounter": scenario.fleet.counter, "CountWait": 30 * MS, "CallPrice": 0.01,
                "Metering": METER_PERIOD, "UnitsTop": 1, "PostPaid": false, "InboxPerS": 0.0},
            "Limits": {"Cancel": true, "ConnIdle": 15 * SECOND, "ConnectTimeout": 250 * MS,
                "MaxAttempts": MAX_ATTEMPTS, "MaxRetryAfter": 500 * MS, "MostHeld": 20_000, "Peers": false, "Probes": true,
                "RetryAfter": true, "SecondCopies": false, "StreamsPerConn": 1},
            "Rules": {"AnswerSlack": 16 * MS, "AskEvery": 10 * SECOND, "ColdFrom": site.initial_speed_share,
                "DrainGrace": DRAIN_GRACE, "Fall": ns(site.overload_window_ms), "OverloadFactor": site.overload_multiple,
                "RampTime": ns(site.warmup_ms)},
            "Fees": {"CrossZone": 0.01, "Probe": 0.01, "Waste": 0.08, "LateFail": 0.03},
            "Clients": {"MarksRetry": true}, "Report": {"Fields": [], "How": "off"}
        })
    }
}

/// Draws a positive value with this mean and coefficient of variation.
pub fn sample_gamma(mean: f64, cv: f64, rng: &mut impl Rng) -> f64 {
    if cv <= 0.0 {
        return mean;
    }
    let shape = 1.0 / (cv * cv);
    // The scenario's validation ensures that the parameters are positive.
    Gamma::new(shape, mean / shape).map_or(mean, |gamma| gamma.sample(rng).max(mean * 1e-3))
}

/// Draws customers for each plan, in such numbers that the plan has its share of the usage. The quotas are
/// scaled so that the demand of these customers equals the load.
fn draw_customers(scenario: &Scenario, rng: &mut ChaCha8Rng) -> (Vec<Customer>, Vec<Quota>) {
    let (site, load, gateways) = (&scenario.site, &scenario.load, scenario.entry_count() as usize);
    let needed: Vec<f64> = site.plans.iter().map(|plan| plan.share / plan.rate).collect();
    let all: f64 = needed.iter().sum();
    let mut customers = Vec::new();
    let mut cumulative = 0.0;
    for (plan, need) in needed.iter().enumerate() {
        cumulative += need / all;
        let upto = (cumulative * f64::from(load.customers)).round() as usize;
        while customers.len() < upto {
            // Most customers stay well below their quota, some use nearly all of it, a few request far more.
            let use_of_quota = match rng.random::<f64>() {
                x if x < 0.70 => rng.random_range(0.16..0.36),
                x if x < 0.91 => rng.random_range(0.8..0.95),
                _ => rng.random_range(1.5..3.0),
            };
            let max_size = if gateways <= 4 { 4 } else { 9 };
            let size = rng.random_range(2..=max_size).min(gateways);
            let weight = use_of_quota * site.plans[plan].rate;
            customers.push(Customer {
                id: rng.random_range(0..1u64 << 33),
                plan,
                weight,
                first_gateway: rng.random_range(0..gateways) as u16,
                gateway_weights: (0..size).map(|_| rng.random_range(0.05f64..1.0).powf(site.skew)).collect(),
                after_shift: (weight, 0),
                greedy: false,
            });
        }
    }
    let demand: f64 = customers.iter().map(|customer| customer.weight).sum();
    let scale = load.rate / demand;
    for customer in &mut customers {
        customer.weight /= demand;
        customer.after_shift = (customer.weight, customer.first_gateway);
    }
    customers.shuffle(rng);
    let quotas = site.plans.iter().map(|plan| {
        let rate = plan.rate * scale;
        // A bucket that holds less than one request would never admit any.
        let burst = (rate * plan.burst_s).max(1.0);
        let depth = if plan.rate_limit_multiple > 0.0 {
            (rate * plan.rate_limit_multiple * 1.3).max(2.0)
        } else {
            0.0
        };
        Quota {
            name: plan.name.clone(),
            rate,
            burst,
            price: plan.price,
            over_cost: plan.over_cost,
            open: if plan.open == 0 { 0 } else { (f64::from(plan.open) * scale).ceil().max(2.0) as u32 },
            rate_limit: rate * plan.rate_limit_multiple,
            rate_limit_burst: depth,
            rate_limit_slack: if depth > 0.0 { (depth * 0.1).max(1.0) } else { 0.0 },
        }
    });
    (customers, quotas.collect())
}

/// Quota of a firm with fair shares, relative to its part of the load. It is large enough that the fair share
/// limits the firm first.
const QUOTA_HEADROOM: f64 = 4.0;
/// Demand of a greedy firm, relative to its part of the load.
const GREEDY_DEMAND_FACTOR: f64 = 5.0;

/// Draws firms with round-robin weights and a plan for each weight. Quotas are proportional to the weights,
/// and all prices are equal, so that no firm has priority because of its price.
fn draw_firms(scenario: &Scenario, tenants: &Tenants, rng: &mut ChaCha8Rng) -> (Vec<Customer>, Vec<Quota>) {
    let (load, gateways) = (&scenario.load, scenario.entry_count() as usize);
    let weight = |i: usize| tenants.weights[i % tenants.weights.len()];
    let all: f64 = (0..tenants.firms as usize).map(weight).sum();
    let mut plans: Vec<f64> = tenants.weights.clone();
    plans.sort_by(f64::total_cmp);
    plans.dedup();
    let mut customers: Vec<Customer> = (0..tenants.firms as usize)
        .map(|i| {
            let greedy = i < tenants.greedy as usize;
            let demand =
                weight(i) / all * if greedy { GREEDY_DEMAND_FACTOR } else { rng.random_range(0.3..1.5) };
            let max_size = if gateways <= 4 { 4 } else { 9 };
            let size = rng.random_range(2..=max_size).min(gateways);
            Customer {
                id: rng.random_range(0..1u64 << 33),
                plan: plans.iter().position(|plan| *plan == weight(i)).unwrap_or(0),
                weight: demand,
                first_gateway: rng.random_range(0..gateways) as u16,
                gateway_weights: (0..size)
                    .map(|_| rng.random_range(0.2f64..1.0).powf(scenario.site.skew))
                    .collect(),
                after_shift: (demand, rng.random_range(0..gateways) as u16),
                greedy,
            }
        })
        .collect();
    // After the shift each firm has the demand per weight that another firm had before.
    let mut factors: Vec<f64> = customers.iter().enumerate().map(|(i, c)| c.weight / weight(i)).collect();
    factors.shuffle(rng);
    for (i, (customer, factor)) in customers.iter_mut().zip(factors).enumerate() {
        customer.after_shift.0 = weight(i) * factor;
    }
    let (before, after) = customers
        .iter()
        .fold((0.0, 0.0), |(a, b), customer| (a + customer.weight, b + customer.after_shift.0));
    for customer in &mut customers {
        customer.weight /= before;
        customer.after_shift.0 /= after;
    }
    let quotas = plans.iter().enumerate().map(|(i, weight)| {
        let rate = QUOTA_HEADROOM * load.rate * weight / all;
        Quota {
            name: format!("weight-{i}"),
            rate,
            burst: (2.0 * rate).max(4.0),
            price: 1.0,
            over_cost: 1.0,
            open: 0,
            rate_limit: 0.0,
            rate_limit_burst: 0.0,
            rate_limit_slack: 0.0,
        }
    });
    (customers, quotas.collect())
}

fn draw_faults(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Result<Vec<DrawnFault>, ScenarioError> {
    let mut drawn: Vec<DrawnFault> = Vec::new();
    // For each process, the start, end and index of the faults during which it is down or suspended.
    let mut outages: BTreeMap<Endpoint, Vec<(Nanos, Nanos, usize)>> = BTreeMap::new();
    for (i, fault) in scenario.faults.iter().enumerate() {
        let victims = members(scenario, &fault.target);
        let count = match (fault.share, fault.count) {
            (Some(share), _) => (share * victims.len() as f64).round() as usize,
            (_, Some(count)) => count as usize,
            _ => victims.len(),
        };
        let mut chosen: Vec<Endpoint> =
            index::sample(rng, victims.len(), count.min(victims.len())).iter().map(|k| victims[k]).collect();
        chosen.sort_unstable();
        let at = fault.at_ms * MS;
        // A restarted process starts again at once, or after the fault's duration.
        let restarts = matches!(fault.kind, FaultKind::Restart | FaultKind::Wipe);
        let until = fault.for_ms.map(|ms| at + ms * MS).or(restarts.then_some(at));
        if !fault.kind.of_links() && fault.kind != FaultKind::FullDisk {
            for &victim in &chosen {
                let spans = outages.entry(victim).or_default();
                let end = until.unwrap_or(Nanos::MAX).max(at + 1);
                if let Some((.., other)) = spans.iter().find(|(a, b, _)| *a < end && at < *b) {
                    return Err(ScenarioError::invalid(
                        format!("fault[{i}].target"),
                        format!("{victim} is already down or stopped by fault[{other}] at that time"),
                    ));
                }
                spans.push((at, end, i));
            }
        }
        drawn.push(DrawnFault {
            kind: fault.kind,
            at,
            until,
            victims: chosen,
            owner: fault.target.owner(),
            from_owner: fault.from.as_ref().and_then(Target::owner),
            from: fault.from.as_ref().map_or_else(Vec::new, |from| members(scenario, from)),
            one_way: fault.one_way,
            reset: fault.reset,
            delay: fault.delay_ms.unwrap_or(if fault.kind == FaultKind::Delay { 100 } else { 0 }) * MS,
            jitter: fault.jitter_ms.unwrap_or(0) * MS,
            probability: probability(fault),
        });
    }
    Ok(drawn)
}

fn probability(fault: &Fault) -> f64 {
    let default = if matches!(fault.kind, FaultKind::Lose | FaultKind::Duplicate) { 0.3 } else { 0.0 };
    fault.probability.unwrap_or(default)
}

fn members(scenario: &Scenario, target: &Target) -> Vec<Endpoint> {
    match target {
        Target::All(kind) => (0..scenario.count(*kind)).filter_map(|i| Endpoint::of(*kind, i)).collect(),
        Target::One(kind, index) => Endpoint::of(*kind, *index).into_iter().collect(),
        Target::Zone(_) | Target::Region(_) => Kind::ALL
            .into_iter()
            .flat_map(|kind| (0..scenario.count(kind)).filter_map(move |i| Endpoint::of(kind, i)))
            .filter(|endpoint| {
                scenario.zone_of(*endpoint).is_some_and(|zone| scenario.is_zone_in(zone, target))
            })
            .collect(),
        // Looked up when the fault starts.
        Target::Owner(_) => Vec::new(),
    }
}
