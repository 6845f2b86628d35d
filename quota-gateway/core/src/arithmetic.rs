//! Arithmetic that is safe against whatever a peer or a settings file says.

use crate::api::Plan;

/// The largest number that [`sanitize`] lets through.
const MAX_SANE: f64 = 1e12;

/// Returns a finite number from 0 to 10^12: what is infinite or not a number becomes 0.
pub fn sanitize(x: f64) -> f64 {
    if x.is_finite() {
        x.clamp(0.0, MAX_SANE)
    } else {
        0.0
    }
}

/// Applies [`sanitize`] to every figure of a plan.
pub fn sanitize_plan(plan: &mut Plan) {
    let figures = [
        &mut plan.rate,
        &mut plan.burst,
        &mut plan.price,
        &mut plan.over_quota_value,
        &mut plan.over_quota_cost,
        &mut plan.rate_limit,
        &mut plan.rate_limit_burst,
        &mut plan.rate_limit_slack,
    ];
    for figure in figures {
        *figure = sanitize(*figure);
    }
}

/// Returns the exponentially weighted moving average that was `old`, after one more sample with this weight.
pub fn ewma(old: f64, sample: f64, weight: f64) -> f64 {
    old + weight * (sample - old)
}
