//! Settings of a store.

use std::net::SocketAddr;
use std::time::Duration;

/// Deployment settings of a store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address at which other processes call this one.
    pub address: SocketAddr,
    /// Addresses at which to look for coordinators.
    pub coordinators: Vec<SocketAddr>,
    /// Number of machines with a disk whose simultaneous loss is tolerated (f).
    pub tolerated_machines: usize,
    /// Time after the submission of a job for which its results stay readable.
    pub result_retention: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace_period: Duration,
    /// Random number that every process draws when it starts.
    pub session: u64,
}
