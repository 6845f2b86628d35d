//! The owner's account of what gateways may still go by, step by step.

use marblecroft_control_messages::published::Stamp;
use marblecroft_control_messages::report::{AppliedDecisions, Report};
use marblecroft_fair_share::allocator::{ShareAllocator, SLACK};
use marblecroft_fair_share::demand_curve::{first_points, sample, LocalFirm};
use std::time::Duration;

const VALID: Duration = Duration::from_secs(5);
const SHRINK: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(gateway: u32, number: u64, asks: f64, applied: Stamp) -> Report {
    Report {
        gateway,
        incarnation: 1,
        sequence: number,
        zone: "hall-a".to_owned(),
        span_ms: 1000,
        requested_units: asks,
        zones: Vec::new(),
        demand: sample(&[LocalFirm { demand: asks, weight: 1.0 }], &first_points()),
        applied_decisions: AppliedDecisions { shares: applied, ..AppliedDecisions::default() },
    }
}

/// Two gateways swap their demands. One of them goes on by its old, larger grant: the other gets what is free and no more, until the
/// first says that it goes by the smaller one.
#[test]
fn a_grant_rises_only_after_another_gateway_applies_its_smaller_one() {
    let mut allocator = ShareAllocator::new(at(0), VALID, SHRINK, at(1000), None);
    allocator.set_capacity(100.0);
    let (mut stamp, mut number) = (Stamp { token: 1, revision: 0 }, 0);
    let mut round = |allocator: &mut ShareAllocator, now: u64, asks: [f64; 2], applied: [Stamp; 2]| {
        number += 1;
        for gateway in 0..2 {
            let report_now = report(gateway as u32, number, asks[gateway], applied[gateway]);
            allocator.handle_report(at(now), &report_now).expect("well formed");
        }
        let next = Stamp { revision: stamp.revision + 1, ..stamp };
        let decided = allocator.decide(at(now), next);
        if decided.is_some() {
            stamp = next;
        }
        (decided, stamp)
    };
    let mut newest = (None, Stamp::default());
    for second in 0..6 {
        let before = newest.1;
        let now = round(&mut allocator, second * 1000, [150.0, 20.0], [before; 2]);
        newest = (now.0.or(newest.0), now.1);
    }
    let first = newest.0.clone().expect("decided");
    let old = first.grant(0).expect("named");
    assert!((79.0..=85.0).contains(&old), "{first:?}");
    let stale = newest.1;
    for second in 6..10 {
        let (decided, now) = round(&mut allocator, second * 1000, [20.0, 150.0], [stale, newest.1]);
        if let Some(decided) = decided {
            let sum = old + decided.grant(1).expect("named");
            assert!(
                sum <= 100.0 * (1.0 + SLACK) + 0.01,
                "second {second}: {sum} while the first goes by {old}"
            );
            newest = (Some(decided), now);
        }
    }
    // It has read the newest: now the other rises to what is left.
    for second in 10..14 {
        let (decided, now) = round(&mut allocator, second * 1000, [20.0, 150.0], [newest.1; 2]);
        newest = (decided.or(newest.0), now);
    }
    let last = newest.0.expect("decided");
    assert!(last.grant(1).is_some_and(|units| units > 78.0), "{last:?}");
}

/// A gateway that is not heard keeps its grant until its decision must have lapsed, then shrinks, and is given up after a minute.
#[test]
fn the_grant_of_an_unreachable_gateway_stays_reserved_until_the_gateway_counts_as_departed() {
    let mut allocator = ShareAllocator::new(at(0), VALID, SHRINK, at(1000), None);
    allocator.set_capacity(100.0);
    let mut stamp = Stamp { token: 1, revision: 0 };
    let mut grant = (0.0, 0.0);
    let mut seen = Vec::new();
    for second in 0..90 {
        for gateway in 0..2 {
            if gateway == 0 || second < 6 {
                // While both are heard the first asks for little, so that the other has far more than its equal part.
                let asks = if gateway == 0 && second < 6 { 10.0 } else { 150.0 };
                let report_now = report(gateway, second + 1, asks, stamp);
                allocator.handle_report(at(second * 1000), &report_now).expect("well formed");
            }
        }
        let next = Stamp { revision: stamp.revision + 1, ..stamp };
        if let Some(decided) = allocator.decide(at(second * 1000), next) {
            stamp = next;
            grant = (decided.grant(0).unwrap_or(0.0), decided.grant(1).unwrap_or(grant.1));
        }
        seen.push(grant);
    }
    let (kept, of_it) = (seen[5].1, seen[14].0);
    assert!((85.0..=95.0).contains(&kept), "{kept}");
    // Heard last in second 5 and named last 5 s later; what was named then lapses within 5.5 s more.
    assert!(of_it <= 100.0 * (1.0 + SLACK) - kept + 0.01, "second 14: {of_it} beside {kept}");
    // Then it shrinks to its equal part, which stays its own for as long as it may live.
    assert!((49.0..=55.0).contains(&seen[40].0), "second 40: {}", seen[40].0);
    assert!(seen[89].0 > 95.0, "a minute later it is taken for gone: {}", seen[89].0);
}
