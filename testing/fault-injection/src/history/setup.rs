//! The facts about a run that the checkers need before its first event.

use crate::deployment::{DrawnFault, Nanos, Quota};
use serde::{Deserialize, Serialize};

/// Facts about a run that the checkers need before the first event.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Setup {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Text of the scenario file.
    pub text: String,
    /// The latency target in nanoseconds.
    pub latency_target: Nanos,
    /// The deadline of a request in nanoseconds.
    pub deadline: Nanos,
    /// The duration of the load in nanoseconds.
    pub duration: Nanos,
    /// Number of gateways.
    pub gateways: u16,
    /// The quotas of the plans.
    pub quotas: Vec<Quota>,
    /// Index of each customer's plan in `quotas`.
    pub plans: Vec<u8>,
    /// Number of processes of the discovery service.
    pub discovery_processes: u16,
    /// Number of coordinators.
    pub coordinators: u16,
    /// The zones; gateways and pay servers are assigned to them round-robin.
    pub zones: Vec<String>,
    /// Number of controllers.
    pub controllers: u16,
    /// Whether the controllers decide fair shares for the firms.
    pub shares: bool,
    /// When demand shifts to other firms and gateways, in nanoseconds after the start of the load; `None` if
    /// never.
    pub demand_shift_at: Option<Nanos>,
    /// Whether the controllers decide a shard map.
    pub shard_map: bool,
    /// Whether cells reject writes under older epochs.
    pub fencing: bool,
    /// The cell of each pay server.
    pub cells: Vec<u16>,
    /// The firm id of each customer; shards are ranges of firm ids.
    pub firms: Vec<u64>,
    /// The faults, with the processes that each one affects.
    pub faults: Vec<DrawnFault>,
    /// Start of the load; fault times are relative to it.
    pub load_from: Nanos,
    /// Wall-clock time at the start of the history, as Unix time in us. It aligns the history with the log
    /// lines of processes, which carry wall-clock times; no check depends on it.
    pub unix_us: u64,
}
