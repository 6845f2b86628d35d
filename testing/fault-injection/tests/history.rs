//! Tests of the history file and of the checkers: every invariant holds on a valid history, and each one is
//! violated by a history that is corrupted for it; damage of the file is reported with its byte.

use marblecroft_fault_injection::checker::{Checker, Finding, INVARIANTS};
use marblecroft_fault_injection::decisions::{self, DecisionChecker};
use marblecroft_fault_injection::deployment::{DrawnFault, Nanos, Quota, MS, SAFE, SECOND, UNSAFE};
use marblecroft_fault_injection::endpoint::Endpoint;
use marblecroft_fault_injection::figures::Figures;
use marblecroft_fault_injection::history::{
    CallResult, DecisionKind, Event, Outcome, ProcessChange, Reader, ServerOutcome, ServerState, Setup,
    TimedEvent, Writer, ZoneState,
};
use marblecroft_fault_injection::scenario::FaultKind;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn setup() -> Setup {
    Setup {
        scenario: "corrupted".to_owned(),
        seed: 1,
        text: String::new(),
        latency_target: SECOND,
        deadline: 4 * SECOND,
        duration: 20 * SECOND,
        gateways: 2,
        quotas: vec![Quota {
            name: "enterprise".to_owned(),
            rate: 1.0,
            burst: 4.0,
            price: 1.0,
            over_cost: 1.0,
            open: 0,
            rate_limit: 2.0,
            rate_limit_burst: 4.0,
            rate_limit_slack: 1.0,
        }],
        plans: vec![0],
        discovery_processes: 1,
        coordinators: 3,
        zones: vec!["hall-a".to_owned()],
        faults: vec![DrawnFault {
            kind: FaultKind::Kill,
            at: 5 * SECOND,
            until: Some(6 * SECOND),
            victims: vec![Endpoint::Gateway(1)],
            owner: None,
            from_owner: None,
            from: Vec::new(),
            one_way: false,
            reset: false,
            delay: 0,
            jitter: 0,
            probability: 0.0,
        }],
        ..Setup::default()
    }
}

/// Builds a history, which starts with the setup, registrations and discovery responses that all histories
/// here have.
struct HistoryBuilder {
    events: Vec<TimedEvent>,
    next: u64,
}

impl HistoryBuilder {
    fn new() -> HistoryBuilder {
        let mut history = HistoryBuilder { events: Vec::new(), next: 1 };
        history.at(0, Event::Setup(Box::new(setup())));
        for server in 0..2 {
            history.at(1, Event::Registered { server, process: 0 });
        }
        history.discovery_received(
            2 * MS,
            0,
            10,
            true,
            &[(0, ServerState::Serving), (1, ServerState::Serving)],
        );
        history.discovery_received(
            2 * MS,
            1,
            10,
            true,
            &[(0, ServerState::Serving), (1, ServerState::Serving)],
        );
        history
    }

    fn at(&mut self, at: Nanos, event: Event) {
        self.events.push(TimedEvent { at, event });
    }

