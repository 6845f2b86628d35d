//! Rules of the whole decision that stand behind others, each in the case where it alone holds.

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

/// What a gateway of a zone tells: of each zone how many were served and how many failed, and its servers.
fn report(gateway: u32, number: u64, zone: usize, seen: &[(f64, f64, f64)]) -> Report {
    let zones = seen.iter().enumerate().map(|(z, (served, failed, servers))| ZoneObservation {
        zone: format!("hall-{z}"),
        attempts: AttemptCounts { served: *served, failed: *failed, ..AttemptCounts::default() },
        servers: *servers,
        warm: *servers,
    });
    Report {
        gateway,
        incarnation: 1,
        sequence: number,
        zone: format!("hall-{zone}"),
        span_ms: 1000,
        requested_units: 20.0,
        zones: zones.collect(),
        demand: Demand::default(),
        applied_decisions: AppliedDecisions::default(),
    }
}

/// Two gateways in each zone, that report each second for so long; `seen` by zone, second and zone seen.
fn play(
    zones: usize,
    from: u64,
    seconds: u64,
    controller: &mut FailoverController,
    seen: impl Fn(usize, u64) -> Vec<(f64, f64, f64)>,
) {
    for second in from..from + seconds {
        for g in 0..2 * zones as u32 {
            let zone = g as usize % zones;
            controller
                .handle_report(ms(second * 1000), &report(g, second + 1, zone, &seen(zone, second)))
                .expect("well formed");
        }
        for tenth in 0..10 {
            controller.tick(ms(second * 1000 + tenth * 100));
        }
    }
}

fn states(controller: &FailoverController, zones: usize) -> Vec<ZoneState> {
    (0..zones).map(|z| controller.state(&format!("hall-{z}")).expect("a zone")).collect()
}

const WELL: (f64, f64, f64) = (10.0, 0.0, 5.0);
const DARK: (f64, f64, f64) = (0.0, 10.0, 5.0);

/// Evidence that everything is down comes in one zone after the other: that is evidence against who looks.
#[test]
fn failures_that_spread_over_all_zones_fail_over_none() {
    let mut controller = FailoverController::new(settings(3), ms(0), None);
    play(3, 0, 5, &mut controller, |_, _| vec![WELL; 3]);
    // The first zone's gateways go dark half a second before the others'.
    for (tenth, zone) in [(0, 0), (5, 1), (6, 2)] {
        for g in [zone as u32, zone as u32 + 3] {
            controller
                .handle_report(ms(5000 + tenth * 100), &report(g, 6, zone, &[DARK; 3]))
                .expect("well formed");
        }
        controller.tick(ms(5000 + tenth * 100));
    }
    for tenth in 7..20 {
        controller.tick(ms(5000 + tenth * 100));
    }
    play(3, 7, 5, &mut controller, |_, _| vec![DARK; 3]);
    assert!(
        states(&controller, 3).iter().all(|state| *state != ZoneState::FailedOver),
        "{:?}",
        states(&controller, 3)
    );
}

/// A zone and its gateways are gone in one moment, and those that are left hear that nothing is listed there any more: it is out with
/// their reports, also where the lost ones, which hold the list of before, are half of all.
#[test]
fn a_zone_without_listed_servers_fails_over_at_once() {
    let mut controller = FailoverController::new(settings(2), ms(0), None);
    play(2, 0, 5, &mut controller, |_, _| vec![WELL; 2]);
    for at in [5000, 6000] {
        let servers = if at < 6000 { 5.0 } else { 0.0 };
        for g in [0, 2] {
            let seen = [WELL, (0.0, 1.0, servers)];
            controller.handle_report(ms(at), &report(g, at / 1000 + 1, 0, &seen)).expect("well formed");
        }
        controller.tick(ms(at));
    }
    assert_eq!(states(&controller, 2), [ZoneState::Serving, ZoneState::FailedOver]);
}

