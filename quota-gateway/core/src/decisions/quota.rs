//! A customer's quota at this gateway: the slice of the rate by the meter, the attempts in flight, and the
//! local part of the hard rate limit.
//!
//! Several gateways serve one customer and do not talk to each other about it. Each has a slice of the quota,
//! by its share of the use that the meter reports; the rate limit is kept by equal parts, since it must hold
//! whatever the meter says.

use super::server::RATE_TIME_CONSTANT_SECS;
use crate::api::{Plan, PlanId, Time};
use crate::arithmetic::{ewma, sanitize};
use crate::rate::Rate;
use serde::{Deserialize, Serialize};

/// Share of a rate limit's slack that fresh gateways start with (ours: two rounds of restarts stay inside
/// it).
const INITIAL_SLACK_SHARE: f64 = 0.5;
/// Seconds after which an idle customer is forgotten (design), and in which a reading of the meter fades.
pub(crate) const CUSTOMER_TTL_SECS: f64 = 60.0;
/// Weight of a meter reading in a share and in the mean use (ours: three or four readings make a new share).
const SHARE_WEIGHT: f64 = 0.3;
/// Seconds by which the meter comes late (ours).
const METER_LAG_SECS: f64 = 1.0;
/// Share of what is left beyond the slice that is given out between two readings (ours).
const BEYOND_SLICE_SHARE: f64 = 0.5;
/// Without a meter: seconds for which requests are remembered, as customers' ways change (ours).
const UNMETERED_TIME_CONSTANT_SECS: f64 = 10.0;
/// Without a meter: seconds of quota beside a request at which its chance falls (ours), ...
const UNMETERED_QUIET_SECS: f64 = 0.2;
/// ... by which power (ours), ...
const UNMETERED_POWER: i32 = 4;
/// ... and the price of the square of the seconds of quota that it takes itself (ours).
const UNMETERED_COST_WEIGHT: f64 = 0.1;
/// Without a meter: quotas that enlarged slices hold together at most (ours).
const MAX_UNMETERED_QUOTAS: f64 = 3.0;

/// The meter's readings of a customer.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(f64, Time)", into = "(f64, Time)")]
pub(crate) struct MeterReading {
    /// The mean, in units a second.
    mean: f64,
    /// When the last one came.
    received_at: Time,
}

impl From<(f64, Time)> for MeterReading {
    fn from((mean, received_at): (f64, Time)) -> MeterReading {
        MeterReading { mean, received_at }
    }
}

impl From<MeterReading> for (f64, Time) {
    fn from(reading: MeterReading) -> (f64, Time) {
        (reading.mean, reading.received_at)
    }
}

/// What a request asks of a quota beyond the slice.
pub(crate) struct QuotaRequest {
    /// Units that it needs.
    pub(crate) units: f64,
    /// The meter's period in seconds; 0 where there is no meter.
    pub(crate) meter_period: f64,
    /// A number drawn uniformly from [0, 1).
    pub(crate) chance: f64,
    /// The share of a mean customer's demand that quotas of its plan hold.
    pub(crate) plan_share: f64,
}

/// What this gateway knows of one customer's quota. Written by name for the gateway's next process.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct CustomerQuota {
    #[serde(rename = "number")]
    pub(crate) plan_id: PlanId,
    #[serde(skip)]
    pub(crate) plan: Plan,
    /// Gateways through which the customer's requests come.
    pub(crate) gateways: f64,
    /// When the tokens were last refilled.
    #[serde(rename = "at")]
    pub(crate) refilled_at: Time,
    /// Share of the customer's use that comes through here.
    pub(crate) share: f64,
    /// The slice of the quota that follows from it.
    pub(crate) slice: f64,
    /// Units in the slice's bucket.
    #[serde(rename = "store")]
    pub(crate) slice_tokens: f64,
    /// Units in the whole quota's bucket, as inferred.
    #[serde(rename = "level")]
    pub(crate) inferred_tokens: f64,
    /// Units in the local part of the rate limit's bucket.
    #[serde(rename = "ceiling")]
    pub(crate) rate_limit_tokens: f64,
    /// Units that are requested here, let in or not.
    #[serde(rename = "asked")]
    pub(crate) demand: Rate,
    /// Units that are let in here.
    #[serde(rename = "own")]
    pub(crate) local_use: Rate,
    /// The local use, as old as the meter's readings are on average.
    #[serde(rename = "own_then")]
    pub(crate) lagged_local_use: f64,
    pub(crate) meter: Option<MeterReading>,
    #[serde(rename = "out")]
    pub(crate) in_flight: u32,
    /// Attempts that another process of this gateway has in flight.
    pub(crate) elsewhere: u32,
}

