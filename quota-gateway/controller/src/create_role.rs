//! Creates a role by its name.

use crate::config::Config;
use crate::decision_role::{decode_decision, DecisionRole, Now};
use crate::fair_share_role::FairShareRole;
use crate::shard_map_role::ShardMapRole;
use crate::zone_failover_role::ZoneFailoverRole;
use marblecroft_control_messages::frame::Fleet;
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_singleton_roles::keys::Keys;
use marblecroft_zone_failover::decision::ZonesDecision;

/// Creates a role by its name. It continues from its published decision, if that can be decoded. Returns
/// `None` if there is no such role or it is not configured.
pub fn create_role(
    config: &Config,
    name: &str,
    now: Now,
    published: Option<&[u8]>,
) -> Option<Box<dyn DecisionRole>> {
    let fleet = Fleet::named(&config.fleet);
    let keys = Keys::of(&config.fleet);
    match name {
        "zones" => {
            let settings = config.zones.clone()?;
            let published = decode_decision::<ZonesDecision>(fleet, name, published);
            let zones = published.as_ref().map(|decision| &decision.body);
            Some(Box::new(ZoneFailoverRole::new(fleet, keys, config.ttl.zones_ms, settings, now, zones)))
        }
        "shares" => {
            let capacity = config.fair_share?.capacity;
            let published = decode_decision::<ShareDecision>(fleet, name, published);
            let ttl_ms = config.ttl.fair_share_ms;
            Some(Box::new(FairShareRole::new(fleet, keys, ttl_ms, capacity, now, published.as_ref())))
        }
        "books" => {
            let shard_map = config.shard_map.clone()?;
            let published = decode_decision(fleet, name, published).map(|decision| decision.body);
            let ttl_ms = config.ttl.shard_map_ms;
            Some(Box::new(ShardMapRole::new(fleet, keys, ttl_ms, shard_map, now, published)))
        }
        _ => None,
    }
}
