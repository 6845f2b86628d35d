//! A gateway's side, step by step: firms' parts by level and grant, and alone.

use marblecroft_control_messages::published::{Decision, DecisionReader, Stamp};
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_fair_share::limiter::{FirmQuota, ShareLimit, ShareLimiter, MAX_FIRMS};
use std::time::Duration;

const QUOTA: FirmQuota =
    FirmQuota { weight: 1.0, local_fraction: 1.0, equal_fraction: 1.0, rate_limit: f64::INFINITY };

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Of 100 units for weights of 10 in all, to a gateway that has a grant of 30.
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

/// Two firms that ask for 40 units a second each, one with three times the weight; what each is sent on in a second.
fn sent(limiter: &mut ShareLimiter, reader: &DecisionReader<ShareDecision>, from: u64) -> [f64; 2] {
    let mut sent = [0.0; 2];
    for step in 0..40 {
        let now = at(from + step * 25);
        for (firm, weight) in [(0, 1.0), (1, 3.0)] {
            // Its whole traffic comes through here, of which an equal part would be a quarter.
            if limiter.request(
                now,
                firm,
                FirmQuota { weight, local_fraction: 1.0, equal_fraction: 0.25, rate_limit: 35.0 },
                1.0,
                false,
            ) {
                limiter.charge(firm, 1.0);
                sent[firm as usize] += 1.0;
            }
        }
        if step % 10 == 0 {
            limiter.apply_decision(now, reader);
        }
    }
    sent
}

fn about(seen: f64, wanted: f64) -> bool {
    (seen - wanted).abs() <= 0.12 * wanted + 1.5
}

#[test]
fn firms_are_limited_by_level_and_grant_and_by_the_equal_share_after_expiry() {
    // By the level: 5 and 15.
    let (mut limiter, by_level) = (ShareLimiter::new(7), reader(5.0, 30.0));
    assert_eq!(
        sent(&mut ShareLimiter::new(7), &DecisionReader::default(), 0),
        [40.0, 40.0],
        "with no decision nobody is bound"
    );
    sent(&mut limiter, &by_level, 0);
    sent(&mut limiter, &by_level, 1000);
    let seen = sent(&mut limiter, &by_level, 2000);
    assert!(about(seen[0], 5.0) && about(seen[1], 15.0), "{seen:?}");
    // By the grant, which is less than the level gives: 8 to share by one to three.
    let (mut limiter, by_grant) = (ShareLimiter::new(7), reader(5.0, 8.0));
    sent(&mut limiter, &by_grant, 0);
    sent(&mut limiter, &by_grant, 1000);
    let seen = sent(&mut limiter, &by_grant, 2000);
    assert!(about(seen[0], 2.0) && about(seen[1], 6.0), "{seen:?}");
    // Alone: from the grant of 30 to its equal part of the firms' least shares, 100 * (1 + 3) / 4 / 10 = 10.
    let (mut limiter, lapsed) = (ShareLimiter::new(7), reader(5.0, 30.0));
    sent(&mut limiter, &lapsed, 3000);
    let mut totals = Vec::new();
    for second in 4..20 {
        totals.push(sent(&mut limiter, &lapsed, second * 1000).iter().sum::<f64>());
        if let ShareLimit::Limited { grant, .. } = limiter.limit() {
            assert!(grant <= 30.0 + 1e-6);
        }
    }
    assert!(about(totals[0], 20.0) && about(totals[15], 10.0), "{totals:?}");
}

/// What is not kept account of has no share of its own where anybody is bound.
#[test]
fn the_number_of_tracked_firms_is_bounded() {
    let mut limiter = ShareLimiter::new(7);
    for firm in 0..MAX_FIRMS as u64 + 100 {
        limiter.request(at(0), firm, QUOTA, 1.0, false);
    }
    assert_eq!(limiter.firm_count(), MAX_FIRMS);
    limiter.apply_decision(at(0), &reader(5.0, 30.0));
    assert!(!limiter.request(at(1), u64::MAX, QUOTA, 1.0, false));
    // Silent for half a minute, all are forgotten.
    limiter.sample_demand(at(31_000));
    assert_eq!(limiter.firm_count(), 0);
}
