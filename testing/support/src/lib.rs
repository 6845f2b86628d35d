//! What tests of several programs share.
#![forbid(unsafe_code)]

pub mod conformance;

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};

/// A port that the system gave, and that it gives nobody else while this lives: a program is told it before it starts, and comes
/// back to it. The socket behind it is bound and never listens, so whoever calls while the program is away is refused. A port that
/// was let go instead was now and then some other program's by the time it was used (a page of metrics, a caller's own side).
pub struct Port {
    pub addr: SocketAddr,
    _socket: Socket,
}

impl Port {
    pub fn held() -> Port {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
        // The program may bind it beside this one, as all of ours set the same and this one does not listen.
        socket.set_reuse_address(true).expect("an option");
        socket.bind(&SockAddr::from(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))).expect("a port");
        let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("bound");
        Port { addr, _socket: socket }
    }
}

#[cfg(test)]
mod tests {
    use super::Port;
    use std::net::{TcpListener, TcpStream};

    /// Whoever asks the system for a port has another one, nobody answers there, and the program that it is for can listen.
    #[test]
    fn a_held_port_is_nobody_elses_and_can_be_listened_at() {
        let port = Port::held();
        assert!(TcpStream::connect(port.addr).is_err(), "nobody listens");
        let others: Vec<TcpListener> =
            (0..500).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        assert!(others.iter().all(|other| other.local_addr().expect("bound") != port.addr));
        let program = TcpListener::bind(port.addr).expect("it is held for it");
        assert!(TcpStream::connect(port.addr).is_ok());
        drop(program);
        assert!(TcpStream::connect(port.addr).is_err(), "it is held still");
    }
}
