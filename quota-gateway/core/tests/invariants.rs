//! Property tests: random sequences of valid events, with the invariants asserted on the resulting actions.

mod common;
use common::*;
use marblecroft_quota_gateway_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, plan: usize, customer: u64 },
    Finish { which: usize, status: u8 },
    Disconnect { which: usize },
    Pass { millis: u64 },
    UpdateServer { server: u32, state: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..4usize, 0..2usize, 0..3u64)
            .prop_map(|(class, plan, customer)| Step::Request { class, plan, customer }),
        5 => (any::<usize>(), 0..12u8).prop_map(|(which, status)| Step::Finish { which, status }),
        1 => any::<usize>().prop_map(|which| Step::Disconnect { which }),
        4 => (1..400u64).prop_map(|millis| Step::Pass { millis }),
        1 => (0..6u32, 0..4u8).prop_map(|(server, state)| Step::UpdateServer { server, state }),
    ]
}

struct RequestState {
    class: usize,
    deadline: u64,
    answered: bool,
    disconnected: bool,
    attempts: Vec<(ServerId, u64, Option<Status>)>,
}

fn never_executed(end: Option<Status>) -> bool {
    matches!(end, Some(Status::Rejected | Status::ConnectFailed | Status::NotSent))
}

/// Settings with classes of all effects and a plan with a rate limit.
fn mixed_settings(hedging: bool, cancel: bool) -> Settings {
    let classes =
        [Effect::Safe, keyed(DeduplicationScope::Zone), keyed(DeduplicationScope::All), Effect::Unsafe]
            .map(|e| class(e, 1.0))
            .to_vec();
    let limited = Plan { rate_limit: 4.0, rate_limit_burst: 8.0, rate_limit_slack: 1.0, ..unlimited_plan() };
    Settings { hedging, cancel, ..settings(classes, vec![unlimited_plan(), limited]) }
}

