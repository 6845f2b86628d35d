//! Gateways of three zones between servers that reject many requests, because they are full or for no reason,
//! and that send responses twice. A rejection must only ever count for the request that it belongs to.

use crate::stand_ins::{
    configuration, wait_for, Behavior, Coordinator, Gateway, HandledRequest, QueueingServer, Record,
    Repetition, Stores, PROMISES, STREAM_ROUTE,
};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["a", "b", "c"];
const SERVERS_PER_ZONE: usize = 3;
/// One response in this many is sent twice.
const REPEATS_ONE_IN: u64 = 2;
const NEVER: u64 = u64::MAX;
/// Delay of copies that are not sent in the place of another response. Longer than connections rest before
/// they are reused.
const COPY_DELAY: Duration = Duration::from_millis(20);
/// Number of seeds if [`SEEDS_VARIABLE`] does not state one.
const DEFAULT_SEEDS: u64 = 2;
/// Sets the number of seeds, for long runs by hand.
const SEEDS_VARIABLE: &str = "MARBLECROFT_TEST_SEEDS";

/// The servers, and the bursts of requests that each gateway receives.
struct Scenario {
    behavior: Behavior,
    requests_per_burst: usize,
    bursts_per_seed: u64,
    /// Bounds of the pause between two bursts.
    min_pause_ms: u64,
    max_pause_ms: u64,
}

impl Scenario {
    /// Bursts of more than twice what the servers take at once.
    fn full(repetition: Repetition) -> Scenario {
        Scenario {
            behavior: Behavior {
                slots: 2,
                queue: 1,
                rejected_permille: 0,
                lost_permille: 0,
                closed_permille: 0,
                repetition,
                repeats_one_in: REPEATS_ONE_IN,
            },
            requests_per_burst: 24,
            bursts_per_seed: 16,
            min_pause_ms: 40,
            max_pause_ms: 160,
        }
    }

    /// Servers that lose responses, and close connections while gateways are about to reuse them. They send no
    /// response twice.
    fn losing() -> Scenario {
        let rejecting = Scenario::rejecting(Repetition::BeforeNextResponse);
        let behavior = Behavior {
            rejected_permille: 200,
            lost_permille: 200,
            closed_permille: 500,
            repeats_one_in: NEVER,
            ..rejecting.behavior
        };
        Scenario { behavior, ..rejecting }
    }

    /// Servers with the slots of the operators' that are never full, and reject each second request.
    fn rejecting(repetition: Repetition) -> Scenario {
        Scenario {
            behavior: Behavior {
                slots: 24,
                queue: 67,
                rejected_permille: 500,
                lost_permille: 0,
                closed_permille: 0,
                repetition,
                repeats_one_in: REPEATS_ONE_IN,
            },
            requests_per_burst: 8,
            bursts_per_seed: 60,
            min_pause_ms: 20,
            max_pause_ms: 60,
        }
    }

    /// Returns the pause after a burst (Weyl sequence).
    fn pause(&self, seed: u64, burst: u64) -> Duration {
        let step = (seed * self.bursts_per_seed + burst).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        Duration::from_millis(self.min_pause_ms + step % (self.max_pause_ms - self.min_pause_ms))
    }
}

/// A request as its client saw it.
struct Sent {
    id: String,
    zone: &'static str,
    /// `None` if the connection ended without a complete response.
    status: Option<u16>,
}

struct Fleet {
    servers: Vec<QueueingServer>,
    gateways: Vec<Gateway>,
    record: Record,
    _coordinator: Coordinator,
    _stores: Stores,
}

impl Fleet {
    fn start(behavior: Behavior) -> Fleet {
        let record = Record::default();
        let start_server = |index: usize| {
            let zone = ZONES[index % ZONES.len()];
            QueueingServer::start(&format!("server-{index}"), zone, behavior, &record)
        };
        let servers: Vec<QueueingServer> = (0..ZONES.len() * SERVERS_PER_ZONE).map(start_server).collect();
        let stores = Stores::start();
        let entries = servers.iter().map(QueueingServer::entry).collect();
        let coordinator = Coordinator::start(stores.address(), entries);
        coordinator.set_configuration(&configuration(1, &[STREAM_ROUTE.to_owned()]));
        let gateways = ZONES.iter().map(|zone| Gateway::start_in_zone(zone, &coordinator)).collect();
        Fleet { servers, gateways, record, _coordinator: coordinator, _stores: stores }
    }

