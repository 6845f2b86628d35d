//! Moves on a virtual clock: cells that fence or not, gateways with maps of any age, owners that are replaced at any step, cells and
//! zones that are lost. `BOOKS_SEEDS` plays more of them.

use marblecroft_control_messages::published::{Body, Decision, DecisionReader, Stamp};
use marblecroft_shard_map::fencing::EpochFence;
use marblecroft_shard_map::map::{Cell, Epoch, Firm, MigrationStep, Shard, ShardMap, FIRM_END};
use marblecroft_shard_map::migration::CellOperation;
use marblecroft_shard_map::owner::{CellAnswer, Owner, TickOutput, Timing};
use marblecroft_shard_map::plan::{migrations_in_progress, CellStatus, Limits};
use marblecroft_shard_map::ticket::Ticket;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const VALID: u64 = 3000;
const ATTEMPT: u64 = 2000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Default)]
struct CellState {
    fence: EpochFence,
    has: BTreeSet<(u64, Firm)>,
    lost: bool,
}

/// A write on its way: when it comes, of which run and firm, where, under which epoch.
type Write = (u64, u64, Firm, Cell, Epoch);

struct World {
    rng: ChaCha8Rng,
    now: u64,
    fencing: bool,
    cells: BTreeMap<Cell, CellState>,
    gateways: Vec<DecisionReader<ShardMap>>,
    deaf: BTreeSet<usize>,
    owner: Owner,
    stamp: Stamp,
    published: ShardMap,
    readings: Vec<(u64, usize, Decision<ShardMap>)>,
    writes: Vec<Write>,
    asks: Vec<(u64, CellOperation)>,
    acknowledged: Vec<(u64, Firm)>,
    taken: BTreeMap<u64, Cell>,
    runs: u64,
    late_refused: u64,
    /// Each pause of a book, from its fencing to its serving again.
    paused: BTreeMap<Firm, u64>,
    pauses: Vec<u64>,
}

