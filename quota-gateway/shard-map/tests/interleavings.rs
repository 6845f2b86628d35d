//! A move in all interleavings of a small system: an old and a new cell, two gateways with maps of any age, two owners of which one may
//! wake late, asks and writes that arrive late or never; with cells that fence, and with the waiting way. The map, its steps and the
//! fence are the product's own. Each flaw below is caught.

use marblecroft_control_messages::published::Stamp;
use marblecroft_shard_map::fencing::EpochFence;
use marblecroft_shard_map::map::{Cell, Epoch, Migration, MigrationStep, Shard, ShardMap, FIRM_END};
use marblecroft_shard_map::migration::{cell_operation, CellOperation};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const ALL: (u64, u64) = (0, FIRM_END);

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// A cell takes writes under any epoch, though it says that it fences.
    TakesAny,
    /// The copy is made though the old cell has not shut the range.
    CopiesUndrained,
    /// The new cell serves before it has everything.
    ServesEarly,
    /// The move goes on under the old epoch.
    KeepsEpoch,
    /// The way back opens the old cell under the epoch that the new one may have.
    AbandonKeepsEpoch,
    /// There is a way back, without another move, when the new cell serves already.
    AbandonsLate,
    /// Coordination takes a late owner's word.
    PublishesUnfenced,
    /// A write of which nothing is known is sent again.
    RepeatsUnknown,
    /// Without fences: attempts that are out are not waited for.
    WaitsForNoAttempts,
    /// Without fences: gateways with an older map are not waited for.
    WaitsForNoReaders,
    /// A reader takes an older map after a newer one; and nobody checks a ticket's time.
    ReaderGoesBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Run {
    /// Not sent, or turned away: it may be sent.
    Waits,
    Out,
    Acknowledged,
    /// Nothing came back.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    /// The newest map that it has read, and whether it is valid still.
    held: Option<(Stamp, Shard)>,
    valid: bool,
    /// Asked for, and not yet written.
    ticket: Option<(Cell, Epoch)>,
    run: Run,
    tries: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    token: u64,
    /// Its copy of the map, and the revision that it knows.
    map: ShardMap,
    revision: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// As coordination has it: the lock's token, and the map with its stamp.
    token: u64,
    stamp: Stamp,
    map: ShardMap,
    owners: Vec<Owner>,
    fences: Vec<EpochFence>,
    /// Runs that each cell has; and those that it took as writes, with the epoch.
    has: Vec<BTreeSet<usize>>,
    taken: BTreeSet<(usize, Cell, Epoch)>,
    gateways: Vec<Gateway>,
    writes: BTreeSet<(usize, Cell, Epoch)>,
    asks: BTreeSet<CellOperation>,
    /// Epochs under which nothing may be taken at the old cell any more, as the map says so.
    drained: BTreeSet<Epoch>,
    abandoned: bool,
    wrong: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// The other owner is granted the lock; the first does not know.
    Succeed,
    /// An owner takes a step in its copy and publishes it.
    Step(usize),
    Abandon(usize),
    /// An owner asks cells for what its copy says.
    Asks(usize),
    /// A cell does what it was asked for; the owners hear of it, or none does.
    Do(CellOperation, bool),
    LoseAsk(CellOperation),
    /// A gateway reads the newest map; or, late, the one that came before.
    Read(usize),
    Lapse(usize),
    Ticket(usize),
    Expire(usize),
    Write(usize),
    /// A write comes to its cell; the answer comes back or not.
    Arrive(usize, Cell, Epoch, bool),
    LoseWrite(usize, Cell, Epoch),
    Repeat(usize),
}

struct Moving {
    fencing: bool,
    flaw: Flaw,
}

fn cell_index(cell: Cell) -> usize {
    cell as usize
}

impl Moving {
    fn flawed(&self, flaw: Flaw) -> bool {
        self.flaw == flaw
    }

    /// Whether the waiting way may go on from `fencing`.
    fn waited(&self, state: &State, epoch: Epoch) -> bool {
        let reads = |g: &Gateway| !g.valid || g.held.is_none_or(|(_, book)| book.epoch >= epoch);
        let readers = self.flawed(Flaw::WaitsForNoReaders) || state.gateways.iter().all(reads);
        // A ticket is worth nothing after its time, and the longest attempt is over.
        let attempts = self.flawed(Flaw::WaitsForNoAttempts)
            || state.writes.iter().all(|(.., under)| *under >= epoch)
                && state.gateways.iter().all(|g| g.ticket.is_none_or(|(_, under)| under >= epoch));
        readers && attempts
    }

