//! Tests of the stand-ins' logic against their specifications, without sockets.

use marblecroft_discovery::format::{Host, ListRequest, State};
use marblecroft_fault_injection::deployment::{
    random_stream, Deployment, DrawnFault, Nanos, RandomStream, MS, SECOND, UNSAFE,
};
use marblecroft_fault_injection::endpoint::Endpoint;
use marblecroft_fault_injection::history::{Outcome, ServerOutcome};
use marblecroft_fault_injection::link::{LinkFaults, LinkState};
use marblecroft_fault_injection::scenario::{FaultKind, Scenario, Site};
use marblecroft_fault_injection::stand_ins::clients::{
    Arrivals, ClientBehavior, ClientRequest, LoadBalancer, NextStep,
};
use marblecroft_fault_injection::stand_ins::counter::Counter;
use marblecroft_fault_injection::stand_ins::discovery::Discovery;
use marblecroft_fault_injection::stand_ins::meter::Meter;
use marblecroft_fault_injection::stand_ins::pay_server::{Action, PayServer, Receipt};
use proptest::prelude::*;
use std::time::Duration;

const WORK: f64 = 100e6;

fn site() -> Site {
    Site { handshake_us: 0, ..Site::default() }
}

/// A pay server, and its actions with their times.
struct TimedServer {
    server: PayServer,
    actions: Vec<(Nanos, Action)>,
    now: Nanos,
    next: u64,
}

impl TimedServer {
    fn new(site: &Site, receipts: bool, started: Option<Nanos>) -> TimedServer {
        TimedServer {
            server: PayServer::new(site, 1.0, receipts, 0, started),
            actions: Vec::new(),
            now: 0,
            next: 0,
        }
    }

    fn record(&mut self, actions: Vec<Action>) {
        self.actions.extend(actions.into_iter().map(|action| (self.now, action)));
    }

    /// Advances the time to `end`, and calls the pay server whenever it is due.
    fn advance_to(&mut self, end: Nanos) {
        while let Some(due) = self.server.due().filter(|due| *due <= end) {
            self.now = due;
            let mut actions = Vec::new();
            self.server.advance(due, &mut actions);
            self.record(actions);
        }
        self.now = end;
    }

    fn arrive(&mut self, token: u64) -> u64 {
        self.next += 1;
        let mut actions = Vec::new();
        self.server.arrive(self.now, self.next, self.next, WORK, false, false, token, &mut actions);
        self.record(actions);
        self.next
    }

    fn outcome_of(&self, attempt: u64) -> Option<(Nanos, ServerOutcome)> {
        self.actions.iter().find_map(|(at, action)| match action {
            Action::Finished(of, outcome) if *of == attempt => Some((*at, *outcome)),
            _ => None,
        })
    }

    fn ran(&self, attempt: u64) -> bool {
        self.actions.iter().any(|(_, action)| *action == Action::Started(attempt))
    }

    fn served(&self) -> usize {
        self.actions
            .iter()
            .filter(|(_, action)| matches!(action, Action::Finished(_, ServerOutcome::Served)))
            .count()
    }
}

#[test]
fn running_attempts_share_two_cores_and_a_full_queue_rejects() {
    let mut pay = TimedServer::new(&site(), false, None);
    let alone = pay.arrive(0);
    pay.advance_to(SECOND);
    let finished_at = pay.outcome_of(alone).expect("served").0;
    assert!((99 * MS..=101 * MS).contains(&finished_at), "{finished_at}");
    // Four attempts on two cores take twice as long.
    let four: Vec<u64> = (0..4).map(|_| pay.arrive(0)).collect();
    pay.advance_to(2 * SECOND);
    for attempt in four {
        let finished_at = pay.outcome_of(attempt).expect("served").0 - SECOND;
        assert!((199 * MS..=201 * MS).contains(&finished_at), "{finished_at}");
    }
    // Slots and queue hold 8 and 40 attempts. The others are rejected at once and never run.
    let many: Vec<u64> = (0..60).map(|_| pay.arrive(0)).collect();
    let rejected: Vec<u64> = many
        .iter()
        .copied()
        .filter(|a| matches!(pay.outcome_of(*a), Some((_, ServerOutcome::NeverRan))))
        .collect();
    assert_eq!(rejected.len(), 12);
    pay.advance_to(10 * SECOND);
    assert!(rejected.iter().all(|attempt| !pay.ran(*attempt)));
    assert_eq!(pay.served(), 5 + 48);
}

