//! Legal random events; the five rules are asserted on the actions.

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
    Settle { which: usize, status: u8 },
    Depart { which: usize },
    Pass { millis: u64 },
    List { server: u32, state: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..4usize, 0..2usize, 0..3u64)
            .prop_map(|(class, plan, customer)| Step::Request { class, plan, customer }),
        5 => (any::<usize>(), 0..12u8).prop_map(|(which, status)| Step::Settle { which, status }),
        1 => any::<usize>().prop_map(|which| Step::Depart { which }),
        4 => (1..400u64).prop_map(|millis| Step::Pass { millis }),
        1 => (0..6u32, 0..4u8).prop_map(|(server, state)| Step::List { server, state }),
    ]
}

struct Held {
    class: usize,
    deadline: u64,
    answered: bool,
    departed: bool,
    attempts: Vec<(ServerId, u64, Option<Status>)>,
}

fn never_ran(end: Option<Status>) -> bool {
    matches!(end, Some(Status::Rejected | Status::ConnectFailed | Status::NotSent))
}

/// Settings with all effects and a ceiling.
fn mixed(second_copies: bool, cancel: bool) -> Settings {
    let classes =
        [Effect::Safe, keyed(DeduplicationScope::Zone), keyed(DeduplicationScope::All), Effect::Unsafe]
            .map(|e| class(e, 1.0))
            .to_vec();
    let limited = Plan { rate_limit: 4.0, rate_limit_burst: 8.0, rate_limit_slack: 1.0, ..unlimited_plan() };
    Settings { hedging: second_copies, cancel, ..settings(classes, vec![unlimited_plan(), limited]) }
}

