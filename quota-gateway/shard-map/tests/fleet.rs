//! Simulated migrations on a virtual clock, with and without cell fencing: gateways have maps of any age,
//! owners are replaced at any step, and cells and zones are lost. `BOOKS_SEEDS` sets the number of seeds.

use marblecroft_control_messages::published::{Body, Decision, DecisionReader, Stamp};
use marblecroft_shard_map::fencing::EpochFence;
use marblecroft_shard_map::map::{Cell, Epoch, Firm, MigrationStep, Shard, ShardMap, FIRM_END};
use marblecroft_shard_map::migration::CellOperation;
use marblecroft_shard_map::owner::{CellAcknowledgement, Owner, TickOutput, Timing};
use marblecroft_shard_map::plan::{migrations_in_progress, CellStatus, Limits};
use marblecroft_shard_map::ticket::Ticket;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a map is valid, in milliseconds.
const MAP_TTL_MS: u64 = 3000;
/// Longest time that an attempt can be in flight, in milliseconds.
const MAX_ATTEMPT_MS: u64 = 2000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Default)]
struct SimulatedCell {
    fence: EpochFence,
    /// Pay runs that are stored here, with their firms.
    records: BTreeSet<(u64, Firm)>,
    is_lost: bool,
}

/// A write in flight: time of arrival, pay run, firm, cell and epoch.
type Write = (u64, u64, Firm, Cell, Epoch);

struct SimulatedFleet {
    rng: ChaCha8Rng,
    now: u64,
    fencing: bool,
    cells: BTreeMap<Cell, SimulatedCell>,
    gateways: Vec<DecisionReader<ShardMap>>,
    unreachable_gateways: BTreeSet<usize>,
    owner: Owner,
    stamp: Stamp,
    published: ShardMap,
    /// Maps in flight, with the time and the gateway of their arrival.
    maps: Vec<(u64, usize, Decision<ShardMap>)>,
    writes: Vec<Write>,
    /// Requests to cells in flight, with the time of their arrival.
    requests: Vec<(u64, CellOperation)>,
    acknowledged: Vec<(u64, Firm)>,
    /// The cell that each pay run was written to.
    written_to: BTreeMap<u64, Cell>,
    run_count: u64,
    rejected_writes: u64,
    /// First firms of the shards that are closed to writes, with the time since when.
    closed_since: BTreeMap<Firm, u64>,
    /// Times for which shards were closed to writes.
    pauses: Vec<u64>,
}

