//! The owner of the shard map: plans migrations, and advances them as cells acknowledge operations and older
//! maps expire.

mod propagation;

pub use propagation::MAX_GATEWAYS;

use crate::map::{Cell, Epoch, Firm, Migration, MigrationStep, Shard, ShardMap};
use crate::migration::{cell_operation, CellOperation, MigrationError};
use crate::plan::{migrations_in_progress, plan_migrations, CellStatus, Limits};
use marblecroft_control_messages::published::{Instant, Stamp};
use propagation::Propagation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of concurrent requests to open shards that are not being migrated.
const MAX_CONCURRENT_OPENS: usize = 64;

/// Times and conditions that migrations wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Whether cells fence: they store epochs and reject writes under other epochs.
    pub fencing: bool,
    /// Configured number of gateways. While fewer have reported, an unknown gateway may use an older map.
    pub gateways: usize,
    /// Time for which a map is valid at a reader.
    pub map_ttl: Duration,
    /// Longest time that an attempt can be in flight.
    pub max_attempt: Duration,
    /// Time after which a migration whose copy has not ended is abandoned, because the new cell may be lost.
    pub step_timeout: Duration,
}

/// A cell's acknowledgement of an operation, with the first firm of its range and its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellAcknowledgement {
    /// The range is closed at this epoch, and no earlier write is in flight.
    Closed(Firm, Epoch),
    /// The new cell has all records of the range.
    Copied(Firm, Epoch),
    /// The range is open at this epoch.
    Opened(Firm, Epoch),
}

impl CellAcknowledgement {
    fn shard(self) -> (Firm, Epoch) {
        let (CellAcknowledgement::Closed(first, epoch)
        | CellAcknowledgement::Copied(first, epoch)
        | CellAcknowledgement::Opened(first, epoch)) = self;
        (first, epoch)
    }
}

/// Actions for the caller of [`Owner::tick`].
#[derive(Debug)]
pub struct TickOutput {
    /// Operations to request from cells, once the map is published.
    pub operations: Vec<CellOperation>,
    /// Whether the map has changed since the last tick and must be published.
    pub is_map_changed: bool,
}

/// The state machine of the owner, without I/O. All instants are from the owner's monotonic clock.
pub struct Owner {
    map: ShardMap,
    timing: Timing,
    limits: Limits,
    cells: BTreeMap<Cell, CellStatus>,
    started_at: Instant,
    /// Arrival time of each shard at its cell, by first firm, as shards may be split and merged.
    resident_since: BTreeMap<Firm, Instant>,
    /// Time at which each migration entered its step, by first firm.
    step_since: BTreeMap<Firm, Instant>,
    propagation: Propagation,
    is_map_changed: bool,
    /// Shards that their cells have acknowledged to this owner as open. A restarted cell has no epochs and
    /// must be requested to open its shards again.
    opened: BTreeSet<(Firm, Epoch)>,
    completed_migrations: u64,
}

impl Owner {
    /// Creates an owner with the published map. A migration step that began under a previous owner counts as
    /// begun at `now`, so that all waits start again.
    pub fn new(now: Instant, map: ShardMap, timing: Timing, limits: Limits) -> Owner {
        let resident_since = map.shards.iter().map(|shard| (shard.first, now)).collect();
        let migrating = map.shards.iter().filter(|shard| shard.migration.is_some());
        let step_since = migrating.map(|shard| (shard.first, now)).collect();
        Owner {
            map,
            timing,
            limits,
            cells: BTreeMap::new(),
            started_at: now,
            resident_since,
            step_since,
            propagation: Propagation::default(),
            is_map_changed: true,
            opened: BTreeSet::new(),
            completed_migrations: 0,
        }
    }

    /// Returns the map as it should be published.
    pub fn map(&self) -> &ShardMap {
        &self.map
    }

    /// Returns the number of migrations that were completed under this owner.
    pub fn completed_migrations(&self) -> u64 {
        self.completed_migrations
    }

    /// Sets the status of all cells.
    pub fn set_cells(&mut self, cells: BTreeMap<Cell, CellStatus>) {
        self.cells = cells;
    }

    /// Handles a gateway's report of the map that it applies.
    pub fn on_applied(&mut self, now: Instant, gateway: u32, stamp: Stamp) {
        self.propagation.on_applied(now, gateway, stamp);
    }

    /// Handles the publication of a map under this stamp. From now on gateways may apply it.
    pub fn on_published(&mut self, now: Instant, stamp: Stamp, map: &ShardMap) {
        self.propagation.on_published(now, stamp, map);
    }

    /// Plans the migration of a firm's shard to a cell, on the command of an operator.
    ///
    /// # Errors
    ///
    /// As [`ShardMap::plan`].
    pub fn on_operator_command(&mut self, now: Instant, firm: Firm, to: Cell) -> Result<(), MigrationError> {
        let index = self.map.find(firm).ok_or(MigrationError::NoSuchShard)?;
        self.map.plan(index, to)?;
        self.on_step(now, index);
        Ok(())
    }

