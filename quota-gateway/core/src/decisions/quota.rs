//! A customer's quota at this gateway: its slice of the rate, the attempts in flight, and its part of the
//! hard rate limit.
//!
//! Several gateways serve one customer without exchanging messages about it. Each has a slice of the quota,
//! proportional to its share of the use that the meter reports. The rate limit is divided equally, because it
//! must hold even if the meter is wrong.

use super::server::RATE_TIME_CONSTANT_SECS;
use crate::api::{Plan, PlanId, Time};
use crate::arithmetic::{ewma, sanitize};
use crate::rate::Rate;
use serde::{Deserialize, Serialize};

/// Share of a rate limit's slack that a gateway starts with. At one half, two restarts of all gateways stay
/// within the slack.
const INITIAL_SLACK_SHARE: f64 = 0.5;
/// Seconds after which an idle customer is removed. Also the time constant with which a meter reading decays.
pub(crate) const CUSTOMER_TTL_SECS: f64 = 60.0;
/// Weight of a meter reading in a customer's share and mean use: an average over three or four readings.
const SHARE_WEIGHT: f64 = 0.3;
/// Delay of meter readings in seconds.
const METER_LAG_SECS: f64 = 1.0;
/// Share of the quota left beyond the slices that all gateways together may use between two readings.
const BEYOND_SLICE_SHARE: f64 = 0.5;
/// Without a meter: time constant in seconds of the average of a customer's demand. A longer one would follow
/// changes of the demand too slowly.
const UNMETERED_TIME_CONSTANT_SECS: f64 = 10.0;
/// Without a meter: seconds of quota that are added to a request's units to give its allowance. The
/// probability of admission falls as the customer's recent demand grows relative to the allowance.
const UNMETERED_ALLOWANCE_SECS: f64 = 0.2;
/// Without a meter: exponent with which the probability of admission falls with the demand.
const UNMETERED_DEMAND_EXPONENT: i32 = 4;
/// Without a meter: a request that takes `s` seconds of quota has its probability of admission divided by
/// 1 + this weight * cost * s^2, where the cost is that of a request over the quota.
const UNMETERED_COST_WEIGHT: f64 = 0.1;
/// Without a meter: maximum sum of the enlarged slices of all gateways, in quotas.
const MAX_UNMETERED_QUOTAS: f64 = 3.0;

/// The average of the meter's readings for a customer.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(f64, Time)", into = "(f64, Time)")]
pub(crate) struct MeterAverage {
    /// The mean, in units per second.
    mean: f64,
    /// When the last reading was received.
    received_at: Time,
}

impl From<(f64, Time)> for MeterAverage {
    fn from((mean, received_at): (f64, Time)) -> MeterAverage {
        MeterAverage { mean, received_at }
    }
}

impl From<MeterAverage> for (f64, Time) {
    fn from(reading: MeterAverage) -> (f64, Time) {
        (reading.mean, reading.received_at)
    }
}

/// The inputs of a check of a request against the rate.
pub(crate) struct QuotaRequest {
    /// Units that must be available.
    pub(crate) units: f64,
    /// The meter's period in seconds; 0 if there is no meter.
    pub(crate) meter_period: f64,
    /// A number drawn uniformly from [0, 1).
    pub(crate) random_draw: f64,
    /// The share of the demand of an average customer of the plan that is within its quota.
    pub(crate) plan_share: f64,
}

/// One customer's quota at this gateway. Part of [`StateSnapshot`](crate::StateSnapshot), so fields are
/// serialized by name.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct CustomerQuota {
    #[serde(rename = "number")]
    pub(crate) plan_id: PlanId,
    #[serde(skip)]
    pub(crate) plan: Plan,
    /// Number of gateways that receive the customer's requests.
    pub(crate) gateways: f64,
    /// When the tokens were last refilled.
    #[serde(rename = "at")]
    pub(crate) refilled_at: Time,
    /// Share of the customer's use that passes through this gateway.
    pub(crate) share: f64,
    /// This gateway's slice of the quota, computed from `share`.
    pub(crate) slice: f64,
    /// Units in the bucket of the slice.
    #[serde(rename = "store")]
    pub(crate) slice_tokens: f64,
    /// Units in the bucket of the full quota, as inferred from the meter.
    #[serde(rename = "level")]
    pub(crate) inferred_tokens: f64,
    /// Units in the bucket of this gateway's part of the rate limit.
    #[serde(rename = "ceiling")]
    pub(crate) rate_limit_tokens: f64,
    /// Units requested at this gateway, admitted or not.
    #[serde(rename = "asked")]
    pub(crate) demand: Rate,
    /// Units admitted at this gateway.
    #[serde(rename = "own")]
    pub(crate) local_use: Rate,
    /// The local use, delayed by the average age of the meter's readings.
    #[serde(rename = "own_then")]
    pub(crate) lagged_local_use: f64,
    pub(crate) meter: Option<MeterAverage>,
    #[serde(rename = "out")]
    pub(crate) in_flight: u32,
    /// Attempts that another process of this gateway has in flight.
    #[serde(rename = "elsewhere")]
    pub(crate) peer_in_flight: u32,
}

