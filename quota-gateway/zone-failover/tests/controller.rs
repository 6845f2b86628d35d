//! Rules of the controller, each in a case that no other rule covers.

use marblecroft_control_messages::report::{
    AppliedDecisions, AttemptCounts, Demand, Report, ZoneObservation,
};
use marblecroft_zone_failover::controller::{FailoverController, OperatorCommand};
use marblecroft_zone_failover::decision::{ZoneDecision, ZoneState, ZonesDecision};
use marblecroft_zone_failover::gateway_limits::{GatewayLimits, MAX_DEMAND_GROWTH};
use marblecroft_zone_failover::settings::{Settings, ZoneSettings};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settings(zones: usize) -> Settings {
    let zone = |i: usize| ZoneSettings { name: format!("hall-{i}"), region: String::new() };
    Settings { zones: (0..zones).map(zone).collect(), server_capacity: 10.0, ..Settings::default() }
}

/// Returns the report of a gateway. An observation of a zone is the number of served attempts, failed
/// attempts and servers.
fn report(gateway: u32, sequence: u64, zone: usize, observations: &[(f64, f64, f64)]) -> Report {
    let zones = observations.iter().enumerate().map(|(z, (served, failed, servers))| ZoneObservation {
        zone: format!("hall-{z}"),
        attempts: AttemptCounts { served: *served, failed: *failed, ..AttemptCounts::default() },
        servers: *servers,
        warm: *servers,
    });
    Report {
        gateway,
        incarnation: 1,
        sequence,
        zone: format!("hall-{zone}"),
        span_ms: 1000,
        requested_units: 20.0,
        zones: zones.collect(),
        demand: Demand::default(),
        applied_decisions: AppliedDecisions::default(),
    }
}

/// Runs for `seconds` with two gateways in each zone that report once a second. `observations` returns the
/// observations of a zone's gateways in a second.
fn run(
    zones: usize,
    from: u64,
    seconds: u64,
    controller: &mut FailoverController,
    observations: impl Fn(usize, u64) -> Vec<(f64, f64, f64)>,
) {
    for second in from..from + seconds {
        for g in 0..2 * zones as u32 {
            let zone = g as usize % zones;
            controller
                .handle_report(ms(second * 1000), &report(g, second + 1, zone, &observations(zone, second)))
                .expect("a valid report");
        }
        for tenth in 0..10 {
            controller.tick(ms(second * 1000 + tenth * 100));
        }
    }
}

fn states(controller: &FailoverController, zones: usize) -> Vec<ZoneState> {
    (0..zones).map(|z| controller.state(&format!("hall-{z}")).expect("a zone")).collect()
}

const HEALTHY: (f64, f64, f64) = (10.0, 0.0, 5.0);
const FAILING: (f64, f64, f64) = (0.0, 10.0, 5.0);

/// The gateways of one zone after the other report that all zones fail. That is evidence against the
/// observers, so no zone fails over.
#[test]
fn failures_that_spread_over_all_zones_fail_over_none() {
    let mut controller = FailoverController::new(settings(3), ms(0), None);
    run(3, 0, 5, &mut controller, |_, _| vec![HEALTHY; 3]);
    // The gateways of the first zone report failures half a second before the others.
    for (tenth, zone) in [(0, 0), (5, 1), (6, 2)] {
        for g in [zone as u32, zone as u32 + 3] {
            controller
                .handle_report(ms(5000 + tenth * 100), &report(g, 6, zone, &[FAILING; 3]))
                .expect("a valid report");
        }
        controller.tick(ms(5000 + tenth * 100));
    }
    for tenth in 7..20 {
        controller.tick(ms(5000 + tenth * 100));
    }
    run(3, 7, 5, &mut controller, |_, _| vec![FAILING; 3]);
    assert!(
        states(&controller, 3).iter().all(|state| *state != ZoneState::FailedOver),
        "{:?}",
        states(&controller, 3)
    );
}

/// A zone is lost together with its gateways, and the remaining gateways report that it has no listed
/// servers. It must fail over with these reports, although the last reports of the lost gateways, half of
/// all, still list its servers.
#[test]
fn a_zone_without_listed_servers_fails_over_at_once() {
    let mut controller = FailoverController::new(settings(2), ms(0), None);
    run(2, 0, 5, &mut controller, |_, _| vec![HEALTHY; 2]);
    for at in [5000, 6000] {
        let servers = if at < 6000 { 5.0 } else { 0.0 };
        for g in [0, 2] {
            let observations = [HEALTHY, (0.0, 1.0, servers)];
            controller
                .handle_report(ms(at), &report(g, at / 1000 + 1, 0, &observations))
                .expect("a valid report");
        }
        controller.tick(ms(at));
    }
    assert_eq!(states(&controller, 2), [ZoneState::Serving, ZoneState::FailedOver]);
}