    fn discovery_received(
        &mut self,
        at: Nanos,
        gateway: u16,
        version: u64,
        full: bool,
        servers: &[(u16, ServerState)],
    ) {
        let servers = servers.to_vec();
        self.at(
            at,
            Event::DiscoveryReceived { gateway, process: 0, store: 7, epoch: 1, version, full, servers },
        );
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn request_started(&mut self, at: Nanos, request: u32, class: u8) {
        self.at(at, Event::RequestStarted { request, customer: 0, class, late: 0 });
    }

    fn client_attempt_started(&mut self, at: Nanos, request: u32, trace: u64, gateway: u16) {
        self.at(at, Event::AttemptStarted { request, trace, gateway, timeout: 3 * SECOND, reuses_id: false });
    }

    /// Adds an attempt that arrives and runs. Returns the numbers of the attempt and of its connection.
    fn arrived(&mut self, at: Nanos, trace: u64, server: u16, gateway: u16) -> (u64, u64) {
        let (attempt, connection) = (self.number(), self.number());
        self.at(at, Event::Arrived { attempt, trace, server, connection, gateway });
        self.at(at, Event::Ran { attempt });
        (attempt, connection)
    }

    fn responded(&mut self, at: Nanos, attempt: u64, outcome: ServerOutcome) {
        self.at(at, Event::Responded { attempt, outcome });
    }

    fn ended(&mut self, at: Nanos, request: u32, trace: u64, outcome: Outcome) {
        self.at(at, Event::AttemptEnded { trace, outcome });
        self.at(at, Event::RequestEnded { request, outcome });
    }

    /// Adds a request that is served correctly.
    fn served(&mut self, at: Nanos, request: u32, class: u8) {
        let trace = 1000 + u64::from(request);
        self.request_started(at, request, class);
        self.client_attempt_started(at, request, trace, 0);
        let (attempt, _) = self.arrived(at + MS, trace, 0, 0);
        self.responded(at + 50 * MS, attempt, ServerOutcome::Served);
        self.ended(at + 51 * MS, request, trace, Outcome::Served { attempt: Some(attempt) });
    }

    /// Adds a request that is lost because a fault kills its gateway.
    fn lost_with_its_gateway(&mut self, request: u32) {
        let (at, trace) = (5 * SECOND - 20 * MS, 1000 + u64::from(request));
        self.request_started(at, request, UNSAFE);
        self.client_attempt_started(at, request, trace, 1);
        let (_, connection) = self.arrived(at + MS, trace, 1, 1);
        self.at(5 * SECOND, Event::FaultBegan { fault: 0 });
        self.at(5 * SECOND, Event::Closed { connection });
        self.at(
            5 * SECOND,
            Event::ProcessChanged { endpoint: Endpoint::Gateway(1), change: ProcessChange::Ended },
        );
        self.ended(5 * SECOND + MS, request, trace, Outcome::Reset { first: false });
        self.at(
            6 * SECOND,
            Event::ProcessChanged { endpoint: Endpoint::Gateway(1), change: ProcessChange::Started },
        );
        self.at(6 * SECOND, Event::FaultEnded { fault: 0 });
    }

    /// Adds a lock that passes from one candidate to another. The first one's last effect arrives late and is
    /// refused.
    fn lock_handover(&mut self) {
        self.at(SECOND, Event::Granted { candidate: 0, lock: 0, token: 5, requested_at: SECOND - MS });
        self.at(2 * SECOND, Event::ActionStarted { candidate: 0, lock: 0, token: 5 });
        self.at(2 * SECOND, Event::Effect { candidate: 0, lock: 0, token: 5, admitted: true });
        self.at(3 * SECOND, Event::ActionStarted { candidate: 0, lock: 0, token: 5 });
        self.at(5 * SECOND, Event::Granted { candidate: 1, lock: 0, token: 6, requested_at: 4 * SECOND });
        self.at(5 * SECOND, Event::ActionStarted { candidate: 1, lock: 0, token: 6 });
        self.at(5 * SECOND, Event::Effect { candidate: 1, lock: 0, token: 6, admitted: true });
        self.at(6 * SECOND, Event::Effect { candidate: 0, lock: 0, token: 5, admitted: false });
    }

    /// Adds a call on a register that takes a millisecond.
    fn called(&mut self, at: Nanos, client: u16, put: Option<(u64, Option<u64>)>, returned: CallResult) {
        let call = self.number();
        self.at(at, Event::CallStarted { client, call, register: 0, put });
        self.at(at + MS, Event::CallReturned { call, result: returned });
    }

    /// Adds a watched register with reads, concurrent writes of two clients, and a write whose client
    /// receives no result.
    fn registers(&mut self) {
        let watched = |since, upto, changes: &[(u64, u16, u64)]| Event::Watched {
            watcher: 9,
            since,
            upto,
            changes: changes.to_vec(),
        };
        self.at(SECOND, watched(None, 10, &[]));
        self.called(SECOND, 5, None, CallResult::Value { value: None, revision: 0 });
        self.called(2 * SECOND, 5, Some((70, Some(0))), CallResult::Written { revision: 11 });
        self.called(2 * SECOND, 6, Some((71, Some(0))), CallResult::Conflict { revision: 11 });
        self.at(3 * SECOND, watched(Some(10), 11, &[(11, 0, 70)]));
        self.called(3 * SECOND, 6, Some((72, None)), CallResult::Unknown);
        self.called(4 * SECOND, 5, None, CallResult::Value { value: Some(70), revision: 11 });
        self.called(6 * SECOND, 5, None, CallResult::Value { value: Some(72), revision: 15 });
        self.called(7 * SECOND, 6, Some((73, Some(15))), CallResult::Written { revision: 16 });
        self.at(8 * SECOND, watched(Some(11), 16, &[(15, 0, 72), (16, 0, 73)]));
    }

    fn good() -> HistoryBuilder {
        let mut history = HistoryBuilder::new();
        history.lock_handover();
        history.registers();
        history.served(SECOND, 1, SAFE);
        history.served(2 * SECOND, 2, UNSAFE);
        history.lost_with_its_gateway(3);
        history.served(8 * SECOND, 4, UNSAFE);
        history
    }

    fn events(mut self) -> Vec<TimedEvent> {
        self.at(20 * SECOND, Event::Finished { harness_cpu: 0, fleet_cpu: 0 });
        // A recorded history is ordered by time.
        self.events.sort_by_key(|event| event.at);
        self.events
    }

    fn findings(self) -> BTreeMap<&'static str, Finding> {
        let mut checker = Checker::default();
        self.events().iter().for_each(|event| checker.observe(event));
        checker.findings().expect("complete history")
    }
}