impl SimulatedFleet {
    fn new(seed: u64, fencing: bool, shards: usize, cells: u32, gateways: usize) -> SimulatedFleet {
        let numbers: Vec<Cell> = (0..cells).collect();
        let map = ShardMap::even(shards, &numbers);
        let mut simulated_cells: BTreeMap<Cell, SimulatedCell> =
            numbers.iter().map(|cell| (*cell, SimulatedCell::default())).collect();
        for (i, shard) in map.shards.iter().enumerate() {
            simulated_cells.get_mut(&shard.cell).unwrap().fence.set((shard.first, map.end(i)), 1, true);
        }
        let mut fleet = SimulatedFleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            fencing,
            cells: simulated_cells,
            gateways: vec![DecisionReader::default(); gateways],
            unreachable_gateways: BTreeSet::new(),
            owner: Owner::new(at(0), map.clone(), timing(fencing, gateways), Limits::default()),
            stamp: Stamp { token: 1, revision: 0 },
            published: map,
            maps: Vec::new(),
            writes: Vec::new(),
            requests: Vec::new(),
            acknowledged: Vec::new(),
            written_to: BTreeMap::new(),
            run_count: 0,
            rejected_writes: 0,
            closed_since: BTreeMap::new(),
            pauses: Vec::new(),
        };
        fleet.update_cell_status();
        fleet
    }

    /// Passes the status of all cells to the owner.
    fn update_cell_status(&mut self) {
        let status = |(number, cell): (&Cell, &SimulatedCell)| {
            let zone = format!("hall-{}", number % 3);
            let region = if number % 3 < 2 { "east" } else { "west" }.to_owned();
            (
                *number,
                CellStatus {
                    zone,
                    region,
                    accepts_writes: !cell.is_lost,
                    is_draining: cell.is_lost,
                    capacity: 1000.0,
                    load: 10.0,
                },
            )
        };
        self.owner.set_cells(self.cells.iter().map(status).collect());
    }

    /// Replaces the owner. The new one starts with the published map, without any unpublished state of its
    /// predecessor.
    fn replace_owner(&mut self) {
        self.owner = Owner::new(
            at(self.now),
            self.published.clone(),
            timing(self.fencing, self.gateways.len()),
            Limits::default(),
        );
        self.stamp = Stamp { token: self.stamp.token + 1, revision: 0 };
        self.update_cell_status();
    }

    fn publish(&mut self) {
        let map = self.owner.map().clone();
        assert!(map.is_valid(), "{map:?}");
        for (i, shard) in map.shards.iter().enumerate() {
            let before = self.published.find(shard.first).map(|index| self.published.shards[index].epoch);
            assert!(
                before <= Some(shard.epoch),
                "shard {i}: the epoch fell from {before:?} to {}",
                shard.epoch
            );
            if shard.is_open() {
                if let Some(since) = self.closed_since.remove(&shard.first) {
                    self.pauses.push(self.now - since);
                }
            } else {
                self.closed_since.entry(shard.first).or_insert(self.now);
            }
        }
        assert!(
            migrations_in_progress(&map) <= Limits::default().max_concurrent,
            "{} migrations are in progress",
            migrations_in_progress(&map)
        );
        self.stamp.revision += 1;
        self.published = map.clone();
        self.owner.on_published(at(self.now), self.stamp, &map);
    }

    fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        // Gateways read the published map from time to time and with a delay, and report the map that they
        // apply.
        for g in 0..self.gateways.len() {
            if !self.unreachable_gateways.contains(&g) && self.rng.random::<f64>() < 0.05 {
                let body = self.published.clone();
                let decision = Decision { stamp: self.stamp, valid_ms: MAP_TTL_MS as u32, body };
                self.maps.push((now + self.rng.random_range(5..150), g, decision));
            }
            if !self.unreachable_gateways.contains(&g) && self.rng.random::<f64>() < 0.02 {
                let applied = self.gateways[g].stamp().unwrap_or_default();
                self.owner.on_applied(at(now), g as u32, applied);
            }
        }
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.maps).into_iter().partition(|(arrives_at, ..)| *arrives_at <= now);
        self.maps = in_flight;
        for (arrived_at, g, decision) in arrived {
            // Validity starts when the read was sent, at most 150 ms before the arrival.
            self.gateways[g].accept(at(arrived_at.saturating_sub(150)), decision);
        }
        // Pay runs of random firms at random gateways.
        for _ in 0..2 {
            let (g, firm) =
                (self.rng.random_range(0..self.gateways.len()), self.rng.random_range(0..FIRM_END));
            self.run_count += 1;
            if let Some((cell, epoch)) = Ticket::acquire(at(now), &self.gateways[g], firm)
                .ok()
                .and_then(|ticket| ticket.destination(at(now)))
            {
                let max_delay = if self.rng.random::<f64>() < 0.1 { MAX_ATTEMPT_MS - 50 } else { 40 };
                self.writes.push((
                    now + self.rng.random_range(5..=max_delay),
                    self.run_count,
                    firm,
                    cell,
                    epoch,
                ));
            }
        }
        let (arrived, in_flight): (Vec<Write>, Vec<Write>) =
            std::mem::take(&mut self.writes).into_iter().partition(|(arrives_at, ..)| *arrives_at <= now);
        self.writes = in_flight;
        for (_, run, firm, cell, epoch) in arrived {
            self.handle_write(run, firm, cell, epoch);
        }
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.requests).into_iter().partition(|(arrives_at, _)| *arrives_at <= now);
        self.requests = in_flight;
        for (_, operation) in arrived {
            self.handle_request(operation);
        }
        let TickOutput { operations, is_map_changed } = self.owner.tick(at(now));
        for operation in operations {
            // The owner repeats a request until it is acknowledged; each one may be delayed or lost.
            if self.rng.random::<f64>() < 0.2 {
                self.requests.push((now + self.rng.random_range(2..60), operation));
            }
        }
        if is_map_changed {
            self.publish();
        }
    }

    fn handle_write(&mut self, run: u64, firm: Firm, cell: Cell, epoch: Epoch) {
        let simulated_cell = self.cells.get_mut(&cell).expect("a known cell");
        if simulated_cell.is_lost {
            return;
        }
        if self.fencing && simulated_cell.fence.admit(firm, epoch).is_err() {
            self.rejected_writes += 1;
            return;
        }
        let shard = self.published.shards[self.published.find(firm).expect("a shard")];
        // In an abandoned migration, back to this cell, the records have never left it.
        let is_drained = shard
            .migration
            .is_some_and(|migration| migration.step >= MigrationStep::Drained && migration.to != cell);
        assert!(
            !(is_drained && epoch < shard.epoch),
            "write under epoch {epoch} to a range that was drained at epoch {}",
            shard.epoch
        );
        assert!(
            self.written_to.insert(run, cell).is_none_or(|previous| previous == cell),
            "run {run} was written to two cells"
        );
        simulated_cell.records.insert((run, firm));
        self.acknowledged.push((run, firm));
    }

    fn handle_request(&mut self, operation: CellOperation) {
        let now = at(self.now);
        match operation {
            CellOperation::Close { cell, range, epoch } | CellOperation::Open { cell, range, epoch }
                if !self.cells[&cell].is_lost =>
            {
                let open = matches!(operation, CellOperation::Open { .. });
                if self.cells.get_mut(&cell).unwrap().fence.set(range, epoch, open) {
                    let acknowledgement = if open {
                        CellAcknowledgement::Opened(range.0, epoch)
                    } else {
                        CellAcknowledgement::Closed(range.0, epoch)
                    };
                    self.owner.handle_acknowledgement(now, acknowledgement);
                }
            }
            CellOperation::Copy { cell, to, range, epoch }
                if !self.cells[&cell].is_lost && !self.cells[&to].is_lost =>
            {
                let copied: Vec<_> = self.cells[&cell]
                    .records
                    .iter()
                    .filter(|(_, firm)| (range.0..range.1).contains(firm))
                    .copied()
                    .collect();
                self.cells.get_mut(&to).unwrap().records.extend(copied);
                self.owner.handle_acknowledgement(now, CellAcknowledgement::Copied(range.0, epoch));
            }
            _ => {}
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.step();
        }
    }

    /// Asserts that every acknowledged pay run is stored at the cell that serves its shard.
    fn assert_nothing_lost(&self, case: &str) {
        for (run, firm) in &self.acknowledged {
            let shard = self.published.shards[self.published.find(*firm).expect("a shard")];
            let cell = shard
                .migration
                .filter(|migration| migration.step == MigrationStep::Copied)
                .map_or(shard.cell, |migration| migration.to);
            assert!(
                self.cells[&cell].records.contains(&(*run, *firm)),
                "{case}: run {run} of firm {firm} is not at cell {cell}"
            );
        }
    }
}

