//! The clients' requests.

use serde::{Deserialize, Serialize};

/// What the clients ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second, without retries; sent on schedule, whatever comes back.
    pub rate: f64,
    /// Duration of the load in milliseconds.
    pub duration_ms: u64,
    /// Number of customers.
    pub customers: u32,
    /// The share of the class that must never run twice.
    pub unsafe_share: f64,
    /// Further tries that a client makes by itself.
    pub retries: u32,
    /// A client that lost its gateway returns with the same id, also where its request may have run.
    pub come_back: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 60.0,
            duration_ms: 20_000,
            customers: 40,
            unsafe_share: 0.46,
            retries: 2,
            come_back: false,
        }
    }
}
