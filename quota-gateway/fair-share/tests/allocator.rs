//! How the allocator accounts for the grants that gateways may still apply.

use marblecroft_control_messages::published::Stamp;
use marblecroft_control_messages::report::{AppliedDecisions, Report};
use marblecroft_fair_share::allocator::{ShareAllocator, SLACK};
use marblecroft_fair_share::demand_curve::{first_points, sample, LocalFirm};
use std::time::Duration;

const VALIDITY: Duration = Duration::from_secs(5);
const SHRINK_INTERVAL: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(gateway: u32, sequence: u64, requested_units: f64, applied: Stamp) -> Report {
    Report {
        gateway,
        incarnation: 1,
        sequence,
        zone: "hall-a".to_owned(),
        span_ms: 1000,
        requested_units,
        zones: Vec::new(),
        demand: sample(&[LocalFirm { demand: requested_units, weight: 1.0 }], &first_points()),
        applied_decisions: AppliedDecisions { shares: applied, ..AppliedDecisions::default() },
    }
}

/// Two gateways swap their demands, and gateway 0 keeps applying its old, larger grant. Gateway 1 must get no
/// more than the free capacity until gateway 0 reports that it has applied the smaller grant; otherwise both
/// together would exceed the capacity.
#[test]
fn a_grant_rises_only_after_another_gateway_applies_its_smaller_one() {
    let mut allocator = ShareAllocator::new(at(0), VALIDITY, SHRINK_INTERVAL, at(1000), None);
    allocator.set_capacity(100.0);
    let (mut stamp, mut sequence) = (Stamp { token: 1, revision: 0 }, 0);
    let mut round = |allocator: &mut ShareAllocator, now: u64, demands: [f64; 2], applied: [Stamp; 2]| {
        sequence += 1;
        for gateway in 0..2 {
            let report = report(gateway as u32, sequence, demands[gateway], applied[gateway]);
            allocator.handle_report(at(now), &report).expect("fewer gateways than the maximum");
        }
        let next_stamp = Stamp { revision: stamp.revision + 1, ..stamp };
        let decision = allocator.decide(at(now), next_stamp);
        if decision.is_some() {
            stamp = next_stamp;
        }
        (decision, stamp)
    };
    let mut newest = (None, Stamp::default());
    for second in 0..6 {
        let applied = newest.1;
        let result = round(&mut allocator, second * 1000, [150.0, 20.0], [applied; 2]);
        newest = (result.0.or(newest.0), result.1);
    }
    let first_decision = newest.0.clone().expect("a decision");
    let old_grant = first_decision.grant(0).expect("a grant for gateway 0");
    assert!((79.0..=85.0).contains(&old_grant), "{first_decision:?}");
    let stale_stamp = newest.1;
    for second in 6..10 {
        let (decision, stamp) = round(&mut allocator, second * 1000, [20.0, 150.0], [stale_stamp, newest.1]);
        if let Some(decision) = decision {
            let sum = old_grant + decision.grant(1).expect("a grant for gateway 1");
            assert!(
                sum <= 100.0 * (1.0 + SLACK) + 0.01,
                "second {second}: {sum} in total while gateway 0 applies {old_grant}"
            );
            newest = (Some(decision), stamp);
        }
    }
    // Gateway 0 has applied the newest decision, so the grant of gateway 1 rises to the rest of the capacity.
    for second in 10..14 {
        let (decision, stamp) = round(&mut allocator, second * 1000, [20.0, 150.0], [newest.1; 2]);
        newest = (decision.or(newest.0), stamp);
    }
    let last_decision = newest.0.expect("a decision");
    assert!(last_decision.grant(1).is_some_and(|units| units > 78.0), "{last_decision:?}");
}

/// Gateway 1 stops reporting. Its grant stays reserved until its decision must have expired, the reservation
/// then shrinks to the equal share, and after a minute all of it is granted to gateway 0.
#[test]
fn the_grant_of_an_unreachable_gateway_stays_reserved_until_the_gateway_is_considered_failed() {
    let mut allocator = ShareAllocator::new(at(0), VALIDITY, SHRINK_INTERVAL, at(1000), None);
    allocator.set_capacity(100.0);
    let mut stamp = Stamp { token: 1, revision: 0 };
    let mut grants = (0.0, 0.0);
    let mut grants_by_second = Vec::new();
    for second in 0..90 {
        for gateway in 0..2 {
            if gateway == 0 || second < 6 {
                // While both report, gateway 0 has little demand, so that gateway 1 gets far more than its
                // equal share.
                let demand = if gateway == 0 && second < 6 { 10.0 } else { 150.0 };
                let report = report(gateway, second + 1, demand, stamp);
                allocator.handle_report(at(second * 1000), &report).expect("fewer gateways than the maximum");
            }
        }
        let next_stamp = Stamp { revision: stamp.revision + 1, ..stamp };
        if let Some(decision) = allocator.decide(at(second * 1000), next_stamp) {
            stamp = next_stamp;
            grants = (decision.grant(0).unwrap_or(0.0), decision.grant(1).unwrap_or(grants.1));
        }
        grants_by_second.push(grants);
    }
    let (reserved, other_grant) = (grants_by_second[5].1, grants_by_second[14].0);
    assert!((85.0..=95.0).contains(&reserved), "{reserved}");
    // The last report is from second 5 and the last grant from 5 s later; that grant expires within 5.5 s
    // more.
    assert!(
        other_grant <= 100.0 * (1.0 + SLACK) - reserved + 0.01,
        "second 14: {other_grant} granted while {reserved} are reserved"
    );
    // The reservation has shrunk to the equal share, which stays reserved until the gateway is considered
    // failed.
    assert!(
        (49.0..=55.0).contains(&grants_by_second[40].0),
        "grant of gateway 0 in second 40: {}",
        grants_by_second[40].0
    );
    assert!(
        grants_by_second[89].0 > 95.0,
        "grant of gateway 0 in second 89, when gateway 1 is considered failed: {}",
        grants_by_second[89].0
    );
}