#[test]
fn after_a_cold_start_a_pay_server_is_slow_and_crashes_only_under_overload() {
    let site = Site { initial_speed_share: 0.25, warmup_ms: 10_000, ..site() };
    let mut first = TimedServer::new(&site, false, Some(0));
    let attempt = first.arrive(0);
    first.advance_to(2 * SECOND);
    let finished_at = first.outcome_of(attempt).expect("served").0;
    assert!((350 * MS..=420 * MS).contains(&finished_at), "{finished_at}: a quarter of its speed");
    // A warm pay server completes 20 of these attempts a second; this one 5 at first and 11 after three
    // seconds. 50 a second, more than twice its capacity, make it crash, and 10 a second do not.
    let crashes = |gap: Nanos| {
        let mut pay = TimedServer::new(&site, false, Some(0));
        while pay.now < 8 * SECOND {
            pay.arrive(0);
            pay.advance_to(pay.now + gap);
        }
        pay.actions.iter().any(|(_, action)| *action == Action::OverloadCrash)
    };
    assert!(crashes(20 * MS));
    assert!(!crashes(100 * MS));
}

#[test]
fn draining_completes_accepted_work_and_queued_work_is_dropped_with_its_connection() {
    let mut pay = TimedServer::new(&site(), false, None);
    let attempts: Vec<u64> = (0..10).map(|_| pay.arrive(0)).collect();
    let mut actions = Vec::new();
    pay.server.withdraw(0, attempts[0], &mut actions);
    pay.server.withdraw(0, attempts[9], &mut actions);
    pay.server.drain();
    let after_drain = pay.arrive(0);
    pay.advance_to(5 * SECOND);
    assert_eq!(pay.outcome_of(after_drain).map(|(_, outcome)| outcome), Some(ServerOutcome::NeverRan));
    assert!(pay.outcome_of(attempts[0]).is_some(), "running work continues");
    assert!(!pay.ran(attempts[9]), "queued work is dropped");
    assert_eq!(pay.served(), 9);
}

#[test]
fn a_suspended_pay_server_does_nothing_until_it_is_resumed() {
    let mut pay = TimedServer::new(&site(), false, None);
    let attempt = pay.arrive(0);
    pay.server.set_suspended(0, true, &mut Vec::new());
    pay.advance_to(5 * SECOND);
    assert_eq!(pay.outcome_of(attempt), None);
    pay.server.set_suspended(5 * SECOND, false, &mut Vec::new());
    pay.advance_to(6 * SECOND);
    let at = pay.outcome_of(attempt).expect("served").0;
    assert!((5 * SECOND + 99 * MS..=5 * SECOND + 101 * MS).contains(&at), "{at}");
}

#[test]
fn a_sealed_id_never_runs_under_a_lower_token() {
    let mut pay = TimedServer::new(&site(), true, None);
    let ran = pay.arrive(1);
    let seal =
        |pay: &mut TimedServer, trace, min_token| pay.server.seal(pay.now, trace, min_token, &mut Vec::new());
    assert_eq!(seal(&mut pay, ran, 5), Some(Receipt::InProgress));
    pay.advance_to(SECOND);
    assert_eq!(seal(&mut pay, ran, 5), Some(Receipt::Ran(ran)));
    // The next id is sealed before it arrives: its old owner's token is rejected, and its new owner's is not.
    let next = pay.next + 1;
    assert_eq!(seal(&mut pay, next, 5), Some(Receipt::Sealed));
    assert_eq!(
        seal(&mut pay, next, 3),
        Some(Receipt::Sealed),
        "a seal with a lower token does not lower the required token"
    );
    let old = pay.arrive(4);
    assert_eq!(pay.outcome_of(old).map(|(_, outcome)| outcome), Some(ServerOutcome::NeverRan));
    pay.next -= 1;
    let new = pay.arrive(5);
    assert!(pay.ran(new));
    let mut without = TimedServer::new(&site(), false, None);
    assert_eq!(seal(&mut without, 1, 1), None);
}

#[test]
fn the_meter_reports_the_last_finished_period_with_a_delay() {
    let mut meter = Meter::new(800 * MS, vec![10.0]);
    for i in 0..4 {
        meter.add_units(100 * MS + i, 0, 1.0);
    }
    assert_eq!(meter.reported_percent(1299 * MS, 0), None, "the first period is not summed yet");
    assert_eq!(meter.reported_percent(1300 * MS, 0), Some(80), "four of five");
    assert_eq!(meter.reported_percent(1800 * MS, 0), Some(0));
}

