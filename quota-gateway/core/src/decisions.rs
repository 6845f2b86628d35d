//! All decisions of a gateway, by concern. Its events, actions and settings are in `api.rs`.
//!
//! Ordinary path, in the order a request meets it: quota check by the metered slice (`quota`), throttle
//! (`throttle`: two-ratio loop for `f`, formula (4), accumulators), choice of server (`choice`), outcome
//! (`course`).
//! "Kasera" is "Robust Multiclass Signaling Overload Control"; departures from it are marked as such.

mod load_balancing;
pub(crate) mod load_shedding;
pub(crate) mod quota;
mod request_lifecycle;
pub(crate) mod server;

use crate::api::*;
use crate::numbers::{ewma, sanitize, sanitize_plan, subset, FailureRate, Random, WeightedLanes};
use load_shedding::{Shedder, STEP_SECS};
use quota::{CustomerQuota, CUSTOMER_TTL_SECS};
use server::{InFlightAttempt, Server, RATE_TIME_CONSTANT_SECS, SILENT, SLOWNESS_HALF_LIFE_SECS};
use std::collections::BTreeMap;
use std::time::Duration;

/// Steps between two slices of a customer (design: one second).
const STEPS_PER_SLICE: u64 = 10;
/// Weight of an answer in mean latencies, of classes and of kinds of machine (ours: a dozen answers).
const LATENCY_WEIGHT: f64 = 0.08;
/// Lost attempts: when they are repeated and no longer count as latency, and when they no longer take room,
/// in that time (ours: what runs on after all is load, and a needless repeat costs less than a jam).
const LOST: (f64, f64) = (1.0, 2.0);
/// Least time left for a try, in the mean latencies of its class and of the server (ours).
const MIN_TIME_LEFT: f64 = 0.5;

const TOKEN_STEP: u64 = 0;
const TOKEN_DEADLINE: u64 = 1;
const TOKEN_CHECK: u64 = 2;

pub(crate) struct Attempt {
    server: ServerId,
    sent: Time,
    end: Option<Status>,
}

#[derive(Default)]
pub(crate) struct Request {
    class: usize,
    customer: CustomerId,
    deadline: Time,
    /// An answer after this is worth nothing.
    latency_deadline: Time,
    units: f64,
    within_quota: bool,
    placement: Placement,
    open: bool,
    /// Its client hung up.
    client_disconnected: bool,
    /// Its body is still on its way.
    body_in_flight: bool,
    streaming: bool,
    attempts: Vec<Attempt>,
}

impl Request {
    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.end.is_none())
    }
    /// The earliest attempt that may have run or may still.
    fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|a| !matches!(a.end, Some(Status::Rejected | Status::ConnectFailed | Status::NotSent)))
    }
}

/// One gateway's decisions.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    pub(crate) now: Time,
    pub(crate) running: bool,
    /// When the gateway's life began, be it in another process.
    pub(crate) started_at: Option<Time>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Servers that the operators leave out, and since when. Beside the list, which says nothing of them.
    pub(crate) disabled: BTreeMap<ServerId, Time>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) customers: BTreeMap<CustomerId, CustomerQuota>,
    pub(crate) shedder: Shedder,
    /// Mean units, mean latency and the longest wait of a first try of each class.
    pub(crate) mean_units: Vec<f64>,
    pub(crate) mean_latency: Vec<f64>,
    pub(crate) longest_first_wait: Vec<f64>,
    /// Mean use of each plan's customers, as a share of their quotas, as the meter tells with answers.
    pub(crate) mean_quota_use: Vec<f64>,
    /// Latency of each kind of machine against its classes' means, and how many answers told it.
    pub(crate) machine_kind_slowness: BTreeMap<u32, (f64, f64)>,
    /// Connections that failed, by zone.
    pub(crate) zone_connect_failures: BTreeMap<u32, FailureRate>,
    /// Which zones are sent what, where that is decided in common.
    pub(crate) zone_lanes: WeightedLanes,
    /// Attempts out at the usable servers, averaged over picks; sends of late; attempts saved up.
    pub(crate) mean_in_flight: f64,
    pub(crate) recent_sends: f64,
    pub(crate) retry_budget: f64,
    pub(crate) shedding: bool,
    pub(crate) subscribe_due: bool,
}

impl Gateway {
    /// A gateway as it starts: with its settings and the seed of its randomness, and no memory.
    pub fn new(mut settings: Settings, seed: u64) -> Gateway {
        settings.plans.iter_mut().for_each(sanitize_plan);
        settings.max_units = sanitize(settings.max_units).max(1.0);
        settings.gateways = settings.gateways.max(1);
        Gateway {
            shedder: Shedder::new(settings.priority_values()),
            mean_units: vec![1.0; settings.classes.len()],
            mean_latency: settings.classes.iter().map(|c| c.latency_target.as_secs_f64() / 5.0).collect(),
            longest_first_wait: vec![0.0; settings.classes.len()],
            mean_quota_use: vec![1.0; settings.plans.len()],
            random: Random(seed),
            now: Time(0),
            running: false,
            started_at: None,
            servers: BTreeMap::new(),
            disabled: BTreeMap::new(),
            requests: BTreeMap::new(),
            customers: BTreeMap::new(),
            machine_kind_slowness: BTreeMap::new(),
            zone_connect_failures: BTreeMap::new(),
            zone_lanes: WeightedLanes::default(),
            mean_in_flight: 0.0,
            recent_sends: 0.0,
            retry_budget: 1.0,
            shedding: false,
            subscribe_due: false,
            settings,
        }
    }