#[test]
fn a_valid_history_violates_nothing_and_inapplicable_invariants_have_a_reason() {
    let findings = HistoryBuilder::good().findings();
    assert_eq!(findings.len(), INVARIANTS.len());
    for (name, finding) in findings {
        let not_applicable = name == "units_once";
        assert_eq!(finding.holds, (!not_applicable).then_some(true), "{name}: {:?}", finding.why);
        assert_eq!(not_applicable, !finding.why.is_empty(), "{name}");
    }
}

/// Corrupts a valid history.
type Corruption = fn(&mut HistoryBuilder);

#[test]
fn each_invariant_is_violated_by_the_history_that_is_corrupted_for_it_and_by_no_other() {
    let cases: [(&str, Corruption); 22] = [
        ("nothing_acknowledged_lost", |s| {
            // A read returns an old value after an acknowledged write.
            s.called(9 * SECOND, 5, None, CallResult::Value { value: Some(70), revision: 11 });
        }),
        ("nothing_acknowledged_lost", |s| {
            // Two writes succeed at the same expected revision.
            s.called(9 * SECOND, 5, Some((80, Some(16))), CallResult::Written { revision: 17 });
            s.called(9 * SECOND, 6, Some((81, Some(16))), CallResult::Written { revision: 18 });
        }),
        ("nothing_acknowledged_lost", |s| {
            // A read returns a value that no client wrote.
            s.called(9 * SECOND, 5, None, CallResult::Value { value: Some(99), revision: 17 });
        }),
        ("nothing_acknowledged_lost", |s| {
            // A watcher receives a later revision without this change.
            s.called(9 * SECOND, 5, Some((80, None)), CallResult::Written { revision: 17 });
            s.at(10 * SECOND, Event::Watched { watcher: 9, since: Some(16), upto: 18, changes: Vec::new() });
        }),
        ("nothing_acknowledged_lost", |s| {
            // A watcher reverts to an older revision.
            s.at(10 * SECOND, Event::Watched { watcher: 9, since: Some(16), upto: 12, changes: Vec::new() });
        }),
        ("one_owner", |s| s.at(7 * SECOND, Event::ActionStarted { candidate: 0, lock: 0, token: 5 })),
        ("fenced", |s| {
            s.at(7 * SECOND, Event::Effect { candidate: 0, lock: 0, token: 5, admitted: true });
        }),
        ("tokens_rise", |s| {
            // The token is lower than that of an earlier grant, which was received before this lock request
            // was sent.
            s.at(9 * SECOND, Event::Granted { candidate: 0, lock: 0, token: 4, requested_at: 8 * SECOND });
        }),
        ("tokens_rise", |s| {
            // Two candidates receive the same token, even if their requests overlapped.
            s.at(9 * SECOND, Event::Granted { candidate: 0, lock: 0, token: 6, requested_at: 4 * SECOND });
        }),
        ("one_final_answer", |s| {
            // The gateway runs but never responds.
            s.request_started(10 * SECOND, 9, SAFE);
            s.client_attempt_started(10 * SECOND, 9, 9, 0);
            s.ended(13 * SECOND, 9, 9, Outcome::TimedOut);
            s.at(15 * SECOND, Event::AttemptEndedLate { trace: 9, answered: false });
        }),
        ("one_final_answer", |s| {
            // The fault that would explain the loss affects another gateway.
            s.request_started(5 * SECOND, 9, SAFE);
            s.client_attempt_started(5 * SECOND, 9, 9, 0);
            s.ended(5 * SECOND + MS, 9, 9, Outcome::Reset { first: false });
        }),
        ("one_final_answer", |s| {
            // A client attempt ends twice.
            s.at(9 * SECOND, Event::AttemptEnded { trace: 1004, outcome: Outcome::Refused });
        }),
        ("never_ran_twice", |s| {
            // A client that lost its gateway retries at another one, and the request runs again.
            s.client_attempt_started(7 * SECOND, 3, 1003, 0);
            let (attempt, _) = s.arrived(7 * SECOND + MS, 1003, 0, 0);
            s.responded(7 * SECOND + 9 * MS, attempt, ServerOutcome::Served);
            s.at(
                7 * SECOND + 9 * MS,
                Event::AttemptEnded { trace: 1003, outcome: Outcome::Served { attempt: Some(attempt) } },
            );
        }),
        ("never_ran_twice", |s| {
            // The same with a new trace id: it is still the same request.
            s.client_attempt_started(7 * SECOND, 3, 77, 0);
            let (attempt, _) = s.arrived(7 * SECOND + MS, 77, 0, 0);
            s.responded(7 * SECOND + 9 * MS, attempt, ServerOutcome::Error);
            s.at(7 * SECOND + 9 * MS, Event::AttemptEnded { trace: 77, outcome: Outcome::Failed });
        }),
        ("answers_belong", |s| {
            s.request_started(10 * SECOND, 9, SAFE);
            s.client_attempt_started(10 * SECOND, 9, 9, 0);
            s.ended(10 * SECOND + MS, 9, 9, Outcome::Served { attempt: None });
        }),
        ("attempts_one_at_a_time", |s| {
            s.request_started(10 * SECOND, 9, SAFE);
            s.client_attempt_started(10 * SECOND, 9, 9, 0);
            let (first, _) = s.arrived(10 * SECOND, 9, 0, 0);
            let (second, _) = s.arrived(10 * SECOND + 100 * MS, 9, 1, 0);
            s.responded(10 * SECOND + 200 * MS, first, ServerOutcome::Error);
            s.responded(10 * SECOND + 200 * MS, second, ServerOutcome::Served);
            s.ended(10 * SECOND + 201 * MS, 9, 9, Outcome::Served { attempt: Some(second) });
        }),
        ("attempts_at_most_four", |s| {
            s.request_started(10 * SECOND, 9, SAFE);
            s.client_attempt_started(10 * SECOND, 9, 9, 0);
            for i in 0..5 {
                let (attempt, _) = s.arrived(10 * SECOND + i * 20 * MS, 9, 0, 0);
                s.responded(10 * SECOND + i * 20 * MS + MS, attempt, ServerOutcome::Error);
            }
            s.ended(11 * SECOND, 9, 9, Outcome::Failed);
        }),
        ("drains_kept", |s| {
            s.discovery_received(10 * SECOND, 0, 11, false, &[(0, ServerState::Draining)]);
            s.discovery_received(10 * SECOND + 400 * MS, 0, 12, false, &[(0, ServerState::Removed)]);
            // The grace period starts with the first response that shows the server as draining, and has
            // passed with the slack.
            s.served(10 * SECOND + 560 * MS, 9, SAFE);
        }),
        ("ceilings_kept", |s| {
            for request in 10..20 {
                s.served(10 * SECOND, request, SAFE);
            }
        }),
        ("list_never_back", |s| {
            s.at(10 * SECOND, Event::DiscoveryRequested { gateway: 0, since: Some(12) });
            s.at(11 * SECOND, Event::DiscoveryRequested { gateway: 0, since: Some(11) });
        }),
        ("nothing_acknowledged_lost", |s| {
            s.discovery_received(10 * SECOND, 0, 13, true, &[(0, ServerState::Serving)]);
        }),
        ("drains_kept", |s| {
            // A complete response that lacks a server also means that the server was removed.
            s.discovery_received(10 * SECOND, 0, 13, true, &[(1, ServerState::Serving)]);
            s.served(11 * SECOND, 9, SAFE);
        }),
    ];
    for (i, (name, corrupt)) in cases.into_iter().enumerate() {
        let mut history = HistoryBuilder::good();
        corrupt(&mut history);
        let broken: Vec<&str> = history
            .findings()
            .into_iter()
            .filter(|(_, finding)| finding.holds == Some(false))
            .map(|(name, finding)| {
                assert!(finding.cases > 0 && !finding.why.is_empty(), "{name} has no cases");
                name
            })
            .collect();
        // The last case also loses a registered server, so it violates two invariants.
        let expected = if i == 21 { vec![name, "nothing_acknowledged_lost"] } else { vec![name] };
        assert_eq!(broken, expected, "case {i}");
    }
}

