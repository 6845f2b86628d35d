//! Faults.

use super::Target;
use serde::{Deserialize, Serialize};

/// A fault, as the file has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// After the load's begin.
    pub at_ms: u64,
    /// What happens.
    pub kind: FaultKind,
    /// To whom.
    pub target: Target,
    /// The share of the target that it concerns, drawn by the seed; all without `share` and `count`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// The number of the target that it concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
    /// For faults of links: between the target and these; all others without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Target>,
    /// Only what goes from `from` to the target.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub one_way: bool,
    /// Undone after this time; for good without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
    /// `cut`: connections are reset, and new ones too; silence without it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reset: bool,
    /// `delay`: this much more each way (100 without it), and up to as much again by `jitter_ms`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// `delay`: the most that is added at random, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jitter_ms: Option<u64>,
    /// `lose` and `duplicate`: the share of datagrams (0.3 without it). What a stream loses comes 200 ms later.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probability: Option<f64>,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is killed.
    Kill,
    /// The process is told to end (SIGTERM).
    Term,
    /// The process is suspended, and resumed later.
    Stop,
    /// The process is killed and started again.
    Restart,
    /// The process is killed, and started again without its files.
    Wipe,
    /// Links are cut.
    Cut,
    /// Links are slow.
    Delay,
    /// Links lose datagrams.
    Lose,
    /// Links duplicate datagrams.
    Duplicate,
    /// Writes to the disk fail.
    FullDisk,
}

impl FaultKind {
    /// Whether it concerns the links between processes.
    pub fn of_links(self) -> bool {
        matches!(self, FaultKind::Cut | FaultKind::Delay | FaultKind::Lose | FaultKind::Duplicate)
    }
}
