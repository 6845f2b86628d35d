//! The role that decides which cell serves each shard, and requests operations from cells to migrate shards.

use crate::cell_client::CellClient;
use crate::config::ShardMapConfig;
use crate::decision_role::{published_zones, DecisionRole, Now};
use marblecroft_control_messages::frame::{encode, DecodeError, Fleet};
use marblecroft_control_messages::published::{Decision, Stamp};
use marblecroft_control_messages::report::Report;
use marblecroft_shard_map::map::{Cell, Firm, ShardMap};
use marblecroft_shard_map::migration::CellOperation;
use marblecroft_shard_map::owner::{Owner, TickOutput, Timing};
use marblecroft_shard_map::plan::{CellStatus, Limits};
use marblecroft_singleton_roles::keys::{self, Keys};
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::decision::{ZoneState, ZonesDecision};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// The capacity of a zone without a published decision, in units per second.
const DEFAULT_ZONE_CAPACITY: f64 = 1e9;

/// The owner's state of the shard map.
pub struct ShardMapRole {
    fleet: Fleet,
    keys: Keys,
    ttl_ms: u32,
    config: ShardMapConfig,
    core: Owner,
    cell_client: Rc<CellClient>,
    /// The operations to request from cells after the map that needs them is published.
    operations: Vec<CellOperation>,
    /// The map that is being published.
    publishing: Option<ShardMap>,
    /// The fencing token of the last decision.
    token: u64,
    /// The number of completed migrations in the last log line.
    logged_migrations: u64,
}

impl ShardMapRole {
    /// Creates the role, which continues from the published map. Readers may use each map for `ttl_ms`
    /// milliseconds.
    pub fn new(
        fleet: Fleet,
        keys: Keys,
        ttl_ms: u32,
        config: ShardMapConfig,
        now: Now,
        published: Option<ShardMap>,
    ) -> ShardMapRole {
        let map = published.unwrap_or_else(|| {
            let cells: Vec<Cell> = config.cells.iter().map(|cell| cell.number).collect();
            ShardMap::even(config.shard_count, &cells)
        });
        let timing = Timing {
            fencing: config.fencing,
            gateways: config.gateways,
            map_ttl: Duration::from_millis(ttl_ms.into()),
            max_attempt: Duration::from_millis(config.max_attempt_ms),
            step_timeout: Duration::from_millis(config.step_timeout_ms),
        };
        let addresses = config.cells.iter().map(|cell| (cell.number, cell.address)).collect();
        ShardMapRole {
            fleet,
            keys,
            ttl_ms,
            core: Owner::new(now, map, timing, Limits::default()),
            cell_client: CellClient::new(fleet, addresses),
            config,
            operations: Vec::new(),
            publishing: None,
            token: 0,
            logged_migrations: 0,
        }
    }

    /// Derives the status of the cells from the decision on the zones. The capacity of a zone is divided
    /// evenly among its cells.
    fn cell_status(&self, zones: Option<&ZonesDecision>) -> BTreeMap<Cell, CellStatus> {
        let state_and_capacity = |name: &str| {
            let zone = zones?.zones.iter().find(|zone| zone.name == name)?;
            Some((zone.state, zone.capacity))
        };
        let cells_in = |name: &str| self.config.cells.iter().filter(|cell| cell.zone == name).count().max(1);
        let status = self.config.cells.iter().map(|cell| {
            let (state, capacity) =
                state_and_capacity(&cell.zone).unwrap_or((ZoneState::Serving, DEFAULT_ZONE_CAPACITY));
            let status = CellStatus {
                zone: cell.zone.clone(),
                region: cell.region.clone(),
                // No shards are migrated into a zone that may be about to fail over, or that has just
                // returned.
                accepts_writes: state == ZoneState::Serving,
                is_draining: matches!(state, ZoneState::FailedOver | ZoneState::HeldByOperator),
                capacity: capacity / cells_in(&cell.zone) as f64,
                load: 0.0,
            };
            (cell.number, status)
        });
        status.collect()
    }

    /// Applies the operators' overrides: migrates the shard of a firm to the given cell, if that accepts
    /// writes.
    fn apply_overrides(&mut self, now: Now, view: &View, cells: &BTreeMap<Cell, CellStatus>) {
        let prefix = self.keys.shard_override("");
        for (firm, bytes) in view.entries_under(&prefix) {
            let (Ok(firm), Some(to)) = (firm.parse::<Firm>(), keys::decode_value::<Cell>(bytes)) else {
                continue;
            };
            let accepts = cells.get(&to).is_some_and(|cell| cell.accepts_writes && !cell.is_draining);
            if !(accepts && self.can_migrate(firm, to)) {
                continue;
            }
            if let Err(why) = self.core.on_operator_command(now, firm, to) {
                warn!(firm, to, ?why, "cannot migrate the shard of firm {firm} to cell {to}: {why:?}");
            }
        }
    }

    /// Returns whether the shard of a firm is at another cell and is not being migrated.
    fn can_migrate(&self, firm: Firm, to: Cell) -> bool {
        let map = self.core.map();
        let shard = map.find(firm).map(|index| map.shards[index]);
        shard.is_some_and(|shard| shard.migration.is_none() && shard.cell != to)
    }

    fn log_migrations(&mut self) {
        let moves = self.core.completed_migrations();
        if moves > self.logged_migrations {
            info!(moves, "{moves} shards have been migrated by this owner");
            self.logged_migrations = moves;
        }
    }
}

impl DecisionRole for ShardMapRole {
    fn handle_report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError> {
        self.core.on_applied(now, report.gateway, report.applied_decisions.shard_map);
        Ok(())
    }

    fn handle_view(&mut self, now: Now, view: &View) {
        let zones = published_zones(self.fleet, &self.keys, view);
        let cells = self.cell_status(zones.as_ref());
        self.apply_overrides(now, view, &cells);
        self.core.set_cells(cells);
        for acknowledgement in self.cell_client.take_acknowledgements() {
            self.core.handle_acknowledgement(now, acknowledgement);
        }
    }

    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>> {
        self.token = stamp.token;
        let TickOutput { operations, is_map_changed } = self.core.tick(now);
        self.operations = operations;
        self.log_migrations();
        if !(is_map_changed || self.publishing.is_some()) {
            return None;
        }
        let map = self.core.map().clone();
        self.publishing = Some(map.clone());
        encode(self.fleet, &Decision { stamp, valid_ms: self.ttl_ms, body: map })
    }

    fn on_published(&mut self, now: Now, stamp: Stamp) {
        if let Some(map) = self.publishing.take() {
            self.core.on_published(now, stamp, &map);
        }
    }

    fn act(&mut self) {
        // Operations are requested from cells only after the map that needs them is confirmed to be
        // published.
        if self.publishing.is_none() {
            for operation in std::mem::take(&mut self.operations) {
                self.cell_client.request(self.token, operation);
            }
        }
    }

    fn cell_client(&self) -> Option<Rc<CellClient>> {
        Some(self.cell_client.clone())
    }
}
