//! A customer's quota at this gateway: the metered slice, open attempts, the own part of a ceiling.

use crate::api::{Plan, PlanId, Time};
use crate::decisions::server::RATE_TIME_CONSTANT_SECS;
use crate::numbers::{ewma, sanitize, Rate};
use serde::{Deserialize, Serialize};

/// Share of a ceiling's slack that fresh gateways start with (ours: two rounds of restarts stay inside it).
const INITIAL_SLACK_SHARE: f64 = 0.5;
/// Seconds after which an idle customer is forgotten (design), and in which a reading of the meter fades.
pub(crate) const CUSTOMER_TTL_SECS: f64 = 60.0;
/// Weight of a meter reading in a share and in the mean use (ours: three or four readings make a new share).
const SHARE_WEIGHT: f64 = 0.3;
/// Room beyond the slice: seconds by which the meter comes late, and the part that is shared out (ours).
const ROOM: (f64, f64) = (1.0, 0.5);
/// Without a meter (ours): seconds for which asks are remembered, as customers' ways change, ...
const UNMETERED_TIME_CONSTANT_SECS: f64 = 10.0;
/// ... seconds of quota beside an ask at which its chance falls, by which power, the price of the square of
/// the seconds that it takes itself, and the quotas that enlarged parts hold together at most.
const UNMETERED: (f64, i32, f64, f64) = (0.2, 4, 0.1, 3.0);

/// What this gateway knows of one customer's quota.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct CustomerQuota {
    pub(crate) number: PlanId,
    #[serde(skip)]
    pub(crate) plan: Plan,
    pub(crate) gateways: f64,
    pub(crate) at: Time,
    /// Share of the customer's use that comes through here, and the slice of the quota that follows from it.
    pub(crate) share: f64,
    pub(crate) slice: f64,
    /// Units in the slice's store, in the whole quota's store as inferred, in the own part of the ceiling.
    pub(crate) store: f64,
    pub(crate) level: f64,
    pub(crate) ceiling: f64,
    /// What it asks here, let in or not; own use now, and as old as the meter's readings are on average.
    pub(crate) asked: Rate,
    pub(crate) own: Rate,
    pub(crate) own_then: f64,
    /// Mean of the meter's readings, in units a second, and when the last one came.
    pub(crate) meter: Option<(f64, Time)>,
    #[serde(rename = "out")]
    pub(crate) in_flight: u32,
    /// Attempts that another process of this gateway has out.
    pub(crate) elsewhere: u32,
}

impl CustomerQuota {
    /// The own part of the ceiling starts empty, but for some slack: a former life may have spent it.
    pub(crate) fn new(plan: Plan, gateways: u32, now: Time, life: f64, meter_period: f64) -> CustomerQuota {
        let gateways = f64::from(gateways.max(1));
        // Departure: without a meter parts that hold no request are enlarged, by what is beyond costs.
        let blind = meter_period <= 0.0 && plan.rate > 0.0 && plan.burst < gateways;
        let large =
            gateways.powf(-1.0 / (1.0 + 1.0 / sanitize(plan.over_quota_cost - plan.over_quota_value)));
        let few = large >= 1.0 || large * gateways <= UNMETERED.3;
        let slice = if blind && few { large } else { 1.0 / gateways };
        let ceiling = plan.rate_limit * life + INITIAL_SLACK_SHARE * plan.rate_limit_slack;
        CustomerQuota {
            gateways,
            at: now,
            share: slice,
            slice,
            store: plan.burst * slice,
            level: plan.burst,
            ceiling: ceiling.min(plan.rate_limit_burst) / gateways,
            own: Rate::new(meter_period.max(1.0), now),
            asked: Rate::new(if blind { UNMETERED_TIME_CONSTANT_SECS } else { RATE_TIME_CONSTANT_SECS }, now),
            plan,
            ..CustomerQuota::default()
        }
    }

    /// Units a second that the others send on. A reading fades slowly: rare customers would seem new.
    pub(crate) fn others_rate(&self, now: Time) -> f64 {
        self.meter.map_or(0.0, |(total, at)| {
            (total - self.own_then).max(0.0) * (-now.since(at) / CUSTOMER_TTL_SECS).exp()
        })
    }

    /// Takes a try's units, from the ceiling's store in any case.
    pub(crate) fn consume(&mut self, now: Time, units: f64, inside: bool) {
        self.ceiling -= units;
        if inside {
            self.store -= units.min(self.store);
            self.level -= units;
        }
        self.own.add(now, units);
    }

    pub(crate) fn in_flight_count(&self) -> f64 {
        f64::from(self.in_flight) + f64::from(self.elsewhere)
    }

