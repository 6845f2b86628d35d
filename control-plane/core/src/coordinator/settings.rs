//! The settings of a coordinator.

use std::net::SocketAddr;
use std::time::Duration;

/// What a coordinator knows about its deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Where other processes call this one.
    pub address: SocketAddr,
    /// Where other coordinators may be found.
    pub seeds: Vec<SocketAddr>,
    /// The port of the operator's API, the same on all machines; `None` where there is no such API.
    pub operator_port: Option<u16>,
    /// Machines with a disk that may be lost at once.
    pub tolerated_machines: usize,
    /// Time from SIGTERM to SIGKILL.
    pub grace_period: Duration,
    /// Whether the platform has a list of servers to read.
    pub reads_server_list: bool,
    /// Whether this machine has a disk. A coordinator without one redirects callers to the members, and is a member itself
    /// only as a founder, until others hold the state.
    pub is_durable: bool,
    /// Drawn at random by every process when it starts.
    pub session: u64,
}
