//! The limits that one gateway derives from a decision: the fraction of its requests for each zone, and the
//! maximum rates to other zones.

use crate::decision::ZonesDecision;

/// Factor by which the demand of a gateway may grow between two decisions before its traffic to other zones
/// is limited.
pub const MAX_DEMAND_GROWTH: f64 = 1.25;
/// Upper bound of the demand of a gateway that counts, as a multiple of the mean of its zone's gateways.
const MAX_RELATIVE_DEMAND: f64 = 8.0;

/// The limits that a gateway applies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayLimits {
    /// Name of each zone, and the fraction of the gateway's requests that may go there.
    pub shares: Vec<(String, f64)>,
    /// Name of each zone other than its own, and the maximum units per second that it may send there: the
    /// decided fraction of its demand, times [`MAX_DEMAND_GROWTH`]. This bounds the effect of a jump in
    /// demand before the next decision.
    pub max_rates: Vec<(String, f64)>,
}

impl GatewayLimits {
    /// Returns the limits for a gateway of this zone with a demand in units per second. `None` if the
    /// decision does not contain the zone or has no target zone for it: the gateway then chooses zones on its
    /// own.
    pub fn for_gateway(decision: &ZonesDecision, zone_name: &str, demand: f64) -> Option<GatewayLimits> {
        let zone = decision.zone(zone_name)?;
        if zone.shares.iter().all(|share| *share <= 0.0) {
            return None;
        }
        let mean_demand = zone.demand / f64::from(zone.gateways.max(1));
        let max_total_rate = MAX_DEMAND_GROWTH * demand.min(mean_demand * MAX_RELATIVE_DEMAND);
        let shares: Vec<(String, f64)> =
            decision.zones.iter().zip(&zone.shares).map(|(to, share)| (to.name.clone(), *share)).collect();
        let to_others = shares.iter().filter(|(to, _)| to != zone_name);
        let max_rates = to_others.map(|(to, share)| (to.clone(), share * max_total_rate)).collect();
        Some(GatewayLimits { shares, max_rates })
    }
}