    pub(crate) fn refill(&mut self, now: Time, meter_period: f64, most_units: f64) {
        let dt = now.since(self.at);
        let most = (self.plan.burst * self.slice).max(most_units.min(self.plan.burst));
        self.store = (self.store + dt * self.plan.rate * self.slice).min(most);
        let level = self.level + dt * (self.plan.rate - self.others_rate(now));
        self.level = level.min(self.plan.burst).max(self.level.min(0.0));
        let depth = self.plan.rate_limit_burst / self.gateways;
        self.ceiling = (self.ceiling + dt * self.plan.rate_limit / self.gateways).min(depth);
        let lag = 1.0 - (-dt / meter_period.max(0.5)).exp();
        self.own_then = ewma(self.own_then, self.own.get(now), lag);
        self.at = now;
    }

    /// The metered slice (design): quota times the decayed share of the metered use, at least an equal part.
    pub(crate) fn recompute_slice(&mut self) {
        self.slice = self.share.max(1.0 / self.gateways);
    }

    pub(crate) fn on_meter_reading(&mut self, now: Time, used: f64, meter_period: f64) {
        let limit = if self.plan.rate > 0.0 { self.plan.rate } else { f64::from(self.plan.max_in_flight) };
        let total = sanitize(used) * limit;
        // A period holds a request or two of most customers: one reading alone says little of their rate.
        let average = self.meter.map_or(total, |(old, _)| ewma(old, total, SHARE_WEIGHT));
        self.meter = Some((average, now));
        // What passed the quota in the period that the meter tells of came out of the store.
        let drained = (total - limit) * meter_period;
        self.level = self.level.min(self.plan.burst - drained.max(0.0)).max(self.level.min(0.0));
        let own = if self.plan.rate > 0.0 { self.own_then } else { self.in_flight_count() };
        if total > 0.0 {
            self.share = ewma(self.share, (own / total).min(1.0), SHARE_WEIGHT);
        }
    }

    /// Seconds until what a refused try lacked is there: units, or the end of an attempt.
    pub(crate) fn seconds_until_available(&self, units: f64, capped: bool, latency: f64) -> f64 {
        let until = |lacks: f64, rate: f64| lacks / rate.max(1e-3);
        if capped {
            until(units - self.ceiling, self.plan.rate_limit / self.gateways)
        } else if self.plan.rate > 0.0 && self.store < units {
            until(units - self.store, self.plan.rate * self.slice)
        } else {
            latency
        }
    }

    /// Departure: an ask's chance without a meter, by what was asked here and the seconds of quota it takes.
    fn unmetered_chance(&self, now: Time, units: f64) -> f64 {
        let (quiet, takes) = (units + UNMETERED.0 * self.plan.rate, units / self.plan.rate);
        let alone = quiet / (quiet + self.asked.get(now) * UNMETERED_TIME_CONSTANT_SECS);
        let cost = sanitize(self.plan.over_quota_cost - self.plan.over_quota_value);
        alone.powi(UNMETERED.1) / (1.0 + UNMETERED.2 * cost * takes * takes)
    }

    /// Whether a try is inside the rate; quotas of its plan hold the share `holds` of a customer's asks.
    pub(crate) fn is_within_rate(&self, now: Time, units: f64, meter: f64, chance: f64, holds: f64) -> bool {
        self.plan.rate <= 0.0 || self.store >= units || {
            // Departure: beyond the slice, but by the meter the customer's whole store still holds it. Each
            // takes of that room by chance, by what is asked here. Where nothing is known of it, and one ask
            // at each of its gateways while they remember it would pass its quota, it is its plan's mean one.
            let asked = self.asked.get(now) / self.share.max(1.0 / self.gateways) * (meter + ROOM.0);
            let few = self.gateways * units <= self.plan.burst + CUSTOMER_TTL_SECS * self.plan.rate;
            let known = few || self.meter.is_some() || chance <= holds;
            let fits = self.level >= units && chance * asked <= (self.level - units) * ROOM.1;
            let blind = || self.plan.burst < self.gateways && chance <= self.unmetered_chance(now, units);
            known && if meter > 0.0 { fits } else { blind() }
        }
    }

    /// Whether one more attempt that is out for `held` seconds is inside the cap on those.
    pub(crate) fn is_within_concurrency(&self, now: Time, held: f64) -> bool {
        self.plan.max_in_flight == 0 || {
            let (limit, own) = (f64::from(self.plan.max_in_flight), self.in_flight_count());
            // What the others have out follows from their use and the latency (Little's law): one attempt at
            // each of many gateways is beyond the cap, above all when answers slow down.
            let others = if self.plan.rate > 0.0 { self.others_rate(now) * held } else { 0.0 };
            own + 1.0 <= (limit * self.share.max(0.5)).max(1.0) && own + 1.0 + others <= limit
        }
    }
}