fn play(steps: &[Step], cfg: &Settings) -> Vec<(u64, Action)> {
    let (second_copies, cancel, classes, plans) =
        (cfg.hedging, cfg.cancel, cfg.classes.clone(), cfg.plans.clone());
    let mut harness = Harness::new(cfg.clone(), 6);
    let mut held: BTreeMap<RequestId, Held> = BTreeMap::new();
    let mut stopped: BTreeMap<ServerId, bool> = BTreeMap::new();
    let mut ceiling: BTreeMap<(usize, u64), f64> = BTreeMap::new();
    let mut seen = harness.log.len();
    let mut owner: BTreeMap<RequestId, (usize, u64)> = BTreeMap::new();

    for step in steps {
        match step {
            Step::Request { class, plan, customer } => {
                let (class, plan) = (&(class % classes.len()), &(plan % plans.len()));
                let id = RequestId(harness.next_id);
                owner.insert(id, (*plan, *customer));
                held.insert(
                    id,
                    Held {
                        class: *class,
                        deadline: harness.now + 3_000_000_000,
                        answered: false,
                        departed: false,
                        attempts: Vec::new(),
                    },
                );
                harness.request(*class, *plan, *customer);
            }
            Step::Settle { which, status } => {
                let out: Vec<(RequestId, usize)> = held
                    .iter()
                    .flat_map(|(id, h)| (0..h.attempts.len()).map(move |n| (*id, n)))
                    .filter(|(id, n)| held[id].attempts[*n].2.is_none())
                    .collect();
                if let Some(&(id, n)) = out.get(which % out.len().max(1)) {
                    let status = match status {
                        0..=4 => Status::Ok,
                        5 => Status::Error,
                        6 => Status::Rejected,
                        7 => Status::ConnectFailed,
                        8 => Status::Reset,
                        9 => Status::NotSent,
                        _ => Status::Cancelled,
                    };
                    let h = held.get_mut(&id).expect("held");
                    h.attempts[n].2 = Some(status);
                    let elapsed = (harness.now - h.attempts[n].1) / 1_000_000;
                    let mut result = outcome(id, n as u32, status, elapsed);
                    result.finished = h.answered || h.departed || status == Status::Ok;
                    h.answered |= status == Status::Ok;
                    harness.handle(Event::Outcome(result));
                }
            }
            Step::Depart { which } => {
                let open: Vec<RequestId> =
                    held.iter().filter(|(_, h)| !h.answered && !h.departed).map(|(id, _)| *id).collect();
                if let Some(id) = open.get(which % open.len().max(1)) {
                    held.get_mut(id).expect("held").departed = true;
                    harness.handle(Event::ClientDisconnected(*id));
                }
            }
            Step::Pass { millis } => {
                harness.advance(*millis);
            }
            Step::List { server: id, state } => {
                let mut info = server(*id);
                info.lifecycle =
                    [Lifecycle::Running, Lifecycle::Running, Lifecycle::Draining, Lifecycle::Gone]
                        [usize::from(*state)];
                stopped.insert(info.id, info.lifecycle != Lifecycle::Running);
                if *state == 1 {
                    info.started = Some(Time(harness.now.max(1)));
                }
                harness.update_servers(Scope::Delta, vec![info]);
            }
        }
        for (at, action) in harness.log[seen..].iter().cloned() {
            match action {
                Action::Send { id, server, begin_by, .. } => {
                    let h = held.get_mut(&id).expect("a request that was handed over");
                    assert!(!h.answered && !h.departed, "sent after its end");
                    assert!(!stopped.get(&server).copied().unwrap_or(false), "sent to a stopped server");
                    let out = h.attempts.iter().filter(|a| a.2.is_none()).count();
                    assert!(out == 0 || second_copies, "overlapping attempts");
                    assert!(h.attempts.len() < cfg.max_attempts as usize, "too many attempts");
                    if let Some(first) = h.attempts.iter().find(|a| !never_ran(a.2)) {
                        match classes[h.class].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => panic!("unsafe work repeated"),
                            Effect::Keyed { group, window } => {
                                let end = Time(first.1).after(window);
                                assert!(Time(at) < end, "repeat beyond the window");
                                assert!(
                                    begin_by.is_some_and(|by| Time(at) < by && by <= end),
                                    "nothing says by when it must begin"
                                );
                                let same = match group {
                                    DeduplicationScope::All => true,
                                    DeduplicationScope::Zone => first.0 .0 % 2 == server.0 % 2,
                                    DeduplicationScope::Cell => first.0 .0 % 4 == server.0 % 4,
                                };
                                assert!(same, "outside the group");
                            }
                        }
                    }
                    let limited = &plans[owner[&id].0];
                    if h.attempts.is_empty() && limited.rate_limit > 0.0 {
                        let used = ceiling.entry(owner[&id]).or_default();
                        *used += 1.0;
                        let half = (limited.rate_limit_slack + limited.rate_limit * at as f64 / 1e9) / 2.0;
                        assert!(*used <= half + 1e-6, "ceiling: {used} of {half}");
                    }
                    h.attempts.push((server, at, None));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let h = held.get_mut(&id).expect("held");
                    assert!(!h.answered, "two final answers");
                    if matches!(action, Action::Reject { .. }) {
                        let harmless = match classes[h.class].effect {
                            Effect::Safe | Effect::Keyed { group: DeduplicationScope::All, .. } => true,
                            _ => h.attempts.iter().all(|a| never_ran(a.2)),
                        };
                        assert!(harmless, "refused though it may have run");
                    }
                    h.answered = true;
                }
                Action::Cancel { id, attempt } => {
                    assert!(cancel && held[&id].attempts.len() > attempt.0 as usize);
                }
                _ => {}
            }
        }
        seen = harness.log.len();
        for (id, h) in &held {
            assert!(h.answered || h.departed || harness.now <= h.deadline + 8_000_000, "{id:?} lost");
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
        .run(&(steps, any::<bool>(), any::<bool>()), |(steps, copies, cancel)| {
            play(&steps, &mixed(copies, cancel));
            Ok(())
        })
        .unwrap();
}

#[test]
fn same_events_same_actions() {
    runner(30)
        .run(&prop::collection::vec(step(), 1..150), |steps| {
            prop_assert_eq!(play(&steps, &mixed(true, true)), play(&steps, &mixed(true, true)));
            Ok(())
        })
        .unwrap();
}

/// A deployment as its settings have it; nothing else tells the module which one it serves.
struct Deployment {
    name: &'static str,
    classes: &'static [Class],
    plans: &'static [Plan],
    second_copies: bool,
    cancel: bool,
    max_attempts: u32,
    meter_ms: u64,
    discovery: Discovery,
    window_ms: u64,
}

const fn in_group(group: DeduplicationScope, window_ms: u64) -> Effect {
    Effect::Keyed { group, window: Duration::from_millis(window_ms) }
}

const fn of(effect: Effect, aim_ms: u64, deadline_ms: u64, worth: f64) -> Class {
    Class {
        latency_target: Duration::from_millis(aim_ms),
        deadline: Duration::from_millis(deadline_ms),
        value: worth,
        effect,
    }
}

/// A plan with a rate alone, and what a request beyond it costs.
const fn soft(rate: f64, burst: f64, over_cost: f64) -> Plan {
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
        name: "two classes, a meter, lists pushed",
        classes: &[of(Effect::Safe, 1000, 4000, 3.0), of(Effect::Unsafe, 1000, 4000, 2.0)],
        plans: &[
            soft(0.8, 3.5, 0.8),
            Plan { max_in_flight: 2, ..soft(1.5, 6.5, 1.2) },
            Plan { rate_limit: 12.8, rate_limit_burst: 20.5, rate_limit_slack: 2.0, ..soft(6.1, 9.8, 0.8) },
        ],
        second_copies: false,
        cancel: true,
        max_attempts: 4,
        meter_ms: 500,
        discovery: Discovery::Push,
        window_ms: 3000,
    },
    Deployment {
        name: "two classes, no meter, second copies",
        classes: &[of(Effect::Safe, 1500, 4000, 2.0), of(Effect::Unsafe, 3000, 8000, 6.0)],
        plans: &[
            soft(1.3, 5.1, 1.2),
            soft(1.4, 5.7, 0.8),
            Plan { over_quota_value: 0.2, ..soft(4.4, 19.0, 0.0) },
            soft(11.0, 25.0, 1.2),
        ],
        second_copies: true,
        cancel: true,
        max_attempts: 3,
        meter_ms: 0,
        discovery: Discovery::Push,
        window_ms: 1000,
    },
    Deployment {
        name: "a class of 700 ms, keys by cell for 900 ms, lists asked for",
        classes: &[
            of(Effect::Safe, 400, 700, 4.0),
            of(in_group(DeduplicationScope::Cell, 900), 1800, 6000, 5.0),
            of(Effect::Unsafe, 1200, 3500, 2.0),
        ],
        plans: &[
            soft(5.5, 11.0, 1.0),
            Plan { over_quota_value: 0.2, ..soft(1.6, 6.4, 0.1) },
            Plan { max_in_flight: 2, ..soft(1.1, 4.4, 0.8) },
            soft(2.7, 6.7, 1.1),
        ],
        second_copies: true,
        cancel: true,
        max_attempts: 3,
        meter_ms: 0,
        discovery: Discovery::Subscribe,
        window_ms: 2000,
    },
    Deployment {
        name: "four classes, nothing called off, keys by zone for 1.1 s and by all for 700 ms",
        classes: &[
            of(Effect::Safe, 300, 500, 1.0),
            of(in_group(DeduplicationScope::Zone, 1100), 1800, 9000, 5.0),
            of(Effect::Unsafe, 1200, 3500, 2.0),
            of(in_group(DeduplicationScope::All, 700), 1000, 2500, 6.0),
        ],
        plans: &[
            soft(1.3, 5.2, 0.9),
            Plan { rate_limit: 12.0, rate_limit_burst: 20.0, rate_limit_slack: 2.0, ..soft(5.5, 9.0, 1.0) },
        ],
        second_copies: false,
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
            hedging: self.second_copies,
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
        let cfg = deployment.settings();
        let (sent, again) = (Cell::new(0), Cell::new(0));
        runner(100)
            .run(&prop::collection::vec(step(), 1..250), |steps| {
                let log = play(&steps, &cfg);
                let sends = log.iter().filter_map(|(_, action)| match action {
                    Action::Send { begin_by, .. } => Some(begin_by.is_some()),
                    _ => None,
                });
                for keyed_again in sends {
                    sent.set(sent.get() + 1);
                    again.set(again.get() + u32::from(keyed_again));
                }
                Ok(())
            })
            .unwrap_or_else(|e| panic!("{}: {e}", deployment.name));
        let keyed = cfg.classes.iter().any(|class| matches!(class.effect, Effect::Keyed { .. }));
        assert!(sent.get() > 1000, "{}: {} sends", deployment.name, sent.get());
        assert!(!keyed || again.get() > 0, "{}: no repeat of keyed work", deployment.name);
    }
}
