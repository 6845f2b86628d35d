//! The messages between processes of the serving tier.
//!
//! [`coordinator`] and [`store`] contain the requests and replies of the two replicated services; they are
//! carried by `marblecroft-rpc`. [`servers`] is the list of model servers, as the platform's API returns it
//! and as coordinators pass it on. [`load`] is the datagram that gateways of one zone exchange. The functions
//! here derive the addresses on which processes call each other: internal ports are the same on all machines.
#![forbid(unsafe_code)]

pub mod coordinator;
pub mod load;
pub mod servers;
pub mod store;

use marblecroft_settings::PortRange;
use std::net::{IpAddr, SocketAddr};

/// Returns the internal address of the coordinator on a seed's machine. `seed` is the address of its operator API.
pub fn coordinator_address(seed: SocketAddr, ephemeral_ports: PortRange) -> SocketAddr {
    internal_address(seed.ip(), ephemeral_ports)
}

/// Returns the address on which the coordinator or store of a machine is called by other processes.
pub fn internal_address(ip: IpAddr, ephemeral_ports: PortRange) -> SocketAddr {
    SocketAddr::new(ip, ephemeral_ports.first)
}

/// Returns the address on which the gateway of a machine receives the load datagrams of other gateways.
pub fn load_address(ip: IpAddr, ephemeral_ports: PortRange) -> SocketAddr {
    SocketAddr::new(ip, ephemeral_ports.last)
}