impl World {
    fn new(seed: u64, fencing: bool, books: usize, cells: u32, gateways: usize) -> World {
        let numbers: Vec<Cell> = (0..cells).collect();
        let map = ShardMap::even(books, &numbers);
        let mut states: BTreeMap<Cell, CellState> =
            numbers.iter().map(|cell| (*cell, CellState::default())).collect();
        for (i, book) in map.shards.iter().enumerate() {
            states.get_mut(&book.cell).unwrap().fence.set((book.first, map.end(i)), 1, true);
        }
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            fencing,
            cells: states,
            gateways: vec![DecisionReader::default(); gateways],
            deaf: BTreeSet::new(),
            owner: Owner::new(at(0), map.clone(), timing(fencing, gateways), Limits::default()),
            stamp: Stamp { token: 1, revision: 0 },
            published: map,
            readings: Vec::new(),
            writes: Vec::new(),
            asks: Vec::new(),
            acknowledged: Vec::new(),
            taken: BTreeMap::new(),
            runs: 0,
            late_refused: 0,
            paused: BTreeMap::new(),
            pauses: Vec::new(),
        };
        world.see_cells();
        world
    }

    fn see_cells(&mut self) {
        let seen = |(number, state): (&Cell, &CellState)| {
            let zone = format!("hall-{}", number % 3);
            let region = if number % 3 < 2 { "east" } else { "west" }.to_owned();
            (
                *number,
                CellStatus {
                    zone,
                    region,
                    accepts_writes: !state.lost,
                    is_draining: state.lost,
                    capacity: 1000.0,
                    load: 10.0,
                },
            )
        };
        self.owner.set_cells(self.cells.iter().map(seen).collect());
    }

    fn succeed(&mut self) {
        // The next owner begins with what was published, whatever the last one had in mind.
        self.owner = Owner::new(
            at(self.now),
            self.published.clone(),
            timing(self.fencing, self.gateways.len()),
            Limits::default(),
        );
        self.stamp = Stamp { token: self.stamp.token + 1, revision: 0 };
        self.see_cells();
    }

    fn publish(&mut self) {
        let map = self.owner.map().clone();
        assert!(map.is_valid(), "{map:?}");
        for (i, book) in map.shards.iter().enumerate() {
            let before = self.published.find(book.first).map(|at| self.published.shards[at].epoch);
            assert!(before <= Some(book.epoch), "book {i}: an epoch fell from {before:?} to {}", book.epoch);
            if book.is_open() {
                if let Some(since) = self.paused.remove(&book.first) {
                    self.pauses.push(self.now - since);
                }
            } else {
                self.paused.entry(book.first).or_insert(self.now);
            }
        }
        assert!(
            migrations_in_progress(&map) <= Limits::default().max_concurrent,
            "{} at once",
            migrations_in_progress(&map)
        );
        self.stamp.revision += 1;
        self.published = map.clone();
        self.owner.on_published(at(self.now), self.stamp, &map);
    }

    fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        // Gateways read what is published, late, now and then; and tell what they go by.
        for g in 0..self.gateways.len() {
            if !self.deaf.contains(&g) && self.rng.random::<f64>() < 0.05 {
                let body = self.published.clone();
                let decision = Decision { stamp: self.stamp, valid_ms: VALID as u32, body };
                self.readings.push((now + self.rng.random_range(5..150), g, decision));
            }
            if !self.deaf.contains(&g) && self.rng.random::<f64>() < 0.02 {
                let goes_by = self.gateways[g].stamp().unwrap_or_default();
                self.owner.on_applied(at(now), g as u32, goes_by);
            }
        }
        let (come, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.readings).into_iter().partition(|(when, ..)| *when <= now);
        self.readings = later;
        for (when, g, decision) in come {
            // Read at the earliest when it left.
            self.gateways[g].accept(at(when.saturating_sub(150)), decision);
        }
        // Pay runs, each for some firm at some gateway.
        for _ in 0..2 {
            let (g, firm) =
                (self.rng.random_range(0..self.gateways.len()), self.rng.random_range(0..FIRM_END));
            self.runs += 1;
            if let Some((cell, epoch)) = Ticket::acquire(at(now), &self.gateways[g], firm)
                .ok()
                .and_then(|ticket| ticket.destination(at(now)))
            {
                let slow = if self.rng.random::<f64>() < 0.1 { ATTEMPT - 50 } else { 40 };
                self.writes.push((now + self.rng.random_range(5..=slow), self.runs, firm, cell, epoch));
            }
        }
        let (come, later): (Vec<Write>, Vec<Write>) =
            std::mem::take(&mut self.writes).into_iter().partition(|(when, ..)| *when <= now);
        self.writes = later;
        for (_, run, firm, cell, epoch) in come {
            self.arrive(run, firm, cell, epoch);
        }
        let (come, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.asks).into_iter().partition(|(when, _)| *when <= now);
        self.asks = later;
        for (_, ask) in come {
            self.obey(ask);
        }
        let TickOutput { operations: asks, is_map_changed: publish } = self.owner.tick(at(now));
        for ask in asks {
            // Asked again and again until it is answered; each may be late, or lost.
            if self.rng.random::<f64>() < 0.2 {
                self.asks.push((now + self.rng.random_range(2..60), ask));
            }
        }
        if publish {
            self.publish();
        }
    }

    fn arrive(&mut self, run: u64, firm: Firm, cell: Cell, epoch: Epoch) {
        let state = self.cells.get_mut(&cell).expect("a cell");
        if state.lost {
            return;
        }
        if self.fencing && state.fence.admit(firm, epoch).is_err() {
            self.late_refused += 1;
            return;
        }
        let book = self.published.shards[self.published.find(firm).expect("a book")];
        // On its way back to this very cell nothing has left it.
        let drained =
            book.migration.is_some_and(|moving| moving.step >= MigrationStep::Drained && moving.to != cell);
        assert!(
            !(drained && epoch < book.epoch),
            "taken under {epoch} at a range drained under {}",
            book.epoch
        );
        assert!(self.taken.insert(run, cell).is_none_or(|before| before == cell), "in two cells");
        state.has.insert((run, firm));
        self.acknowledged.push((run, firm));
    }

    fn obey(&mut self, ask: CellOperation) {
        let now = at(self.now);
        match ask {
            CellOperation::Close { cell, range, epoch } | CellOperation::Open { cell, range, epoch }
                if !self.cells[&cell].lost =>
            {
                let open = matches!(ask, CellOperation::Open { .. });
                if self.cells.get_mut(&cell).unwrap().fence.set(range, epoch, open) {
                    let answer = if open {
                        CellAnswer::Opened(range.0, epoch)
                    } else {
                        CellAnswer::Closed(range.0, epoch)
                    };
                    self.owner.handle_answer(now, answer);
                }
            }
            CellOperation::Copy { cell, to, range, epoch }
                if !self.cells[&cell].lost && !self.cells[&to].lost =>
            {
                let copied: Vec<_> = self.cells[&cell]
                    .has
                    .iter()
                    .filter(|(_, firm)| (range.0..range.1).contains(firm))
                    .copied()
                    .collect();
                self.cells.get_mut(&to).unwrap().has.extend(copied);
                self.owner.handle_answer(now, CellAnswer::Copied(range.0, epoch));
            }
            _ => {}
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.step();
        }
    }

    /// What was acknowledged is where its book serves.
    fn nothing_lost(&self, what: &str) {
        for (run, firm) in &self.acknowledged {
            let book = self.published.shards[self.published.find(*firm).expect("a book")];
            let cell = book
                .migration
                .filter(|moving| moving.step == MigrationStep::Copied)
                .map_or(book.cell, |moving| moving.to);
            assert!(
                self.cells[&cell].has.contains(&(*run, *firm)),
                "{what}: run {run} of firm {firm} is not at cell {cell}"
            );
        }
    }
}

