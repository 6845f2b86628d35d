//! Model-checks a migration in all interleavings of a small system: an old and a new cell, two gateways with
//! maps of any age, two owners of which the first may resume after the second has taken over, and requests
//! and writes that are delayed or lost. It covers cells that fence and cells that do not. The map, its steps
//! and the fence are those of this crate. A model with any of the mutations in
//! `each_mutation_violates_a_property` must violate a property.

use marblecroft_control_messages::published::Stamp;
use marblecroft_shard_map::fencing::EpochFence;
use marblecroft_shard_map::map::{Cell, Epoch, Migration, MigrationStep, Shard, ShardMap, FIRM_END};
use marblecroft_shard_map::migration::{cell_operation, CellOperation};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const ALL: (u64, u64) = (0, FIRM_END);

/// A fault that is deliberately introduced into the model, and must be detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// A cell that should fence admits writes under any epoch.
    AdmitsAnyEpoch,
    /// The copy starts although the old cell has not closed the range.
    CopiesBeforeDrained,
    /// The new cell is opened before it has all records.
    CompletesBeforeCopied,
    /// The migration proceeds without raising the epoch.
    DoesNotRaiseEpoch,
    /// An abandoned migration opens the old cell at the epoch that the new cell may be open at.
    AbandonsWithoutRaisingEpoch,
    /// A migration is abandoned after it has completed and the new cell serves the shard.
    AbandonsAfterCompletion,
    /// Coordination accepts a map from a former owner.
    AcceptsFormerOwner,
    /// A write with unknown outcome is sent again.
    RetriesUnknown,
    /// Without cell fencing: the owner does not wait for attempts in flight.
    NoWaitForAttempts,
    /// Without cell fencing: the owner does not wait for gateways with an older map.
    NoWaitForGateways,
    /// A ticket stays usable after the map of its gateway has expired.
    TicketOutlivesMap,
}

/// The state of a gateway's pay run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Run {
    /// Not sent yet, or rejected: it may be sent.
    Pending,
    InFlight,
    Acknowledged,
    /// There was no reply.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    /// The last map that it has read, with its only shard.
    map: Option<(Stamp, Shard)>,
    is_map_valid: bool,
    /// An acquired ticket that has not been used yet.
    ticket: Option<(Cell, Epoch)>,
    run: Run,
    attempts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    token: u64,
    /// Its copy of the map, and the revision of that copy.
    map: ShardMap,
    revision: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Stored in coordination: the token of the lock, and the map with its stamp.
    token: u64,
    stamp: Stamp,
    map: ShardMap,
    owners: Vec<Owner>,
    fences: Vec<EpochFence>,
    /// Runs that are stored at each cell.
    records: Vec<BTreeSet<usize>>,
    /// Runs that were admitted as writes, with the cell and the epoch.
    admitted: BTreeSet<(usize, Cell, Epoch)>,
    gateways: Vec<Gateway>,
    /// Writes in flight.
    writes: BTreeSet<(usize, Cell, Epoch)>,
    /// Requests to cells in flight.
    requests: BTreeSet<CellOperation>,
    /// Epochs of published drained steps: no write under a lower epoch may be admitted any more.
    drained_epochs: BTreeSet<Epoch>,
    is_abandoned: bool,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// The lock is granted to a second owner, while the first one is unaware of that.
    ReplaceOwner,
    /// An owner advances the migration in its copy of the map and publishes it.
    Step(usize),
    Abandon(usize),
    /// An owner sends the request that its copy of the map needs.
    SendRequest(usize),
    /// A cell handles a request. The acknowledgement reaches all owners or none.
    HandleRequest(CellOperation, bool),
    LoseRequest(CellOperation),
    /// A gateway reads the newest map.
    ReadMap(usize),
    ExpireMap(usize),
    AcquireTicket(usize),
    ExpireTicket(usize),
    SendWrite(usize),
    /// A write arrives at its cell. The reply reaches the gateway or not.
    HandleWrite(usize, Cell, Epoch, bool),
    LoseWrite(usize, Cell, Epoch),
    RetryWrite(usize),
}

struct MigrationModel {
    fencing: bool,
    mutation: Mutation,
}

fn cell_index(cell: Cell) -> usize {
    cell as usize
}

