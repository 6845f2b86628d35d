//! Zones that are decided in common: what the choice of server makes of it. Servers of even numbers stand in zone 0, the
//! gateway's own; those of odd ones in zone 1.

mod common;

use common::*;
use marblecroft_quota_gateway_core::*;

fn door() -> Door {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)], vec![roomy()]);
    settings.gateways = 1;
    settings.cross_zone_price = 0.01;
    Door::new(settings, 8)
}

fn share(zone: u32, share: f64, most: f64) -> ZoneShare {
    ZoneShare { zone, share, max_rate: most }
}

/// How many of so many requests, 10 ms apart, go to zone 1; and how many are refused.
fn abroad(door: &mut Door, count: u32) -> (u32, u32) {
    let (mut abroad, mut refused) = (0, 0);
    for _ in 0..count {
        match door.serve(0, 0, 1, 10) {
            Some(server) => abroad += server.0 % 2,
            None => refused += 1,
        }
    }
    (abroad, refused)
}

#[test]
fn first_attempts_follow_the_zone_shares() {
    let mut door = door();
    let (alone, refused) = abroad(&mut door, 200);
    assert!(alone < 20 && refused == 0, "alone it stays at home: {alone}");
    door.event(Event::ZoneShares(vec![share(0, 0.9, f64::INFINITY), share(1, 0.1, 1000.0)]));
    assert_eq!(abroad(&mut door, 200), (20, 0));
    // Another decision, and then none.
    door.event(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 1000.0)]));
    assert_eq!(abroad(&mut door, 200), (200, 0));
    door.event(Event::ZoneShares(Vec::new()));
    let (alone, refused) = abroad(&mut door, 200);
    assert!(alone < 20 && refused == 0, "as before: {alone}");
}

/// A jump in demand takes no more to another zone than its bound, and what nobody bears is refused at once.
#[test]
fn cross_zone_requests_keep_their_rate() {
    let mut door = door();
    door.event(Event::ZoneShares(vec![share(0, 0.5, f64::INFINITY), share(1, 0.5, 10.0)]));
    let (abroad_in_two_seconds, refused) = abroad(&mut door, 200);
    assert!((18..=22).contains(&abroad_in_two_seconds) && refused == 0, "{abroad_in_two_seconds}");
    door.event(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 10.0)]));
    let (abroad, refused) = abroad(&mut door, 200);
    assert!((18..=32).contains(&abroad) && refused == 200 - abroad, "{abroad}, {refused} refused");
}

#[test]
fn a_retry_goes_to_no_failed_over_zone_and_an_empty_zone_holds_nothing_up() {
    let mut door = door();
    abroad(&mut door, 100);
    door.event(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 1000.0)]));
    for _ in 0..20 {
        let (id, actions) = door.request(0, 0, 1);
        assert_eq!(sent(&actions).map(|server| server.0 % 2), Some(1));
        let again = door.settle(id, 0, Status::ConnectFailed, 1);
        assert_eq!(sent(&again).map(|server| server.0 % 2), Some(1));
        door.settle(id, 1, Status::Ok, 1);
        door.pass(100);
    }
    // The list has nothing there any more, and the decision is older than that.
    door.event(Event::ZoneShares(vec![share(0, 0.5, f64::INFINITY), share(1, 0.5, 1000.0)]));
    door.list(Scope::Full, (0..8).step_by(2).map(server).collect());
    assert_eq!(abroad(&mut door, 100), (0, 0));
}
