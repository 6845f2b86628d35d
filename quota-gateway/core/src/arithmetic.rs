//! Arithmetic that stays well-defined for arbitrary input from peers and settings files.

use crate::api::Plan;

/// The largest number that [`sanitize`] returns.
const MAX_SANITIZED: f64 = 1e12;

/// Clamps a number to the range 0 to 10^12. Infinities and NaN become 0.
pub fn sanitize(x: f64) -> f64 {
    if x.is_finite() {
        x.clamp(0.0, MAX_SANITIZED)
    } else {
        0.0
    }
}

/// Applies [`sanitize`] to every field of a plan.
pub fn sanitize_plan(plan: &mut Plan) {
    let fields = [
        &mut plan.rate,
        &mut plan.burst,
        &mut plan.price,
        &mut plan.over_quota_value,
        &mut plan.over_quota_cost,
        &mut plan.rate_limit,
        &mut plan.rate_limit_burst,
        &mut plan.rate_limit_slack,
    ];
    for field in fields {
        *field = sanitize(*field);
    }
}

/// Returns an exponentially weighted moving average with one more sample; `old` is the average so far.
pub fn ewma(old: f64, sample: f64, weight: f64) -> f64 {
    old + weight * (sample - old)
}