/// The last zone that accepts traffic does not fail over, regardless of the evidence.
#[test]
fn the_last_zone_does_not_fail_over() {
    let mut controller = FailoverController::new(settings(2), ms(0), None);
    run(2, 0, 5, &mut controller, |_, _| vec![HEALTHY; 2]);
    assert!(controller.on_operator_command(ms(5000), &OperatorCommand::Hold("hall-1".to_owned())));
    // The other zone has no listed servers any more, while the held zone is healthy.
    run(2, 5, 10, &mut controller, |_, _| vec![(0.0, 10.0, 0.0), HEALTHY]);
    assert_eq!(states(&controller, 2), [ZoneState::Suspect, ZoneState::HeldByOperator]);
    assert!(controller.rejected_failovers() > 0);
    assert!(controller.on_operator_command(ms(15_000), &OperatorCommand::Return("hall-1".to_owned())));
    run(2, 15, 3, &mut controller, |_, _| vec![(0.0, 10.0, 0.0), HEALTHY]);
    assert_eq!(
        states(&controller, 2),
        [ZoneState::FailedOver, ZoneState::Returning],
        "another zone accepts traffic now"
    );
}

/// A new owner has no evidence. It decides nothing until every gateway can have reported twice, and keeps the
/// states of the last decision.
#[test]
fn a_new_owner_decides_nothing_while_it_observes() {
    let mut controller = FailoverController::new(settings(2), ms(0), None);
    run(2, 0, 5, &mut controller, |_, _| vec![HEALTHY; 2]);
    controller.on_operator_command(ms(5000), &OperatorCommand::Hold("hall-1".to_owned()));
    let published = controller.tick(ms(5000)).expect("a state has changed");
    let mut next = FailoverController::new(settings(2), ms(5000), Some(&published));
    next.handle_report(ms(5100), &report(0, 6, 0, &[FAILING, FAILING])).expect("a valid report");
    for at in (5100..7200).step_by(100) {
        assert_eq!(next.tick(ms(at)), None, "at {at} ms");
    }
    assert_eq!(states(&next, 2), [ZoneState::Serving, ZoneState::HeldByOperator]);
    run(2, 7, 2, &mut next, |_, _| vec![HEALTHY; 2]);
    assert!(next.tick(ms(9000)).is_some() || states(&next, 2)[0] == ZoneState::Serving);
}

/// The votes of a single gateway do not fail over a zone while others report.
#[test]
fn one_gateway_alone_fails_over_no_zone() {
    let mut controller = FailoverController::new(settings(2), ms(0), None);
    let without_traffic = (0.0, 0.0, 5.0);
    run(2, 0, 5, &mut controller, |_, _| vec![HEALTHY; 2]);
    for second in 5..60 {
        for g in 0..4 {
            let zone = g as usize % 2;
            // Gateway 0 only observes failures of its own zone, and the other gateway of this zone has no
            // traffic. The gateways of the other zone are served there.
            let observations = match g {
                0 => vec![FAILING, without_traffic],
                _ if zone == 0 => vec![without_traffic, without_traffic],
                _ => vec![without_traffic, HEALTHY],
            };
            controller
                .handle_report(ms(second * 1000), &report(g, second + 1, zone, &observations))
                .expect("a valid report");
        }
        (0..10).for_each(|tenth| drop(controller.tick(ms(second * 1000 + tenth * 100))));
    }
    assert_ne!(states(&controller, 2)[0], ZoneState::FailedOver);
}

/// A gateway with most of the traffic has only one vote.
#[test]
fn votes_count_by_gateway_and_not_by_request() {
    let mut controller = FailoverController::new(settings(1), ms(0), None);
    for second in 0..12 {
        for g in 0..5 {
            let observation = if g == 0 && second > 4 { (0.0, 200.0, 5.0) } else { HEALTHY };
            controller
                .handle_report(ms(second * 1000), &report(g, second + 1, 0, &[observation]))
                .expect("a valid report");
        }
        (0..10).for_each(|tenth| drop(controller.tick(ms(second * 1000 + tenth * 100))));
    }
    assert_eq!(states(&controller, 1), [ZoneState::Serving]);
}

/// The rate of a gateway to other zones is at most the decided fraction of its demand, times a margin for
/// growth. The demand that counts is at most 8 times the mean of its zone's gateways.
#[test]
fn traffic_to_other_zones_is_bounded_by_the_decision() {
    let zone = |name: &str, shares: [f64; 2]| ZoneDecision {
        name: name.to_owned(),
        state: ZoneState::Serving,
        flap_count: 0,
        capacity: 100.0,
        demand: 100.0,
        gateways: 4,
        shares: shares.to_vec(),
    };
    let decision = ZonesDecision { zones: vec![zone("hall-0", [0.5, 0.5]), zone("hall-1", [0.0, 0.0])] };
    let max_rates =
        |demand: f64| GatewayLimits::for_gateway(&decision, "hall-0", demand).expect("limits").max_rates;
    assert_eq!(max_rates(25.0), [("hall-1".to_owned(), 0.5 * MAX_DEMAND_GROWTH * 25.0)]);
    assert_eq!(max_rates(1e9), [("hall-1".to_owned(), 0.5 * MAX_DEMAND_GROWTH * 25.0 * 8.0)]);
    assert_eq!(
        GatewayLimits::for_gateway(&decision, "hall-1", 25.0),
        None,
        "no zone is open to it, so it chooses zones on its own"
    );
    assert_eq!(GatewayLimits::for_gateway(&decision, "hall-9", 25.0), None);
}
