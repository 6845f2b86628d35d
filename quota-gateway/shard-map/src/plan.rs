//! What moves where: away from cells that are lost, drained or full, to the nearest that has room; bounded in moves at once, in
//! distance and in flapping; never into a zone that is out or about to be.

use crate::map::{Cell, MigrationStep, ShardMap};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is known of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSeen {
    pub zone: String,
    pub region: String,
    /// Whether anything may be written there: it serves, and its zone does.
    pub takes: bool,
    /// It is to be emptied: its zone is out or held, or an operator drains it.
    pub leave: bool,
    /// Units a second that it bears, and of them written now.
    pub bears: f64,
    pub load: f64,
}

/// Bounds of moving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Books that move at the same time.
    pub at_once: usize,
    /// A book that has moved stays for this long, but for a cell that is to be emptied.
    pub rest: Duration,
    /// A cell this full of what it bears is left by books, and none is sent to one that would become as full as the second.
    pub full: (f64, f64),
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { at_once: 4, rest: Duration::from_secs(60), full: (0.9, 0.7) }
    }
}

/// One move, as it is wished for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMigration {
    pub shard: usize,
    pub to: Cell,
}

/// How far it is from one cell to another: the same zone, the same region, elsewhere.
fn distance(a: &CellSeen, b: &CellSeen) -> u8 {
    match (a.zone == b.zone, a.region == b.region) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}

/// Books that move now, by how many there are in each step but `planned`.
pub fn under_way(map: &ShardMap) -> usize {
    map.shards
        .iter()
        .filter(|book| book.migration.is_some_and(|moving| moving.step > MigrationStep::Planned))
        .count()
}

/// Moves that are worth planning, most pressing first. `load`: units a second written in each book; `rested`: for how long each
/// has stood where it is.
pub fn wishes(
    map: &ShardMap,
    cells: &BTreeMap<Cell, CellSeen>,
    load: &[f64],
    rested: &[Duration],
    limits: &Limits,
) -> Vec<PlannedMigration> {
    let mut cells = cells.clone();
    // What is on its way counts where it will be.
    for (at, book) in map.shards.iter().enumerate() {
        if let Some(cell) = book.migration.and_then(|moving| cells.get_mut(&moving.to)) {
            cell.load += load.get(at).copied().unwrap_or(0.0);
        }
    }
    let mut wishes = Vec::new();
    let mut planned = map.shards.iter().filter(|book| book.migration.is_some()).count();
    // Those of cells that are to be left first, and within them the most written.
    let mut order: Vec<usize> =
        (0..map.shards.len()).filter(|&at| map.shards[at].migration.is_none()).collect();
    let leaves =
        |at: usize, cells: &BTreeMap<Cell, CellSeen>| cells.get(&map.shards[at].cell).is_none_or(|c| c.leave);
    let units = |at: usize| load.get(at).copied().unwrap_or(0.0);
    order.sort_by(|&a, &b| {
        leaves(b, &cells).cmp(&leaves(a, &cells)).then(units(b).total_cmp(&units(a))).then(a.cmp(&b))
    });
    for at in order {
        // More are planned than move at once: each waits for its turn.
        if planned >= 2 * limits.at_once {
            break;
        }
        let Some(from) = cells.get(&map.shards[at].cell).cloned() else { continue };
        let rests = rested.get(at).is_some_and(|rested| *rested < limits.rest);
        let crowded = from.load > limits.full.0 * from.bears;
        if !(from.leave || crowded && !rests) {
            continue;
        }
        let room = |cell: &CellSeen| cell.load + units(at) <= limits.full.1 * cell.bears;
        let best = cells
            .iter()
            .filter(|(number, cell)| {
                **number != map.shards[at].cell && cell.takes && !cell.leave && room(cell)
            })
            .min_by(|(a, x), (b, y)| {
                let part = |cell: &CellSeen| cell.load / cell.bears.max(1e-9);
                distance(&from, x).cmp(&distance(&from, y)).then(part(x).total_cmp(&part(y))).then(a.cmp(b))
            })
            .map(|(number, _)| *number);
        let Some(to) = best else { continue };
        cells.entry(to).and_modify(|cell| cell.load += units(at));
        cells.entry(map.shards[at].cell).and_modify(|cell| cell.load -= units(at));
        planned += 1;
        wishes.push(PlannedMigration { shard: at, to });
    }
    wishes
}
