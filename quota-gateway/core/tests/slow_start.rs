//! Servers in slow start get at most N + 2 * sqrt(N) + 2 sends of a budget of N from all gateways together,
//! however many gateways there are. The gateways run on a virtual clock and do not communicate.

mod common;
use common::*;
use marblecroft_quota_gateway_core::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A deployment.
struct Deployment {
    servers: u32,
    /// Capacity of a warm server in requests per second.
    capacity: f64,
    initial_share: f64,
    duration_ms: u64,
    window_ms: u64,
    /// Demand as a share of the capacity of all servers when warm.
    load: f64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        servers: 8,
        capacity: 20.0,
        initial_share: 0.29,
        duration_ms: 13_000,
        window_ms: 1000,
        load: 0.5,
    },
    Deployment {
        servers: 14,
        capacity: 14.0,
        initial_share: 0.24,
        duration_ms: 18_000,
        window_ms: 3000,
        load: 0.5,
    },
];
const OVERLOAD_FACTOR: f64 = 2.0;
const LATENCY_MS: u64 = 60;

impl Deployment {
    fn settings(&self, gateways: u32, number: u32) -> Settings {
        Settings {
            gateways,
            gateway_index: number,
            slow_start_initial_share: self.initial_share,
            slow_start_duration: ms(self.duration_ms),
            slow_start_overload_factor: OVERLOAD_FACTOR,
            slow_start_window: ms(self.window_ms),
            ..settings(vec![class(Effect::Safe, 1.0)], vec![unlimited_plan()])
        }
    }

    /// Number of sends that a server can take in the window that ends `age_ms` after its start.
    fn budget(&self, age_ms: u64) -> f64 {
        let ramp_progress = age_ms.saturating_sub(self.window_ms) as f64 / self.duration_ms as f64;
        let warm_share = (self.initial_share + (1.0 - self.initial_share) * ramp_progress).min(1.0);
        OVERLOAD_FACTOR * warm_share * self.capacity * self.window_ms as f64 / 1000.0
    }

    fn demand(&self) -> f64 {
        self.load * self.capacity * f64::from(self.servers)
    }
}

/// Gateways that do not communicate and use the same servers.
struct Fleet<'a> {
    deployment: &'a Deployment,
    harnesses: Vec<Harness>,
    random: Random,
    now: u64,
    responses: BinaryHeap<Reverse<(u64, usize, RequestId)>>,
    /// Time and server of each send.
    sent: Vec<(u64, ServerId)>,
}

impl<'a> Fleet<'a> {
    fn new(deployment: &'a Deployment, gateways: u32, seed: u64) -> Fleet<'a> {
        let harnesses = (0..gateways)
            .map(|n| {
                Harness::with_seed(
                    deployment.settings(gateways, n),
                    deployment.servers,
                    seed * 1000 + u64::from(n),
                )
            })
            .collect();
        Fleet {
            deployment,
            harnesses,
            random: Random(seed),
            now: 0,
            responses: BinaryHeap::new(),
            sent: Vec::new(),
        }
    }

    fn at(&mut self, gateway: usize, millis: u64) -> &mut Harness {
        let harness = &mut self.harnesses[gateway];
        harness.advance(millis - harness.now / 1_000_000);
        harness
    }

    /// Passes an event to all gateways.
    fn notify_all(&mut self, event: &Event) {
        let now = self.now;
        for gateway in 0..self.harnesses.len() {
            self.at(gateway, now).handle(event.clone());
        }
    }

    /// Sends `rate` requests per second for `millis`, each to a random gateway.
    fn run(&mut self, rate: f64, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            while let Some(&Reverse((at, gateway, id))) = self.responses.peek() {
                if at > self.now {
                    break;
                }
                self.responses.pop();
                self.at(gateway, at).finish_attempt(id, 0, Status::Ok, LATENCY_MS);
            }
            let mut due = rate / 1000.0;
            while due > 0.0 && self.random.uniform() < due.min(1.0) {
                due -= 1.0;
                let gateway = (self.random.uniform() * self.harnesses.len() as f64) as usize;
                let now = self.now;
                let (id, actions) = self.at(gateway, now).request(0, 0, 1);
                if let Some(server) = sent_to(&actions) {
                    self.sent.push((now, server));
                    self.responses.push(Reverse((now + LATENCY_MS, gateway, id)));
                }
            }
        }
    }

