//! A model of the agreement on one view ([`marblecroft_chain_replication::agreement`]). Voters may lose their
//! disks but lose no other state, proposers start proposals repeatedly, requests are delayed and replies are
//! lost. In every state, at most one view is decided, and more than half of the voters of a decided view
//! remain. A view may name a learner, whose disk may be lost too, so views that voters have accepted are
//! decided between two losses. Each mutation below violates one of these properties, and the checker detects
//! it.
//!
//! A voter's write may fail: an error is returned, and the vote is either durable or only in the operating
//! system's cache. The voter is then suspended and counts as a loss itself, until it has read its disk again
//! and written what it read.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

type ProposalNumber = u8;
type View = u8;

/// Number of voters, and number of proposers. The proposers are the first voters.
const VOTERS: usize = 3;
const PROPOSERS: usize = 2;
/// Number of voters whose disks may be lost.
const MAX_LOSSES: usize = 1;
/// Added to a view that does not name the learner, because its disk was lost before the proposal. The other
/// views name the learner in place of the last voter.
const WITHOUT_LEARNER: View = 100;

/// A fault in the protocol, which the model must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// A voter grants a proposal with a lower number than it has promised.
    LowerNumberGranted,
    /// A proposer proposes its own view although another was accepted.
    AcceptedIgnored,
    /// A voter loses its promise when it restarts.
    PromiseLostOnRestart,
    /// A voter loses the view that it has accepted when it restarts.
    AcceptedLostOnRestart,
    /// A proposer does not store its own promise, and uses a number for two proposals.
    NumberReused,
    /// Both proposers use the same numbers.
    NumbersShared,
    /// A lost voter counts as a voter that has granted the request.
    LostVoterGrants,
    /// A voter retains its identity when it loses its disk.
    IdentityRetainedAfterDiskLoss,
    /// A second disk may be lost while a view is accepted by some voters and not decided.
    LossWhileUndecided,
    /// A voter whose write failed continues as if nothing had been written.
    FailedWriteIgnored,
    /// A voter whose write failed continues with the vote that it reads, before that vote is durable.
    UnsyncedReadTrusted,
}

impl Mutation {
    /// Whether any voter may be restarted in this search. Without a mutation, a voter whose writes succeeded
    /// loses no state when it restarts.
    fn needs_restarts(self) -> bool {
        matches!(self, Mutation::PromiseLostOnRestart | Mutation::AcceptedLostOnRestart)
    }

    fn ignores_failed_writes(self) -> bool {
        matches!(self, Mutation::FailedWriteIgnored | Mutation::UnsyncedReadTrusted)
    }
}

/// A voter's promise and accepted view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Vote {
    promised: ProposalNumber,
    accepted: Option<(ProposalNumber, View)>,
}

