//! The calls that processes of the serving tier answer each other, as typed messages.
#![forbid(unsafe_code)]

pub mod coordinator;
pub mod load;
pub mod servers;
pub mod store;

use std::net::{IpAddr, SocketAddr};

/// Where the coordinator on the machine of a seed is called: the seed names its operator's API, and internal ports are the
/// same on all machines.
pub fn coordinator_address(seed: SocketAddr, ephemeral_ports: (u16, u16)) -> SocketAddr {
    internal_address(seed.ip(), ephemeral_ports)
}

/// Where a coordinator or store on a machine is called by other processes.
pub fn internal_address(ip: IpAddr, ephemeral_ports: (u16, u16)) -> SocketAddr {
    SocketAddr::new(ip, ephemeral_ports.0)
}

/// Where a gateway is told by datagrams what other gateways have at the servers.
pub fn load_address(ip: IpAddr, ephemeral_ports: (u16, u16)) -> SocketAddr {
    SocketAddr::new(ip, ephemeral_ports.1)
}
