//! Addresses that tell who calls.
//!
//! On one machine all processes come from the same address, so the address that is *called* tells them apart: each gateway
//! knows every stand-in by an address of its own (its view), on the stand-in's port. One listener for each stand-in, on all
//! addresses of the loopback device alone, hears them all, and the accepted socket's own address names the caller.

use crate::endpoint::End;
use socket2::{Domain, Protocol, SockAddr, SockFilter, SockRef, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// Pay servers register under this address; it is replaced by the reader's view, which is as long.
pub const REGISTERED: Ipv4Addr = Ipv4Addr::new(127, 100, 100, 100);

/// All parts have three digits, so that addresses are of one length.
fn numbered(block: u8, index: u16) -> Ipv4Addr {
    Ipv4Addr::new(127, block, 100 + (index / 100) as u8, 100 + (index % 100) as u8)
}

/// By which address this process knows the stand-ins.
pub fn view(end: End) -> Ipv4Addr {
    match end {
        End::Gateway(i) => numbered(101, i),
        End::ListService(i) => numbered(104, i),
        End::Candidate(i) => numbered(105, i),
        End::Coordinator(i) => numbered(106, i),
        End::Controller(i) => numbered(110, i),
        End::Cell(i) => numbered(112, i),
        End::Clients | End::Counter | End::PayServer(_) => numbered(109, 0),
    }
}

/// Where this process listens; the system gives the port.
pub fn own(end: End) -> Ipv4Addr {
    match end {
        End::Gateway(i) => numbered(102, i),
        End::ListService(i) => numbered(103, i),
        End::Coordinator(i) => numbered(107, i),
        End::Controller(i) => numbered(111, i),
        End::Clients | End::Counter | End::PayServer(_) | End::Candidate(_) | End::Cell(_) => {
            Ipv4Addr::LOCALHOST
        }
    }
}

/// Who calls by this address.
pub fn caller(view: IpAddr) -> Option<End> {
    let IpAddr::V4(view) = view else { return None };
    let [127, block, high @ 100..=199, low @ 100..=199] = view.octets() else { return None };
    let index = u16::from(high - 100) * 100 + u16::from(low - 100);
    match block {
        101 => Some(End::Gateway(index)),
        104 => Some(End::ListService(index)),
        105 => Some(End::Candidate(index)),
        106 => Some(End::Coordinator(index)),
        110 => Some(End::Controller(index)),
        112 => Some(End::Cell(index)),
        109 => Some(End::Clients),
        _ => None,
    }
}

/// A listener on all addresses of the loopback device, and on no other device.
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

/// Where the destination stands in an IPv4 packet that a socket filter sees.
const DESTINATION: u32 = 0xfff0_0000 + 16;
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Lets no connection by these callers come up: what they send to open one is dropped by the system, as on a wire that is
/// cut. Open connections have the filter of the time of their opening, which lets them pass.
pub fn shut_out(listener: &TcpListener, callers: &[Ipv4Addr]) -> io::Result<()> {
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, DESTINATION)];
    for caller in callers {
        filter.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*caller)));
        filter.push(SockFilter::new(RETURN, 0, 0, 0));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    SockRef::from(listener).attach_filter(&filter)
}