    /// Sends the bursts of one seed, and waits until nothing runs any more.
    fn send_bursts(&self, scenario: &Scenario, seed: u64) -> Vec<Sent> {
        let sent = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for burst in 0..scenario.bursts_per_seed {
                for (gateway, zone) in self.gateways.iter().zip(ZONES) {
                    for index in 0..scenario.requests_per_burst {
                        let (sent, id) = (&sent, format!("{seed}-{burst}-{zone}-{index}"));
                        scope.spawn(move || {
                            let status = gateway.post_query(&id).ok().map(|response| response.status());
                            sent.lock().expect("not poisoned").push(Sent { id, zone, status });
                        });
                    }
                }
                thread::sleep(scenario.pause(seed, burst));
            }
        });
        wait_for("idle servers", || self.servers.iter().all(QueueingServer::is_idle).then_some(()));
        sent.into_inner().expect("not poisoned")
    }
}

/// What broke the rules, as lines like those of the operators' record.
#[derive(Default)]
struct Violations {
    refused: usize,
    twice: usize,
    lines: String,
}

impl Violations {
    fn find(sent: &[Sent], handled: &[HandledRequest]) -> Violations {
        let mut attempts: HashMap<&str, Vec<&HandledRequest>> = HashMap::new();
        for request in handled {
            attempts.entry(&request.id).or_default().push(request);
        }
        let mut violations = Violations::default();
        for Sent { id, zone, status } in sent {
            let attempts = attempts.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let executions = attempts.iter().filter(|attempt| attempt.executed).count();
            let is_refused = executions > 0 && status.is_some_and(|status| PROMISES.contains(&status));
            let is_twice = executions > 1;
            violations.refused += usize::from(is_refused);
            violations.twice += usize::from(is_twice);
            if is_refused || is_twice {
                let _ = write!(violations.lines, "\nran {executions} times: {id} at zone {zone}, {status:?}");
                for HandledRequest { server, zone, executed, preceded_by, .. } in attempts {
                    let _ =
                        write!(violations.lines, " [{server} {zone} ran {executed} after {preceded_by:?}]");
                }
            }
        }
        violations
    }
}

/// Runs the seeds, and asserts for each that no request that may run once ran twice, and that none ran that
/// was answered with a promise.
fn assert_that_each_request_runs_once(scenario: &Scenario) {
    let fleet = Fleet::start(scenario.behavior);
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|seeds| seeds.parse().ok());
    let mut violations = Vec::new();
    let (mut misplaced, mut lost) = (0, 0);
    for seed in 1..=seeds.unwrap_or(DEFAULT_SEEDS) {
        let sent = fleet.send_bursts(scenario, seed);
        let handled = std::mem::take(&mut *fleet.record.lock().expect("not poisoned"));
        let found = Violations::find(&sent, &handled);
        misplaced +=
            handled.iter().filter(|request| request.executed && request.preceded_by.is_some()).count();
        lost += handled.iter().filter(|request| request.lost).count();
        let rejected = handled.iter().filter(|request| !request.executed).count();
        println!(
            "seed {seed}: {} requests, {} handled, {rejected} rejected; REFUSED {}, TWICE {}",
            sent.len(),
            handled.len(),
            found.refused,
            found.twice
        );
        if !found.lines.is_empty() {
            violations.push(format!(
                "seed {seed}: {} REFUSED, {} TWICE{}",
                found.refused, found.twice, found.lines
            ));
        }
    }
    let Behavior { repetition, repeats_one_in, .. } = scenario.behavior;
    if matches!(repetition, Repetition::BeforeNextResponse) && repeats_one_in != NEVER {
        assert!(misplaced > 0, "no request ran behind a copy of another response");
    }
    assert_eq!(lost > 0, scenario.behavior.lost_permille > 0, "{lost} responses were lost");
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

// Hundreds of requests ran twice, or ran although they were answered 503 (docs/incidents/ran-though-rejected.md).
#[test]
fn a_rejection_in_the_place_of_another_response_does_not_count_for_its_request() {
    assert_that_each_request_runs_once(&Scenario::rejecting(Repetition::BeforeNextResponse));
}

#[test]
fn a_full_servers_rejection_in_the_place_of_another_response_does_not_count_for_its_request() {
    assert_that_each_request_runs_once(&Scenario::full(Repetition::BeforeNextResponse));
}

// The same with copies that arrive when the connection may be idle, in use or reused.
#[test]
fn a_rejection_that_arrives_again_later_does_not_count_for_another_request() {
    assert_that_each_request_runs_once(&Scenario::rejecting(Repetition::AfterDelay(COPY_DELAY)));
}

#[test]
fn a_request_whose_response_is_lost_runs_once_and_gets_no_promise() {
    assert_that_each_request_runs_once(&Scenario::losing());
}