    /// Handles a cell's acknowledgement. Acknowledgements for another migration or step have no effect.
    pub fn handle_acknowledgement(&mut self, now: Instant, acknowledgement: CellAcknowledgement) {
        let (first, epoch) = acknowledgement.shard();
        let Some(index) = self.map.find(first).filter(|&index| self.map.shards[index].first == first) else {
            return;
        };
        let shard = self.map.shards[index];
        let is_opened = matches!(acknowledgement, CellAcknowledgement::Opened(..));
        if is_opened && shard.is_open() && shard.epoch == epoch {
            self.opened.insert((first, epoch));
            return;
        }
        let advanced = match acknowledgement {
            CellAcknowledgement::Closed(..) if self.timing.fencing => self.map.mark_drained(index, epoch),
            CellAcknowledgement::Closed(..) => Err(MigrationError::WrongState),
            CellAcknowledgement::Copied(..) => self.map.mark_copied(index, epoch),
            CellAcknowledgement::Opened(..) => self.complete(index, epoch),
        };
        if advanced.is_ok() {
            self.on_step(now, index);
        }
    }

    /// Advances migrations whose next step needs no acknowledgement by a cell, and plans new ones.
    pub fn tick(&mut self, now: Instant) -> TickOutput {
        for index in 0..self.map.shards.len() {
            if self.advance(now, index).is_ok() {
                self.on_step(now, index);
            }
        }
        self.plan(now);
        self.remove_closed();
        TickOutput { operations: self.operations(), is_map_changed: std::mem::take(&mut self.is_map_changed) }
    }

    /// Advances a migration if its next step needs no acknowledgement by a cell, or abandons it. Returns an
    /// error if it stays in its step.
    fn advance(&mut self, now: Instant, index: usize) -> Result<(), MigrationError> {
        let shard = self.map.shards[index];
        let Migration { to, step } = shard.migration.ok_or(MigrationError::WrongState)?;
        let is_target_lost =
            to != shard.cell && self.cells.get(&to).is_some_and(|cell| !cell.accepts_shards());
        match step {
            MigrationStep::Planned | MigrationStep::Fencing if is_target_lost => self.map.abandon(index),
            MigrationStep::Planned if migrations_in_progress(&self.map) < self.limits.max_concurrent => {
                self.map.raise_epoch(index)
            }
            MigrationStep::Fencing if self.has_old_epoch_expired(now, &shard) => {
                self.map.mark_drained(index, shard.epoch)
            }
            // Abandoning returns the shard to the old cell, which is useful only if that cell accepts writes.
            MigrationStep::Drained
                if (is_target_lost || self.is_overdue(now, &shard)) && self.accepts_writes(shard.cell) =>
            {
                self.map.abandon(index)
            }
            MigrationStep::Copied if !self.timing.fencing => self.complete(index, shard.epoch),
            _ => Err(MigrationError::WrongState),
        }
    }

    /// Returns whether no gateway can still write under the epoch that was valid before the migration. Always
    /// false if cells fence.
    fn has_old_epoch_expired(&self, now: Instant, shard: &Shard) -> bool {
        !self.timing.fencing
            && self.propagation.has_old_epoch_expired(now, shard.first, shard.epoch, &self.timing)
    }

    fn is_overdue(&self, now: Instant, shard: &Shard) -> bool {
        let since = self.step_since.get(&shard.first).copied().unwrap_or(now);
        now.saturating_sub(since) > self.timing.step_timeout
    }

    /// Returns whether a cell accepts writes. A cell of unknown status is assumed to accept them.
    fn accepts_writes(&self, cell: Cell) -> bool {
        self.cells.get(&cell).is_none_or(|cell| cell.accepts_writes)
    }

    fn complete(&mut self, index: usize, epoch: Epoch) -> Result<(), MigrationError> {
        self.map.complete(index, epoch)?;
        self.completed_migrations += 1;
        Ok(())
    }

    /// Records that the migration of a shard has entered another step or has ended.
    fn on_step(&mut self, now: Instant, index: usize) {
        let shard = self.map.shards[index];
        if shard.migration.is_some() {
            self.step_since.insert(shard.first, now);
        } else {
            self.resident_since.insert(shard.first, now);
            self.step_since.remove(&shard.first);
        }
        self.is_map_changed = true;
    }

    fn plan(&mut self, now: Instant) {
        let since = |first: &Firm| self.resident_since.get(first).copied().unwrap_or(self.started_at);
        let residence: Vec<Duration> =
            self.map.shards.iter().map(|shard| now.saturating_sub(since(&shard.first))).collect();
        // No loads of shards are passed, because gateways do not report them.
        for planned in plan_migrations(&self.map, &self.cells, &[], &residence, &self.limits) {
            if self.map.plan(planned.shard, planned.to).is_ok() {
                self.on_step(now, planned.shard);
            }
        }
    }

    /// Removes acknowledgements of shards that are no longer open under the acknowledged epoch.
    fn remove_closed(&mut self) {
        let open = self.map.shards.iter().filter(|shard| shard.is_open());
        let open: BTreeSet<(Firm, Epoch)> = open.map(|shard| (shard.first, shard.epoch)).collect();
        self.opened.retain(|shard| open.contains(shard));
    }

    /// Returns the operations that migrations need, and the openings that cells have not acknowledged yet.
    fn operations(&self) -> Vec<CellOperation> {
        let indexes = 0..self.map.shards.len();
        let migrations =
            indexes.clone().filter_map(|index| cell_operation(&self.map, index, self.timing.fencing));
        let opens = indexes.filter_map(|index| self.open_operation(index)).take(MAX_CONCURRENT_OPENS);
        migrations.chain(opens).collect()
    }

    fn open_operation(&self, index: usize) -> Option<CellOperation> {
        let shard = self.map.shards[index];
        let Shard { first, cell, epoch, .. } = shard;
        let is_needed = self.timing.fencing && shard.is_open() && !self.opened.contains(&(first, epoch));
        is_needed.then(|| CellOperation::Open { cell, range: (first, self.map.end(index)), epoch })
    }
}
