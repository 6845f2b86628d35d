//! The observations of gateways, aggregated for each zone. Each gateway has one vote, regardless of its
//! number of requests, and its demand is clipped, so that a gateway that reports values a thousand times too
//! high has little influence.

mod gateway;
mod opinion;

pub use gateway::ServerCounts;
pub use opinion::Opinion;

use crate::settings::Settings;
use gateway::Gateway;
use marblecroft_control_messages::frame::DecodeError;
use marblecroft_control_messages::published::Instant;
use marblecroft_control_messages::report::{AttemptCounts, Report};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of gateways that are tracked.
pub const MAX_GATEWAYS: usize = 4096;
/// Number of votes from which the last reports suffice without the decayed attempts of earlier ones.
const SUFFICIENT_LATEST_VOTES: f64 = 3.0;
/// Minimum number of votes for an opinion.
const MIN_VOTES: f64 = 1.0;
/// Minimum number of gateways for clipping demand. With fewer, a single wrong report could distort the mean
/// of the others.
const MIN_GATEWAYS_TO_CLIP: usize = 4;
/// Upper bound of a gateway's demand relative to the mean of the others. Traffic is uneven, but not by more
/// than this.
const MAX_RELATIVE_DEMAND: f64 = 8.0;
/// Upper bound of that mean relative to the median. One wrong value has little effect on the median.
const MAX_MEAN_TO_MEDIAN: f64 = 4.0;
/// Demand up to which a gateway is not clipped, in units per second.
const MIN_CLIPPED_DEMAND: f64 = 1.0;
/// Upper bound of the units that a zone served to a gateway, relative to the demand of the gateway. It is
/// above 1 because attempts may be retried.
const MAX_SERVED_TO_DEMAND: f64 = 2.0;
/// Units per second that a zone may have served to a gateway in addition to that bound.
const MAX_EXCESS_SERVED: f64 = 1.0;
/// Maximum age of a recent report; gateways report once a second.
const RECENT_REPORT_TTL: Duration = Duration::from_millis(1600);

/// The last reports of all gateways.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    gateways: BTreeMap<u32, Gateway>,
    /// Time at which old reports were last removed.
    expired_at: Instant,
}

impl Evidence {
    /// Handles a report; a stale one has no effect.
    ///
    /// # Errors
    ///
    /// [`DecodeError::InvalidValue`] if it contains a zone that is not in the settings,
    /// [`DecodeError::TooLong`] if the gateway is new and [`MAX_GATEWAYS`] are tracked already.
    pub fn handle_report(
        &mut self,
        now: Instant,
        settings: &Settings,
        report: &Report,
    ) -> Result<(), DecodeError> {
        let index = |name: &str| settings.zone_index(name).ok_or(DecodeError::InvalidValue);
        let zone = index(&report.zone)?;
        let observed: Vec<usize> =
            report.zones.iter().map(|observation| index(&observation.zone)).collect::<Result<_, _>>()?;
        let previous = self.gateways.get(&report.gateway);
        if previous.is_some_and(|gateway| gateway.is_stale(report)) {
            return Ok(());
        }
        if previous.is_none() && self.gateways.len() >= MAX_GATEWAYS {
            return Err(DecodeError::TooLong);
        }
        // Attempts of a former incarnation used other connections, so they do not count.
        let is_current = |gateway: &&Gateway| {
            gateway.is_same_incarnation(report)
                && now.saturating_sub(gateway.reported_at) < settings.report_ttl()
        };
        let decayed_attempts = previous.filter(is_current).map_or_else(
            || vec![AttemptCounts::default(); settings.zones.len()],
            |gateway| gateway.decayed_attempts.clone(),
        );
        let gateway = Gateway::from_report(now, report, zone, &observed, decayed_attempts);
        self.gateways.insert(report.gateway, gateway);
        Ok(())
    }