impl MigrationModel {
    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == mutation
    }

    /// Returns whether the wait that replaces cell fencing has ended, so that a migration may leave the
    /// fencing step.
    fn has_wait_ended(&self, state: &State, epoch: Epoch) -> bool {
        let has_no_older_map = |gateway: &Gateway| {
            !gateway.is_map_valid || gateway.map.is_none_or(|(_, shard)| shard.epoch >= epoch)
        };
        let have_older_maps_expired =
            self.has_mutation(Mutation::NoWaitForGateways) || state.gateways.iter().all(has_no_older_map);
        // Older tickets have expired, and the longest attempt has ended.
        let have_attempts_ended = self.has_mutation(Mutation::NoWaitForAttempts)
            || state.writes.iter().all(|(.., write_epoch)| *write_epoch >= epoch)
                && state
                    .gateways
                    .iter()
                    .all(|gateway| gateway.ticket.is_none_or(|(_, ticket_epoch)| ticket_epoch >= epoch));
        have_older_maps_expired && have_attempts_ended
    }

    /// Advances the migration in an owner's copy of the map. Returns whether there was a step that needs no
    /// acknowledgement by a cell.
    fn advance(&self, state: &State, map: &mut ShardMap) -> bool {
        let shard = map.shards[0];
        match shard.migration.map(|migration| migration.step) {
            None => shard.cell == 0 && !state.is_abandoned && map.plan(0, 1).is_ok(),
            Some(MigrationStep::Planned) => {
                let is_raised = map.raise_epoch(0).is_ok();
                if self.has_mutation(Mutation::DoesNotRaiseEpoch) {
                    map.shards[0].epoch -= 1;
                }
                is_raised
            }
            Some(MigrationStep::Fencing) if self.has_mutation(Mutation::CopiesBeforeDrained) => {
                map.mark_drained(0, shard.epoch).is_ok()
            }
            Some(MigrationStep::Fencing) if !self.fencing && self.has_wait_ended(state, shard.epoch) => {
                map.mark_drained(0, shard.epoch).is_ok()
            }
            Some(MigrationStep::Drained) if self.has_mutation(Mutation::CompletesBeforeCopied) => {
                map.mark_copied(0, shard.epoch).is_ok()
            }
            Some(MigrationStep::Copied) if !self.fencing => map.complete(0, shard.epoch).is_ok(),
            _ => false,
        }
    }

    fn publish(&self, state: &mut State, owner_index: usize, map: ShardMap) {
        let owner = &state.owners[owner_index];
        let stamp = Stamp { token: owner.token, revision: owner.revision + 1 };
        let is_fenced = owner.token < state.token;
        let is_stale = owner.revision != state.stamp.revision || is_fenced;
        if is_stale && !(is_fenced && self.has_mutation(Mutation::AcceptsFormerOwner)) {
            // Rejected: the current owner reads the published map, and a former owner stops.
            if !is_fenced {
                let (map, revision) = (state.map.clone(), state.stamp.revision);
                (state.owners[owner_index].map, state.owners[owner_index].revision) = (map, revision);
            }
            return;
        }
        let shard = map.shards[0];
        if shard.epoch < state.map.shards[0].epoch {
            state.violation = Some("the epoch of a range fell");
        }
        if shard
            .migration
            .is_some_and(|migration| migration.step >= MigrationStep::Drained && migration.to != shard.cell)
        {
            state.drained_epochs.insert(shard.epoch);
        }
        state.stamp = Stamp { revision: state.stamp.revision.max(stamp.revision), ..stamp };
        state.map = map.clone();
        (state.owners[owner_index].map, state.owners[owner_index].revision) = (map, state.stamp.revision);
    }

    /// Executes an operation at its cell. Returns whether the cell acknowledges it.
    fn execute(&self, state: &mut State, operation: CellOperation) -> bool {
        match operation {
            CellOperation::Close { cell, range, epoch } => {
                self.set_range_epoch(state, cell, range, epoch, false)
            }
            CellOperation::Open { cell, range, epoch } => {
                self.set_range_epoch(state, cell, range, epoch, true)
            }
            CellOperation::Copy { cell, to, .. } => {
                let copied = state.records[cell_index(cell)].clone();
                state.records[cell_index(to)].extend(copied);
                true
            }
        }
    }

    fn set_range_epoch(
        &self,
        state: &mut State,
        cell: Cell,
        range: (u64, u64),
        epoch: Epoch,
        open: bool,
    ) -> bool {
        state.fences[cell_index(cell)].set(range, epoch, open)
    }

    /// Delivers the acknowledgement of an operation to all owners.
    fn acknowledge(&self, state: &mut State, operation: CellOperation) {
        for owner_index in 0..state.owners.len() {
            let mut map = state.owners[owner_index].map.clone();
            let result = match operation {
                CellOperation::Close { epoch, .. } => map.mark_drained(0, epoch),
                CellOperation::Copy { epoch, .. } => map.mark_copied(0, epoch),
                CellOperation::Open { epoch, .. } => map.complete(0, epoch),
            };
            if result.is_ok() {
                self.publish(state, owner_index, map);
            }
        }
    }
}

