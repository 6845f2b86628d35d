//! Ports for the programs that tests start.

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};

/// A free TCP port, reserved until this value is dropped.
///
/// A test can pass the port to a program before it starts, and the program can bind it again after a restart:
/// the operating system assigns it to no other socket. The reserving socket is bound but does not listen, so
/// connections are refused while the program is not running. If the port were released instead, another
/// program could sometimes be assigned it before it is used.
pub struct Port {
    /// The address, on the loopback interface.
    pub addr: SocketAddr,
    _socket: Socket,
}

impl Port {
    /// Reserves a port chosen by the operating system.
    ///
    /// # Panics
    ///
    /// Panics if the system has no free port.
    pub fn reserve() -> Port {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("create a socket");
        // SO_REUSEADDR lets the program bind the port beside this socket, which does not listen. All programs
        // that tests start set the option as well.
        socket.set_reuse_address(true).expect("set SO_REUSEADDR");
        socket.bind(&SockAddr::from(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))).expect("bind a free port");
        let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("address of the socket");
        Port { addr, _socket: socket }
    }
}

#[cfg(test)]
mod tests;
