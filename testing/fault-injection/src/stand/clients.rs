//! Clients, and the front that deals out their requests among the gateways.
//!
//! Models: an open loop (requests leave on schedule, whatever comes back); a set of gateways for each customer, used
//! unevenly; patience; retries after refusals, failures and unreachable gateways, as far as the class allows; `Retry-After`;
//! a front that notices late that a gateway is dead; the return with the same id. Leaves out: shifts of the busiest gateway,
//! spikes of single customers, clients that give up early.

use crate::deployment::{random_stream, Customer, Deployment, Nanos, RandomStream, MS, SAFE, SECOND, UNSAFE};
use crate::history::{Outcome, Trace};
use crate::scenario::Scenario;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A wait shorter than this is none that a client would try for.
const WAIT_LEAST: Nanos = 50 * MS;
const RETRY_AFTER_MOST: Nanos = 500 * MS;
/// A greedy client comes back after this.
const AT_ONCE: Nanos = 10 * MS;

/// How clients behave.
#[derive(Clone, Debug)]
pub struct Manners {
    /// The deadline in nanoseconds.
    pub deadline: Nanos,
    /// The least share of the deadline that a client waits for a try.
    pub try_share: f64,
    /// The pause before a retry, in nanoseconds.
    pub backoff: Nanos,
    /// The share of rejections whose `Retry-After` is honoured.
    pub honour: f64,
    /// Retries of a client.
    pub retries: u32,
    /// Whether a client that lost its gateway comes back with the same id.
    pub come_back: bool,
}

impl Manners {
    /// Returns the behaviour of a scenario's clients.
    pub fn of(scenario: &Scenario) -> Manners {
        Manners {
            deadline: scenario.site.deadline_ms * MS,
            try_share: scenario.site.try_share,
            backoff: scenario.site.backoff_ms * MS,
            honour: scenario.site.honour,
            retries: scenario.load.retries,
            come_back: scenario.load.come_back,
        }
    }
}

/// The requests in the order of their times, counted from the load's begin.
pub struct Arrivals {
    rng: ChaCha8Rng,
    customers: WeightedIndex<f64>,
    /// From when on others ask.
    moved: Option<(Nanos, WeightedIndex<f64>)>,
    unsafe_share: f64,
    slot: f64,
    next: u32,
    count: u32,
}

/// One request that a client is about to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request.
    pub ask: u32,
    /// When it arrives, in nanoseconds after the load's begin.
    pub at: Nanos,
    /// Number of the customer.
    pub customer: u32,
    /// Its class.
    pub class: u8,
    /// Demand has moved.
    pub moved: bool,
    seed: u64,
}

impl Arrivals {
    /// `None` if there are no customers with a weight, which no deployment has.
    pub fn new(scenario: &Scenario, deployment: &Deployment, seed: u64) -> Option<Arrivals> {
        let load = &scenario.load;
        Some(Arrivals {
            rng: random_stream(seed, RandomStream::Arrivals),
            customers: WeightedIndex::new(deployment.customers.iter().map(|customer| customer.weight))
                .ok()?,
            moved: match scenario.tenants.as_ref().and_then(|tenants| tenants.shift_at_ms) {
                Some(at) => {
                    let weights = deployment.customers.iter().map(|customer| customer.after_shift.0);
                    Some((at * MS, WeightedIndex::new(weights).ok()?))
                }
                None => None,
            },
            unsafe_share: load.unsafe_share,
            slot: SECOND as f64 / load.rate,
            next: 0,
            count: (load.rate * load.duration_ms as f64 / 1000.0).round() as u32,
        })
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    /// One in each slot of the rate, at a time drawn within it: what is offered in a second then hardly varies, so that a
    /// second's goodput can be held against another's.
    fn next(&mut self) -> Option<Arrival> {
        let ask = self.next;
        if ask == self.count {
            return None;
        }
        self.next += 1;
        let within: f64 = self.rng.random();
        let class = if self.rng.random::<f64>() < self.unsafe_share { UNSAFE } else { SAFE };
        let at = ((f64::from(ask) + within) * self.slot) as Nanos;
        let moved = self.moved.as_ref().filter(|(from, _)| at >= *from);
        let customers = moved.map_or(&self.customers, |(_, customers)| customers);
        Some(Arrival {
            ask,
            at,
            customer: customers.sample(&mut self.rng) as u32,
            class,
            moved: moved.is_some(),
            seed: self.rng.random(),
        })
    }
}

/// Which gateways the front holds for alive.
pub struct Front {
    alive: Vec<bool>,
}

impl Front {
    /// Returns a load balancer to which all gateways are alive.
    pub fn new(gateways: usize) -> Front {
        Front { alive: vec![true; gateways] }
    }

