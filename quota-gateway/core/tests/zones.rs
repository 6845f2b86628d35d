//! Zones that are decided in common: what the choice of server makes of it. Servers of even numbers stand in zone 0, the
//! gateway's own; those of odd ones in zone 1.

mod common;

use common::*;
use marblecroft_quota_gateway_core::*;

fn harness() -> Harness {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)], vec![unlimited_plan()]);
    settings.gateways = 1;
    settings.cross_zone_price = 0.01;
    Harness::new(settings, 8)
}

fn share(zone: u32, share: f64, most: f64) -> ZoneShare {
    ZoneShare { zone, share, max_rate: most }
}

/// How many of so many requests, 10 ms apart, go to zone 1; and how many are refused.
fn abroad(harness: &mut Harness, count: u32) -> (u32, u32) {
    let (mut abroad, mut refused) = (0, 0);
    for _ in 0..count {
        match harness.serve(0, 0, 1, 10) {
            Some(server) => abroad += server.0 % 2,
            None => refused += 1,
        }
    }
    (abroad, refused)
}

#[test]
fn first_attempts_follow_the_zone_shares() {
    let mut harness = harness();
    let (alone, refused) = abroad(&mut harness, 200);
    assert!(alone < 20 && refused == 0, "alone it stays at home: {alone}");
    harness.handle(Event::ZoneShares(vec![share(0, 0.9, f64::INFINITY), share(1, 0.1, 1000.0)]));
    assert_eq!(abroad(&mut harness, 200), (20, 0));
    // Another decision, and then none.
    harness.handle(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 1000.0)]));
    assert_eq!(abroad(&mut harness, 200), (200, 0));
    harness.handle(Event::ZoneShares(Vec::new()));
    let (alone, refused) = abroad(&mut harness, 200);
    assert!(alone < 20 && refused == 0, "as before: {alone}");
}

/// A jump in demand takes no more to another zone than its bound, and what nobody bears is refused at once.
#[test]
fn cross_zone_requests_keep_their_rate() {
    let mut harness = harness();
    harness.handle(Event::ZoneShares(vec![share(0, 0.5, f64::INFINITY), share(1, 0.5, 10.0)]));
    let (abroad_in_two_seconds, refused) = abroad(&mut harness, 200);
    assert!((18..=22).contains(&abroad_in_two_seconds) && refused == 0, "{abroad_in_two_seconds}");
    harness.handle(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 10.0)]));
    let (abroad, refused) = abroad(&mut harness, 200);
    assert!((18..=32).contains(&abroad) && refused == 200 - abroad, "{abroad}, {refused} refused");
}

#[test]
fn a_retry_goes_to_no_failed_over_zone_and_an_empty_zone_holds_nothing_up() {
    let mut harness = harness();
    abroad(&mut harness, 100);
    harness.handle(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 1000.0)]));
    for _ in 0..20 {
        let (id, actions) = harness.request(0, 0, 1);
        assert_eq!(sent_to(&actions).map(|server| server.0 % 2), Some(1));
        let again = harness.finish_attempt(id, 0, Status::ConnectFailed, 1);
        assert_eq!(sent_to(&again).map(|server| server.0 % 2), Some(1));
        harness.finish_attempt(id, 1, Status::Ok, 1);
        harness.advance(100);
    }
    // The list has nothing there any more, and the decision is older than that.
    harness.handle(Event::ZoneShares(vec![share(0, 0.5, f64::INFINITY), share(1, 0.5, 1000.0)]));
    harness.update_servers(Scope::Full, (0..8).step_by(2).map(server).collect());
    assert_eq!(abroad(&mut harness, 100), (0, 0));
}