    /// A customer's account as of now; `None` if there is no such plan.
    pub(crate) fn customer(
        &mut self,
        id: CustomerId,
        number: PlanId,
        gateways: u32,
    ) -> Option<&mut CustomerQuota> {
        let plan = self.settings.plans.get(number.0)?;
        let (now, meter) = (self.now, self.settings.meter_period.as_secs_f64());
        let life = now.since(self.started_at.unwrap_or(now));
        let fresh =
            || CustomerQuota { number, ..CustomerQuota::new(plan.clone(), gateways, now, life, meter) };
        let customer = self.customers.entry(id).or_insert_with(fresh);
        customer.refill(now, meter, self.settings.max_units);
        Some(customer)
    }

    /// Takes one event in and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.running, true) {
            self.started_at.get_or_insert(self.now);
            actions.push(Action::Timer { at: self.now.after_secs(STEP_SECS), token: Token(TOKEN_STEP) });
            self.subscribe_due = self.settings.discovery == Discovery::Subscribe;
        }
        match event {
            Event::Servers { scope, servers } => self.on_server_list(scope, servers),
            Event::Request(request) => self.on_request(request, Placement::Unrestricted, actions),
            Event::RequestWithPlacement(request, place) => self.on_request(request, place, actions),
            Event::PlacementMoved { id, cell } => {
                self.requests.entry(id).and_modify(|r| r.placement = Placement::Cell(cell));
            }
            Event::BodyWritten { id, attempt, deadline } => {
                self.on_body_written(id, attempt, deadline, actions)
            }
            Event::StreamStarted { id, attempt } => self.on_stream_started(id, attempt),
            Event::Outcome(outcome) => self.on_outcome(outcome, actions),
            Event::ClientDisconnected(id) => {
                self.requests.entry(id).and_modify(|r| r.client_disconnected = true);
                self.finish_request(id, None, actions);
            }
            Event::ServerDisabled(server) => {
                self.disabled.entry(server).or_insert(self.now);
                self.choose_subset();
            }
            Event::ServerEnabled(server) => self.enable_server(server),
            Event::PeerProcess(news) => self.on_peer_process_event(news),
            Event::ZoneShares(shares) => self.zone_lanes.set(self.now, &shares),
            Event::Timer(Token(TOKEN_STEP)) => self.on_step(actions),
            Event::Timer(Token(token)) => {
                let Ok(id) = u32::try_from(token >> 2).map(RequestId) else { return };
                match token & 3 {
                    TOKEN_DEADLINE if !self.has_more_time(id) => self.give_up(id, actions),
                    TOKEN_CHECK => self.check_attempt(id, actions),
                    _ => {}
                }
            }
        }
    }

    /// Work of a class against that of the first (Kasera IV-A), by told units.
    fn relative_cost(&self, class: usize) -> f64 {
        (self.mean_units[class] / self.mean_units[0].max(1e-6)).clamp(0.01, 100.0)
    }

    fn highest_value(&self) -> f64 {
        self.settings.classes.iter().map(|c| sanitize(c.value)).fold(1e-9, f64::max)
    }

    fn latency_target(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_target.as_secs_f64().max(0.001)
    }

    /// Every 100 ms: samples what is still out, moves f, and once a second cuts the slices anew.
    fn on_step(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        actions.push(Action::Timer { at: now.after_secs(STEP_SECS), token: Token(TOKEN_STEP) });
        actions.extend(std::mem::take(&mut self.subscribe_due).then_some(Action::Subscribe));
        self.recent_sends *= (-STEP_SECS / RATE_TIME_CONSTANT_SECS).exp();
        // An attempt still out counts by its age, at the rate at which it would be counted once answered.
        let mut waiting = Vec::new();
        for out in self
            .usable_servers()
            .flat_map(|s| &s.in_flight)
            .filter(|out| !out.body_in_transit && !out.is_lost(now, LOST.0))
        {
            let age = now.since(out.sent_at);
            if let Some(r) = self.requests.get(&out.id).filter(|r| r.open && age > self.mean_latency[r.class])
            {
                waiting.push((
                    STEP_SECS / age,
                    self.relative_cost(r.class),
                    age / self.latency_target(r.class),
                ));
            }
        }
        waiting.into_iter().for_each(|(count, cost, late)| self.shedder.record_latency(count, cost, late));
        let (told, rho, count) = self.usable_servers().fold((false, 0.0, 0.0), |(told, rho, count), s| {
            let waiting = s.decayed_queue(now);
            let drained = (s.answers.get(now) * f64::from(self.settings.gateways)).max(1.0);
            let busy = s.util.map_or(if waiting > 0.5 { 1.0 } else { 0.0 }, |util| util.min(1.0));
            (told || s.util.is_some() || waiting > 0.5, rho + busy + waiting / drained, count + 1.0)
        });
        let reported = told.then_some(rho / count);
        let lag = self.mean_latency.iter().copied().fold(0.0, f64::max);
        self.shedder.assess(reported, lag, self.requests.is_empty());
        if self.shedding != (self.shedder.f < 0.9) && (self.shedder.f < 0.9 || self.shedder.f >= 1.0) {
            self.shedding = !self.shedding;
            actions.push(Action::Log(format!("shedding: {}, f {:.2}", self.shedding, self.shedder.f)));
        }
        if self.shedder.steps.is_multiple_of(STEPS_PER_SLICE) {
            // Ids of servers are ever new: those gone are forgotten once no request is bound by them.
            let (servers, requests) = (&mut self.servers, &self.requests);
            let asked = |id| requests.values().any(|r| r.attempts.iter().any(|a| a.server == id));
            servers.retain(|&id, s| s.info.lifecycle != Lifecycle::Gone || asked(id));
            self.customers.retain(|_, c| now.since(c.at) < CUSTOMER_TTL_SECS || c.in_flight > 0);
            self.customers.values_mut().for_each(CustomerQuota::recompute_slice);
        }
    }
}

#[cfg(test)]
mod tests;
