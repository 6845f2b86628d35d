//! The settings of a store.

use std::net::SocketAddr;
use std::time::Duration;

/// What a store knows about its deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Where other processes call this one.
    pub address: SocketAddr,
    /// Where coordinators may be found.
    pub coordinators: Vec<SocketAddr>,
    /// Machines with a disk that may be lost at once.
    pub tolerated_machines: usize,
    /// How long results stay readable after a job was submitted.
    pub result_retention: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace_period: Duration,
    /// Drawn at random by every process when it starts.
    pub session: u64,
}