/// Time limits are extended by the delays of the harness itself, and only near the time of the delay.
#[test]
fn time_limits_are_extended_by_delays_of_the_harness() {
    let drains_kept_with_stall = |stalled_at: Nanos| {
        let mut history = HistoryBuilder::good();
        history.discovery_received(10 * SECOND, 0, 11, false, &[(0, ServerState::Draining)]);
        history.served(10 * SECOND + 650 * MS, 9, SAFE);
        history.at(stalled_at, Event::Stalled { late: 200 * MS });
        history.findings()["drains_kept"].holds
    };
    assert_eq!(drains_kept_with_stall(10 * SECOND + 600 * MS), Some(true));
    assert_eq!(drains_kept_with_stall(14 * SECOND), Some(false));
}

/// The state at the platform's agents counts as received by a gateway from the start of its process, without
/// a request, unless a fault affects the links to the agents.
#[test]
fn the_state_at_agents_counts_as_received() {
    let holds = |fault: Option<FaultKind>, started: Option<Nanos>, sent_at: Nanos| {
        let mut history = HistoryBuilder::new();
        let mut setup = setup();
        setup.faults.retain(|_| fault.is_some());
        for drawn in &mut setup.faults {
            (drawn.kind, drawn.victims) =
                (fault.expect("the fault was retained"), vec![Endpoint::DiscoveryService(0)]);
        }
        history.at(3 * MS, Event::Setup(Box::new(setup)));
        history.at(9 * SECOND, Event::AgentStateChanged { server: 0, state: ServerState::Draining });
        if let Some(at) = started {
            history.at(
                at,
                Event::ProcessChanged { endpoint: Endpoint::Gateway(0), change: ProcessChange::Started },
            );
        }
        history.served(sent_at, 9, SAFE);
        history.findings()["drains_kept"].holds
    };
    let late = 9 * SECOND + 600 * MS;
    assert_eq!(holds(None, None, late), Some(false), "the gateway never requested the servers");
    assert_eq!(holds(None, None, 9 * SECOND + 500 * MS), Some(true), "within the grace period");
    assert_eq!(
        holds(None, Some(9 * SECOND + 300 * MS), late),
        Some(true),
        "the grace period starts again with a new process"
    );
    assert_eq!(holds(None, Some(9 * SECOND), late), Some(false));
    assert_eq!(holds(Some(FaultKind::Cut), None, late), Some(true), "the links to the agents are cut");
}