#[test]
fn the_counter_implements_the_specified_protocol() {
    let mut counter = Counter::new(100.0);
    let mut reply = |now: Nanos, line: &str| counter.call(now, line).text;
    assert_eq!(reply(0, "ping"), "pong");
    assert_eq!(reply(0, "incr a 2.5 4000"), "ok 2.5");
    assert_eq!(reply(SECOND, "incr a -1 4000"), "ok 1.5");
    assert_eq!(reply(5 * SECOND, "incr a 1 4000"), "ok 1", "the total has expired");
    for invalid in [
        "",
        "incr",
        "incr a",
        "incr a 1",
        "incr a x 1",
        "incr a 1 0",
        "incr a 2e9 1",
        "incr a 1 1 1",
        "get a",
    ] {
        assert_eq!(reply(6 * SECOND, invalid), "error", "{invalid:?}");
    }
    // The counter processes a limited number of calls; the others are rejected and add nothing.
    let replies: Vec<_> = (0..40).map(|_| counter.call(10 * SECOND, "incr b 1 60000")).collect();
    let accepted = replies.iter().filter(|reply| !reply.busy).count();
    assert_eq!(accepted, 20);
    assert!(replies.iter().filter(|reply| !reply.busy).all(|reply| reply.at > 10 * SECOND));
    assert_eq!(counter.call(20 * SECOND, "incr b 0 1").text, "ok 20");
    counter.lose_share(1.0, &mut random_stream(1, RandomStream::Counter));
    assert_eq!(counter.call(21 * SECOND, "incr b 1 1000").text, "ok 1");
}

#[test]
fn discovery_returns_changes_since_a_version_or_else_all_servers() {
    let host = |id: &str, state| Host {
        id: id.to_owned(),
        addr: "127.100.100.100:80".parse().expect("an address"),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state,
        weight: 1.0,
        started_ms: 0,
    };
    let mut discovery = Discovery::new(5);
    discovery.set(0, host("a", State::Serving));
    discovery.set(1, host("b", State::Serving));
    let since = discovery.version();
    let watch = |since| ListRequest::Watch { since, wait: Duration::ZERO };
    assert!(discovery.respond(watch(since)).is_none());
    discovery.set(1, host("b", State::Deleted));
    let mut changes = discovery.respond(watch(since)).expect("a change");
    assert!(!changes.full);
    assert_eq!(changes.servers.iter().map(|(number, _)| *number).collect::<Vec<_>>(), [1]);
    let body = changes.body("127.101.100.103".parse().expect("an address")).expect("JSON");
    assert!(
        String::from_utf8_lossy(&body).contains("127.101.100.103:80"),
        "the address is the one for the reader"
    );
    for request in [ListRequest::Full, watch(discovery.version() + 9)] {
        let response = discovery.respond(request).expect("a response");
        assert!(response.full && response.servers.len() == 1, "only changes contain deleted servers");
    }
}

fn fault(kind: FaultKind, victims: Vec<Endpoint>, from: Vec<Endpoint>, one_way: bool) -> DrawnFault {
    let (delay, jitter) = if kind == FaultKind::Delay { (30 * MS, 20 * MS) } else { (0, 0) };
    DrawnFault {
        kind,
        at: 0,
        until: None,
        victims,
        owner: None,
        from_owner: None,
        from,
        one_way,
        reset: false,
        delay,
        jitter,
        probability: 0.5,
    }
}

#[test]
fn cuts_have_directions_and_sides_and_end() {
    let (g0, g1, pay, discovery) =
        (Endpoint::Gateway(0), Endpoint::Gateway(1), Endpoint::PayServer(0), Endpoint::DiscoveryService(0));
    let mut link_faults = LinkFaults::default();
    link_faults.begin(0, &fault(FaultKind::Cut, vec![pay], vec![g0], true));
    assert!(!link_faults.link_state(g0, pay).open && link_faults.link_state(pay, g0).open, "one way");
    assert!(!link_faults.can_connect(g0, pay), "a connection needs both directions");
    assert!(link_faults.can_connect(g1, pay) && link_faults.can_connect(g0, discovery));
    link_faults.begin(1, &fault(FaultKind::Cut, vec![g1], Vec::new(), false));
    assert!(
        !link_faults.link_state(g1, discovery).open
            && !link_faults.link_state(discovery, g1).open
            && !link_faults.link_state(Endpoint::Clients, g1).open
    );
    link_faults.end(0);
    assert_eq!(link_faults.link_state(g0, pay), LinkState::CLEAR);
    link_faults.end(1);
    link_faults.set_suspended(pay, true);
    assert!(
        !link_faults.link_state(g0, pay).open && link_faults.can_connect(g0, pay),
        "the operating system of a suspended process accepts connections"
    );
}

