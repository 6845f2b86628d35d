//! The harness relays datagrams between processes: each process receives datagrams from the public addresses
//! of the others, and a one-way cut applies in its direction only.

use marblecroft_fault_injection::deployment::{Deployment, DrawnFault};
use marblecroft_fault_injection::endpoint::Endpoint;
use marblecroft_fault_injection::harness::datagrams::Datagrams;
use marblecroft_fault_injection::harness::RunContext;
use marblecroft_fault_injection::history::Writer;
use marblecroft_fault_injection::scenario::{FaultKind, Scenario};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Registers a process with a new socket, and returns the socket and the public address.
async fn process(
    datagrams: &Rc<Datagrams>,
    context: &Rc<RunContext>,
    endpoint: Endpoint,
) -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let public = datagrams
        .register(context, endpoint, socket.local_addr().expect("the socket is bound"))
        .await
        .expect("the process is registered");
    (socket, public)
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let (n, from) = timeout(RECEIVE_TIMEOUT, socket.recv_from(&mut buffer))
        .await
        .expect("a datagram arrives in time")
        .expect("the socket is readable");
    (buffer[..n].to_vec(), from)
}

#[test]
fn datagrams_pass_between_public_addresses_and_cuts_have_directions() {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(options);
    runtime.expect("the runtime starts").block_on(async {
        let scenario = Scenario::default();
        let deployment = Deployment::draw(&scenario, 1).expect("the deployment can be drawn");
        let history = Writer::new(File::create("/dev/null").expect("/dev/null is writable"))
            .expect("the header is written");
        let context = RunContext::new(scenario, deployment, 1, history);
        let datagrams = Rc::new(Datagrams::default());
        let (a, a_public) = process(&datagrams, &context, Endpoint::Gateway(0)).await;
        let (b, b_public) = process(&datagrams, &context, Endpoint::Gateway(1)).await;
        a.send_to(b"one", b_public).await.expect("the datagram is sent");
        assert_eq!(receive(&b).await, (b"one".to_vec(), a_public));

        let cut = DrawnFault {
            kind: FaultKind::Cut,
            at: 0,
            until: None,
            victims: vec![Endpoint::Gateway(1)],
            owner: None,
            from_owner: None,
            from: vec![Endpoint::Gateway(0)],
            one_way: true,
            reset: false,
            delay: 0,
            jitter: 0,
            probability: 0.0,
        };
        context.change_link_faults(|link_faults| link_faults.begin(0, &cut));
        a.send_to(b"lost", b_public).await.expect("the datagram is sent");
        b.send_to(b"two", a_public).await.expect("the datagram is sent");
        assert_eq!(receive(&a).await, (b"two".to_vec(), b_public), "the other direction is open");
        // The datagram that was sent during the cut has already been forwarded or dropped.
        context.change_link_faults(|link_faults| link_faults.end(0));
        let unknown_sender = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        unknown_sender.send_to(b"strange", b_public).await.expect("the datagram is sent");
        a.send_to(b"three", b_public).await.expect("the datagram is sent");
        assert_eq!(
            receive(&b).await,
            (b"three".to_vec(), a_public),
            "neither the dropped datagram nor that of an unknown sender"
        );

        // The process restarts on another port and keeps its public address.
        let (restarted, public_again) = process(&datagrams, &context, Endpoint::Gateway(1)).await;
        assert_eq!(public_again, b_public);
        a.send_to(b"four", b_public).await.expect("the datagram is sent");
        assert_eq!(receive(&restarted).await.0, b"four");
    });
}
