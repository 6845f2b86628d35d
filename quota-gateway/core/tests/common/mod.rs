//! Shared test utilities: settings, and a harness that keeps a gateway's clock and delivers its timers.
#![allow(dead_code)]

use marblecroft_quota_gateway_core::*;
use std::collections::BTreeSet;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn class(effect: Effect, value: f64) -> Class {
    Class { latency_target: ms(800), deadline: ms(3000), value, effect }
}

pub fn keyed(group: DeduplicationScope) -> Effect {
    Effect::Keyed { group, window: ms(2000) }
}

pub fn unlimited_plan() -> Plan {
    Plan { rate: 1e6, burst: 1e6, price: 1.0, over_quota_cost: 1.0, ..Plan::default() }
}

pub fn settings(classes: Vec<Class>, plans: Vec<Plan>) -> Settings {
    Settings {
        gateways: 2,
        gateway_index: 0,
        zone: 0,
        classes,
        plans,
        discovery: Discovery::Push,
        cancel: true,
        hedging: false,
        max_attempts: 4,
        max_retry_after: ms(500),
        tick: ms(2),
        meter_period: ms(1000),
        max_units: 6.0,
        slow_start_initial_share: 0.2,
        slow_start_duration: ms(10_000),
        slow_start_overload_factor: 3.0,
        slow_start_window: ms(1500),
        cross_zone_price: 0.0,
    }
}

pub fn server(id: u32) -> ServerInfo {
    ServerInfo {
        id: ServerId(id),
        zone: id % 2,
        cell: id % 4,
        kind: 0,
        lifecycle: Lifecycle::Running,
        capacity: 1.0,
        started: None,
    }
}

pub struct Harness {
    pub gateway: Gateway,
    pub now: u64,
    pub timers: BTreeSet<(u64, u64)>,
    pub next_id: u32,
    /// Number of gateways that receive each customer's requests.
    pub customer_gateways: u32,
    pub log: Vec<(u64, Action)>,
}

impl Harness {
    pub fn new(settings: Settings, servers: u32) -> Harness {
        Harness::with_seed(settings, servers, 42)
    }

    pub fn with_seed(settings: Settings, servers: u32, seed: u64) -> Harness {
        let gateway = Gateway::new(settings, seed);
        let mut harness = Harness {
            gateway,
            now: 0,
            timers: BTreeSet::new(),
            next_id: 0,
            customer_gateways: 2,
            log: Vec::new(),
        };
        harness.update_servers(Scope::Full, (0..servers).map(server).collect());
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(Time(self.now), event, &mut actions);
        for action in &actions {
            if let Action::Timer { at, token } = action {
                self.timers.insert((at.0.max(self.now + 1), token.0));
            }
            self.log.push((self.now, action.clone()));
        }
        actions
    }

    pub fn update_servers(&mut self, scope: Scope, servers: Vec<ServerInfo>) {
        self.handle(Event::Servers { scope, servers });
    }

    /// Advances the clock and delivers the timers that expire. Returns the resulting actions.
    pub fn advance(&mut self, millis: u64) -> Vec<Action> {
        let end = self.now + millis * 1_000_000;
        let mut actions = Vec::new();
        while let Some(&(at, token)) = self.timers.first().filter(|&&(at, _)| at <= end) {
            self.timers.remove(&(at, token));
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer(Token(token))));
        }
        self.now = end;
        actions
    }

    pub fn request(&mut self, class: usize, plan: usize, customer: u64) -> (RequestId, Vec<Action>) {
        self.request_with_units(class, plan, customer, 1.0)
    }

    pub fn request_with_units(
        &mut self,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let actions = self.handle(Event::Request(NewRequest {
            id,
            class: ClassId(class),
            plan: PlanId(plan),
            customer: CustomerId(customer),
            deadline: Time(self.now + 3_000_000_000),
            units,
            gateways: self.customer_gateways,
            is_retry: false,
            body_in_flight: false,
        }));
        (id, actions)
    }

    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        status: Status,
        millis: u64,
    ) -> Vec<Action> {
        self.handle(Event::Outcome(outcome(id, attempt, status, millis)))
    }

    /// Sends one request, and completes it after `millis`. Returns its server, or `None` if it was not
    /// admitted.
    pub fn serve(&mut self, class: usize, plan: usize, customer: u64, millis: u64) -> Option<ServerId> {
        let (id, actions) = self.request(class, plan, customer);
        self.advance(millis);
        let server = sent_to(&actions)?;
        self.finish_attempt(id, 0, Status::Ok, millis);
        Some(server)
    }
}

pub fn outcome(id: RequestId, attempt: u32, status: Status, millis: u64) -> Outcome {
    Outcome {
        id,
        attempt: AttemptNo(attempt),
        status,
        elapsed: ms(millis),
        finished: status == Status::Ok,
        metered_use: None,
        actual_units: None,
        report: LoadReport::default(),
        not_retryable: false,
    }
}

pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