proptest! {
    /// Datagrams are lost, duplicated and reordered with the configured probabilities; streams lose nothing
    /// and are only delayed.
    #[test]
    fn faults_apply_to_datagrams_and_streams_as_configured(seed in any::<u64>()) {
        let (a, b) = (Endpoint::Gateway(0), Endpoint::Gateway(1));
        let mut link_faults = LinkFaults::default();
        link_faults.begin(0, &fault(FaultKind::Lose, vec![b], vec![a], false));
        link_faults.begin(1, &fault(FaultKind::Duplicate, vec![b], vec![a], false));
        link_faults.begin(2, &fault(FaultKind::Delay, vec![b], vec![a], false));
        let mut rng = random_stream(seed, RandomStream::Links);
        let link = link_faults.link_state(a, b);
        let copies: Vec<usize> = (0..2000).map(|_| link.datagram(&mut rng).len()).collect();
        let share = |n| copies.iter().filter(|copies| **copies == n).count() as f64 / 2000.0;
        prop_assert!((0.4..0.6).contains(&share(0)) && (0.18..0.32).contains(&share(2)), "{} {}", share(0), share(2));
        let delays: Vec<Nanos> = (0..200).map(|_| link.stream_delay(&mut rng)).collect();
        prop_assert!(delays.iter().all(|delay| (30 * MS..=250 * MS).contains(delay)));
        prop_assert!(delays.windows(2).any(|pair| pair[0] > pair[1]));
    }

    /// Whatever the outcomes of its attempts are, a request that must not run twice is retried only if
    /// nothing can have run, unless its client retries with the same id. No client retries beyond its
    /// deadline or its retry limit.
    #[test]
    fn clients_retry_only_as_their_class_allows(
        seed in any::<u64>(), outcomes in prop::collection::vec(0..6usize, 8), retries_with_same_id in any::<bool>(),
    ) {
        let mut scenario = Scenario::default();
        scenario.load.unsafe_share = 1.0;
        scenario.load.retries_with_same_id = retries_with_same_id;
        scenario.load.retries = 5;
        let deployment = Deployment::draw(&scenario, seed).expect("the deployment can be drawn");
        let arrival = Arrivals::new(&scenario, &deployment, seed).and_then(|mut all| all.next()).expect("the load has a request");
        prop_assert_eq!(arrival.class, UNSAFE);
        let customer = &deployment.customers[arrival.customer as usize];
        let mut load_balancer = LoadBalancer::new(3);
        load_balancer.set(0, false);
        let (started_at, mut now) = (SECOND, SECOND);
        let mut request = ClientRequest::new(&arrival, ClientBehavior::of(&scenario), started_at);
        let mut current = request.first_attempt(now, customer, &load_balancer);
        for (attempts, outcome) in outcomes.into_iter().enumerate() {
            prop_assert!(attempts <= 5 && current.gateway < 3);
            prop_assert!(now + current.after + current.wait <= started_at + 4 * SECOND);
            let outcome = [
                Outcome::Served { attempt: None },
                Outcome::Refused,
                Outcome::Failed,
                Outcome::Unreachable,
                Outcome::Reset { first: false },
                Outcome::TimedOut,
            ][outcome];
            now += current.after + 20 * MS;
            match request.next_step(now, outcome, Some(SECOND), customer, &load_balancer) {
                NextStep::End(end_outcome) => {
                    prop_assert_eq!(end_outcome, outcome);
                    return Ok(());
                }
                NextStep::Retry(next) => {
                    let lost = matches!(outcome, Outcome::Reset { .. });
                    prop_assert!(
                        matches!(outcome, Outcome::Refused | Outcome::Unreachable) || (lost && retries_with_same_id)
                    );
                    prop_assert_eq!(next.trace == current.trace, lost, "the id is reused only after a lost connection");
                    current = next;
                }
            }
        }
        prop_assert!(false, "the request does not end");
    }
}