    /// Removes reports that are too old.
    pub fn expire(&mut self, now: Instant, settings: &Settings) {
        self.expired_at = self.expired_at.max(now);
        self.gateways.retain(|_, gateway| now.saturating_sub(gateway.reported_at) < settings.report_ttl());
    }

    /// Returns the number of gateways with a current report.
    pub fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// Returns the number of a zone's gateways with a current report.
    pub fn gateway_count_of(&self, zone: usize) -> u32 {
        self.gateways_of(zone).count() as u32
    }

    fn gateways_of(&self, zone: usize) -> impl Iterator<Item = &Gateway> {
        self.gateways.values().filter(move |gateway| gateway.zone == zone)
    }

    /// Returns the opinion of the gateways of `from` on `to` by their last reports alone, even if there are
    /// few votes.
    pub fn latest_opinion(&self, from: usize, to: usize) -> Opinion {
        Opinion::of(self.gateways_of(from).map(|gateway| gateway.latest_attempts[to]))
    }

    /// Returns the opinion of the gateways of `from` on `to`: by their last reports if these have enough
    /// votes, otherwise by their decayed attempts.
    pub fn opinion(&self, from: usize, to: usize) -> Opinion {
        let mut opinion = self.latest_opinion(from, to);
        if opinion.votes() < SUFFICIENT_LATEST_VOTES {
            opinion = Opinion::of(self.gateways_of(from).map(|gateway| gateway.decayed_attempts[to]));
        }
        if opinion.votes() >= MIN_VOTES {
            opinion
        } else {
            Opinion::default()
        }
    }

    /// Returns the demand of a zone's gateways in units per second, each clipped relative to the other
    /// gateways of the fleet.
    pub fn demand(&self, zone: usize) -> f64 {
        let total: f64 = self.gateways.values().map(|gateway| gateway.demand).sum();
        let other_count = (self.gateways.len() as f64 - 1.0).max(1.0);
        let median = median(self.gateways.values().map(|gateway| gateway.demand));
        let max_demand = |demand: f64| {
            if self.gateways.len() < MIN_GATEWAYS_TO_CLIP {
                return f64::INFINITY;
            }
            let mean = (total - demand) / other_count;
            (MAX_RELATIVE_DEMAND * mean.min(MAX_MEAN_TO_MEDIAN * median)).max(MIN_CLIPPED_DEMAND)
        };
        self.gateways_of(zone).map(|gateway| gateway.demand.min(max_demand(gateway.demand))).sum()
    }

    /// Returns the number of servers of a zone: the median of the reports, as the server lists of gateways
    /// differ only by delay.
    ///
    /// If at least half of the gateways have a recent report, only recent reports count. The last reports of
    /// gateways that were lost together with their zone still contain its servers.
    pub fn servers(&self, zone: usize) -> ServerCounts {
        let is_recent =
            |gateway: &Gateway| self.expired_at.saturating_sub(gateway.reported_at) <= RECENT_REPORT_TTL;
        let recent_count = self.gateways.values().filter(|gateway| is_recent(gateway)).count();
        let only_recent = 2 * recent_count >= self.gateways.len();
        let counts: Vec<ServerCounts> = self
            .gateways
            .values()
            .filter(|gateway| !only_recent || is_recent(gateway))
            .filter_map(|gateway| gateway.servers[zone])
            .collect();
        ServerCounts {
            listed: median(counts.iter().map(|counts| counts.listed)),
            warm: median(counts.iter().map(|counts| counts.warm)),
        }
    }

    /// Returns the units per second that a zone served to all gateways, each clipped relative to the
    /// gateway's own demand.
    pub fn served(&self, zone: usize) -> f64 {
        let max_served = |gateway: &Gateway| gateway.demand * MAX_SERVED_TO_DEMAND + MAX_EXCESS_SERVED;
        self.gateways.values().map(|gateway| gateway.served[zone].min(max_served(gateway))).sum()
    }
}

/// Returns the upper median of values; 0 if there are none.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
