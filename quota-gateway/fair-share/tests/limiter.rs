//! The limits of firms at one gateway, by level, by grant, and after the decision has expired.

use marblecroft_control_messages::published::{Decision, DecisionReader, Stamp};
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_fair_share::limiter::{FirmQuota, ShareLimit, ShareLimiter, MAX_FIRMS};
use std::time::Duration;

const QUOTA: FirmQuota =
    FirmQuota { weight: 1.0, local_fraction: 1.0, equal_fraction: 1.0, rate_limit: f64::INFINITY };

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a reader with a decision on a capacity of 100 and a total weight of 10, which grants `grant` to
/// gateway 7.
fn reader(level: f64, grant: f32) -> DecisionReader<ShareDecision> {
    let body = ShareDecision {
        level,
        capacity: 100.0,
        weight: 10.0,
        points: vec![1.0, 10.0],
        grants: vec![(7, grant)],
    };
    let mut reader = DecisionReader::default();
    reader.accept(at(0), Decision { stamp: Stamp { token: 1, revision: 1 }, valid_ms: 5000, body });
    reader
}

/// Lets two firms with weights 1 and 3 request 40 units each within one second, and returns the units
/// admitted for each.
fn admitted_in_second(
    limiter: &mut ShareLimiter,
    reader: &DecisionReader<ShareDecision>,
    from: u64,
) -> [f64; 2] {
    let mut admitted = [0.0; 2];
    for step in 0..40 {
        let now = at(from + step * 25);
        for (firm, weight) in [(0, 1.0), (1, 3.0)] {
            // All traffic of the firm passes through this gateway; spread evenly it would be a quarter.
            if limiter.request(
                now,
                firm,
                FirmQuota { weight, local_fraction: 1.0, equal_fraction: 0.25, rate_limit: 35.0 },
                1.0,
                false,
            ) {
                limiter.charge(firm, 1.0);
                admitted[firm as usize] += 1.0;
            }
        }
        if step % 10 == 0 {
            limiter.apply_decision(now, reader);
        }
    }
    admitted
}

fn is_close(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() <= 0.12 * expected + 1.5
}

#[test]
fn firms_are_limited_by_level_and_grant_and_by_the_equal_share_after_expiry() {
    // Limited by the level: 5 and 15.
    let (mut limiter, by_level) = (ShareLimiter::new(7), reader(5.0, 30.0));
    assert_eq!(
        admitted_in_second(&mut ShareLimiter::new(7), &DecisionReader::default(), 0),
        [40.0, 40.0],
        "without a decision no firm is limited"
    );
    admitted_in_second(&mut limiter, &by_level, 0);
    admitted_in_second(&mut limiter, &by_level, 1000);
    let admitted = admitted_in_second(&mut limiter, &by_level, 2000);
    assert!(is_close(admitted[0], 5.0) && is_close(admitted[1], 15.0), "{admitted:?}");
    // Limited by the grant, which is below the sum at the level: 8 units, shared at a ratio of 1 to 3.
    let (mut limiter, by_grant) = (ShareLimiter::new(7), reader(5.0, 8.0));
    admitted_in_second(&mut limiter, &by_grant, 0);
    admitted_in_second(&mut limiter, &by_grant, 1000);
    let admitted = admitted_in_second(&mut limiter, &by_grant, 2000);
    assert!(is_close(admitted[0], 2.0) && is_close(admitted[1], 6.0), "{admitted:?}");
    // After expiry: the grant of 30 shrinks to the equal share, 100 * (1 + 3) / 4 / 10 = 10.
    let (mut limiter, expired) = (ShareLimiter::new(7), reader(5.0, 30.0));
    admitted_in_second(&mut limiter, &expired, 3000);
    let mut totals = Vec::new();
    for second in 4..20 {
        totals.push(admitted_in_second(&mut limiter, &expired, second * 1000).iter().sum::<f64>());
        if let ShareLimit::Limited { grant, .. } = limiter.limit() {
            assert!(grant <= 30.0 + 1e-6);
        }
    }
    assert!(is_close(totals[0], 20.0) && is_close(totals[15], 10.0), "{totals:?}");
}

/// A firm that is not tracked has no share, so it is rejected while a decision limits firms.
#[test]
fn the_number_of_tracked_firms_is_bounded() {
    let mut limiter = ShareLimiter::new(7);
    for firm in 0..MAX_FIRMS as u64 + 100 {
        limiter.request(at(0), firm, QUOTA, 1.0, false);
    }
    assert_eq!(limiter.firm_count(), MAX_FIRMS);
    limiter.apply_decision(at(0), &reader(5.0, 30.0));
    assert!(!limiter.request(at(1), u64::MAX, QUOTA, 1.0, false));
    // After 31 s without requests no firm is tracked any more.
    limiter.sample_demand(at(31_000));
    assert_eq!(limiter.firm_count(), 0);
}
