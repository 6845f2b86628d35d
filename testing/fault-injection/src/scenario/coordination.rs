//! Clients of the coordination service that a scenario configures.

use serde::{Deserialize, Serialize};

/// Stand-ins for processes that compete for locks. They exist only if the fleet has coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Owners {
    /// Number of candidates; each one requests every lock.
    pub candidates: u32,
    /// Number of locks, which are named `lock-0`, `lock-1` and so on.
    pub locks: u32,
    /// Time to live of a session, in milliseconds.
    pub session_ms: u64,
}

impl Default for Owners {
    fn default() -> Owners {
        Owners { candidates: 4, locks: 3, session_ms: 1500 }
    }
}

/// Clients of the coordination service whose calls are checked for linearizability. They exist only if the
/// fleet has coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registers {
    /// Number of clients that read and write.
    pub clients: u32,
    /// Mean pause between two calls of a client, in milliseconds.
    pub every_ms: u64,
    /// Number of registers.
    pub registers: u32,
    /// Number of clients that watch all registers.
    pub watchers: u32,
}

impl Default for Registers {
    fn default() -> Registers {
        Registers { clients: 3, every_ms: 200, registers: 3, watchers: 1 }
    }
}