    /// Records whether a gateway is alive.
    pub fn set(&mut self, gateway: u16, alive: bool) {
        self.alive[usize::from(gateway)] = alive;
    }

    /// A gateway of the customer's set; of those that are held for alive, and not this one, if there are others.
    fn choose(&self, customer: &Customer, moved: bool, but: Option<u16>, rng: &mut impl Rng) -> u16 {
        let first = if moved { customer.after_shift.1 } else { customer.first_gateway };
        let of = |i: usize| ((usize::from(first) + i) % self.alive.len()) as u16;
        let set: Vec<(u16, f64)> =
            customer.gateway_weights.iter().enumerate().map(|(i, w)| (of(i), *w)).collect();
        let usable = |strict: bool| {
            let usable = set.iter().filter(move |(gateway, _)| {
                self.alive[usize::from(*gateway)] && !(strict && but == Some(*gateway))
            });
            usable.copied().collect::<Vec<_>>()
        };
        let strict = usable(true);
        let loose = if strict.is_empty() { usable(false) } else { strict };
        let from = if loose.is_empty() { set } else { loose };
        let total: f64 = from.iter().map(|(_, weight)| weight).sum();
        let mut drawn = rng.random::<f64>() * total;
        for (gateway, weight) in &from {
            drawn -= weight;
            if drawn <= 0.0 {
                return *gateway;
            }
        }
        from[from.len() - 1].0
    }
}

/// What a client does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another try.
    Try(Try),
    /// The request has ended.
    End(Outcome),
}

/// A try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// The pause before it, in nanoseconds.
    pub after: Nanos,
    /// The gateway.
    pub gateway: u16,
    /// Its id.
    pub trace: Trace,
    /// How long the client waits, in nanoseconds.
    pub wait: Nanos,
    /// A retry, which clients mark.
    pub marked: bool,
    /// The same id again.
    pub back: bool,
}

/// One request of a client, with all its tries.
pub struct Asking {
    manners: Manners,
    class: u8,
    moved: bool,
    began: Nanos,
    rng: ChaCha8Rng,
    left: u32,
    last: Option<(u16, Trace)>,
}

impl Asking {
    /// Returns a request that has just arrived.
    pub fn new(arrival: &Arrival, manners: Manners, now: Nanos) -> Asking {
        Asking {
            left: manners.retries,
            manners,
            class: arrival.class,
            moved: arrival.moved,
            began: now,
            rng: ChaCha8Rng::seed_from_u64(arrival.seed),
            last: None,
        }
    }

    /// The first try.
    pub fn first(&mut self, now: Nanos, customer: &Customer, front: &Front) -> Try {
        self.a_try(now, 0, false, customer, front)
    }

    fn a_try(&mut self, now: Nanos, after: Nanos, back: bool, customer: &Customer, front: &Front) -> Try {
        let marked = self.last.is_some();
        let gateway =
            front.choose(customer, self.moved, self.last.map(|(gateway, _)| gateway), &mut self.rng);
        let fresh = self.rng.random();
        let trace = self.last.filter(|_| back).map_or(fresh, |(_, trace)| trace);
        let share = self.rng.random_range(self.manners.try_share..=1.0);
        let patience = (self.manners.deadline as f64 * share) as Nanos;
        let rest = (self.began + self.manners.deadline).saturating_sub(now + after);
        self.last = Some((gateway, trace));
        Try { after, gateway, trace, wait: patience.min(rest), marked, back }
    }

    /// What follows on the end of a try.
    pub fn next(
        &mut self,
        now: Nanos,
        outcome: Outcome,
        retry_after: Option<Nanos>,
        customer: &Customer,
        front: &Front,
    ) -> Next {
        let safe = self.class == SAFE;
        let lost = matches!(outcome, Outcome::Reset { .. });
        let again = match outcome {
            Outcome::Served { .. } | Outcome::Unknown => false,
            Outcome::Refused | Outcome::Unreachable => true,
            Outcome::Failed | Outcome::TimedOut => safe,
            Outcome::Reset { .. } => safe || self.manners.come_back,
        };
        let mut after = (self.manners.backoff as f64 * self.rng.random_range(0.5..1.5)) as Nanos;
        if let Some(told) = retry_after.filter(|_| self.rng.random::<f64>() < self.manners.honour) {
            after = after.max(told.min(RETRY_AFTER_MOST));
        }
        if customer.greedy && outcome == Outcome::Refused {
            after = AT_ONCE;
        }
        let in_time = now + after + WAIT_LEAST < self.began + self.manners.deadline;
        if !again || self.left == 0 || !in_time {
            return Next::End(outcome);
        }
        self.left -= 1;
        Next::Try(self.a_try(now, after, lost && self.manners.come_back, customer, front))
    }
}
