//! A machine: its address, its disk and the process that runs on it.

use super::process::RunningProcess;
use crate::disk::Disk;
use std::net::SocketAddr;
use std::time::Duration;

/// The program that a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A coordinator.
    Coordinator,
    /// A store.
    Store,
}

/// A machine with its disk.
pub struct Machine {
    /// Address at which its process takes calls of other processes.
    pub address: SocketAddr,
    /// Its role and number, used in the log and as the node name of its process.
    pub name: String,
    /// The program that it runs.
    pub role: Role,
    /// The storage of its process.
    pub disk: Disk,
    /// Whether it has a disk. Without one, all data is erased before its process starts.
    pub has_disk: bool,
    pub(super) running: Option<RunningProcess>,
    /// Whether power is off: calls get no response, not even a reset.
    pub powered_off: bool,
    /// Whether the process is suspended.
    pub frozen: bool,
    /// Whether it was removed permanently.
    pub removed: bool,
    /// Whether its process was started before; only the first start may found a chain.
    pub(super) started_before: bool,
    /// Instant from which it no longer counts as lost.
    pub counts_as_lost_until: Duration,
    /// Speed of the monotonic clocks of its processes relative to virtual time.
    pub(super) clock_rate: f64,
}
