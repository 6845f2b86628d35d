//! The other gateways of the zone, as reported by the stores.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// Addresses of the zone's gateways. The stores use the digest to decide whether the addresses have
/// changed.
#[derive(Default)]
pub struct PeerGateways {
    digest: Cell<u64>,
    addresses: RefCell<Vec<SocketAddr>>,
}

impl PeerGateways {
    /// Returns the digest of the known addresses, or 0 if none have been received yet.
    pub fn digest(&self) -> u64 {
        self.digest.get()
    }

    /// Replaces the addresses.
    pub fn update(&self, digest: u64, addresses: Vec<SocketAddr>) {
        self.digest.set(digest);
        *self.addresses.borrow_mut() = addresses;
    }

    /// Returns all addresses except `local_address`. The stores report the addresses of all gateways
    /// of the zone, including the receiver's.
    pub fn except(&self, local_address: SocketAddr) -> Vec<SocketAddr> {
        self.addresses.borrow().iter().filter(|peer| **peer != local_address).copied().collect()
    }
}
