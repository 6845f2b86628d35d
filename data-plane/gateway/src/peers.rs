//! The other gateways of the zone, as the stores report them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// The addresses of the zone's gateways, with the digest by which the stores tell whether they have changed.
#[derive(Default)]
pub struct PeerGateways {
    digest: Cell<u64>,
    addresses: RefCell<Vec<SocketAddr>>,
}

impl PeerGateways {
    /// Returns the digest of the addresses that are known; 0 before the first ones.
    pub fn digest(&self) -> u64 {
        self.digest.get()
    }

    /// Replaces the addresses.
    pub fn update(&self, digest: u64, addresses: Vec<SocketAddr>) {
        self.digest.set(digest);
        *self.addresses.borrow_mut() = addresses;
    }

    /// Returns the addresses except `own`, which the stores report to every gateway of the zone.
    pub fn except(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.addresses.borrow().iter().filter(|peer| **peer != own).copied().collect()
    }
}