impl CustomerQuota {
    /// Returns the quota of a new customer at a gateway that started `age` seconds ago. The bucket of the
    /// rate limit counts as empty at the gateway's start, except for some slack, because an earlier process
    /// may have used it.
    pub(crate) fn new(plan: Plan, gateways: u32, now: Time, age: f64, meter_period: f64) -> CustomerQuota {
        let gateways = f64::from(gateways.max(1));
        let unmetered_slice = unmetered_slice(&plan, gateways, meter_period);
        let slice = unmetered_slice.unwrap_or(1.0 / gateways);
        let is_unmetered_slice_too_small = is_unmetered_slice_too_small(&plan, gateways, meter_period);
        let time_constant =
            if is_unmetered_slice_too_small { UNMETERED_TIME_CONSTANT_SECS } else { RATE_TIME_CONSTANT_SECS };
        let rate_limit_tokens = plan.rate_limit * age + INITIAL_SLACK_SHARE * plan.rate_limit_slack;
        CustomerQuota {
            gateways,
            refilled_at: now,
            share: slice,
            slice,
            slice_tokens: plan.burst * slice,
            inferred_tokens: plan.burst,
            rate_limit_tokens: rate_limit_tokens.min(plan.rate_limit_burst) / gateways,
            local_use: Rate::new(meter_period.max(1.0), now),
            demand: Rate::new(time_constant, now),
            plan,
            ..CustomerQuota::default()
        }
    }

    /// Units per second that the other gateways admit. Readings decay slowly, so that customers with rare
    /// requests do not count as new ones each time.
    pub(crate) fn others_rate(&self, now: Time) -> f64 {
        self.meter.map_or(0.0, |reading| {
            let age = now.since(reading.received_at);
            (reading.mean - self.lagged_local_use).max(0.0) * (-age / CUSTOMER_TTL_SECS).exp()
        })
    }

    /// Takes the units of an admitted request: always from the rate limit, and from the quota if it is within
    /// it.
    pub(crate) fn consume(&mut self, now: Time, units: f64, within_quota: bool) {
        self.rate_limit_tokens -= units;
        if within_quota {
            self.slice_tokens -= units.min(self.slice_tokens);
            self.inferred_tokens -= units;
        }
        self.local_use.add(now, units);
    }

    /// Corrects the units taken by [`CustomerQuota::consume`], once the actual units of a request are known.
    pub(crate) fn correct_consumption(&mut self, now: Time, difference: f64) {
        self.slice_tokens -= difference;
        self.inferred_tokens -= difference;
        self.local_use.add(now, difference);
    }

    /// Attempts in flight from this gateway.
    pub(crate) fn in_flight_count(&self) -> f64 {
        f64::from(self.in_flight) + f64::from(self.peer_in_flight)
    }

    /// Refills all buckets for the time since the last refill.
    pub(crate) fn refill(&mut self, now: Time, meter_period: f64, max_units: f64) {
        let elapsed = now.since(self.refilled_at);
        let slice_depth = (self.plan.burst * self.slice).max(max_units.min(self.plan.burst));
        self.slice_tokens = (self.slice_tokens + elapsed * self.plan.rate * self.slice).min(slice_depth);
        let inferred = self.inferred_tokens + elapsed * (self.plan.rate - self.others_rate(now));
        self.inferred_tokens = inferred.min(self.plan.burst).max(self.inferred_tokens.min(0.0));
        let limit_depth = self.plan.rate_limit_burst / self.gateways;
        self.rate_limit_tokens =
            (self.rate_limit_tokens + elapsed * self.plan.rate_limit / self.gateways).min(limit_depth);
        let weight = 1.0 - (-elapsed / meter_period.max(0.5)).exp();
        self.lagged_local_use = ewma(self.lagged_local_use, self.local_use.get(now), weight);
        self.refilled_at = now;
    }

    /// Sets the slice to this gateway's averaged share of the metered use, and at least to an equal part.
    pub(crate) fn recompute_slice(&mut self) {
        self.slice = self.share.max(1.0 / self.gateways);
    }

    /// Handles a reading of the meter: the customer's use over all gateways, as a share of its limit.
    pub(crate) fn on_meter_reading(&mut self, now: Time, used: f64, meter_period: f64) {
        let limit = if self.plan.rate > 0.0 { self.plan.rate } else { f64::from(self.plan.max_in_flight) };
        let total = sanitize(used) * limit;
        // Most customers make only a request or two per period, so a single reading is a poor estimate of
        // their rate.
        let mean = self.meter.map_or(total, |reading| ewma(reading.mean, total, SHARE_WEIGHT));
        self.meter = Some(MeterAverage { mean, received_at: now });
        // Use over the quota in the reported period was taken from the quota's bucket.
        let drained = (total - limit) * meter_period;
        self.inferred_tokens =
            self.inferred_tokens.min(self.plan.burst - drained.max(0.0)).max(self.inferred_tokens.min(0.0));
        let local = if self.plan.rate > 0.0 { self.lagged_local_use } else { self.in_flight_count() };
        if total > 0.0 {
            self.share = ewma(self.share, (local / total).min(1.0), SHARE_WEIGHT);
        }
    }

