//! Clients, and the load balancer that distributes their requests among the gateways.
//!
//! Models: an open loop (requests are sent on schedule, whatever the responses are); a set of gateways for
//! each customer, used unevenly; client timeouts; retries after rejections, failures and unreachable
//! gateways, as far as the class allows; `Retry-After`; a load balancer that detects with a delay that a
//! gateway has ended; retries with the same id. Leaves out: shifts of the busiest gateway, spikes of single
//! customers, clients that cancel early.

use crate::deployment::{random_stream, Customer, Deployment, Nanos, RandomStream, MS, SAFE, SECOND, UNSAFE};
use crate::history::{Outcome, Trace};
use crate::scenario::Scenario;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A client does not retry if less time than this is left before its deadline.
const MIN_ATTEMPT_TIME: Nanos = 50 * MS;
const MAX_RETRY_AFTER: Nanos = 500 * MS;
/// A greedy client retries a rejected request after this delay.
const GREEDY_RETRY_DELAY: Nanos = 10 * MS;

/// How clients behave.
#[derive(Clone, Debug)]
pub struct ClientBehavior {
    /// The deadline in nanoseconds.
    pub deadline: Nanos,
    /// Minimum timeout of a client attempt, as a share of the deadline.
    pub min_timeout_share: f64,
    /// The backoff before a retry, in nanoseconds.
    pub backoff: Nanos,
    /// The share of rejections whose `Retry-After` is honoured.
    pub honour: f64,
    /// Maximum number of retries of a request.
    pub retries: u32,
    /// Whether a client whose gateway was lost retries with the same id.
    pub retries_with_same_id: bool,
}

impl ClientBehavior {
    /// Returns the behaviour of a scenario's clients.
    pub fn of(scenario: &Scenario) -> ClientBehavior {
        ClientBehavior {
            deadline: scenario.site.deadline_ms * MS,
            min_timeout_share: scenario.site.min_timeout_share,
            backoff: scenario.site.backoff_ms * MS,
            honour: scenario.site.honour,
            retries: scenario.load.retries,
            retries_with_same_id: scenario.load.retries_with_same_id,
        }
    }
}

/// The requests in the order of their arrival times.
pub struct Arrivals {
    rng: ChaCha8Rng,
    customers: WeightedIndex<f64>,
    /// The time of a demand shift, and the customers' weights after it.
    shifted: Option<(Nanos, WeightedIndex<f64>)>,
    unsafe_share: f64,
    slot: f64,
    next_request: u32,
    count: u32,
}

/// One request that a client is about to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request.
    pub request: u32,
    /// Arrival time in nanoseconds after the start of the load.
    pub at: Nanos,
    /// Number of the customer.
    pub customer: u32,
    /// Class of the request.
    pub class: u8,
    /// Whether the request arrives after the demand shift.
    pub shifted: bool,
    seed: u64,
}

impl Arrivals {
    /// Returns the arrivals of a scenario, or `None` if no customer has a weight, which no deployment has.
    pub fn new(scenario: &Scenario, deployment: &Deployment, seed: u64) -> Option<Arrivals> {
        let load = &scenario.load;
        Some(Arrivals {
            rng: random_stream(seed, RandomStream::Arrivals),
            customers: WeightedIndex::new(deployment.customers.iter().map(|customer| customer.weight))
                .ok()?,
            shifted: match scenario.tenants.as_ref().and_then(|tenants| tenants.shift_at_ms) {
                Some(at) => {
                    let weights = deployment.customers.iter().map(|customer| customer.after_shift.0);
                    Some((at * MS, WeightedIndex::new(weights).ok()?))
                }
                None => None,
            },
            unsafe_share: load.unsafe_share,
            slot: SECOND as f64 / load.rate,
            next_request: 0,
            count: (load.rate * load.duration_ms as f64 / 1000.0).round() as u32,
        })
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    /// Draws one arrival time within each slot of the rate. The load of each second is then nearly the same,
    /// so the goodput of two seconds can be compared.
    fn next(&mut self) -> Option<Arrival> {
        let request = self.next_request;
        if request == self.count {
            return None;
        }
        self.next_request += 1;
        let within: f64 = self.rng.random();
        let class = if self.rng.random::<f64>() < self.unsafe_share { UNSAFE } else { SAFE };
        let at = ((f64::from(request) + within) * self.slot) as Nanos;
        let shifted = self.shifted.as_ref().filter(|(from, _)| at >= *from);
        let customers = shifted.map_or(&self.customers, |(_, customers)| customers);
        Some(Arrival {
            request,
            at,
            customer: customers.sample(&mut self.rng) as u32,
            class,
            shifted: shifted.is_some(),
            seed: self.rng.random(),
        })
    }
}

/// The load balancer, with its view of which gateways are healthy.
pub struct LoadBalancer {
    healthy: Vec<bool>,
}

impl LoadBalancer {
    /// Returns a load balancer that regards all gateways as healthy.
    pub fn new(gateways: usize) -> LoadBalancer {
        LoadBalancer { healthy: vec![true; gateways] }
    }

    /// Sets whether a gateway is regarded as healthy.
    pub fn set(&mut self, gateway: u16, healthy: bool) {
        self.healthy[usize::from(gateway)] = healthy;
    }

