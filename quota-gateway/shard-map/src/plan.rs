//! Chooses the shards to migrate and their new cells: away from cells that are draining or overloaded, to the
//! nearest cell with capacity. Bounds the number of concurrent migrations and prevents flapping. Cells that
//! do not accept writes or are draining, as in a suspect or failed-over zone, get no shards.

use crate::map::{Cell, MigrationStep, ShardMap};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of unfinished migrations, as a multiple of [`Limits::max_concurrent`]. Those above the
/// limit stay planned until another migration ends.
const PLANNED_PER_CONCURRENT: usize = 2;
/// Lower bound of a capacity that is used as a divisor, in units per second.
const MIN_CAPACITY: f64 = 1e-9;

/// Status of a cell, as known to the owner.
#[derive(Clone, Debug, PartialEq)]
pub struct CellStatus {
    /// Its zone.
    pub zone: String,
    /// The region of its zone.
    pub region: String,
    /// Whether it accepts writes: the cell and its zone serve.
    pub accepts_writes: bool,
    /// Whether its shards should be migrated away: its zone is failed over or held by an operator, or an
    /// operator drains it.
    pub is_draining: bool,
    /// Units per second that it can write.
    pub capacity: f64,
    /// Units per second that it writes now.
    pub load: f64,
}

impl CellStatus {
    /// Returns whether shards may be migrated to this cell.
    pub(crate) fn accepts_shards(&self) -> bool {
        self.accepts_writes && !self.is_draining
    }

    /// Returns the fraction of its capacity that is in use.
    fn utilization(&self) -> f64 {
        self.load / self.capacity.max(MIN_CAPACITY)
    }

    /// Returns the distance to another cell: 0 in the same zone, 1 in the same region, 2 elsewhere.
    fn distance(&self, other: &CellStatus) -> u8 {
        match (self.zone == other.zone, self.region == other.region) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }
}

/// Limits on migrations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of migrations in progress.
    pub max_concurrent: usize,
    /// Minimum time that a shard stays at a cell after its migration, unless the cell is draining.
    pub min_residence: Duration,
    /// Utilization above which a cell is overloaded, so that shards are migrated away.
    pub overloaded_above: f64,
    /// Maximum utilization of a cell after a shard has been migrated to it.
    pub target_utilization: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_concurrent: 4,
            min_residence: Duration::from_secs(60),
            overloaded_above: 0.9,
            target_utilization: 0.7,
        }
    }
}

/// A migration that the owner should plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMigration {
    /// The index of the shard in the map.
    pub shard: usize,
    /// The new cell.
    pub to: Cell,
}

/// Returns the number of migrations that are past [`MigrationStep::Planned`].
pub fn migrations_in_progress(map: &ShardMap) -> usize {
    let is_in_progress = |step: MigrationStep| step > MigrationStep::Planned;
    map.shards
        .iter()
        .filter(|shard| shard.migration.is_some_and(|migration| is_in_progress(migration.step)))
        .count()
}

/// Returns the migrations that should be planned, most urgent first.
///
/// For each shard, `load` is the load in units per second, and `residence` the time since it arrived at its
/// cell.
pub fn plan_migrations(
    map: &ShardMap,
    cells: &BTreeMap<Cell, CellStatus>,
    load: &[f64],
    residence: &[Duration],
    limits: &Limits,
) -> Vec<PlannedMigration> {
    let mut planner = Planner { map, cells: cells.clone(), load, residence, limits };
    planner.count_migrating_load();
    let mut planned = Vec::new();
    let pending = map.shards.iter().filter(|shard| shard.migration.is_some()).count();
    for shard in planner.shards_by_urgency() {
        if pending + planned.len() >= PLANNED_PER_CONCURRENT * limits.max_concurrent {
            break;
        }
        if let Some(to) = planner.target(shard) {
            planner.move_load(shard, to);
            planned.push(PlannedMigration { shard, to });
        }
    }
    planned
}

/// Input of planning. The loads of the cells include the effect of unfinished migrations and of those planned
/// so far.
struct Planner<'a> {
    map: &'a ShardMap,
    cells: BTreeMap<Cell, CellStatus>,
    load: &'a [f64],
    residence: &'a [Duration],
    limits: &'a Limits,
}

impl Planner<'_> {
    fn load(&self, shard: usize) -> f64 {
        self.load.get(shard).copied().unwrap_or(0.0)
    }

    /// Adds the load of shards that are being migrated to their new cells.
    fn count_migrating_load(&mut self) {
        for (index, shard) in self.map.shards.iter().enumerate() {
            let load = self.load(index);
            if let Some(cell) = shard.migration.and_then(|migration| self.cells.get_mut(&migration.to)) {
                cell.load += load;
            }
        }
    }

    /// Returns the shards that are not being migrated: those of draining cells first, then by descending
    /// load.
    fn shards_by_urgency(&self) -> Vec<usize> {
        let shards = &self.map.shards;
        let is_draining =
            |shard: usize| self.cells.get(&shards[shard].cell).is_none_or(|cell| cell.is_draining);
        let mut order: Vec<usize> =
            (0..shards.len()).filter(|&shard| shards[shard].migration.is_none()).collect();
        order.sort_by(|&a, &b| {
            is_draining(b).cmp(&is_draining(a)).then(self.load(b).total_cmp(&self.load(a))).then(a.cmp(&b))
        });
        order
    }

    /// Returns the cell that a shard should be migrated to: of the nearest cells that accept it, the least
    /// utilized one. `None` if the shard should stay or no cell accepts it.
    fn target(&self, shard: usize) -> Option<Cell> {
        let number = self.map.shards[shard].cell;
        let from = self.cells.get(&number).filter(|from| self.should_leave(shard, from))?;
        let load = self.load(shard);
        let has_capacity =
            |cell: &CellStatus| cell.load + load <= self.limits.target_utilization * cell.capacity;
        self.cells
            .iter()
            .filter(|(other, cell)| **other != number && cell.accepts_shards() && has_capacity(cell))
            .min_by(|(a, x), (b, y)| {
                from.distance(x)
                    .cmp(&from.distance(y))
                    .then(x.utilization().total_cmp(&y.utilization()))
                    .then(a.cmp(b))
            })
            .map(|(other, _)| *other)
    }

    fn should_leave(&self, shard: usize, from: &CellStatus) -> bool {
        let arrived_recently =
            self.residence.get(shard).is_some_and(|residence| *residence < self.limits.min_residence);
        let is_overloaded = from.load > self.limits.overloaded_above * from.capacity;
        from.is_draining || is_overloaded && !arrived_recently
    }

    fn move_load(&mut self, shard: usize, to: Cell) {
        let load = self.load(shard);
        self.cells.entry(to).and_modify(|cell| cell.load += load);
        self.cells.entry(self.map.shards[shard].cell).and_modify(|cell| cell.load -= load);
    }
}