    /// Seconds until a rejected request could be admitted: until the units are refilled, or an attempt ends.
    pub(crate) fn seconds_until_available(&self, units: f64, by_rate_limit: bool, latency: f64) -> f64 {
        let until = |lacking: f64, rate: f64| lacking / rate.max(1e-3);
        if by_rate_limit {
            until(units - self.rate_limit_tokens, self.plan.rate_limit / self.gateways)
        } else if self.plan.rate > 0.0 && self.slice_tokens < units {
            until(units - self.slice_tokens, self.plan.rate * self.slice)
        } else {
            latency
        }
    }

    /// Differs from the design: the probability that a request is admitted without a meter. It falls with the
    /// recent demand at this gateway and with the seconds of quota that the request takes.
    fn unmetered_admission_probability(&self, now: Time, units: f64) -> f64 {
        let allowance = units + UNMETERED_ALLOWANCE_SECS * self.plan.rate;
        let seconds = units / self.plan.rate;
        let demand_factor = allowance / (allowance + self.demand.get(now) * UNMETERED_TIME_CONSTANT_SECS);
        let cost = sanitize(self.plan.over_quota_cost - self.plan.over_quota_value);
        demand_factor.powi(UNMETERED_DEMAND_EXPONENT)
            / (1.0 + UNMETERED_COST_WEIGHT * cost * seconds * seconds)
    }

    /// Returns whether a request is within the rate: the bucket of the slice has enough units, or that of the
    /// full quota has.
    pub(crate) fn is_within_rate(&self, now: Time, request: &QuotaRequest) -> bool {
        self.plan.rate <= 0.0
            || self.slice_tokens >= request.units
            || self.is_within_rate_beyond_slice(now, request)
    }

    /// Differs from the design: admits requests beyond the slice while, by the meter, the bucket of the full
    /// quota has enough units. Each gateway admits them at random, with a probability that falls with the
    /// demand. A customer without meter readings counts as an average customer of its plan if a single
    /// request at each of its gateways within [`CUSTOMER_TTL_SECS`] would exceed the quota.
    fn is_within_rate_beyond_slice(&self, now: Time, request: &QuotaRequest) -> bool {
        let QuotaRequest { units, meter_period, random_draw, plan_share } = *request;
        let demand = self.demand.get(now) / self.share.max(1.0 / self.gateways);
        let expected = demand * (meter_period + METER_LAG_SECS);
        let is_rare = self.gateways * units <= self.plan.burst + CUSTOMER_TTL_SECS * self.plan.rate;
        let may_exceed_slice = is_rare || self.meter.is_some() || random_draw <= plan_share;
        let is_metered = meter_period > 0.0;
        let fits = || {
            self.inferred_tokens >= units
                && random_draw * expected <= (self.inferred_tokens - units) * BEYOND_SLICE_SHARE
        };
        let passes_unmetered = || {
            self.plan.burst < self.gateways && random_draw <= self.unmetered_admission_probability(now, units)
        };
        may_exceed_slice && if is_metered { fits() } else { passes_unmetered() }
    }

    /// Returns whether one more attempt is within the limit on attempts in flight. `seconds` is the time that
    /// a unit is expected to be in flight.
    pub(crate) fn is_within_concurrency(&self, now: Time, seconds: f64) -> bool {
        if self.plan.max_in_flight == 0 {
            return true;
        }
        let (limit, local) = (f64::from(self.plan.max_in_flight), self.in_flight_count());
        // The other gateways' attempts in flight are estimated from their use and the latency (Little's law).
        // One attempt at each of many gateways can exceed the limit, especially when responses get slower.
        let others = if self.plan.rate > 0.0 { self.others_rate(now) * seconds } else { 0.0 };
        local + 1.0 <= (limit * self.share.max(0.5)).max(1.0) && local + 1.0 + others <= limit
    }
}

/// Returns whether there is no meter and the bucket of an equal slice is too small for a request of one unit.
fn is_unmetered_slice_too_small(plan: &Plan, gateways: f64, meter_period: f64) -> bool {
    meter_period <= 0.0 && plan.rate > 0.0 && plan.burst < gateways
}

/// Differs from the design: without a meter, slices that are too small for a request are enlarged. The lower
/// the cost of a request over the quota, the larger the slice.
fn unmetered_slice(plan: &Plan, gateways: f64, meter_period: f64) -> Option<f64> {
    let cost = sanitize(plan.over_quota_cost - plan.over_quota_value);
    let enlarged = gateways.powf(-1.0 / (1.0 + 1.0 / cost));
    let is_bounded = enlarged >= 1.0 || enlarged * gateways <= MAX_UNMETERED_QUOTAS;
    (is_unmetered_slice_too_small(plan, gateways, meter_period) && is_bounded).then_some(enlarged)
}