fn timing(fencing: bool, gateways: usize) -> Timing {
    Timing { fencing, gateways, map_ttl: at(VALID), max_attempt: at(ATTEMPT), step_timeout: at(20_000) }
}

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let told = std::env::var("BOOKS_SEEDS").ok().and_then(|n| n.parse().ok());
    0..told.unwrap_or(usual)
}

/// Moves asked for in any number, owners replaced at any step, gateways cut off: nothing is lost, nothing written where it must not
/// be, and all moves end.
#[test]
fn moves_end_and_lose_nothing_whoever_leads_them() {
    for seed in seeds(60) {
        let fencing = seed % 2 == 0;
        let what = format!("seed {seed}, fencing {fencing}");
        let mut world = World::new(seed, fencing, 64, 6, 10);
        world.run(500);
        let asked = if seed % 5 == 0 { 64 } else { 4 };
        for i in 0..asked {
            let firm = FIRM_END / 64 * (i * 7 % 64);
            let to = world.rng.random_range(0..6);
            // There already is no failure.
            let _ = world.owner.on_operator_command(at(world.now), firm, to);
        }
        for _ in 0..world.rng.random_range(0..5) {
            let ms = world.rng.random_range(10..1500);
            world.run(ms);
            world.succeed();
        }
        if seed % 3 == 0 {
            world.deaf = (0..3).collect();
        }
        world.run(if fencing { 20_000 } else { 120_000 });
        world.deaf.clear();
        world.run(1000);
        assert!(
            world.published.shards.iter().all(|book| book.migration.is_none()),
            "{what}: {:?}",
            world.published
        );
        world.nothing_lost(&what);
        assert!(!world.pauses.is_empty() && world.acknowledged.len() > 1000, "{what}");
        if fencing {
            world.pauses.sort_unstable();
            let last = world.pauses[world.pauses.len() * 9 / 10];
            assert!(last < 5000, "{what}: nine in ten pauses are under {last} ms");
        }
    }
}

