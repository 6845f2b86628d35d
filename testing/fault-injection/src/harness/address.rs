//! Loopback addresses that identify the caller of a connection.
//!
//! All processes on one machine have the same source address, so the destination address identifies the
//! caller: each caller reaches every stand-in at a loopback address of the caller's own, on the stand-in's
//! port. Each stand-in has one listener on all addresses of the loopback device only, and the local address
//! of an accepted socket identifies the caller.

use crate::endpoint::Endpoint;
use socket2::{Domain, Protocol, SockAddr, SockFilter, SockRef, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// Servers and controllers register under this address. In discovery responses it is replaced by the address
/// for the reader, which has the same length.
pub const REGISTERED: Ipv4Addr = Ipv4Addr::new(127, 100, 100, 100);

/// Returns the address with this number. The last two parts have three digits each, so all addresses of a
/// block have the same length.
fn numbered_addr(block: u8, index: u16) -> Ipv4Addr {
    Ipv4Addr::new(127, block, 100 + (index / 100) as u8, 100 + (index % 100) as u8)
}

/// Returns the address at which an endpoint reaches the stand-ins.
pub fn seen_by(endpoint: Endpoint) -> Ipv4Addr {
    match endpoint {
        Endpoint::Gateway(i) => numbered_addr(101, i),
        Endpoint::DiscoveryService(i) => numbered_addr(104, i),
        Endpoint::Candidate(i) => numbered_addr(105, i),
        Endpoint::Coordinator(i) => numbered_addr(106, i),
        Endpoint::Controller(i) => numbered_addr(110, i),
        Endpoint::Cell(i) => numbered_addr(112, i),
        Endpoint::Clients | Endpoint::Counter | Endpoint::PayServer(_) => numbered_addr(109, 0),
    }
}

/// Returns the address on which an endpoint listens; the operating system assigns the port.
pub fn listen_addr(endpoint: Endpoint) -> Ipv4Addr {
    match endpoint {
        Endpoint::Gateway(i) => numbered_addr(102, i),
        Endpoint::DiscoveryService(i) => numbered_addr(103, i),
        Endpoint::Coordinator(i) => numbered_addr(107, i),
        Endpoint::Controller(i) => numbered_addr(111, i),
        Endpoint::Clients
        | Endpoint::Counter
        | Endpoint::PayServer(_)
        | Endpoint::Candidate(_)
        | Endpoint::Cell(_) => Ipv4Addr::LOCALHOST,
    }
}

/// Returns the caller that uses this address.
pub fn caller_by_addr(addr: IpAddr) -> Option<Endpoint> {
    let IpAddr::V4(addr) = addr else { return None };
    let [127, block, high @ 100..=199, low @ 100..=199] = addr.octets() else { return None };
    let index = u16::from(high - 100) * 100 + u16::from(low - 100);
    match block {
        101 => Some(Endpoint::Gateway(index)),
        104 => Some(Endpoint::DiscoveryService(index)),
        105 => Some(Endpoint::Candidate(index)),
        106 => Some(Endpoint::Coordinator(index)),
        110 => Some(Endpoint::Controller(index)),
        112 => Some(Endpoint::Cell(index)),
        109 => Some(Endpoint::Clients),
        _ => None,
    }
}

/// Opens a listener on all addresses of the loopback device, and on no other device.
pub fn listen() -> io::Result<(TcpListener, u16)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.bind_device(Some(b"lo"))?;
    socket.bind(&SockAddr::from(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))))?;
    socket.listen(4096)?;
    socket.set_nonblocking(true)?;
    let listener = TcpListener::from_std(socket.into())?;
    let port = listener.local_addr()?.port();
    Ok((listener, port))
}

/// Offset of the destination address in an IPv4 packet, for a socket filter.
const DESTINATION_OFFSET: u32 = 0xfff0_0000 + 16;
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Blocks new connections of these callers: the operating system drops their SYN packets, as a cut link
/// would. An open connection keeps the filter of the time when it was opened, so it is not affected.
pub fn block_callers(listener: &TcpListener, callers: &[Ipv4Addr]) -> io::Result<()> {
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, DESTINATION_OFFSET)];
    for caller in callers {
        filter.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*caller)));
        filter.push(SockFilter::new(RETURN, 0, 0, 0));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    SockRef::from(listener).attach_filter(&filter)
}