fn run_steps(steps: &[Step], config: &Settings) -> Vec<(u64, Action)> {
    let (hedging, cancel, classes, plans) =
        (config.hedging, config.cancel, config.classes.clone(), config.plans.clone());
    let mut harness = Harness::new(config.clone(), 6);
    let mut requests: BTreeMap<RequestId, RequestState> = BTreeMap::new();
    let mut not_running: BTreeMap<ServerId, bool> = BTreeMap::new();
    let mut rate_limit_use: BTreeMap<(usize, u64), f64> = BTreeMap::new();
    let mut checked = harness.log.len();
    let mut plan_and_customer: BTreeMap<RequestId, (usize, u64)> = BTreeMap::new();

    for step in steps {
        match step {
            Step::Request { class, plan, customer } => {
                let (class, plan) = (&(class % classes.len()), &(plan % plans.len()));
                let id = RequestId(harness.next_id);
                plan_and_customer.insert(id, (*plan, *customer));
                requests.insert(
                    id,
                    RequestState {
                        class: *class,
                        deadline: harness.now + 3_000_000_000,
                        answered: false,
                        disconnected: false,
                        attempts: Vec::new(),
                    },
                );
                harness.request(*class, *plan, *customer);
            }
            Step::Finish { which, status } => {
                let in_flight: Vec<(RequestId, usize)> = requests
                    .iter()
                    .flat_map(|(id, request)| (0..request.attempts.len()).map(move |n| (*id, n)))
                    .filter(|(id, n)| requests[id].attempts[*n].2.is_none())
                    .collect();
                if let Some(&(id, n)) = in_flight.get(which % in_flight.len().max(1)) {
                    let status = match status {
                        0..=4 => Status::Ok,
                        5 => Status::Error,
                        6 => Status::Rejected,
                        7 => Status::ConnectFailed,
                        8 => Status::Reset,
                        9 => Status::NotSent,
                        _ => Status::Cancelled,
                    };
                    let request = requests.get_mut(&id).expect("a known request");
                    request.attempts[n].2 = Some(status);
                    let elapsed = (harness.now - request.attempts[n].1) / 1_000_000;
                    let mut result = outcome(id, n as u32, status, elapsed);
                    result.finished = request.answered || request.disconnected || status == Status::Ok;
                    request.answered |= status == Status::Ok;
                    harness.handle(Event::Outcome(result));
                }
            }
            Step::Disconnect { which } => {
                let open: Vec<RequestId> = requests
                    .iter()
                    .filter(|(_, request)| !request.answered && !request.disconnected)
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(id) = open.get(which % open.len().max(1)) {
                    requests.get_mut(id).expect("a known request").disconnected = true;
                    harness.handle(Event::ClientDisconnected(*id));
                }
            }
            Step::Pass { millis } => {
                harness.advance(*millis);
            }
            Step::UpdateServer { server: id, state } => {
                let mut info = server(*id);
                info.lifecycle =
                    [Lifecycle::Running, Lifecycle::Running, Lifecycle::Draining, Lifecycle::Unlisted]
                        [usize::from(*state)];
                not_running.insert(info.id, info.lifecycle != Lifecycle::Running);
                if *state == 1 {
                    info.started = Some(Time(harness.now.max(1)));
                }
                harness.update_servers(Scope::Delta, vec![info]);
            }
        }
        for (at, action) in harness.log[checked..].iter().cloned() {
            match action {
                Action::Send { id, server, begin_by, .. } => {
                    let request = requests.get_mut(&id).expect("a known request");
                    assert!(!request.answered && !request.disconnected, "sent after the request ended");
                    assert!(
                        !not_running.get(&server).copied().unwrap_or(false),
                        "sent to a server that is not running"
                    );
                    let in_flight = request.attempts.iter().filter(|a| a.2.is_none()).count();
                    assert!(in_flight == 0 || hedging, "overlapping attempts");
                    assert!(request.attempts.len() < config.max_attempts as usize, "too many attempts");
                    if let Some(first) = request.attempts.iter().find(|a| !never_executed(a.2)) {
                        match classes[request.class].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => {
                                panic!("an unsafe request that may have been executed is sent again")
                            }
                            Effect::Keyed { group, window } => {
                                let end = Time(first.1).after(window);
                                assert!(Time(at) < end, "retried after the deduplication window");
                                assert!(
                                    begin_by.is_some_and(|by| Time(at) < by && by <= end),
                                    "no begin_by within the deduplication window"
                                );
                                let is_in_scope = match group {
                                    DeduplicationScope::All => true,
                                    DeduplicationScope::Zone => first.0 .0 % 2 == server.0 % 2,
                                    DeduplicationScope::Cell => first.0 .0 % 4 == server.0 % 4,
                                };
                                assert!(is_in_scope, "retried outside the deduplication scope");
                            }
                        }
                    }
                    let limited = &plans[plan_and_customer[&id].0];
                    if request.attempts.is_empty() && limited.rate_limit > 0.0 {
                        let used = rate_limit_use.entry(plan_and_customer[&id]).or_default();
                        *used += 1.0;
                        let max_use = (limited.rate_limit_slack + limited.rate_limit * at as f64 / 1e9) / 2.0;
                        assert!(*used <= max_use + 1e-6, "rate limit: {used} of {max_use}");
                    }
                    request.attempts.push((server, at, None));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let request = requests.get_mut(&id).expect("a known request");
                    assert!(!request.answered, "two final responses");
                    if matches!(action, Action::Reject { .. }) {
                        let harmless = match classes[request.class].effect {
                            Effect::Safe | Effect::Keyed { group: DeduplicationScope::All, .. } => true,
                            _ => request.attempts.iter().all(|a| never_executed(a.2)),
                        };
                        assert!(harmless, "rejected although it may have been executed");
                    }
                    request.answered = true;
                }
                Action::Cancel { id, attempt } => {
                    assert!(cancel && requests[&id].attempts.len() > attempt.0 as usize);
                }
                _ => {}
            }
        }
        checked = harness.log.len();
        for (id, request) in &requests {
            assert!(
                request.answered || request.disconnected || harness.now <= request.deadline + 8_000_000,
                "{id:?} has no final response"
            );
        }
    }
    harness.log
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn the_five_invariants_hold() {
    let steps = prop::collection::vec(step(), 1..250);
    runner(300)
        .run(&(steps, any::<bool>(), any::<bool>()), |(steps, hedging, cancel)| {
            run_steps(&steps, &mixed_settings(hedging, cancel));
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_same_events_yield_the_same_actions() {
    runner(30)
        .run(&prop::collection::vec(step(), 1..150), |steps| {
            prop_assert_eq!(
                run_steps(&steps, &mixed_settings(true, true)),
                run_steps(&steps, &mixed_settings(true, true))
            );
            Ok(())
        })
        .unwrap();
}

/// The settings of a deployment. The gateway has no other information about it.
struct Deployment {
    name: &'static str,
    classes: &'static [Class],
    plans: &'static [Plan],
    hedging: bool,
    cancel: bool,
    max_attempts: u32,
    meter_ms: u64,
    discovery: Discovery,
    window_ms: u64,
}

const fn keyed_for(group: DeduplicationScope, window_ms: u64) -> Effect {
    Effect::Keyed { group, window: Duration::from_millis(window_ms) }
}

const fn class_with(effect: Effect, latency_target_ms: u64, deadline_ms: u64, value: f64) -> Class {
    Class {
        latency_target: Duration::from_millis(latency_target_ms),
        deadline: Duration::from_millis(deadline_ms),
        value,
        effect,
    }
}

/// A plan with only a rate, and the cost of a request over the quota.
const fn rate_only(rate: f64, burst: f64, over_cost: f64) -> Plan {
    Plan {
        rate,
        burst,
        max_in_flight: 0,
        rate_limit: 0.0,
        rate_limit_burst: 0.0,
        rate_limit_slack: 0.0,
        price: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: over_cost,
    }
}

const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        name: "two classes, a meter, pushed server lists",
        classes: &[class_with(Effect::Safe, 1000, 4000, 3.0), class_with(Effect::Unsafe, 1000, 4000, 2.0)],
        plans: &[
            rate_only(0.8, 3.5, 0.8),
            Plan { max_in_flight: 2, ..rate_only(1.5, 6.5, 1.2) },
            Plan {
                rate_limit: 12.8,
                rate_limit_burst: 20.5,
                rate_limit_slack: 2.0,
                ..rate_only(6.1, 9.8, 0.8)
            },
        ],
        hedging: false,
        cancel: true,
        max_attempts: 4,
        meter_ms: 500,
        discovery: Discovery::Push,
        window_ms: 3000,
    },
    Deployment {
        name: "two classes, no meter, hedging",
        classes: &[class_with(Effect::Safe, 1500, 4000, 2.0), class_with(Effect::Unsafe, 3000, 8000, 6.0)],
        plans: &[
            rate_only(1.3, 5.1, 1.2),
            rate_only(1.4, 5.7, 0.8),
            Plan { over_quota_value: 0.2, ..rate_only(4.4, 19.0, 0.0) },
            rate_only(11.0, 25.0, 1.2),
        ],
        hedging: true,
        cancel: true,
        max_attempts: 3,
        meter_ms: 0,
        discovery: Discovery::Push,
        window_ms: 1000,
    },
    Deployment {
        name: "a class with a deadline of 700 ms, keys per cell for 900 ms, subscribed server lists",
        classes: &[
            class_with(Effect::Safe, 400, 700, 4.0),
            class_with(keyed_for(DeduplicationScope::Cell, 900), 1800, 6000, 5.0),
            class_with(Effect::Unsafe, 1200, 3500, 2.0),
        ],
        plans: &[
            rate_only(5.5, 11.0, 1.0),
            Plan { over_quota_value: 0.2, ..rate_only(1.6, 6.4, 0.1) },
            Plan { max_in_flight: 2, ..rate_only(1.1, 4.4, 0.8) },
            rate_only(2.7, 6.7, 1.1),
        ],
        hedging: true,
        cancel: true,
        max_attempts: 3,
        meter_ms: 0,
        discovery: Discovery::Subscribe,
        window_ms: 2000,
    },
    Deployment {
        name: "four classes, no cancellation, keys per zone for 1.1 s and at all servers for 700 ms",
        classes: &[
            class_with(Effect::Safe, 300, 500, 1.0),
            class_with(keyed_for(DeduplicationScope::Zone, 1100), 1800, 9000, 5.0),
            class_with(Effect::Unsafe, 1200, 3500, 2.0),
            class_with(keyed_for(DeduplicationScope::All, 700), 1000, 2500, 6.0),
        ],
        plans: &[
            rate_only(1.3, 5.2, 0.9),
            Plan {
                rate_limit: 12.0,
                rate_limit_burst: 20.0,
                rate_limit_slack: 2.0,
                ..rate_only(5.5, 9.0, 1.0)
            },
        ],
        hedging: false,
        cancel: false,
        max_attempts: 2,
        meter_ms: 1000,
        discovery: Discovery::Push,
        window_ms: 1500,
    },
];

impl Deployment {
    fn settings(&self) -> Settings {
        Settings {
            hedging: self.hedging,
            cancel: self.cancel,
            max_attempts: self.max_attempts,
            meter_period: ms(self.meter_ms),
            discovery: self.discovery,
            slow_start_window: ms(self.window_ms),
            ..settings(self.classes.to_vec(), self.plans.to_vec())
        }
    }
}

#[test]
fn the_invariants_hold_under_every_deployments_settings() {
    for deployment in &DEPLOYMENTS {
        let config = deployment.settings();
        let (sent, keyed_retries) = (Cell::new(0), Cell::new(0));
        runner(100)
            .run(&prop::collection::vec(step(), 1..250), |steps| {
                let log = run_steps(&steps, &config);
                let sends = log.iter().filter_map(|(_, action)| match action {
                    Action::Send { begin_by, .. } => Some(begin_by.is_some()),
                    _ => None,
                });
                for is_keyed_retry in sends {
                    sent.set(sent.get() + 1);
                    keyed_retries.set(keyed_retries.get() + u32::from(is_keyed_retry));
                }
                Ok(())
            })
            .unwrap_or_else(|e| panic!("{}: {e}", deployment.name));
        let keyed = config.classes.iter().any(|class| matches!(class.effect, Effect::Keyed { .. }));
        assert!(sent.get() > 1000, "{}: {} sends", deployment.name, sent.get());
        assert!(!keyed || keyed_retries.get() > 0, "{}: no retry of a keyed request", deployment.name);
    }
}
