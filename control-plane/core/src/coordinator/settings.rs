//! Settings of a coordinator.

use std::net::SocketAddr;
use std::time::Duration;

/// Deployment settings of a coordinator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Address at which other processes call this one.
    pub address: SocketAddr,
    /// Addresses at which to look for other coordinators.
    pub seeds: Vec<SocketAddr>,
    /// Port of the operator's API, the same on all machines; `None` if the API is not served.
    pub operator_port: Option<u16>,
    /// Number of machines with a disk whose simultaneous loss is tolerated (f).
    pub tolerated_machines: usize,
    /// Time from SIGTERM to SIGKILL.
    pub grace_period: Duration,
    /// Whether the platform provides a list of servers.
    pub reads_server_list: bool,
    /// Whether this machine has a disk. A coordinator without a disk redirects callers to the members. It is
    /// a member only if it belongs to the founding view, and only until other members hold the state.
    pub is_durable: bool,
    /// Random number that every process draws when it starts.
    pub session: u64,
}
