//! Cold servers under the sum of all gateways: of a budget of N sends at most N + 2 x root of N + 2 come, however many
//! gateways there are. Modules alone, on a virtual clock; nobody knows of the others.

mod common;
use common::*;
use marblecroft_quota_gateway_core::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A deployment as the settings tell it, and what one of its warm servers bears in requests a second.
struct Site {
    servers: u32,
    bears: f64,
    cold_from: f64,
    ramp_ms: u64,
    window_ms: u64,
    /// What is asked, as a share of what all servers bear when warm.
    load: f64,
}

const SITES: [Site; 2] = [
    Site { servers: 8, bears: 20.0, cold_from: 0.29, ramp_ms: 13_000, window_ms: 1000, load: 0.5 },
    Site { servers: 14, bears: 14.0, cold_from: 0.24, ramp_ms: 18_000, window_ms: 3000, load: 0.5 },
];
const MULTIPLE: f64 = 2.0;
const TAKES_MS: u64 = 60;

impl Site {
    fn settings(&self, gateways: u32, number: u32) -> Settings {
        Settings {
            gateways,
            gateway_index: number,
            slow_start_initial_share: self.cold_from,
            slow_start_duration: ms(self.ramp_ms),
            slow_start_overload_factor: MULTIPLE,
            slow_start_window: ms(self.window_ms),
            ..settings(vec![class(Effect::Safe, 1.0)], vec![unlimited_plan()])
        }
    }

    /// Sends that a server bears in the window that ends so long after its start.
    fn budget(&self, age_ms: u64) -> f64 {
        let begun = age_ms.saturating_sub(self.window_ms) as f64 / self.ramp_ms as f64;
        let warmth = (self.cold_from + (1.0 - self.cold_from) * begun).min(1.0);
        MULTIPLE * warmth * self.bears * self.window_ms as f64 / 1000.0
    }

    fn asked(&self) -> f64 {
        self.load * self.bears * f64::from(self.servers)
    }
}

/// Gateways that know nothing of each other, before the same servers.
struct Fleet<'a> {
    site: &'a Site,
    harnesses: Vec<Harness>,
    random: Random,
    now: u64,
    answers: BinaryHeap<Reverse<(u64, usize, RequestId)>>,
    /// When each server was sent something.
    sent: Vec<(u64, ServerId)>,
}

impl<'a> Fleet<'a> {
    fn new(site: &'a Site, gateways: u32, seed: u64) -> Fleet<'a> {
        let harnesses = (0..gateways)
            .map(|n| Harness::with_seed(site.settings(gateways, n), site.servers, seed * 1000 + u64::from(n)))
            .collect();
        Fleet { site, harnesses, random: Random(seed), now: 0, answers: BinaryHeap::new(), sent: Vec::new() }
    }

    fn at(&mut self, gateway: usize, millis: u64) -> &mut Harness {
        let harness = &mut self.harnesses[gateway];
        harness.advance(millis - harness.now / 1_000_000);
        harness
    }

    /// All gateways are told at once.
    fn tell(&mut self, event: &Event) {
        let now = self.now;
        for gateway in 0..self.harnesses.len() {
            self.at(gateway, now).handle(event.clone());
        }
    }

    /// Plays so many requests a second for so long; each comes to a gateway by chance.
    fn play(&mut self, rate: f64, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            while let Some(&Reverse((at, gateway, id))) = self.answers.peek() {
                if at > self.now {
                    break;
                }
                self.answers.pop();
                self.at(gateway, at).finish_attempt(id, 0, Status::Ok, TAKES_MS);
            }
            let mut come = rate / 1000.0;
            while come > 0.0 && self.random.uniform() < come.min(1.0) {
                come -= 1.0;
                let gateway = (self.random.uniform() * self.harnesses.len() as f64) as usize;
                let now = self.now;
                let (id, actions) = self.at(gateway, now).request(0, 0, 1);
                if let Some(server) = sent_to(&actions) {
                    self.sent.push((now, server));
                    self.answers.push(Reverse((now + TAKES_MS, gateway, id)));
                }
            }
        }
    }