    /// Chooses a gateway of the customer's set: a healthy one that is not `excluded`, or else a healthy one,
    /// or else any.
    fn choose(&self, customer: &Customer, shifted: bool, excluded: Option<u16>, rng: &mut impl Rng) -> u16 {
        let first = if shifted { customer.after_shift.1 } else { customer.first_gateway };
        let gateway_at = |i: usize| ((usize::from(first) + i) % self.healthy.len()) as u16;
        let set: Vec<(u16, f64)> =
            customer.gateway_weights.iter().enumerate().map(|(i, w)| (gateway_at(i), *w)).collect();
        let usable = |other_only: bool| {
            let usable = set.iter().filter(move |(gateway, _)| {
                self.healthy[usize::from(*gateway)] && !(other_only && excluded == Some(*gateway))
            });
            usable.copied().collect::<Vec<_>>()
        };
        let others = usable(true);
        let healthy = if others.is_empty() { usable(false) } else { others };
        let choices = if healthy.is_empty() { set } else { healthy };
        let total: f64 = choices.iter().map(|(_, weight)| weight).sum();
        let mut drawn = rng.random::<f64>() * total;
        for (gateway, weight) in &choices {
            drawn -= weight;
            if drawn <= 0.0 {
                return *gateway;
            }
        }
        choices[choices.len() - 1].0
    }
}

/// The next step of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry with this attempt.
    Retry(ClientAttempt),
    /// The request has ended.
    End(Outcome),
}

/// An attempt of a client to send its request to a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAttempt {
    /// The backoff before the attempt, in nanoseconds.
    pub after: Nanos,
    /// The gateway.
    pub gateway: u16,
    /// Trace id of the attempt.
    pub trace: Trace,
    /// Timeout of the attempt, in nanoseconds.
    pub wait: Nanos,
    /// Whether the attempt is a retry, which clients mark by a header.
    pub is_retry: bool,
    /// Whether the attempt has the trace id of the attempt before it.
    pub reuses_id: bool,
}

/// One request of a client, with all its client attempts.
pub struct ClientRequest {
    behavior: ClientBehavior,
    class: u8,
    shifted: bool,
    started_at: Nanos,
    rng: ChaCha8Rng,
    retries_left: u32,
    last: Option<(u16, Trace)>,
}

impl ClientRequest {
    /// Returns a request that has just arrived.
    pub fn new(arrival: &Arrival, behavior: ClientBehavior, now: Nanos) -> ClientRequest {
        ClientRequest {
            retries_left: behavior.retries,
            behavior,
            class: arrival.class,
            shifted: arrival.shifted,
            started_at: now,
            rng: ChaCha8Rng::seed_from_u64(arrival.seed),
            last: None,
        }
    }

    /// Returns the first attempt.
    pub fn first_attempt(
        &mut self,
        now: Nanos,
        customer: &Customer,
        load_balancer: &LoadBalancer,
    ) -> ClientAttempt {
        self.new_attempt(now, 0, false, customer, load_balancer)
    }

    fn new_attempt(
        &mut self,
        now: Nanos,
        after: Nanos,
        reuses_id: bool,
        customer: &Customer,
        load_balancer: &LoadBalancer,
    ) -> ClientAttempt {
        let is_retry = self.last.is_some();
        let gateway = load_balancer.choose(
            customer,
            self.shifted,
            self.last.map(|(gateway, _)| gateway),
            &mut self.rng,
        );
        let new_trace = self.rng.random();
        let trace = self.last.filter(|_| reuses_id).map_or(new_trace, |(_, trace)| trace);
        let share = self.rng.random_range(self.behavior.min_timeout_share..=1.0);
        let attempt_timeout = (self.behavior.deadline as f64 * share) as Nanos;
        let remaining = (self.started_at + self.behavior.deadline).saturating_sub(now + after);
        self.last = Some((gateway, trace));
        ClientAttempt { after, gateway, trace, wait: attempt_timeout.min(remaining), is_retry, reuses_id }
    }

    /// Returns the step that follows the end of an attempt.
    pub fn next_step(
        &mut self,
        now: Nanos,
        outcome: Outcome,
        retry_after: Option<Nanos>,
        customer: &Customer,
        load_balancer: &LoadBalancer,
    ) -> NextStep {
        let safe = self.class == SAFE;
        let was_reset = matches!(outcome, Outcome::Reset { .. });
        let retryable = match outcome {
            Outcome::Served { .. } | Outcome::Unknown => false,
            Outcome::Refused | Outcome::Unreachable => true,
            Outcome::Failed | Outcome::TimedOut => safe,
            Outcome::Reset { .. } => safe || self.behavior.retries_with_same_id,
        };
        let mut after = (self.behavior.backoff as f64 * self.rng.random_range(0.5..1.5)) as Nanos;
        if let Some(delay) = retry_after.filter(|_| self.rng.random::<f64>() < self.behavior.honour) {
            after = after.max(delay.min(MAX_RETRY_AFTER));
        }
        if customer.greedy && outcome == Outcome::Refused {
            after = GREEDY_RETRY_DELAY;
        }
        let in_time = now + after + MIN_ATTEMPT_TIME < self.started_at + self.behavior.deadline;
        if !retryable || self.retries_left == 0 || !in_time {
            return NextStep::End(outcome);
        }
        self.retries_left -= 1;
        NextStep::Retry(self.new_attempt(
            now,
            after,
            was_reset && self.behavior.retries_with_same_id,
            customer,
            load_balancer,
        ))
    }
}