/// Invariants of decisions hold on a valid history, and each one is violated by a history that is corrupted
/// for it.
#[test]
fn violations_of_decision_invariants_are_detected() {
    let zones = |state: ZoneState| vec![(ZoneState::Serving, 20.0), (state, 20.0)];
    let check_history = |corrupt: fn(&mut HistoryBuilder)| {
        let mut history = HistoryBuilder { events: Vec::new(), next: 1 };
        let mut setup = setup();
        (setup.zones, setup.controllers) = (vec!["hall-a".to_owned(), "hall-b".to_owned()], 3);
        history.at(0, Event::Setup(Box::new(setup)));
        for (at, state) in [(1, ZoneState::Serving), (7, ZoneState::FailedOver), (12, ZoneState::Serving)] {
            let revision = at;
            history.at(at * SECOND, Event::ZonesDecided { token: 5, revision, zones: zones(state) });
            history.at(
                at * SECOND,
                Event::DecisionApplied { gateway: 0, kind: DecisionKind::Zones, token: 5, revision },
            );
        }
        history.at(5 * SECOND, Event::FaultBegan { fault: 0 });
        history.at(9 * SECOND, Event::FaultEnded { fault: 0 });
        // Gateway 0 and server 0 are in one zone, server 1 is in the other.
        for n in 0..30 {
            history.arrived(3 * SECOND + n * 30 * MS, 100 + n, u16::from(n < 3), 0);
        }
        corrupt(&mut history);
        history.events.sort_by_key(|event| event.at);
        let mut decided = DecisionChecker::default();
        history.events.iter().for_each(|event| decided.take(event));
        decided.findings()
    };
    let (findings, figures) = check_history(|_| {});
    // The invariants of shares and shards do not apply here; `fair_shares_and_shards.rs` tests them.
    assert!(findings.values().all(|finding| finding.holds != Some(false)), "{findings:?}");
    assert_eq!(findings.len(), decisions::INVARIANTS.len());
    assert_eq!((figures.same_zone_share, figures.late_decisions_refused), (Some(0.9), Some(0)));
    assert_eq!((figures.time_to_failover_ms, figures.time_to_return_ms), (Some(2000), Some(3000)));
    let cases: [(&str, Corruption); 3] = [
        ("decision_never_back", |s| {
            s.at(
                8 * SECOND,
                Event::DecisionApplied { gateway: 0, kind: DecisionKind::Zones, token: 5, revision: 1 },
            )
        }),
        ("decision_fenced", |s| {
            s.at(
                8 * SECOND,
                Event::ZonesDecided { token: 4, revision: 90, zones: vec![(ZoneState::Serving, 1.0); 2] },
            );
        }),
        ("zone_never_overloaded", |s| {
            for n in 0..60 {
                s.arrived(10 * SECOND + n * MS, 1000 + n, 1, 0);
            }
        }),
    ];
    for (name, corrupt) in cases {
        let (findings, _) = check_history(corrupt);
        let broken: Vec<_> =
            findings.iter().filter(|(_, f)| f.holds == Some(false)).map(|(name, _)| *name).collect();
        assert_eq!(broken, [name]);
    }
    // A restarted gateway may start with any decision.
    let (findings, _) = check_history(|s| {
        s.at(
            8 * SECOND,
            Event::ProcessChanged { endpoint: Endpoint::Gateway(0), change: ProcessChange::Started },
        );
        s.at(
            8 * SECOND,
            Event::DecisionApplied { gateway: 0, kind: DecisionKind::Zones, token: 5, revision: 1 },
        );
    });
    assert_eq!(findings["decision_never_back"].holds, Some(true));
}

