//! Clients of the coordination service.

use serde::{Deserialize, Serialize};

/// Stand-ins of processes that would own work of the fleet; only where there are coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Owners {
    /// Each wants every lock.
    pub candidates: u32,
    /// `lock-0`, `lock-1`, ...
    pub locks: u32,
    /// Time to live of a session, in milliseconds.
    pub session_ms: u64,
}

impl Default for Owners {
    fn default() -> Owners {
        Owners { candidates: 4, locks: 3, session_ms: 1500 }
    }
}

/// Clients of the coordination service whose calls are judged for linearizability; only where there are coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registers {
    /// Clients that read and write.
    pub clients: u32,
    /// Mean pause between two calls of a client, in milliseconds.
    pub every_ms: u64,
    /// Number of registers.
    pub registers: u32,
    /// Clients that watch all of them.
    pub watchers: u32,
}

impl Default for Registers {
    fn default() -> Registers {
        Registers { clients: 3, every_ms: 200, registers: 3, watchers: 1 }
    }
}