impl Model for MigrationModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let map = ShardMap { shards: vec![Shard { first: 0, cell: 0, epoch: 1, migration: None }] };
        let mut fences = vec![EpochFence::default(), EpochFence::default()];
        fences[0].set(ALL, 1, true);
        let stamp = Stamp { token: 1, revision: 1 };
        let gateway = Gateway {
            map: Some((stamp, map.shards[0])),
            is_map_valid: true,
            ticket: None,
            run: Run::Pending,
            attempts: 0,
        };
        vec![State {
            token: 1,
            stamp,
            owners: vec![Owner { token: 1, map: map.clone(), revision: 1 }],
            map,
            fences,
            records: vec![BTreeSet::new(); 2],
            admitted: BTreeSet::new(),
            gateways: vec![gateway; 2],
            writes: BTreeSet::new(),
            requests: BTreeSet::new(),
            drained_epochs: BTreeSet::new(),
            is_abandoned: false,
            violation: None,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.token == 1 {
            actions.push(Action::ReplaceOwner);
        }
        for (owner_index, owner) in state.owners.iter().enumerate() {
            let mut map = owner.map.clone();
            if self.advance(state, &mut map) {
                actions.push(Action::Step(owner_index));
            }
            let migration = owner.map.shards[0].migration;
            let is_copied = migration
                .is_some_and(|migration| migration.step == MigrationStep::Copied && migration.to == 1);
            let is_completed = migration.is_none()
                && owner.map.shards[0].cell == 1
                && self.has_mutation(Mutation::AbandonsAfterCompletion);
            if !state.is_abandoned && (is_completed || migration.is_some() && !is_copied) {
                actions.push(Action::Abandon(owner_index));
            }
            if self.needed_operation(owner).is_some_and(|operation| !state.requests.contains(&operation)) {
                actions.push(Action::SendRequest(owner_index));
            }
        }
        for request in &state.requests {
            actions.extend([
                Action::HandleRequest(*request, true),
                Action::HandleRequest(*request, false),
                Action::LoseRequest(*request),
            ]);
        }
        for (g, gateway) in state.gateways.iter().enumerate() {
            if gateway.map != Some((state.stamp, state.map.shards[0])) || !gateway.is_map_valid {
                actions.push(Action::ReadMap(g));
            }
            if gateway.is_map_valid {
                actions.push(Action::ExpireMap(g));
            }
            let is_open = gateway.map.is_some_and(|(_, shard)| shard.is_open());
            if gateway.is_map_valid
                && is_open
                && gateway.ticket.is_none()
                && gateway.run == Run::Pending
                && gateway.attempts < 2
            {
                actions.push(Action::AcquireTicket(g));
            }
            if gateway.ticket.is_some() {
                actions.extend([Action::SendWrite(g), Action::ExpireTicket(g)]);
            }
            if gateway.run == Run::Unknown
                && self.has_mutation(Mutation::RetriesUnknown)
                && gateway.attempts < 2
            {
                actions.push(Action::RetryWrite(g));
            }
        }
        for (run, cell, epoch) in &state.writes {
            actions.push(Action::HandleWrite(*run, *cell, *epoch, true));
            actions.push(Action::HandleWrite(*run, *cell, *epoch, false));
            actions.push(Action::LoseWrite(*run, *cell, *epoch));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::ReplaceOwner => {
                state.token = 2;
                let (map, revision) = (state.map.clone(), state.stamp.revision);
                state.owners.push(Owner { token: 2, map, revision });
            }
            Action::Step(owner_index) => {
                let mut map = state.owners[owner_index].map.clone();
                self.advance(last, &mut map);
                self.publish(&mut state, owner_index, map);
            }
            Action::Abandon(owner_index) => {
                let mut map = state.owners[owner_index].map.clone();
                let old_shard = map.shards[0];
                if map.abandon(0).is_err() && self.has_mutation(Mutation::AbandonsAfterCompletion) {
                    let migration = Migration { to: 0, step: MigrationStep::Copied };
                    map.shards[0] = Shard {
                        cell: 0,
                        epoch: old_shard.epoch + 1,
                        migration: Some(migration),
                        ..old_shard
                    };
                }
                if self.has_mutation(Mutation::AbandonsWithoutRaisingEpoch) {
                    map.shards[0].epoch = old_shard.epoch;
                }
                state.is_abandoned = true;
                self.publish(&mut state, owner_index, map);
            }
            Action::SendRequest(owner_index) => {
                state.requests.extend(self.needed_operation(&state.owners[owner_index]));
            }
            Action::HandleRequest(operation, is_delivered) => {
                state.requests.remove(&operation);
                if self.execute(&mut state, operation) && is_delivered {
                    self.acknowledge(&mut state, operation);
                }
            }
            Action::LoseRequest(operation) => drop(state.requests.remove(&operation)),
            Action::ReadMap(g) => {
                let newest = (state.stamp, state.map.shards[0]);
                let gateway = &mut state.gateways[g];
                gateway.map = Some(newest);
                gateway.is_map_valid = true;
            }
            Action::ExpireMap(g) => {
                state.gateways[g].is_map_valid = false;
                if !self.has_mutation(Mutation::TicketOutlivesMap) {
                    state.gateways[g].ticket = None;
                }
            }
            Action::AcquireTicket(g) => {
                let shard = state.gateways[g].map.expect("a valid map").1;
                state.gateways[g].ticket = Some((shard.cell, shard.epoch));
            }
            Action::ExpireTicket(g) => state.gateways[g].ticket = None,
            Action::SendWrite(g) => {
                let gateway = &mut state.gateways[g];
                let (cell, epoch) = gateway.ticket.take().expect("a ticket");
                (gateway.run, gateway.attempts) = (Run::InFlight, gateway.attempts + 1);
                state.writes.insert((g, cell, epoch));
            }
            Action::RetryWrite(g) => state.gateways[g].run = Run::Pending,
            Action::HandleWrite(run, cell, epoch, is_answered) => {
                state.writes.remove(&(run, cell, epoch));
                let is_admitted = !self.fencing
                    || self.has_mutation(Mutation::AdmitsAnyEpoch)
                    || state.fences[cell_index(cell)].admit(0, epoch).is_ok();
                if is_admitted {
                    if state.drained_epochs.iter().any(|drained| epoch < *drained) {
                        state.violation =
                            Some("a write to a drained range was admitted under an older epoch");
                    }
                    let is_conflict = |(other_run, other_cell, other_epoch): &(usize, Cell, Epoch)| {
                        (*other_run == run && (*other_cell, *other_epoch) != (cell, epoch))
                            || (*other_epoch == epoch && *other_cell != cell)
                    };
                    if state.admitted.iter().any(is_conflict) {
                        state.violation =
                            Some("a run was written twice, or two cells admitted the same epoch");
                    }
                    state.admitted.insert((run, cell, epoch));
                    state.records[cell_index(cell)].insert(run);
                }
                let gateway = &mut state.gateways[run];
                gateway.run = match (is_admitted, is_answered) {
                    (_, false) => Run::Unknown,
                    (true, true) => Run::Acknowledged,
                    (false, true) => Run::Pending,
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
                "no write under an older epoch, no run written twice, no epoch that falls",
                |_, state: &State| state.violation.is_none(),
            ),
            Property::always("every acknowledged run is stored at the serving cell", |_, state: &State| {
                let shard = state.map.shards[0];
                let serving_cell = match shard.migration {
                    None => shard.cell,
                    Some(migration) if migration.step == MigrationStep::Copied => migration.to,
                    Some(_) => shard.cell,
                };
                state
                    .gateways
                    .iter()
                    .enumerate()
                    .filter(|(_, gateway)| gateway.run == Run::Acknowledged)
                    .all(|(run, _)| state.records[cell_index(serving_cell)].contains(&run))
            }),
            Property::sometimes(
                "a migration ends, and a run is written at the new cell",
                |_, state: &State| {
                    let shard = state.map.shards[0];
                    shard.migration.is_none()
                        && shard.cell == 1
                        && state.admitted.iter().any(|(_, cell, _)| *cell == 1)
                },
            ),
            Property::sometimes("a second owner completes a migration of the first", |_, state: &State| {
                let shard = state.map.shards[0];
                state.stamp.token == 2 && shard.migration.is_none() && shard.cell == 1
            }),
            Property::sometimes(
                "a migration is abandoned, and a run is then written at the old cell",
                |_, state: &State| {
                    let shard = state.map.shards[0];
                    shard.migration.is_none()
                        && state.admitted.iter().any(|(_, cell, epoch)| *cell == 0 && *epoch > 2)
                },
            ),
        ]
    }
}

impl MigrationModel {
    fn needed_operation(&self, owner: &Owner) -> Option<CellOperation> {
        cell_operation(&owner.map, 0, self.fencing)
    }
}

/// Explores the model, and returns the number of states and the properties that do not hold.
fn check_model(fencing: bool, mutation: Mutation) -> (usize, Vec<&'static str>) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    let builder = MigrationModel { fencing, mutation }.checker().threads(threads);
    let builder =
        if mutation == Mutation::None { builder } else { builder.finish_when(HasDiscoveries::AnyFailures) };
    let checker = builder.spawn_bfs().join();
    let always = [
        "no write under an older epoch, no run written twice, no epoch that falls",
        "every acknowledged run is stored at the serving cell",
    ];
    let sometimes = [
        "a migration ends, and a run is written at the new cell",
        "a second owner completes a migration of the first",
        "a migration is abandoned, and a run is then written at the old cell",
    ];
    let mut failed: Vec<&'static str> =
        always.into_iter().filter(|name| checker.discovery(name).is_some()).collect();
    // All states are explored only if nothing failed, so only then a missing example counts as a failure.
    if failed.is_empty() {
        failed.extend(sometimes.into_iter().filter(|name| checker.discovery(name).is_none()));
    }
    (checker.unique_state_count(), failed)
}

#[test]
fn a_migration_loses_nothing_and_writes_nothing_twice_with_cell_fencing() {
    let (states, failed) = check_model(true, Mutation::None);
    println!("fencing: {states} states");
    assert!(failed.is_empty(), "{failed:?}");
    assert!(states > 10_000, "{states} states");
}

#[test]
fn a_migration_loses_nothing_and_writes_nothing_twice_without_cell_fencing() {
    let (states, failed) = check_model(false, Mutation::None);
    println!("without fencing: {states} states");
    assert!(failed.is_empty(), "{failed:?}");
    assert!(states > 10_000, "{states} states");
}

#[test]
fn each_mutation_violates_a_property() {
    for (fencing, mutation) in [
        (true, Mutation::AdmitsAnyEpoch),
        (true, Mutation::CopiesBeforeDrained),
        (true, Mutation::CompletesBeforeCopied),
        (true, Mutation::DoesNotRaiseEpoch),
        (true, Mutation::AbandonsWithoutRaisingEpoch),
        (true, Mutation::AbandonsAfterCompletion),
        (true, Mutation::AcceptsFormerOwner),
        (true, Mutation::RetriesUnknown),
        (false, Mutation::NoWaitForAttempts),
        (false, Mutation::NoWaitForGateways),
        (false, Mutation::AcceptsFormerOwner),
    ] {
        let (states, failed) = check_model(fencing, mutation);
        println!("{mutation:?}, fencing {fencing}: {states} states, {failed:?}");
        assert!(!failed.is_empty(), "{mutation:?} with fencing {fencing} is not detected in {states} states");
    }
}
