//! The head of the stores sends gateways of one zone each other's addresses.

use marblecroft_control_plane_core::gateways::{GatewayDirectory, MAX_PEERS};
use marblecroft_protocol::load::ZoneLoad;
use marblecroft_protocol::store::{GatewayLoad, WorkRequest};
use std::net::SocketAddr;
use std::time::Duration;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn work(number: u8, zone: &str, in_flight: f32) -> WorkRequest {
    WorkRequest {
        gateway: format!("gateway-{number:03}"),
        running: Vec::new(),
        finished: Vec::new(),
        capacity: 0,
        load: GatewayLoad::default(),
        zone: zone.to_owned(),
        load_address: SocketAddr::from(([10, 0, 0, number], 7735)),
        peers_digest: 0,
        zone_loads: vec![ZoneLoad { zone: "a".to_owned(), in_flight }],
    }
}

#[test]
fn peers_are_sent_once_and_again_when_they_change() {
    let mut gateways = GatewayDirectory::default();
    gateways.record_work_request(at(0), &work(1, "a", 2.0));
    gateways.record_work_request(at(0), &work(2, "a", 3.5));
    gateways.record_work_request(at(0), &work(3, "b", 0.5));
    let peers = gateways.peers_of("gateway-001", "a", 0).expect("the gateway has no peers yet");
    assert_eq!(peers.addresses.len(), 2);
    assert_eq!(gateways.peers_of("gateway-002", "a", peers.digest), None, "the gateway has these peers");
    assert_eq!(gateways.zone_loads(), [ZoneLoad { zone: "a".to_owned(), in_flight: 6.0 }]);
    assert_eq!(gateways.count(), 3);
    gateways.record_work_request(at(4), &work(1, "a", 2.0));
    let remaining =
        gateways.peers_of("gateway-001", "a", peers.digest).expect("the other gateway has expired");
    assert_eq!((remaining.addresses.len(), gateways.count()), (1, 1));
}

#[test]
fn a_large_zone_is_split_into_groups_of_equal_size_that_cover_all_gateways() {
    let mut gateways = GatewayDirectory::default();
    let count = u8::try_from(2 * MAX_PEERS + 2).expect("fits a byte");
    (0..count).for_each(|number| gateways.record_work_request(at(0), &work(number, "a", 0.0)));
    for number in 0..count {
        let peers =
            gateways.peers_of(&format!("gateway-{number:03}"), "a", 0).expect("the gateway has no peers yet");
        assert!((MAX_PEERS / 2..=MAX_PEERS).contains(&peers.addresses.len()), "{}", peers.addresses.len());
        assert!(peers.addresses.contains(&SocketAddr::from(([10, 0, 0, number], 7735))));
    }
}
