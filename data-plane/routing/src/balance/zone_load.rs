//! The load of whole zones: what this gateway reports of its own requests, and what the stores return of all gateways.
//!
//! Gateways of different zones do not exchange load with each other. Each reports a moving average per zone with its call to
//! the stores, whose head returns the sums. The sums are some hundred milliseconds old, which is why they count as a floor
//! for the occupancy of a remote server and not as its load.

use super::endpoint::Endpoint;
use super::LoadBalancer;
use crate::ewma::Ewma;
use crate::tuning::{duration_from_ms, Tuning};
use crate::Now;
use marblecroft_protocol::load::ZoneLoad;
use std::collections::HashMap;

/// Moving averages of this gateway's requests in flight, by the zone of their server.
#[derive(Debug, Default)]
pub(super) struct ZoneAverages {
    averages: HashMap<String, Ewma>,
    as_of: Now,
}

impl ZoneAverages {
    /// Advances the averages to `now`; to be called before a count of requests in flight changes. The average of a zone that
    /// has no endpoint left stays as it is.
    pub(super) fn advance<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        tuning: &Tuning,
        now: Now,
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
}

/// The load of all gateways together, as the stores last reported it.
#[derive(Debug, Default)]
pub(super) struct ClusterLoad {
    /// Requests in flight at the servers of each zone, as a share of their slots.
    zone_occupancy: HashMap<String, f64>,
    /// Live requests at all servers.
    live_requests: f64,
    reported_at: Option<Now>,
}

impl ClusterLoad {
    fn is_fresh(&self, tuning: &Tuning, now: Now) -> bool {
        let ttl = duration_from_ms(tuning.cluster_load_ttl_ms);
        self.reported_at.is_some_and(|at| super::is_fresh(at, ttl, now))
    }

    /// Returns the mean occupancy of a zone's servers; 0 where it is not known.
    pub(super) fn zone_occupancy(&self, tuning: &Tuning, zone: &str, now: Now) -> f64 {
        if self.is_fresh(tuning, now) {
            self.zone_occupancy.get(zone).copied().unwrap_or(0.0)
        } else {
            0.0
        }
    }

    /// Returns the live requests of all gateways; 0 where they are not known.
    pub(super) fn live_requests(&self, tuning: &Tuning, now: Now) -> f64 {
        if self.is_fresh(tuning, now) {
            self.live_requests
        } else {
            0.0
        }
    }
}

impl LoadBalancer {
    /// Advances the averages of this gateway's requests by zone; called before any count of them changes.
    pub(super) fn advance_zone_averages(&mut self, now: Now) {
        self.zone_averages.advance(self.endpoints.values(), &self.tuning, now);
    }

    /// Returns the moving averages of this gateway's requests in flight, by zone.
    pub fn zone_averages(&mut self, now: Now) -> Vec<ZoneLoad> {
        self.advance_zone_averages(now);
        let averages = self.zone_averages.averages.iter();
        averages
            .map(|(zone, average)| ZoneLoad { zone: zone.clone(), in_flight: average.average() as f32 })
            .collect()
    }

    /// Handles a report of the load of all gateways together: requests in flight by zone, and `live` requests at all
    /// servers. It replaces the one before.
    pub fn on_cluster_load(&mut self, zones: &[ZoneLoad], live: f32, now: Now) {
        let mut slots: HashMap<&str, u32> = HashMap::new();
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.is_available()) {
            *slots.entry(&endpoint.server.zone).or_default() += endpoint.server.slots;
        }
        let occupancy = |zone: &ZoneLoad| {
            let slots = slots.get(zone.zone.as_str()).copied().unwrap_or(0);
            f64::from(zone.in_flight) / f64::from(slots.max(1))
        };
        self.cluster_load = ClusterLoad {
            zone_occupancy: zones.iter().map(|zone| (zone.zone.clone(), occupancy(zone))).collect(),
            live_requests: f64::from(live),
            reported_at: Some(now),
        };
    }
}
