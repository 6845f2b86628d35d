//! Load by zone: this gateway's report of its own requests, and the load of all gateways that the
//! stores return.
//!
//! Gateways of different zones do not exchange load with each other. Each gateway sends a moving
//! average per zone with its calls to the stores, and the head of the stores' chain returns the
//! sums. The sums are a few hundred milliseconds old. They are therefore used only as a lower bound
//! for the occupancy of a remote server, not as its load.

use super::endpoint::Endpoint;
use super::freshness::is_fresh;
use crate::ewma::Ewma;
use crate::tuning::{duration_from_ms, Tuning};
use crate::Timestamp;
use marblecroft_protocol::load::ZoneLoad;
use std::collections::HashMap;

/// Moving averages of this gateway's requests in flight, by the zone of the server.
#[derive(Debug, Default)]
pub(super) struct ZoneAverages {
    averages: HashMap<String, Ewma>,
    as_of: Timestamp,
}

impl ZoneAverages {
    /// Advances the averages to `now`. Must be called before the number of requests in flight
    /// changes. The average of a zone without endpoints does not change.
    pub(super) fn advance<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        tuning: &Tuning,
        now: Timestamp,
    ) {
        let elapsed =
            now.saturating_sub(self.as_of).as_secs_f64() * 1000.0 / tuning.zone_average_time_constant_ms;
        self.as_of = now;
        let mut in_flight: HashMap<&str, f64> = HashMap::new();
        for endpoint in endpoints {
            *in_flight.entry(&endpoint.server.zone).or_default() += f64::from(endpoint.in_flight);
        }
        for (zone, in_flight) in in_flight {
            match self.averages.get_mut(zone) {
                Some(average) => average.advance(in_flight, elapsed),
                None => {
                    self.averages.insert(zone.to_owned(), Ewma::rising_from_zero(in_flight, elapsed));
                }
            }
        }
    }

    /// Returns the averages as of the last call to `advance`.
    pub(super) fn report(&self) -> Vec<ZoneLoad> {
        let averages = self.averages.iter();
        averages
            .map(|(zone, average)| ZoneLoad { zone: zone.clone(), in_flight: average.average() as f32 })
            .collect()
    }
}

/// Load of all gateways together, from the latest report of the stores.
#[derive(Debug, Default)]
pub(super) struct ClusterLoad {
    /// Requests in flight at the servers of each zone, as a share of their slots.
    zone_occupancy: HashMap<String, f64>,
    /// Live requests at all servers.
    live_requests: f64,
    reported_at: Option<Timestamp>,
}

impl ClusterLoad {
    /// Returns the load reported at `now`: requests in flight by zone, and the number `live` of
    /// live requests at all servers. The slots of a zone are those of its available endpoints.
    pub(super) fn new<'a>(
        zones: &[ZoneLoad],
        live: f32,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now: Timestamp,
    ) -> ClusterLoad {
        let mut slots: HashMap<&str, u32> = HashMap::new();
        for endpoint in endpoints.filter(|endpoint| endpoint.is_available()) {
            *slots.entry(&endpoint.server.zone).or_default() += endpoint.server.slots;
        }
        let occupancy = |zone: &ZoneLoad| {
            let slots = slots.get(zone.zone.as_str()).copied().unwrap_or(0);
            f64::from(zone.in_flight) / f64::from(slots.max(1))
        };
        ClusterLoad {
            zone_occupancy: zones.iter().map(|zone| (zone.zone.clone(), occupancy(zone))).collect(),
            live_requests: f64::from(live),
            reported_at: Some(now),
        }
    }

    fn is_fresh(&self, tuning: &Tuning, now: Timestamp) -> bool {
        let ttl = duration_from_ms(tuning.cluster_load_ttl_ms);
        self.reported_at.is_some_and(|at| is_fresh(at, ttl, now))
    }

    /// Returns the mean occupancy of a zone's servers, or 0 if it is unknown.
    pub(super) fn zone_occupancy(&self, tuning: &Tuning, zone: &str, now: Timestamp) -> f64 {
        if self.is_fresh(tuning, now) {
            self.zone_occupancy.get(zone).copied().unwrap_or(0.0)
        } else {
            0.0
        }
    }

    /// Returns the number of live requests of all gateways, or 0 if it is unknown.
    pub(super) fn live_requests(&self, tuning: &Tuning, now: Timestamp) -> f64 {
        if self.is_fresh(tuning, now) {
            self.live_requests
        } else {
            0.0
        }
    }
}
