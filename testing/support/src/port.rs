//! Ports for the programs that tests start.

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};

/// A free port, reserved until this is dropped.
///
/// A program can be told the port before it starts, and can come back to it after a restart: the system gives it to no one
/// else. The socket that reserves it is bound but does not listen, so a connection is refused while the program is away. A
/// port that was released instead would now and then be another program's by the time it is used.
pub struct Port {
    /// The address, on the loopback interface.
    pub addr: SocketAddr,
    _socket: Socket,
}

impl Port {
    /// Reserves a port that the system chooses.
    ///
    /// # Panics
    ///
    /// Panics if the system has no free port.
    pub fn held() -> Port {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
        // Lets the program bind the port beside this socket, which does not listen; all programs here set the same option.
        socket.set_reuse_address(true).expect("an option");
        socket.bind(&SockAddr::from(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))).expect("a port");
        let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("bound");
        Port { addr, _socket: socket }
    }
}

#[cfg(test)]
mod tests;
