//! Values that processes of different versions must derive identically: the identities of founders and of
//! other members, and the digest of a set of peers.

use marblecroft_batch_state::BatchState;
use marblecroft_chain_replication::storage::NullStorage;
use marblecroft_control_plane_core::gateways::GatewayDirectory;
use marblecroft_control_plane_core::member::{founding_view, open};
use marblecroft_protocol::store::{GatewayLoad, WorkRequest};
use marblecroft_wal::Recovered;
use std::net::SocketAddr;
use std::time::Duration;

fn work(number: u8) -> WorkRequest {
    WorkRequest {
        gateway: format!("gateway-{number}"),
        running: Vec::new(),
        finished: Vec::new(),
        capacity: 0,
        load: GatewayLoad::default(),
        zone: "a".to_owned(),
        load_address: SocketAddr::from(([10, 0, 0, number], 7735)),
        peers_digest: 0,
        zone_loads: Vec::new(),
    }
}

#[test]
fn the_digest_of_peers_is_stable() {
    let mut gateways = GatewayDirectory::default();
    let none = gateways.peers_of("gateway-1", "a", 0).expect("the digest is not 0");
    (1..=3).for_each(|number| gateways.record_work_request(Duration::ZERO, &work(number)));
    let three = gateways.peers_of("gateway-1", "a", 0).expect("the digest is not 0");
    assert_eq!((none.digest, three.digest), (14_695_981_039_346_656_037, 17_606_688_759_347_557_830));
}

#[test]
fn identities_of_members_are_stable() {
    let seeds = [(1, 7700), (2, 7701)].map(|(last, port)| SocketAddr::from(([10, 9, 8, last], port)));
    let address_of = |seed: SocketAddr| SocketAddr::new(seed.ip(), 7800);
    let (identity, view) = founding_view(seeds[1], &seeds, address_of).expect("the process is a founder");
    assert_eq!(identity, 0x0a09_0802_1e15);
    let members: Vec<_> = view.members.iter().map(|member| (member.identity, member.address)).collect();
    let expected = [(0x0a09_0801_1e14, address_of(seeds[0])), (0x0a09_0802_1e15, address_of(seeds[1]))];
    assert_eq!(members, expected);
    assert_eq!((view.number, &view.voters), (1, &view.members));
    let opened =
        open::<BatchState, _>(NullStorage, Recovered::default(), 0x1234, None).expect("the replica opens");
    assert_eq!(opened.identity(), 0x8000_0000_0000_1234);
}