impl CustomerQuota {
    /// Returns the quota of a customer that was not known, at a gateway that started `age` seconds ago. The
    /// local part of the rate limit starts empty but for some slack: an earlier process may have spent it.
    pub(crate) fn new(plan: Plan, gateways: u32, now: Time, age: f64, meter_period: f64) -> CustomerQuota {
        let gateways = f64::from(gateways.max(1));
        let unmetered_slice = unmetered_slice(&plan, gateways, meter_period);
        let slice = unmetered_slice.unwrap_or(1.0 / gateways);
        let is_small = is_small(&plan, gateways, meter_period);
        let time_constant = if is_small { UNMETERED_TIME_CONSTANT_SECS } else { RATE_TIME_CONSTANT_SECS };
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

    /// Units a second that the other gateways let in. A reading fades slowly: rare customers would seem new.
    pub(crate) fn others_rate(&self, now: Time) -> f64 {
        self.meter.map_or(0.0, |reading| {
            let age = now.since(reading.received_at);
            (reading.mean - self.lagged_local_use).max(0.0) * (-age / CUSTOMER_TTL_SECS).exp()
        })
    }

    /// Takes the units of a request that is let in, from the rate limit in any case.
    pub(crate) fn consume(&mut self, now: Time, units: f64, within_quota: bool) {
        self.rate_limit_tokens -= units;
        if within_quota {
            self.slice_tokens -= units.min(self.slice_tokens);
            self.inferred_tokens -= units;
        }
        self.local_use.add(now, units);
    }

    /// Corrects what [`CustomerQuota::consume`] took by the units that a request really counted.
    pub(crate) fn correct(&mut self, now: Time, difference: f64) {
        self.slice_tokens -= difference;
        self.inferred_tokens -= difference;
        self.local_use.add(now, difference);
    }

    /// Attempts in flight from this gateway.
    pub(crate) fn in_flight_count(&self) -> f64 {
        f64::from(self.in_flight) + f64::from(self.elsewhere)
    }

    /// Refills all buckets for the time that has passed.
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

    /// The metered slice (design): the quota times the averaged share of the metered use, at least an equal
    /// part.
    pub(crate) fn recompute_slice(&mut self) {
        self.slice = self.share.max(1.0 / self.gateways);
    }

    /// Handles a reading of the meter: the customer's use over all gateways, as a share of its limit.
    pub(crate) fn on_meter_reading(&mut self, now: Time, used: f64, meter_period: f64) {
        let limit = if self.plan.rate > 0.0 { self.plan.rate } else { f64::from(self.plan.max_in_flight) };
        let total = sanitize(used) * limit;
        // A period holds a request or two of most customers: one reading alone says little of their rate.
        let mean = self.meter.map_or(total, |reading| ewma(reading.mean, total, SHARE_WEIGHT));
        self.meter = Some(MeterReading { mean, received_at: now });
        // What passed the quota in the period that the meter reports came out of its bucket.
        let drained = (total - limit) * meter_period;
        self.inferred_tokens =
            self.inferred_tokens.min(self.plan.burst - drained.max(0.0)).max(self.inferred_tokens.min(0.0));
        let local = if self.plan.rate > 0.0 { self.lagged_local_use } else { self.in_flight_count() };
        if total > 0.0 {
            self.share = ewma(self.share, (local / total).min(1.0), SHARE_WEIGHT);
        }
    }

    /// Seconds until what a rejected request lacked is there: units, or the end of an attempt.
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

    /// Departure: the chance of a request without a meter, by what was requested here and the seconds of
    /// quota that it takes.
    fn unmetered_chance(&self, now: Time, units: f64) -> f64 {
        let quiet = units + UNMETERED_QUIET_SECS * self.plan.rate;
        let seconds = units / self.plan.rate;
        let alone = quiet / (quiet + self.demand.get(now) * UNMETERED_TIME_CONSTANT_SECS);
        let cost = sanitize(self.plan.over_quota_cost - self.plan.over_quota_value);
        alone.powi(UNMETERED_POWER) / (1.0 + UNMETERED_COST_WEIGHT * cost * seconds * seconds)
    }

    /// Whether a request is within the rate: in the slice's bucket, or beyond it where the whole quota still
    /// holds it.
    pub(crate) fn is_within_rate(&self, now: Time, request: &QuotaRequest) -> bool {
        self.plan.rate <= 0.0
            || self.slice_tokens >= request.units
            || self.is_within_rate_beyond_slice(now, request)
    }

    /// Departure: beyond the slice, but by the meter the customer's whole bucket still holds it. Each gateway
    /// takes of that by chance, by what is requested here. A customer of whom nothing is known, and whose
    /// quota one request at each of its gateways would pass while they remember it, is taken for its plan's
    /// mean one.
    fn is_within_rate_beyond_slice(&self, now: Time, request: &QuotaRequest) -> bool {
        let QuotaRequest { units, meter_period, chance, plan_share } = *request;
        let demand = self.demand.get(now) / self.share.max(1.0 / self.gateways);
        let expected = demand * (meter_period + METER_LAG_SECS);
        let is_rare = self.gateways * units <= self.plan.burst + CUSTOMER_TTL_SECS * self.plan.rate;
        let is_known = is_rare || self.meter.is_some() || chance <= plan_share;
        let is_metered = meter_period > 0.0;
        let fits = || {
            self.inferred_tokens >= units
                && chance * expected <= (self.inferred_tokens - units) * BEYOND_SLICE_SHARE
        };
        let passes_unmetered =
            || self.plan.burst < self.gateways && chance <= self.unmetered_chance(now, units);
        is_known && if is_metered { fits() } else { passes_unmetered() }
    }

    /// Whether one more attempt, which is in flight for so many seconds, is within the limit on those.
    pub(crate) fn is_within_concurrency(&self, now: Time, seconds: f64) -> bool {
        if self.plan.max_in_flight == 0 {
            return true;
        }
        let (limit, local) = (f64::from(self.plan.max_in_flight), self.in_flight_count());
        // What the other gateways have in flight follows from their use and the latency (Little's law): one
        // attempt at each of many gateways is beyond the limit, above all when answers slow down.
        let others = if self.plan.rate > 0.0 { self.others_rate(now) * seconds } else { 0.0 };
        local + 1.0 <= (limit * self.share.max(0.5)).max(1.0) && local + 1.0 + others <= limit
    }
}

/// Whether there is no meter, and an equal slice of this plan's quota holds no request.
fn is_small(plan: &Plan, gateways: f64, meter_period: f64) -> bool {
    meter_period <= 0.0 && plan.rate > 0.0 && plan.burst < gateways
}

/// Departure: without a meter, slices that hold no request are enlarged, by what a request beyond the quota
/// costs.
fn unmetered_slice(plan: &Plan, gateways: f64, meter_period: f64) -> Option<f64> {
    let cost = sanitize(plan.over_quota_cost - plan.over_quota_value);
    let large = gateways.powf(-1.0 / (1.0 + 1.0 / cost));
    let is_bounded = large >= 1.0 || large * gateways <= MAX_UNMETERED_QUOTAS;
    (is_small(plan, gateways, meter_period) && is_bounded).then_some(large)
}