/// The contents of a disk after a failed write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FailedDisk {
    /// The vote that is found when the disk is read.
    read: Vote,
    /// The vote that is found after a power failure.
    durable: Vote,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Voter {
    vote: Vote,
    lost: bool,
    /// Set from a failed write until the voter has written the vote that it read.
    failed_disk: Option<FailedDisk>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Proposer {
    proposals: u8,
    /// Number of the current proposal; 0 while there is none.
    number: ProposalNumber,
    names_learner: bool,
    /// Voters whose disk is known to be lost.
    lost: BTreeSet<usize>,
    promised: BTreeSet<usize>,
    highest: Option<(ProposalNumber, View)>,
    /// The view that phase 2 proposes.
    requested: Option<View>,
    accepted: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    voters: Vec<Voter>,
    proposers: Vec<Proposer>,
    /// Accept requests in flight, which may be delivered at any time and repeatedly.
    accept_requests: BTreeSet<(ProposalNumber, View)>,
    decided: BTreeSet<View>,
    /// Whether a view was decided after half of its voters or more had lost their disks.
    decided_without_majority: bool,
    losses: usize,
    learner_lost: bool,
    restarts: u8,
    failed_writes: u8,
}

impl State {
    /// Returns the number of voters of a view whose disks are lost.
    fn lost_voters(&self, view: View) -> usize {
        let names_learner = view < WITHOUT_LEARNER;
        let remaining = if names_learner { VOTERS - 1 } else { VOTERS };
        let lost = self.voters.iter().take(remaining).filter(|voter| voter.lost).count();
        lost + usize::from(names_learner && self.learner_lost)
    }

    /// Whether a remaining voter has accepted a view, and no view is decided.
    fn has_undecided_view(&self) -> bool {
        self.decided.is_empty() && self.voters.iter().any(|voter| voter.vote.accepted.is_some())
    }

    fn has_suspended_voter(&self) -> bool {
        self.voters.iter().any(|voter| voter.failed_disk.is_some())
    }

    /// Ends all proposals and drops all requests, as happens in the time between two losses.
    fn end_proposals_and_requests(&mut self) {
        self.accept_requests.clear();
        for proposer in &mut self.proposers {
            *proposer = Proposer { proposals: proposer.proposals, ..Proposer::default() };
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Propose {
        proposer: usize,
        knows_lost: bool,
    },
    Prepare {
        proposer: usize,
        voter: usize,
    },
    Accept {
        proposer: usize,
        voter: usize,
    },
    /// A delayed accept request is delivered, and its reply is dropped.
    DelayedAccept {
        voter: usize,
        number: ProposalNumber,
        view: View,
    },
    /// An accept request is delivered, and the voter's write of the vote fails. `is_durable` is true if the
    /// vote reached the disk, and false if it reached only a cache.
    FailedAccept {
        voter: usize,
        number: ProposalNumber,
        view: View,
        is_durable: bool,
    },
    /// A voter whose write failed reads its disk again, and writes the vote that it read.
    RecoverDisk(usize),
    LoseDisk(usize),
    /// The learner loses its disk, and has a new identity from then on.
    LoseLearnerDisk,
    /// A voter loses power and restarts.
    Restart(usize),
}

/// The properties that must hold in every state.
const AT_MOST_ONE_DECISION: &str = "at most one view is decided";
const MAJORITY_REMAINS: &str = "more than half of the voters of a decided view remain";

/// The bounds of a search.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Maximum number of proposals that each proposer starts.
    proposals: [u8; PROPOSERS],
    /// Maximum number of writes that fail.
    failed_writes: u8,
}

const NO_FAILED_WRITES: Bounds = Bounds { proposals: [2, 2], failed_writes: 0 };
const ONE_FAILED_WRITE: Bounds = Bounds { proposals: [2, 1], failed_writes: 1 };

struct Agreement {
    mutation: Mutation,
    bounds: Bounds,
}

impl Agreement {
    fn next_number(&self, proposer: usize, proposals: u8, promised: ProposalNumber) -> ProposalNumber {
        let proposer_offset = if self.mutation == Mutation::NumbersShared { 0 } else { proposer as u8 };
        if self.mutation == Mutation::NumberReused {
            return PROPOSERS as u8 + proposer_offset;
        }
        let rounds = (promised / PROPOSERS as u8).max(proposals) + 1;
        rounds * PROPOSERS as u8 + proposer_offset
    }

    fn is_quorum(&self, granted: &BTreeSet<usize>, lost: &BTreeSet<usize>) -> bool {
        let majority = VOTERS / 2 + 1;
        if self.mutation == Mutation::LostVoterGrants {
            return granted.union(lost).count() >= majority;
        }
        let all_others = granted.union(lost).count() == VOTERS;
        granted.len() >= majority || (!lost.is_empty() && lost.len() < majority && all_others)
    }

    fn grants(&self, voter: &Voter, number: ProposalNumber) -> bool {
        let is_suspended = voter.failed_disk.is_some() && !self.mutation.ignores_failed_writes();
        let is_running = !voter.lost && !is_suspended;
        is_running && (number >= voter.vote.promised || self.mutation == Mutation::LowerNumberGranted)
    }

    fn prepare(&self, state: &mut State, proposer: usize, voter: usize) {
        let number = state.proposers[proposer].number;
        if !self.grants(&state.voters[voter], number) {
            return;
        }
        let stores_promise = self.mutation != Mutation::NumberReused || voter != proposer;
        if stores_promise {
            state.voters[voter].vote.promised = number;
            self.complete_write(&mut state.voters[voter]);
        }
        let accepted = state.voters[voter].vote.accepted;
        let proposer_state = &mut state.proposers[proposer];
        proposer_state.promised.insert(voter);
        proposer_state.highest = proposer_state.highest.max(accepted);
        if proposer_state.requested.is_none()
            && self.is_quorum(&proposer_state.promised, &proposer_state.lost)
        {
            let accepted = proposer_state.highest.filter(|_| self.mutation != Mutation::AcceptedIgnored);
            // Each proposal of a proposer is for a different view.
            let new_view = proposer as View * 10 + proposer_state.proposals;
            let new_view = if proposer_state.names_learner { new_view } else { new_view + WITHOUT_LEARNER };
            let view = accepted.map_or(new_view, |accepted| accepted.1);
            proposer_state.requested = Some(view);
            state.accept_requests.insert((number, view));
        }
    }

    fn handle_accept(&self, voter: &mut Voter, number: ProposalNumber, view: View) -> bool {
        let grants = self.grants(voter, number);
        if grants {
            let vote = Vote { promised: number, accepted: Some((number, view)) };
            let is_new = voter.vote != vote;
            voter.vote = vote;
            if is_new {
                self.complete_write(voter);
            }
        }
        grants
    }

    /// Records a successful write, which contains the voter's complete state in memory.
    fn complete_write(&self, voter: &mut Voter) {
        voter.failed_disk = None;
    }

    fn fail_accept(&self, voter: &mut Voter, number: ProposalNumber, view: View, is_durable: bool) {
        let written = Vote { promised: number, accepted: Some((number, view)) };
        let durable = if is_durable { written } else { voter.vote };
        voter.failed_disk = Some(FailedDisk { read: written, durable });
        if self.mutation == Mutation::UnsyncedReadTrusted {
            voter.vote = written;
        }
    }

    fn accept(&self, state: &mut State, proposer: usize, voter: usize) {
        let number = state.proposers[proposer].number;
        let Some(view) = state.proposers[proposer].requested else { return };
        if !self.handle_accept(&mut state.voters[voter], number, view) {
            return;
        }
        let proposer_state = &mut state.proposers[proposer];
        proposer_state.accepted.insert(voter);
        if self.is_quorum(&proposer_state.accepted, &proposer_state.lost) {
            let is_new = state.decided.insert(view);
            state.decided_without_majority |= is_new && state.lost_voters(view) > VOTERS / 2;
        }
    }

    /// Whether another disk may be lost.
    fn may_lose(&self, state: &State) -> bool {
        if state.has_suspended_voter() && !self.mutation.ignores_failed_writes() {
            return false;
        }
        let first = state.losses == 0 && !state.learner_lost;
        first || !state.has_undecided_view() || self.mutation == Mutation::LossWhileUndecided
    }
}

impl Model for Agreement {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            voters: vec![Voter::default(); VOTERS],
            proposers: vec![Proposer::default(); PROPOSERS],
            ..State::default()
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (index, proposer) in state.proposers.iter().enumerate() {
            if state.voters[index].lost && self.mutation != Mutation::IdentityRetainedAfterDiskLoss {
                // A proposer that has lost its disk is no longer a voter.
                continue;
            }
            if proposer.proposals < self.bounds.proposals[index] {
                actions.push(Action::Propose { proposer: index, knows_lost: false });
                if state.losses > 0 {
                    actions.push(Action::Propose { proposer: index, knows_lost: true });
                }
            }
            if proposer.number == 0 {
                continue;
            }
            // A proposer requests its own vote first in each phase.
            let has_promised_itself = proposer.promised.contains(&index);
            let has_accepted_itself = proposer.accepted.contains(&index);
            for voter in 0..VOTERS {
                if proposer.requested.is_none() && (voter == index || has_promised_itself) {
                    actions.push(Action::Prepare { proposer: index, voter });
                }
                if proposer.requested.is_some() && (voter == index || has_accepted_itself) {
                    actions.push(Action::Accept { proposer: index, voter });
                }
            }
        }
        if !state.learner_lost && self.may_lose(state) {
            actions.push(Action::LoseLearnerDisk);
        }
        for voter in 0..VOTERS {
            for &(number, view) in &state.accept_requests {
                actions.push(Action::DelayedAccept { voter, number, view });
            }
            if state.losses < MAX_LOSSES && !state.voters[voter].lost && self.may_lose(state) {
                actions.push(Action::LoseDisk(voter));
            }
            let has_failed_disk = state.voters[voter].failed_disk.is_some();
            if has_failed_disk || (self.mutation.needs_restarts() && state.restarts < 2) {
                actions.push(Action::Restart(voter));
            }
            if has_failed_disk {
                actions.push(Action::RecoverDisk(voter));
            }
            if state.failed_writes < self.bounds.failed_writes && !state.voters[voter].lost {
                for &(number, view) in &state.accept_requests {
                    for is_durable in [true, false] {
                        actions.push(Action::FailedAccept { voter, number, view, is_durable });
                    }
                }
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Propose { proposer, knows_lost } => {
                let proposals = state.proposers[proposer].proposals;
                let number = self.next_number(proposer, proposals, state.voters[proposer].vote.promised);
                let lost = (0..VOTERS).filter(|voter| knows_lost && state.voters[*voter].lost).collect();
                let names_learner = !state.learner_lost;
                state.proposers[proposer] =
                    Proposer { proposals: proposals + 1, number, names_learner, lost, ..Proposer::default() };
            }
            Action::Prepare { proposer, voter } => self.prepare(&mut state, proposer, voter),
            Action::Accept { proposer, voter } => self.accept(&mut state, proposer, voter),
            Action::DelayedAccept { voter, number, view } => {
                self.handle_accept(&mut state.voters[voter], number, view);
            }
            Action::LoseLearnerDisk => {
                if state.losses > 0 {
                    state.end_proposals_and_requests();
                }
                state.learner_lost = true;
            }
            Action::LoseDisk(voter) => {
                if state.learner_lost {
                    state.end_proposals_and_requests();
                }
                state.losses += 1;
                let lost = self.mutation != Mutation::IdentityRetainedAfterDiskLoss;
                state.voters[voter] = Voter { lost, ..Voter::default() };
            }
            Action::FailedAccept { voter, number, view, is_durable } => {
                if !self.grants(&state.voters[voter], number) {
                    return None;
                }
                state.failed_writes += 1;
                self.fail_accept(&mut state.voters[voter], number, view, is_durable);
            }
            Action::RecoverDisk(voter) => {
                let voter = &mut state.voters[voter];
                if let Some(disk) = voter.failed_disk.take() {
                    voter.vote = disk.read;
                }
            }
            Action::Restart(voter) => {
                state.restarts += 1;
                let voter = &mut state.voters[voter];
                match self.mutation {
                    Mutation::PromiseLostOnRestart => {
                        voter.vote.promised = voter.vote.accepted.map_or(0, |accepted| accepted.0);
                    }
                    Mutation::AcceptedLostOnRestart => voter.vote.accepted = None,
                    _ => {}
                }
                if let Some(disk) = voter.failed_disk.take() {
                    voter.vote = disk.durable;
                }
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Agreement>> {
        vec![
            Property::always(AT_MOST_ONE_DECISION, |_, state: &State| state.decided.len() <= 1),
            Property::always(MAJORITY_REMAINS, |_, state: &State| !state.decided_without_majority),
            Property::sometimes("a view is decided", |_, state: &State| !state.decided.is_empty()),
            Property::sometimes("a view is decided after a disk was lost", |_, state: &State| {
                state.losses > 0 && !state.decided.is_empty()
            }),
        ]
    }
}

/// Maximum number of states of one search for a mutation, which is enough to detect each one.
const MAX_STATES: usize = 6_000_000;

fn violates(mutation: Mutation) -> bool {
    let bounds = if mutation.ignores_failed_writes() { ONE_FAILED_WRITE } else { NO_FAILED_WRITES };
    let checker =
        Agreement { mutation, bounds }.checker().threads(4).target_state_count(MAX_STATES).spawn_bfs().join();
    [AT_MOST_ONE_DECISION, MAJORITY_REMAINS].iter().any(|name| checker.discovery(name).is_some())
}

fn assert_agreement(bounds: Bounds) {
    let checker = Agreement { mutation: Mutation::None, bounds }.checker().threads(4).spawn_bfs().join();
    assert!(checker.is_done());
    println!("{} states with {bounds:?}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn at_most_one_view_is_decided_in_every_history() {
    assert_agreement(NO_FAILED_WRITES);
}

#[test]
fn at_most_one_view_is_decided_when_a_write_fails() {
    assert_agreement(ONE_FAILED_WRITE);
}

#[test]
fn every_mutation_is_detected() {
    let all = [
        Mutation::LowerNumberGranted,
        Mutation::AcceptedIgnored,
        Mutation::PromiseLostOnRestart,
        Mutation::AcceptedLostOnRestart,
        Mutation::NumberReused,
        Mutation::NumbersShared,
        Mutation::LostVoterGrants,
        Mutation::IdentityRetainedAfterDiskLoss,
        Mutation::LossWhileUndecided,
        Mutation::FailedWriteIgnored,
        Mutation::UnsyncedReadTrusted,
    ];
    let missed: Vec<Mutation> = all.into_iter().filter(|mutation| !violates(*mutation)).collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