#[test]
fn a_truncated_history_is_not_checked() {
    let mut checker = Checker::default();
    let events = HistoryBuilder::good().events();
    events[..events.len() - 1].iter().for_each(|event| checker.observe(event));
    assert!(checker.findings().is_err());
}

/// The goodput is zero until three seconds after the end of a fault. The time to full service is measured
/// from the fault's end, with windows of two seconds.
#[test]
fn time_to_full_service_starts_at_the_end_of_the_last_fault() {
    let mut history = HistoryBuilder::new();
    for i in 0..200_u32 {
        let at = u64::from(i) * 100 * MS;
        let is_down = (5 * SECOND..9 * SECOND).contains(&at);
        if is_down {
            history.request_started(at, i, SAFE);
            history.client_attempt_started(at, i, u64::from(i), 0);
            history.ended(at + MS, i, u64::from(i), Outcome::Refused);
        } else {
            history.served(at, i, SAFE);
        }
    }
    history.at(5 * SECOND, Event::FaultBegan { fault: 0 });
    history.at(6 * SECOND, Event::FaultEnded { fault: 0 });
    let (mut checker, mut figures) = (Checker::default(), Figures::new());
    for event in history.events() {
        checker.observe(&event);
        figures.take(&event);
    }
    let findings = checker.findings().expect("complete history");
    let summary = figures.summary(&findings, &Default::default()).expect("the history has a setup");
    assert_eq!((summary.requests, summary.served, summary.refused), (200, 160, 40));
    assert_eq!(summary.goodput_before, Some(10.0));
    // Service is full from 9 s on. The windows are 100 ms apart, and one that lacks one response in twenty
    // counts as full.
    let took = summary.time_to_full_service_ms.expect("full service within the run");
    assert!((2900..=3100).contains(&took), "{took}");
}