    /// The next step in an owner's copy, if there is one that needs no answer.
    fn next(&self, state: &State, map: &mut ShardMap) -> bool {
        let book = map.shards[0];
        match book.migration.map(|moving| moving.step) {
            None => book.cell == 0 && !state.abandoned && map.plan(0, 1).is_ok(),
            Some(MigrationStep::Planned) => {
                let done = map.raise_epoch(0).is_ok();
                if self.flawed(Flaw::KeepsEpoch) {
                    map.shards[0].epoch -= 1;
                }
                done
            }
            Some(MigrationStep::Fencing) if self.flawed(Flaw::CopiesUndrained) => {
                map.mark_drained(0, book.epoch).is_ok()
            }
            Some(MigrationStep::Fencing) if !self.fencing && self.waited(state, book.epoch) => {
                map.mark_drained(0, book.epoch).is_ok()
            }
            Some(MigrationStep::Drained) if self.flawed(Flaw::ServesEarly) => {
                map.mark_copied(0, book.epoch).is_ok()
            }
            Some(MigrationStep::Copied) if !self.fencing => map.complete(0, book.epoch).is_ok(),
            _ => false,
        }
    }

    fn publish(&self, state: &mut State, who: usize, map: ShardMap) {
        let owner = &state.owners[who];
        let stamp = Stamp { token: owner.token, revision: owner.revision + 1 };
        let fenced = owner.token < state.token;
        let stale = owner.revision != state.stamp.revision || fenced;
        if stale && !(fenced && self.flawed(Flaw::PublishesUnfenced)) {
            // Refused: whoever is still the owner reads what stands; a late one ends.
            if !fenced {
                let (map, revision) = (state.map.clone(), state.stamp.revision);
                (state.owners[who].map, state.owners[who].revision) = (map, revision);
            }
            return;
        }
        let book = map.shards[0];
        if book.epoch < state.map.shards[0].epoch {
            state.wrong = Some("a range's epoch fell");
        }
        if book
            .migration
            .is_some_and(|moving| moving.step >= MigrationStep::Drained && moving.to != book.cell)
        {
            state.drained.insert(book.epoch);
        }
        state.stamp = Stamp { revision: state.stamp.revision.max(stamp.revision), ..stamp };
        state.map = map.clone();
        (state.owners[who].map, state.owners[who].revision) = (map, state.stamp.revision);
    }

    fn cell_does(&self, state: &mut State, ask: CellOperation) -> bool {
        match ask {
            CellOperation::Close { cell, range, epoch } => self.set(state, cell, range, epoch, false),
            CellOperation::Open { cell, range, epoch } => self.set(state, cell, range, epoch, true),
            CellOperation::Copy { cell, to, .. } => {
                let copied = state.has[cell_index(cell)].clone();
                state.has[cell_index(to)].extend(copied);
                true
            }
        }
    }

    fn set(&self, state: &mut State, cell: Cell, range: (u64, u64), epoch: Epoch, open: bool) -> bool {
        state.fences[cell_index(cell)].set(range, epoch, open)
    }

    fn hear(&self, state: &mut State, ask: CellOperation) {
        for who in 0..state.owners.len() {
            let mut map = state.owners[who].map.clone();
            let done = match ask {
                CellOperation::Close { epoch, .. } => map.mark_drained(0, epoch),
                CellOperation::Copy { epoch, .. } => map.mark_copied(0, epoch),
                CellOperation::Open { epoch, .. } => map.complete(0, epoch),
            };
            if done.is_ok() {
                self.publish(state, who, map);
            }
        }
    }
}

