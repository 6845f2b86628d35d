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
    /// Where its process takes calls of other processes.
    pub address: SocketAddr,
    /// Its role and number, for the log.
    pub name: String,
    /// What it runs.
    pub role: Role,
    /// Its disk, which outlives its processes.
    pub disk: Disk,
    /// Whether the disk keeps data when the process ends.
    pub has_disk: bool,
    pub(super) running: Option<RunningProcess>,
    /// Whether power is off: calls get no response, not even a reset.
    pub powered_off: bool,
    /// Whether the process is suspended.
    pub frozen: bool,
    /// Whether it was removed for good.
    pub removed: bool,
    /// Whether it has started before: only the first start founds a chain.
    pub(super) started_before: bool,
    /// The instant from which it no longer counts as lost.
    pub counts_as_lost_until: Duration,
    /// Speed of the monotonic clocks of its processes against virtual time.
    pub(super) clock_rate: f64,
}