    /// Starts the processes of these servers now, and passes the list to all gateways.
    fn start_servers(&mut self, ids: impl Iterator<Item = u32>) {
        let started = Some(Time(self.now * 1_000_000));
        let servers = ids.map(|id| ServerInfo { started, ..server(id) }).collect();
        self.notify_all(&Event::Servers { scope: Scope::Delta, servers });
    }

    /// Returns the window in which a server that started at `started_ms` exceeded its bound the most: its end
    /// as the server's age, the sends in it, and the bound. The bound is the budget plus a margin for random
    /// variation.
    fn worst_window(&self, id: u32, started_ms: u64) -> (u64, usize, f64) {
        let sends: Vec<u64> = self
            .sent
            .iter()
            .filter(|(at, to)| *to == ServerId(id) && *at >= started_ms)
            .map(|(at, _)| *at)
            .collect();
        let excess = |&(end, sent, bound): &(u64, usize, f64)| (sent as f64 - bound, Reverse(end));
        let windows = sends.iter().enumerate().map(|(n, &end)| {
            let since = end.saturating_sub(self.deployment.window_ms);
            let sent = n + 1 - sends.partition_point(|&at| at < since);
            let budget = self.deployment.budget(end - started_ms);
            (end - started_ms, sent, budget + 2.0 * budget.sqrt() + 2.0)
        });
        windows.max_by(|a, b| excess(a).partial_cmp(&excess(b)).expect("no NaN")).unwrap_or((0, 0, 2.0))
    }
}

const GATEWAY_COUNTS: [u32; 4] = [3, 20, 30, 300];

fn check_total_sends(case: &str, scenario: impl Fn(&mut Fleet<'_>) -> (u32, u64)) {
    for (number, deployment) in DEPLOYMENTS.iter().enumerate() {
        for gateways in GATEWAY_COUNTS {
            for seed in 1..=3 {
                let mut fleet = Fleet::new(deployment, gateways, seed);
                let (id, started_ms) = scenario(&mut fleet);
                let (age, sent, bound) = fleet.worst_window(id, started_ms);
                assert!(
                    sent as f64 <= bound,
                    "{case}, deployment {number}, {gateways} gateways, seed {seed}: {sent} sends \
                     over the bound {bound:.1} at age {age} ms"
                );
                assert!(sent > 0, "{case}, deployment {number}, {gateways} gateways, seed {seed}: no sends");
            }
        }
    }
}

#[test]
fn a_server_that_starts_during_bursts_is_not_overloaded_by_all_gateways_together() {
    check_total_sends("burst", |fleet| {
        let demand = fleet.deployment.demand();
        fleet.run(demand, 4000);
        let started_ms = fleet.now;
        fleet.start_servers(std::iter::once(0));
        // During a pause, every gateway could collect tokens for the server, and then all would send at once.
        for pause in [2500, 1500, 800] {
            fleet.run(0.0, pause);
            fleet.run(demand * 4.0, 400);
            fleet.run(demand, 600);
        }
        fleet.run(demand, 6000);
        (0, started_ms)
    });
}

#[test]
fn an_enabled_server_is_not_overloaded_by_all_gateways_together() {
    check_total_sends("enabled again", |fleet| {
        let demand = fleet.deployment.demand();
        fleet.run(demand, 4000);
        fleet.notify_all(&Event::ServerDisabled(ServerId(0)));
        fleet.run(demand, 3000);
        fleet.notify_all(&Event::ServerEnabled(ServerId(0)));
        // The server was restarted meanwhile, and the list reports that late.
        let started_ms = fleet.now;
        fleet.run(demand * 1.5, 4000);
        let started = Some(Time(started_ms * 1_000_000));
        let servers = vec![ServerInfo { started, ..server(0) }];
        fleet.notify_all(&Event::Servers { scope: Scope::Delta, servers });
        fleet.run(demand * 1.5, 6000);
        (0, started_ms)
    });
}

#[test]
fn servers_that_all_warm_up_are_not_overloaded_by_all_gateways_together() {
    check_total_sends("all in slow start", |fleet| {
        let demand = fleet.deployment.demand();
        fleet.run(demand, 2000);
        let started_ms = fleet.now;
        fleet.start_servers(0..fleet.deployment.servers);
        fleet.run(demand, 8000);
        (0, started_ms)
    });
}