    /// A server's process starts now, and everybody hears of it.
    fn starts(&mut self, ids: impl Iterator<Item = u32>) {
        let started = Some(Time(self.now * 1_000_000));
        let servers = ids.map(|id| ServerInfo { started, ..server(id) }).collect();
        self.tell(&Event::Servers { scope: Scope::Delta, servers });
    }

    /// The window in which a server that began then was sent the most beyond what is put down to chance.
    fn worst(&self, id: u32, began: u64) -> (u64, usize, f64) {
        let sends: Vec<u64> = self
            .sent
            .iter()
            .filter(|(at, to)| *to == ServerId(id) && *at >= began)
            .map(|(at, _)| *at)
            .collect();
        let over = |&(end, sent, bound): &(u64, usize, f64)| (sent as f64 - bound, Reverse(end));
        let windows = sends.iter().enumerate().map(|(n, &end)| {
            let since = end.saturating_sub(self.site.window_ms);
            let sent = n + 1 - sends.partition_point(|&at| at < since);
            let budget = self.site.budget(end - began);
            (end - began, sent, budget + 2.0 * budget.sqrt() + 2.0)
        });
        windows.max_by(|a, b| over(a).partial_cmp(&over(b)).expect("numbers")).unwrap_or((0, 0, 2.0))
    }
}

const FLEETS: [u32; 4] = [3, 20, 30, 300];

fn all_gateways_together(what: &str, play: impl Fn(&mut Fleet<'_>) -> (u32, u64)) {
    for (number, site) in SITES.iter().enumerate() {
        for gateways in FLEETS {
            for seed in 1..=3 {
                let mut fleet = Fleet::new(site, gateways, seed);
                let (id, began) = play(&mut fleet);
                let (age, sent, bound) = fleet.worst(id, began);
                assert!(
                    sent as f64 <= bound,
                    "{what}, site {number}, {gateways} gateways, seed {seed}: {sent} where {bound:.1} are borne, {age} ms old"
                );
                assert!(sent > 0, "{what}, site {number}, {gateways} gateways, seed {seed}: never used");
            }
        }
    }
}

#[test]
fn a_server_that_starts_into_a_burst_is_not_overloaded_by_all_gateways_together() {
    all_gateways_together("burst", |fleet| {
        let asked = fleet.site.asked();
        fleet.play(asked, 4000);
        let began = fleet.now;
        fleet.starts(std::iter::once(0));
        // In a pause every gateway may save up what it is to send there, and then all send at once.
        for pause in [2500, 1500, 800] {
            fleet.play(0.0, pause);
            fleet.play(asked * 4.0, 400);
            fleet.play(asked, 600);
        }
        fleet.play(asked, 6000);
        (0, began)
    });
}

#[test]
fn an_enabled_server_is_not_overloaded_by_all_gateways_together() {
    all_gateways_together("put back", |fleet| {
        let asked = fleet.site.asked();
        fleet.play(asked, 4000);
        fleet.tell(&Event::ServerDisabled(ServerId(0)));
        fleet.play(asked, 3000);
        fleet.tell(&Event::ServerEnabled(ServerId(0)));
        // It was restarted meanwhile, and the list is late to say so.
        let began = fleet.now;
        fleet.play(asked * 1.5, 4000);
        let started = Some(Time(began * 1_000_000));
        let servers = vec![ServerInfo { started, ..server(0) }];
        fleet.tell(&Event::Servers { scope: Scope::Delta, servers });
        fleet.play(asked * 1.5, 6000);
        (0, began)
    });
}

#[test]
fn servers_that_all_warm_up_are_not_overloaded_by_all_gateways_together() {
    all_gateways_together("all cold", |fleet| {
        let asked = fleet.site.asked();
        fleet.play(asked, 2000);
        let began = fleet.now;
        fleet.starts(0..fleet.site.servers);
        fleet.play(asked, 8000);
        (0, began)
    });
}
