//! The decision logic of a gateway. Its events, actions and settings are in `api.rs`.
//!
//! In the order in which a request passes them: [`admission`] (with the customer's [`quota`] and
//! [`load_shedding`]), [`load_balancing`] (among the servers of [`server_list`], subject to
//! [`in_flight_limits`] and [`retry_constraint`]), [`attempts`] and [`outcomes`]. [`step`] runs periodically.
//!
//! "Kasera" refers to Kasera et al., "Robust Multiclass Signaling Overload Control" (ICNP 2005). Comments
//! that start with "Differs from" mark where the code differs from that paper or from the operators' design
//! page.

mod admission;
mod attempts;
mod in_flight_limits;
mod load_balancing;
pub(crate) mod load_shedding;
mod outcomes;
pub(crate) mod quota;
mod request;
mod retry_constraint;
pub(crate) mod server;
mod server_list;
mod step;
mod timer;

use crate::api::{
    Action, CustomerId, Discovery, Event, Placement, PlanId, RequestId, ServerId, Settings, Time,
};
use crate::arithmetic::{sanitize, sanitize_plan};
use crate::failure_rate::FailureRate;
use crate::random::Random;
use crate::zone_round_robin::ZoneRoundRobin;
use load_shedding::{Shedder, STEP_SECS};
use quota::CustomerQuota;
use request::Request;
use server::Server;
use std::collections::BTreeMap;
use timer::Timer;

/// Weight of a response in the mean latencies of classes and machine types: an average over about a dozen
/// responses.
const LATENCY_WEIGHT: f64 = 0.08;
/// Number of response timeouts after which a lost attempt is retried and no longer counts as a latency
/// sample.
const LOST_RETRY_TIMEOUTS: f64 = 1.0;
/// Number of response timeouts after which a lost attempt no longer counts against the in-flight limits.
/// Larger than [`LOST_RETRY_TIMEOUTS`], because an attempt that is still running is load, and a needless
/// retry costs less than overload.
const LOST_RELEASE_TIMEOUTS: f64 = 2.0;
/// Minimum time left for an attempt to be sent, in mean latencies of its class and of the server.
const MIN_TIME_LEFT_LATENCIES: f64 = 0.5;
/// The initial estimate of a class's mean latency is its latency target divided by this.
const INITIAL_LATENCY_DIVISOR: f64 = 5.0;

/// Statistics of one machine type. Machines of one type are assumed to perform alike.
#[derive(Clone, Copy)]
pub(crate) struct MachineKind {
    /// Mean latency relative to the means of the requests' classes.
    latency_ratio: f64,
    /// Number of responses that were averaged.
    responses: f64,
}

impl MachineKind {
    const UNKNOWN: MachineKind = MachineKind { latency_ratio: 1.0, responses: 1.0 };
}

/// The decisions of one gateway, as a state machine without I/O.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    pub(crate) now: Time,
    running: bool,
    /// When the gateway started, possibly in an earlier process.
    pub(crate) started_at: Option<Time>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Servers that operators have disabled, and since when. Independent of the server list.
    pub(crate) disabled: BTreeMap<ServerId, Time>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) customers: BTreeMap<CustomerId, CustomerQuota>,
    pub(crate) shedder: Shedder,
    /// Mean units of each class's requests.
    pub(crate) mean_units: Vec<f64>,
    /// Mean latency of each class, in seconds.
    pub(crate) mean_latency: Vec<f64>,
    /// Longest client timeout seen on a request of each class that was not a retry, in seconds.
    pub(crate) longest_initial_timeout: Vec<f64>,
    /// Mean use of each plan's customers as a share of their quotas, from the meter readings that come with
    /// responses.
    mean_quota_use: Vec<f64>,
    machine_kinds: BTreeMap<u32, MachineKind>,
    /// Failure rate of connects, by zone.
    zone_connect_failures: BTreeMap<u32, FailureRate>,
    /// The shares and rate limits of zones, if they are decided centrally.
    zone_round_robin: ZoneRoundRobin,
    /// Attempts in flight at the usable servers, averaged over server selections.
    pub(crate) mean_in_flight: f64,
    /// Number of attempts sent, decaying with [`server::RATE_TIME_CONSTANT_SECS`].
    pub(crate) recent_sends: f64,
    /// Number of retries that may be sent at once.
    pub(crate) retry_budget: f64,
    /// Whether the last log line about load shedding reported that load is being shed.
    shedding: bool,
    subscribe_due: bool,
}