impl Model for Moving {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let map = ShardMap { shards: vec![Shard { first: 0, cell: 0, epoch: 1, migration: None }] };
        let mut fences = vec![EpochFence::default(), EpochFence::default()];
        fences[0].set(ALL, 1, true);
        let stamp = Stamp { token: 1, revision: 1 };
        let gateway = Gateway {
            held: Some((stamp, map.shards[0])),
            valid: true,
            ticket: None,
            run: Run::Waits,
            tries: 0,
        };
        vec![State {
            token: 1,
            stamp,
            owners: vec![Owner { token: 1, map: map.clone(), revision: 1 }],
            map,
            fences,
            has: vec![BTreeSet::new(); 2],
            taken: BTreeSet::new(),
            gateways: vec![gateway; 2],
            writes: BTreeSet::new(),
            asks: BTreeSet::new(),
            drained: BTreeSet::new(),
            abandoned: false,
            wrong: None,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.token == 1 {
            actions.push(Action::Succeed);
        }
        for (who, owner) in state.owners.iter().enumerate() {
            let mut map = owner.map.clone();
            if self.next(state, &mut map) {
                actions.push(Action::Step(who));
            }
            let moving = owner.map.shards[0].migration;
            let late = moving.is_some_and(|moving| moving.step == MigrationStep::Copied && moving.to == 1);
            let serves = moving.is_none() && owner.map.shards[0].cell == 1 && self.flawed(Flaw::AbandonsLate);
            if !state.abandoned && (serves || moving.is_some() && !late) {
                actions.push(Action::Abandon(who));
            }
            if self.asked_for(owner).is_some_and(|ask| !state.asks.contains(&ask)) {
                actions.push(Action::Asks(who));
            }
        }
        for ask in &state.asks {
            actions.extend([Action::Do(*ask, true), Action::Do(*ask, false), Action::LoseAsk(*ask)]);
        }
        for (g, gateway) in state.gateways.iter().enumerate() {
            if gateway.held != Some((state.stamp, state.map.shards[0])) || !gateway.valid {
                actions.push(Action::Read(g));
            }
            if gateway.valid {
                actions.push(Action::Lapse(g));
            }
            let open = gateway.held.is_some_and(|(_, book)| book.is_open());
            if gateway.valid
                && open
                && gateway.ticket.is_none()
                && gateway.run == Run::Waits
                && gateway.tries < 2
            {
                actions.push(Action::Ticket(g));
            }
            if gateway.ticket.is_some() {
                actions.extend([Action::Write(g), Action::Expire(g)]);
            }
            if gateway.run == Run::Unknown && self.flawed(Flaw::RepeatsUnknown) && gateway.tries < 2 {
                actions.push(Action::Repeat(g));
            }
        }
        for (run, cell, epoch) in &state.writes {
            actions.push(Action::Arrive(*run, *cell, *epoch, true));
            actions.push(Action::Arrive(*run, *cell, *epoch, false));
            actions.push(Action::LoseWrite(*run, *cell, *epoch));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Succeed => {
                state.token = 2;
                let (map, revision) = (state.map.clone(), state.stamp.revision);
                state.owners.push(Owner { token: 2, map, revision });
            }
            Action::Step(who) => {
                let mut map = state.owners[who].map.clone();
                self.next(last, &mut map);
                self.publish(&mut state, who, map);
            }
            Action::Abandon(who) => {
                let mut map = state.owners[who].map.clone();
                let before = map.shards[0];
                if map.abandon(0).is_err() && self.flawed(Flaw::AbandonsLate) {
                    let back = Migration { to: 0, step: MigrationStep::Copied };
                    map.shards[0] =
                        Shard { cell: 0, epoch: before.epoch + 1, migration: Some(back), ..before };
                }
                if self.flawed(Flaw::AbandonKeepsEpoch) {
                    map.shards[0].epoch = before.epoch;
                }
                state.abandoned = true;
                self.publish(&mut state, who, map);
            }
            Action::Asks(who) => {
                state.asks.extend(self.asked_for(&state.owners[who]));
            }
            Action::Do(ask, heard) => {
                state.asks.remove(&ask);
                if self.cell_does(&mut state, ask) && heard {
                    self.hear(&mut state, ask);
                }
            }
            Action::LoseAsk(ask) => drop(state.asks.remove(&ask)),
            Action::Read(g) => {
                let newest = (state.stamp, state.map.shards[0]);
                let gateway = &mut state.gateways[g];
                gateway.held = Some(newest);
                gateway.valid = true;
            }
            Action::Lapse(g) => {
                state.gateways[g].valid = false;
                if !self.flawed(Flaw::ReaderGoesBack) {
                    state.gateways[g].ticket = None;
                }
            }
            Action::Ticket(g) => {
                let book = state.gateways[g].held.expect("valid").1;
                state.gateways[g].ticket = Some((book.cell, book.epoch));
            }
            Action::Expire(g) => state.gateways[g].ticket = None,
            Action::Write(g) => {
                let gateway = &mut state.gateways[g];
                let (cell, epoch) = gateway.ticket.take().expect("a ticket");
                (gateway.run, gateway.tries) = (Run::Out, gateway.tries + 1);
                state.writes.insert((g, cell, epoch));
            }
            Action::Repeat(g) => state.gateways[g].run = Run::Waits,
            Action::Arrive(run, cell, epoch, answered) => {
                state.writes.remove(&(run, cell, epoch));
                let admitted = !self.fencing
                    || self.flawed(Flaw::TakesAny)
                    || state.fences[cell_index(cell)].admit(0, epoch).is_ok();
                if admitted {
                    if state.drained.iter().any(|drained| epoch < *drained) {
                        state.wrong = Some("a write to a moved range was taken under an older epoch");
                    }
                    let elsewhere = |(other, at, under): &(usize, Cell, Epoch)| {
                        (*other == run && (*at, *under) != (cell, epoch)) || (*under == epoch && *at != cell)
                    };
                    if state.taken.iter().any(elsewhere) {
                        state.wrong = Some("written twice, or one epoch in two cells");
                    }
                    state.taken.insert((run, cell, epoch));
                    state.has[cell_index(cell)].insert(run);
                }
                let gateway = &mut state.gateways[run];
                gateway.run = match (admitted, answered) {
                    (_, false) => Run::Unknown,
                    (true, true) => Run::Acknowledged,
                    (false, true) => Run::Waits,
                };
            }
            Action::LoseWrite(run, cell, epoch) => {
                state.writes.remove(&(run, cell, epoch));
                state.gateways[run].run = Run::Unknown;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no write under an older epoch, none twice, no epoch that falls",
                |_, state: &State| state.wrong.is_none(),
            ),
            Property::always("what was acknowledged is where the book serves", |_, state: &State| {
                let book = state.map.shards[0];
                let at = match book.migration {
                    None => book.cell,
                    Some(moving) if moving.step == MigrationStep::Copied => moving.to,
                    Some(_) => book.cell,
                };
                state
                    .gateways
                    .iter()
                    .enumerate()
                    .filter(|(_, gateway)| gateway.run == Run::Acknowledged)
                    .all(|(run, _)| state.has[cell_index(at)].contains(&run))
            }),
            Property::sometimes("a move ends, and a run is written at the new cell", |_, state: &State| {
                let book = state.map.shards[0];
                book.migration.is_none()
                    && book.cell == 1
                    && state.taken.iter().any(|(_, cell, _)| *cell == 1)
            }),
            Property::sometimes("a second owner ends what the first began", |_, state: &State| {
                let book = state.map.shards[0];
                state.stamp.token == 2 && book.migration.is_none() && book.cell == 1
            }),
            Property::sometimes(
                "a move is abandoned, and a run is written at the old cell behind it",
                |_, state: &State| {
                    let book = state.map.shards[0];
                    book.migration.is_none()
                        && state.taken.iter().any(|(_, cell, epoch)| *cell == 0 && *epoch > 2)
                },
            ),
        ]
    }
}

impl Moving {
    fn asked_for(&self, owner: &Owner) -> Option<CellOperation> {
        cell_operation(&owner.map, 0, self.fencing)
    }
}

/// Checks everything; how many states, and what does not hold.
fn checked(fencing: bool, flaw: Flaw) -> (usize, Vec<&'static str>) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    let builder = Moving { fencing, flaw }.checker().threads(threads);
    let builder = if flaw == Flaw::None { builder } else { builder.finish_when(HasDiscoveries::AnyFailures) };
    let checker = builder.spawn_bfs().join();
    let wrong = [
        "no write under an older epoch, none twice, no epoch that falls",
        "what was acknowledged is where the book serves",
    ];
    let sometimes = [
        "a move ends, and a run is written at the new cell",
        "a second owner ends what the first began",
        "a move is abandoned, and a run is written at the old cell behind it",
    ];
    let mut off: Vec<&'static str> =
        wrong.into_iter().filter(|name| checker.discovery(name).is_some()).collect();
    // With nothing off every state was seen, and what must come about somewhere can be asked for.
    if off.is_empty() {
        off.extend(sometimes.into_iter().filter(|name| checker.discovery(name).is_none()));
    }
    (checker.unique_state_count(), off)
}

#[test]
fn a_move_loses_nothing_and_writes_nothing_twice_where_cells_fence() {
    let (states, off) = checked(true, Flaw::None);
    println!("fencing: {states} states");
    assert!(off.is_empty(), "{off:?}");
    assert!(states > 10_000, "{states} states");
}

#[test]
fn nor_where_gateways_are_waited_for() {
    let (states, off) = checked(false, Flaw::None);
    println!("waiting: {states} states");
    assert!(off.is_empty(), "{off:?}");
    assert!(states > 10_000, "{states} states");
}

#[test]
fn each_flaw_is_caught() {
    for (fencing, flaw) in [
        (true, Flaw::TakesAny),
        (true, Flaw::CopiesUndrained),
        (true, Flaw::ServesEarly),
        (true, Flaw::KeepsEpoch),
        (true, Flaw::AbandonKeepsEpoch),
        (true, Flaw::AbandonsLate),
        (true, Flaw::PublishesUnfenced),
        (true, Flaw::RepeatsUnknown),
        (false, Flaw::WaitsForNoAttempts),
        (false, Flaw::WaitsForNoReaders),
        (false, Flaw::PublishesUnfenced),
    ] {
        let (states, off) = checked(fencing, flaw);
        println!("{flaw:?}, fencing {fencing}: {states} states, {off:?}");
        assert!(!off.is_empty(), "{flaw:?} with fencing {fencing} is not caught in {states} states");
    }
}
