//! What the head of the stores tells gateways of each other.

use marblecroft_control_plane_core::gateways::{Gateways, PEERS_MOST};
use marblecroft_protocol::load::ZoneOut;
use marblecroft_protocol::store::{GatewayLoad, WorkRequest};
use std::net::SocketAddr;
use std::time::Duration;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn work(number: u8, zone: &str, out: f32) -> WorkRequest {
    WorkRequest {
        gateway: format!("gateway-{number:03}"),
        running: Vec::new(),
        finished: Vec::new(),
        room: 0,
        load: GatewayLoad::default(),
        zone: zone.to_owned(),
        load_address: SocketAddr::from(([10, 0, 0, number], 7735)),
        peers: 0,
        zones: vec![ZoneOut { zone: "a".to_owned(), out }],
    }
}

#[test]
fn gateways_of_one_zone_are_told_of_each_other_once_and_when_that_changes() {
    let mut gateways = Gateways::default();
    gateways.note(at(0), &work(1, "a", 2.0));
    gateways.note(at(0), &work(2, "a", 3.5));
    gateways.note(at(0), &work(3, "b", 0.5));
    let peers = gateways.peers("gateway-001", "a", 0).expect("new");
    assert_eq!(peers.addresses.len(), 2);
    assert_eq!(gateways.peers("gateway-002", "a", peers.digest), None, "known");
    assert_eq!(gateways.zones(), [ZoneOut { zone: "a".to_owned(), out: 6.0 }]);
    assert_eq!(gateways.count(), 3);
    gateways.note(at(4), &work(1, "a", 2.0));
    let alone = gateways.peers("gateway-001", "a", peers.digest).expect("the other one was not heard of");
    assert_eq!((alone.addresses.len(), gateways.count()), (1, 1));
}

#[test]
fn a_large_zone_has_groups_of_like_size_and_every_gateway_is_in_one() {
    let mut gateways = Gateways::default();
    let most = u8::try_from(2 * PEERS_MOST + 2).expect("a few");
    (0..most).for_each(|number| gateways.note(at(0), &work(number, "a", 0.0)));
    for number in 0..most {
        let peers = gateways.peers(&format!("gateway-{number:03}"), "a", 0).expect("new");
        assert!((PEERS_MOST / 2..=PEERS_MOST).contains(&peers.addresses.len()), "{}", peers.addresses.len());
        assert!(peers.addresses.contains(&SocketAddr::from(([10, 0, 0, number], 7735))));
    }
}
