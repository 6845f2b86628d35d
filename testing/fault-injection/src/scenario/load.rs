//! The clients' requests.

use serde::{Deserialize, Serialize};

/// The load that the clients generate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests per second, not counting retries; an open loop that does not depend on the responses.
    pub rate: f64,
    /// Duration of the load in milliseconds.
    pub duration_ms: u64,
    /// Number of customers.
    pub customers: u32,
    /// Share of the requests in the class that must never run twice.
    pub unsafe_share: f64,
    /// Maximum number of retries of a request by its client.
    pub retries: u32,
    /// Whether a client that lost its gateway retries with the same trace id, even if its request may have
    /// run.
    #[serde(rename = "come_back")]
    pub retries_with_same_id: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 60.0,
            duration_ms: 20_000,
            customers: 40,
            unsafe_share: 0.46,
            retries: 2,
            retries_with_same_id: false,
        }
    }
}