proptest! {
    /// A reader returns the events that were written. If any byte is changed or the file is truncated
    /// anywhere, the reader reports the byte offset and does not panic.
    #[test]
    fn damage_is_reported_with_its_byte(
        delays in prop::collection::vec(0..u64::MAX, 1..200), position in 0.0..1.0f64, flip in 1..=255u8, cut in any::<bool>(),
    ) {
        let mut bytes = Vec::new();
        let mut writer = Writer::new(&mut bytes).expect("in memory");
        let events: Vec<TimedEvent> =
            delays.iter().map(|late| TimedEvent { at: late / 2, event: Event::Stalled { late: *late } }).collect();
        for (i, event) in events.iter().enumerate() {
            writer.add(event).expect("in memory");
            if i % 7 == 0 {
                writer.flush().expect("in memory");
            }
        }
        writer.flush().expect("in memory");
        let read = |bytes: &[u8]| {
            let mut events = Vec::new();
            let ended = Reader::new(bytes).and_then(|mut reader| reader.each(|event| events.push(event)));
            (events, ended)
        };
        prop_assert_eq!(read(&bytes), (events.clone(), Ok(())));
        let at = (position * bytes.len() as f64) as usize;
        if cut {
            bytes.truncate(at);
        } else {
            bytes[at] ^= flip;
        }
        let (fewer, ended) = read(&bytes);
        prop_assert_eq!(&events[..fewer.len()], &fewer[..], "only written events are read");
        match ended {
            // Truncation between two frames is detected by the missing last event.
            Ok(()) => prop_assert!(cut && fewer.len() < events.len()),
            Err(damage) => prop_assert!(damage.byte <= at as u64, "{damage:?} is after byte {at}"),
        }
    }
}