fn timing(fencing: bool, gateways: usize) -> Timing {
    Timing {
        fencing,
        gateways,
        map_ttl: at(MAP_TTL_MS),
        max_attempt: at(MAX_ATTEMPT_MS),
        step_timeout: at(20_000),
    }
}

fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let count = std::env::var("BOOKS_SEEDS").ok().and_then(|n| n.parse().ok());
    0..count.unwrap_or(default_count)
}

/// An operator commands 4 or 64 migrations while owners are replaced at random steps and gateways are
/// unreachable. No acknowledged pay run is lost, none is written to a drained range or to two cells, and all
/// migrations end.
#[test]
fn migrations_end_and_lose_nothing_when_owners_are_replaced() {
    for seed in seeds(60) {
        let fencing = seed % 2 == 0;
        let case = format!("seed {seed}, fencing {fencing}");
        let mut fleet = SimulatedFleet::new(seed, fencing, 64, 6, 10);
        fleet.run(500);
        let commands = if seed % 5 == 0 { 64 } else { 4 };
        for i in 0..commands {
            let firm = FIRM_END / 64 * (i * 7 % 64);
            let to = fleet.rng.random_range(0..6);
            // The command is rejected if the shard is at this cell or being migrated already.
            let _ = fleet.owner.on_operator_command(at(fleet.now), firm, to);
        }
        for _ in 0..fleet.rng.random_range(0..5) {
            let ms = fleet.rng.random_range(10..1500);
            fleet.run(ms);
            fleet.replace_owner();
        }
        if seed % 3 == 0 {
            fleet.unreachable_gateways = (0..3).collect();
        }
        fleet.run(if fencing { 20_000 } else { 120_000 });
        fleet.unreachable_gateways.clear();
        fleet.run(1000);
        assert!(
            fleet.published.shards.iter().all(|shard| shard.migration.is_none()),
            "{case}: {:?}",
            fleet.published
        );
        fleet.assert_nothing_lost(&case);
        assert!(!fleet.pauses.is_empty() && fleet.acknowledged.len() > 1000, "{case}");
        if fencing {
            fleet.pauses.sort_unstable();
            let p90 = fleet.pauses[fleet.pauses.len() * 9 / 10];
            assert!(p90 < 5000, "{case}: the 90th percentile of the pauses is {p90} ms");
        }
    }
}

