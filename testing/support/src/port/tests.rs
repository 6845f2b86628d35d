use super::Port;
use std::net::{TcpListener, TcpStream};

/// The system gives the port to no one else, connections to it are refused, and its program can listen on it.
#[test]
fn a_reserved_port_is_given_to_no_one_else_and_can_be_listened_on() {
    let port = Port::held();
    assert!(TcpStream::connect(port.addr).is_err(), "nothing listens");
    let others: Vec<TcpListener> =
        (0..500).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    assert!(others.iter().all(|other| other.local_addr().expect("bound") != port.addr));
    let program = TcpListener::bind(port.addr).expect("it is reserved for it");
    assert!(TcpStream::connect(port.addr).is_ok());
    drop(program);
    assert!(TcpStream::connect(port.addr).is_err(), "it is still reserved");
}
