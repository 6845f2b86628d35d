//! What is expected beyond the invariants.

use serde::{Deserialize, Serialize};

/// What is expected beyond the invariants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Requests that were served, as a share of all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served_share: Option<f64>,
    /// The time after the last fault within which service is complete again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub full_service_within_ms: Option<u64>,
    /// Requests that ended with no answer, at the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_at_most: Option<u64>,
}