/// A zone is lost while shards are being migrated to one of its cells. All shards must leave its cells, and
/// no migration may remain unfinished.
#[test]
fn shards_leave_a_lost_zone_and_none_is_migrated_into_it() {
    for seed in seeds(20) {
        let case = format!("seed {seed}");
        let mut fleet = SimulatedFleet::new(seed, true, 24, 6, 6);
        fleet.run(500);
        for i in 0..4 {
            let _ = fleet.owner.on_operator_command(at(fleet.now), FIRM_END / 24 * (i * 6 + 1), 5);
        }
        fleet.run(30 + seed * 20);
        // The zone of cells 2 and 5 is lost. After 3 s its cells respond again, so that shards can be copied,
        // but accept no writes.
        for cell in [2, 5] {
            fleet.cells.get_mut(&cell).unwrap().is_lost = true;
        }
        fleet.update_cell_status();
        fleet.run(3000);
        for cell in [2, 5] {
            fleet.cells.get_mut(&cell).unwrap().is_lost = false;
        }
        let mut cells = BTreeMap::new();
        for number in 0..6 {
            let is_out = number == 2 || number == 5;
            let zone = format!("hall-{}", number % 3);
            cells.insert(
                number,
                CellStatus {
                    zone,
                    region: String::new(),
                    accepts_writes: !is_out,
                    is_draining: is_out,
                    capacity: 1000.0,
                    load: 10.0,
                },
            );
        }
        fleet.owner.set_cells(cells);
        fleet.run(60_000);
        let remaining = fleet.published.shards.iter().filter(|shard| [2, 5].contains(&shard.cell)).count();
        assert_eq!(remaining, 0, "{case}: {:?}", fleet.published);
        assert!(fleet.published.shards.iter().all(|shard| shard.migration.is_none()), "{case}");
        fleet.assert_nothing_lost(&case);
    }
}

proptest! {
    /// For any sequence of requests the epochs of a cell never fall, and a range that was closed at an epoch
    /// is never reopened at the same epoch.
    #[test]
    fn the_epochs_of_a_fence_never_fall(
        requests in proptest::collection::vec((0u64..16, 1u64..16, 1u64..6, any::<bool>()), 1..80),
    ) {
        let (mut fence, unit) = (EpochFence::default(), FIRM_END / 16);
        for (first, width, epoch, open) in requests {
            let range = (first * unit, ((first + width) * unit).min(FIRM_END));
            let before: Vec<_> = (0..16)
                .map(|i| (fence.epoch(i * unit), fence.admit(i * unit, fence.epoch(i * unit))))
                .collect();
            let is_set = fence.set(range, epoch, open);
            for (i, (old_epoch, old_result)) in (0..16).zip(before) {
                let is_inside = (range.0..range.1).contains(&(i * unit));
                prop_assert!(fence.epoch(i * unit) >= old_epoch);
                if is_set && is_inside {
                    prop_assert_eq!(fence.admit(i * unit, epoch).is_ok(), open);
                    prop_assert!(
                        !(open && epoch == old_epoch && old_result.is_err()),
                        "reopened at the same epoch"
                    );
                } else {
                    prop_assert_eq!(fence.epoch(i * unit), old_epoch);
                }
                prop_assert!(fence.admit(i * unit, epoch + 1).is_err() || fence.epoch(i * unit) == epoch + 1);
            }
        }
    }

    /// Splits and merges keep a map valid and every firm at its cell and epoch. Empty maps, and maps with
    /// gaps, overlaps, firms out of range or epoch 0, are invalid.
    #[test]
    fn splits_and_merges_keep_a_map_valid(
        changes in proptest::collection::vec((0usize..8, 1u64..FIRM_END, any::<bool>()), 1..40),
    ) {
        let mut map = ShardMap::even(4, &[0, 1]);
        for (index, middle, is_merge) in changes {
            let before = map.clone();
            let result = if is_merge { map.merge(index) } else { map.split(index, middle) };
            prop_assert!(map.is_valid());
            prop_assert_eq!(result.is_err(), map == before);
            for firm in [0, middle, FIRM_END - 1] {
                let (a, b) = (before.find(firm).unwrap(), map.find(firm).unwrap());
                prop_assert_eq!(
                    (before.shards[a].cell, before.shards[a].epoch),
                    (map.shards[b].cell, map.shards[b].epoch)
                );
            }
        }
        let invalidations: [fn(&mut Vec<Shard>); 5] = [
            |shards| shards.clear(),
            |shards| shards[0].first = 1,
            |shards| shards.push(Shard { first: FIRM_END, ..shards[0] }),
            |shards| shards.insert(1, shards[0]),
            |shards| shards[0].epoch = 0,
        ];
        for invalidate in invalidations {
            let mut invalid = map.clone();
            invalidate(&mut invalid.shards);
            prop_assert!(!invalid.is_valid());
        }
    }
}