/// Books of a cell that is to be left go to the nearest with room, and none into what is lost; one on its way there goes back.
#[test]
fn books_leave_a_lost_zone_and_none_goes_into_it() {
    for seed in seeds(20) {
        let what = format!("seed {seed}");
        let mut world = World::new(seed, true, 24, 6, 6);
        world.run(500);
        for i in 0..4 {
            let _ = world.owner.on_operator_command(at(world.now), FIRM_END / 24 * (i * 6 + 1), 5);
        }
        world.run(30 + seed * 20);
        // Cells 2 and 5 stand in one zone, which is lost; after a while its cells can be read again, but take nothing.
        for cell in [2, 5] {
            world.cells.get_mut(&cell).unwrap().lost = true;
        }
        world.see_cells();
        world.run(3000);
        for cell in [2, 5] {
            world.cells.get_mut(&cell).unwrap().lost = false;
        }
        let mut cells = BTreeMap::new();
        for number in 0..6 {
            let left = number == 2 || number == 5;
            let zone = format!("hall-{}", number % 3);
            cells.insert(
                number,
                CellStatus {
                    zone,
                    region: String::new(),
                    accepts_writes: !left,
                    is_draining: left,
                    capacity: 1000.0,
                    load: 10.0,
                },
            );
        }
        world.owner.set_cells(cells);
        world.run(60_000);
        let left = world.published.shards.iter().filter(|book| [2, 5].contains(&book.cell)).count();
        assert_eq!(left, 0, "{what}: {:?}", world.published);
        assert!(world.published.shards.iter().all(|book| book.migration.is_none()), "{what}");
        world.nothing_lost(&what);
    }
}

proptest! {
    /// Whatever is asked in whatever order, a cell's epochs never fall, and what is shut at an epoch is not opened at it again.
    #[test]
    fn a_fence_never_goes_back(
        sets in proptest::collection::vec((0u64..16, 1u64..16, 1u64..6, any::<bool>()), 1..80),
    ) {
        let (mut fence, unit) = (EpochFence::default(), FIRM_END / 16);
        for (first, width, epoch, open) in sets {
            let range = (first * unit, ((first + width) * unit).min(FIRM_END));
            let before: Vec<_> = (0..16).map(|i| (fence.epoch(i * unit), fence.admit(i * unit, fence.epoch(i * unit)))).collect();
            let set = fence.set(range, epoch, open);
            for (i, (had, took)) in (0..16).zip(before) {
                let inside = (range.0..range.1).contains(&(i * unit));
                prop_assert!(fence.epoch(i * unit) >= had);
                if set && inside {
                    prop_assert_eq!(fence.admit(i * unit, epoch).is_ok(), open);
                    prop_assert!(!(open && epoch == had && took.is_err()), "opened again at its epoch");
                } else {
                    prop_assert_eq!(fence.epoch(i * unit), had);
                }
                prop_assert!(fence.admit(i * unit, epoch + 1).is_err() || fence.epoch(i * unit) == epoch + 1);
            }
        }
    }

    /// Maps that overlap, leave a hole or name what cannot be are refused; cuts and joins keep what is sensible so.
    #[test]
    fn maps_stay_sensible(cuts in proptest::collection::vec((0usize..8, 1u64..FIRM_END, any::<bool>()), 1..40)) {
        let mut map = ShardMap::even(4, &[0, 1]);
        for (at, middle, join) in cuts {
            let before = map.clone();
            let done = if join { map.merge(at) } else { map.split(at, middle) };
            prop_assert!(map.is_valid());
            prop_assert_eq!(done.is_err(), map == before);
            for firm in [0, middle, FIRM_END - 1] {
                let (a, b) = (before.find(firm).unwrap(), map.find(firm).unwrap());
                prop_assert_eq!((before.shards[a].cell, before.shards[a].epoch), (map.shards[b].cell, map.shards[b].epoch));
            }
        }
        let spoil: [fn(&mut Vec<Shard>); 5] = [
            |books| books.clear(),
            |books| books[0].first = 1,
            |books| books.push(Shard { first: FIRM_END, ..books[0] }),
            |books| books.insert(1, books[0]),
            |books| books[0].epoch = 0,
        ];
        for spoil in spoil {
            let mut spoilt = map.clone();
            spoil(&mut spoilt.shards);
            prop_assert!(!spoilt.is_valid());
        }
    }
}
