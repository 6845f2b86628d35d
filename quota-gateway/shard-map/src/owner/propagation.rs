//! Tracks which gateways have applied a raised epoch, and from when on no gateway can write under the
//! previous epoch. Used if cells do not fence.

use super::Timing;
use crate::map::{Epoch, Firm, MigrationStep, ShardMap};
use marblecroft_control_messages::published::{Instant, Stamp};
use std::collections::BTreeMap;

/// Maximum number of gateways whose applied maps are stored.
pub const MAX_GATEWAYS: usize = 4096;

/// Maximum relative difference between the rates of two clocks; the leases of sessions assume the same.
const MAX_CLOCK_DRIFT: f64 = 0.1;

/// A raised epoch that has been published.
#[derive(Clone, Debug)]
struct RaisedEpoch {
    /// Stamp of the first map with the raised epoch.
    stamp: Stamp,
    /// Time at which that map was published.
    published_at: Instant,
    /// Time at which each gateway first reported that map or a later one. Its later reports are ignored.
    applied_at: BTreeMap<u32, Instant>,
}

/// The maps that gateways have applied, and the raised epochs that no later epoch has replaced.
#[derive(Default)]
pub(super) struct Propagation {
    /// Stamp of the map in the newest report of each gateway.
    applied: BTreeMap<u32, Stamp>,
    raised: BTreeMap<(Firm, Epoch), RaisedEpoch>,
}

impl Propagation {
    /// Handles a gateway's report of the map that it applies.
    pub(super) fn on_applied(&mut self, now: Instant, gateway: u32, stamp: Stamp) {
        if self.applied.len() >= MAX_GATEWAYS && !self.applied.contains_key(&gateway) {
            return;
        }
        self.applied.insert(gateway, stamp);
        for raised in self.raised.values_mut().filter(|raised| stamp >= raised.stamp) {
            raised.applied_at.entry(gateway).or_insert(now);
        }
    }

    /// Handles the publication of a map: stores the epochs that it raises, and removes those that it
    /// replaces.
    pub(super) fn on_published(&mut self, now: Instant, stamp: Stamp, map: &ShardMap) {
        let is_fencing = |step: MigrationStep| step == MigrationStep::Fencing;
        for shard in map
            .shards
            .iter()
            .filter(|shard| shard.migration.is_some_and(|migration| is_fencing(migration.step)))
        {
            let raised = || RaisedEpoch { stamp, published_at: now, applied_at: BTreeMap::new() };
            self.raised.entry((shard.first, shard.epoch)).or_insert_with(raised);
        }
        let epochs: BTreeMap<Firm, Epoch> =
            map.shards.iter().map(|shard| (shard.first, shard.epoch)).collect();
        self.raised.retain(|(first, epoch), _| epochs.get(first).is_some_and(|current| current <= epoch));
    }

    /// Returns whether no gateway can still write under the epoch that this raised epoch replaced.
    ///
    /// A gateway that has applied the raised epoch can still have attempts under the old epoch in flight, but
    /// starts no new ones. A gateway that has not applied it, or is unknown, may use an older map until that
    /// map expires.
    pub(super) fn has_old_epoch_expired(
        &self,
        now: Instant,
        first: Firm,
        epoch: Epoch,
        timing: &Timing,
    ) -> bool {
        let Some(raised) = self.raised.get(&(first, epoch)) else { return false };
        let expires_at = raised.published_at + timing.map_ttl.mul_f64(1.0 + MAX_CLOCK_DRIFT);
        let last_write_at = if self.has_every_gateway(raised, timing.gateways) {
            raised.applied_at.values().max().copied().unwrap_or(now).min(expires_at)
        } else {
            expires_at
        };
        now >= last_write_at + timing.max_attempt.mul_f64(1.0 + MAX_CLOCK_DRIFT)
    }

    fn has_every_gateway(&self, raised: &RaisedEpoch, gateways: usize) -> bool {
        self.applied.len() >= gateways.max(1)
            && self.applied.keys().all(|gateway| raised.applied_at.contains_key(gateway))
    }
}
