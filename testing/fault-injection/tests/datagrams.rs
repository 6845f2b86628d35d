//! Datagrams between processes pass through the lab: each hears the others under their public addresses, and a cut holds in
//! the direction that it names.

use marblecroft_fault_injection::deployment::{Deployment, DrawnFault};
use marblecroft_fault_injection::endpoint::End;
use marblecroft_fault_injection::history::Writer;
use marblecroft_fault_injection::scenario::{FaultKind, Scenario};
use marblecroft_fault_injection::shell::datagrams::Datagrams;
use marblecroft_fault_injection::shell::World;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(20);

/// A process with a socket, and its public address.
async fn process(all: &Rc<Datagrams>, world: &Rc<World>, end: End) -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let public = all.join(world, end, socket.local_addr().expect("bound")).await.expect("joins");
    (socket, public)
}

async fn heard(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let (n, from) = timeout(LONG, socket.recv_from(&mut buffer)).await.expect("in time").expect("received");
    (buffer[..n].to_vec(), from)
}

#[test]
fn datagrams_pass_between_public_addresses_and_cuts_have_directions() {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(options);
    runtime.expect("a runtime").block_on(async {
        let scenario = Scenario::default();
        let deployment = Deployment::draw(&scenario, 1).expect("draws");
        let history = Writer::new(File::create("/dev/null").expect("there")).expect("written");
        let world = World::new(scenario, deployment, 1, history);
        let all = Rc::new(Datagrams::default());
        let (a, a_public) = process(&all, &world, End::Gateway(0)).await;
        let (b, b_public) = process(&all, &world, End::Gateway(1)).await;
        a.send_to(b"one", b_public).await.expect("sent");
        assert_eq!(heard(&b).await, (b"one".to_vec(), a_public));

        let cut = DrawnFault {
            kind: FaultKind::Cut,
            at: 0,
            until: None,
            victims: vec![End::Gateway(1)],
            owner: None,
            from_owner: None,
            from: vec![End::Gateway(0)],
            one_way: true,
            reset: false,
            delay: 0,
            jitter: 0,
            probability: 0.0,
        };
        world.change_rules(|rules| rules.begin(0, &cut));
        a.send_to(b"lost", b_public).await.expect("sent");
        b.send_to(b"two", a_public).await.expect("sent");
        assert_eq!(heard(&a).await, (b"two".to_vec(), b_public), "the other way is open");
        // By now the first has been passed on, or lost.
        world.change_rules(|rules| rules.end(0));
        let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        stranger.send_to(b"strange", b_public).await.expect("sent");
        a.send_to(b"three", b_public).await.expect("sent");
        assert_eq!(heard(&b).await, (b"three".to_vec(), a_public), "neither the lost one nor a stranger's");

        // It starts again at another port, under the same public address.
        let (again, same) = process(&all, &world, End::Gateway(1)).await;
        assert_eq!(same, b_public);
        a.send_to(b"four", b_public).await.expect("sent");
        assert_eq!(heard(&again).await.0, b"four");
    });
}
