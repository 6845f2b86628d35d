//! Expectations of a scenario in addition to the invariants.

use serde::{Deserialize, Serialize};

/// Expectations in addition to the invariants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Minimum share of the requests that are served.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served_share: Option<f64>,
    /// Maximum time from the end of the last fault to full service, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub full_service_within_ms: Option<u64>,
    /// Maximum number of requests that end without a response.
    #[serde(rename = "lost_at_most", skip_serializing_if = "Option::is_none")]
    pub max_lost: Option<u64>,
}
