//! Server selection under zone shares that are decided centrally. Servers with even ids are in zone 0, the
//! gateway's own; those with odd ids are in zone 1.

mod common;

use common::*;
use marblecroft_quota_gateway_core::*;

fn harness() -> Harness {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)], vec![unlimited_plan()]);
    settings.gateways = 1;
    settings.cross_zone_price = 0.01;
    Harness::new(settings, 8)
}

fn share(zone: u32, share: f64, max_rate: f64) -> ZoneShare {
    ZoneShare { zone, share, max_rate }
}

/// Sends `count` requests, 10 ms apart. Returns how many go to zone 1 and how many are rejected.
fn send_requests(harness: &mut Harness, count: u32) -> (u32, u32) {
    let (mut remote, mut rejected) = (0, 0);
    for _ in 0..count {
        match harness.serve(0, 0, 1, 10) {
            Some(server) => remote += server.0 % 2,
            None => rejected += 1,
        }
    }
    (remote, rejected)
}

#[test]
fn first_attempts_follow_the_zone_shares() {
    let mut harness = harness();
    let (remote, rejected) = send_requests(&mut harness, 200);
    assert!(remote < 20 && rejected == 0, "without shares, requests stay in the gateway's zone: {remote}");
    harness.handle(Event::ZoneShares(vec![share(0, 0.9, f64::INFINITY), share(1, 0.1, 1000.0)]));
    assert_eq!(send_requests(&mut harness, 200), (20, 0));
    // Other shares, and then none.
    harness.handle(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 1000.0)]));
    assert_eq!(send_requests(&mut harness, 200), (200, 0));
    harness.handle(Event::ZoneShares(Vec::new()));
    let (remote, rejected) = send_requests(&mut harness, 200);
    assert!(remote < 20 && rejected == 0, "without shares again: {remote}");
}

/// The rate limit of another zone holds when demand rises, and requests that no zone can take are rejected at
/// once.
#[test]
fn cross_zone_requests_stay_within_their_rate_limit() {
    let mut harness = harness();
    harness.handle(Event::ZoneShares(vec![share(0, 0.5, f64::INFINITY), share(1, 0.5, 10.0)]));
    let (remote_in_two_seconds, rejected) = send_requests(&mut harness, 200);
    assert!((18..=22).contains(&remote_in_two_seconds) && rejected == 0, "{remote_in_two_seconds}");
    harness.handle(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 10.0)]));
    let (remote, rejected) = send_requests(&mut harness, 200);
    assert!((18..=32).contains(&remote) && rejected == 200 - remote, "{remote}, {rejected} rejected");
}

#[test]
fn retries_avoid_closed_zones_and_a_zone_without_servers_blocks_no_requests() {
    let mut harness = harness();
    send_requests(&mut harness, 100);
    harness.handle(Event::ZoneShares(vec![share(0, 0.0, f64::INFINITY), share(1, 1.0, 1000.0)]));
    for _ in 0..20 {
        let (id, actions) = harness.request(0, 0, 1);
        assert_eq!(sent_to(&actions).map(|server| server.0 % 2), Some(1));
        let again = harness.finish_attempt(id, 0, Status::ConnectFailed, 1);
        assert_eq!(sent_to(&again).map(|server| server.0 % 2), Some(1));
        harness.finish_attempt(id, 1, Status::Ok, 1);
        harness.advance(100);
    }
    // Zone 1 has no servers any more, but the shares are older than that list.
    harness.handle(Event::ZoneShares(vec![share(0, 0.5, f64::INFINITY), share(1, 0.5, 1000.0)]));
    harness.update_servers(Scope::Full, (0..8).step_by(2).map(server).collect());
    assert_eq!(send_requests(&mut harness, 100), (0, 0));
}
