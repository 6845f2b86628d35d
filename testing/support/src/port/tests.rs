use super::Port;
use std::net::{TcpListener, TcpStream};

/// Checks that the system assigns the port to no other listener, that connections to it are refused, and that
/// a program can listen on it.
#[test]
fn a_reserved_port_is_not_assigned_again_and_can_be_listened_on() {
    let port = Port::reserve();
    assert!(TcpStream::connect(port.addr).is_err(), "connection accepted before a program listens");
    let others: Vec<TcpListener> =
        (0..500).map(|_| TcpListener::bind("127.0.0.1:0").expect("bind a free port")).collect();
    assert!(others.iter().all(|other| other.local_addr().expect("local address") != port.addr));
    let program = TcpListener::bind(port.addr).expect("bind the reserved port");
    assert!(TcpStream::connect(port.addr).is_ok());
    drop(program);
    assert!(TcpStream::connect(port.addr).is_err(), "connection accepted after the program stopped");
}
