//! The parameters of one member's failure detector.

use crate::record::Name;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A reading of the caller's monotonic clock, as the time since an arbitrary origin.
pub type Now = Duration;

/// The parameters of one member's failure detector. None has a default.
#[derive(Clone, Debug)]
pub struct Config {
    /// This member's name, unique in the cluster.
    pub name: Name,
    /// The address at which this member receives datagrams.
    pub addr: SocketAddrV4,
    /// The zone in which this member runs; empty if unknown.
    pub zone: Name,
    /// The addresses of members through which this one joins. Any of them may be down.
    pub seeds: Vec<SocketAddrV4>,
    /// The protocol period (SWIM: T').
    pub period: Duration,
    /// The expected number of members in the cluster, including this one.
    pub expected: u32,
    /// The share of the expected members, from 0 to 1, that must be present for the view to be sufficient.
    pub min_share: f64,
}