/// The last zone that takes anything stays, whatever is said of it.
#[test]
fn the_last_zone_does_not_fail_over() {
    let mut controller = FailoverController::new(settings(2), ms(0), None);
    play(2, 0, 5, &mut controller, |_, _| vec![WELL; 2]);
    assert!(controller.on_operator_command(ms(5000), &OperatorCommand::Hold("hall-1".to_owned())));
    // Nothing is listed in the other one any more, while the one that is held is well.
    play(2, 5, 10, &mut controller, |_, _| vec![(0.0, 10.0, 0.0), WELL]);
    assert_eq!(states(&controller, 2), [ZoneState::Suspect, ZoneState::HeldByOperator]);
    assert!(controller.rejected_failovers() > 0);
    assert!(controller.on_operator_command(ms(15_000), &OperatorCommand::Return("hall-1".to_owned())));
    play(2, 15, 3, &mut controller, |_, _| vec![(0.0, 10.0, 0.0), WELL]);
    assert_eq!(states(&controller, 2), [ZoneState::FailedOver, ZoneState::Returning], "now there is another");
}

/// A new owner has heard nobody: it decides nothing before every gateway could tell twice, and goes on with the states that stand.
#[test]
fn a_new_owner_decides_nothing_while_it_observes() {
    let mut controller = FailoverController::new(settings(2), ms(0), None);
    play(2, 0, 5, &mut controller, |_, _| vec![WELL; 2]);
    controller.on_operator_command(ms(5000), &OperatorCommand::Hold("hall-1".to_owned()));
    let before = controller.tick(ms(5000)).expect("a state has changed");
    let mut next = FailoverController::new(settings(2), ms(5000), Some(&before));
    next.handle_report(ms(5100), &report(0, 6, 0, &[DARK, DARK])).expect("well formed");
    for at in (5100..7200).step_by(100) {
        assert_eq!(next.tick(ms(at)), None, "at {at}");
    }
    assert_eq!(states(&next, 2), [ZoneState::Serving, ZoneState::HeldByOperator]);
    play(2, 7, 2, &mut next, |_, _| vec![WELL; 2]);
    assert!(next.tick(ms(9000)).is_some() || states(&next, 2)[0] == ZoneState::Serving);
}

/// One gateway alone, of several, takes no zone out.
#[test]
fn one_gateway_alone_fails_over_no_zone() {
    let mut controller = FailoverController::new(settings(2), ms(0), None);
    let quiet = (0.0, 0.0, 5.0);
    play(2, 0, 5, &mut controller, |_, _| vec![WELL; 2]);
    for second in 5..60 {
        for g in 0..4 {
            let zone = g as usize % 2;
            // Gateway 0 sees its own zone dark and nothing else; the other gateway there has no traffic, the other zone is well.
            let seen = match g {
                0 => vec![DARK, quiet],
                _ if zone == 0 => vec![quiet, quiet],
                _ => vec![quiet, WELL],
            };
            controller
                .handle_report(ms(second * 1000), &report(g, second + 1, zone, &seen))
                .expect("well formed");
        }
        (0..10).for_each(|tenth| drop(controller.tick(ms(second * 1000 + tenth * 100))));
    }
    assert_ne!(states(&controller, 2)[0], ZoneState::FailedOver);
}

/// A gateway with most of the traffic has one voice all the same.
#[test]
fn votes_count_by_gateway_and_not_by_request() {
    let mut controller = FailoverController::new(settings(1), ms(0), None);
    for second in 0..12 {
        for g in 0..5 {
            let seen = if g == 0 && second > 4 { (0.0, 200.0, 5.0) } else { WELL };
            controller
                .handle_report(ms(second * 1000), &report(g, second + 1, 0, &[seen]))
                .expect("well formed");
        }
        (0..10).for_each(|tenth| drop(controller.tick(ms(second * 1000 + tenth * 100))));
    }
    assert_eq!(states(&controller, 1), [ZoneState::Serving]);
}

/// To other zones a gateway has its part of what was decided and a little more, however its demand grows; one that claims far more
/// than its zone's others is held to several times their mean.
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
    let decided = ZonesDecision { zones: vec![zone("hall-0", [0.5, 0.5]), zone("hall-1", [0.0, 0.0])] };
    let abroad = |asked: f64| GatewayLimits::for_gateway(&decided, "hall-0", asked).expect("open").max_rates;
    assert_eq!(abroad(25.0), [("hall-1".to_owned(), 0.5 * MAX_DEMAND_GROWTH * 25.0)]);
    assert_eq!(abroad(1e9), [("hall-1".to_owned(), 0.5 * MAX_DEMAND_GROWTH * 25.0 * 8.0)]);
    assert_eq!(
        GatewayLimits::for_gateway(&decided, "hall-1", 25.0),
        None,
        "nothing is open to it: it does as it would alone"
    );
    assert_eq!(GatewayLimits::for_gateway(&decided, "hall-9", 25.0), None);
}
