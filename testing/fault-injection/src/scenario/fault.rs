//! Faults of a scenario.

use super::Target;
use serde::{Deserialize, Serialize};

/// A fault, as the scenario file describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in milliseconds after the start of the load.
    pub at_ms: u64,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The processes that the fault affects.
    pub target: Target,
    /// The share of the target's members that are affected, drawn at random. Without `share` and `count` all
    /// are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// The number of the target's members that are affected, drawn at random.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
    /// For faults of links: the other side of the links; by default all other processes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Target>,
    /// Affects only the direction from `from` to the target.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub one_way: bool,
    /// Duration of the fault in milliseconds; if it is missing, the fault is permanent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
    /// For `cut`: resets existing and new connections. If it is false, no data passes and nothing is reset.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reset: bool,
    /// For `delay`: added delay in each direction, in milliseconds; 100 by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// For `delay`: maximum of the random delay on top of `delay_ms`, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jitter_ms: Option<u64>,
    /// For `lose` and `duplicate`: the share of datagrams that are lost or duplicated; 0.3 by default. Lost
    /// data of a stream is retransmitted: it arrives 200 ms later.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probability: Option<f64>,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is killed.
    Kill,
    /// The process receives SIGTERM.
    Term,
    /// The process is suspended, and resumed later.
    Stop,
    /// The process is killed and started again.
    Restart,
    /// The process is killed, its files are deleted, and it is started again.
    Wipe,
    /// Links are cut.
    Cut,
    /// Links are delayed.
    Delay,
    /// Links lose datagrams.
    Lose,
    /// Links duplicate datagrams.
    Duplicate,
    /// Writes to the disk fail.
    FullDisk,
}

impl FaultKind {
    /// Whether the fault affects the links between processes.
    pub fn of_links(self) -> bool {
        matches!(self, FaultKind::Cut | FaultKind::Delay | FaultKind::Lose | FaultKind::Duplicate)
    }
}