impl Gateway {
    /// Returns a new gateway with these settings and this seed for its random numbers.
    pub fn new(mut settings: Settings, seed: u64) -> Gateway {
        settings.plans.iter_mut().for_each(sanitize_plan);
        settings.max_units = sanitize(settings.max_units).max(1.0);
        settings.gateways = settings.gateways.max(1);
        let initial_latency =
            settings.classes.iter().map(|class| class.latency_target.as_secs_f64() / INITIAL_LATENCY_DIVISOR);
        Gateway {
            shedder: Shedder::new(settings.priority_values()),
            mean_units: vec![1.0; settings.classes.len()],
            mean_latency: initial_latency.collect(),
            longest_initial_timeout: vec![0.0; settings.classes.len()],
            mean_quota_use: vec![1.0; settings.plans.len()],
            random: Random(seed),
            now: Time(0),
            running: false,
            started_at: None,
            servers: BTreeMap::new(),
            disabled: BTreeMap::new(),
            requests: BTreeMap::new(),
            customers: BTreeMap::new(),
            machine_kinds: BTreeMap::new(),
            zone_connect_failures: BTreeMap::new(),
            zone_round_robin: ZoneRoundRobin::default(),
            mean_in_flight: 0.0,
            recent_sends: 0.0,
            retry_budget: 1.0,
            shedding: false,
            subscribe_due: false,
            settings,
        }
    }

    /// Returns a customer's quota, refilled up to now; `None` if there is no such plan.
    pub(crate) fn customer(
        &mut self,
        id: CustomerId,
        plan_id: PlanId,
        gateways: u32,
    ) -> Option<&mut CustomerQuota> {
        let plan = self.settings.plans.get(plan_id.0)?;
        let (now, meter_period) = (self.now, self.settings.meter_period.as_secs_f64());
        let age = now.since(self.started_at.unwrap_or(now));
        let new_quota = || CustomerQuota {
            plan_id,
            ..CustomerQuota::new(plan.clone(), gateways, now, age, meter_period)
        };
        let customer = self.customers.entry(id).or_insert_with(new_quota);
        customer.refill(now, meter_period, self.settings.max_units);
        Some(customer)
    }

    /// Handles one event and appends the resulting actions. Time never goes back: a `now` that is earlier
    /// than in a previous call counts as the latest one.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.running, true) {
            self.started_at.get_or_insert(self.now);
            actions.push(Action::Timer { at: self.now.after_secs(STEP_SECS), token: Timer::Step.token() });
            self.subscribe_due = self.settings.discovery == Discovery::Subscribe;
        }
        match event {
            Event::Servers { scope, servers } => self.on_server_list(scope, servers),
            Event::Request(request) => self.on_request(request, Placement::Unrestricted, actions),
            Event::RequestWithPlacement(request, placement) => self.on_request(request, placement, actions),
            Event::PlacementMoved { id, cell } => {
                let moved = Placement::Cell(cell);
                self.requests.entry(id).and_modify(|request| request.placement = moved);
            }
            Event::BodyWritten { id, attempt, deadline } => {
                self.on_body_written(id, attempt, deadline, actions)
            }
            Event::StreamStarted { id, attempt } => self.on_stream_started(id, attempt),
            Event::Outcome(outcome) => self.on_outcome(outcome, actions),
            Event::ClientDisconnected(id) => {
                self.requests.entry(id).and_modify(|request| request.client_disconnected = true);
                self.finish_request(id, None, actions);
            }
            Event::ServerDisabled(server) => {
                self.disabled.entry(server).or_insert(self.now);
                self.choose_subset();
            }
            Event::ServerEnabled(server) => self.enable_server(server),
            Event::PeerProcess(event) => self.on_peer_process_event(event),
            Event::ZoneShares(shares) => self.zone_round_robin.set(self.now, &shares),
            Event::Timer(token) => self.on_timer(Timer::from_token(token), actions),
        }
    }

    fn on_timer(&mut self, timer: Option<Timer>, actions: &mut Vec<Action>) {
        match timer {
            Some(Timer::Step) => self.on_step(actions),
            Some(Timer::Deadline(id)) if !self.has_more_time(id) => self.give_up(id, actions),
            Some(Timer::Check(id)) => self.check_attempt(id, actions),
            Some(Timer::Deadline(_)) | None => {}
        }
    }

    /// The cost of a class's requests relative to the first class (Kasera IV-A), by the units that they
    /// count.
    fn relative_cost(&self, class: usize) -> f64 {
        (self.mean_units[class] / self.mean_units[0].max(1e-6)).clamp(0.01, 100.0)
    }

    fn highest_value(&self) -> f64 {
        self.settings.classes.iter().map(|class| sanitize(class.value)).fold(1e-9, f64::max)
    }

    /// The latency target of a class, in seconds.
    fn latency_target(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_target.as_secs_f64().max(0.001)
    }
}

#[cfg(test)]
mod tests;
